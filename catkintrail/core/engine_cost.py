"""What a prompt costs an engine, from the engine's published figures."""

from catkintrail.core import route_table

__all__ = ["decode_pass_ms", "pass_prefill_limit_ms", "prefill_ms", "weight"]

# Share of a request's value that does not depend on its size; the users state
# it for generations.
FIXED_VALUE = 0.3


def prefill_ms(figures: route_table.EngineFigures, tokens: int) -> float:
    """Returns the time to prefill a prompt on one idle engine.

    Args:
        figures: The engine's figures.
        tokens: Length of the prompt.

    Returns:
        Milliseconds: linear in the tokens, and quadratic by the pairs of a
        token and an earlier one.
    """
    pairs = tokens * tokens / 2.0
    linear = tokens / figures.prefill_tokens_per_ms
    return linear + pairs * figures.pairs_ms_per_million / 1e6


def decode_pass_ms(
    figures: route_table.EngineFigures, requests: int, context_tokens: int
) -> float:
    """Returns the time between two events of a stream without prefills.

    Args:
        figures: The engine's figures.
        requests: Requests that decode.
        context_tokens: Their prompts together.
    """
    step = (
        figures.step_ms
        + figures.step_ms_per_request * requests
        + figures.context_ms_per_1k * context_tokens / 1000.0
    )
    return figures.steps_per_pass * step


def pass_prefill_limit_ms(
    figures: route_table.EngineFigures, tokens: int
) -> float:
    """Returns the most prefill time that one pass can hold for a prompt.

    Args:
        figures: The engine's figures.
        tokens: Length of the prompt.
    """
    most = figures.steps_per_pass * figures.prefill_chunk_tokens
    if tokens <= most:
        return prefill_ms(figures, tokens)
    # The last chunks have the most earlier tokens.
    return prefill_ms(figures, tokens) - prefill_ms(figures, tokens - most)


def weight(figures: route_table.EngineFigures, tokens: int) -> float:
    """Returns what a request is worth to callers against a mean one.

    Callers wait longer for, and lose more work with, a long prompt.
    """
    return FIXED_VALUE + (1 - FIXED_VALUE) * tokens / figures.mean_prompt_tokens
