"""Keeps an instance's view of the zone evacuations up to date.

The watchers of each zone watch the store; all others are told by their peers.
"""

import itertools
import logging
import random
import threading
from typing import Callable, Iterable

from catkintrail import errors
from catkintrail.adapters import router_actor
from catkintrail.adapters import router_client
from catkintrail.core import backoff as backoffs
from catkintrail.core import store_views
from catkintrail.core.zones import evacuation
from catkintrail.core.zones import missed_changes
from catkintrail.ports import evacuation_source

__all__ = ["EvacuationWatcher"]

_LOG = logging.getLogger("catkintrail.evacuations")

SUBJECT = "evacuations"
# Peers answer within this time after the start, so that only the watchers read
# the store.
START_DELAY_SECONDS = 0.3
WATCH_SECONDS = 20.0
# A store that has been silent may answer the next call at once. Every third
# read waits longer, for a store that is slow.
READ_TIMEOUTS_SECONDS = (0.5, 0.5, 1.5)
CHECK_SECONDS = 0.25
# How often the threads look whether reloaded settings ask for evacuations.
INACTIVE_CHECK_SECONDS = 5.0


class EvacuationWatcher:
    """Threads that read and watch the evacuations.

    Attributes:
        source: The platform's store.
        router: Client of the actor that holds the state.
        clock: Returns the time in seconds.
    """

    def __init__(
        self,
        source: evacuation_source.EvacuationSource,
        router: router_client.RouterClient,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.source = source
        self.router = router
        self.clock = clock
        self._rng = rng
        self._stop = threading.Event()
        self._lock = threading.Lock()
        # Guarded by the lock.
        self._missed = missed_changes.MissedChanges()
        self._is_ended = False

    def start(self) -> None:
        """Starts the threads."""
        for name, run in (
            ("evacuation-watch", self._run),
            ("evacuation-check", self._check),
        ):
            threading.Thread(target=run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Makes the threads end after their current calls."""
        self._stop.set()

    def observe(
        self, position: store_views.Position, revisions: Iterable[int]
    ) -> None:
        """Records that the store has reached a position.

        Args:
            position: Position of the whole store.
            revisions: Revisions up to there that are changes of other kinds.
        """
        with self._lock:
            self._missed.observe(position, revisions, self.clock())

    def _run(self) -> None:
        self._stop.wait(START_DELAY_SECONDS)
        while not self._stop.is_set():
            try:
                self._read_and_watch()
            except Exception:  # pylint: disable=broad-exception-caught
                # An unexpected exception must not end the thread.
                _LOG.exception("loop_failed", extra={"loop": SUBJECT})
                self._stop.wait(backoffs.MAX_PAUSE_SECONDS)

    def _read_and_watch(self) -> None:
        """Reads the evacuations, then watches them while this is needed."""
        position: store_views.Position | None = None
        zones: set[str] = set()
        timeouts = itertools.cycle(READ_TIMEOUTS_SECONDS)
        backoff = backoffs.Backoff(self._rng)
        while not self._stop.is_set():
            if not self._has_to_watch():
                return
            called_at = self.clock()
            try:
                update = self._call(position, next(timeouts))
            except errors.PlatformError as error:
                with self._lock:
                    must_reread = self._is_ended
                if must_reread or isinstance(error, errors.HistoryExpiredError):
                    position = None
                if must_reread:
                    continue
                _LOG.info(
                    "watch_ended",
                    extra={
                        "subject": SUBJECT,
                        "position": position,
                        "reason": str(error),
                    },
                )
                self._stop.wait(backoff.next())
                continue
            is_read = position is None
            if is_read:
                zones.clear()
                timeouts = itertools.cycle(READ_TIMEOUTS_SECONDS)
                _LOG.info(
                    "store_read",
                    extra={"subject": SUBJECT, "position": update.position},
                )
            else:
                # A read may succeed while each watch fails.
                backoff.reset()
            for event in update.events:
                if event.is_removed:
                    zones.discard(event.zone)
                else:
                    zones.add(event.zone)
            position = update.position
            with self._lock:
                self._missed.advance(position, is_read, called_at)
            self.router.proxy.apply_evacuations.defer(
                evacuation.EvacuationState(position, tuple(sorted(zones))),
                router_actor.STORE_SOURCE,
            )

    def _call(
        self, position: store_views.Position | None, timeout_seconds: float
    ) -> evacuation_source.EvacuationUpdate:
        with self._lock:
            self._is_ended = False
            self._missed.begin_call(self.clock())
        try:
            if position is None:
                return self.source.list(timeout_seconds)
            return self.source.watch(position, WATCH_SECONDS)
        finally:
            with self._lock:
                self._missed.end_call()

    def _has_to_watch(self) -> bool:
        """Returns whether this instance has to watch; pauses first if not.

        An instance that no peer has told a state reads the store itself.
        """
        evacuations = self.router.notices.evacuations
        if evacuations.is_active and (
            not evacuations.is_known or self.router.status().is_watcher
        ):
            return True
        with self._lock:
            self._missed = missed_changes.MissedChanges()
        self._stop.wait(2.0 * self._check_seconds())
        return False

    def _check_seconds(self) -> float:
        if self.router.notices.evacuations.is_active:
            return CHECK_SECONDS
        return INACTIVE_CHECK_SECONDS

    def _check(self) -> None:
        """Ends watches that miss changes which are known from elsewhere."""
        while not self._stop.wait(self._check_seconds()):
            with self._lock:
                is_lost = not self._is_ended and self._missed.is_call_lost(
                    self.clock()
                )
                if is_lost:
                    self._is_ended = True
            if is_lost:
                _LOG.warning(
                    "watch_lost",
                    extra={
                        "subject": SUBJECT,
                        "reason": "changes may be missing",
                    },
                )
                self.source.end_watch()
