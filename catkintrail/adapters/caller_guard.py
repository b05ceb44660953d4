"""The limits that the connections of one server share."""

import collections
import logging
import threading
from typing import Callable

from catkintrail.adapters import caller_connections
from catkintrail.adapters import caller_memory
from catkintrail.adapters import log_limits
from catkintrail.core import route_table

__all__ = ["CallerGuard"]

_LOG = logging.getLogger("catkintrail.callers")

# Share of a core for bodies whose framing takes long to read.
PACED_SHARE = 0.2
# Such bodies are refused if they would have to wait longer for their next turn.
MAX_PACED_SECONDS = 2.0


class CallerGuard:
    """Counts connections and bytes, paces reading, and records refusals.

    Attributes:
        limits: Limits on the size and duration of callers' requests.
        has_limits: Whether the limits are those of a configuration; the
            defaults hold until one is known.
        clock: Returns the time in seconds.
        max_connections: Maximum number of connections.
        memory: The budget of bytes held for callers.
        connections: The open connections.
        refusals: Number of requests and connections refused, by cause.
    """

    def __init__(
        self,
        limits: route_table.CallerLimits,
        clock: Callable[[], float],
        budget_bytes: int,
        max_connections: int,
    ) -> None:
        self.limits = limits
        self.has_limits = False
        self.clock = clock
        self.max_connections = max_connections
        self.memory = caller_memory.CallerMemory(budget_bytes, clock)
        self.connections: set[caller_connections.CallerConnection] = set()
        self.refusals: collections.Counter[str] = collections.Counter()
        self._limited_log = log_limits.LimitedLog(_LOG, clock)
        self._paced_until = 0.0
        self._pace_lock = threading.Lock()

    @property
    def is_full(self) -> bool:
        """Whether a further connection takes the place of another."""
        return len(self.connections) >= self.max_connections

    @property
    def is_overfull(self) -> bool:
        """Whether there are more connections than may be."""
        return len(self.connections) > self.max_connections

    def add_connection(self, conn: caller_connections.CallerConnection) -> None:
        """Counts a connection."""
        self.connections.add(conn)

    def remove_connection(
        self, conn: caller_connections.CallerConnection
    ) -> None:
        """Forgets a connection; may be called again."""
        self.connections.discard(conn)

    def reserve_time(self, now: float, seconds: float) -> float:
        """Returns when a body whose framing takes long to read goes on.

        Args:
            now: Time in seconds.
            seconds: Processor time of its last turn.

        Raises:
            caller_connections.Rejection: Too many such bodies wait.
        """
        with self._pace_lock:
            until = max(self._paced_until, now) + seconds / PACED_SHARE
            if until - now > MAX_PACED_SECONDS:
                raise caller_connections.Rejection(
                    429, "reading the chunks takes too long"
                )
            self._paced_until = until
            return until

    def record_refusal(self, status: int, reason: str, request_id: str) -> None:
        """Counts and logs a request that was refused before it was whole."""
        self.refusals[str(status)] += 1
        self._limited_log.info(
            "request_malformed",
            request_id=request_id,
            status=status,
            reason=reason,
        )

    def record_displaced(self, reason: str) -> None:
        """Counts and logs a connection that was closed to serve others."""
        self.refusals[reason] += 1
        self._limited_log.info("caller_displaced", reason=reason)

    def record_fault(self, reason: str) -> None:
        """Logs a fault of a caller's connection."""
        self._limited_log.info("caller_connection", reason=reason)

    def read_figures(self) -> list[tuple[str, dict[str, str], int]]:
        """Returns name, labels and value of metrics."""
        budget = self.memory.budget
        return [
            ("catkintrail_caller_connections", {}, len(self.connections)),
            ("catkintrail_caller_bytes", {}, budget.used),
            ("catkintrail_caller_bytes_allowed", {}, budget.total),
        ] + [
            ("catkintrail_callers_refused", {"cause": cause}, count)
            for cause, count in list(self.refusals.items())
        ]
