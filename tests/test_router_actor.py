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
