"""The owner's decisions for one pool: admission, order and placement.

A pool holds the targets of one model or service in one zone, or one shard of
them. Its owner keeps one queue before all of them and grants a request only
when a target can begin it soon, so that the choice is made with the newest
knowledge and a queue never stands behind one slow target.
"""

import heapq
import math
from typing import Iterable, NamedTuple

from catkintrail import messages
from catkintrail import verdict as verdicts
from catkintrail.core import cost
from catkintrail.core import ejection
from catkintrail.core import ownership
from catkintrail.core import partition
from catkintrail.core import prefix_index
from catkintrail.core import queueing
from catkintrail.core import target_state

__all__ = ["Pool", "PoolKey", "PoolPolicy", "Reply"]

# A target gets short work only up to this much ahead, so that the order of
# the rest stays open.
DISPATCH_AHEAD_SECONDS = 0.15
SPILL_HYSTERESIS_SECONDS = 0.1
SPILL_ROUND_TRIP_SECONDS = 0.01
SUMMARY_EXPIRY_SECONDS = 3.5
MAX_REDIRECTS = 2
MAX_WAITING = 20_000
# Part of a target's memory that stays free for short requests while a long
# prompt is placed.
SHORT_MEMORY_FRACTION = 0.08
# At most this part of the targets takes long prompts.
MAX_LONG_FRACTION = 0.75
# Distance between the priorities of two levels; urgency lies between.
LEVEL_PRIORITY = 10
# A long prompt whose slack falls below this part of its run gets the
# priority of short requests.
URGENT_SLACK_RATIO = 1.0
LONG_LEVELS = cost.LONG_LEVEL + 1
# Deferrable work is spread over this part of the time that it has left.
DEFERRAL_FRACTION = 0.1
URGENT_SLACK_SECONDS = 15.0
PARTITION_INTERVAL_SECONDS = 0.5
# From this load on the same targets keep taking the long prompts.
LANES_UTILISATION = 0.55
DEADLINE_MARGIN_SECONDS = 0.05
# Part of a busy engine's step that a chunk of prefill takes.
CHUNK_STEP_FRACTION = 0.6
# Part of a step that decoding would take with all slots in use.
DECODE_WORK_FRACTION = 0.35
# Cost of a long prefill to each request that runs beside it.
BUSY_TARGET_SECONDS = 0.05
# Cost of going back to a target on which this request has failed.
AVOID_SECONDS = 10.0
GRANT_GRACE_SECONDS = 5.0
MIN_RETRY_AFTER_SECONDS = 0.1


class PoolKey(NamedTuple):
    """Names a pool.

    Attributes:
        serves: The model or service.
        zone: The availability zone.
        shard: Number of the shard.
    """

    serves: str
    zone: str
    shard: int = 0


class Reply(NamedTuple):
    """A message for the instance that asked."""

    entry: str
    message: messages.Message


class PoolPolicy(NamedTuple):
    """The choices that are weighed against each other by measurement.

    Attributes:
        dispatch_ahead_seconds: Short work granted ahead to one target.
        max_long_fraction: Part of the targets that long prefill may hold.
        use_priorities: Whether long prompts get a lower priority.
        use_prefixes: Whether cached prefixes count.
        speed_groups: Whether long prompts may be spread over more targets
            than their memory needs, for an earlier first token.
        use_held_memory: Whether memory is held free for a long prompt.
        segregation: How strongly short requests avoid targets with a long
            prefill; 1 for the predicted slowdown.
    """

    dispatch_ahead_seconds: float = DISPATCH_AHEAD_SECONDS
    max_long_fraction: float = MAX_LONG_FRACTION
    use_priorities: bool = True
    use_prefixes: bool = True
    speed_groups: bool = False
    use_held_memory: bool = True
    segregation: float = 1.0


class _Item(NamedTuple):
    """A waiting request.

    Attributes:
        ask: The request.
        entry: Who asked.
        level: Its level; see core/cost.
        uncached: Prompt tokens that were in no target's cache.
        run: Predicted seconds from the grant to the end.
    """

    ask: messages.Acquire
    entry: str
    level: int
    uncached: int
    run: float


class _Grant(NamedTuple):
    """A granted request: its targets, and its deadline."""

    names: tuple[str, ...]
    expires: float


class Pool:
    """One pool's state; a plain state machine without clock or sockets.

    Attributes:
        key: The pool's name.
        profile: Costs of its model or service.
        targets: Its targets, by name.
        summaries: The newest summaries of the model's other pools.
        queues: Waiting requests, by level.
        partition: How many targets take long prompts.
        long_count: That number now.
        long_names: Which ones, when the load is high; empty when any idle one
            may take the next.
    """

    def __init__(
        self,
        key: PoolKey,
        profile: cost.Profile,
        policy: PoolPolicy = PoolPolicy(),
    ) -> None:
        self.key = key
        self.profile = profile
        self.policy = policy
        self.targets: dict[str, target_state.TargetState] = {}
        self.queues = [queueing.FairQueue() for _ in range(cost.LEVELS)]
        self.ejection = ejection.Ejection()
        blocks = max(1, profile.kv_tokens // profile.block_tokens)
        self.prefixes = prefix_index.PrefixIndex(blocks)
        self.summaries: dict[PoolKey, tuple[messages.PoolSummary, float]] = {}
        self.grants: dict[str, _Grant] = {}
        # Latest moments at which waiting requests may begin, with their ids.
        self._latest_starts: list[tuple[float, str]] = []
        self.gone: dict[str, int] = {}
        self.partition: partition.Partition | None = None
        self.long_count = 0
        self.long_names: frozenset[str] = frozenset()
        self._next_partition = 0.0
        self._first_token_weight = 0.5

    # Targets.

    def set_profile(self, profile: cost.Profile) -> None:
        """Takes changed costs of the model or service."""
        if profile == self.profile:
            return
        self.profile = profile
        self.prefixes.capacity = max(
            1, profile.kv_tokens // profile.block_tokens
        )
        for target in self.targets.values():
            target.profile = profile
            target.kv_capacity = profile.kv_tokens

    def set_targets(
        self, records: Iterable[messages.TargetRecord], now: float
    ) -> None:
        """Takes the platform's list of the pool's targets."""
        listed = {record.name: record for record in records}
        for name in list(self.targets):
            if name not in listed:
                self._drop_target(name)
        for name, record in listed.items():
            state = self.targets.get(name)
            if state is None or state.record.incarnation < record.incarnation:
                self._drop_target(name)
                state = target_state.TargetState(record, self.profile)
                self.targets[name] = state
            state.is_leaving |= record.leaving
            if self.gone.get(name, -1) >= record.incarnation:
                state.is_leaving = True
        del now

    def target_gone(self, name: str, incarnation: int) -> bool:
        """Notes that a target is leaving.

        Returns:
            Whether this is news. Only a newer incarnation takes it back.
        """
        if self.gone.get(name, -1) >= incarnation:
            return False
        self.gone[name] = incarnation
        state = self.targets.get(name)
        if state is not None and state.record.incarnation <= incarnation:
            state.is_leaving = True
            state.held_for = ""
        return True

    def take_report(self, report: target_state.LoadReport, now: float) -> bool:
        """Takes a load report; returns whether it tells of leaving."""
        state = self.targets.get(report.target)
        if state is None:
            return False
        if report.incarnation < state.record.incarnation:
            return False
        state.take_report(report, now)
        if report.leaving:
            return self.target_gone(report.target, report.incarnation)
        return False

    def take_cache_events(
        self,
        target: str,
        events: Iterable[prefix_index.CacheEvent],
        now: float,
    ) -> None:
        """Takes a target's cache events."""
        if target in self.targets:
            self.prefixes.apply(target, events, now)

    def take_summary(self, summary: messages.PoolSummary, now: float) -> None:
        """Takes the summary of another pool of the same model."""
        key = PoolKey(summary.serves, summary.zone, summary.shard)
        self.summaries[key] = (summary, now)

    def summary(self, now: float) -> messages.PoolSummary:
        """Returns this pool's summary."""
        live = self.live_targets(now)
        free = sum(max(0, target.free_tokens()) for target in live)
        return messages.PoolSummary(
            self.key.serves,
            self.key.zone,
            self.key.shard,
            len(live),
            _to_ms(self._start_wait(cost.LEVELS - 1, live, now)),
            _to_ms(self._start_wait(cost.LONG_LEVEL, live, now)),
            free,
        )

    def live_targets(self, now: float) -> list[target_state.TargetState]:
        """Returns the targets that may get new work."""
        return [
            target
            for name, target in self.targets.items()
            if not target.is_leaving and not self.ejection.is_out(name, now)
        ]

    # Requests.

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
        item = self._classify(ask, entry)
        other = self._better_pool(item, live, now)
        if other is not None:
            redirected = messages.Redirected(
                ask.request_id, other.zone, other.shard
            )
            return [Reply(entry, redirected)]
        refusal = self._refusal(item, live, now)
        if refusal is not None:
            return [Reply(entry, refusal)]
        self._note_arrival(item, now)
        waiting = self._waiting(item, now)
        self.queues[item.level].push(waiting)
        latest = waiting.deadline - item.run
        heapq.heappush(self._latest_starts, (latest, ask.request_id))
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
        if now >= self._next_partition:
            self._next_partition = now + PARTITION_INTERVAL_SECONDS
            self._update_partition(now)
        for level in range(cost.LEVELS - 1, cost.LONG_LEVEL, -1):
            replies += self._grant_level(level, now)
        replies += self._grant_long(cost.LONG_LEVEL, now)
        replies += self._grant_long(cost.DEFERRABLE_LEVEL, now)
        return replies

    def waiting_count(self) -> int:
        """Returns how many requests wait."""
        return sum(len(queue) for queue in self.queues)

    # The partition of targets.

    def _note_arrival(self, item: _Item, now: float) -> None:
        if not self.profile.is_engine:
            return
        if self.partition is None:
            self.partition = partition.Partition(now)
        ask = item.ask
        if item.level <= cost.LONG_LEVEL:
            self._first_token_weight = ask.first_token_weight
        work = self._work(item)
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
            self._first_token_weight,
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

    def _work(self, item: _Item) -> float:
        """Predicts the target seconds that a request takes."""
        work = self.profile.prefill_work(item.uncached)
        return work + self._decode_work(item.ask.output_tokens)

    # Admission.

    def _classify(self, ask: messages.Acquire, entry: str) -> _Item:
        uncached = ask.prompt_tokens - self._best_cached(ask)
        level = self.profile.level(
            ask.prompt_tokens, uncached, ask.remaining_seconds
        )
        run = self._run_seconds(ask, uncached)
        return _Item(ask, entry, level, uncached, run)

    def _best_cached(self, ask: messages.Acquire) -> int:
        if not self.policy.use_prefixes or not ask.blocks:
            return 0
        depths = self.prefixes.match(ask.blocks)
        depth = max(depths.values(), default=0)
        return min(ask.prompt_tokens - 1, depth * self.profile.block_tokens)

    def _waiting(self, item: _Item, now: float) -> queueing.Waiting:
        ask = item.ask
        return queueing.Waiting(
            ask.request_id,
            ask.organisation,
            ask.weight,
            self._work(item),
            now + ask.remaining_seconds,
            ask.urgency,
            item,
        )

    def _decode_work(self, output_tokens: int) -> float:
        """Returns the part of a target's time that decoding takes."""
        if not self.profile.is_engine:
            return 0.0
        time = self.profile.decode_time(output_tokens)
        return time * DECODE_WORK_FRACTION / self.profile.slots

    def _run_seconds(self, ask: messages.Acquire, uncached: int) -> float:
        """Predicts seconds from the grant to the end."""
        members = self._least_members(ask)
        prefill = self.profile.prefill_work(uncached)
        if members > 1:
            prefill = self.profile.group_work(uncached, members)
        return prefill + self.profile.decode_time(ask.output_tokens)

    def _least_members(self, ask: messages.Acquire) -> int:
        if not self.profile.is_engine:
            return 1
        need = ask.prompt_tokens + ask.output_tokens
        room = self.profile.kv_tokens * (1.0 - SHORT_MEMORY_FRACTION)
        return max(1, math.ceil(need / room))

    def _queue_wait(self, item: _Item, live: list, now: float) -> float:
        """Predicts seconds from now to the grant."""
        ask = item.ask
        queue = self.queues[item.level]
        work = queue.wait_work(ask.organisation, ask.weight)
        if item.level <= cost.LONG_LEVEL:
            work += sum(
                q.work for q in self.queues[item.level + 1 : LONG_LEVELS]
            )
            return work / self._long_rate(live) + self._gap(1, live, now)
        work += sum(q.work for q in self.queues[item.level + 1 :])
        rate = max(1e-9, len(live) * cost.PLANNED_UTILISATION)
        return work / rate + self._gap(item.level, live, now)

    def _start_wait(self, level: int, live: list, now: float) -> float:
        """Predicts the wait of a new request, whoever sends it."""
        gap = self._gap(level, live, now)
        if level <= cost.LONG_LEVEL:
            return gap + self.queues[level].work / self._long_rate(live)
        rate = max(1e-9, len(live) * cost.PLANNED_UTILISATION)
        return gap + sum(q.work for q in self.queues[level:]) / rate

    def _gap(self, level: int, live: list, now: float) -> float:
        waits = [target.wait(level, now) for target in live]
        return min(waits, default=math.inf)

    def _long_rate(self, live: list) -> float:
        """Returns target seconds of long prefill done in a second."""
        count = max(1, self.long_count)
        return max(1e-9, min(count, len(live)) * cost.PLANNED_UTILISATION)

    def _refusal(
        self, item: _Item, live: list, now: float
    ) -> messages.Declined | None:
        ask = item.ask
        if not live:
            return _declined(
                ask, verdicts.Reason.NO_TARGET, "no target is live", 1.0
            )
        if self._least_members(ask) > min(
            len(live), max(1, self.profile.max_group)
        ):
            return _declined(
                ask,
                verdicts.Reason.NO_TARGET,
                "the prompt needs more targets than are live",
                5.0,
            )
        if self.waiting_count() >= MAX_WAITING:
            wait = sum(q.work for q in self.queues) / len(live)
            return _declined(
                ask, verdicts.Reason.OVERLOADED, "the queue is full", wait
            )
        run = item.run
        if run + DEADLINE_MARGIN_SECONDS > ask.remaining_seconds:
            return _declined(
                ask,
                verdicts.Reason.DEADLINE,
                f"the request alone takes {run:.1f} s, more than its deadline",
                0.0,
            )
        wait = self._queue_wait(item, live, now)
        late = wait + run + DEADLINE_MARGIN_SECONDS - ask.remaining_seconds
        if late > 0:
            return _declined(
                ask,
                verdicts.Reason.OVERLOADED,
                f"it would end {late:.1f} s after its deadline",
                late,
            )
        return None

    # Spill to other zones.

    def _better_pool(
        self, item: _Item, live: list, now: float
    ) -> PoolKey | None:
        if item.ask.redirects >= MAX_REDIRECTS:
            return None
        best, best_wait = None, math.inf
        for key, (summary, heard) in self.summaries.items():
            if now - heard > SUMMARY_EXPIRY_SECONDS or not summary.targets:
                continue
            wait_ms = summary.short_wait_ms
            if item.level <= cost.LONG_LEVEL:
                wait_ms = summary.long_wait_ms
            wait = wait_ms / 1_000.0 + SPILL_ROUND_TRIP_SECONDS
            if wait < best_wait:
                best, best_wait = key, wait
        if best is None or not live:
            return best
        here = self._queue_wait(item, live, now)
        if here > best_wait + SPILL_HYSTERESIS_SECONDS:
            return best
        return None

    # Expiry.

    def _expire(self, now: float) -> list[Reply]:
        """Refuses what can no longer end by its deadline."""
        replies = []
        starts = self._latest_starts
        while starts and starts[0][0] < now:
            _, request_id = heapq.heappop(starts)
            queue = self._queue_of(request_id)
            if queue is None:
                continue
            waiting = queue.get(request_id)
            self._unqueue(request_id)
            live = max(1, len(self.live_targets(now)))
            message = _declined(
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

    # Placement of short requests.

    def _grant_level(self, level: int, now: float) -> list[Reply]:
        replies = []
        queue = self.queues[level]
        blocked: set[str] = set()
        while True:
            granted = None
            for waiting in queue.heads():
                if waiting.organisation in blocked:
                    continue
                target = self._choose(waiting.item, now)
                if target is None:
                    blocked.add(waiting.organisation)
                    continue
                granted = self._grant(waiting, [target], queue, now)
                break
            if granted is None:
                return replies
            replies.append(granted)

    def _choose(
        self, item: _Item, now: float
    ) -> target_state.TargetState | None:
        """Returns the best target, or None where waiting for it is better."""
        ask = item.ask
        depths = self._depths(ask)
        need = ask.prompt_tokens + ask.output_tokens
        live = self.live_targets(now)
        queue_wait = self.queues[item.level].work / max(1, len(live))
        best, best_score = None, math.inf
        for target in live:
            if not self._fits(target, need, now) or target.held_for:
                continue
            value = self._score(target, item, depths, now)
            is_ready = (
                target.own_wait(item.level, now)
                <= self.policy.dispatch_ahead_seconds
            )
            if not is_ready:
                # The requests that wait here would be served before.
                value += queue_wait
            if value < best_score:
                best, best_score = (target if is_ready else None), value
        return best

    def _score(
        self,
        target: target_state.TargetState,
        item: _Item,
        depths: dict[str, int],
        now: float,
    ) -> float:
        """Predicts the time to first token and what the answer is slowed."""
        ask = item.ask
        cached = self._cached(target.record.name, ask, depths)
        value = target.wait(item.level, now)
        value += self.profile.prefill_work(ask.prompt_tokens - cached)
        running = len(target.attempts) + target.foreign_requests
        value += 0.1 * running / self.profile.slots
        if self._takes_long(target):
            value += self.policy.segregation * self._decode_slowdown(ask)
        if target.record.name in ask.avoid:
            value += AVOID_SECONDS
        return value

    def _decode_slowdown(self, ask: messages.Acquire) -> float:
        """Predicts how much a long prefill beside it prolongs an answer.

        Every step of the engine then takes a full chunk of prefill along.
        """
        time = self.profile.decode_time(ask.output_tokens)
        return time * CHUNK_STEP_FRACTION * (1.0 - ask.first_token_weight)

    def _fits(
        self, target: target_state.TargetState, need: int, now: float
    ) -> bool:
        share = self.ejection.share(target.record.name, now)
        if target.free_slots(share) <= 0:
            return False
        return not self.profile.is_engine or need <= target.free_tokens()

    def _depths(self, ask: messages.Acquire) -> dict[str, int]:
        if not self.policy.use_prefixes or not ask.blocks:
            return {}
        return self.prefixes.match(ask.blocks)

    def _cached(
        self, name: str, ask: messages.Acquire, depths: dict[str, int]
    ) -> int:
        cached = depths.get(name, 0) * self.profile.block_tokens
        return max(0, min(cached, ask.prompt_tokens - 1))

    # Placement of long prompts.

    def _grant_long(self, level: int, now: float) -> list[Reply]:
        replies = []
        queue = self.queues[level]
        blocked: set[str] = set()
        while len(queue):
            granted = None
            for waiting in queue.heads():
                if waiting.organisation in blocked:
                    continue
                chosen = self._choose_long(waiting, now)
                if not chosen:
                    self._hold_memory(waiting, now)
                    blocked.add(waiting.organisation)
                    continue
                granted = self._grant(waiting, chosen, queue, now)
                break
            if granted is None:
                break
            replies.append(granted)
        return replies

    def _choose_long(
        self, waiting: queueing.Waiting, now: float
    ) -> list[target_state.TargetState]:
        """Returns the targets with the earliest first token, or none."""
        ask = waiting.item.ask
        least = self._least_members(ask)
        free = self._free_for_long(waiting, least, now)
        if len(free) < least:
            return []
        depths = self._depths(ask)
        most = max(least, min(self.profile.max_group, len(free)))
        # A group costs more work than one target: while others wait, the
        # smallest that finds its memory is taken.
        is_contended = sum(len(q) for q in self.queues[:LONG_LEVELS]) > 1
        best: list[target_state.TargetState] = []
        best_value = math.inf
        need = ask.prompt_tokens + ask.output_tokens
        for count in range(least, most + 1):
            chosen = self._best_members(ask, free, count, need, depths, now)
            if len(chosen) < count:
                continue
            value = self._group_value(ask, chosen, depths, now)
            if value < best_value:
                best, best_value = chosen, value
            if is_contended or not self.policy.speed_groups:
                break
        return best

    def _free_for_long(
        self, waiting: queueing.Waiting, least: int, now: float
    ) -> list[target_state.TargetState]:
        """Returns the targets on which a long prompt may begin now."""
        busy = sum(1 for t in self.targets.values() if t.has_long_prefill())
        room = self.long_count - busy
        may_use_all = least > self.long_count or self._is_urgent(waiting, now)
        if not may_use_all and room <= 0:
            return []
        names = self.targets.keys()
        if self.long_names and not may_use_all:
            names = self.long_names
        return [
            target
            for target in self.live_targets(now)
            if target.record.name in names
            and not target.has_long_prefill()
            and target.held_for in ("", waiting.request_id)
            and self.ejection.share(target.record.name, now) >= 1.0
            and target.free_slots(1.0) > 0
        ]

    def _takes_long(self, target: target_state.TargetState) -> bool:
        """Returns whether short requests should keep away from a target."""
        if self.long_names:
            return target.record.name in self.long_names
        return target.has_long_prefill()

    def _is_urgent(self, waiting: queueing.Waiting, now: float) -> bool:
        """Returns whether little time is left beyond the run itself."""
        run = waiting.item.run
        slack = waiting.deadline - now - run
        return slack < URGENT_SLACK_RATIO * run + URGENT_SLACK_SECONDS

    def _best_members(
        self,
        ask: messages.Acquire,
        free: list[target_state.TargetState],
        count: int,
        need: int,
        depths: dict[str, int],
        now: float,
    ) -> list[target_state.TargetState]:
        share = math.ceil(need / count)
        reserve = int(self.profile.kv_tokens * SHORT_MEMORY_FRACTION)
        roomy = [t for t in free if t.free_tokens() - reserve >= share]
        if count == 1:

            def single_value(target: target_state.TargetState) -> float:
                cached = self._cached(target.record.name, ask, depths)
                uncached = ask.prompt_tokens - cached
                work = self.profile.prefill_work(uncached)
                busy = len(target.attempts) * BUSY_TARGET_SECONDS
                return work + target.wait(cost.FIRST_SHORT_LEVEL, now) + busy

            return sorted(roomy, key=single_value)[:1]

        def group_value(target: target_state.TargetState) -> float:
            busy = len(target.attempts) * BUSY_TARGET_SECONDS
            return target.wait(cost.FIRST_SHORT_LEVEL, now) + busy

        return sorted(roomy, key=group_value)[:count]

    def _group_value(
        self,
        ask: messages.Acquire,
        chosen: list[target_state.TargetState],
        depths: dict[str, int],
        now: float,
    ) -> float:
        """Predicts time to first token and adds the work it costs others."""
        count = len(chosen)
        cached = 0
        if count == 1:
            cached = self._cached(chosen[0].record.name, ask, depths)
        each = self.profile.group_work(ask.prompt_tokens - cached, count)
        level = cost.FIRST_SHORT_LEVEL
        wait = max(target.wait(level, now) for target in chosen)
        overhead = each * count - self.profile.prefill_work(
            ask.prompt_tokens - cached
        )
        return wait + each + overhead * (2.0 - ask.first_token_weight)

    def _hold_memory(self, waiting: queueing.Waiting, now: float) -> None:
        """Keeps new short work off the targets that a long prompt needs."""
        if not self.policy.use_held_memory:
            return
        if not self._is_urgent(waiting, now):
            return
        if any(target.held_for for target in self.targets.values()):
            return
        ask = waiting.item.ask
        live = self.live_targets(now)
        count = self._least_members(ask)
        if count > len(live) // 2 and len(live) > 1:
            count = min(count, len(live))
        roomiest = sorted(live, key=lambda t: t.free_tokens(), reverse=True)
        for target in roomiest[:count]:
            target.held_for = ask.request_id

    # Grants.

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
        depths = self._depths(ask)
        cached = 0
        if count == 1:
            cached = self._cached(chosen[0].record.name, ask, depths)
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
        self.grants[ask.request_id] = _Grant(names, waiting.deadline)
        priority = self._priority(waiting, now)
        members = _members(chosen, tokens)
        return Reply(
            item.entry,
            messages.Granted(ask.request_id, members, priority, cached),
        )

    def _priority(self, waiting: queueing.Waiting, now: float) -> int:
        item = waiting.item
        level = item.level
        if not self.policy.use_priorities:
            level = cost.LEVELS - 1
        elif level <= cost.LONG_LEVEL and self._is_urgent(waiting, now):
            level = cost.FIRST_SHORT_LEVEL
        return LEVEL_PRIORITY * level + item.ask.urgency

    def _repeat_grant(self, ask: messages.Acquire, entry: str) -> Reply:
        names = self._granted_names(ask.request_id)
        states = [self.targets[n] for n in names if n in self.targets]
        attempts = [s.attempts.get(ask.request_id) for s in states]
        if len(states) != len(names) or None in attempts:
            declined = _declined(
                ask,
                verdicts.Reason.NO_TARGET,
                "the granted target has gone",
                MIN_RETRY_AFTER_SECONDS,
            )
            return Reply(entry, declined)
        members = _members(states, attempts[0].kv_tokens)
        priority = LEVEL_PRIORITY * attempts[0].level + ask.urgency
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

    def _drop_target(self, name: str) -> None:
        if self.targets.pop(name, None) is not None:
            self.prefixes.drop_target(name)
            self.ejection.drop_target(name)


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


def _declined(
    ask: messages.Acquire,
    reason: verdicts.Reason,
    message: str,
    retry_after: float,
) -> messages.Declined:
    after = max(MIN_RETRY_AFTER_SECONDS, retry_after)
    return messages.Declined(ask.request_id, reason.value, message, after)


def _due_rate(waiting: queueing.Waiting, now: float) -> float:
    """Returns the targets that a deferrable prompt needs from now on."""
    left = max(1.0, (waiting.deadline - now) * DEFERRAL_FRACTION)
    return waiting.cost / left


def _to_ms(seconds: float) -> int:
    return int(min(seconds, 1e6) * 1_000)
