"""Admission, scheduling and placement decisions of a pool's owner.

A pool is the set of targets of one model or service in one zone, or one shard
of that set. Its owner queues requests for all these targets centrally and
grants a request only when a target can start it soon. The choice thus uses the
latest load information, and no queue builds up behind one slow target.
"""

import heapq
import math
from typing import NamedTuple

from catkintrail import messages
from catkintrail import verdict as verdicts
from catkintrail.core import admission
from catkintrail.core import cost
from catkintrail.core import long_partition
from catkintrail.core import placement
from catkintrail.core import pool_state
from catkintrail.core import queueing
from catkintrail.core import rendezvous
from catkintrail.core import target_state

__all__ = [
    "Pool",
    "PoolKey",
    "PoolPolicy",
    "Reply",
]

# Deferrable work is planned over this fraction of the time left until its
# deadline.
DEFERRAL_TIME_FRACTION = 0.1
PARTITION_INTERVAL_SECONDS = 0.5
# Above this load per live target, long prompts are restricted to a fixed set of
# targets instead of going to any idle one.
FIXED_LONG_TARGETS_UTILISATION = 0.55
GRANT_GRACE_SECONDS = 5.0


class Reply(NamedTuple):
    """A message for the instance that sent a request.

    Attributes:
        entry: Name of that instance.
        message: The message.
    """

    entry: str
    message: messages.Message


PoolKey = pool_state.PoolKey
PoolPolicy = pool_state.PoolPolicy


class Pool(pool_state.PoolState):
    """A pool as a state machine, without a clock or sockets."""

    # Requests.

    def summary(self, now: float) -> messages.PoolSummary:
        """Returns the load summary for the owners of the other pools."""
        live = self.live_targets(now)
        free = sum(max(0, target.free_tokens()) for target in live)
        return messages.PoolSummary(
            self.key.serves,
            self.key.zone,
            self.key.shard,
            len(live),
            _to_ms(admission.estimate_wait(self, cost.LEVELS - 1, live, now)),
            _to_ms(admission.estimate_wait(self, cost.LONG_LEVEL, live, now)),
            free,
        )

    def acquire(
        self, request: messages.Acquire, entry: str, now: float
    ) -> list[Reply]:
        """Queues, redirects or refuses a request.

        Repeating a request that is waiting or granted has no effect.

        Args:
            request: The request.
            entry: The instance that sent the request.
            now: Monotonic time in seconds.

        Returns:
            The immediate replies; `poll` may return a grant later.
        """
        if any(request.request_id in queue for queue in self.queues):
            return [Reply(entry, messages.Queued(request.request_id))]
        if request.request_id in self.grants:
            return [self._repeat_grant(request, entry)]
        live = self.live_targets(now)
        item = admission.classify(self, request, entry)
        better_pool = admission.find_better_pool(self, item, live, now)
        if better_pool is not None:
            redirected = messages.Redirected(
                request.request_id, better_pool.zone, better_pool.shard
            )
            return [Reply(entry, redirected)]
        refusal = admission.find_refusal(self, item, live, now)
        if refusal is not None:
            return [Reply(entry, refusal)]
        self._record_arrival(item, now)
        waiting = admission.make_queue_entry(self, item, now)
        self.queues[item.level].push(waiting)
        latest_start = waiting.deadline - item.run_seconds
        heapq.heappush(self.latest_starts, (latest_start, request.request_id))
        return [Reply(entry, messages.Queued(request.request_id))]

    def withdraw(self, request_id: str, now: float) -> None:
        """Removes a request that its sender no longer needs."""
        self._remove_waiting(request_id)
        self._release(request_id, now)

    def start(self, request_id: str, now: float) -> None:
        """Records the first token of a granted request."""
        for name in self._granted_targets(request_id):
            state = self.targets.get(name)
            if state is None:
                continue
            attempt = state.attempts.get(request_id)
            if attempt is not None and not attempt.started:
                state.start(request_id, now)

    def release(self, done: messages.Released, now: float) -> bool:
        """Processes the end of a granted request.

        Returns:
            Whether the message is the first to tell that the target is being
            shut down.
        """
        self._release(done.request_id, now)
        state = self.targets.get(done.target)
        if state is None:
            return False
        if done.outcome == 0:
            self.ejection.record_success(done.target)
        elif done.outcome in (1, 3):
            count = len(self.targets)
            self.ejection.record_failure(done.target, count, now)
        elif done.outcome == 4:
            return self.mark_leaving(done.target, state.record.incarnation)
        return False

    def drop_instance_requests(self, entry: str, now: float) -> None:
        """Removes all requests of an instance that has failed."""
        for queue in self.queues:
            for waiting in queue.entries():
                if waiting.item.entry == entry:
                    self._remove_waiting(waiting.request_id)
        for state in self.targets.values():
            for attempt in list(state.attempts.values()):
                if attempt.entry == entry:
                    self._release(attempt.request_id, now)

    def poll(self, now: float) -> list[Reply]:
        """Grants requests that can start; refuses those that would be late."""
        replies = self._expire(now)
        if now >= self.next_partition_update:
            self.next_partition_update = now + PARTITION_INTERVAL_SECONDS
            self._update_partition(now)
        for level in range(cost.LEVELS - 1, -1, -1):
            replies += self._grant_queue(level, now)
        return replies

    # Partition of the targets between long and short requests.

    def _record_arrival(
        self, item: pool_state.ClassifiedRequest, now: float
    ) -> None:
        if not self.profile.is_engine:
            return
        if self.partition is None:
            self.partition = long_partition.Partition(now)
        request = item.request
        if item.level <= cost.LONG_LEVEL:
            self.first_token_weight = request.first_token_weight
        work = admission.estimate_work(self, item)
        if item.level == cost.LONG_LEVEL:
            self.partition.long.add(work, now)
        elif item.level > cost.LONG_LEVEL:
            self.partition.short.add(work, now)

    def _update_partition(self, now: float) -> None:
        if self.partition is None:
            return
        live = self.live_targets(now)
        deferrable = self.queues[cost.DEFERRABLE_LEVEL]
        load = long_partition.PartitionLoad(
            len(live),
            self.queues[cost.LONG_LEVEL].work,
            deferrable.work,
            sum(_required_targets(w, now) for w in deferrable.entries()),
            self.first_token_weight,
            self.policy.max_long_fraction,
        )
        self.long_count = self.partition.update(load, now)
        rate = self.partition.short.rate(now) + self.partition.long.rate(now)
        self.long_target_names = frozenset()
        if rate > FIXED_LONG_TARGETS_UTILISATION * len(live):
            # Ranking by hash keeps the set stable while the count changes.
            names = [target.record.name for target in live]
            self.long_target_names = frozenset(
                rendezvous.rank_owners("long", names, self.long_count)
            )

    # Expiry.

    def _expire(self, now: float) -> list[Reply]:
        """Refuses requests that can no longer finish by their deadline."""
        replies = []
        starts = self.latest_starts
        while starts and starts[0][0] < now:
            _, request_id = heapq.heappop(starts)
            queue = self._find_queue(request_id)
            if queue is None:
                continue
            waiting = queue.get(request_id)
            self._remove_waiting(request_id)
            live = max(1, len(self.live_targets(now)))
            message = admission.make_refusal(
                waiting.item.request,
                verdicts.Reason.OVERLOADED,
                "the request can no longer finish by its deadline",
                queue.work / live,
            )
            replies.append(Reply(waiting.item.entry, message))
        return replies

    def _find_queue(self, request_id: str) -> queueing.FairQueue | None:
        for queue in self.queues:
            if request_id in queue:
                return queue
        return None

    # Grants.

    def _grant_queue(self, level: int, now: float) -> list[Reply]:
        """Grants requests of one level, in fair order of organisations."""
        is_long = level <= cost.LONG_LEVEL
        choose = placement.choose_group if is_long else placement.choose_target
        queue = self.queues[level]
        replies = []
        blocked: set[str] = set()
        granted = True
        while granted:
            granted = False
            for waiting in queue.heads():
                if waiting.organisation in blocked:
                    continue
                chosen = choose(self, waiting, now)
                if chosen:
                    replies.append(self._grant(waiting, chosen, queue, now))
                    granted = True
                    break
                blocked.add(waiting.organisation)
                if is_long:
                    placement.hold_memory(self, waiting, now)
        return replies

    def _grant(
        self,
        waiting: queueing.QueuedRequest,
        chosen: list[target_state.TargetState],
        queue: queueing.FairQueue,
        now: float,
    ) -> Reply:
        item = waiting.item
        request = item.request
        queue.serve(waiting.request_id)
        self._release_held_memory(request.request_id)
        count = len(chosen)
        depths = self.cached_depths(request)
        cached = 0
        if count == 1:
            cached = self.cached_tokens(chosen[0].record.name, request, depths)
        uncached = request.prompt_tokens - cached
        prefill = self.profile.prefill_work(uncached)
        if count > 1:
            prefill = self.profile.group_work(uncached, count)
        tokens = math.ceil(
            (request.prompt_tokens + request.output_tokens) / count
        )
        for target in chosen:
            attempt = target_state.Attempt(
                request.request_id,
                item.entry,
                request.organisation,
                item.level,
                prefill,
                tokens if self.profile.is_engine else 0,
                now,
            )
            target.add(attempt, now)
        if count == 1 and self.policy.use_prefixes and request.blocks:
            self.prefixes.add(chosen[0].record.name, request.blocks, now)
        names = tuple(t.record.name for t in chosen)
        self.grants[request.request_id] = pool_state.Grant(
            names, waiting.deadline
        )
        priority = placement.choose_priority(self, waiting, now)
        members = _members(chosen, tokens)
        return Reply(
            item.entry,
            messages.Granted(request.request_id, members, priority, cached),
        )

    def _repeat_grant(self, request: messages.Acquire, entry: str) -> Reply:
        names = self._granted_targets(request.request_id)
        states = [self.targets[n] for n in names if n in self.targets]
        attempts = [s.attempts.get(request.request_id) for s in states]
        if len(states) != len(names) or None in attempts:
            refusal = admission.make_refusal(
                request,
                verdicts.Reason.NO_TARGET,
                "a granted target is no longer available",
                admission.MIN_RETRY_AFTER_SECONDS,
            )
            return Reply(entry, refusal)
        members = _members(states, attempts[0].kv_tokens)
        priority = (
            placement.LEVEL_PRIORITY * attempts[0].level + request.urgency
        )
        return Reply(
            entry, messages.Granted(request.request_id, members, priority, 0)
        )

    def _release(self, request_id: str, now: float) -> None:
        names = self._granted_targets(request_id)
        self.grants.pop(request_id, None)
        for name in names:
            state = self.targets.get(name)
            if state is not None:
                state.remove(request_id, now)

    def _granted_targets(self, request_id: str) -> tuple[str, ...]:
        grant = self.grants.get(request_id)
        return grant.names if grant is not None else ()

    def _remove_waiting(self, request_id: str) -> None:
        for queue in self.queues:
            queue.remove(request_id)
        self._release_held_memory(request_id)

    def _release_held_memory(self, request_id: str) -> None:
        for target in self.targets.values():
            if target.held_for == request_id:
                target.held_for = ""

    def expire_grants(self, now: float) -> None:
        """Drops grants past their deadline whose end was not reported."""
        for request_id, grant in list(self.grants.items()):
            if now > grant.expires + GRANT_GRACE_SECONDS:
                self._release(request_id, now)


def _members(
    chosen: list[target_state.TargetState], tokens: int
) -> tuple[messages.GroupMember, ...]:
    """Returns a grant's members in reservation order, sorted by name."""
    if len(chosen) > 1:
        chosen = sorted(chosen, key=lambda t: t.record.name)
    return tuple(
        messages.GroupMember(t.record.name, t.record.address, tokens)
        for t in chosen
    )


def _required_targets(waiting: queueing.QueuedRequest, now: float) -> float:
    """Returns how many targets a deferrable prompt occupies as planned."""
    planned_seconds = max(
        1.0, (waiting.deadline - now) * DEFERRAL_TIME_FRACTION
    )
    return waiting.cost / planned_seconds


def _to_ms(seconds: float) -> int:
    return int(min(seconds, 1e6) * 1_000)
