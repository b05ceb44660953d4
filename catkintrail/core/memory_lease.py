"""Schedules renewals and releases of engine memory reservations.

Reservations are leases that expire unless they are renewed, so that the memory
is freed if their owner is killed. An order that the engine did not answer may
still be carried out later, even after the release of the reservation. In that
case the release is repeated until no such order can take effect any more.
"""

from typing import NamedTuple

__all__ = ["Lease", "LeaseTable", "LeaseOrder"]

# Length of a lease as a share of the time within which unused memory must be
# free again, so that the bound also holds if the owner is killed.
LEASE_SHARE = 0.75
# Share of a lease after which it is renewed; two renewals in a row may be lost.
RENEW_SHARE = 0.3
# Unanswered orders may be carried out up to 12 s later.
LATE_ORDER_SECONDS = 13.0
# Interval of repeated releases: the longest time for which an order that is
# carried out late may hold memory.
RELEASE_RETRY_SECONDS = 1.5


class Lease(NamedTuple):
    """A reservation of memory on an engine.

    Attributes:
        reservation: Id of the reservation.
        target: Name of the engine.
        tokens: Size of the reservation, in KV cache tokens.
    """

    reservation: str
    target: str
    tokens: int


class LeaseOrder(NamedTuple):
    """An order to renew or release a reservation.

    Attributes:
        lease: The reservation.
        is_release: Whether to release the reservation; otherwise it is renewed.
    """

    lease: Lease
    is_release: bool


class LeaseTable:
    """The reservations of one instance.

    Attributes:
        lease_seconds: Length of a lease.
        held: Reservations in use, with the time of their next renewal.
        unconfirmed_releases: Released reservations that an unanswered order may
            reserve again, with the time of the next release and the time at
            which the releases end.
    """

    def __init__(self, free_seconds: float) -> None:
        self.lease_seconds = 0.0
        self.set_free_seconds(free_seconds)
        self.held: dict[Lease, float] = {}
        self.unconfirmed_releases: dict[Lease, tuple[float, float]] = {}
        self._unanswered: set[Lease] = set()

    def set_free_seconds(self, free_seconds: float) -> None:
        """Sets the time within which unused memory must be free again."""
        self.lease_seconds = free_seconds * LEASE_SHARE

    def add_lease(self, lease: Lease, now: float) -> None:
        """Adds a reservation, to be renewed until it is released."""
        self.held[lease] = now + self.lease_seconds * RENEW_SHARE

    def record_unanswered_order(self, lease: Lease, now: float) -> None:
        """Records that the engine did not answer an order to reserve.

        If the reservation is not held, its release is scheduled repeatedly.
        """
        self._unanswered.add(lease)
        if lease not in self.held:
            self._schedule_releases(lease, now, LATE_ORDER_SECONDS)

    def record_unanswered_release(self, lease: Lease, now: float) -> None:
        """Records that the engine did not answer a release.

        The release is repeated until the lease has expired. A release that is
        carried out late reserves nothing, so that releases which are scheduled
        already are not extended.
        """
        if lease not in self.unconfirmed_releases:
            self._schedule_releases(lease, now, self.lease_seconds)

    def release(self, lease: Lease, now: float) -> None:
        """Ends the renewal of a reservation that is not needed any more.

        If an order for the reservation was not answered, its release is
        scheduled repeatedly. The first release is up to the caller.
        """
        self.held.pop(lease, None)
        if lease in self._unanswered:
            self._schedule_releases(lease, now, LATE_ORDER_SECONDS)

    def due_orders(self, now: float) -> list[LeaseOrder]:
        """Returns the orders that are due and schedules the following ones."""
        orders = []
        for lease, renew_at in self.held.items():
            if now >= renew_at:
                self.held[lease] = now + self.lease_seconds * RENEW_SHARE
                orders.append(LeaseOrder(lease, False))
        for lease, (release_at, until) in list(
            self.unconfirmed_releases.items()
        ):
            if now >= until:
                del self.unconfirmed_releases[lease]
                self._unanswered.discard(lease)
            elif now >= release_at:
                self.unconfirmed_releases[lease] = (
                    now + RELEASE_RETRY_SECONDS,
                    until,
                )
                orders.append(LeaseOrder(lease, True))
        return orders

    def _schedule_releases(
        self, lease: Lease, now: float, seconds: float
    ) -> None:
        self.unconfirmed_releases[lease] = (
            now + RELEASE_RETRY_SECONDS,
            now + seconds,
        )
