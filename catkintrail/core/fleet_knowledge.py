"""What one instance knows of configuration and targets, and tells peers.

Takes the time as an argument and does no I/O. Times are in seconds of a clock
that goes on while the machine is suspended.
"""

import itertools
import random

from catkintrail import messages
from catkintrail import relay_settings
from catkintrail.core import beliefs
from catkintrail.core import fleet_peers
from catkintrail.core import route_table
from catkintrail.core import targets as target_records

__all__ = ["FleetKnowledge"]

# A proof of a key's validity must be this much younger than the bound, for the
# time until the request's bytes reach the target.
REVOCATION_MARGIN_SECONDS = 0.4
# Answers to heartbeats that come later are not taken.
ANSWER_SECONDS = 1.6
# A watcher whose targets differ from the own ones for this long knows better:
# news of a change was lost.
DIFFERENCE_SECONDS = 0.8
# Targets that left are told to peers for this long.
LEFT_MEMORY_SECONDS = 10.0


class FleetKnowledge:
    """Beliefs of one instance, and the exchange of them with its peers.

    Attributes:
        settings: Its settings.
        incarnation: Rises with each start.
        configuration: What is known of the configuration.
        targets: What is known of the targets.
        has_targets: Whether a list of targets was read.
        peers: Other instances.
        is_store_up: Whether the store answered its last call.
        store_returned_at: When it last answered after a failure.
        peer_version: The newest version that a peer told of.
        better_peer: Address of a peer that knows more; "" for none.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        incarnation: int,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.incarnation = incarnation
        self.configuration = beliefs.ConfigurationBelief()
        self.targets = beliefs.TargetBelief()
        self.has_targets = False
        self.peers = fleet_peers.FleetPeers(
            settings.address,
            settings.availability_zone,
            [seed.rpartition(":")[0] for seed in settings.seeds],
        )
        self.is_store_up = True
        self.store_returned_at = float("-inf")
        self.peer_version = -1
        self.better_peer = ""
        self._rng = rng
        self._differs_since: dict[str, float] = {}
        self._left: dict[str, tuple[int, float]] = {}
        self._nonces = itertools.count(1)
        self._asked: dict[int, float] = {}

    def learn_configuration(
        self,
        configuration: route_table.Configuration,
        proven_at: float,
    ) -> bool:
        """Takes a configuration; returns whether it is newer."""
        return self.configuration.learn(configuration, proven_at)

    def learn_targets(
        self,
        listed: list[target_records.Target],
        now: float,
    ) -> list[beliefs.TargetChange]:
        """Takes the whole list of targets."""
        self.has_targets = True
        changes = self.targets.replace_all(listed, self._lapses_end(), now)
        return self._note_left(changes, now)

    def learn_target(
        self,
        target: target_records.Target | None,
        name: str,
        is_removed: bool,
        now: float,
    ) -> list[beliefs.TargetChange]:
        """Takes one change of the list of targets.

        Args:
            target: The entry; None where it cannot be used.
            name: Its name.
            is_removed: Whether the entry was removed.
            now: Time in seconds.
        """
        if is_removed:
            changes = self.targets.remove(name, self._lapses_end(), now)
        elif target is None:
            changes = self.targets.remove(name, now, now)
        else:
            changes = self.targets.put(target)
        return self._note_left(changes, now)

    def note_store(self, is_up: bool, now: float) -> None:
        """Notes whether the store answered."""
        if is_up and not self.is_store_up:
            self.store_returned_at = now
        self.is_store_up = is_up

    def learn_leaving(
        self, name: str, born: int, now: float
    ) -> list[beliefs.TargetChange]:
        """Notes that a target is leaving, from a peer or its own answer."""
        target = self.targets.targets.get(name)
        if target is None or (born and target.born != born):
            return []
        return self._note_left(self.targets.leave(name), now)

    def expire(self, now: float) -> list[beliefs.TargetChange]:
        """Drops beliefs that are too old; returns what changed."""
        for name, (_, since) in list(self._left.items()):
            if now - since > LEFT_MEMORY_SECONDS:
                del self._left[name]
        for nonce, sent_at in list(self._asked.items()):
            if now - sent_at > ANSWER_SECONDS:
                del self._asked[nonce]
        return self._note_left(self.targets.expire(now), now)

    def is_ready(self, now: float) -> bool:
        """Returns whether requests can be served."""
        if self.configuration.table is None or not self.has_targets:
            return False
        if self.configuration.table.configuration.organisations is None:
            return True
        return now <= self.keys_valid_until()

    def keys_valid_until(self) -> float:
        """Returns when the proof that keys are valid ends."""
        bound = self.settings.revocation_seconds
        if not bound:
            return float("inf")
        return self.configuration.proven_at + bound - REVOCATION_MARGIN_SECONDS

    def heartbeat(self, now: float) -> messages.FleetHeartbeat:
        """Returns the next heartbeat."""
        nonce = next(self._nonces)
        self._asked[nonce] = now
        return messages.FleetHeartbeat(
            self.settings.name,
            self.settings.availability_zone,
            self.incarnation,
            nonce,
            self.configuration.version,
            self.targets.digest,
            self.is_watcher(),
            self.is_store_up,
            tuple((name, born) for name, (born, _) in self._left.items()),
            self.peers.to_tell(self._rng),
        )

    def answer_heartbeat(
        self, heartbeat: messages.FleetHeartbeat, now: float
    ) -> messages.FleetHeartbeatAnswer:
        """Returns the answer to a peer's heartbeat."""
        age = (now - self.configuration.proven_at) * 1000.0
        return messages.FleetHeartbeatAnswer(
            self.settings.name,
            self.settings.availability_zone,
            self.incarnation,
            heartbeat.nonce,
            self.configuration.version,
            age if self.configuration.table is not None else -1.0,
        )

    def hear_heartbeat(
        self, address: str, heartbeat: messages.FleetHeartbeat, now: float
    ) -> tuple[str, list[beliefs.TargetChange]]:
        """Takes a peer's heartbeat; returns what is new."""
        news = self.peers.hear(
            address,
            heartbeat.sender,
            heartbeat.availability_zone,
            heartbeat.incarnation,
            now,
            heartbeat.has_store,
        )
        self._compare(address, heartbeat, now)
        self._note_version(address, heartbeat.version)
        for other in heartbeat.addresses:
            self.peers.learn(other, now)
        changes = []
        for name, born in heartbeat.left:
            changes += self.learn_leaving(name, born, now)
        return news, changes

    def hear_answer(
        self, address: str, answer: messages.FleetHeartbeatAnswer, now: float
    ) -> str:
        """Takes the answer to a heartbeat; returns what is new of the peer."""
        news = self.peers.hear(
            address,
            answer.sender,
            answer.availability_zone,
            answer.incarnation,
            now,
        )
        self._note_version(address, answer.version)
        sent_at = self._asked.get(answer.nonce)
        # The age counts from before the question, so transit adds nothing.
        if sent_at is not None and answer.proof_age_ms >= 0:
            self.configuration.confirm(
                answer.version, sent_at - answer.proof_age_ms / 1000.0
            )
        return news

    def hear_news(
        self, address: str, news: messages.FleetNews, now: float
    ) -> list[beliefs.TargetChange]:
        """Takes what a watcher learned; returns what changed."""
        self._note_version(address, news.version)
        changes = []
        for target in news.targets:
            changes += self.targets.put(target)
        for name in news.removed:
            changes += self.targets.remove(name, now, now)
        return self._note_left(changes, now)

    def receivers(self) -> tuple[list[str], list[str]]:
        """Returns who is told directly, and who passes messages on."""
        if not self.peers.is_large:
            return [peer.address for peer in self.peers.alive()], []
        near = [peer.address for peer in self.peers.near()]
        return near, self.peers.gateways()

    def is_watcher(self) -> bool:
        """Returns whether this instance watches the store for its zone."""
        return self.peers.watch_rank() < self.peers.watchers()

    def is_proof_holder(self) -> bool:
        """Returns whether this instance proves the configuration for its zone.

        One of a zone's instances asks the store often; the others ask peers.
        """
        return self.peers.watch_rank() == 0

    def _note_version(self, address: str, version: int) -> None:
        self.peer_version = max(self.peer_version, version)
        if version > self.configuration.version:
            self.better_peer = address

    def _compare(
        self, address: str, heartbeat: messages.FleetHeartbeat, now: float
    ) -> None:
        """Notices that news of targets were lost."""
        is_same = heartbeat.target_digest == self.targets.digest
        if is_same or not heartbeat.is_watcher or self.is_watcher():
            self._differs_since.pop(address, None)
            return
        since = self._differs_since.setdefault(address, now)
        if now - since >= DIFFERENCE_SECONDS:
            self.better_peer = address
            del self._differs_since[address]

    def _lapses_end(self) -> float:
        """Returns when entries that an outage removed are back."""
        return self.store_returned_at + beliefs.LAPSE_SECONDS

    def _note_left(
        self, changes: list[beliefs.TargetChange], now: float
    ) -> list[beliefs.TargetChange]:
        for change in changes:
            if change.event == "target_leaving":
                self._left[change.target.name] = (change.target.born, now)
        return changes
