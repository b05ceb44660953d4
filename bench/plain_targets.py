"""Simulates the targets of a plain service in virtual time.

A target processes as many requests as it has slots and queues the others. Each
takes its work times a factor that may depend on the target, the number of its
requests and the time.
"""

import heapq
import itertools
import math
import random
from typing import Any, Callable, NamedTuple, Protocol

__all__ = [
    "GOAL_MS",
    "Plan",
    "SLOTS",
    "Sent",
    "goal_share",
    "make_load",
    "percentile",
    "simulate",
    "target_share",
]

SLOTS = 8
GOAL_MS = 600.0
WORK_MS = 100.0
# How many times a large request takes the work of a small one.
LARGE_FACTOR = 9.0
# Time after which a connection over a cut link fails.
CUT_SECONDS = 0.1


class Plan(NamedTuple):
    """What happens in a simulation.

    Attributes:
        factor: Called with the name of a target, the number of its requests and
            the time; returns how many times longer its work takes.
        delay: Called with the name of a target; returns the delay of its
            network in seconds, both ways together.
        is_cut: Called with the name of a target and the time; returns whether
            it cannot be reached.
        lost_at: Time at which what was learned is lost, in seconds.
    """

    factor: Callable[[str, int, float], float] = lambda name, running, now: 1.0
    delay: Callable[[str], float] = lambda name: 0.0
    is_cut: Callable[[str, float], bool] = lambda name, now: False
    lost_at: float = math.inf


class Sent(NamedTuple):
    """A request that was sent.

    Attributes:
        at: Time of its arrival, in seconds.
        target: Name of its target.
        milliseconds: Time to its answer; infinite if it failed.
    """

    at: float
    target: str
    milliseconds: float


class Placement(Protocol):
    """Chooses targets."""

    def place(self, key: str, now: float) -> str:
        """Returns the name of the target for a request."""

    def end(self, key: str, name: str, is_success: bool, now: float) -> None:
        """Records the end of a request."""

    def reset(self, now: float) -> None:
        """Forgets everything but the requests in progress."""


class _Job(NamedTuple):
    """A request in progress; its work and arrival are in seconds."""

    key: str
    target: str
    work: float
    arrived_at: float


def make_load(
    seconds: float, rate: float, seed: int = 1, large_share: float = 0.0
) -> list[tuple[float, float]]:
    """Returns the times of arrival and the work of requests, in seconds.

    Args:
        seconds: Duration of the load.
        rate: Requests per second.
        seed: Seed of the random numbers.
        large_share: Share of large requests.
    """
    rng = random.Random(seed)
    load = []
    now = rng.expovariate(rate)
    while now < seconds:
        is_large = rng.random() < large_share
        size = rng.uniform(0.8, 1.2) * (LARGE_FACTOR if is_large else 1.0)
        load.append((now, size * WORK_MS / 1000.0))
        now += rng.expovariate(rate)
    return load


def simulate(
    load: list[tuple[float, float]], placement: Placement, plan: Plan = Plan()
) -> list[Sent]:
    """Runs a load; returns the requests that were sent.

    Args:
        load: Times of arrival and work, in seconds.
        placement: Chooses the targets.
        plan: What happens meanwhile.
    """
    events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
    order = itertools.count()
    running: dict[str, int] = {}
    queues: dict[str, list[_Job]] = {}
    sent: list[Sent] = []
    now = 0.0

    def schedule(
        when: float, function: Callable[..., None], *arguments: Any
    ) -> None:
        heapq.heappush(events, (when, next(order), function, arguments))

    def arrive(key: str, work: float) -> None:
        job = _Job(key, placement.place(key, now), work, now)
        if plan.is_cut(job.target, now):
            schedule(now + CUT_SECONDS, answer, job, False)
        else:
            schedule(now + plan.delay(job.target) / 2, receive, job)

    def receive(job: _Job) -> None:
        if running.get(job.target, 0) < SLOTS:
            start(job)
        else:
            queues.setdefault(job.target, []).append(job)

    def start(job: _Job) -> None:
        name = job.target
        running[name] = running.get(name, 0) + 1
        schedule(
            now + job.work * plan.factor(name, running[name], now), finish, job
        )

    def finish(job: _Job) -> None:
        running[job.target] -= 1
        if queues.get(job.target):
            start(queues[job.target].pop(0))
        schedule(now + plan.delay(job.target) / 2, answer, job, True)

    def answer(job: _Job, is_success: bool) -> None:
        placement.end(job.key, job.target, is_success, now)
        milliseconds = (now - job.arrived_at) * 1000.0
        if not is_success:
            milliseconds = math.inf
        sent.append(Sent(job.arrived_at, job.target, milliseconds))

    for number, (at, work) in enumerate(load):
        schedule(at, arrive, f"k{number}", work)
    if plan.lost_at < math.inf:
        schedule(plan.lost_at, lambda: placement.reset(now))
    while events:
        now, _, function, arguments = heapq.heappop(events)
        function(*arguments)
    return sent


def goal_share(sent: list[Sent]) -> float:
    """Returns the share of requests that were answered within their goal."""
    return sum(s.milliseconds <= GOAL_MS for s in sent) / len(sent)


def percentile(sent: list[Sent], share: float) -> float:
    """Returns the milliseconds that a share of the requests do not exceed."""
    times = sorted(s.milliseconds for s in sent)
    return times[min(len(times) - 1, int(share * len(times)))]


def target_share(
    sent: list[Sent],
    names: set[str],
    start: float = 0.0,
    end: float = math.inf,
) -> float:
    """Returns the share of the sends of a time that went to some targets."""
    window = [s for s in sent if start <= s.at < end]
    return sum(s.target in names for s in window) / len(window)
