"""Tests for requests between instances whose owners die, freeze or change."""

import testtools
from testtools import matchers

from bench import fleet as fleets
from catkintrail import messages
from catkintrail.adapters import memory_platform
from catkintrail.core import dispatch
from catkintrail.core import directory
from catkintrail.core import pool as pools
from catkintrail.core import publication
from catkintrail.ports import platform

ZONES = {"x": 3, "y": 3}
KEY = pools.PoolKey("m", "x", 0)
MODEL = {
    "context_tokens": 1_000_000,
    "engine_kv_tokens": 400_000,
    "engine_slots": 4,
}


def make_target(name, zone, incarnation=1, leaving=False):
    return messages.TargetRecord(
        name, zone, "r", "m", f"{name}:1", incarnation, leaving
    )


def make_fleet(targets=4, organisation=None, zones=None):
    """Returns a fleet with a model, an organisation and targets per zone."""
    fleet = fleets.Fleet()
    fleet.add_zones(zones or ZONES)
    fleet.run(8.0)
    store = memory_platform.MemoryPlatform()
    edits = (
        publication.Edit("models", "m", MODEL),
        publication.Edit("organisations", "guild", organisation or {}),
    )
    change = publication.Change("c", "ops", 1.0, edits)
    snapshot = publication.publish(store, publication.empty_snapshot(), change)
    records = tuple(
        make_target(f"{zone}{number}", zone)
        for zone in (zones or ZONES)
        for number in range(targets)
    )
    listing = platform.TargetListing(1, records)
    for node in fleet.live():
        fleet.apply(node, node.core.apply_snapshot(snapshot, fleet.now))
        fleet.apply(node, node.core.apply_target_list(listing, fleet.now))
    fleet.run(3.0)
    return fleet


def submit(fleet, name, number=1, tokens=1_000, deadline=30.0, blocks=()):
    node = fleet.nodes[name]
    dispatch_request = dispatch.DispatchRequest(
        f"{name}/{number}",
        "m",
        "guild",
        1.0,
        tokens,
        10,
        blocks,
        5,
        0.5,
        fleet.now + deadline,
    )
    fleet.apply(node, node.core.submit(dispatch_request, fleet.now))
    return node


def owner_of(fleet, key=KEY):
    node = fleet.nodes[f"{key.zone}-0"]
    return node.core.directory.owner(key)


def other_instance(fleet, name, zone="x"):
    return next(
        n for n in sorted(fleet.nodes) if n != name and n.startswith(zone)
    )


class PlacementTests(testtools.TestCase):

    def wait_for_event(self, fleet, node, seconds):
        elapsed = fleet.run_until(lambda: node.events, seconds)
        self.assertThat(elapsed, matchers.LessThan(seconds))
        return node.events[0]

    def test_grant_comes_from_the_owner(self):
        fleet = make_fleet()
        owner = owner_of(fleet)
        node = submit(fleet, other_instance(fleet, owner))
        event = self.wait_for_event(fleet, node, 1.0)
        self.assertEqual(owner, event.owner)

    def test_all_instances_agree_on_the_owners(self):
        fleet = make_fleet()
        for zone in ZONES:
            key = KEY._replace(zone=zone)
            owners = {n.core.directory.owner(key) for n in fleet.live()}
            self.assertEqual(1, len(owners))
            owning = [n for n in fleet.live() if key in n.core.pools]
            self.assertEqual(1, len(owning))

    def test_dead_owner_is_replaced_within_two_seconds(self):
        fleet = make_fleet()
        owner = owner_of(fleet)
        fleet.kill(owner)
        node = submit(fleet, other_instance(fleet, owner))
        self.assertIsNotNone(self.wait_for_event(fleet, node, 2.0).granted)

    def test_death_of_an_owner_with_a_queue_loses_no_request(self):
        fleet = make_fleet(targets=1)
        owner = owner_of(fleet)
        name = other_instance(fleet, owner)
        for number in range(8):
            node = submit(fleet, name, number)
        fleet.run(0.5)
        granted = {e.request_id for e in node.events}
        fleet.kill(owner)
        fleet.run(15.0)
        answered = {event.request_id for event in node.events}
        self.assertThat(len(granted), matchers.LessThan(8))
        self.assertEqual(8, len(answered))

    def test_late_grant_of_a_resumed_owner_is_released(self):
        """Another owner has granted the request in the meantime."""
        fleet = make_fleet()
        owner = owner_of(fleet)
        fleet.nodes[owner].is_frozen = True
        node = submit(fleet, other_instance(fleet, owner))
        self.wait_for_event(fleet, node, 2.0)
        fleet.thaw(owner)
        fleet.run(3.0)
        self.assertEqual(1, len(node.events))
        for pool in fleet.nodes[owner].core.pools.values():
            self.assertEqual({}, pool.grants)

    def test_request_ends_at_its_deadline_without_peers(self):
        fleet = make_fleet()
        name = other_instance(fleet, owner_of(fleet))
        for other in list(fleet.nodes):
            if other != name:
                fleet.nodes[other].is_frozen = True
        fleet.is_cut = lambda a, b: True
        node = submit(fleet, name, deadline=4.0)
        event = self.wait_for_event(fleet, node, 4.3)
        self.assertIsNotNone(event.refusal or event.granted)

    def test_zone_without_targets_redirects_requests(self):
        fleet = make_fleet()
        for node in fleet.live():
            listing = platform.TargetListing(
                2, tuple(make_target(f"y{n}", "y") for n in range(4))
            )
            fleet.apply(node, node.core.apply_target_list(listing, fleet.now))
        fleet.run(3.0)
        node = submit(fleet, "x-1")
        event = self.wait_for_event(fleet, node, 1.0)
        self.assertEqual("y", event.granted.members[0].name[0])

    def test_long_prompts_with_equal_prefixes_go_to_one_zone(self):
        fleet = make_fleet()
        zones = set()
        for number, name in enumerate(("x-0", "x-1", "y-0", "y-2")):
            blocks = tuple(range(7, 300))
            node = submit(fleet, name, number, 150_000, 300.0, blocks)
            event = self.wait_for_event(fleet, node, 8.0)
            zones.add(event.granted.members[0].name[0])
            node.events.clear()
            done = messages.Released(
                event.request_id, event.granted.members[0].name, 0, 1
            )
            outputs = node.core.finish(event.request_id, done, fleet.now)
            fleet.apply(node, outputs)
        self.assertEqual(1, len(zones))

    def test_partitioned_zone_serves_its_own_long_prompts(self):
        fleet = make_fleet()
        fleet.is_cut = lambda a, b: (a.core.membership.own_record.zone) != (
            b.core.membership.own_record.zone
        )
        for number in range(6):
            blocks = (number,) * 200
            node = submit(fleet, "x-1", number, 150_000, 60.0, blocks)
            self.wait_for_event(fleet, node, 6.0)
            event = node.events.pop()
            self.assertEqual("x", event.granted.members[0].name[0])
            done = messages.Released(
                event.request_id, event.granted.members[0].name, 0, 1
            )
            outputs = node.core.finish(event.request_id, done, fleet.now)
            fleet.apply(node, outputs)


class DispatchTests(testtools.TestCase):
    """Tests one instance alone, with owners that do not reply."""

    def setUp(self):
        super().setUp()
        fleet = make_fleet()
        self.now = fleet.now
        owner = owner_of(fleet)
        self.core = fleet.nodes[other_instance(fleet, owner)].core
        request = dispatch.DispatchRequest(
            "r", "m", "guild", 1.0, 1_000, 10, (), 5, 0.5, self.now + 1.5
        )
        self.owner = self.core.dispatch.submit(request, self.now)[0].name

    def grant(self):
        member = messages.GroupMember("x0", "x0:1", 1)
        return messages.Granted("r", (member,), 1, 0)

    def test_grant_from_an_unexpected_owner_is_released(self):
        ((name, message),) = self.core.dispatch.handle_granted(
            "y-2", self.grant()
        )
        self.assertEqual("y-2", name)
        self.assertEqual(messages.Released("r", "x0", 2, 0), message)
        self.assertEqual([], self.core.dispatch.pop_events())
        self.core.dispatch.handle_granted(self.owner, self.grant())
        (event,) = self.core.dispatch.pop_events()
        self.assertEqual(self.owner, event.owner)

    def test_request_without_reply_ends_at_its_deadline(self):
        for step in range(16):
            self.core.dispatch.tick(self.now + step * 0.1)
        (event,) = self.core.dispatch.pop_events()
        self.assertEqual("deadline_exceeded", event.refusal.reason.value)
        self.assertEqual("not_run", event.refusal.verdict.value)


class DrainTests(testtools.TestCase):

    def test_queue_moves_to_the_next_owner(self):
        fleet = make_fleet(targets=1)
        owner = owner_of(fleet)
        name = other_instance(fleet, owner)
        for number in range(8):
            node = submit(fleet, name, number)
        fleet.run(0.3)
        answered_before = len(node.events)
        leaving = fleet.nodes[owner]
        fleet.apply(leaving, leaving.core.drain(fleet.now))
        self.assertFalse(leaving.core.is_ready())
        # Shorter than the interval after which a resent request would reach the
        # new owner.
        fleet.run(1.0)
        answered = {event.request_id for event in node.events}
        self.assertThat(answered_before, matchers.LessThan(8))
        self.assertEqual(8, len(answered))
        self.assertEqual({}, leaving.core.pools)

    def test_own_waiting_requests_are_placed_elsewhere(self):
        fleet = make_fleet(targets=1)
        owner = owner_of(fleet)
        for number in range(8):
            node = submit(fleet, owner, number)
        fleet.apply(node, node.core.drain(fleet.now))
        fleet.run(4.0)
        self.assertEqual(8, len({event.request_id for event in node.events}))


class LeavingTargetTests(testtools.TestCase):

    def test_leaving_target_stays_excluded_after_an_owner_change(self):
        """The outdated target list still shows the target as live."""
        fleet = make_fleet(targets=2)
        owner = owner_of(fleet)
        node = fleet.nodes[owner]
        done = messages.Released("r", "x0", 4, 0)
        own_record = node.core.membership.own_record
        fleet.apply(node, node.core.receive(own_record, done, fleet.now))
        fleet.run(1.0)
        fleet.kill(owner)
        fleet.run(8.0)
        name = other_instance(fleet, owner)
        for number in range(3):
            entry = submit(fleet, name, number)
        fleet.run(3.0)
        names = {
            event.granted.members[0].name
            for event in entry.events
            if event.granted
        }
        self.assertEqual({"x1"}, names)

    def test_replaced_target_gets_work_again(self):
        fleet = make_fleet(targets=1)
        node = fleet.nodes[owner_of(fleet)]
        done = messages.Released("r", "x0", 4, 0)
        own_record = node.core.membership.own_record
        fleet.apply(node, node.core.receive(own_record, done, fleet.now))
        listing = platform.TargetListing(
            2, (make_target("x0", "x", 2), make_target("y0", "y"))
        )
        for instance in fleet.live():
            fleet.apply(
                instance, instance.core.apply_target_list(listing, fleet.now)
            )
        entry = submit(fleet, "x-1")
        fleet.run(2.0)
        self.assertEqual("x0", entry.events[0].granted.members[0].name)


class LimitTests(testtools.TestCase):

    def count_passed(self, fleet, names, seconds, per_second):
        """Sends requests at a fixed rate; returns how many were admitted."""
        count = int(seconds * per_second)
        for step in range(count):
            submit(fleet, names[step % len(names)], f"{fleet.now}.{step}")
            fleet.run(1.0 / per_second)
        fleet.run(0.5)
        refused = 0
        for node in fleet.live():
            for event in node.events:
                refusal = event.refusal
                if refusal and refusal.reason.value == "rate_limited":
                    refused += 1
            node.events.clear()
        return count - refused

    def test_total_rate_of_all_instances_matches_the_limit(self):
        fleet = make_fleet(organisation={"requests_per_second": 10.0})
        names = sorted(fleet.nodes)
        self.count_passed(fleet, names, 10.0, 40)
        passed = self.count_passed(fleet, names, 30.0, 40)
        self.assertThat(passed, matchers.LessThan(10.0 * 30.0 * 1.1 + 10))
        self.assertThat(passed, matchers.GreaterThan(10.0 * 30.0 * 0.8))

    def test_zone_may_use_the_unused_limit_of_another(self):
        fleet = make_fleet(organisation={"requests_per_second": 10.0})
        names = ["x-0", "x-1", "x-2"]
        self.count_passed(fleet, names, 15.0, 30)
        passed = self.count_passed(fleet, names, 20.0, 30)
        self.assertThat(passed, matchers.GreaterThan(10.0 * 20.0 * 0.8))

    def test_frozen_home_does_not_block_requests(self):
        fleet = make_fleet(organisation={"requests_per_second": 20.0})
        coordinator = fleet.nodes["x-0"].core.limit_coordinators.coordinator_of(
            "guild", "x"
        )
        fleet.nodes[coordinator].is_frozen = True
        node = submit(fleet, other_instance(fleet, coordinator))
        elapsed = fleet.run_until(lambda: node.events, 3.0)
        self.assertThat(elapsed, matchers.LessThan(3.0))

    def test_rate_recovers_within_seconds_after_the_home_dies(self):
        fleet = make_fleet(organisation={"requests_per_second": 20.0})
        coordinator = fleet.nodes["x-0"].core.limit_coordinators.coordinator_of(
            "guild", "x"
        )
        names = [n for n in sorted(fleet.nodes) if n != coordinator]
        self.count_passed(fleet, names, 5.0, 40)
        fleet.kill(coordinator)
        self.count_passed(fleet, names, 12.0, 40)
        passed = self.count_passed(fleet, names, 20.0, 40)
        self.assertThat(passed, matchers.GreaterThan(20.0 * 20.0 * 0.8))
        self.assertThat(passed, matchers.LessThan(20.0 * 20.0 * 1.1 + 20))


class PoolNameTests(testtools.TestCase):

    def test_zones_and_shards_have_distinct_names(self):
        names = {
            directory.pool_name(KEY._replace(zone=zone, shard=shard))
            for zone in "xy"
            for shard in range(3)
        }
        self.assertEqual(6, len(names))
