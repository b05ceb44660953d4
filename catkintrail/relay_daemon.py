"""The process of a relaying instance: connects and runs its components."""

import logging
import os
import random
import signal
import socket
import threading
import time
from typing import Any
import zlib

import msgspec
import urllib3

from catkintrail import errors
from catkintrail import evacuation_watcher
from catkintrail import fleet_state_updater
from catkintrail import memory_leases
from catkintrail import quarantine_keeper
from catkintrail import relay as relays
from catkintrail import relay_metrics
from catkintrail import relay_settings
from catkintrail.adapters import allocator
from catkintrail.adapters import bounded_http
from catkintrail.adapters import caller_watch
from catkintrail.adapters import clock
from catkintrail.adapters import datagrams
from catkintrail.adapters import logs
from catkintrail.adapters import router_actor
from catkintrail.adapters import router_client
from catkintrail.adapters import router_status
from catkintrail.adapters import stop_request
from catkintrail.adapters import target_connector
from catkintrail.adapters import target_probes
from catkintrail.adapters import wsgi
from catkintrail.adapters import zone_metrics
from catkintrail.core import request_router
from catkintrail.core import route_table
from catkintrail.platform import boot
from catkintrail.platform import callers
from catkintrail.platform import engines
from catkintrail.platform import evacuations
from catkintrail.platform import orders
from catkintrail.platform import store
from catkintrail.platform import wire

__all__ = ["RelayInstance", "run"]

_LOG = logging.getLogger("catkintrail.instance")

# Threads that serve requests, one request each: initial and maximum number.
REQUEST_THREADS_RANGE = (32, 160)
# Call stacks are shallow; the default size reserves eight megabytes for each
# thread.
THREAD_STACK_BYTES = 512 << 10
READY_THREADS = 2
# How long the start waits for the configuration and the targets. The store
# responds in a few milliseconds; if it does not, callers are accepted anyway
# and get refusals.
INITIAL_STATE_TIMEOUT_SECONDS = 0.5
# How long it waits for the stored quarantines once these are known.
QUARANTINES_TIMEOUT_SECONDS = 1.5
INITIAL_STATE_POLL_SECONDS = 0.01
PEER_THREADS = 4
MAX_PEER_POOLS = 10
TICK_SECONDS = 0.25
START_TICK_SECONDS = 0.1
# A pause between ticks that is longer means that the process stood still.
STALL_SECONDS = 1.5
SETTINGS_POLL_SECONDS = 1.0
# The load balancer stops using an instance after two failed readiness checks,
# one second apart.
DRAIN_NOTICE_SECONDS = 2.6
# Time in which requests that are not finished are answered before the exit.
ANSWER_SECONDS = 0.25
TUNNEL_POLL_SECONDS = 0.05
# The process exits this long before the platform kills it.
DRAIN_MARGIN_SECONDS = 0.25
CONNECTION_TIMEOUT_SECONDS = 10.0
METRICS_PORT = 9464
METRICS_PATH = "/metrics"
STATE_PATH = "/state"
# The fastest zlib level already shrinks configurations to a tenth.
STATE_COMPRESSION = 1


class RelayInstance:
    """One relaying instance.

    Attributes:
        settings: Settings in force.
        log_handler: Log handler that counts dropped lines.
        is_draining: Whether the instance is shutting down.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        settings_text: str,
        log_handler: logs.BoundedQueueHandler,
        ready_listener: socket.socket | None = None,
    ) -> None:
        self.settings = settings
        self.log_handler = log_handler
        self.is_draining = False
        self._ready_listener = ready_listener
        rng = random.Random(os.urandom(16))
        self.metrics = relay_metrics.RelayMetrics()
        self.datagrams = datagrams.DatagramTransport(
            settings.address, settings.datagram_port, self._receive_datagram
        )
        started_at = clock.boot_seconds()
        router = request_router.RequestRouter(
            settings, int(started_at * 1000), rng, started_at
        )
        self.actor = router_actor.RouterActor.start(
            router,
            self.datagrams.send,
            clock.boot_seconds,
            on_configuration=self._apply_configuration,
        )
        self.router = router_client.RouterClient(
            self.actor,
            router.notices,
            router.quarantine,
            clock.boot_seconds,
        )
        self.connector = target_connector.TargetConnector(
            clock.boot_seconds,
            rng,
            settings.availability_zone,
            settings.datagram_port,
        )
        self.router.probe = target_probes.TargetProbes(
            self.connector,
            self.router.proxy.record_survival.defer,
            clock.boot_seconds,
        ).probe
        # An adapters.tunnel_server.TunnelServer, once that is loaded.
        self.tunnels: Any = None
        self.client = engines.EngineClient(
            clock.boot_seconds,
            router.notices,
            self.router.record_statement,
            self.connector,
        )
        self.store = store.StoreClient(settings.store_address)
        self.state_updater = fleet_state_updater.FleetStateUpdater(
            store.StoreSource(self.store),
            self.router,
            self._read_peer,
            clock.boot_seconds,
            rng,
        )
        self.evacuation_watcher = evacuation_watcher.EvacuationWatcher(
            evacuations.EvacuationObjects(self.store),
            self.router,
            clock.boot_seconds,
            rng,
        )
        self.state_updater.observe = self.evacuation_watcher.observe
        self.quarantine_keeper = quarantine_keeper.QuarantineKeeper(
            store.QuarantineObjects(self.store), self.router
        )
        self.watch = caller_watch.DisconnectWatcher()
        self.orders = orders.ReservationClient(
            self.router.record_statement, self.connector
        )
        self.leases = memory_leases.MemoryLeases(
            # The incarnation keeps reservation ids distinct from those of
            # earlier runs of this instance.
            f"{settings.name}-{router.fleet_state.incarnation}",
            self.orders,
            settings.memory_free_seconds,
            clock.boot_seconds,
        )
        self.relay = relays.Relay(
            settings.name,
            self.router,
            self.client,
            self.leases,
            self.metrics,
            clock.boot_seconds,
            rng,
        )
        self.callers = callers.CallerServer(
            settings.caller_address,
            REQUEST_THREADS_RANGE,
            self.relay.handle,
            self.watch,
            clock.boot_seconds,
            settings.memory_mb,
            settings.max_descriptors,
        )
        self.http = bounded_http.make_pool_manager(MAX_PEER_POOLS)
        self._stop_request = stop_request.StopRequest()
        self._settings_text = settings_text
        self._services: dict[str, route_table.Service] = {}
        self._evacuation_gauges = zone_metrics.EvacuationGauges(
            self.metrics.set
        )

    def start(self) -> None:
        """Opens all ports and starts all threads.

        What requests do not need is loaded when callers are served.
        """
        self.state_updater.start()
        self.quarantine_keeper.start()
        self.evacuation_watcher.start()
        self.datagrams.start()
        threading.Thread(
            target=self._run_ticks, name="tick", daemon=True
        ).start()
        self.connector.start()
        self.watch.start()
        self.leases.start()
        # Until the configuration and the targets are known, every request would
        # be refused; until the quarantines are, requests may crash targets.
        self._await_initial_state()
        # A port that is in use ends the start before callers are served.
        address = self.settings.address
        # The TCP port with the number of the UDP port.
        tunnels = wsgi.listen(f"{address}:{self.settings.datagram_port}")
        metrics = wsgi.listen(f"{address}:{METRICS_PORT}")
        peers = None
        if self.settings.peer_address:
            peers = wsgi.listen(self.settings.peer_address)
        self.callers.start()
        ready = self._ready_listener or wsgi.listen(self.settings.ready_address)
        _start_server(ready, self._handle_ready, READY_THREADS)
        _LOG.info(
            "instance_started",
            extra={
                "callers": self.settings.caller_address,
                "peers": self.settings.peer_address,
                "store": self.settings.store_address,
            },
        )
        self._start_tunnels(tunnels)
        self.metrics.load()
        if peers is not None:
            _start_server(peers, self._handle_peer, PEER_THREADS)
        _start_server(metrics, self._handle_metrics, 1)

    def _start_tunnels(self, listener: socket.socket) -> None:
        # pylint: disable-next=import-outside-toplevel
        from catkintrail.adapters import tunnel_server

        self.tunnels = tunnel_server.TunnelServer(
            listener,
            self.router.find_target,
            lambda: not self.connector.is_cut_off(),
            self.connector.record_own_link,
        )
        self.tunnels.start()

    def _await_initial_state(self) -> None:
        started = clock.boot_seconds()
        while True:
            is_ready = self.router.status().is_ready
            if is_ready and self.quarantine_keeper.has_called:
                return
            limit = INITIAL_STATE_TIMEOUT_SECONDS
            if is_ready:
                limit = QUARANTINES_TIMEOUT_SECONDS
            if clock.boot_seconds() - started >= limit:
                return
            time.sleep(INITIAL_STATE_POLL_SECONDS)

    def request_stop(self) -> None:
        """Makes `run` drain the instance and return.

        May be called by a signal handler.
        """
        self._stop_request.make()

    def run(self) -> None:
        """Serves until `request_stop`, then finishes requests in flight."""
        while not self._stop_request.wait(SETTINGS_POLL_SECONDS):
            self.reload()
        self._drain()

    def reload(self) -> None:
        """Applies the settings file if it has changed.

        An invalid file is logged, and the old settings stay in force.
        """
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
        self.leases.lease_table.set_free_seconds(
            self.settings.memory_free_seconds
        )
        _LOG.info("settings_reloaded", extra={"path": path})

    def _drain(self) -> None:
        started = clock.boot_seconds()
        self.is_draining = True
        self.callers.is_draining = True
        self.tunnels.is_declining = True
        self.router.proxy.announce_shutdown.defer()
        _LOG.info(
            "instance_draining", extra={"in_flight": self.callers.in_flight}
        )
        time.sleep(DRAIN_NOTICE_SECONDS)
        # Callers may still connect: if few instances of a zone are ready, the
        # load balancer uses all of them. Requests accepted from here on could
        # not be finished in time, so the server stops accepting.
        drain_seconds = self.settings.drain_seconds - DRAIN_MARGIN_SECONDS
        deadline = started + drain_seconds
        stop_thread = threading.Thread(
            target=self.callers.stop,
            args=(deadline - clock.boot_seconds(),),
            name="drain",
            daemon=True,
        )
        stop_thread.start()
        answer_at = deadline - ANSWER_SECONDS
        stop_thread.join(max(0.0, answer_at - clock.boot_seconds()))
        self.watch.interrupt_all()
        stop_thread.join(max(0.0, deadline - clock.boot_seconds()))
        self._await_tunnels(deadline)
        self.callers.answer_unfinished()
        _LOG.info(
            "instance_stopped",
            extra={
                "in_flight": self.callers.in_flight,
                "elapsed_ms": round((clock.boot_seconds() - started) * 1000),
            },
        )

    def _await_tunnels(self, deadline: float) -> None:
        """Waits until peers have closed the tunnels that are carried here."""
        while self.tunnels.count and clock.boot_seconds() < deadline:
            time.sleep(TUNNEL_POLL_SECONDS)

    def _run_ticks(self) -> None:
        started = last_tick_at = clock.boot_seconds()
        while True:
            now = clock.boot_seconds()
            if now - last_tick_at > STALL_SECONDS:
                self.client.stalled_at = now
            last_tick_at = now
            try:
                self._tick()
            except Exception:  # pylint: disable=broad-exception-caught
                # A call of the router times out if the process was suspended
                # meanwhile. The thread has to go on: it sends the heartbeats.
                _LOG.exception("loop_failed", extra={"loop": "tick"})
            age = clock.boot_seconds() - started
            is_starting = age < router_actor.START_SECONDS
            time.sleep(START_TICK_SECONDS if is_starting else TICK_SECONDS)

    def _tick(self) -> None:
        self.router.proxy.tick.defer()
        self.client.close_idle()
        self.callers.add_threads()
        status = self.router.status()
        self.connector.peers = status.peers
        self._share_connections(len(status.peers) + 1)

    def _apply_configuration(
        self, configuration: route_table.Configuration
    ) -> None:
        """Applies a configuration outside the router.

        Called by the thread of the actor, so that no request is admitted under
        a configuration that is not applied here.
        """
        self._services = configuration.services
        self.client.engine_services = frozenset(
            service.name
            for service in self._services.values()
            if service.engine is not None
        )
        self.callers.apply_limits(configuration.limits)
        self.callers.organisations = configuration.organisations

    def _share_connections(self, instances: int) -> None:
        """Divides the connections that targets accept by all instances."""
        self.client.connection_shares = {
            service.name: service.max_connections // instances
            for service in self._services.values()
            if service.max_connections
        }

    def _receive_datagram(self, address: str, message: Any) -> None:
        self.router.proxy.handle_message.defer(address, message)

    def _read_peer(
        self, address: str, known_version: int, timeout_seconds: float
    ) -> router_status.PeerState:
        port = self.settings.peer_address.rpartition(":")[2]
        try:
            response = self.http.request(
                "GET",
                f"http://{address}:{port}{STATE_PATH}?have={known_version}",
                timeout=timeout_seconds,
            )
            return msgspec.json.decode(
                zlib.decompress(response.data), type=router_status.PeerState
            )
        except (
            urllib3.exceptions.HTTPError,
            OSError,
            msgspec.DecodeError,
            RecursionError,
            zlib.error,
        ) as error:
            raise errors.PlatformUnavailableError(
                f"peer {address}: {error}"
            ) from error

    def _handle_ready(self, request: wsgi.Request) -> wsgi.Response:
        if request.path != wire.READY_PATH:
            return wsgi.Response(404, [("Content-Length", "0")], [])
        is_ready = not self.is_draining and self.router.status().is_ready
        status = 200 if is_ready else 503
        return wsgi.Response(status, [("Content-Length", "0")], [])

    def _handle_peer(self, request: wsgi.Request) -> wsgi.Response:
        if request.path == STATE_PATH:
            return self._handle_state(request)
        return self._handle_metrics(request)

    def _handle_state(self, request: wsgi.Request) -> wsgi.Response:
        known = request.query.get("have", "")
        known_version = wire.decode_count(known)
        if known_version is None:
            known_version = -1
        state = self.router.peer_state(known_version)
        body = zlib.compress(msgspec.json.encode(state), STATE_COMPRESSION)
        headers = [
            ("Content-Type", "application/octet-stream"),
            ("Content-Length", str(len(body))),
        ]
        return wsgi.Response(200, headers, [body])

    def _handle_metrics(self, request: wsgi.Request) -> wsgi.Response:
        if request.path != METRICS_PATH:
            return wsgi.Response(404, [("Content-Length", "0")], [])
        status = self.router.status()
        gauges = {
            "catkintrail_requests_in_flight": self.callers.in_flight,
            "catkintrail_configuration_version": status.version,
            "catkintrail_proof_age_seconds": status.proof_age_seconds,
            "catkintrail_targets_age_seconds": status.targets_age_seconds,
            "catkintrail_peers": len(status.peers),
            "catkintrail_known_attempts": status.attempts,
            "catkintrail_slow_targets": status.slow_targets,
            "catkintrail_strained_targets": status.strained_targets,
            "catkintrail_greatest_slowness": status.greatest_slowness,
            "catkintrail_quarantined_requests": len(
                self.router.quarantine.quarantined
            ),
            "catkintrail_cold_targets": status.cold_targets,
            "catkintrail_store_calls": self.store.call_count,
            "catkintrail_connections_opened": self.connector.opened,
            "catkintrail_connections_through_peers": (
                self.connector.through_peers
            ),
            "catkintrail_cut_targets": self.connector.count_cut_targets(),
            "catkintrail_tunnels": self.tunnels.count,
            "catkintrail_connections_reused": self.client.reused_connections,
            "catkintrail_log_lines_dropped": self.log_handler.dropped,
            "catkintrail_memory_orders": self.orders.order_count,
            "catkintrail_datagrams_dropped": self.datagrams.dropped,
        }
        self._evacuation_gauges.update(
            self.router.notices.evacuations, clock.boot_seconds()
        )
        for name, labels, value in self.callers.read_figures():
            self.metrics.set(name, float(value), labels)
        body, headers = self.metrics.render(
            gauges, self.router.retry_usage(), request.headers.get("accept", "")
        )
        pairs = list(headers.items()) + [("Content-Length", str(len(body)))]
        return wsgi.Response(200, pairs, [body])


def run(ready_listener: socket.socket | None = None) -> int:
    """Runs an instance until SIGTERM.

    Args:
        ready_listener: Socket that listens on the port of the readiness check
            already; None opens it when the instance is ready.

    Raises:
        errors.CheckError: The settings are invalid.
        errors.StartError: A port cannot be used.
    """
    path = boot.settings_path()
    settings_text = boot.read_text(path)
    settings = boot.parse_settings(settings_text, path)
    allocator.limit_retention()
    threading.stack_size(THREAD_STACK_BYTES)
    log_handler, listener = logs.configure_queued(
        "info", settings.name, settings.availability_zone
    )
    instance = RelayInstance(
        settings, settings_text, log_handler, ready_listener
    )
    signal.signal(signal.SIGTERM, lambda *_: instance.request_stop())
    instance.start()
    instance.run()
    listener.stop()
    # A normal exit would wait for the HTTP server's idle threads.
    os._exit(0)  # pylint: disable=protected-access


def _start_server(
    listener: socket.socket, application: wsgi.Application, threads: int
) -> None:
    host, port = listener.getsockname()
    server = wsgi.make_server(
        host,
        port,
        wsgi.make_application(application, 0),
        threads,
        CONNECTION_TIMEOUT_SECONDS,
        listener=listener,
        max_body_bytes=0,
        max_connections=wsgi.INTERNAL_CONNECTIONS,
    )
    threading.Thread(
        target=server.serve, name=f"serve-{port}", daemon=True
    ).start()
