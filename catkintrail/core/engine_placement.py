"""Chooses the engines that prefill and decode a request.

A long prefill delays the streams that are decoded beside it more than it delays
the prompts that wait behind it. So the choice weighs the request's own delay
against the streams whose pauses would grow beyond use, in units of what a mean
request is worth to its caller. It answers loads in which prompts of a thousand
and of half a million tokens share engines.
"""

from typing import Callable, NamedTuple, Sequence

from catkintrail.core import engine_cost
from catkintrail.core import fleet_load
from catkintrail.core import route_table
from catkintrail.core import targets as target_records

__all__ = ["Choice", "EngineState", "Work", "choose", "describe_engine"]

# Numbers of engines among which a prompt is divided; the protocol allows 16
# helpers.
PART_COUNTS = (1, 2, 3, 4, 6, 8, 12, 16)
# Loss of a stream whose pauses are too long, as a share of its worth: users
# credit a late answer with a quarter.
LATE_LOSS = 0.75
# A pause is predicted to be too long at this share of the goal; predictions
# miss the time that events travel.
GAP_MARGIN = 0.85
# Callers of the shortest streams leave after such a pause; the platform states
# it.
GIVE_UP_GAP_MS = 2_000.0
# The first event is aimed at this share of the goal, for the same reason.
GOAL_MARGIN = 0.8
# Cost of a delay within the goal: breaks ties towards sooner answers.
EARLY_COST = 0.15
# Cost of each goal's length beyond the goal, after the loss for being late.
LATE_SLOPE = 0.25
# The most that being later still costs: what a late answer is still worth.
LATE_LIMIT = 0.5
# Cost of each engine that takes part, as a share of a mean request: its other
# requests are disturbed by the hand-over.
PART_COST = 0.02
# Cost of the first stream on an engine without any: engines without streams
# are where long prompts can be prefilled without harm.
OPEN_ENGINE_COST = 0.12
# Cost of an engine of another availability zone, for traffic between zones.
OTHER_ZONE_COST = 0.03
# Cost of each request beyond the slots: it waits for another to end.
QUEUED_COST = 1.0
# Memory that predictions of output leave free.
KV_SHARE = 0.95
# Wait for the end of the running pass, as a share of a pass.
MEAN_PASS_WAIT = 0.5


class Work(NamedTuple):
    """What a request asks of engines.

    Attributes:
        prompt_tokens: Length of the prompt.
        output_tokens: The most output tokens.
        goal_ms: Time from its coming to the first event within which that is
            of full use.
        elapsed_ms: Time since it came.
    """

    prompt_tokens: int
    output_tokens: int
    goal_ms: float
    elapsed_ms: float


class EngineState(NamedTuple):
    """An engine with what is known of its load.

    Attributes:
        target: The engine.
        attempts: What is in progress there.
        backlog_ms: Prefill that is ahead of a new prompt.
        pass_ms: Time of a decoding pass without prefills; 0 where nothing is
            decoded.
        kv_tokens: Memory in use.
        slowness: Measured against predicted time; 1 for an engine as published.
        penalty: Cost of using it, for failures seen lately.
        is_local: Whether it is in the same availability zone.
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
    """Where a request goes.

    Attributes:
        engines: The engine that answers, then its helpers.
        memory: Tokens that each of them keeps.
        first_token_ms: Predicted time to the first token.
        cost: Cost by which it was chosen.
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
    """Returns an engine's state as a new request would meet it."""
    backlog = 0.0
    decoding = 0
    context = 0
    held = 0
    for attempt in attempts:
        kept = dict(zip(attempt.targets, attempt.memory))[target.name]
        held += kept
        if attempt.is_decoding:
            decoding += 1
            context += kept
        else:
            backlog = max(backlog, (attempt.prefill_end - now) * 1000.0)
    pass_ms = 0.0
    if decoding:
        pass_ms = engine_cost.decode_pass_ms(figures, decoding, context)
    return EngineState(
        target,
        attempts,
        max(0.0, backlog),
        pass_ms * slowness,
        held,
        slowness,
        penalty,
        is_local,
    )


def choose(
    work: Work,
    engines: Sequence[EngineState],
    figures: route_table.EngineFigures,
    max_parts: int = PART_COUNTS[-1],
) -> Choice | None:
    """Returns the choice that costs callers least.

    Args:
        work: What is asked.
        engines: The engines that may be used.
        figures: Their published figures.
        max_parts: The most engines that may take part.

    Returns:
        The choice; None where the engines do not have the memory.
    """
    own_weight = engine_cost.weight(figures, work.prompt_tokens)
    alone_ms = engine_cost.prefill_ms(figures, work.prompt_tokens)
    burst_ms = engine_cost.pass_prefill_limit_ms(figures, work.prompt_tokens)
    need = work.prompt_tokens + work.output_tokens
    room = int(figures.kv_tokens * KV_SHARE)
    best: Choice | None = None
    for parts in PART_COUNTS:
        if parts > min(max_parts, len(engines)):
            break
        part_ms = alone_ms / parts
        for group in _groups(engines, parts):
            holders = _holders(group, need, room, parts)
            if not holders:
                continue
            choice = _choose_parts(
                work,
                holders,
                group,
                parts,
                part_ms,
                min(part_ms, burst_ms),
                own_weight,
            )
            if best is None or choice.cost < best.cost:
                best = choice
        # More engines gain nothing once a part fits beside any stream.
        if part_ms < figures.step_ms * figures.steps_per_pass:
            break
    return best


def _choose_parts(
    work: Work,
    holders: "_Holders",
    engines: Sequence[EngineState],
    parts: int,
    part_ms: float,
    burst_ms: float,
    own_weight: float,
) -> Choice:
    harm = _harm_of(part_ms, burst_ms)

    def first_cost(engine: EngineState) -> float:
        delay = _first_token_ms(engine, part_ms)
        opening = 0.0 if engine.pass_ms else OPEN_ENGINE_COST
        return (
            own_weight * _delay_cost(delay, work)
            + harm(engine)
            + opening
            + _use_cost(engine)
        )

    ranked = sorted(holders.engines, key=first_cost)
    first = ranked[0]
    first_delay = delay = _first_token_ms(first, part_ms)
    cost = first_cost(first)
    chosen = [first]
    if parts > 1:

        def helper_cost(engine: EngineState) -> float:
            late = _part_ready_ms(engine, part_ms)
            return (
                own_weight * _delay_cost(late, work) / parts
                + harm(engine)
                + _use_cost(engine)
            )

        keepers = sorted(ranked[1:], key=helper_cost)[: holders.count - 1]
        others = [e for e in engines if e is not first and e not in keepers]
        others.sort(key=helper_cost)
        helpers = keepers + others[: parts - 1 - len(keepers)]
        chosen += helpers
        for engine in helpers:
            delay = max(delay, _part_ready_ms(engine, part_ms))
            cost += harm(engine) + _use_cost(engine) + PART_COST
        cost += own_weight * (
            _delay_cost(delay, work) - _delay_cost(first_delay, work)
        )
    memory = [0] * len(chosen)
    memory[: holders.count] = [holders.tokens] * holders.count
    return Choice(tuple(e.target for e in chosen), tuple(memory), delay, cost)


def _groups(
    engines: Sequence[EngineState], parts: int
) -> list[Sequence[EngineState]]:
    """Returns the sets of engines from which a choice is made.

    The engines of a group talk to one another. Those of one availability zone
    still do when zones are cut off from each other, so a group spans zones only
    where no zone has enough engines.
    """
    if parts == 1:
        return [engines]
    zones: dict[str, list[EngineState]] = {}
    for engine in engines:
        zones.setdefault(engine.target.availability_zone, []).append(engine)
    groups = [zone for zone in zones.values() if len(zone) >= parts]
    return groups or [engines]


class _Holders(NamedTuple):
    """Engines of which some keep a prompt's memory.

    Attributes:
        engines: Those with room for a share.
        count: How many of them share the memory.
        tokens: Share of each.
    """

    engines: list[EngineState]
    count: int
    tokens: int


def _holders(
    engines: Sequence[EngineState], need: int, room: int, parts: int
) -> _Holders | None:
    """Finds the fewest engines that can keep a prompt; None for no such."""
    for count in range(-(-need // room), parts + 1):
        tokens = -(-need // count)
        able = [e for e in engines if e.kv_tokens + tokens <= room]
        if len(able) >= count:
            return _Holders(able, count, tokens)
    return None


def _part_ready_ms(engine: EngineState, part_ms: float) -> float:
    """Returns when a helper has prefilled its part."""
    return part_ms * engine.slowness + engine.pass_ms + engine.backlog_ms


def _queued(engine: EngineState) -> int:
    """Returns how many requests one more would leave without a slot."""
    return max(0, len(engine.attempts) + 1 - engine.target.slots)


def _first_token_ms(engine: EngineState, part_ms: float) -> float:
    wait = _queued(engine) * engine.pass_ms * 4
    passes = engine.pass_ms * (1 + MEAN_PASS_WAIT)
    return wait + engine.backlog_ms + part_ms * engine.slowness + passes


def _delay_cost(delay_ms: float, work: Work) -> float:
    """Returns the share of a request's worth that a delay costs."""
    share = (work.elapsed_ms + delay_ms) / (work.goal_ms * GOAL_MARGIN)
    if share <= 1.0:
        return EARLY_COST * share * share
    late = min(1.0, (share - 1.0) * 4.0)
    later = min(LATE_LIMIT, LATE_SLOPE * (share - 1.0))
    return EARLY_COST + LATE_LOSS * late + later


def _use_cost(engine: EngineState) -> float:
    cost = engine.penalty + QUEUED_COST * _queued(engine)
    if not engine.is_local:
        cost += OTHER_ZONE_COST
    return cost


def _harm_of(part_ms: float, burst_ms: float) -> Callable[[EngineState], float]:
    """Returns what a prefill costs the streams on an engine."""

    def harm(engine: EngineState) -> float:
        cost = 0.0
        for attempt in engine.attempts:
            if not attempt.gap_goal_ms:
                continue
            limit = attempt.gap_goal_ms * GAP_MARGIN
            before = engine.pass_ms + min(engine.backlog_ms, part_ms)
            after = engine.pass_ms + burst_ms * engine.slowness
            if attempt.is_decoding:
                if after > GIVE_UP_GAP_MS:
                    cost += attempt.weight
                elif after > limit:
                    cost += attempt.weight * LATE_LOSS
                elif before + burst_ms > limit:
                    cost += attempt.weight * LATE_LOSS * 0.5
            elif after > limit:
                # Its stream may begin while this prompt is prefilled.
                cost += attempt.weight * LATE_LOSS * 0.5
        return cost

    return harm
