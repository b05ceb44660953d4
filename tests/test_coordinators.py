"""Tests of placement by coordinators, and of the messages of large fleets."""

import collections

import testtools

from catkintrail.adapters import datagrams
from catkintrail.adapters import router_actor
from catkintrail.core import fleet_peers
from catkintrail.core import request_router
from catkintrail.core import store_views
from catkintrail.ports import fleet_state_source
from tests import relaying as builders
from tests import virtual_fleet

ZONES = ("za", "zb", "zc", "zd", "ze")
SETTLE_SECONDS = 12.0


def make_targets(per_zone, slots=5):
    return [
        builders.make_target(f"{zone}-{number}", zone=zone, slots=slots)
        for zone in ZONES
        for number in range(per_zone)
    ]


def make_fleet(per_zone, engines_per_zone=8, **options):
    fleet = virtual_fleet.VirtualFleet(
        dict.fromkeys(ZONES, per_zone),
        make_targets(engines_per_zone),
        **options,
    )
    fleet.run(SETTLE_SECONDS)
    fleet.renew_proofs()
    return fleet


def place_everywhere(fleet, count, seconds):
    """Places requests of all instances in turn; returns the placements.

    First tokens arrive at the predicted times.
    """
    placements = {}
    addresses = sorted(fleet.actors)
    for number in range(count):
        address = addresses[number % len(addresses)]
        if address in fleet.stopped:
            continue
        key = f"{address}/{number}"

        def keep(result, address=address, key=key):
            placements[key] = result
            if isinstance(result, request_router.Placement):
                fleet.at(
                    result.predicted_ms / 1000.0,
                    fleet.actors[address].record_first_token,
                    key,
                    result.predicted_ms,
                    result.predicted_ms,
                )

        fleet.at(
            seconds * number / count,
            lambda a=address, k=key, f=keep: fleet.place(a, k, then=f),
        )
    fleet.run(seconds + 1.0)
    return placements


class CoordinatorTests(testtools.TestCase):

    def test_instances_of_a_zone_agree_on_the_most_powerful_machines(self):
        cores = {f"10.{zone}.0.7": 2.0 for zone in range(len(ZONES))}
        fleet = make_fleet(8, cores=cores)
        for number, zone in enumerate(ZONES):
            self.assertEqual(
                {(f"10.{number}.0.7", f"10.{number}.0.1")},
                fleet.coordinators(zone),
            )

    def test_all_instances_know_the_size_of_the_fleet(self):
        # Retry budgets and shares of connections are divided by it.
        fleet = make_fleet(12)
        for address in fleet.actors:
            peers = fleet.router(address).fleet_state.peers
            self.assertEqual(60, peers.max_alive, address)

    def test_next_instance_takes_over_from_a_dead_coordinator(self):
        fleet = make_fleet(8)
        fleet.stopped.add("10.0.0.1")
        fleet.run(4.0)
        self.assertEqual({("10.0.0.2", "10.0.0.3")}, fleet.coordinators("za"))

    def test_instance_that_shuts_down_is_no_coordinator(self):
        fleet = make_fleet(8)
        fleet.actors["10.0.0.1"].announce_shutdown()
        fleet.run(1.0)
        self.assertEqual({("10.0.0.2", "10.0.0.3")}, fleet.coordinators("za"))

    def test_requests_are_placed_while_both_coordinators_are_dead(self):
        fleet = make_fleet(8)
        fleet.stopped |= {"10.0.0.1", "10.0.0.2"}
        placements = place_everywhere(fleet, 80, 1.0)
        self.assertEqual(76, len(placements))
        for placement in placements.values():
            self.assertIsInstance(placement, request_router.Placement)

    def test_coordinators_of_a_zone_that_was_cut_off_know_load_again(self):
        fleet = make_fleet(8)
        fleet.cut_zones.add("zb")
        fleet.run(6.0)
        peers = fleet.router("10.0.0.1").fleet_state.peers
        self.assertEqual({"zb"}, peers.unreachable_zones())
        fleet.cut_zones.clear()
        fleet.run(4.0)
        self.assertEqual(set(), peers.unreachable_zones())
        fleet.renew_proofs()
        placed = []
        fleet.place("10.1.0.5", "k", then=placed.append)
        fleet.run(0.5)
        target = placed[0].target.name
        self.assertIn("k", fleet.router("10.0.0.1").load.at(target))


class BurstTests(testtools.TestCase):
    """Instances that choose at the same moment must not choose alike."""

    def test_burst_fills_no_engine_beyond_its_slots(self):
        # 60 instances, 40 engines with 200 slots: a burst takes 3 in 4 of the
        # slots within 0.3 s.
        fleet = make_fleet(12)
        placements = place_everywhere(fleet, 150, 0.3)
        self.assertEqual(150, len(placements))
        counts = collections.Counter(
            placement.target.name for placement in placements.values()
        )
        self.assertLessEqual(max(counts.values()), 5)

    def test_coordinators_know_all_attempts(self):
        fleet = make_fleet(12)
        placements = place_everywhere(fleet, 60, 1.0)
        for zone in range(len(ZONES)):
            load = fleet.router(f"10.{zone}.0.1").load
            known = {key for keys in load.by_owner.values() for key in keys}
            self.assertEqual(set(placements), known)
        for key, placement in placements.items():
            fleet.finish(key.partition("/")[0], key, placement.target.name)
        fleet.run(1.0)
        for zone in range(len(ZONES)):
            load = fleet.router(f"10.{zone}.0.1").load
            self.assertEqual({}, load.by_target)


class FailureReportTests(testtools.TestCase):

    def test_coordinator_ejects_target_that_fails_different_instances(self):
        fleet = make_fleet(8)
        for address in ("10.0.0.4", "10.0.0.5"):
            fleet.finish(address, f"{address}/k", "za-3", is_success=False)
        fleet.run(0.5)
        coordinator = fleet.router("10.0.0.1")
        self.assertTrue(coordinator.health.is_ejected("za-3", fleet.now))
        other_zone = fleet.router("10.1.0.1")
        self.assertFalse(other_zone.health.is_ejected("za-3", fleet.now))
        self.assertGreater(other_zone.health.penalty("za-3", fleet.now), 0.0)


class TargetNewsTests(testtools.TestCase):

    def test_removal_of_many_targets_reaches_the_zone(self):
        # A message is one datagram, which has to be short enough.
        fleet = make_fleet(4)
        targets = [
            builders.make_target(f"{'long' * 20}-{n}") for n in range(1_000)
        ]
        watcher = fleet.actors["10.0.0.1"]
        for listed in (targets, []):
            events = tuple(
                fleet_state_source.TargetEvent(t.name, t, False) for t in listed
            )
            watcher.replace_targets(
                events, store_views.Position(1, 1), router_actor.STORE_SOURCE
            )
            fleet.run(0.5)
            known = fleet.router("10.0.0.3").fleet_state.targets.targets
            self.assertEqual({t.name for t in listed}, set(known))
        self.assertLess(fleet.longest_message, datagrams.MAX_DATAGRAM_BYTES)


class IdleMessageTests(testtools.TestCase):
    """What an idle instance sends must not grow with the fleet."""

    def count_messages(self, per_zone):
        """Returns messages a second of ordinary members and coordinators."""
        fleet = make_fleet(per_zone)
        fleet.sent.clear()
        fleet.run(20.0)
        rates = collections.Counter()
        for (address, _), count in fleet.sent.items():
            rates[address] += count / 20.0
        coordinators = {
            address
            for zone in ZONES
            for named in fleet.coordinators(zone)
            for address in named
        }
        ordinary = [r for a, r in rates.items() if a not in coordinators]
        return sum(ordinary) / len(ordinary), max(
            rates[a] for a in coordinators
        )

    def test_messages_of_an_ordinary_instance(self):
        small, _ = self.count_messages(5)
        large, _ = self.count_messages(25)
        self.assertLessEqual(large, 1.3 * small)

    def test_messages_of_a_coordinator_grow_with_its_zone_only(self):
        per_zone = 25
        _, busiest = self.count_messages(per_zone)
        heartbeats_per_second = 2
        zone_messages = heartbeats_per_second * per_zone
        self.assertLessEqual(busiest, zone_messages + 60)
        self.assertEqual(2, fleet_peers.COORDINATORS_PER_ZONE)
