"""A request to stop, made by a signal handler."""

import queue

__all__ = ["StopRequest"]


class StopRequest:
    """Lets a thread wait for a signal.

    Handlers run between two steps of the main thread, which may be within
    `wait`, and hold the locks that it holds. `queue.SimpleQueue` allows that;
    `threading.Event` does not.
    """

    def __init__(self) -> None:
        self._requests: queue.SimpleQueue[None] = queue.SimpleQueue()

    def make(self) -> None:
        """Ends the wait."""
        self._requests.put(None)

    def wait(self, seconds: float) -> bool:
        """Waits; returns whether the request was made."""
        try:
            self._requests.get(timeout=seconds)
        except queue.Empty:
            return False
        return True
