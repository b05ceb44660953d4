"""What is known of the speed of targets, and how it is learned.

Times to first token of engines are compared with their predictions, run times
of plain services with those of the other targets of the service.
"""

from typing import Collection, NamedTuple

from catkintrail.core import targets as target_records
from catkintrail.core.target_speed import first_token_times
from catkintrail.core.target_speed import peer_times
from catkintrail.core.target_speed import trials
from catkintrail.core.target_speed import zone_delays

__all__ = ["SUSPECT_SLOWNESS", "TargetSpeed", "TargetSpeeds"]

# A target slower than this is suspect.
SUSPECT_SLOWNESS = 1.5


class TargetSpeed(NamedTuple):
    """What is known of the speed of a target, for operators.

    Attributes:
        slowness: Ratio of its times to the normal ones, at least 1.
        comfortable: Number of requests that it handles well; infinite if that
            is not known.
        strain: Ratio of its times with more requests to those with fewer.
        age_seconds: Time since the last measurement.
    """

    slowness: float
    comfortable: float
    strain: float
    age_seconds: float


class TargetSpeeds:
    """Speeds of targets, by name.

    Attributes:
        first_tokens: Slowness of engines.
    """

    def __init__(self) -> None:
        self.first_tokens = first_token_times.FirstTokenTimes()
        self._strains = peer_times.PeerTimes(fixed_reference=0.0)
        self._services: dict[str, peer_times.PeerTimes] = {}
        self._service_of: dict[str, str] = {}
        self._delays: dict[str, zone_delays.ZoneDelays] = {}
        self._trials: dict[str, trials.SpeedTrials] = {}

    def record_ratio(
        self,
        target: target_records.Target,
        requests: float,
        ratio: float,
        now: float,
    ) -> None:
        """Records how an engine did with a number of requests.

        Args:
            target: The engine.
            requests: Mean number of its requests meanwhile, this one included.
            ratio: Ratio of the measured time to the time predicted for an
                engine of the published speed.
            now: Time in seconds.
        """
        self._strains.record(target.name, target.slots, requests, ratio, now)

    def record_run_time(
        self,
        target: target_records.Target,
        requests: tuple[int, int],
        measured_ms: float,
        zone: str,
        now: float,
    ) -> None:
        """Records the run time of a request at a plain service.

        Args:
            target: The target.
            requests: Number of its requests at the start and at the end, this
                one included.
            measured_ms: The run time.
            zone: Availability zone of the instance that measured it.
            now: Time in seconds.
        """
        service = target.service
        delays = self._delays.setdefault(service, zone_delays.ZoneDelays())
        measured_ms -= delays.record(
            target.availability_zone, zone, measured_ms, now
        )
        times = self._services.setdefault(service, peer_times.PeerTimes())
        self._service_of[target.name] = service
        times.record(
            target.name,
            target.slots,
            sum(requests) / 2.0,
            measured_ms,
            now,
            requests[0],
        )

    def slowness(self, target: str, now: float) -> float:
        """Returns the ratio of a target's times to normal ones, at least 1."""
        return max(
            self.first_tokens.slowness(target, now),
            self._run_time_estimate(target, now).slowness,
        )

    def comfortable_requests(self, target: str, now: float) -> float:
        """Returns how many requests a target handles well.

        Returns:
            A number of at most its slots; infinite if nothing is known.
        """
        return min(
            self._strains.estimate(target, now).comfortable,
            self._run_time_estimate(target, now).comfortable,
        )

    def slowness_with(self, target: str, requests: int, now: float) -> float:
        """Returns the slowness of a target with a number of requests."""
        slowness = self.slowness(target, now)
        estimates = (
            self._strains.estimate(target, now),
            self._run_time_estimate(target, now),
        )
        strains = [e.strain for e in estimates if requests > e.comfortable]
        return slowness * max(strains, default=1.0)

    def overdue_ratio(
        self, target: target_records.Target, placed_at: float, now: float
    ) -> float:
        """Returns how slow a target is by its oldest request, at least 1."""
        times = self._services.get(target.service)
        if times is None:
            return 1.0
        return times.overdue_ratio(target.name, placed_at, now)

    def choose_trial(
        self,
        service: str,
        idle: Collection[str],
        left_ms: float,
        now: float,
    ) -> str:
        """Chooses a slow target of a plain service to be measured again.

        Args:
            service: Name of the service.
            idle: Names of the usable targets without requests.
            left_ms: Time left until the goal of the request.
            now: Time in seconds.

        Returns:
            Name of the target; "" for none.
        """
        times = self._services.get(service)
        if times is None:
            return ""
        due = []
        for name in idle:
            estimate = times.estimate(name, now)
            if estimate.slowness > 1.0:
                entry = (estimate.measured_at, name, estimate.slow_ms)
                due.append(entry)
        limit = self._trials.setdefault(service, trials.SpeedTrials())
        return limit.choose(due, left_ms, now)

    def known(self, now: float) -> dict[str, TargetSpeed]:
        """Returns what is known of each target that was measured."""
        names = self.first_tokens.targets() | self._service_of.keys()
        speeds = {}
        for name in names:
            estimates = (
                self._strains.estimate(name, now),
                self._run_time_estimate(name, now),
            )
            age = min(
                self.first_tokens.age(name, now),
                *(now - estimate.measured_at for estimate in estimates),
            )
            speeds[name] = TargetSpeed(
                self.slowness(name, now),
                min(estimate.comfortable for estimate in estimates),
                max(estimate.strain for estimate in estimates),
                age,
            )
        return speeds

    def suspects(self, now: float) -> dict[str, float]:
        """Returns the slowness of the targets that are suspected of it."""
        names = self.first_tokens.targets() | self._service_of.keys()
        slowness = {name: self.slowness(name, now) for name in names}
        return {
            name: ratio
            for name, ratio in slowness.items()
            if ratio > SUSPECT_SLOWNESS
        }

    def forget(self, target: str) -> None:
        """Removes what is known of a target."""
        self.first_tokens.forget(target)
        self._strains.forget(target)
        service = self._service_of.pop(target, "")
        if service:
            self._services[service].forget(target)
        if service in self._trials:
            self._trials[service].forget(target)

    def _run_time_estimate(
        self, target: str, now: float
    ) -> peer_times.Estimate:
        service = self._service_of.get(target)
        if service is None:
            return peer_times.UNKNOWN
        return self._services[service].estimate(target, now)
