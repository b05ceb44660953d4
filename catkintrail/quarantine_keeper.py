"""Keeps quarantines in the platform's store, where they outlast instances.

The instances tell each other of quarantines; what is stored matters only if all
of them end. One instance writes each quarantine, once it has held for a while,
and removes it when it ends.
"""

import logging
import threading
import time
from typing import Callable

from catkintrail import errors
from catkintrail.adapters import router_client
from catkintrail.core import request_quarantine
from catkintrail.core.quarantine import crash_evidence
from catkintrail.ports import quarantine_store

__all__ = ["QuarantineKeeper"]

_LOG = logging.getLogger("catkintrail.quarantine")

CHECK_SECONDS = 0.5
# Exponential backoff after failed calls.
BACKOFF_SECONDS = 0.5
BACKOFF_LIMIT_SECONDS = 16.0
# Quarantines younger than this may be withdrawn at once.
MIN_AGE_SECONDS = 1.0
# An end that is further ahead cannot be due to differing clocks.
MAX_END_SECONDS = 2 * request_quarantine.QUARANTINE_SECONDS

Traits = crash_evidence.Traits


class QuarantineKeeper:
    """A thread that reads and writes the stored quarantines.

    Attributes:
        store: The store.
        router: Client of the actor that holds the quarantines.
        wall_clock: Returns the Unix time in seconds.
        has_read: Whether the stored quarantines have been read.
        has_called: Whether the first call has ended.
    """

    def __init__(
        self,
        store: quarantine_store.QuarantineStore,
        router: router_client.RouterClient,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.store = store
        self.router = router
        self.wall_clock = wall_clock
        self.has_read = False
        self.has_called = False
        self._stored: set[Traits] = set()
        self._era = -1
        self._stop = threading.Event()

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(
            target=self._run, name="quarantines", daemon=True
        ).start()

    def stop(self) -> None:
        """Makes the thread end after its current call."""
        self._stop.set()

    def _run(self) -> None:
        pause = BACKOFF_SECONDS
        while not self._stop.is_set():
            try:
                self.synchronise()
                pause = BACKOFF_SECONDS
                self._stop.wait(CHECK_SECONDS)
            except errors.PlatformError as error:
                _LOG.info(
                    "quarantine_store_failed", extra={"reason": str(error)}
                )
                self.has_called = True
                self._stop.wait(pause)
                if self.has_read:
                    pause = min(BACKOFF_LIMIT_SECONDS, pause * 2)
            except Exception:  # pylint: disable=broad-exception-caught
                # An unexpected exception must not end the thread.
                _LOG.exception("loop_failed", extra={"loop": "quarantines"})
                self._stop.wait(BACKOFF_LIMIT_SECONDS)

    def synchronise(self) -> None:
        """Reads what is stored, if that is due, and stores what has changed.

        Raises:
            errors.PlatformError: A call failed; the next call repeats it.
        """
        if not self.has_read:
            self._read()
            self.has_called = self.has_read = True
        elif self.store.get_era() != self._era:
            # What was written since the copy is missing, and what was removed
            # is there again.
            listed = self.store.read_all()
            self._era = self.store.get_era()
            self._stored = {frozenset(q.traits) for q in listed}
        held = self.router.quarantine_statuses()
        for combination, status in held.items():
            if combination not in self._stored and status.is_owner:
                self._write(combination, status.remainder)
        for combination in self._stored - held.keys():
            if self.router.owns_quarantine(combination):
                self.store.remove(tuple(sorted(combination)))
            self._stored.discard(combination)

    def _write(
        self, combination: Traits, remainder: request_quarantine.Remainder
    ) -> None:
        """Stores a quarantine that has held for a while."""
        age = request_quarantine.QUARANTINE_SECONDS - remainder.seconds
        if age < MIN_AGE_SECONDS:
            return
        ends_at = self.wall_clock() + remainder.seconds
        self.store.write(
            quarantine_store.StoredQuarantine(
                tuple(sorted(combination)),
                int(ends_at * 1000),
                remainder.failed,
            )
        )
        self._stored.add(combination)

    def _read(self) -> None:
        listed = self.store.read_all()
        self._era = self.store.get_era()
        self._stored = {frozenset(q.traits) for q in listed}
        now = self.wall_clock()
        remainders = {
            frozenset(q.traits): request_quarantine.Remainder(
                q.ends_at_ms / 1000.0 - now, q.failed_trials
            )
            for q in listed
        }
        self.router.restore_quarantines(
            {
                combination: remainder
                for combination, remainder in remainders.items()
                if 0.0 < remainder.seconds <= MAX_END_SECONDS
            }
        )
