"""Limits how often requests are sent to slow targets to measure them again."""

from typing import Iterable, NamedTuple

__all__ = [
    "DueTrial",
    "ENGINE_TRIALS_PER_PLACEMENT",
    "ENGINE_TRIALS_PER_SECOND",
    "SpeedTrials",
]

# Trials allowed per placement and per second, for all targets of a service: few
# enough that callers do not notice, and enough at low rates to find within
# seconds that a target has recovered.
TRIALS_PER_PLACEMENT = 0.004
TRIALS_PER_SECOND = 0.05
# A request whose goal a slow target would miss counts as this many trials.
LATE_TRIAL_COST = 3.0
MAX_TRIALS = 3.0
# Trials of engines are limited less: only short prompts are sent, which seldom
# miss their goals.
ENGINE_TRIALS_PER_PLACEMENT = 0.02
ENGINE_TRIALS_PER_SECOND = 0.2
# Least time between two trials of one target.
TARGET_TRIAL_SECONDS = 0.7


class DueTrial(NamedTuple):
    """A slow target that a request may be sent to.

    Attributes:
        measured_at: Time of the last measurement, in seconds.
        target: Name of the target.
        expected_ms: Expected time of the request there.
        is_recovering: Whether the last measurement was good. Further trials
            then confirm it at once.
    """

    measured_at: float
    target: str
    expected_ms: float
    is_recovering: bool


class SpeedTrials:
    """Trials of the slow targets of one service.

    Attributes:
        per_placement: Trials allowed for each placement.
        per_second: Trials allowed for each second.
    """

    def __init__(
        self,
        per_placement: float = TRIALS_PER_PLACEMENT,
        per_second: float = TRIALS_PER_SECOND,
    ) -> None:
        self.per_placement = per_placement
        self.per_second = per_second
        self._allowed = 1.0
        self._updated_at: float | None = None
        self._tried_at: dict[str, float] = {}
        self._costs: dict[str, float] = {}

    def choose(
        self,
        due: Iterable[DueTrial],
        left_ms: float,
        now: float,
    ) -> str:
        """Chooses a target to which the next request is sent as a trial.

        Has to be called for each placement.

        Args:
            due: Slow targets without requests.
            left_ms: Time left until the goal of the request.
            now: Time in seconds.

        Returns:
            Name of the target; "" for none.
        """
        elapsed = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        allowed = self._allowed + self.per_placement
        allowed += self.per_second * max(0.0, elapsed)
        self._allowed = min(MAX_TRIALS, allowed)
        for trial in sorted(due):
            name = trial.target
            if trial.is_recovering:
                return name
            measured_at = trial.measured_at
            tried_at = max(measured_at, self._tried_at.get(name, measured_at))
            if now - tried_at < TARGET_TRIAL_SECONDS:
                continue
            cost = 1.0 if trial.expected_ms <= left_ms else LATE_TRIAL_COST
            if self._allowed >= cost:
                self._allowed -= cost
                self._tried_at[name] = now
                self._costs[name] = cost
                return name
        return ""

    def settle(self, target: str, is_good: bool) -> None:
        """Records the result of a trial, if the target had one.

        A good one is not counted: if many targets recover at once, each finds
        the next.
        """
        cost = self._costs.pop(target, 0.0)
        if is_good:
            self._allowed = min(MAX_TRIALS, self._allowed + cost)

    def forget(self, target: str) -> None:
        """Removes what is known of a target."""
        self._tried_at.pop(target, None)
        self._costs.pop(target, None)
