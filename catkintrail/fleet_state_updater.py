"""Keeps an instance's view of the configuration and the targets up to date.

A proof is the evidence that a version of the configuration was the newest at
some time. Some instances of a zone watch the store; one of them, the proof
holder, renews the proof often. The others are informed by their peers, and call
the store or a peer themselves only if their state is stale.
"""

import contextlib
import itertools
import logging
import random
import threading
from typing import Any, Callable, Iterable, Iterator, NamedTuple

from catkintrail import errors
from catkintrail.adapters import router_actor
from catkintrail.adapters import router_client
from catkintrail.adapters import router_status
from catkintrail.core import backoff as backoffs
from catkintrail.core import store_views
from catkintrail.core import watch_progress
from catkintrail.ports import fleet_state_source

__all__ = ["FleetStateUpdater"]

_LOG = logging.getLogger("catkintrail.beliefs")

# Longest watch call of a zone's proof holder. It keeps the proof at most about
# two seconds old, so that an outage of the store of two seconds refuses nobody:
# a revoked key has to stop working within five seconds.
PROOF_WATCH_SECONDS = 1.0
# If the store loses history, a watch may have missed changes of its last
# second. The proof therefore excludes that second.
WATCH_UNCERTAINTY_SECONDS = 1.0
# Other watches only deliver changes and can last long. TCP keep-alive probes
# detect dead connections.
WATCH_SECONDS = 20.0
# A proof older than this is stale, and an instance renews it by calls to the
# store or to its peers. The proof holder's own proof reaches an age of about
# two seconds.
STALE_PROOF_SECONDS = 2.8
CHECK_SECONDS = 0.25
# How often an instance that does not watch checks whether it has to.
ROLE_CHECK_SECONDS = 0.5
# Pause after a watch that returned changes. Changes that follow closely are
# then returned by one call, and every call has a cost. Targets change often,
# and those that leave serve on for seconds.
CONFIGURATION_PAUSE_SECONDS = 0.15
TARGETS_PAUSE_SECONDS = 0.5
# How often an instance reads the store while its state is stale: a watcher, and
# another instance whose peers are stale as well.
WATCHER_READ_INTERVAL_SECONDS = 0.5
STORE_READ_INTERVAL_SECONDS = 2.0
# A store that has been silent may answer the next call at once. Every third
# read waits longer, for a store that is slow.
READ_TIMEOUTS_SECONDS = (0.5, 0.5, 1.5)
# A watcher's proof is renewed by its watch calls. If they hang, it is renewed
# separately this long after it has become stale.
WATCHER_GRACE_SECONDS = 0.5

# Maximum number of peers called in one round.
MAX_PEERS_QUERIED = 4
# Peers answer within milliseconds, or are frozen or cut off. Every third round
# waits longer, for peers that are slow.
PEER_TIMEOUTS_SECONDS = (0.25, 0.25, 1.0)
# No further peer is called after this time in one round, so that the store is
# read soon.
PEER_ROUND_SECONDS = 0.45

PeerReader = Callable[[str, int, float], router_status.PeerState]
PositionObserver = Callable[[store_views.Position, Iterable[int]], None]


class _Loop(NamedTuple):
    name: str
    run: Callable[[], None]


class _FetchResult(NamedTuple):
    """Result of a read or a watch call.

    Attributes:
        position: Where to watch from next; None to read everything again.
        mark: Position or version that the result reflects, to be compared with
            what others know; see core.watch_progress.
        pause_seconds: Pause before the next call.
        apply: Passes the result to the router. It is called after the store
            was recorded as available, because the meaning of removals depends
            on that.
    """

    position: store_views.Position | None
    mark: Any
    pause_seconds: float
    apply: Callable[[], None]


class FleetStateUpdater:
    """Threads that keep the configuration and the targets up to date.

    Attributes:
        source: The platform's store.
        router: Client of the actor that holds the state.
        read_peer: Reads the state of the peer at an address. The second
            argument is the configuration version that is known already, the
            third how long to wait, in seconds.
        clock: Returns the time in seconds.
        is_store_up: Whether the last call to the store succeeded; None before
            the first.
        observe: Takes positions of the whole store, and revisions up to there
            that are changes of the configuration or the targets.
    """

    def __init__(
        self,
        source: fleet_state_source.FleetStateSource,
        router: router_client.RouterClient,
        read_peer: PeerReader,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.source = source
        self.router = router
        self.read_peer = read_peer
        self.clock = clock
        self.rng = rng
        self.is_store_up: bool | None = None
        self.observe: PositionObserver = lambda position, revisions: None
        self._stop = threading.Event()
        self._lock = threading.Lock()
        # Guarded by the lock.
        self._progress = {
            subject: watch_progress.WatchProgress()
            for subject in fleet_state_source.SUBJECTS
        }
        # Subjects whose watch was ended by this instance, and whether all of
        # the subject has to be read anew.
        self._ended: dict[str, bool] = {}
        self._last_success_called_at = float("-inf")
        # Longest wait of the last watch of the configuration.
        self._watch_seconds = 0.0
        self._are_targets_stale = False

    def start(self) -> None:
        """Starts the threads."""
        self.source.set_restore_callback(
            self.router.proxy.record_store_restored.defer
        )
        for loop in (
            _Loop("configuration-watch", self._watch_configuration),
            _Loop("target-watch", self._watch_targets),
            _Loop("proof", self._refresh_stale_state),
        ):
            threading.Thread(
                target=self._run_loop, args=(loop,), name=loop.name, daemon=True
            ).start()

    def stop(self) -> None:
        """Makes the threads end after their current calls."""
        self._stop.set()

    def _run_loop(self, loop: _Loop) -> None:
        while not self._stop.is_set():
            try:
                loop.run()
            except Exception:  # pylint: disable=broad-exception-caught
                # An unexpected exception must not end the thread.
                _LOG.exception("loop_failed", extra={"loop": loop.name})
                self._stop.wait(backoffs.MAX_PAUSE_SECONDS)

    def _watch_configuration(self) -> None:
        self._run_watch(
            fleet_state_source.CONFIGURATION, self._fetch_configuration
        )

    def _watch_targets(self) -> None:
        self._run_watch(fleet_state_source.TARGETS, self._fetch_targets)

    def _run_watch(
        self,
        subject: str,
        fetch: Callable[[store_views.Position | None], _FetchResult],
    ) -> None:
        """Reads the store, then watches it while this instance has to watch.

        Args:
            subject: What is watched: an item of fleet_state_source.SUBJECTS.
            fetch: Reads everything if its argument is None, otherwise watches
                for changes after that position.
        """
        backoff = backoffs.Backoff(self.rng)
        rereads = backoffs.Backoff(self.rng)
        progress = self._progress[subject]
        position = None
        while not self._stop.is_set():
            if not self._check_watch_role():
                position = None
                continue
            called_at = self.clock()
            try:
                with self._recorded_call(subject):
                    result = fetch(position)
            except errors.HistoryExpiredError as error:
                self._log_history_expired(subject, error)
                position = None
                # A store whose history changes with each answer must not be
                # read without a pause.
                self._stop.wait(rereads.next())
                continue
            except errors.PlatformError as error:
                _LOG.info(
                    "watch_ended",
                    extra={
                        "subject": subject,
                        "position": position,
                        "elapsed_ms": round((self.clock() - called_at) * 1000),
                        "reason": str(error),
                    },
                )
                with self._lock:
                    must_reread = self._ended.get(subject)
                if must_reread is None:
                    self._record_failure(called_at, error)
                    self._stop.wait(backoff.next())
                elif must_reread:
                    position = None
                continue
            self._record_success(called_at)
            backoff.reset()
            if position is None:
                _LOG.info(
                    "store_read",
                    extra={"subject": subject, "position": result.position},
                )
            else:
                rereads.reset()
            result.apply()
            with self._lock:
                progress.advance(result.mark, position is None)
            position = result.position
            self._stop.wait(result.pause_seconds)

    @contextlib.contextmanager
    def _recorded_call(self, subject: str) -> Iterator[None]:
        """Records that a call for a subject is in progress."""
        progress = self._progress[subject]
        with self._lock:
            self._ended.pop(subject, None)
            progress.begin_call(self.clock())
        try:
            yield
        finally:
            with self._lock:
                progress.end_call()

    def _fetch_configuration(
        self, position: store_views.Position | None
    ) -> _FetchResult:
        sent_at = proven_at = self.clock()
        if position is None:
            update = self.source.read_configuration(READ_TIMEOUTS_SECONDS[-1])
            if update.configuration is None:
                # Nothing is published yet.
                return _FetchResult(
                    None, None, backoffs.MAX_PAUSE_SECONDS, lambda: None
                )
        else:
            watch_seconds = self._configuration_watch_seconds()
            self._watch_seconds = watch_seconds
            update = self.source.watch_configuration(position, watch_seconds)
            if update.configuration is None:
                waited_seconds = min(watch_seconds, self.clock() - sent_at)
                proven_at += max(
                    0.0, waited_seconds - WATCH_UNCERTAINTY_SECONDS
                )
        is_changed = update.configuration is not None
        self._compare_targets(update, proven_at)
        version = self._progress[fleet_state_source.CONFIGURATION].mark
        if update.configuration is not None:
            version = update.configuration.version
        return _FetchResult(
            update.position,
            version,
            CONFIGURATION_PAUSE_SECONDS if is_changed else 0.0,
            lambda: self.router.proxy.update_configuration.defer(
                update.configuration, proven_at, router_actor.STORE_SOURCE
            ),
        )

    def _fetch_targets(
        self, position: store_views.Position | None
    ) -> _FetchResult:
        proxy = self.router.proxy
        called_at = self.clock()
        if position is None:
            update = self.source.list_targets()
            apply = proxy.replace_targets
        else:
            update = self.source.watch_targets(position, WATCH_SECONDS)
            apply = proxy.apply_target_events

        def apply_update() -> None:
            apply.defer(
                update.events, update.position, router_actor.STORE_SOURCE
            )
            proxy.confirm_targets.defer(update.position, called_at)

        self.observe(update.position, update.revisions)
        return _FetchResult(
            update.position,
            update.position,
            TARGETS_PAUSE_SECONDS if update.events else 0.0,
            apply_update,
        )

    def _compare_targets(
        self, update: fleet_state_source.ConfigurationUpdate, at: float
    ) -> None:
        """Compares the known targets with a response about the configuration.

        Args:
            update: The response, whose position is that of the whole store.
            at: Time at which the store had that position, in seconds.
        """
        self.observe(update.position, update.revisions)
        progress = self._progress[fleet_state_source.TARGETS]
        with self._lock:
            known = progress.mark
            if known is None:
                return
            is_advanced = update.position > known and (
                store_views.are_all_known(
                    known, update.position, update.revisions
                )
            )
            if is_advanced:
                progress.advance(update.position)
            else:
                progress.observe(update.position, self.clock())
        if is_advanced:
            self.router.proxy.advance_targets.defer(update.position)
        self.router.proxy.confirm_targets.defer(update.position, at)

    def _check_watch_role(self) -> bool:
        """Returns whether this instance has to watch; pauses first if not.

        An instance without a configuration or targets always reads the store.
        """
        status = self.router.status()
        if (
            status.is_watcher
            or not status.has_target_list
            or status.version < 0
        ):
            return True
        self._stop.wait(ROLE_CHECK_SECONDS)
        return False

    def _configuration_watch_seconds(self) -> float:
        status = self.router.status()
        return PROOF_WATCH_SECONDS if status.is_proof_holder else WATCH_SECONDS

    def _refresh_stale_state(self) -> None:
        """Renews state that watches and peers' messages did not keep fresh."""
        next_store_read = next_peer_query = 0.0
        timeouts = itertools.cycle(READ_TIMEOUTS_SECONDS)
        peer_timeouts = itertools.cycle(PEER_TIMEOUTS_SECONDS)
        backoff = backoffs.Backoff(self.rng)
        while not self._stop.wait(CHECK_SECONDS):
            status = self.router.status()
            self._log_targets_age(status)
            self._end_lost_watches(status)
            if status.is_proof_holder:
                self._end_long_watch()
            if status.newer_peer:
                self.router.proxy.clear_newer_peer.defer(status.newer_peer)
                if self._query_peer(
                    status.newer_peer, status, PEER_TIMEOUTS_SECONDS[0]
                ):
                    continue
            if not self._is_stale(status):
                backoff.reset()
                peer_timeouts = itertools.cycle(PEER_TIMEOUTS_SECONDS)
                continue
            now = self.clock()
            if now >= next_peer_query and not status.is_watcher:
                next_peer_query = now + backoff.next()
                if self._query_peers(status, next(peer_timeouts)):
                    continue
            if now >= next_store_read:
                interval = STORE_READ_INTERVAL_SECONDS
                if status.is_watcher:
                    interval = WATCHER_READ_INTERVAL_SECONDS
                next_store_read = now + interval * self.rng.uniform(0.5, 1)
                is_read = self._refresh_from_store(next(timeouts))
                if not is_read and status.is_watcher:
                    self._query_peers(status, next(peer_timeouts))

    def _end_lost_watches(self, status: router_status.RouterStatus) -> None:
        """Ends watches that miss changes which are known from elsewhere."""
        now = self.clock()
        marks = {
            fleet_state_source.CONFIGURATION: status.version,
            fleet_state_source.TARGETS: status.newest_targets_position,
        }
        for subject, progress in self._progress.items():
            with self._lock:
                progress.observe(marks[subject], now)
                if progress.is_call_lost(now):
                    self._end_watch(subject, "changes are missing", True)

    def _end_long_watch(self) -> None:
        """Ends a watch that is too long for the instance that has the proof."""
        subject = fleet_state_source.CONFIGURATION
        with self._lock:
            if self._watch_seconds > PROOF_WATCH_SECONDS and self._progress[
                subject
            ].is_calling_since(self.clock()):
                self._end_watch(
                    subject, "this instance holds the proof now", False
                )

    def _end_watch(self, subject: str, reason: str, must_reread: bool) -> None:
        """Ends a watch in progress; the lock must be held."""
        if subject not in self._ended:
            _LOG.warning(
                "watch_lost", extra={"subject": subject, "reason": reason}
            )
            self._ended[subject] = must_reread
            self.source.end_watch(subject)

    def _log_targets_age(self, status: router_status.RouterStatus) -> None:
        """Logs when the age of the known targets passes its bound."""
        are_stale = (
            status.has_target_list
            and status.targets_age_seconds > STALE_PROOF_SECONDS
        )
        if are_stale is not self._are_targets_stale:
            self._are_targets_stale = are_stale
            _LOG.log(
                logging.WARNING if are_stale else logging.INFO,
                "targets_stale" if are_stale else "targets_fresh",
                extra={"age_ms": round(status.targets_age_seconds * 1000.0)},
            )

    def _is_stale(self, status: router_status.RouterStatus) -> bool:
        """Returns whether the known state is old or incomplete."""
        max_age_seconds = STALE_PROOF_SECONDS
        if status.is_watcher:
            max_age_seconds += WATCHER_GRACE_SECONDS
        return (
            status.proof_age_seconds > max_age_seconds
            or status.newest_peer_version > status.version
            or not status.has_target_list
        )

    def _refresh_from_store(self, timeout_seconds: float) -> bool:
        sent_at = self.clock()
        try:
            update = self.source.read_configuration(timeout_seconds)
        except errors.PlatformError as error:
            self._record_failure(sent_at, error)
            return False
        self._record_success(sent_at)
        self._compare_targets(update, sent_at)
        if update.configuration is not None:
            self.router.proxy.update_configuration.defer(
                update.configuration, sent_at, router_actor.STORE_SOURCE
            )
        return True

    def _query_peers(
        self, status: router_status.RouterStatus, timeout_seconds: float
    ) -> bool:
        """Queries random peers until one of them has recent state.

        Args:
            status: The status of this instance.
            timeout_seconds: How long to wait for each peer.

        Returns:
            Whether a peer had recent state.
        """
        peers = [peer.address for peer in status.peers]
        self.rng.shuffle(peers)
        ends_at = self.clock() + PEER_ROUND_SECONDS
        for peer in peers[:MAX_PEERS_QUERIED]:
            if self._query_peer(peer, status, timeout_seconds):
                return True
            if self.clock() >= ends_at:
                break
        return False

    def _query_peer(
        self,
        peer: str,
        status: router_status.RouterStatus,
        timeout_seconds: float,
    ) -> bool:
        """Adopts a peer's state; returns whether that state is recent."""
        sent_at = self.clock()
        try:
            state = self.read_peer(peer, status.version, timeout_seconds)
        except errors.PlatformError as error:
            _LOG.info("peer_silent", extra={"peer": peer, "reason": str(error)})
            return False
        if state.version < 0 or state.version < status.version:
            return False
        source = f"peer {peer}"
        proxy = self.router.proxy
        # The peer's proof age is subtracted from the time before the call, so
        # that the transit time cannot make the proof look newer.
        proven_at = sent_at - state.proof_age_seconds
        proxy.update_configuration.defer(state.configuration, proven_at, source)
        proxy.apply_evacuations.defer(state.evacuations, source)
        # A watcher's own targets are newer, unless the store is unavailable.
        has_targets = any(entry.target for entry in state.entries)
        if has_targets and not (status.is_watcher and self.is_store_up):
            proxy.merge_targets.defer(
                state.entries,
                state.targets_position,
                state.complete_position,
                source,
            )
        return state.proof_age_seconds < STALE_PROOF_SECONDS

    def _log_history_expired(self, subject: str, error: Exception) -> None:
        _LOG.warning(
            "history_gone", extra={"subject": subject, "reason": str(error)}
        )

    def _record_success(self, called_at: float) -> None:
        """Records that the store answered a call.

        After an outage, earlier calls may never be answered and are ended.
        """
        with self._lock:
            self._last_success_called_at = max(
                self._last_success_called_at, called_at
            )
            was_up = self.is_store_up
            self.is_store_up = True
            if was_up is False:
                for subject, progress in self._progress.items():
                    if progress.is_calling_since(called_at):
                        self._end_watch(subject, "the store is back", False)
        if was_up is not True:
            self.router.proxy.record_store_state.defer(True)
            _LOG.info("store_regained")

    def _record_failure(self, called_at: float, error: Exception) -> None:
        """Records that a call failed, unless a later call was answered."""
        with self._lock:
            if called_at < self._last_success_called_at:
                return
            was_up = self.is_store_up
            self.is_store_up = False
        if was_up is not False:
            self.router.proxy.record_store_state.defer(False)
            _LOG.warning("store_lost", extra={"reason": str(error)})
