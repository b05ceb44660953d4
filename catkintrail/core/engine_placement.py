"""Chooses the engines that prefill and decode a request.

A long prefill delays the streams decoded on the same engine more than the
prompts queued behind it. The placement cost therefore adds the cost of the
request's own delay to the cost of the streams whose event gaps would exceed
their goals. Costs are relative to the weight of a request of mean length. The
cost model is meant for loads in which prompts from a thousand to half a million
tokens share engines.
"""

from typing import Callable, NamedTuple, Sequence

from catkintrail.core import engine_cost
from catkintrail.core import fleet_load
from catkintrail.core import route_table
from catkintrail.core import target_health
from catkintrail.core import targets as target_records

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
# Cost of a late answer or a stream with too long an event gap, as a share of
# the request's weight: the users' measure credits late answers with a quarter.
LATE_COST = 0.75
# A predicted event gap counts as too long above this share of the goal, because
# predictions do not include network transit time.
GAP_GOAL_SHARE = 0.85
# Event gap at which callers of the shortest streams disconnect, as specified by
# the platform.
CALLER_TIMEOUT_GAP_MS = 2_000.0
# The first event is planned for this share of its goal, because predictions do
# not include network transit time.
FIRST_TOKEN_GOAL_SHARE = 0.8
# Cost of a delay as long as the goal, and less for shorter delays, so that the
# sooner of two answers in time is preferred.
WITHIN_GOAL_COST = 0.15
# Cost, on top of `LATE_COST`, of each further delay as long as the goal.
OVERDUE_COST_SLOPE = 0.25
# Limit of the cost that grows with lateness: the remaining value of a late
# answer.
MAX_OVERDUE_COST = 0.5
# Cost of each helper, relative to a request of mean length: transferring its
# part disturbs the other requests of the engine.
HELPER_COST = 0.02
# Cost of the first stream on an engine: engines without streams are kept free
# for long prompts, whose prefill would delay streams elsewhere.
FIRST_STREAM_COST = 0.12
# Cost of an engine in another availability zone, for traffic between zones.
OTHER_ZONE_COST = 0.03
# Cost of each request beyond the engine's slots, which waits for another
# request to end.
QUEUED_COST = 1.0
# Share of an engine's KV cache that prompts and predicted outputs may fill.
USABLE_KV_SHARE = 0.95
# A first token counts as overdue this long after its predicted time. Reports
# from other availability zones arrive later, because they are batched.
OVERDUE_TOLERANCE_MS = 60.0
OTHER_ZONE_OVERDUE_TOLERANCE_MS = 300.0
OVERDUE_TOLERANCE_SHARE = 0.5
# Cost of another request on a suspect engine before its next first token has
# arrived.
SUSPECT_COST = 0.5
# Mean wait for the end of the running pass, as a share of a pass.
MEAN_PASS_WAIT_SHARE = 0.5


class RequestDemand(NamedTuple):
    """The resources and response time that a request needs.

    Attributes:
        prompt_tokens: Length of the prompt.
        output_tokens: Maximum number of output tokens.
        goal_ms: Goal for the time from the request's arrival to its first
            event.
        elapsed_ms: Time since the request arrived.
        gap_goal_ms: Goal for the longest gap between events; 0 for none.
    """

    prompt_tokens: int
    output_tokens: int
    goal_ms: float
    elapsed_ms: float
    gap_goal_ms: float = 0.0


class EngineState(NamedTuple):
    """An engine and its known load.

    Attributes:
        target: The engine.
        attempts: Attempts in progress on the engine.
        backlog_ms: Time until the queued prefills are done.
        pass_ms: Duration of a decoding pass without prefills; 0 if no request
            is being decoded.
        kv_tokens: KV cache in use, in tokens.
        slowness: Ratio of measured to predicted time; 1 if the engine is as
            fast as published.
        penalty: Cost of using the engine because of recent failures.
        is_local: Whether the engine is in this instance's availability zone.
    """

    target: target_records.Target
    attempts: Sequence[fleet_load.Attempt]
    backlog_ms: float
    pass_ms: float
    kv_tokens: int
    slowness: float
    penalty: float
    is_local: bool


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
    decoding_requests = 0
    context_tokens = 0
    kv_tokens = 0
    for attempt in attempts:
        tokens = dict(zip(attempt.targets, attempt.memory))[target.name]
        kv_tokens += tokens
        if attempt.is_decoding:
            decoding_requests += 1
            context_tokens += tokens
        else:
            prefill_backlog_ms = max(
                prefill_backlog_ms, (attempt.prefill_end - now) * 1000.0
            )
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
) -> Choice | None:
    """Chooses the engines with the lowest placement cost.

    Args:
        demand: The demand of the request.
        engines: The candidate engines.
        figures: Published figures of the engines.
        max_parts: Maximum number of engines among which the prompt is divided.

    Returns:
        The choice; None if the engines do not have enough free memory.
    """
    own_weight = engine_cost.request_weight(figures, demand.prompt_tokens)
    single_engine_ms = engine_cost.prefill_ms(figures, demand.prompt_tokens)
    pass_prefill_ms = engine_cost.max_prefill_per_pass_ms(
        figures, demand.prompt_tokens
    )
    stream_pass_ms = engine_cost.decode_pass_ms(
        figures, 1, demand.prompt_tokens
    )
    required_tokens = demand.prompt_tokens + demand.output_tokens
    usable_tokens = int(figures.kv_tokens * USABLE_KV_SHARE)
    best: Choice | None = None
    for parts in PART_COUNTS:
        if parts > min(max_parts, len(engines)):
            break
        part_ms = single_engine_ms / parts
        for group in _candidate_groups(engines, parts):
            holders = _find_memory_holders(
                group, required_tokens, usable_tokens, parts
            )
            if not holders:
                continue
            choice = _choose_parts(
                demand,
                holders,
                group,
                parts,
                part_ms,
                min(part_ms, pass_prefill_ms),
                stream_pass_ms,
                own_weight,
            )
            if best is None or choice.cost < best.cost:
                best = choice
        # Smaller parts gain nothing once a part takes less time than the
        # decoding steps of a pass.
        if part_ms < figures.step_ms * figures.steps_per_pass:
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
    engine_cost_limit = FIRST_STREAM_COST + HELPER_COST + OTHER_ZONE_COST
    return (
        choice.cost
        <= weight * WITHIN_GOAL_COST + len(choice.engines) * engine_cost_limit
    )


def _choose_parts(
    demand: RequestDemand,
    holders: "_MemoryHolders",
    engines: Sequence[EngineState],
    parts: int,
    part_ms: float,
    pass_prefill_ms: float,
    stream_pass_ms: float,
    own_weight: float,
) -> Choice:
    interference = _interference_cost(part_ms, pass_prefill_ms)

    def primary_cost(engine: EngineState) -> float:
        delay_ms = _first_token_ms(engine, part_ms)
        opening_cost = 0.0 if engine.pass_ms else FIRST_STREAM_COST
        if parts > 1:
            opening_cost += own_weight * _suspicion_cost(engine)
        return (
            own_weight * _delay_cost(delay_ms, demand)
            + own_weight * _own_gap_cost(engine, stream_pass_ms, demand)
            + interference(engine)
            + opening_cost
            + _usage_cost(engine)
        )

    ranked = sorted(holders.engines, key=primary_cost)
    primary = ranked[0]
    primary_delay_ms = delay_ms = _first_token_ms(primary, part_ms)
    cost = primary_cost(primary)
    chosen = [primary]
    if parts > 1:

        def helper_cost(engine: EngineState) -> float:
            ready_ms = _part_ready_ms(engine, part_ms)
            return (
                own_weight * _delay_cost(ready_ms, demand) / parts
                + own_weight * _suspicion_cost(engine)
                + interference(engine)
                + _usage_cost(engine)
            )

        memory_helpers = sorted(ranked[1:], key=helper_cost)[
            : holders.count - 1
        ]
        other_helpers = [
            e for e in engines if e is not primary and e not in memory_helpers
        ]
        other_helpers.sort(key=helper_cost)
        helpers = (
            memory_helpers + other_helpers[: parts - 1 - len(memory_helpers)]
        )
        chosen += helpers
        for engine in helpers:
            delay_ms = max(delay_ms, _part_ready_ms(engine, part_ms))
            cost += interference(engine) + _usage_cost(engine) + HELPER_COST
        cost += own_weight * (
            _delay_cost(delay_ms, demand)
            - _delay_cost(primary_delay_ms, demand)
        )
    memory = [0] * len(chosen)
    memory[: holders.count] = [holders.tokens] * holders.count
    return Choice(
        tuple(e.target for e in chosen), tuple(memory), delay_ms, cost
    )


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


class _MemoryHolders(NamedTuple):
    """Engines that can keep a request's KV cache.

    Attributes:
        engines: Engines with enough free memory for a share.
        count: Number of engines among which the KV cache is divided.
        tokens: Tokens kept by each of them.
    """

    engines: list[EngineState]
    count: int
    tokens: int


def _find_memory_holders(
    engines: Sequence[EngineState],
    required_tokens: int,
    usable_tokens: int,
    parts: int,
) -> _MemoryHolders | None:
    """Finds the smallest number of engines that can keep the KV cache.

    Args:
        engines: The candidate engines.
        required_tokens: KV cache that the request needs.
        usable_tokens: KV cache of each engine that may be filled.
        parts: Maximum number of engines.

    Returns:
        The eligible engines; None if they do not have enough free memory.
    """
    for count in range(-(-required_tokens // usable_tokens), parts + 1):
        tokens = -(-required_tokens // count)
        eligible = [e for e in engines if e.kv_tokens + tokens <= usable_tokens]
        if len(eligible) >= count:
            return _MemoryHolders(eligible, count, tokens)
    return None


def _part_ready_ms(engine: EngineState, part_ms: float) -> float:
    """Returns the time until a helper has prefilled its part."""
    return part_ms * engine.slowness + engine.pass_ms + engine.backlog_ms


def _queued_requests(engine: EngineState) -> int:
    """Returns how many requests would wait for a slot after one more."""
    return max(0, len(engine.attempts) + 1 - engine.target.slots)


def _first_token_ms(engine: EngineState, part_ms: float) -> float:
    slot_wait_ms = _queued_requests(engine) * engine.pass_ms * 4
    pass_wait_ms = engine.pass_ms * (1 + MEAN_PASS_WAIT_SHARE)
    return (
        slot_wait_ms
        + engine.backlog_ms
        + part_ms * engine.slowness
        + pass_wait_ms
    )


def _delay_cost(delay_ms: float, demand: RequestDemand) -> float:
    """Returns the cost of a delay, as a share of the request's weight."""
    share = (demand.elapsed_ms + delay_ms) / (
        demand.goal_ms * FIRST_TOKEN_GOAL_SHARE
    )
    if share <= 1.0:
        return WITHIN_GOAL_COST * share * share
    lateness = min(1.0, (share - 1.0) * 4.0)
    overdue_cost = min(MAX_OVERDUE_COST, OVERDUE_COST_SLOPE * (share - 1.0))
    return WITHIN_GOAL_COST + LATE_COST * lateness + overdue_cost


def _own_gap_cost(
    engine: EngineState, stream_pass_ms: float, demand: RequestDemand
) -> float:
    """Returns the cost of too long event gaps, as a share of the weight."""
    gap_ms = max(engine.pass_ms, stream_pass_ms * engine.slowness)
    is_late = gap_ms > demand.gap_goal_ms * GAP_GOAL_SHARE
    return LATE_COST if demand.gap_goal_ms and is_late else 0.0


def _suspicion_cost(engine: EngineState) -> float:
    """Returns the cost of a suspect engine, as a share of the weight.

    All engines of a divided prompt wait for the slowest. Short prompts show
    sooner and at less cost whether a suspect engine is fast again.
    """
    return LATE_COST if _is_suspect(engine) else 0.0


def _is_suspect(engine: EngineState) -> bool:
    return engine.slowness > target_health.SUSPECT_SLOWNESS


def _usage_cost(engine: EngineState) -> float:
    cost = engine.penalty + QUEUED_COST * _queued_requests(engine)
    if _is_suspect(engine) and any(
        not attempt.is_decoding for attempt in engine.attempts
    ):
        cost += SUSPECT_COST
    if not engine.is_local:
        cost += OTHER_ZONE_COST
    return cost


def _interference_cost(
    part_ms: float, pass_prefill_ms: float
) -> Callable[[EngineState], float]:
    """Returns a function for the cost of a prefill to an engine's streams.

    Args:
        part_ms: Prefill time of the part.
        pass_prefill_ms: Longest prefill time of the part in one pass.

    Returns:
        A function that returns the cost for the streams of an engine.
    """

    def interference(engine: EngineState) -> float:
        cost = 0.0
        for attempt in engine.attempts:
            if not attempt.gap_goal_ms:
                continue
            gap_limit_ms = attempt.gap_goal_ms * GAP_GOAL_SHARE
            gap_before_ms = engine.pass_ms + min(engine.backlog_ms, part_ms)
            gap_after_ms = engine.pass_ms + pass_prefill_ms * engine.slowness
            if attempt.is_decoding:
                if gap_after_ms > CALLER_TIMEOUT_GAP_MS:
                    cost += attempt.weight
                elif gap_after_ms > gap_limit_ms:
                    cost += attempt.weight * LATE_COST
                elif gap_before_ms + pass_prefill_ms > gap_limit_ms:
                    cost += attempt.weight * LATE_COST * 0.5
            elif gap_after_ms > gap_limit_ms:
                # The stream may start while this prompt is prefilled.
                cost += attempt.weight * LATE_COST * 0.5
        return cost

    return interference
