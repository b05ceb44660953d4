"""Limits of organisations, shared between zones and instances.

An organisation's limit is a rate over all zones. Each zone has one home for
it, by rendezvous hashing; the homes divide the limit by demand through claims,
and instances draw allowance from the home of their zone. A claim that shrinks
takes effect at once. One that grows takes effect only after every zone that
can be reached has echoed it and the claims still sum to no more than one; a
zone that cannot be reached counts with its configured part, which it falls
back to sooner than the others assume it. Division by demand follows
Raghavan and others, "Cloud control with distributed rate limiting", 2007.
"""

import math
from typing import Sequence

from catkintrail import messages

__all__ = [
    "TokenBucket",
    "ZoneShare",
    "divide",
]

BURST_SECONDS = 1.0
DEMAND_DECAY_SECONDS = 5.0
# A zone falls back to its configured part after this silence of another.
SELF_TIMEOUT_SECONDS = 3.0
# The others count it with that part only after this longer silence.
PEER_TIMEOUT_SECONDS = 5.0
MIN_CHANGE = 0.02
# Announcements whose echo is still recognised.
MAX_SENT = 64
# Part of the limit that each zone keeps, so that new demand starts at once.
FLOOR_FRACTION = 0.03
DEMAND_HEADROOM = 1.25


class TokenBucket:
    """A token bucket whose rate may change.

    Attributes:
        rate: Units a second; 0 for no limit.
        level: Units that may be spent now.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        # A new home starts almost empty: a change of home gives no burst.
        self.level = 1.0
        self.updated = now

    def set_rate(self, rate: float, now: float) -> None:
        """Changes the rate; what was saved up beyond it is dropped."""
        self.refill(now)
        self.rate = rate
        self.level = min(self.level, self.capacity())

    def capacity(self) -> float:
        """Returns the most that is saved up, at least one unit."""
        return max(1.0, self.rate * BURST_SECONDS)

    def refill(self, now: float) -> None:
        """Adds what has accrued."""
        passed = max(0.0, now - self.updated)
        self.updated = now
        self.level = min(self.capacity(), self.level + passed * self.rate)

    def take(self, wanted: float, now: float) -> float:
        """Spends up to `wanted`, in whole units; returns how much."""
        if self.rate <= 0:
            return wanted
        self.refill(now)
        taken = math.floor(min(wanted, self.level) + 1e-9)
        taken = max(0, taken)
        self.level -= taken
        return float(taken)

    def take_debt(self, wanted: float, now: float) -> bool:
        """Spends all of `wanted` where anything is left.

        The level may fall below zero: one large request passes and is paid
        for afterwards, so the excess is at most one request.
        """
        if self.rate <= 0:
            return True
        self.refill(now)
        if self.level <= 0.0:
            return False
        self.level -= wanted
        return True

    def wait_seconds(self, wanted: float) -> float:
        """Returns when the level will be at `wanted`."""
        if self.rate <= 0:
            return 0.0
        return max(0.0, (wanted - self.level) / self.rate)


def divide(demands: dict[str, float]) -> dict[str, float]:
    """Divides a limit between zones: max-min fair by demand.

    A zone gets what it wants up to an equal part, what others leave over goes
    to those that want more, and what nobody wants is spread evenly, so that
    new demand finds room.

    Args:
        demands: Demand of each zone, as a fraction of the limit.

    Returns:
        Fractions that sum to one.
    """
    wants = {
        zone: min(1.0, DEMAND_HEADROOM * demand + FLOOR_FRACTION)
        for zone, demand in demands.items()
    }
    shares: dict[str, float] = {}
    left = 1.0
    for count, zone in enumerate(sorted(wants, key=wants.get)):
        shares[zone] = min(wants[zone], left / (len(wants) - count))
        left -= shares[zone]
    return {zone: share + left / len(shares) for zone, share in shares.items()}


class _Peer:
    """What one zone's home knows of another's claim."""

    def __init__(self, now: float) -> None:
        self.home = ""
        self.effective = 0.0
        self.wanted = 0.0
        self.demand = 0.0
        self.sequence = 0
        self.echoed = 0
        # When the newest claim was sent that this peer has echoed: both
        # directions worked then.
        self.fresh = now
        self.is_known = False


class ZoneShare:
    """One zone's claim on one organisation's limit.

    Attributes:
        zone: This zone.
        zones: All zones that the limit is configured for, this one too.
        effective: The fraction that this zone uses now.
        wanted: The fraction that it is about to use, if larger.
        sequence: Number of the newest announcement.
    """

    def __init__(self, zone: str, zones: Sequence[str], now: float) -> None:
        self.zone = zone
        self.zones = tuple(sorted(set(zones) | {zone}))
        self.effective = self.part()
        self.wanted = self.effective
        self.sequence = 1
        self.demand = 0.0
        self.demand_updated = now
        self.peers = {
            other: _Peer(now) for other in self.zones if other != zone
        }
        self._sent: dict[int, float] = {1: now}
        self._proposed = 1

    def part(self) -> float:
        """Returns the configured part of each zone."""
        return 1.0 / len(self.zones)

    def note_demand(self, amount: float, now: float) -> None:
        """Counts demand, which fades over some seconds."""
        passed = max(0.0, now - self.demand_updated)
        self.demand_updated = now
        self.demand *= math.exp(-passed / DEMAND_DECAY_SECONDS)
        self.demand += amount / DEMAND_DECAY_SECONDS

    def claim_for(self, other: str, organisation: str) -> messages.Claim:
        """Returns the claim to tell another zone."""
        return messages.Claim(
            organisation,
            self.effective,
            self.wanted,
            self.demand,
            self.sequence,
            self.peers[other].sequence,
        )

    def take_claim(
        self, other: str, home: str, claim: messages.Claim, now: float
    ) -> None:
        """Takes another zone's claim.

        Args:
            other: The other zone.
            home: The instance that is its home of the limit.
            claim: The claim.
            now: Monotonic time in seconds.
        """
        peer = self.peers.get(other)
        if peer is None:
            return
        if peer.home != home:
            peer.home = home
            peer.sequence = 0
            peer.echoed = 0
        if claim.sequence < peer.sequence:
            return
        peer.effective = claim.effective
        peer.wanted = claim.wanted
        peer.demand = claim.demand
        peer.sequence = claim.sequence
        peer.is_known = True
        sent = self._sent.get(claim.seen)
        if sent is not None and claim.seen >= peer.echoed:
            peer.echoed = claim.seen
            peer.fresh = min(now, max(peer.fresh, sent))

    def tick(self, now: float) -> None:
        """Shrinks, grows or falls back; called before each announcement."""
        self.note_demand(0.0, now)
        self._conclude_growth(now)
        goal = self._goal(now)
        if goal < self.effective - MIN_CHANGE:
            self._shrink(goal)
        elif goal > self.wanted + MIN_CHANGE:
            self._propose(goal, now)
        self._announce(now)

    def _announce(self, now: float) -> None:
        self.sequence += 1
        self._sent[self.sequence] = now
        while len(self._sent) > MAX_SENT:
            del self._sent[next(iter(self._sent))]

    def _goal(self, now: float) -> float:
        demands = {self.zone: self.demand}
        lost = 0
        for zone, peer in self.peers.items():
            if now - peer.fresh > SELF_TIMEOUT_SECONDS:
                lost += 1
            else:
                demands[zone] = peer.demand
        if not lost:
            return divide(demands)[self.zone]
        goal = divide(demands)[self.zone]
        return min(self.part(), goal * (1.0 - lost * self.part()))

    def _used_by(self, peer: _Peer, now: float) -> float:
        """Returns the most that another zone may be using."""
        if not peer.is_known:
            return self.part()
        used = max(peer.effective, peer.wanted)
        if now - peer.fresh > PEER_TIMEOUT_SECONDS:
            # Past this silence it has fallen back, and may grow to its part.
            return self.part()
        if now - peer.fresh > SELF_TIMEOUT_SECONDS:
            return max(used, self.part())
        return used

    def _room(self, now: float) -> float:
        used = sum(self._used_by(peer, now) for peer in self.peers.values())
        return 1.0 - used

    def _shrink(self, goal: float) -> None:
        self.effective = min(self.effective, goal)
        self.wanted = self.effective

    def _propose(self, goal: float, now: float) -> None:
        goal = min(goal, self._room(now))
        if goal > self.wanted + MIN_CHANGE / 2:
            self.wanted = goal
            # The claim counts as seen with the announcement that follows.
            self._proposed = self.sequence + 1

    def _conclude_growth(self, now: float) -> None:
        if self.wanted <= self.effective:
            return
        if self.wanted > self._room(now) + 1e-9:
            self._resolve_clash(now)
            return
        for peer in self.peers.values():
            if now - peer.fresh > PEER_TIMEOUT_SECONDS:
                if self.wanted > self.part() + 1e-9:
                    return
            elif peer.echoed < self._proposed:
                return
        self.effective = self.wanted

    def _resolve_clash(self, now: float) -> None:
        """Two zones grew into the same room: the first by name keeps on."""
        growing = [
            zone
            for zone, peer in self.peers.items()
            if peer.wanted > peer.effective
            and now - peer.fresh <= SELF_TIMEOUT_SECONDS
        ]
        if not growing or min(growing) < self.zone:
            self._shrink(self.effective)
