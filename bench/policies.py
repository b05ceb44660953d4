"""The system's own policy, and what a user would otherwise run."""

import collections
import math
import random
from typing import Callable

from bench import simulation
from bench import workload
from catkintrail import messages
from catkintrail import objects
from catkintrail.core import cost
from catkintrail.core import ownership
from catkintrail.core import pool as pools
from catkintrail.core import prefix_index
from catkintrail.core import target_state

__all__ = ["BASELINES", "OwnPolicy", "make_baseline"]

SUMMARY_SECONDS = 1.0
RETRY_SECONDS = 0.05
MODEL = "m"


class OwnPolicy:
    """The real core: one pool a zone, with summaries between them."""

    def __init__(
        self,
        run: simulation.Simulation,
        policy: pools.PoolPolicy = pools.PoolPolicy(),
    ) -> None:
        self.run = run
        self.decisions = 0
        model = objects.Model(
            context_tokens=1_048_576,
            engine_kv_tokens=run.shape.kv_tokens,
            block_tokens=run.shape.block_tokens,
        )
        profile = cost.profile_of_model(model)
        self.zones = run.deployment.zones
        self.pools = [
            pools.Pool(pools.PoolKey(MODEL, zone, 0), profile, policy)
            for zone in self.zones
        ]
        self.where: dict[str, tuple[simulation.Outcome, int]] = {}
        self.asks: dict[int, messages.Acquire] = {}
        self.reports: dict[int, collections.deque] = {}
        self.event_numbers: collections.Counter = collections.Counter()
        self.changed()
        run.at(SUMMARY_SECONDS, self._summarise)

    # Events of the run.

    def arrive(self, outcome: simulation.Outcome) -> None:
        """Asks the pool of the job's zone."""
        job = outcome.job
        weights = self.run.deployment.weights
        ask = messages.Acquire(
            f"{job.number}.{outcome.attempts}",
            MODEL,
            "",
            0,
            f"o{job.organisation}",
            weights[job.organisation],
            job.prompt_tokens,
            job.max_tokens,
            job.blocks,
            job.arrival + job.deadline - self.run.now,
            5,
            self.run.deployment.first_token_weight,
            0,
        )
        zone = job.zone
        if job.is_long and job.blocks:
            # Equal long prefixes meet in one zone, as core/directory has it.
            owner = ownership.choose_owner(str(job.blocks[0]), self.zones)
            zone = self.zones.index(owner)
            if not self.run.reaches(job.zone, zone):
                zone = job.zone
        self._later(job.zone, zone, self._ask, outcome, ask, zone)

    def first_token(self, outcome: simulation.Outcome) -> None:
        """Tells the owner."""
        name, zone = self._place_of(outcome)
        if name is not None:
            self._later(
                outcome.job.zone,
                zone,
                lambda: self.pools[zone].start(name, self.run.now),
            )

    def ended(self, outcome: simulation.Outcome, failed: bool) -> None:
        """Tells the owner, and tries again after a failure."""
        name, zone = self._place_of(outcome)
        if name is None:
            return
        grant = self.pools[zone].grants.get(name)
        target = grant.names[0] if grant else ""
        done = messages.Released(name, target, int(failed), 0)
        del self.where[name]
        self._later(outcome.job.zone, zone, self._release, zone, done)
        if failed:
            self.arrive(outcome)

    def poll(self) -> None:
        """Reads lagging reports and gappy cache events."""
        for index, model in enumerate(self.run.models):
            if not self.run.alive[index]:
                continue
            self._poll_engine(index, model)
        for zone in range(len(self.zones)):
            self._poll_pool(zone)

    def changed(self) -> None:
        """Takes the platform's list."""
        run = self.run
        for zone, pool in enumerate(self.pools):
            records = [
                self._record(index)
                for index in range(len(run.models))
                if run.zone_of[index] == zone and run.alive[index]
            ]
            pool.set_targets(records, run.now)

    # Messages.

    def _ask(
        self, outcome: simulation.Outcome, ask: messages.Acquire, zone: int
    ) -> None:
        ask = ask._replace(zone=self.zones[zone])
        self.asks[outcome.job.number] = ask
        self.where[ask.request_id] = (outcome, zone)
        pool = self.pools[zone]
        self.decisions += 1
        for reply in pool.acquire(ask, "entry", self.run.now):
            self._take(reply.message, zone)
        self._poll_pool(zone)

    def _poll_pool(self, zone: int) -> None:
        for reply in self.pools[zone].poll(self.run.now):
            self._take(reply.message, zone)

    def _take(self, message: messages.Message, zone: int) -> None:
        if isinstance(message, messages.Queued):
            self.where[message.request_id][0].was_admitted = True
            return
        outcome, _ = self.where[message.request_id]
        home = outcome.job.zone
        if isinstance(message, messages.Redirected):
            del self.where[message.request_id]
            other = self.zones.index(message.zone)
            ask = self.asks[outcome.job.number]
            ask = ask._replace(redirects=ask.redirects + 1)
            self._later(zone, other, self._ask, outcome, ask, other)
        elif isinstance(message, messages.Declined):
            del self.where[message.request_id]
            outcome.refused_at = self.run.now
            outcome.retry_after = message.retry_after_seconds
        else:
            self._later(zone, home, self._start, outcome, message, zone)

    def _start(
        self,
        outcome: simulation.Outcome,
        granted: messages.Granted,
        zone: int,
    ) -> None:
        engines = tuple(int(member.name) for member in granted.members)
        placement = simulation.Placement(engines, granted.priority)
        if self.run.submit(outcome, placement):
            return
        del self.where[granted.request_id]
        is_leaving = any(self.run.leaving[index] for index in engines)
        done = messages.Released(
            granted.request_id, str(engines[0]), 4 if is_leaving else 3, 0
        )
        self._later(outcome.job.zone, zone, self._release, zone, done)
        outcome.attempts += 1
        self.run.at(self.run.now + RETRY_SECONDS, self.arrive, outcome)

    def _release(self, zone: int, done: messages.Released) -> None:
        self.pools[zone].release(done, self.run.now)
        self._poll_pool(zone)

    def _later(
        self, first: int, second: int, function: Callable, *arguments: object
    ) -> None:
        """Calls a function after the way between two zones."""
        hop = simulation.HOP_SECONDS
        if first != second:
            hop = simulation.ZONE_HOP_SECONDS
        self.run.at(self.run.now + hop, function, *arguments)

    def _place_of(self, outcome: simulation.Outcome) -> tuple[str | None, int]:
        ask = self.asks[outcome.job.number]
        found = self.where.get(ask.request_id)
        return (ask.request_id, found[1]) if found else (None, 0)

    # Reports.

    def _summarise(self) -> None:
        now = self.run.now
        for zone, pool in enumerate(self.pools):
            summary = pool.summary(now)
            for other, receiver in enumerate(self.pools):
                if other != zone and self.run.reaches(zone, other):
                    receiver.take_summary(summary, now)
        for zone in range(len(self.pools)):
            self._poll_pool(zone)
        if any(pool.waiting_count() for pool in self.pools) or self.where:
            self.run.at(now + SUMMARY_SECONDS / 4, self._tick)
        self.run.at(now + SUMMARY_SECONDS, self._summarise)

    def _tick(self) -> None:
        for zone in range(len(self.pools)):
            self._poll_pool(zone)

    def _poll_engine(self, index: int, model: object) -> None:
        run = self.run
        reports = self.reports.setdefault(index, collections.deque())
        reports.append(
            (
                run.now,
                run.incarnations[index],
                run.leaving[index],
                model.queue_tokens(),
                len(model.sequences) + len(model.waiting),
                model.kv_used,
            )
        )
        limit = run.now - run.scenario.report_lag_seconds
        while len(reports) > 1 and reports[1][0] <= limit:
            reports.popleft()
        made, *values = reports[0]
        report = target_state.LoadReport(
            str(index), run.now - made, *values, run.shape.kv_tokens
        )
        pool = self.pools[run.zone_of[index]]
        pool.take_report(report, run.now)
        changes, model.changes = model.changes, []
        events = []
        for added, removed in changes:
            self.event_numbers[index] += 1
            if run.rng.random() >= run.scenario.event_gap:
                number = self.event_numbers[index]
                event = prefix_index.CacheEvent(number, added, removed)
                events.append(event)
        pool.take_cache_events(str(index), events, run.now)

    def _record(self, index: int) -> messages.TargetRecord:
        return messages.TargetRecord(
            str(index),
            self.zones[self.run.zone_of[index]],
            "r",
            MODEL,
            f"10.0.0.1:{index}",
            self.run.incarnations[index],
            self.run.leaving[index],
        )


class Baseline:
    """A simple policy: each job goes to an engine at once.

    Attributes:
        choose: Chooses among engines for a job.
        outstanding: Jobs sent to each engine and not yet ended.
        reported: Prompt tokens queued at each engine, as last reported.
        index: What each engine has cached, from own dispatches.
    """

    def __init__(
        self,
        run: simulation.Simulation,
        choose: Callable[["Baseline", simulation.Outcome, list[int]], int],
    ) -> None:
        self.run = run
        self.choose = choose
        self.rng = random.Random("baseline")
        count = len(run.models)
        self.outstanding = [0] * count
        self.reported = [0] * count
        self.history: list[tuple[float, list[int]]] = []
        self.turn = 0
        blocks = run.shape.kv_tokens // run.shape.block_tokens
        self.index = prefix_index.PrefixIndex(blocks)
        self.listed = list(range(count))
        self.places: dict[int, tuple[int, ...]] = {}

    def arrive(self, outcome: simulation.Outcome) -> None:
        """Sends the job to its engines, or waits for room for a group."""
        job = outcome.job
        need = job.prompt_tokens + job.max_tokens
        size = math.ceil(need / (0.95 * self.run.shape.kv_tokens))
        left = [i for i in self.listed if self._may_use(job, i)]
        chosen: list[int] = []
        while left and len(chosen) < size:
            engine = self.choose(self, outcome, left)
            chosen.append(engine)
            left.remove(engine)
        outcome.was_admitted = True
        placement = simulation.Placement(tuple(chosen), 0)
        if len(chosen) < size or not self.run.submit(outcome, placement):
            self.run.at(
                self.run.now + RETRY_SECONDS * (1 + size), self.arrive, outcome
            )
            return
        for engine in chosen:
            self.outstanding[engine] += 1
        if size == 1:
            self.index.add(str(chosen[0]), job.blocks, self.run.now)
        self.places[job.number] = tuple(chosen)

    def first_token(self, outcome: simulation.Outcome) -> None:
        """Does nothing."""

    def ended(self, outcome: simulation.Outcome, failed: bool) -> None:
        """Counts the job out, and sends it again after a failure."""
        for engine in self.places.pop(outcome.job.number):
            self.outstanding[engine] -= 1
        if failed:
            self.run.at(self.run.now + RETRY_SECONDS, self.arrive, outcome)

    def poll(self) -> None:
        """Reads lagging reports."""
        tokens = [model.queue_tokens() for model in self.run.models]
        self.history.append((self.run.now, tokens))
        limit = self.run.now - self.run.scenario.report_lag_seconds
        while len(self.history) > 1 and self.history[1][0] <= limit:
            self.history.pop(0)
        self.reported = self.history[0][1]

    def changed(self) -> None:
        """Takes the platform's list."""
        self.listed = [
            index
            for index in range(len(self.run.models))
            if self.run.alive[index] and not self.run.leaving[index]
        ]

    def _may_use(self, job: workload.Job, index: int) -> bool:
        return self.run.reaches(job.zone, self.run.zone_of[index])


class FirstComeQueue(Baseline):
    """One queue for all; its head goes to the first engine with room."""

    def __init__(self, run: simulation.Simulation) -> None:
        super().__init__(run, _least_outstanding)
        self.queue: collections.deque = collections.deque()

    def arrive(self, outcome: simulation.Outcome) -> None:
        """Queues the job."""
        outcome.was_admitted = True
        self.queue.append(outcome)
        self._advance()

    def first_token(self, outcome: simulation.Outcome) -> None:
        """Sends what waits."""
        self._advance()

    def ended(self, outcome: simulation.Outcome, failed: bool) -> None:
        """Sends what waits."""
        for engine in self.places.pop(outcome.job.number):
            self.outstanding[engine] -= 1
        if failed:
            self.queue.appendleft(outcome)
        self._advance()

    def poll(self) -> None:
        """Sends what waits."""
        self._advance()

    def _advance(self) -> None:
        while self.queue:
            outcome = self.queue[0]
            job = outcome.job
            need = job.prompt_tokens + job.max_tokens
            size = math.ceil(need / (0.95 * self.run.shape.kv_tokens))
            share = math.ceil(need / size)
            room = [
                index
                for index in self.listed
                if self._has_room(index, share) and self._may_use(job, index)
            ]
            if len(room) < size:
                return
            room.sort(key=lambda index: self.outstanding[index])
            chosen = tuple(room[:size])
            if not self.run.submit(outcome, simulation.Placement(chosen, 0)):
                return
            self.queue.popleft()
            for engine in chosen:
                self.outstanding[engine] += 1
            self.places[job.number] = chosen

    def _has_room(self, index: int, share: int) -> bool:
        model = self.run.models[index]
        if not self.run.alive[index] or self.run.leaving[index]:
            return False
        return (
            model.free_tokens() >= share
            and not model.waiting
            and model.queue_tokens() < self.run.shape.chunk_tokens
        )


def _random(
    state: Baseline, outcome: simulation.Outcome, engines: list[int]
) -> int:
    del outcome
    return state.rng.choice(engines)


def _round_robin(
    state: Baseline, outcome: simulation.Outcome, engines: list[int]
) -> int:
    del outcome
    state.turn += 1
    return engines[state.turn % len(engines)]


def _least_outstanding(
    state: Baseline, outcome: simulation.Outcome, engines: list[int]
) -> int:
    del outcome
    return min(engines, key=lambda index: state.outstanding[index])


def _shortest_reported(
    state: Baseline, outcome: simulation.Outcome, engines: list[int]
) -> int:
    del outcome
    best = min(state.reported[index] for index in engines)
    ties = [index for index in engines if state.reported[index] == best]
    return state.rng.choice(ties)


def _affinity(
    state: Baseline, outcome: simulation.Outcome, engines: list[int]
) -> int:
    blocks = outcome.job.blocks
    depths = state.index.match(blocks)
    known = [index for index in engines if str(index) in depths]
    if known:
        return max(known, key=lambda index: depths[str(index)])
    key = str(blocks[0]) if blocks else str(outcome.job.number)
    chosen = ownership.choose_owner(key, [str(index) for index in engines])
    return int(chosen)


BASELINES: dict[str, Callable] = {
    "random": _random,
    "round-robin": _round_robin,
    "least-outstanding": _least_outstanding,
    "shortest-reported": _shortest_reported,
    "affinity": _affinity,
    "first-come": FirstComeQueue,
}


def make_baseline(
    name: str,
) -> Callable[[simulation.Simulation], simulation.Policy]:
    """Returns a function that makes a baseline for a run."""
    choose = BASELINES[name]
    if choose is FirstComeQueue:
        return FirstComeQueue
    return lambda run: Baseline(run, choose)
