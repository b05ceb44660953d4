"""What the owner of a pool knows: targets, queues, grants, other pools."""

import math
from typing import Iterable, NamedTuple

from catkintrail import messages
from catkintrail.core import cost
from catkintrail.core import ejection
from catkintrail.core import partition
from catkintrail.core import prefix_index
from catkintrail.core import queueing
from catkintrail.core import target_state

__all__ = [
    "Grant",
    "Item",
    "PoolKey",
    "PoolPolicy",
    "PoolState",
]

# A target gets short work only up to this much ahead, so that the order of
# the rest stays open.
DISPATCH_AHEAD_SECONDS = 0.15
# Part of a target's memory that stays free for short requests while a long
# prompt is placed.
SHORT_MEMORY_FRACTION = 0.08
# At most this part of the targets takes long prompts.
MAX_LONG_FRACTION = 0.75


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


class Item(NamedTuple):
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


class Grant(NamedTuple):
    """A granted request: its targets, and its deadline."""

    names: tuple[str, ...]
    expires: float


class PoolState:
    """What an owner knows of a pool.

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
        self.grants: dict[str, Grant] = {}
        # Latest moments at which waiting requests may begin, with their ids.
        self.latest_starts: list[tuple[float, str]] = []
        self.gone: dict[str, int] = {}
        self.partition: partition.Partition | None = None
        self.long_count = 0
        self.long_names: frozenset[str] = frozenset()
        self.next_partition = 0.0
        self.first_token_weight = 0.5

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
                self.drop_target(name)
        self.gone = {n: i for n, i in self.gone.items() if n in listed}
        for name, record in listed.items():
            state = self.targets.get(name)
            if state is None or state.record.incarnation < record.incarnation:
                self.drop_target(name)
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

    def live_targets(self, now: float) -> list[target_state.TargetState]:
        """Returns the targets that may get new work."""
        return [
            target
            for name, target in self.targets.items()
            if not target.is_leaving and not self.ejection.is_out(name, now)
        ]

    # Lookups.

    def waiting_count(self) -> int:
        """Returns how many requests wait."""
        return sum(len(queue) for queue in self.queues)

    def best_cached(self, ask: messages.Acquire) -> int:
        """Returns the most prompt tokens that one target has cached."""
        if not self.policy.use_prefixes or not ask.blocks:
            return 0
        depths = self.prefixes.match(ask.blocks)
        depth = max(depths.values(), default=0)
        return min(ask.prompt_tokens - 1, depth * self.profile.block_tokens)

    def depths(self, ask: messages.Acquire) -> dict[str, int]:
        """Returns how many of a prompt's blocks each target has cached."""
        if not self.policy.use_prefixes or not ask.blocks:
            return {}
        return self.prefixes.match(ask.blocks)

    def cached(
        self, name: str, ask: messages.Acquire, depths: dict[str, int]
    ) -> int:
        """Returns the prompt tokens that a target has cached."""
        cached = depths.get(name, 0) * self.profile.block_tokens
        return max(0, min(cached, ask.prompt_tokens - 1))

    def least_members(self, ask: messages.Acquire) -> int:
        """Returns how many targets a request's memory takes at least."""
        if not self.profile.is_engine:
            return 1
        need = ask.prompt_tokens + ask.output_tokens
        room = self.profile.kv_tokens * (1.0 - SHORT_MEMORY_FRACTION)
        return max(1, math.ceil(need / room))

    def drop_target(self, name: str) -> None:
        """Forgets a target."""
        if self.targets.pop(name, None) is not None:
            self.prefixes.drop_target(name)
            self.ejection.drop_target(name)
