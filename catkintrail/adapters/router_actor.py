"""Pykka actor that runs core.request_router.

The router is not thread-safe; the actor's thread makes all calls of it.
"""

import logging
import time
import types
from typing import Callable, NamedTuple

import pykka

from catkintrail import errors
from catkintrail import messages
from catkintrail import relay_settings
from catkintrail import verdict as verdicts
from catkintrail.adapters import cold_exchange
from catkintrail.adapters import evacuation_exchange
from catkintrail.adapters import fleet_broadcast
from catkintrail.adapters import limit_exchange
from catkintrail.adapters import message_batch
from catkintrail.adapters import permit_exchange
from catkintrail.adapters import quarantine_exchange
from catkintrail.adapters import router_status
from catkintrail.core import fleet_peers
from catkintrail.core import rendezvous
from catkintrail.core import request_quarantine
from catkintrail.core import request_router
from catkintrail.core import route_table
from catkintrail.core import service_retry_budget
from catkintrail.core import store_views
from catkintrail.core import target_paths
from catkintrail.core import targets as target_records
from catkintrail.core.quarantine import crash_evidence
from catkintrail.core.target_speed import speed_changes
from catkintrail.core.zones import evacuation
from catkintrail.core.zones import regions
from catkintrail.ports import fleet_state_source

__all__ = [
    "PendingPlacement",
    "RouterActor",
    "STORE_SOURCE",
]

_LOG = logging.getLogger("catkintrail.router")

HEARTBEAT_INTERVAL_SECONDS = 0.5
# For this time after its start an instance sends heartbeats more often, so that
# it finds its peers and their loads before callers arrive.
START_SECONDS = 2.0
STARTUP_HEARTBEAT_INTERVAL_SECONDS = 0.1
# Name of the platform's store as a source of updates.
STORE_SOURCE = "store"
# Limit of targets in one FleetNews message, which is sent as one datagram.
MAX_TARGETS_PER_MESSAGE = 100
SNAPSHOT_INTERVAL_SECONDS = 1.0
LARGE_FLEET_SNAPSHOT_INTERVAL_SECONDS = 4.0
# A coordinator that did not answer in time is not asked again for this long.
COORDINATOR_PAUSE_SECONDS = 1.0

Clock = Callable[[], float]
ConfigurationListener = Callable[[route_table.Configuration], None]


class PendingPlacement(NamedTuple):
    """A placement that waits for a peer.

    Attributes:
        request: The request.
        coordinator: Address of the coordinator that chooses; "" if this
            instance has chosen and waits for a permit.
        result: Future of the placement, of a refusal or of another
            `PendingPlacement`.
    """

    request: request_router.PlacementRequest
    coordinator: str
    result: pykka.ThreadingFuture


PlacementResult = request_router.Placement | verdicts.Refusal | PendingPlacement


class RouterActor(pykka.ThreadingActor):
    """Runs the router of one instance, one call at a time."""

    use_daemon_thread = True

    def __init__(
        self,
        router: request_router.RequestRouter,
        send: fleet_broadcast.Send,
        clock: Clock,
        unix_clock: Clock = time.time,
        on_configuration: ConfigurationListener = lambda configuration: None,
    ) -> None:
        """Initializes the actor.

        Args:
            router: The router.
            send: Sends a datagram.
            clock: Returns the time in seconds.
            unix_clock: Returns the Unix time in seconds.
            on_configuration: Called with each configuration that comes into
                force, before a request is admitted under it.
        """
        super().__init__()
        self._router = router
        self._on_configuration = on_configuration
        self._send = send
        self._clock = clock
        self._unix_clock = unix_clock
        self._update_unix_offset()
        self._quarantine_exchange = quarantine_exchange.QuarantineExchange(
            router, send
        )
        self._limit_exchange = limit_exchange.LimitExchange(router, send)
        self._evacuation_exchange = evacuation_exchange.EvacuationExchange(
            router, send
        )
        self._cold_exchange = cold_exchange.ColdExchange(router, send)
        table = router.fleet_state.configuration.table
        if table is not None:
            self._cold_exchange.apply_configuration(table.configuration)
        self._permit_exchange = permit_exchange.PermitExchange(router, send)
        self._started_at = clock()
        self._next_heartbeat = 0.0
        self._next_snapshot = 0.0
        # Messages of other zones for this one, and load of this zone for
        # others.
        self._zone_batch = message_batch.MessageBatch()
        self._load_batch = message_batch.MessageBatch()
        self._load_recipients: list[str] = []
        self._pending: dict[str, PendingPlacement] = {}
        self._speed_changes = speed_changes.SpeedChanges()
        self._greatest_slowness = 1.0
        self._coordinator_pauses: dict[str, float] = {}

    def _handle_failure(
        self,
        exception_type: type[BaseException] | None,
        exception_value: BaseException | None,
        traceback: types.TracebackType | None,
    ) -> None:
        """Logs an exception in a call of which nobody awaits the result.

        Pykka would stop the actor, and the instance would serve nothing more.
        """
        _LOG.error(
            "call_failed",
            exc_info=(exception_type, exception_value, traceback),
        )

    def admit(
        self, host: str, path: str, api_key: str
    ) -> request_router.Admission | verdicts.Refusal:
        """Decides whether a request may be served."""
        return self._router.admit(host, path, api_key, self._clock())

    def place(
        self, request: request_router.PlacementRequest
    ) -> PlacementResult:
        """Chooses a target, or asks a coordinator to choose one.

        The attempt is reported to peers. Targets with a limit need a permit,
        for which a peer may have to be asked too.
        """
        refusal = self._router.count_send(request, self._clock())
        if refusal is not None:
            return refusal
        return self._place_or_ask(request)

    def acquire_retry(self, service: str) -> bool:
        """Takes a retry from the budget of a service, if one is left."""
        return self._router.acquire_retry(service, self._clock())

    def give_up_waiting(self, key: str) -> PlacementResult | None:
        """Places a request that has waited too long for a peer.

        Returns:
            The result; None if the peer has answered meanwhile.
        """
        pending = self._pending.get(key)
        if pending is None:
            return None
        if not pending.coordinator:
            self._permit_exchange.give_up(key, self._clock())
            return self._pending.get(key)
        del self._pending[key]
        _LOG.info("coordinator_silent", extra={"peer": pending.coordinator})
        return self._place_elsewhere(pending)

    def _place_elsewhere(self, pending: PendingPlacement) -> PlacementResult:
        """Places a request that a coordinator did not place."""
        self._coordinator_pauses[pending.coordinator] = (
            self._clock() + COORDINATOR_PAUSE_SECONDS
        )
        return self._place_or_ask(pending.request)

    def _place_or_ask(
        self, request: request_router.PlacementRequest
    ) -> PlacementResult:
        now = self._clock()
        coordinator = self._choose_coordinator(now)
        if not coordinator:
            return self._place_here(request, now)
        pending = PendingPlacement(
            request, coordinator, pykka.ThreadingFuture()
        )
        self._pending[request.key] = pending
        self._send([coordinator], self._router.make_query(request))
        return pending

    def _place_here(
        self, request: request_router.PlacementRequest, now: float
    ) -> PlacementResult:
        """Chooses a target from the load that this instance knows."""
        pending = PendingPlacement(request, "", pykka.ThreadingFuture())
        self._pending[request.key] = pending

        def deliver(answer: messages.PlacementAnswer) -> None:
            del self._pending[request.key]
            placement = self._router.finish_placement(
                request, answer, self._clock()
            )
            self._report_placement(request.key, self._clock())
            pending.result.set(placement)

        query = self._router.make_query(request)
        answer = self._router.chooser.answer_query(query, now)
        self._permit_exchange.settle(query, answer, deliver, now)
        if request.key in self._pending:
            return pending
        return pending.result.get(timeout=0)

    def _choose_coordinator(self, now: float) -> str:
        """Returns the address of the coordinator to ask; "" for none."""
        peers = self._router.fleet_state.peers
        if not peers.is_large_fleet or peers.is_coordinator():
            return ""
        for address in peers.coordinators():
            if self._coordinator_pauses.get(address, 0.0) <= now:
                return address
        return ""

    def _report_placement(
        self, key: str, now: float, excluded: str = ""
    ) -> None:
        update = self._router.make_placement_update(key, now)
        if update is not None:
            self._broadcast_load(update, excluded)

    def _handle_query(
        self, address: str, query: messages.PlacementQuery, now: float
    ) -> None:
        """Places a request of another instance of this zone."""

        def deliver(answer: messages.PlacementAnswer) -> None:
            self._send([address], answer)
            update = self._router.make_placement_update(
                query.key, self._clock(), query.sender
            )
            if update is not None:
                self._queue_for_other_zones(update, self._clock())

        answer = self._router.chooser.answer_query(query, now)
        self._permit_exchange.settle(query, answer, deliver, now)

    def _handle_placement_answer(
        self, answer: messages.PlacementAnswer, now: float
    ) -> None:
        pending = self._pending.get(answer.key)
        if pending is None or not pending.coordinator:
            return
        del self._pending[answer.key]
        if answer.reason == verdicts.Reason.NOT_READY.value:
            pending.result.set(self._place_elsewhere(pending))
            return
        if not self._router.may_send_to(answer, pending.request.admission, now):
            pending.result.set(self._place_here(pending.request, now))
            return
        placement = self._router.finish_placement(pending.request, answer, now)
        self._report_placement(answer.key, now, pending.coordinator)
        pending.result.set(placement)

    def record_first_token(
        self, key: str, measured_ms: float, predicted_ms: float
    ) -> None:
        """Records a first token and reports it to peers."""
        now = self._clock()
        update = self._router.record_first_token(
            key, measured_ms, predicted_ms, now
        )
        self._broadcast_load(update)

    def record_attempt_end(
        self,
        key: str,
        target: str,
        is_success: bool,
        is_target_fault: bool,
        is_silent: bool,
    ) -> None:
        """Records the end of an attempt and reports it to peers."""
        now = self._clock()
        update, is_ejected = self._router.record_attempt_end(
            key, target, is_success, is_target_fault, is_silent, now
        )
        if is_ejected:
            _log_ejection(target, is_silent, self._router.settings.name)
        self._broadcast_load(update)

    def record_request_crash(self, crash: crash_evidence.EngineCrash) -> None:
        """Records a response that broke off at its start; tells the fleet."""
        self._quarantine_exchange.record_crash(crash, self._clock())

    def record_survival(self, target: target_records.Target) -> None:
        """Records that a target lived on after it ended a connection."""
        self._quarantine_exchange.record_survival(
            target.name, target.born, self._clock()
        )

    def begin_trial(self, traits: tuple[str, ...]) -> bool:
        """Returns whether a quarantined request may be sent as a trial."""
        return self._quarantine_exchange.begin_trial(traits, self._clock())

    def record_request_proof(self, traits: tuple[str, ...]) -> None:
        """Records that a target has answered, or written on a prompt."""
        self._quarantine_exchange.record_proof(traits, self._clock())

    def restore_quarantines(
        self,
        remainders: dict[crash_evidence.Traits, request_quarantine.Remainder],
    ) -> None:
        """Applies quarantines that have outlasted the instances."""
        self._quarantine_exchange.restore(remainders, self._clock())

    def quarantine_statuses(
        self,
    ) -> dict[crash_evidence.Traits, router_status.QuarantineStatus]:
        """Returns the quarantines in force."""
        now = self._clock()
        quarantine = self._router.quarantine
        return {
            traits: router_status.QuarantineStatus(
                request_quarantine.Remainder(
                    until - now, quarantine.trials[traits].failed
                ),
                self.owns_quarantine(traits),
            )
            for traits, until in quarantine.quarantined.items()
            if until > now
        }

    def owns_quarantine(self, traits: crash_evidence.Traits) -> bool:
        """Returns whether this instance stores a quarantine for all."""
        peers = self._router.fleet_state.peers
        own = self._router.settings.address
        candidates = [own, *(peer.address for peer in peers.alive())]
        key = "\0".join(sorted(traits))
        return rendezvous.choose_owner(key, candidates) == own

    def find_target(self, name: str) -> target_records.Target | None:
        """Returns a target that this instance may connect to, by name."""
        router = self._router
        target = router.fleet_state.targets.targets.get(name)
        # The instance that sends the request has the permits.
        if target is None or router.notices.find_obstacle(
            target, (name,), self._clock()
        ):
            return None
        return target

    def tell_limit(self, target: target_records.Target) -> None:
        """Tells the fleet that the limit of a target has changed."""
        self._limit_exchange.tell(target, self._clock())

    def record_cold(
        self, target: target_records.Target, cold_seconds: float
    ) -> None:
        """Records that a target has stated for how long it stays cold."""
        self._cold_exchange.apply_answer(target, cold_seconds, self._clock())

    def mark_target_leaving(self, target: target_records.Target) -> None:
        """Records that a target is leaving, or gone from its address."""
        now = self._clock()
        self._apply_changes(
            self._router.fleet_state.mark_target_leaving(
                target.name, target.born, now
            ),
            "its answer",
        )

    def update_configuration(
        self,
        configuration: route_table.Configuration | None,
        proven_at: float,
        source: str,
    ) -> bool:
        """Applies a configuration that a source reported.

        Args:
            configuration: The newest configuration; None confirms the known
                one.
            proven_at: Time at which the configuration was the newest, in
                seconds.
            source: `STORE_SOURCE`, or the peer that reported it, for the log.

        Returns:
            Whether the configuration is newer than the known one.
        """
        router = self._router
        if configuration is None:
            router.fleet_state.configuration.confirm(
                router.fleet_state.configuration.version, proven_at
            )
            return False
        old = router.fleet_state.configuration.version
        if not router.fleet_state.update_configuration(
            configuration, proven_at
        ):
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
        self._cold_exchange.apply_configuration(configuration)
        self._on_configuration(configuration)
        empty_regions = regions.find_empty_regions(
            configuration, router.settings.regions
        )
        for restriction in empty_regions:
            _LOG.warning("region_without_zones", extra=restriction._asdict())
        if source == STORE_SOURCE:
            self._broadcast_store_changes([])
        return True

    def replace_targets(
        self,
        events: tuple[fleet_state_source.TargetEvent, ...],
        position: store_views.Position,
        source: str,
    ) -> None:
        """Replaces the list of targets by one that was read from the store."""
        state = self._router.fleet_state
        listed = [
            store_views.EntryStatement(
                event.name, event.target, _find_position(event, position)
            )
            for event in events
        ]
        was_known = state.has_target_list
        changes = state.replace_targets(listed, self._clock(), position)
        self._apply_changes(changes, source, was_known)
        self._cold_exchange.apply_entries(events, position.era, self._clock())
        self._broadcast_store_changes(changes)

    def merge_targets(
        self,
        entries: tuple[store_views.EntryStatement, ...],
        position: store_views.Position,
        complete_position: store_views.Position,
        source: str,
    ) -> None:
        """Applies the targets that a peer knows; see `FleetState`."""
        state = self._router.fleet_state
        was_known = state.has_target_list
        changes = state.merge_targets(
            entries, self._clock(), position, complete_position
        )
        self._apply_changes(changes, source, was_known)

    def apply_target_events(
        self,
        events: tuple[fleet_state_source.TargetEvent, ...],
        position: store_views.Position,
        source: str,
    ) -> None:
        """Applies changes of the list of targets, which lead to a position.

        Only the last event of each target counts: an instance that has missed
        some may know from peers that a target was removed since.
        """
        now = self._clock()
        state = self._router.fleet_state
        changes = []
        for event in {event.name: event for event in events}.values():
            changes += state.update_target(
                event.target,
                event.name,
                event.is_removed,
                now,
                _find_position(event, position),
            )
        state.complete_targets(position)
        self._apply_changes(changes, source)
        self._cold_exchange.apply_entries(events, position.era, now)
        self._broadcast_store_changes(changes)

    def confirm_targets(
        self, position: store_views.Position, complete_at: float
    ) -> None:
        """Records that the store had no newer change of the targets."""
        self._router.fleet_state.confirm_targets(position, complete_at)

    def advance_targets(self, position: store_views.Position) -> None:
        """Records that no change of the targets precedes a later position."""
        self._router.fleet_state.advance_targets(position)

    def apply_evacuations(
        self, state: evacuation.EvacuationState, source: str
    ) -> None:
        """Applies evacuated zones that the store or a peer has reported."""
        now = self._clock()
        if source == STORE_SOURCE:
            self._evacuation_exchange.apply_store_state(state, source, now)
        else:
            self._evacuation_exchange.apply_peer_state(state, source, now)

    def record_store_state(self, is_up: bool) -> None:
        """Records whether the store responded."""
        self._router.fleet_state.record_store_state(is_up, self._clock())

    def record_store_restored(self, era: int) -> None:
        """Records that the store has come back from an older copy."""
        self._router.fleet_state.record_store_restored(era, self._clock())

    def apply_settings(self, settings: relay_settings.RelaySettings) -> None:
        """Applies new settings; addresses do not change."""
        self._router.apply_settings(settings)

    def announce_shutdown(self) -> None:
        """Makes other instances take over the duties of a coordinator."""
        self._router.fleet_state.peers.resign()

    def handle_message(self, address: str, message: messages.Message) -> None:
        """Handles a message from a peer."""
        now = self._clock()
        router = self._router
        if isinstance(message, messages.FleetHeartbeat):
            news, changes = router.fleet_state.handle_heartbeat(
                address, message, now
            )
            self._apply_changes(changes, f"peer {message.sender}")
            self._evacuation_exchange.apply_peer_state(
                message.evacuations, f"peer {message.sender}", now
            )
            _log_peer(address, message.sender, news)
            self._send(
                [address], router.fleet_state.answer_heartbeat(message, now)
            )
            self._greet_peer(address, news, now)
        elif isinstance(message, messages.FleetHeartbeatAnswer):
            news = router.fleet_state.handle_heartbeat_answer(
                address, message, now
            )
            self._evacuation_exchange.apply_peer_state(
                message.evacuations, f"peer {message.sender}", now
            )
            _log_peer(address, message.sender, news)
            self._greet_peer(address, news, now)
        elif isinstance(message, messages.EvacuationNews):
            self._evacuation_exchange.apply_peer_state(
                message.state, f"peer {message.sender}", now
            )
        elif isinstance(message, messages.FleetNews):
            changes = router.fleet_state.handle_fleet_news(
                address, message, now
            )
            self._apply_changes(changes, f"peer {message.sender}")
        elif isinstance(message, messages.Forwarded):
            self._handle_forwarded(address, message, now)
        elif isinstance(message, messages.Batch):
            self._handle_batch(address, message, now)
        elif isinstance(message, messages.QuarantineNews):
            self._quarantine_exchange.handle(address, message, now)
        elif isinstance(message, messages.LimitNews):
            self._limit_exchange.handle(address, message, now)
        elif isinstance(message, messages.ColdNews):
            self._cold_exchange.handle(address, message, now)
        elif isinstance(message, messages.PermitQuery):
            self._permit_exchange.handle_query(address, message, now)
        elif isinstance(message, messages.PermitAnswer):
            self._permit_exchange.handle_answer(message, now)
        elif isinstance(message, messages.PlacementQuery):
            self._handle_query(address, message, now)
        elif isinstance(message, messages.PlacementAnswer):
            self._handle_placement_answer(message, now)
        elif isinstance(message, messages.RetryLoanQuery):
            loan = router.lend_retries(now)
            if loan is not None:
                self._send([address], loan)
        elif isinstance(message, messages.RetryLoan):
            router.accept_loan(message)
        else:
            self._handle_load(message, now)

    def _handle_load(
        self, message: messages.LoadUpdate | messages.LoadSnapshot, now: float
    ) -> None:
        """Handles the load of an instance that sent it to this one directly."""
        peers = self._router.fleet_state.peers
        is_coordinator = peers.is_large_fleet and peers.is_coordinator()
        ejected = self._router.apply_load_message(message, now, is_coordinator)
        for target in ejected:
            _log_ejection(target, False, message.sender)
        self._queue_for_other_zones(message, now)

    def _greet_peer(self, address: str, news: str, now: float) -> None:
        """Sends the running attempts to a peer that does not know them."""
        if not news:
            return
        self._quarantine_exchange.greet(address, now)
        self._limit_exchange.greet(address, now)
        self._cold_exchange.greet(address, now)
        if news != fleet_peers.BACK and self._router.is_in_first_window(now):
            query = messages.RetryLoanQuery(self._router.settings.name)
            self._send([address], query)
        peers = self._router.fleet_state.peers
        if (
            not peers.is_large_fleet
            or address in self._router.fleet_state.load_recipients()
        ):
            self._send([address], self._router.snapshot(now))

    def tick(self) -> None:
        """Runs the periodic work that is due.

        Drops expired state and sends heartbeats, snapshots and batches.
        """
        now = self._clock()
        router = self._router
        self._update_unix_offset()
        expired = router.expire(now)
        self._apply_changes(expired, "expiry")
        self._permit_exchange.expire(now)
        if expired and router.fleet_state.is_watcher():
            self._broadcast_store_changes(expired)
        if now >= self._next_heartbeat:
            interval = HEARTBEAT_INTERVAL_SECONDS
            if now < self._started_at + START_SECONDS:
                interval = STARTUP_HEARTBEAT_INTERVAL_SECONDS
            self._next_heartbeat = now + interval
            heartbeat = router.fleet_state.heartbeat(now)
            self._send(
                router.fleet_state.peers.choose_heartbeat_recipients(
                    now, router.rng
                ),
                heartbeat,
            )
        if now >= self._next_snapshot:
            interval = SNAPSHOT_INTERVAL_SECONDS
            if router.fleet_state.peers.is_large_fleet:
                interval = LARGE_FLEET_SNAPSHOT_INTERVAL_SECONDS
            self._next_snapshot = now + interval * router.rng.uniform(0.8, 1.2)
            self._broadcast_load(router.snapshot(now))
            self._quarantine_exchange.refresh(now)
            self._limit_exchange.refresh(now)
            self._cold_exchange.refresh(now)
        recipients = router.fleet_state.load_recipients()
        new = [a for a in recipients if a not in self._load_recipients]
        if new and router.fleet_state.peers.is_large_fleet:
            self._send(new, router.snapshot(now))
        self._load_recipients = recipients
        self._send_batches(now)
        self._log_suspects(now)
        self._evacuation_exchange.log_unknown_zones()
        self._cold_exchange.tick(now)

    def _update_unix_offset(self) -> None:
        """Follows steps of Unix time, in which starts of targets are stated."""
        cold = self._router.notices.cold
        cold.unix_offset = self._unix_clock() - self._clock()

    def _log_suspects(self, now: float) -> None:
        """Logs how targets' speeds have changed since the last call."""
        speeds = self._router.health.speeds.known(now)
        self._greatest_slowness = max(
            (speed.slowness for speed in speeds.values()), default=1.0
        )
        for change in self._speed_changes.update(speeds, now):
            is_warning = change.event in (
                speed_changes.SLOW,
                speed_changes.STRAINED,
            )
            _LOG.log(
                logging.WARNING if is_warning else logging.INFO,
                change.event,
                extra={
                    "target": change.target,
                    **speed_changes.describe(change.speed),
                },
            )

    def peer_state(self, known_version: int = -1) -> router_status.PeerState:
        """Returns the state that another instance fetches from this one.

        Args:
            known_version: Configuration version that the peer has; -1 for none.
        """
        router = self._router
        table = router.fleet_state.configuration.table
        is_newer = table and table.configuration.version > known_version
        age = self._clock() - router.fleet_state.configuration.proven_at
        return router_status.PeerState(
            router.fleet_state.configuration.version,
            table.configuration if is_newer else None,
            age,
            router.fleet_state.targets.describe(),
            router.fleet_state.targets_position,
            router.fleet_state.targets.order.complete_position,
            router.fleet_state.evacuations.state,
        )

    def status(self) -> router_status.RouterStatus:
        """Returns the status, for readiness checks and background threads."""
        router = self._router
        now = self._clock()
        return router_status.RouterStatus(
            router.fleet_state.is_ready(now),
            router.fleet_state.configuration.version,
            now - router.fleet_state.configuration.proven_at,
            router.fleet_state.is_proof_holder(),
            router.fleet_state.has_target_list,
            tuple(
                target_paths.PeerAddress(peer.address, peer.availability_zone)
                for peer in router.fleet_state.peers.alive()
            ),
            sum(len(owned) for owned in router.load.by_owner.values()),
            router.fleet_state.newest_peer_version,
            router.fleet_state.is_watcher(),
            router.fleet_state.newer_peer,
            len(self._speed_changes.slow),
            len(self._speed_changes.strained),
            self._greatest_slowness,
            now - router.fleet_state.targets_complete_at,
            router.fleet_state.newest_targets_position,
            self._cold_exchange.count,
        )

    def retry_usage(self) -> dict[str, service_retry_budget.BudgetUsage]:
        """Returns how much of the retry budget of each service is used."""
        return self._router.retry_usage(self._clock())

    def clear_newer_peer(self, address: str) -> None:
        """Clears `newer_peer` after that peer has been asked for its state."""
        if self._router.fleet_state.newer_peer == address:
            self._router.fleet_state.newer_peer = ""

    def _apply_changes(
        self,
        changes: list[store_views.TargetChange],
        source: str,
        were_known: bool = True,
    ) -> None:
        """Applies changes of the targets to what depends on them.

        Args:
            changes: The changes.
            source: Who reported them.
            were_known: Whether other targets were known before, so that new
                ones have just started.
        """
        if were_known:
            self._cold_exchange.apply_changes(changes, self._clock())
        self._router.drop_removed_targets(changes)
        self._quarantine_exchange.apply_changes(changes, self._clock())
        _log_changes(changes, source, self._router.fleet_state.targets.order)

    def _broadcast_load(
        self,
        update: messages.LoadUpdate | messages.LoadSnapshot | None,
        excluded: str = "",
    ) -> None:
        """Sends a change of this instance's attempts to those who need it.

        Args:
            update: The change; None for none.
            excluded: Address of a peer that knows the change already.
        """
        if update is None:
            return
        recipients = self._router.fleet_state.load_recipients()
        self._send([a for a in recipients if a != excluded], update)
        self._queue_for_other_zones(update, self._clock())

    def _queue_for_other_zones(
        self,
        update: messages.LoadUpdate | messages.LoadSnapshot,
        now: float,
    ) -> None:
        """Queues load of this zone for the coordinators of other zones."""
        peers = self._router.fleet_state.peers
        if peers.is_large_fleet and (
            peers.coordinators()[0] == self._router.settings.address
        ):
            self._load_batch.add(messages.encode(update), now)
            self._send_batches(now)

    def _broadcast_store_changes(
        self, changes: list[store_views.TargetChange]
    ) -> None:
        """Sends the configuration version and changed targets to peers."""
        router = self._router
        order = router.fleet_state.targets.order
        entries = [
            store_views.EntryStatement(
                change.target.name,
                None
                if change.event in store_views.REMOVAL_EVENTS
                else change.target,
                order.find(change.target.name),
            )
            for change in changes
        ]
        direct_addresses, gateways = router.fleet_state.broadcast_recipients()
        for start in range(0, max(1, len(entries)), MAX_TARGETS_PER_MESSAGE):
            end = start + MAX_TARGETS_PER_MESSAGE
            news = messages.FleetNews(
                router.settings.name,
                router.fleet_state.configuration.version,
                tuple(entries[start:end]),
                router.fleet_state.targets_position,
            )
            self._send(direct_addresses, news)
        if gateways and not changes:
            # Each zone has its own watchers, but they may be cut off from the
            # store, so a new configuration version is sent to them too.
            self._send(gateways, news)

    def _handle_forwarded(
        self, address: str, message: messages.Forwarded, now: float
    ) -> None:
        """Handles a message from another zone; queues it for this zone."""
        if self._handle_inner(address, message.content, now):
            self._zone_batch.add(message.content, now)
            self._send_batches(now)

    def _send_batches(self, now: float) -> None:
        """Sends the queued messages that are due."""
        peers = self._router.fleet_state.peers
        for batch in self._zone_batch.take_due(now):
            self._send([peer.address for peer in peers.zone_peers()], batch)
        for batch in self._load_batch.take_due(now):
            self._send(peers.gateways(), batch)

    def _handle_batch(
        self, address: str, batch: messages.Batch, now: float
    ) -> None:
        """Handles messages that a coordinator or a gateway collected.

        Load from another zone is passed on to the other coordinators of this
        one.
        """
        for content in batch.contents:
            self._handle_inner(address, content, now)
        state = self._router.fleet_state
        sender = state.peers.peers.get(address)
        if (
            sender is not None
            and sender.availability_zone != state.peers.own_zone
            and state.peers.is_coordinator()
        ):
            self._send(state.load_recipients(), batch)

    def _handle_inner(self, address: str, content: bytes, now: float) -> bool:
        """Handles a message inside another; returns whether it is valid."""
        try:
            inner = messages.decode(content)
        except errors.FrameError as error:
            _LOG.info("message_unreadable", extra={"reason": str(error)})
            return False
        if isinstance(inner, (messages.Forwarded, messages.Batch)):
            return False
        if isinstance(inner, (messages.LoadUpdate, messages.LoadSnapshot)):
            self._router.apply_load_message(inner, now)
        else:
            self.handle_message(address, inner)
        return True


def _find_position(
    event: fleet_state_source.TargetEvent, position: store_views.Position
) -> store_views.Position:
    """Returns the position of an entry; that of its source if not stated."""
    if event.revision < 0:
        return position
    return position._replace(revision=event.revision)


def _log_changes(
    changes: list[store_views.TargetChange],
    source: str,
    order: store_views.EntryOrder,
) -> None:
    for change in changes:
        _LOG.info(
            change.event,
            extra={
                "target": change.target.name,
                "service": change.target.service,
                "address": change.target.address,
                "born": change.target.born,
                "source": source,
                "position": order.find(change.target.name),
            },
        )


def _log_ejection(target: str, is_silent: bool, reporter: str) -> None:
    _LOG.warning(
        "target_ejected",
        extra={
            "target": target,
            "is_silent": is_silent,
            "reporter": reporter,
        },
    )


def _log_peer(address: str, name: str, news: str) -> None:
    if news:
        event = f"peer_{news}"
        _LOG.info(event, extra={"peer": name, "peer_address": address})
