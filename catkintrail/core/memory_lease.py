"""Keeps reservations of engine memory short, renewed, and given back.

A reservation outlives its owner by its lease time only. An order without an
answer may be carried out later, even after the release; so the release is then
said again until no such order can come any more.
"""

from typing import NamedTuple

__all__ = ["Lease", "LeaseBook", "LeaseOrder"]

# Share of the time within which unused memory has to be free again, so that a
# killed owner keeps to it too.
HOLD_SHARE = 0.75
# Share of a lease after which it is renewed: two renewals may be lost.
RENEW_SHARE = 0.3
# Orders without an answer are carried out up to 12 s later.
LATE_ORDER_SECONDS = 13.0
# A late order's reservation is released this soon after it.
RELEASE_AGAIN_SECONDS = 1.5


class Lease(NamedTuple):
    """Memory reserved on an engine.

    Attributes:
        reservation: Its id.
        target: Name of the engine.
        tokens: Its size.
    """

    reservation: str
    target: str
    tokens: int


class LeaseOrder(NamedTuple):
    """What to tell an engine.

    Attributes:
        lease: Of which reservation.
        is_release: Whether to release it; else to renew it.
    """

    lease: Lease
    is_release: bool


class LeaseBook:
    """The reservations of one instance.

    Attributes:
        hold_seconds: Length of a lease.
        held: Reservations in use, with the time of their next renewal.
        doubtful: Released reservations that a late order may bring back, with
            the time of the next release and that of the last.
    """

    def __init__(self, free_seconds: float) -> None:
        self.hold_seconds = 0.0
        self.apply_bound(free_seconds)
        self.held: dict[Lease, float] = {}
        self.doubtful: dict[Lease, tuple[float, float]] = {}
        self._unanswered: set[Lease] = set()

    def apply_bound(self, free_seconds: float) -> None:
        """Takes the time after which unused memory has to be free."""
        self.hold_seconds = free_seconds * HOLD_SHARE

    def hold(self, lease: Lease, now: float) -> None:
        """Notes a reservation that was made, or may have been."""
        self.held[lease] = now + self.hold_seconds * RENEW_SHARE

    def note_unanswered(self, lease: Lease, now: float) -> None:
        """Notes that an order got no answer."""
        self._unanswered.add(lease)
        if lease not in self.held:
            self._doubt(lease, now)

    def give_up(self, lease: Lease, now: float) -> None:
        """Notes that a reservation is of no use any more."""
        self.held.pop(lease, None)
        if lease in self._unanswered:
            self._doubt(lease, now)

    def due(self, now: float) -> list[LeaseOrder]:
        """Returns the orders that are due."""
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
                self.doubtful[lease] = (now + RELEASE_AGAIN_SECONDS, until)
                orders.append(LeaseOrder(lease, True))
        return orders

    def _doubt(self, lease: Lease, now: float) -> None:
        self.doubtful[lease] = (
            now + RELEASE_AGAIN_SECONDS,
            now + LATE_ORDER_SECONDS,
        )
