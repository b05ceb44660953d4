"""The placement policy of the core, and baselines to compare it with."""

import collections
import math
import random
from typing import Callable

from bench import simulation
from bench import workload
from catkintrail import messages
from catkintrail import objects
from catkintrail.core import cost
from catkintrail.core import pool as pools
from catkintrail.core import prefix_index
from catkintrail.core import rendezvous
from catkintrail.core import target_state

__all__ = ["BASELINES", "CorePolicy", "make_baseline"]

SUMMARY_SECONDS = 1.0
RETRY_SECONDS = 0.05
MODEL = "m"


class CorePolicy:
    """Runs the pools of the core: one per zone, which exchange summaries.

    Attributes:
        sim: The simulation.
        decisions: Number of Acquire messages that the pools have handled.
        zones: Names of the zones.
        pools: Pools by zone index.
        open_requests: Outcome and zone index of a request, by request id.
        acquires: Latest Acquire message of a job, by job number.
        load_reports: Recent load reports, by engine index.
        event_numbers: Number of the latest cache event, by engine index.
    """

    def __init__(
        self,
        sim: simulation.Simulation,
        policy: pools.PoolPolicy = pools.PoolPolicy(),
    ) -> None:
        self.sim = sim
        self.decisions = 0
        model = objects.Model(
            context_tokens=1_048_576,
            engine_kv_tokens=sim.parameters.kv_tokens,
            block_tokens=sim.parameters.block_tokens,
        )
        profile = cost.profile_of_model(model)
        self.zones = sim.deployment.zones
        self.pools = [
            pools.Pool(pools.PoolKey(MODEL, zone, 0), profile, policy)
            for zone in self.zones
        ]
        self.open_requests: dict[str, tuple[simulation.Outcome, int]] = {}
        self.acquires: dict[int, messages.Acquire] = {}
        self.load_reports: dict[int, collections.deque] = {}
        self.event_numbers: collections.Counter = collections.Counter()
        self.on_targets_changed()
        sim.call_at(SUMMARY_SECONDS, self._summarise)

    # Events of the simulation.

    def on_arrival(self, outcome: simulation.Outcome) -> None:
        """Sends the job to a pool.

        That is the pool of the job's zone, except for long prompts.
        """
        job = outcome.job
        weights = self.sim.deployment.weights
        acquire = messages.Acquire(
            f"{job.number}.{outcome.attempts}",
            MODEL,
            "",
            0,
            f"o{job.organisation}",
            weights[job.organisation],
            job.prompt_tokens,
            job.max_tokens,
            job.blocks,
            job.arrival + job.deadline - self.sim.now,
            5,
            self.sim.deployment.first_token_weight,
            0,
        )
        zone = job.zone
        if job.is_long and job.blocks:
            # Long prompts with the same prefix go to the same zone, where the
            # prefix may be cached; core/dispatch does the same.
            owner = rendezvous.choose_owner(str(job.blocks[0]), self.zones)
            zone = self.zones.index(owner)
            if not self.sim.can_reach(job.zone, zone):
                zone = job.zone
        self._call_after_delay(
            job.zone, zone, self._acquire, outcome, acquire, zone
        )

    def on_first_token(self, outcome: simulation.Outcome) -> None:
        """Reports the first token to the pool."""
        name, zone = self._find_request(outcome)
        if name is not None:
            self._call_after_delay(
                outcome.job.zone,
                zone,
                lambda: self.pools[zone].start(name, self.sim.now),
            )

    def on_end(self, outcome: simulation.Outcome, failed: bool) -> None:
        """Reports the end to the pool; resubmits the job after a failure."""
        name, zone = self._find_request(outcome)
        if name is None:
            return
        grant = self.pools[zone].grants.get(name)
        target = grant.names[0] if grant else ""
        released = messages.Released(name, target, int(failed), 0)
        del self.open_requests[name]
        self._call_after_delay(
            outcome.job.zone, zone, self._release, zone, released
        )
        if failed:
            self.on_arrival(outcome)

    def poll(self) -> None:
        """Passes load reports and cache events to the pools.

        The reports are delayed and events are dropped as the scenario says.
        """
        for index, model in enumerate(self.sim.models):
            if not self.sim.alive[index]:
                continue
            self._poll_engine(index, model)
        for zone in range(len(self.zones)):
            self._poll_pool(zone)

    def on_targets_changed(self) -> None:
        """Applies the platform's list of engines."""
        sim = self.sim
        for zone, pool in enumerate(self.pools):
            records = [
                self._record(index)
                for index in range(len(sim.models))
                if sim.zone_of[index] == zone and sim.alive[index]
            ]
            pool.set_targets(records, sim.now)

    # Messages.

    def _acquire(
        self, outcome: simulation.Outcome, acquire: messages.Acquire, zone: int
    ) -> None:
        acquire = acquire._replace(zone=self.zones[zone])
        self.acquires[outcome.job.number] = acquire
        self.open_requests[acquire.request_id] = (outcome, zone)
        pool = self.pools[zone]
        self.decisions += 1
        for reply in pool.acquire(acquire, "entry", self.sim.now):
            self._handle_reply(reply.message, zone)
        self._poll_pool(zone)

    def _poll_pool(self, zone: int) -> None:
        for reply in self.pools[zone].poll(self.sim.now):
            self._handle_reply(reply.message, zone)

    def _handle_reply(self, message: messages.Message, zone: int) -> None:
        if isinstance(message, messages.Queued):
            self.open_requests[message.request_id][0].was_admitted = True
            return
        outcome, _ = self.open_requests[message.request_id]
        origin_zone = outcome.job.zone
        if isinstance(message, messages.Redirected):
            del self.open_requests[message.request_id]
            other = self.zones.index(message.zone)
            acquire = self.acquires[outcome.job.number]
            acquire = acquire._replace(redirects=acquire.redirects + 1)
            self._call_after_delay(
                zone, other, self._acquire, outcome, acquire, other
            )
        elif isinstance(message, messages.Declined):
            del self.open_requests[message.request_id]
            outcome.refused_at = self.sim.now
            outcome.retry_after_seconds = message.retry_after_seconds
        else:
            self._call_after_delay(
                zone, origin_zone, self._start, outcome, message, zone
            )

    def _start(
        self,
        outcome: simulation.Outcome,
        granted: messages.Granted,
        zone: int,
    ) -> None:
        engines = tuple(int(member.name) for member in granted.members)
        placement = simulation.Placement(engines, granted.priority)
        if self.sim.submit(outcome, placement):
            return
        del self.open_requests[granted.request_id]
        is_leaving = any(self.sim.leaving[index] for index in engines)
        released = messages.Released(
            granted.request_id, str(engines[0]), 4 if is_leaving else 3, 0
        )
        self._call_after_delay(
            outcome.job.zone, zone, self._release, zone, released
        )
        outcome.attempts += 1
        self.sim.call_at(self.sim.now + RETRY_SECONDS, self.on_arrival, outcome)

    def _release(self, zone: int, released: messages.Released) -> None:
        self.pools[zone].release(released, self.sim.now)
        self._poll_pool(zone)

    def _call_after_delay(
        self, first: int, second: int, function: Callable, *arguments: object
    ) -> None:
        """Schedules a call after the network delay between two zones."""
        delay_seconds = simulation.INTRA_ZONE_DELAY_SECONDS
        if first != second:
            delay_seconds = simulation.INTER_ZONE_DELAY_SECONDS
        self.sim.call_at(self.sim.now + delay_seconds, function, *arguments)

    def _find_request(
        self, outcome: simulation.Outcome
    ) -> tuple[str | None, int]:
        acquire = self.acquires[outcome.job.number]
        found = self.open_requests.get(acquire.request_id)
        return (acquire.request_id, found[1]) if found else (None, 0)

    # Reports and summaries.

    def _summarise(self) -> None:
        now = self.sim.now
        for zone, pool in enumerate(self.pools):
            summary = pool.summary(now)
            for other, receiver in enumerate(self.pools):
                if other != zone and self.sim.can_reach(zone, other):
                    receiver.store_summary(summary, now)
        for zone in range(len(self.pools)):
            self._poll_pool(zone)
        if (
            any(pool.waiting_count() for pool in self.pools)
            or self.open_requests
        ):
            self.sim.call_at(now + SUMMARY_SECONDS / 4, self._poll_pools)
        self.sim.call_at(now + SUMMARY_SECONDS, self._summarise)

    def _poll_pools(self) -> None:
        for zone in range(len(self.pools)):
            self._poll_pool(zone)

    def _poll_engine(self, index: int, model: object) -> None:
        sim = self.sim
        load_reports = self.load_reports.setdefault(index, collections.deque())
        load_reports.append(
            (
                sim.now,
                sim.incarnations[index],
                sim.leaving[index],
                model.queue_tokens(),
                len(model.sequences) + len(model.waiting),
                model.kv_used,
            )
        )
        cutoff = sim.now - sim.scenario.report_lag_seconds
        while len(load_reports) > 1 and load_reports[1][0] <= cutoff:
            load_reports.popleft()
        measured_at, *values = load_reports[0]
        report = target_state.LoadReport(
            str(index), sim.now - measured_at, *values, sim.parameters.kv_tokens
        )
        pool = self.pools[sim.zone_of[index]]
        pool.apply_load_report(report, sim.now)
        changes, model.changes = model.changes, []
        events = []
        for added, removed in changes:
            self.event_numbers[index] += 1
            if sim.rng.random() >= sim.scenario.event_loss_probability:
                number = self.event_numbers[index]
                event = prefix_index.CacheEvent(number, added, removed)
                events.append(event)
        pool.apply_cache_events(str(index), events, sim.now)

    def _record(self, index: int) -> messages.TargetRecord:
        return messages.TargetRecord(
            str(index),
            self.zones[self.sim.zone_of[index]],
            "r",
            MODEL,
            f"10.0.0.1:{index}",
            self.sim.incarnations[index],
            self.sim.leaving[index],
        )


class Baseline:
    """A simple policy that sends each job to an engine immediately.

    Attributes:
        sim: The simulation.
        choose_engine: Selects one of the given engines for a job.
        outstanding: Number of unfinished jobs, by engine.
        reported_tokens: Queued prompt tokens in the latest load report, by
            engine.
        report_history: Recent load reports, with their times.
        next_turn: Round-robin counter.
        cached_prefixes: Prefixes that each engine is assumed to have cached,
            from the jobs sent to it.
        listed_engines: Engines on the platform's list that are not leaving.
        placements: Engines of each unfinished job, by job number.
    """

    def __init__(
        self,
        sim: simulation.Simulation,
        choose_engine: Callable[
            ["Baseline", simulation.Outcome, list[int]], int
        ],
    ) -> None:
        self.sim = sim
        self.choose_engine = choose_engine
        self.rng = random.Random("baseline")
        count = len(sim.models)
        self.outstanding = [0] * count
        self.reported_tokens = [0] * count
        self.report_history: list[tuple[float, list[int]]] = []
        self.next_turn = 0
        blocks = sim.parameters.kv_tokens // sim.parameters.block_tokens
        self.cached_prefixes = prefix_index.PrefixIndex(blocks)
        self.listed_engines = list(range(count))
        self.placements: dict[int, tuple[int, ...]] = {}

    def on_arrival(self, outcome: simulation.Outcome) -> None:
        """Sends the job to its engines; retries later where they refuse it."""
        job = outcome.job
        needed_tokens = job.prompt_tokens + job.max_tokens
        group_size = math.ceil(
            needed_tokens / (0.95 * self.sim.parameters.kv_tokens)
        )
        candidates = [i for i in self.listed_engines if self._can_use(job, i)]
        chosen: list[int] = []
        while candidates and len(chosen) < group_size:
            engine = self.choose_engine(self, outcome, candidates)
            chosen.append(engine)
            candidates.remove(engine)
        outcome.was_admitted = True
        placement = simulation.Placement(tuple(chosen), 0)
        if len(chosen) < group_size or not self.sim.submit(outcome, placement):
            self.sim.call_at(
                self.sim.now + RETRY_SECONDS * (1 + group_size),
                self.on_arrival,
                outcome,
            )
            return
        for engine in chosen:
            self.outstanding[engine] += 1
        if group_size == 1:
            self.cached_prefixes.add(str(chosen[0]), job.blocks, self.sim.now)
        self.placements[job.number] = tuple(chosen)

    def on_first_token(self, outcome: simulation.Outcome) -> None:
        """Does nothing."""

    def on_end(self, outcome: simulation.Outcome, failed: bool) -> None:
        """Removes the job from the counts; resubmits it after a failure."""
        for engine in self.placements.pop(outcome.job.number):
            self.outstanding[engine] -= 1
        if failed:
            self.sim.call_at(
                self.sim.now + RETRY_SECONDS, self.on_arrival, outcome
            )

    def poll(self) -> None:
        """Reads delayed load reports."""
        tokens = [model.queue_tokens() for model in self.sim.models]
        self.report_history.append((self.sim.now, tokens))
        cutoff = self.sim.now - self.sim.scenario.report_lag_seconds
        while (
            len(self.report_history) > 1 and self.report_history[1][0] <= cutoff
        ):
            self.report_history.pop(0)
        self.reported_tokens = self.report_history[0][1]

    def on_targets_changed(self) -> None:
        """Applies the platform's list of engines."""
        self.listed_engines = [
            index
            for index in range(len(self.sim.models))
            if self.sim.alive[index] and not self.sim.leaving[index]
        ]

    def _can_use(self, job: workload.Job, index: int) -> bool:
        return self.sim.can_reach(job.zone, self.sim.zone_of[index])


class FirstComeQueue(Baseline):
    """One FIFO queue whose head waits for engines with room.

    It sees the exact state of all engines, without a reporting delay.
    """

    def __init__(self, sim: simulation.Simulation) -> None:
        super().__init__(sim, _least_outstanding)
        self.queue: collections.deque = collections.deque()

    def on_arrival(self, outcome: simulation.Outcome) -> None:
        """Queues the job and dispatches what fits."""
        outcome.was_admitted = True
        self.queue.append(outcome)
        self._dispatch()

    def on_first_token(self, outcome: simulation.Outcome) -> None:
        """Dispatches queued jobs."""
        self._dispatch()

    def on_end(self, outcome: simulation.Outcome, failed: bool) -> None:
        """Dispatches queued jobs; a failed job goes back to the head."""
        for engine in self.placements.pop(outcome.job.number):
            self.outstanding[engine] -= 1
        if failed:
            self.queue.appendleft(outcome)
        self._dispatch()

    def poll(self) -> None:
        """Dispatches queued jobs."""
        self._dispatch()

    def _dispatch(self) -> None:
        while self.queue:
            outcome = self.queue[0]
            job = outcome.job
            needed_tokens = job.prompt_tokens + job.max_tokens
            group_size = math.ceil(
                needed_tokens / (0.95 * self.sim.parameters.kv_tokens)
            )
            share_tokens = math.ceil(needed_tokens / group_size)
            free_engines = [
                index
                for index in self.listed_engines
                if self._has_room(index, share_tokens)
                and self._can_use(job, index)
            ]
            if len(free_engines) < group_size:
                return
            free_engines.sort(key=lambda index: self.outstanding[index])
            chosen = tuple(free_engines[:group_size])
            if not self.sim.submit(outcome, simulation.Placement(chosen, 0)):
                return
            self.queue.popleft()
            for engine in chosen:
                self.outstanding[engine] += 1
            self.placements[job.number] = chosen

    def _has_room(self, index: int, share_tokens: int) -> bool:
        model = self.sim.models[index]
        if not self.sim.alive[index] or self.sim.leaving[index]:
            return False
        return (
            model.free_tokens() >= share_tokens
            and not model.waiting
            and model.queue_tokens() < self.sim.parameters.chunk_tokens
        )


def _random(
    baseline: Baseline, outcome: simulation.Outcome, engines: list[int]
) -> int:
    del outcome
    return baseline.rng.choice(engines)


def _round_robin(
    baseline: Baseline, outcome: simulation.Outcome, engines: list[int]
) -> int:
    del outcome
    baseline.next_turn += 1
    return engines[baseline.next_turn % len(engines)]


def _least_outstanding(
    baseline: Baseline, outcome: simulation.Outcome, engines: list[int]
) -> int:
    del outcome
    return min(engines, key=lambda index: baseline.outstanding[index])


def _shortest_reported(
    baseline: Baseline, outcome: simulation.Outcome, engines: list[int]
) -> int:
    del outcome
    best = min(baseline.reported_tokens[index] for index in engines)
    ties = [
        index for index in engines if baseline.reported_tokens[index] == best
    ]
    return baseline.rng.choice(ties)


def _prefix_affinity(
    baseline: Baseline, outcome: simulation.Outcome, engines: list[int]
) -> int:
    blocks = outcome.job.blocks
    depths = baseline.cached_prefixes.match(blocks)
    caching_engines = [index for index in engines if str(index) in depths]
    if caching_engines:
        return max(caching_engines, key=lambda index: depths[str(index)])
    key = str(blocks[0]) if blocks else str(outcome.job.number)
    chosen = rendezvous.choose_owner(key, [str(index) for index in engines])
    return int(chosen)


BASELINES: dict[str, Callable] = {
    "random": _random,
    "round-robin": _round_robin,
    "least-outstanding": _least_outstanding,
    "shortest-reported": _shortest_reported,
    "affinity": _prefix_affinity,
    "first-come": FirstComeQueue,
}


def make_baseline(
    name: str,
) -> Callable[[simulation.Simulation], simulation.Policy]:
    """Returns a factory of the named baseline for a simulation."""
    choose_engine = BASELINES[name]
    if choose_engine is FirstComeQueue:
        return FirstComeQueue
    return lambda sim: Baseline(sim, choose_engine)
