"""Schedules renewals and releases of engine memory reservations.

Reservations are leases that expire unless they are renewed, so that the memory
is freed if their owner is killed. An order that the engine did not answer may
still be carried out later, even after the release of the reservation. In that
case the release is repeated until no such order can take effect any more.
"""

from typing import NamedTuple

__all__ = ["Lease", "LeaseBook", "LeaseOrder"]

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


class LeaseBook:
    """The reservations of one instance.

    Attributes:
        hold_seconds: Length of a lease.
        held: Reservations in use, with the time of their next renewal.
        doubtful: Released reservations that an unanswered order may reserve
            again, with the time of the next release and the time at which the
            releases end.
    """

    def __init__(self, free_seconds: float) -> None:
        self.hold_seconds = 0.0
        self.apply_bound(free_seconds)
        self.held: dict[Lease, float] = {}
        self.doubtful: dict[Lease, tuple[float, float]] = {}
        self._unanswered: set[Lease] = set()

    def apply_bound(self, free_seconds: float) -> None:
        """Sets the time within which unused memory must be free again."""
        self.hold_seconds = free_seconds * LEASE_SHARE

    def hold(self, lease: Lease, now: float) -> None:
        """Adds a reservation, to be renewed until it is given up."""
        self.held[lease] = now + self.hold_seconds * RENEW_SHARE

    def note_unanswered(self, lease: Lease, now: float) -> None:
        """Records that the engine did not answer an order.

        If the reservation is not held, its release is scheduled repeatedly.
        """
        self._unanswered.add(lease)
        if lease not in self.held:
            self._schedule_releases(lease, now)

    def give_up(self, lease: Lease, now: float) -> None:
        """Ends the renewal of a reservation that is not needed any more.

        If an order for the reservation was not answered, its release is
        scheduled repeatedly. The first release is up to the caller.
        """
        self.held.pop(lease, None)
        if lease in self._unanswered:
            self._schedule_releases(lease, now)

    def due(self, now: float) -> list[LeaseOrder]:
        """Returns the orders that are due and schedules the following ones."""
        orders = []
        for lease, renew_at in self.held.items():
            if now >= renew_at:
                self.held[lease] = now + self.hold_seconds * RENEW_SHARE
                orders.append(LeaseOrder(lease, False))
        for lease, (release_at, until) in list(self.doubtful.items()):
            if now >= until:
                del self.doubtful[lease]
                self._unanswered.discard(lease)
            elif now >= release_at:
                self.doubtful[lease] = (now + RELEASE_RETRY_SECONDS, until)
                orders.append(LeaseOrder(lease, True))
        return orders

    def _schedule_releases(self, lease: Lease, now: float) -> None:
        self.doubtful[lease] = (
            now + RELEASE_RETRY_SECONDS,
            now + LATE_ORDER_SECONDS,
        )
