"""Discrete-event simulation of engines under a placement policy."""

import heapq
import itertools
import random
from typing import Any, Callable, NamedTuple, Protocol

from bench import workload
from catkintrail.standin import engine_model

__all__ = ["Outcome", "Placement", "Policy", "Scenario", "Simulation"]

INTRA_ZONE_DELAY_SECONDS = 0.001
INTER_ZONE_DELAY_SECONDS = 0.002
POLL_SECONDS = 2.0
DRAIN_SECONDS = 400.0


class Scenario(NamedTuple):
    """Failures and other conditions of a run; times in seconds from its start.

    Attributes:
        name: Name in the results.
        report_lag_seconds: Age of the load reports that the policy reads.
        event_loss_probability: Probability that a cache event is lost; 1 where
            the policy reads none.
        failed_engine: Index of an engine that fails; -1 for none.
        isolated_zone: Index of a zone partitioned from the others; -1 for none.
        fail_at: When the engine fails, the partition or the flood begins, or
            the first engine is replaced.
        heal_at: When the partition ends.
        flood_factor: Extra arrivals of one organisation, as a multiple of all
            normal arrivals; 0 for none.
        replacement_interval_seconds: Time between replacements of engines; 0
            for none.
    """

    name: str = "plain"
    report_lag_seconds: float = 0.5
    event_loss_probability: float = 1.0
    failed_engine: int = -1
    isolated_zone: int = -1
    fail_at: float = 20.0
    heal_at: float = 40.0
    flood_factor: float = 0.0
    replacement_interval_seconds: float = 0.0


class Placement(NamedTuple):
    """Engines that run a job: one, or a group that splits its prompt.

    Attributes:
        engines: Indexes of the engines; the first one generates the output.
        priority: Priority on the engines; higher goes first.
    """

    engines: tuple[int, ...]
    priority: int


class Outcome:
    """State and result of a job; times in seconds from the start of the run.

    Attributes:
        job: The job.
        first_token_at: Time of the first token; None before.
        ended_at: Time of the last token; None before.
        last_token_at: Time of the latest token.
        refused_at: Time of the refusal; None where it was not refused.
        retry_after_seconds: Time after which the refusal allows a retry.
        cached_tokens: Prompt tokens found in a prefix cache.
        attempts: Counter of attempts, part of the request ids.
        was_admitted: Whether the policy has admitted it.
        produced_tokens: Output tokens so far, kept across attempts.
    """

    def __init__(self, job: workload.Job) -> None:
        self.job = job
        self.first_token_at: float | None = None
        self.ended_at: float | None = None
        self.last_token_at = 0.0
        self.refused_at: float | None = None
        self.retry_after_seconds = 0.0
        self.cached_tokens = 0
        self.attempts = 0
        self.was_admitted = False
        self.produced_tokens = 0


class Policy(Protocol):
    """Assigns jobs to engines; called by the simulation."""

    def on_arrival(self, outcome: Outcome) -> None:
        """Handles the arrival of a job."""

    def on_first_token(self, outcome: Outcome) -> None:
        """Handles the first token of a job."""

    def on_end(self, outcome: Outcome, failed: bool) -> None:
        """Handles the end of a job on its engines.

        Args:
            outcome: The job.
            failed: Whether an engine failed before the job was complete.
        """

    def poll(self) -> None:
        """Reads the load reports of the engines; called every POLL_SECONDS."""

    def on_targets_changed(self) -> None:
        """Handles a change in the platform's list of engines."""


class _Execution:
    """One attempt at a job on its engines."""

    def __init__(self, outcome: Outcome, placement: Placement) -> None:
        self.outcome = outcome
        self.placement = placement
        self.pending_parts = len(placement.engines)
        self.share_tokens = 0
        self.has_ended = False
        self.sequence: engine_model.Sequence | None = None


class Simulation:
    """One run of a workload under a policy.

    Attributes:
        now: Virtual time in seconds.
        models: The engines.
        alive: Whether each engine is running.
        leaving: Whether each engine is being shut down.
        incarnations: Incarnation of each engine; raised by a replacement.
        zone_of: Zone index of each engine.
        is_partitioned: Whether the scenario's isolated zone is unreachable now.
        outcomes: Outcomes of the jobs, in order of arrival.
        gap_counts: Number of gaps between tokens, by length in whole
            milliseconds.
    """

    def __init__(
        self,
        deployment: workload.Deployment,
        jobs: list[workload.Job],
        scenario: Scenario,
        parameters: engine_model.EngineParameters,
        make_policy: Callable[["Simulation"], Policy],
        seed: int = 1,
    ) -> None:
        self.deployment = deployment
        self.scenario = scenario
        self.parameters = parameters
        self.now = 0.0
        self.rng = random.Random(f"simulation/{seed}")
        count = deployment.engines
        self.models = [
            engine_model.EngineModel(parameters) for _ in range(count)
        ]
        self.alive = [True] * count
        self.leaving = [False] * count
        self.incarnations = [1] * count
        self.zone_of = [
            index * len(deployment.zones) // count for index in range(count)
        ]
        self.is_partitioned = False
        self.outcomes = [Outcome(job) for job in jobs]
        self.gap_counts: dict[int, int] = {}
        self._scheduled: list[tuple[float, int, Callable, tuple]] = []
        self._sequence_numbers = itertools.count()
        self._stepping = [False] * count
        self._executions: dict[str, _Execution] = {}
        self._last_arrival = jobs[-1].arrival if jobs else 0.0
        self.policy = make_policy(self)

    def run(self) -> list[Outcome]:
        """Runs the simulation until DRAIN_SECONDS after the last arrival.

        Returns:
            The outcomes of all jobs, in order of arrival.
        """
        for outcome in self.outcomes:
            self.call_at(outcome.job.arrival, self.policy.on_arrival, outcome)
        self.call_at(POLL_SECONDS, self._poll)
        self._schedule_failures()
        end = self._last_arrival + DRAIN_SECONDS
        while self._scheduled and self._scheduled[0][0] <= end:
            self.now, _, function, arguments = heapq.heappop(self._scheduled)
            function(*arguments)
        return self.outcomes

    def call_at(self, when: float, function: Callable, *arguments: Any) -> None:
        """Schedules a call at a virtual time."""
        entry = (when, next(self._sequence_numbers), function, arguments)
        heapq.heappush(self._scheduled, entry)

    def can_reach(self, first: int, second: int) -> bool:
        """Returns whether two zones can communicate now."""
        isolated = self.scenario.isolated_zone
        return not self.is_partitioned or (first == isolated) == (
            second == isolated
        )

    def submit(self, outcome: Outcome, placement: Placement) -> bool:
        """Starts a job on engines.

        Returns:
            False where an engine is not running or leaving, or lacks memory for
            a group's reservation.
        """
        for index in placement.engines:
            if not self.alive[index] or self.leaving[index]:
                return False
        job = outcome.job
        execution = _Execution(outcome, placement)
        outcome.attempts += 1
        name = f"{job.number}.{outcome.attempts}"
        if len(placement.engines) > 1:
            if not self._reserve_group(execution):
                return False
            self._start_parts(name, execution)
        else:
            index = placement.engines[0]
            sequence = self.models[index].submit(
                name,
                job.prompt_tokens + outcome.produced_tokens,
                max(1, job.output_tokens - outcome.produced_tokens),
                placement.priority,
                job.blocks,
            )
            execution.sequence = sequence
        self._executions[name] = execution
        for index in placement.engines:
            self._start_step(index)
        return True

    # Engine steps.

    def _start_step(self, index: int) -> None:
        model = self.models[index]
        if self._stepping[index] or model.is_idle():
            return
        self._stepping[index] = True
        seconds = model.begin_step()
        self.call_at(self.now + seconds, self._end_step, index, model)

    def _end_step(self, index: int, model: engine_model.EngineModel) -> None:
        if model is not self.models[index]:
            return
        self._stepping[index] = False
        for output in model.end_step():
            self._handle_output(output)
        self._start_step(index)

    def _handle_output(self, output: engine_model.SequenceProgress) -> None:
        name = output.name.partition("/")[0]
        execution = self._executions.get(name)
        if execution is None:
            return
        outcome = execution.outcome
        if "/" in output.name:
            self._end_part(name, execution)
            return
        if outcome.produced_tokens == 0:
            outcome.first_token_at = self.now
            if execution.sequence is not None:
                outcome.cached_tokens = execution.sequence.cached_tokens
            self.policy.on_first_token(outcome)
        else:
            gap = int((self.now - outcome.last_token_at) * 1_000)
            self.gap_counts[gap] = self.gap_counts.get(gap, 0) + 1
        outcome.produced_tokens += 1
        outcome.last_token_at = self.now
        if output.is_done:
            outcome.ended_at = self.now
            self._finish(name, execution, False)

    def _finish(self, name: str, execution: _Execution, failed: bool) -> None:
        del self._executions[name]
        execution.has_ended = True
        if len(execution.placement.engines) > 1:
            for index in execution.placement.engines:
                if self.alive[index]:
                    self.models[index].release_memory(execution.share_tokens)
                    self.models[index].cancel(f"{name}/p{index}")
        self.policy.on_end(execution.outcome, failed)

    # Groups.

    def _reserve_group(self, execution: _Execution) -> bool:
        job = execution.outcome.job
        engines = execution.placement.engines
        needed_tokens = job.prompt_tokens + job.max_tokens
        execution.share_tokens = -(-needed_tokens // len(engines))
        reserved = []
        for index in engines:
            if not self.models[index].reserve_memory(execution.share_tokens):
                for other in reserved:
                    self.models[other].release_memory(execution.share_tokens)
                return False
            reserved.append(index)
        return True

    def _start_parts(self, name: str, execution: _Execution) -> None:
        engines = execution.placement.engines
        tokens = execution.outcome.job.prompt_tokens
        overhead = 1.0 + 0.1 * (len(engines) - 1)
        part_tokens = int(tokens / len(engines) * overhead)
        for index in engines:
            self.models[index].submit(
                f"{name}/p{index}",
                part_tokens,
                0,
                execution.placement.priority,
                (),
                True,
            )

    def _end_part(self, name: str, execution: _Execution) -> None:
        execution.pending_parts -= 1
        if execution.pending_parts or execution.has_ended:
            return
        leader = execution.placement.engines[0]
        job = execution.outcome.job
        self.models[leader].submit(
            name,
            1,
            max(1, job.output_tokens - execution.outcome.produced_tokens),
            execution.placement.priority + 1,
            (),
            True,
        )
        self._start_step(leader)

    # Failures.

    def _schedule_failures(self) -> None:
        scenario = self.scenario
        if scenario.failed_engine >= 0:
            self.call_at(
                scenario.fail_at, self._fail_engine, scenario.failed_engine
            )
        if scenario.isolated_zone >= 0:
            self.call_at(scenario.fail_at, self._set_partitioned, True)
            self.call_at(scenario.heal_at, self._set_partitioned, False)
        if scenario.replacement_interval_seconds:
            for number, index in enumerate(range(0, len(self.models), 3)):
                start = (
                    scenario.fail_at
                    + number * scenario.replacement_interval_seconds
                )
                self.call_at(start, self._start_replacement, index)

    def _fail_engine(self, index: int) -> None:
        self.alive[index] = False
        self.models[index] = engine_model.EngineModel(self.parameters)
        self._stepping[index] = False
        for name, execution in list(self._executions.items()):
            if index in execution.placement.engines:
                self._finish(name, execution, True)
        # The platform updates its list with a delay.
        self.call_at(self.now + 2.0, self.policy.on_targets_changed)

    def _start_replacement(self, index: int) -> None:
        self.leaving[index] = True
        self.call_at(self.now + 2.0, self.policy.on_targets_changed)
        self.call_at(self.now + 15.0, self._finish_replacement, index)

    def _finish_replacement(self, index: int) -> None:
        busy = any(
            index in execution.placement.engines
            for execution in self._executions.values()
        )
        if busy:
            self.call_at(self.now + 1.0, self._finish_replacement, index)
            return
        self.models[index] = engine_model.EngineModel(self.parameters)
        self.leaving[index] = False
        self.incarnations[index] += 1
        self.call_at(self.now + 2.0, self.policy.on_targets_changed)

    def _set_partitioned(self, is_partitioned: bool) -> None:
        self.is_partitioned = is_partitioned

    def _poll(self) -> None:
        self.policy.poll()
        if self.now < self._last_arrival + DRAIN_SECONDS:
            self.call_at(self.now + POLL_SECONDS, self._poll)
