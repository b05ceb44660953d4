"""Compares the response times of a service's targets with each other.

Times are kept as logarithms, so that a target that is slower by a factor
differs by the same amount for small and for large requests. A difference counts
only beyond the uncertainty that the mix of requests causes.
"""

import collections
import math
from typing import NamedTuple, Sequence

__all__ = ["Estimate", "PeerTimes", "UNKNOWN"]

# Times at a target are kept apart by its number of requests, in this many
# equal bands up to its slots.
BANDS = 4
# Number of measurements that an average reflects, and the time after which an
# old measurement has lost most of its weight.
MAX_WEIGHT = 5.0
WEIGHT_SECONDS = 3.0
# Weight of a reliable average of the times with few requests.
BASE_WEIGHT = 3.0
# A difference counts beyond this many standard errors.
STANDARD_ERRORS = 1.5
STRAIN_STANDARD_ERRORS = 2.5
# Each time is also ranked among the last ones of the peers. The ranks of so
# many last times together have to be less likely than this by chance (Fisher's
# method), or else a target that happens to get large requests would seem slow.
RANKED_PEERS = 128
RANK_COUNTS = (3, 6, 12)
MAX_CHANCE = 0.0002
# A time that includes a wait in the target's queue is used if the target has
# had no other for this long.
QUEUED_TIME_SECONDS = 2.0
# Spread of the logarithm of single times: before the first measurements, least,
# and the largest deviation that one measurement contributes. A target that
# changes its speed must not widen the spread of all.
FIRST_SPREAD = 0.3
MIN_SPREAD = 0.1
MAX_DEVIATION = 1.4
SPREAD_GAIN = 0.02
# Ratio of the standard deviation to the mean absolute deviation of a normal
# distribution.
STANDARD_PER_MEAN_DEVIATION = 1.25
# Times that exceed the peers' by less than the first factor, or those with few
# requests by less than the second, count as equal.
MIN_SLOWNESS = 1.3
MIN_STRAIN = 1.5
MAX_SLOWNESS = 20.0
# An estimate holds for the first time without measurements and then fades over
# the second. Trials renew it earlier if there are callers.
HOLD_SECONDS = 10.0
FADE_SECONDS = 20.0
# The number of requests that a target handles well rises again from the first
# time after the last slow measurement above it, over the second.
STRAIN_HOLD_SECONDS = 2.0
STRAIN_FADE_SECONDS = 6.0
# How long a computed estimate or reference is used.
CACHE_SECONDS = 0.2
# The slower targets must not count as the normal ones if they are half.
REFERENCE_SHARE = 1 / 3
# A request counts as overdue after the peers' time, this many standard
# deviations longer.
OVERDUE_DEVIATIONS = 3.0
MIN_OVERDUE_SPREAD = 0.2


class Estimate(NamedTuple):
    """What is known of a target's speed.

    Attributes:
        slowness: Ratio of its times to the reference, at least 1.
        comfortable: Number of requests that it handles well.
        strain: Ratio of its times with more requests to those with fewer, at
            least 1.
        measured_at: Time of the last measurement, in seconds.
        slow_ms: The average time that the slowness rests on.
    """

    slowness: float
    comfortable: float
    strain: float
    measured_at: float
    slow_ms: float


UNKNOWN = Estimate(1.0, math.inf, 1.0, -math.inf, 0.0)


class _Band(NamedTuple):
    """Measurements with similar numbers of requests.

    Attributes:
        level: Average of the logarithms of the times.
        weight: Number of measurements that the average reflects.
        measured_at: Time of the last measurement, in seconds.
    """

    level: float
    weight: float
    measured_at: float

    def add(self, level: float, now: float) -> "_Band":
        """Returns the measurements with a new one."""
        weight = min(MAX_WEIGHT, self.fresh_weight(now) + 1.0)
        mean = self.level + (level - self.level) / weight
        return _Band(mean, weight, now)

    def fresh_weight(self, now: float) -> float:
        """Returns the weight that is left of the measurements."""
        age = max(0.0, now - self.measured_at)
        return self.weight * math.exp(-age / WEIGHT_SECONDS)


class _Curve:
    """Averages of one target by its number of requests.

    Attributes:
        slots: Number of requests that the target processes concurrently.
        bands: Averages by number of requests, the fewest first.
        ranks: For the last times, the newest at the end, the negative logarithm
            of the share of the peers' times that are longer.
        measured_at: Time of the last measurement, in seconds.
        estimate: What was computed from these.
        computed_at: Time of that, in seconds.
    """

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.bands: list[_Band | None] = [None] * BANDS
        self.ranks: collections.deque[float] = collections.deque(
            maxlen=RANK_COUNTS[-1]
        )
        self.measured_at = -math.inf
        self.estimate = UNKNOWN
        self.computed_at = -math.inf

    def band_index(self, requests: float) -> int:
        """Returns the band of a number of requests, the new one included."""
        index = int(BANDS * (requests - 1.0) / self.slots)
        return min(BANDS - 1, max(0, index))

    def upper_bound(self, index: int) -> int:
        """Returns the largest number of requests in a band."""
        return max(1, self.slots * (index + 1) // BANDS)

    def base(self, now: float) -> tuple[_Band, int] | None:
        """Returns the average for few requests.

        As many of the lower bands are taken together as are needed for a
        reliable average.

        Returns:
            The average and the highest band of it; None if there is none.
        """
        oldest = now - HOLD_SECONDS - FADE_SECONDS
        total = fresh = weighted = 0.0
        measured_at = -math.inf
        highest = -1
        for index, band in enumerate(self.bands):
            if band is None or band.measured_at < oldest:
                continue
            weight = band.fresh_weight(now)
            fresh += weight
            weighted += weight * band.level
            total += band.weight
            measured_at = max(measured_at, band.measured_at)
            highest = index
            if fresh >= BASE_WEIGHT:
                break
        if highest < 0:
            return None
        weight = min(MAX_WEIGHT, total)
        return _Band(weighted / fresh, weight, measured_at), highest


class PeerTimes:
    """Times of the targets of one service, by name.

    The logarithm of the time that counts as normal may be fixed; otherwise it
    is that of the faster targets.

    Attributes:
        curves: Averages of each target.
        spread: Mean absolute deviation of the logarithm of single times.
    """

    def __init__(self, fixed_reference: float | None = None) -> None:
        self.curves: dict[str, _Curve] = {}
        self.spread = FIRST_SPREAD
        self._fixed_reference = fixed_reference
        self._recent: collections.deque[tuple[str, float]] = collections.deque(
            maxlen=RANKED_PEERS
        )
        self._reference: float | None = None
        self._computed_at = -math.inf

    def record(
        self,
        target: str,
        slots: int,
        requests: float,
        milliseconds: float,
        now: float,
        at_start: float = 0.0,
    ) -> None:
        """Records the time of a request.

        Args:
            target: Name of the target.
            slots: Number of requests that the target processes concurrently.
            requests: Mean number of its requests meanwhile, this one included.
            milliseconds: The time.
            now: Time in seconds.
            at_start: Number of its requests when this one was placed.
        """
        slots = max(1, slots)
        curve = self.curves.get(target)
        if curve is None or curve.slots != slots:
            curve = self.curves[target] = _Curve(slots)
        if at_start > slots:
            # The request waited in the target's own queue, which delayed it by
            # the share of the slots that those before it exceeded.
            if now - curve.measured_at < QUEUED_TIME_SECONDS:
                return
            milliseconds /= at_start / slots
        level = math.log(max(0.1, milliseconds))
        curve.ranks.append(self._rank(target, level))
        self._recent.append((target, level))
        index = curve.band_index(requests)
        band = curve.bands[index]
        if band is None:
            band = _Band(level, 1.0, now)
        else:
            deviation = min(MAX_DEVIATION, abs(level - band.level))
            self.spread += SPREAD_GAIN * (deviation - self.spread)
            band = band.add(level, now)
        curve.bands[index] = band
        curve.measured_at = now
        curve.computed_at = -math.inf

    def estimate(self, target: str, now: float) -> Estimate:
        """Returns what is known of a target."""
        curve = self.curves.get(target)
        if curve is None:
            return UNKNOWN
        if now - curve.computed_at > CACHE_SECONDS:
            curve.estimate = self._compute(curve, now)
            curve.computed_at = now
        return curve.estimate

    def typical_ms(self, now: float) -> float | None:
        """Returns the time that counts as normal; None if it is unknown."""
        reference = self._find_reference(now)
        return None if reference is None else math.exp(reference)

    def overdue_ratio(self, target: str, placed_at: float, now: float) -> float:
        """Returns how slow a target is by a request that it has not answered.

        A large request is not taken for slowness while the target answers
        others.

        Args:
            target: Name of the target.
            placed_at: When its oldest request was placed, in seconds.
            now: Time in seconds.

        Returns:
            The least ratio to the normal time; 1 if nothing is overdue.
        """
        typical_ms = self.typical_ms(now)
        if typical_ms is None:
            return 1.0
        deviation = max(MIN_OVERDUE_SPREAD, self._standard_deviation())
        curve = self.curves.get(target)
        heard_at = curve.measured_at if curve else -math.inf
        age_ms = (now - max(placed_at, heard_at)) * 1000.0
        slowness = self.estimate(target, now).slowness
        late_ms = typical_ms * math.exp(OVERDUE_DEVIATIONS * deviation)
        if age_ms <= late_ms * slowness:
            return 1.0
        return min(MAX_SLOWNESS, age_ms / typical_ms)

    def forget(self, target: str) -> None:
        """Removes what is known of a target."""
        self.curves.pop(target, None)

    def _standard_deviation(self) -> float:
        return max(MIN_SPREAD, self.spread * STANDARD_PER_MEAN_DEVIATION)

    def _find_reference(self, now: float) -> float | None:
        if self._fixed_reference is not None:
            return self._fixed_reference
        if now - self._computed_at > CACHE_SECONDS:
            bases = (curve.base(now) for curve in self.curves.values())
            levels = sorted(base[0].level for base in bases if base)
            self._reference = None
            if levels:
                index = int((len(levels) - 1) * REFERENCE_SHARE)
                self._reference = levels[index]
            self._computed_at = now
        return self._reference

    def _rank(self, target: str, level: float) -> float:
        """Returns the negative logarithm of the share of longer times."""
        longer = equal = others = 0
        for name, other in self._recent:
            if name != target:
                others += 1
                longer += other > level
                equal += other == level
        return -math.log((longer + 0.5 * equal + 0.5) / (others + 1))

    def _compute(self, curve: _Curve, now: float) -> Estimate:
        found = curve.base(now)
        reference = self._find_reference(now)
        if found is None or reference is None:
            return UNKNOWN
        base, highest = found
        deviation = self._standard_deviation() * STANDARD_ERRORS
        slowness = 1.0
        difference = base.level - reference
        error = deviation / math.sqrt(base.weight)
        if difference - error > math.log(MIN_SLOWNESS) and _is_unlikely(
            curve.ranks
        ):
            age = now - base.measured_at - HOLD_SECONDS
            share = max(0.0, 1.0 - max(0.0, age) / FADE_SECONDS)
            ratio = min(MAX_SLOWNESS, math.exp(difference))
            slowness += (ratio - 1.0) * share
        comfortable, strain = self._find_strain(curve, base, highest, now)
        return Estimate(
            slowness,
            comfortable,
            strain,
            curve.measured_at,
            math.exp(base.level),
        )

    def _find_strain(
        self, curve: _Curve, base: _Band, highest: int, now: float
    ) -> tuple[float, float]:
        """Returns the number of requests handled well, and the ratio beyond."""
        deviation = self._standard_deviation() * STRAIN_STANDARD_ERRORS
        oldest = now - STRAIN_HOLD_SECONDS - STRAIN_FADE_SECONDS
        lower = highest
        for index in range(highest + 1, BANDS):
            band = curve.bands[index]
            if band is None or band.measured_at < oldest:
                continue
            difference = band.level - base.level
            error = deviation * math.sqrt(1 / band.weight + 1 / base.weight)
            if difference - error > math.log(MIN_STRAIN):
                age = now - band.measured_at - STRAIN_HOLD_SECONDS
                share = min(1.0, max(0.0, age) / STRAIN_FADE_SECONDS)
                least = curve.upper_bound(lower)
                comfortable = least + (curve.slots - least) * share
                ratio = min(MAX_SLOWNESS, math.exp(difference))
                return comfortable, ratio if share < 1.0 else 1.0
            lower = index
        return float(curve.slots), 1.0


def _is_unlikely(ranks: Sequence[float]) -> bool:
    """Returns whether some last ranks are unlikely to be so high by chance."""
    ranks = tuple(ranks)
    return any(
        _chance(sum(ranks[-count:]), count) < MAX_CHANCE
        for count in RANK_COUNTS
        if count <= len(ranks)
    )


def _chance(total: float, count: int) -> float:
    """Returns how likely exponential variables have at least such a sum."""
    term = share = 1.0
    for number in range(1, count):
        term *= total / number
        share += term
    return math.exp(-total) * share
