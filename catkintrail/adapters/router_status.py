"""What a router tells background threads and peers of its state."""

from typing import NamedTuple

from catkintrail.core import request_quarantine
from catkintrail.core import route_table
from catkintrail.core import store_views
from catkintrail.core import target_paths
from catkintrail.core.zones import evacuation

__all__ = ["PeerState", "QuarantineStatus", "RouterStatus"]


class PeerState(NamedTuple):
    """State that an instance fetches from a peer rather than from the store.

    Attributes:
        version: Version of the newest known configuration; -1 for none.
        configuration: The newest known configuration; None if the requesting
            instance has it already.
        proof_age_seconds: Seconds since that configuration was last known to
            be the newest.
        entries: The listed targets, and recent removals.
        targets_position: Position of the store that the targets reflect.
        complete_position: Position up to which the instance knows all changes
            of the targets.
        evacuations: The evacuated zones.
    """

    version: int
    configuration: route_table.Configuration | None
    proof_age_seconds: float
    entries: tuple[store_views.EntryStatement, ...]
    targets_position: store_views.Position
    complete_position: store_views.Position
    evacuations: evacuation.EvacuationState = evacuation.UNKNOWN_STATE


class RouterStatus(NamedTuple):
    """What an instance knows of the configuration, the targets and its peers.

    Attributes:
        is_ready: Whether requests can be served.
        version: Version of the newest known configuration; -1 for none.
        proof_age_seconds: Seconds since that configuration was last known to
            be the newest.
        is_proof_holder: Whether the instance polls the store for its zone, to
            confirm that the configuration is the newest.
        has_target_list: Whether a list of targets has been received.
        peers: The live peers.
        attempts: Number of known attempts at targets, of this instance and its
            peers.
        newest_peer_version: Newest configuration version that a peer reported.
        is_watcher: Whether the instance watches the store for its zone.
        newer_peer: Address of a peer with newer state; "" for none.
        slow_targets: Number of targets that are suspected of being slow.
        strained_targets: Number of targets that handle fewer requests well
            than they have slots.
        greatest_slowness: Slowness of the slowest target, at least 1.
        targets_age_seconds: Seconds since the known targets had all changes
            that the store had.
        newest_targets_position: Newest position at which a peer knows the
            targets.
        cold_targets: Number of targets that are cold.
    """

    is_ready: bool
    version: int
    proof_age_seconds: float
    is_proof_holder: bool
    has_target_list: bool
    peers: tuple[target_paths.PeerAddress, ...]
    attempts: int
    newest_peer_version: int
    is_watcher: bool
    newer_peer: str
    slow_targets: int
    strained_targets: int
    greatest_slowness: float
    targets_age_seconds: float
    newest_targets_position: store_views.Position
    cold_targets: int = 0


class QuarantineStatus(NamedTuple):
    """A quarantine in force.

    Attributes:
        remainder: What is left of it.
        is_owner: Whether this instance stores it for all.
    """

    remainder: request_quarantine.Remainder
    is_owner: bool
