"""How requests end: refusals, failures, and the last log line of each."""

import logging
import random
from typing import Callable

from catkintrail import errors
from catkintrail import relay_progress
from catkintrail import verdict as verdicts
from catkintrail.core import request_router
from catkintrail.core import route_table
from catkintrail.ports import relaying

__all__ = ["RequestEnds", "retry_after"]

_LOG = logging.getLogger("catkintrail.relay")

# Refused callers come back spread over this much of the stated time.
RETRY_JITTER = 0.5

Refusal = verdicts.Refusal
Verdict = verdicts.Verdict


class RequestEnds:
    """Ends requests that get no good answer, and logs every end.

    Attributes:
        metrics: Where counts and times go.
        clock: Returns the time in seconds.
        rng: Spreads the return of refused callers.
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
        progress: relay_progress.Progress,
        reply: relaying.CallerReply,
        failure: errors.TargetError | None,
        refusal: Refusal | None,
    ) -> None:
        """Ends a request that gets no good answer."""
        request = progress.request
        if progress.has_started:
            self.note_end(request, route.name, "stream_cut", progress, refusal)
            reply.abort()
            return
        if isinstance(failure, errors.TargetAnsweredError):
            self.note_end(
                request, route.name, "target_failure", progress, refusal
            )
            reply.start(failure.status, failure.headers, len(failure.body))
            reply.write(failure.body)
            return
        assert refusal is not None
        verdict = verdicts.worst(progress.verdict, refusal.verdict)
        self.refuse(
            request,
            reply,
            route.name,
            refusal._replace(verdict=verdict),
            progress,
        )

    def refuse(
        self,
        request: relaying.CallerRequest,
        reply: relaying.CallerReply,
        route: str,
        refusal: Refusal,
        progress: relay_progress.Progress | None = None,
    ) -> None:
        """Answers with a refusal, which promises no more than is known."""
        status = _status(refusal)
        headers = []
        wait = refusal.retry_after_seconds
        if status in (429, 503):
            wait = retry_after(Verdict.NOT_RUN) if wait is None else wait
            wait *= 1 + RETRY_JITTER * self.rng.random()
            headers.append(("Retry-After", f"{wait:.2f}"))
        body = f"{refusal.reason.value}: {refusal.message}\n".encode()
        headers.append(("Content-Type", "text/plain; charset=utf-8"))
        self.note_end(request, route, "refused", progress, refusal, status)
        reply.start(status, tuple(headers), len(body))
        reply.write(body)

    def note_end(
        self,
        request: relaying.CallerRequest,
        route: str,
        outcome: str,
        progress: relay_progress.Progress | None = None,
        refusal: Refusal | None = None,
        status: int = 0,
    ) -> None:
        """Counts and logs the end of a request."""
        elapsed = self.clock() - request.received_at
        self.metrics.note_request(outcome, elapsed)
        extra = {
            "request_id": request.request_id,
            "route": route,
            "outcome": outcome,
            "elapsed_ms": round(elapsed * 1000.0, 1),
        }
        if progress is not None:
            extra["sends"] = progress.sends
            if progress.first_event_at:
                first = progress.first_event_at - request.received_at
                extra["first_event_ms"] = round(first * 1000.0, 1)
                gap_ms = progress.longest_gap * 1000.0
                extra["longest_gap_ms"] = round(gap_ms, 1)
        if refusal is not None:
            extra["verdict"] = refusal.verdict.value
            extra["cause"] = refusal.reason.value
            extra["reason"] = refusal.message
        if status:
            extra["status"] = status
        good = outcome in ("answered", "caller_left")
        level = logging.INFO if good else logging.WARNING
        _LOG.log(level, "request_ended", extra=extra)


def retry_after(verdict: Verdict) -> float | None:
    """Returns when to come back, in seconds; None where it may have run."""
    if verdict is Verdict.NOT_RUN:
        return request_router.NO_TARGET_RETRY_SECONDS
    return None


def _status(refusal: Refusal) -> int:
    """Returns the status of a refusal; it promises no more than is known."""
    status = verdicts.STATUS_OF_REASON[refusal.reason]
    if refusal.verdict is Verdict.NOT_RUN:
        if status in (502, 504):
            return 503
        return status
    if refusal.reason is verdicts.Reason.DEADLINE:
        return 504
    return 502
