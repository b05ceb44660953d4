"""Targets that have announced their shutdown.

Times come from a clock that also advances while the machine is suspended.
"""

from catkintrail.core import targets as target_records

__all__ = ["DepartureRecord"]

# A list of targets older than this is not expected from any source.
RETENTION_SECONDS = 900.0
MAX_DEPARTURES = 20_000


class DepartureRecord:
    """The starts of targets that are not used again.

    A target is told from an earlier start of it under the same name by the time
    of its start. What is recorded outlives the entry of the target, because an
    older entry may arrive later.
    """

    def __init__(self) -> None:
        self._recorded_at: dict[tuple[str, int], float] = {}

    def add(self, name: str, born: int, now: float) -> None:
        """Records that a target leaves.

        Args:
            name: Name of the target.
            born: Start time of the target in Unix milliseconds; 0 if unknown.
            now: Time in seconds.
        """
        self._recorded_at.setdefault((name, born), now)
        if len(self._recorded_at) > MAX_DEPARTURES:
            del self._recorded_at[next(iter(self._recorded_at))]

    def contains(self, target: target_records.Target) -> bool:
        """Returns whether this start of a target has announced its shutdown.

        May be called while another thread changes the record.
        """
        return (target.name, target.born) in self._recorded_at

    def discard(self, name: str, born: int) -> None:
        """Removes a target from the record."""
        self._recorded_at.pop((name, born), None)

    def expire(self, now: float) -> None:
        """Removes what was recorded too long ago."""
        oldest = now - RETENTION_SECONDS
        while self._recorded_at:
            key = next(iter(self._recorded_at))
            if self._recorded_at[key] >= oldest:
                return
            del self._recorded_at[key]
