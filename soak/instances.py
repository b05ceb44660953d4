"""Starts, signals and monitors the processes of the relaying instances."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import time
import urllib.request

from soak import history as run_history
from soak import proxy as proxies
from tests import platform_standins

__all__ = ["GRACE_SECONDS", "Instance"]

ROOT = pathlib.Path(__file__).parent.parent
GRACE_SECONDS = 8.0
POLL_SECONDS = 0.1
READINESS_CHECK_TIMEOUT_SECONDS = 1.0


class Instance:
    """A relaying instance, whose process may be restarted.

    Attributes:
        name: Name of the instance.
        zone: Availability zone.
        ip: Loopback address on which the instance listens.
        ports: Port numbers by the names of `platform_standins.PORT_NAMES`.
        store_proxy: Proxy between the instance and the store.
        retry_extra: Extra retries of the first settings.
        process: The latest process; None before the first start.
        start_count: How often the process was started.
        is_in_rotation: Whether the load balancer sends requests here.
        is_exit_expected: Whether the soak is stopping or has killed the
            process.
        log_path: File with the output of all processes of the instance.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        ports: dict[str, int],
        seeds: list[str],
        store_proxy: proxies.Proxy,
        folder: pathlib.Path,
        history: run_history.History,
        retry_extra: int,
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.ports = ports
        self.store_proxy = store_proxy
        self.retry_extra = retry_extra
        self.process: subprocess.Popen | None = None
        self.start_count = 0
        self.is_in_rotation = False
        self.is_exit_expected = False
        self.log_path = folder / f"{name}.log"
        self._settings_path = folder / f"{name}.toml"
        self._history = history
        self._seeds = seeds
        self.write_settings(retry_extra)

    def write_settings(self, retry_extra: int) -> None:
        """Writes the settings file.

        Args:
            retry_extra: Retries allowed in a window beyond the share of
                requests.
        """
        self._history.retry_extras.append(retry_extra)
        self._settings_path.write_text(
            platform_standins.make_settings(
                self.name,
                self.ip,
                self.ports,
                self._seeds,
                self.store_proxy.address,
                self.zone,
                retry_extra,
            )
        )

    def start(self) -> None:
        """Starts the process."""
        self.start_count += 1
        self.is_exit_expected = False
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
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its exit."""
        self.is_exit_expected = True
        if self.process is not None:
            self.send_signal(signal.SIGKILL)
            self.process.wait()

    async def stop(self) -> None:
        """Sends SIGTERM to the process; kills it after the grace time."""
        self.is_exit_expected = True
        process = self.process
        started = time.monotonic()
        index = len(self._history.stops)
        self._history.stops.append((self.name, started, 0.0))
        self.send_signal(signal.SIGTERM)
        while process is not None and process.poll() is None:
            if time.monotonic() > started + GRACE_SECONDS:
                self.kill()
            await asyncio.sleep(POLL_SECONDS)
        self._history.stops[index] = self.name, started, time.monotonic()

    async def restart_after_exits(self) -> None:
        """Records and restarts a process that the soak did not end."""
        while True:
            await asyncio.sleep(POLL_SECONDS)
            if self.process is None or self.process.poll() is None:
                continue
            if not self.is_exit_expected:
                self._history.unexpected_exits.append(self.name)
                self.start()

    async def update_rotation(self) -> None:
        """Polls readiness as the load balancer does.

        Two failed checks in a row take the instance out of rotation.
        """
        failed_checks = 2
        while True:
            is_ready = await asyncio.to_thread(self.is_ready)
            failed_checks = 0 if is_ready else failed_checks + 1
            self.is_in_rotation = failed_checks < 2
            await asyncio.sleep(1.0)

    def is_ready(self) -> bool:
        """Returns whether the readiness endpoint returns status 200."""
        url = f"http://{self.ip}:{self.ports['ready']}/api/ready"
        try:
            with urllib.request.urlopen(
                url, timeout=READINESS_CHECK_TIMEOUT_SECONDS
            ) as response:
                return response.status == 200
        except OSError:
            return False
