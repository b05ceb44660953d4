"""Passes targets' answers on to callers: whole, or event by event."""

from typing import Callable

from catkintrail import errors
from catkintrail import relay_progress
from catkintrail import verdict as verdicts
from catkintrail.core import event_stream
from catkintrail.core import request_router
from catkintrail.core import route_table
from catkintrail.ports import relaying

__all__ = ["AnswerPasser", "first_answer_by"]

# A repeatable request goes elsewhere when nothing came for this many times the
# predicted time, and at least the time below.
SILENCE_FACTOR = 2.5
SILENCE_FLOOR_SECONDS = 1.0
# Where the other target can still answer within the goal, it is asked after
# this many times the predicted time already.
EARLY_FACTOR = 2.0
EARLY_FLOOR_MS = 160.0
# A stream goes on elsewhere at this share of its caller's patience: a pass that
# holds a part of a long prompt takes up to 1.3 s.
STALL_SHARE = 0.75
# An answer of a plain service is silent after this share of its time-out, where
# it may be sent once more.
PLAIN_SILENCE_SHARE = 0.45
MAX_ANSWER_BYTES = 16 << 20

Verdict = verdicts.Verdict


def first_answer_by(
    route: route_table.Route,
    progress: relay_progress.Progress,
    grant: request_router.Grant,
    now: float,
) -> float:
    """Returns when a target without an answer is given up."""
    if not route.is_repeatable or progress.sends + 1 >= route.max_sends:
        return progress.until
    if route.kind is route_table.Kind.STREAMING:
        predicted = grant.predicted_ms
        elapsed = (now - progress.request.received_at) * 1000.0
        early = max(EARLY_FLOOR_MS, EARLY_FACTOR * predicted)
        wait = max(SILENCE_FLOOR_SECONDS, SILENCE_FACTOR * predicted / 1000.0)
        is_in_time = elapsed + early + predicted <= route.goal_ms
        if grant.may_repeat_early and is_in_time:
            wait = early / 1000.0
    else:
        wait = PLAIN_SILENCE_SHARE * route.timeout_ms / 1000.0
    return min(progress.until, now + wait)


class AnswerPasser:
    """Passes answers on to their end.

    Attributes:
        router: Is told of first tokens.
        metrics: Where counts and times go.
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

    def pass_answer(
        self,
        route: route_table.Route,
        progress: relay_progress.Progress,
        answer: relaying.Answer,
        reply: relaying.CallerReply,
    ) -> None:
        """Passes an answer on once it is whole."""
        parts = []
        size = 0
        while data := answer.read(progress.until):
            parts.append(data)
            size += len(data)
            if size > MAX_ANSWER_BYTES:
                raise errors.TargetError(
                    "the answer is too long", Verdict.MAY_HAVE_RUN
                )
        body = b"".join(parts)
        is_failure = answer.status >= 500
        if not answer.is_signed and not is_failure:
            raise errors.TargetError(
                "the answer is not signed", Verdict.MAY_HAVE_RUN
            )
        may_repeat = route.is_repeatable and progress.sends < route.max_sends
        if is_failure and (may_repeat or progress.has_started):
            raise errors.TargetAnsweredError(
                answer.status, answer.headers, body
            )
        if progress.has_started:
            raise errors.TargetError(
                "a stream was not resumed", Verdict.MAY_HAVE_RUN
            )
        reply.start(answer.status, answer.headers, len(body))
        reply.write(body)

    def pass_stream(
        self,
        route: route_table.Route,
        progress: relay_progress.Progress,
        grant: request_router.Grant,
        key: str,
        answer: relaying.Answer,
        reply: relaying.CallerReply,
        sent_at: float,
        first_by: float,
    ) -> None:
        """Passes events on as they become whole."""
        reader = event_stream.EventReader()
        stall = STALL_SHARE * request_router.caller_patience_ms(route) / 1000.0
        may_resume = route.is_resumable and progress.sends < route.max_sends
        wait_until = first_by
        is_first = True
        while data := answer.read(min(progress.until, wait_until)):
            try:
                events = reader.feed(data)
                events = [e for e in events if progress.sequence.accept(e)]
            except errors.FrameError as error:
                raise errors.TargetError(
                    str(error), Verdict.MAY_HAVE_RUN
                ) from error
            if events:
                if is_first:
                    is_first = False
                    self._note_first(progress, grant, key, sent_at)
                if not progress.has_started:
                    progress.has_started = True
                    reply.start(answer.status, answer.headers, None)
                progress.note_events(self.clock())
                reply.write(b"".join(event.data for event in events))
                wait_until = progress.until
                if may_resume:
                    wait_until = self.clock() + stall
        if reader.pending.strip():
            raise errors.TargetError(
                "the stream ends within an event", Verdict.MAY_HAVE_RUN
            )
        if not progress.has_started:
            reply.start(answer.status, answer.headers, None)

    def _note_first(
        self,
        progress: relay_progress.Progress,
        grant: request_router.Grant,
        key: str,
        sent_at: float,
    ) -> None:
        now = self.clock()
        measured = (now - sent_at) * 1000.0
        self.router.note_first_token(key, measured, grant.predicted_ms)
        if not progress.first_event_at:
            progress.first_event_at = now
            self.metrics.note_first_event(now - progress.request.received_at)
