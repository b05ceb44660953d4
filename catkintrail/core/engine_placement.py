"""Chooses the engines that prefill and decode a request.

A long prefill delays the streams decoded on the same engine more than the
prompts queued behind it. The placement cost therefore adds the cost of the
request's own delay to the cost of the streams whose event gaps would exceed
their goals. Costs are relative to the weight of a request of mean length. The
cost model is meant for loads in which prompts from a thousand to half a million
tokens share engines.
"""

from typing import NamedTuple, Sequence

from catkintrail.core import engine_cost
from catkintrail.core import fleet_load
from catkintrail.core import route_table
from catkintrail.core import targets as target_records
from catkintrail.core.scheduling import engine_memory
from catkintrail.core.scheduling import engine_state
from catkintrail.core.scheduling import placement_cost
from catkintrail.core.scheduling import stream_demand

__all__ = [
    "Choice",
    "EngineState",
    "RequestDemand",
    "choose",
    "describe_engine",
    "is_untroubled",
]

# Numbers of engines among which a prompt may be divided. The protocol allows 16
# helpers.
PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)
# A prompt is not divided further if its first event is predicted within this
# share of its goal. Predictions do not include prompts that arrive later.
COMFORTABLE_GOAL_SHARE = 0.5
# A first token counts as overdue this long after its predicted time. Reports
# from other availability zones arrive later, because they are batched.
OVERDUE_TOLERANCE_MS = 60.0
OTHER_ZONE_OVERDUE_TOLERANCE_MS = 300.0
OVERDUE_TOLERANCE_SHARE = 0.5

RequestDemand = engine_state.RequestDemand
EngineState = engine_state.EngineState


class Choice(NamedTuple):
    """The engines chosen for a request.

    Attributes:
        engines: The engine that answers the request, followed by its helpers.
        memory: KV cache tokens kept by each of the engines.
        first_token_ms: Predicted time to the first token.
        cost: Cost of the choice; the lowest of those compared.
    """

    engines: tuple[target_records.Target, ...]
    memory: tuple[int, ...]
    first_token_ms: float
    cost: float


def describe_engine(
    target: target_records.Target,
    attempts: Sequence[fleet_load.Attempt],
    figures: route_table.EngineFigures,
    now: float,
    slowness: float,
    penalty: float,
    is_local: bool,
) -> EngineState:
    """Returns the state of an engine from the attempts in progress on it.

    A first token that is overdue shows that the engine is slow or dead, long
    before the request on it fails: the longer it is overdue, the longer the
    engine is expected to need.

    Args:
        target: The engine.
        attempts: Attempts in progress on the engine.
        figures: Published figures of the engine.
        now: Time in seconds.
        slowness: Ratio of measured to predicted time.
        penalty: Cost of using the engine because of recent failures.
        is_local: Whether the engine is in this instance's availability zone.
    """
    prefill_backlog_ms = 0.0
    helper_backlog_ms = 0.0
    decoding_requests = 0
    context_tokens = 0
    kv_tokens = 0
    for attempt in attempts:
        tokens = attempt.memory[attempt.targets.index(target.name)]
        kv_tokens += tokens
        if attempt.is_decoding:
            decoding_requests += 1
            context_tokens += tokens
        else:
            left_ms = (attempt.prefill_end - now) * 1000.0
            prefill_backlog_ms = max(prefill_backlog_ms, left_ms)
            if attempt.targets[0] != target.name:
                helper_backlog_ms = max(helper_backlog_ms, left_ms)
    overdue_ms, overdue_ratio = _overdue(attempts, now, is_local)
    prefill_backlog_ms = max(prefill_backlog_ms, overdue_ms)
    slowness = max(slowness, overdue_ratio)
    pass_ms = 0.0
    if decoding_requests:
        pass_ms = engine_cost.decode_pass_ms(
            figures, decoding_requests, context_tokens
        )
    return EngineState(
        target,
        attempts,
        max(0.0, prefill_backlog_ms),
        pass_ms * slowness,
        kv_tokens,
        slowness,
        penalty,
        is_local,
        max(helper_backlog_ms, overdue_ms),
    )


def _overdue(
    attempts: Sequence[fleet_load.Attempt], now: float, is_local: bool
) -> tuple[float, float]:
    """Returns how long first tokens of an engine are overdue.

    Prompts that were placed later may be prefilled first, so nothing is overdue
    before the last predicted end. A divided prompt does not show which of its
    engines is late.

    Args:
        attempts: Attempts in progress on the engine.
        now: Time in seconds.
        is_local: Whether reports of the engine's attempts arrive at once.

    Returns:
        Milliseconds, and the least ratio of actual to predicted time.
    """
    waiting = [attempt for attempt in attempts if not attempt.is_decoding]
    if not any(len(attempt.targets) == 1 for attempt in waiting):
        return 0.0, 1.0
    tolerance_ms = OVERDUE_TOLERANCE_MS
    if not is_local:
        tolerance_ms = OTHER_ZONE_OVERDUE_TOLERANCE_MS
    due_at = max(attempt.prefill_end for attempt in waiting)
    placed_at = min(attempt.placed_at for attempt in waiting)
    predicted_ms = (due_at - placed_at) * 1000.0
    tolerance_ms += OVERDUE_TOLERANCE_SHARE * predicted_ms
    overdue_ms = (now - due_at) * 1000.0 - tolerance_ms
    if overdue_ms <= 0.0:
        return 0.0, 1.0
    predicted_ms += OVERDUE_TOLERANCE_MS
    return overdue_ms, (now - placed_at) * 1000.0 / predicted_ms


def choose(
    demand: RequestDemand,
    engines: Sequence[EngineState],
    figures: route_table.EngineFigures,
    max_parts: int = PART_COUNTS[-1],
    expected: Sequence[stream_demand.ExpectedStreams] = (),
    now: float = 0.0,
) -> Choice | None:
    """Chooses the engines with the lowest placement cost.

    Args:
        demand: The demand of the request.
        engines: The candidate engines.
        figures: Published figures of the engines.
        max_parts: Maximum number of engines among which the prompt is divided.
        expected: Streams that are expected to start on these engines.
        now: Time in seconds.

    Returns:
        The choice; None if the engines do not have enough free memory.
    """
    single_engine_ms = engine_cost.prefill_ms(figures, demand.prompt_tokens)
    pass_prefill_ms = engine_cost.max_prefill_per_pass_ms(
        figures, demand.prompt_tokens
    )
    usable_tokens = engine_memory.usable_tokens(figures)
    weight = engine_cost.request_weight(figures, demand.prompt_tokens)
    stream_pass_ms = engine_cost.decode_pass_ms(
        figures, 1, demand.prompt_tokens
    )
    goals = {kind.gap_goal_ms: kind.goal_ms for kind in expected}
    has_local_engines = any(engine.is_local for engine in engines)
    costs = {
        engine.target.name: placement_cost.EngineCosts(
            engine,
            demand,
            weight,
            stream_pass_ms,
            goals,
            now,
            has_local_engines,
        )
        for engine in engines
    }
    # Small parts of some prompts harm no stream, so that they leave the engines
    # without streams to longer prompts.
    least_part_ms = single_engine_ms / PART_COUNTS[-1]
    is_harmless_if_divided = not placement_cost.find_harmed(
        figures, expected, least_part_ms, min(least_part_ms, pass_prefill_ms)
    )
    best: Choice | None = None
    for parts in PART_COUNTS:
        if parts > min(max_parts, len(engines)):
            break
        part_ms = single_engine_ms / parts
        part_pass_ms = min(part_ms, pass_prefill_ms)
        for group in _candidate_groups(engines, parts):
            holders = engine_memory.find_holders(
                group,
                demand.prompt_tokens + demand.output_tokens,
                usable_tokens,
                parts,
            )
            if not holders:
                continue
            reservation = placement_cost.Reservation(
                group,
                figures,
                expected,
                part_ms,
                part_pass_ms,
                demand.gap_goal_ms,
            )
            division = _Division(
                demand,
                weight,
                parts,
                part_ms,
                part_pass_ms,
                costs,
                reservation,
            )
            choice = division.choose(holders, group)
            if best is None or choice.cost < best.cost:
                best = choice
        # Smaller parts gain nothing once a part takes less time than the
        # decoding steps of a pass, or once the goal is met with a margin and
        # no other request delayed.
        if part_ms < figures.step_ms * figures.steps_per_pass:
            break
        if (
            best is not None
            and not is_harmless_if_divided
            and _is_comfortable(best, demand, weight)
        ):
            break
    return best


def is_untroubled(
    choice: Choice,
    demand: RequestDemand,
    figures: route_table.EngineFigures,
) -> bool:
    """Returns whether a choice meets the goal and delays no other request.

    Other engines could then only be slightly better.
    """
    weight = engine_cost.request_weight(figures, demand.prompt_tokens)
    engine_cost_limit = (
        placement_cost.FIRST_STREAM_COST
        + placement_cost.HELPER_COST
        + placement_cost.OTHER_ZONE_COST
    )
    return (
        choice.cost
        <= min(1.0, weight) * placement_cost.WITHIN_GOAL_COST
        + len(choice.engines) * engine_cost_limit
    )


def _is_comfortable(
    choice: Choice, demand: RequestDemand, weight: float
) -> bool:
    """Returns whether a choice leaves time and delays no other request."""
    first_ms = demand.elapsed_ms + choice.first_token_ms
    return (
        first_ms < demand.goal_ms * COMFORTABLE_GOAL_SHARE
        and choice.cost
        <= min(1.0, weight) * placement_cost.WITHIN_GOAL_COST
        + len(choice.engines) * placement_cost.HELPER_COST
    )


class _Division:
    """The division of a prompt into a number of parts."""

    def __init__(
        self,
        demand: RequestDemand,
        weight: float,
        parts: int,
        part_ms: float,
        pass_prefill_ms: float,
        costs: dict[str, placement_cost.EngineCosts],
        reservation: placement_cost.Reservation,
    ) -> None:
        """Initializes the division.

        Args:
            demand: The demand of the request.
            weight: Weight of the request.
            parts: Number of parts.
            part_ms: Prefill time of a part.
            pass_prefill_ms: Longest prefill time of a part in one pass.
            costs: Costs of a part on each engine, by name.
            reservation: Costs to streams that will start meanwhile.
        """
        self._demand = demand
        self._weight = weight
        self._parts = parts
        self._part_ms = part_ms
        self._pass_prefill_ms = pass_prefill_ms
        self._costs = costs
        self._reservation = reservation

    def choose(
        self,
        holders: engine_memory.MemoryHolders,
        engines: Sequence[EngineState],
    ) -> Choice:
        """Returns the engines of a group with the lowest cost."""
        cost, number = min(
            (self._primary_cost(engine), number)
            for number, engine in enumerate(holders.engines)
        )
        primary = holders.engines[number]
        primary_delay_ms = self._costs[primary.target.name].first_token_ms(
            self._part_ms
        )
        delay_ms = primary_delay_ms
        chosen = [primary]
        if self._parts > 1:
            self._reservation.take(primary)
            for helper_cost, engine in self._choose_helpers(
                holders, engines, primary
            ):
                chosen.append(engine)
                cost += helper_cost + placement_cost.HELPER_COST
                ready_ms = self._costs[engine.target.name].helper_ready_ms(
                    self._part_ms
                )
                delay_ms = max(delay_ms, ready_ms)
            cost += self._delay_cost(delay_ms)
            cost -= self._delay_cost(primary_delay_ms)
        memory = [0] * len(chosen)
        memory[: holders.count] = [holders.tokens] * holders.count
        return Choice(
            tuple(e.target for e in chosen), tuple(memory), delay_ms, cost
        )

    def _choose_helpers(
        self,
        holders: engine_memory.MemoryHolders,
        engines: Sequence[EngineState],
        primary: EngineState,
    ) -> list[tuple[float, EngineState]]:
        """Returns the helpers with their costs, holders of memory first."""
        helpers: list[tuple[float, EngineState]] = []
        costs = {}
        delay_costs = {}
        for engine in engines:
            engine_costs = self._costs[engine.target.name]
            costs[engine.target.name] = engine_costs.helper_cost(
                self._part_ms, self._pass_prefill_ms
            )
            delay_costs[engine.target.name] = engine_costs.helper_delay_cost(
                self._part_ms, self._parts
            )

        def rank(engine: EngineState) -> float:
            name = engine.target.name
            return (
                costs[name] + delay_costs[name] + self._reservation.cost(engine)
            )

        left = [engine for engine in engines if engine is not primary]
        for candidates, count in (
            (holders.engines, holders.count - 1),
            (engines, self._parts - 1),
        ):
            eligible = {engine.target.name for engine in candidates}
            is_stale = True
            found: list[EngineState] = []
            while len(helpers) < count:
                # The costs of engines with usable slots grow with each one that
                # is taken.
                if is_stale:
                    found = [e for e in left if e.target.name in eligible]
                    found.sort(key=rank)
                engine = found.pop(0)
                left.remove(engine)
                cost = costs[engine.target.name]
                helpers.append((cost + self._reservation.cost(engine), engine))
                is_stale = self._reservation.take(engine)
        return helpers

    def _delay_cost(self, delay_ms: float) -> float:
        return placement_cost.delay_cost(delay_ms, self._demand, self._weight)

    def _primary_cost(self, engine: EngineState) -> float:
        return self._costs[engine.target.name].primary_cost(
            self._part_ms, self._pass_prefill_ms, self._parts
        ) + self._reservation.cost(engine)


def _candidate_groups(
    engines: Sequence[EngineState], parts: int
) -> list[Sequence[EngineState]]:
    """Returns the groups of engines from which the parts' engines are chosen.

    The engines of a prompt exchange data with each other. If the network
    between availability zones fails, only engines in the same zone can do so.
    A group therefore spans zones only if no zone has enough engines.
    """
    if parts == 1:
        return [engines]
    zones: dict[str, list[EngineState]] = {}
    for engine in engines:
        zones.setdefault(engine.target.availability_zone, []).append(engine)
    groups = [zone for zone in zones.values() if len(zone) >= parts]
    return groups or [engines]
