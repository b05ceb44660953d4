"""Tracks failures and response times of targets from callers' requests."""

from typing import NamedTuple, Sequence

from catkintrail.core.target_speed import target_speeds

__all__ = ["SUSPECT_SLOWNESS", "TargetHealth"]

SUSPECT_SLOWNESS = target_speeds.SUSPECT_SLOWNESS

# Single failures are common on the fleets served; two in a row are not.
EJECT_AFTER_FAILURES = 2
# Duration of the first ejection; doubles with each further one, up to the limit
# below, until the target succeeds.
EJECT_SECONDS = 1.5
EJECT_LIMIT_SECONDS = 12.0
# Cost of a target right after a failure, relative to a request of mean length;
# falls linearly to zero over the time below.
FAILURE_PENALTY = 0.6
FAILURE_PENALTY_SECONDS = 4.0


class _Record(NamedTuple):
    failures: int
    ejections: int
    ejected_until: float
    failed_at: float


_NO_HISTORY = _Record(0, 0, 0.0, float("-inf"))


class TargetHealth:
    """Health records of targets, by name.

    Attributes:
        speeds: What is known of the speed of targets.
    """

    def __init__(self) -> None:
        self.speeds = target_speeds.TargetSpeeds()
        self._records: dict[str, _Record] = {}

    def record_success(self, target: str) -> None:
        """Clears the failures and the ejection of a target."""
        record = self._records.get(target)
        if record is not None:
            self._records[target] = record._replace(
                failures=0, ejections=0, ejected_until=0.0
            )

    def record_failure(self, target: str, now: float, is_silent: bool) -> bool:
        """Counts a failure and ejects the target if there are too many.

        Args:
            target: Name of the target.
            now: Time in seconds.
            is_silent: Whether the target sent no response at all; a single such
                failure ejects it.

        Returns:
            Whether this failure ejected the target.
        """
        record = self._records.get(target, _NO_HISTORY)
        failures = record.failures + 1
        record = record._replace(failures=failures, failed_at=now)
        is_ejected = now >= record.ejected_until and (
            is_silent or failures >= EJECT_AFTER_FAILURES
        )
        if is_ejected:
            length = min(
                EJECT_LIMIT_SECONDS, EJECT_SECONDS * 2**record.ejections
            )
            record = record._replace(
                ejections=record.ejections + 1, ejected_until=now + length
            )
        self._records[target] = record
        return is_ejected

    def record_peer_report(self, target: str, now: float) -> None:
        """Records a failure reported by a peer.

        The cause may be the network between the peer and the target, so the
        target is penalised for a while but not ejected.
        """
        record = self._records.get(target, _NO_HISTORY)
        self._records[target] = record._replace(failed_at=now)

    def record_first_token_time(
        self, target: str, measured_ms: float, predicted_ms: float, now: float
    ) -> None:
        """Updates the slowness from a measured time to the first token.

        Args:
            target: Name of the target.
            measured_ms: Measured time.
            predicted_ms: Predicted time, for the slowness known at that time.
            now: Time in seconds.
        """
        self.speeds.first_tokens.record(target, measured_ms, predicted_ms, now)

    def record_group_time(
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
        self.speeds.first_tokens.record_group(
            targets, measured_ms, predicted_ms, now
        )

    def is_ejected(self, target: str, now: float) -> bool:
        """Returns whether a target is ejected."""
        record = self._records.get(target)
        return record is not None and now < record.ejected_until

    def penalty(self, target: str, now: float) -> float:
        """Returns the cost of choosing a target because of its failures."""
        record = self._records.get(target)
        if record is None:
            return 0.0
        age = now - record.failed_at
        return max(0.0, FAILURE_PENALTY * (1 - age / FAILURE_PENALTY_SECONDS))

    def slowness(self, target: str, now: float) -> float:
        """Returns the mean ratio of measured to predicted time, at least 1."""
        return self.speeds.slowness(target, now)

    def comfortable_requests(self, target: str, now: float) -> float:
        """Returns how many requests a target handles well.

        Returns:
            A number of at most its slots; infinite if nothing is known.
        """
        return self.speeds.comfortable_requests(target, now)

    def forget(self, target: str) -> None:
        """Removes the record of a target."""
        self._records.pop(target, None)
        self.speeds.forget(target)
