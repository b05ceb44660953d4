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
        basis: What the slowness is learned from: `first_tokens` or `run_times`.
        usual_ms: Its usual run time with few requests; 0 if unknown.
        normal_ms: That of the service's faster targets; 0 if unknown.
    """

    slowness: float
    comfortable: float
    strain: float
    age_seconds: float
    basis: str = "first_tokens"
    usual_ms: float = 0.0
    normal_ms: float = 0.0


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
        self._engine_trials = trials.SpeedTrials(
            trials.ENGINE_TRIALS_PER_PLACEMENT, trials.ENGINE_TRIALS_PER_SECOND
        )

    def record_ratio(
        self,
        target: target_records.Target,
        requests: tuple[int, int],
        ratio: float,
        now: float,
    ) -> None:
        """Records how an engine did with a number of requests.

        Args:
            target: The engine.
            requests: Number of its requests at the start and at the end, this
                one included.
            ratio: Ratio of the measured time to the time predicted for an
                engine of the published speed.
            now: Time in seconds.
        """
        self._strains.record(
            target.name, target.slots, _typical_requests(requests), ratio, now
        )

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
            _typical_requests(requests),
            measured_ms,
            now,
            requests[0],
        )
        if service in self._trials:
            estimate = times.estimate(target.name, now)
            is_good = estimate.is_recovering or estimate.slowness == 1.0
            self._trials[service].settle(target.name, is_good)

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
        run_times = self._run_time_estimate(target, now)
        strains = self._strains.estimate(target, now)
        slowness = self.first_tokens.slowness(target, now)
        slowness = max(slowness, run_times.slowness)
        if requests > run_times.comfortable:
            slowness *= run_times.strain
        elif requests > strains.comfortable:
            slowness *= strains.strain
        return slowness

    def slow_targets(self, service: str) -> Collection[str]:
        """Returns the names of the slow targets of a plain service."""
        times = self._services.get(service)
        return times.slow if times is not None else ()

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
        estimates = ((name, times.estimate(name, now)) for name in idle)
        due = [
            trials.DueTrial(
                estimate.measured_at,
                name,
                estimate.slow_ms,
                estimate.is_recovering,
            )
            for name, estimate in estimates
            if estimate.slowness > 1.0
        ]
        limit = self._trials.setdefault(service, trials.SpeedTrials())
        return limit.choose(due, left_ms, now)

    def choose_engine_trial(
        self,
        idle: Collection[str],
        predicted_ms: float,
        left_ms: float,
        now: float,
    ) -> str:
        """Chooses a slow engine to be measured again.

        Args:
            idle: Names of the usable engines without requests.
            predicted_ms: Time to the first token at the published speed.
            left_ms: Time left until the goal of the request.
            now: Time in seconds.

        Returns:
            Name of the engine; "" for none.
        """
        slowness = [(e, self.first_tokens.slowness(e, now)) for e in idle]
        normal = peer_times.normal([ratio for _, ratio in slowness])
        due = [
            trials.DueTrial(
                now - self.first_tokens.age(name, now),
                name,
                predicted_ms * ratio,
                self.first_tokens.is_recovering(name),
            )
            for name, ratio in slowness
            if ratio > SUSPECT_SLOWNESS * normal
        ]
        return self._engine_trials.choose(due, left_ms, now)

    def known(self, now: float) -> dict[str, TargetSpeed]:
        """Returns what is known of each target that was measured."""
        names = self.first_tokens.targets() | self._service_of.keys()
        return {name: self._describe(name, now) for name in names}

    def _describe(self, target: str, now: float) -> TargetSpeed:
        run_times = self._run_time_estimate(target, now)
        strains = self._strains.estimate(target, now)
        first_tokens = self.first_tokens.slowness(target, now)
        service = self._service_of.get(target)
        normal_ms = None
        if service is not None:
            normal_ms = self._services[service].typical_ms(now)
        has_predictions = first_tokens > run_times.slowness or not normal_ms
        return TargetSpeed(
            max(first_tokens, run_times.slowness),
            min(run_times.comfortable, strains.comfortable),
            max(run_times.strain, strains.strain),
            min(
                self.first_tokens.age(target, now),
                now - run_times.measured_at,
                now - strains.measured_at,
            ),
            "first_tokens" if has_predictions else "run_times",
            run_times.slow_ms,
            normal_ms or 0.0,
        )

    def forget(self, target: str) -> None:
        """Removes what is known of a target."""
        self.first_tokens.forget(target)
        self._strains.forget(target)
        service = self._service_of.pop(target, "")
        if service:
            self._services[service].forget(target)
        for limit in (self._engine_trials, *self._trials.values()):
            limit.forget(target)

    def _run_time_estimate(
        self, target: str, now: float
    ) -> peer_times.Estimate:
        service = self._service_of.get(target)
        if service is None:
            return peer_times.UNKNOWN
        return self._services[service].estimate(target, now)


def _typical_requests(requests: tuple[int, int]) -> float:
    """Returns the number of requests that a time is attributed to.

    A burst keeps a target busy until its last request ends, and some targets
    decide at the start of a request how fast it is.

    Args:
        requests: Number of requests at the start and at the end.
    """
    return max(requests[0], sum(requests) / 2.0)
