"""Reservations of engine memory, renewed and given back in the background."""

from concurrent import futures
import logging
import threading
import time
from typing import Callable, Protocol

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.core import memory_lease
from catkintrail.core import targets as target_records

__all__ = ["MemoryLeases", "Orders"]

_LOG = logging.getLogger("catkintrail.memory")

CHECK_SECONDS = 0.2
# Orders wait for silent engines; those to others must not wait with them.
ORDER_THREADS = 4


class Orders(Protocol):
    """Orders to engines; see platform.orders."""

    def reserve(
        self,
        target: target_records.Target,
        reservation: str,
        tokens: int,
        hold_seconds: float,
    ) -> None:
        """Reserves memory, or renews a reservation."""

    def release(self, target: target_records.Target, reservation: str) -> None:
        """Ends a reservation."""


class MemoryLeases:
    """Keeps this instance's reservations.

    Attributes:
        book: What is reserved, and what may be.
    """

    def __init__(
        self,
        owner: str,
        orders: Orders,
        free_seconds: float,
        clock: Callable[[], float],
    ) -> None:
        self.book = memory_lease.LeaseBook(free_seconds)
        self._owner = owner
        self._orders = orders
        self._clock = clock
        self._count = 0
        self._targets: dict[str, target_records.Target] = {}
        self._lock = threading.Lock()
        self._pool = futures.ThreadPoolExecutor(
            ORDER_THREADS, thread_name_prefix="orders"
        )
        self._wake = threading.Event()

    def start(self) -> None:
        """Starts to renew and to release."""
        threading.Thread(
            target=self._run, name="memory-leases", daemon=True
        ).start()

    def reserve(
        self, target: target_records.Target, tokens: int
    ) -> memory_lease.Lease:
        """Reserves memory and keeps it reserved."""
        with self._lock:
            self._count += 1
            name = f"{self._owner}-{self._count}"
            lease = memory_lease.Lease(name, target.name, tokens)
            self._targets[target.name] = target
        try:
            self._orders.reserve(target, name, tokens, self.book.hold_seconds)
        except errors.TargetError as error:
            _log("memory_not_reserved", lease, str(error))
            if error.verdict is not verdicts.Verdict.NOT_RUN:
                with self._lock:
                    self.book.note_unanswered(lease, self._clock())
                self._wake.set()
            raise
        with self._lock:
            self.book.hold(lease, self._clock())
        self._wake.set()
        _log("memory_reserved", lease)
        return lease

    def give_up(self, lease: memory_lease.Lease) -> None:
        """Gives the memory back, without waiting for it."""
        with self._lock:
            self.book.give_up(lease, self._clock())
        self._submit(memory_lease.LeaseOrder(lease, True))

    def _run(self) -> None:
        while True:
            self._wake.wait()
            with self._lock:
                orders = self.book.due(self._clock())
                if not self.book.held and not self.book.doubtful:
                    self._wake.clear()
            for order in orders:
                self._submit(order)
            time.sleep(CHECK_SECONDS)

    def _submit(self, order: memory_lease.LeaseOrder) -> None:
        self._pool.submit(self._carry_out, order)

    def _carry_out(self, order: memory_lease.LeaseOrder) -> None:
        lease = order.lease
        target = self._targets[lease.target]
        try:
            if order.is_release:
                self._orders.release(target, lease.reservation)
                _log("memory_released", lease)
                return
            with self._lock:
                is_held = lease in self.book.held
            if is_held:
                self._orders.reserve(
                    target,
                    lease.reservation,
                    lease.tokens,
                    self.book.hold_seconds,
                )
        except errors.TargetError as error:
            _log("memory_order_failed", lease, str(error))
            if error.verdict is not verdicts.Verdict.NOT_RUN:
                with self._lock:
                    self.book.note_unanswered(lease, self._clock())
                self._wake.set()
            return
        with self._lock:
            is_over = not order.is_release and lease not in self.book.held
        if is_over:
            # The request ended while the renewal was under way.
            self._submit(memory_lease.LeaseOrder(lease, True))


def _log(event: str, lease: memory_lease.Lease, reason: str = "") -> None:
    _LOG.info(
        event,
        extra={
            "reservation": lease.reservation,
            "target": lease.target,
            "tokens": lease.tokens,
            "reason": reason,
        },
    )
