"""Sends news to all instances of a fleet.

In a large fleet the coordinators pass news on, so that what an instance sends
does not grow with the fleet.
"""

from typing import Callable

from catkintrail import messages
from catkintrail.core import fleet_peers
from catkintrail.core import fleet_state

__all__ = [
    "Send",
    "choose_fleet_recipients",
    "choose_refresh_recipients",
    "passes_news_on",
    "spread",
]

# Sends a message to addresses.
Send = Callable[[list[str], messages.Message], None]


def spread(
    state: fleet_state.FleetState, send: Send, news: messages.Message
) -> None:
    """Sends news to all instances; in a large fleet by coordinators."""
    peers = state.peers
    if not peers.is_large_fleet:
        send([peer.address for peer in peers.alive()], news)
    elif not peers.is_coordinator():
        send(state.load_recipients(), news)
    else:
        send([peer.address for peer in peers.zone_peers()], news)
        forwarded = messages.Forwarded(messages.encode(news))
        send(peers.gateways(), forwarded)


def choose_refresh_recipients(peers: fleet_peers.FleetPeers) -> list[str]:
    """Returns to whom an instance repeats news, as messages may be lost.

    In a large fleet, the coordinators of each zone repeat them there.
    """
    if not peers.is_large_fleet:
        return [peer.address for peer in peers.alive()]
    if peers.is_coordinator():
        return [peer.address for peer in peers.zone_peers()]
    return []


def choose_fleet_recipients(state: fleet_state.FleetState) -> list[str]:
    """Returns to whom an instance repeats news that all zones need.

    In a large fleet, the first coordinator of each zone also repeats them to
    the other zones, and the others to the coordinators of their own.
    """
    peers = state.peers
    recipients = choose_refresh_recipients(peers)
    if not peers.is_large_fleet:
        return recipients
    if peers.coordinators()[0] == peers.own_address:
        return recipients + peers.gateways()
    return recipients + state.load_recipients()


def passes_news_on(peers: fleet_peers.FleetPeers, address: str) -> bool:
    """Returns whether the news of a peer reach others only through us."""
    sender = peers.peers.get(address)
    return (
        peers.is_large_fleet
        and peers.is_coordinator()
        and sender is not None
        and sender.availability_zone == peers.own_zone
        and address not in peers.coordinators()
    )
