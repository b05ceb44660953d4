"""Retry rules: which requests are retried, how often and after what delay."""

import random

from catkintrail import verdict as verdicts

__all__ = ["RetryBudget", "backoff_seconds", "may_retry"]

BACKOFF_BASE_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
MAX_BUDGET_RETRIES = 10.0
INITIAL_BUDGET_RETRIES = 3.0


def may_retry(verdict: verdicts.Verdict, is_retryable: bool) -> bool:
    """Returns whether a failed attempt may be retried.

    Args:
        verdict: Whether the failed attempt may have run.
        is_retryable: Whether the request may safely run twice.
    """
    return verdict is verdicts.Verdict.NOT_RUN or is_retryable


def backoff_seconds(failures: int, rng: random.Random) -> float:
    """Returns the delay before a retry: exponential with full jitter.

    Args:
        failures: Number of failed attempts.
        rng: Random source of the jitter.
    """
    max_delay = min(MAX_BACKOFF_SECONDS, BACKOFF_BASE_SECONDS * 2**failures)
    return rng.uniform(0.0, max_delay)


class RetryBudget:
    """Limits retries to a fraction of the first attempts.

    Attributes:
        tokens: Number of retries allowed now.
    """

    def __init__(self) -> None:
        self.tokens = INITIAL_BUDGET_RETRIES

    def record_first_attempt(self, fraction: float) -> None:
        """Counts a first attempt, which adds `fraction` of a retry."""
        self.tokens = min(MAX_BUDGET_RETRIES, self.tokens + fraction)

    def take(self) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
