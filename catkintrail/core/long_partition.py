"""Number of a pool's targets that prefill long prompts at a time.

A prefill in progress slows every answer on the same engine. Therefore only some
targets prefill long prompts at a time, and short requests avoid these targets
as far as capacity allows. The number of these targets suffices for the long
work that arrives and, within a horizon, for the long work that waits, but does
not exceed what short work leaves free.

Work with a distant deadline counts only at the rate that its deadlines require,
and otherwise uses idle targets. Scheduling deadline-flexible jobs into periods
of low load follows Joe-Wong, Kamitsos and Ha, "Inter-datacenter job routing and
scheduling with variable costs and deadlines", 2015.

The number grows immediately and shrinks with hysteresis. Separating requests by
size follows Harchol-Balter, Crovella and Murta, "On choosing a task assignment
policy for a distributed server system", 1999.
"""

import math
from typing import NamedTuple

__all__ = ["Partition", "PartitionLoad", "RateMeter"]

RATE_TIME_CONSTANT_SECONDS = 60.0
LONG_UTILISATION = 0.85
# Largest planned utilisation of the targets for short requests. The range is
# added in proportion to the weight of the first token of long prompts.
SHORT_UTILISATION = 0.4
SHORT_UTILISATION_RANGE = 0.35
SHORT_UTILISATION_WITH_DEFERRABLE = 0.5
MIN_HORIZON_SECONDS = 1.0
MAX_HORIZON_SECONDS = 5.0
SHRINK_MARGIN_TARGETS = 0.5
SHRINK_INTERVAL_SECONDS = 5.0


class RateMeter:
    """Exponentially decaying rate of work, in target seconds per second."""

    def __init__(self, now: float) -> None:
        self.total = 0.0
        self.started_at = now
        self.updated_at = now

    def add(self, work: float, now: float) -> None:
        """Adds work that has arrived."""
        self._decay(now)
        self.total += work

    def rate(self, now: float) -> float:
        """Returns the rate, corrected for the short history of a new meter."""
        self._decay(now)
        age = max(1.0, now - self.started_at)
        span = RATE_TIME_CONSTANT_SECONDS * (
            1.0 - math.exp(-age / RATE_TIME_CONSTANT_SECONDS)
        )
        return self.total / span

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.total *= math.exp(-elapsed / RATE_TIME_CONSTANT_SECONDS)


class PartitionLoad(NamedTuple):
    """Load that determines the number of targets for long prompts.

    Attributes:
        targets: Number of targets that take requests.
        long_work: Target seconds of waiting long work.
        deferrable_work: Target seconds of waiting deferrable work.
        required_targets: Number of targets that the deferrable work needs to
            finish well before its deadlines.
        first_token_weight: 1 favours an early start of long prompts, 0 fast
            short requests.
        max_fraction: Largest number for long prompts, as a fraction of the
            targets.
    """

    targets: int
    long_work: float
    deferrable_work: float
    required_targets: float
    first_token_weight: float
    max_fraction: float


class Partition:
    """Computes the number of targets for long prompts.

    Attributes:
        count: The current number.
        long: Rate at which long work arrives.
        short: Rate at which short work arrives.
    """

    def __init__(self, now: float) -> None:
        self.count = 0
        self.long = RateMeter(now)
        self.short = RateMeter(now)
        self._next_shrink = now

    def update(self, load: PartitionLoad, now: float) -> int:
        """Updates and returns the number of targets for long prompts."""
        weight = load.first_token_weight
        utilisation = SHORT_UTILISATION + weight * SHORT_UTILISATION_RANGE
        short = self.short.rate(now)
        max_count = min(
            load.targets - short / utilisation,
            load.targets * load.max_fraction,
        )
        span = MAX_HORIZON_SECONDS - MIN_HORIZON_SECONDS
        horizon = MAX_HORIZON_SECONDS - span * weight
        needed = self.long.rate(now) / LONG_UTILISATION
        needed += load.long_work / horizon + load.required_targets
        if load.deferrable_work > 0:
            # Deferrable work may use the targets that short work leaves idle.
            idle_count = (
                load.targets - short / SHORT_UTILISATION_WITH_DEFERRABLE
            )
            needed = max(
                needed, min(idle_count, needed + load.deferrable_work / horizon)
            )
        if needed > 0:
            max_count = max(1.0, max_count)
        needed = min(needed, max(0.0, max_count), float(load.targets))
        return self._apply_hysteresis(
            math.ceil(needed - 1e-9), needed, load.targets, now
        )

    def _apply_hysteresis(
        self, needed_count: int, needed: float, targets: int, now: float
    ) -> int:
        if needed_count >= self.count:
            self.count = needed_count
            self._next_shrink = now + SHRINK_INTERVAL_SECONDS
        elif (
            now >= self._next_shrink
            and needed < self.count - 1 + SHRINK_MARGIN_TARGETS
        ):
            self.count -= 1
            self._next_shrink = now + SHRINK_INTERVAL_SECONDS
        self.count = min(self.count, targets)
        return self.count
