"""Decisions of one instance about callers' requests and targets.

Takes the time as an argument and does no I/O. Times are in seconds of a clock
that goes on while the machine is suspended.
"""

import random
from typing import NamedTuple

from catkintrail import messages
from catkintrail import relay_settings
from catkintrail import verdict as verdicts
from catkintrail.core import beliefs
from catkintrail.core import engine_cost
from catkintrail.core import engine_placement
from catkintrail.core import fleet_knowledge
from catkintrail.core import fleet_load
from catkintrail.core import load_reports
from catkintrail.core import repeat_budget
from catkintrail.core import route_table
from catkintrail.core import target_health
from catkintrail.core import targets as target_records

__all__ = [
    "Admission",
    "Grant",
    "PlaceRequest",
    "RequestRouter",
    "caller_patience_ms",
]

# Refusals that depend on the newest configuration need a proof of this age.
FRESH_SHARE = 0.75
# Pause before a caller of an instance without knowledge comes back.
NOT_READY_RETRY_SECONDS = 0.5
# Pause before a caller comes back where no target is left.
NO_TARGET_RETRY_SECONDS = 0.4
# Cost of each running request on a plain target, as a share of its slots.
SLOT_COST = 0.1
QUEUED_COST = 1.0
OTHER_ZONE_COST = 0.12
# Callers leave a stream after the longest of these; the platform states them.
PATIENCE_FLOOR_MS = 2_000.0
PATIENCE_GOALS = 4.0
PATIENCE_GAPS = 8.0


class Admission(NamedTuple):
    """A request that may be served.

    Attributes:
        route: Its route.
        service: The service that serves it.
        organisation: Name of the key's holder; "" for a public route.
        priority: Rank; 0 is the most urgent.
        version: Version of the configuration that said so.
        proof_age_ms: Age of the proof that no newer version was in force.
    """

    route: route_table.Route
    service: str
    organisation: str
    priority: int
    version: int
    proof_age_ms: float


class PlaceRequest(NamedTuple):
    """A request that needs a target.

    Attributes:
        key: Unique in the deployment; one for each send.
        admission: What was decided when it came.
        prompt_tokens: Length of the prompt; 0 where unknown.
        output_tokens: The most output tokens.
        elapsed_ms: Time since it came.
        tried: Names of targets that were tried.
        is_repeat: Whether it was sent before.
    """

    key: str
    admission: Admission
    prompt_tokens: int
    output_tokens: int
    elapsed_ms: float
    tried: frozenset[str]
    is_repeat: bool


class Grant(NamedTuple):
    """Where a request goes.

    Attributes:
        target: The target that answers.
        helpers: Engines that prefill parts of the prompt.
        memory: Tokens that the target and each helper keep; what a helper
            keeps has to be reserved there.
        predicted_ms: Predicted time to the first token; 0 where unknown.
        valid_until: The request must not be sent later.
        candidates: Number of targets that were weighed.
        cost: Cost of the choice.
        may_repeat_early: Whether repeats are plenty, so that one may be sent
            before the target is surely silent.
    """

    target: target_records.Target
    helpers: tuple[target_records.Target, ...]
    memory: tuple[int, ...]
    predicted_ms: float
    valid_until: float
    candidates: int
    cost: float
    may_repeat_early: bool


def caller_patience_ms(route: route_table.Route) -> float:
    """Returns how long a stream's caller waits for the next event."""
    return max(
        PATIENCE_FLOOR_MS,
        PATIENCE_GOALS * route.goal_ms,
        PATIENCE_GAPS * route.gap_goal_ms,
    )


class RequestRouter:
    """State and decisions of one instance.

    Attributes:
        settings: Its settings.
        knowledge: What is known of configuration, targets and peers.
        load: Attempts at targets, its own and its peers'.
        health: What requests showed of targets.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        incarnation: int,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.knowledge = fleet_knowledge.FleetKnowledge(
            settings, incarnation, rng
        )
        self.load = fleet_load.FleetLoad()
        self.health = target_health.TargetHealth()
        self._budgets: dict[str, repeat_budget.RepeatBudget] = {}

    def admit(
        self, host: str, path: str, api_key: str, now: float
    ) -> Admission | verdicts.Refusal:
        """Decides whether a request may be served, and by which service."""
        table = self.knowledge.configuration.table
        if table is None:
            return _not_run(
                verdicts.Reason.NOT_READY,
                "no configuration is known yet",
                NOT_READY_RETRY_SECONDS,
            )
        age = now - self.knowledge.configuration.proven_at
        route = table.find(host, path)
        if route is None:
            return self._deny(
                verdicts.Reason.NOT_FOUND, "no route matches", age
            )
        organisation = None
        holders = table.configuration.organisations
        if holders is not None and not route.is_public:
            organisation = holders.get(api_key)
            if organisation is None:
                return self._deny(
                    verdicts.Reason.UNAUTHENTICATED, "the key is unknown", age
                )
            if now > self.knowledge.keys_valid_until():
                return _not_run(
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
            self.knowledge.configuration.version,
            age * 1000.0,
        )

    def place(
        self, request: PlaceRequest, now: float
    ) -> Grant | verdicts.Refusal:
        """Chooses where a request goes, and counts it there."""
        service = request.admission.service
        members = list(
            self.knowledge.targets.by_service.get(service, {}).values()
        )
        usable = [t for t in members if t.name not in request.tried]
        healthy = [t for t in usable if not self.health.is_out(t.name, now)]
        cut_zones = self.knowledge.peers.cut_zones()
        reached = [t for t in healthy if t.availability_zone not in cut_zones]
        candidates = reached or healthy or usable
        if not candidates:
            return _not_run(
                verdicts.Reason.NO_TARGET,
                f"no target is left of {len(members)}",
                NO_TARGET_RETRY_SECONDS,
            )
        if request.is_repeat and not self._budget(service).take(
            self.knowledge.peers.most, now
        ):
            return _not_run(
                verdicts.Reason.OVERLOADED,
                "no repeat is left in the budget",
                NO_TARGET_RETRY_SECONDS,
            )
        if not request.is_repeat:
            self._budget(service).note_first(now)
        figures = self._figures(service)
        if figures is None or not request.prompt_tokens:
            return self._place_plain(request, candidates, now)
        return self._place_prompt(request, candidates, figures, now)

    def note_first_token(
        self, key: str, measured_ms: float, predicted_ms: float, now: float
    ) -> messages.LoadUpdate | None:
        """Notes that a stream's first event came."""
        owner = self.settings.name
        attempt = self.load.by_owner.get(owner, {}).get(key)
        if attempt is None:
            return None
        if predicted_ms:
            self.health.note_time(
                attempt.targets[0], measured_ms, predicted_ms, now
            )
        attempt = attempt._replace(is_decoding=True, prefill_end=now)
        self.load.put(owner, attempt)
        return self._make_update((attempt,), (), now)

    def note_end(
        self,
        key: str,
        target: str,
        is_success: bool,
        is_fault: bool,
        is_silent: bool,
        now: float,
    ) -> tuple[messages.LoadUpdate, bool]:
        """Notes the end of an attempt.

        Peers are told of a target's faults with it.

        Args:
            key: Of the attempt.
            target: The target that was asked.
            is_success: Whether the target answered as it should.
            is_fault: Whether the failure is the target's.
            is_silent: Whether it did not answer at all.
            now: Time in seconds.

        Returns:
            The update for peers, and whether the target was ejected.
        """
        self.load.drop(self.settings.name, key)
        is_ejected = False
        if is_success:
            self.health.note_success(target)
        elif is_fault:
            is_ejected = self.health.note_failure(target, now, is_silent)
        faults = (target,) if is_fault else ()
        return self._make_update((), (key,), now, faults), is_ejected

    def apply_settings(self, settings: relay_settings.RelaySettings) -> None:
        """Takes new settings; addresses stay."""
        self.settings = settings
        self.knowledge.settings = settings
        for budget in self._budgets.values():
            budget.apply_bounds(
                settings.retry_ratio,
                settings.retry_extra,
                settings.retry_window_seconds,
            )

    def hear_load(
        self, message: messages.LoadUpdate | messages.LoadSnapshot, now: float
    ) -> None:
        """Takes a peer's load, and its word of targets that failed."""
        load_reports.apply(self.load, message, now)
        if isinstance(message, messages.LoadUpdate):
            for target in message.faults:
                self.health.note_report(target, now)

    def snapshot(self, now: float) -> messages.LoadSnapshot:
        """Returns all own attempts."""
        return load_reports.make_snapshot(self.settings.name, self.load, now)

    def expire(self, now: float) -> list[beliefs.TargetChange]:
        """Drops what is too old; returns what changed."""
        self.load.expire(now)
        alive = {peer.name for peer in self.knowledge.peers.alive()}
        alive.add(self.settings.name)
        for owner in list(self.load.by_owner):
            if owner not in alive:
                self.load.drop_owner(owner)
        return self.knowledge.expire(now)

    def note_changes(self, changes: list[beliefs.TargetChange]) -> None:
        """Forgets what requests showed of targets that are gone."""
        for change in changes:
            if change.event in beliefs.GONE_EVENTS:
                self.health.drop(change.target.name)

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

    def _send_until(self, admission: Admission) -> float:
        """Returns when the proof of a request's key ends."""
        return (
            self.knowledge.keys_valid_until()
            if admission.organisation
            else float("inf")
        )

    def _deny(
        self, reason: verdicts.Reason, message: str, age: float
    ) -> verdicts.Refusal:
        """Refuses for good only what the newest configuration refuses."""
        if age <= self.settings.configuration_seconds * FRESH_SHARE:
            return verdicts.Refusal(verdicts.Verdict.NOT_RUN, reason, message)
        return _not_run(
            verdicts.Reason.STORE_UNAVAILABLE,
            f"{message} in a configuration proven {age:.1f} s ago",
            NOT_READY_RETRY_SECONDS,
        )

    def _pick_service(self, route: route_table.Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [share.weight for share in route.services]
        if not any(weights):
            return route.services[0].service
        return self.rng.choices(route.services, weights)[0].service

    def _figures(self, service: str) -> route_table.EngineFigures | None:
        table = self.knowledge.configuration.table
        known = table.configuration.services.get(service) if table else None
        return known.engine if known else None

    def _budget(self, service: str) -> repeat_budget.RepeatBudget:
        if service not in self._budgets:
            self._budgets[service] = repeat_budget.RepeatBudget(
                self.settings.retry_ratio,
                self.settings.retry_extra,
                self.settings.retry_window_seconds,
            )
        return self._budgets[service]

    def _place_plain(
        self,
        request: PlaceRequest,
        candidates: list[target_records.Target],
        now: float,
    ) -> Grant:
        zone = self.settings.availability_zone

        def cost(target: target_records.Target) -> float:
            running = len(self.load.at(target.name))
            slots = max(1, target.slots)
            total = SLOT_COST * running / slots
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
        self._count(request, (target,), (0,), 0.0, 0.0, now)
        return Grant(
            target,
            (),
            (0,),
            0.0,
            self._send_until(request.admission),
            len(candidates),
            best_cost,
            False,
        )

    def _place_prompt(
        self,
        request: PlaceRequest,
        candidates: list[target_records.Target],
        figures: route_table.EngineFigures,
        now: float,
    ) -> Grant | verdicts.Refusal:
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
        work = engine_placement.Work(
            request.prompt_tokens,
            request.output_tokens,
            route.goal_ms,
            request.elapsed_ms,
        )
        choice = engine_placement.choose(work, engines, figures)
        if choice is None:
            return _not_run(
                verdicts.Reason.OVERLOADED,
                "no engine has the memory",
                NO_TARGET_RETRY_SECONDS,
            )
        self._count(
            request,
            choice.engines,
            choice.memory,
            choice.first_token_ms,
            engine_cost.weight(figures, request.prompt_tokens),
            now,
        )
        return Grant(
            choice.engines[0],
            choice.engines[1:],
            choice.memory,
            choice.first_token_ms,
            self._send_until(request.admission),
            len(candidates),
            choice.cost,
            self._budget(request.admission.service).is_plenty(
                self.knowledge.peers.most, now
            ),
        )

    def _count(
        self,
        request: PlaceRequest,
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

    def placed_update(self, key: str, now: float) -> messages.LoadUpdate | None:
        """Returns the update that tells peers of a placed request."""
        attempt = self.load.by_owner.get(self.settings.name, {}).get(key)
        return self._make_update((attempt,), (), now) if attempt else None


def _not_run(
    reason: verdicts.Reason, message: str, retry_after_seconds: float
) -> verdicts.Refusal:
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN, reason, message, retry_after_seconds
    )
