"""Bounds the volume of log lines that untrusted callers can cause."""

import logging
import threading
from typing import Any, Callable

__all__ = ["LimitedLog"]

LINES_PER_SECOND = 20
MAX_BURST_LINES = 100


class LimitedLog:
    """Writes log lines up to a rate, and counts those that are left out.

    Attributes:
        left_out: Lines left out since the last one that was written.
    """

    def __init__(self, log: logging.Logger, clock: Callable[[], float]) -> None:
        """Initializes the log.

        Args:
            log: Takes the lines.
            clock: Returns the time in seconds.
        """
        self.left_out = 0
        self._log = log
        self._clock = clock
        self._lock = threading.Lock()
        self._lines = float(MAX_BURST_LINES)
        self._counted_at = clock()

    def info(self, event: str, **fields: Any) -> None:
        """Writes a line, with the number of those left out before it."""
        with self._lock:
            now = self._clock()
            gained = (now - self._counted_at) * LINES_PER_SECOND
            self._lines = min(MAX_BURST_LINES, self._lines + gained)
            self._counted_at = now
            if self._lines < 1.0:
                self.left_out += 1
                return
            self._lines -= 1.0
            left_out, self.left_out = self.left_out, 0
        if left_out:
            fields["left_out"] = left_out
        self._log.info(event, extra=fields)
