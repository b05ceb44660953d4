"""Finds out that a watch of a rarely changing kind misses changes.

The store has one revision for all kinds, and each change raises it. Revisions
that are not known as changes of other kinds may be changes of the watched one;
a watch that does not return them in time is lost.

Times are in seconds of a clock that keeps running while the machine is
suspended.
"""

from typing import Iterable

from catkintrail.core import store_views

__all__ = ["MissedChanges"]

# Changes of other kinds are identified later than they are seen: the watch of
# the targets pauses for half a second after each change.
LOST_SECONDS = 1.0


class MissedChanges:
    """Up to where all changes of one kind are known. Not thread-safe."""

    def __init__(self) -> None:
        self._mark: store_views.Position | None = None
        self._newest = store_views.NO_POSITION
        self._newest_at = float("-inf")
        self._others: set[int] = set()
        self._behind_since = float("inf")
        self._called_at = float("inf")

    def begin_call(self, now: float) -> None:
        """Records that the kind is read or watched."""
        self._called_at = now

    def end_call(self) -> None:
        """Records that the call has ended."""
        self._called_at = float("inf")

    def advance(
        self, position: store_views.Position, is_read: bool, called_at: float
    ) -> None:
        """Records that all changes of the kind up to a position are known.

        Args:
            position: Position of the store.
            is_read: Whether the whole kind was read. Then earlier positions
                that are unknown to the store do not count any more.
            called_at: When the call was made, in seconds.
        """
        if is_read and self._newest_at < called_at:
            self._newest = store_views.NO_POSITION
        self._move(position, called_at)

    def observe(
        self,
        position: store_views.Position,
        revisions: Iterable[int],
        now: float,
    ) -> None:
        """Records that the store has reached a position.

        Args:
            position: Position of the whole store.
            revisions: Revisions up to there that are changes of other kinds.
            now: Time in seconds.
        """
        self._others.update(revisions)
        if position > self._newest:
            self._newest = position
            self._newest_at = now
        if self._mark is None or self._newest <= self._mark:
            return
        if self._behind_since == float("inf"):
            self._behind_since = now
        mark = self._mark
        while mark.era == position.era and mark.revision + 1 in self._others:
            mark = mark._replace(revision=mark.revision + 1)
        if mark != self._mark:
            self._move(mark, now)

    def is_call_lost(self, now: float) -> bool:
        """Returns whether the call in progress should have ended by now."""
        return now - max(self._called_at, self._behind_since) > LOST_SECONDS

    def _move(self, mark: store_views.Position, now: float) -> None:
        """Continues from a mark; the time of the next gap begins anew."""
        self._mark = mark
        self._others = {r for r in self._others if r > mark.revision}
        self._behind_since = now if self._newest > mark else float("inf")
