"""Tests of zones to whose targets nothing may be sent."""

import itertools
import random
import threading
import time

import testtools

from catkintrail import errors
from catkintrail import evacuation_watcher
from catkintrail import request_trace
from catkintrail import verdict as verdicts
from catkintrail.adapters import router_actor
from catkintrail.adapters import metrics as metrics_module
from catkintrail.adapters import zone_metrics
from catkintrail.core import request_router
from catkintrail.core import store_views
from catkintrail.core.zones import evacuation
from catkintrail.platform import evacuations
from catkintrail.platform import store
from tests import platform_standins
from tests import relaying as builders
from tests import test_fleet_state_updater as updater_tests
from tests import test_relay_processes as process_tests
from tests import virtual_fleet
from tests import waits

BOUND_SECONDS = 5.0


def make_state(revision, *zones, era=1):
    return evacuation.EvacuationState(
        store_views.Position(era, revision), zones
    )


class StateTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.zones = evacuation.ZoneEvacuations(True)

    def update(self, *arguments, **options):
        state = make_state(*arguments, **options)
        return [
            (change.zone, change.event)
            for change in self.zones.update(state, "store", 1.0)
        ]

    def test_newest_position_wins_whatever_its_source(self):
        self.assertEqual([("za", "zone_evacuated")], self.update(5, "za"))
        self.assertEqual([], self.update(4))
        self.assertEqual([], self.update(5))
        self.assertTrue(self.zones.is_evacuated("za"))
        self.assertEqual(
            [("zb", "zone_evacuated"), ("za", "zone_returned")],
            self.update(6, "zb"),
        )

    def test_older_copy_of_the_store_is_newer_than_what_it_replaces(self):
        self.update(50, "za")
        self.update(7, era=2)
        self.assertFalse(self.zones.is_evacuated("za"))

    def test_evacuations_are_ignored_unless_the_settings_ask_for_them(self):
        router = builders.make_router([builders.make_target("e-1")])
        router.fleet_state.evacuations.update(make_state(5, "za"), "", 1.0)
        target = builders.make_target("e-1")
        self.assertEqual("", router.notices.find_obstacle(target, (), 100.0))
        settings = router.settings._replace(evacuation_seconds=5.0)
        router.apply_settings(settings)
        self.assertIn(
            "evacuated", router.notices.find_obstacle(target, (), 100.0)
        )

    def test_gauges_show_the_age_and_the_end_of_an_evacuation(self):
        metrics = metrics_module.Metrics()
        gauges = zone_metrics.EvacuationGauges(metrics.set)
        self.update(5, "za")
        gauges.update(self.zones, 4.0)
        content = metrics.render([""])[0].decode()
        self.assertIn('evacuation_age_seconds{zone="za"} 3.0', content)
        self.update(6)
        gauges.update(self.zones, 5.0)
        content = metrics.render([""])[0].decode()
        self.assertIn('evacuation_age_seconds{zone="za"} 0.0', content)
        self.assertIn("evacuated_zones 0.0", content)


class ChoiceTests(testtools.TestCase):

    def place(self, path, zones, evacuated, tokens=0):
        service = "desk" if path == "/book/a" else "engines"
        targets = [
            builders.make_target(f"e-{n}", service, zone=zone)
            for n, zone in enumerate(zones)
        ]
        router = builders.make_router(targets, evacuation_seconds=5.0)
        router.fleet_state.evacuations.update(
            make_state(5, *evacuated), "", 1.0
        )
        admission = router.admit("wells.example", path, "key-1", 100.0)
        request = request_router.PlacementRequest(
            "k", admission, tokens, 100, 0.0, frozenset(), False
        )
        return router.place(request, 100.0)

    def test_requests_of_plain_services_go_to_other_zones(self):
        for _ in range(20):
            placement = self.place("/book/a", ("za", "zb"), ("za",))
            self.assertEqual("zb", placement.target.availability_zone)

    def test_parts_of_divided_prompts_go_to_other_zones(self):
        zones = ("za",) * 6 + ("zb",) * 6
        placement = self.place("/ask/a", zones, ("za",), 500_000)
        used = {t.availability_zone for t in placement.helpers}
        self.assertEqual({"zb"}, used | {placement.target.availability_zone})

    def test_requests_are_refused_at_once_if_all_zones_are_evacuated(self):
        for path, tokens in (("/book/a", 0), ("/ask/a", 5_000)):
            refusal = self.place(path, ("za", "zb"), ("za", "zb"), tokens)
            self.assertEqual(verdicts.Reason.NO_TARGET, refusal.reason)
            self.assertIs(verdicts.Verdict.NOT_RUN, refusal.verdict)
            self.assertGreater(refusal.retry_after_seconds, 0.0)


class CarrierTests(testtools.TestCase):

    def test_peer_carries_no_connection_into_an_evacuated_zone(self):
        target = builders.make_target("e-1")
        fleet = virtual_fleet.VirtualFleet(
            {"za": 1}, [target], evacuation_seconds=BOUND_SECONDS
        )
        fleet.run(1.0)
        actor = fleet.actors["10.0.0.1"]
        self.assertEqual(target, actor.find_target("e-1"))
        actor.apply_evacuations(make_state(5, "za"), router_actor.STORE_SOURCE)
        self.assertIsNone(actor.find_target("e-1"))


class FleetTests(testtools.TestCase):
    """What one instance has read is known to all in time."""

    SIZES = (
        {"za": 2, "zb": 2, "zc": 2},
        {"za": 8, "zb": 8, "zc": 8},
        {f"z{n}": 39 for n in range(5)},
    )
    SPREAD_SECONDS = 1.0

    def make(self, sizes):
        targets = [
            builders.make_target(f"e-{n}", zone=zone)
            for n, zone in enumerate(sizes)
        ]
        fleet = virtual_fleet.VirtualFleet(
            sizes, targets, evacuation_seconds=BOUND_SECONDS
        )
        fleet.run(8.0)
        return fleet

    def tell(self, fleet, address, *arguments):
        fleet.actors[address].apply_evacuations(
            make_state(*arguments), router_actor.STORE_SOURCE
        )

    def count_evacuated(self, fleet, zone):
        return sum(
            fleet.router(address).notices.evacuations.is_evacuated(zone)
            for address in fleet.actors
            if address not in fleet.stopped
        )

    def test_change_that_one_instance_has_read_reaches_all(self):
        # Guards against instances that neither watch the store nor hear of
        # changes from those that do. The last member is no coordinator.
        for sizes in self.SIZES:
            fleet = self.make(sizes)
            zone = min(sizes)
            self.tell(fleet, fleet.members(zone)[-1], 5, zone)
            fleet.run(self.SPREAD_SECONDS)
            self.assertEqual(
                len(fleet.actors), self.count_evacuated(fleet, zone)
            )
            self.tell(fleet, fleet.members(max(sizes))[-1], 6)
            fleet.run(self.SPREAD_SECONDS)
            self.assertEqual(0, self.count_evacuated(fleet, zone))

    def test_heartbeats_tell_what_lost_messages_did_not(self):
        for sizes in self.SIZES:
            fleet = self.make(sizes)
            zone = min(sizes)
            for member in sizes:
                # A state that is applied without a message to others.
                router = fleet.router(fleet.members(member)[0])
                router.fleet_state.evacuations.update(
                    make_state(5, zone), "store", fleet.now
                )
            fleet.run(2.0 * self.SPREAD_SECONDS)
            self.assertEqual(
                len(fleet.actors), self.count_evacuated(fleet, zone)
            )

    def test_instances_that_start_later_or_were_frozen_learn_of_it(self):
        for sizes in self.SIZES[:2]:
            fleet = self.make(sizes)
            zone = min(sizes)
            frozen, restarted = fleet.members(max(sizes))[-2:]
            fleet.freeze(frozen, 3.0)
            fleet.restart(restarted, 3.0)
            fleet.run(0.1)
            self.tell(fleet, fleet.members(zone)[0], 5, zone)
            fleet.run(3.0 + 2.0 * self.SPREAD_SECONDS)
            self.assertEqual(
                len(fleet.actors), self.count_evacuated(fleet, zone)
            )

    def test_zone_that_was_cut_off_learns_of_it_after_the_partition(self):
        for sizes in self.SIZES[:2]:
            fleet = self.make(sizes)
            zone = max(sizes)
            fleet.cut_zones.add(zone)
            fleet.run(6.0)
            self.tell(fleet, fleet.members(min(sizes))[0], 5, zone)
            fleet.run(2.0)
            fleet.cut_zones.clear()
            fleet.run(4.0)
            self.assertEqual(
                len(fleet.actors), self.count_evacuated(fleet, zone)
            )

    def test_change_costs_few_messages_in_a_large_fleet(self):
        fleet = self.make(self.SIZES[-1])
        self.tell(fleet, "10.0.0.1", 5, "z0")
        fleet.run(1.0)
        sent = sum(
            count
            for (_, kind), count in fleet.sent.items()
            if kind in ("EvacuationNews", "Forwarded")
        )
        # Ten coordinators tell the 38 others of their zone, and other zones.
        self.assertLessEqual(sent, 10 * (38 + 4))


class WatcherTests(updater_tests.UpdaterTestCase):
    """An instance that reads the stand-in of the store."""

    def setUp(self):
        super().setUp()
        self.store = platform_standins.Store()
        self.addCleanup(self.store.close)
        self.store.put("config", "main", platform_standins.make_spec(1))
        self.store.put("servers", "e-1", {"zone": "za"})
        self.updater.source = store.StoreSource(
            store.StoreClient(self.store.address)
        )
        self.router.apply_settings(
            self.router.settings._replace(evacuation_seconds=BOUND_SECONDS)
        )
        self.client_of_store = self.updater.source.client
        self.watcher = evacuation_watcher.EvacuationWatcher(
            evacuations.EvacuationObjects(self.client_of_store),
            self.client,
            time.monotonic,
            random.Random(1),
        )
        self.addCleanup(self.watcher.stop)
        self.updater.observe = self.watcher.observe
        self.updater.start()
        self.watcher.start()
        self.zones = self.router.notices.evacuations
        self.assertTrue(waits.wait_until(lambda: self.zones.is_known))

    def assert_evacuated(self, *zones, seconds=1.0):
        self.assertTrue(
            waits.wait_until(
                lambda: set(self.zones.evacuations) == set(zones), seconds
            ),
            f"{zones} expected, known: {self.zones.state}",
        )

    def count_calls(self, text):
        return sum(f"evacuations{text}" in path for path in self.store.calls)

    def test_evacuations_are_known_from_the_start_to_the_end(self):
        self.store.put("evacuations", "za", {})
        self.assert_evacuated("za")
        self.store.put("evacuations", "zb", {})
        self.assert_evacuated("za", "zb")
        self.store.remove("evacuations", "za")
        self.assert_evacuated("zb")

    def test_malformed_entry_affects_only_itself(self):
        self.store.odd_values = {"zb": b"7"}
        self.store.put("evacuations", "zb", {})
        self.store.put("evacuations", "za", "odd")
        self.assert_evacuated("za")

    def test_change_after_a_silence_of_the_store_is_known_in_time(self):
        # Guards against a watch that the store has taken and never answers.
        for kinds in (
            frozenset({"evacuations"}),
            frozenset({"evacuations", "config", "servers"}),
        ):
            self.store.silent_kinds = kinds
            self.store.put("evacuations", "zx", {})
            time.sleep(1.0)
            self.store.silent_kinds = frozenset()
            # An instance is bound after four seconds with the store.
            time.sleep(4.0)
            self.store.put("evacuations", "za", {})
            self.assert_evacuated("za", "zx", seconds=BOUND_SECONDS - 0.5)
            self.store.remove("evacuations", "za")
            self.store.remove("evacuations", "zx")
            self.assert_evacuated(seconds=BOUND_SECONDS - 0.5)

    def test_change_after_an_outage_or_lost_history_is_known_in_time(self):
        self.store.discard_history()
        self.store.put("evacuations", "za", {})
        self.assert_evacuated("za", seconds=BOUND_SECONDS - 0.5)
        self.store.status = 503
        self.store.remove("evacuations", "za")
        time.sleep(2.0)
        self.store.status = 200
        self.assert_evacuated(seconds=BOUND_SECONDS - 0.5)

    def test_store_that_returns_from_an_older_copy_is_read_anew(self):
        copy = self.store.copy()
        self.store.put("evacuations", "za", {})
        self.assert_evacuated("za")
        self.store.restore(copy)
        self.assert_evacuated(seconds=2.0)
        self.store.put("evacuations", "zb", {})
        self.assert_evacuated("zb", seconds=2.0)

    def test_changes_of_targets_cause_no_calls_about_evacuations(self):
        self.assertTrue(waits.wait_until(lambda: self.count_calls("?watch")))
        lists, watches = self.count_calls(""), self.count_calls("?watch")
        for number in range(8):
            self.store.put("servers", "e-1", {"zone": "za", "slots": number})
            time.sleep(0.4)
        self.assertEqual(watches, self.count_calls("?watch"))
        self.assertEqual(lists, self.count_calls(""))

    def test_failure_of_this_kind_does_not_count_as_an_outage(self):
        failure = errors.PlatformError("unknown kind")

        def fail(*_):
            raise failure

        self.patch(self.watcher.source.client, "watch_pools", {})
        self.patch(self.watcher.source, "watch", fail)
        time.sleep(0.5)
        self.assertTrue(self.updater.is_store_up)


class UnknownZoneTests(testtools.TestCase):

    def test_zone_that_does_not_exist_is_reported_once(self):
        zones = evacuation.ZoneEvacuations(True)
        zones.update(make_state(5, "za", "odd"), "store", 1.0)
        self.assertEqual(["odd"], zones.take_unknown_zones({"za", "zb"}))
        self.assertEqual([], zones.take_unknown_zones({"za", "zb"}))


class ProcessTests(process_tests.RelayProcessTestCase):
    """Instances under load while a zone is evacuated and returns."""

    def setUp(self):
        super().setUp()
        self.targets = {}
        for zone in ("za", "zb"):
            self.targets[zone] = [
                platform_standins.Engine(f"{kind}-{zone}", service)
                for kind, service in (("e", "engines"), ("d", "desk"))
            ]
            for target in self.targets[zone]:
                self.addCleanup(target.close)
                self.store.put("servers", target.name, target.entry(zone=zone))
        # Addresses of their own: the port of the metrics is the same for all.
        ips = ("127.0.7.1", "127.0.7.2")
        self.relays = self.start_all(*ips, seeds=ips)
        self.numbers = itertools.count()
        self.statuses = []
        self.is_over = threading.Event()

    def request_often(self, relay):
        while not self.is_over.is_set():
            number = next(self.numbers)
            path = ("/ask/a", "/book/a")[number // 2 % 2]
            self.statuses.append(relay.request(path, f"r{number}")[0])
            time.sleep(0.02)

    def last_arrival(self, zone):
        return max(
            at for target in self.targets[zone] for at in target.arrivals
        )

    def has_arrival(self, zone, since):
        return all(
            any(at > since for at in target.arrivals)
            for target in self.targets[zone]
        )

    def test_targets_of_an_evacuated_zone_get_nothing_until_its_return(self):
        threads = [
            threading.Thread(target=self.request_often, args=(relay,))
            for relay in self.relays
        ]
        for thread in threads:
            thread.start()
            self.addCleanup(thread.join)
        self.addCleanup(self.is_over.set)
        self.assertTrue(waits.wait_until(lambda: self.has_arrival("za", 0.0)))
        self.store.put("evacuations", "za", {})
        evacuated_at = time.monotonic()
        time.sleep(2.0)
        self.assertLess(self.last_arrival("za") - evacuated_at, 1.0)
        self.assertTrue(self.has_arrival("zb", evacuated_at))
        self.store.remove("evacuations", "za")
        returned_at = time.monotonic()
        self.assertTrue(
            waits.wait_until(
                lambda: self.has_arrival("za", returned_at), BOUND_SECONDS
            )
        )
        self.assertEqual({200}, set(self.statuses))


class ReportTests(testtools.TestCase):

    def test_report_tells_on_how_many_instances_a_zone_was_evacuated(self):
        def make_line(second, event, instance):
            return {
                "time": f"2026-01-01T00:00:0{second}+00:00",
                "event": event,
                "instance": instance,
                "zone": "za",
            }

        lines = [
            make_line(2, "zone_returned", "a"),
            make_line(1, "zone_evacuated", "a"),
            make_line(1, "zone_evacuated", "b"),
        ]
        (zone,) = request_trace.report(lines).evacuations
        self.assertEqual(
            ("za", 1, 1), (zone.zone, zone.evacuated, zone.returned)
        )
