"""Compares ways to learn the speed of plain targets, in virtual time."""

import argparse
import math
import random
from typing import Callable, NamedTuple

from bench import plain_targets
from catkintrail import relay_settings
from catkintrail.core import fleet_load
from catkintrail.core import request_router
from catkintrail.core import route_table
from catkintrail.core import store_views
from catkintrail.core import targets as target_records

__all__ = [
    "RouterPlacement",
    "SCENARIOS",
    "Scenario",
    "add_arguments",
    "make_targets",
    "run",
]

SERVICE = "desk"
HOST = "wells.example"
TARGETS = 10
SECONDS = 60.0
# Costs of the placement that learns nothing.
RUNNING_COST = 0.1
# An answer later than this counts against the limit of a target, for additive
# increase with multiplicative decrease.
DECREASE = 0.7
# Weights of the gradient limit: of a new limit, and of a new long-term time.
GRADIENT_GAIN = 0.2
LONG_TERM_GAIN = 0.01
MIN_GRADIENT = 0.5
# Time over which a peak of the peak-sensitive average is forgotten.
PEAK_DECAY_SECONDS = 10.0


def make_targets(
    count: int = TARGETS, zones: tuple[str, ...] = ("za",)
) -> list[target_records.Target]:
    """Returns targets that take turns in the zones."""
    return [
        target_records.Target(
            f"d-{n}",
            SERVICE,
            f"10.1.0.{n}:80",
            zones[n % len(zones)],
            plain_targets.SLOTS,
            False,
            1,
        )
        for n in range(count)
    ]


class RouterPlacement:
    """Places requests as an instance of the first zone does.

    Attributes:
        router: The router.
    """

    def __init__(self, targets: list[target_records.Target]) -> None:
        self._targets = targets
        self.router = self._make_router(0.0, fleet_load.FleetLoad())

    def reset(self, now: float) -> None:
        """Forgets everything but the requests in progress."""
        self.router = self._make_router(now, self.router.load)

    def place(self, key: str, now: float) -> str:
        """Returns the name of the target for a request."""
        self.router.fleet_state.configuration.proven_at = now
        admission = self.router.admit(HOST, "/", "", now)
        assert isinstance(admission, request_router.Admission)
        request = request_router.PlacementRequest(
            key, admission, 0, 0, 0.0, frozenset(), False
        )
        placement = self.router.place(request, now)
        assert isinstance(placement, request_router.Placement)
        return placement.target.name

    def end(self, key: str, name: str, is_success: bool, now: float) -> None:
        """Records the end of a request."""
        self.router.record_attempt_end(
            key, name, is_success, not is_success, not is_success, now
        )

    def _make_router(
        self, now: float, load: fleet_load.FleetLoad
    ) -> request_router.RequestRouter:
        settings = relay_settings.RelaySettings(
            name="a-1",
            availability_zone="za",
            address="10.0.0.1",
            caller_address="10.0.0.1:8000",
            ready_address="10.0.0.1:8001",
            peer_address="10.0.0.1:8002",
            datagram_port=7000,
            seeds=(),
            store_address="10.9.9.9:8223",
            drain_seconds=8.0,
            revocation_seconds=0.0,
            configuration_seconds=2.0,
            retry_ratio=0.2,
            retry_extra=100.0,
            retry_window_seconds=10.0,
            memory_free_seconds=4.0,
        )
        router = request_router.RequestRouter(
            settings, 1, random.Random(1), now - 60.0
        )
        route = route_table.Route(
            name="book",
            host=HOST,
            path_prefix="/",
            kind=route_table.RouteKind.IDEMPOTENT,
            services=(route_table.WeightedService(SERVICE, 1.0),),
            timeout_ms=4 * plain_targets.GOAL_MS,
            goal_ms=plain_targets.GOAL_MS,
            gap_goal_ms=0.0,
            max_sends=2,
            priority=1,
            is_public=True,
            is_resumable=False,
        )
        configuration = route_table.Configuration(
            1,
            (route,),
            {SERVICE: route_table.Service(SERVICE, 110, None)},
            None,
            route_table.CallerLimits(),
        )
        router.fleet_state.update_configuration(configuration, now)
        listed = [
            store_views.EntryStatement(t.name, t, store_views.NO_POSITION)
            for t in self._targets
        ]
        router.fleet_state.replace_targets(listed, now)
        for owner, attempts in load.by_owner.items():
            for attempt in attempts.values():
                router.load.put(owner, attempt)
        return router


class _Learner:
    """A placement that compares the costs of targets.

    Attributes:
        running: Number of requests at each target.
    """

    def __init__(self, targets: list[target_records.Target]) -> None:
        self.running = {target.name: 0 for target in targets}
        self._placed: dict[str, tuple[float, int]] = {}
        self._rng = random.Random(1)
        self.learned: dict[str, float] = {}
        self.long_term: dict[str, float] = {}
        self.measured_at: dict[str, float] = {}

    def reset(self, now: float) -> None:
        """Forgets everything but the requests in progress."""
        del now
        self.learned, self.long_term, self.measured_at = {}, {}, {}

    def place(self, key: str, now: float) -> str:
        """Returns the name of the target for a request."""
        name = min(
            self.running, key=lambda n: (self.cost(n, now), self._rng.random())
        )
        self.running[name] += 1
        self._placed[key] = now, self.running[name]
        return name

    def end(self, key: str, name: str, is_success: bool, now: float) -> None:
        """Records the end of a request."""
        placed_at, requests = self._placed.pop(key)
        self.learn(name, now - placed_at, requests, is_success, now)
        self.running[name] -= 1

    def cost(self, name: str, now: float) -> float:
        """Returns the cost of a target."""
        del now  # Others use the age of what they have learned.
        running = self.running[name]
        queue = max(0, running + 1 - plain_targets.SLOTS)
        return (RUNNING_COST * running + queue) / plain_targets.SLOTS

    def learn(
        self,
        name: str,
        seconds: float,
        requests: int,
        is_success: bool,
        now: float,
    ) -> None:
        """Learns from an answer."""


class _LimitLearner(_Learner):
    """Learns a limit of requests, and uses the least filled target."""

    def limit(self, name: str) -> float:
        """Returns how many requests a target is to get."""
        return self.learned.get(name, float(plain_targets.SLOTS))

    def cost(self, name: str, now: float) -> float:
        """Returns the cost of a target."""
        del now
        limit = self.limit(name)
        running = self.running[name]
        queue = max(0.0, running + 1 - limit)
        return (RUNNING_COST * running + queue) / limit


class AdditiveIncrease(_LimitLearner):
    """Additive increase with multiplicative decrease of the limit."""

    def learn(
        self,
        name: str,
        seconds: float,
        requests: int,
        is_success: bool,
        now: float,
    ) -> None:
        """Lowers the limit after a late answer, else raises it."""
        limit = self.limit(name)
        is_late = seconds * 1000.0 > plain_targets.GOAL_MS / 2
        if is_late or not is_success:
            limit = max(1.0, limit * DECREASE)
        elif requests >= limit - 1:
            limit = min(plain_targets.SLOTS, limit + 1.0 / limit)
        self.learned[name] = limit


class GradientLimit(_LimitLearner):
    """A limit that follows the ratio of long-term to recent times."""

    def learn(
        self,
        name: str,
        seconds: float,
        requests: int,
        is_success: bool,
        now: float,
    ) -> None:
        """Moves the limit by the ratio of the times."""
        old = self.long_term.get(name, seconds)
        old += LONG_TERM_GAIN * (seconds - old)
        # The least times count as those without load.
        self.long_term[name] = min(old, seconds)
        limit = self.limit(name)
        gradient = self.long_term[name] / max(seconds, 1e-6)
        new = limit * max(MIN_GRADIENT, gradient) + math.sqrt(limit)
        limit += GRADIENT_GAIN * (new - limit)
        self.learned[name] = max(1.0, min(plain_targets.SLOTS, limit))


class LeastWork(_Learner):
    """Least estimated work with peak-sensitive averages of the times."""

    def cost(self, name: str, now: float) -> float:
        """Returns the estimated time until a further request has ended."""
        return self.average(name, now) * (self.running[name] + 1)

    def average(self, name: str, now: float) -> float:
        """Returns the average time; an old one fades."""
        age = now - self.measured_at.get(name, now)
        return self.learned.get(name, 0.0) * math.exp(-age / PEAK_DECAY_SECONDS)

    def learn(
        self,
        name: str,
        seconds: float,
        requests: int,
        is_success: bool,
        now: float,
    ) -> None:
        """Takes a longer time over at once, a shorter one slowly."""
        old = self.learned.get(name, 0.0)
        if seconds < old:
            age = now - self.measured_at.get(name, now)
            share = math.exp(-age / PEAK_DECAY_SECONDS)
            seconds = old * share + seconds * (1.0 - share)
        self.learned[name] = seconds
        self.measured_at[name] = now


PLACEMENTS: dict[
    str, Callable[[list[target_records.Target]], plain_targets.Placement]
] = {
    "learns nothing": _Learner,
    "additive increase": AdditiveIncrease,
    "gradient limit": GradientLimit,
    "least work, peaks": LeastWork,
    "this product": RouterPlacement,
}


class Scenario(NamedTuple):
    """A load, and what happens meanwhile.

    Attributes:
        rate: Requests per second.
        plan: What happens.
        large_share: Share of large requests.
        zones: Availability zones of the targets.
    """

    rate: float
    plan: plain_targets.Plan = plain_targets.Plan()
    large_share: float = 0.0
    zones: tuple[str, ...] = ("za",)


def slow(
    targets: int, factor: float, above: int = 0
) -> Callable[[str, int, float], float]:
    """Returns the factor of targets that are slow above some requests."""
    names = {f"d-{n}" for n in range(targets)}
    return lambda name, running, now: (
        factor if name in names and running > above else 1.0
    )


def changing(period: float) -> Callable[[str, int, float], float]:
    """Returns the factor of a target that is slow every other period."""
    return lambda name, running, now: (
        3.0 if name == "d-0" and int(now / period) % 2 else 1.0
    )


Plan = plain_targets.Plan
SCENARIOS = {
    "quiet, equal": Scenario(20),
    "equal": Scenario(450),
    "quiet, one slow x3": Scenario(20, Plan(slow(1, 3.0))),
    "one slow x3": Scenario(450, Plan(slow(1, 3.0))),
    "one slow x8": Scenario(450, Plan(slow(1, 8.0))),
    "one slow above half": Scenario(560, Plan(slow(1, 4.0, 4))),
    "half slow above half": Scenario(470, Plan(slow(5, 4.0, 4))),
    "one changes": Scenario(450, Plan(changing(15.0))),
    "all slow x3": Scenario(200, Plan(slow(TARGETS, 3.0))),
    "half slow x3": Scenario(400, Plan(slow(5, 3.0))),
    "estimates lost": Scenario(450, Plan(slow(1, 3.0), lost_at=30.0)),
    "large requests": Scenario(200, large_share=0.2),
    "far zone": Scenario(
        450,
        Plan(delay=lambda name: 0.05 * (int(name[2:]) % 2)),
        0,
        ("za", "zb"),
    ),
}


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds the arguments of the command."""
    parser.add_argument("--seeds", type=int, default=3, help="number of seeds")


def run(options: argparse.Namespace) -> int:
    """Prints goal shares and percentiles of all placements; returns 0."""
    names = " ".join(f"{name:>20}" for name in PLACEMENTS)
    print(f"{'goal share, p50 / p99 in ms':28}{names}")
    for title, scenario in SCENARIOS.items():
        cells = []
        for make in PLACEMENTS.values():
            sent = []
            for seed in range(1, options.seeds + 1):
                placement = make(make_targets(zones=scenario.zones))
                load = plain_targets.make_load(
                    SECONDS, scenario.rate, seed, scenario.large_share
                )
                sent += plain_targets.simulate(load, placement, scenario.plan)
            cells.append(
                f"{plain_targets.goal_share(sent):.4f}"
                f" {plain_targets.percentile(sent, 0.5):4.0f} /"
                f"{plain_targets.percentile(sent, 0.99):6.0f}"
            )
        print(f"{title:28}" + " ".join(f"{cell:>20}" for cell in cells))
    return 0
