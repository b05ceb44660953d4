"""Pykka actors that run the core, free reservations and write records.

The core is not thread-safe; only `ControlActor` calls its methods that change
state.
"""

import logging
import queue
import threading
import time
from typing import Callable, NamedTuple

import pykka

from catkintrail import errors
from catkintrail import messages
from catkintrail.adapters import metrics as metrics_module
from catkintrail.adapters import target_client
from catkintrail.core import dispatch
from catkintrail.core import idempotency
from catkintrail.core import instance as instances
from catkintrail.core import pool as pools
from catkintrail.core import publication
from catkintrail.ports import platform as platform_port
from catkintrail.ports import targets as targets_port

__all__ = [
    "CleanupActor",
    "ControlActor",
    "ControlClient",
    "Disconnected",
    "Drain",
    "Finished",
    "IdempotencyRecordActor",
    "LoadTaken",
    "Received",
    "SnapshotTaken",
    "Started",
    "Submit",
    "TargetsTaken",
    "Tick",
]

_LOG = logging.getLogger("catkintrail.control")

TICK_SECONDS = 0.05
MAX_PENDING_RECORDS = 10_000


class Tick(NamedTuple):
    """Runs the periodic work that is due."""


class Received(NamedTuple):
    """A message that arrived from a peer."""

    sender: messages.MemberRecord
    message: messages.Message


class Disconnected(NamedTuple):
    """The stream to a peer was lost."""

    address: str


class Submit(NamedTuple):
    """A request to place on a target.

    Attributes:
        dispatch_request: The request.
        events: Queue that receives the grant or refusal.
        is_retry: Whether an earlier attempt failed; rate limits are then not
            charged again.
    """

    dispatch_request: dispatch.DispatchRequest
    events: "queue.SimpleQueue[dispatch.DispatchResult]"
    is_retry: bool


class Started(NamedTuple):
    """The first token of a request arrived."""

    request_id: str


class Finished(NamedTuple):
    """A request ended on this instance.

    Attributes:
        request_id: The request.
        done: Release message for the pool's owner; None sends a withdrawal.
    """

    request_id: str
    done: messages.Released | None


class SnapshotTaken(NamedTuple):
    """A configuration that was read from the store."""

    snapshot: publication.Snapshot


class TargetsTaken(NamedTuple):
    """A list of targets that was read from the platform."""

    listing: platform_port.TargetListing


class LoadTaken(NamedTuple):
    """A load report that was read from a target."""

    key: pools.PoolKey
    answer: targets_port.LoadAnswer


class Drain(NamedTuple):
    """Stops the acceptance of new requests."""


class ControlActor(pykka.ThreadingActor):
    """Runs the core of one instance; handles one message at a time.

    Attributes:
        instance: The core.
        send: Sends a message to a peer's address.
        free_reservation: Frees an abandoned reservation on an engine.
        event_queues: Queue for the grant or refusal, by request id.
    """

    use_daemon_thread = True

    def __init__(
        self,
        instance: instances.Instance,
        send: Callable[[str, messages.Message], None],
        free_reservation: Callable[[instances.TargetCleanup], None],
    ) -> None:
        super().__init__()
        self.instance = instance
        self.send = send
        self.free_reservation = free_reservation
        self.event_queues: dict[str, queue.SimpleQueue] = {}

    def on_receive(self, message: NamedTuple) -> None:
        """Passes a message to the core and applies the outputs."""
        try:
            outputs = self._apply(message, time.monotonic())
        except Exception:  # pylint: disable=broad-exception-caught
            # An error in one message must not stop the actor.
            _LOG.exception(
                "control failed", extra={"kind": type(message).__name__}
            )
            return
        for address, content in outputs.sends:
            self.send(address, content)
        for event in outputs.events:
            events = self.event_queues.pop(event.request_id, None)
            if events is not None:
                events.put(event)
        for cleanup in outputs.cleanups:
            self.free_reservation(cleanup)

    def _apply(self, message: NamedTuple, now: float) -> instances.Outputs:
        core = self.instance
        match message:
            case Tick():
                return core.tick(now)
            case Received():
                return core.receive(message.sender, message.message, now)
            case Submit():
                self.event_queues[message.dispatch_request.request_id] = (
                    message.events
                )
                if message.is_retry:
                    return core.resubmit(message.dispatch_request, now)
                return core.submit(message.dispatch_request, now)
            case Started():
                return core.record_first_token(message.request_id, now)
            case Finished():
                self.event_queues.pop(message.request_id, None)
                return core.finish(message.request_id, message.done, now)
            case LoadTaken():
                return core.process_load_report(
                    message.key, message.answer, now
                )
            case SnapshotTaken():
                return core.apply_snapshot(message.snapshot, now)
            case TargetsTaken():
                return core.apply_target_list(message.listing, now)
            case Disconnected():
                return core.disconnected(message.address, now)
            case Drain():
                return core.drain(now)
        raise TypeError(f"unknown message {type(message).__name__}")


class ControlClient:
    """Interface of the control actor for other threads.

    Sends the actor a `Tick` every TICK_SECONDS.

    Attributes:
        instance: The core; other threads may only read single attributes.
        actor_ref: Reference to the actor.
    """

    def __init__(
        self, instance: instances.Instance, actor_ref: pykka.ActorRef
    ) -> None:
        self.instance = instance
        self.actor_ref = actor_ref
        self._stop = threading.Event()
        self._ticker = threading.Thread(
            target=self._tick, name="ticker", daemon=True
        )
        self._ticker.start()

    def tell(self, message: NamedTuple) -> None:
        """Sends a message to the actor without waiting for a result."""
        try:
            self.actor_ref.tell(message)
        except pykka.ActorDeadError:
            # The actor stops only when the process shuts down.
            pass

    def snapshot(self) -> publication.Snapshot:
        """Returns the configuration in force."""
        return self.instance.configuration.snapshot

    def place(
        self, dispatch_request: dispatch.DispatchRequest, is_retry: bool
    ) -> dispatch.DispatchResult | None:
        """Places a request and waits for the result.

        Args:
            dispatch_request: The request.
            is_retry: Whether an earlier attempt failed; rate limits are then
                not charged again.

        Returns:
            The grant or refusal; None if the deadline passed first.
        """
        events: queue.SimpleQueue[dispatch.DispatchResult] = queue.SimpleQueue()
        self.tell(Submit(dispatch_request, events, is_retry))
        try:
            timeout = max(0.0, dispatch_request.deadline - time.monotonic())
            return events.get(timeout=timeout)
        except queue.Empty:
            self.tell(Finished(dispatch_request.request_id, None))
            return None

    def record_first_token(self, request_id: str) -> None:
        """Reports the first token of a request."""
        self.tell(Started(request_id))

    def finish(self, request_id: str, done: messages.Released | None) -> None:
        """Reports the end of a request.

        Args:
            request_id: The request.
            done: Release message for the pool's owner; None sends a withdrawal.
        """
        self.tell(Finished(request_id, done))

    def stop(self) -> None:
        """Stops the ticks and the actor."""
        self._stop.set()
        self._ticker.join(1)
        self.actor_ref.stop(block=False)

    def _tick(self) -> None:
        while not self._stop.wait(TICK_SECONDS):
            self.tell(Tick())


class CleanupActor(pykka.ThreadingActor):
    """Frees abandoned reservations on engines."""

    use_daemon_thread = True

    def __init__(
        self,
        engines: target_client.TargetClient,
        metrics: metrics_module.Metrics,
    ) -> None:
        super().__init__()
        self.engines = engines
        self.metrics = metrics

    def on_receive(self, message: instances.TargetCleanup) -> None:
        """Frees one reservation; after a failure the next sweep retries it."""
        try:
            self.engines.free(
                message.address, message.reservation_id, message.cancel
            )
        except errors.TargetError as error:
            _LOG.warning(
                "cleanup failed",
                extra={
                    "reservation_id": message.reservation_id,
                    "error": str(error),
                },
            )
            return
        self.metrics.increment("catkintrail_cleanups_total", {})
        _LOG.info(
            "reservation freed",
            extra={"reservation_id": message.reservation_id},
        )


class _PendingRecord(NamedTuple):
    """An idempotency record that is not known to be in the store."""

    claim: idempotency.RunClaim
    record: idempotency.IdempotencyRecord


class IdempotencyRecordActor(pykka.ThreadingActor):
    """Retries writes of idempotency records that the store did not confirm.

    Attributes:
        store: The platform's store.
        metrics: Counts failed writes.
        pending: Records to write, oldest first.
    """

    use_daemon_thread = True

    def __init__(
        self,
        store: platform_port.Platform,
        metrics: metrics_module.Metrics,
    ) -> None:
        super().__init__()
        self.store = store
        self.metrics = metrics
        self.pending: list[_PendingRecord] = []

    def on_receive(self, message: _PendingRecord | Tick) -> None:
        """Queues a record, or writes the queued records on a tick.

        A new record is dropped when MAX_PENDING_RECORDS are queued. Writing
        stops at the first failure, until the next tick.
        """
        if isinstance(message, _PendingRecord):
            if len(self.pending) < MAX_PENDING_RECORDS:
                self.pending.append(message)
            return
        while self.pending:
            oldest = self.pending[0]
            if not idempotency.store_outcome(
                self.store, oldest.claim, oldest.record
            ):
                self.metrics.increment(
                    "catkintrail_platform_errors_total", {"purpose": "once"}
                )
                return
            self.pending.pop(0)

    @staticmethod
    def make_message(
        claim: idempotency.RunClaim, record: idempotency.IdempotencyRecord
    ) -> _PendingRecord:
        """Returns the message that queues one record."""
        return _PendingRecord(claim, record)
