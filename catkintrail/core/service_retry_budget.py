"""Limits the retries that one instance sends to a service.

The bound applies to all instances together. Each instance applies the ratio to
its own first sends and takes an equal share of the extra retries, so that the
instances need not coordinate. An instance that has just started takes no share,
because the process that it replaces may have used it in the same window.
"""

import collections
from typing import NamedTuple

__all__ = ["BudgetUsage", "ServiceRetryBudget"]

# Share of the bound that is used, because targets count a request when it
# arrives, which is later than the instance counts it.
SAFETY_SHARE = 0.8
# Early retries are sent only while at most this share of the bound is used; the
# rest is kept for requests that failed.
EARLY_RETRY_SHARE = 0.4


class BudgetUsage(NamedTuple):
    """How much of its budget one instance has used.

    Attributes:
        retries: Number of retries in the window.
        allowed: Number of retries that may be used in the window.
    """

    retries: int
    allowed: float


class ServiceRetryBudget:
    """Counts first sends and retries of one service in a sliding window.

    Attributes:
        ratio: Number of retries allowed for each first send.
        extra: Number of further retries that all instances together may send in
            a window.
        window_seconds: Length of the window.
        started_at: When the process of this instance started, in seconds.
    """

    def __init__(
        self,
        ratio: float,
        extra: float,
        window_seconds: float,
        started_at: float,
    ) -> None:
        self.ratio = ratio
        self.extra = extra
        self.window_seconds = window_seconds
        self.started_at = started_at
        self._first_sends: collections.deque[float] = collections.deque()
        self._retries: collections.deque[float] = collections.deque()

    def set_bounds(
        self, ratio: float, extra: float, window_seconds: float
    ) -> None:
        """Changes the bounds; sends counted before still count."""
        self.ratio = ratio
        self.extra = extra
        self.window_seconds = window_seconds

    def record_first_send(self, now: float) -> None:
        """Counts a first send."""
        self._first_sends.append(now)

    def try_acquire(self, instances: int, now: float) -> bool:
        """Takes one retry from the budget.

        Args:
            instances: Number of instances that share the bound.
            now: Time in seconds.

        Returns:
            Whether the retry is allowed; False if the budget is exhausted.
        """
        usage = self.usage(instances, now)
        if usage.retries + 1 > usage.allowed:
            return False
        self._retries.append(now)
        return True

    def allows_early_retry(self, instances: int, now: float) -> bool:
        """Returns whether a retry may be sent before an attempt has failed.

        With this retry, at most half of the usable budget is taken.

        Args:
            instances: Number of instances that share the bound.
            now: Time in seconds.
        """
        allowed = self._allowed(instances, now)
        return len(self._retries) + 1 <= EARLY_RETRY_SHARE * allowed

    def usage(self, instances: int, now: float) -> BudgetUsage:
        """Returns how much of the budget is used.

        Args:
            instances: Number of instances that share the bound.
            now: Time in seconds.
        """
        allowed = SAFETY_SHARE * self._allowed(instances, now)
        return BudgetUsage(len(self._retries), allowed)

    def _allowed(self, instances: int, now: float) -> float:
        for times in (self._first_sends, self._retries):
            while times and now - times[0] > self.window_seconds:
                times.popleft()
        allowed = self.ratio * len(self._first_sends)
        if now - self.started_at >= self.window_seconds:
            allowed += self.extra / max(1, instances)
        return allowed
