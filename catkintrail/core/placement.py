"""Placement in a pool: which targets a request gets, and its priority."""

import math

from catkintrail import messages
from catkintrail.core import admission
from catkintrail.core import cost
from catkintrail.core import pool_state
from catkintrail.core import queueing
from catkintrail.core import target_state

__all__ = [
    "choose_group",
    "choose_priority",
    "choose_target",
    "hold_memory",
]

# Distance between the priorities of two levels; urgency lies between.
LEVEL_PRIORITY = 10
# A long prompt whose slack falls below this part of its run gets the
# priority of short requests.
URGENT_SLACK_RATIO = 1.0
URGENT_SLACK_SECONDS = 15.0
# Part of a busy engine's step that a chunk of prefill takes.
CHUNK_STEP_FRACTION = 0.6
# Cost of a long prefill to each request that runs beside it.
BUSY_TARGET_SECONDS = 0.05
# Cost of going back to a target on which this request has failed.
AVOID_SECONDS = 10.0


def choose_target(
    state: pool_state.PoolState, waiting: queueing.Waiting, now: float
) -> list[target_state.TargetState]:
    """Returns the best target, or none where waiting for it is better."""
    item = waiting.item
    ask = item.ask
    depths = state.depths(ask)
    need = ask.prompt_tokens + ask.output_tokens
    live = state.live_targets(now)
    queue_wait = state.queues[item.level].work / max(1, len(live))
    best, best_score = None, math.inf
    for target in live:
        if not _fits(state, target, need, now) or target.held_for:
            continue
        value = _score(state, target, item, depths, now)
        is_ready = (
            target.own_wait(item.level, now)
            <= state.policy.dispatch_ahead_seconds
        )
        if not is_ready:
            # The requests that wait here would be served before.
            value += queue_wait
        if value < best_score:
            best, best_score = (target if is_ready else None), value
    return [] if best is None else [best]


def _score(
    state: pool_state.PoolState,
    target: target_state.TargetState,
    item: pool_state.Item,
    depths: dict[str, int],
    now: float,
) -> float:
    """Predicts the time to first token and what the answer is slowed."""
    ask = item.ask
    cached = state.cached(target.record.name, ask, depths)
    value = target.wait(item.level, now)
    value += state.profile.prefill_work(ask.prompt_tokens - cached)
    running = len(target.attempts) + target.foreign_requests
    value += 0.1 * running / state.profile.slots
    # At high load all targets are needed; priorities alone must do then.
    if not state.long_names and target.has_long_prefill():
        value += state.policy.segregation * _decode_slowdown(state, ask)
    if target.record.name in ask.avoid:
        value += AVOID_SECONDS
    return value


def _decode_slowdown(
    state: pool_state.PoolState, ask: messages.Acquire
) -> float:
    """Predicts how much a long prefill beside it prolongs an answer.

    Every step of the engine then takes a full chunk of prefill along.
    """
    time = state.profile.decode_time(ask.output_tokens)
    return time * CHUNK_STEP_FRACTION * (1.0 - ask.first_token_weight)


def _fits(
    state: pool_state.PoolState,
    target: target_state.TargetState,
    need: int,
    now: float,
) -> bool:
    share = state.ejection.share(target.record.name, now)
    if target.free_slots(share) <= 0:
        return False
    return not state.profile.is_engine or need <= target.free_tokens()


def choose_group(
    state: pool_state.PoolState, waiting: queueing.Waiting, now: float
) -> list[target_state.TargetState]:
    """Returns the targets with the earliest first token, or none."""
    ask = waiting.item.ask
    least = state.least_members(ask)
    free = _free_for_long(state, waiting, least, now)
    if len(free) < least:
        return []
    depths = state.depths(ask)
    most = max(least, min(state.profile.max_group, len(free)))
    # A group costs more work than one target: while others wait, the
    # smallest that finds its memory is taken.
    is_contended = (
        sum(len(q) for q in state.queues[: admission.LONG_LEVELS]) > 1
    )
    best: list[target_state.TargetState] = []
    best_value = math.inf
    need = ask.prompt_tokens + ask.output_tokens
    for count in range(least, most + 1):
        chosen = _best_members(state, ask, free, count, need, depths, now)
        if len(chosen) < count:
            continue
        value = _group_value(state, ask, chosen, depths, now)
        if value < best_value:
            best, best_value = chosen, value
        if is_contended or not state.policy.speed_groups:
            break
    return best


def _free_for_long(
    state: pool_state.PoolState,
    waiting: queueing.Waiting,
    least: int,
    now: float,
) -> list[target_state.TargetState]:
    """Returns the targets on which a long prompt may begin now."""
    busy = sum(1 for t in state.targets.values() if t.has_long_prefill())
    room = state.long_count - busy
    may_use_all = least > state.long_count or _is_urgent(waiting, now)
    if not may_use_all and room <= 0:
        return []
    names = state.targets.keys()
    if state.long_names and not may_use_all:
        names = state.long_names
    return [
        target
        for target in state.live_targets(now)
        if target.record.name in names
        and not target.has_long_prefill()
        and target.held_for in ("", waiting.request_id)
        and state.ejection.share(target.record.name, now) >= 1.0
        and target.free_slots(1.0) > 0
    ]


def _is_urgent(waiting: queueing.Waiting, now: float) -> bool:
    """Returns whether little time is left beyond the run itself."""
    run = waiting.item.run
    slack = waiting.deadline - now - run
    return slack < URGENT_SLACK_RATIO * run + URGENT_SLACK_SECONDS


def _best_members(
    state: pool_state.PoolState,
    ask: messages.Acquire,
    free: list[target_state.TargetState],
    count: int,
    need: int,
    depths: dict[str, int],
    now: float,
) -> list[target_state.TargetState]:
    share = math.ceil(need / count)
    reserve = int(state.profile.kv_tokens * pool_state.SHORT_MEMORY_FRACTION)
    roomy = [t for t in free if t.free_tokens() - reserve >= share]

    def start_value(target: target_state.TargetState) -> float:
        """Predicts the start, and what the prefill costs beside it."""
        value = target.wait(cost.FIRST_SHORT_LEVEL, now)
        value += len(target.attempts) * BUSY_TARGET_SECONDS
        if count == 1:
            cached = state.cached(target.record.name, ask, depths)
            value += state.profile.prefill_work(ask.prompt_tokens - cached)
        return value

    return sorted(roomy, key=start_value)[:count]


def _group_value(
    state: pool_state.PoolState,
    ask: messages.Acquire,
    chosen: list[target_state.TargetState],
    depths: dict[str, int],
    now: float,
) -> float:
    """Predicts time to first token and adds the work it costs others."""
    count = len(chosen)
    cached = 0
    if count == 1:
        cached = state.cached(chosen[0].record.name, ask, depths)
    each = state.profile.group_work(ask.prompt_tokens - cached, count)
    level = cost.FIRST_SHORT_LEVEL
    wait = max(target.wait(level, now) for target in chosen)
    overhead = each * count - state.profile.prefill_work(
        ask.prompt_tokens - cached
    )
    return wait + each + overhead * (2.0 - ask.first_token_weight)


def hold_memory(
    state: pool_state.PoolState, waiting: queueing.Waiting, now: float
) -> None:
    """Keeps new short work off the targets that a long prompt needs."""
    if not state.policy.use_held_memory or not _is_urgent(waiting, now):
        return
    if any(target.held_for for target in state.targets.values()):
        return
    ask = waiting.item.ask
    live = state.live_targets(now)
    count = state.least_members(ask)
    roomiest = sorted(live, key=lambda t: t.free_tokens(), reverse=True)
    for target in roomiest[:count]:
        target.held_for = ask.request_id


def choose_priority(
    state: pool_state.PoolState, waiting: queueing.Waiting, now: float
) -> int:
    """Returns the priority that the engine gets; higher goes first."""
    item = waiting.item
    level = item.level
    if not state.policy.use_priorities:
        level = cost.LEVELS - 1
    elif level <= cost.LONG_LEVEL and _is_urgent(waiting, now):
        level = cost.FIRST_SHORT_LEVEL
    return LEVEL_PRIORITY * level + item.ask.urgency
