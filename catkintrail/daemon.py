"""The process of an entry instance: assembly, start, drain and stop."""

import logging
import os
import random
import signal
import sys
import threading
import time
from typing import Any

from catkintrail import access
from catkintrail import admin_api
from catkintrail import caller_api
from catkintrail import completions
from catkintrail import errors
from catkintrail import messages
from catkintrail import retrying
from catkintrail import service_calls
from catkintrail import settings as settings_module
from catkintrail import verdict as verdicts
from catkintrail.adapters import actors
from catkintrail.adapters import logs
from catkintrail.adapters import loops
from catkintrail.adapters import metrics as metrics_module
from catkintrail.adapters import peer_streams
from catkintrail.adapters import platform_client
from catkintrail.adapters import target_client
from catkintrail.adapters import wsgi
from catkintrail.core import attempts
from catkintrail.core import instance as instances

__all__ = ["EntryInstance", "run"]

_LOG = logging.getLogger("catkintrail.entry")

DRAIN_POLL_SECONDS = 0.05
# The ports stay open at least this long after the start of a drain, so that
# peers and the load balancer notice the drain before connections are refused.
DRAIN_NOTICE_SECONDS = 1.0
THREAD_SWITCH_INTERVAL_SECONDS = 0.001
STATUS_NAMES = ("alive", "suspect", "dead", "left")


class EntryInstance:
    """An entry instance with its core, actors, API handlers and servers.

    Attributes:
        settings: Settings of the instance.
        in_flight: Number of callers' requests whose response has not ended.
    """

    def __init__(self, settings: settings_module.EntrySettings) -> None:
        self.settings = settings
        self.in_flight = 0
        self.rng = random.Random(os.urandom(16))
        self.metrics = metrics_module.Metrics()
        self.store = platform_client.PlatformClient(
            settings.platform.url, settings.platform.timeout_seconds
        )
        self.targets = target_client.TargetClient()
        incarnation = int(time.time() * 1_000)
        self.ids = attempts.IdGenerator(settings.instance.name, incarnation)
        self.core = self._make_core(incarnation)
        self.peers = peer_streams.PeerStreams(
            lambda: self.core.membership.own_record,
            settings.peers,
            settings.instance.address,
            self._on_message,
            self._on_disconnect,
        )
        self._lock = threading.Lock()
        self._drained = threading.Event()
        self._cached_key_table: access.KeyTable | None = None
        self.control: actors.ControlClient | None = None
        self.polling_threads: loops.PollingThreads | None = None
        self.server: Any = None
        self.callers: caller_api.CallerApi | None = None
        self.admin: admin_api.AdminApi | None = None

    def start(self) -> None:
        """Opens the ports and starts all threads.

        Raises:
            errors.StartError: A port or a certificate cannot be used.
        """
        callers = self.settings.callers
        self.server = wsgi.make_server(
            self.settings.instance.address,
            callers.port,
            wsgi.make_application(self._handle, callers.max_body_bytes),
            callers.threads,
            callers.read_timeout_seconds,
            callers.certificate,
            callers.private_key,
            callers.max_body_bytes,
        )
        self._start_components()
        try:
            self.peers.start()
        except errors.StartError:
            self.server.stop()
            self.control.stop()
            raise
        self.polling_threads.start()
        thread = threading.Thread(
            target=self.server.serve, name="callers", daemon=True
        )
        thread.start()
        _LOG.info("started", extra={"port": callers.port})

    def drain(self) -> None:
        """Begins to refuse new requests while those in flight finish.

        The ports stay open until `stop` is called. Does nothing when the
        instance is draining already.
        """
        if self.core.is_draining:
            return
        _LOG.info("draining", extra={"in_flight": self.in_flight})
        self.control.tell(actors.Drain())
        thread = threading.Thread(target=self._finish_drain, daemon=True)
        thread.start()

    def wait(self) -> None:
        """Blocks until the drain has ended.

        A drain ends when no request is in flight, or after the `drain_seconds`
        of the settings.
        """
        self._drained.wait()

    def stop(self) -> None:
        """Stops the polling threads and the control actor; closes all ports."""
        self.polling_threads.stop()
        self.server.stop()
        self.peers.stop()
        self.control.stop()
        _LOG.info("stopped")

    # Assembly.

    def _make_core(self, incarnation: int) -> instances.Instance:
        instance_settings = self.settings.instance
        own_record = messages.MemberRecord(
            instance_settings.name,
            instance_settings.availability_zone,
            instance_settings.region,
            f"{instance_settings.address}:{self.settings.peers.port}",
            incarnation,
            0,
        )
        return instances.Instance(
            own_record,
            tuple(self.settings.peers.seeds),
            self.rng,
            time.monotonic(),
        )

    def _start_components(self) -> None:
        cleanup_actor = actors.CleanupActor.start(self.targets, self.metrics)
        record_actor = actors.IdempotencyRecordActor.start(
            self.store, self.metrics
        )
        control_ref = actors.ControlActor.start(
            self.core, self.peers.send, cleanup_actor.tell
        )
        self.control = actors.ControlClient(self.core, control_ref)

        def save_later(claim: Any, record: Any) -> None:
            record_actor.tell(
                actors.IdempotencyRecordActor.make_message(claim, record)
            )

        retrier = retrying.Retrier(
            self.control,
            self._count_attempt,
            random.Random(self.rng.random()),
            time.monotonic,
            time.sleep,
        )
        completion_runner = completions.CompletionRunner(
            retrier,
            self.targets,
            self.ids,
            self.core.reservations,
            self.settings.instance.name,
        )
        service_runner = service_calls.ServiceRunner(
            retrier,
            self.targets,
            self.store,
            self.ids,
            save_later,
        )
        self.callers = caller_api.CallerApi(
            completion_runner,
            service_runner,
            self.control.snapshot,
            self._key_table,
            self.ids,
            self.metrics,
        )
        self.admin = admin_api.AdminApi(
            self.store,
            self.control.snapshot,
            lambda snapshot: self.control.tell(actors.SnapshotTaken(snapshot)),
            self._status,
            self.drain,
            self._key_table,
            self.ids,
        )
        self.polling_threads = loops.PollingThreads(
            self.control,
            self.store,
            self.targets,
            self.metrics,
            self.ids,
            lambda: record_actor.tell(actors.Tick()),
            random.Random(self.rng.random()),
        )

    # Callbacks.

    def _on_message(
        self, sender: messages.MemberRecord, message: messages.Message
    ) -> None:
        if self.control is not None:
            self.control.tell(actors.Received(sender, message))

    def _on_disconnect(self, address: str) -> None:
        if self.control is not None:
            self.control.tell(actors.Disconnected(address))

    def _count_attempt(self, outcome: str) -> None:
        self.metrics.increment(
            "catkintrail_attempts_total", {"outcome": outcome}
        )

    def _key_table(self) -> access.KeyTable:
        snapshot = self.control.snapshot()
        table = self._cached_key_table
        if table is None or table.generation != snapshot.generation:
            table = access.KeyTable(
                snapshot.generation,
                snapshot.objects,
                self.settings.operator_key_sha256,
            )
            self._cached_key_table = table
        return table

    # HTTP request handling.

    def _handle(self, request: wsgi.Request) -> wsgi.Response:
        match request.path:
            case "/healthz":
                return wsgi.json_response(200, {"status": "alive"})
            case "/readyz":
                is_ready = self.core.is_ready()
                status = 200 if is_ready else 503
                return wsgi.json_response(status, {"ready": is_ready})
            case "/metrics":
                return self._render_metrics(request)
        if request.path.startswith("/admin/"):
            return self.admin.serve(request)
        if request.path == "/v1/completions":
            if request.method != "POST":
                return _not_found_response(
                    f"method {request.method} is not supported for"
                    f" {request.path}"
                )
            return self._handle_caller(request, self.callers.complete)
        if request.path.startswith(caller_api.SERVICE_PREFIX):
            return self._handle_caller(request, self.callers.call_service)
        return _not_found_response(
            f"no such path: {request.path[:80]!r}; callers use"
            " /v1/completions and /services/ROUTE/..., operators /admin/..."
        )

    def _handle_caller(
        self, request: wsgi.Request, handler: wsgi.Application
    ) -> wsgi.Response:
        refusal = self._unready_refusal()
        if refusal is not None:
            return caller_api.error_response(self.ids.next_id(), refusal)
        with self._lock:
            self.in_flight += 1
        try:
            response = handler(request)
        except BaseException:
            self._end_request()
            raise
        return response._replace(
            body=_TrackedBody(response.body, self._end_request)
        )

    def _end_request(self) -> None:
        with self._lock:
            self.in_flight -= 1

    def _unready_refusal(self) -> verdicts.Refusal | None:
        if self.core.is_draining:
            return verdicts.Refusal(
                verdicts.Verdict.NOT_RUN,
                verdicts.Reason.DRAINING,
                "this instance is shutting down; retry on another instance",
                1.0,
            )
        if not self.core.is_ready():
            return verdicts.Refusal(
                verdicts.Verdict.NOT_RUN,
                verdicts.Reason.NOT_READY,
                "this instance has no configuration yet: neither the platform"
                " nor a peer has answered",
                2.0,
            )
        return None

    def _render_metrics(self, request: wsgi.Request) -> wsgi.Response:
        self._update_gauges()
        accepts = request.headers.get("accept", "text/plain").split(",")
        body, headers = self.metrics.render(accepts)
        return wsgi.Response(200, list(headers.items()), [body])

    def _update_gauges(self) -> None:
        core = self.core
        metrics = self.metrics
        with self._lock:
            in_flight = self.in_flight
        waiting = sum(p.waiting_count() for p in list(core.pools.values()))
        claimed = len(core.reservations.claimed)
        generation = core.configuration.generation()
        refused = self.peers.refused_count + core.refused_frames
        for name, value in (
            ("catkintrail_requests_in_flight", in_flight),
            ("catkintrail_waiting_requests", waiting),
            ("catkintrail_owned_pools", len(core.pools)),
            ("catkintrail_generation", generation),
            ("catkintrail_refused_frames", refused),
            ("catkintrail_reservations_claimed", claimed),
        ):
            metrics.set(name, value, {})
        for direction, count in (
            ("sent", self.peers.bytes_sent),
            ("received", self.peers.bytes_received),
        ):
            metrics.set(
                "catkintrail_peer_bytes", count, {"direction": direction}
            )
        members = list(core.membership.members.values())
        for status, name in enumerate(STATUS_NAMES):
            count = sum(1 for m in members if m.record.status == status)
            metrics.set("catkintrail_members", count, {"status": name})

    def _status(self) -> dict[str, Any]:
        """Returns the state of the instance for `admin status`."""
        core = self.core
        members = [m.record for m in list(core.membership.members.values())]
        members.append(core.membership.own_record)
        return {
            "instance": core.membership.own_record.name,
            "availability_zone": core.membership.own_record.zone,
            "generation": core.configuration.generation(),
            "ready": core.is_ready(),
            "draining": core.is_draining,
            "in_flight": self.in_flight,
            "members": [
                {
                    "instance": record.name,
                    "availability_zone": record.zone,
                    "status": STATUS_NAMES[record.status],
                }
                for record in sorted(members)
            ],
            "pools": [_pool_status(pool) for pool in list(core.pools.values())],
            "targets_revision": core.directory.listing.revision,
        }

    # Draining.

    def _finish_drain(self) -> None:
        drain_deadline = time.monotonic() + self.settings.drain_seconds
        time.sleep(DRAIN_NOTICE_SECONDS)
        while self.in_flight and time.monotonic() < drain_deadline:
            time.sleep(DRAIN_POLL_SECONDS)
        _LOG.info("drained", extra={"in_flight": self.in_flight})
        self._drained.set()


class _TrackedBody:
    """A response body with a callback for its end."""

    def __init__(self, body: Any, on_close: Any) -> None:
        self.body = body
        self.on_close = on_close
        self.is_closed = False

    def __iter__(self) -> Any:
        return iter(self.body)

    def close(self) -> None:
        """Closes the body and calls `on_close` once.

        The server calls this method also when the body was not read to its end.
        """
        try:
            close = getattr(self.body, "close", None)
            if close is not None:
                close()
        finally:
            if not self.is_closed:
                self.is_closed = True
                self.on_close()


def _pool_status(pool: Any) -> dict[str, Any]:
    return {
        "serves": pool.key.serves,
        "shard": pool.key.shard,
        "waiting": pool.waiting_count(),
        "targets": [
            {
                "target": name,
                "leaving": state.is_leaving,
                "running": len(state.attempts),
                "free_kv_tokens": state.free_tokens(),
            }
            for name, state in sorted(pool.targets.items())
        ],
    }


def _not_found_response(message: str) -> wsgi.Response:
    refusal = verdicts.Refusal(
        verdicts.Verdict.NOT_RUN, verdicts.Reason.NOT_FOUND, message
    )
    return caller_api.error_response("", refusal)


def run(settings: settings_module.EntrySettings) -> int:
    """Runs an entry instance until a signal stops it.

    The first SIGTERM or SIGINT drains the instance; a second one ends the
    process at once with exit code 1.

    Returns:
        The process's exit code.

    Raises:
        errors.StartError: A port or a certificate cannot be used.
    """
    instance_settings = settings.instance
    logs.configure(
        settings.log.level,
        instance_settings.name,
        instance_settings.availability_zone,
    )
    sys.setswitchinterval(THREAD_SWITCH_INTERVAL_SECONDS)
    entry = EntryInstance(settings)
    entry.start()
    signal_count = 0

    def on_signal(signal_number: int, frame: Any) -> None:
        nonlocal signal_count
        del signal_number, frame
        signal_count += 1
        if signal_count > 1:
            os._exit(1)  # pylint: disable=protected-access
        entry.drain()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    entry.wait()
    entry.stop()
    return 0
