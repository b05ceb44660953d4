"""Known state of the configuration, targets and peers of an instance.

Performs no I/O and takes the current time as an argument. Times are in seconds
of a clock that keeps running while the machine is suspended.
"""

import itertools
import random
from typing import Iterable

from catkintrail import messages
from catkintrail import relay_settings
from catkintrail.core import fleet_peers
from catkintrail.core import route_table
from catkintrail.core import store_views
from catkintrail.core import targets as target_records
from catkintrail.core.zones import evacuation

__all__ = ["FleetState"]

# Requests are admitted only this long before the proof that their key is valid
# expires, to allow for the time until they reach the target.
REVOCATION_MARGIN_SECONDS = 0.4
# Answers to heartbeats that arrive later than this prove nothing.
HEARTBEAT_ANSWER_TIMEOUT_SECONDS = 1.6
# If the digest of a watcher's targets differs from the local one for this
# long, an update was lost and that watcher becomes the `newer_peer`.
DIGEST_MISMATCH_SECONDS = 0.8
# Heartbeats name a target that is leaving for this long.
LEAVING_NOTICE_SECONDS = 10.0


class FleetState:
    """Replicated state of one instance, and its exchange with peers.

    Attributes:
        settings: Settings of this instance.
        incarnation: Number that increases with each start of the instance.
        configuration: The newest known configuration.
        targets: The known targets.
        targets_position: Position of the store that the targets reflect.
        targets_complete_at: Latest time at which the known targets had all
            changes that the store had.
        newest_targets_position: Newest position at which a peer knows the
            targets.
        has_target_list: Whether a complete list of targets has been received.
        peers: The other instances.
        is_store_up: Whether the store responded to the last call.
        store_era: Newest era that the store is known to have restored.
        store_recovered_at: Time of the first response after the last failure of
            the store.
        newest_peer_version: The newest configuration version reported by any
            peer.
        newer_peer: Address of a peer with newer state; "" if there is none.
        evacuations: Zones to whose targets nothing may be sent.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        incarnation: int,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.configuration = store_views.ConfigurationView()
        self.targets = store_views.TargetView()
        self.targets_position = store_views.NO_POSITION
        self.targets_complete_at = float("-inf")
        self.newest_targets_position = store_views.NO_POSITION
        self.has_target_list = False
        self.peers = fleet_peers.FleetPeers(
            settings.address,
            settings.availability_zone,
            [seed.rpartition(":")[0] for seed in settings.seeds],
            settings.cores,
            settings.zone_count,
        )
        self.is_store_up = True
        self.store_era = -1
        self.store_recovered_at = float("-inf")
        self.newest_peer_version = -1
        self.newer_peer = ""
        self.evacuations = evacuation.ZoneEvacuations(
            settings.evacuation_seconds > 0
        )
        self._rng = rng
        self._mismatch_since: dict[str, float] = {}
        self._leaving: dict[str, tuple[int, float]] = {}
        self._nonces = itertools.count(1)
        self._heartbeats_sent: dict[int, float] = {}

    def update_configuration(
        self,
        configuration: route_table.Configuration,
        proven_at: float,
    ) -> bool:
        """Applies a configuration unless it is older than the known one.

        Args:
            configuration: The configuration.
            proven_at: Time at which the store is known to have held no newer
                version.

        Returns:
            Whether it is newer than the known one.
        """
        return self.configuration.update(configuration, proven_at)

    def replace_targets(
        self,
        listed: Iterable[store_views.EntryStatement],
        now: float,
        position: store_views.Position = store_views.NO_POSITION,
    ) -> list[store_views.TargetChange]:
        """Applies a complete list that was read from the store.

        Args:
            listed: The entries.
            now: Time in seconds.
            position: Position of the store up to which the list has all
                changes.

        Returns:
            The changes of the known targets.
        """
        if position.era < self.targets.order.complete_position.era:
            # The era that the store stated before was no valid one.
            self.targets.order = store_views.EntryOrder()
        self.targets_position = position
        return self._apply_list(listed, now, position)

    def merge_targets(
        self,
        entries: Iterable[store_views.EntryStatement],
        now: float,
        position: store_views.Position,
        complete_position: store_views.Position,
    ) -> list[store_views.TargetChange]:
        """Applies what a peer knows of the targets.

        Ignored if the peer's targets are older than the known ones.

        Args:
            entries: All entries that the peer knows, and recent removals.
            now: Time in seconds.
            position: Position of the store that the peer's targets reflect.
            complete_position: Position up to which the peer knows all changes.

        Returns:
            The changes of the known targets.
        """
        if self.has_target_list and position < self.targets_position:
            return []
        self.targets_position = position
        return self._apply_list(entries, now, complete_position)

    def confirm_targets(
        self, position: store_views.Position, complete_at: float
    ) -> None:
        """Records that the store had no newer change of the targets.

        Ignored unless the known targets reflect the position.

        Args:
            position: Position of the store.
            complete_at: Time at which the store had that position, in seconds.
        """
        if (
            position.era == self.targets_position.era
            and position <= self.targets_position
        ):
            self.targets_complete_at = max(
                self.targets_complete_at, complete_at
            )

    def advance_targets(self, position: store_views.Position) -> None:
        """Records that no change of the targets precedes a later position."""
        self.targets_position = max(self.targets_position, position)

    def update_target(
        self,
        target: target_records.Target | None,
        name: str,
        is_removed: bool,
        now: float,
        position: store_views.Position = store_views.NO_POSITION,
    ) -> list[store_views.TargetChange]:
        """Applies one change that was read from the store.

        Args:
            target: The changed entry; None if it is invalid.
            name: Name of the entry.
            is_removed: Whether the entry was removed.
            now: Time in seconds.
            position: Position of the entry, or of the one that was removed.

        Returns:
            The changes of the known targets.
        """
        if is_removed:
            # All earlier changes are known, so that the removal is a later one.
            position = max(position, self.targets.order.complete_position)
            changes = self.targets.remove(
                name, self._lapse_grace_end(), now, position
            )
        elif target is None:
            changes = self.targets.remove(name, now, now, position)
        else:
            changes = self.targets.put(target, now, position)
        return self._record_leaving(changes, now)

    def complete_targets(self, position: store_views.Position) -> None:
        """Records that all changes up to a position of the store were read."""
        self.targets_position = position
        self.targets.order.complete(position)

    def record_store_state(self, is_up: bool, now: float) -> None:
        """Records whether the store responded to a call."""
        if is_up and not self.is_store_up:
            self.store_recovered_at = now
        self.is_store_up = is_up

    def record_store_restored(self, era: int, now: float) -> None:
        """Records that the store has come back from an older copy.

        As after an outage, entries that are missing are written again. The time
        for that counts from the first sign of the new era, however late the
        targets are read.

        Args:
            era: The era of the store.
            now: Time in seconds.
        """
        if era <= self.store_era:
            return
        self.store_era = era
        self.store_recovered_at = now
        self.targets.restored_at = now

    def mark_target_leaving(
        self, name: str, born: int, now: float
    ) -> list[store_views.TargetChange]:
        """Records that a target is leaving.

        Args:
            name: Name of the target.
            born: Start time of the target that is leaving, in Unix
                milliseconds; 0 if unknown. A target that has been restarted
                since then is not changed.
            now: Time in seconds.

        Returns:
            The changes of the known targets.
        """
        return self._record_leaving(self.targets.leave(name, born, now), now)

    def expire(self, now: float) -> list[store_views.TargetChange]:
        """Drops expired state; returns the changes of the known targets."""
        for name, (_, since) in list(self._leaving.items()):
            if now - since > LEAVING_NOTICE_SECONDS:
                del self._leaving[name]
        for nonce, sent_at in list(self._heartbeats_sent.items()):
            if now - sent_at > HEARTBEAT_ANSWER_TIMEOUT_SECONDS:
                del self._heartbeats_sent[nonce]
        return self._record_leaving(self.targets.expire(now), now)

    def is_ready(self, now: float) -> bool:
        """Returns whether this instance can serve requests."""
        if self.configuration.table is None or not self.has_target_list:
            return False
        if self.configuration.table.configuration.organisations is None:
            return True
        return now <= self.keys_valid_until()

    def keys_valid_until(self) -> float:
        """Returns until when API keys are known to be valid.

        Returns:
            Time in seconds; infinite if the settings have no revocation bound.
        """
        bound = self.settings.revocation_seconds
        if not bound:
            return float("inf")
        return self.configuration.proven_at + bound - REVOCATION_MARGIN_SECONDS

    def heartbeat(self, now: float) -> messages.FleetHeartbeat:
        """Creates the next heartbeat, with a new nonce."""
        nonce = next(self._nonces)
        self._heartbeats_sent[nonce] = now
        return messages.FleetHeartbeat(
            self.settings.name,
            self.settings.availability_zone,
            self.incarnation,
            nonce,
            self.configuration.version,
            self.targets.digest,
            self.is_watcher(),
            self.is_store_up,
            tuple((name, born) for name, (born, _) in self._leaving.items()),
            self.peers.sample_addresses(self._rng),
            self.peers.standing(),
            self.evacuations.state,
        )

    def answer_heartbeat(
        self, heartbeat: messages.FleetHeartbeat, now: float
    ) -> messages.FleetHeartbeatAnswer:
        """Returns the answer to a peer's heartbeat."""
        age = (now - self.configuration.proven_at) * 1000.0
        addresses = self.peers.known_coordinators(heartbeat.availability_zone)
        addresses += self.peers.sample_addresses(self._rng)
        return messages.FleetHeartbeatAnswer(
            self.settings.name,
            self.settings.availability_zone,
            self.incarnation,
            heartbeat.nonce,
            self.configuration.version,
            age if self.configuration.table is not None else -1.0,
            tuple(addresses),
            self.peers.standing(),
            self.targets_position,
            (now - self.targets_complete_at) * 1000.0
            if self.has_target_list
            else -1.0,
            self.evacuations.state,
        )

    def handle_heartbeat(
        self, address: str, heartbeat: messages.FleetHeartbeat, now: float
    ) -> tuple[str, list[store_views.TargetChange]]:
        """Processes a peer's heartbeat.

        Args:
            address: IP address of the peer.
            heartbeat: The heartbeat.
            now: Time in seconds.

        Returns:
            The change of the peer's state, as returned by
            `FleetPeers.record_message`, and the changes of the known targets.
        """
        peer_change = self.peers.record_message(
            address,
            heartbeat.sender,
            heartbeat.availability_zone,
            heartbeat.incarnation,
            now,
            heartbeat.has_store,
            heartbeat.standing,
        )
        self._check_target_digest(address, heartbeat, now)
        self._record_peer_version(address, heartbeat.version)
        for other in heartbeat.addresses:
            self.peers.add_address(other, now)
        changes = []
        for name, born in heartbeat.left:
            changes += self.mark_target_leaving(name, born, now)
        return peer_change, changes

    def handle_heartbeat_answer(
        self, address: str, answer: messages.FleetHeartbeatAnswer, now: float
    ) -> str:
        """Processes the answer to a heartbeat.

        Args:
            address: IP address of the peer.
            answer: The answer.
            now: Time in seconds.

        Returns:
            The change of the peer's state, as returned by
            `FleetPeers.record_message`.
        """
        peer_change = self.peers.record_message(
            address,
            answer.sender,
            answer.availability_zone,
            answer.incarnation,
            now,
            standing=answer.standing,
        )
        self._record_peer_version(address, answer.version)
        for other in answer.addresses:
            self.peers.add_address(other, now)
        sent_at = self._heartbeats_sent.get(answer.nonce)
        # The proof's age counts back from the time at which the heartbeat was
        # sent, so that transit cannot make the proof look newer than it is.
        if sent_at is not None and answer.proof_age_ms >= 0:
            self.configuration.confirm(
                answer.version, sent_at - answer.proof_age_ms / 1000.0
            )
        position = store_views.Position(*answer.targets_position)
        self._record_peer_position(position)
        if sent_at is not None and answer.targets_age_ms >= 0:
            self.confirm_targets(
                position, sent_at - answer.targets_age_ms / 1000.0
            )
        return peer_change

    def handle_fleet_news(
        self, address: str, news: messages.FleetNews, now: float
    ) -> list[store_views.TargetChange]:
        """Applies target changes that a watcher read from the store.

        Args:
            address: IP address of the watcher.
            news: The message.
            now: Time in seconds.

        Returns:
            The changes of the known targets.
        """
        self._record_peer_version(address, news.version)
        if self.has_target_list:
            position = store_views.Position(*news.position)
            known_era = max(self.targets_position.era, self.store_era)
            if 0 <= known_era < position.era:
                self.record_store_restored(position.era, now)
            self.advance_targets(position)
            self._record_peer_position(position)
        changes = []
        for entry in news.entries:
            changes += self.targets.apply(entry, now)
        return self._record_leaving(changes, now)

    def broadcast_recipients(self) -> tuple[list[str], list[str]]:
        """Returns the recipients of broadcast messages.

        Returns:
            Addresses of the peers to which messages are sent directly, and of
            those that forward messages to their zones; the latter are used in
            large fleets only.
        """
        if not self.peers.is_large_fleet:
            return [peer.address for peer in self.peers.alive()], []
        zone_addresses = [peer.address for peer in self.peers.zone_peers()]
        return zone_addresses, self.peers.gateways()

    def load_recipients(self) -> list[str]:
        """Returns the peers to which changes of the load are sent.

        In a large fleet, only the coordinators of the zone place requests and
        need to know the load.
        """
        if not self.peers.is_large_fleet:
            return [peer.address for peer in self.peers.alive()]
        own_address = self.settings.address
        return [a for a in self.peers.coordinators() if a != own_address]

    def is_watcher(self) -> bool:
        """Returns whether this instance watches the store for its zone."""
        return self.peers.watch_rank() < self.peers.watchers_per_zone()

    def is_proof_holder(self) -> bool:
        """Returns whether this instance renews the proof for its zone.

        One instance of each zone polls the store frequently to prove that the
        configuration is current; the others obtain the proof from peers.
        """
        return self.peers.watch_rank() == 0

    def _record_peer_version(self, address: str, version: int) -> None:
        self.newest_peer_version = max(self.newest_peer_version, version)
        if version > self.configuration.version:
            self.newer_peer = address

    def _record_peer_position(self, position: store_views.Position) -> None:
        self.newest_targets_position = max(
            self.newest_targets_position, position
        )

    def _check_target_digest(
        self, address: str, heartbeat: messages.FleetHeartbeat, now: float
    ) -> None:
        """Detects lost target updates by comparing digests with a watcher."""
        is_same = heartbeat.target_digest == self.targets.digest
        if is_same or not heartbeat.is_watcher or self.is_watcher():
            self._mismatch_since.pop(address, None)
            return
        since = self._mismatch_since.setdefault(address, now)
        if now - since >= DIGEST_MISMATCH_SECONDS:
            self.newer_peer = address
            del self._mismatch_since[address]

    def _apply_list(
        self,
        listed: Iterable[store_views.EntryStatement],
        now: float,
        complete_position: store_views.Position,
    ) -> list[store_views.TargetChange]:
        self.has_target_list = True
        changes = self.targets.replace_all(
            listed, complete_position, self._lapse_grace_end(), now
        )
        return self._record_leaving(changes, now)

    def _lapse_grace_end(self) -> float:
        """Returns when entries removed by a store outage are restored."""
        return self.store_recovered_at + store_views.LAPSE_GRACE_SECONDS

    def _record_leaving(
        self, changes: list[store_views.TargetChange], now: float
    ) -> list[store_views.TargetChange]:
        for change in changes:
            if change.event == "target_leaving":
                self._leaving[change.target.name] = (change.target.born, now)
        return changes
