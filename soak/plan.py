"""Generates the faults of a soak run from its seed."""

import random
from typing import NamedTuple

__all__ = [
    "Fault",
    "KINDS",
    "RARE_KINDS",
    "SERIES_KINDS",
    "STREAM_KINDS",
    "make_plan",
]

# Mean time between the starts of faults; each lasts some seconds, so that
# several overlap.
MEAN_FAULT_GAP_SECONDS = 0.8
# No fault starts while the first requests are sent.
FIRST_FAULT_SECONDS = 2.0
MIN_FAULT_SECONDS, MAX_FAULT_SECONDS = 0.3, 6.0

# All entries are drawn in random order before the list is used again; a kind
# listed twice occurs twice as often.
KINDS = tuple("""
    instance_kill instance_kill_many instance_pause instance_pause
    instance_stop instance_stop instance_stop_many
    settings_change key_revoke key_revoke key_add route_add route_add
    timeouts_change burst
    store_refuse store_busy store_reset store_silent store_one_way
    store_slow store_forget
    target_crash target_drain target_drain target_lapse target_reuse
    target_errors target_busy target_hang target_reset target_truncate
    target_surplus target_second target_unframed target_slow
    link_delay link_reset link_silent link_one_way
    """.split())
# Drawn separately, so that the other faults of a seed do not depend on them.
RARE_KINDS = ("store_restore", "target_limit")
MEAN_RARE_FAULT_GAP_SECONDS = 12.0
# Drawn separately from all others.
SILENCE_KINDS = ("store_lose",)
MEAN_SILENCE_GAP_SECONDS = 10.0
# Instances end again and again while targets close connections. Drawn
# separately from all others.
SERIES_KINDS = (
    "series_kill",
    "series_kill_many",
    "series_kill_all",
    "series_stop",
    "series_stop_many",
)
MEAN_SERIES_GAP_SECONDS = 15.0
# Streams are cut while their connections end properly. Drawn separately from
# all others.
STREAM_KINDS = (
    "target_end",
    "target_end_helper",
    "target_restart",
    "caller_hurry",
    "caller_unread",
)
MEAN_STREAM_GAP_SECONDS = 4.0


class Fault(NamedTuple):
    """A planned fault.

    Attributes:
        start_seconds: Seconds from the start of the load.
        kind: One of KINDS, RARE_KINDS, SILENCE_KINDS, SERIES_KINDS or
            STREAM_KINDS.
        seconds: Duration, for kinds that last.
        random_seed: Seed of the random choices of the fault, such as its
            subjects.
    """

    start_seconds: float
    kind: str
    seconds: float
    random_seed: int


def make_plan(seed: int, seconds: float) -> list[Fault]:
    """Returns the faults of a run in order of their start.

    Args:
        seed: Seed of the run.
        seconds: Time from the start of the load within which faults start.
    """
    rng = random.Random(seed)
    faults = []
    unused_kinds: list[str] = []
    start_seconds = FIRST_FAULT_SECONDS
    while start_seconds < seconds:
        if not unused_kinds:
            unused_kinds = list(KINDS)
            rng.shuffle(unused_kinds)
        duration = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        faults.append(
            Fault(
                start_seconds,
                unused_kinds.pop(),
                duration,
                rng.randrange(1 << 30),
            )
        )
        # Some faults start at the same time as the one before.
        if rng.random() > 0.2:
            start_seconds += rng.expovariate(1 / MEAN_FAULT_GAP_SECONDS)
    return sorted(
        faults
        + _draw_faults(
            random.Random(f"rare {seed}"),
            seconds,
            RARE_KINDS,
            MEAN_RARE_FAULT_GAP_SECONDS,
        )
        + _draw_faults(
            random.Random(f"silence {seed}"),
            seconds,
            SILENCE_KINDS,
            MEAN_SILENCE_GAP_SECONDS,
        )
        + _draw_faults(
            random.Random(f"series {seed}"),
            seconds,
            SERIES_KINDS,
            MEAN_SERIES_GAP_SECONDS,
        )
        + _draw_faults(
            random.Random(f"stream {seed}"),
            seconds,
            STREAM_KINDS,
            MEAN_STREAM_GAP_SECONDS,
        )
    )


def _draw_faults(
    rng: random.Random,
    seconds: float,
    kinds: tuple[str, ...],
    mean_gap_seconds: float,
) -> list[Fault]:
    faults = []
    start_seconds = FIRST_FAULT_SECONDS
    while True:
        start_seconds += rng.expovariate(1 / mean_gap_seconds)
        if start_seconds >= seconds:
            return faults
        duration = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        kind = rng.choice(kinds)
        faults.append(
            Fault(start_seconds, kind, duration, rng.randrange(1 << 30))
        )
