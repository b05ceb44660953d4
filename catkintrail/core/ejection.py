"""Ejection of failing targets, with a floor and a slow start."""

import math

__all__ = ["Ejection"]

FAILURES_BEFORE_EJECTION = 3
EJECTION_SECONDS = 5.0
EJECTION_LIMIT_SECONDS = 60.0
SLOW_START_SECONDS = 10.0
MAX_EJECTED_FRACTION = 0.5


class Ejection:
    """Failures of a pool's targets.

    Attributes:
        until: End of each ejection, by target, in monotonic seconds.
    """

    def __init__(self) -> None:
        self.until: dict[str, float] = {}
        self._failures: dict[str, int] = {}
        self._ejections: dict[str, int] = {}

    def note_success(self, target: str) -> None:
        """Clears a target's failures."""
        self._failures.pop(target, None)
        self._ejections.pop(target, None)

    def note_failure(self, target: str, targets: int, now: float) -> None:
        """Counts a failure; ejects the target after some in a row.

        Args:
            target: The target.
            targets: The pool's number of targets.
            now: Monotonic time in seconds.
        """
        failures = self._failures.get(target, 0) + 1
        self._failures[target] = failures
        if failures < FAILURES_BEFORE_EJECTION or self.is_out(target, now):
            return
        out = sum(1 for end in self.until.values() if end > now)
        if out + 1 > math.floor(targets * MAX_EJECTED_FRACTION):
            return
        times = self._ejections.get(target, 0)
        self._ejections[target] = times + 1
        length = min(EJECTION_LIMIT_SECONDS, EJECTION_SECONDS * 2**times)
        self.until[target] = now + length
        self._failures[target] = FAILURES_BEFORE_EJECTION - 1

    def is_out(self, target: str, now: float) -> bool:
        """Returns whether a target is ejected."""
        return self.until.get(target, 0.0) > now

    def share(self, target: str, now: float) -> float:
        """Returns the part of its slots that a returning target may use."""
        end = self.until.get(target)
        if end is None:
            return 1.0
        if now < end:
            return 0.0
        if now >= end + SLOW_START_SECONDS:
            del self.until[target]
            return 1.0
        return max(0.1, (now - end) / SLOW_START_SECONDS)

    def drop_target(self, target: str) -> None:
        """Forgets a target."""
        self.until.pop(target, None)
        self._failures.pop(target, None)
        self._ejections.pop(target, None)
