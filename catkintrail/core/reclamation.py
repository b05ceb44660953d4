"""Frees reservations of engine memory that no live holder claims any more.

Engines do not free reservations by themselves. The owner of an engine lists
them, asks each holder that is not gone which ones it still claims, and frees
those that stay unclaimed for a grace period. A reservation that a running
request uses is kept until that request's deadline has passed, because its
holder may be alive behind a network partition.
"""

import enum
from typing import Callable, NamedTuple, Sequence

from catkintrail import messages
from catkintrail.ports import targets as targets_port

__all__ = ["HolderState", "Reclamation", "SweepPlan"]

# Longer than a call that reserves memory, and the request that then uses the
# memory, can be in transit.
GRACE_SECONDS = 6.0
QUERY_INTERVAL_SECONDS = 2.0
# A draining holder still answers queries until its last request has ended.
LEAVING_GRACE_SECONDS = 15.0


class SweepPlan(NamedTuple):
    """The next steps for one engine.

    Attributes:
        free: Reservations to free.
        cancel: Reservations whose request is past its deadline: cancel the
            request, then free them.
        ask: Holders to query, each with the query about its reservations.
    """

    free: tuple[str, ...]
    cancel: tuple[str, ...]
    ask: tuple[tuple[str, messages.HoldingsQuery], ...]


class _ClaimStatus:
    """Whether the holder of a reservation still claims it.

    Attributes:
        confirmed_at: Monotonic time in seconds when the reservation was first
            seen or last claimed.
        denied_at: Monotonic time in seconds when an answer of the holder first
            lacked the reservation; None where its last answer claimed the
            reservation, or where there was no answer.
    """

    def __init__(self, now: float) -> None:
        self.confirmed_at = now
        self.denied_at: float | None = None


class HolderState(enum.Enum):
    """The membership state of a holder."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Reclamation:
    """Finds unclaimed reservations on the engines that one instance owns."""

    def __init__(self) -> None:
        self._claim_statuses: dict[tuple[str, str], _ClaimStatus] = {}
        self._next_query: dict[str, float] = {}

    def observe(
        self,
        target: str,
        records: Sequence[targets_port.ReservationRecord],
        holder_state: Callable[[str], HolderState],
        now: float,
    ) -> SweepPlan:
        """Decides what to do with the reservations of an engine.

        Args:
            target: The engine.
            records: The engine's reservations, from its newest report.
            holder_state: Returns the membership state of a holder.
            now: Monotonic time in seconds.

        Returns:
            The next steps for the engine.
        """
        self._forget_freed(target, records)
        if not records:
            self._next_query.pop(target, None)
        free, cancel = [], []
        reservations_by_holder: dict[str, list[str]] = {}
        for record in records:
            key = (target, record.reservation_id)
            claim = self._claim_statuses.setdefault(key, _ClaimStatus(now))
            state = holder_state(record.holder)
            if state is not HolderState.GONE:
                reservations_by_holder.setdefault(record.holder, []).append(
                    record.reservation_id
                )
            if not _is_abandoned(claim, state, now):
                continue
            if not record.in_use:
                free.append(record.reservation_id)
            elif record.expires_in < 0:
                cancel.append(record.reservation_id)
        queries = self._queries_due(target, reservations_by_holder, now)
        return SweepPlan(tuple(free), tuple(cancel), queries)

    def record_claims(
        self, claims: messages.HoldingsClaimed, now: float
    ) -> None:
        """Records a holder's answer to a query."""
        claimed = set(claims.claimed)
        for reservation_id in claims.asked:
            claim = self._claim_statuses.get((claims.target, reservation_id))
            if claim is None:
                continue
            if reservation_id in claimed:
                claim.denied_at = None
                claim.confirmed_at = now
            elif claim.denied_at is None:
                claim.denied_at = now

    def _queries_due(
        self,
        target: str,
        reservations_by_holder: dict[str, list[str]],
        now: float,
    ) -> tuple[tuple[str, messages.HoldingsQuery], ...]:
        if not reservations_by_holder or now < self._next_query.get(
            target, 0.0
        ):
            return ()
        self._next_query[target] = now + QUERY_INTERVAL_SECONDS
        return tuple(
            (holder, messages.HoldingsQuery(target, tuple(ids)))
            for holder, ids in reservations_by_holder.items()
        )

    def _forget_freed(
        self,
        target: str,
        records: Sequence[targets_port.ReservationRecord],
    ) -> None:
        held = {record.reservation_id for record in records}
        for key in list(self._claim_statuses):
            if key[0] == target and key[1] not in held:
                del self._claim_statuses[key]


def _is_abandoned(claim: _ClaimStatus, state: HolderState, now: float) -> bool:
    if claim.denied_at is not None:
        return now - claim.denied_at >= GRACE_SECONDS
    unconfirmed_seconds = now - claim.confirmed_at
    if state is HolderState.GONE:
        return unconfirmed_seconds >= GRACE_SECONDS
    return (
        state is HolderState.LEAVING
        and unconfirmed_seconds >= LEAVING_GRACE_SECONDS
    )
