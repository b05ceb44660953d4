"""Costs of the delays that a placement causes.

Costs are relative to the weight of a request of mean length.
"""

from typing import Iterable, Mapping, Sequence

from catkintrail.core import engine_cost
from catkintrail.core import route_table
from catkintrail.core import target_health
from catkintrail.core.scheduling import engine_state
from catkintrail.core.scheduling import stream_demand

__all__ = [
    "EngineCosts",
    "FIRST_STREAM_COST",
    "FIRST_TOKEN_GOAL_SHARE",
    "HELPER_COST",
    "LATE_COST",
    "OTHER_ZONE_COST",
    "WITHIN_GOAL_COST",
    "Reservation",
    "delay_cost",
    "find_harmed",
    "opening_cost",
    "own_gap_cost",
    "suspicion_cost",
    "usage_cost",
]

# Cost of a late answer or a stream with too long an event gap, as a share of
# the request's weight: the users' measure credits late answers with a quarter.
LATE_COST = 0.75
# How much more the delay of a request counts that is more urgent than the one
# placed: no kind of request may be served worse than a less urgent one.
URGENT_FACTOR = 4.0
# A predicted event gap counts as too long above this share of the goal, because
# predictions do not include network transit time.
GAP_GOAL_SHARE = 0.85
# Event gap at which callers of the shortest streams disconnect, as specified by
# the platform.
CALLER_TIMEOUT_GAP_MS = 2_000.0
# The first event is planned for this share of its goal, because predictions do
# not include network transit time.
FIRST_TOKEN_GOAL_SHARE = 0.8
# Cost of a delay as long as the goal, and less for shorter delays, so that the
# sooner of two answers in time is preferred. It does not grow with the weight
# of requests heavier than the mean: callers gain little from an earlier first
# event, and streams on the additional engines would be late.
WITHIN_GOAL_COST = 0.15
# Cost, on top of `LATE_COST`, of each further delay as long as the goal.
OVERDUE_COST_SLOPE = 0.25
# Limit of the cost that grows with lateness: the remaining value of a late
# answer.
MAX_OVERDUE_COST = 0.5
# Cost of each helper, relative to a request of mean length: transferring its
# part disturbs the other requests of the engine.
HELPER_COST = 0.02
# Cost of the first stream on an engine; each further one costs less, and the
# last free slot nothing. Streams thus gather on few engines, and the others
# become free for long prompts, whose prefill would delay streams.
FIRST_STREAM_COST = 0.12
# Share of that difference on engines of other availability zones.
OTHER_ZONE_GATHERING_SHARE = 0.5
# Cost of an engine in another availability zone, for traffic between zones.
OTHER_ZONE_COST = 0.03
# Cost of each request beyond the engine's slots, which waits for another
# request to end.
QUEUED_COST = 1.0
# Cost of another request on a suspect engine before its next first token has
# arrived.
SUSPECT_COST = 0.5


def delay_cost(
    delay_ms: float, demand: engine_state.RequestDemand, weight: float
) -> float:
    """Returns the cost of a time to the first event from now.

    Args:
        delay_ms: The time.
        demand: The request.
        weight: Weight of the request.
    """
    return _lateness_cost(demand.elapsed_ms + delay_ms, demand.goal_ms, weight)


def _lateness_cost(first_ms: float, goal_ms: float, weight: float) -> float:
    share = first_ms / (goal_ms * FIRST_TOKEN_GOAL_SHARE)
    early_cost = WITHIN_GOAL_COST * min(1.0, weight)
    if share <= 1.0:
        return early_cost * share * share
    lateness = min(1.0, (share - 1.0) * 4.0)
    overdue_cost = min(MAX_OVERDUE_COST, OVERDUE_COST_SLOPE * (share - 1.0))
    return early_cost + weight * (LATE_COST * lateness + overdue_cost)


def own_gap_cost(
    engine: engine_state.EngineState,
    stream_pass_ms: float,
    demand: engine_state.RequestDemand,
) -> float:
    """Returns the cost of too long event gaps, as a share of the weight."""
    gap_ms = max(engine.pass_ms, stream_pass_ms * engine.slowness)
    is_late = gap_ms > demand.gap_goal_ms * GAP_GOAL_SHARE
    return LATE_COST if demand.gap_goal_ms and is_late else 0.0


def opening_cost(
    engine: engine_state.EngineState, has_local_engines: bool
) -> float:
    """Returns the cost of another stream on an engine.

    Streams are not gathered on slow engines. On engines of other zones, whose
    coordinators may fill the same slots at the same time, they are gathered
    less, only up to half of the slots, and only if this zone has none. Requests
    without a first token do not count, because several prompts that start
    together on an engine would delay each other.
    """
    slow_share = 1.0 - 1.0 / engine.slowness
    used_share = 0.0
    slots = max(1, engine.target.slots)
    has_room = engine.is_local or (
        not has_local_engines and 2 * len(engine.attempts) <= slots
    )
    if has_room and not engine.queued_requests and not engine.is_suspect:
        streams = sum(attempt.is_decoding for attempt in engine.attempts)
        used_share = streams / slots
        if not engine.is_local:
            used_share *= OTHER_ZONE_GATHERING_SHARE
    return FIRST_STREAM_COST * (slow_share + max(0.0, 1.0 - used_share))


def suspicion_cost(engine: engine_state.EngineState) -> float:
    """Returns the cost of a slow engine, as a share of the weight.

    All engines of a divided prompt wait for the slowest. Short prompts show
    sooner and at less cost whether a slow engine is fast again.
    """
    doubt = (engine.slowness - 1.0) / (target_health.SUSPECT_SLOWNESS - 1.0)
    return LATE_COST * min(1.0, doubt)


def usage_cost(engine: engine_state.EngineState) -> float:
    """Returns the cost of using an engine, whatever the request."""
    cost = engine.penalty + QUEUED_COST * engine.queued_requests
    if engine.is_suspect and any(
        not attempt.is_decoding for attempt in engine.attempts
    ):
        cost += SUSPECT_COST
    if not engine.is_local:
        cost += OTHER_ZONE_COST
    return cost


class EngineCosts:
    """Costs of the parts of a prompt on one engine.

    What does not depend on the size of the parts is computed once.

    Attributes:
        engine: The engine.
    """

    def __init__(
        self,
        engine: engine_state.EngineState,
        demand: engine_state.RequestDemand,
        weight: float,
        stream_pass_ms: float,
        goals: Mapping[float, float],
        now: float,
        has_local_engines: bool,
    ) -> None:
        """Initializes the costs.

        Args:
            engine: The engine.
            demand: The demand of the request.
            weight: Weight of the request.
            stream_pass_ms: Duration of a pass that decodes only this request.
            goals: Goal for the time to the first event, by the goal for gaps.
            now: Time in seconds.
            has_local_engines: Whether engines of the own zone are compared.
        """
        self.engine = engine
        self._demand = demand
        self._weight = weight
        self._usage = usage_cost(engine)
        self._opening = opening_cost(engine, has_local_engines)
        self._opening += weight * own_gap_cost(engine, stream_pass_ms, demand)
        self._suspicion = weight * suspicion_cost(engine)
        self._wait_ms = engine.first_token_ms(0.0)
        self._helper_wait_ms = engine.helper_ready_ms(0.0)
        # Weights of the streams in progress and of the engine's own prompts, by
        # the limit for their gaps.
        self._streams: dict[float, float] = {}
        self._own_prompts: dict[float, float] = {}
        # Times to the first event, goals and weights of all waiting prompts.
        self._waiting: list[tuple[float, float, float]] = []
        for attempt in engine.attempts:
            is_own = attempt.targets[0] == engine.target.name
            if not attempt.is_decoding and attempt.gap_goal_ms in goals:
                end = max(attempt.prefill_end, now)
                first_ms = (end - attempt.placed_at) * 1000.0
                goal_ms = goals[attempt.gap_goal_ms]
                self._waiting.append((first_ms, goal_ms, attempt.weight))
            if not is_own or not attempt.gap_goal_ms:
                continue
            limit_ms = attempt.gap_goal_ms * GAP_GOAL_SHARE
            if not attempt.is_decoding:
                prompt_weight = self._own_prompts.get(limit_ms, 0.0)
                self._own_prompts[limit_ms] = prompt_weight + attempt.weight
                continue
            stream_weight = attempt.weight
            if attempt.gap_goal_ms < demand.gap_goal_ms:
                stream_weight *= URGENT_FACTOR
            self._streams[limit_ms] = (
                self._streams.get(limit_ms, 0.0) + stream_weight
            )

    def first_token_ms(self, part_ms: float) -> float:
        """Returns the time until the engine's own part is prefilled."""
        return self._wait_ms + part_ms * self.engine.slowness

    def helper_ready_ms(self, part_ms: float) -> float:
        """Returns the time until a part for another engine is prefilled."""
        return self._helper_wait_ms + part_ms * self.engine.slowness

    def primary_cost(
        self, part_ms: float, pass_prefill_ms: float, parts: int
    ) -> float:
        """Returns the cost of answering the request.

        Args:
            part_ms: Prefill time of a part.
            pass_prefill_ms: Longest prefill time of a part in one pass.
            parts: Number of parts.
        """
        cost = self._usage + self._opening
        if parts > 1:
            cost += self._suspicion
        cost += delay_cost(
            self.first_token_ms(part_ms), self._demand, self._weight
        )
        gap_ms = self.engine.pass_ms + pass_prefill_ms * self.engine.slowness
        # The streams of waiting prompts start before this one is prefilled.
        for limit_ms, weight in self._own_prompts.items():
            if gap_ms > limit_ms:
                cost += weight * LATE_COST
        return cost + self._stream_cost(part_ms, pass_prefill_ms)

    def helper_cost(self, part_ms: float, pass_prefill_ms: float) -> float:
        """Returns the cost of prefilling a part for another engine.

        The part precedes the engine's own prompts, which become later.

        Args:
            part_ms: Prefill time of a part.
            pass_prefill_ms: Longest prefill time of a part in one pass.
        """
        cost = self._usage + self._stream_cost(part_ms, pass_prefill_ms)
        delay_ms = part_ms * self.engine.slowness
        for first_ms, goal_ms, weight in self._waiting:
            cost += _lateness_cost(first_ms + delay_ms, goal_ms, weight)
            cost -= _lateness_cost(first_ms, goal_ms, weight)
        return cost

    def helper_delay_cost(self, part_ms: float, parts: int) -> float:
        """Returns the share of a helper in the cost of the request's delay."""
        ready_ms = self.helper_ready_ms(part_ms)
        cost = delay_cost(ready_ms, self._demand, self._weight)
        return cost / parts + self._suspicion

    def _stream_cost(self, part_ms: float, pass_prefill_ms: float) -> float:
        if not self._streams:
            return 0.0
        engine = self.engine
        before_ms = engine.pass_ms + min(engine.backlog_ms, part_ms)
        after_ms = engine.pass_ms + pass_prefill_ms * engine.slowness
        cost = 0.0
        for limit_ms, weight in self._streams.items():
            if after_ms > CALLER_TIMEOUT_GAP_MS:
                cost += weight
            elif after_ms > limit_ms:
                cost += weight * LATE_COST
            elif before_ms + pass_prefill_ms > limit_ms:
                cost += weight * LATE_COST * 0.5
        return cost


def find_harmed(
    figures: route_table.EngineFigures,
    expected: Iterable[stream_demand.ExpectedStreams],
    part_ms: float,
    pass_prefill_ms: float,
) -> list[stream_demand.ExpectedStreams]:
    """Returns the streams that the prefill of a part would make late.

    Args:
        figures: Published figures of the engines.
        expected: The streams that are expected.
        part_ms: Prefill time of the part.
        pass_prefill_ms: Longest prefill time of the part in one pass.
    """
    pass_ms = engine_cost.decode_pass_ms(figures, 1, 0)
    return [
        kind
        for kind in expected
        if kind.gap_goal_ms * GAP_GOAL_SHARE < pass_ms + pass_prefill_ms
        or kind.goal_ms * FIRST_TOKEN_GOAL_SHARE < part_ms
    ]


class Reservation:
    """Costs of a prefill to streams that will start meanwhile.

    The slots of an engine that prefills a part are of no use to streams that
    the prefill would make late. The cost is that of the streams that are
    expected to find no other slot.
    """

    def __init__(
        self,
        engines: Sequence[engine_state.EngineState],
        figures: route_table.EngineFigures,
        expected: Iterable[stream_demand.ExpectedStreams],
        part_ms: float,
        pass_prefill_ms: float,
        gap_goal_ms: float,
    ) -> None:
        """Initializes the costs of the parts of a prompt.

        Args:
            engines: The engines compared.
            figures: Published figures of the engines.
            expected: The streams that are expected.
            part_ms: Prefill time of a part.
            pass_prefill_ms: Longest prefill time of a part in one pass.
            gap_goal_ms: Goal for the gaps of the prompt's answer.
        """
        self._harmed = find_harmed(figures, expected, part_ms, pass_prefill_ms)
        self._part_ms = part_ms
        self._slots: dict[str, int] = {}
        self._cost_per_stream = 0.0
        self._cost_of_slots: dict[int, float] = {}
        arrivals = sum(kind.arrivals_per_s for kind in self._harmed)
        if arrivals:
            weight = 0.0
            for kind in self._harmed:
                is_urgent = kind.gap_goal_ms < gap_goal_ms
                factor = URGENT_FACTOR if is_urgent else 1.0
                weight += kind.arrivals_per_s * kind.weight * factor
            self._cost_per_stream = LATE_COST * weight / arrivals
            goal_ms = min(kind.goal_ms for kind in self._harmed)
            self._slots = {
                engine.target.name: engine.free_slots
                for engine in engines
                if engine.free_slots
                and not engine.is_suspect
                and engine.first_token_ms(0.0)
                <= goal_ms * FIRST_TOKEN_GOAL_SHARE
            }
        self._usable = sum(self._slots.values())

    def cost(self, engine: engine_state.EngineState) -> float:
        """Returns the cost of prefilling a part on an engine."""
        slots = self._slots.get(engine.target.name, 0)
        if not slots:
            return 0.0
        if slots not in self._cost_of_slots:
            self._cost_of_slots[slots] = self._cost_per_stream * (
                self._shortage(self._usable - slots)
                - self._shortage(self._usable)
            )
        return self._cost_of_slots[slots]

    def take(self, engine: engine_state.EngineState) -> bool:
        """Counts the slots of an engine as taken.

        Returns:
            Whether the costs of other engines changed.
        """
        slots = self._slots.pop(engine.target.name, 0)
        self._usable -= slots
        self._cost_of_slots.clear()
        return slots > 0

    def _shortage(self, slots: int) -> float:
        return stream_demand.expected_shortage(
            self._harmed, slots, self._part_ms / 1000.0
        )
