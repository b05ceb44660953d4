"""Metrics in the Prometheus text format."""

import threading
from typing import Iterable

import aioprometheus
from aioprometheus import collectors
from aioprometheus import renderer

__all__ = ["DESCRIPTIONS", "Metrics"]

# Type and help text of every metric; docs/OPERATIONS.md lists all of them.
DESCRIPTIONS: dict[str, tuple[type, str]] = {
    "catkintrail_requests_total": (
        aioprometheus.Counter,
        "Requests ended, by kind, outcome and verdict.",
    ),
    "catkintrail_attempts_total": (
        aioprometheus.Counter,
        "Attempts on targets, by outcome.",
    ),
    "catkintrail_first_token_seconds": (
        aioprometheus.Histogram,
        "Time to first token, by class of prompt length.",
    ),
    "catkintrail_requests_in_flight": (
        aioprometheus.Gauge,
        "Requests being served.",
    ),
    "catkintrail_waiting_requests": (
        aioprometheus.Gauge,
        "Requests in the queues of the pools owned here.",
    ),
    "catkintrail_owned_pools": (
        aioprometheus.Gauge,
        "Pools owned here.",
    ),
    "catkintrail_members": (
        aioprometheus.Gauge,
        "Instances in this instance's view, by status.",
    ),
    "catkintrail_generation": (
        aioprometheus.Gauge,
        "Generation of the configuration in force.",
    ),
    "catkintrail_peer_bytes": (
        aioprometheus.Gauge,
        "Bytes of frames since the start, by direction.",
    ),
    "catkintrail_refused_frames": (
        aioprometheus.Gauge,
        "Streams and frames from peers that were refused.",
    ),
    "catkintrail_reservations_claimed": (
        aioprometheus.Gauge,
        "Reservations of engine memory that this instance claims.",
    ),
    "catkintrail_cleanups_total": (
        aioprometheus.Counter,
        "Abandoned reservations freed on engines.",
    ),
    "catkintrail_platform_errors_total": (
        aioprometheus.Counter,
        "Calls to the platform without an answer, by purpose.",
    ),
    "catkintrail_relayed_total": (
        aioprometheus.Counter,
        "Relayed requests ended, by outcome.",
    ),
    "catkintrail_relay_seconds": (
        aioprometheus.Histogram,
        "Time to the end of relayed requests, by outcome.",
    ),
    "catkintrail_sends_total": (
        aioprometheus.Counter,
        "Sends to targets, by outcome.",
    ),
    "catkintrail_configuration_version": (
        aioprometheus.Gauge,
        "Version of the configuration in force.",
    ),
    "catkintrail_targets_age_seconds": (
        aioprometheus.Gauge,
        "Time since the known targets had all changes of the store.",
    ),
    "catkintrail_proof_age_seconds": (
        aioprometheus.Gauge,
        "Age of the proof that no newer configuration was in force.",
    ),
    "catkintrail_peers": (
        aioprometheus.Gauge,
        "Relaying peers that are alive.",
    ),
    "catkintrail_known_attempts": (
        aioprometheus.Gauge,
        "Attempts known at targets, own ones and peers'.",
    ),
    "catkintrail_quarantined_requests": (
        aioprometheus.Gauge,
        "Requests, and combinations of prompt parts, that are kept away from"
        " targets, since they crash them.",
    ),
    "catkintrail_slow_targets": (
        aioprometheus.Gauge,
        "Targets suspected of being slow.",
    ),
    "catkintrail_strained_targets": (
        aioprometheus.Gauge,
        "Targets that handle fewer requests well than they have slots.",
    ),
    "catkintrail_greatest_slowness": (
        aioprometheus.Gauge,
        "How many times as slow as normal the slowest target is.",
    ),
    "catkintrail_retries": (
        aioprometheus.Gauge,
        "Retries in the window of the retry budget, by service.",
    ),
    "catkintrail_retries_allowed": (
        aioprometheus.Gauge,
        "Retries that this instance may send in that window, by service.",
    ),
    "catkintrail_store_calls": (
        aioprometheus.Gauge,
        "Calls to the platform's store since the start.",
    ),
    "catkintrail_connections_opened": (
        aioprometheus.Gauge,
        "Connections opened to targets since the start.",
    ),
    "catkintrail_connections_through_peers": (
        aioprometheus.Gauge,
        "Those among them that lead through a peer.",
    ),
    "catkintrail_cut_targets": (
        aioprometheus.Gauge,
        "Targets that only peers reach.",
    ),
    "catkintrail_tunnels": (
        aioprometheus.Gauge,
        "Connections to targets that this instance carries for peers.",
    ),
    "catkintrail_connections_reused": (
        aioprometheus.Gauge,
        "Requests sent on a kept connection since the start.",
    ),
    "catkintrail_log_lines_dropped": (
        aioprometheus.Gauge,
        "Log lines dropped since the start, for want of a reader.",
    ),
    "catkintrail_memory_orders": (
        aioprometheus.Gauge,
        "Orders about engine memory since the start.",
    ),
    "catkintrail_datagrams_dropped": (
        aioprometheus.Gauge,
        "Messages to or from peers that were dropped since the start.",
    ),
    "catkintrail_cold_targets": (
        aioprometheus.Gauge,
        "Targets that are cold and get few requests.",
    ),
    "catkintrail_evacuated_zones": (
        aioprometheus.Gauge,
        "Zones to whose targets nothing is sent.",
    ),
    "catkintrail_evacuation_age_seconds": (
        aioprometheus.Gauge,
        "Time since this instance learned of an evacuation; 0 after its end.",
    ),
    "catkintrail_orders_total": (
        aioprometheus.Counter,
        "Orders given to engines, by outcome.",
    ),
}

LATENCY_BUCKETS_SECONDS = (0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 2.5, 5.0, 10.0, 30.0)


class Metrics:
    """The metrics of one process; thread-safe."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._lock = threading.Lock()
        self._collectors = {
            name: self._make_collector(collector_type, name, help_text)
            for name, (collector_type, help_text) in DESCRIPTIONS.items()
        }

    def increment(self, name: str, labels: dict[str, str], by: int = 1) -> None:
        """Increments a counter."""
        with self._lock:
            self._collectors[name].add(labels, by)

    def set(self, name: str, value: float, labels: dict[str, str]) -> None:
        """Sets a gauge."""
        with self._lock:
            self._collectors[name].set(labels, value)

    def observe(self, name: str, value: float, labels: dict[str, str]) -> None:
        """Adds an observation to a histogram."""
        with self._lock:
            self._collectors[name].observe(labels, value)

    def render(self, accept_values: Iterable[str]) -> tuple[bytes, dict]:
        """Renders all metrics.

        Args:
            accept_values: Values of the request's Accept header.

        Returns:
            The response body and its HTTP headers.
        """
        with self._lock:
            return renderer.render(self.registry, list(accept_values))

    def _make_collector(
        self, collector_type: type, name: str, help_text: str
    ) -> collectors.Collector:
        if collector_type is aioprometheus.Histogram:
            return collector_type(
                name,
                help_text,
                buckets=list(LATENCY_BUCKETS_SECONDS),
                registry=self.registry,
            )
        return collector_type(name, help_text, registry=self.registry)
