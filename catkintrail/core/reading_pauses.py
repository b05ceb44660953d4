"""Decides whether a response was left unread for so long that it may be cut.

Answers the load of callers that read slowly, and of a process that stood still:
targets end a response that stays unread for some seconds. What they had sent
until then still arrives, followed by the end of the connection.

Performs no I/O and takes the current time as an argument. Times are in seconds.
Not thread-safe.
"""

__all__ = ["ReadingPauses"]

# A target may end a response that stays unread for longer.
UNREAD_SECONDS = 1.5
# A response of fewer bytes fits into the buffers of a connection, so that its
# target does not wait for the reader.
BUFFERED_BYTES = 16 << 10
# Bytes that arrive later than this after reading went on were not in buffers.
BUFFER_DRAIN_SECONDS = 1.0


class ReadingPauses:
    """Pauses in the reading of one response.

    Attributes:
        received_bytes: Bytes of the body that were read.
    """

    def __init__(self) -> None:
        self.received_bytes = 0
        self._returned_at = float("inf")
        self._resumed_at = float("-inf")
        self._caught_up_at = float("-inf")

    def record_read(self, now: float) -> None:
        """Records that the reader asks for the next bytes."""
        if now - self._returned_at > UNREAD_SECONDS:
            self._resumed_at = now

    def record_bytes(self, size: int, now: float) -> None:
        """Records that the reader has got bytes of the body."""
        self.received_bytes += size
        self._returned_at = now

    def record_caught_up(self, now: float) -> None:
        """Records that bytes arrived after all had been read."""
        self._caught_up_at = now

    def may_be_cut(self, stalled_at: float) -> bool:
        """Returns whether the target may have ended the response early.

        Args:
            stalled_at: When this process last went on after it had stood still
                since the request; minus infinity if it did not.
        """
        resumed_at = max(self._resumed_at, stalled_at)
        return (
            self.received_bytes >= BUFFERED_BYTES
            and self._caught_up_at < resumed_at + BUFFER_DRAIN_SECONDS
        )
