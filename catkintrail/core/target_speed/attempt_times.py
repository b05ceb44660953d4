"""Learns the speed of targets from the attempts that an instance knows.

These are its own and those that peers report. A report tells of an attempt's
placement, first token and end when they happen, so that the times need no
fields in the messages.
"""

from catkintrail.core import fleet_load
from catkintrail.core import store_views
from catkintrail.core import target_health
from catkintrail.core.target_speed import first_token_times

__all__ = ["AttemptTimes"]


class AttemptTimes:
    """Takes the times of attempts, and passes them on.

    Attributes:
        zone: Availability zone of this instance.
        load: Attempts in progress.
        health: What is learned of targets.
        targets: The listed targets.
    """

    def __init__(
        self,
        zone: str,
        load: fleet_load.FleetLoad,
        health: target_health.TargetHealth,
        targets: store_views.TargetView,
    ) -> None:
        self.zone = zone
        self.load = load
        self.health = health
        self.targets = targets

    def record_end(self, owner: str, key: str, now: float) -> None:
        """Records the run time of an attempt that succeeds at this moment.

        The time of an event stream ends with its first event.

        Args:
            owner: Name of the instance that sent the request.
            key: Key of the attempt.
            now: Time in seconds.
        """
        attempt = self.load.by_owner.get(owner, {}).get(key)
        # Attempts with a weight have a prediction, which tells more.
        if attempt is None or attempt.weight:
            return
        target = self.targets.targets.get(attempt.targets[0])
        if target is None:
            return
        ended_at = attempt.prefill_end if attempt.is_decoding else now
        self.health.speeds.record_run_time(
            target,
            self._count_requests(attempt),
            (ended_at - attempt.placed_at) * 1000.0,
            self.zone,
            now,
        )

    def record_first_token(
        self,
        attempt: fleet_load.Attempt,
        measured_ms: float,
        predicted_ms: float,
        now: float,
    ) -> None:
        """Records a time to first token of the targets of an attempt.

        The prediction is extended by the prefills that were placed on the same
        targets later: parts of divided prompts are prefilled first.

        Args:
            attempt: The attempt.
            measured_ms: Measured time.
            predicted_ms: Predicted time.
            now: Time in seconds.
        """
        later_ms = max(
            sum(
                (other.prefill_end - other.placed_at) * 1000.0
                for other in self.load.at(target).values()
                if other.placed_at > attempt.placed_at
            )
            for target in attempt.targets
        )
        if measured_ms > predicted_ms:
            predicted_ms = min(measured_ms, predicted_ms + later_ms)
        if len(attempt.targets) > 1:
            self.health.record_group_time(
                attempt.targets, measured_ms, predicted_ms, now
            )
            return
        self._record_ratio(attempt, measured_ms, predicted_ms, now)
        self.health.record_first_token_time(
            attempt.targets[0], measured_ms, predicted_ms, now
        )

    def _record_ratio(
        self,
        attempt: fleet_load.Attempt,
        measured_ms: float,
        predicted_ms: float,
        now: float,
    ) -> None:
        """Records how an engine did with the number of its attempts."""
        target = self.targets.targets.get(attempt.targets[0])
        if target is None:
            return
        speeds = self.health.speeds
        ratio = first_token_times.ratio_to_prediction(measured_ms, predicted_ms)
        # The prediction took the known slowness into account.
        ratio *= speeds.slowness_with(target.name, attempt.requests, now)
        requests = sum(self._count_requests(attempt)) / 2.0
        speeds.record_ratio(target, requests, max(1.0, ratio), now)

    def _count_requests(self, attempt: fleet_load.Attempt) -> tuple[int, int]:
        """Returns the attempts at a target at the start and now."""
        return attempt.requests, len(self.load.at(attempt.targets[0]))
