"""Rate limits of organisations, shared between zones and instances.

An organisation's limit is a rate over all zones. In each zone, rendezvous
hashing selects one instance as the coordinator of the limit; the other
instances of the zone ask it for admission. The coordinators exchange claims to
divide the limit by demand. A decrease of a claim takes effect at once. An
increase takes effect only after every reachable zone has acknowledged it and
while the claims sum to no more than one. An unreachable zone is counted with
its configured share; it falls back to this share before the other zones assume
that it has done so.
Division by demand follows Raghavan and others, "Cloud control with
distributed rate limiting", 2007.
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
# A zone falls back to its configured share once its exchange with another zone
# has been interrupted for this long.
SELF_TIMEOUT_SECONDS = 3.0
# Other zones count an unreachable zone with its configured share only after
# this longer time, when that zone has fallen back already.
PEER_TIMEOUT_SECONDS = 5.0
MIN_CHANGE = 0.02
# Announcements whose acknowledgement is still accepted.
MAX_TRACKED_ANNOUNCEMENTS = 64
# Minimum share of each zone, so that new demand is served at once.
FLOOR_FRACTION = 0.03
DEMAND_HEADROOM = 1.25


class TokenBucket:
    """A token bucket with a variable rate.

    Attributes:
        rate: Units per second; 0 for no limit.
        level: Units available now; negative while a debt is repaid.
        updated: Monotonic time in seconds of the last refill.
    """

    def __init__(self, rate: float, now: float) -> None:
        self.rate = rate
        # The bucket starts almost empty, so that a change of the coordinator
        # does not allow a burst.
        self.level = 1.0
        self.updated = now

    def set_rate(self, rate: float, now: float) -> None:
        """Changes the rate; units beyond the new capacity are discarded."""
        self.refill(now)
        self.rate = rate
        self.level = min(self.level, self.capacity())

    def capacity(self) -> float:
        """Returns the maximum level in units, at least one."""
        return max(1.0, self.rate * BURST_SECONDS)

    def refill(self, now: float) -> None:
        """Adds the units accrued since the last refill."""
        elapsed = max(0.0, now - self.updated)
        self.updated = now
        self.level = min(self.capacity(), self.level + elapsed * self.rate)

    def take(self, wanted: float, now: float) -> float:
        """Takes up to `wanted` whole units; returns the number taken."""
        if self.rate <= 0:
            return wanted
        self.refill(now)
        taken = math.floor(min(wanted, self.level) + 1e-9)
        taken = max(0, taken)
        self.level -= taken
        return float(taken)

    def take_with_debt(self, wanted: float, now: float) -> bool:
        """Takes all of `wanted` if the level is above zero.

        The level may become negative: a large request is admitted and repaid
        by later refills, so the rate is exceeded by at most one request.

        Returns:
            Whether the units were taken.
        """
        if self.rate <= 0:
            return True
        self.refill(now)
        if self.level <= 0.0:
            return False
        self.level -= wanted
        return True

    def wait_seconds(self, wanted: float) -> float:
        """Returns the seconds until the level reaches `wanted`."""
        if self.rate <= 0:
            return 0.0
        return max(0.0, (wanted - self.level) / self.rate)


def divide(demands: dict[str, float]) -> dict[str, float]:
    """Divides a limit between zones by max-min fairness.

    Each zone gets its demand up to an equal share. Capacity that zones leave
    unused goes to those that demand more, and any remainder is divided evenly,
    so that new demand can be served.

    Args:
        demands: Demand of each zone, as a fraction of the limit.

    Returns:
        Share of each zone, as a fraction of the limit; the shares sum to one.
    """
    capped = {
        zone: min(1.0, DEMAND_HEADROOM * demand + FLOOR_FRACTION)
        for zone, demand in demands.items()
    }
    shares: dict[str, float] = {}
    remaining = 1.0
    for count, zone in enumerate(sorted(capped, key=capped.get)):
        shares[zone] = min(capped[zone], remaining / (len(capped) - count))
        remaining -= shares[zone]
    return {
        zone: share + remaining / len(shares) for zone, share in shares.items()
    }


class _PeerClaim:
    """The latest claim received from another zone."""

    def __init__(self, now: float) -> None:
        self.coordinator = ""
        self.effective = 0.0
        self.wanted = 0.0
        self.demand = 0.0
        self.sequence = 0
        self.acknowledged = 0
        # Time at which the newest announcement that this peer has acknowledged
        # was sent. The connection worked in both directions then.
        self.confirmed_at = now
        self.is_known = False


class ZoneShare:
    """One zone's claim on one organisation's limit.

    Attributes:
        zone: This zone.
        zones: All zones that share the limit, including this one.
        effective: Fraction of the limit that this zone uses now.
        wanted: Fraction that this zone proposes to use; equal to `effective`
            unless an increase is pending.
        sequence: Sequence number of the newest announcement.
        demand: Decaying average of the demand, as a fraction of the limit.
        demand_updated: Monotonic time in seconds of the last update of
            `demand`.
        peers: State of the other zones by zone name.
    """

    def __init__(self, zone: str, zones: Sequence[str], now: float) -> None:
        self.zone = zone
        self.zones = tuple(sorted(set(zones) | {zone}))
        self.effective = self.configured_share()
        self.wanted = self.effective
        self.sequence = 1
        self.demand = 0.0
        self.demand_updated = now
        self.peers = {
            other: _PeerClaim(now) for other in self.zones if other != zone
        }
        self._sent_at: dict[int, float] = {1: now}
        self._proposal_sequence = 1

    def configured_share(self) -> float:
        """Returns the configured share of each zone: an equal fraction."""
        return 1.0 / len(self.zones)

    def record_demand(self, amount: float, now: float) -> None:
        """Adds demand to an average that decays exponentially.

        Args:
            amount: Demand, as a fraction of what the limit allows per second.
            now: Monotonic time in seconds.
        """
        elapsed = max(0.0, now - self.demand_updated)
        self.demand_updated = now
        self.demand *= math.exp(-elapsed / DEMAND_DECAY_SECONDS)
        self.demand += amount / DEMAND_DECAY_SECONDS

    def claim_for(self, other: str, organisation: str) -> messages.Claim:
        """Returns the claim to send to another zone."""
        return messages.Claim(
            organisation,
            self.effective,
            self.wanted,
            self.demand,
            self.sequence,
            self.peers[other].sequence,
        )

    def receive_claim(
        self, other: str, coordinator: str, claim: messages.Claim, now: float
    ) -> None:
        """Processes a claim received from another zone.

        Args:
            other: The other zone.
            coordinator: The instance that is the coordinator of the limit in
                that zone.
            claim: The received claim.
            now: Monotonic time in seconds.
        """
        peer = self.peers.get(other)
        if peer is None:
            return
        if peer.coordinator != coordinator:
            peer.coordinator = coordinator
            peer.sequence = 0
            peer.acknowledged = 0
        if claim.sequence < peer.sequence:
            return
        peer.effective = claim.effective
        peer.wanted = claim.wanted
        peer.demand = claim.demand
        peer.sequence = claim.sequence
        peer.is_known = True
        sent_at = self._sent_at.get(claim.seen)
        if sent_at is not None and claim.seen >= peer.acknowledged:
            peer.acknowledged = claim.seen
            peer.confirmed_at = min(now, max(peer.confirmed_at, sent_at))

    def tick(self, now: float) -> None:
        """Adjusts this zone's claim; called before each announcement."""
        self.record_demand(0.0, now)
        self._commit_increase(now)
        desired = self._desired_share(now)
        if desired < self.effective - MIN_CHANGE:
            self._decrease(desired)
        elif desired > self.wanted + MIN_CHANGE:
            self._propose_increase(desired, now)
        self._announce(now)

    def _announce(self, now: float) -> None:
        self.sequence += 1
        self._sent_at[self.sequence] = now
        while len(self._sent_at) > MAX_TRACKED_ANNOUNCEMENTS:
            del self._sent_at[next(iter(self._sent_at))]

    def _desired_share(self, now: float) -> float:
        """Returns the share by demand, reduced if zones are unreachable."""
        demands = {self.zone: self.demand}
        unreachable = 0
        for zone, peer in self.peers.items():
            if now - peer.confirmed_at > SELF_TIMEOUT_SECONDS:
                unreachable += 1
            else:
                demands[zone] = peer.demand
        if not unreachable:
            return divide(demands)[self.zone]
        desired = divide(demands)[self.zone]
        return min(
            self.configured_share(),
            desired * (1.0 - unreachable * self.configured_share()),
        )

    def _max_usage(self, peer: _PeerClaim, now: float) -> float:
        """Returns the largest fraction that another zone may be using."""
        if not peer.is_known:
            return self.configured_share()
        used = max(peer.effective, peer.wanted)
        if now - peer.confirmed_at > PEER_TIMEOUT_SECONDS:
            # After this time without contact the zone has fallen back, and it
            # may use up to its configured share.
            return self.configured_share()
        if now - peer.confirmed_at > SELF_TIMEOUT_SECONDS:
            return max(used, self.configured_share())
        return used

    def _available(self, now: float) -> float:
        """Returns the fraction that the other zones leave unused."""
        used = sum(self._max_usage(peer, now) for peer in self.peers.values())
        return 1.0 - used

    def _decrease(self, desired: float) -> None:
        self.effective = min(self.effective, desired)
        self.wanted = self.effective

    def _propose_increase(self, desired: float, now: float) -> None:
        desired = min(desired, self._available(now))
        if desired > self.wanted + MIN_CHANGE / 2:
            self.wanted = desired
            # An acknowledgement of the next announcement covers this proposal.
            self._proposal_sequence = self.sequence + 1

    def _commit_increase(self, now: float) -> None:
        """Applies a pending increase once all reachable zones acknowledged it.

        Waits or withdraws the increase if the claims would exceed the limit.
        """
        if self.wanted <= self.effective:
            return
        if self.wanted > self._available(now) + 1e-9:
            self._resolve_conflict(now)
            return
        for peer in self.peers.values():
            if now - peer.confirmed_at > PEER_TIMEOUT_SECONDS:
                if self.wanted > self.configured_share() + 1e-9:
                    return
            elif peer.acknowledged < self._proposal_sequence:
                return
        self.effective = self.wanted

    def _resolve_conflict(self, now: float) -> None:
        """Resolves concurrent increases that exceed the available fraction.

        The zone whose name sorts first keeps its proposal.
        """
        proposing = [
            zone
            for zone, peer in self.peers.items()
            if peer.wanted > peer.effective
            and now - peer.confirmed_at <= SELF_TIMEOUT_SECONDS
        ]
        if not proposing or min(proposing) < self.zone:
            self._decrease(self.effective)
