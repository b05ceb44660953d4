import random
import threading
import time

import testtools

from catkintrail import belief_loops
from catkintrail import errors
from catkintrail.adapters import router_actor
from catkintrail.core import request_router
from catkintrail.ports import belief_source
from tests import relaying as builders


class FakeSource:
    """A store that the test holds in its hands.

    Attributes:
        is_up: Whether it answers.
        version: Of the configuration; 0 for none.
        names: Of the targets.
        calls: Kinds of the calls made.
        forgets: Whether the next watch finds no history.
    """

    def __init__(self):
        self.is_up = True
        self.version = 1
        self.names = ["e-1"]
        self.calls = []
        self.forgets = False
        self.news = threading.Condition()

    def change(self, version, names):
        with self.news:
            self.version = version
            self.names = names
            self.news.notify_all()

    def _check(self, kind):
        self.calls.append(kind)
        if not self.is_up:
            raise errors.PlatformUnavailableError("away")

    def _configuration(self):
        return builders.make_configuration(self.version)

    def _events(self):
        return tuple(
            belief_source.TargetEvent(name, builders.make_target(name), False)
            for name in self.names
        )

    def read_configuration(self):
        self._check("read")
        return belief_source.ConfigurationReading(
            self._configuration(), self.version
        )

    def watch_configuration(self, revision, wait_seconds):
        self._check("watch")
        if self.forgets:
            self.forgets = False
            raise errors.HistoryGoneError("gone")
        with self.news:
            if self.version == revision:
                self.news.wait(min(wait_seconds, 0.2))
            is_news = self.version != revision
            found = self._configuration() if is_news else None
            return belief_source.ConfigurationReading(found, self.version)

    def list_targets(self):
        self._check("list")
        return belief_source.TargetReading(self._events(), 1)

    def watch_targets(self, revision, wait_seconds):
        self._check("watch targets")
        time.sleep(0.1)
        return belief_source.TargetReading(self._events(), revision)


class BeliefLoopsTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.source = FakeSource()
        self.router = request_router.RequestRouter(
            builders.make_settings(seeds=()), 1, random.Random(1)
        )
        actor = router_actor.RouterActor.start(
            self.router, lambda addresses, message: None, time.monotonic
        )
        self.addCleanup(actor.stop)
        self.client = router_actor.RouterClient(actor)
        self.peer_state = None
        self.loops = belief_loops.BeliefLoops(
            self.source,
            self.client,
            self.read_peer,
            time.monotonic,
            random.Random(1),
        )
        self.addCleanup(self.loops.stop)

    def read_peer(self, address, known_version):
        if self.peer_state is None:
            raise errors.PlatformUnavailableError("silent")
        return self.peer_state

    def wait_for(self, condition, seconds=5.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition(self.client.status()):
                return
            time.sleep(0.02)
        self.fail(f"in vain: {self.client.status()}")

    def test_store_is_read_and_watched(self):
        self.loops.start()
        self.wait_for(lambda status: status.is_ready)
        self.source.change(3, ["e-1", "e-2"])
        self.wait_for(lambda status: status.version == 3)
        self.wait_for(
            lambda status: "e-2" in self.router.knowledge.targets.targets
        )

    def test_store_that_comes_back_is_read_again(self):
        self.source.is_up = False
        self.loops.start()
        time.sleep(0.3)
        self.assertFalse(self.client.status().is_ready)
        self.source.is_up = True
        self.wait_for(lambda status: status.is_ready)

    def test_failures_are_followed_by_pauses(self):
        self.source.is_up = False
        self.loops.start()
        time.sleep(1.5)
        self.assertLess(len(self.source.calls), 20)

    def test_forgotten_history_is_read_anew(self):
        self.loops.start()
        self.wait_for(lambda status: status.is_ready)
        self.source.calls.clear()
        self.source.forgets = True
        end = time.monotonic() + 3.0
        while "read" not in self.source.calls and time.monotonic() < end:
            time.sleep(0.02)
        self.assertIn("read", self.source.calls)

    def test_peer_is_asked_while_the_store_is_away(self):
        self.source.is_up = False
        self.client.proxy.hear(
            "10.0.0.2",
            builders.make_router(
                name="a-2", address="10.0.0.2"
            ).knowledge.heartbeat(1.0),
        ).get()
        self.peer_state = router_actor.PeerState(
            4,
            builders.make_configuration(4),
            0.5,
            (builders.make_target("e-9"),),
        )
        self.loops.start()
        self.wait_for(lambda status: status.version == 4)
        self.wait_for(lambda status: status.has_targets)
        self.assertIn("e-9", self.router.knowledge.targets.targets)
        self.assertGreater(self.client.status().proof_age_seconds, 0.4)
