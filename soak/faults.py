"""Injects each kind of fault and removes it again."""

import asyncio
import contextlib
import functools
import random
import signal
import time
from typing import Iterator

from soak import callers
from soak import checks
from soak import history as run_history
from soak import instances as instance_processes
from soak import operator as operators
from soak import plan
from soak import proxy as proxies
from soak import targets
from tests import platform_standins

__all__ = ["FaultInjector"]

# Delay between the end of a process and its restart.
RESTART_DELAY_SECONDS = 0.5
# The store drops the entry of a target that has been silent for this time.
ENTRY_EXPIRY_SECONDS = 3.0
DRAIN_SECONDS = 2.0
# A target leaves this long after a silence of the store, when the silence no
# longer excuses that instances do not know it.
LEAVING_DELAY_SECONDS = checks.FAULT_EFFECT_SECONDS + 0.5
# A target leaves at most this long before a silence of the store.
MAX_SILENCE_DELAY_SECONDS = 1.0
STORE = "store"
BURST_RATE_FACTOR = 3.0
# Store faults last longer, since instances accept known keys without the store
# for some seconds.
STORE_FAULT_DURATION_FACTOR = 2.0
# Fraction of the faulty target behaviours that apply to all targets of a
# service; these last longer.
SERVICE_WIDE_FRACTION = 0.4
SERVICE_WIDE_DURATION_FACTOR = 2.0
# Requests a second.
TARGET_LIMITS = (0.2, 1.0, 5.0)
MIN_LIMIT_SECONDS = 8.0
# After a restore: time without answers, and time until all is written again.
MAX_RESTORE_DOWN_SECONDS = 1.5
MAX_REWRITE_SECONDS = 2.0
# A series of faults lasts longer than a fault, beyond the retry window.
SERIES_DURATION_FACTOR = 2.0
MIN_SERIES_GAP_SECONDS, MAX_SERIES_GAP_SECONDS = 0.3, 2.0
MAX_SERIES_KILL_SECONDS = 0.5
# A target that ends during a response does so at most this long after its head.
MAX_RESPONSE_SECONDS = 0.15
MIN_RESTART_SECONDS, MAX_RESTART_SECONDS = 0.02, 0.4
POLL_SECONDS = 0.01
# Time between extra requests, and deadlines that pass in mid-stream.
EXTRA_REQUEST_SECONDS = 0.4
MIN_HURRIED_SECONDS, MAX_HURRIED_SECONDS = 0.2, 0.6
MIN_UNREAD_SECONDS, MAX_UNREAD_SECONDS = 0.5, 5.0
# Proxy mode, and delay in seconds of each piece of data.
PROXY_FAULTS = {
    "reset": (proxies.Mode.REFUSE, 0.0),
    "silent": (proxies.Mode.SILENT, 0.0),
    "one_way": (proxies.Mode.ONE_WAY, 0.0),
    "slow": (proxies.Mode.DELAY, 0.3),
    "delay": (proxies.Mode.DELAY, 0.15),
}


class FaultInjector:
    """Injects faults into instances, targets, the store and links."""

    def __init__(
        self,
        instances: list[instance_processes.Instance],
        fleet: targets.Fleet,
        store: platform_standins.Store,
        operator: operators.Operator,
        load_generator: callers.LoadGenerator,
        history: run_history.History,
    ) -> None:
        self._instances = instances
        self._fleet = fleet
        self._store = store
        self._operator = operator
        self._load_generator = load_generator
        self._history = history
        self._faulted: set[str] = set()

    async def inject(self, fault: plan.Fault) -> None:
        """Injects a fault and returns when it has ended."""
        rng = random.Random(fault.random_seed)
        group, _, name = fault.kind.partition("_")
        if group == "instance":
            await self._inject_instance_fault(name, fault, rng)
        elif group == "store":
            await self._inject_store_fault(name, fault, rng)
        elif group == "target":
            await self._inject_target_fault(name, fault, rng)
        elif group == "link":
            await self._inject_link_fault(name, fault, rng)
        elif group == "caller":
            await self._send_extra_requests(name, fault.seconds, rng)
        elif group == "series":
            await self._inject_series(name, fault, rng)
        elif fault.kind == "settings_change":
            self._change_settings(rng)
        elif fault.kind == "burst":
            self._load_generator.requests_per_second *= BURST_RATE_FACTOR
            await asyncio.sleep(fault.seconds)
            self._load_generator.requests_per_second /= BURST_RATE_FACTOR
        else:
            {
                "key_revoke": self._operator.revoke_key,
                "key_add": self._operator.add_key,
                "route_add": self._operator.add_route,
                "timeouts_change": self._operator.change_timeouts,
            }[fault.kind]()

    def _record_fault_start(self, subject: str, kind: str) -> int:
        self._history.fault_intervals.append(
            run_history.FaultInterval(
                subject, kind, time.monotonic(), float("inf")
            )
        )
        return len(self._history.fault_intervals) - 1

    @contextlib.contextmanager
    def _recorded_fault(self, kind: str, *subjects: str) -> Iterator[None]:
        """Records a fault of the subjects for the duration of the context."""
        indices = [
            self._record_fault_start(subject, kind) for subject in subjects
        ]
        yield
        for index in indices:
            interval = self._history.fault_intervals[index]
            self._history.fault_intervals[index] = interval._replace(
                ended_at=time.monotonic()
            )

    # Instances.

    async def _inject_instance_fault(
        self, name: str, fault: plan.Fault, rng: random.Random
    ) -> None:
        count = 1
        if name.endswith("_many"):
            count = max(1, len(self._instances) // 2)
        elif name.endswith("_all"):
            count = len(self._instances)
        available = [
            instance
            for instance in self._instances
            if instance.name not in self._faulted
        ]
        chosen = rng.sample(available, min(count, len(available)))
        inject = {
            "kill": self._kill_instance,
            "pause": self._pause_instance,
            "stop": self._stop_instance,
        }[name.partition("_")[0]]
        self._faulted |= {instance.name for instance in chosen}
        try:
            await asyncio.gather(
                *(inject(instance, fault.seconds) for instance in chosen)
            )
        finally:
            self._faulted -= {instance.name for instance in chosen}

    async def _kill_instance(
        self, instance: instance_processes.Instance, seconds: float
    ) -> None:
        with self._recorded_fault("kill", instance.name):
            instance.kill()
            await asyncio.sleep(min(seconds, RESTART_DELAY_SECONDS * 4))
            instance.start()

    async def _pause_instance(
        self, instance: instance_processes.Instance, seconds: float
    ) -> None:
        with self._recorded_fault("pause", instance.name):
            instance.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            instance.send_signal(signal.SIGCONT)

    async def _stop_instance(
        self, instance: instance_processes.Instance, _seconds: float
    ) -> None:
        with self._recorded_fault("stop", instance.name):
            await instance.stop()
            await asyncio.sleep(RESTART_DELAY_SECONDS)
            instance.start()

    async def _inject_series(
        self, name: str, fault: plan.Fault, rng: random.Random
    ) -> None:
        """Ends instances again and again while targets close connections."""
        target = self._choose_target(rng)
        if target is None:
            return
        chosen = [
            affected
            for affected in self._fleet.targets.values()
            if affected.service == target.service
            and affected.name not in self._faulted
        ]
        if rng.random() < 0.5:
            chosen = rng.sample(chosen, (len(chosen) + 1) // 2)
        end = time.monotonic() + fault.seconds * SERIES_DURATION_FACTOR
        async with asyncio.TaskGroup() as ends:
            with self._behaving(chosen, targets.Behaviour.CLOSE):
                while time.monotonic() < end:
                    seconds = rng.uniform(0.0, MAX_SERIES_KILL_SECONDS)
                    ends.create_task(
                        self._inject_instance_fault(
                            name,
                            fault._replace(seconds=seconds),
                            random.Random(rng.random()),
                        )
                    )
                    await asyncio.sleep(
                        rng.uniform(
                            MIN_SERIES_GAP_SECONDS, MAX_SERIES_GAP_SECONDS
                        )
                    )

    def _change_settings(self, rng: random.Random) -> None:
        instance = rng.choice(self._instances)
        instance.write_settings(instance.retry_extra + rng.randint(0, 5))
        instance.send_signal(signal.SIGHUP)

    # The store.

    async def _inject_store_fault(
        self, name: str, fault: plan.Fault, rng: random.Random
    ) -> None:
        if name == "forget":
            self._store.discard_history()
            return
        if name == "restore":
            await self._restore_store(fault.seconds, rng)
            return
        if name == "lose":
            await self._silence_store(fault.seconds, rng)
            return
        chosen, subjects = self._choose_callers_of_store(rng)
        if name in ("refuse", "busy"):
            # The store cannot tell its callers apart, so it refuses all.
            subjects = [STORE]
        with self._recorded_fault(f"store {name}", *subjects):
            if rng.random() < 0.5:
                self._operator.revoke_key()
            if name in ("refuse", "busy"):
                self._store.status = 503 if name == "refuse" else 429
                await asyncio.sleep(fault.seconds)
                self._store.status = 200
            else:
                for instance in chosen:
                    instance.store_proxy.set_mode(*PROXY_FAULTS[name])
                await asyncio.sleep(fault.seconds * STORE_FAULT_DURATION_FACTOR)
                for instance in chosen:
                    instance.store_proxy.set_mode(proxies.Mode.PASS)

    def _choose_callers_of_store(
        self, rng: random.Random
    ) -> tuple[list[instance_processes.Instance], list[str]]:
        """Returns all or some instances, and the subjects of their fault."""
        chosen = self._instances
        if rng.random() < 0.5:
            chosen = rng.sample(chosen, rng.randint(1, len(chosen)))
        if len(chosen) == len(self._instances):
            return chosen, [STORE]
        return chosen, [instance.name for instance in chosen]

    async def _silence_store(self, seconds: float, rng: random.Random) -> None:
        """Lets calls to the store be lost; targets leave around that time.

        Calls of some instances, or about one subject only, may be lost.
        """
        chosen, subjects = self._choose_callers_of_store(rng)
        lost = rng.choice((b"/api/objects/", b"/servers", b"/config"))
        async with asyncio.TaskGroup() as leavings:
            for at in (0.0, seconds * rng.random(), seconds):
                leavings.create_task(self._retire_later(at, rng))
            # The watches that end with the first leaving are opened anew.
            await asyncio.sleep(rng.uniform(0.0, MAX_SILENCE_DELAY_SECONDS))
            with self._recorded_fault("store lose", *subjects):
                for instance in chosen:
                    instance.store_proxy.loses = lambda request: lost in request
                    instance.store_proxy.set_mode(proxies.Mode.LOSE)
                await asyncio.sleep(seconds)
                for instance in chosen:
                    instance.store_proxy.set_mode(proxies.Mode.PASS)
            await self._retire_later(LEAVING_DELAY_SECONDS, rng)

    async def _retire_later(self, seconds: float, rng: random.Random) -> None:
        await asyncio.sleep(seconds)
        target = self._choose_target(rng)
        if target is not None:
            self._faulted.add(target.name)
            # Only the store tells of it.
            target.states_leaving = False
            await self._retire_target(target, is_announced=rng.random() < 0.5)
            self._faulted.discard(target.name)

    async def _restore_store(
        self, age_seconds: float, rng: random.Random
    ) -> None:
        """Replaces the store's content by a copy that has grown old.

        What the operator and the targets wrote since is written again.
        """
        copy = self._store.copy()
        await asyncio.sleep(age_seconds)
        with self._recorded_fault("store restore", STORE):
            if rng.random() < 0.5:
                self._operator.revoke_key()
            if rng.random() < 0.5:
                self._store.status = 503
                await asyncio.sleep(rng.uniform(0.0, MAX_RESTORE_DOWN_SECONDS))
                self._store.status = 200
            self._store.restore(copy)
            await asyncio.sleep(rng.uniform(0.0, MAX_REWRITE_SECONDS))
            self._store.write_again()

    # Targets.

    def _choose_target(self, rng: random.Random) -> targets.Target | None:
        """Chooses a target whose service has another available target."""
        available = [
            target
            for name, target in sorted(self._fleet.targets.items())
            if name not in self._faulted and not target.is_leaving
        ]
        by_service = {target.service: 0 for target in available}
        for target in available:
            by_service[target.service] += 1
        available = [
            target for target in available if by_service[target.service] > 1
        ]
        return rng.choice(available) if available else None

    async def _inject_target_fault(
        self, name: str, fault: plan.Fault, rng: random.Random
    ) -> None:
        target = self._choose_target(rng)
        if target is None:
            return
        chosen = [target]
        if name == "limit":
            await self._limit_target(target, fault.seconds, rng)
            return
        if name in ("end", "end_helper", "restart"):
            await self._end_target(name, target, fault.seconds, rng)
            return
        if name in ("crash", "drain", "lapse", "reuse"):
            self._faulted.add(target.name)
            await {
                "crash": self._crash_target,
                "drain": functools.partial(
                    self._retire_target, is_announced=True
                ),
                "lapse": functools.partial(
                    self._retire_target, is_announced=False
                ),
                "reuse": self._reuse_address,
            }[name](target)
        else:
            seconds = fault.seconds
            if rng.random() < SERVICE_WIDE_FRACTION:
                seconds *= SERVICE_WIDE_DURATION_FACTOR
                chosen = [
                    affected
                    for affected in self._fleet.targets.values()
                    if affected.service == target.service
                    and affected.name not in self._faulted
                ]
            with self._behaving(chosen, targets.Behaviour(name)):
                await asyncio.sleep(seconds)
        self._faulted -= {affected.name for affected in chosen}

    @contextlib.contextmanager
    def _behaving(
        self, chosen: list[targets.Target], behaviour: targets.Behaviour
    ) -> Iterator[None]:
        """Makes targets behave in a way for the duration of the context."""
        names = [affected.name for affected in chosen]
        self._faulted |= set(names)
        with self._recorded_fault(behaviour.value, *names):
            for affected in chosen:
                affected.behaviour = behaviour
            yield
            for affected in chosen:
                affected.behaviour = targets.Behaviour.SOUND
        self._faulted -= set(names)

    async def _limit_target(
        self, target: targets.Target, seconds: float, rng: random.Random
    ) -> None:
        """Makes a target name a limit, long enough for the limit to count."""
        if target.limit is not None:
            # An earlier fault, which is still going on, ends the limit.
            return
        target.limit = rng.choice(TARGET_LIMITS)
        started_at = time.monotonic()
        await asyncio.sleep(MIN_LIMIT_SECONDS + seconds)
        self._history.limited_times.append(
            run_history.LimitedTime(
                target.name, target.limit, started_at, time.monotonic()
            )
        )
        target.limit = None

    async def add_target(
        self, service: str, zone: str, proxy: proxies.Proxy | None = None
    ) -> None:
        """Starts a target and adds its entry to the store.

        Args:
            service: Service of the target.
            zone: Availability zone of the target.
            proxy: Proxy of a removed target whose address is reused.
        """
        target = await self._fleet.add(service, zone, proxy)
        self._store.put("servers", target.name, target.make_store_entry())

    async def _end_target(
        self,
        name: str,
        target: targets.Target,
        seconds: float,
        rng: random.Random,
    ) -> None:
        """Ends the process of a target, or of a helper, during a response."""
        end = time.monotonic() + seconds
        chosen = [target]
        if name == "end_helper":
            chosen = [
                affected
                for affected in self._fleet.targets.values()
                if affected.name not in self._faulted
            ]
        with self._behaving(chosen, targets.Behaviour.UNFRAMED):
            if name == "end_helper":
                target = await self._find_helper(end) or target
            while not target.begun and time.monotonic() < end:
                await asyncio.sleep(POLL_SECONDS)
            await asyncio.sleep(rng.uniform(0.0, MAX_RESPONSE_SECONDS))
        if target.name in self._faulted or not target.is_running:
            return
        self._faulted.add(target.name)
        if name != "restart":
            await self._crash_target(target, is_crash=False)
        else:
            # It keeps its name and its address.
            with self._recorded_fault(name, target.name):
                target.end()
                await asyncio.sleep(
                    rng.uniform(MIN_RESTART_SECONDS, MAX_RESTART_SECONDS)
                )
                await target.start()
                self._store.put(
                    "servers", target.name, target.make_store_entry()
                )
        self._faulted.discard(target.name)

    async def _find_helper(self, until: float) -> targets.Target | None:
        """Returns a helper of a response that has begun; None if none does.

        Long prompts, which may be divided, are sent meanwhile.
        """
        while time.monotonic() < until:
            self._load_generator.start_request(callers.LONG)
            for _ in range(round(EXTRA_REQUEST_SECONDS / POLL_SECONDS)):
                await asyncio.sleep(POLL_SECONDS)
                for target in self._fleet.targets.values():
                    for helpers in filter(None, target.begun.values()):
                        address = helpers.partition(",")[0].partition("/")[0]
                        return self._fleet.find_target(address)
        return None

    async def _send_extra_requests(
        self, name: str, seconds: float, rng: random.Random
    ) -> None:
        """Sends requests of callers that are in a hurry, or that read late."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            request_type = callers.HURRIED._replace(
                deadline_seconds=rng.uniform(
                    MIN_HURRIED_SECONDS, MAX_HURRIED_SECONDS
                )
            )
            if name == "unread":
                request_type = callers.UNREAD._replace(
                    unread_seconds=rng.uniform(
                        MIN_UNREAD_SECONDS, MAX_UNREAD_SECONDS
                    )
                )
            self._load_generator.start_request(request_type)
            await asyncio.sleep(EXTRA_REQUEST_SECONDS)

    async def _crash_target(
        self, target: targets.Target, is_crash: bool = True
    ) -> None:
        self._record_fault_start(target.name, "crash")
        self._fleet.remove(target, is_crash)
        await asyncio.sleep(RESTART_DELAY_SECONDS)
        await self.add_target(target.service, target.zone)
        await asyncio.sleep(ENTRY_EXPIRY_SECONDS)
        self._store.remove("servers", target.name)

    async def _retire_target(
        self, target: targets.Target, is_announced: bool
    ) -> None:
        await self.add_target(target.service, target.zone)
        target.is_leaving = True
        if is_announced:
            self._store.put("servers", target.name, target.make_store_entry())
        else:
            self._store.remove("servers", target.name)
        self._history.target_left_at[target.name] = time.monotonic()
        await asyncio.sleep(DRAIN_SECONDS * 2)
        self._record_fault_start(target.name, "gone")
        self._fleet.remove(target)
        if is_announced:
            self._store.remove("servers", target.name)

    async def _reuse_address(self, target: targets.Target) -> None:
        """Crashes a target and reuses its address for another service."""
        service = targets.ENGINES
        if target.service == targets.ENGINES:
            service = targets.DESK
        self._record_fault_start(target.name, "crash")
        self._fleet.remove(target)
        await self.add_target(target.service, target.zone)
        await asyncio.sleep(DRAIN_SECONDS)
        await self.add_target(service, target.zone, target.proxy)
        await asyncio.sleep(ENTRY_EXPIRY_SECONDS)
        self._store.remove("servers", target.name)

    async def _inject_link_fault(
        self, name: str, fault: plan.Fault, rng: random.Random
    ) -> None:
        target = self._choose_target(rng)
        if target is None or target.proxy is None:
            return
        with self._recorded_fault(f"link {name}", target.name):
            if name == "reset":
                target.proxy.reset()
                return
            target.proxy.set_mode(*PROXY_FAULTS[name])
            await asyncio.sleep(fault.seconds)
            target.proxy.set_mode(proxies.Mode.PASS)
