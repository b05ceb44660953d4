"""Targets that have announced their shutdown, or were removed without that.

Times come from a clock that also advances while the machine is suspended.
"""

from catkintrail.core import targets as target_records

__all__ = ["DepartureRecord"]

# A list of targets older than this is not expected from any source.
RETENTION_SECONDS = 900.0
# How long it is remembered that an entry was removed without an announcement.
# It matters only until the store has been written again after a restore.
REMOVAL_RETENTION_SECONDS = 60.0
MAX_DEPARTURES = 20_000


class DepartureRecord:
    """The starts of targets that are not used again.

    A target is told from an earlier start of it under the same name by the time
    of its start. What is recorded outlives the entry of the target, because an
    older entry may arrive later.
    """

    def __init__(self) -> None:
        self._announced: dict[tuple[str, int], float] = {}
        self._removed: dict[tuple[str, int], float] = {}

    def add(self, name: str, born: int, now: float) -> None:
        """Records that a target leaves.

        Args:
            name: Name of the target.
            born: Start time of the target in Unix milliseconds; 0 if unknown.
            now: Time in seconds.
        """
        _record(self._announced, (name, born), now)

    def add_removed(self, name: str, born: int, now: float) -> None:
        """Records that the entry of a target was removed."""
        _record(self._removed, (name, born), now)

    def contains(self, target: target_records.Target) -> bool:
        """Returns whether this start of a target has left or was removed.

        May be called while another thread changes the record.
        """
        key = (target.name, target.born)
        return key in self._announced or key in self._removed

    def is_announced(self, target: target_records.Target) -> bool:
        """Returns whether this start of a target has announced its shutdown."""
        return (target.name, target.born) in self._announced

    def is_removed(self, target: target_records.Target) -> bool:
        """Returns whether the entry of this start of a target was removed."""
        return (target.name, target.born) in self._removed

    def readmit(self, name: str, born: int) -> None:
        """Records that the entry of a removed target was written again."""
        self._removed.pop((name, born), None)

    def discard(self, name: str, born: int) -> None:
        """Removes the announcement of a target."""
        self._announced.pop((name, born), None)

    def expire(self, now: float) -> None:
        """Removes what was recorded too long ago."""
        _expire(self._announced, now - RETENTION_SECONDS)
        _expire(self._removed, now - REMOVAL_RETENTION_SECONDS)


def _record(
    times: dict[tuple[str, int], float], key: tuple[str, int], now: float
) -> None:
    times.setdefault(key, now)
    if len(times) > MAX_DEPARTURES:
        del times[next(iter(times))]


def _expire(times: dict[tuple[str, int], float], oldest: float) -> None:
    while times:
        key = next(iter(times))
        if times[key] >= oldest:
            return
        del times[key]
