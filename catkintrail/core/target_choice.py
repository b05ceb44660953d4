"""Chooses targets for the requests of one instance, or of a whole zone.

Answers the load of a large fleet: bursts of short prompts that take most places
of hundreds of engines, beside a few prompts so long that they fill several
engines. One coordinator of each zone chooses for all of its instances, so that
they do not choose the same engine at once. It compares the engines of its own
zone, and some of other zones only if a request would be late or harm others.
"""

import random
from typing import Iterator

from catkintrail import messages
from catkintrail import relay_settings
from catkintrail import verdict as verdicts
from catkintrail.core import engine_cost
from catkintrail.core import engine_placement
from catkintrail.core import fleet_load
from catkintrail.core import fleet_state as fleet_states
from catkintrail.core import route_table
from catkintrail.core import target_health
from catkintrail.core import target_notices
from catkintrail.core import targets as target_records
from catkintrail.core.zones import cold_targets
from catkintrail.core.zones import target_filter

__all__ = [
    "NOT_READY_RETRY_SECONDS",
    "NO_TARGET_RETRY_SECONDS",
    "TargetChooser",
]

# Retry-After of requests that the configuration known so far cannot decide.
NOT_READY_RETRY_SECONDS = 0.5
# Cost of a plain target with all of its slots in use, and in proportion below.
RUNNING_COST = 0.1
# Cost of a queue as long as the number of slots: its own wait, in proportion,
# and the wait of those behind it, which grows with the square. Without the
# latter, requests would queue at fast targets beside free slots of slow ones
# until all are late.
QUEUED_COST = 1.0
LATER_QUEUED_COST = 4.0
OTHER_ZONE_COST = 0.12
# Largest number of engines that are all compared for each request. With more,
# those of the own zone come first, then this many of each other zone.
MAX_ENGINES_COMPARED = 48
OTHER_ZONE_ENGINES = 8
# Retry-After of requests for which no target is available.
NO_TARGET_RETRY_SECONDS = 0.4


class TargetChooser:
    """Chooses targets, and records the attempts there.

    Attributes:
        name: Name of this instance.
        availability_zone: Availability zone of this instance.
        rng: Source of random numbers.
        fleet_state: Known state of the configuration, targets and peers.
        load: Attempts in progress.
        health: Failures and response times of targets.
        notices: What targets have stated of themselves.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        rng: random.Random,
        fleet_state: fleet_states.FleetState,
        load: fleet_load.FleetLoad,
        health: target_health.TargetHealth,
        notices: target_notices.TargetNotices,
    ) -> None:
        self.name = settings.name
        self.availability_zone = settings.availability_zone
        self.rng = rng
        self.fleet_state = fleet_state
        self.load = load
        self.health = health
        self.notices = notices

    def answer_query(
        self, query: messages.PlacementQuery, now: float
    ) -> messages.PlacementAnswer:
        """Chooses targets for a request of any instance of this zone.

        The attempt is recorded, so that the next choice takes it into account.

        Args:
            query: The request.
            now: Time in seconds.
        """
        if (
            self.fleet_state.configuration.table is None
            or not self.fleet_state.has_target_list
        ):
            return self._decline(
                query,
                verdicts.Reason.NOT_READY,
                "the targets are not known yet",
                NOT_READY_RETRY_SECONDS,
            )
        listed, exclusion = target_filter.find_allowed(
            self.fleet_state.targets.by_service.get(query.service, {}).values(),
            query.allowed_regions,
            self.fleet_state.settings.regions,
            self.notices.evacuations,
        )
        if exclusion is not None:
            return self._decline(query, verdicts.Reason.NO_TARGET, *exclusion)
        waits = [self.notices.wait_seconds(t, now) for t in listed]
        if listed and all(waits):
            return self._decline(
                query,
                verdicts.Reason.OVERLOADED,
                f"all {len(listed)} targets asked for a pause or get as much as"
                " their limits allow",
                min(waits),
            )
        usable = [
            target
            for target, wait in zip(listed, waits)
            if not wait and target.name not in query.tried
        ]
        healthy = [t for t in usable if not self.health.is_ejected(t.name, now)]
        unreachable_zones = self.fleet_state.peers.unreachable_zones()
        reachable = [
            t for t in healthy if t.availability_zone not in unreachable_zones
        ]
        candidates = reachable or healthy or usable
        if not candidates:
            return self._decline(
                query,
                verdicts.Reason.NO_TARGET,
                f"none of {len(listed)} targets is available",
                NO_TARGET_RETRY_SECONDS,
            )
        preferred = self._prefer_warm(query, candidates, now)
        answer = self._choose(query, preferred, now)
        if not answer.targets and len(preferred) < len(candidates):
            answer = self._choose(query, candidates, now)
        return answer

    def _choose(
        self,
        query: messages.PlacementQuery,
        candidates: list[target_records.Target],
        now: float,
    ) -> messages.PlacementAnswer:
        figures = self._engine_figures(query.service)
        if figures is None or not query.prompt_tokens:
            return self._choose_plain(query, candidates, now)
        return self._choose_engines(query, candidates, figures, now)

    def _prefer_warm(
        self,
        query: messages.PlacementQuery,
        candidates: list[target_records.Target],
        now: float,
    ) -> list[target_records.Target]:
        figures = self._engine_figures(query.service)
        return cold_targets.prefer_warm(
            candidates,
            self.notices.cold,
            lambda target: len(self.load.at(target.name)),
            figures is None
            or query.prompt_tokens <= figures.mean_prompt_tokens,
            now,
        )

    def _choose_plain(
        self,
        query: messages.PlacementQuery,
        candidates: list[target_records.Target],
        now: float,
    ) -> messages.PlacementAnswer:
        zone = self.availability_zone
        speeds = self.health.speeds

        def cost(target: target_records.Target) -> float:
            attempts = self.load.at(target.name)
            running = len(attempts)
            slots = max(1, target.slots)
            slowness = speeds.slowness_with(target.name, running + 1, now)
            if attempts:
                oldest = min(a.placed_at for a in attempts.values())
                overdue = speeds.overdue_ratio(target, oldest, now)
                slowness = max(slowness, overdue)
            total = RUNNING_COST * running / slots
            queue = max(0, running + 1 - slots) / slots
            waits = QUEUED_COST * queue + LATER_QUEUED_COST * queue**2
            total += waits * slowness
            total += self.health.penalty(target.name, now)
            total += slowness - 1.0
            if target.availability_zone != zone:
                total += OTHER_ZONE_COST
            return total

        costs = [
            (cost(target), self.rng.random(), target) for target in candidates
        ]
        best_cost, _, target = min(costs, key=lambda item: item[:2])
        trial = self._find_trial(query, candidates, now)
        if trial is not None:
            target = trial
        answer = self._accept(
            query, (target,), (0,), 0.0, best_cost, len(candidates)
        )
        self.record_attempt(query, answer, now)
        return answer

    def _find_trial(
        self,
        query: messages.PlacementQuery,
        candidates: list[target_records.Target],
        now: float,
    ) -> target_records.Target | None:
        """Returns a slow target that the request is to measure again."""
        if query.tried:
            return None
        slow = self.health.speeds.slow_targets(query.service)
        idle = {
            target.name: target
            for target in candidates
            if target.name in slow and not self.load.at(target.name)
        }
        left_ms = query.goal_ms - query.elapsed_ms
        name = self.health.speeds.choose_trial(
            query.service, idle.keys(), left_ms, now
        )
        return idle.get(name)

    def _choose_engines(
        self,
        query: messages.PlacementQuery,
        candidates: list[target_records.Target],
        figures: route_table.EngineFigures,
        now: float,
    ) -> messages.PlacementAnswer:
        demand = engine_placement.RequestDemand(
            query.prompt_tokens,
            query.output_tokens,
            query.goal_ms,
            query.elapsed_ms,
            query.gap_goal_ms,
        )
        candidates = (
            self._find_engine_trial(query, candidates, figures, now)
            or candidates
        )
        choice = None
        compared: list[target_records.Target] = []
        for compared in self._candidate_sets(candidates):
            engines = self._describe_engines(compared, figures, now)
            choice = self._choose_group(demand, engines, figures, now)
            if choice is not None and engine_placement.is_untroubled(
                choice, demand, figures
            ):
                break
        if choice is None:
            return self._decline(
                query,
                verdicts.Reason.OVERLOADED,
                "no engine has enough free memory",
                NO_TARGET_RETRY_SECONDS,
            )
        answer = self._accept(
            query,
            choice.engines,
            choice.memory,
            choice.first_token_ms,
            choice.cost,
            len(compared),
        )
        self.record_attempt(query, answer, now)
        return answer

    def _find_engine_trial(
        self,
        query: messages.PlacementQuery,
        candidates: list[target_records.Target],
        figures: route_table.EngineFigures,
        now: float,
    ) -> list[target_records.Target]:
        """Returns a slow engine that a short prompt is to measure again."""
        if query.tried or query.prompt_tokens > figures.mean_prompt_tokens:
            return []
        idle = [t for t in candidates if not self.load.at(t.name)]
        name = self.health.speeds.choose_engine_trial(
            [target.name for target in idle],
            engine_cost.prefill_ms(figures, query.prompt_tokens),
            query.goal_ms - query.elapsed_ms,
            now,
        )
        return [target for target in idle if target.name == name]

    def _choose_group(
        self,
        demand: engine_placement.RequestDemand,
        engines: list[engine_placement.EngineState],
        figures: route_table.EngineFigures,
        now: float,
    ) -> engine_placement.Choice | None:
        """Chooses engines; for divided prompts, those without a limit first.

        A part of a prompt counts as a request at its engine, and a group whose
        engines all need permits would seldom get them at the same time.
        """
        choice = engine_placement.choose(demand, engines, figures)
        if choice is None or len(choice.engines) == 1:
            return choice
        find_limit = self.notices.find_limit
        if all(find_limit(engine, now) is None for engine in choice.engines):
            return choice
        unlimited = [e for e in engines if find_limit(e.target, now) is None]
        return engine_placement.choose(demand, unlimited, figures) or choice

    def _candidate_sets(
        self, candidates: list[target_records.Target]
    ) -> Iterator[list[target_records.Target]]:
        """Yields sets of engines to compare, until one suits the request.

        Describing all engines of a large fleet takes longer than placing a
        short prompt may take, and a few engines of each other zone are enough
        to find one with room.
        """
        if len(candidates) <= MAX_ENGINES_COMPARED:
            yield candidates
            return
        zones: dict[str, list[target_records.Target]] = {}
        for target in candidates:
            zones.setdefault(target.availability_zone, []).append(target)
        near = zones.pop(self.availability_zone, [])
        if near:
            yield near
        yield near + [
            target
            for _, others in sorted(zones.items())
            for target in self.rng.sample(
                others, min(OTHER_ZONE_ENGINES, len(others))
            )
        ]

    def _describe_engines(
        self,
        targets: list[target_records.Target],
        figures: route_table.EngineFigures,
        now: float,
    ) -> list[engine_placement.EngineState]:
        """Returns the states of engines, in random order."""
        zone = self.availability_zone
        engines = [
            engine_placement.describe_engine(
                target,
                tuple(self.load.at(target.name).values()),
                figures,
                now,
                self.health.speeds.slowness_with(
                    target.name, len(self.load.at(target.name)) + 1, now
                ),
                self.health.penalty(target.name, now),
                target.availability_zone == zone,
            )
            for target in targets
        ]
        self.rng.shuffle(engines)
        return engines

    def _accept(
        self,
        query: messages.PlacementQuery,
        targets: tuple[target_records.Target, ...],
        memory: tuple[int, ...],
        first_token_ms: float,
        cost: float,
        candidates: int,
    ) -> messages.PlacementAnswer:
        return messages.PlacementAnswer(
            self.name,
            query.key,
            targets,
            memory,
            first_token_ms,
            cost,
            candidates,
            "",
            "",
            0.0,
        )

    def _decline(
        self,
        query: messages.PlacementQuery,
        reason: verdicts.Reason,
        detail: str,
        retry_after_seconds: float,
    ) -> messages.PlacementAnswer:
        return messages.PlacementAnswer(
            self.name,
            query.key,
            (),
            (),
            0.0,
            0.0,
            0,
            reason.value,
            detail,
            retry_after_seconds,
        )

    def record_attempt(
        self,
        query: messages.PlacementQuery,
        answer: messages.PlacementAnswer,
        now: float,
    ) -> None:
        """Records the attempt of a request that was placed."""
        figures = self._engine_figures(query.service)
        weight = 0.0
        if figures is not None and query.prompt_tokens:
            weight = engine_cost.request_weight(figures, query.prompt_tokens)
        attempt = fleet_load.Attempt(
            query.key,
            tuple(target.name for target in answer.targets),
            answer.memory,
            query.gap_goal_ms,
            weight,
            now + answer.first_token_ms / 1000.0,
            False,
            now,
        )
        self.load.put(query.sender, attempt)

    def _engine_figures(self, service: str) -> route_table.EngineFigures | None:
        table = self.fleet_state.configuration.table
        known = table.configuration.services.get(service) if table else None
        return known.engine if known else None
