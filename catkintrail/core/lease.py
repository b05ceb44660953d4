"""A lease in the platform's store, with fencing numbers.

The record's version in the store is the fencing number: it rises with every
acquisition. The holder counts its time from before the write that got the
lease, so that its own view of the end is never later than the others'. Source:
Gray and Cheriton, "Leases", 1989; fencing as in Burrows, "Chubby", 2006.
"""

from typing import NamedTuple

import msgspec

from catkintrail import errors
from catkintrail.ports import platform as platform_port

__all__ = ["Lease", "LeaseRecord", "LeaseKeeper"]

LEASE_SECONDS = 10.0
RENEW_SECONDS = 3.0
# The most by which two monotonic clocks drift apart during one lease.
CLOCK_DRIFT_SECONDS = 0.5
# The longest that an order may be on its way to an engine.
LONGEST_ORDER_SECONDS = 5.0


class LeaseRecord(NamedTuple):
    """What the store keeps of a lease.

    Attributes:
        holder: The instance, with the incarnation of its start.
        nonce: Names the write.
        fencing: Raised by every acquisition, kept by renewals.
    """

    holder: str
    nonce: str
    fencing: int


class Lease(NamedTuple):
    """A lease as its holder sees it.

    Attributes:
        fencing: Fencing number.
        ends: Monotonic time in seconds after which it must not be used.
        usable_from: Monotonic time from which orders may be given to engines
            that do not check fencing numbers.
    """

    fencing: int
    ends: float
    usable_from: float


class LeaseKeeper:
    """Gets, renews and loses one lease.

    Attributes:
        name: The record's name in the store.
        holder: This holder.
        lease: The lease held; None where there is none.
    """

    def __init__(self, name: str, holder: str) -> None:
        self.name = name
        self.holder = holder
        self.lease: Lease | None = None
        self._version = 0
        self._seen_version = -1
        self._seen_at = 0.0
        self._counter = 0
        self._renewed = 0.0

    def is_held(self, now: float) -> bool:
        """Returns whether orders may be given that check the fencing."""
        return self.lease is not None and now < self.lease.ends

    def may_order_unfenced(self, now: float) -> bool:
        """Returns whether orders may be given to engines without fencing.

        The last order of the holder before has ended by then.
        """
        return self.is_held(now) and now >= self.lease.usable_from

    def keep(self, store: platform_port.Platform, now: float) -> None:
        """Renews the lease, or tries to get it when it is free.

        Args:
            store: The platform's store.
            now: Monotonic time in seconds, read before the call.
        """
        if self.is_held(now):
            if now - self._renewed >= RENEW_SECONDS:
                self._renew(store, now)
            return
        self.lease = None
        try:
            stored = store.read(self.name)
        except errors.PlatformUnavailableError:
            return
        if stored is not None and not self._is_free(stored, now):
            return
        self._acquire(store, stored, now)

    def give_up(self, store: platform_port.Platform) -> None:
        """Ends the lease early, so that the next holder need not wait."""
        if self.lease is None:
            return
        record = LeaseRecord("", self._nonce(), self.lease.fencing)
        self.lease = None
        try:
            store.write(self.name, _encode(record), self._version)
        except errors.PlatformError:
            pass

    def _is_free(self, stored: platform_port.Stored, now: float) -> bool:
        if not _decode(stored.value).holder:
            return True
        if stored.version != self._seen_version:
            self._seen_version = stored.version
            self._seen_at = now
            return False
        # The holder's own count began before this version was written.
        return now - self._seen_at > LEASE_SECONDS + CLOCK_DRIFT_SECONDS

    def _acquire(
        self,
        store: platform_port.Platform,
        stored: platform_port.Stored | None,
        now: float,
    ) -> None:
        fencing = 1
        version = 0
        if stored is not None:
            fencing = _decode(stored.value).fencing + 1
            version = stored.version
        record = LeaseRecord(self.holder, self._nonce(), fencing)
        written = self._write(store, record, version)
        if written is None:
            return
        self._version = written
        self._renewed = now
        # The lease before has ended, but its last order may be on its way.
        usable_from = now + LONGEST_ORDER_SECONDS
        self.lease = Lease(fencing, now + LEASE_SECONDS, usable_from)

    def _renew(self, store: platform_port.Platform, now: float) -> None:
        record = LeaseRecord(self.holder, self._nonce(), self.lease.fencing)
        try:
            written = self._write(store, record, self._version)
        except errors.ConflictError:
            self.lease = None
            return
        if written is not None:
            self._version = written
            self._renewed = now
            self.lease = self.lease._replace(ends=now + LEASE_SECONDS)

    def _write(
        self,
        store: platform_port.Platform,
        record: LeaseRecord,
        version: int,
    ) -> int | None:
        """Writes the record; reads back where the answer was lost."""
        try:
            return store.write(self.name, _encode(record), version)
        except errors.ConflictError:
            if self.lease is not None:
                raise
            return None
        except errors.PlatformUnavailableError:
            pass
        try:
            stored = store.read(self.name)
        except errors.PlatformUnavailableError:
            return None
        if stored is None or _decode(stored.value).nonce != record.nonce:
            return None
        return stored.version

    def _nonce(self) -> str:
        self._counter += 1
        return f"{self.holder}.{self._counter}"


def _encode(record: LeaseRecord) -> bytes:
    return msgspec.json.encode(record)


def _decode(value: bytes) -> LeaseRecord:
    return msgspec.json.decode(value, type=LeaseRecord)
