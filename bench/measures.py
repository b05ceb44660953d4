"""Performance measures of one run of the policy benchmark."""

from typing import NamedTuple, Sequence

from bench import simulation
from bench import workload

__all__ = ["BUCKETS", "Measures", "measure", "percentile", "slowdowns"]

BUCKETS = (2_000, 8_000, 32_000, 100_000, 300_000, 1_000_000)
SHORT_TOKENS = 8_000


class Measures(NamedTuple):
    """Measures of one run; times in seconds.

    Attributes:
        first_token: 50th, 95th and 99th percentile of the time to first token,
            by the upper bound of the prompt length bucket. A request refused
            before its first token counts as 0.
        short_first_token_p95: 95th percentile of the time to first token of
            prompts up to SHORT_TOKENS, without refused requests.
        long_first_token_p95: The same for prompts over 100,000 tokens; refused
            requests count as in `first_token`.
        token_gap_p95: 95th percentile of the time between tokens.
        answered: Fraction of the requests completed before their deadline.
        refused: Fraction refused without being admitted.
        broken: Fraction admitted and refused afterwards.
        late: Fraction not refused and completed late or never.
        long_in_time: Fraction of the long prompts completed before their
            deadline.
        goodput: Prompt and output tokens of the requests completed before their
            deadline, per second.
        cached: Fraction of the prompt tokens found in a prefix cache.
        least_share: Lowest ratio, over the organisations, of the tokens served
            to the max-min fair share; the latter never exceeds the demand.
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
    """Returns a percentile.

    Args:
        values: Any order; infinite values sort last.
        rank: 0 to 100.

    Returns:
        The value at that rank; 0 for no values.
    """
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
    """Computes the measures of a run.

    Args:
        deployment: The deployment that was simulated.
        outcomes: Outcomes of all jobs.
        gap_counts: Number of gaps between tokens, by length in milliseconds.
        seconds: Length of the run, in virtual time.
    """
    total = len(outcomes)
    first_token_times = {
        bucket: [
            _time_to_first_token(o) for o in outcomes if _bucket(o) == bucket
        ]
        for bucket in BUCKETS
    }
    short_first_token_times = [
        _time_to_first_token(o)
        for o in outcomes
        if o.job.prompt_tokens <= SHORT_TOKENS and o.refused_at is None
    ]
    long_prompts = [o for o in outcomes if o.job.is_long]
    in_time = [o for o in outcomes if _is_in_time(o)]
    prompt_tokens = sum(
        o.job.prompt_tokens for o in outcomes if o.first_token_at
    )
    return Measures(
        {
            bucket: tuple(percentile(values, rank) for rank in (50, 95, 99))
            for bucket, values in first_token_times.items()
        },
        percentile(short_first_token_times, 95),
        percentile([_time_to_first_token(o) for o in long_prompts], 95),
        _gap_percentile(gap_counts, 95),
        len(in_time) / total,
        sum(1 for o in outcomes if _is_refused(o, False)) / total,
        sum(1 for o in outcomes if _is_refused(o, True)) / total,
        sum(1 for o in outcomes if _is_late(o)) / total,
        sum(1 for o in long_prompts if _is_in_time(o))
        / max(1, len(long_prompts)),
        sum(_total_tokens(o) for o in in_time) / seconds,
        sum(o.cached_tokens for o in outcomes) / max(1, prompt_tokens),
        _min_share_ratio(deployment, outcomes),
    )


def slowdowns(
    mixed: list[simulation.Outcome], alone: list[simulation.Outcome]
) -> tuple[float, float]:
    """Returns the median and 95th percentile of the slowdown of short requests.

    The slowdown is the response time of a request in the mixed run, divided by
    its response time in a run of the short requests alone.

    Args:
        mixed: Outcomes of the run with all requests.
        alone: Outcomes of the run with the short requests only.
    """
    times = {
        o.job.number: o.ended_at - o.job.arrival
        for o in alone
        if o.ended_at is not None
    }
    ratios = [
        _response_time(o) / times[o.job.number]
        for o in mixed
        if o.job.number in times
        and o.job.prompt_tokens <= SHORT_TOKENS
        and o.refused_at is None
    ]
    return percentile(ratios, 50), percentile(ratios, 95)


def _time_to_first_token(outcome: simulation.Outcome) -> float:
    if outcome.first_token_at is None:
        return float("inf") if outcome.refused_at is None else 0.0
    return outcome.first_token_at - outcome.job.arrival


def _response_time(outcome: simulation.Outcome) -> float:
    if outcome.ended_at is None:
        return float("inf")
    return outcome.ended_at - outcome.job.arrival


def _bucket(outcome: simulation.Outcome) -> int:
    tokens = outcome.job.prompt_tokens
    return next(bucket for bucket in BUCKETS if tokens <= bucket)


def _is_in_time(outcome: simulation.Outcome) -> bool:
    return _response_time(outcome) <= outcome.job.deadline


def _is_refused(outcome: simulation.Outcome, was_admitted: bool) -> bool:
    if outcome.refused_at is None:
        return False
    return outcome.was_admitted == was_admitted


def _is_late(outcome: simulation.Outcome) -> bool:
    return outcome.refused_at is None and not _is_in_time(outcome)


def _total_tokens(outcome: simulation.Outcome) -> int:
    return outcome.job.prompt_tokens + outcome.job.output_tokens


def _gap_percentile(counts: dict[int, int], rank: float) -> float:
    remaining = sum(counts.values()) * rank / 100.0
    for gap in sorted(counts):
        remaining -= counts[gap]
        if remaining <= 0:
            return gap / 1_000.0
    return 0.0


def _min_share_ratio(
    deployment: workload.Deployment, outcomes: list[simulation.Outcome]
) -> float:
    """Returns the lowest ratio of tokens served to the fair share."""
    weights = deployment.weights
    served = [0.0] * len(weights)
    demand = [0.0] * len(weights)
    for outcome in outcomes:
        index = outcome.job.organisation
        demand[index] += _total_tokens(outcome)
        if _is_in_time(outcome):
            served[index] += _total_tokens(outcome)
    fair = _max_min_shares(sum(served), demand, weights)
    return min(
        got / due for got, due in zip(served, fair, strict=True) if due > 0
    )


def _max_min_shares(
    total: float, demand: list[float], weights: Sequence[float]
) -> list[float]:
    shares = [0.0] * len(demand)
    order = sorted(range(len(demand)), key=lambda i: demand[i] / weights[i])
    remaining, remaining_weight = total, sum(weights)
    for index in order:
        fair = remaining * weights[index] / remaining_weight
        shares[index] = min(demand[index], fair)
        remaining -= shares[index]
        remaining_weight -= weights[index]
    return shares
