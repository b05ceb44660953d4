"""Instances of the deployment, as datagrams show them."""

import random
from typing import NamedTuple

__all__ = ["FleetPeers", "Peer"]

# Three heartbeats, for peers that are greeted with each.
SILENCE_SECONDS = 1.6
# Of a large fleet's other zones, a few peers are greeted with each heartbeat.
FAR_SILENCE_SECONDS = 8.0
FAR_GREETINGS = 3
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
        has_store: Whether the store answers it.
    """

    address: str
    name: str
    availability_zone: str
    incarnation: int
    heard_at: float
    is_heard: bool
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
            address, name, availability_zone, incarnation, now, True, has_store
        )
        self.most = max(self.most, len(self.alive(now)) + 1)
        if old is None or not old.is_heard:
            return "joined"
        if old.incarnation != incarnation:
            return "restarted"
        return "back" if now - old.heard_at > SILENCE_SECONDS else ""

    def learn(self, address: str, now: float) -> None:
        """Notes an address that a peer told of."""
        if address != self.own_address and address not in self.peers:
            self.peers[address] = Peer(address, "", "", 0, now, False, False)

    @property
    def is_large(self) -> bool:
        """Whether instances tell only some of the others."""
        return self.most >= LARGE_FLEET

    def alive(self, now: float) -> list[Peer]:
        """Returns the peers that were heard lately."""
        far = FAR_SILENCE_SECONDS if self.is_large else SILENCE_SECONDS
        return [
            peer
            for peer in self.peers.values()
            if peer.is_heard
            and now - peer.heard_at
            <= (SILENCE_SECONDS if self._is_near(peer) else far)
        ]

    def near(self, now: float) -> list[Peer]:
        """Returns the live peers of the own zone."""
        return [peer for peer in self.alive(now) if self._is_near(peer)]

    def to_greet(self, now: float, rng: random.Random) -> list[str]:
        """Returns the addresses that get heartbeats; forgets old ones."""
        for address, peer in list(self.peers.items()):
            if now - peer.heard_at > FORGET_SECONDS:
                del self.peers[address]
        near = set(self.seeds)
        far = []
        for address, peer in self.peers.items():
            if self.is_large and peer.is_heard and not self._is_near(peer):
                far.append(address)
            else:
                near.add(address)
        far = rng.sample(far, min(FAR_GREETINGS, len(far)))
        return sorted(near | set(far))

    def to_tell(self, now: float, rng: random.Random) -> tuple[str, ...]:
        """Returns some addresses of live peers, for others to learn."""
        alive = [peer.address for peer in self.alive(now)]
        return tuple(rng.sample(alive, min(TOLD_ADDRESSES, len(alive))))

    def gateways(self, now: float, rng: random.Random) -> list[str]:
        """Returns a live peer of each other zone, which passes messages on."""
        zones: dict[str, list[str]] = {}
        for peer in self.alive(now):
            if not self._is_near(peer):
                zones.setdefault(peer.availability_zone, []).append(
                    peer.address
                )
        return [rng.choice(zones[zone]) for zone in sorted(zones)]

    def watch_rank(self, now: float) -> int:
        """Returns how many instances of the zone go first as watchers.

        Those go first that the store answers, and of them those with the
        lower address.
        """
        return sum(
            1
            for peer in self.near(now)
            if peer.has_store and peer.address < self.own_address
        )

    def watchers(self) -> int:
        """Returns how many instances of each zone watch the store."""
        zones = {peer.availability_zone for peer in self.peers.values()}
        is_alone = not zones - {self.own_zone, ""}
        if self.is_large or is_alone:
            return WATCHERS_OF_LARGE_FLEET
        return 1

    def _is_near(self, peer: Peer) -> bool:
        return peer.availability_zone == self.own_zone
