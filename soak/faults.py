"""What each kind of fault does, and how it ends."""

import asyncio
import contextlib
import functools
import random
import signal
import time
from typing import Iterator

from soak import callers
from soak import history as histories
from soak import instances as processes
from soak import operator as operators
from soak import plan
from soak import proxy as proxies
from soak import targets as target_fleet
from tests import platform_standins

__all__ = ["FaultInjector"]

# A process is started again this long after its end.
RESTART_SECONDS = 0.5
# The store drops the entry of a target that is silent after this time.
EXPIRY_SECONDS = 3.0
DRAIN_SECONDS = 2.0
STORE = "store"
BURST_FACTOR = 3.0
# Faults of the store last longer: keys are served without it for some seconds.
STORE_FACTOR = 2.0
# Share of the bad behaviours that all targets of a service show, for longer.
ACROSS_SHARE = 0.4
ACROSS_FACTOR = 2.0
# What a proxy does, and the delay of each piece.
PATH_FAULTS = {
    "reset": (proxies.Mode.REFUSE, 0.0),
    "silent": (proxies.Mode.SILENT, 0.0),
    "one_way": (proxies.Mode.ONE_WAY, 0.0),
    "slow": (proxies.Mode.DELAY, 0.3),
    "delay": (proxies.Mode.DELAY, 0.15),
}


class FaultInjector:
    """Plays faults on the parts of a run."""

    def __init__(
        self,
        instances: list[processes.Instance],
        fleet: target_fleet.Fleet,
        store: platform_standins.Store,
        operator: operators.Operator,
        load: callers.Callers,
        history: histories.History,
    ) -> None:
        self._instances = instances
        self._fleet = fleet
        self._store = store
        self._operator = operator
        self._load = load
        self._history = history
        self._busy: set[str] = set()

    async def play(self, fault: plan.Fault) -> None:
        """Plays one fault to its end."""
        rng = random.Random(fault.choice)
        group, _, name = fault.kind.partition("_")
        if group == "instance":
            await self._disturb_instances(name, fault, rng)
        elif group == "store":
            await self._disturb_store(name, fault, rng)
        elif group == "target":
            await self._disturb_target(name, fault, rng)
        elif group == "link":
            await self._disturb_link(name, fault, rng)
        elif fault.kind == "settings_change":
            self._change_settings(rng)
        elif fault.kind == "burst":
            self._load.rate *= BURST_FACTOR
            await asyncio.sleep(fault.seconds)
            self._load.rate /= BURST_FACTOR
        else:
            {
                "key_revoke": self._operator.revoke_key,
                "key_add": self._operator.add_key,
                "route_add": self._operator.add_route,
                "timeouts_change": self._operator.change_timeouts,
            }[fault.kind]()

    def _begin(self, subject: str, kind: str) -> int:
        self._history.disturbances.append(
            histories.Disturbance(subject, kind, time.monotonic(), float("inf"))
        )
        return len(self._history.disturbances) - 1

    @contextlib.contextmanager
    def _disturbance(self, kind: str, *subjects: str) -> Iterator[None]:
        """Records a fault while it lasts."""
        indices = [self._begin(subject, kind) for subject in subjects]
        yield
        for index in indices:
            found = self._history.disturbances[index]
            self._history.disturbances[index] = found._replace(
                until=time.monotonic()
            )

    # Instances.

    async def _disturb_instances(
        self, name: str, fault: plan.Fault, rng: random.Random
    ) -> None:
        count = 1
        if name.endswith("_many"):
            count = max(1, len(self._instances) // 2)
        free = [i for i in self._instances if i.name not in self._busy]
        chosen = rng.sample(free, min(count, len(free)))
        play = {
            "kill": self._kill,
            "pause": self._pause,
            "stop": self._stop,
        }[name.partition("_")[0]]
        self._busy |= {instance.name for instance in chosen}
        try:
            await asyncio.gather(
                *(play(instance, fault.seconds) for instance in chosen)
            )
        finally:
            self._busy -= {instance.name for instance in chosen}

    async def _kill(self, instance: processes.Instance, seconds: float) -> None:
        with self._disturbance("kill", instance.name):
            instance.kill()
            await asyncio.sleep(min(seconds, RESTART_SECONDS * 4))
            instance.start()

    async def _pause(
        self, instance: processes.Instance, seconds: float
    ) -> None:
        with self._disturbance("pause", instance.name):
            instance.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            instance.send_signal(signal.SIGCONT)

    async def _stop(
        self, instance: processes.Instance, _seconds: float
    ) -> None:
        with self._disturbance("stop", instance.name):
            await instance.stop()
            await asyncio.sleep(RESTART_SECONDS)
            instance.start()

    def _change_settings(self, rng: random.Random) -> None:
        instance = rng.choice(self._instances)
        instance.write_settings(processes.RETRY_EXTRA + rng.randint(0, 5))
        instance.send_signal(signal.SIGHUP)

    # The store.

    async def _disturb_store(
        self, name: str, fault: plan.Fault, rng: random.Random
    ) -> None:
        if name == "forget":
            self._store.forget()
            return
        chosen = self._instances
        if rng.random() < 0.5:
            chosen = rng.sample(chosen, rng.randint(1, len(chosen)))
        subjects = [instance.name for instance in chosen]
        if name in ("refuse", "busy") or len(chosen) == len(self._instances):
            # The store does not tell who calls: it refuses all.
            subjects = [STORE]
        with self._disturbance(f"store {name}", *subjects):
            if rng.random() < 0.5:
                self._operator.revoke_key()
            if name in ("refuse", "busy"):
                self._store.status = 503 if name == "refuse" else 429
                await asyncio.sleep(fault.seconds)
                self._store.status = 200
            else:
                for instance in chosen:
                    instance.store.change(*PATH_FAULTS[name])
                await asyncio.sleep(fault.seconds * STORE_FACTOR)
                for instance in chosen:
                    instance.store.change(proxies.Mode.PASS)

    # Targets.

    def _choose_target(self, rng: random.Random) -> target_fleet.Target | None:
        """Chooses a target that may be lost: others of its service stay."""
        free = [
            target
            for name, target in sorted(self._fleet.targets.items())
            if name not in self._busy and not target.is_leaving
        ]
        by_service = {target.service: 0 for target in free}
        for target in free:
            by_service[target.service] += 1
        free = [target for target in free if by_service[target.service] > 1]
        return rng.choice(free) if free else None

    async def _disturb_target(
        self, name: str, fault: plan.Fault, rng: random.Random
    ) -> None:
        target = self._choose_target(rng)
        if target is None:
            return
        chosen = [target]
        if name in ("crash", "drain", "lapse", "reuse"):
            self._busy.add(target.name)
            await {
                "crash": self._crash,
                "drain": functools.partial(self._leave, has_notice=True),
                "lapse": functools.partial(self._leave, has_notice=False),
                "reuse": self._reuse,
            }[name](target)
        else:
            seconds = fault.seconds
            if rng.random() < ACROSS_SHARE:
                seconds *= ACROSS_FACTOR
                chosen = [
                    found
                    for found in self._fleet.targets.values()
                    if found.service == target.service
                    and found.name not in self._busy
                ]
            names = [found.name for found in chosen]
            self._busy |= set(names)
            with self._disturbance(name, *names):
                for found in chosen:
                    found.behaviour = target_fleet.Behaviour(name)
                await asyncio.sleep(seconds)
                for found in chosen:
                    found.behaviour = target_fleet.Behaviour.SOUND
        self._busy -= {found.name for found in chosen}

    async def add_target(
        self, service: str, zone: str, proxy: proxies.Proxy | None = None
    ) -> None:
        """Starts a target and enters it in the store's list."""
        target = await self._fleet.add(service, zone, proxy)
        self._store.put("servers", target.name, target.entry())

    async def _crash(self, target: target_fleet.Target) -> None:
        self._begin(target.name, "crash")
        self._fleet.remove(target)
        await asyncio.sleep(RESTART_SECONDS)
        await self.add_target(target.service, target.zone)
        await asyncio.sleep(EXPIRY_SECONDS)
        self._store.remove("servers", target.name)

    async def _leave(
        self, target: target_fleet.Target, has_notice: bool
    ) -> None:
        await self.add_target(target.service, target.zone)
        target.is_leaving = True
        if has_notice:
            self._store.put("servers", target.name, target.entry())
        else:
            self._store.remove("servers", target.name)
        self._history.left[target.name] = time.monotonic()
        await asyncio.sleep(DRAIN_SECONDS * 2)
        self._begin(target.name, "gone")
        self._fleet.remove(target)
        if has_notice:
            self._store.remove("servers", target.name)

    async def _reuse(self, target: target_fleet.Target) -> None:
        """Gives the address of a crashed target to another service."""
        service = target_fleet.ENGINES
        if target.service == target_fleet.ENGINES:
            service = target_fleet.DESK
        self._begin(target.name, "crash")
        self._fleet.remove(target)
        await self.add_target(target.service, target.zone)
        await asyncio.sleep(DRAIN_SECONDS)
        await self.add_target(service, target.zone, target.proxy)
        await asyncio.sleep(EXPIRY_SECONDS)
        self._store.remove("servers", target.name)

    async def _disturb_link(
        self, name: str, fault: plan.Fault, rng: random.Random
    ) -> None:
        target = self._choose_target(rng)
        if target is None or target.proxy is None:
            return
        with self._disturbance(f"link {name}", target.name):
            if name == "reset":
                target.proxy.reset()
                return
            target.proxy.change(*PATH_FAULTS[name])
            await asyncio.sleep(fault.seconds)
            target.proxy.change(proxies.Mode.PASS)
