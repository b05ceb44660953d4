"""Tests of what is learned of targets' speeds, in virtual time."""

import random

import testtools

from bench import plain_targets
from bench import target_speed
from catkintrail import messages
from catkintrail.core.target_speed import peer_times
from catkintrail.core.target_speed import speed_changes
from catkintrail.core.target_speed import target_speeds
from tests import relaying as builders

TARGETS = target_speed.TARGETS
SECONDS = 40.0
ONE = {"d-0"}
HALF = {f"d-{n}" for n in range(TARGETS // 2)}


class PlainTargetTests(testtools.TestCase):
    """Plain targets publish no figures; their run times tell their speed."""

    def run_load(self, rate, plan=plain_targets.Plan(), seed=1, **changes):
        """Returns what was sent, and the speeds known after the load."""
        zones = changes.pop("zones", ("za",))
        placement = target_speed.RouterPlacement(
            target_speed.make_targets(zones=zones)
        )
        load = plain_targets.make_load(SECONDS, rate, seed, **changes)
        sent = plain_targets.simulate(load, placement, plan)
        self.assertEqual(len(load), len(sent))
        speeds = placement.router.health.speeds.known(SECONDS)
        return sent, speeds

    def assert_nobody_suspected(self, speeds):
        slow = {n: s.slowness for n, s in speeds.items() if s.slowness > 1.0}
        self.assertEqual({}, slow)

    def test_target_that_is_slow_from_the_start_gets_few_requests(self):
        # Without learned speeds it gets a tenth less a third.
        for seed in (1, 2):
            plan = plain_targets.Plan(target_speed.slow(1, 3.0))
            sent, speeds = self.run_load(400, plan, seed)
            share = plain_targets.target_share(sent, ONE, 2.0)
            self.assertLess(share, 0.01)
            self.assertLess(plain_targets.percentile(sent, 0.99), 150.0)
            self.assertGreater(speeds["d-0"].slowness, 2.0)

    def test_few_requests_of_a_quiet_load_try_a_slow_target(self):
        plan = plain_targets.Plan(target_speed.slow(1, 3.0))
        sent, _ = self.run_load(20, plan)
        self.assertLess(plain_targets.target_share(sent, ONE, 3.0), 0.04)

    def test_target_that_slows_above_half_of_its_slots_is_not_filled(self):
        plan = plain_targets.Plan(target_speed.slow(1, 4.0, 4))
        sent, _ = self.run_load(560, plan)
        late = [s for s in sent if s.at > 3.0]
        self.assertLess(plain_targets.percentile(late, 0.99), 200.0)
        # It is as good as the others for half of its slots.
        share = plain_targets.target_share(late, ONE)
        self.assertThat(share, testtools.matchers.GreaterThan(0.03))

    def test_changes_twice_a_minute_are_followed_within_seconds(self):
        plan = plain_targets.Plan(target_speed.changing(10.0))
        sent, _ = self.run_load(400, plan)
        slow = plain_targets.target_share(sent, ONE, 12.0, 20.0)
        self.assertLess(slow, 0.02)
        recovered = plain_targets.target_share(sent, ONE, 24.0, 30.0)
        self.assertGreater(recovered, 0.07)

    def test_nobody_is_avoided_if_all_are_slow_alike(self):
        plan = plain_targets.Plan(target_speed.slow(TARGETS, 3.0))
        sent, speeds = self.run_load(200, plan)
        self.assert_nobody_suspected(speeds)
        share = plain_targets.target_share(sent, HALF)
        self.assertAlmostEqual(0.5, share, delta=0.05)

    def test_slow_half_is_used_once_the_fast_half_is_full(self):
        plan = plain_targets.Plan(target_speed.slow(TARGETS // 2, 3.0))
        sent, _ = self.run_load(200, plan)
        self.assertLess(plain_targets.target_share(sent, HALF, 3.0), 0.04)
        sent, _ = self.run_load(440, plan)
        self.assertGreater(plain_targets.target_share(sent, HALF, 3.0), 0.08)
        self.assertGreater(plain_targets.goal_share(sent), 0.99)

    def test_estimates_that_are_lost_are_learned_again_in_seconds(self):
        plan = plain_targets.Plan(target_speed.slow(1, 3.0), lost_at=20.0)
        sent, _ = self.run_load(400, plan)
        share = plain_targets.target_share(sent, ONE, 21.0, 30.0)
        self.assertLess(share, 0.01)

    def test_large_requests_are_no_slowness(self):
        for share in (0.2, 0.5):
            _, speeds = self.run_load(120, large_share=share)
            self.assert_nobody_suspected(speeds)

    def test_the_own_queue_of_a_target_is_no_slowness(self):
        _, speeds = self.run_load(790)
        self.assert_nobody_suspected(speeds)

    def test_the_network_to_another_zone_is_no_slowness(self):
        plan = plain_targets.Plan(delay=lambda name: 0.08 * (name in HALF))
        _, speeds = self.run_load(700, plan, zones=("zb",) * 5 + ("za",) * 5)
        self.assert_nobody_suspected(speeds)

    def test_a_cut_link_is_no_slowness(self):
        plan = plain_targets.Plan(
            is_cut=lambda name, now: name in HALF and 10.0 < now < 15.0
        )
        sent, speeds = self.run_load(300, plan)
        self.assert_nobody_suspected(speeds)
        share = plain_targets.target_share(sent, HALF, 30.0)
        self.assertAlmostEqual(0.5, share, delta=0.05)


class CoordinatorTests(testtools.TestCase):
    """Who hears the ends of a zone's requests knows its targets' speeds."""

    def run_requests(self, is_near, zone):
        targets = [builders.make_target(f"d-{n}", "desk") for n in range(4)]
        sender = builders.make_router(targets, availability_zone=zone)
        receiver = builders.make_router(targets, name="a-2", address="10.0.0.2")
        receiver.fleet_state.peers.record_message(
            "10.0.0.1", "a-1", zone, 1, 100.0
        )
        now = 100.0
        rng = random.Random(1)
        for number in range(60):
            key = f"k{number}"
            query = messages.PlacementQuery(
                "a-1", key, "desk", 0, 0, 200.0, 0.0, 0.0, ()
            )
            name = f"d-{number % 4}"
            tried = tuple(t.name for t in targets if t.name != name)
            sender.chooser.answer_query(query._replace(tried=tried), now)
            update = sender.make_placement_update(key, now)
            receiver.apply_load_message(update, now, is_near)
            now += rng.uniform(0.09, 0.11) * (3 if name == "d-0" else 1)
            update, _ = sender.record_attempt_end(
                key, name, True, False, False, now
            )
            update = messages.decode(messages.encode(update))
            receiver.apply_load_message(update, now, is_near)
        return receiver.health, now

    def test_coordinators_learn_from_instances_of_their_zone(self):
        for is_near in (True, False):
            health, now = self.run_requests(is_near, "za")
            self.assertAlmostEqual(3.0, health.slowness("d-0", now), delta=0.4)
            self.assertEqual(1.0, health.slowness("d-1", now))
            self.assertLessEqual(health.comfortable_requests("d-0", now), 8)

    def test_times_of_other_zones_are_not_learned(self):
        health, now = self.run_requests(False, "zb")
        self.assertEqual(1.0, health.slowness("d-0", now))


class EngineStrainTests(testtools.TestCase):

    def test_number_of_requests_that_an_engine_handles_well_is_learned(self):
        speeds = target_speeds.TargetSpeeds()
        engine = builders.make_target("e-1")
        rng = random.Random(1)
        for number in range(60):
            requests = 1 + number % 8
            ratio = rng.uniform(0.9, 1.1) * (3.0 if requests > 4 else 1.0)
            speeds.record_ratio(engine, requests, ratio, number * 0.1)
        self.assertEqual(4.0, speeds.comfortable_requests("e-1", 6.0))
        self.assertEqual(1.0, speeds.slowness_with("e-1", 4, 6.0))
        self.assertAlmostEqual(
            3.0, speeds.slowness_with("e-1", 5, 6.0), delta=0.5
        )
        # It is filled again after some seconds, in case it has recovered.
        self.assertGreater(speeds.comfortable_requests("e-1", 9.0), 4.0)
        self.assertEqual(8.0, speeds.comfortable_requests("e-1", 20.0))


class SpeedChangesTests(testtools.TestCase):

    def test_each_change_is_told_once(self):
        changes = speed_changes.SpeedChanges()
        fast = target_speeds.TargetSpeed(1.0, 8.0, 1.0, 0.1)
        slow = fast._replace(slowness=3.0, comfortable=4.0, strain=2.0)
        events = []
        for now, speed in ((0, fast), (1, slow), (2, slow), (9, fast)):
            events.append(
                [c.event for c in changes.update({"d-1": speed}, float(now))]
            )
        told = [speed_changes.SLOW, speed_changes.STRAINED]
        ended = [speed_changes.FAST, speed_changes.RELIEVED]
        self.assertEqual([[], told, [], ended], events)

    def test_estimate_that_goes_up_and_down_is_told_seldom(self):
        changes = speed_changes.SpeedChanges()
        count = 0
        for number in range(400):
            speed = target_speeds.TargetSpeed(1.0 + number % 2, 8.0, 1.0, 0.1)
            count += len(changes.update({"d-1": speed}, number * 0.25))
        self.assertLessEqual(count, 100.0 / speed_changes.CHANGE_SECONDS + 1)


class PeerTimesTests(testtools.TestCase):

    def test_estimate_fades_without_measurements(self):
        times = peer_times.PeerTimes()
        for number in range(20):
            times.record("d-1", 8, 1.0, 300.0, number * 0.1)
            for name in ("d-2", "d-3", "d-4"):
                times.record(name, 8, 1.0, 100.0, number * 0.1)
        self.assertAlmostEqual(3.0, times.estimate("d-1", 2.0).slowness)
        later = times.estimate("d-1", 22.0).slowness
        self.assertThat(later, testtools.matchers.LessThan(2.5))
        self.assertEqual(1.0, times.estimate("d-1", 40.0).slowness)

    def test_request_without_answer_makes_a_target_slow(self):
        times = peer_times.PeerTimes()
        for number in range(20):
            for name in ("d-1", "d-2", "d-3"):
                times.record(name, 8, 1.0, 100.0, number * 0.1)
        self.assertEqual(1.0, times.overdue_ratio("d-1", 2.0, 2.1))
        self.assertGreater(times.overdue_ratio("d-1", 2.0, 3.0), 5.0)
        # A target that answers others meanwhile has a large request.
        times.record("d-1", 8, 2.0, 100.0, 2.95)
        self.assertEqual(1.0, times.overdue_ratio("d-1", 2.0, 3.0))
