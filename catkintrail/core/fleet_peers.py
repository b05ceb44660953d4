"""Instances of the deployment, as datagrams show them."""

from typing import NamedTuple

__all__ = ["FleetPeers", "Peer"]

# Three heartbeats.
SILENCE_SECONDS = 1.6
# A peer that is silent this long is asked no more; it comes back by itself.
FORGET_SECONDS = 20.0


class Peer(NamedTuple):
    """Another instance.

    Attributes:
        address: Its IP number.
        name: Its name; "" before it was heard.
        availability_zone: Where it runs; "" before it was heard.
        incarnation: Rises with each start.
        heard_at: When it was last heard; when it became known, before that.
        is_heard: Whether it was heard at all.
    """

    address: str
    name: str
    availability_zone: str
    incarnation: int
    heard_at: float
    is_heard: bool


class FleetPeers:
    """Peers by address.

    Attributes:
        own_address: This instance's IP number.
        seeds: Addresses that are asked until they answer, and again when
            they fall silent.
        peers: All known peers.
        most: The most instances that were alive at a time, with this one.
    """

    def __init__(self, own_address: str, seeds: list[str]) -> None:
        self.own_address = own_address
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
    ) -> str:
        """Notes that a peer was heard.

        Returns:
            `joined`, `restarted`, `back`, or "" for nothing new.
        """
        old = self.peers.get(address)
        self.peers[address] = Peer(
            address, name, availability_zone, incarnation, now, True
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
            self.peers[address] = Peer(address, "", "", 0, now, False)

    def alive(self, now: float) -> list[Peer]:
        """Returns the peers that were heard lately."""
        return [
            peer
            for peer in self.peers.values()
            if peer.is_heard and now - peer.heard_at <= SILENCE_SECONDS
        ]

    def to_greet(self, now: float) -> list[str]:
        """Returns the addresses that get heartbeats; forgets old ones."""
        for address, peer in list(self.peers.items()):
            if now - peer.heard_at > FORGET_SECONDS:
                del self.peers[address]
        return sorted(set(self.peers) | set(self.seeds))
