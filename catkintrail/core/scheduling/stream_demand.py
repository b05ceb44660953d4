"""Predicts how many streams will start while a prompt is prefilled.

Streams with the same goals are one kind. Their arrival rate follows the last
seconds, so that the free places kept for them grow and shrink with the load.
"""

import math
from typing import Iterable, NamedTuple

from catkintrail.core.scheduling import engine_state

__all__ = [
    "ExpectedStreams",
    "StreamDemand",
    "count_streams",
    "expected_shortage",
]

# Time constant of the arrival rate. Bursts last some seconds.
RATE_SECONDS = 1.0
# Time constant of the mean duration of streams.
DURATION_SECONDS = 10.0
# A kind is forgotten when its weighted number of arrivals falls below this.
FORGOTTEN_ARRIVALS = 0.01
# Least duration of a stream; a new kind has none in progress yet.
MIN_DURATION_SECONDS = 0.1


class ExpectedStreams(NamedTuple):
    """Streams of one kind that are expected to start.

    Attributes:
        goal_ms: Goal for the time to the first event.
        gap_goal_ms: Goal for the longest gap between events.
        weight: Mean weight of a request.
        arrivals_per_s: Rate of arrival.
        ends_per_s: Rate at which the present streams end.
    """

    goal_ms: float
    gap_goal_ms: float
    weight: float
    arrivals_per_s: float
    ends_per_s: float


class _Kind:
    """Arrivals of one kind, as sums that decay with time.

    Attributes:
        started_at: Time of the first arrival, in seconds.
        updated_at: Time of the last update, in seconds.
        arrivals: Number of arrivals, for their present rate.
        slow_arrivals: Number of arrivals, for mean values.
        running: Number of streams in progress, summed over the arrivals.
        weight: Weight of the requests that arrived.
    """

    def __init__(self, now: float) -> None:
        self.started_at = now
        self.updated_at = now
        self.arrivals = 0.0
        self.slow_arrivals = 0.0
        self.running = 0.0
        self.weight = 0.0

    def decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.updated_at = max(self.updated_at, now)
        self.arrivals *= math.exp(-elapsed / RATE_SECONDS)
        slow = math.exp(-elapsed / DURATION_SECONDS)
        self.slow_arrivals *= slow
        self.running *= slow
        self.weight *= slow

    def rate(self, now: float) -> float:
        return self.arrivals / _span(RATE_SECONDS, now - self.started_at)

    def duration(self, now: float) -> float:
        """Returns the mean duration of a stream, in seconds.

        By Little's law it is the mean number of streams, as seen by arrivals,
        divided by their rate.
        """
        span = _span(DURATION_SECONDS, now - self.started_at)
        return self.running * span / max(1.0, self.slow_arrivals) ** 2


def _span(constant: float, age: float) -> float:
    return constant * (1.0 - math.exp(-max(age, 0.1 * constant) / constant))


def count_streams(
    engines: Iterable[engine_state.EngineState],
) -> dict[float, int]:
    """Returns the number of requests in progress, by their goal for gaps."""
    counts: dict[float, int] = {}
    for engine in engines:
        for attempt in engine.attempts:
            if attempt.targets[0] == engine.target.name:
                gap_goal_ms = attempt.gap_goal_ms
                counts[gap_goal_ms] = counts.get(gap_goal_ms, 0) + 1
    return counts


class StreamDemand:
    """Arrivals of streams at one coordinator, by their goals."""

    def __init__(self) -> None:
        self._kinds: dict[tuple[float, float], _Kind] = {}

    def record(
        self,
        goal_ms: float,
        gap_goal_ms: float,
        weight: float,
        running: int,
        now: float,
    ) -> None:
        """Records the arrival of a request.

        Args:
            goal_ms: Goal for the time to the first event.
            gap_goal_ms: Goal for the longest gap between events.
            weight: Weight of the request.
            running: Number of streams of this kind in progress.
            now: Time in seconds.
        """
        kind = self._kinds.setdefault((goal_ms, gap_goal_ms), _Kind(now))
        kind.decay(now)
        kind.arrivals += 1.0
        kind.slow_arrivals += 1.0
        kind.running += running
        kind.weight += weight

    def durations(self, now: float) -> dict[float, float]:
        """Returns the mean durations of requests, by their goal for gaps.

        Args:
            now: Time in seconds.

        Returns:
            Seconds from the placement of a request to its end.
        """
        found = {}
        for (_, gap_goal_ms), kind in self._kinds.items():
            kind.decay(now)
            found[gap_goal_ms] = kind.duration(now)
        return found

    def expect(
        self, engines: Iterable[engine_state.EngineState], now: float
    ) -> list[ExpectedStreams]:
        """Returns the streams expected on some engines.

        Other coordinators place streams on engines of other zones at a rate
        that is not known here. There, as many are expected to start as end.

        Args:
            engines: The engines.
            now: Time in seconds.
        """
        running_near = count_streams(e for e in engines if e.is_local)
        running_far = count_streams(e for e in engines if not e.is_local)
        expected = []
        for (goal_ms, gap_goal_ms), kind in list(self._kinds.items()):
            kind.decay(now)
            if kind.slow_arrivals < FORGOTTEN_ARRIVALS:
                del self._kinds[goal_ms, gap_goal_ms]
                continue
            near = running_near.get(gap_goal_ms, 0)
            far = running_far.get(gap_goal_ms, 0)
            duration = max(MIN_DURATION_SECONDS, kind.duration(now))
            expected.append(
                ExpectedStreams(
                    goal_ms,
                    gap_goal_ms,
                    kind.weight / kind.slow_arrivals,
                    kind.rate(now) + far / duration,
                    (near + far) / duration,
                )
            )
        return expected


def expected_shortage(
    kinds: Iterable[ExpectedStreams], free_slots: float, seconds: float
) -> float:
    """Returns how many streams will probably find no free slot.

    The change of the number of streams is taken as normally distributed.

    Args:
        kinds: The streams that are expected.
        free_slots: Number of free slots.
        seconds: Time for which no further slots become usable.
    """
    mean = variance = 0.0
    for kind in kinds:
        mean += (kind.arrivals_per_s - kind.ends_per_s) * seconds
        variance += (kind.arrivals_per_s + kind.ends_per_s) * seconds
    deviation = math.sqrt(variance)
    excess = mean - free_slots
    if deviation == 0.0:
        return max(0.0, excess)
    ratio = excess / deviation
    density = math.exp(-ratio * ratio / 2.0) / math.sqrt(2.0 * math.pi)
    share = 0.5 * (1.0 + math.erf(ratio / math.sqrt(2.0)))
    return deviation * density + excess * share
