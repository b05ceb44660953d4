"""Opens connections to targets, through a peer where the own link is cut."""

import logging
import random
import socket
import threading
from typing import Callable, Sequence

from catkintrail.adapters import peer_tunnels
from catkintrail.core import target_paths
from catkintrail.core import targets as target_records

__all__ = ["TargetConnector"]

_LOG = logging.getLogger("catkintrail.paths")

# Connecting to a live target takes a few milliseconds. After this time a peer
# is asked beside it.
OWN_LINK_SECONDS = 0.1
PEER_SECONDS = 0.15
# Peers that try to connect for one connection, and all that are asked. Those
# that know that they are cut off decline within milliseconds.
MAX_PEERS_TRYING = 4
MAX_PEERS_ASKED = 16
# If as many peers do not reach a target, it is taken as gone, unless this
# instance is cut off and the peers may be so too.
MAX_PEERS_NOT_REACHING = 2
# How long the links have to hold before they are logged as regained.
REGAINED_SECONDS = 1.0
PROBE_POLL_SECONDS = 0.25
# How long a peer that reaches targets is searched for, at each poll.
SEARCH_SECONDS = 0.6
MIN_TIMEOUT_SECONDS = 0.001


class TargetConnector:
    """Opens connections to targets.

    Attributes:
        peers: The live peers. Replaced at each change.
        tunnel_port: Port of the peers' tunnel servers.
        opened: Number of attempts to open a connection.
        through_peers: Number of connections through peers.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        rng: random.Random,
        availability_zone: str = "",
        tunnel_port: int = 0,
    ) -> None:
        self.peers: Sequence[target_paths.PeerAddress] = ()
        self.tunnel_port = tunnel_port
        self.opened = 0
        self.through_peers = 0
        self._clock = clock
        self._rng = rng
        self._zone = availability_zone
        self._paths = target_paths.TargetPaths()
        self._targets: dict[str, target_records.Target] = {}
        # When this instance was last seen to be cut off; 0.0 if the links hold.
        self._cut_off_at = 0.0
        self._lock = threading.Lock()
        self._wake_up = threading.Event()

    def start(self) -> None:
        """Starts the thread that probes own links."""
        threading.Thread(target=self._run, name="paths", daemon=True).start()

    def connect(
        self,
        target: target_records.Target,
        timeout_seconds: float,
        carrier_zones: frozenset[str] | None = None,
    ) -> socket.socket:
        """Opens a connection to a target.

        Args:
            target: The target.
            timeout_seconds: The longest wait.
            carrier_zones: Zones of the peers that may carry the connection;
                None for all.

        Raises:
            peer_tunnels.TargetNotReachedError: Neither this instance nor a peer
                that has tried reaches the target.
            OSError: This instance does not reach the target, and no peer has
                tried.
            ValueError: The address of the target cannot be looked up.
        """
        deadline = self._clock() + timeout_seconds
        self.opened += 1
        if not self.peers:
            return self._connect_directly(target, timeout_seconds)
        failure: Exception | None = None
        if not self.prefers_peer(target):
            try:
                return self._connect_directly(
                    target, min(timeout_seconds, OWN_LINK_SECONDS)
                )
            except (OSError, ValueError) as error:
                failure = error
        connection, not_reaching = self._connect_through_peers(
            target, deadline, carrier_zones
        )
        if connection is not None:
            return connection
        remaining = deadline - self._clock()
        is_refused = failure is not None and not isinstance(
            failure, TimeoutError
        )
        if failure is None or (not is_refused and remaining > 0):
            try:
                return self._connect_directly(target, remaining)
            except (OSError, ValueError) as error:
                failure = error
        if not_reaching and isinstance(failure, OSError):
            raise peer_tunnels.TargetNotReachedError(str(failure)) from failure
        raise failure

    def prefers_peer(self, target: target_records.Target) -> bool:
        """Returns whether a target is to be reached through a peer first."""
        with self._lock:
            return self._paths.prefers_peer(target.name, self._clock())

    def is_cut_off(self) -> bool:
        """Returns whether this instance seems to reach no target."""
        with self._lock:
            return self._paths.is_cut_off(self._clock())

    def count_cut_targets(self) -> int:
        """Returns the number of targets that only peers reach."""
        return len(self._paths.through_peers)

    def may_reuse(
        self,
        target: target_records.Target,
        connection: socket.socket,
        carrier_zones: frozenset[str] | None = None,
    ) -> bool:
        """Returns whether an idle connection leads along the preferred path.

        Args:
            target: The target.
            connection: The connection.
            carrier_zones: Zones of the peers that may carry the request; None
                for all.
        """
        now = self._clock()
        if carrier_zones is not None and isinstance(
            connection, peer_tunnels.TunnelSocket
        ):
            peers = self._select_peers(carrier_zones)
            if connection.peer not in [peer.address for peer in peers]:
                return False
        with self._lock:
            prefers_peer = self._paths.prefers_peer(target.name, now)
            if isinstance(connection, peer_tunnels.TunnelSocket):
                has_failed = self._paths.has_failed(connection.peer, now)
                return prefers_peer and not has_failed
            return not prefers_peer

    def record_silence(
        self, target: target_records.Target, connection: socket.socket
    ) -> None:
        """Records that an open connection is silent.

        The link to the target is probed, or the peer asked last for a while.
        """
        with self._lock:
            if isinstance(connection, peer_tunnels.TunnelSocket):
                self._paths.record_peer_path(
                    connection.peer, target.name, False, self._clock()
                )
                return
            if not self._paths.suspect(target.name, self._clock()):
                return
            self._targets[target.name] = target
        self._wake_up.set()

    def record_response(
        self, target: target_records.Target, connection: socket.socket
    ) -> None:
        """Records that a target has answered."""
        now = self._clock()
        with self._lock:
            if isinstance(connection, peer_tunnels.TunnelSocket):
                self._paths.record_peer_path(
                    connection.peer, target.name, True, now
                )
            else:
                self._paths.record_response(now)

    def record_own_link(
        self, target: target_records.Target, is_reached: bool
    ) -> None:
        """Records whether this instance reaches a target by its own link."""
        now = self._clock()
        with self._lock:
            self._paths.record_own_link(target.name, is_reached, now)
        self._log_change()

    def probe(self) -> None:
        """Tries the own links that may have changed."""
        with self._lock:
            names = self._paths.take_probes(self._clock())
            targets = [self._targets[n] for n in names if n in self._targets]
            kept = self._paths.through_peers.keys() | self._paths.suspects
            kept |= set(names)
            self._targets = {
                name: target
                for name, target in self._targets.items()
                if name in kept
            }
        for target in targets:
            try:
                self._connect_directly(target, OWN_LINK_SECONDS).close()
            except (OSError, ValueError):
                continue
        self._search_peer()
        self._log_change()

    def _search_peer(self) -> None:
        """Finds a peer that reaches targets, if this instance is cut off.

        Where few peers do, the time of one request may not suffice.
        """
        now = self._clock()
        with self._lock:
            is_found = self._paths.has_peer_path(now)
            target = next(iter(self._targets.values()), None)
        if target is None or is_found or not self.is_cut_off():
            return
        connection, _ = self._connect_through_peers(
            target, now + SEARCH_SECONDS, None
        )
        if connection is not None:
            connection.close()

    def _run(self) -> None:
        while True:
            self._wake_up.wait(PROBE_POLL_SECONDS)
            self._wake_up.clear()
            self.probe()

    def _connect_directly(
        self, target: target_records.Target, timeout_seconds: float
    ) -> socket.socket:
        host, _, port = target.address.rpartition(":")
        try:
            connection = socket.create_connection(
                (host, int(port)), max(MIN_TIMEOUT_SECONDS, timeout_seconds)
            )
        except (OSError, ValueError):
            self.record_own_link(target, False)
            raise
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.record_own_link(target, True)
        return connection

    def _select_peers(
        self, carrier_zones: frozenset[str] | None
    ) -> Sequence[target_paths.PeerAddress]:
        if carrier_zones is None:
            return self.peers
        return [p for p in self.peers if p.availability_zone in carrier_zones]

    def _rank_peers(
        self,
        target: target_records.Target,
        carrier_zones: frozenset[str] | None,
    ) -> list[str]:
        zones = (target.availability_zone, self._zone)
        with self._lock:
            return self._paths.rank_peers(
                self._select_peers(carrier_zones),
                zones,
                self._clock(),
                self._rng,
            )

    def _connect_through_peers(
        self,
        target: target_records.Target,
        deadline: float,
        carrier_zones: frozenset[str] | None,
    ) -> tuple[socket.socket | None, int]:
        """Connects through the first peer that reaches a target.

        Returns:
            The connection, and the number of peers that do not reach the
            target.
        """
        trying = not_reaching = 0
        for peer in self._rank_peers(target, carrier_zones)[:MAX_PEERS_ASKED]:
            remaining = min(PEER_SECONDS, deadline - self._clock())
            if remaining <= 0 or trying >= MAX_PEERS_TRYING:
                break
            if not_reaching >= MAX_PEERS_NOT_REACHING and not self.is_cut_off():
                break
            connection = None
            trying += 1
            try:
                connection = peer_tunnels.open_tunnel(
                    peer, self.tunnel_port, target.name, remaining
                )
                if connection is None:
                    trying -= 1
            except peer_tunnels.TargetNotReachedError:
                not_reaching += 1
            except OSError:
                pass
            is_reached = connection is not None
            with self._lock:
                self._targets[target.name] = target
                self._paths.record_peer_path(
                    peer, target.name, is_reached, self._clock()
                )
            if connection is not None:
                self.through_peers += 1
                _LOG.info(
                    "target_through_peer",
                    extra={"target": target.name, "peer_address": peer},
                )
                return connection, not_reaching
        return None, not_reaching

    def _log_change(self) -> None:
        """Logs when this instance has lost or regained its own links."""
        now = self._clock()
        if self.is_cut_off():
            if not self._cut_off_at:
                _LOG.warning("targets_cut_off")
            self._cut_off_at = now
        elif self._cut_off_at and now - self._cut_off_at >= REGAINED_SECONDS:
            self._cut_off_at = 0.0
            _LOG.info("targets_reached_again")
