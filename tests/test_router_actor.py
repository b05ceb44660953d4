"""Tests of the actor that runs the router."""

import time
from unittest import mock

import pykka
import testtools

from catkintrail.adapters import router_actor
from catkintrail.adapters import router_client
from catkintrail.core import store_views
from catkintrail.ports import fleet_state_source
from tests import relaying as builders
from tests import test_fleet_state_updater as updater_tests
from tests import virtual_fleet


class FailureTests(updater_tests.UpdaterTestCase):

    def test_exception_in_one_call_does_not_stop_the_actor(self):
        self.client.proxy.apply_target_events.defer(
            None, store_views.NO_POSITION, "test"
        )
        deadline = time.monotonic() + 1.0
        while time.monotonic() < deadline:
            self.assertFalse(self.client.status().is_ready)
        router = builders.make_router(name="a-2", address="10.0.0.2")
        self.client.proxy.handle_message(
            "10.0.0.2", router.fleet_state.heartbeat(1.0)
        ).get()
        peers = self.client.status().peers
        self.assertEqual(["10.0.0.2"], [peer.address for peer in peers])


class HistoryTests(testtools.TestCase):
    """An instance that reads what it has missed of the store's history."""

    def test_target_that_was_removed_meanwhile_does_not_come_back(self):
        # Guards against old events that replace newer knowledge of peers.
        target = builders.make_target("e-1")
        fleet = virtual_fleet.VirtualFleet({"za": 2}, [target])
        fleet.run(5.0)
        first, second = sorted(fleet.actors)
        fleet.actors[first].record_store_state(False)
        fleet.actors[second].apply_target_events(
            (fleet_state_source.TargetEvent("e-1", None, True),),
            store_views.Position(0, 7),
            router_actor.STORE_SOURCE,
        )
        fleet.run(1.0)
        fleet.actors[first].record_store_state(True)
        fleet.actors[first].apply_target_events(
            (
                fleet_state_source.TargetEvent("e-1", target, False),
                fleet_state_source.TargetEvent("e-1", None, True),
            ),
            store_views.Position(0, 9),
            router_actor.STORE_SOURCE,
        )
        fleet.run(0.1)
        for address in (first, second):
            listed = fleet.router(address).fleet_state.targets.targets
            self.assertEqual({}, listed)


class LateStatementTests(testtools.TestCase):
    """Instances that are told what the store held before."""

    NEW = "e-2"

    def setUp(self):
        super().setUp()
        self.first_target = builders.make_target("e-1")
        self.target = builders.make_target(self.NEW)
        self.fleet = virtual_fleet.VirtualFleet({"za": 3}, [self.first_target])
        self.fleet.run(5.0)
        self.late, *self.others = sorted(self.fleet.actors)
        for address in self.fleet.actors:
            self.read_list(address, 2, self.first_target)

    def read_list(self, address, revision, *targets):
        events = tuple(
            fleet_state_source.TargetEvent(t.name, t, False, None, 2)
            for t in targets
        )
        self.fleet.actors[address].replace_targets(
            events, store_views.Position(0, revision), router_actor.STORE_SOURCE
        )

    def watch(self, address, revision, *events):
        """Makes an instance read changes that lead to a revision."""
        self.fleet.actors[address].apply_target_events(
            events, store_views.Position(0, revision), router_actor.STORE_SOURCE
        )

    def written(self, revision):
        return fleet_state_source.TargetEvent(
            self.NEW, self.target, False, None, revision
        )

    def removed(self, revision):
        return fleet_state_source.TargetEvent(
            self.NEW, None, True, None, revision
        )

    def users(self):
        """Returns the instances that use the target."""
        self.fleet.run(0.1)
        return {
            address
            for address in self.fleet.actors
            if self.NEW
            in self.fleet.router(address).fleet_state.targets.by_service.get(
                "engines", {}
            )
        }

    def test_entry_told_after_its_removal_is_not_used_again(self):
        # Guards against DRAIN: a frozen instance wakes and reads an old event.
        self.fleet.stopped.add(self.late)
        for address in self.others:
            self.watch(address, 3, self.written(3))
            self.watch(address, 4, self.removed(3))
        self.fleet.run(0.1)
        self.fleet.stopped.discard(self.late)
        self.watch(self.late, 3, self.written(3))
        self.assertEqual({self.late}, self.users())
        self.watch(self.late, 4, self.removed(3))
        self.assertEqual(set(), self.users())

    def test_removal_of_which_only_peers_know_holds(self):
        # Guards against DRAIN: instances that have never listed the target.
        self.fleet.stopped.add(self.late)
        for address in self.others:
            self.watch(address, 4, self.written(3), self.removed(3))
        self.fleet.stopped.discard(self.late)
        self.watch(self.late, 3, self.written(3))
        self.assertEqual({self.late}, self.users())

    def test_entry_removed_before_an_instance_read_its_list_is_not_used(self):
        # Guards against DRAIN: an instance that knows no removal at all.
        self.fleet.stopped.add(self.late)
        for address in self.others:
            self.read_list(address, 4, self.first_target)
        self.fleet.stopped.discard(self.late)
        self.watch(self.late, 3, self.written(3))
        self.assertEqual({self.late}, self.users())

    def test_newest_list_with_an_older_entry_brings_nothing_back(self):
        # Guards against DRAIN: a list whose first page is older than its last.
        for address in self.others:
            self.watch(address, 3, self.written(3))
            self.watch(address, 4, self.removed(3))
        events = (self.written(3),)
        self.fleet.actors[self.late].replace_targets(
            events, store_views.Position(0, 4), router_actor.STORE_SOURCE
        )
        self.assertEqual(set(), self.users() - {self.late})

    def test_older_removal_does_not_remove_an_entry_written_again(self):
        # Guards against targets that stay unused after they were written again.
        self.fleet.stopped.add(self.late)
        for address in self.others:
            self.watch(address, 5, self.written(5))
        self.fleet.stopped.discard(self.late)
        self.watch(self.late, 3, self.written(3))
        self.watch(self.late, 4, self.removed(3))
        self.assertEqual(set(self.others), self.users() & set(self.others))
        self.watch(self.late, 5, self.written(5))
        self.assertEqual(set(self.fleet.actors), self.users())

    def test_entry_that_was_removed_and_written_again_is_used_by_all(self):
        for revision in (3, 5, 7):
            self.watch(self.late, revision, self.written(revision))
            self.assertEqual(set(self.fleet.actors), self.users())
            self.watch(self.late, revision + 1, self.removed(revision))
            self.assertEqual(set(), self.users())

    def test_state_of_a_peer_that_was_frozen_brings_nothing_back(self):
        # Guards against DRAIN: an instance that asks a peer for all it knows.
        self.watch(self.late, 3, self.written(3))
        self.assertEqual(set(self.fleet.actors), self.users())
        self.fleet.stopped.add(self.late)
        for address in self.others:
            self.watch(address, 4, self.removed(3))
        state = self.fleet.actors[self.late].peer_state()
        for address in self.others:
            self.fleet.actors[address].merge_targets(
                state.entries,
                store_views.Position(0, 4),
                state.complete_position,
                "peer",
            )
        self.assertEqual(set(), self.users() - {self.late})


class SuspensionTests(testtools.TestCase):

    def test_call_is_awaited_again_after_a_pause_of_the_process(self):
        # Guards against requests that fail because their process was paused.
        class PausedFuture:
            calls = 0

            def get(self, timeout):
                self.calls += 1
                if self.calls == 1:
                    raise pykka.Timeout(f"{timeout} seconds")
                return "result"

        proxy = mock.MagicMock()
        proxy.status.return_value = PausedFuture()
        actor = mock.MagicMock()
        actor.proxy.return_value = proxy
        client = router_client.RouterClient(actor, None, None, lambda: 0.0)
        self.assertEqual("result", client.status())
