"""Tests of the updates from the store and from peers."""

import random
import threading
import time

import testtools

from catkintrail import errors
from catkintrail import fleet_state_updater
from catkintrail.adapters import router_actor
from catkintrail.adapters import router_client
from catkintrail.adapters import router_status
from catkintrail.core import request_router
from catkintrail.core import store_views
from catkintrail.platform import store
from catkintrail.ports import fleet_state_source
from tests import platform_standins
from tests import relaying as builders


class FakeSource:
    """An in-memory store that a test controls.

    Attributes:
        is_up: Whether calls succeed.
        is_silent: Whether calls get no response until they time out.
        version: Version of the configuration.
        names: Names of the targets.
        calls: Kinds of the calls that were made.
        ended: Subjects whose watches were ended.
        loses_history: Whether the next watch of the configuration finds its
            history gone.
        changed: Notified when the configuration or the targets change.
    """

    def __init__(self):
        self.is_up = True
        self.is_silent = False
        self.version = 1
        self.names = ["e-1"]
        self.calls = []
        self.ended = []
        self.loses_history = False
        self.changed = threading.Condition()

    def change(self, version, names):
        with self.changed:
            self.version = version
            self.names = names
            self.changed.notify_all()

    def set_restore_callback(self, callback):
        pass

    def end_watch(self, subject):
        self.ended.append(subject)

    def _check(self, kind, timeout_seconds=1.5):
        self.calls.append(kind)
        if self.is_silent:
            time.sleep(timeout_seconds)
            raise errors.PlatformUnavailableError("the store is silent")
        if not self.is_up:
            raise errors.PlatformUnavailableError("the store is unavailable")

    def _configuration(self):
        return builders.make_configuration(self.version)

    def _events(self):
        return tuple(
            fleet_state_source.TargetEvent(
                name, builders.make_target(name), False
            )
            for name in self.names
        )

    def read_configuration(self, timeout_seconds):
        self._check("read", timeout_seconds)
        return fleet_state_source.ConfigurationUpdate(
            self._configuration(), store_views.Position(1, self.version)
        )

    def watch_configuration(self, position, wait_seconds):
        self._check("watch", wait_seconds + 1.5)
        if self.loses_history:
            self.loses_history = False
            raise errors.HistoryExpiredError("gone")
        with self.changed:
            if self.version == position.revision:
                self.changed.wait(min(wait_seconds, 0.2))
            is_changed = self.version != position.revision
            configuration = self._configuration() if is_changed else None
            return fleet_state_source.ConfigurationUpdate(
                configuration,
                store_views.Position(1, self.version),
                (self.version,) if is_changed else (),
            )

    def list_targets(self):
        self._check("list")
        return self._read_targets()

    def watch_targets(self, position, wait_seconds):
        self._check("watch targets")
        time.sleep(0.1)
        return self._read_targets()

    def _read_targets(self):
        return fleet_state_source.TargetUpdate(
            self._events(), store_views.Position(1, self.version)
        )


class UpdaterTestCase(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.source = FakeSource()
        self.router = request_router.RequestRouter(
            builders.make_settings(seeds=()),
            1,
            random.Random(1),
            time.monotonic(),
        )
        actor = router_actor.RouterActor.start(
            self.router, lambda addresses, message: None, time.monotonic
        )
        self.addCleanup(actor.stop)
        self.client = router_client.RouterClient(
            actor,
            self.router.notices,
            self.router.quarantine,
            time.monotonic,
        )
        self.peer_state = None
        self.updater = fleet_state_updater.FleetStateUpdater(
            self.source,
            self.client,
            self.read_peer,
            time.monotonic,
            random.Random(1),
        )
        self.addCleanup(self.updater.stop)

    def read_peer(self, address, known_version, timeout_seconds=1.0):
        if self.peer_state is None:
            raise errors.PlatformUnavailableError("the peer is silent")
        return self.peer_state

    def wait_for(self, condition, seconds=5.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition(self.client.status()):
                return
            time.sleep(0.02)
        self.fail(f"timed out with {self.client.status()}")


class FleetStateUpdaterTests(UpdaterTestCase):

    def test_store_is_read_and_watched(self):
        self.updater.start()
        self.wait_for(lambda status: status.is_ready)
        self.source.change(3, ["e-1", "e-2"])
        self.wait_for(lambda status: status.version == 3)
        self.wait_for(
            lambda status: "e-2" in self.router.fleet_state.targets.targets
        )

    def test_store_is_read_after_an_outage(self):
        self.source.is_up = False
        self.updater.start()
        time.sleep(0.3)
        self.assertFalse(self.client.status().is_ready)
        self.source.is_up = True
        self.wait_for(lambda status: status.is_ready)

    def test_keys_are_proven_soon_after_a_silent_outage(self):
        # Regression test for day scale-1 of Cedarline: callers were refused for
        # up to 3.6 s after the store had returned.
        self.updater.start()
        self.wait_for(lambda status: status.is_ready)
        for outage_seconds in (4.2, 5.4):
            self.source.is_silent = True
            time.sleep(outage_seconds)
            self.source.is_silent = False
            # A tenth of the deadline of most callers.
            self.wait_for(lambda status: status.proof_age_seconds < 1.0, 1.0)

    def test_older_list_of_a_peer_is_ignored(self):
        def merge(names, position):
            entries = builders.list_entries(
                map(builders.make_target, names), position
            )
            self.client.proxy.merge_targets(
                entries, position, position, "peer"
            ).get()
            return set(self.router.fleet_state.targets.targets)

        event = fleet_state_source.TargetEvent(
            "e-1", builders.make_target("e-1"), False
        )
        self.client.proxy.replace_targets(
            (event,), store_views.Position(1, 9), router_actor.STORE_SOURCE
        ).get()
        older = merge(["e-1", "e-2"], store_views.Position(1, 8))
        newer = merge(["e-1", "e-3"], store_views.Position(2, 1))
        self.assertEqual({"e-1"}, older)
        self.assertEqual({"e-1", "e-3"}, newer)

    def test_failed_calls_are_followed_by_backoff(self):
        self.source.is_up = False
        self.updater.start()
        time.sleep(1.5)
        self.assertLess(len(self.source.calls), 20)

    def test_lost_history_is_followed_by_a_read(self):
        self.updater.start()
        self.wait_for(lambda status: status.is_ready)
        self.source.calls.clear()
        self.source.loses_history = True
        end = time.monotonic() + 3.0
        while "read" not in self.source.calls and time.monotonic() < end:
            time.sleep(0.02)
        self.assertIn("read", self.source.calls)

    def test_history_that_is_replaced_again_and_again_causes_no_storm(self):
        def replace_history(position, wait_seconds):
            self.source.calls.append("watch")
            raise errors.HistoryReplacedError("replaced")

        self.source.watch_configuration = replace_history
        self.source.watch_targets = replace_history
        self.updater.start()
        self.wait_for(lambda status: status.is_ready)
        time.sleep(2.0)
        self.assertTrue(self.client.status().is_ready)
        self.assertLess(len(self.source.calls), 40)

    def test_peer_is_queried_while_the_store_is_unavailable(self):
        self.source.is_up = False
        self.client.proxy.handle_message(
            "10.0.0.2",
            builders.make_router(
                name="a-2", address="10.0.0.2"
            ).fleet_state.heartbeat(1.0),
        ).get()
        self.peer_state = router_status.PeerState(
            4,
            builders.make_configuration(4),
            0.5,
            tuple(
                builders.list_entries(
                    [builders.make_target("e-9")], store_views.Position(1, 5)
                )
            ),
            store_views.Position(1, 5),
            store_views.Position(1, 5),
        )
        self.updater.start()
        self.wait_for(lambda status: status.version == 4)
        self.wait_for(lambda status: status.has_target_list)
        self.assertIn("e-9", self.router.fleet_state.targets.targets)
        self.assertGreater(self.client.status().proof_age_seconds, 0.4)


class FrozenPeersTests(UpdaterTestCase):
    """An instance that does not watch the store, and whose peers freeze."""

    PEERS = 6

    def setUp(self):
        super().setUp()
        self.patch(self.router.fleet_state, "is_watcher", lambda: False)
        self.patch(self.router.fleet_state, "is_proof_holder", lambda: False)
        for number in range(2, 2 + self.PEERS):
            address = f"10.0.0.{number}"
            peer = builders.make_router(name=f"a-{number}", address=address)
            self.client.proxy.handle_message(
                address, peer.fleet_state.heartbeat(1.0)
            ).get()
        now = time.monotonic()
        # The proof is stale.
        self.router.fleet_state.update_configuration(
            builders.make_configuration(1), now - 3.0
        )
        self.router.fleet_state.replace_targets([], now)
        self.router.fleet_state.targets_complete_at = now
        self.answer_seconds = 9.0

    def read_peer(self, address, known_version, timeout_seconds=1.0):
        time.sleep(min(timeout_seconds, self.answer_seconds))
        if self.answer_seconds > timeout_seconds:
            raise errors.PlatformUnavailableError("the peer is silent")
        return self.peer_state

    def test_store_is_read_before_many_peers_were_waited_for(self):
        self.source.change(3, ["e-1"])
        self.updater.start()
        self.wait_for(lambda status: status.version == 3, 1.5)

    def test_peers_that_answer_slowly_are_waited_for_in_the_end(self):
        self.source.is_up = False
        self.answer_seconds = 0.7
        self.peer_state = router_status.PeerState(
            4,
            builders.make_configuration(4),
            0.5,
            tuple(
                builders.list_entries(
                    [builders.make_target("e-9")], store_views.Position(1, 5)
                )
            ),
            store_views.Position(1, 5),
            store_views.Position(1, 5),
        )
        self.updater.start()
        self.wait_for(lambda status: status.version == 4)


class StoreStandinTestCase(UpdaterTestCase):
    """An updater that reads a stand-in of the platform's store."""

    def setUp(self):
        super().setUp()
        self.store = platform_standins.Store()
        self.addCleanup(self.store.close)
        self.store.put("config", "main", platform_standins.make_spec(1))
        self.put_target("e-1")
        self.put_target("e-2")
        self.updater.source = store.StoreSource(
            store.StoreClient(self.store.address)
        )

    def put_target(self, name, state="ready"):
        entry = {
            "service": "engines",
            "address": "10.1.0.1:80",
            "zone": "za",
            "slots": 8,
            "state": state,
            "born": 1_700_000_000_000,
        }
        self.store.put("servers", name, entry)

    def usable(self):
        return set(
            self.router.fleet_state.targets.by_service.get("engines", {})
        )


class SilentStoreTests(StoreStandinTestCase):
    """A store that takes calls and never answers them, for some time."""

    # As stated by the users.
    DRAIN_SECONDS = 2.0
    CONTACT_SECONDS = 3.0
    # The watch of the targets is opened within this time after a change.
    PAUSE_SECONDS = 0.6
    ALL_KINDS = frozenset({"config", "servers"})

    def be_silent(self, kinds, seconds):
        """Lets the watch of the targets be opened in a silence."""
        self.updater.start()
        self.wait_for(lambda status: status.is_ready)
        self.put_target("e-3")
        self.wait_for(lambda _: "e-3" in self.usable())
        self.store.silent_kinds = kinds
        time.sleep(seconds)
        self.store.silent_kinds = frozenset()

    def test_leaving_after_a_long_silence_is_known_in_time(self):
        self.be_silent(self.ALL_KINDS, 3.3)
        time.sleep(self.CONTACT_SECONDS)
        self.put_target("e-1", "draining")
        self.wait_for(lambda _: "e-1" not in self.usable(), self.DRAIN_SECONDS)

    def test_leaving_after_a_short_silence_is_known_in_time(self):
        self.be_silent(self.ALL_KINDS, self.PAUSE_SECONDS)
        time.sleep(self.CONTACT_SECONDS)
        self.put_target("e-1", "draining")
        self.wait_for(lambda _: "e-1" not in self.usable(), self.DRAIN_SECONDS)

    def test_leaving_after_a_silence_about_targets_only_is_known_in_time(self):
        self.be_silent(frozenset({"servers"}), self.PAUSE_SECONDS)
        time.sleep(self.CONTACT_SECONDS)
        self.put_target("e-1", "draining")
        self.wait_for(lambda _: "e-1" not in self.usable(), self.DRAIN_SECONDS)


class ProofHolderTests(StoreStandinTestCase):

    def count_short_watches(self):
        return sum("wait-ms=1000" in path for path in self.store.calls)

    def test_new_proof_holder_does_not_wait_for_its_long_watch(self):
        is_holder = False
        self.router.fleet_state.is_proof_holder = lambda: is_holder
        self.updater.start()
        self.wait_for(lambda status: status.is_ready)
        time.sleep(0.5)
        self.assertEqual(0, self.count_short_watches())
        is_holder = True
        self.wait_for(lambda _: self.count_short_watches(), 1.0)
        self.assertTrue(self.updater.is_store_up)


class RestoredStoreTests(StoreStandinTestCase):
    """A store that has come back from an older copy, and is quiet then."""

    QUIET_SECONDS = 3.0

    def test_removal_long_after_the_return_is_not_taken_for_a_lapse(self):
        self.updater.start()
        self.wait_for(lambda status: status.is_ready)
        copy = self.store.copy()
        # The new history passes the revision that was read before.
        self.store.restore(copy, [("config", "other", {})])
        time.sleep(self.QUIET_SECONDS)
        self.store.remove("servers", "e-1")
        self.wait_for(lambda _: self.usable() == {"e-2"}, 1.0)
