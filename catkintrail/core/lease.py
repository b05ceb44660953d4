"""Leases in the platform's store, with fencing numbers.

The lease record contains a fencing number that increases with every
acquisition. The holder measures the lease duration from before the write that
acquired or renewed the lease, so the lease expires for its holder no later
than for other instances. Source: Gray and Cheriton, "Leases", 1989; fencing
as in Burrows, "Chubby", 2006.
"""

from typing import NamedTuple

import msgspec

from catkintrail import errors
from catkintrail.ports import platform as platform_port

__all__ = ["Lease", "LeaseManager", "LeaseRecord"]

LEASE_SECONDS = 10.0
RENEW_SECONDS = 3.0
# Maximum drift between two monotonic clocks during one lease.
CLOCK_DRIFT_SECONDS = 0.5
# Maximum time from sending an order until it takes effect on the engine.
MAX_ORDER_SECONDS = 5.0


class LeaseRecord(NamedTuple):
    """The stored record of a lease.

    Attributes:
        holder: Name and incarnation of the instance; "" after a release.
        nonce: Identifies the write that stored the record.
        fencing: Fencing number; incremented by every acquisition, unchanged
            by renewals.
    """

    holder: str
    nonce: str
    fencing: int


class Lease(NamedTuple):
    """A lease as recorded by its holder.

    Attributes:
        fencing: Fencing number.
        expires_at: Monotonic time in seconds at which the lease expires.
        unfenced_from: Monotonic time in seconds from which orders may be sent
            to engines that do not check fencing numbers.
    """

    fencing: int
    expires_at: float
    unfenced_from: float


class LeaseManager:
    """Acquires, renews and releases one lease for one holder.

    Attributes:
        name: Name of the lease record in the store.
        holder: Name and incarnation of this instance.
        lease: The lease held; None if the lease is not held.
    """

    def __init__(self, name: str, holder: str) -> None:
        self.name = name
        self.holder = holder
        self.lease: Lease | None = None
        self._version = 0
        self._seen_version = -1
        self._version_seen_at = 0.0
        self._write_count = 0
        self._renewed_at = 0.0

    def is_held(self, now: float) -> bool:
        """Returns whether the lease is held.

        While it is held, orders may be sent to engines that check fencing
        numbers.

        Args:
            now: Monotonic time in seconds.
        """
        return self.lease is not None and now < self.lease.expires_at

    def may_send_unfenced_orders(self, now: float) -> bool:
        """Returns whether orders may be sent to engines without fencing.

        They may be sent once every order of the previous holder must have
        taken effect.

        Args:
            now: Monotonic time in seconds.
        """
        return self.is_held(now) and now >= self.lease.unfenced_from

    def renew_or_acquire(
        self, store: platform_port.Platform, now: float
    ) -> None:
        """Renews the lease, or tries to acquire it if it is free.

        Args:
            store: The platform's store.
            now: Monotonic time in seconds, read before this call.
        """
        if self.is_held(now):
            if now - self._renewed_at >= RENEW_SECONDS:
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

    def release(self, store: platform_port.Platform) -> None:
        """Releases the lease, so that another instance can acquire it now."""
        if self.lease is None:
            return
        record = LeaseRecord("", self._nonce(), self.lease.fencing)
        self.lease = None
        try:
            store.write(self.name, _encode(record), self._version)
        except errors.PlatformError:
            pass

    def _is_free(self, stored: platform_port.Stored, now: float) -> bool:
        """Returns whether the stored lease was released or has expired."""
        if not _decode(stored.value).holder:
            return True
        if stored.version != self._seen_version:
            self._seen_version = stored.version
            self._version_seen_at = now
            return False
        # The holder measures the lease duration from before it wrote this
        # version, so for the holder the lease has expired as well.
        return now - self._version_seen_at > LEASE_SECONDS + CLOCK_DRIFT_SECONDS

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
        new_version = self._write(store, record, version)
        if new_version is None:
            return
        self._version = new_version
        self._renewed_at = now
        # The previous lease has ended, but an order that was sent under it
        # may still be in transit.
        unfenced_from = now + MAX_ORDER_SECONDS
        self.lease = Lease(fencing, now + LEASE_SECONDS, unfenced_from)

    def _renew(self, store: platform_port.Platform, now: float) -> None:
        record = LeaseRecord(self.holder, self._nonce(), self.lease.fencing)
        try:
            new_version = self._write(store, record, self._version)
        except errors.ConflictError:
            self.lease = None
            return
        if new_version is not None:
            self._version = new_version
            self._renewed_at = now
            self.lease = self.lease._replace(expires_at=now + LEASE_SECONDS)

    def _write(
        self,
        store: platform_port.Platform,
        record: LeaseRecord,
        version: int,
    ) -> int | None:
        """Writes the record; reads it back if the response was lost.

        Returns:
            The new version; None if the write is not known to have succeeded.

        Raises:
            errors.ConflictError: A renewal found another version of the
                record, so the lease is lost.
        """
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
        self._write_count += 1
        return f"{self.holder}.{self._write_count}"


def _encode(record: LeaseRecord) -> bytes:
    return msgspec.json.encode(record)


def _decode(value: bytes) -> LeaseRecord:
    return msgspec.json.decode(value, type=LeaseRecord)
