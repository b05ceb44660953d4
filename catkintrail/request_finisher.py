"""Ends requests: refusals, failures and the final log line of each request."""

import logging
import random
from typing import Callable

from catkintrail import errors
from catkintrail import request_progress
from catkintrail import verdict as verdicts
from catkintrail.core import route_table
from catkintrail.core import target_choice
from catkintrail.ports import relaying

__all__ = ["RequestFinisher", "retry_after"]

_LOG = logging.getLogger("catkintrail.relay")

# Random extra time in `Retry-After`, as a fraction of the stated time, so that
# refused callers do not all retry at once.
RETRY_JITTER = 0.5

Refusal = verdicts.Refusal
Verdict = verdicts.Verdict


class RequestFinisher:
    """Ends failed and refused requests, and logs the end of every request.

    Attributes:
        metrics: Records counts and durations.
        clock: Returns the time in seconds.
        rng: Source of the jitter in `Retry-After`.
    """

    def __init__(
        self,
        metrics: relaying.RelayMetrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.metrics = metrics
        self.clock = clock
        self.rng = rng

    def fail(
        self,
        route: route_table.Route,
        progress: request_progress.Progress,
        writer: relaying.ResponseWriter,
        failure: errors.TargetError | None,
        refusal: Refusal | None,
    ) -> None:
        """Ends a request that could not be served.

        A started stream is aborted, and a failure that the target itself
        responded with is forwarded. Otherwise the caller gets the refusal.

        Args:
            route: Route of the request.
            progress: State of the request.
            writer: Sends the response to the caller.
            failure: How the last send failed; None without a send.
            refusal: Why the request is not sent again.
        """
        request = progress.request
        if progress.has_started:
            self.record_end(
                request, route.name, "stream_cut", progress, refusal
            )
            writer.abort()
            return
        if isinstance(failure, errors.TargetResponseError):
            self.record_end(
                request, route.name, "target_failure", progress, refusal
            )
            writer.start(failure.status, failure.headers, len(failure.body))
            writer.write(failure.body)
            return
        assert refusal is not None
        verdict = verdicts.combine(progress.verdict, refusal.verdict)
        self.refuse(
            request,
            writer,
            route.name,
            refusal._replace(verdict=verdict),
            progress,
        )

    def refuse(
        self,
        request: relaying.CallerRequest,
        writer: relaying.ResponseWriter,
        route: str,
        refusal: Refusal,
        progress: request_progress.Progress | None = None,
    ) -> None:
        """Sends a refusal whose status does not overstate what is known."""
        status = _status(refusal)
        headers = []
        wait_seconds = refusal.retry_after_seconds
        if status in (429, 503):
            wait_seconds = (
                retry_after(Verdict.NOT_RUN)
                if wait_seconds is None
                else wait_seconds
            )
            wait_seconds *= 1 + RETRY_JITTER * self.rng.random()
            headers.append(("Retry-After", f"{wait_seconds:.2f}"))
        body = f"{refusal.reason.value}: {refusal.message}\n".encode()
        headers.append(("Content-Type", "text/plain; charset=utf-8"))
        self.record_end(request, route, "refused", progress, refusal, status)
        writer.start(status, tuple(headers), len(body))
        writer.write(body)

    def record_end(
        self,
        request: relaying.CallerRequest,
        route: str,
        outcome: str,
        progress: request_progress.Progress | None = None,
        refusal: Refusal | None = None,
        status: int = 0,
    ) -> None:
        """Counts and logs the end of a request."""
        elapsed_seconds = self.clock() - request.received_at
        self.metrics.record_request(outcome, elapsed_seconds)
        extra = {
            "request_id": request.request_id,
            "route": route,
            "outcome": outcome,
            "elapsed_ms": round(elapsed_seconds * 1000.0, 1),
        }
        if progress is not None:
            extra["sends"] = progress.send_count
            if progress.first_event_at:
                first_event_seconds = (
                    progress.first_event_at - request.received_at
                )
                extra["first_event_ms"] = round(first_event_seconds * 1000.0, 1)
                gap_ms = progress.longest_gap_seconds * 1000.0
                extra["longest_gap_ms"] = round(gap_ms, 1)
        if refusal is not None:
            extra["verdict"] = refusal.verdict.value
            extra["cause"] = refusal.reason.value
            extra["reason"] = refusal.message
        if status:
            extra["status"] = status
        is_expected = outcome in ("answered", "caller_left")
        level = logging.INFO if is_expected else logging.WARNING
        _LOG.log(level, "request_ended", extra=extra)


def retry_after(verdict: Verdict) -> float | None:
    """Returns after how many seconds a caller may retry.

    None means that the request may have run, and that no time is stated.
    """
    if verdict is Verdict.NOT_RUN:
        return target_choice.NO_TARGET_RETRY_SECONDS
    return None


def _status(refusal: Refusal) -> int:
    """Returns the HTTP status of a refusal.

    502 and 504 are kept for requests that may have run. A request that surely
    did not run gets 503 in their place.
    """
    status = verdicts.STATUS_OF_REASON[refusal.reason]
    if refusal.verdict is Verdict.NOT_RUN:
        if status in (502, 504):
            return 503
        return status
    if refusal.reason is verdicts.Reason.DEADLINE:
        return 504
    return 502
