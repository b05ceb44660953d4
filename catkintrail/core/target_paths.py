"""Chooses between the own link to a target and a path through a peer.

Answers the load of an instance that has lost its links to some or all targets,
while callers still come and its peers still reach the targets. A target whose
connections fail may be gone itself, so that one failure decides nothing beyond
it. Several targets that fail with none reached in between mean that the
instance is cut off; then paths through peers come first for all of them.

The way back is found by probes, so that no caller pays for it.

Performs no I/O and takes the current time as an argument. Times are in seconds
of a clock that keeps running while the machine is suspended. Not thread-safe.
"""

import collections
import random
from typing import NamedTuple, Sequence

__all__ = ["PeerAddress", "TargetPaths"]

# A silent connection is not suspicious if some target was heard from since.
SILENCE_SECONDS = 0.3
# Targets that fail one after the other before the instance counts as cut off.
CUT_OFF_FAILURES = 2
# How long a failed connection speaks against the own link.
FAILURE_SECONDS = 3.0
# How long a target that only a peer has reached is reached through peers,
# unless it is done so again.
PEER_PATH_SECONDS = 10.0
PROBE_INTERVAL_SECONDS = 0.5
MAX_PROBES = 4
# A peer that did not reach targets is asked last for this long, and one that
# did is preferred for this long.
PEER_FAILURE_SECONDS = 1.0
PEER_SUCCESS_SECONDS = 5.0
# What is known of a peer, in the order in which peers are asked.
REACHING, UNKNOWN, NOT_REACHING = range(3)


class PeerAddress(NamedTuple):
    """Where a peer is.

    Attributes:
        address: IP address.
        availability_zone: Availability zone; "" if unknown.
    """

    address: str
    availability_zone: str


class TargetPaths:
    """What is known of the links of one instance to targets.

    Attributes:
        through_peers: When a peer last reached each target that the own link
            does not, by name of the target.
        suspects: Names of targets whose links are to be probed.
    """

    def __init__(self) -> None:
        self.through_peers: dict[str, float] = {}
        self.suspects: set[str] = set()
        self._failed_at: dict[str, float] = {}
        self._reached_at = float("-inf")
        self._probed_at: dict[str, float] = {}
        self._peer_failed_at: dict[str, float] = {}
        self._peer_reached_at: dict[str, float] = {}

    def record_own_link(
        self, target: str, is_reached: bool, now: float
    ) -> None:
        """Records whether a connection to a target was established."""
        self.suspects.discard(target)
        if is_reached:
            self._reached_at = now
            self._failed_at.pop(target, None)
            self.through_peers.pop(target, None)
        else:
            self._failed_at[target] = now

    def record_response(self, now: float) -> None:
        """Records that some target has answered over the own link."""
        self._reached_at = now

    def record_peer_path(
        self, peer: str, target: str, is_reached: bool, now: float
    ) -> None:
        """Records whether a target was reached, or has answered, by a peer."""
        if is_reached:
            self._peer_reached_at[peer] = now
            self._peer_failed_at.pop(peer, None)
            if (
                target in self.through_peers
                or target in self._failed_at
                or self.is_cut_off(now)
            ):
                self.through_peers[target] = now
        else:
            self._peer_failed_at[peer] = now
            self._peer_reached_at.pop(peer, None)

    def has_failed(self, peer: str, now: float) -> bool:
        """Returns whether a peer lately did not reach a target."""
        failed_at = self._peer_failed_at.get(peer, float("-inf"))
        return now - failed_at <= PEER_FAILURE_SECONDS

    def is_cut_off(self, now: float) -> bool:
        """Returns whether the own links to all targets are likely to be cut."""
        unreached = {
            target
            for target, at in self._failed_at.items()
            if at >= self._reached_at and now - at <= FAILURE_SECONDS
        }
        unreached |= {
            target
            for target, at in self.through_peers.items()
            if at >= self._reached_at and now - at <= PEER_PATH_SECONDS
        }
        return len(unreached) >= CUT_OFF_FAILURES

    def prefers_peer(self, target: str, now: float) -> bool:
        """Returns whether a target is to be reached through a peer first."""
        reached_at = self.through_peers.get(target, float("-inf"))
        return now - reached_at <= PEER_PATH_SECONDS or self.is_cut_off(now)

    def suspect(self, target: str, now: float) -> bool:
        """Has the link to a target probed, as an open connection is silent.

        Returns:
            False if other targets were heard from lately.
        """
        if now - self._reached_at < SILENCE_SECONDS:
            return False
        self.suspects.add(target)
        return True

    def take_probes(self, now: float) -> list[str]:
        """Returns the names of the targets to be probed now.

        The probes are taken as made.
        """
        self._expire(now)
        candidates = self.suspects | self.through_peers.keys()
        due = [
            target
            for target in candidates
            if now - self._probed_at.get(target, float("-inf"))
            >= PROBE_INTERVAL_SECONDS
        ]
        due.sort(
            key=lambda target: (
                target not in self.suspects,
                self._probed_at.get(target, float("-inf")),
            )
        )
        due = due[:MAX_PROBES]
        self._probed_at.update(dict.fromkeys(due, now))
        self.suspects -= set(due)
        return due

    def rank_peers(
        self,
        peers: Sequence[PeerAddress],
        zones: Sequence[str],
        now: float,
        rng: random.Random,
    ) -> list[str]:
        """Returns addresses of peers in the order in which to ask them.

        Those that lately reached a target come first, those that did not come
        last. Among peers of which nothing is known, one of each zone comes
        before the second of any, as all of a zone may be cut off.

        Args:
            peers: The live peers.
            zones: Zones through which a detour costs least, best first.
            now: Time in seconds.
            rng: Source of random numbers.
        """
        order = list(peers)
        rng.shuffle(order)
        counts: collections.Counter[tuple[int, str]] = collections.Counter()
        ranked = []
        for peer in order:
            standing = self._standing(peer.address, now)
            zone = len(zones)
            if peer.availability_zone in zones:
                zone = zones.index(peer.availability_zone)
            number = 0
            if standing != REACHING:
                number = counts[standing, peer.availability_zone]
                counts[standing, peer.availability_zone] += 1
            ranked.append((standing, number, zone, peer.address))
        # The sort keeps the random order of equals.
        ranked.sort(key=lambda entry: entry[:3])
        return [address for *_, address in ranked]

    def has_peer_path(self, now: float) -> bool:
        """Returns whether a peer has lately reached a target."""
        return any(
            now - at <= PEER_SUCCESS_SECONDS
            for at in self._peer_reached_at.values()
        )

    def _standing(self, peer: str, now: float) -> int:
        reached_at = self._peer_reached_at.get(peer, float("-inf"))
        if now - reached_at <= PEER_SUCCESS_SECONDS:
            return REACHING
        return NOT_REACHING if self.has_failed(peer, now) else UNKNOWN

    def _expire(self, now: float) -> None:
        for times, seconds in (
            (self._failed_at, FAILURE_SECONDS),
            (self.through_peers, PEER_PATH_SECONDS),
            (self._probed_at, PROBE_INTERVAL_SECONDS),
            (self._peer_failed_at, PEER_FAILURE_SECONDS),
            (self._peer_reached_at, PEER_SUCCESS_SECONDS),
        ):
            for key, at in list(times.items()):
                if now - at > seconds:
                    del times[key]
