"""Forwards targets' responses to callers, whole or event by event."""

from typing import Callable

from catkintrail import errors
from catkintrail import request_progress
from catkintrail import verdict as verdicts
from catkintrail.core import event_stream
from catkintrail.core import request_router
from catkintrail.core import route_table
from catkintrail.ports import relaying

__all__ = ["ResponseForwarder", "first_response_deadline"]

# A repeatable request is sent to another target when no event has arrived
# within this multiple of the predicted time to the first token, but not before
# the minimum below.
RESPONSE_TIMEOUT_FACTOR = 2.5
MIN_RESPONSE_TIMEOUT_SECONDS = 1.0
# If the retry budget is ample and another target can still respond within the
# route's goal, the request is retried after this smaller multiple of the
# predicted time, but not before the minimum below.
EARLY_RETRY_FACTOR = 2.0
MIN_EARLY_RETRY_MS = 160.0
# A stalled stream is resumed on another target after this fraction of the time
# that its caller waits for an event. A shorter timeout could end streams of
# healthy engines: a forward pass with a chunk of a long prompt takes up to
# 1.3 s.
STALL_TIMEOUT_FRACTION = 0.75
# A plain service that may be sent the request once more has to respond within
# this fraction of the route's timeout.
PLAIN_RESPONSE_TIMEOUT_FRACTION = 0.45
MAX_RESPONSE_BYTES = 4 << 20
# Unfinished events up to this size are not counted, so that usual streams are
# not cut when others have spent the memory.
FREE_EVENT_BYTES = 64 << 10

Verdict = verdicts.Verdict


def first_response_deadline(
    route: route_table.Route,
    progress: request_progress.Progress,
    placement: request_router.Placement,
    now: float,
) -> float:
    """Returns until when to wait for the start of a target's response.

    Args:
        route: Route of the request.
        progress: State of the request.
        placement: The target, with its predicted time to the first token.
        now: Time of the send, in seconds.
    """
    if not route.is_retryable or progress.send_count + 1 >= route.max_sends:
        return progress.deadline
    if route.kind is route_table.RouteKind.STREAMING:
        predicted_ms = placement.predicted_ms
        elapsed_ms = (now - progress.request.received_at) * 1000.0
        early_ms = max(MIN_EARLY_RETRY_MS, EARLY_RETRY_FACTOR * predicted_ms)
        wait_seconds = max(
            MIN_RESPONSE_TIMEOUT_SECONDS,
            RESPONSE_TIMEOUT_FACTOR * predicted_ms / 1000.0,
        )
        meets_goal = elapsed_ms + early_ms + predicted_ms <= route.goal_ms
        if placement.may_retry_early and meets_goal:
            wait_seconds = early_ms / 1000.0
    else:
        wait_seconds = (
            PLAIN_RESPONSE_TIMEOUT_FRACTION * route.timeout_ms / 1000.0
        )
    return min(progress.deadline, now + wait_seconds)


class ResponseForwarder:
    """Forwards whole responses and event streams.

    Attributes:
        router: Receives the measured times to the first token.
        metrics: Records the times to the first event.
        clock: Returns the time in seconds.
    """

    def __init__(
        self,
        router: relaying.Router,
        metrics: relaying.RelayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self.router = router
        self.metrics = metrics
        self.clock = clock

    def forward_response(
        self,
        route: route_table.Route,
        progress: request_progress.Progress,
        response: relaying.TargetResponse,
        writer: relaying.ResponseWriter,
    ) -> None:
        """Forwards a response after its whole body has arrived.

        Raises:
            errors.TargetResponseError: The target responded with a failure
                that may be retried, or that interrupts a started stream.
            errors.TargetError: The response is cut, too long or unsigned, is
                not the continuation of a started stream, or there is no memory
                for it.
        """
        chunks = []
        size = 0
        while data := response.read(progress.deadline):
            writer.hold(len(data))
            chunks.append(data)
            size += len(data)
            if size > MAX_RESPONSE_BYTES:
                raise errors.TargetError(
                    "the response is too long", Verdict.MAY_HAVE_RUN
                )
        body = b"".join(chunks)
        is_failure = response.status >= 500
        if not response.is_signed and not is_failure:
            raise errors.TargetError(
                "the response has no signature", Verdict.MAY_HAVE_RUN
            )
        may_retry = route.is_retryable and progress.send_count < route.max_sends
        if is_failure and (may_retry or progress.has_started):
            raise errors.TargetResponseError(
                response.status, response.headers, body
            )
        if progress.has_started:
            raise errors.TargetError(
                "the target did not resume the stream", Verdict.MAY_HAVE_RUN
            )
        writer.start(response.status, response.headers, len(body))
        writer.write(body)

    def forward_stream(
        self,
        route: route_table.Route,
        progress: request_progress.Progress,
        placement: request_router.Placement,
        key: str,
        response: relaying.TargetResponse,
        writer: relaying.ResponseWriter,
        sent_at: float,
        first_event_deadline: float,
    ) -> None:
        """Forwards each event of a stream as soon as it is complete.

        Args:
            route: Route of the request.
            progress: State of the request; updated.
            placement: The target, with its predicted time to the first token.
            key: Id of the send.
            response: The target's response.
            writer: Sends the response to the caller.
            sent_at: When the request was sent, in seconds.
            first_event_deadline: When to stop waiting for the first event, in
                seconds.

        Raises:
            errors.TargetError: The stream is cut, stalled or malformed, or
                there is no memory for an unfinished event.
        """
        content_type = _find_content_type(response.headers)
        if progress.has_started:
            if content_type != progress.content_type:
                raise errors.TargetError(
                    "the target did not resume the stream", Verdict.MAY_HAVE_RUN
                )
            progress.sequence.resume()
        progress.content_type = content_type
        reader = event_stream.EventReader()
        stall_seconds = (
            STALL_TIMEOUT_FRACTION
            * request_router.caller_event_timeout_ms(route)
            / 1000.0
        )
        may_resume = (
            route.is_resumable and progress.send_count < route.max_sends
        )
        read_deadline = first_event_deadline
        is_first = True
        held_bytes = FREE_EVENT_BYTES
        while data := response.read(min(progress.deadline, read_deadline)):
            try:
                received = reader.feed(data)
            except errors.FrameError as error:
                raise errors.TargetError(
                    str(error), Verdict.MAY_HAVE_RUN
                ) from error
            progress.send_events += len(received)
            self._end_trial(progress)
            # The position of the stream moves with the events that are selected
            # here, so they are sent whatever follows them.
            events, fault = progress.sequence.select(received)
            if events:
                if is_first:
                    is_first = False
                    self._record_first_event(progress, placement, key, sent_at)
                if not progress.has_started:
                    progress.has_started = True
                    writer.start(response.status, response.headers, None)
                progress.record_events(self.clock())
                writer.write(b"".join(event.data for event in events))
                read_deadline = progress.deadline
                if may_resume:
                    read_deadline = self.clock() + stall_seconds
            if fault is not None:
                raise errors.TargetError(
                    str(fault), Verdict.MAY_HAVE_RUN
                ) from fault
            if len(reader.pending) > held_bytes:
                writer.hold(len(reader.pending) - held_bytes)
                held_bytes = len(reader.pending)
        if reader.pending.strip():
            raise errors.TargetError(
                "the stream ended in the middle of an event",
                Verdict.MAY_HAVE_RUN,
                is_broken_off=True,
            )
        if not response.is_framed and not progress.send_events:
            raise errors.TargetError(
                "the stream ended before its first event",
                Verdict.MAY_HAVE_RUN,
                is_broken_off=True,
            )
        if not progress.has_started:
            writer.start(response.status, response.headers, None)

    def _end_trial(self, progress: request_progress.Progress) -> None:
        """Ends a trial, and the quarantine, once an answer is being written."""
        is_proven = progress.send_events >= request_progress.PROVING_EVENTS
        if progress.is_trial and is_proven:
            progress.is_trial = False
            self.router.record_request_proof(progress.traits)

    def _record_first_event(
        self,
        progress: request_progress.Progress,
        placement: request_router.Placement,
        key: str,
        sent_at: float,
    ) -> None:
        now = self.clock()
        measured_ms = (now - sent_at) * 1000.0
        self.router.record_first_token(key, measured_ms, placement.predicted_ms)
        if not progress.first_event_at:
            progress.first_event_at = now
            self.metrics.record_first_event(now - progress.request.received_at)


def _find_content_type(headers: tuple[tuple[str, str], ...]) -> str:
    """Returns the media type that a head states, without parameters."""
    for name, value in headers:
        if name.lower() == "content-type":
            return value.partition(";")[0].strip().lower()
    return ""
