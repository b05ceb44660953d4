"""Tests membership views after crashes, partitions, freezes and restarts."""

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from bench import fleet as fleets
from catkintrail.core import membership

CONVERGENCE_SECONDS = 20.0
DETECTION_SECONDS = 10.0
ZONES = {"x": 4, "y": 4, "z": 4}


def make_fleet(counts=None, settle=10.0):
    fleet = fleets.Fleet()
    fleet.add_zones(counts or ZONES)
    fleet.run(settle)
    return fleet


def views_agree(fleet):
    """Returns whether every running instance sees exactly the running ones."""
    running = sorted(n.core.membership.own_record.name for n in fleet.live())
    return all(
        n.core.membership.usable_instances() == running for n in fleet.live()
    )


def zone_cut(fleet, zones):
    """Drops all messages between the given zones and the others."""

    def is_cut(a, b):
        first = a.core.membership.own_record.zone in zones
        return first != (b.core.membership.own_record.zone in zones)

    fleet.is_cut = is_cut


class ConvergenceTests(testtools.TestCase):

    def assert_agreement(self, fleet, seconds=CONVERGENCE_SECONDS):
        elapsed = fleet.run_until(lambda: views_agree(fleet), seconds)
        self.assertThat(elapsed, matchers.LessThan(seconds))

    def test_views_agree_after_start(self):
        fleet = fleets.Fleet()
        fleet.add_zones(ZONES)
        self.assert_agreement(fleet)

    def test_crash_is_detected_in_the_zone_in_time(self):
        fleet = make_fleet()
        fleet.kill("x-0")
        zone_peers = [fleet.nodes[f"x-{n}"] for n in (1, 2, 3)]

        def is_detected():
            return not any(
                n.core.membership.is_usable("x-0") for n in zone_peers
            )

        elapsed = fleet.run_until(is_detected, DETECTION_SECONDS)
        self.assertThat(elapsed, matchers.LessThan(DETECTION_SECONDS))
        self.assert_agreement(fleet)

    def test_simultaneous_crashes(self):
        fleet = make_fleet()
        fleet.kill("x-0")
        fleet.kill("y-1")
        self.assert_agreement(fleet)

    def test_partitioned_zone_keeps_its_members_and_rejoins(self):
        fleet = make_fleet()
        zone_cut(fleet, {"x"})
        fleet.run(60.0)
        for number in range(4):
            view = fleet.nodes[f"x-{number}"].core.membership
            self.assertEqual(4, len(view.usable_instances("x")))
        fleet.is_cut = lambda a, b: False
        self.assert_agreement(fleet)

    def test_recovery_from_one_way_partition(self):
        fleet = make_fleet()
        fleet.is_cut = (
            lambda a, b: a.core.membership.own_record.zone
            == "x"
            != (b.core.membership.own_record.zone)
        )
        fleet.run(40.0)
        fleet.is_cut = lambda a, b: False
        self.assert_agreement(fleet)

    def test_frozen_instance_is_excluded_and_rejoins(self):
        fleet = make_fleet()
        fleet.nodes["y-2"].is_frozen = True
        fleet.run(15.0)
        view = fleet.nodes["y-0"].core.membership
        self.assertFalse(view.is_usable("y-2"))
        fleet.thaw("y-2")
        self.assert_agreement(fleet)
        fleet.run(10.0)
        self.assertTrue(views_agree(fleet))

    def test_replacement_joins(self):
        fleet = make_fleet()
        fleet.kill("z-3")
        fleet.add("z-9", "z", seeds=("10.0.0.1:1",))
        self.assert_agreement(fleet)

    def test_drain_is_announced_in_the_zone(self):
        fleet = make_fleet()
        node = fleet.nodes["x-1"]
        fleet.apply(node, node.core.drain(fleet.now))
        fleet.run(3.0)
        for number in (0, 2, 3):
            view = fleet.nodes[f"x-{number}"].core.membership
            self.assertFalse(view.is_usable("x-1"))

    def test_version_is_stable_without_failures(self):
        fleet = make_fleet(settle=30.0)
        versions = [n.core.membership.version for n in fleet.live()]
        fleet.run(120.0)
        after = [n.core.membership.version for n in fleet.live()]
        self.assertEqual(versions, after)

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(
                    ["kill", "freeze", "thaw", "cut", "heal"]
                ),
                strategies.integers(0, 8),
                strategies.floats(0.1, 12.0),
            ),
            max_size=6,
        )
    )
    @hypothesis.settings(max_examples=25)
    def test_views_agree_after_any_failures(self, steps):
        fleet = make_fleet({"x": 3, "y": 3, "z": 3})
        names = sorted(fleet.nodes)
        for action, index, seconds in steps:
            name = names[index]
            if action == "kill" and len(fleet.live()) > 4:
                fleet.kill(name)
            elif action == "freeze":
                fleet.nodes[name].is_frozen = True
            elif action == "thaw":
                fleet.thaw(name)
            elif action == "cut":
                zone_cut(fleet, {name[0]})
            else:
                fleet.is_cut = lambda a, b: False
            fleet.run(seconds)
        fleet.is_cut = lambda a, b: False
        for name in names:
            fleet.thaw(name)
        self.assert_agreement(fleet, 40.0)


class PauseTests(testtools.TestCase):

    def test_own_pause_causes_no_suspicion(self):
        fleet = make_fleet({"x": 3})
        view = fleet.nodes["x-0"].core.membership
        view.tick(fleet.now + 60.0)
        view.tick(fleet.now + 60.1)
        for member in view.members.values():
            self.assertEqual(membership.ALIVE, member.record.status)


class RefutationTests(testtools.TestCase):

    def test_suspicion_is_refuted_by_a_higher_incarnation(self):
        fleet = make_fleet({"x": 3})
        view = fleet.nodes["x-0"].core.membership
        view.on_disconnect(view.address_of("x-1"), fleet.now)
        before = view.members["x-1"].record.incarnation
        self.assertEqual(membership.SUSPECT, view.members["x-1"].record.status)
        fleet.run(5.0)
        record = view.members["x-1"].record
        self.assertEqual(membership.ALIVE, record.status)
        self.assertThat(record.incarnation, matchers.GreaterThan(before - 1))
