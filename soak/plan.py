"""The faults of a run, drawn from its seed."""

import random
from typing import NamedTuple

__all__ = ["Fault", "KINDS", "make_plan"]

# Faults come this far apart in the mean; each lasts some seconds, so that
# several are at work at a time.
MEAN_GAP_SECONDS = 0.8
# Nothing fails while the first requests come.
START_SECONDS = 2.0
LEAST_SECONDS, MOST_SECONDS = 0.3, 6.0

# Every kind comes before one comes again; kinds that are listed twice come
# twice as often.
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


class Fault(NamedTuple):
    """One fault.

    Attributes:
        at: Seconds from the start of the load.
        kind: One of KINDS.
        seconds: How long it lasts, where it lasts.
        choice: A number from which its subjects are drawn.
    """

    at: float
    kind: str
    seconds: float
    choice: int


def make_plan(seed: int, seconds: float) -> list[Fault]:
    """Returns the faults of a run, by time.

    Args:
        seed: Of the run.
        seconds: How long faults may begin.
    """
    rng = random.Random(seed)
    faults = []
    bag: list[str] = []
    at = START_SECONDS
    while at < seconds:
        if not bag:
            bag = list(KINDS)
            rng.shuffle(bag)
        length = rng.uniform(LEAST_SECONDS, MOST_SECONDS)
        faults.append(Fault(at, bag.pop(), length, rng.randrange(1 << 30)))
        # Some come at the same moment.
        if rng.random() > 0.2:
            at += rng.expovariate(1 / MEAN_GAP_SECONDS)
    return faults
