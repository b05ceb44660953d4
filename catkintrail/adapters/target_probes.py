"""Finds out whether targets that have ended a connection live on."""

import logging
import socket
import threading
import time
from typing import Callable

from catkintrail.adapters import target_connector
from catkintrail.core import targets as target_records

__all__ = ["TargetProbes"]

_LOG = logging.getLogger("catkintrail.probes")

# A process that crashes may end its connections before it stops listening.
DELAY_SECONDS = 0.25
CONNECT_SECONDS = 0.5
# Pause between probes of the same start of a target.
PAUSE_SECONDS = 1.0
MAX_PROBES = 16
MAX_REMEMBERED = 256

OnResult = Callable[[target_records.Target], None]


class TargetProbes:
    """Connects to targets, with a thread for each probe.

    Attributes:
        connector: Opens connections if own links fail.
        on_survival: Called if a target accepts a connection.
        clock: Returns the time in seconds.
    """

    def __init__(
        self,
        connector: target_connector.TargetConnector,
        on_survival: OnResult,
        clock: Callable[[], float],
    ) -> None:
        self.connector = connector
        self.on_survival = on_survival
        self.clock = clock
        self._lock = threading.Lock()
        # Guarded by the lock.
        self._running = 0
        self._probed_at: dict[tuple[str, int], float] = {}

    def probe(
        self, target: target_records.Target, on_refusal: Callable[[], None]
    ) -> None:
        """Probes a target after a moment, in the background.

        Args:
            target: The target.
            on_refusal: Called if the target refuses a connection.
        """
        key = (target.name, target.born)
        now = self.clock()
        with self._lock:
            last = self._probed_at.get(key, float("-inf"))
            if now - last < PAUSE_SECONDS or self._running >= MAX_PROBES:
                return
            self._probed_at.pop(key, None)
            self._probed_at[key] = now
            if len(self._probed_at) > MAX_REMEMBERED:
                del self._probed_at[next(iter(self._probed_at))]
            self._running += 1
        threading.Thread(
            target=self._run,
            args=(target, on_refusal),
            name="probe",
            daemon=True,
        ).start()

    def _run(
        self, target: target_records.Target, on_refusal: Callable[[], None]
    ) -> None:
        try:
            time.sleep(DELAY_SECONDS)
            self._connect(target).close()
            self.on_survival(target)
        except ConnectionRefusedError:
            on_refusal()
        except (OSError, ValueError) as error:
            _LOG.info(
                "probe_failed",
                extra={"target": target.name, "reason": str(error)},
            )
        finally:
            with self._lock:
                self._running -= 1

    def _connect(self, target: target_records.Target) -> socket.socket:
        if self.connector.prefers_peer(target):
            return self.connector.connect(target, CONNECT_SECONDS)
        host, _, port = target.address.rpartition(":")
        return socket.create_connection((host, int(port)), CONNECT_SECONDS)
