"""Reserves memory on a group of engines, on all or on none."""

from typing import NamedTuple

from catkintrail import errors
from catkintrail import messages
from catkintrail import verdict as verdicts
from catkintrail.ports import targets as targets_port

__all__ = ["HeldReservation", "ReservationRegistry", "reserve_group"]


class HeldReservation(NamedTuple):
    """A reservation on the engine at an address (`IP:port`)."""

    address: str
    reservation_id: str


class ReservationRegistry:
    """The reservations that this instance claims.

    Attributes:
        claimed: Their ids. An id is added before the call that reserves the
            memory. It is removed after the call that frees the memory, even if
            that call failed: the owner of the engine then frees the memory.
    """

    def __init__(self) -> None:
        self.claimed: set[str] = set()

    def answer_query(
        self, query: messages.HoldingsQuery
    ) -> messages.HoldingsClaimed:
        """Returns which reservations of a query are still claimed."""
        claimed = tuple(
            reservation_id
            for reservation_id in query.reservation_ids
            if reservation_id in self.claimed
        )
        return messages.HoldingsClaimed(
            query.target, query.reservation_ids, claimed
        )


def reserve_group(
    engines: targets_port.Targets,
    reservations: ReservationRegistry,
    members: tuple[messages.GroupMember, ...],
    attempt_id: str,
    holder: str,
    expires_in: float,
) -> tuple[HeldReservation, ...]:
    """Reserves memory on every member, or on none.

    Groups cannot deadlock: members are reserved in a fixed order, and a group
    never waits for memory. Where an engine is full, the group's other
    reservations are freed.

    Args:
        engines: Client for calls to engines.
        reservations: The reservations that this instance claims.
        members: The members of the group, sorted by name.
        attempt_id: The attempt; prefix of the reservation ids.
        holder: Name of this instance.
        expires_in: Seconds until the request's deadline.

    Returns:
        The reservations, in the order of the members.

    Raises:
        errors.TargetError: An engine refused or did not answer; verdict
            `not_run`. The group's reservations have been freed, or are no
            longer claimed.
    """
    held: list[HeldReservation] = []
    for index, member in enumerate(members):
        reservation_id = f"{attempt_id}.r{index}"
        reservations.claimed.add(reservation_id)
        held.append(HeldReservation(member.address, reservation_id))
        try:
            engines.reserve(
                member.address,
                reservation_id,
                holder,
                member.tokens,
                expires_in,
            )
        except errors.TargetError as error:
            free_group(engines, reservations, tuple(held))
            raise errors.TargetError(
                f"group could not be reserved: {error}",
                verdicts.Verdict.NOT_RUN,
            ) from error
    return tuple(held)


def free_group(
    engines: targets_port.Targets,
    reservations: ReservationRegistry,
    held: tuple[HeldReservation, ...],
) -> None:
    """Frees reservations, and claims none of them any longer.

    The owner of the engine frees those for which the call fails.

    Args:
        engines: Client for calls to engines.
        reservations: The reservations that this instance claims.
        held: The reservations to free.
    """
    for reservation in held:
        try:
            engines.free(reservation.address, reservation.reservation_id)
        except errors.TargetError:
            # The reservation is no longer claimed after this call, so the
            # owner of the engine frees it.
            pass
        reservations.claimed.discard(reservation.reservation_id)
