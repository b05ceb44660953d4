"""Predicts processing times of engines from their published figures."""

from catkintrail.core import route_table

__all__ = [
    "decode_pass_ms",
    "max_prefill_per_pass_ms",
    "prefill_ms",
    "request_weight",
]

# Part of a request's weight that does not depend on the length of its prompt,
# as specified for generation requests.
FIXED_WEIGHT = 0.3


def prefill_ms(figures: route_table.EngineFigures, tokens: int) -> float:
    """Returns the time to prefill a prompt on one idle engine.

    Args:
        figures: Published figures of the engine.
        tokens: Length of the prompt.

    Returns:
        Time in milliseconds, with a term linear in the prompt's tokens and a
        term for the pairs of each token and an earlier token.
    """
    pairs = tokens * tokens / 2.0
    linear = tokens / figures.prefill_tokens_per_ms
    return linear + pairs * figures.pairs_ms_per_million / 1e6


def decode_pass_ms(
    figures: route_table.EngineFigures, requests: int, context_tokens: int
) -> float:
    """Returns the time between two events of a stream, without prefills.

    Args:
        figures: Published figures of the engine.
        requests: Number of requests being decoded.
        context_tokens: Total context of these requests.

    Returns:
        Time in milliseconds.
    """
    step = (
        figures.step_ms
        + figures.step_ms_per_request * requests
        + figures.context_ms_per_1k * context_tokens / 1000.0
    )
    return figures.steps_per_pass * step


def max_prefill_per_pass_ms(
    figures: route_table.EngineFigures, tokens: int
) -> float:
    """Returns the longest time that one pass can spend on a prompt's prefill.

    Args:
        figures: Published figures of the engine.
        tokens: Length of the prompt.

    Returns:
        Time in milliseconds.
    """
    max_tokens = figures.steps_per_pass * figures.prefill_chunk_tokens
    if tokens <= max_tokens:
        return prefill_ms(figures, tokens)
    # The last chunks take longest, as they attend to the most earlier tokens.
    return prefill_ms(figures, tokens) - prefill_ms(
        figures, tokens - max_tokens
    )


def request_weight(figures: route_table.EngineFigures, tokens: int) -> float:
    """Returns the weight of a request relative to one of mean length.

    A request with a long prompt has a greater weight: callers wait longer for
    it, and lose more work if it fails.

    Args:
        figures: Published figures of the engine.
        tokens: Length of the prompt.
    """
    return (
        FIXED_WEIGHT + (1 - FIXED_WEIGHT) * tokens / figures.mean_prompt_tokens
    )
