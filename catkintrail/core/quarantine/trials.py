"""Requests that are let through a quarantine, to see whether it still holds."""

from typing import NamedTuple

__all__ = ["Trial", "make_trial"]

# Pauses before the trials: after the quarantine began, and after each trial
# that has crashed an engine.
TRIAL_PAUSES_SECONDS = (0.5, 1.0)
# After a crash on trial, the next trial begins this long after the quarantine
# at the latest.
TRIAL_WINDOW_SECONDS = 3.0
# How long the outcome of a trial is awaited; doubles with each one.
TRIAL_SECONDS = 2.0


class Trial(NamedTuple):
    """The trials of a quarantine.

    Attributes:
        begun: Number of requests that were let through.
        failed: Number of crashes since the quarantine began.
        next_at: Time in seconds from which a request is let through.
        last_at: Time in seconds until which one is.
    """

    begun: int
    failed: int
    next_at: float
    last_at: float = float("inf")


def make_trial(failed: int, now: float) -> Trial:
    """Returns the trials after some have crashed an engine."""
    if failed >= len(TRIAL_PAUSES_SECONDS):
        return Trial(0, failed, float("inf"))
    return Trial(0, failed, now + TRIAL_PAUSES_SECONDS[failed])
