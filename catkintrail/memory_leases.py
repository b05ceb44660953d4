"""Reserves engine memory; renews and releases it in the background."""

from concurrent import futures
import logging
import threading
import time
from typing import Callable, Protocol

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.core import memory_lease
from catkintrail.core import targets as target_records

__all__ = ["MemoryLeases", "OrderSender"]

_LOG = logging.getLogger("catkintrail.memory")

CHECK_SECONDS = 0.2
# An order to an unresponsive engine blocks its thread. Several threads keep
# orders to other engines from waiting behind it.
ORDER_THREADS = 4


class OrderSender(Protocol):
    """Sends orders to engines; implemented in platform.orders.

    Each method may raise errors.TargetError.
    """

    def reserve(
        self,
        target: target_records.Target,
        reservation: str,
        tokens: int,
        lease_seconds: float,
    ) -> None:
        """Reserves memory, or renews a reservation.

        Args:
            target: The engine.
            reservation: Id of the reservation.
            tokens: Size of the memory.
            lease_seconds: After this time without a renewal the engine drops
                the reservation.
        """

    def release(self, target: target_records.Target, reservation: str) -> None:
        """Releases a reservation."""


class MemoryLeases:
    """Manages this instance's reservations of engine memory.

    Attributes:
        lease_table: Reservations that are in use, and released ones that may
            still exist on an engine.
    """

    def __init__(
        self,
        owner: str,
        orders: OrderSender,
        free_seconds: float,
        clock: Callable[[], float],
    ) -> None:
        self.lease_table = memory_lease.LeaseTable(free_seconds)
        self._owner = owner
        self._orders = orders
        self._clock = clock
        self._reservation_count = 0
        self._targets: dict[str, target_records.Target] = {}
        self._lock = threading.Lock()
        self._pool = futures.ThreadPoolExecutor(
            ORDER_THREADS, thread_name_prefix="orders"
        )
        self._wake = threading.Event()

    def start(self) -> None:
        """Starts the thread that renews and releases reservations."""
        threading.Thread(
            target=self._run, name="memory-leases", daemon=True
        ).start()

    def reserve(
        self, target: target_records.Target, tokens: int
    ) -> memory_lease.Lease:
        """Reserves memory and keeps it reserved until `release`.

        Args:
            target: The engine.
            tokens: Size of the memory.

        Raises:
            errors.TargetError: The memory was not reserved, or the engine did
                not respond.
        """
        with self._lock:
            self._reservation_count += 1
            reservation_id = f"{self._owner}-{self._reservation_count}"
            lease = memory_lease.Lease(reservation_id, target.name, tokens)
            self._targets[target.name] = target
        try:
            self._orders.reserve(
                target, reservation_id, tokens, self.lease_table.lease_seconds
            )
        except errors.TargetError as error:
            _log_event("memory_not_reserved", lease, str(error))
            if error.verdict is not verdicts.Verdict.NOT_RUN:
                with self._lock:
                    self.lease_table.record_unanswered_order(
                        lease, self._clock()
                    )
                self._wake.set()
            raise
        with self._lock:
            self.lease_table.add_lease(lease, self._clock())
        self._wake.set()
        _log_event("memory_reserved", lease)
        return lease

    def release(self, lease: memory_lease.Lease) -> None:
        """Releases a reservation without waiting for the engine."""
        with self._lock:
            self.lease_table.release(lease, self._clock())
        self._submit(memory_lease.LeaseOrder(lease, True))

    def _run(self) -> None:
        while True:
            self._wake.wait()
            with self._lock:
                orders = self.lease_table.due_orders(self._clock())
                if (
                    not self.lease_table.held
                    and not self.lease_table.unconfirmed_releases
                ):
                    self._wake.clear()
            for order in orders:
                self._submit(order)
            time.sleep(CHECK_SECONDS)

    def _submit(self, order: memory_lease.LeaseOrder) -> None:
        self._pool.submit(self._execute, order)

    def _execute(self, order: memory_lease.LeaseOrder) -> None:
        lease = order.lease
        target = self._targets[lease.target]
        try:
            if order.is_release:
                self._orders.release(target, lease.reservation)
                _log_event("memory_released", lease)
                return
            with self._lock:
                is_held = lease in self.lease_table.held
            if is_held:
                self._orders.reserve(
                    target,
                    lease.reservation,
                    lease.tokens,
                    self.lease_table.lease_seconds,
                )
        except errors.TargetError as error:
            _log_event("memory_order_failed", lease, str(error))
            if error.verdict is not verdicts.Verdict.NOT_RUN:
                self._record_unanswered(order)
            return
        with self._lock:
            is_orphaned = (
                not order.is_release and lease not in self.lease_table.held
            )
        if is_orphaned:
            # The request ended during the renewal, which may have been carried
            # out after the release.
            self._submit(memory_lease.LeaseOrder(lease, True))

    def _record_unanswered(self, order: memory_lease.LeaseOrder) -> None:
        now = self._clock()
        with self._lock:
            if order.is_release:
                self.lease_table.record_unanswered_release(order.lease, now)
            else:
                self.lease_table.record_unanswered_order(order.lease, now)
        self._wake.set()


def _log_event(event: str, lease: memory_lease.Lease, reason: str = "") -> None:
    _LOG.info(
        event,
        extra={
            "reservation": lease.reservation,
            "target": lease.target,
            "tokens": lease.tokens,
            "reason": reason,
        },
    )
