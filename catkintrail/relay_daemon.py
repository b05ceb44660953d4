"""The relaying instance as a process: everything wired together."""

import logging
import os
import random
import signal
import threading
import time
from typing import Any
import zlib

import msgspec
import urllib3

from catkintrail import belief_loops
from catkintrail import errors
from catkintrail import memory_leases
from catkintrail import relay as relays
from catkintrail import relay_settings
from catkintrail.adapters import caller_watch
from catkintrail.adapters import clock
from catkintrail.adapters import datagrams
from catkintrail.adapters import logs
from catkintrail.adapters import metrics as metrics_module
from catkintrail.adapters import router_actor
from catkintrail.adapters import wsgi
from catkintrail.core import request_router
from catkintrail.core import route_table
from catkintrail.platform import boot
from catkintrail.platform import callers
from catkintrail.platform import engines
from catkintrail.platform import orders
from catkintrail.platform import store
from catkintrail.platform import wire

__all__ = ["RelayInstance", "run"]

_LOG = logging.getLogger("catkintrail.instance")

# Requests served at a time, each in a thread: at the start, and at most.
SERVING_THREADS = (32, 160)
# Stacks hold few frames; the default reserves eight megabytes each.
THREAD_STACK_BYTES = 512 << 10
READY_THREADS = 2
# The store answers in a few milliseconds; where it does not, callers are told
# so from then on.
KNOWLEDGE_SECONDS = 0.5
KNOWLEDGE_POLL_SECONDS = 0.01
PEER_THREADS = 4
TICK_SECONDS = 0.25
START_TICK_SECONDS = 0.1
SETTINGS_POLL_SECONDS = 1.0
# The balancer leaves an instance after two checks, one second apart.
DRAIN_NOTICE_SECONDS = 2.6
# The process ends this long before it is killed.
DRAIN_MARGIN_SECONDS = 0.25
PEER_TIMEOUT_SECONDS = 1.0
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
STATE_PATH = "/state"
# Configurations shrink to a tenth at the fastest level.
STATE_COMPRESSION = 1


class RelayInstance:
    """One relaying instance.

    Attributes:
        settings: Its settings.
        log_handler: Counts the log lines that were dropped.
        is_draining: Whether it was told to stop.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        settings_text: str,
        log_handler: logs.BoundedQueueHandler,
    ) -> None:
        self.settings = settings
        self.log_handler = log_handler
        self.is_draining = False
        rng = random.Random(os.urandom(16))
        self.metrics = metrics_module.Metrics()
        self.client = engines.EngineClient(clock.boot_seconds)
        self.datagrams = datagrams.DatagramPort(
            settings.address, settings.datagram_port, self._hear
        )
        router = request_router.RequestRouter(
            settings, int(clock.boot_seconds() * 1000), rng
        )
        self.actor = router_actor.RouterActor.start(
            router, self.datagrams.send, clock.boot_seconds
        )
        self.router = router_actor.RouterClient(self.actor)
        self.store = store.ObjectClient(settings.store_address)
        self.loops = belief_loops.BeliefLoops(
            store.StoreSource(self.store),
            self.router,
            self._read_peer,
            clock.boot_seconds,
            rng,
        )
        self.watch = caller_watch.CallerWatch()
        self.orders = orders.OrderClient()
        self.leases = memory_leases.MemoryLeases(
            # Ids of an earlier start must not be met again.
            f"{settings.name}-{router.knowledge.incarnation}",
            self.orders,
            settings.memory_free_seconds,
            clock.boot_seconds,
        )
        self.relay = relays.Relay(
            settings.name,
            self.router,
            self.client,
            self.leases,
            _RelayMetrics(self.metrics),
            clock.boot_seconds,
            rng,
        )
        self.callers = callers.CallerServer(
            settings.caller_address,
            SERVING_THREADS,
            self.relay.handle,
            self.watch,
            clock.boot_seconds,
        )
        self.http = urllib3.PoolManager(retries=False)
        self._stop = threading.Event()
        self._settings_text = settings_text

    def start(self) -> None:
        """Opens all ports and starts all threads."""
        self.datagrams.start()
        self.loops.start()
        self.watch.start()
        self.leases.start()
        if self.settings.peer_address:
            _serve(self.settings.peer_address, self._answer_peer, PEER_THREADS)
        metrics_address = f"{self.settings.address}:{METRICS_PORT}"
        _serve(metrics_address, self._answer_metrics, 1)
        threading.Thread(target=self._tick, name="tick", daemon=True).start()
        # Callers who come before anything is known could only be refused.
        self._await_knowledge()
        self.callers.start()
        _serve(self.settings.ready_address, self._answer_ready, READY_THREADS)
        _LOG.info(
            "instance_started",
            extra={
                "callers": self.settings.caller_address,
                "peers": self.settings.peer_address,
                "store": self.settings.store_address,
            },
        )

    def _await_knowledge(self) -> None:
        end = clock.boot_seconds() + KNOWLEDGE_SECONDS
        while clock.boot_seconds() < end:
            if self.router.status().is_ready:
                return
            time.sleep(KNOWLEDGE_POLL_SECONDS)

    def request_stop(self) -> None:
        """Starts to drain; `run` then ends."""
        self._stop.set()

    def run(self) -> None:
        """Serves until told to stop; finishes what is in flight."""
        while not self._stop.wait(SETTINGS_POLL_SECONDS):
            self.reload()
        self._drain()

    def reload(self) -> None:
        """Applies the settings file where it has changed."""
        path = boot.settings_path()
        try:
            text = boot.read_text(path)
            if text == self._settings_text:
                return
            self._settings_text = text
            self.settings = boot.parse_settings(text, path)
        except errors.CheckError as error:
            _LOG.error("settings_unreadable", extra={"reason": str(error)})
            return
        self.router.proxy.apply_settings.defer(self.settings)
        self.leases.book.apply_bound(self.settings.memory_free_seconds)
        _LOG.info("settings_reloaded", extra={"path": path})

    def _drain(self) -> None:
        started = clock.boot_seconds()
        self.is_draining = True
        self.callers.is_draining = True
        _LOG.info(
            "instance_draining", extra={"in_flight": self.callers.in_flight}
        )
        time.sleep(DRAIN_NOTICE_SECONDS)
        # Callers may still come: where few instances of a zone are ready, the
        # balancer uses all of them. What is taken from here on could not be
        # finished in time.
        left = self.settings.drain_seconds - DRAIN_MARGIN_SECONDS
        end = started + left
        stopping = threading.Thread(
            target=self.callers.stop,
            args=(end - clock.boot_seconds(),),
            name="drain",
            daemon=True,
        )
        stopping.start()
        stopping.join(max(0.0, end - clock.boot_seconds()))
        _LOG.info(
            "instance_stopped",
            extra={
                "in_flight": self.callers.in_flight,
                "elapsed_ms": round((clock.boot_seconds() - started) * 1000),
            },
        )

    def _tick(self) -> None:
        version = -1
        services: dict[str, route_table.Service] = {}
        started = clock.boot_seconds()
        while True:
            self.router.proxy.tick.defer()
            self.client.close_idle()
            self.callers.add_threads()
            status = self.router.status()
            if status.version != version:
                state = self.router.peer_state(version)
                if state.configuration is not None:
                    version = state.configuration.version
                    services = state.configuration.services
                    self.callers.apply_limits(state.configuration.limits)
            instances = len(status.peers) + 1
            self.client.shares = {
                service.name: service.max_connections // instances
                for service in services.values()
                if service.max_connections
            }
            age = clock.boot_seconds() - started
            is_new = age < router_actor.START_SECONDS
            time.sleep(START_TICK_SECONDS if is_new else TICK_SECONDS)

    def _hear(self, address: str, message: Any) -> None:
        self.router.proxy.hear.defer(address, message)

    def _read_peer(
        self, address: str, known_version: int
    ) -> router_actor.PeerState:
        port = self.settings.peer_address.rpartition(":")[2]
        try:
            response = self.http.request(
                "GET",
                f"http://{address}:{port}{STATE_PATH}?have={known_version}",
                timeout=PEER_TIMEOUT_SECONDS,
            )
            return msgspec.json.decode(
                zlib.decompress(response.data), type=router_actor.PeerState
            )
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            msgspec.DecodeError,
            zlib.error,
        ) as error:
            raise errors.PlatformUnavailableError(
                f"peer {address}: {error}"
            ) from error

    def _answer_ready(self, request: wsgi.Request) -> wsgi.Response:
        if request.path != wire.READY_PATH:
            return wsgi.Response(404, [("Content-Length", "0")], [])
        is_ready = not self.is_draining and self.router.status().is_ready
        status = 200 if is_ready else 503
        return wsgi.Response(status, [("Content-Length", "0")], [])

    def _answer_peer(self, request: wsgi.Request) -> wsgi.Response:
        if request.path == STATE_PATH:
            return self._answer_state(request)
        return self._answer_metrics(request)

    def _answer_state(self, request: wsgi.Request) -> wsgi.Response:
        have = request.query.get("have", "")
        known_version = int(have) if have.isdigit() else -1
        state = self.router.peer_state(known_version)
        body = zlib.compress(msgspec.json.encode(state), STATE_COMPRESSION)
        headers = [
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", str(len(body))),
        ]
        return wsgi.Response(200, headers, [body])

    def _answer_metrics(self, request: wsgi.Request) -> wsgi.Response:
        if request.path != METRICS_PATH:
            return wsgi.Response(404, [("Content-Length", "0")], [])
        status = self.router.status()
        gauges = {
            "catkintrail_requests_in_flight": self.callers.in_flight,
            "catkintrail_configuration_version": status.version,
            "catkintrail_proof_age_seconds": status.proof_age_seconds,
            "catkintrail_peers": len(status.peers),
            "catkintrail_known_attempts": status.attempts,
            "catkintrail_store_calls": self.store.calls,
            "catkintrail_connections_opened": self.client.opened,
            "catkintrail_connections_reused": self.client.reused,
            "catkintrail_log_lines_dropped": self.log_handler.dropped,
            "catkintrail_memory_orders": self.orders.orders,
            "catkintrail_datagrams_dropped": self.datagrams.dropped,
        }
        for name, value in gauges.items():
            self.metrics.set(name, float(value), {})
        body, headers = self.metrics.render([request.headers.get("accept", "")])
        pairs = list(headers.items()) + [("Content-Length", str(len(body)))]
        return wsgi.Response(200, pairs, [body])


class _RelayMetrics:
    """Counts what becomes of requests."""

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics

    def note_request(self, outcome: str, seconds: float) -> None:
        """Counts a request that ended."""
        labels = {"outcome": outcome}
        self._metrics.add("catkintrail_relayed_total", labels)
        self._metrics.observe("catkintrail_relay_seconds", seconds, labels)

    def note_first_event(self, seconds: float) -> None:
        """Takes a time to the first event."""
        self._metrics.observe("catkintrail_first_token_seconds", seconds, {})

    def note_send(self, outcome: str) -> None:
        """Counts a send that ended."""
        self._metrics.add("catkintrail_sends_total", {"outcome": outcome})


def run() -> int:
    """Runs an instance until SIGTERM.

    Raises:
        errors.CheckError: The settings have mistakes.
        errors.StartError: A port cannot be used.
    """
    path = boot.settings_path()
    settings_text = boot.read_text(path)
    settings = boot.parse_settings(settings_text, path)
    threading.stack_size(THREAD_STACK_BYTES)
    log_handler, listener = logs.configure_queued(
        "info", settings.name, settings.availability_zone
    )
    instance = RelayInstance(settings, settings_text, log_handler)
    signal.signal(signal.SIGTERM, lambda *_: instance.request_stop())
    instance.start()
    instance.run()
    listener.stop()
    # The HTTP server's threads would hold the process while they wait.
    os._exit(0)  # pylint: disable=protected-access


def _serve(address: str, application: wsgi.Application, threads: int) -> None:
    host, _, port = address.rpartition(":")
    server = wsgi.make_server(
        host,
        int(port),
        wsgi.make_application(application, 0),
        threads,
        PEER_TIMEOUT_SECONDS * 10,
    )
    threading.Thread(
        target=server.serve, name=f"serve-{port}", daemon=True
    ).start()
