"""Background threads that poll the platform and the targets.

They pass what they read to the control actor.
"""

import concurrent.futures
import logging
import random
import threading
import time
from typing import Callable

from catkintrail import errors
from catkintrail import messages
from catkintrail.adapters import actors
from catkintrail.adapters import metrics as metrics_module
from catkintrail.core import attempts
from catkintrail.core import lease
from catkintrail.core import orders
from catkintrail.core import pool as pools
from catkintrail.core import publication
from catkintrail.ports import platform as platform_port
from catkintrail.ports import targets as targets_port

__all__ = ["PollingThreads"]

_LOG = logging.getLogger("catkintrail.platform")

WATCH_TIMEOUT_SECONDS = 4.0
TARGET_LIST_INTERVAL_SECONDS = 1.0
LOAD_INTERVAL_SECONDS = 2.0
# Bounds the traffic of load reports regardless of the number of owned targets.
MAX_LOADS_PER_SECOND = 2.5
# Sequence number that requests a load report without cache events.
NO_CACHE_EVENTS = -1
ORDER_INTERVAL_SECONDS = 1.0
ROLE_CHECK_INTERVAL_SECONDS = 0.5
MIN_RETRY_DELAY_SECONDS = 0.25
MAX_RETRY_DELAY_SECONDS = 4.0
LOAD_POLL_THREADS = 4


class PollingThreads:
    """The periodic work of one instance that makes blocking calls.

    Attributes:
        control: The control actor.
        store: The platform's store.
        targets: Client of the targets.
        metrics: Counts platform errors and orders.
        ids: Creates the ids of orders.
        retry_records: Retries writes of pending idempotency records.
        rng: Source of the jitter of retry delays.
    """

    def __init__(
        self,
        control: actors.ControlClient,
        store: platform_port.Platform,
        targets: targets_port.Targets,
        metrics: metrics_module.Metrics,
        ids: attempts.IdGenerator,
        retry_records: Callable[[], None],
        rng: random.Random,
    ) -> None:
        self.control = control
        self.store = store
        self.targets = targets
        self.metrics = metrics
        self.ids = ids
        self.retry_records = retry_records
        self.rng = rng
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []
        self._event_sequences: dict[str, int] = {}
        self._head_version = 0
        self._has_read_head = False
        own_record = control.instance.membership.own_record
        self._lease = lease.LeaseManager(
            orders.lease_name(own_record.zone),
            f"{own_record.name}.{own_record.incarnation:x}",
        )

    def start(self) -> None:
        """Starts all threads."""
        loops = (
            ("configuration", self._follow_configuration),
            ("targets", self._poll_targets),
            ("loads", self._poll_loads),
            ("orders", self._run_orders),
        )
        for name, target in loops:
            thread = threading.Thread(target=target, name=name, daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Releases the lease and signals the threads to stop.

        Does not wait for them; they may be blocked in a call.
        """
        self._stop.set()
        self._lease.release(self.store)

    # Configuration.

    def _follow_configuration(self) -> None:
        delay = MIN_RETRY_DELAY_SECONDS
        while not self._stop.is_set():
            try:
                if not self._has_read_head:
                    self._read_configuration()
                elif self.control.instance.is_watcher():
                    self._watch_configuration()
                else:
                    self._stop.wait(ROLE_CHECK_INTERVAL_SECONDS)
                delay = MIN_RETRY_DELAY_SECONDS
            except (errors.PlatformError, errors.FrameError) as error:
                self._record_error("configuration", error)
                self._stop.wait(delay * self.rng.uniform(0.5, 1.0))
                delay = min(MAX_RETRY_DELAY_SECONDS, 2 * delay)
            except errors.CheckError as error:
                _LOG.error("configuration refused", extra={"error": str(error)})
                self._stop.wait(MAX_RETRY_DELAY_SECONDS)

    def _watch_configuration(self) -> None:
        version = self.store.watch(
            publication.HEAD_NAME, self._head_version, WATCH_TIMEOUT_SECONDS
        )
        if version > self._head_version:
            self._read_configuration()

    def _read_configuration(self) -> None:
        current = self.control.snapshot()
        version, snapshot = publication.fetch(self.store, current)
        # A stale read must not lower the version to watch from.
        self._head_version = max(self._head_version, version)
        self._has_read_head = True
        self.control.tell(actors.SnapshotTaken(snapshot))

    # Targets.

    def _poll_targets(self) -> None:
        while not self._stop.is_set():
            if self._should_list_targets():
                try:
                    listing = self.store.list_targets()
                    self.control.tell(actors.TargetsTaken(listing))
                except errors.PlatformError as error:
                    self._record_error("targets", error)
            self._stop.wait(TARGET_LIST_INTERVAL_SECONDS)

    def _should_list_targets(self) -> bool:
        core = self.control.instance
        return core.is_watcher() or not core.directory.listing.revision

    def _poll_loads(self) -> None:
        with concurrent.futures.ThreadPoolExecutor(
            LOAD_POLL_THREADS, "loads"
        ) as executor:
            delay = LOAD_INTERVAL_SECONDS
            while not self._stop.wait(delay):
                targets = self._owned_targets()
                delay = max(
                    LOAD_INTERVAL_SECONDS, len(targets) / MAX_LOADS_PER_SECOND
                )
                list(
                    executor.map(
                        lambda target: self._read_load(*target), targets
                    )
                )
                names = {record.name for _, record, _ in targets}
                self._event_sequences = {
                    name: sequence
                    for name, sequence in self._event_sequences.items()
                    if name in names
                }

    def _owned_targets(
        self,
    ) -> list[tuple[pools.PoolKey, messages.TargetRecord, bool]]:
        try:
            return self.control.instance.polled_targets()
        except RuntimeError:
            # The control actor changed the pools during the iteration; the next
            # poll reads them again.
            return []

    def _read_load(
        self,
        key: pools.PoolKey,
        record: messages.TargetRecord,
        has_events: bool,
    ) -> None:
        after = NO_CACHE_EVENTS
        if has_events:
            after = self._event_sequences.get(record.name, 0)
        try:
            answer = self.targets.read_load(record.address, record.name, after)
        except errors.TargetError as error:
            _LOG.debug(
                "load not read",
                extra={"target": record.name, "error": str(error)},
            )
            return
        if answer.events:
            self._event_sequences[record.name] = answer.events[-1].sequence
        self.control.tell(actors.LoadTaken(key, answer))

    # Orders.

    def _run_orders(self) -> None:
        while not self._stop.wait(ORDER_INTERVAL_SECONDS):
            self.retry_records()
            core = self.control.instance
            if core.order_lease_candidate() != core.membership.own_record.name:
                self._lease.release(self.store)
                continue
            try:
                self._lease.renew_or_acquire(self.store, time.monotonic())
            except errors.PlatformError as error:
                self._record_error("lease", error)
                continue
            self._send_orders()

    def _send_orders(self) -> None:
        core = self.control.instance
        if not core.version_mismatches or not self._lease.is_held(
            time.monotonic()
        ):
            return
        version_mismatches = list(core.version_mismatches.values())
        core.version_mismatches.clear()
        outcomes = orders.send_orders(
            self._lease,
            self.targets,
            version_mismatches,
            self.control.snapshot().objects.models,
            self.ids.next_id,
            time.monotonic,
        )
        for target, outcome in outcomes:
            self.metrics.increment(
                "catkintrail_orders_total", {"outcome": outcome}
            )
            _LOG.info(
                "order given", extra={"target": target, "outcome": outcome}
            )

    def _record_error(self, purpose: str, error: Exception) -> None:
        self.metrics.increment(
            "catkintrail_platform_errors_total", {"purpose": purpose}
        )
        _LOG.warning(
            "platform call failed",
            extra={"purpose": purpose, "error": str(error)},
        )
