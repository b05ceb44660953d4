"""Tests of targets that are cold and take few requests."""

import collections
import math
import random

import testtools

from catkintrail import request_trace
from catkintrail.adapters import router_actor
from catkintrail.core import request_router
from catkintrail.core import store_views
from catkintrail.core import target_limits
from catkintrail.core.zones import cold_targets
from catkintrail.platform import wire
from catkintrail.ports import fleet_state_source
from tests import platform_standins
from tests import relaying as builders
from tests import virtual_fleet

COLD_SECONDS = 18.0
PER_SECOND = 3.0
# `cold-excess` and `cold-slack` of the users.
MAX_IN_A_SECOND = PER_SECOND * 1.5 + 5
TARGET = builders.make_target("e-1", born=50_000)


def make_configuration():
    configuration = builders.make_configuration()
    services = {
        name: service._replace(
            cold_seconds=COLD_SECONDS, cold_per_second=PER_SECOND
        )
        for name, service in configuration.services.items()
    }
    return configuration._replace(services=services)


class StateTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.cold = cold_targets.ColdTargets(True)
        self.cold.set_services(make_configuration().services)

    def accept(self, revision, left, now, key=None):
        order = store_views.Position(1, revision)
        return self.cold.accept(
            key or target_limits.make_key(TARGET), order, left, now
        )

    def remaining(self, now):
        return self.cold.remaining_seconds(TARGET, now)

    def test_target_is_cold_from_its_stated_start(self):
        self.assertEqual(PER_SECOND, self.cold.find(TARGET, 50.0 + 17.9))
        self.assertIsNone(self.cold.find(TARGET, 50.0 + 19.1))

    def test_first_sight_counts_where_clocks_differ(self):
        self.cold.unix_offset = 25.0
        self.cold.record_start(TARGET, 50.5)
        self.assertGreaterEqual(self.remaining(50.5), COLD_SECONDS)

    def test_entry_that_lapsed_does_not_make_an_old_target_cold(self):
        self.cold.record_start(TARGET, 500.0)
        self.assertEqual(0.0, self.remaining(500.0))

    def test_target_turns_cold_again_without_a_start(self):
        self.assertTrue(self.accept(7, 10.0, 500.0))
        self.assertAlmostEqual(9.0, self.remaining(501.0))
        self.assertEqual(0.0, self.remaining(510.1))

    def test_statement_that_is_heard_again_later_does_not_last_longer(self):
        self.accept(7, 18.0, 500.0)
        self.assertFalse(self.accept(7, 18.0, 510.0))
        self.assertAlmostEqual(8.0, self.remaining(510.0))
        self.assertTrue(self.accept(7, 1.0, 510.0))
        self.assertAlmostEqual(1.0, self.remaining(510.0))

    def test_newest_statement_holds(self):
        self.accept(7, 18.0, 500.0)
        self.assertTrue(self.accept(8, 0.0, 505.0))
        self.assertFalse(self.accept(7, 18.0, 506.0))
        self.assertEqual(0.0, self.remaining(506.0))

    def test_entry_does_not_end_the_time_after_a_start(self):
        self.accept(7, 0.0, 55.0)
        self.assertGreater(self.remaining(55.0), 12.0)

    def test_silent_target_may_be_back_under_the_same_name(self):
        self.cold.record_silence(TARGET, "", 500.0)
        self.assertEqual(PER_SECOND, self.cold.find(TARGET, 501.0))
        self.assertIsNone(self.cold.find(TARGET, 504.0))

    def test_one_peer_that_is_cut_off_makes_no_target_cold(self):
        for _ in range(5):
            self.cold.record_silence(TARGET, "a-2", 500.0)
        self.assertIsNone(self.cold.find(TARGET, 501.0))
        self.cold.record_silence(TARGET, "a-3", 500.5)
        self.assertEqual(PER_SECOND, self.cold.find(TARGET, 501.0))

    def test_nothing_is_cold_without_the_settings_or_a_rule(self):
        self.cold.is_active = False
        self.assertIsNone(self.cold.find(TARGET, 51.0))
        self.cold.is_active = True
        self.cold.set_services(builders.make_configuration().services)
        self.assertIsNone(self.cold.find(TARGET, 51.0))

    def test_rule_that_is_no_number_affects_only_its_service(self):
        services = make_configuration().services
        services["desk"] = services["desk"]._replace(cold_per_second=math.nan)
        self.assertEqual(["desk"], self.cold.set_services(services))
        self.assertEqual(["engines"], list(self.cold.rules))


class WireTests(testtools.TestCase):

    def decode(self, **fields):
        spec = platform_standins.make_spec(1)
        spec["services"][0].update(fields)
        return wire.decode_configuration(spec).services["engines"]

    def test_rule_of_a_service_is_decoded(self):
        service = self.decode(**{"cold-s": 18, "cold-per-s": 3.0})
        self.assertEqual(18.0, service.cold_seconds)
        self.assertEqual(3.0, service.cold_per_second)

    def test_malformed_rule_leaves_the_configuration_readable(self):
        for odd in ("3", True, -1, [], math.nan):
            rate = self.decode(**{"cold-per-s": odd}).cold_per_second
            self.assertTrue(math.isnan(rate), odd)

    def test_remaining_time_of_an_entry_is_decoded(self):
        for value, seconds in ((1500, 1.5), (0, 0.0), ("7", None), (-1, None)):
            entry = {"spec": {"cold-left-ms": value}}
            self.assertEqual(seconds, wire.decode_cold_seconds(entry))
        self.assertIsNone(wire.decode_cold_seconds({}))


class ChoiceTests(testtools.TestCase):

    NOW = 100.0

    def place_all(self, count, cold_names, tokens=1_000):
        targets = [
            builders.make_target(
                f"e-{n}", born=99_000 if f"e-{n}" in cold_names else 1
            )
            for n in range(2)
        ]
        router = builders.make_router(
            targets,
            configuration=make_configuration(),
            limits_cold_targets=True,
        )
        router.notices.cold.set_services(make_configuration().services)
        names = collections.Counter()
        for number in range(count):
            admission = router.admit(
                "wells.example", "/ask/a", "key-1", self.NOW
            )
            placement = router.place(
                request_router.PlacementRequest(
                    f"k{number}",
                    admission,
                    tokens,
                    100,
                    0.0,
                    frozenset(),
                    False,
                ),
                self.NOW,
            )
            names[placement.target.name] += 1
        return names

    def test_warm_target_with_capacity_is_preferred(self):
        self.assertEqual({"e-1": 4}, self.place_all(4, ("e-0",)))

    def test_short_requests_warm_a_target_when_others_are_half_full(self):
        self.assertIn("e-0", self.place_all(6, ("e-0",)))

    def test_long_requests_stay_away_until_others_are_full(self):
        self.assertNotIn("e-0", self.place_all(8, ("e-0",), 20_000))

    def test_cold_targets_are_used_if_there_are_no_others(self):
        self.assertEqual(2, sum(self.place_all(2, ("e-0", "e-1")).values()))


class ColdFleet:
    """Instances that send requests to targets which start or turn cold.

    Attributes:
        fleet: The instances.
        targets: The entry of each target, by name.
        up_at: When each target can be reached again, by name.
        counted: Time from which and until which requests at a target count, by
            name.
        arrivals: Times of the requests at each target, by name.
        results: Number of placements and refusals.
        is_told: Whether changes of entries reach the instances.
    """

    MAX_TRANSIT_SECONDS = 0.3
    RUN_SECONDS = 0.3

    def __init__(self, zone_sizes, per_zone, seed=1):
        self.rng = random.Random(seed)
        zones = sorted(zone_sizes)
        self.targets = {
            f"e-{n}": builders.make_target(
                f"e-{n}", zone=zones[n % len(zones)], born=1
            )
            for n in range(per_zone * len(zones))
        }
        self.fleet = virtual_fleet.VirtualFleet(
            zone_sizes,
            list(self.targets.values()),
            seed=seed,
            configuration=make_configuration(),
            limits_cold_targets=True,
        )
        self.zone_sizes = zone_sizes
        self.up_at = {}
        self.counted = {}
        self.arrivals = collections.defaultdict(list)
        self.results = collections.Counter()
        self.numbers = iter(range(1_000_000))
        self.is_told = True
        self.revision = 10
        self.events = {}
        self.fleet.on_start = self.list_targets
        # Targets that have been running for long before the first request.
        self.fleet.run(40.0)

    def list_targets(self, actor):
        """Lets an instance that starts read the entries of the store."""
        if self.events:
            actor.replace_targets(
                tuple(
                    self.events.get(name)
                    or fleet_state_source.TargetEvent(name, target, False)
                    for name, target in self.targets.items()
                ),
                store_views.Position(1, self.revision),
                router_actor.STORE_SOURCE,
            )

    def restart_target(self, name, down_seconds=1.0):
        """Crashes a target, which is back and cold after some time."""
        self.up_at[name] = self.fleet.now + down_seconds
        self.fleet.at(down_seconds, self._start_target, name)

    def _start_target(self, name):
        born = int(self.fleet.now * 1000.0) + 1
        self.targets[name] = self.targets[name]._replace(born=born)
        self.fleet._targets = list(self.targets.values())
        self.chill(name, COLD_SECONDS)

    def chill(self, name, seconds, lag_seconds=0.0):
        """Makes a target cold; requests count after the lag."""
        now = self.fleet.now
        self.counted[name] = (now + lag_seconds, now + seconds)
        self.revision += 1
        event = fleet_state_source.TargetEvent(
            name, self.targets[name], False, seconds, self.revision
        )
        self.events[name] = event
        position = store_views.Position(1, self.revision)
        for zone, size in self.zone_sizes.items():
            watchers = self.fleet.members(zone)[
                : 2 if sum(self.zone_sizes.values()) > 16 else size
            ]
            for address in watchers if self.is_told else ():
                self.fleet.at(
                    self.rng.uniform(0.0, 0.5),
                    self._tell,
                    address,
                    event,
                    position,
                )

    def _tell(self, address, event, position):
        if address not in self.fleet.stopped:
            self.fleet.actors[address].apply_target_events(
                (event,), position, router_actor.STORE_SOURCE
            )

    def play(self, seconds, rate):
        """Sends requests of random instances for some time."""
        self.fleet.renew_proofs()
        for number in range(int(seconds * rate)):
            self.fleet.at(number / rate, self.send_any)
        for second in range(1, int(seconds)):
            self.fleet.at(second, self.fleet.renew_proofs)
        self.fleet.run(seconds)

    def send_any(self):
        running = sorted(self.fleet.actors.keys() - self.fleet.stopped)
        address = self.rng.choice(running)
        key = f"{address}/{next(self.numbers)}"

        def follow(result):
            self.results[type(result).__name__] += 1
            if isinstance(result, request_router.Placement):
                self.transfer(address, key, result)

        self.fleet.place(address, key, 1_000, then=follow)

    def transfer(self, address, key, placement):
        router = self.fleet.router(address)
        if router.notices.find_obstacle(
            placement.target, placement.permits, self.fleet.now
        ):
            self.results["withheld"] += 1
            self.fleet.finish(address, key, placement.target.name)
            return
        self.fleet.at(
            self.rng.uniform(0.0, self.MAX_TRANSIT_SECONDS),
            self.arrive,
            address,
            key,
            placement.target,
        )

    def arrive(self, address, key, target):
        zones = {target.availability_zone, self.fleet._zones[address]}
        if len(zones) == 2 and zones & self.fleet.cut_zones:
            self.fleet.finish(address, key, target.name, False)
        elif self.fleet.now < self.up_at.get(target.name, 0.0):
            self.fleet.actors[address].record_attempt_end(
                key, target.name, False, True, True
            )
        else:
            self.arrivals[target.name].append(self.fleet.now)
            self.fleet.at(
                self.RUN_SECONDS, self.fleet.finish, address, key, target.name
            )

    def most_in_a_second(self):
        """Returns the most requests in any second at a cold target."""
        most = 0
        for name, (start, end) in self.counted.items():
            counted = [at for at in self.arrivals[name] if start <= at < end]
            for at in counted:
                most = max(
                    most, sum(at <= other < at + 1.0 for other in counted)
                )
        return most


class FleetTests(testtools.TestCase):
    """Bursts while targets are cold, from all instances together."""

    SIZES = {
        6: {"za": 2, "zb": 2, "zc": 2},
        24: {"za": 8, "zb": 8, "zc": 8},
        90: {"za": 30, "zb": 30, "zc": 30},
        195: {"za": 65, "zb": 65, "zc": 65},
    }

    def make(self, count, per_zone=4):
        return ColdFleet(self.SIZES[count], per_zone)

    def names(self, cold, zone):
        return [
            name
            for name, target in cold.targets.items()
            if target.availability_zone == zone
        ]

    def check_zone_restart(self, count):
        """Restarts all targets of a zone in a crowd that others cannot hold."""
        cold = self.make(count)
        for name in self.names(cold, "za"):
            cold.fleet.at(2.0, cold.restart_target, name)
        # Twelve targets with eight slots take 320 a second when warm.
        cold.play(12.0, 260.0)
        self.assertLessEqual(cold.most_in_a_second(), MAX_IN_A_SECOND)
        used = sum(len(cold.arrivals[name]) for name in self.names(cold, "za"))
        self.assertGreater(used, 4 * PER_SECOND)

    def test_zone_comes_back_cold_6_instances(self):
        self.check_zone_restart(6)

    def test_zone_comes_back_cold_24_instances(self):
        self.check_zone_restart(24)

    def test_zone_comes_back_cold_90_instances(self):
        self.check_zone_restart(90)

    def test_zone_comes_back_cold_195_instances(self):
        self.check_zone_restart(195)

    def check_cold_again(self, count):
        """Makes targets cold without a restart."""
        cold = self.make(count)
        for name in self.names(cold, "za") + self.names(cold, "zb"):
            # Half a second for the watch, and what is on its way.
            cold.fleet.at(2.0, cold.chill, name, 8.0, 1.2)
        cold.play(9.0, 200.0)
        self.assertLessEqual(cold.most_in_a_second(), MAX_IN_A_SECOND)

    def test_targets_turn_cold_without_a_restart_6_instances(self):
        self.check_cold_again(6)

    def test_targets_turn_cold_without_a_restart_195_instances(self):
        self.check_cold_again(195)

    def test_instances_that_restart_keep_the_bound(self):
        for count in (6, 24):
            cold = self.make(count)
            for name in self.names(cold, "za"):
                cold.fleet.at(2.0, cold.restart_target, name)
            for number, address in enumerate(cold.fleet.members("za")[:4]):
                cold.fleet.at(4.0 + number, cold.fleet.restart, address, 1.0)
            cold.play(12.0, 200.0)
            self.assertLessEqual(cold.most_in_a_second(), MAX_IN_A_SECOND)

    def test_lost_update_of_a_started_target_changes_nothing(self):
        # The start is known from the list of targets.
        cold = self.make(24)
        cold.is_told = False
        name = self.names(cold, "za")[0]
        target = cold.targets[name]._replace(
            born=int(cold.fleet.now * 1000.0) + 1
        )
        cold.counted[name] = (cold.fleet.now, cold.fleet.now + COLD_SECONDS)
        for actor in cold.fleet.actors.values():
            actor.apply_target_events(
                (fleet_state_source.TargetEvent(name, target, False),),
                store_views.Position(1, 50),
                "peer",
            )
        cold.play(6.0, 250.0)
        self.assertLessEqual(cold.most_in_a_second(), MAX_IN_A_SECOND)

    def test_zones_that_are_cut_off_share_the_rate(self):
        cold = self.make(24)
        for name in cold.targets:
            cold.fleet.at(2.0, cold.restart_target, name, 0.5)
        cold.fleet.at(4.0, cold.fleet.cut_zones.add, "za")
        cold.fleet.at(9.0, cold.fleet.cut_zones.clear)
        cold.play(14.0, 150.0)
        self.assertLessEqual(cold.most_in_a_second(), MAX_IN_A_SECOND)

    def test_old_entry_does_not_limit_a_target_after_a_restart(self):
        # Guards against instances that take all targets for cold after their
        # own start, because entries state what was true long ago.
        cold = self.make(6)
        cold.chill("e-0", 18.0)
        cold.fleet.run(30.0)
        address = cold.fleet.members("za")[0]
        cold.fleet.restart(address, 0.5)
        cold.fleet.run(3.0)
        notices = cold.fleet.router(address).notices
        self.assertIsNone(
            notices.cold.find(cold.targets["e-0"], cold.fleet.now)
        )


class ReportTests(testtools.TestCase):

    def test_explain_shows_that_a_target_was_cold(self):
        self.assertIn("target_cold", request_trace.TARGET_EVENTS)
        self.assertIn("target_warm", request_trace.TARGET_EVENTS)
