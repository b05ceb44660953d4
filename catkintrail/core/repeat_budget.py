"""Repeats that one instance may send to a service.

The bound holds for all instances together. Each keeps the ratio for its own
requests, and an equal share of the rest, so that nothing has to be agreed.
"""

import collections

__all__ = ["RepeatBudget"]

# Of the stated bound, for targets count arrivals later than instances do.
SAFETY_SHARE = 0.8
# Repeats beyond this share are kept for requests that failed.
PLENTY_SHARE = 0.4


class RepeatBudget:
    """First sends and repeats of one service in a sliding window.

    Attributes:
        ratio: Repeats allowed for each first send.
        extra: Repeats allowed besides in a window, over all instances.
        window_seconds: Length of the window.
    """

    def __init__(
        self, ratio: float, extra: float, window_seconds: float
    ) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_seconds = window_seconds
        self._firsts: collections.deque[float] = collections.deque()
        self._repeats: collections.deque[float] = collections.deque()

    def apply_bounds(
        self, ratio: float, extra: float, window_seconds: float
    ) -> None:
        """Takes new bounds; what was counted stays."""
        self.ratio = ratio
        self.extra = extra
        self.window_seconds = window_seconds

    def note_first(self, now: float) -> None:
        """Counts a first send."""
        self._firsts.append(now)

    def take(self, instances: int, now: float) -> bool:
        """Takes a repeat; returns False where none is left.

        Args:
            instances: Instances that share the bound.
            now: Time in seconds.
        """
        allowed = self._allowed(instances, now)
        if len(self._repeats) + 1 > SAFETY_SHARE * allowed:
            return False
        self._repeats.append(now)
        return True

    def is_plenty(self, instances: int, now: float) -> bool:
        """Returns whether at most half of the repeats are taken."""
        allowed = self._allowed(instances, now)
        return len(self._repeats) + 1 <= PLENTY_SHARE * allowed

    def _allowed(self, instances: int, now: float) -> float:
        for times in (self._firsts, self._repeats):
            while times and now - times[0] > self.window_seconds:
                times.popleft()
        return self.ratio * len(self._firsts) + self.extra / max(1, instances)
