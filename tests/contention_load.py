"""Loads in which callers compete, and coordinators that place them.

Each zone has a coordinator and engines of its own. Coordinators learn of the
requests of other zones some time later.
"""

import random
from typing import NamedTuple

from catkintrail.core import request_router
from catkintrail.core import route_table
from tests import engine_fleet
from tests import relaying as builders

FIGURES = route_table.EngineFigures(
    197_200, 1.02, 0.00966, 0.00254, 206.0, 0.138, 2048, 48, 15_833.0
)
LIMITS = engine_fleet.Limits(6, 12, 197_200)
MAX_SENDS = 2
# Longest time that callers wait for a first event.
TIMEOUT_MS = 14_000.0


class Kind(NamedTuple):
    """Requests with the same goals.

    Attributes:
        rate: Requests per second.
        tokens: Mean length of the prompt.
        spread: Standard deviation of the logarithm of the length.
        max_tokens: Longest prompt.
        events: Mean number of events.
        goal_ms: Goal for the time to the first event.
        gap_ms: Goal for the longest gap between events.
    """

    rate: float
    tokens: int
    spread: float
    max_tokens: int
    events: int
    goal_ms: float
    gap_ms: float


SHORT = Kind(57.2, 4_960, 0.9, 23_800, 31, 321.0, 250.0)
MIDDLE = Kind(3.89, 45_000, 0.5, 110_000, 18, 1_532.0, 600.0)
LONG = Kind(2.4, 190_000, 0.55, 600_000, 15, 3_055.0, 1_000.0)
KINDS = (SHORT, MIDDLE, LONG)
# Rates and goals of a smaller fleet of 45 engines.
SMALL_FLEET_KINDS = (
    SHORT._replace(rate=28.0, goal_ms=271.0),
    MIDDLE._replace(rate=3.31, goal_ms=1_532.0),
    LONG._replace(rate=1.17, goal_ms=6_055.0),
)


class Burst(NamedTuple):
    """A time in which one kind arrives more often.

    Attributes:
        kind: Index of the kind.
        factor: How many times its rate.
        start: Start of the burst, in seconds.
        end: End of the burst, in seconds.
    """

    kind: int
    factor: float
    start: float
    end: float


LONG_BURST = (Burst(2, 3.2, 5.0, 10.0),)
SHORT_BURST = (Burst(0, 2.8, 5.0, 10.0),)
MIDDLE_BURST = (Burst(1, 3.2, 5.0, 10.0),)
ALTERNATING_BURSTS = (
    Burst(2, 3.2, 0.0, 5.0),
    Burst(0, 2.8, 10.0, 15.0),
    Burst(2, 3.2, 20.0, 25.0),
)


def make_load(kinds, bursts, seconds, share, seed):
    """Returns a random load.

    Args:
        kinds: The kinds of requests.
        bursts: The bursts.
        seconds: Duration of the load.
        share: Share of the rates that arrives.
        seed: Seed of the random numbers.
    """
    rng = random.Random(seed)
    load = []
    for number, kind in enumerate(kinds):
        now = 0.0
        top = max([b.factor for b in bursts if b.kind == number] + [1.0])
        while (now := now + rng.expovariate(kind.rate * share * top)) < seconds:
            factors = [
                b.factor
                for b in bursts
                if b.kind == number and b.start <= now < b.end
            ]
            if rng.random() * top >= max(factors + [1.0]):
                continue
            size = kind.tokens * rng.lognormvariate(
                -kind.spread**2 / 2, kind.spread
            )
            tokens = int(min(kind.max_tokens, max(100, size)))
            count = max(2, int(kind.events * rng.lognormvariate(-0.18, 0.6)))
            load.append(
                engine_fleet.Arrival(
                    now, tokens, count, kind.goal_ms, kind.gap_ms
                )
            )
    return sorted(load)


class Zones(NamedTuple):
    """Zones of engines, each with a coordinator.

    Attributes:
        engines: Number of engines of each zone; 0 for an emptied zone.
        delay_seconds: Age of what a coordinator knows of other zones.
    """

    engines: tuple
    delay_seconds: float = 0.1


class Result(NamedTuple):
    """The result of a load.

    Attributes:
        outcomes: The outcomes of all requests.
        rejections: Number of arrivals that engines rejected.
        placed: All placements.
    """

    outcomes: list
    rejections: int
    placed: list


def attainment(outcomes, kinds=KINDS, start=0.0, end=float("inf")):
    """Returns the share within both goals of each kind of request.

    Args:
        outcomes: The outcomes of requests.
        kinds: The kinds of requests.
        start: Earliest arrival that counts, in seconds.
        end: Latest arrival that counts, in seconds.
    """
    shares = []
    for kind in kinds:
        found = [
            outcome.meets_goals
            for outcome in outcomes
            if outcome.arrival.goal_ms == kind.goal_ms
            and start <= outcome.arrival.at < end
        ]
        shares.append(sum(found) / max(1, len(found)))
    return shares


def simulate(load, zones, figures=FIGURES, limits=LIMITS):
    """Runs a load on zones of engines; returns the result.

    Requests arrive evenly at the coordinators of all zones with engines.
    """
    targets = [
        builders.make_target(f"z{z}-{n}", zone=f"z{z}", slots=limits.slots)
        for z, count in enumerate(zones.engines)
        for n in range(count)
    ]
    # All coordinators serve, also those of zones whose engines are gone.
    routers = []
    for z in range(len(zones.engines)):
        router = builders.make_router(
            targets,
            now=0.0,
            configuration=builders.make_configuration(figures=figures),
            revocation_seconds=0.0,
            name=f"c-{z}",
            availability_zone=f"z{z}",
        )
        router.rng.seed(z)
        routers.append(router)
    owners = {}
    placements = {}
    placed = []
    rng = random.Random(len(load))

    def tell(update, sender, now):
        for other in routers:
            if other is not sender and update is not None:
                fleet.schedule(
                    now + zones.delay_seconds,
                    lambda at, o=other: o.apply_load_message(update, at),
                )

    def place(key, arrival, now, tried):
        if len(tried) >= MAX_SENDS:
            return None
        first_key = key.rstrip("+")
        if first_key not in owners:
            owners[first_key] = routers[rng.randrange(len(routers))]
        router = owners[first_key]
        router.fleet_state.configuration.proven_at = now
        admission = router.admit("wells.example", "/ask/a", "key-1", now)
        route = admission.route._replace(
            goal_ms=arrival.goal_ms,
            gap_goal_ms=arrival.gap_ms,
            timeout_ms=TIMEOUT_MS,
        )
        placement = router.place(
            request_router.PlacementRequest(
                key,
                admission._replace(route=route),
                arrival.tokens,
                arrival.events * figures.steps_per_pass,
                (now - arrival.at) * 1000.0,
                frozenset(tried),
                bool(tried),
            ),
            now,
        )
        if isinstance(placement, tuple) and hasattr(placement, "verdict"):
            return None
        placements[key] = (placement, now)
        names = [placement.target.name] + [h.name for h in placement.helpers]
        placed.append(engine_fleet.Placed(now, tuple(names)))
        tell(router.make_placement_update(key, now), router, now)
        return engine_fleet.Spot(names, placement.memory)

    def on_first(key, now):
        router = owners[key.rstrip("+")]
        placement, placed_at = placements[key]
        measured_ms = (now - placed_at) * 1000.0
        update = router.record_first_token(
            key, measured_ms, placement.predicted_ms, now
        )
        tell(update, router, now)

    def on_end(key, now):
        router = owners[key.rstrip("+")]
        name = placements[key][0].target.name
        update, _ = router.record_attempt_end(
            key, name, True, False, False, now
        )
        tell(update, router, now)

    fleet = engine_fleet.SimulatedFleet(
        [t.name for t in targets],
        place,
        on_first,
        on_end,
        figures=figures,
        limits=limits,
    )
    outcomes = fleet.simulate(load)
    return Result(outcomes, fleet.rejections, placed)
