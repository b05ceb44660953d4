"""Choice of the targets and the priority of a pool's requests."""

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

# Priority difference between adjacent levels; urgency, 0 to 9, ranks requests
# within a level.
LEVEL_PRIORITY = 10
# A long prompt gets the priority of short requests when its slack falls below
# this multiple of its run time plus URGENT_SLACK_SECONDS.
URGENT_SLACK_RATIO = 1.0
URGENT_SLACK_SECONDS = 15.0
# Fraction of a busy engine's step that a chunk of prefill takes.
CHUNK_STEP_FRACTION = 0.6
# Cost of a long prefill to each request that runs on the same target.
RUNNING_REQUEST_PENALTY_SECONDS = 0.05
# Penalty for a target on which an attempt of the same request has failed.
AVOID_PENALTY_SECONDS = 10.0


def choose_target(
    state: pool_state.PoolState, waiting: queueing.QueuedRequest, now: float
) -> list[target_state.TargetState]:
    """Returns the best target; none if waiting for a busy one is better."""
    item = waiting.item
    request = item.request
    depths = state.cached_depths(request)
    needed_tokens = request.prompt_tokens + request.output_tokens
    live = state.live_targets(now)
    queue_wait = state.queues[item.level].work / max(1, len(live))
    best, best_score = None, math.inf
    for target in live:
        if not _fits(state, target, needed_tokens, now) or target.held_for:
            continue
        value = _score(state, target, item, depths, now)
        is_ready = (
            target.level_wait(item.level, now)
            <= state.policy.dispatch_ahead_seconds
        )
        if not is_ready:
            # The requests in the queue would be served first.
            value += queue_wait
        if value < best_score:
            best, best_score = (target if is_ready else None), value
    return [] if best is None else [best]


def _score(
    state: pool_state.PoolState,
    target: target_state.TargetState,
    item: pool_state.ClassifiedRequest,
    depths: dict[str, int],
    now: float,
) -> float:
    """Predicts the time to first token plus the slowdown of decoding."""
    request = item.request
    cached = state.cached_tokens(target.record.name, request, depths)
    value = target.wait(item.level, now)
    value += state.profile.prefill_work(request.prompt_tokens - cached)
    running = len(target.attempts) + target.external_requests
    value += 0.1 * running / state.profile.slots
    # Under high load every target is needed, so short requests rely on
    # priorities alone.
    if not state.long_target_names and target.has_long_prefill():
        value += state.policy.long_prefill_penalty_weight * _decode_slowdown(
            state, request
        )
    if target.record.name in request.avoid:
        value += AVOID_PENALTY_SECONDS
    return value


def _decode_slowdown(
    state: pool_state.PoolState, request: messages.Acquire
) -> float:
    """Predicts the weighted delay of an answer by a concurrent long prefill.

    During such a prefill every step of the engine includes a full chunk of it.
    """
    time = state.profile.decode_time(request.output_tokens)
    return time * CHUNK_STEP_FRACTION * (1.0 - request.first_token_weight)


def _fits(
    state: pool_state.PoolState,
    target: target_state.TargetState,
    needed_tokens: int,
    now: float,
) -> bool:
    slot_fraction = state.ejection.slot_fraction(target.record.name, now)
    if target.free_slots(slot_fraction) <= 0:
        return False
    return not state.profile.is_engine or needed_tokens <= target.free_tokens()


def choose_group(
    state: pool_state.PoolState, waiting: queueing.QueuedRequest, now: float
) -> list[target_state.TargetState]:
    """Returns the group with the lowest cost for a long prompt, or none."""
    request = waiting.item.request
    min_members = state.min_members(request)
    free = _long_candidates(state, waiting, min_members, now)
    if len(free) < min_members:
        return []
    depths = state.cached_depths(request)
    max_members = max(min_members, min(state.profile.max_group, len(free)))
    # A group does more work in total than one target, so the smallest group
    # with enough memory is chosen while other long prompts wait.
    is_contended = (
        sum(len(q) for q in state.queues[: admission.LONG_LEVEL_COUNT]) > 1
    )
    best: list[target_state.TargetState] = []
    best_value = math.inf
    needed_tokens = request.prompt_tokens + request.output_tokens
    for count in range(min_members, max_members + 1):
        chosen = _best_members(
            state, request, free, count, needed_tokens, depths, now
        )
        if len(chosen) < count:
            continue
        value = _group_value(state, request, chosen, depths, now)
        if value < best_value:
            best, best_value = chosen, value
        if is_contended or not state.policy.spread_for_latency:
            break
    return best


def _long_candidates(
    state: pool_state.PoolState,
    waiting: queueing.QueuedRequest,
    min_members: int,
    now: float,
) -> list[target_state.TargetState]:
    """Returns the targets on which a long prompt may start now."""
    busy = sum(1 for t in state.targets.values() if t.has_long_prefill())
    available = state.long_count - busy
    may_use_all = min_members > state.long_count or _is_urgent(waiting, now)
    if not may_use_all and available <= 0:
        return []
    names = state.targets.keys()
    if state.long_target_names and not may_use_all:
        names = state.long_target_names
    return [
        target
        for target in state.live_targets(now)
        if target.record.name in names
        and not target.has_long_prefill()
        and target.held_for in ("", waiting.request_id)
        and state.ejection.slot_fraction(target.record.name, now) >= 1.0
        and target.free_slots(1.0) > 0
    ]


def _is_urgent(waiting: queueing.QueuedRequest, now: float) -> bool:
    """Returns whether a request has little slack before its deadline."""
    run = waiting.item.run_seconds
    slack = waiting.deadline - now - run
    return slack < URGENT_SLACK_RATIO * run + URGENT_SLACK_SECONDS


def _best_members(
    state: pool_state.PoolState,
    request: messages.Acquire,
    free: list[target_state.TargetState],
    count: int,
    needed_tokens: int,
    depths: dict[str, int],
    now: float,
) -> list[target_state.TargetState]:
    tokens_per_member = math.ceil(needed_tokens / count)
    reserve = int(state.profile.kv_tokens * pool_state.SHORT_MEMORY_FRACTION)
    candidates = [
        t for t in free if t.free_tokens() - reserve >= tokens_per_member
    ]

    def start_cost(target: target_state.TargetState) -> float:
        """Predicts the wait, the cost to running requests and the prefill."""
        value = target.wait(cost.FIRST_SHORT_LEVEL, now)
        value += len(target.attempts) * RUNNING_REQUEST_PENALTY_SECONDS
        if count == 1:
            cached = state.cached_tokens(target.record.name, request, depths)
            value += state.profile.prefill_work(request.prompt_tokens - cached)
        return value

    return sorted(candidates, key=start_cost)[:count]


def _group_value(
    state: pool_state.PoolState,
    request: messages.Acquire,
    chosen: list[target_state.TargetState],
    depths: dict[str, int],
    now: float,
) -> float:
    """Predicts the time to first token plus the weighted extra work."""
    count = len(chosen)
    cached = 0
    if count == 1:
        cached = state.cached_tokens(chosen[0].record.name, request, depths)
    per_member = state.profile.group_work(request.prompt_tokens - cached, count)
    level = cost.FIRST_SHORT_LEVEL
    wait = max(target.wait(level, now) for target in chosen)
    overhead = per_member * count - state.profile.prefill_work(
        request.prompt_tokens - cached
    )
    return wait + per_member + overhead * (2.0 - request.first_token_weight)


def hold_memory(
    state: pool_state.PoolState, waiting: queueing.QueuedRequest, now: float
) -> None:
    """Keeps new short requests off targets that a long prompt needs."""
    if not state.policy.use_held_memory or not _is_urgent(waiting, now):
        return
    if any(target.held_for for target in state.targets.values()):
        return
    request = waiting.item.request
    live = state.live_targets(now)
    count = state.min_members(request)
    by_free_tokens = sorted(live, key=lambda t: t.free_tokens(), reverse=True)
    for target in by_free_tokens[:count]:
        target.held_for = request.request_id


def choose_priority(
    state: pool_state.PoolState, waiting: queueing.QueuedRequest, now: float
) -> int:
    """Returns the priority for the engine; higher runs first."""
    item = waiting.item
    level = item.level
    if not state.policy.use_priorities:
        level = cost.LEVELS - 1
    elif level <= cost.LONG_LEVEL and _is_urgent(waiting, now):
        level = cost.FIRST_SHORT_LEVEL
    return LEVEL_PRIORITY * level + item.request.urgency
