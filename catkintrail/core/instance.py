"""The state machine of one instance; uses no clock, socket or thread."""

import random
from typing import Callable, NamedTuple

from catkintrail import errors
from catkintrail import messages
from catkintrail import objects
from catkintrail import verdict as verdicts
from catkintrail.core import configuration
from catkintrail.core import directory as directories
from catkintrail.core import dispatch as dispatches
from catkintrail.core import limit_coordinators
from catkintrail.core import limit_gate
from catkintrail.core import membership as memberships
from catkintrail.core import pool as pools
from catkintrail.core import pool_owner
from catkintrail.core import publication
from catkintrail.core import reclamation
from catkintrail.core import rendezvous
from catkintrail.core import reservation
from catkintrail.ports import platform as platform_port
from catkintrail.ports import targets as targets_port

__all__ = ["Instance", "Outputs", "TargetCleanup"]

WATCHERS_PER_ZONE = 2
SUMMARY_INTERVAL_SECONDS = 1.0
GOSSIP_FANOUT = 4
MAX_VERSION_MISMATCHES = 1_000


class TargetCleanup(NamedTuple):
    """A reservation to free on an engine.

    Attributes:
        address: Address of the engine (`IP:port`).
        reservation_id: The reservation.
        cancel: Whether the request that uses the reservation has to be
            cancelled first.
    """

    address: str
    reservation_id: str
    cancel: bool


class Outputs(NamedTuple):
    """The effects that the caller of an Instance has to carry out.

    Attributes:
        sends: Messages for peers.
        events: Events for the threads that serve requests.
        cleanups: Reservations to free on engines.
    """

    sends: list[memberships.Send]
    events: list[dispatches.DispatchResult]
    cleanups: list[TargetCleanup]


class Instance:
    """The components of one instance, and the messages between them.

    Methods that handle an event take the monotonic time in seconds and return
    Outputs.

    Attributes:
        membership: View of the other instances.
        configuration: The configuration in force.
        directory: The zone's targets and the owners of its pools.
        owned_pools: Opens and closes the pools that this instance owns.
        pools: The pools that this instance owns.
        dispatch: Requests that this instance is placing.
        limit_coordinators: Rate limits that this instance accounts for.
        limit_gate: Rate limit checks of this instance's requests.
        reclamation: Finds unclaimed reservations on owned engines.
        reservations: Reservations of engine memory that this instance claims.
        is_draining: Whether new requests are refused.
        version_mismatches: Reports of engines that have loaded another version
            than their model's object wants, by target.
        refused_frames: Number of messages that were refused as invalid.
    """

    def __init__(
        self,
        own_record: messages.MemberRecord,
        seeds: tuple[str, ...],
        rng: random.Random,
        now: float,
    ) -> None:
        self.membership = memberships.Membership(own_record, seeds, rng, now)
        self.configuration = configuration.Configuration()
        self.directory = directories.Directory(own_record.zone, self.membership)
        self.owned_pools = pool_owner.OwnedPools(
            self.membership, self.configuration, self.directory
        )
        self.pools = self.owned_pools.pools
        self.dispatch = dispatches.Dispatch(self.directory)
        self.limit_coordinators = limit_coordinators.LimitCoordinators(
            self.membership
        )
        self.limit_gate = limit_gate.LimitGate(
            self.limit_coordinators, self.dispatch, self.configuration
        )
        self.reclamation = reclamation.Reclamation()
        self.reservations = reservation.ReservationRegistry()
        self.is_draining = False
        self.version_mismatches: dict[str, messages.Misplaced] = {}
        self.refused_frames = 0
        self._cleanups: list[TargetCleanup] = []
        self._next_summary = now
        self._handlers = self._make_handlers()

    # Local calls.

    def tick(self, now: float) -> Outputs:
        """Does periodic work; called about ten times a second."""
        sends = self.membership.tick(now)
        outgoing = self.dispatch.tick(now)
        outgoing += self.limit_coordinators.tick(self._organisations(), now)
        outgoing += self.limit_gate.tick(now)
        if now >= self._next_summary:
            self._next_summary = now + SUMMARY_INTERVAL_SECONDS
            outgoing += self.owned_pools.summaries(now)
            for pool in self.pools.values():
                pool.expire_grants(now)
        return self._finish_event(sends, outgoing, now)

    def submit(
        self, dispatch_request: dispatches.DispatchRequest, now: float
    ) -> Outputs:
        """Checks a new request against its rate limit, then places it."""
        return self._finish_event(
            [], self.limit_gate.submit(dispatch_request, now), now
        )

    def resubmit(
        self, dispatch_request: dispatches.DispatchRequest, now: float
    ) -> Outputs:
        """Places a request again after a failed attempt.

        The rate limit is not charged a second time.
        """
        return self._finish_event(
            [], self.dispatch.submit(dispatch_request, now), now
        )

    def finish(
        self,
        request_id: str,
        done: messages.Released | None,
        now: float,
    ) -> Outputs:
        """Ends a request on this instance.

        Args:
            request_id: The request.
            done: Release of the request's grant, sent to the pool's owner;
                None to withdraw the request there.
            now: Monotonic time in seconds.
        """
        self.limit_gate.withdraw(request_id)
        outgoing = self.dispatch.finish(request_id, done)
        return self._finish_event([], outgoing, now)

    def record_first_token(self, request_id: str, now: float) -> Outputs:
        """Records that the first token of a request has arrived."""
        return self._finish_event(
            [], self.dispatch.record_first_token(request_id), now
        )

    def apply_snapshot(
        self, snapshot: publication.Snapshot, now: float
    ) -> Outputs:
        """Applies a configuration read from the store."""
        self.configuration.apply_snapshot(snapshot)
        return self._finish_event([], [], now)

    def apply_target_list(
        self, listing: platform_port.TargetListing, now: float
    ) -> Outputs:
        """Applies the platform's list of targets."""
        self.directory.update_listing(listing.revision, listing.targets)
        return self._finish_event([], [], now)

    def process_load_report(
        self,
        key: pools.PoolKey,
        answer: targets_port.LoadAnswer,
        now: float,
    ) -> Outputs:
        """Processes the load report of an owned target.

        Args:
            key: The pool of the target.
            answer: The target's load, reservations, cache events and version.
            now: Monotonic time in seconds.
        """
        outgoing: list[configuration.Outgoing] = []
        pool = self.pools.get(key)
        if pool is None:
            return self._finish_event([], [], now)
        report = answer.report
        if pool.apply_load_report(report, now):
            gone = messages.TargetGone(report.target, report.incarnation)
            outgoing += self._broadcast_target_gone(gone)
        pool.apply_cache_events(report.target, answer.events, now)
        outgoing += self._sweep_reservations(
            pool, report.target, answer.reservations, now
        )
        outgoing += self._check_model_version(
            pool, report.target, answer.version
        )
        return self._finish_event([], outgoing, now)

    def drain(self, now: float) -> Outputs:
        """Refuses new requests and leaves, so that others own the pools."""
        self.is_draining = True
        sends = self.membership.leave(now)
        return self._finish_event(sends, [], now)

    def disconnected(self, address: str, now: float) -> Outputs:
        """Handles a broken stream to the peer at an address."""
        self.membership.on_disconnect(address, now)
        return self._finish_event([], [], now)

    # Queries.

    def is_ready(self) -> bool:
        """Returns whether this instance may serve callers."""
        return self.configuration.is_confirmed and not self.is_draining

    def is_watcher(self) -> bool:
        """Returns whether this instance watches the store for its zone."""
        own_record = self.membership.own_record
        names = self.membership.usable_instances(own_record.zone)
        watchers = rendezvous.rank_owners("watch", names, WATCHERS_PER_ZONE)
        return own_record.name in watchers or not names

    def order_lease_candidate(self) -> str | None:
        """Returns the instance that should hold the zone's lease for orders.

        Returns:
            Its name; None where the zone has no usable instance.
        """
        names = self.membership.usable_instances(
            self.membership.own_record.zone
        )
        return rendezvous.choose_owner("orders", names)

    def polled_targets(
        self,
    ) -> list[tuple[pools.PoolKey, messages.TargetRecord, bool]]:
        """Returns the targets whose load this instance polls.

        Returns:
            For each owned target its pool, its record and whether to read its
            cache events.
        """
        models = self.configuration.snapshot.objects.models
        return [
            (key, state.record, _reports_cache_events(models.get(key.serves)))
            for key, pool in self.pools.items()
            for state in pool.targets.values()
        ]

    def holder_state(self, name: str) -> reclamation.HolderState:
        """Returns the membership state of a holder of engine memory."""
        if self.membership.is_usable(name):
            return reclamation.HolderState.LIVE
        if name == self.membership.own_record.name:
            return reclamation.HolderState.LEAVING
        member = self.membership.members.get(name)
        if member and member.record.status == memberships.LEFT:
            return reclamation.HolderState.LEAVING
        return reclamation.HolderState.GONE

    # Messages.

    def receive(
        self,
        sender: messages.MemberRecord,
        message: messages.Message,
        now: float,
    ) -> Outputs:
        """Handles a message from an authenticated peer.

        Args:
            sender: Record of the peer, as authenticated.
            message: The message.
            now: Monotonic time in seconds.
        """
        if sender.name not in self.membership.members:
            self.membership.on_contact(sender, now)
        try:
            sends, outgoing = self._handle(sender, message, now)
        except (errors.FrameError, errors.CheckError):
            self.refused_frames += 1
            sends, outgoing = [], []
        return self._finish_event(sends, outgoing, now)

    def _handle(
        self,
        sender: messages.MemberRecord,
        message: messages.Message,
        now: float,
    ) -> tuple[list[memberships.Send], list[configuration.Outgoing]]:
        if isinstance(message, messages.Ping):
            sends = self.membership.on_ping(sender.name, message, now)
            return sends, self._request_newer_state(sender, message, now)
        if isinstance(message, messages.Ack):
            sends = self.membership.on_ack(sender.name, message, now)
            return sends, self._request_newer_state(sender, message, now)
        if isinstance(message, messages.Members):
            sends = self.membership.on_members(sender.address, message, now)
            return sends, []
        handler = self._handlers[type(message)]
        return [], handler(sender.name, message, now) or []

    def _make_handlers(self) -> dict[type, Callable]:
        dispatch = self.dispatch
        return {
            messages.TargetListRequest: self._on_target_list_request,
            messages.TargetList: self._on_target_list,
            messages.TargetGone: self._on_target_gone,
            messages.Acquire: self._on_acquire,
            messages.Granted: lambda s, m, now: dispatch.handle_granted(s, m),
            messages.Queued: lambda s, m, now: dispatch.handle_queued(s, m),
            messages.Declined: lambda s, m, now: dispatch.handle_declined(s, m),
            messages.Redirected: dispatch.handle_redirected,
            messages.Started: self._on_started,
            messages.Released: self._on_released,
            messages.Withdraw: self._on_withdraw,
            messages.PoolSummary: self._on_pool_summary,
            messages.LimitAsk: self._on_limit_ask,
            messages.LimitAnswer: self._on_limit_answer,
            messages.ZoneClaims: self.limit_coordinators.receive_claims,
            messages.HoldingsQuery: self._on_holdings_query,
            messages.HoldingsClaimed: self._on_holdings_claimed,
            messages.ConfigRequest: self._on_config_request,
            messages.ConfigHead: self._on_config_head,
            messages.PartRequest: self._on_part_request,
            messages.Part: self._on_part,
            messages.Misplaced: self._on_misplaced,
        }

    def _request_newer_state(
        self,
        sender: messages.MemberRecord,
        heartbeat: messages.Ping | messages.Ack,
        now: float,
    ) -> list[configuration.Outgoing]:
        outgoing = self.configuration.note_generation(
            sender.name, heartbeat.generation, now
        )
        if (
            sender.zone == self.membership.own_record.zone
            and heartbeat.targets_revision > self.directory.listing.revision
        ):
            request = messages.TargetListRequest()
            outgoing.append(configuration.Outgoing(sender.name, request))
        if not self.configuration.is_confirmed and not outgoing:
            request = messages.ConfigRequest()
            outgoing.append(configuration.Outgoing(sender.name, request))
        return outgoing

    def _on_target_list_request(
        self, sender: str, message: messages.TargetListRequest, now: float
    ) -> list[configuration.Outgoing]:
        del message, now
        listing = self.directory.listing
        answer = messages.TargetList(listing.revision, listing.targets)
        return [configuration.Outgoing(sender, answer)]

    def _on_target_list(
        self, sender: str, message: messages.TargetList, now: float
    ) -> None:
        del sender, now
        self.directory.update_listing(message.revision, message.targets)

    def _on_target_gone(
        self, sender: str, message: messages.TargetGone, now: float
    ) -> list[configuration.Outgoing]:
        del sender, now
        return self._broadcast_target_gone(message)

    def _on_acquire(
        self, sender: str, message: messages.Acquire, now: float
    ) -> list[configuration.Outgoing]:
        key = pools.PoolKey(message.serves, message.zone, message.shard)
        pool = self.owned_pools.find_or_open(key, now)
        if pool is None:
            declined = messages.Declined(
                message.request_id,
                verdicts.Reason.NO_TARGET.value,
                f"this instance does not know {message.serves}",
                1.0,
            )
            return [configuration.Outgoing(sender, declined)]
        replies = pool.acquire(message, sender, now)
        return [configuration.Outgoing(r.entry, r.message) for r in replies]

    def _on_started(
        self, sender: str, message: messages.Started, now: float
    ) -> None:
        del sender
        for pool in self.pools.values():
            if message.request_id in pool.grants:
                pool.start(message.request_id, now)

    def _on_released(
        self, sender: str, message: messages.Released, now: float
    ) -> list[configuration.Outgoing]:
        del sender
        for pool in self.pools.values():
            if message.target in pool.targets and pool.release(message, now):
                incarnation = pool.leaving_incarnations[message.target]
                gone = messages.TargetGone(message.target, incarnation)
                return self._broadcast_target_gone(gone)
        return []

    def _on_withdraw(
        self, sender: str, message: messages.Withdraw, now: float
    ) -> None:
        del sender
        for pool in self.pools.values():
            pool.withdraw(message.request_id, now)

    def _on_pool_summary(
        self, sender: str, message: messages.PoolSummary, now: float
    ) -> None:
        del sender
        for key, pool in self.pools.items():
            is_own_pool = (key.zone, key.shard) == (message.zone, message.shard)
            if key.serves == message.serves and not is_own_pool:
                pool.store_summary(message, now)

    def _on_limit_ask(
        self, sender: str, message: messages.LimitAsk, now: float
    ) -> list[configuration.Outgoing]:
        organisation = self._organisations().get(message.organisation)
        if organisation is None or not limit_gate.is_limited(organisation):
            answer = messages.LimitAnswer(message.request_id, True, 0.0)
        else:
            answer = self.limit_coordinators.ask(message, organisation, now)
        return [configuration.Outgoing(sender, answer)]

    def _on_limit_answer(
        self, sender: str, message: messages.LimitAnswer, now: float
    ) -> list[configuration.Outgoing]:
        del sender
        return self.limit_gate.answer(message, now)

    def _on_holdings_query(
        self, sender: str, message: messages.HoldingsQuery, now: float
    ) -> list[configuration.Outgoing]:
        del now
        return [
            configuration.Outgoing(
                sender, self.reservations.answer_query(message)
            )
        ]

    def _on_holdings_claimed(
        self, sender: str, message: messages.HoldingsClaimed, now: float
    ) -> None:
        del sender
        self.reclamation.record_claims(message, now)

    def _on_config_request(
        self, sender: str, message: messages.ConfigRequest, now: float
    ) -> list[configuration.Outgoing]:
        del message, now
        if not self.configuration.is_confirmed:
            return []
        return self.configuration.answer_head_request(sender)

    def _on_config_head(
        self, sender: str, message: messages.ConfigHead, now: float
    ) -> list[configuration.Outgoing]:
        return self.configuration.receive_head(sender, message, now)

    def _on_part_request(
        self, sender: str, message: messages.PartRequest, now: float
    ) -> list[configuration.Outgoing]:
        del now
        return self.configuration.answer_part_request(sender, message)

    def _on_part(
        self, sender: str, message: messages.Part, now: float
    ) -> list[configuration.Outgoing]:
        outgoing, _ = self.configuration.receive_part(sender, message, now)
        return outgoing

    # Steps after every event.

    def _finish_event(
        self,
        sends: list[memberships.Send],
        outgoing: list[configuration.Outgoing],
        now: float,
    ) -> Outputs:
        """Updates all components and collects the outputs of an event.

        Messages to this instance itself are handled at once; all others are
        addressed by the receiver's address in place of its name.
        """
        sends = list(sends)
        sends += self._announce_versions()
        outgoing = list(outgoing)
        if self.owned_pools.update(now):
            self.limit_coordinators.set_zones(self.membership.zones())
        own_record = self.membership.own_record
        while True:
            if not outgoing:
                outgoing = self.owned_pools.poll(now)
                if not outgoing:
                    break
            name, message = outgoing.pop(0)
            if name == own_record.name:
                more_sends, more = self._handle(own_record, message, now)
                sends += more_sends
                outgoing += more
                continue
            address = self.membership.address_of(name)
            if address is not None:
                sends.append(memberships.Send(address, message))
        cleanups = self._cleanups
        self._cleanups = []
        return Outputs(sends, self.dispatch.pop_events(), cleanups)

    def _announce_versions(self) -> list[memberships.Send]:
        """Announces a newer configuration or target list to some peers."""
        generation = self.configuration.generation()
        revision = self.directory.listing.revision
        membership = self.membership
        if (generation, revision) == (
            membership.generation,
            membership.targets_revision,
        ):
            return []
        membership.generation = generation
        membership.targets_revision = revision
        probed_peers = membership.probed_peers()
        chosen = membership.rng.sample(
            probed_peers, min(GOSSIP_FANOUT, len(probed_peers))
        )
        return [
            memberships.Send(
                membership.address_of(name),
                messages.Ping(0, membership.view_hash(), generation, revision),
            )
            for name in chosen
        ]

    def _broadcast_target_gone(
        self, gone: messages.TargetGone
    ) -> list[configuration.Outgoing]:
        """Marks a target as leaving and tells the probed peers of the zone.

        Does nothing where the target is known to be leaving already.
        """
        if not self.directory.mark_target_gone(gone.name, gone.incarnation):
            return []
        for pool in self.pools.values():
            pool.mark_leaving(gone.name, gone.incarnation)
        own_record = self.membership.own_record
        return [
            configuration.Outgoing(name, gone)
            for name in self.membership.probed_peers()
            if self.membership.members[name].record.zone == own_record.zone
        ]

    def _sweep_reservations(
        self,
        pool: pools.Pool,
        target: str,
        records: tuple[targets_port.ReservationRecord, ...],
        now: float,
    ) -> list[configuration.Outgoing]:
        plan = self.reclamation.observe(target, records, self.holder_state, now)
        state = pool.targets.get(target)
        if state is None:
            return []
        address = state.record.address
        for reservation_id in plan.free:
            self._cleanups.append(TargetCleanup(address, reservation_id, False))
        for reservation_id in plan.cancel:
            self._cleanups.append(TargetCleanup(address, reservation_id, True))
        return [
            configuration.Outgoing(holder, query) for holder, query in plan.ask
        ]

    def _check_model_version(
        self, pool: pools.Pool, target: str, version: str
    ) -> list[configuration.Outgoing]:
        """Reports an engine with an unwanted version to the order holder."""
        models = self.configuration.snapshot.objects.models
        model = models.get(pool.key.serves)
        state = pool.targets.get(target)
        holder = self.order_lease_candidate()
        if model is None or state is None or holder is None:
            return []
        if not model.wanted_version or version == model.wanted_version:
            return []
        message = messages.Misplaced(
            target, state.record.address, pool.key.serves
        )
        return [configuration.Outgoing(holder, message)]

    def _on_misplaced(
        self, sender: str, message: messages.Misplaced, now: float
    ) -> None:
        del sender, now
        if len(self.version_mismatches) < MAX_VERSION_MISMATCHES:
            self.version_mismatches[message.target] = message

    # Configured objects.

    def _organisations(self) -> dict[str, objects.Organisation]:
        return self.configuration.snapshot.objects.organisations


def _reports_cache_events(model: objects.Model | None) -> bool:
    return model is not None and model.cache_events
