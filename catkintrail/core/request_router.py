"""Admits callers' requests and chooses targets for them.

Performs no I/O and takes the current time as an argument. Times are in seconds
of a clock that keeps running while the machine is suspended.
"""

import random
from typing import NamedTuple

from catkintrail import messages
from catkintrail import relay_settings
from catkintrail import verdict as verdicts
from catkintrail.core import engine_cost
from catkintrail.core import engine_placement
from catkintrail.core import fleet_load
from catkintrail.core import fleet_state
from catkintrail.core import load_reports
from catkintrail.core import route_table
from catkintrail.core import service_retry_budget
from catkintrail.core import store_views
from catkintrail.core import target_health
from catkintrail.core import targets as target_records

__all__ = [
    "Admission",
    "Placement",
    "PlacementRequest",
    "RequestRouter",
    "caller_event_timeout_ms",
]

# The router refuses a request on the grounds of its configuration only if the
# proof that no newer version exists is younger than this share of
# `configuration_seconds`.
MAX_PROOF_AGE_SHARE = 0.75
# Retry-After of requests that the configuration known so far cannot decide.
NOT_READY_RETRY_SECONDS = 0.5
# Retry-After of requests for which no target is available.
NO_TARGET_RETRY_SECONDS = 0.4
# Cost of a plain target with all of its slots in use, and in proportion below.
RUNNING_COST = 0.1
# Cost of a queue as long as the number of slots, and in proportion.
QUEUED_COST = 1.0
OTHER_ZONE_COST = 0.12
# The platform specifies that callers abandon a stream after a pause of this
# minimum, this many first-event goals, or this many event gap goals, whichever
# is longest.
MIN_CALLER_TIMEOUT_MS = 2_000.0
CALLER_TIMEOUT_GOALS = 4.0
CALLER_TIMEOUT_GAPS = 8.0


class Admission(NamedTuple):
    """The decision to serve a request.

    Attributes:
        route: The route that matches the request.
        service: The service chosen among those of the route.
        organisation: Name of the organisation that holds the API key; "" if the
            route is public or requests need no key.
        priority: Rank; 0 is the most urgent.
        version: Version of the configuration that the decision is based on.
        proof_age_ms: Age of the proof that no newer version was in force.
    """

    route: route_table.Route
    service: str
    organisation: str
    priority: int
    version: int
    proof_age_ms: float


class PlacementRequest(NamedTuple):
    """A request for which a target is to be chosen.

    Attributes:
        key: Id of the attempt, unique in the deployment; each send has its own.
        admission: The decision made when the request arrived.
        prompt_tokens: Length of the prompt; 0 if unknown.
        output_tokens: Maximum number of output tokens.
        elapsed_ms: Time since the request arrived.
        tried: Names of the targets of earlier attempts.
        is_retry: Whether the request was sent to a target before.
    """

    key: str
    admission: Admission
    prompt_tokens: int
    output_tokens: int
    elapsed_ms: float
    tried: frozenset[str]
    is_retry: bool


class Placement(NamedTuple):
    """The placement of a request.

    Attributes:
        target: The target that answers the request.
        helpers: Engines that prefill parts of the prompt.
        memory: KV cache tokens kept by the target and each helper, in that
            order; the helpers' shares have to be reserved before use.
        predicted_ms: Predicted time to the first token; 0 if unknown.
        valid_until: Time after which the request must not be sent.
        candidates: Number of targets that were considered.
        cost: Cost of the chosen placement.
        may_retry_early: Whether the retry budget is large enough to send a
            retry before the target has exceeded its timeout.
    """

    target: target_records.Target
    helpers: tuple[target_records.Target, ...]
    memory: tuple[int, ...]
    predicted_ms: float
    valid_until: float
    candidates: int
    cost: float
    may_retry_early: bool


def caller_event_timeout_ms(route: route_table.Route) -> float:
    """Returns the longest pause in a stream that its caller tolerates."""
    return max(
        MIN_CALLER_TIMEOUT_MS,
        CALLER_TIMEOUT_GOALS * route.goal_ms,
        CALLER_TIMEOUT_GAPS * route.gap_goal_ms,
    )


class RequestRouter:
    """Routes the requests of one instance.

    Attributes:
        settings: Settings of this instance.
        rng: Source of random numbers.
        fleet_state: Known state of the configuration, targets and peers.
        load: Attempts in progress of this instance and its peers.
        health: Failures and response times of targets, from past attempts.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        incarnation: int,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.fleet_state = fleet_state.FleetState(settings, incarnation, rng)
        self.load = fleet_load.FleetLoad()
        self.health = target_health.TargetHealth()
        self._retry_budgets: dict[
            str, service_retry_budget.ServiceRetryBudget
        ] = {}

    def admit(
        self, host: str, path: str, api_key: str, now: float
    ) -> Admission | verdicts.Refusal:
        """Decides whether a request is served, and by which service.

        Args:
            host: Host header of the request.
            path: Path of the request.
            api_key: API key of the caller; ignored on public routes.
            now: Time in seconds.

        Returns:
            The admission, or the reason for refusing the request.
        """
        table = self.fleet_state.configuration.table
        if table is None:
            return _refuse(
                verdicts.Reason.NOT_READY,
                "no configuration has been received yet",
                NOT_READY_RETRY_SECONDS,
            )
        age = now - self.fleet_state.configuration.proven_at
        route = table.find(host, path)
        if route is None:
            return self._refuse_for_configuration(
                verdicts.Reason.NOT_FOUND, "no route matches", age
            )
        organisation = None
        organisations = table.configuration.organisations
        if organisations is not None and not route.is_public:
            organisation = organisations.get(api_key)
            if organisation is None:
                return self._refuse_for_configuration(
                    verdicts.Reason.UNAUTHENTICATED, "the key is unknown", age
                )
            if now > self.fleet_state.keys_valid_until():
                return _refuse(
                    verdicts.Reason.STORE_UNAVAILABLE,
                    f"no proof of the key for {age:.1f} s",
                    NOT_READY_RETRY_SECONDS,
                )
        priority = route.priority
        if organisation is not None and organisation.priority is not None:
            priority = organisation.priority
        return Admission(
            route,
            self._pick_service(route),
            organisation.name if organisation else "",
            priority,
            self.fleet_state.configuration.version,
            age * 1000.0,
        )

    def place(
        self, request: PlacementRequest, now: float
    ) -> Placement | verdicts.Refusal:
        """Chooses the targets of a request and records the attempt.

        Args:
            request: The request.
            now: Time in seconds.

        Returns:
            The placement, or the reason for refusing the request.
        """
        service = request.admission.service
        listed = list(
            self.fleet_state.targets.by_service.get(service, {}).values()
        )
        usable = [t for t in listed if t.name not in request.tried]
        healthy = [t for t in usable if not self.health.is_ejected(t.name, now)]
        unreachable_zones = self.fleet_state.peers.unreachable_zones()
        reachable = [
            t for t in healthy if t.availability_zone not in unreachable_zones
        ]
        candidates = reachable or healthy or usable
        if not candidates:
            return _refuse(
                verdicts.Reason.NO_TARGET,
                f"none of {len(listed)} targets is available",
                NO_TARGET_RETRY_SECONDS,
            )
        if request.is_retry and not self._retry_budget(service).try_acquire(
            self.fleet_state.peers.max_alive, now
        ):
            return _refuse(
                verdicts.Reason.OVERLOADED,
                "the retry budget is exhausted",
                NO_TARGET_RETRY_SECONDS,
            )
        if not request.is_retry:
            self._retry_budget(service).record_first_send(now)
        figures = self._engine_figures(service)
        if figures is None or not request.prompt_tokens:
            return self._place_plain(request, candidates, now)
        return self._place_prompt(request, candidates, figures, now)

    def record_first_token(
        self, key: str, measured_ms: float, predicted_ms: float, now: float
    ) -> messages.LoadUpdate | None:
        """Records the arrival of a stream's first event.

        Args:
            key: Key of the attempt.
            measured_ms: Measured time to the first token.
            predicted_ms: Predicted time to the first token; 0 if unknown.
            now: Time in seconds.

        Returns:
            The update for peers; None if the attempt is unknown.
        """
        owner = self.settings.name
        attempt = self.load.by_owner.get(owner, {}).get(key)
        if attempt is None:
            return None
        if predicted_ms:
            self.health.record_first_token_time(
                attempt.targets[0], measured_ms, predicted_ms, now
            )
        attempt = attempt._replace(is_decoding=True, prefill_end=now)
        self.load.put(owner, attempt)
        return self._make_update((attempt,), (), now)

    def record_attempt_end(
        self,
        key: str,
        target: str,
        is_success: bool,
        is_target_fault: bool,
        is_silent: bool,
        now: float,
    ) -> tuple[messages.LoadUpdate, bool]:
        """Records the end of an attempt.

        Args:
            key: Key of the attempt.
            target: Name of the target that succeeded or failed.
            is_success: Whether the target completed the request.
            is_target_fault: Whether the target caused the failure.
            is_silent: Whether the target sent no response at all.
            now: Time in seconds.

        Returns:
            The update for peers, which names the target if it is at fault, and
            whether the target was ejected.
        """
        self.load.drop(self.settings.name, key)
        is_ejected = False
        if is_success:
            self.health.record_success(target)
        elif is_target_fault:
            is_ejected = self.health.record_failure(target, now, is_silent)
        faults = (target,) if is_target_fault else ()
        return self._make_update((), (key,), now, faults), is_ejected

    def apply_settings(self, settings: relay_settings.RelaySettings) -> None:
        """Applies reloaded settings; changes of addresses have no effect."""
        self.settings = settings
        self.fleet_state.settings = settings
        for budget in self._retry_budgets.values():
            budget.set_bounds(
                settings.retry_ratio,
                settings.retry_extra,
                settings.retry_window_seconds,
            )

    def apply_load_message(
        self, message: messages.LoadUpdate | messages.LoadSnapshot, now: float
    ) -> None:
        """Applies a peer's attempts and its reports of failed targets."""
        load_reports.apply_message(self.load, message, now)
        if isinstance(message, messages.LoadUpdate):
            for target in message.faults:
                self.health.record_peer_report(target, now)

    def snapshot(self, now: float) -> messages.LoadSnapshot:
        """Returns a message with all attempts of this instance."""
        return load_reports.make_snapshot(self.settings.name, self.load, now)

    def expire(self, now: float) -> list[store_views.TargetChange]:
        """Drops expired state and the attempts of peers that are down.

        Args:
            now: Time in seconds.

        Returns:
            The targets that were removed.
        """
        self.load.expire(now)
        alive = {peer.name for peer in self.fleet_state.peers.alive()}
        alive.add(self.settings.name)
        for owner in list(self.load.by_owner):
            if owner not in alive:
                self.load.drop_owner(owner)
        return self.fleet_state.expire(now)

    def drop_removed_targets(
        self, changes: list[store_views.TargetChange]
    ) -> None:
        """Drops the health records of targets that were removed."""
        for change in changes:
            if change.event in store_views.REMOVAL_EVENTS:
                self.health.forget(change.target.name)

    def _make_update(
        self,
        puts: tuple[fleet_load.Attempt, ...],
        drops: tuple[str, ...],
        now: float,
        faults: tuple[str, ...] = (),
    ) -> messages.LoadUpdate:
        return load_reports.make_update(
            self.settings.name, puts, drops, now, faults
        )

    def _key_valid_until(self, admission: Admission) -> float:
        """Returns until when the API key of a request is known to be valid."""
        return (
            self.fleet_state.keys_valid_until()
            if admission.organisation
            else float("inf")
        )

    def _refuse_for_configuration(
        self, reason: verdicts.Reason, message: str, age: float
    ) -> verdicts.Refusal:
        """Refuses a request that the configuration does not allow.

        If the proof that the configuration is current is too old, a newer
        version may allow the request, so the caller is asked to retry.
        """
        if age <= self.settings.configuration_seconds * MAX_PROOF_AGE_SHARE:
            return verdicts.Refusal(verdicts.Verdict.NOT_RUN, reason, message)
        return _refuse(
            verdicts.Reason.STORE_UNAVAILABLE,
            f"{message} in a configuration last confirmed {age:.1f} s ago",
            NOT_READY_RETRY_SECONDS,
        )

    def _pick_service(self, route: route_table.Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [share.weight for share in route.services]
        if not any(weights):
            return route.services[0].service
        return self.rng.choices(route.services, weights)[0].service

    def _engine_figures(self, service: str) -> route_table.EngineFigures | None:
        table = self.fleet_state.configuration.table
        known = table.configuration.services.get(service) if table else None
        return known.engine if known else None

    def _retry_budget(
        self, service: str
    ) -> service_retry_budget.ServiceRetryBudget:
        if service not in self._retry_budgets:
            self._retry_budgets[service] = (
                service_retry_budget.ServiceRetryBudget(
                    self.settings.retry_ratio,
                    self.settings.retry_extra,
                    self.settings.retry_window_seconds,
                )
            )
        return self._retry_budgets[service]

    def _place_plain(
        self,
        request: PlacementRequest,
        candidates: list[target_records.Target],
        now: float,
    ) -> Placement:
        zone = self.settings.availability_zone

        def cost(target: target_records.Target) -> float:
            running = len(self.load.at(target.name))
            slots = max(1, target.slots)
            total = RUNNING_COST * running / slots
            total += QUEUED_COST * max(0, running + 1 - slots) / slots
            total += self.health.penalty(target.name, now)
            total += self.health.slowness(target.name, now) - 1.0
            if target.availability_zone != zone:
                total += OTHER_ZONE_COST
            return total

        costs = [
            (cost(target), self.rng.random(), target) for target in candidates
        ]
        best_cost, _, target = min(costs, key=lambda item: item[:2])
        self._record_attempt(request, (target,), (0,), 0.0, 0.0, now)
        return Placement(
            target,
            (),
            (0,),
            0.0,
            self._key_valid_until(request.admission),
            len(candidates),
            best_cost,
            False,
        )

    def _place_prompt(
        self,
        request: PlacementRequest,
        candidates: list[target_records.Target],
        figures: route_table.EngineFigures,
        now: float,
    ) -> Placement | verdicts.Refusal:
        zone = self.settings.availability_zone
        route = request.admission.route
        engines = [
            engine_placement.describe_engine(
                target,
                tuple(self.load.at(target.name).values()),
                figures,
                now,
                self.health.slowness(target.name, now),
                self.health.penalty(target.name, now),
                target.availability_zone == zone,
            )
            for target in candidates
        ]
        self.rng.shuffle(engines)
        demand = engine_placement.RequestDemand(
            request.prompt_tokens,
            request.output_tokens,
            route.goal_ms,
            request.elapsed_ms,
        )
        choice = engine_placement.choose(demand, engines, figures)
        if choice is None:
            return _refuse(
                verdicts.Reason.OVERLOADED,
                "no engine has enough free memory",
                NO_TARGET_RETRY_SECONDS,
            )
        self._record_attempt(
            request,
            choice.engines,
            choice.memory,
            choice.first_token_ms,
            engine_cost.request_weight(figures, request.prompt_tokens),
            now,
        )
        return Placement(
            choice.engines[0],
            choice.engines[1:],
            choice.memory,
            choice.first_token_ms,
            self._key_valid_until(request.admission),
            len(candidates),
            choice.cost,
            self._retry_budget(request.admission.service).allows_early_retry(
                self.fleet_state.peers.max_alive, now
            ),
        )

    def _record_attempt(
        self,
        request: PlacementRequest,
        chosen: tuple[target_records.Target, ...],
        memory: tuple[int, ...],
        first_token_ms: float,
        weight: float,
        now: float,
    ) -> None:
        attempt = fleet_load.Attempt(
            request.key,
            tuple(target.name for target in chosen),
            memory,
            request.admission.route.gap_goal_ms,
            weight,
            now + first_token_ms / 1000.0,
            False,
            now,
        )
        self.load.put(self.settings.name, attempt)

    def make_placement_update(
        self, key: str, now: float
    ) -> messages.LoadUpdate | None:
        """Returns the update that reports a placed request to peers.

        Args:
            key: Key of the attempt.
            now: Time in seconds.

        Returns:
            The update; None if the attempt is unknown.
        """
        attempt = self.load.by_owner.get(self.settings.name, {}).get(key)
        return self._make_update((attempt,), (), now) if attempt else None


def _refuse(
    reason: verdicts.Reason, message: str, retry_after_seconds: float
) -> verdicts.Refusal:
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN, reason, message, retry_after_seconds
    )
