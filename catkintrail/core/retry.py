"""Retries: when, how often, how long after."""

import random

from catkintrail import verdict as verdicts

__all__ = ["RetryBudget", "backoff_seconds", "may_retry"]

BACKOFF_BASE_SECONDS = 0.05
BACKOFF_LIMIT_SECONDS = 2.0
BUDGET_LIMIT = 10.0
BUDGET_START = 3.0


def may_retry(verdict: verdicts.Verdict, is_repeatable: bool) -> bool:
    """Returns whether a failed attempt may be followed by another.

    Args:
        verdict: Whether the failed attempt may have run.
        is_repeatable: Whether running the request twice does no harm.
    """
    return verdict is verdicts.Verdict.NOT_RUN or is_repeatable


def backoff_seconds(failures: int, rng: random.Random) -> float:
    """Returns the wait before the next attempt, with full jitter."""
    most = min(BACKOFF_LIMIT_SECONDS, BACKOFF_BASE_SECONDS * 2**failures)
    return rng.uniform(0.0, most)


class RetryBudget:
    """Allows a fraction of the first tries as retries.

    Attributes:
        tokens: Retries allowed now.
    """

    def __init__(self) -> None:
        self.tokens = BUDGET_START

    def note_first_try(self, fraction: float) -> None:
        """Counts a first try, which earns a fraction of a retry."""
        self.tokens = min(BUDGET_LIMIT, self.tokens + fraction)

    def take(self) -> bool:
        """Spends one retry; returns False where none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
