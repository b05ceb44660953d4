"""Limits the retries that one instance sends to a service.

The bound applies to all instances together. Each instance applies the ratio to
its own first sends and takes an equal share of the extra retries, so that the
instances need not coordinate.

An instance that started within the last window takes no share, and little of
its ratio, because the process that it replaces may have used both in the same
window. Meanwhile it uses what its peers lend it.
"""

import bisect
import collections
from typing import NamedTuple

__all__ = ["BudgetUsage", "ServiceRetryBudget"]

# Share of the bound that is used, because targets count a request when it
# arrives, which is later than the instance counts it.
SAFETY_SHARE = 0.8
# Early retries use at most this part of what may be used; the rest is kept for
# requests that failed.
EARLY_RETRY_PART = 0.5
# Share of the ratio that an instance uses in its first window: the process that
# it replaces may have used SAFETY_SHARE in the same window.
FIRST_WINDOW_SHARE = 0.1
# An instance lends at most this part of what it may use.
MAX_LENT_PART = 0.5
# Peers among which a loan is divided, at most: in a large fleet, few hear of a
# start at once.
MAX_LENDERS = 8
# A loan is used within one window, and what was used counts for another one.
LOAN_WINDOWS = 2


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
        # Times and numbers of retries of the loans to peers.
        self._lent: collections.deque[tuple[float, float]] = collections.deque()
        self._borrowed: dict[str, float] = {}

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
            instances: Number of instances that share the bound; 0 if that is
                not known, which leaves no share of the extra retries.
            now: Time in seconds.

        Returns:
            Whether the retry is allowed; False if the budget is exhausted.
        """
        usage = self.usage(instances, now)
        if usage.retries + 1 > usage.allowed:
            return False
        self._retries.append(now)
        return True

    def move_retry(self, taken_at: float, now: float) -> None:
        """Counts a retry that was taken earlier as one of the present.

        Args:
            taken_at: When it was taken, or soon after, in seconds.
            now: Time in seconds.
        """
        position = bisect.bisect_right(self._retries, taken_at)
        if position:
            del self._retries[position - 1]
            self._retries.append(now)

    def allows_early_retry(self, instances: int, now: float) -> bool:
        """Returns whether a retry may be sent before an attempt has failed.

        With this retry, at most half of the usable budget is taken.

        Args:
            instances: Number of instances that share the bound.
            now: Time in seconds.
        """
        usage = self.usage(instances, now)
        return usage.retries + 1 <= EARLY_RETRY_PART * usage.allowed

    def usage(self, instances: int, now: float) -> BudgetUsage:
        """Returns how much of the budget is used.

        Args:
            instances: Number of instances that share the bound.
            now: Time in seconds.
        """
        for times in (self._first_sends, self._retries):
            while times and now - times[0] > self.window_seconds:
                times.popleft()
        earned = self.ratio * len(self._first_sends)
        share = self.extra / instances if instances else 0.0
        if self._has_share(now):
            allowed = SAFETY_SHARE * (earned + share) - self._count_lent(now)
        else:
            borrowed = min(sum(self._borrowed.values()), self.extra)
            allowed = FIRST_WINDOW_SHARE * earned + borrowed
        return BudgetUsage(len(self._retries), max(0.0, allowed))

    def lend(self, instances: int, now: float) -> float:
        """Takes a part of this instance's share for a peer that has started.

        Args:
            instances: Number of instances that share the bound.
            now: Time in seconds.

        Returns:
            Number of retries that the peer may send; 0.0 if none can be spared.
        """
        if not instances or not self._has_share(now):
            return 0.0
        usage = self.usage(instances, now)
        lent = self._count_lent(now)
        retries = min(
            (usage.allowed - usage.retries) / min(instances, MAX_LENDERS),
            MAX_LENT_PART * (usage.allowed + lent) - lent,
        )
        if retries <= 0.0:
            return 0.0
        self._lent.append((now, retries))
        return retries

    def borrow(self, lender: str, retries: float) -> None:
        """Accepts a loan of a peer; it is not used after the first window.

        Args:
            lender: Name of the peer. A second loan of it replaces the first.
            retries: Number of retries.
        """
        if retries > 0.0:
            self._borrowed[lender] = retries

    def _has_share(self, now: float) -> bool:
        return now - self.started_at >= self.window_seconds

    def _count_lent(self, now: float) -> float:
        oldest_at = now - LOAN_WINDOWS * self.window_seconds
        while self._lent and self._lent[0][0] < oldest_at:
            self._lent.popleft()
        return sum(retries for _, retries in self._lent)
