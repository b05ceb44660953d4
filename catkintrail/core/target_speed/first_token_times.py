"""Learns the slowness of engines from times to first token.

Engines publish figures, so that each time is compared with its prediction.
"""

from typing import NamedTuple, Sequence

__all__ = ["FirstTokenTimes", "ratio_to_prediction"]

# Weight of a new measurement in the moving average of the slowness. A target
# that has turned slow has to be detected sooner than one that has recovered.
SLOWER_GAIN = 0.5
FASTER_GAIN = 0.25
# Predictions do not include transit time and the work of this process.
MEASUREMENT_TOLERANCE_MS = 30.0
MAX_SLOWNESS = 20.0
# How long a measurement of a target confirms its speed.
CONFIRMATION_SECONDS = 2.0
# Without new measurements the average slowness falls back to 1 over this time.
SLOWNESS_DECAY_SECONDS = 10.0


class _Average(NamedTuple):
    slowness: float
    measured_at: float


_UNMEASURED = _Average(1.0, float("-inf"))


def ratio_to_prediction(measured_ms: float, predicted_ms: float) -> float:
    """Returns the ratio of measured to predicted time, less a tolerance."""
    ratio = measured_ms / max(1.0, predicted_ms)
    if ratio > 1.0:
        excess_ms = measured_ms - MEASUREMENT_TOLERANCE_MS
        ratio = max(1.0, excess_ms / max(1.0, predicted_ms))
    return ratio


class FirstTokenTimes:
    """Moving averages of the slowness of engines, by name."""

    def __init__(self) -> None:
        self._averages: dict[str, _Average] = {}

    def record(
        self, target: str, measured_ms: float, predicted_ms: float, now: float
    ) -> None:
        """Updates the slowness from a measured time to the first token.

        Args:
            target: Name of the target.
            measured_ms: Measured time.
            predicted_ms: Predicted time, for the slowness known at that time.
            now: Time in seconds.
        """
        ratio = ratio_to_prediction(measured_ms, predicted_ms)
        old = self.slowness(target, now)
        # The prediction took the known slowness into account.
        new = min(MAX_SLOWNESS, max(1.0, old * ratio))
        gain = SLOWER_GAIN if new > old else FASTER_GAIN
        self._averages[target] = _Average(old + gain * (new - old), now)

    def record_group(
        self,
        targets: Sequence[str],
        measured_ms: float,
        predicted_ms: float,
        now: float,
    ) -> None:
        """Updates the slowness of targets that prefilled a prompt together.

        All of them were fast if the whole was. Otherwise those whose speed was
        confirmed lately are not suspected.

        Args:
            targets: Names of the targets.
            measured_ms: Measured time to the first token.
            predicted_ms: Predicted time, for the slowness known at that time.
            now: Time in seconds.
        """
        is_late = measured_ms > predicted_ms + MEASUREMENT_TOLERANCE_MS
        for target in targets:
            average = self._averages.get(target, _UNMEASURED)
            is_confirmed = now - average.measured_at < CONFIRMATION_SECONDS
            if not is_late or not is_confirmed:
                self.record(target, measured_ms, predicted_ms, now)

    def slowness(self, target: str, now: float) -> float:
        """Returns the mean ratio of measured to predicted time, at least 1."""
        average = self._averages.get(target)
        if average is None:
            return 1.0
        age = now - average.measured_at
        share = max(0.0, 1 - age / SLOWNESS_DECAY_SECONDS)
        return 1.0 + (average.slowness - 1.0) * share

    def age(self, target: str, now: float) -> float:
        """Returns the seconds since the last measurement of a target."""
        return now - self._averages.get(target, _UNMEASURED).measured_at

    def targets(self) -> set[str]:
        """Returns the names of the targets that were measured."""
        return set(self._averages)

    def forget(self, target: str) -> None:
        """Removes the average of a target."""
        self._averages.pop(target, None)
