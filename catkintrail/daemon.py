"""The entry instance as a process: everything wired together."""

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

__all__ = ["Entry", "run"]

_LOG = logging.getLogger("catkintrail.entry")

DRAIN_POLL_SECONDS = 0.05
# Peers and the balancer learn of the drain before connections are refused.
DRAIN_NOTICE_SECONDS = 1.0
THREAD_SWITCH_SECONDS = 0.001
STATUS_NAMES = ("alive", "suspect", "dead", "left")


class Entry:
    """One entry instance.

    Attributes:
        settings: Its settings.
        in_flight: Requests being served.
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
        self.ids = attempts.IdSource(settings.instance.name, incarnation)
        self.core = self._make_core(incarnation)
        self.peers = peer_streams.PeerStreams(
            lambda: self.core.membership.me,
            settings.peers,
            settings.instance.address,
            self._on_message,
            self._on_disconnect,
        )
        self._lock = threading.Lock()
        self._drained = threading.Event()
        self._keys: access.KeyTable | None = None
        self.control: actors.Control | None = None
        self.loops: loops.Loops | None = None
        self.server: Any = None
        self.callers: caller_api.CallerApi | None = None
        self.admin: admin_api.AdminApi | None = None

    def start(self) -> None:
        """Takes the ports and starts all threads.

        Raises:
            errors.StartError: A port or a certificate cannot be used.
        """
        callers = self.settings.callers
        self.server = wsgi.make_server(
            self.settings.instance.address,
            callers.port,
            wsgi.make_application(self._serve, callers.max_body_bytes),
            callers.threads,
            callers.read_timeout_seconds,
            callers.certificate,
            callers.private_key,
        )
        self._start_actors()
        try:
            self.peers.start()
        except errors.StartError:
            self.server.stop()
            self.control.stop()
            raise
        self.loops.start()
        thread = threading.Thread(
            target=self.server.serve, name="callers", daemon=True
        )
        thread.start()
        _LOG.info("started", extra={"port": callers.port})

    def drain(self) -> None:
        """Stops taking requests, finishes those in flight, then stops."""
        if self.core.is_draining:
            return
        _LOG.info("draining", extra={"in_flight": self.in_flight})
        self.control.tell(actors.Drain())
        thread = threading.Thread(target=self._finish_drain, daemon=True)
        thread.start()

    def wait(self) -> None:
        """Returns when the drain has ended."""
        self._drained.wait()

    def stop(self) -> None:
        """Closes all ports."""
        self.loops.stop()
        self.server.stop()
        self.peers.stop()
        self.control.stop()
        _LOG.info("stopped")

    # Assembly.

    def _make_core(self, incarnation: int) -> instances.Instance:
        place = self.settings.instance
        me = messages.MemberRecord(
            place.name,
            place.availability_zone,
            place.region,
            f"{place.address}:{self.settings.peers.port}",
            incarnation,
            0,
        )
        return instances.Instance(
            me, tuple(self.settings.peers.seeds), self.rng, time.monotonic()
        )

    def _start_actors(self) -> None:
        cleaner = actors.CleanupActor.start(self.targets, self.metrics)
        recorder = actors.RecordActor.start(self.store, self.metrics)
        control_ref = actors.ControlActor.start(
            self.core, self.peers.send, cleaner.tell
        )
        self.control = actors.Control(self.core, control_ref)

        def save_later(begun: Any, record: Any) -> None:
            recorder.tell(actors.RecordActor.make_message(begun, record))

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
            self.core.book,
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
        self.loops = loops.Loops(
            self.control,
            self.store,
            self.targets,
            self.metrics,
            self.ids,
            lambda: recorder.tell(actors.Tick()),
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
        self.metrics.add("catkintrail_attempts_total", {"outcome": outcome})

    def _key_table(self) -> access.KeyTable:
        snapshot = self.control.snapshot()
        table = self._keys
        if table is None or table.generation != snapshot.generation:
            table = access.KeyTable(
                snapshot.generation,
                snapshot.objects,
                self.settings.operator_key_sha256,
            )
            self._keys = table
        return table

    # HTTP.

    def _serve(self, request: wsgi.Request) -> wsgi.Response:
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
                return _not_found(f"no {request.method} {request.path}")
            return self._serve_caller(request, self.callers.complete)
        if request.path.startswith(caller_api.SERVICE_PREFIX):
            return self._serve_caller(request, self.callers.call_service)
        return _not_found(
            f"no path {request.path[:80]!r}; callers use /v1/completions and"
            " /services/ROUTE/..., operators /admin/..."
        )

    def _serve_caller(
        self, request: wsgi.Request, handler: wsgi.Application
    ) -> wsgi.Response:
        refusal = self._refuse_unready()
        if refusal is not None:
            return caller_api.error_response(self.ids.make(), refusal)
        with self._lock:
            self.in_flight += 1
        try:
            response = handler(request)
        except BaseException:
            self._leave()
            raise
        return response._replace(body=_Counted(response.body, self._leave))

    def _leave(self) -> None:
        with self._lock:
            self.in_flight -= 1

    def _refuse_unready(self) -> verdicts.Refusal | None:
        if self.core.is_draining:
            return verdicts.Refusal(
                verdicts.Verdict.NOT_RUN,
                verdicts.Reason.DRAINING,
                "this instance is shutting down; another one answers",
                1.0,
            )
        if not self.core.is_ready():
            return verdicts.Refusal(
                verdicts.Verdict.NOT_RUN,
                verdicts.Reason.NOT_READY,
                "this instance does not know the configuration yet: neither"
                " the platform nor a peer has answered",
                2.0,
            )
        return None

    def _render_metrics(self, request: wsgi.Request) -> wsgi.Response:
        self._set_gauges()
        accepts = request.headers.get("accept", "text/plain").split(",")
        body, headers = self.metrics.render(accepts)
        return wsgi.Response(200, list(headers.items()), [body])

    def _set_gauges(self) -> None:
        core = self.core
        metrics = self.metrics
        with self._lock:
            in_flight = self.in_flight
        waiting = sum(p.waiting_count() for p in list(core.pools.values()))
        claimed = len(core.book.claimed)
        generation = core.configuration.generation()
        refused = self.peers.refused + core.refused_frames
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
        """Returns the instance's view for `admin status`."""
        core = self.core
        members = [m.record for m in list(core.membership.members.values())]
        members.append(core.membership.me)
        return {
            "instance": core.membership.me.name,
            "availability_zone": core.membership.me.zone,
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

    # The end.

    def _finish_drain(self) -> None:
        end = time.monotonic() + self.settings.drain_seconds
        time.sleep(DRAIN_NOTICE_SECONDS)
        while self.in_flight and time.monotonic() < end:
            time.sleep(DRAIN_POLL_SECONDS)
        _LOG.info("drained", extra={"in_flight": self.in_flight})
        self._drained.set()


class _Counted:
    """A response body that tells when it has ended."""

    def __init__(self, body: Any, done: Any) -> None:
        self.body = body
        self.done = done
        self.is_done = False

    def __iter__(self) -> Any:
        return iter(self.body)

    def close(self) -> None:
        """Ends the body; called by the server in every case."""
        try:
            close = getattr(self.body, "close", None)
            if close is not None:
                close()
        finally:
            if not self.is_done:
                self.is_done = True
                self.done()


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


def _not_found(message: str) -> wsgi.Response:
    refusal = verdicts.Refusal(
        verdicts.Verdict.NOT_RUN, verdicts.Reason.NOT_FOUND, message
    )
    return caller_api.error_response("", refusal)


def run(settings: settings_module.EntrySettings) -> int:
    """Runs an entry instance until it is told to stop.

    SIGTERM or SIGINT drains it; a second one ends it at once.

    Returns:
        The process's exit code.

    Raises:
        errors.StartError: A port or a certificate cannot be used.
    """
    place = settings.instance
    logs.configure(settings.log.level, place.name, place.availability_zone)
    sys.setswitchinterval(THREAD_SWITCH_SECONDS)
    entry = Entry(settings)
    entry.start()
    signals = 0

    def on_signal(number: int, frame: Any) -> None:
        nonlocal signals
        del number, frame
        signals += 1
        if signals > 1:
            os._exit(1)  # pylint: disable=protected-access
        entry.drain()

    signal.signal(signal.SIGTERM, on_signal)
    signal.signal(signal.SIGINT, on_signal)
    entry.wait()
    entry.stop()
    return 0
