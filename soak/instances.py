"""The relaying instances of the soak: processes that it starts and signals."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.request

from soak import history as histories
from soak import proxy as proxies

__all__ = ["GRACE_SECONDS", "Instance", "Ports", "SETTINGS"]

ROOT = pathlib.Path(__file__).parent.parent
GRACE_SECONDS = 8.0
WATCH_SECONDS = 0.1
READY_TIMEOUT_SECONDS = 1.0
# Small, so that a run can exceed it.
RETRY_EXTRA = 5
SETTINGS = """
node = "{name}"
ip = "{ip}"
zone = "{zone}"
internal-ports = [{datagrams}, {datagrams}]
seeds = {seeds}
[listen]
front = "{ip}:{callers}"
ready = "{ip}:{ready}"
control = "{ip}:{peers}"
[limits]
memory-mb = 300
max-fds = 4000
[bounds]
grace-s = 8
drain-ms = 2000
config-apply-ms = 2000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.2
retry-after-s = 0
budget-extra = {retry_extra}
budget-window-s = 10
free-ms = 4000
hold-max-ms = 20000
[platform]
address = "{store}"
"""


class Ports:
    """Ports of a run, the same for all instances."""

    def __init__(self, numbers: list[int]) -> None:
        self.callers, self.ready, self.peers, self.datagrams = numbers


class Instance:
    """One instance: a process, started again after each end.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        ip: Its address.
        store: Proxy on the way to the store.
        process: The process; None between two starts.
        starts: How often it was started.
        is_listed: Whether the balancer sends callers.
        may_end: Whether an end of the process is the soak's doing.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        ports: Ports,
        seeds: list[str],
        store: proxies.Proxy,
        folder: pathlib.Path,
        history: histories.History,
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.ports = ports
        self.store = store
        self.process: subprocess.Popen | None = None
        self.starts = 0
        self.is_listed = False
        self.may_end = False
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.toml"
        self._history = history
        self._seeds = seeds
        self.write_settings()

    def write_settings(self, retry_extra: int = RETRY_EXTRA) -> None:
        """Writes the settings file."""
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            seeds=self._seeds,
            store=self.store.address,
            retry_extra=retry_extra,
            **vars(self.ports),
        )
        self._settings_path.write_text(text.replace("'", '"'))

    def start(self) -> None:
        """Starts the process."""
        self.starts += 1
        self.may_end = False
        with open(self.log_path, "ab") as log:
            # pylint: disable-next=consider-using-with
            self.process = subprocess.Popen(
                [sys.executable, "-m", "catkintrail.relay_start"],
                cwd=ROOT,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    **os.environ,
                    "CATKINTRAIL_BOOT": str(self._settings_path),
                },
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process."""
        self.may_end = True
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    async def stop(self) -> None:
        """Tells the process to stop; kills it after the grace time."""
        self.may_end = True
        process = self.process
        started = time.monotonic()
        index = len(self._history.stops)
        self._history.stops.append((self.name, started, 0.0))
        self.send_signal(signal.SIGTERM)
        while process is not None and process.poll() is None:
            if time.monotonic() > started + GRACE_SECONDS:
                self.kill()
            await asyncio.sleep(WATCH_SECONDS)
        self._history.stops[index] = self.name, started, time.monotonic()

    async def watch_end(self) -> None:
        """Notes ends of the process that the soak did not cause."""
        while True:
            await asyncio.sleep(WATCH_SECONDS)
            if self.process is None or self.process.poll() is None:
                continue
            if not self.may_end:
                self._history.own_ends.append(self.name)
                self.start()

    async def watch_ready(self) -> None:
        """Does the balancer's checks: two misses take an instance out."""
        misses = 2
        while True:
            is_ready = await asyncio.to_thread(self.is_ready)
            misses = 0 if is_ready else misses + 1
            self.is_listed = misses < 2
            await asyncio.sleep(1.0)

    def is_ready(self) -> bool:
        """Returns whether the instance says that it is ready."""
        url = f"http://{self.ip}:{self.ports.ready}/api/ready"
        try:
            with urllib.request.urlopen(
                url, timeout=READY_TIMEOUT_SECONDS
            ) as response:
                return response.status == 200
        except OSError:
            return False
