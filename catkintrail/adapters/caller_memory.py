"""The byte budget of an instance, shared by the threads that serve callers."""

import threading
from typing import Callable

from catkintrail.core.callers import byte_budget

__all__ = ["CallerMemory", "HeldBytes"]

# Bytes are taken in steps, so that most requests take them once.
STEP_BYTES = 16 << 10


class HeldBytes(byte_budget.Account):
    """The bytes that one connection holds.

    Attributes:
        on_end: Called when the connection has to give way, by any thread.
        is_writing: Whether the connection waits for its caller to read.
    """

    def __init__(
        self,
        sources: tuple[str, ...],
        now: float,
        on_end: Callable[[], None],
    ) -> None:
        super().__init__(sources, now)
        self.on_end = on_end
        self.is_writing = False


class CallerMemory:
    """Grants bytes to connections, and ends those that have to give way.

    Attributes:
        budget: The decision; only read it.
    """

    def __init__(self, total_bytes: int, clock: Callable[[], float]) -> None:
        """Initializes the budget.

        Args:
            total_bytes: Bytes that may be held for all callers.
            clock: Returns the time in seconds.
        """
        self.budget = byte_budget.ByteBudget(total_bytes)
        self._clock = clock
        self._lock = threading.Lock()
        self._writers: set[HeldBytes] = set()

    def hold(self, held: HeldBytes, size: int) -> bool:
        """Makes a connection hold at least some bytes.

        Returns:
            Whether it may; if not, the connection has to be ended.
        """
        missing = size - held.size
        if missing <= 0:
            return not held.is_ended
        missing += -size % STEP_BYTES
        with self._lock:
            is_granted, ended = self.budget.take(held, missing, self._clock())
        for victim in ended:
            victim.on_end()
        return is_granted

    def release(self, held: HeldBytes) -> None:
        """Releases the bytes of a connection."""
        if held.size:
            with self._lock:
                self.budget.release(held)

    def set_sources(self, held: HeldBytes, sources: tuple[str, ...]) -> None:
        """Sets to whom the bytes of a connection count."""
        with self._lock:
            self.budget.set_sources(held, sources)

    def begin_wait(self, held: HeldBytes, is_writing: bool = False) -> None:
        """Records that a connection waits for its caller.

        Args:
            held: The bytes of the connection.
            is_writing: Whether the caller has to read, and a thread waits.
        """
        with self._lock:
            self.budget.set_waiting(held, True)
            held.is_writing = is_writing
            if is_writing:
                self._writers.add(held)

    def end_wait(self, held: HeldBytes) -> bool:
        """Records the end of a wait; returns whether the connection goes on."""
        with self._lock:
            self.budget.set_waiting(held, False)
            self._writers.discard(held)
            held.is_writing = False
            return not held.is_ended

    def end_writers(self, count: int, stall_seconds: float) -> int:
        """Ends connections whose callers have not read for longest.

        Args:
            count: The largest number of them.
            stall_seconds: Only those that have not read for this long.

        Returns:
            How many were ended.
        """
        with self._lock:
            ended = self.budget.choose_stalled(
                self._writers, count, self._clock() - stall_seconds
            )
            for held in ended:
                self.budget.end(held)
                self._writers.discard(held)
        for held in ended:
            held.on_end()
        return len(ended)
