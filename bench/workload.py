"""Arrivals of both deployments, from fixed seeds."""

import collections
import functools
import itertools
import math
import random
from typing import NamedTuple

from catkintrail.standin import engine_model

__all__ = [
    "Deployment",
    "Job",
    "DEPLOYMENTS",
    "capacity_per_second",
    "make_jobs",
]

BLOCK_TOKENS = 512
LONG_FRACTION = 0.02
LONG_LEAST, LONG_MOST = 100_000, 1_000_000
SHORT_LEAST, SHORT_MOST = 1_000, 100_000
REVIEW_DEADLINE_SECONDS = 43_200.0
DRAFT_DEADLINE_SECONDS = 300.0
SHORT_DEADLINE_SECONDS = 30.0
PREFIX_FRACTION = 0.7
FOLLOW_UP_FRACTION = 0.3
MAX_CONVERSATIONS = 200
CAPACITY_SECONDS = 300.0
# Part of the memory that running requests leave for cached blocks.
CACHE_MEMORY_FRACTION = 0.5


class Deployment(NamedTuple):
    """One deployment of the brief.

    Attributes:
        name: Its name.
        zones: Its availability zones.
        engines: Number of engines.
        weights: Weights of the organisations; large ones come first.
        first_token_weight: Weight of time to first token in its measure.
        slowdown_weight: Weight of the slowdown of short requests.
    """

    name: str
    zones: tuple[str, ...]
    engines: int
    weights: tuple[float, ...]
    first_token_weight: float
    slowdown_weight: float


_WEIGHTS = (4.0, 4.0, 2.0) + (1.0,) * 7

DEPLOYMENTS = (
    Deployment(
        "brunnsrotan", ("falun", "mora", "rattvik"), 24, _WEIGHTS, 0.7, 0.3
    ),
    Deployment(
        "kandyan-loop",
        ("colombo-a", "colombo-b", "negombo-c"),
        24,
        _WEIGHTS,
        0.3,
        0.7,
    ),
)


class Job(NamedTuple):
    """One request of the workload.

    Attributes:
        number: Its number.
        arrival: Seconds from the start.
        zone: Index of the zone that it enters.
        organisation: Index of the organisation.
        prompt_tokens: Length of the prompt.
        max_tokens: The most output that it allows.
        output_tokens: The output that it will have.
        blocks: Hashes of its blocks.
        deadline: Seconds from its arrival.
        is_long: Whether the prompt has over 100,000 tokens.
    """

    number: int
    arrival: float
    zone: int
    organisation: int
    prompt_tokens: int
    max_tokens: int
    output_tokens: int
    blocks: tuple[int, ...]
    deadline: float
    is_long: bool


class _Generator:
    """Makes jobs with shared prefixes and follow-up questions.

    A follow-up enters the zone of the conversation: its caller stays there.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.rng = random.Random(f"{deployment.name}/{seed}")
        self.numbers = itertools.count(1)
        self.prefixes = [
            self._new_blocks(self.rng.randint(2, 8)) for _ in deployment.weights
        ]
        self.conversations: dict[tuple[int, bool], list] = {}

    def make(self, number: int, arrival: float, flood: int | None) -> Job:
        """Makes one job."""
        rng = self.rng
        weights = self.deployment.weights
        organisation = flood
        if organisation is None:
            organisation = rng.choices(range(len(weights)), weights)[0]
        is_long = rng.random() < LONG_FRACTION
        tokens = _long_tokens(rng) if is_long else _short_tokens(rng)
        blocks, zone = self._blocks(organisation, is_long, tokens)
        max_tokens = int(min(400, max(16, rng.lognormvariate(4.4, 0.6))))
        output = max(1, int(max_tokens * rng.uniform(0.5, 1.0)))
        deadline = SHORT_DEADLINE_SECONDS
        if is_long:
            deadline = DRAFT_DEADLINE_SECONDS
            if rng.random() < 0.5:
                deadline = REVIEW_DEADLINE_SECONDS
        return Job(
            number,
            arrival,
            zone,
            organisation,
            tokens,
            max_tokens,
            output,
            blocks,
            deadline,
            is_long,
        )

    def _blocks(
        self, organisation: int, is_long: bool, tokens: int
    ) -> tuple[tuple[int, ...], int]:
        """Returns a prompt's blocks and the zone that it enters."""
        rng = self.rng
        zone = rng.randrange(len(self.deployment.zones))
        count = tokens // BLOCK_TOKENS
        known = self.conversations.setdefault((organisation, is_long), [])
        start: tuple[int, ...] = ()
        if known and rng.random() < FOLLOW_UP_FRACTION:
            start, zone = rng.choice(known)
        elif not is_long and rng.random() < PREFIX_FRACTION:
            start = self.prefixes[organisation]
        start = start[:count]
        blocks = start + self._new_blocks(count - len(start))
        known.append((blocks, zone))
        if len(known) > (4 if is_long else MAX_CONVERSATIONS):
            known.pop(0)
        return blocks, zone

    def _new_blocks(self, count: int) -> tuple[int, ...]:
        return tuple(itertools.islice(self.numbers, count))


def _short_tokens(rng: random.Random) -> int:
    tokens = int(rng.lognormvariate(8.0, 0.9))
    return min(SHORT_MOST, max(SHORT_LEAST, tokens))


def _long_tokens(rng: random.Random) -> int:
    part = 1.0 - LONG_LEAST / LONG_MOST
    tokens = int(LONG_LEAST / (1.0 - part * rng.random()))
    return min(LONG_MOST, tokens)


def make_jobs(
    deployment: Deployment,
    per_second: float,
    seconds: float,
    seed: int,
    flood_from: float = math.inf,
    flood_factor: float = 1.0,
) -> list[Job]:
    """Makes the arrivals of one run.

    Args:
        deployment: The deployment.
        per_second: Mean arrivals a second.
        seconds: Length of the run.
        seed: Seed.
        flood_from: When the last organisation starts to flood.
        flood_factor: Its extra arrivals, against all the others together.
    """
    generator = _Generator(deployment, seed)
    rng = random.Random(f"arrivals/{deployment.name}/{seed}")
    jobs = []
    now = 0.0
    while True:
        is_flooding = now >= flood_from
        extra = flood_factor if is_flooding else 0.0
        now += rng.expovariate(per_second * (1.0 + extra))
        if now >= seconds:
            return jobs
        flood = None
        if is_flooding and rng.random() < extra / (1.0 + extra):
            flood = len(deployment.weights) - 1
        jobs.append(generator.make(len(jobs), now, flood))


@functools.cache
def capacity_per_second(
    deployment: Deployment, shape: engine_model.EngineShape
) -> float:
    """Returns the arrivals a second that the engines can physically serve.

    The lesser of two bounds: the engines' time, where every block is found
    that one cache over all engines could hold beside the running requests,
    and their memory, with every request running at full speed.
    """
    jobs = make_jobs(deployment, 100.0, CAPACITY_SECONDS, 99)
    blocks = deployment.engines * shape.kv_tokens // shape.block_tokens
    cache = _Cache(int(blocks * CACHE_MEMORY_FRACTION))
    work = 0.0
    memory = 0.0
    step = shape.step_seconds + shape.chunk_tokens * shape.prefill_seconds
    per_token = step / shape.chunk_tokens
    for job in jobs:
        cached = cache.use(job.blocks) * BLOCK_TOKENS
        prefill = max(1, job.prompt_tokens - cached) * per_token
        work += prefill + job.output_tokens * shape.decode_seconds
        residence = prefill + job.output_tokens * shape.step_seconds
        memory += (job.prompt_tokens + job.max_tokens) * residence
    by_time = len(jobs) / work
    by_memory = len(jobs) * shape.kv_tokens / memory
    return deployment.engines * min(by_time, by_memory)


class _Cache:
    """One cache over all engines; the least recently used block goes."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def use(self, blocks: tuple[int, ...]) -> int:
        """Returns how many leading blocks are there, and adds all."""
        matched = 0
        for block in blocks:
            if block not in self.blocks:
                break
            matched += 1
        for block in blocks:
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        while len(self.blocks) > self.capacity:
            self.blocks.popitem(last=False)
        return matched
