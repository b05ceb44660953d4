import random

import testtools

from catkintrail import messages
from catkintrail import verdict as verdicts
from catkintrail.core import request_router
from catkintrail.core import route_table
from tests import relaying as builders


def place(
    router, key, now, tokens=5_000, path="/ask/a", tried=(), is_retry=False
):
    admission = router.admit("wells.example", path, "key-1", now)
    request = request_router.PlacementRequest(
        key, admission, tokens, 500, 0.0, frozenset(tried), is_retry
    )
    return router.place(request, now)


class SettingsTests(testtools.TestCase):

    def count_repeats(self, router):
        return sum(
            isinstance(
                place(router, f"k{number}", 100.0, is_retry=True),
                request_router.Placement,
            )
            for number in range(200)
        )

    def test_new_retry_bounds_include_retries_counted_before(self):
        router = builders.make_router([builders.make_target("e-1")])
        # Two instances share the 100 retries of the settings, of which the
        # budget uses 80%.
        self.assertEqual(40, self.count_repeats(router))
        router.apply_settings(builders.make_settings(retry_extra=200.0))
        self.assertEqual(40, self.count_repeats(router))
        router.apply_settings(builders.make_settings(retry_extra=1.0))
        self.assertEqual(0, self.count_repeats(router))


class AdmissionTests(testtools.TestCase):

    def admit(self, router, path="/ask/a", key="key-1", now=100.0):
        return router.admit("wells.example:80", path, key, now)

    def test_longest_prefix_matches(self):
        long = builders.make_route(name="long", path_prefix="/ask/more/")
        router = builders.make_router(
            configuration=builders.make_configuration(
                routes=(builders.make_route(), long)
            )
        )
        self.assertEqual("long", self.admit(router, "/ask/more/a").route.name)
        self.assertEqual("ask", self.admit(router, "/ask/mor").route.name)

    def test_refused_retry_states_how_much_of_the_budget_is_used(self):
        router = builders.make_router()
        now = 100.0
        while router.acquire_retry("engines", now):
            pass
        usage = router.retry_usage(now)["engines"]
        self.assertEqual((40, 40.0), usage)
        request = request_router.PlacementRequest(
            "a/1",
            self.admit(router),
            1_000,
            100,
            0.0,
            frozenset(),
            is_retry=True,
        )
        refusal = router.count_send(request, now)
        self.assertIn("40 of 40.0 retries", refusal.message)

    def test_request_before_first_configuration_is_refused(self):
        router = request_router.RequestRouter(
            builders.make_settings(), 1, random.Random(1), 0.0
        )
        refusal = self.admit(router)
        self.assertEqual(verdicts.Reason.NOT_READY, refusal.reason)
        self.assertFalse(router.fleet_state.is_ready(100.0))

    def test_revoked_key_is_refused(self):
        router = builders.make_router()
        router.fleet_state.update_configuration(
            builders.make_configuration(2, keys=("key-2",)), 101.0
        )
        refusal = self.admit(router, now=101.0)
        self.assertEqual(verdicts.Reason.UNAUTHENTICATED, refusal.reason)

    def test_key_is_refused_if_its_proof_is_too_old(self):
        router = builders.make_router()
        self.assertIsInstance(
            self.admit(router, now=104.5), request_router.Admission
        )
        refusal = self.admit(router, now=104.7)
        self.assertEqual(verdicts.Reason.STORE_UNAVAILABLE, refusal.reason)
        self.assertFalse(router.fleet_state.is_ready(104.7))

    def test_public_route_needs_no_proof(self):
        router = builders.make_router(
            configuration=builders.make_configuration(
                routes=(builders.make_route(is_public=True),)
            )
        )
        self.assertIsInstance(
            self.admit(router, key="", now=200.0), request_router.Admission
        )

    def test_request_of_a_public_route_may_be_sent_at_any_time(self):
        # Regression test for incident inc-a608 of Thumbloop: while the store
        # was unavailable, requests of public routes were admitted but not sent.
        router = builders.make_router(
            [builders.make_target("e-1")],
            configuration=builders.make_configuration(
                routes=(builders.make_route(is_public=True),)
            ),
        )
        placement = place(router, "k", 200.0)
        self.assertGreater(placement.valid_until, 200.0)

    def test_priority_of_an_organisation_overrides_the_route(self):
        configuration = builders.make_configuration()
        holder = route_table.Organisation("guild", 7)
        router = builders.make_router(
            configuration=configuration._replace(
                organisations={"key-1": holder}
            )
        )
        self.assertEqual(7, self.admit(router).priority)

    def test_services_are_chosen_by_weight(self):
        shares = (
            route_table.WeightedService("engines", 90.0),
            route_table.WeightedService("desk", 10.0),
        )
        router = builders.make_router(
            configuration=builders.make_configuration(
                routes=(builders.make_route(services=shares),)
            )
        )
        picks = [self.admit(router).service for _ in range(1_000)]
        self.assertTrue(60 < picks.count("desk") < 150, picks.count("desk"))


class PeerProofTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.answering = builders.make_router(now=100.0)
        self.asking = builders.make_router(
            now=90.0, address="10.0.0.2", name="a-2"
        )

    def exchange(self, sent_at, answered_at, received_at):
        heartbeat = self.asking.fleet_state.heartbeat(sent_at)
        answer = self.answering.fleet_state.answer_heartbeat(
            heartbeat, answered_at
        )
        self.asking.fleet_state.handle_heartbeat_answer(
            "10.0.0.1", answer, received_at
        )
        return self.asking.fleet_state.configuration.proven_at

    def test_proof_age_counts_from_sending_the_heartbeat(self):
        # The peer's proof is 3 s old and its answer is in transit for 5 s.
        self.assertEqual(98.0, self.exchange(101.0, 103.0, 108.0))

    def test_answer_with_another_version_proves_nothing(self):
        self.answering.fleet_state.update_configuration(
            builders.make_configuration(2), 101.0
        )
        self.assertEqual(90.0, self.exchange(101.0, 101.0, 101.0))
        self.assertEqual(2, self.asking.fleet_state.newest_peer_version)

    def test_answer_with_unknown_nonce_proves_nothing(self):
        heartbeat = self.asking.fleet_state.heartbeat(101.0)._replace(nonce=999)
        answer = self.answering.fleet_state.answer_heartbeat(heartbeat, 101.0)
        self.asking.fleet_state.handle_heartbeat_answer(
            "10.0.0.1", answer, 101.0
        )
        self.assertEqual(90.0, self.asking.fleet_state.configuration.proven_at)

    def test_late_answer_proves_nothing(self):
        heartbeat = self.asking.fleet_state.heartbeat(101.0)
        answer = self.answering.fleet_state.answer_heartbeat(heartbeat, 101.0)
        self.asking.expire(110.0)
        self.asking.fleet_state.handle_heartbeat_answer(
            "10.0.0.1", answer, 110.0
        )
        self.assertEqual(90.0, self.asking.fleet_state.configuration.proven_at)


class PeerUpdateTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        targets = [builders.make_target(f"e-{i}") for i in range(1, 4)]
        self.first = builders.make_router(targets)
        self.second = builders.make_router(
            targets, address="10.0.0.2", name="a-2"
        )

    def test_leaving_target_is_reported_to_peers(self):
        self.first.fleet_state.update_target(
            builders.make_target("e-1", is_leaving=True),
            "e-1",
            False,
            101.0,
        )
        heartbeat = self.first.fleet_state.heartbeat(101.0)
        _, changes = self.second.fleet_state.handle_heartbeat(
            "10.0.0.1", heartbeat, 101.1
        )
        self.assertEqual(["target_leaving"], [c.event for c in changes])
        self.assertNotIn(
            "e-1", self.second.fleet_state.targets.by_service["engines"]
        )

    def test_report_about_earlier_start_of_target_is_ignored(self):
        self.second.fleet_state.update_target(
            builders.make_target("e-1", born=2), "e-1", False, 101.0
        )
        self.first.fleet_state.mark_target_leaving("e-1", 1, 101.0)
        heartbeat = self.first.fleet_state.heartbeat(101.0)
        self.second.fleet_state.handle_heartbeat("10.0.0.1", heartbeat, 101.1)
        self.assertIn(
            "e-1", self.second.fleet_state.targets.by_service["engines"]
        )

    def test_attempts_are_reported_to_peers(self):
        placement = place(self.first, "a-1/1", 101.0)
        update = self.first.make_placement_update("a-1/1", 101.0)
        update = messages.decode(messages.encode(update))
        self.second.apply_load_message(update, 101.0)
        attempts = self.second.load.at(placement.target.name)
        self.assertEqual({"a-1/1"}, set(attempts))
        done, _ = self.first.record_attempt_end(
            "a-1/1", placement.target.name, True, False, False, 102.0
        )
        self.second.apply_load_message(done, 102.0)
        self.assertEqual({}, self.second.load.by_target)

    def test_snapshot_repairs_lost_updates(self):
        place(self.first, "a-1/1", 101.0)
        self.second.apply_load_message(self.first.snapshot(101.0), 101.0)
        placement = place(self.first, "a-1/2", 101.5)
        self.first.record_attempt_end(
            "a-1/1", placement.target.name, True, False, False, 101.6
        )
        self.second.apply_load_message(self.first.snapshot(102.0), 102.0)
        self.assertEqual({"a-1/2"}, set(self.second.load.by_owner["a-1"]))

    def test_attempts_of_unresponsive_peer_are_dropped(self):
        self.second.fleet_state.peers.record_message(
            "10.0.0.1", "a-1", "za", 1, 101.0
        )
        place(self.first, "a-1/1", 101.0)
        self.second.apply_load_message(self.first.snapshot(101.0), 101.0)
        self.second.expire(102.0)
        self.assertIn("a-1", self.second.load.by_owner)
        for _ in range(4):
            self.second.fleet_state.peers.choose_heartbeat_recipients(
                102.0, random.Random(1)
            )
        self.second.expire(103.0)
        self.assertEqual({}, self.second.load.by_target)

    def test_one_instance_of_each_zone_renews_the_proof(self):
        heartbeat = self.first.fleet_state.heartbeat(101.0)
        self.second.fleet_state.handle_heartbeat("10.0.0.1", heartbeat, 101.0)
        self.first.fleet_state.handle_heartbeat(
            "10.0.0.2", self.second.fleet_state.heartbeat(101.0), 101.0
        )
        self.assertTrue(self.first.fleet_state.is_proof_holder())
        self.assertFalse(self.second.fleet_state.is_proof_holder())
        self.assertTrue(self.second.fleet_state.is_watcher())
        # The second instance takes over when the first stops responding.
        for _ in range(4):
            self.second.fleet_state.peers.choose_heartbeat_recipients(
                103.0, random.Random(1)
            )
        self.assertTrue(self.second.fleet_state.is_proof_holder())


class TargetChoiceTests(testtools.TestCase):

    def test_tried_and_ejected_targets_are_excluded(self):
        router = builders.make_router(
            [builders.make_target(f"e-{i}") for i in range(1, 4)]
        )
        router.record_attempt_end("none", "e-1", False, True, True, 100.0)
        for attempt in range(10):
            placement = place(router, f"k{attempt}", 100.0, tried=["e-2"])
            self.assertEqual("e-3", placement.target.name)

    def test_ejected_targets_are_used_if_no_other_is_left(self):
        router = builders.make_router([builders.make_target("e-1")])
        router.record_attempt_end("none", "e-1", False, True, True, 100.0)
        self.assertEqual("e-1", place(router, "k", 100.0).target.name)

    def test_plain_requests_spread_over_targets_with_free_slots(self):
        router = builders.make_router(
            [
                builders.make_target("d-1", "desk", "za", slots=6),
                builders.make_target("d-2", "desk", "zb", slots=6),
            ]
        )
        counts = {"d-1": 0, "d-2": 0}
        for number in range(12):
            placement = place(router, f"k{number}", 100.0, 0, "/book/a")
            counts[placement.target.name] += 1
        self.assertEqual({"d-1": 6, "d-2": 6}, counts)


class CoordinatorAnswerTests(testtools.TestCase):

    def finish(self, answer):
        router = builders.make_router([builders.make_target("e-1")])
        admission = router.admit("wells.example", "/ask/a", "key-1", 100.0)
        request = request_router.PlacementRequest(
            "k", admission, 5_000, 500, 0.0, frozenset(), False
        )
        return router.finish_placement(request, answer, 100.0)

    def test_refusal_is_passed_on(self):
        answer = messages.PlacementAnswer(
            "b-1", "k", (), (), 0.0, 0.0, 0, "overloaded", "full", 0.7
        )
        refusal = self.finish(answer)
        self.assertEqual(verdicts.Verdict.NOT_RUN, refusal.verdict)
        self.assertEqual(verdicts.Reason.OVERLOADED, refusal.reason)
        self.assertEqual(0.7, refusal.retry_after_seconds)

    def test_refusal_for_an_unknown_reason(self):
        # A newer version of the software may know more reasons.
        answer = messages.PlacementAnswer(
            "b-1", "k", (), (), 0.0, 0.0, 0, "too_new", "", 0.7
        )
        self.assertEqual(verdicts.Reason.NO_TARGET, self.finish(answer).reason)


class UnreachableZoneTests(testtools.TestCase):

    def test_targets_of_unreachable_zone_are_used_last(self):
        router = builders.make_router(
            [
                builders.make_target("e-1", zone="zb"),
                builders.make_target("e-2", zone="za"),
            ]
        )
        router.fleet_state.peers.record_message(
            "10.0.0.7", "b-1", "zb", 1, 100.0
        )
        for _ in range(4):
            router.fleet_state.peers.choose_heartbeat_recipients(
                100.0, random.Random(1)
            )
        for number in range(5):
            placement = place(router, f"k{number}", 100.0)
            self.assertEqual("e-2", placement.target.name)
        placement = place(router, "k", 100.0, tried=["e-2"])
        self.assertEqual("e-1", placement.target.name)


class PauseTests(testtools.TestCase):
    """Targets that asked to be sent nothing for some time."""

    def setUp(self):
        super().setUp()
        self.targets = [builders.make_target(f"e-{n}") for n in (1, 2)]
        self.router = builders.make_router(self.targets)

    def test_paused_target_is_not_chosen(self):
        self.router.notices.pauses.add(self.targets[0], 2.0, 100.0)
        for number in range(6):
            placement = place(self.router, f"k{number}", 100.0)
            self.assertEqual("e-2", placement.target.name)

    def test_request_is_refused_at_once_if_all_targets_are_paused(self):
        self.router.notices.pauses.add(self.targets[0], 2.0, 100.0)
        self.router.notices.pauses.add(self.targets[1], 3.0, 100.0)
        refusal = place(self.router, "k1", 100.5)
        self.assertEqual(verdicts.Reason.OVERLOADED, refusal.reason)
        self.assertAlmostEqual(1.5, refusal.retry_after_seconds)
        self.assertEqual("e-1", place(self.router, "k2", 102.1).target.name)
