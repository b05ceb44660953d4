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
from tests import platform_standins

__all__ = ["GRACE_SECONDS", "Instance", "RETRY_EXTRA"]

ROOT = pathlib.Path(__file__).parent.parent
GRACE_SECONDS = 8.0
WATCH_SECONDS = 0.1
READY_TIMEOUT_SECONDS = 1.0
# Small, so that a run can exceed it.
RETRY_EXTRA = 5


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
        ports: dict[str, int],
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
        self._settings_path.write_text(
            platform_standins.make_settings(
                self.name,
                self.ip,
                self.ports,
                self._seeds,
                self.store.address,
                self.zone,
                retry_extra,
            )
        )

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
        url = f"http://{self.ip}:{self.ports['ready']}/api/ready"
        try:
            with urllib.request.urlopen(
                url, timeout=READY_TIMEOUT_SECONDS
            ) as response:
                return response.status == 200
        except OSError:
            return False
