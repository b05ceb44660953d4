"""The other instances of the deployment, as known from heartbeats."""

import random
from typing import NamedTuple

from catkintrail import messages

__all__ = ["BACK", "JOINED", "RESTARTED", "FleetPeers", "Peer"]

# Changes of a peer: it is new, has a new incarnation, or counted as down.
JOINED, RESTARTED, BACK = "joined", "restarted", "back"

# Consecutive unanswered heartbeats after which a peer counts as down.
MISSED_HEARTBEATS_UNTIL_DOWN = 4
# A peer that has been silent for this long is removed and gets no heartbeats.
# It is added again when it sends a message itself. In a large fleet, most
# pairs of instances exchange messages rarely.
FORGET_SECONDS = 20.0
LARGE_FLEET_FORGET_SECONDS = 60.0
# Number of instances from which a fleet counts as large. In a large fleet, each
# instance communicates with only some of the others, because messages between
# all pairs would grow with the square of the fleet size.
LARGE_FLEET_SIZE = 17
# Peer addresses contained in each heartbeat and answer.
ADDRESSES_PER_HEARTBEAT = 6
# Instances of each zone that watch the store in a large fleet.
WATCHERS_OF_LARGE_FLEET = 2
# Instances of each zone that know all attempts in a large fleet: the first
# places the requests of its zone, the second takes over from it.
COORDINATORS_PER_ZONE = 2
# Random peers of the same zone that get a heartbeat in a large fleet, besides
# the coordinators.
NEAR_PEER_HEARTBEATS = 1
# Share of the heartbeats that also go to a random peer of another zone, and to
# a seed, so that parts of a divided fleet find each other again.
FAR_PEER_SHARE = 0.1
SEED_SHARE = 0.05
# Peers of which only the address is known that get each heartbeat.
MAX_NEW_PEERS_PER_HEARTBEAT = 4
# Instances send heartbeats to their coordinators; a coordinator asks those of
# its zone that have been silent for this long.
EXPECTED_HEARTBEAT_SECONDS = 1.2


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
        cores: Processing power of its machine, in cores; negative while it
            shuts down.
    """

    address: str
    name: str
    availability_zone: str
    incarnation: int
    last_message_at: float
    has_sent_message: bool
    missed: int
    has_store: bool
    cores: float


class FleetPeers:
    """The known peers of one instance.

    The instances of a zone are ranked by processing power, then by address. The
    first ones are the coordinators of the zone and watch the store.

    Attributes:
        own_address: IP address of this instance.
        own_zone: Availability zone of this instance.
        own_cores: Processing power of this machine, in cores; negative while
            this instance shuts down.
        seeds: Addresses of other instances to which heartbeats are sent, so
            that they are found at start and after an outage.
        peers: Known peers by address.
        max_alive: Largest number of instances, including this one, that were
            alive at the same time.
        zone_count: Number of availability zones of the deployment; 0 if
            unknown.
    """

    def __init__(
        self,
        own_address: str,
        own_zone: str,
        seeds: list[str],
        own_cores: float = 1.0,
        zone_count: int = 0,
    ) -> None:
        self.own_address = own_address
        self.own_zone = own_zone
        self.own_cores = own_cores
        self.seeds = [seed for seed in seeds if seed != own_address]
        self.peers: dict[str, Peer] = {}
        self.max_alive = 1 + len(self.seeds)
        self._heard_zones = {own_zone}
        self._was_told_size = False
        self.zone_count = zone_count
        # Derived from `peers`, until their liveness or rank changes.
        self._alive: list[Peer] | None = None
        self._rankings: dict[str, list[Peer]] = {}
        self._coordinators: list[str] = []
        self._zone_sizes: dict[str, int] = {}
        self._reported_coordinators: dict[str, tuple[str, ...]] = {}
        self._zone_missed: dict[str, int] = {}

    def record_message(
        self,
        address: str,
        name: str,
        availability_zone: str,
        incarnation: int,
        now: float,
        has_store: bool | None = None,
        standing: messages.Standing | None = None,
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
            standing: The peer's processing power and knowledge of the fleet;
                None if the message does not state them.

        Returns:
            JOINED, RESTARTED, BACK, or "" for no change.
        """
        old = self.peers.get(address)
        if has_store is None:
            has_store = old.has_store if old else False
        cores = old.cores if old else 1.0
        if standing is not None:
            cores = standing.cores
        peer = Peer(
            address,
            name,
            availability_zone,
            incarnation,
            now,
            True,
            0,
            has_store,
            cores,
        )
        self.peers[address] = peer
        self._zone_missed[availability_zone] = 0
        self._heard_zones.add(availability_zone)
        news = _describe_change(old, peer)
        if news or old is None or _differs_in_rank(old, peer):
            self._forget_rankings()
        if news:
            self._update_size(self.own_zone, len(self.zone_peers()) + 1)
            self.max_alive = max(self.max_alive, len(self.alive()) + 1)
        if standing is not None:
            self._record_standing(availability_zone, standing)
        return news

    def add_address(self, address: str, now: float) -> None:
        """Adds the address of an instance that a peer reported."""
        if address != self.own_address and address not in self.peers:
            self.peers[address] = Peer(
                address, "", "", 0, now, False, 0, False, 1.0
            )

    @property
    def is_large_fleet(self) -> bool:
        """Whether each instance communicates with only some of the others."""
        return self.max_alive >= LARGE_FLEET_SIZE

    @property
    def knows_size(self) -> bool:
        """Whether `max_alive` covers all zones.

        Any number of instances may be in a zone of which none was heard since
        the start, as it is cut off, unless a peer has told the fleet's size.
        """
        return self._was_told_size or not self._count_unheard_zones()

    @property
    def likely_size(self) -> int:
        """The number of instances, including this one, that may be alive.

        Zones of which none was heard are taken to be as large as the largest
        known zone.
        """
        if self.knows_size:
            return self.max_alive
        sizes = dict.fromkeys(self._heard_zones, 1) | self._zone_sizes
        unheard = self._count_unheard_zones() * max(sizes.values())
        return max(self.max_alive, sum(sizes.values()) + unheard)

    def record_size(self, size: int) -> None:
        """Records the number of instances that a peer knows in all zones."""
        self._was_told_size = True
        self.max_alive = max(self.max_alive, size)

    def _count_unheard_zones(self) -> int:
        return max(0, self.zone_count - len(self._heard_zones))

    def standing(self) -> messages.Standing:
        """Returns what heartbeats and answers state of this instance."""
        return messages.Standing(
            self.own_cores,
            self._zone_sizes.get(self.own_zone, 1),
            self.max_alive,
            tuple(self.coordinators()),
        )

    def alive(self) -> list[Peer]:
        """Returns the peers that have sent a message and are not down."""
        if self._alive is None:
            self._alive = [
                peer
                for peer in self.peers.values()
                if peer.has_sent_message and not _is_down(peer)
            ]
        return self._alive

    def zone_peers(self) -> list[Peer]:
        """Returns the live peers of the same zone, sorted by rank."""
        return self._zone_ranking(self.own_zone)

    def coordinators(self) -> list[str]:
        """Returns the addresses of the coordinators of the own zone.

        Returns:
            Addresses, by rank; may include that of this instance.
        """
        if not self._coordinators:
            ranks = [_rank(p.cores, p.address) for p in self.zone_peers()]
            ranks.append(_rank(self.own_cores, self.own_address))
            ranks.sort()
            self._coordinators = [
                address for _, address in ranks[:COORDINATORS_PER_ZONE]
            ]
        return list(self._coordinators)

    def known_coordinators(self, zone: str) -> list[str]:
        """Returns the addresses of the likely coordinators of a zone."""
        if zone == self.own_zone:
            return self.coordinators()
        ranking = self._zone_ranking(zone)
        return [peer.address for peer in ranking[:COORDINATORS_PER_ZONE]]

    def is_coordinator(self) -> bool:
        """Returns whether this instance is a coordinator of its zone."""
        return self.own_address in self.coordinators()

    def resign(self) -> None:
        """Ranks this instance last, because it shuts down."""
        self.own_cores = -1.0
        self._forget_rankings()

    def unreachable_zones(self) -> set[str]:
        """Returns the other zones whose instances do not answer."""
        zones = {peer.availability_zone for peer in self.peers.values()}
        zones -= {self.own_zone, ""}
        if self.is_large_fleet:
            return {
                zone
                for zone in zones
                if self._zone_missed.get(zone, 0)
                >= MISSED_HEARTBEATS_UNTIL_DOWN
            }
        return zones - {peer.availability_zone for peer in self.alive()}

    def gateways(self) -> list[str]:
        """Returns a live instance of each other zone, if there is one.

        It is the first coordinator that the zone has reported and that is not
        down, otherwise the live peer with the first rank.

        Returns:
            Addresses, sorted by the name of the zone.
        """
        return list(self._gateways_by_zone().values())

    def permit_issuer(self, zone: str) -> str:
        """Returns the instance that issues the permits of a zone's targets.

        It is the first coordinator of the zone. For a zone of which no instance
        can be reached, it is that of the first other zone.
        """
        chosen = self._gateways_by_zone()
        chosen[self.own_zone] = self.coordinators()[0]
        return chosen.get(zone) or chosen[min(chosen)]

    def reachable_zone_share(self) -> float:
        """Returns the share of the known zones that can be reached."""
        zones = {peer.availability_zone for peer in self.peers.values()}
        zones = (zones | {self.own_zone}) - {""}
        return 1.0 - len(self.unreachable_zones()) / len(zones)

    def _gateways_by_zone(self) -> dict[str, str]:
        chosen: dict[str, str] = {}
        for zone in sorted({peer.availability_zone for peer in self.alive()}):
            if zone == self.own_zone:
                continue
            reported = [
                address
                for address in self._reported_coordinators.get(zone, ())
                if address not in self.peers
                or not _is_down(self.peers[address])
            ]
            chosen[zone] = (
                reported[0] if reported else self._zone_ranking(zone)[0].address
            )
        return chosen

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
        forget_seconds = FORGET_SECONDS
        if self.is_large_fleet:
            forget_seconds = LARGE_FLEET_FORGET_SECONDS
        for address, peer in list(self.peers.items()):
            if now - peer.last_message_at > forget_seconds:
                del self.peers[address]
                self._forget_rankings()
        if self.is_large_fleet:
            chosen = self._choose_recipients(now, rng)
        else:
            chosen = set(self.peers) | set(self.seeds)
        asked_zones = set()
        for address in chosen:
            peer = self.peers.get(address)
            if peer is not None:
                asked_zones.add(peer.availability_zone)
                self.peers[address] = peer._replace(missed=peer.missed + 1)
                if _is_down(self.peers[address]):
                    self._forget_rankings()
        for zone in asked_zones:
            self._zone_missed[zone] = self._zone_missed.get(zone, 0) + 1
        return sorted(chosen)

    def sample_addresses(self, rng: random.Random) -> tuple[str, ...]:
        """Returns random addresses of live peers to include in a heartbeat."""
        alive = self.alive()
        sample = rng.sample(alive, min(ADDRESSES_PER_HEARTBEAT, len(alive)))
        return tuple(peer.address for peer in sample)

    def watch_rank(self) -> int:
        """Returns the rank of this instance among the watchers of its zone.

        The rank is the number of live peers of the zone that can reach the
        store and rank before this instance.
        """
        own_rank = _rank(self.own_cores, self.own_address)
        return sum(
            1
            for peer in self.zone_peers()
            if peer.has_store and _rank(peer.cores, peer.address) < own_rank
        )

    def watchers_per_zone(self) -> int:
        """Returns how many instances of each zone watch the store.

        In a small fleet all instances watch it, so that no instance depends on
        another one's connection to the store.
        """
        if self.is_large_fleet:
            return WATCHERS_OF_LARGE_FLEET
        return 1 + len(self.peers)

    def _choose_recipients(self, now: float, rng: random.Random) -> set[str]:
        """Chooses recipients in a large fleet.

        Their number does not depend on the size of the fleet, except for peers
        that have fallen silent.
        """
        coordinators = self.coordinators()
        chosen = set(coordinators) - {self.own_address}
        near = [
            address
            for address, peer in self.peers.items()
            if self._is_near(peer) and address not in chosen
        ]
        chosen |= set(rng.sample(near, min(NEAR_PEER_HEARTBEATS, len(near))))
        if self.own_address in coordinators:
            chosen |= {
                address
                for address in near
                if now - self.peers[address].last_message_at
                > EXPECTED_HEARTBEAT_SECONDS
            }
            chosen |= set(self.gateways())
            for zone in self.unreachable_zones():
                chosen.add(self._choose_in_zone(zone, rng))
        elif rng.random() < FAR_PEER_SHARE:
            far = [
                address
                for address, peer in self.peers.items()
                if peer.has_sent_message and not self._is_near(peer)
            ]
            chosen |= set(rng.sample(far, min(1, len(far))))
        new = [a for a, peer in self.peers.items() if not peer.has_sent_message]
        chosen |= set(
            rng.sample(new, min(MAX_NEW_PEERS_PER_HEARTBEAT, len(new)))
        )
        if not self.zone_peers():
            chosen |= set(self.seeds)
        elif self.seeds and rng.random() < SEED_SHARE:
            chosen.add(rng.choice(self.seeds))
        return chosen

    def _choose_in_zone(self, zone: str, rng: random.Random) -> str:
        """Returns a random instance of a zone, even if it counts as down."""
        known = sorted(
            address
            for address, peer in self.peers.items()
            if peer.availability_zone == zone
        )
        return rng.choice(known)

    def _record_standing(self, zone: str, standing: messages.Standing) -> None:
        if zone != self.own_zone and standing.coordinators:
            self._reported_coordinators[zone] = standing.coordinators
        self._update_size(zone, standing.zone_size)
        self.max_alive = max(self.max_alive, standing.fleet_size)

    def _update_size(self, zone: str, size: int) -> None:
        self._zone_sizes[zone] = max(size, self._zone_sizes.get(zone, 1))
        fleet_size = sum(self._zone_sizes.values())
        if fleet_size >= LARGE_FLEET_SIZE:
            self.max_alive = max(self.max_alive, fleet_size)

    def _forget_rankings(self) -> None:
        self._alive = None
        self._rankings.clear()
        self._coordinators = []

    def _zone_ranking(self, zone: str) -> list[Peer]:
        if zone not in self._rankings:
            ranking = [p for p in self.alive() if p.availability_zone == zone]
            ranking.sort(key=lambda p: _rank(p.cores, p.address))
            self._rankings[zone] = ranking
        return self._rankings[zone]

    def _is_near(self, peer: Peer) -> bool:
        return peer.availability_zone == self.own_zone


def _is_down(peer: Peer) -> bool:
    return peer.missed >= MISSED_HEARTBEATS_UNTIL_DOWN


def _describe_change(old: Peer | None, new: Peer) -> str:
    if old is None or not old.has_sent_message:
        return JOINED
    if old.incarnation != new.incarnation:
        return RESTARTED
    return BACK if _is_down(old) else ""


def _differs_in_rank(old: Peer, new: Peer) -> bool:
    return (old.cores, old.has_store) != (new.cores, new.has_store)


def _rank(cores: float, address: str) -> tuple[float, str]:
    return (-cores, address)
