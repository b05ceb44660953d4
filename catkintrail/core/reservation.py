"""Reserves a group of engines, all or nothing, in a fixed order."""

from typing import NamedTuple

from catkintrail import errors
from catkintrail import messages
from catkintrail import verdict as verdicts
from catkintrail.ports import targets as targets_port

__all__ = ["Held", "ReservationBook", "reserve_group"]


class Held(NamedTuple):
    """One reservation made."""

    address: str
    reservation_id: str


class ReservationBook:
    """The reservations that this instance claims.

    Attributes:
        claimed: Their ids. An id is entered before the engine is asked and
            leaves after the engine was told to free it, or when the holder
            has given it up to the sweep.
    """

    def __init__(self) -> None:
        self.claimed: set[str] = set()

    def answer(self, query: messages.HoldingsQuery) -> messages.HoldingsClaimed:
        """Returns which of the reservations asked about are claimed."""
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
    book: ReservationBook,
    members: tuple[messages.GroupMember, ...],
    attempt_id: str,
    holder: str,
    expires_in: float,
) -> tuple[Held, ...]:
    """Reserves memory on every member, or on none.

    The members come in one fixed order, and nothing is waited for: a group
    that meets a full engine lets go of the rest, so no two groups can each
    hold what the other waits for.

    Args:
        engines: Calls to engines.
        book: The instance's claims.
        members: The group, in order of name.
        attempt_id: The attempt; reservation ids are made of it.
        holder: This instance.
        expires_in: Seconds until the request's deadline.

    Returns:
        The reservations, in the order of the members.

    Raises:
        errors.TargetError: An engine refused or did not answer; verdict
            `not_run`. What was reserved has been given up.
    """
    held: list[Held] = []
    for index, member in enumerate(members):
        reservation_id = f"{attempt_id}.r{index}"
        book.claimed.add(reservation_id)
        held.append(Held(member.address, reservation_id))
        try:
            engines.reserve(
                member.address,
                reservation_id,
                holder,
                member.tokens,
                expires_in,
            )
        except errors.TargetError as error:
            free_group(engines, book, tuple(held))
            raise errors.TargetError(
                f"no group: {error}", verdicts.Verdict.NOT_RUN
            ) from error
    return tuple(held)


def free_group(
    engines: targets_port.Targets,
    book: ReservationBook,
    held: tuple[Held, ...],
) -> None:
    """Frees reservations; those that cannot be are left to the sweep."""
    for one in held:
        try:
            engines.free(one.address, one.reservation_id)
        except errors.TargetError:
            # No longer claimed, so the engine's owner frees it.
            pass
        book.claimed.discard(one.reservation_id)
