"""Frees engine memory that no live holder claims any more.

Engines do not free reservations by themselves. The owner of an engine lists
them, asks each live holder which ones it still claims, and frees those that
stay unclaimed for a grace. A reservation that a running request uses is left
alone until that request's deadline has passed: its holder may be alive behind
a network partition.
"""

import enum
from typing import Callable, NamedTuple, Sequence

from catkintrail import messages
from catkintrail.ports import targets as targets_port

__all__ = ["HolderState", "Reclamation", "SweepPlan"]

# Longer than a reserve, and the use that follows it, may be on their way.
GRACE_SECONDS = 6.0
QUERY_INTERVAL_SECONDS = 2.0
# A draining holder answers until its last request has ended.
LEAVING_GRACE_SECONDS = 15.0


class SweepPlan(NamedTuple):
    """What to do on one engine now.

    Attributes:
        free: Reservations to free.
        cancel: Reservations whose request is past its deadline: end the
            request, then free them.
        ask: Holders to ask, with the reservations to ask about.
    """

    free: tuple[str, ...]
    cancel: tuple[str, ...]
    ask: tuple[tuple[str, messages.HoldingsQuery], ...]


class _Doubt:
    """What speaks against a reservation.

    Attributes:
        confirmed: When it was first seen or last claimed.
        denied: When its holder first denied it; None where it did not.
    """

    def __init__(self, now: float) -> None:
        self.confirmed = now
        self.denied: float | None = None


class HolderState(enum.Enum):
    """What membership says of a holder."""

    LIVE = "live"
    LEAVING = "leaving"
    GONE = "gone"


class Reclamation:
    """The sweep of the engines that one instance owns."""

    def __init__(self) -> None:
        self._doubts: dict[tuple[str, str], _Doubt] = {}
        self._next_query: dict[str, float] = {}

    def observe(
        self,
        target: str,
        records: Sequence[targets_port.ReservationRecord],
        holder_state: Callable[[str], HolderState],
        now: float,
    ) -> SweepPlan:
        """Takes an engine's reservations.

        Args:
            target: The engine.
            records: What it holds, from its newest report.
            holder_state: What membership says of a holder.
            now: Monotonic time in seconds.

        Returns:
            What to do on the engine now.
        """
        self._forget_freed(target, records)
        if not records:
            self._next_query.pop(target, None)
        free, cancel = [], []
        questions: dict[str, list[str]] = {}
        for record in records:
            key = (target, record.reservation_id)
            doubt = self._doubts.setdefault(key, _Doubt(now))
            state = holder_state(record.holder)
            if state is not HolderState.GONE:
                questions.setdefault(record.holder, []).append(
                    record.reservation_id
                )
            if not _is_abandoned(doubt, state, now):
                continue
            if not record.in_use:
                free.append(record.reservation_id)
            elif record.expires_in < 0:
                cancel.append(record.reservation_id)
        asked = self._throttle(target, questions, now)
        return SweepPlan(tuple(free), tuple(cancel), asked)

    def take_claims(self, claims: messages.HoldingsClaimed, now: float) -> None:
        """Takes a holder's answer."""
        claimed = set(claims.claimed)
        for reservation_id in claims.asked:
            doubt = self._doubts.get((claims.target, reservation_id))
            if doubt is None:
                continue
            if reservation_id in claimed:
                doubt.denied = None
                doubt.confirmed = now
            elif doubt.denied is None:
                doubt.denied = now

    def _throttle(
        self, target: str, questions: dict[str, list[str]], now: float
    ) -> tuple[tuple[str, messages.HoldingsQuery], ...]:
        if not questions or now < self._next_query.get(target, 0.0):
            return ()
        self._next_query[target] = now + QUERY_INTERVAL_SECONDS
        return tuple(
            (holder, messages.HoldingsQuery(target, tuple(ids)))
            for holder, ids in questions.items()
        )

    def _forget_freed(
        self,
        target: str,
        records: Sequence[targets_port.ReservationRecord],
    ) -> None:
        held = {record.reservation_id for record in records}
        for key in list(self._doubts):
            if key[0] == target and key[1] not in held:
                del self._doubts[key]


def _is_abandoned(doubt: _Doubt, state: HolderState, now: float) -> bool:
    if doubt.denied is not None:
        return now - doubt.denied >= GRACE_SECONDS
    silence = now - doubt.confirmed
    if state is HolderState.GONE:
        return silence >= GRACE_SECONDS
    return state is HolderState.LEAVING and silence >= LEAVING_GRACE_SECONDS
