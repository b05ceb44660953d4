"""State of a pool at its owner: targets, queues, grants and other pools."""

import math
from typing import Iterable, NamedTuple

from catkintrail import messages
from catkintrail.core import cost
from catkintrail.core import ejection
from catkintrail.core import long_partition
from catkintrail.core import prefix_index
from catkintrail.core import queueing
from catkintrail.core import target_state

__all__ = [
    "ClassifiedRequest",
    "Grant",
    "PoolKey",
    "PoolPolicy",
    "PoolState",
]

# Prefill of one level that may be granted ahead to one target. Further requests
# stay in the queue, where their order can still change.
DISPATCH_AHEAD_SECONDS = 0.15
# Fraction of a target's KV memory that long prompts leave free for short
# requests.
SHORT_MEMORY_FRACTION = 0.08
# Largest fraction of the targets that takes long prompts.
MAX_LONG_FRACTION = 0.75


class PoolKey(NamedTuple):
    """Identifies a pool.

    Attributes:
        serves: The model or service.
        zone: The availability zone.
        shard: Index of the shard.
    """

    serves: str
    zone: str
    shard: int = 0


class PoolPolicy(NamedTuple):
    """Scheduling options, which the benchmark varies.

    Attributes:
        dispatch_ahead_seconds: Prefill of one level that may be granted ahead
            to one target.
        max_long_fraction: Largest fraction of the targets that may prefill
            long prompts.
        use_priorities: Whether long prompts get a lower priority.
        use_prefixes: Whether placement considers cached prefixes.
        spread_for_latency: Whether long prompts may be spread over more targets
            than their memory needs, for an earlier first token.
        use_held_memory: Whether memory is held free for a long prompt.
        long_prefill_penalty_weight: Weight of the slowdown that a long prefill
            causes to short requests on the same target; 1 for the predicted
            slowdown.
    """

    dispatch_ahead_seconds: float = DISPATCH_AHEAD_SECONDS
    max_long_fraction: float = MAX_LONG_FRACTION
    use_priorities: bool = True
    use_prefixes: bool = True
    spread_for_latency: bool = False
    use_held_memory: bool = True
    long_prefill_penalty_weight: float = 1.0


class ClassifiedRequest(NamedTuple):
    """A classified request.

    Attributes:
        request: The request.
        entry: The instance that sent it.
        level: Its level; see core/cost.
        uncached_tokens: Prompt tokens not cached on the best target at
            admission.
        run_seconds: Predicted seconds from the grant to the end.
    """

    request: messages.Acquire
    entry: str
    level: int
    uncached_tokens: int
    run_seconds: float


class Grant(NamedTuple):
    """A granted request.

    Attributes:
        names: The granted targets.
        expires: The request's deadline, in monotonic seconds.
    """

    names: tuple[str, ...]
    expires: float


class PoolState:
    """An owner's state of a pool.

    Attributes:
        key: The pool's key.
        profile: Costs of its model or service.
        targets: Its targets, by name.
        summaries: The latest summaries of the model's other pools, each with
            the time of its receipt.
        queues: Waiting requests, by level.
        grants: Granted requests, by id.
        leaving_incarnations: The latest incarnation known to be leaving, by
            target.
        partition: Computes how many targets take long prompts; None before the
            first request to an engine.
        long_count: Current number of targets for long prompts.
        long_target_names: Those targets under high load; empty while any idle
            target may take the next long prompt.
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
        self.grants: dict[str, Grant] = {}
        # Heap of the latest start times of waiting requests, with their ids.
        self.latest_starts: list[tuple[float, str]] = []
        self.leaving_incarnations: dict[str, int] = {}
        self.partition: long_partition.Partition | None = None
        self.long_count = 0
        self.long_target_names: frozenset[str] = frozenset()
        self.next_partition_update = 0.0
        self.first_token_weight = 0.5

    # Targets.

    def set_profile(self, profile: cost.Profile) -> None:
        """Replaces the costs of the model or service if they changed."""
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
        """Replaces the pool's targets by those that the platform lists."""
        listed = {record.name: record for record in records}
        for name in list(self.targets):
            if name not in listed:
                self.drop_target(name)
        self.leaving_incarnations = {
            n: i for n, i in self.leaving_incarnations.items() if n in listed
        }
        for name, record in listed.items():
            state = self.targets.get(name)
            if state is None or state.record.incarnation < record.incarnation:
                self.drop_target(name)
                state = target_state.TargetState(record, self.profile)
                self.targets[name] = state
            state.is_leaving |= record.leaving
            if self.leaving_incarnations.get(name, -1) >= record.incarnation:
                state.is_leaving = True
        del now

    def mark_leaving(self, name: str, incarnation: int) -> bool:
        """Marks a target as leaving until a newer incarnation is listed.

        Returns:
            Whether this was unknown before.
        """
        if self.leaving_incarnations.get(name, -1) >= incarnation:
            return False
        self.leaving_incarnations[name] = incarnation
        state = self.targets.get(name)
        if state is not None and state.record.incarnation <= incarnation:
            state.is_leaving = True
            state.held_for = ""
        return True

    def apply_load_report(
        self, report: target_state.LoadReport, now: float
    ) -> bool:
        """Applies a load report; returns whether it is the first of leaving."""
        state = self.targets.get(report.target)
        if state is None:
            return False
        if report.incarnation < state.record.incarnation:
            return False
        state.apply_load_report(report, now)
        if report.leaving:
            return self.mark_leaving(report.target, report.incarnation)
        return False

    def apply_cache_events(
        self,
        target: str,
        events: Iterable[prefix_index.CacheEvent],
        now: float,
    ) -> None:
        """Applies a target's cache events to the prefix index."""
        if target in self.targets:
            self.prefixes.apply(target, events, now)

    def store_summary(self, summary: messages.PoolSummary, now: float) -> None:
        """Stores the summary of another pool of the same model."""
        key = PoolKey(summary.serves, summary.zone, summary.shard)
        self.summaries[key] = (summary, now)

    def live_targets(self, now: float) -> list[target_state.TargetState]:
        """Returns the targets that may take new requests."""
        return [
            target
            for name, target in self.targets.items()
            if not target.is_leaving and not self.ejection.is_ejected(name, now)
        ]

    # Lookups.

    def waiting_count(self) -> int:
        """Returns the number of waiting requests."""
        return sum(len(queue) for queue in self.queues)

    def max_cached_tokens(self, request: messages.Acquire) -> int:
        """Returns the largest number of prompt tokens cached on one target."""
        if not self.policy.use_prefixes or not request.blocks:
            return 0
        depths = self.prefixes.match(request.blocks)
        depth = max(depths.values(), default=0)
        return min(request.prompt_tokens - 1, depth * self.profile.block_tokens)

    def cached_depths(self, request: messages.Acquire) -> dict[str, int]:
        """Returns how many leading blocks each target has cached."""
        if not self.policy.use_prefixes or not request.blocks:
            return {}
        return self.prefixes.match(request.blocks)

    def cached_tokens(
        self, name: str, request: messages.Acquire, depths: dict[str, int]
    ) -> int:
        """Returns the number of prompt tokens that a target has cached."""
        cached = depths.get(name, 0) * self.profile.block_tokens
        return max(0, min(cached, request.prompt_tokens - 1))

    def min_members(self, request: messages.Acquire) -> int:
        """Returns the smallest number of targets that can hold a request."""
        if not self.profile.is_engine:
            return 1
        needed_tokens = request.prompt_tokens + request.output_tokens
        usable_tokens = self.profile.kv_tokens * (1.0 - SHORT_MEMORY_FRACTION)
        return max(1, math.ceil(needed_tokens / usable_tokens))

    def drop_target(self, name: str) -> None:
        """Removes a target and its cache and failure records."""
        if self.targets.pop(name, None) is not None:
            self.prefixes.drop_target(name)
            self.ejection.drop_target(name)
