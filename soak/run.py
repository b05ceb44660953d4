"""Runs the soak test: starts a fleet, injects faults, checks the records."""

import asyncio
import os
import pathlib
import random
import tempfile
import time
from typing import NamedTuple

from catkintrail import request_trace
from soak import callers
from soak import checks
from soak import faults as fault_injection
from soak import history as run_history
from soak import instances as instance_processes
from soak import operator as operators
from soak import plan
from soak import proxy as proxies
from soak import targets
from tests import platform_standins
from tests import processes

__all__ = ["Options", "Result", "run_soak"]

ZONES = ("za", "zb")
# Few, so that a run can exceed the retry budget of each service; or enough for
# the share of each instance to be some retries.
RETRY_EXTRAS = (5, 30)
MAX_SEEDS = 3
REQUESTS_PER_SECOND_PER_INSTANCE = 2.5
MAX_REQUESTS_PER_SECOND = 40.0
# Load for which one engine is started.
REQUESTS_PER_SECOND_PER_ENGINE = 3.0
MIN_ENGINES, DESK_SERVERS = 4, 3
FLEET_START_TIMEOUT_SECONDS = 30.0
# Time after the last fault to recover and then to measure.
AFTER_FAULTS_SECONDS = checks.RECOVERY_SECONDS + 4.0
TICK_INTERVAL_SECONDS = 0.05
PROBE_INTERVAL_SECONDS = 0.5
CHECK_INTERVAL_SECONDS = 5.0
# These can be judged only at the end of the run.
FINAL_CHECKS = ("recovery", "service after trouble")


class Options(NamedTuple):
    """Options of a run.

    Attributes:
        seed: Seed of the fault plan and the load.
        seconds: Time from the start of the load within which faults start.
        instances: Number of relaying instances.
        faults: Faults to inject instead of those drawn from the seed.
    """

    seed: int
    seconds: float
    instances: int
    faults: tuple[plan.Fault, ...] = ()


class Result(NamedTuple):
    """Result of a run.

    Attributes:
        violations: Failed checks.
        history: Records of the run.
        log_lines: Log lines of all instances by time.
    """

    violations: list[checks.Violation]
    history: run_history.History
    log_lines: list[request_trace.Line]


def run_soak(options: Options, folder: str = "") -> Result:
    """Runs the soak test once.

    Args:
        options: Options of the run.
        folder: Directory for settings and logs; by default a temporary one,
            removed at the end.

    Raises:
        TimeoutError: The instances did not become ready in time.
    """
    with tempfile.TemporaryDirectory() as temporary:
        return asyncio.run(
            _SoakRun(options, pathlib.Path(folder or temporary)).run()
        )


class _SoakRun:
    """The processes, targets and records of one run."""

    def __init__(self, options: Options, folder: pathlib.Path) -> None:
        self.options = options
        self.history = run_history.make_history()
        self.store = platform_standins.Store()
        self.rng = random.Random(options.seed)
        self.operator = operators.Operator(self.store, self.history)
        self.fleet = targets.Fleet(self.history)
        self.instances: list[instance_processes.Instance] = []
        requests_per_second = min(
            MAX_REQUESTS_PER_SECOND,
            REQUESTS_PER_SECOND_PER_INSTANCE * options.instances,
        )
        self.load_generator = callers.LoadGenerator(
            requests_per_second,
            self.instances,
            self.choose_key,
            self.history,
            self.rng,
        )
        self.fault_injector = fault_injection.FaultInjector(
            self.instances,
            self.fleet,
            self.store,
            self.operator,
            self.load_generator,
            self.history,
        )
        self.folder = folder
        self.rotation_tasks: list[asyncio.Future] = []

    def choose_key(self) -> str:
        """Returns a key in force, or with probability 0.1 a revoked key."""
        if self.history.key_revoked_at and self.rng.random() < 0.1:
            return self.rng.choice(sorted(self.history.key_revoked_at))
        return self.rng.choice(self.operator.keys)

    async def run(self) -> Result:
        """Runs load, faults and checks to the end."""
        background_tasks = []
        try:
            await self._start()
            for coroutine in (
                self.load_generator.run(),
                self._probe_added_routes(),
                self._run_periodic_tasks(),
                self._print_new_violations(),
                *(
                    instance.restart_after_exits()
                    for instance in self.instances
                ),
            ):
                background_tasks.append(asyncio.ensure_future(coroutine))
            await self._inject_planned_faults()
            self.history.faults_ended_at.append(time.monotonic())
            await asyncio.sleep(AFTER_FAULTS_SECONDS)
            background_tasks[0].cancel()
            await self.load_generator.finish()
            for target in self.fleet.targets.values():
                target.close_reservations(time.monotonic())
        finally:
            for task in background_tasks:
                task.cancel()
            await self._stop()
        return Result(
            checks.find_violations(self.history),
            self.history,
            self._read_log_lines(),
        )

    async def _start(self) -> None:
        self.operator.publish()
        requests_per_second = self.load_generator.requests_per_second
        engines = max(
            MIN_ENGINES,
            round(requests_per_second / REQUESTS_PER_SECOND_PER_ENGINE),
        )
        for number in range(engines):
            zone = ZONES[number % len(ZONES)]
            await self.fault_injector.add_target(targets.ENGINES, zone)
        for number in range(DESK_SERVERS):
            zone = ZONES[number % len(ZONES)]
            await self.fault_injector.add_target(targets.DESK, zone)
        port_names = platform_standins.PORT_NAMES
        port_numbers = dict(
            zip(port_names, processes.free_ports(len(port_names)))
        )
        # The metrics port is fixed, so concurrent runs use different addresses.
        second_octet = 1 + os.getpid() % 250
        ips = [
            f"127.{second_octet}.{number // 200}.{1 + number % 200}"
            for number in range(self.options.instances)
        ]
        host, _, port = self.store.address.rpartition(":")
        for number, ip in enumerate(ips):
            proxy = proxies.Proxy(lambda: (host, int(port)))
            await proxy.start()
            instance = instance_processes.Instance(
                f"i{number}",
                ZONES[number % len(ZONES)],
                ip,
                port_numbers,
                ips[:MAX_SEEDS],
                proxy,
                self.folder,
                self.history,
                RETRY_EXTRAS[self.options.seed % len(RETRY_EXTRAS)],
            )
            instance.start()
            self.instances.append(instance)
        self.rotation_tasks = [
            asyncio.ensure_future(instance.update_rotation())
            for instance in self.instances
        ]
        end = time.monotonic() + FLEET_START_TIMEOUT_SECONDS
        while not all(instance.is_in_rotation for instance in self.instances):
            if time.monotonic() > end:
                raise TimeoutError("instances did not become ready in time")
            await asyncio.sleep(TICK_INTERVAL_SECONDS)

    async def _inject_planned_faults(self) -> None:
        started = time.monotonic()
        fault_tasks = []
        options = self.options
        for fault in options.faults or plan.make_plan(
            options.seed, options.seconds
        ):
            wait = started + fault.start_seconds - time.monotonic()
            await asyncio.sleep(max(0.0, wait))
            fault_tasks.append(
                asyncio.ensure_future(self.fault_injector.inject(fault))
            )
        await asyncio.sleep(
            max(0.0, started + self.options.seconds - time.monotonic())
        )
        await asyncio.gather(*fault_tasks)

    async def _probe_added_routes(self) -> None:
        """Sends requests on routes added during the run to all instances."""
        while True:
            await asyncio.sleep(PROBE_INTERVAL_SECONDS)
            routes = list(self.operator.added_routes.items())
            if not routes:
                continue
            route, acknowledged_at = self.rng.choice(routes)
            await asyncio.gather(
                *(
                    self._probe_one(instance, route, acknowledged_at)
                    for instance in self.instances
                    if instance.is_in_rotation
                )
            )

    async def _probe_one(
        self,
        instance: instance_processes.Instance,
        route: str,
        acknowledged_at: float,
    ) -> None:
        start, sent_at = instance.start_count, time.monotonic()
        key = self.operator.keys[-1]
        status = await self.load_generator.probe(
            instance, f"/{route}/x", key, route
        )
        if start == instance.start_count:
            probe = run_history.Probe(
                instance.name, start, route, acknowledged_at, sent_at, status
            )
            self.history.probes.append(probe)

    async def _run_periodic_tasks(self) -> None:
        """Expires reservations and measures the lag of the event loop."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(TICK_INTERVAL_SECONDS)
            now = time.monotonic()
            lag = now - before - TICK_INTERVAL_SECONDS
            if lag > max(self.history.lag_seconds, default=0.0):
                self.history.lag_seconds.append(lag)
            for target in list(self.fleet.targets.values()):
                target.expire_reservations(now)

    async def _print_new_violations(self) -> None:
        """Prints violations as soon as they are found."""
        printed: set[checks.Violation] = set()
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            for violation in checks.find_violations(self.history):
                # Recovery can be judged only at the end of the run.
                if (
                    violation not in printed
                    and violation.check_name not in FINAL_CHECKS
                ):
                    printed.add(violation)
                    print(f"seen: {violation}", flush=True)

    async def _stop(self) -> None:
        for task in self.rotation_tasks:
            task.cancel()
        for instance in self.instances:
            instance.kill()
        for target in list(self.fleet.targets.values()):
            self.fleet.remove(target)
        await asyncio.to_thread(self.store.close)

    def _read_log_lines(self) -> list[request_trace.Line]:
        """Returns the lines of all instances' logs, sorted by time."""
        lines = []
        for instance in self.instances:
            text = instance.log_path.read_text(errors="replace")
            lines += request_trace.parse_lines(text.splitlines())
        return sorted(lines, key=lambda line: line["time"])
