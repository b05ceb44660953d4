"""Admission of requests to a pool.

A request is refused where its predicted end is after its deadline, and
redirected where another pool is expected to start it sooner.
"""

import math

from catkintrail import messages
from catkintrail import verdict as verdicts
from catkintrail.core import cost
from catkintrail.core import pool_state
from catkintrail.core import queueing

__all__ = [
    "classify",
    "estimate_wait",
    "estimate_work",
    "find_better_pool",
    "find_refusal",
    "make_queue_entry",
    "make_refusal",
]

REDIRECT_HYSTERESIS_SECONDS = 0.1
REDIRECT_ROUND_TRIP_SECONDS = 0.01
SUMMARY_EXPIRY_SECONDS = 3.5
MAX_REDIRECTS = 2
MAX_WAITING_REQUESTS = 20_000
LONG_LEVEL_COUNT = cost.LONG_LEVEL + 1
DEADLINE_MARGIN_SECONDS = 0.05
# Fraction of a step's time that decoding takes with all slots in use.
DECODE_WORK_FRACTION = 0.35
MIN_RETRY_AFTER_SECONDS = 0.1


def classify(
    state: pool_state.PoolState, request: messages.Acquire, entry: str
) -> pool_state.ClassifiedRequest:
    """Finds a request's level and predicts its run time.

    Args:
        state: The pool.
        request: The request.
        entry: Name of the instance that asks.
    """
    uncached_tokens = request.prompt_tokens - state.max_cached_tokens(request)
    level = state.profile.level(
        request.prompt_tokens, uncached_tokens, request.remaining_seconds
    )
    run = _run_seconds(state, request, uncached_tokens)
    return pool_state.ClassifiedRequest(
        request, entry, level, uncached_tokens, run
    )


def make_queue_entry(
    state: pool_state.PoolState, item: pool_state.ClassifiedRequest, now: float
) -> queueing.QueuedRequest:
    """Returns the queue entry for a request."""
    request = item.request
    return queueing.QueuedRequest(
        request.request_id,
        request.organisation,
        request.weight,
        estimate_work(state, item),
        now + request.remaining_seconds,
        request.urgency,
        item,
    )


def estimate_work(
    state: pool_state.PoolState, item: pool_state.ClassifiedRequest
) -> float:
    """Predicts the work of a request, in target seconds."""
    work = state.profile.prefill_work(item.uncached_tokens)
    return work + _decode_work(state, item.request.output_tokens)


def _decode_work(state: pool_state.PoolState, output_tokens: int) -> float:
    """Predicts the work of decoding, in target seconds; 0 for a service."""
    if not state.profile.is_engine:
        return 0.0
    time = state.profile.decode_time(output_tokens)
    return time * DECODE_WORK_FRACTION / state.profile.slots


def _run_seconds(
    state: pool_state.PoolState, request: messages.Acquire, uncached_tokens: int
) -> float:
    """Predicts the seconds from a request's grant to its end."""
    members = state.min_members(request)
    prefill = state.profile.prefill_work(uncached_tokens)
    if members > 1:
        prefill = state.profile.group_work(uncached_tokens, members)
    return prefill + state.profile.decode_time(request.output_tokens)


def _queue_wait(
    state: pool_state.PoolState,
    item: pool_state.ClassifiedRequest,
    live: list,
    now: float,
) -> float:
    """Predicts the seconds from now to a request's grant."""
    request = item.request
    queue = state.queues[item.level]
    work = queue.work_ahead(request.organisation, request.weight)
    if item.level <= cost.LONG_LEVEL:
        work += sum(
            q.work for q in state.queues[item.level + 1 : LONG_LEVEL_COUNT]
        )
        return work / _long_prefill_rate(state, live) + _min_target_wait(
            1, live, now
        )
    work += sum(q.work for q in state.queues[item.level + 1 :])
    rate = max(1e-9, len(live) * cost.PLANNED_UTILISATION)
    return work / rate + _min_target_wait(item.level, live, now)


def estimate_wait(
    state: pool_state.PoolState, level: int, live: list, now: float
) -> float:
    """Predicts the wait of a new request of any organisation.

    Args:
        state: The pool.
        level: Level of the request.
        live: The targets that may get new work.
        now: Monotonic time in seconds.

    Returns:
        Seconds; infinite where no target is live.
    """
    target_wait = _min_target_wait(level, live, now)
    if level <= cost.LONG_LEVEL:
        return target_wait + state.queues[level].work / _long_prefill_rate(
            state, live
        )
    rate = max(1e-9, len(live) * cost.PLANNED_UTILISATION)
    return target_wait + sum(q.work for q in state.queues[level:]) / rate


def _min_target_wait(level: int, live: list, now: float) -> float:
    waits = [target.wait(level, now) for target in live]
    return min(waits, default=math.inf)


def _long_prefill_rate(state: pool_state.PoolState, live: list) -> float:
    """Returns the target seconds of long prefill done per second."""
    count = max(1, state.long_count)
    return max(1e-9, min(count, len(live)) * cost.PLANNED_UTILISATION)


def find_refusal(
    state: pool_state.PoolState,
    item: pool_state.ClassifiedRequest,
    live: list,
    now: float,
) -> messages.Declined | None:
    """Returns the refusal of a request that cannot be admitted.

    Args:
        state: The pool.
        item: The request.
        live: The targets that may get new work.
        now: Monotonic time in seconds.

    Returns:
        The refusal; None where the request can be admitted.
    """
    request = item.request
    if not live:
        return make_refusal(
            request, verdicts.Reason.NO_TARGET, "no target is live", 1.0
        )
    if state.min_members(request) > min(
        len(live), max(1, state.profile.max_group)
    ):
        return make_refusal(
            request,
            verdicts.Reason.NO_TARGET,
            "the prompt needs more targets than are live",
            5.0,
        )
    if state.waiting_count() >= MAX_WAITING_REQUESTS:
        wait = sum(q.work for q in state.queues) / len(live)
        return make_refusal(
            request, verdicts.Reason.OVERLOADED, "the queue is full", wait
        )
    run = item.run_seconds
    if run + DEADLINE_MARGIN_SECONDS > request.remaining_seconds:
        return make_refusal(
            request,
            verdicts.Reason.DEADLINE,
            f"the request alone takes {run:.1f} s, more than its deadline",
            None,
        )
    wait = _queue_wait(state, item, live, now)
    late = wait + run + DEADLINE_MARGIN_SECONDS - request.remaining_seconds
    if late > 0:
        return make_refusal(
            request,
            verdicts.Reason.OVERLOADED,
            f"the request would end {late:.1f} s after its deadline",
            late,
        )
    return None


def find_better_pool(
    state: pool_state.PoolState,
    item: pool_state.ClassifiedRequest,
    live: list,
    now: float,
) -> pool_state.PoolKey | None:
    """Returns another pool that is expected to start a request sooner.

    Args:
        state: The pool.
        item: The request.
        live: The targets of this pool that may get new work.
        now: Monotonic time in seconds.

    Returns:
        The pool; None where none is better, or the request has been redirected
        MAX_REDIRECTS times.
    """
    if item.request.redirects >= MAX_REDIRECTS:
        return None
    best, best_wait = None, math.inf
    for key, (summary, received_at) in state.summaries.items():
        if now - received_at > SUMMARY_EXPIRY_SECONDS or not summary.targets:
            continue
        wait_ms = summary.short_wait_ms
        if item.level <= cost.LONG_LEVEL:
            wait_ms = summary.long_wait_ms
        wait = wait_ms / 1_000.0 + REDIRECT_ROUND_TRIP_SECONDS
        if wait < best_wait:
            best, best_wait = key, wait
    if best is None or not live:
        return best
    own_wait = _queue_wait(state, item, live, now)
    if own_wait > best_wait + REDIRECT_HYSTERESIS_SECONDS:
        return best
    return None


def make_refusal(
    request: messages.Acquire,
    reason: verdicts.Reason,
    message: str,
    retry_after: float | None,
) -> messages.Declined:
    """Returns a refusal of a request.

    Args:
        request: The request.
        reason: The reason, for programs.
        message: The reason, for people; one line.
        retry_after: Seconds until a repeat may succeed; None where it cannot.
    """
    after = 0.0
    if retry_after is not None:
        after = max(MIN_RETRY_AFTER_SECONDS, retry_after)
    return messages.Declined(request.request_id, reason.value, message, after)
