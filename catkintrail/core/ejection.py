"""Ejection of failing targets, with a limit and a slow start."""

import math

__all__ = ["Ejection"]

FAILURES_BEFORE_EJECTION = 3
EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
SLOW_START_SECONDS = 10.0
MAX_EJECTED_FRACTION = 0.5


class Ejection:
    """Tracks failures of a pool's targets and ejects failing ones.

    Attributes:
        ejected_until: End of the latest ejection, by target, in monotonic
            seconds.
    """

    def __init__(self) -> None:
        self.ejected_until: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._ejections: dict[str, int] = {}

    def record_success(self, target: str) -> None:
        """Resets a target's failures and ejections after a success."""
        self._failures.pop(target, None)
        self._ejections.pop(target, None)

    def record_failure(
        self, target: str, target_count: int, now: float
    ) -> None:
        """Counts a failure and ejects the target after several in a row.

        The target is not ejected if more than MAX_EJECTED_FRACTION of the
        targets would then be ejected.

        Args:
            target: The target.
            target_count: The pool's number of targets.
            now: Monotonic time in seconds.
        """
        failures = self._failures.get(target, 0) + 1
        self._failures[target] = failures
        if failures < FAILURES_BEFORE_EJECTION or self.is_ejected(target, now):
            return
        ejected = sum(1 for end in self.ejected_until.values() if end > now)
        if ejected + 1 > math.floor(target_count * MAX_EJECTED_FRACTION):
            return
        previous_ejections = self._ejections.get(target, 0)
        self._ejections[target] = previous_ejections + 1
        ejection_seconds = min(
            MAX_EJECTION_SECONDS, EJECTION_SECONDS * 2**previous_ejections
        )
        self.ejected_until[target] = now + ejection_seconds
        self._failures[target] = FAILURES_BEFORE_EJECTION - 1

    def is_ejected(self, target: str, now: float) -> bool:
        """Returns whether a target is ejected."""
        return self.ejected_until.get(target, 0.0) > now

    def slot_fraction(self, target: str, now: float) -> float:
        """Returns the fraction of its slots that a target may use."""
        end = self.ejected_until.get(target)
        if end is None:
            return 1.0
        if now < end:
            return 0.0
        if now >= end + SLOW_START_SECONDS:
            del self.ejected_until[target]
            return 1.0
        return max(0.1, (now - end) / SLOW_START_SECONDS)

    def drop_target(self, target: str) -> None:
        """Removes a target's records."""
        self.ejected_until.pop(target, None)
        self._failures.pop(target, None)
        self._ejections.pop(target, None)
