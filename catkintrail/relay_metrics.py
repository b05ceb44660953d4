"""Metrics of a relaying instance."""

import threading
from typing import Any, Callable, Mapping

from catkintrail.core import service_retry_budget

__all__ = ["RelayMetrics"]


class RelayMetrics:
    """Records the outcomes of requests and sends.

    The library is loaded by `load`, when the instance serves already. What is
    recorded before is kept until then.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # An adapters.metrics.Metrics.
        self._metrics: Any = None
        self._early_records: list[Callable[[Any], None]] = []

    def load(self) -> None:
        """Loads the library, and records what was kept."""
        # pylint: disable-next=import-outside-toplevel
        from catkintrail.adapters import metrics as metrics_module

        metrics = metrics_module.Metrics()
        with self._lock:
            for record in self._early_records:
                record(metrics)
            self._early_records.clear()
            self._metrics = metrics

    def record_request(self, outcome: str, seconds: float) -> None:
        """Counts a finished request and records its duration."""
        labels = {"outcome": outcome}

        def record(metrics: Any) -> None:
            metrics.increment("catkintrail_relayed_total", labels)
            metrics.observe("catkintrail_relay_seconds", seconds, labels)

        self._record(record)

    def record_first_event(self, seconds: float) -> None:
        """Records the time from a request to its first event."""
        self._record(
            lambda metrics: metrics.observe(
                "catkintrail_first_token_seconds", seconds, {}
            )
        )

    def record_send(self, outcome: str) -> None:
        """Counts a finished send."""
        self._record(
            lambda metrics: metrics.increment(
                "catkintrail_sends_total", {"outcome": outcome}
            )
        )

    def set(self, name: str, value: float, labels: dict[str, str]) -> None:
        """Sets a gauge."""
        self._record(lambda metrics: metrics.set(name, value, labels))

    def render(
        self,
        gauges: Mapping[str, float],
        retry_usage: Mapping[str, service_retry_budget.BudgetUsage],
        accept: str,
    ) -> tuple[bytes, dict]:
        """Renders all metrics; needs the library.

        Args:
            gauges: Current values, by the names of their metrics.
            retry_usage: Use of the retry budget, by service.
            accept: The request's Accept header.

        Returns:
            The response body and its HTTP headers.
        """
        for name, value in gauges.items():
            self._metrics.set(name, float(value), {})
        for service, usage in retry_usage.items():
            labels = {"service": service}
            self._metrics.set("catkintrail_retries", usage.retries, labels)
            self._metrics.set(
                "catkintrail_retries_allowed", usage.allowed, labels
            )
        return self._metrics.render([accept])

    def _record(self, record: Callable[[Any], None]) -> None:
        with self._lock:
            if self._metrics is None:
                self._early_records.append(record)
                return
        record(self._metrics)
