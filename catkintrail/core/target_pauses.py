"""Targets that asked this instance to send them nothing for some time.

Times are in seconds of a clock that keeps running while the machine is
suspended.
"""

from catkintrail.core import targets as target_records

__all__ = ["MAX_PAUSE_SECONDS", "TargetPauses"]

# Longer requests for a pause are not believed.
MAX_PAUSE_SECONDS = 120.0


class TargetPauses:
    """The ends of the pauses that targets asked for.

    A pause is requested by the thread that reads the response, so that it binds
    the next send of any thread. Methods may be called by several threads.
    """

    def __init__(self) -> None:
        self._ends: dict[tuple[str, int], float] = {}

    def add(
        self, target: target_records.Target, seconds: float, now: float
    ) -> None:
        """Records that a target wants nothing for some seconds."""
        end = now + min(seconds, MAX_PAUSE_SECONDS)
        key = (target.name, target.born)
        self._ends[key] = max(end, self._ends.get(key, end))

    def remaining_seconds(
        self, target: target_records.Target, now: float
    ) -> float:
        """Returns for how long a target wants nothing; 0 for no pause."""
        end = self._ends.get((target.name, target.born), now)
        return max(0.0, end - now)

    def expire(self, now: float) -> None:
        """Drops the pauses that have ended."""
        for key, end in list(self._ends.items()):
            if end <= now:
                self._ends.pop(key, None)
