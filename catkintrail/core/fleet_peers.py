"""Instances of the deployment, as datagrams show them."""

import random
from typing import NamedTuple

__all__ = ["FleetPeers", "Peer"]

# A peer that did not answer this many heartbeats is down.
MISSED_HEARTBEATS = 4
# Peers of the own zone that a large fleet greets with each heartbeat: the
# first ones, which watch the store, and some others.
FIRST_GREETINGS = 3
NEAR_GREETINGS = 3
FAR_GREETINGS = 1
# A peer that is silent this long is asked no more; it comes back by itself.
FORGET_SECONDS = 20.0
# From this many instances on, a fleet is large: what every instance tells every
# other one would grow with the square.
LARGE_FLEET = 17
# Addresses that a heartbeat carries.
TOLD_ADDRESSES = 6
# Watchers of the store in each zone.
WATCHERS_OF_LARGE_FLEET = 2


class Peer(NamedTuple):
    """Another instance.

    Attributes:
        address: Its IP number.
        name: Its name; "" before it was heard.
        availability_zone: Where it runs; "" before it was heard.
        incarnation: Rises with each start.
        heard_at: When it was last heard; when it became known, before that.
        is_heard: Whether it was heard at all.
        missed: Heartbeats sent to it since then.
        has_store: Whether the store answers it.
    """

    address: str
    name: str
    availability_zone: str
    incarnation: int
    heard_at: float
    is_heard: bool
    missed: int
    has_store: bool


class FleetPeers:
    """Peers by address.

    Attributes:
        own_address: This instance's IP number.
        own_zone: The availability zone where it runs.
        seeds: Addresses that are asked until they answer, and again when
            they fall silent.
        peers: All known peers.
        most: The most instances that were alive at a time, with this one.
    """

    def __init__(
        self, own_address: str, own_zone: str, seeds: list[str]
    ) -> None:
        self.own_address = own_address
        self.own_zone = own_zone
        self.seeds = [seed for seed in seeds if seed != own_address]
        self.peers: dict[str, Peer] = {}
        self.most = 1 + len(self.seeds)

    def hear(
        self,
        address: str,
        name: str,
        availability_zone: str,
        incarnation: int,
        now: float,
        has_store: bool | None = None,
    ) -> str:
        """Notes that a peer was heard.

        Args:
            address: Its IP number.
            name: Its name.
            availability_zone: Where it runs.
            incarnation: Rises with each start.
            now: Time in seconds.
            has_store: Whether the store answers it; None where not said.

        Returns:
            `joined`, `restarted`, `back`, or "" for nothing new.
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
        self.most = max(self.most, len(self.alive()) + 1)
        if old is None or not old.is_heard:
            return "joined"
        if old.incarnation != incarnation:
            return "restarted"
        return "back" if old.missed >= MISSED_HEARTBEATS else ""

    def learn(self, address: str, now: float) -> None:
        """Notes an address that a peer told of."""
        if address != self.own_address and address not in self.peers:
            self.peers[address] = Peer(address, "", "", 0, now, False, 0, False)

    @property
    def is_large(self) -> bool:
        """Whether instances tell only some of the others."""
        return self.most >= LARGE_FLEET

    def alive(self) -> list[Peer]:
        """Returns the peers that are not known to be down."""
        return [
            peer
            for peer in self.peers.values()
            if peer.is_heard and peer.missed < MISSED_HEARTBEATS
        ]

    def near(self) -> list[Peer]:
        """Returns the live peers of the own zone, by address."""
        near = [peer for peer in self.alive() if self._is_near(peer)]
        return sorted(near, key=lambda peer: peer.address)

    def cut_zones(self) -> set[str]:
        """Returns the other zones of which every known peer is down."""
        zones = {peer.availability_zone for peer in self.peers.values()}
        alive = {peer.availability_zone for peer in self.alive()}
        return zones - alive - {self.own_zone, ""}

    def gateways(self) -> list[str]:
        """Returns the first live peer of each other zone."""
        first: dict[str, str] = {}
        for peer in self.alive():
            if not self._is_near(peer):
                known = first.setdefault(peer.availability_zone, peer.address)
                first[peer.availability_zone] = min(known, peer.address)
        return [first[zone] for zone in sorted(first)]

    def greet(self, now: float, rng: random.Random) -> list[str]:
        """Returns the addresses that get a heartbeat now.

        Peers that stay silent are counted as down, and later forgotten.
        """
        for address, peer in list(self.peers.items()):
            if now - peer.heard_at > FORGET_SECONDS:
                del self.peers[address]
        if self.is_large:
            chosen = self._choose_greeted(rng)
        else:
            chosen = set(self.peers)
        chosen |= set(self.seeds)
        for address in chosen:
            peer = self.peers.get(address)
            if peer is not None:
                self.peers[address] = peer._replace(missed=peer.missed + 1)
        return sorted(chosen)

    def to_tell(self, rng: random.Random) -> tuple[str, ...]:
        """Returns some addresses of live peers, for others to learn."""
        alive = [peer.address for peer in self.alive()]
        return tuple(rng.sample(alive, min(TOLD_ADDRESSES, len(alive))))

    def watch_rank(self) -> int:
        """Returns how many instances of the zone go first as watchers.

        Those go first that the store answers, and of them those with the
        lower address.
        """
        return sum(
            1
            for peer in self.near()
            if peer.has_store and peer.address < self.own_address
        )

    def watchers(self) -> int:
        """Returns how many instances of each zone watch the store.

        In a small fleet all do, so that none depends on another's path.
        """
        if self.is_large:
            return WATCHERS_OF_LARGE_FLEET
        return 1 + len(self.peers)

    def _choose_greeted(self, rng: random.Random) -> set[str]:
        near = [peer.address for peer in self.near()]
        chosen = set(near[:FIRST_GREETINGS])
        chosen |= set(self.gateways())
        others = [
            (address, self._is_near(peer))
            for address, peer in self.peers.items()
            if peer.is_heard and address not in chosen
        ]
        for is_near, count in ((True, NEAR_GREETINGS), (False, FAR_GREETINGS)):
            pool = sorted(a for a, its_near in others if its_near is is_near)
            chosen |= set(rng.sample(pool, min(count, len(pool))))
        # Those that were told of are greeted until they answer.
        return chosen | {
            address for address, peer in self.peers.items() if not peer.is_heard
        }

    def _is_near(self, peer: Peer) -> bool:
        return peer.availability_zone == self.own_zone
