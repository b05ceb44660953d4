"""One run of the soak: starts everything, plays a plan, checks."""

import asyncio
import os
import pathlib
import random
import tempfile
import time
from typing import NamedTuple

from catkintrail import request_story
from soak import callers
from soak import checks
from soak import faults as fault_kinds
from soak import history as histories
from soak import instances as processes
from soak import operator as operators
from soak import plan
from soak import proxy as proxies
from soak import targets
from tests import platform_standins
from tests import processes as ports

__all__ = ["Options", "Result", "play"]

ZONES = ("za", "zb")
MAX_SEEDS = 3
RATE_PER_INSTANCE = 2.5
MAX_RATE = 40.0
# One engine for so many requests a second.
REQUESTS_PER_ENGINE = 3.0
LEAST_ENGINES, DESKS = 4, 3
READY_SECONDS = 30.0
# After the last fault: time to recover, and to measure.
CALM_SECONDS = checks.RECOVERY_SECONDS + 4.0
TICK_SECONDS = 0.05
PROBE_SECONDS = 0.5
CHECK_SECONDS = 5.0


class Options(NamedTuple):
    """What is played.

    Attributes:
        seed: Of the plan and the callers.
        seconds: How long faults may begin.
        instances: Number of relaying instances.
        faults: To play instead of those that the seed gives.
    """

    seed: int
    seconds: float
    instances: int
    faults: tuple[plan.Fault, ...] = ()


class Result(NamedTuple):
    """What a run gave.

    Attributes:
        violations: Broken promises.
        history: All that was seen.
        lines: Of the instances' logs.
    """

    violations: list[checks.Violation]
    history: histories.History
    lines: list[request_story.Line]


def play(options: Options, folder: str = "") -> Result:
    """Plays one run.

    Args:
        options: What is played.
        folder: Where logs go; a folder that is removed by default.
    """
    with tempfile.TemporaryDirectory() as own:
        return asyncio.run(_Run(options, pathlib.Path(folder or own)).play())


class _Run:
    """Everything that takes part in a run."""

    def __init__(self, options: Options, folder: pathlib.Path) -> None:
        self.options = options
        self.history = histories.new_history()
        self.store = platform_standins.Store()
        self.rng = random.Random(options.seed)
        self.operator = operators.Operator(self.store, self.history)
        self.fleet = targets.Fleet(self.history)
        self.instances: list[processes.Instance] = []
        rate = min(MAX_RATE, RATE_PER_INSTANCE * options.instances)
        self.load = callers.Callers(
            rate, self.instances, self.choose_key, self.history, self.rng
        )
        self.faults = fault_kinds.FaultInjector(
            self.instances,
            self.fleet,
            self.store,
            self.operator,
            self.load,
            self.history,
        )
        self.folder = folder
        self.watches: list[asyncio.Future] = []

    def choose_key(self) -> str:
        """Returns a key in force, now and then one that was taken away."""
        if self.history.revoked and self.rng.random() < 0.1:
            return self.rng.choice(sorted(self.history.revoked))
        return self.rng.choice(self.operator.keys)

    async def play(self) -> Result:
        """Plays the run to its end."""
        background = []
        try:
            await self._start()
            for work in (
                self.load.run(),
                self._probe(),
                self._tick(),
                self._check(),
                *(instance.watch_end() for instance in self.instances),
            ):
                background.append(asyncio.ensure_future(work))
            await self._play_plan()
            self.history.calm_since.append(time.monotonic())
            await asyncio.sleep(CALM_SECONDS)
            background[0].cancel()
            await self.load.finish()
            for target in self.fleet.targets.values():
                target.end_reservations(time.monotonic())
        finally:
            for task in background:
                task.cancel()
            await self._stop()
        return Result(
            checks.find_violations(self.history), self.history, self._lines()
        )

    async def _start(self) -> None:
        self.operator.publish()
        rate = self.load.rate
        engines = max(LEAST_ENGINES, round(rate / REQUESTS_PER_ENGINE))
        for number in range(engines):
            zone = ZONES[number % len(ZONES)]
            await self.faults.add_target(targets.ENGINES, zone)
        for number in range(DESKS):
            zone = ZONES[number % len(ZONES)]
            await self.faults.add_target(targets.DESK, zone)
        names = platform_standins.PORT_NAMES
        numbers = dict(zip(names, ports.free_ports(len(names))))
        # The metrics' port is the same everywhere; runs beside each other
        # take different addresses.
        net = 1 + os.getpid() % 250
        ips = [
            f"127.{net}.{number // 200}.{1 + number % 200}"
            for number in range(self.options.instances)
        ]
        host, _, port = self.store.address.rpartition(":")
        for number, ip in enumerate(ips):
            proxy = proxies.Proxy(lambda: (host, int(port)))
            await proxy.start()
            instance = processes.Instance(
                f"i{number}",
                ZONES[number % len(ZONES)],
                ip,
                numbers,
                ips[:MAX_SEEDS],
                proxy,
                self.folder,
                self.history,
            )
            instance.start()
            self.instances.append(instance)
        self.watches = [
            asyncio.ensure_future(instance.watch_ready())
            for instance in self.instances
        ]
        end = time.monotonic() + READY_SECONDS
        while not all(instance.is_listed for instance in self.instances):
            if time.monotonic() > end:
                raise TimeoutError("instances are not ready")
            await asyncio.sleep(TICK_SECONDS)

    async def _play_plan(self) -> None:
        started = time.monotonic()
        running = []
        options = self.options
        for fault in options.faults or plan.make_plan(
            options.seed, options.seconds
        ):
            wait = started + fault.at - time.monotonic()
            await asyncio.sleep(max(0.0, wait))
            running.append(asyncio.ensure_future(self.faults.play(fault)))
        await asyncio.sleep(
            max(0.0, started + self.options.seconds - time.monotonic())
        )
        await asyncio.gather(*running)

    async def _probe(self) -> None:
        """Asks instances on routes that came late."""
        while True:
            await asyncio.sleep(PROBE_SECONDS)
            routes = list(self.operator.late_routes.items())
            if not routes:
                continue
            route, acknowledged_at = self.rng.choice(routes)
            await asyncio.gather(
                *(
                    self._probe_one(instance, route, acknowledged_at)
                    for instance in self.instances
                    if instance.is_listed
                )
            )

    async def _probe_one(
        self, instance: processes.Instance, route: str, acknowledged_at: float
    ) -> None:
        start, sent_at = instance.starts, time.monotonic()
        key = self.operator.keys[-1]
        status = await self.load.probe(instance, f"/{route}/x", key, route)
        if start == instance.starts:
            found = histories.Probe(
                instance.name, start, route, acknowledged_at, sent_at, status
            )
            self.history.probes.append(found)

    async def _tick(self) -> None:
        """Lapses reservations; measures how late the soak itself is."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            late = now - before - TICK_SECONDS
            if late > max(self.history.lag_seconds, default=0.0):
                self.history.lag_seconds.append(late)
            for target in list(self.fleet.targets.values()):
                target.lapse(now)

    async def _check(self) -> None:
        """Prints broken promises as soon as they are seen."""
        seen: set[checks.Violation] = set()
        while True:
            await asyncio.sleep(CHECK_SECONDS)
            for violation in checks.find_violations(self.history):
                # The fleet has recovered, or not, at the end only.
                if violation not in seen and violation.promise != "recovery":
                    seen.add(violation)
                    print(f"seen: {violation}", flush=True)

    async def _stop(self) -> None:
        for watch in self.watches:
            watch.cancel()
        for instance in self.instances:
            instance.kill()
        for target in list(self.fleet.targets.values()):
            self.fleet.remove(target)
        await asyncio.to_thread(self.store.close)

    def _lines(self) -> list[request_story.Line]:
        sources = [
            instance.log_path.read_text(errors="replace").splitlines()
            for instance in self.instances
        ]
        return request_story.read_lines(sources)
