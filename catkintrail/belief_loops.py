"""Keeps an instance's beliefs fresh: from the store, and from peers."""

import logging
import random
import threading
from typing import Any, Callable, NamedTuple

from catkintrail import errors
from catkintrail.adapters import router_actor
from catkintrail.ports import belief_source

__all__ = ["BeliefLoops"]

_LOG = logging.getLogger("catkintrail.beliefs")

# A zone's proof holder asks this often, so that a proof is at most about three
# seconds old: well below the five in which a key has to be dead.
PROOF_WAIT_SECONDS = 2.0
# A watch may have missed changes of its last second where the store loses
# history; the proof leaves them out.
WATCH_DOUBT_SECONDS = 1.0
# Other watches wait long: they only bring changes. Keep-alive probes find
# connections that went silent.
LONG_WAIT_SECONDS = 20.0
# From this age on an instance asks the store itself, and then its peers: the
# proof holder's own one grows to about three seconds.
STALE_PROOF_SECONDS = 3.4
CHECK_SECONDS = 0.25
# How often an instance that does not watch looks whether it should.
ROLE_CHECK_SECONDS = 0.5
# Pause after a watch that brought changes: changes that follow at once come in
# one answer then, and each call is paid for.
WATCH_PAUSE_SECONDS = 0.15
# An instance whose peers know nothing recent either asks the store this often.
STORE_PAUSE_SECONDS = 2.0
# A watcher's own calls renew its proof; where they hang, it is renewed besides
# after this.
WATCHER_SLACK_SECONDS = 0.5
# Pauses after failures of the store, doubled up to the limit, with jitter.
BACKOFF_SECONDS = 0.1
BACKOFF_LIMIT_SECONDS = 1.0

# Peers that are asked in a round.
PEERS_ASKED = 4

ReadPeer = Callable[[str, int], router_actor.PeerState]


class _Backoff:
    """Pauses between failures."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause = BACKOFF_SECONDS

    def next(self) -> float:
        """Returns the next pause in seconds."""
        pause = self._pause
        self._pause = min(BACKOFF_LIMIT_SECONDS, pause * 2)
        return pause * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Notes a success."""
        self._pause = BACKOFF_SECONDS


class _Loop(NamedTuple):
    name: str
    run: Callable[[], None]


class _Round(NamedTuple):
    """What a reading or a watch led to.

    Attributes:
        revision: To watch from; -1 to read anew.
        pause_seconds: Before the next call.
        learn: Hands on what was found; called once the store's return is
            noted, on which the meaning of removals depends.
    """

    revision: int
    pause_seconds: float
    learn: Callable[[], None]


class BeliefLoops:
    """Threads that learn of the configuration and the targets.

    Attributes:
        source: The platform's store.
        router: The actor that keeps the beliefs.
        read_peer: Asks a peer for what it knows.
        clock: Returns the time in seconds.
        is_store_up: Whether the store answered its last call.
    """

    def __init__(
        self,
        source: belief_source.BeliefSource,
        router: router_actor.RouterClient,
        read_peer: ReadPeer,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.source = source
        self.router = router
        self.read_peer = read_peer
        self.clock = clock
        self.rng = rng
        self.is_store_up: bool | None = None
        self._stop = threading.Event()
        self._lock = threading.Lock()

    def start(self) -> None:
        """Starts the threads."""
        for loop in (
            _Loop("configuration-watch", self._watch_configuration),
            _Loop("target-watch", self._watch_targets),
            _Loop("proof", self._keep_proof),
        ):
            threading.Thread(
                target=self._guard, args=(loop,), name=loop.name, daemon=True
            ).start()

    def stop(self) -> None:
        """Ends the threads when their calls return."""
        self._stop.set()

    def _guard(self, loop: _Loop) -> None:
        while not self._stop.is_set():
            try:
                loop.run()
            except Exception:  # pylint: disable=broad-exception-caught
                # A fault in one round must not end the loop for good.
                _LOG.exception("loop_failed", extra={"loop": loop.name})
                self._stop.wait(BACKOFF_LIMIT_SECONDS)

    def _watch_configuration(self) -> None:
        self._follow("configuration", self._read_configuration)

    def _watch_targets(self) -> None:
        self._follow("targets", self._read_targets)

    def _follow(self, subject: str, read: Callable[[int], _Round]) -> None:
        """Reads, then watches, as long as this instance is to watch.

        Args:
            subject: What is followed, for the log.
            read: Reads anew where its argument is negative, else watches from
                that revision.
        """
        backoff = _Backoff(self.rng)
        revision = -1
        while not self._stop.is_set():
            if not self._may_watch():
                revision = -1
                continue
            try:
                found = read(revision)
            except errors.HistoryGoneError as error:
                self._note_reset(subject, error)
                revision = -1
                continue
            except errors.PlatformError as error:
                self._note_store(False, error)
                self._stop.wait(backoff.next())
                continue
            self._note_store(True)
            backoff.reset()
            found.learn()
            revision = found.revision
            self._stop.wait(found.pause_seconds)

    def _read_configuration(self, revision: int) -> _Round:
        sent_at = proven_at = self.clock()
        if revision < 0:
            reading = self.source.read_configuration()
            if reading.configuration is None:
                # Nothing is published yet.
                return _Round(-1, BACKOFF_LIMIT_SECONDS, lambda: None)
        else:
            wait = self._configuration_wait()
            reading = self.source.watch_configuration(revision, wait)
            if reading.configuration is None:
                waited = min(wait, self.clock() - sent_at)
                proven_at += max(0.0, waited - WATCH_DOUBT_SECONDS)
        is_news = reading.configuration is not None
        return _Round(
            reading.revision,
            WATCH_PAUSE_SECONDS if is_news else 0.0,
            lambda: self.router.proxy.learn_configuration.defer(
                reading.configuration, proven_at, router_actor.STORE
            ),
        )

    def _read_targets(self, revision: int) -> _Round:
        proxy = self.router.proxy
        if revision < 0:
            reading = self.source.list_targets()
            learn = proxy.learn_target_list
        else:
            reading = self.source.watch_targets(revision, LONG_WAIT_SECONDS)
            learn = proxy.learn_target_events
        return _Round(
            reading.revision,
            WATCH_PAUSE_SECONDS if reading.events else 0.0,
            lambda: learn.defer(reading.events, router_actor.STORE),
        )

    def _may_watch(self) -> bool:
        """Returns whether to watch; waits a little where not.

        An instance that knows nothing yet reads, whoever watches.
        """
        status = self.router.status()
        if status.is_watcher or not status.has_targets or status.version < 0:
            return True
        self._stop.wait(ROLE_CHECK_SECONDS)
        return False

    def _configuration_wait(self) -> float:
        status = self.router.status()
        return (
            PROOF_WAIT_SECONDS if status.is_proof_holder else LONG_WAIT_SECONDS
        )

    def _keep_proof(self) -> None:
        """Renews what watches, heartbeats and news left to grow old."""
        next_store = next_peers = 0.0
        backoff = _Backoff(self.rng)
        while not self._stop.wait(CHECK_SECONDS):
            status = self.router.status()
            if status.better_peer:
                self.router.proxy.forget_better_peer.defer(status.better_peer)
                if self._ask_peer(status.better_peer, status):
                    continue
            if not self._lacks_knowledge(status):
                backoff.reset()
                continue
            now = self.clock()
            if now >= next_peers and not status.is_watcher:
                next_peers = now + backoff.next()
                if self._ask_peers(status):
                    continue
            if now >= next_store:
                next_store = now + STORE_PAUSE_SECONDS * self.rng.uniform(
                    0.5, 1
                )
                if not self._read_store() and status.is_watcher:
                    self._ask_peers(status)

    def _lacks_knowledge(self, status: router_actor.Status) -> bool:
        """Returns whether what is known is old or incomplete."""
        limit = STALE_PROOF_SECONDS
        if status.is_watcher:
            limit += WATCHER_SLACK_SECONDS
        return (
            status.proof_age_seconds > limit
            or status.peer_version > status.version
            or not status.has_targets
        )

    def _read_store(self) -> bool:
        sent_at = self.clock()
        try:
            reading = self.source.read_configuration()
        except errors.PlatformError as error:
            self._note_store(False, error)
            return False
        self._note_store(True)
        if reading.configuration is not None:
            self.router.proxy.learn_configuration.defer(
                reading.configuration, sent_at, router_actor.STORE
            )
        return True

    def _ask_peers(self, status: router_actor.Status) -> bool:
        """Asks some peers until one knows enough; returns whether one did."""
        peers = list(status.peers)
        self.rng.shuffle(peers)
        for peer in peers[:PEERS_ASKED]:
            if self._ask_peer(peer, status):
                return True
        return False

    def _ask_peer(self, peer: str, status: router_actor.Status) -> bool:
        """Takes what a peer knows; returns whether that is recent."""
        sent_at = self.clock()
        try:
            state = self.read_peer(peer, status.version)
        except errors.PlatformError as error:
            _LOG.info("peer_silent", extra={"peer": peer, "reason": str(error)})
            return False
        if state.version < 0 or state.version < status.version:
            return False
        source = f"peer {peer}"
        proxy = self.router.proxy
        # The age counts from before the question: transit adds nothing.
        proven_at = sent_at - state.proof_age_seconds
        proxy.learn_configuration.defer(state.configuration, proven_at, source)
        # A watcher knows the targets better, unless the store is away.
        if state.targets and not (status.is_watcher and self.is_store_up):
            events = tuple(
                belief_source.TargetEvent(target.name, target, False)
                for target in state.targets
            )
            proxy.learn_target_list.defer(events, source)
        return state.proof_age_seconds < STALE_PROOF_SECONDS

    def _note_reset(self, subject: str, error: Exception) -> None:
        _LOG.warning(
            "history_gone", extra={"subject": subject, "reason": str(error)}
        )

    def _note_store(self, is_up: bool, error: Any = None) -> None:
        with self._lock:
            is_news = self.is_store_up is not is_up
            self.is_store_up = is_up
        if is_news:
            self.router.proxy.note_store.defer(is_up)
            level = logging.INFO if is_up else logging.WARNING
            event = "store_regained" if is_up else "store_lost"
            _LOG.log(level, event, extra={"reason": str(error or "")})
