"""The other instances of the deployment, as known from heartbeats."""

import random
from typing import NamedTuple

__all__ = ["FleetPeers", "Peer"]

# Consecutive unanswered heartbeats after which a peer counts as down.
MISSED_HEARTBEATS_UNTIL_DOWN = 4
# In a large fleet, each heartbeat is sent to the first peers of the same zone
# by address, which include the watchers of the store, and to random other peers
# of the same zone and of other zones.
FIRST_PEER_HEARTBEATS = 3
NEAR_PEER_HEARTBEATS = 3
FAR_PEER_HEARTBEATS = 1
# A peer that has been silent for this long is removed and gets no heartbeats.
# It is added again when it sends a message itself.
FORGET_SECONDS = 20.0
# Number of instances from which a fleet counts as large. In a large fleet, each
# instance communicates with only some of the others, because messages between
# all pairs would grow with the square of the fleet size.
LARGE_FLEET_SIZE = 17
# Peer addresses contained in each heartbeat.
ADDRESSES_PER_HEARTBEAT = 6
# Instances of each zone that watch the store in a large fleet.
WATCHERS_OF_LARGE_FLEET = 2


class Peer(NamedTuple):
    """Another instance.

    Attributes:
        address: IP address.
        name: Name of the instance; "" until a message from it arrives.
        availability_zone: Availability zone of the instance; "" until a
            message from it arrives.
        incarnation: Increases with each start of the instance.
        last_message_at: Time in seconds of the last message from the peer;
            until the first one, the time at which its address became known.
        has_sent_message: Whether any message from the peer has arrived.
        missed: Heartbeats sent to the peer since its last message.
        has_store: Whether the peer can reach the store.
    """

    address: str
    name: str
    availability_zone: str
    incarnation: int
    last_message_at: float
    has_sent_message: bool
    missed: int
    has_store: bool


class FleetPeers:
    """The known peers of one instance.

    Attributes:
        own_address: IP address of this instance.
        own_zone: Availability zone of this instance.
        seeds: Addresses of other instances to which heartbeats are always
            sent, so that they are found at start and after an outage.
        peers: Known peers by address.
        max_alive: Largest number of instances, including this one, that were
            alive at the same time.
    """

    def __init__(
        self, own_address: str, own_zone: str, seeds: list[str]
    ) -> None:
        self.own_address = own_address
        self.own_zone = own_zone
        self.seeds = [seed for seed in seeds if seed != own_address]
        self.peers: dict[str, Peer] = {}
        self.max_alive = 1 + len(self.seeds)

    def record_message(
        self,
        address: str,
        name: str,
        availability_zone: str,
        incarnation: int,
        now: float,
        has_store: bool | None = None,
    ) -> str:
        """Records the arrival of a message from a peer.

        Args:
            address: IP address of the peer.
            name: Name of the peer.
            availability_zone: Availability zone of the peer.
            incarnation: Incarnation of the peer; increases with each start.
            now: Time in seconds.
            has_store: Whether the peer can reach the store; None if the
                message does not state it.

        Returns:
            `joined` for a new peer, `restarted` for a new incarnation, `back`
            for a peer that counted as down, otherwise "".
        """
        old = self.peers.get(address)
        if has_store is None:
            has_store = old.has_store if old else False
        self.peers[address] = Peer(
            address,
            name,
            availability_zone,
            incarnation,
            now,
            True,
            0,
            has_store,
        )
        self.max_alive = max(self.max_alive, len(self.alive()) + 1)
        if old is None or not old.has_sent_message:
            return "joined"
        if old.incarnation != incarnation:
            return "restarted"
        return "back" if old.missed >= MISSED_HEARTBEATS_UNTIL_DOWN else ""

    def add_address(self, address: str, now: float) -> None:
        """Adds the address of an instance that a peer reported."""
        if address != self.own_address and address not in self.peers:
            self.peers[address] = Peer(address, "", "", 0, now, False, 0, False)

    @property
    def is_large_fleet(self) -> bool:
        """Whether each instance communicates with only some of the others."""
        return self.max_alive >= LARGE_FLEET_SIZE

    def alive(self) -> list[Peer]:
        """Returns the peers that have sent a message and are not down."""
        return [
            peer
            for peer in self.peers.values()
            if peer.has_sent_message
            and peer.missed < MISSED_HEARTBEATS_UNTIL_DOWN
        ]

    def zone_peers(self) -> list[Peer]:
        """Returns the live peers of the same zone, sorted by address."""
        zone_peers = [peer for peer in self.alive() if self._is_near(peer)]
        return sorted(zone_peers, key=lambda peer: peer.address)

    def unreachable_zones(self) -> set[str]:
        """Returns the other zones in which every known peer is down."""
        zones = {peer.availability_zone for peer in self.peers.values()}
        alive = {peer.availability_zone for peer in self.alive()}
        return zones - alive - {self.own_zone, ""}

    def gateways(self) -> list[str]:
        """Returns the live peer with the lowest address in each other zone.

        Returns:
            Addresses, sorted by the name of the zone.
        """
        first: dict[str, str] = {}
        for peer in self.alive():
            if not self._is_near(peer):
                known = first.setdefault(peer.availability_zone, peer.address)
                first[peer.availability_zone] = min(known, peer.address)
        return [first[zone] for zone in sorted(first)]

    def choose_heartbeat_recipients(
        self, now: float, rng: random.Random
    ) -> list[str]:
        """Chooses the recipients of the next heartbeat.

        Counts the heartbeat as missed for each known recipient until a message
        from it arrives, and removes peers that have been silent for too long.

        Args:
            now: Time in seconds.
            rng: Random source for the choice of recipients.

        Returns:
            Addresses, sorted.
        """
        for address, peer in list(self.peers.items()):
            if now - peer.last_message_at > FORGET_SECONDS:
                del self.peers[address]
        if self.is_large_fleet:
            chosen = self._choose_recipients(rng)
        else:
            chosen = set(self.peers)
        chosen |= set(self.seeds)
        for address in chosen:
            peer = self.peers.get(address)
            if peer is not None:
                self.peers[address] = peer._replace(missed=peer.missed + 1)
        return sorted(chosen)

    def sample_addresses(self, rng: random.Random) -> tuple[str, ...]:
        """Returns random addresses of live peers to include in a heartbeat."""
        alive = [peer.address for peer in self.alive()]
        return tuple(
            rng.sample(alive, min(ADDRESSES_PER_HEARTBEAT, len(alive)))
        )

    def watch_rank(self) -> int:
        """Returns the rank of this instance among the watchers of its zone.

        The rank is the number of live peers of the zone that can reach the
        store and have a lower address.
        """
        return sum(
            1
            for peer in self.zone_peers()
            if peer.has_store and peer.address < self.own_address
        )

    def watchers_per_zone(self) -> int:
        """Returns how many instances of each zone watch the store.

        In a small fleet all instances watch it, so that no instance depends on
        another one's connection to the store.
        """
        if self.is_large_fleet:
            return WATCHERS_OF_LARGE_FLEET
        return 1 + len(self.peers)

    def _choose_recipients(self, rng: random.Random) -> set[str]:
        zone_addresses = [peer.address for peer in self.zone_peers()]
        chosen = set(zone_addresses[:FIRST_PEER_HEARTBEATS])
        chosen |= set(self.gateways())
        others = [
            (address, self._is_near(peer))
            for address, peer in self.peers.items()
            if peer.has_sent_message and address not in chosen
        ]
        for is_near, count in (
            (True, NEAR_PEER_HEARTBEATS),
            (False, FAR_PEER_HEARTBEATS),
        ):
            pool = sorted(
                a for a, is_peer_near in others if is_peer_near is is_near
            )
            chosen |= set(rng.sample(pool, min(count, len(pool))))
        # Peers of which only the address is known receive every heartbeat until
        # they answer.
        return chosen | {
            address
            for address, peer in self.peers.items()
            if not peer.has_sent_message
        }

    def _is_near(self, peer: Peer) -> bool:
        return peer.availability_zone == self.own_zone
