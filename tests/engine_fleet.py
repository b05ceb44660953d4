"""Simulates engines in virtual time, from their published figures.

An engine works in passes. A pass without streams is a single step. A pass with
streams has `steps_per_pass` steps and ends with an event of each stream. Each
step prefills at most one chunk of tokens.
"""

import heapq
import itertools
import random
from typing import NamedTuple

from catkintrail.core import engine_cost
from catkintrail.core import request_router
from tests import relaying as builders

FIGURES = builders.FIGURES


class Arrival(NamedTuple):
    """A request of the load.

    Attributes:
        at: Time of arrival, in seconds.
        tokens: Length of the prompt.
        events: Number of events of the answer.
        goal_ms: Goal for the time to the first event.
        gap_ms: Goal for the longest gap between events.
    """

    at: float
    tokens: int
    events: int
    goal_ms: float
    gap_ms: float


class Outcome(NamedTuple):
    """The result of a request.

    Attributes:
        arrival: The request.
        first_ms: Time to the first event.
        gap_ms: Longest gap between events.
    """

    arrival: Arrival
    first_ms: float
    gap_ms: float

    @property
    def meets_goals(self):
        return (
            self.first_ms <= self.arrival.goal_ms
            and self.gap_ms <= self.arrival.gap_ms
        )


def make_load(seconds, question_rate, draft_rate, review_rate, seed):
    """Returns a random load of questions, drafts and reviews.

    Args:
        seconds: Duration of the load.
        question_rate: Questions per second: short prompts.
        draft_rate: Drafts per second: medium prompts.
        review_rate: Reviews per second: long prompts.
        seed: Seed of the random numbers.
    """
    rng = random.Random(seed)
    load = []
    for rate, mean, spread, max_tokens, events, goal, max_gap in (
        (question_rate, 4_960, 0.9, 23_800, 35, 300.0, 200.0),
        (draft_rate, 45_000, 0.5, 110_000, 21, 1_500.0, 500.0),
        (review_rate, 210_000, 0.55, 420_000, 17, 3_000.0, 800.0),
    ):
        now = 0.0
        while rate and (now := now + rng.expovariate(rate)) < seconds:
            size = mean * rng.lognormvariate(-spread * spread / 2, spread)
            tokens = int(min(max_tokens, max(100, size)))
            count = max(2, int(events * rng.lognormvariate(-0.2, 0.6)))
            load.append(Arrival(now, tokens, count, goal, max_gap))
    return sorted(load)


class _Part:
    """The part of a prompt that one engine prefills."""

    def __init__(self, job, tokens, cost_ms):
        self.job = job
        self.tokens = tokens
        self.ms_per_token = cost_ms / max(1, tokens)


class _Job:
    """A request in progress, with its times so far."""

    def __init__(self, key, arrival, parts):
        self.key = key
        self.arrival = arrival
        self.parts_left = parts
        self.first_at = 0.0
        self.last_at = 0.0
        self.max_gap = 0.0
        self.events = 0


class Slowdown(NamedTuple):
    """A time during which some engines are slow.

    Attributes:
        names: Names of the engines.
        factor: How many times longer their passes take.
        start: When they turn slow, in seconds.
        end: When they recover, in seconds.
    """

    names: frozenset
    factor: float
    start: float
    end: float


NO_SLOWDOWN = Slowdown(frozenset(), 1.0, 0.0, 0.0)


class _SimulatedEngine:
    """Queued parts and running streams of one engine."""

    def __init__(self, name, slowdown):
        self.name = name
        self.slowdown = slowdown
        self.parts = []
        self.streams = []
        self.is_busy = False

    def factor(self, now):
        """Returns how many times longer a pass takes than published."""
        slowdown = self.slowdown
        is_slow = slowdown.start <= now < slowdown.end
        return slowdown.factor if is_slow and self.name in slowdown.names else 1


class SimulatedFleet:
    """Runs requests on simulated engines.

    Attributes:
        engines: The engines, by name.
        place: Placement function; called with the key, arrival and time of a
            request, returns the names of its engines.
        on_first: Called with the key and time of each first token.
        on_end: Called with the key and time of each end of a request.
        outcomes: Results of the requests that have ended.
    """

    def __init__(self, names, place, on_first, on_end, slowdown=NO_SLOWDOWN):
        self.engines = {
            name: _SimulatedEngine(name, slowdown) for name in names
        }
        self.place = place
        self.on_first = on_first
        self.on_end = on_end
        self.outcomes = []
        self._queue = []
        self._order = itertools.count()

    def simulate(self, load):
        """Runs a load until all requests have ended; returns the outcomes."""
        for number, arrival in enumerate(load):
            self._schedule(arrival.at, self._arrive, f"k{number}", arrival)
        while self._queue:
            now, _, function, arguments = heapq.heappop(self._queue)
            function(now, *arguments)
        return self.outcomes

    def _schedule(self, when, function, *arguments):
        entry = (when, next(self._order), function, arguments)
        heapq.heappush(self._queue, entry)

    def _arrive(self, now, key, arrival):
        names = self.place(key, arrival, now)
        job = _Job(key, arrival, len(names))
        cost = engine_cost.prefill_ms(FIGURES, arrival.tokens) / len(names)
        tokens = arrival.tokens // len(names)
        for index, name in enumerate(names):
            engine = self.engines[name]
            part = _Part((job, names[0]), tokens, cost)
            # Parts prefilled for another engine precede the engine's own.
            engine.parts.insert(0 if index else len(engine.parts), part)
            if not engine.is_busy:
                self._start_pass(now, engine)

    def _start_pass(self, now, engine):
        """Starts the next pass of an engine."""
        if not engine.parts and not engine.streams:
            engine.is_busy = False
            return
        engine.is_busy = True
        steps = FIGURES.steps_per_pass if engine.streams else 1
        token_budget = steps * FIGURES.prefill_chunk_tokens
        length = steps * FIGURES.step_ms
        finished_parts = []
        for part in list(engine.parts):
            taken = min(token_budget, part.tokens)
            token_budget -= taken
            part.tokens -= taken
            length += taken * part.ms_per_token
            if part.tokens:
                break
            engine.parts.remove(part)
            finished_parts.append(part)
        self._schedule(
            now + length * engine.factor(now) / 1000.0,
            self._finish_pass,
            engine,
            finished_parts,
            list(engine.streams),
        )

    def _finish_pass(self, now, engine, finished_parts, streams):
        for job in streams:
            self._emit_event(now, engine, job)
        for part in finished_parts:
            job, primary = part.job
            job.parts_left -= 1
            if not job.parts_left:
                job.first_at = job.last_at = now
                job.events = 1
                self.engines[primary].streams.append(job)
                self.on_first(job.key, now)
                if not self.engines[primary].is_busy:
                    self._start_pass(now, self.engines[primary])
        self._start_pass(now, engine)

    def _emit_event(self, now, engine, job):
        job.max_gap = max(job.max_gap, now - job.last_at)
        job.last_at = now
        job.events += 1
        if job.events >= job.arrival.events:
            engine.streams.remove(job)
            self.on_end(job.key, now)
            first_ms = (job.first_at - job.arrival.at) * 1000.0
            self.outcomes.append(
                Outcome(job.arrival, first_ms, job.max_gap * 1000.0)
            )


class Placed(NamedTuple):
    """A placement of the router.

    Attributes:
        at: Time of the placement, in seconds.
        names: Names of the engine that answers and of its helpers.
    """

    at: float
    names: tuple


def simulate_router(load, engines, slowdown=NO_SLOWDOWN, placed=None):
    """Runs a load with the router's placement; returns the outcomes.

    Args:
        load: The requests.
        engines: Number of engines.
        slowdown: When which engines are slow.
        placed: List to which all placements are added.
    """
    targets = [builders.make_target(f"e-{n}") for n in range(engines)]
    router = builders.make_router(targets, now=0.0, revocation_seconds=0.0)
    placements = {}

    def place(key, arrival, now):
        router.fleet_state.configuration.proven_at = now
        admission = router.admit("wells.example", "/ask/a", "key-1", now)
        route = admission.route._replace(
            goal_ms=arrival.goal_ms, gap_goal_ms=arrival.gap_ms
        )
        placement = router.place(
            request_router.PlacementRequest(
                key,
                admission._replace(route=route),
                arrival.tokens,
                arrival.events * FIGURES.steps_per_pass,
                0.0,
                frozenset(),
                False,
            ),
            now,
        )
        placements[key] = (placement, now)
        names = [placement.target.name] + [h.name for h in placement.helpers]
        if placed is not None:
            placed.append(Placed(now, tuple(names)))
        return names

    def on_first(key, now):
        placement, placed_at = placements[key]
        measured_ms = (now - placed_at) * 1000.0
        router.record_first_token(key, measured_ms, placement.predicted_ms, now)

    def on_end(key, now):
        name = placements[key][0].target.name
        router.record_attempt_end(key, name, True, False, False, now)

    names = [t.name for t in targets]
    fleet = SimulatedFleet(names, place, on_first, on_end, slowdown)
    return fleet.simulate(load)


def simulate_least_outstanding(load, engines):
    """Runs a load with least-outstanding-requests placement as a baseline."""
    running = {f"e-{n}": 0 for n in range(engines)}
    names = {}

    def place(key, arrival, now):
        name = min(running, key=running.get)
        running[name] += 1
        names[key] = name
        return [name]

    def on_end(key, now):
        running[names[key]] -= 1

    fleet = SimulatedFleet(list(running), place, lambda key, now: None, on_end)
    return fleet.simulate(load)


def goal_attainment(outcomes):
    """Returns the shares of questions, drafts and reviews that met goals."""
    shares = []
    for goal in (300.0, 1_500.0, 3_000.0):
        kind = [o for o in outcomes if o.arrival.goal_ms == goal]
        shares.append(sum(o.meets_goals for o in kind) / max(1, len(kind)))
    return shares
