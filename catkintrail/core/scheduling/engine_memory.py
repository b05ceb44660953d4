"""Finds engines with enough free memory for the KV cache of a request."""

from typing import Mapping, NamedTuple, Sequence

from catkintrail.core import route_table
from catkintrail.core.scheduling import engine_state

__all__ = ["MemoryHolders", "find_holders", "usable_tokens", "wait_seconds"]

# Share of an engine's KV cache that prompts and predicted outputs may fill.
USABLE_KV_SHARE = 0.95


def usable_tokens(figures: route_table.EngineFigures) -> int:
    """Returns the KV cache of an engine that may be filled, in tokens."""
    return int(figures.kv_tokens * USABLE_KV_SHARE)


class MemoryHolders(NamedTuple):
    """Engines that can keep a request's KV cache.

    Attributes:
        engines: Engines with enough free memory for a share.
        count: Number of engines among which the KV cache is divided.
        tokens: Tokens kept by each of them.
    """

    engines: list[engine_state.EngineState]
    count: int
    tokens: int


def find_holders(
    engines: Sequence[engine_state.EngineState],
    required_tokens: int,
    usable: int,
    parts: int,
) -> MemoryHolders | None:
    """Finds the smallest number of engines that can keep the KV cache.

    Args:
        engines: The candidate engines.
        required_tokens: KV cache that the request needs.
        usable: KV cache of each engine that may be filled.
        parts: Maximum number of engines.

    Returns:
        The eligible engines; None if they do not have enough free memory.
    """
    for count in range(-(-required_tokens // usable), parts + 1):
        tokens = -(-required_tokens // count)
        eligible = [e for e in engines if e.kv_tokens + tokens <= usable]
        if len(eligible) >= count:
            return MemoryHolders(eligible, count, tokens)
    return None


def wait_seconds(
    demand: engine_state.RequestDemand,
    engines: Sequence[engine_state.EngineState],
    figures: route_table.EngineFigures,
    durations: Mapping[float, float],
    now: float,
) -> float | None:
    """Returns when engines are expected to have enough free memory.

    Args:
        demand: The demand of the request.
        engines: The engines.
        figures: Published figures of the engines.
        durations: Mean duration of requests in seconds, by the goal for gaps.
        now: Time in seconds.

    Returns:
        Seconds from now; None if the engines never have enough memory.
    """
    required_tokens = demand.prompt_tokens + demand.output_tokens
    usable = usable_tokens(figures)
    count = -(-required_tokens // usable)
    if count > len(engines):
        return None
    tokens = -(-required_tokens // count)
    waits = []
    for engine in engines:
        missing_tokens = engine.kv_tokens + tokens - usable
        ends = []
        for attempt in engine.attempts:
            held = attempt.memory[attempt.targets.index(engine.target.name)]
            duration = durations.get(attempt.gap_goal_ms, 0.0)
            ends.append((attempt.placed_at + duration - now, held))
        wait = 0.0
        for end, held in sorted(ends):
            if missing_tokens <= 0:
                break
            missing_tokens -= held
            wait = max(0.0, end)
        waits.append(wait)
    return sorted(waits)[count - 1]
