"""What callers' requests show of targets: failures, slowness, silence."""

from typing import NamedTuple

__all__ = ["TargetHealth"]

# One failure is common on these fleets; a second in a row is not.
EJECT_AFTER_FAILURES = 2
EJECT_SECONDS = 1.5
EJECT_LIMIT_SECONDS = 12.0
# Cost of a target with a failure lately, in requests of mean worth; falls to
# zero over the time below.
FAILURE_PENALTY = 0.6
FAILURE_MEMORY_SECONDS = 4.0
# Share of a new measurement in the mean slowness.
SLOWNESS_GAIN = 0.25
MAX_SLOWNESS = 20.0
# A mean slowness that is not renewed falls back to 1 over this time.
SLOWNESS_MEMORY_SECONDS = 10.0


class _Record(NamedTuple):
    failures: int
    ejections: int
    out_until: float
    failed_at: float
    slowness: float
    measured_at: float


_CLEAN = _Record(0, 0, 0.0, float("-inf"), 1.0, float("-inf"))


class TargetHealth:
    """Records by target name."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def note_success(self, target: str) -> None:
        """Clears a target's failures."""
        record = self._records.get(target)
        if record is not None:
            self._records[target] = record._replace(
                failures=0, ejections=0, out_until=0.0
            )

    def note_failure(self, target: str, now: float, is_silent: bool) -> bool:
        """Counts a failure.

        Args:
            target: The target.
            now: Time in seconds.
            is_silent: Whether it did not answer at all; one is enough then.

        Returns:
            Whether the target was ejected by it.
        """
        record = self._records.get(target, _CLEAN)
        failures = record.failures + 1
        record = record._replace(failures=failures, failed_at=now)
        is_ejected = now >= record.out_until and (
            is_silent or failures >= EJECT_AFTER_FAILURES
        )
        if is_ejected:
            length = min(
                EJECT_LIMIT_SECONDS, EJECT_SECONDS * 2**record.ejections
            )
            record = record._replace(
                ejections=record.ejections + 1, out_until=now + length
            )
        self._records[target] = record
        return is_ejected

    def note_report(self, target: str, now: float) -> None:
        """Takes a peer's word of a failure.

        The path between peer and target may be at fault: the target costs
        more for a while, but is not ejected.
        """
        record = self._records.get(target, _CLEAN)
        self._records[target] = record._replace(failed_at=now)

    def note_time(
        self, target: str, measured_ms: float, predicted_ms: float, now: float
    ) -> None:
        """Takes a measured time to the first token."""
        record = self._records.get(target, _CLEAN)
        ratio = measured_ms / max(1.0, predicted_ms)
        ratio = min(MAX_SLOWNESS, max(1.0, ratio))
        old = self.slowness(target, now)
        self._records[target] = record._replace(
            slowness=old + SLOWNESS_GAIN * (ratio - old), measured_at=now
        )

    def is_out(self, target: str, now: float) -> bool:
        """Returns whether a target is ejected."""
        record = self._records.get(target)
        return record is not None and now < record.out_until

    def penalty(self, target: str, now: float) -> float:
        """Returns the cost of choosing a target, for its failures."""
        record = self._records.get(target)
        if record is None:
            return 0.0
        age = now - record.failed_at
        return max(0.0, FAILURE_PENALTY * (1 - age / FAILURE_MEMORY_SECONDS))

    def slowness(self, target: str, now: float) -> float:
        """Returns measured against predicted time; 1 where as published."""
        record = self._records.get(target)
        if record is None:
            return 1.0
        age = now - record.measured_at
        share = max(0.0, 1 - age / SLOWNESS_MEMORY_SECONDS)
        return 1.0 + (record.slowness - 1.0) * share

    def drop(self, target: str) -> None:
        """Forgets a target."""
        self._records.pop(target, None)
