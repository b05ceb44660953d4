"""The owner's decisions for one pool: admission, order and placement.

A pool holds the targets of one model or service in one zone, or one shard of
them. Its owner keeps one queue before all of them and grants a request only
when a target can begin it soon, so that the choice is made with the newest
knowledge and a queue never stands behind one slow target.
"""

import heapq
import math
from typing import NamedTuple

from catkintrail import messages
from catkintrail import verdict as verdicts
from catkintrail.core import admission
from catkintrail.core import cost
from catkintrail.core import ownership
from catkintrail.core import partition
from catkintrail.core import placement
from catkintrail.core import pool_state
from catkintrail.core import queueing
from catkintrail.core import target_state

__all__ = [
    "Pool",
    "PoolKey",
    "PoolPolicy",
    "Reply",
]

# Deferrable work is spread over this part of the time that it has left.
DEFERRAL_FRACTION = 0.1
PARTITION_INTERVAL_SECONDS = 0.5
# From this load on the same targets keep taking the long prompts.
LANES_UTILISATION = 0.55
GRANT_GRACE_SECONDS = 5.0


class Reply(NamedTuple):
    """A message for the instance that asked."""

    entry: str
    message: messages.Message


PoolKey = pool_state.PoolKey
PoolPolicy = pool_state.PoolPolicy


class Pool(pool_state.PoolState):
    """One pool: a plain state machine without clock or sockets."""

    # Requests.

    def summary(self, now: float) -> messages.PoolSummary:
        """Returns this pool's summary."""
        live = self.live_targets(now)
        free = sum(max(0, target.free_tokens()) for target in live)
        return messages.PoolSummary(
            self.key.serves,
            self.key.zone,
            self.key.shard,
            len(live),
            _to_ms(admission.start_wait(self, cost.LEVELS - 1, live, now)),
            _to_ms(admission.start_wait(self, cost.LONG_LEVEL, live, now)),
            free,
        )

    def acquire(
        self, ask: messages.Acquire, entry: str, now: float
    ) -> list[Reply]:
        """Admits, redirects or refuses a request.

        A repeat of a request that waits or is granted changes nothing.

        Args:
            ask: The request.
            entry: The instance that asks.
            now: Monotonic time in seconds.

        Returns:
            What to answer now; a grant may follow from `poll`.
        """
        if any(ask.request_id in queue for queue in self.queues):
            return [Reply(entry, messages.Queued(ask.request_id))]
        if ask.request_id in self.grants:
            return [self._repeat_grant(ask, entry)]
        live = self.live_targets(now)
        item = admission.classify(self, ask, entry)
        other = admission.find_better_pool(self, item, live, now)
        if other is not None:
            redirected = messages.Redirected(
                ask.request_id, other.zone, other.shard
            )
            return [Reply(entry, redirected)]
        refusal = admission.find_refusal(self, item, live, now)
        if refusal is not None:
            return [Reply(entry, refusal)]
        self._note_arrival(item, now)
        waiting = admission.make_waiting(self, item, now)
        self.queues[item.level].push(waiting)
        latest = waiting.deadline - item.run
        heapq.heappush(self.latest_starts, (latest, ask.request_id))
        return [Reply(entry, messages.Queued(ask.request_id))]

    def withdraw(self, request_id: str, now: float) -> None:
        """Drops a request that nobody waits for any more."""
        self._unqueue(request_id)
        self._release(request_id, now)

    def start(self, request_id: str, now: float) -> None:
        """Notes that a granted request has its first token."""
        for name in self._granted_names(request_id):
            state = self.targets.get(name)
            if state is None:
                continue
            attempt = state.attempts.get(request_id)
            if attempt is not None and not attempt.started:
                state.start(request_id, now)

    def release(self, done: messages.Released, now: float) -> bool:
        """Takes the end of a granted request.

        Returns:
            Whether the target was found to be leaving.
        """
        self._release(done.request_id, now)
        state = self.targets.get(done.target)
        if state is None:
            return False
        if done.outcome == 0:
            self.ejection.note_success(done.target)
        elif done.outcome in (1, 3):
            count = len(self.targets)
            self.ejection.note_failure(done.target, count, now)
        elif done.outcome == 4:
            return self.target_gone(done.target, state.record.incarnation)
        return False

    def entry_lost(self, entry: str, now: float) -> None:
        """Drops all requests of an instance that is gone."""
        for queue in self.queues:
            for waiting in queue.entries():
                if waiting.item.entry == entry:
                    self._unqueue(waiting.request_id)
        for state in self.targets.values():
            for attempt in list(state.attempts.values()):
                if attempt.entry == entry:
                    self._release(attempt.request_id, now)

    def poll(self, now: float) -> list[Reply]:
        """Grants what can begin and refuses what cannot end in time."""
        replies = self._expire(now)
        if now >= self.next_partition:
            self.next_partition = now + PARTITION_INTERVAL_SECONDS
            self._update_partition(now)
        for level in range(cost.LEVELS - 1, -1, -1):
            replies += self._grant_queue(level, now)
        return replies

    # The number of targets for long prompts.

    def _note_arrival(self, item: pool_state.Item, now: float) -> None:
        if not self.profile.is_engine:
            return
        if self.partition is None:
            self.partition = partition.Partition(now)
        ask = item.ask
        if item.level <= cost.LONG_LEVEL:
            self.first_token_weight = ask.first_token_weight
        work = admission.work_of(self, item)
        if item.level == cost.LONG_LEVEL:
            self.partition.long.add(work, now)
        elif item.level > cost.LONG_LEVEL:
            self.partition.short.add(work, now)

    def _update_partition(self, now: float) -> None:
        if self.partition is None:
            return
        live = self.live_targets(now)
        deferrable = self.queues[cost.DEFERRABLE_LEVEL]
        load = partition.PartitionLoad(
            len(live),
            self.queues[cost.LONG_LEVEL].work,
            deferrable.work,
            sum(_due_rate(w, now) for w in deferrable.entries()),
            self.first_token_weight,
            self.policy.max_long_fraction,
        )
        self.long_count = self.partition.update(load, now)
        rate = self.partition.short.rate(now) + self.partition.long.rate(now)
        self.long_names = frozenset()
        if rate > LANES_UTILISATION * len(live):
            # A fixed order keeps the same targets while the number changes.
            names = [target.record.name for target in live]
            self.long_names = frozenset(
                ownership.rank_owners("long", names, self.long_count)
            )

    # Expiry.

    def _expire(self, now: float) -> list[Reply]:
        """Refuses what can no longer end by its deadline."""
        replies = []
        starts = self.latest_starts
        while starts and starts[0][0] < now:
            _, request_id = heapq.heappop(starts)
            queue = self._queue_of(request_id)
            if queue is None:
                continue
            waiting = queue.get(request_id)
            self._unqueue(request_id)
            live = max(1, len(self.live_targets(now)))
            message = admission.declined(
                waiting.item.ask,
                verdicts.Reason.OVERLOADED,
                "it can no longer end by its deadline",
                queue.work / live,
            )
            replies.append(Reply(waiting.item.entry, message))
        return replies

    def _queue_of(self, request_id: str) -> queueing.FairQueue | None:
        for queue in self.queues:
            if request_id in queue:
                return queue
        return None

    # Grants.

    def _grant_queue(self, level: int, now: float) -> list[Reply]:
        """Grants what can begin of one level, organisations in turn."""
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
        waiting: queueing.Waiting,
        chosen: list[target_state.TargetState],
        queue: queueing.FairQueue,
        now: float,
    ) -> Reply:
        item = waiting.item
        ask = item.ask
        queue.serve(waiting.request_id)
        self._end_hold(ask.request_id)
        count = len(chosen)
        depths = self.depths(ask)
        cached = 0
        if count == 1:
            cached = self.cached(chosen[0].record.name, ask, depths)
        uncached = ask.prompt_tokens - cached
        prefill = self.profile.prefill_work(uncached)
        if count > 1:
            prefill = self.profile.group_work(uncached, count)
        tokens = math.ceil((ask.prompt_tokens + ask.output_tokens) / count)
        for target in chosen:
            attempt = target_state.Attempt(
                ask.request_id,
                item.entry,
                ask.organisation,
                item.level,
                prefill,
                tokens if self.profile.is_engine else 0,
                now,
            )
            target.add(attempt, now)
        if count == 1 and self.policy.use_prefixes and ask.blocks:
            self.prefixes.add(chosen[0].record.name, ask.blocks, now)
        names = tuple(t.record.name for t in chosen)
        self.grants[ask.request_id] = pool_state.Grant(names, waiting.deadline)
        priority = placement.choose_priority(self, waiting, now)
        members = _members(chosen, tokens)
        return Reply(
            item.entry,
            messages.Granted(ask.request_id, members, priority, cached),
        )

    def _repeat_grant(self, ask: messages.Acquire, entry: str) -> Reply:
        names = self._granted_names(ask.request_id)
        states = [self.targets[n] for n in names if n in self.targets]
        attempts = [s.attempts.get(ask.request_id) for s in states]
        if len(states) != len(names) or None in attempts:
            declined = admission.declined(
                ask,
                verdicts.Reason.NO_TARGET,
                "the granted target has gone",
                admission.MIN_RETRY_AFTER_SECONDS,
            )
            return Reply(entry, declined)
        members = _members(states, attempts[0].kv_tokens)
        priority = placement.LEVEL_PRIORITY * attempts[0].level + ask.urgency
        return Reply(
            entry, messages.Granted(ask.request_id, members, priority, 0)
        )

    def _release(self, request_id: str, now: float) -> None:
        names = self._granted_names(request_id)
        self.grants.pop(request_id, None)
        for name in names:
            state = self.targets.get(name)
            if state is not None:
                state.remove(request_id, now)

    def _granted_names(self, request_id: str) -> tuple[str, ...]:
        grant = self.grants.get(request_id)
        return grant.names if grant is not None else ()

    def _unqueue(self, request_id: str) -> None:
        for queue in self.queues:
            queue.remove(request_id)
        self._end_hold(request_id)

    def _end_hold(self, request_id: str) -> None:
        for target in self.targets.values():
            if target.held_for == request_id:
                target.held_for = ""

    def expire_grants(self, now: float) -> None:
        """Drops grants whose end was never told, past their deadline."""
        for request_id, grant in list(self.grants.items()):
            if now > grant.expires + GRANT_GRACE_SECONDS:
                self._release(request_id, now)


def _members(
    chosen: list[target_state.TargetState], tokens: int
) -> tuple[messages.GroupMember, ...]:
    """Returns a grant's members in the fixed order of reservation."""
    if len(chosen) > 1:
        chosen = sorted(chosen, key=lambda t: t.record.name)
    return tuple(
        messages.GroupMember(t.record.name, t.record.address, tokens)
        for t in chosen
    )


def _due_rate(waiting: queueing.Waiting, now: float) -> float:
    """Returns the targets that a deferrable prompt needs from now on."""
    left = max(1.0, (waiting.deadline - now) * DEFERRAL_FRACTION)
    return waiting.cost / left


def _to_ms(seconds: float) -> int:
    return int(min(seconds, 1e6) * 1_000)
