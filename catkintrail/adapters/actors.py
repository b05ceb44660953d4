"""Actors around the core: the only threads that touch its state."""

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
    "Control",
    "ControlActor",
    "Disconnected",
    "Drain",
    "Finished",
    "LoadTaken",
    "RecordActor",
    "Received",
    "SnapshotTaken",
    "Started",
    "Submit",
    "TargetsTaken",
    "Tick",
]

_LOG = logging.getLogger("catkintrail.control")

TICK_SECONDS = 0.05
MAX_UNWRITTEN_RECORDS = 10_000


class Tick(NamedTuple):
    """Time passes."""


class Received(NamedTuple):
    """A message from a peer."""

    sender: messages.MemberRecord
    message: messages.Message


class Disconnected(NamedTuple):
    """A stream to a peer broke."""

    address: str


class Submit(NamedTuple):
    """A request to place; `is_retry` where its limit is paid already."""

    work: dispatch.Work
    events: "queue.SimpleQueue[dispatch.Event]"
    is_retry: bool


class Started(NamedTuple):
    """The first token of a request has come."""

    request_id: str


class Finished(NamedTuple):
    """A request has ended here."""

    request_id: str
    done: messages.Released | None


class SnapshotTaken(NamedTuple):
    """A configuration was read from the store."""

    snapshot: publication.Snapshot


class TargetsTaken(NamedTuple):
    """The platform's list of targets was read."""

    listing: platform_port.TargetListing


class LoadTaken(NamedTuple):
    """A load report was read."""

    key: pools.PoolKey
    answer: targets_port.LoadAnswer


class Drain(NamedTuple):
    """The instance stops taking requests."""


class ControlActor(pykka.ThreadingActor):
    """Runs the core of one instance, one message after the other."""

    use_daemon_thread = True

    def __init__(
        self,
        instance: instances.Instance,
        send: Callable[[str, messages.Message], None],
        clean: Callable[[instances.TargetCleanup], None],
    ) -> None:
        super().__init__()
        self.instance = instance
        self.send = send
        self.clean = clean
        self.queues: dict[str, queue.SimpleQueue] = {}

    def on_receive(self, message: NamedTuple) -> None:
        """Passes a message to the core and carries out what it returns."""
        try:
            outputs = self._apply(message, time.monotonic())
        except Exception:  # pylint: disable=broad-exception-caught
            # One bad message must not end the instance.
            _LOG.exception(
                "control failed", extra={"kind": type(message).__name__}
            )
            return
        for address, content in outputs.sends:
            self.send(address, content)
        for event in outputs.events:
            events = self.queues.pop(event.request_id, None)
            if events is not None:
                events.put(event)
        for cleanup in outputs.cleanups:
            self.clean(cleanup)

    def _apply(self, message: NamedTuple, now: float) -> instances.Outputs:
        core = self.instance
        match message:
            case Tick():
                return core.tick(now)
            case Received():
                return core.receive(message.sender, message.message, now)
            case Submit():
                self.queues[message.work.request_id] = message.events
                if message.is_retry:
                    return core.resubmit(message.work, now)
                return core.submit(message.work, now)
            case Started():
                return core.started(message.request_id, now)
            case Finished():
                self.queues.pop(message.request_id, None)
                return core.finish(message.request_id, message.done, now)
            case LoadTaken():
                return core.take_load(message.key, message.answer, now)
            case SnapshotTaken():
                return core.take_snapshot(message.snapshot, now)
            case TargetsTaken():
                return core.take_targets(message.listing, now)
            case Disconnected():
                return core.disconnected(message.address, now)
            case Drain():
                return core.drain(now)
        raise TypeError(f"unknown message {type(message).__name__}")


class Control:
    """What other threads may do with the control actor.

    Attributes:
        instance: The core; other threads only read single attributes.
        ref: The actor.
    """

    def __init__(
        self, instance: instances.Instance, ref: pykka.ActorRef
    ) -> None:
        self.instance = instance
        self.ref = ref
        self._stop = threading.Event()
        self._ticker = threading.Thread(
            target=self._tick, name="ticker", daemon=True
        )
        self._ticker.start()

    def tell(self, message: NamedTuple) -> None:
        """Passes a message on without waiting."""
        try:
            self.ref.tell(message)
        except pykka.ActorDeadError:
            # The process is ending.
            pass

    def snapshot(self) -> publication.Snapshot:
        """Returns the configuration in force."""
        return self.instance.configuration.snapshot

    def place(
        self, work: dispatch.Work, is_retry: bool
    ) -> dispatch.Event | None:
        """Places a request.

        Returns:
            The grant or refusal; None where the deadline passed first.
        """
        events: queue.SimpleQueue[dispatch.Event] = queue.SimpleQueue()
        self.tell(Submit(work, events, is_retry))
        try:
            left = max(0.0, work.deadline - time.monotonic())
            return events.get(timeout=left)
        except queue.Empty:
            self.tell(Finished(work.request_id, None))
            return None

    def started(self, request_id: str) -> None:
        """Notes the first token of a request."""
        self.tell(Started(request_id))

    def finish(self, request_id: str, done: messages.Released | None) -> None:
        """Ends a request."""
        self.tell(Finished(request_id, done))

    def stop(self) -> None:
        """Stops the actor."""
        self._stop.set()
        self._ticker.join(1)
        self.ref.stop(block=False)

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
        """Frees one reservation; a failure is repeated by the next sweep."""
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
        self.metrics.add("catkintrail_cleanups_total", {})
        _LOG.info(
            "reservation freed",
            extra={"reservation_id": message.reservation_id},
        )


class _Unwritten(NamedTuple):
    """The result of a once-only call that the store lacks."""

    begun: idempotency.Begun
    record: idempotency.OnceRecord


class RecordActor(pykka.ThreadingActor):
    """Writes results of once-only calls that the store did not take."""

    use_daemon_thread = True

    def __init__(
        self,
        store: platform_port.Platform,
        metrics: metrics_module.Metrics,
    ) -> None:
        super().__init__()
        self.store = store
        self.metrics = metrics
        self.waiting: list[_Unwritten] = []

    def on_receive(self, message: _Unwritten | Tick) -> None:
        """Tries to write all results that wait."""
        if isinstance(message, _Unwritten):
            if len(self.waiting) < MAX_UNWRITTEN_RECORDS:
                self.waiting.append(message)
            return
        while self.waiting:
            first = self.waiting[0]
            if not idempotency.finish(self.store, first.begun, first.record):
                self.metrics.add(
                    "catkintrail_platform_errors_total", {"purpose": "once"}
                )
                return
            self.waiting.pop(0)

    @staticmethod
    def make_message(
        begun: idempotency.Begun, record: idempotency.OnceRecord
    ) -> _Unwritten:
        """Returns the message that hands over one result."""
        return _Unwritten(begun, record)
