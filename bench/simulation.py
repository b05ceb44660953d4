"""Engines in virtual time under a policy; an event queue and no more."""

import heapq
import itertools
import random
from typing import Any, Callable, NamedTuple, Protocol

from bench import workload
from catkintrail.standin import engine_model

__all__ = ["Outcome", "Placement", "Policy", "Scenario", "Simulation"]

HOP_SECONDS = 0.001
ZONE_HOP_SECONDS = 0.002
POLL_SECONDS = 2.0
DRAIN_SECONDS = 400.0


class Scenario(NamedTuple):
    """What happens to the fleet during a run.

    Attributes:
        name: Its name.
        report_lag_seconds: Age of load reports.
        event_gap: Probability that a cache event is lost; 1 where none are
            read.
        dying_engine: Index of an engine that dies; -1 for none.
        cut_zone: Index of a zone cut off from the others; -1 for none.
        fail_at: When the engine dies or the zone is cut.
        heal_at: When it is back.
        flood_factor: Extra arrivals of one organisation, against all others.
        replaced_every: Seconds between replacements of engines; 0 for none.
    """

    name: str = "plain"
    report_lag_seconds: float = 0.5
    event_gap: float = 1.0
    dying_engine: int = -1
    cut_zone: int = -1
    fail_at: float = 20.0
    heal_at: float = 40.0
    flood_factor: float = 0.0
    replaced_every: float = 0.0


class Placement(NamedTuple):
    """Where a job runs: one engine, or a group that shares its prompt."""

    engines: tuple[int, ...]
    priority: int


class Outcome:
    """What became of a job.

    Attributes:
        job: The job.
        first_token: When its first token came; None before.
        ended: When it ended; None where it did not.
        gaps: Sum of times between tokens, and the largest.
        refused_at: When it was refused; None where it was not.
        retry_after: What the refusal said.
        cached_tokens: Prompt tokens found in a cache.
        attempts: How often it was sent to an engine.
    """

    def __init__(self, job: workload.Job) -> None:
        self.job = job
        self.first_token: float | None = None
        self.ended: float | None = None
        self.last_token = 0.0
        self.refused_at: float | None = None
        self.retry_after = 0.0
        self.cached_tokens = 0
        self.attempts = 0
        self.was_admitted = False
        self.produced = 0


class Policy(Protocol):
    """Chooses engines for jobs."""

    def arrive(self, outcome: Outcome) -> None:
        """Takes a job that has just come in."""

    def first_token(self, outcome: Outcome) -> None:
        """Notes a job's first token."""

    def ended(self, outcome: Outcome, failed: bool) -> None:
        """Notes that a job has left its engines."""

    def poll(self) -> None:
        """Reads the engines' reports; called every POLL_SECONDS."""

    def changed(self) -> None:
        """Notes that the list of engines has changed."""


class _Run:
    """A job on its engines."""

    def __init__(self, outcome: Outcome, placement: Placement) -> None:
        self.outcome = outcome
        self.placement = placement
        self.parts_left = len(placement.engines)
        self.share = 0
        self.has_ended = False
        self.sequence: engine_model.Sequence | None = None


class Simulation:
    """One run of a policy over a workload.

    Attributes:
        now: Virtual time in seconds.
        models: The engines.
        alive: Whether each engine runs.
        leaving: Whether each engine is being shut down.
        zone_of: Zone index of each engine.
    """

    def __init__(
        self,
        deployment: workload.Deployment,
        jobs: list[workload.Job],
        scenario: Scenario,
        shape: engine_model.EngineShape,
        make_policy: Callable[["Simulation"], Policy],
        seed: int = 1,
    ) -> None:
        self.deployment = deployment
        self.scenario = scenario
        self.shape = shape
        self.now = 0.0
        self.rng = random.Random(f"simulation/{seed}")
        count = deployment.engines
        self.models = [engine_model.EngineModel(shape) for _ in range(count)]
        self.alive = [True] * count
        self.leaving = [False] * count
        self.incarnations = [1] * count
        self.zone_of = [
            index * len(deployment.zones) // count for index in range(count)
        ]
        self.is_cut = False
        self.outcomes = [Outcome(job) for job in jobs]
        self.gap_counts: dict[int, int] = {}
        self._queue: list[tuple[float, int, Callable, tuple]] = []
        self._order = itertools.count()
        self._stepping = [False] * count
        self._runs: dict[str, _Run] = {}
        self._end = jobs[-1].arrival if jobs else 0.0
        self.policy = make_policy(self)

    def run(self) -> list[Outcome]:
        """Runs until all jobs have ended; returns what became of them."""
        for outcome in self.outcomes:
            self.at(outcome.job.arrival, self.policy.arrive, outcome)
        self.at(POLL_SECONDS, self._poll)
        self._schedule_failures()
        limit = self._end + DRAIN_SECONDS
        while self._queue and self._queue[0][0] <= limit:
            self.now, _, function, arguments = heapq.heappop(self._queue)
            function(*arguments)
        return self.outcomes

    def at(self, moment: float, function: Callable, *arguments: Any) -> None:
        """Calls a function at a time."""
        entry = (moment, next(self._order), function, arguments)
        heapq.heappush(self._queue, entry)

    def reaches(self, first: int, second: int) -> bool:
        """Returns whether two zones reach each other now."""
        cut = self.scenario.cut_zone
        return not self.is_cut or (first == cut) == (second == cut)

    def submit(self, outcome: Outcome, placement: Placement) -> bool:
        """Starts a job on engines; returns False where they refuse it."""
        for index in placement.engines:
            if not self.alive[index] or self.leaving[index]:
                return False
        job = outcome.job
        run = _Run(outcome, placement)
        outcome.attempts += 1
        name = f"{job.number}.{outcome.attempts}"
        if len(placement.engines) > 1:
            if not self._hold_group(run):
                return False
            self._start_parts(name, run)
        else:
            index = placement.engines[0]
            sequence = self.models[index].submit(
                name,
                job.prompt_tokens + outcome.produced,
                max(1, job.output_tokens - outcome.produced),
                placement.priority,
                job.blocks,
            )
            run.sequence = sequence
        self._runs[name] = run
        for index in placement.engines:
            self._wake(index)
        return True

    # Steps of engines.

    def _wake(self, index: int) -> None:
        model = self.models[index]
        if self._stepping[index] or model.is_idle():
            return
        self._stepping[index] = True
        seconds = model.begin_step()
        self.at(self.now + seconds, self._end_step, index, model)

    def _end_step(self, index: int, model: engine_model.EngineModel) -> None:
        if model is not self.models[index]:
            return
        self._stepping[index] = False
        for produced in model.end_step():
            self._note(produced)
        self._wake(index)

    def _note(self, produced: engine_model.Produced) -> None:
        name = produced.name.partition("/")[0]
        run = self._runs.get(name)
        if run is None:
            return
        outcome = run.outcome
        if "/" in produced.name:
            self._end_part(name, run)
            return
        if outcome.produced == 0:
            outcome.first_token = self.now
            if run.sequence is not None:
                outcome.cached_tokens = run.sequence.cached_tokens
            self.policy.first_token(outcome)
        else:
            gap = int((self.now - outcome.last_token) * 1_000)
            self.gap_counts[gap] = self.gap_counts.get(gap, 0) + 1
        outcome.produced += 1
        outcome.last_token = self.now
        if produced.is_done:
            outcome.ended = self.now
            self._finish(name, run, False)

    def _finish(self, name: str, run: _Run, failed: bool) -> None:
        del self._runs[name]
        run.has_ended = True
        if len(run.placement.engines) > 1:
            for index in run.placement.engines:
                if self.alive[index]:
                    self.models[index].unhold(run.share)
                    self.models[index].cancel(f"{name}/p{index}")
        self.policy.ended(run.outcome, failed)

    # Groups.

    def _hold_group(self, run: _Run) -> bool:
        job = run.outcome.job
        engines = run.placement.engines
        need = job.prompt_tokens + job.max_tokens
        run.share = -(-need // len(engines))
        held = []
        for index in engines:
            if not self.models[index].hold(run.share):
                for other in held:
                    self.models[other].unhold(run.share)
                return False
            held.append(index)
        return True

    def _start_parts(self, name: str, run: _Run) -> None:
        engines = run.placement.engines
        tokens = run.outcome.job.prompt_tokens
        overhead = 1.0 + 0.1 * (len(engines) - 1)
        share = int(tokens / len(engines) * overhead)
        for index in engines:
            self.models[index].submit(
                f"{name}/p{index}", share, 0, run.placement.priority, (), True
            )

    def _end_part(self, name: str, run: _Run) -> None:
        run.parts_left -= 1
        if run.parts_left or run.has_ended:
            return
        leader = run.placement.engines[0]
        job = run.outcome.job
        self.models[leader].submit(
            name,
            1,
            max(1, job.output_tokens - run.outcome.produced),
            run.placement.priority + 1,
            (),
            True,
        )
        self._wake(leader)

    # Failures.

    def _schedule_failures(self) -> None:
        scenario = self.scenario
        if scenario.dying_engine >= 0:
            self.at(scenario.fail_at, self._kill, scenario.dying_engine)
        if scenario.cut_zone >= 0:
            self.at(scenario.fail_at, self._set_cut, True)
            self.at(scenario.heal_at, self._set_cut, False)
        if scenario.replaced_every:
            for number, index in enumerate(range(0, len(self.models), 3)):
                start = scenario.fail_at + number * scenario.replaced_every
                self.at(start, self._leave, index)

    def _kill(self, index: int) -> None:
        self.alive[index] = False
        self.models[index] = engine_model.EngineModel(self.shape)
        self._stepping[index] = False
        for name, run in list(self._runs.items()):
            if index in run.placement.engines:
                self._finish(name, run, True)
        # The platform's list follows late.
        self.at(self.now + 2.0, self.policy.changed)

    def _leave(self, index: int) -> None:
        self.leaving[index] = True
        self.at(self.now + 2.0, self.policy.changed)
        self.at(self.now + 15.0, self._replace, index)

    def _replace(self, index: int) -> None:
        busy = any(index in r.placement.engines for r in self._runs.values())
        if busy:
            self.at(self.now + 1.0, self._replace, index)
            return
        self.models[index] = engine_model.EngineModel(self.shape)
        self.leaving[index] = False
        self.incarnations[index] += 1
        self.at(self.now + 2.0, self.policy.changed)

    def _set_cut(self, is_cut: bool) -> None:
        self.is_cut = is_cut

    def _poll(self) -> None:
        self.policy.poll()
        if self.now < self._end + DRAIN_SECONDS:
            self.at(self.now + POLL_SECONDS, self._poll)
