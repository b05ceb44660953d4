"""The actor around core.request_router: the one thread that touches it."""

import logging
from typing import Callable, NamedTuple

import pykka

from catkintrail import errors
from catkintrail import messages
from catkintrail import relay_settings
from catkintrail import verdict as verdicts
from catkintrail.core import beliefs
from catkintrail.core import request_router
from catkintrail.core import route_table
from catkintrail.core import targets as target_records
from catkintrail.ports import belief_source

__all__ = ["PeerState", "RouterActor", "RouterClient", "STORE", "Status"]

_LOG = logging.getLogger("catkintrail.router")

HEARTBEAT_SECONDS = 0.5
# A new instance gets to know its peers, and their loads, before callers come.
START_SECONDS = 2.0
START_HEARTBEAT_SECONDS = 0.1
# Source of what the platform's store says.
STORE = "store"
# Targets that one datagram tells of.
NEWS_TARGETS = 100
SNAPSHOT_SECONDS = 1.0
LARGE_SNAPSHOT_SECONDS = 4.0
# Loads of other zones are passed on this late; a prefill takes longer.
BATCH_SECONDS = 0.1
BATCH_MESSAGES = 100
# The actor does no I/O that waits; a longer silence is a fault.
ANSWER_TIMEOUT_SECONDS = 5.0

Send = Callable[[list[str], messages.Message], None]
Clock = Callable[[], float]


class PeerState(NamedTuple):
    """What an instance that lacks the store learns from a peer.

    Attributes:
        version: Version of the newest configuration known; -1 for none.
        configuration: It; None where the other one has it.
        proof_age_seconds: How long ago it was surely the newest.
        targets: The listed targets.
    """

    version: int
    configuration: route_table.Configuration | None
    proof_age_seconds: float
    targets: tuple[target_records.Target, ...]


class Status(NamedTuple):
    """State of an instance's beliefs.

    Attributes:
        is_ready: Whether requests can be served.
        version: Version of the configuration; -1 for none.
        proof_age_seconds: How long ago it was surely the newest.
        is_proof_holder: Whether it asks the store often.
        has_targets: Whether the list of targets is known.
        peers: Addresses of the peers that are alive.
        attempts: Attempts known at targets, its own and its peers'.
        peer_version: The newest version that a peer told of.
        is_watcher: Whether it watches the store for its zone.
        better_peer: Address of a peer that knows more; "" for none.
    """

    is_ready: bool
    version: int
    proof_age_seconds: float
    is_proof_holder: bool
    has_targets: bool
    peers: tuple[str, ...]
    attempts: int
    peer_version: int
    is_watcher: bool
    better_peer: str


class RouterActor(pykka.ThreadingActor):
    """Runs the decisions of one instance, one call after the other."""

    use_daemon_thread = True

    def __init__(
        self,
        router: request_router.RequestRouter,
        send: Send,
        clock: Clock,
    ) -> None:
        super().__init__()
        self._router = router
        self._send = send
        self._clock = clock
        self._started_at = clock()
        self._next_heartbeat = 0.0
        self._next_snapshot = 0.0
        self._batch: list[bytes] = []
        self._batch_since = float("inf")

    def admit(
        self, host: str, path: str, api_key: str
    ) -> request_router.Admission | verdicts.Refusal:
        """Decides whether a request may be served."""
        return self._router.admit(host, path, api_key, self._clock())

    def place(
        self, request: request_router.PlaceRequest
    ) -> request_router.Grant | verdicts.Refusal:
        """Chooses a target and tells peers."""
        now = self._clock()
        grant = self._router.place(request, now)
        if isinstance(grant, request_router.Grant):
            self._tell(self._router.placed_update(request.key, now))
        return grant

    def note_first_token(
        self, key: str, measured_ms: float, predicted_ms: float
    ) -> None:
        """Notes a first token and tells peers."""
        now = self._clock()
        update = self._router.note_first_token(
            key, measured_ms, predicted_ms, now
        )
        self._tell(update)

    def note_end(
        self,
        key: str,
        target: str,
        is_success: bool,
        is_fault: bool,
        is_silent: bool,
    ) -> None:
        """Notes the end of a send and tells peers."""
        now = self._clock()
        update, is_ejected = self._router.note_end(
            key, target, is_success, is_fault, is_silent, now
        )
        if is_ejected:
            _LOG.warning(
                "target_ejected",
                extra={"target": target, "is_silent": is_silent},
            )
        self._tell(update)

    def note_leaving(self, target: str) -> None:
        """Notes that a target is not at its address any more."""
        now = self._clock()
        self._note_changes(
            self._router.knowledge.learn_leaving(target, 0, now), "its answer"
        )

    def learn_configuration(
        self,
        configuration: route_table.Configuration | None,
        proven_at: float,
        source: str,
    ) -> bool:
        """Takes what a source says; returns whether it is newer.

        Args:
            configuration: The newest one; None confirms what is known.
            proven_at: When it was the newest.
            source: Who says so, for the log.
        """
        router = self._router
        if configuration is None:
            router.knowledge.configuration.confirm(
                router.knowledge.configuration.version, proven_at
            )
            return False
        old = router.knowledge.configuration.version
        if not router.knowledge.learn_configuration(configuration, proven_at):
            return False
        _LOG.info(
            "configuration_in_force",
            extra={
                "version": configuration.version,
                "replaced_version": old,
                "age_ms": round((self._clock() - proven_at) * 1000.0),
                "routes": len(configuration.routes),
                "source": source,
            },
        )
        if source == STORE:
            self._tell_news([])
        return True

    def learn_target_list(
        self, events: tuple[belief_source.TargetEvent, ...], source: str
    ) -> None:
        """Takes a list of targets."""
        targets = [event.target for event in events if event.target]
        changes = self._router.knowledge.learn_targets(targets, self._clock())
        self._note_changes(changes, source)
        if source == STORE:
            self._tell_news(changes)

    def learn_target_events(
        self, events: tuple[belief_source.TargetEvent, ...], source: str
    ) -> None:
        """Takes changes of the list of targets."""
        now = self._clock()
        changes = []
        for event in events:
            changes += self._router.knowledge.learn_target(
                event.target,
                event.name,
                event.is_removed,
                now,
            )
        self._note_changes(changes, source)
        if source == STORE:
            self._tell_news(changes)

    def note_store(self, is_up: bool) -> None:
        """Notes whether the store answered."""
        self._router.knowledge.note_store(is_up, self._clock())

    def apply_settings(self, settings: relay_settings.RelaySettings) -> None:
        """Takes new settings; addresses stay."""
        self._router.apply_settings(settings)

    def hear(self, address: str, message: messages.Message) -> None:
        """Takes a peer's message."""
        now = self._clock()
        router = self._router
        if isinstance(message, messages.FleetHeartbeat):
            news, changes = router.knowledge.hear_heartbeat(
                address, message, now
            )
            self._note_changes(changes, f"peer {message.sender}")
            _log_peer(address, message.sender, news)
            self._send(
                [address], router.knowledge.answer_heartbeat(message, now)
            )
            if news:
                # The newcomer knows nothing of what runs where.
                self._send([address], router.snapshot(now))
        elif isinstance(message, messages.FleetHeartbeatAnswer):
            news = router.knowledge.hear_answer(address, message, now)
            _log_peer(address, message.sender, news)
        elif isinstance(message, messages.FleetNews):
            changes = router.knowledge.hear_news(address, message, now)
            self._note_changes(changes, f"peer {message.sender}")
        elif isinstance(message, messages.Forwarded):
            self._pass_on(address, message, now)
        elif isinstance(message, messages.Batch):
            self._hear_batch(address, message)
        else:
            router.hear_load(message, now)

    def tick(self) -> None:
        """Does what is due."""
        now = self._clock()
        router = self._router
        lapsed = router.expire(now)
        self._note_changes(lapsed, "expiry")
        if lapsed and router.knowledge.is_watcher():
            self._tell_news(lapsed)
        if now >= self._next_heartbeat:
            wait = HEARTBEAT_SECONDS
            if now < self._started_at + START_SECONDS:
                wait = START_HEARTBEAT_SECONDS
            self._next_heartbeat = now + wait
            heartbeat = router.knowledge.heartbeat(now)
            self._send(router.knowledge.peers.greet(now, router.rng), heartbeat)
        if now >= self._next_snapshot:
            wait = SNAPSHOT_SECONDS
            if router.knowledge.peers.is_large:
                wait = LARGE_SNAPSHOT_SECONDS
            self._next_snapshot = now + wait * router.rng.uniform(0.8, 1.2)
            self._tell(router.snapshot(now))
        self._pass_batch(now)

    def peer_state(self, known_version: int = -1) -> PeerState:
        """Returns what another instance may learn from this one."""
        router = self._router
        table = router.knowledge.configuration.table
        is_news = table and table.configuration.version > known_version
        age = self._clock() - router.knowledge.configuration.proven_at
        return PeerState(
            router.knowledge.configuration.version,
            table.configuration if is_news else None,
            age,
            tuple(router.knowledge.targets.targets.values()),
        )

    def status(self) -> Status:
        """Returns the state of beliefs, for readiness and the loops."""
        router = self._router
        now = self._clock()
        return Status(
            router.knowledge.is_ready(now),
            router.knowledge.configuration.version,
            now - router.knowledge.configuration.proven_at,
            router.knowledge.is_proof_holder(),
            router.knowledge.has_targets,
            tuple(peer.address for peer in router.knowledge.peers.alive()),
            sum(len(owned) for owned in router.load.by_owner.values()),
            router.knowledge.peer_version,
            router.knowledge.is_watcher(),
            router.knowledge.better_peer,
        )

    def forget_better_peer(self, address: str) -> None:
        """Notes that a peer was asked for what it knows."""
        if self._router.knowledge.better_peer == address:
            self._router.knowledge.better_peer = ""

    def _note_changes(
        self, changes: list[beliefs.TargetChange], source: str
    ) -> None:
        self._router.note_changes(changes)
        _log_changes(changes, source)

    def _tell(
        self,
        update: messages.LoadUpdate | messages.LoadSnapshot | None,
    ) -> None:
        """Tells all instances of own attempts."""
        if update is None:
            return
        near, gateways = self._router.knowledge.receivers()
        self._send(near, update)
        if gateways:
            forwarded = messages.Forwarded(messages.encode(update))
            self._send(gateways, forwarded)

    def _tell_news(self, changes: list[beliefs.TargetChange]) -> None:
        """Tells peers what the store said."""
        router = self._router
        known = [
            c.target for c in changes if c.event not in beliefs.GONE_EVENTS
        ]
        removed = [
            c.target.name for c in changes if c.event in beliefs.GONE_EVENTS
        ]
        near, gateways = router.knowledge.receivers()
        for start in range(0, max(1, len(known)), NEWS_TARGETS):
            news = messages.FleetNews(
                router.settings.name,
                router.knowledge.configuration.version,
                tuple(known[start : start + NEWS_TARGETS]),
                tuple(removed) if start == 0 else (),
            )
            self._send(near, news)
        if gateways and not changes:
            # Each zone has watchers of its own; a new version is worth the
            # few bytes, for they may be cut off from the store.
            self._send(gateways, news)

    def _pass_on(
        self, address: str, message: messages.Forwarded, now: float
    ) -> None:
        """Passes a message from another zone on to the own one."""
        if not self._hear_inner(address, message.content):
            return
        self._batch.append(message.content)
        self._batch_since = min(self._batch_since, now)
        self._pass_batch(now)

    def _pass_batch(self, now: float) -> None:
        """Sends what other zones said to the own zone, a few at a time."""
        if not self._batch or now - self._batch_since < BATCH_SECONDS:
            return
        near = [peer.address for peer in self._router.knowledge.peers.near()]
        for start in range(0, len(self._batch), BATCH_MESSAGES):
            part = self._batch[start : start + BATCH_MESSAGES]
            self._send(near, messages.Batch(tuple(part)))
        self._batch.clear()
        self._batch_since = float("inf")

    def _hear_batch(self, address: str, batch: messages.Batch) -> None:
        for content in batch.contents:
            self._hear_inner(address, content)

    def _hear_inner(self, address: str, content: bytes) -> bool:
        """Takes a message that came inside another; returns whether it did."""
        try:
            inner = messages.decode(content)
        except errors.FrameError as error:
            _LOG.info("message_unreadable", extra={"reason": str(error)})
            return False
        if isinstance(inner, (messages.Forwarded, messages.Batch)):
            return False
        self.hear(address, inner)
        return True


class RouterClient:
    """Calls the actor from the threads that serve requests."""

    def __init__(self, reference: pykka.ActorRef) -> None:
        self.proxy = reference.proxy()

    def admit(
        self, host: str, path: str, api_key: str
    ) -> request_router.Admission | verdicts.Refusal:
        """Decides whether a request may be served."""
        future = self.proxy.admit(host, path, api_key)
        return future.get(timeout=ANSWER_TIMEOUT_SECONDS)

    def place(
        self, request: request_router.PlaceRequest
    ) -> request_router.Grant | verdicts.Refusal:
        """Chooses a target."""
        return self.proxy.place(request).get(timeout=ANSWER_TIMEOUT_SECONDS)

    def note_first_token(
        self, key: str, measured_ms: float, predicted_ms: float
    ) -> None:
        """Notes that a stream's first event came."""
        self.proxy.note_first_token.defer(key, measured_ms, predicted_ms)

    def note_end(
        self,
        key: str,
        target: str,
        is_success: bool,
        is_fault: bool,
        is_silent: bool,
    ) -> None:
        """Notes the end of a send."""
        self.proxy.note_end.defer(key, target, is_success, is_fault, is_silent)

    def note_leaving(self, target: str) -> None:
        """Notes that a target is not at its address any more."""
        self.proxy.note_leaving.defer(target)

    def status(self) -> Status:
        """Returns the state of beliefs."""
        return self.proxy.status().get(timeout=ANSWER_TIMEOUT_SECONDS)

    def peer_state(self, known_version: int = -1) -> PeerState:
        """Returns what another instance may learn from this one."""
        future = self.proxy.peer_state(known_version)
        return future.get(timeout=ANSWER_TIMEOUT_SECONDS)


def _log_changes(changes: list[beliefs.TargetChange], source: str) -> None:
    for change in changes:
        _LOG.info(
            change.event,
            extra={
                "target": change.target.name,
                "service": change.target.service,
                "address": change.target.address,
                "source": source,
            },
        )


def _log_peer(address: str, name: str, news: str) -> None:
    if news:
        event = f"peer_{news}"
        _LOG.info(event, extra={"peer": name, "peer_address": address})
