"""How far an instance has followed the changes of one subject.

A store may take a call and never answer it, also after it answers others again.
A watch that waits for such a call misses all changes. That shows when another
source is ahead of the watch for longer than an answer takes.

Performs no I/O and takes the current time as an argument. Times are in seconds
of a clock that keeps running while the machine is suspended.
"""

from typing import Any

__all__ = ["WatchProgress"]

# Time in which a change that another source knows reaches a watch as well.
ANSWER_SECONDS = 0.3


class WatchProgress:
    """How far the watch of one subject has come. Not thread-safe.

    Attributes:
        mark: Position or version up to which the watch has returned all
            changes; None before the first answer. Later ones compare as
            greater.
    """

    def __init__(self) -> None:
        self.mark: Any = None
        # The newest mark of another source, and one that a later read has seen.
        self._newest: Any = None
        self._settled: Any = None
        self._newest_at = float("-inf")
        self._behind_since: float | None = None
        self._called_at = float("-inf")
        self._is_calling = False

    def begin_call(self, now: float) -> None:
        """Records that a call is made for the subject."""
        self._called_at = now
        self._is_calling = True

    def end_call(self) -> None:
        """Records that the call has ended."""
        self._is_calling = False

    def advance(self, mark: Any, is_read: bool = False) -> None:
        """Records that all changes up to a mark are known.

        Args:
            mark: Position or version of the store.
            is_read: Whether the last call has read all of the subject, and not
                only changes. It has then seen what others had seen before, also
                if the store has come back from an older copy since.
        """
        self.mark = mark
        if self._newest is None:
            return
        if is_read and self._newest_at < self._called_at:
            self._settled = self._newest
        if self._newest <= mark or self._newest == self._settled:
            self._newest = self._behind_since = None

    def observe(self, mark: Any, now: float) -> None:
        """Records that another source has seen the store at a mark.

        Args:
            mark: Position or version of the store.
            now: Time in seconds.
        """
        if self.mark is None or mark <= self.mark:
            return
        if self._settled is not None and mark <= self._settled:
            return
        if self._behind_since is None:
            self._behind_since = now
        if self._newest is None or mark > self._newest:
            self._newest = mark
            self._newest_at = now

    def is_calling_since(self, time: float) -> bool:
        """Returns whether a call made before a time is in progress."""
        return self._is_calling and self._called_at < time

    def is_call_lost(self, now: float) -> bool:
        """Returns whether the call in progress should have ended by now."""
        if not self._is_calling or self._behind_since is None:
            return False
        return now - max(self._called_at, self._behind_since) > ANSWER_SECONDS
