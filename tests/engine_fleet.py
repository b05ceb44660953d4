"""Engines in virtual time, by the figures that the users publish.

An engine works in passes. A pass without streams is one step; one with streams
has many steps and ends with an event of each stream. Each step prefills at most
a chunk of tokens.
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
    """A request of a load."""

    at: float
    tokens: int
    events: int
    goal_ms: float
    gap_ms: float


class Outcome(NamedTuple):
    """What its caller got."""

    arrival: Arrival
    first_ms: float
    gap_ms: float

    @property
    def is_in_aim(self):
        return (
            self.first_ms <= self.arrival.goal_ms
            and self.gap_ms <= self.arrival.gap_ms
        )


def make_load(seconds, shorts, mids, longs, seed):
    """Questions, drafts and reviews of the users' sheets, by rate a second."""
    rng = random.Random(seed)
    load = []
    for rate, mean, spread, most, events, goal, gap in (
        (shorts, 4_960, 0.9, 23_800, 35, 300.0, 200.0),
        (mids, 45_000, 0.5, 110_000, 21, 1_500.0, 500.0),
        (longs, 210_000, 0.55, 420_000, 17, 3_000.0, 800.0),
    ):
        now = 0.0
        while rate and (now := now + rng.expovariate(rate)) < seconds:
            size = mean * rng.lognormvariate(-spread * spread / 2, spread)
            tokens = int(min(most, max(100, size)))
            count = max(2, int(events * rng.lognormvariate(-0.2, 0.6)))
            load.append(Arrival(now, tokens, count, goal, gap))
    return sorted(load)


class _Part:
    """What an engine prefills of a prompt."""

    def __init__(self, job, tokens, cost_ms):
        self.job = job
        self.tokens = tokens
        self.rate = cost_ms / max(1, tokens)


class _Job:

    def __init__(self, key, arrival, parts):
        self.key = key
        self.arrival = arrival
        self.parts_left = parts
        self.first = 0.0
        self.last = 0.0
        self.gap = 0.0
        self.events = 0


class _Engine:

    def __init__(self):
        self.parts = []
        self.streams = []
        self.is_busy = False


class Fleet:
    """Engines, and what becomes of the requests that are placed on them.

    Attributes:
        place: Chooses; gets key, arrival and time, returns engine names.
        on_first: Called with key and time at each first token.
        on_end: Called with key and time at each end.
    """

    def __init__(self, names, place, on_first, on_end):
        self.engines = {name: _Engine() for name in names}
        self.place = place
        self.on_first = on_first
        self.on_end = on_end
        self.outcomes = []
        self._queue = []
        self._order = itertools.count()

    def play(self, load):
        """Plays a load to its end; returns the outcomes."""
        for number, arrival in enumerate(load):
            self._at(arrival.at, self._arrive, f"k{number}", arrival)
        while self._queue:
            now, _, function, arguments = heapq.heappop(self._queue)
            function(now, *arguments)
        return self.outcomes

    def _at(self, when, function, *arguments):
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
            # Parts for other engines go ahead.
            engine.parts.insert(0 if index else len(engine.parts), part)
            if not engine.is_busy:
                self._begin(now, engine)

    def _begin(self, now, engine):
        """Starts the next pass of an engine."""
        if not engine.parts and not engine.streams:
            engine.is_busy = False
            return
        engine.is_busy = True
        steps = FIGURES.steps_per_pass if engine.streams else 1
        room = steps * FIGURES.prefill_chunk_tokens
        length = steps * FIGURES.step_ms
        done = []
        for part in list(engine.parts):
            taken = min(room, part.tokens)
            room -= taken
            part.tokens -= taken
            length += taken * part.rate
            if part.tokens:
                break
            engine.parts.remove(part)
            done.append(part)
        self._at(
            now + length / 1000.0, self._end, engine, done, list(engine.streams)
        )

    def _end(self, now, engine, done, streams):
        for job in streams:
            self._event(now, engine, job)
        for part in done:
            job, first = part.job
            job.parts_left -= 1
            if not job.parts_left:
                job.first = job.last = now
                job.events = 1
                self.engines[first].streams.append(job)
                self.on_first(job.key, now)
                if not self.engines[first].is_busy:
                    self._begin(now, self.engines[first])
        self._begin(now, engine)

    def _event(self, now, engine, job):
        job.gap = max(job.gap, now - job.last)
        job.last = now
        job.events += 1
        if job.events >= job.arrival.events:
            engine.streams.remove(job)
            self.on_end(job.key, now)
            first_ms = (job.first - job.arrival.at) * 1000.0
            self.outcomes.append(
                Outcome(job.arrival, first_ms, job.gap * 1000.0)
            )


def play_router(load, engines):
    """Plays a load with the router's placement; returns the outcomes."""
    targets = [builders.make_target(f"e-{n}") for n in range(engines)]
    router = builders.make_router(targets, now=0.0, revocation_seconds=0.0)
    names = {}

    def place(key, arrival, now):
        router.knowledge.configuration.proven_at = now
        admission = router.admit("wells.example", "/ask/a", "key-1", now)
        route = admission.route._replace(
            goal_ms=arrival.goal_ms, gap_goal_ms=arrival.gap_ms
        )
        grant = router.place(
            request_router.PlaceRequest(
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
        names[key] = grant.target.name
        return [grant.target.name] + [h.name for h in grant.helpers]

    def on_first(key, now):
        router.note_first_token(key, 0.0, 0.0, now)

    def on_end(key, now):
        router.note_end(key, names[key], True, False, False, now)

    fleet = Fleet([t.name for t in targets], place, on_first, on_end)
    return fleet.play(load)


def play_least_outstanding(load, engines):
    """Plays a load with the fewest requests first; returns the outcomes."""
    running = {f"e-{n}": 0 for n in range(engines)}
    names = {}

    def place(key, arrival, now):
        name = min(running, key=running.get)
        running[name] += 1
        names[key] = name
        return [name]

    def on_end(key, now):
        running[names[key]] -= 1

    fleet = Fleet(list(running), place, lambda key, now: None, on_end)
    return fleet.play(load)


def shares_in_aim(outcomes):
    """Returns the shares in aim of questions, drafts and reviews."""
    shares = []
    for goal in (300.0, 1_500.0, 3_000.0):
        kind = [o for o in outcomes if o.arrival.goal_ms == goal]
        shares.append(sum(o.is_in_aim for o in kind) / max(1, len(kind)))
    return shares
