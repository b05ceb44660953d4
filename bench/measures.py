"""Measures of one run of the policy benchmark."""

from typing import NamedTuple, Sequence

from bench import simulation
from bench import workload

__all__ = ["BUCKETS", "Measures", "measure", "percentile", "slowdowns"]

BUCKETS = (2_000, 8_000, 32_000, 100_000, 300_000, 1_000_000)
SHORT_TOKENS = 8_000


class Measures(NamedTuple):
    """What one run gave; times in seconds.

    Attributes:
        first_token: 50th, 95th and 99th percentile of time to first token, by
            the upper end of the prompt-length bucket.
        short_first_token_p95: Of prompts up to SHORT_TOKENS.
        long_first_token_p95: Of prompts over 100,000 tokens.
        token_gap_p95: Time between tokens.
        answered: Part of the requests answered in time.
        refused: Part refused at once.
        broken: Part admitted, then refused.
        late: Part admitted and answered late or never.
        long_in_time: Part of the long prompts answered in time.
        goodput: Tokens of prompts and answers served in time, a second.
        cached: Part of the prompt tokens found in a cache.
        least_share: Work got by the organisation that got least, against its
            fair share or its demand, whichever is less.
    """

    first_token: dict[int, tuple[float, float, float]]
    short_first_token_p95: float
    long_first_token_p95: float
    token_gap_p95: float
    answered: float
    refused: float
    broken: float
    late: float
    long_in_time: float
    goodput: float
    cached: float
    least_share: float


def percentile(values: Sequence[float], rank: float) -> float:
    """Returns a percentile; infinite entries count as largest."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    index = min(len(ordered) - 1, int(len(ordered) * rank / 100.0))
    return ordered[index]


def measure(
    deployment: workload.Deployment,
    outcomes: list[simulation.Outcome],
    gap_counts: dict[int, int],
    seconds: float,
) -> Measures:
    """Computes the measures of a run."""
    total = len(outcomes)
    waits = {
        bucket: [_first_token(o) for o in outcomes if _bucket(o) == bucket]
        for bucket in BUCKETS
    }
    short = [
        _first_token(o)
        for o in outcomes
        if o.job.prompt_tokens <= SHORT_TOKENS and o.refused_at is None
    ]
    longs = [o for o in outcomes if o.job.is_long]
    in_time = [o for o in outcomes if _is_in_time(o)]
    prompts = sum(o.job.prompt_tokens for o in outcomes if o.first_token)
    return Measures(
        {
            bucket: tuple(percentile(values, rank) for rank in (50, 95, 99))
            for bucket, values in waits.items()
        },
        percentile(short, 95),
        percentile([_first_token(o) for o in longs], 95),
        _gap_percentile(gap_counts, 95),
        len(in_time) / total,
        sum(1 for o in outcomes if _is_refused(o, False)) / total,
        sum(1 for o in outcomes if _is_refused(o, True)) / total,
        sum(1 for o in outcomes if _is_late(o)) / total,
        sum(1 for o in longs if _is_in_time(o)) / max(1, len(longs)),
        sum(_tokens(o) for o in in_time) / seconds,
        sum(o.cached_tokens for o in outcomes) / max(1, prompts),
        _least_share(deployment, outcomes),
    )


def slowdowns(
    mixed: list[simulation.Outcome], alone: list[simulation.Outcome]
) -> tuple[float, float]:
    """Returns median and 95th percentile of the slowdown of short requests.

    The slowdown is a request's response time in the mixed run, divided by its
    response time in a run of the short requests alone.
    """
    times = {
        o.job.number: o.ended - o.job.arrival
        for o in alone
        if o.ended is not None
    }
    ratios = [
        _response(o) / times[o.job.number]
        for o in mixed
        if o.job.number in times
        and o.job.prompt_tokens <= SHORT_TOKENS
        and o.refused_at is None
    ]
    return percentile(ratios, 50), percentile(ratios, 95)


def _first_token(outcome: simulation.Outcome) -> float:
    if outcome.first_token is None:
        return float("inf") if outcome.refused_at is None else 0.0
    return outcome.first_token - outcome.job.arrival


def _response(outcome: simulation.Outcome) -> float:
    if outcome.ended is None:
        return float("inf")
    return outcome.ended - outcome.job.arrival


def _bucket(outcome: simulation.Outcome) -> int:
    tokens = outcome.job.prompt_tokens
    return next(bucket for bucket in BUCKETS if tokens <= bucket)


def _is_in_time(outcome: simulation.Outcome) -> bool:
    return _response(outcome) <= outcome.job.deadline


def _is_refused(outcome: simulation.Outcome, was_admitted: bool) -> bool:
    if outcome.refused_at is None:
        return False
    return outcome.was_admitted == was_admitted


def _is_late(outcome: simulation.Outcome) -> bool:
    return outcome.refused_at is None and not _is_in_time(outcome)


def _tokens(outcome: simulation.Outcome) -> int:
    return outcome.job.prompt_tokens + outcome.job.output_tokens


def _gap_percentile(counts: dict[int, int], rank: float) -> float:
    left = sum(counts.values()) * rank / 100.0
    for gap in sorted(counts):
        left -= counts[gap]
        if left <= 0:
            return gap / 1_000.0
    return 0.0


def _least_share(
    deployment: workload.Deployment, outcomes: list[simulation.Outcome]
) -> float:
    """Returns the least of what organisations got against what was due."""
    weights = deployment.weights
    got = [0.0] * len(weights)
    wanted = [0.0] * len(weights)
    for outcome in outcomes:
        index = outcome.job.organisation
        wanted[index] += _tokens(outcome)
        if _is_in_time(outcome):
            got[index] += _tokens(outcome)
    fair = _max_min_shares(sum(got), wanted, weights)
    return min(g / f for g, f in zip(got, fair, strict=True) if f > 0)


def _max_min_shares(
    total: float, wanted: list[float], weights: Sequence[float]
) -> list[float]:
    shares = [0.0] * len(wanted)
    order = sorted(range(len(wanted)), key=lambda i: wanted[i] / weights[i])
    left, weight_left = total, sum(weights)
    for index in order:
        fair = left * weights[index] / weight_left
        shares[index] = min(wanted[index], fair)
        left -= shares[index]
        weight_left -= weights[index]
    return shares
