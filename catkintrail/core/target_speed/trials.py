"""Limits how often requests are sent to slow targets to measure them again."""

from typing import Iterable

__all__ = ["SpeedTrials"]

# Trials allowed per placement and per second, for all targets of a service: few
# enough that callers do not notice, and enough at low rates to find within
# seconds that a target has recovered.
TRIALS_PER_PLACEMENT = 0.02
TRIALS_PER_SECOND = 0.1
# A request whose goal a slow target would miss counts as this many trials.
LATE_TRIAL_COST = 3.0
MAX_TRIALS = 3.0
# Least time between two trials of one target.
TARGET_TRIAL_SECONDS = 0.7


class SpeedTrials:
    """Trials of the slow targets of one service."""

    def __init__(self) -> None:
        self._allowed = 1.0
        self._updated_at: float | None = None
        self._tried_at: dict[str, float] = {}

    def choose(
        self,
        due: Iterable[tuple[float, str, float]],
        left_ms: float,
        now: float,
    ) -> str:
        """Chooses a target to which the next request is sent as a trial.

        Has to be called for each placement.

        Args:
            due: Slow targets without requests: time of the last measurement,
                name, and expected time in milliseconds.
            left_ms: Time left until the goal of the request.
            now: Time in seconds.

        Returns:
            Name of the target; "" for none.
        """
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        allowed = self._allowed + TRIALS_PER_PLACEMENT
        allowed += TRIALS_PER_SECOND * max(0.0, elapsed)
        self._allowed = min(MAX_TRIALS, allowed)
        for measured_at, name, expected_ms in sorted(due):
            tried_at = max(measured_at, self._tried_at.get(name, measured_at))
            if now - tried_at < TARGET_TRIAL_SECONDS:
                continue
            cost = 1.0 if expected_ms <= left_ms else LATE_TRIAL_COST
            if self._allowed >= cost:
                self._allowed -= cost
                self._tried_at[name] = now
                return name
        return ""

    def forget(self, target: str) -> None:
        """Removes what is known of a target."""
        self._tried_at.pop(target, None)
