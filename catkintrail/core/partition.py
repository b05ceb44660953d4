"""How many of a pool's targets prefill long prompts at a time.

A prefill in progress slows every answer on the same engine, so only some
targets prefill long prompts at a time, and short requests keep away from those
as far as both fit. The number follows the load: enough for the long work that
arrives and, within a horizon, for what waits; no more than short work leaves
over. Work whose deadline is far off counts only by the rate that its deadlines
demand, and uses idle targets: the idea of scheduling deadline-flexible jobs
into the troughs is that of Joe-Wong, Kamitsos and Ha, "Inter-datacenter job
routing and scheduling with variable costs and deadlines", 2015. The number
grows at once and shrinks with hysteresis. Separating requests by size follows
Harchol-Balter, Crovella and Murta, "On choosing a task assignment policy for a
distributed server system", 1999.
"""

import math
from typing import NamedTuple

__all__ = ["Partition", "PartitionLoad", "RateMeter"]

RATE_SECONDS = 60.0
LONG_UTILISATION = 0.85
# Part of the time that targets for short requests may be busy: this much
# where the first token of long prompts has no weight, and more with it.
SHORT_UTILISATION = 0.4
SHORT_UTILISATION_SPAN = 0.35
IDLE_UTILISATION = 0.5
LEAST_HORIZON_SECONDS = 1.0
MOST_HORIZON_SECONDS = 5.0
SHRINK_MARGIN = 0.5
SHRINK_INTERVAL_SECONDS = 5.0


class RateMeter:
    """An exponentially fading rate of work, in target seconds a second."""

    def __init__(self, now: float) -> None:
        self.total = 0.0
        self.began = now
        self.updated = now

    def add(self, work: float, now: float) -> None:
        """Counts work that arrives."""
        self._fade(now)
        self.total += work

    def rate(self, now: float) -> float:
        """Returns the rate; a young meter is not yet held to be idle."""
        self._fade(now)
        age = max(1.0, now - self.began)
        span = RATE_SECONDS * (1.0 - math.exp(-age / RATE_SECONDS))
        return self.total / span

    def _fade(self, now: float) -> None:
        passed = max(0.0, now - self.updated)
        self.updated = max(self.updated, now)
        self.total *= math.exp(-passed / RATE_SECONDS)


class PartitionLoad(NamedTuple):
    """What the number of targets for long prompts follows.

    Attributes:
        targets: Targets that take work.
        long_work: Target seconds of long work that waits.
        deferrable_work: Target seconds of deferrable work that waits.
        due_rate: Targets that the deferrable work needs from now on to stay
            well before its deadlines.
        first_token_weight: 1 favours an early start of long prompts, 0 quick
            short ones.
        most_fraction: Upper limit, as a part of the targets.
    """

    targets: int
    long_work: float
    deferrable_work: float
    due_rate: float
    first_token_weight: float
    most_fraction: float


class Partition:
    """The number of targets for long prompts.

    Attributes:
        count: That number now.
        long: Long work that arrives.
        short: Short work that arrives.
    """

    def __init__(self, now: float) -> None:
        self.count = 0
        self.long = RateMeter(now)
        self.short = RateMeter(now)
        self._next_shrink = now

    def update(self, load: PartitionLoad, now: float) -> int:
        """Follows the load; returns the number of targets for long prompts."""
        weight = load.first_token_weight
        utilisation = SHORT_UTILISATION + weight * SHORT_UTILISATION_SPAN
        short = self.short.rate(now)
        most = min(
            load.targets - short / utilisation,
            load.targets * load.most_fraction,
        )
        span = MOST_HORIZON_SECONDS - LEAST_HORIZON_SECONDS
        horizon = MOST_HORIZON_SECONDS - span * weight
        need = self.long.rate(now) / LONG_UTILISATION
        need += load.long_work / horizon + load.due_rate
        if load.deferrable_work > 0:
            # Deferrable work takes what short work leaves idle.
            idle = load.targets - short / IDLE_UTILISATION
            need = max(need, min(idle, need + load.deferrable_work / horizon))
        if need > 0:
            most = max(1.0, most)
        need = min(need, max(0.0, most), float(load.targets))
        return self._follow(math.ceil(need - 1e-9), need, load.targets, now)

    def _follow(
        self, wanted: int, need: float, targets: int, now: float
    ) -> int:
        if wanted >= self.count:
            self.count = wanted
            self._next_shrink = now + SHRINK_INTERVAL_SECONDS
        elif now >= self._next_shrink and need < self.count - 1 + SHRINK_MARGIN:
            self.count -= 1
            self._next_shrink = now + SHRINK_INTERVAL_SECONDS
        self.count = min(self.count, targets)
        return self.count
