"""Generates the requests of the simulated deployments from fixed seeds."""

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
LONG_MIN_TOKENS, LONG_MAX_TOKENS = 100_000, 1_000_000
SHORT_MIN_TOKENS, SHORT_MAX_TOKENS = 1_000, 100_000
LONG_REVIEW_DEADLINE_SECONDS = 43_200.0
LONG_DRAFT_DEADLINE_SECONDS = 300.0
SHORT_DEADLINE_SECONDS = 30.0
PREFIX_FRACTION = 0.7
FOLLOW_UP_FRACTION = 0.3
MAX_CONVERSATIONS = 200
CAPACITY_SAMPLE_SECONDS = 300.0
# Fraction of KV memory that running requests leave for cached blocks.
CACHE_MEMORY_FRACTION = 0.5


class Deployment(NamedTuple):
    """A deployment for which requests are generated.

    Attributes:
        name: Name in the results and part of the seeds.
        zones: Names of the availability zones.
        engines: Number of engines.
        weights: Weights of the organisations, in descending order.
        first_token_weight: Weight of the time to first token in the score.
        slowdown_weight: Weight of the slowdown of short requests in the score.
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
    """One generated request.

    Attributes:
        number: Sequence number, from 0.
        arrival: Seconds from the start of the run.
        zone: Index of the zone that receives the request.
        organisation: Index of the organisation.
        prompt_tokens: Length of the prompt.
        max_tokens: Limit on output tokens.
        output_tokens: Output tokens that the engine will generate.
        blocks: Hashes of the prompt's blocks.
        deadline: Seconds from the arrival.
        is_long: Whether the prompt is a long one, of 100,000 tokens or more.
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


class _JobGenerator:
    """Generates jobs with shared prefixes and follow-up requests.

    A follow-up is sent to the zone of its conversation, because callers do not
    change zones.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.deployment = deployment
        self.rng = random.Random(f"{deployment.name}/{seed}")
        self.block_hashes = itertools.count(1)
        self.prefixes = [
            self._new_blocks(self.rng.randint(2, 8)) for _ in deployment.weights
        ]
        self.conversations: dict[tuple[int, bool], list] = {}

    def make_job(
        self, number: int, arrival: float, flooding_organisation: int | None
    ) -> Job:
        """Generates one job.

        Args:
            number: Sequence number.
            arrival: Seconds from the start of the run.
            flooding_organisation: Index of the organisation that sends the job;
                None to draw one by weight.
        """
        rng = self.rng
        weights = self.deployment.weights
        organisation = flooding_organisation
        if organisation is None:
            organisation = rng.choices(range(len(weights)), weights)[0]
        is_long = rng.random() < LONG_FRACTION
        tokens = _long_tokens(rng) if is_long else _short_tokens(rng)
        blocks, zone = self._blocks(organisation, is_long, tokens)
        max_tokens = int(min(400, max(16, rng.lognormvariate(4.4, 0.6))))
        output = max(1, int(max_tokens * rng.uniform(0.5, 1.0)))
        deadline = SHORT_DEADLINE_SECONDS
        if is_long:
            deadline = LONG_DRAFT_DEADLINE_SECONDS
            if rng.random() < 0.5:
                deadline = LONG_REVIEW_DEADLINE_SECONDS
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
        """Returns the blocks of a prompt and the zone that receives it."""
        rng = self.rng
        zone = rng.randrange(len(self.deployment.zones))
        count = tokens // BLOCK_TOKENS
        conversations = self.conversations.setdefault(
            (organisation, is_long), []
        )
        prefix: tuple[int, ...] = ()
        if conversations and rng.random() < FOLLOW_UP_FRACTION:
            prefix, zone = rng.choice(conversations)
        elif not is_long and rng.random() < PREFIX_FRACTION:
            prefix = self.prefixes[organisation]
        prefix = prefix[:count]
        blocks = prefix + self._new_blocks(count - len(prefix))
        conversations.append((blocks, zone))
        if len(conversations) > (4 if is_long else MAX_CONVERSATIONS):
            conversations.pop(0)
        return blocks, zone

    def _new_blocks(self, count: int) -> tuple[int, ...]:
        return tuple(itertools.islice(self.block_hashes, count))


def _short_tokens(rng: random.Random) -> int:
    tokens = int(rng.lognormvariate(8.0, 0.9))
    return min(SHORT_MAX_TOKENS, max(SHORT_MIN_TOKENS, tokens))


def _long_tokens(rng: random.Random) -> int:
    """Draws a length from a bounded Pareto distribution with shape 1."""
    truncated_fraction = 1.0 - LONG_MIN_TOKENS / LONG_MAX_TOKENS
    tokens = int(LONG_MIN_TOKENS / (1.0 - truncated_fraction * rng.random()))
    return min(LONG_MAX_TOKENS, tokens)


def make_jobs(
    deployment: Deployment,
    arrivals_per_second: float,
    seconds: float,
    seed: int,
    flood_start: float = math.inf,
    flood_factor: float = 1.0,
) -> list[Job]:
    """Generates the jobs of one run, in order of arrival.

    Args:
        deployment: The deployment.
        arrivals_per_second: Mean arrival rate, without the flood.
        seconds: Length of the run.
        seed: Seed of the random numbers.
        flood_start: Seconds from the start of the run at which the last
            organisation begins to send extra requests.
        flood_factor: Extra arrivals, as a multiple of all normal arrivals.
    """
    generator = _JobGenerator(deployment, seed)
    rng = random.Random(f"arrivals/{deployment.name}/{seed}")
    jobs = []
    now = 0.0
    while True:
        is_flooding = now >= flood_start
        extra_factor = flood_factor if is_flooding else 0.0
        now += rng.expovariate(arrivals_per_second * (1.0 + extra_factor))
        if now >= seconds:
            return jobs
        flooding_organisation = None
        if is_flooding and rng.random() < extra_factor / (1.0 + extra_factor):
            flooding_organisation = len(deployment.weights) - 1
        jobs.append(generator.make_job(len(jobs), now, flooding_organisation))


@functools.cache
def capacity_per_second(
    deployment: Deployment, parameters: engine_model.EngineParameters
) -> float:
    """Returns the arrivals per second that the engines can physically serve.

    This is the lower of two bounds. The time bound assumes a cache hit for
    every block that one cache over all engines could hold beside the running
    requests. The memory bound assumes that every request runs at full speed.
    """
    jobs = make_jobs(deployment, 100.0, CAPACITY_SAMPLE_SECONDS, 99)
    blocks = (
        deployment.engines * parameters.kv_tokens // parameters.block_tokens
    )
    cache = _LruCache(int(blocks * CACHE_MEMORY_FRACTION))
    engine_seconds = 0.0
    token_seconds = 0.0
    step_seconds = (
        parameters.step_seconds
        + parameters.chunk_tokens * parameters.prefill_seconds
    )
    seconds_per_token = step_seconds / parameters.chunk_tokens
    for job in jobs:
        cached = cache.match_and_add(job.blocks) * BLOCK_TOKENS
        prefill_seconds = max(1, job.prompt_tokens - cached) * seconds_per_token
        engine_seconds += (
            prefill_seconds + job.output_tokens * parameters.decode_seconds
        )
        residence_seconds = (
            prefill_seconds + job.output_tokens * parameters.step_seconds
        )
        token_seconds += (
            job.prompt_tokens + job.max_tokens
        ) * residence_seconds
    time_bound = len(jobs) / engine_seconds
    memory_bound = len(jobs) * parameters.kv_tokens / token_seconds
    return deployment.engines * min(time_bound, memory_bound)


class _LruCache:
    """One block cache over all engines, with LRU eviction."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.blocks: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def match_and_add(self, blocks: tuple[int, ...]) -> int:
        """Returns the number of leading blocks cached, then adds all blocks."""
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
