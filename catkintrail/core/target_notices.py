"""What targets state of themselves, in one place.

A target may be leaving, want nothing for some time, or name a limit of the
requests that it takes. Each send is checked against these right before its
first byte, because they may have come after the target was chosen.
"""

from typing import Collection, NamedTuple

from catkintrail.core import departures as departure_records
from catkintrail.core import target_limits
from catkintrail.core import target_pauses
from catkintrail.core import targets as target_records
from catkintrail.core.zones import cold_targets
from catkintrail.core.zones import evacuation

__all__ = ["TargetNotices", "TargetStatement"]


class TargetStatement(NamedTuple):
    """What an answer states of its target.

    Attributes:
        is_leaving: Whether the target announces its shutdown.
        pause_seconds: For how long it wants nothing from this instance; None
            if it does not say so.
        requests_per_second: How many requests it takes from all instances
            together; None if it does not say so.
        ends_limit: Whether the answer shows that there is no limit.
        cold_seconds: For how long it stays cold; None if it does not say so.
    """

    is_leaving: bool = False
    pause_seconds: float | None = None
    requests_per_second: float | None = None
    ends_limit: bool = False
    cold_seconds: float | None = None


class TargetNotices:
    """Departures, pauses and limits of targets.

    They are read, and pauses and limits are recorded, by several threads.

    Attributes:
        departures: Targets that are leaving or were removed.
        pauses: Targets that asked to be sent nothing for some time.
        limits: Targets that take a limited rate of requests.
        evacuations: Zones to whose targets nothing may be sent.
        cold: Targets that have just started, or are cold again.
    """

    def __init__(
        self,
        departures: departure_records.DepartureRecord | None = None,
        evacuations: evacuation.ZoneEvacuations | None = None,
        limits_cold_targets: bool = False,
    ) -> None:
        self.departures = departures or departure_records.DepartureRecord()
        self.pauses = target_pauses.TargetPauses()
        self.limits = target_limits.TargetLimits()
        self.evacuations = evacuations or evacuation.ZoneEvacuations()
        self.cold = cold_targets.ColdTargets(limits_cold_targets)

    def record(
        self,
        target: target_records.Target,
        statement: TargetStatement,
        sent_at: float,
        now: float,
    ) -> bool:
        """Records the pause and the limit that an answer states.

        Args:
            target: The target.
            statement: What the answer states.
            sent_at: When the request was sent, in seconds.
            now: Time in seconds.

        Returns:
            Whether the limit has changed, so that peers have to be told.
        """
        if statement.pause_seconds is not None:
            self.pauses.add(target, statement.pause_seconds, now)
        if statement.requests_per_second is not None:
            return self.limits.hear_limit(
                target, statement.requests_per_second, now
            )
        return statement.ends_limit and self.limits.hear_end(
            target, sent_at, now
        )

    def find_obstacle(
        self,
        target: target_records.Target,
        permits: Collection[str],
        now: float,
    ) -> str:
        """Returns why a target must not be sent a request; "" if it may be.

        Args:
            target: The target.
            permits: Names of the targets for which the request has a permit.
            now: Time in seconds.
        """
        if self.evacuations.is_evacuated(target.availability_zone):
            return (
                f"the zone {target.availability_zone} of {target.name} is"
                " evacuated"
            )
        if self.departures.contains(target):
            return f"{target.name} is leaving"
        if self.pauses.remaining_seconds(target, now):
            return f"{target.name} asked for a pause"
        if target.name not in permits:
            if self.limits.find(target) is not None:
                return f"{target.name} has a limit, and there is no permit"
            if self.cold.find(target, now) is not None:
                return f"{target.name} is cold, and there is no permit"
        return ""

    def find_limit(
        self, target: target_records.Target, now: float
    ) -> float | None:
        """Returns how many requests a second a target takes; None for any."""
        limits = (self.limits.find(target), self.cold.find(target, now))
        return min((x for x in limits if x is not None), default=None)

    def wait_seconds(self, target: target_records.Target, now: float) -> float:
        """Returns for how long a target cannot be sent anything."""
        return max(
            self.pauses.remaining_seconds(target, now),
            self.limits.wait_seconds(target, now),
        )

    def expire(self, now: float) -> None:
        """Drops pauses and limits that have ended."""
        self.pauses.expire(now)
        self.limits.expire(now)
