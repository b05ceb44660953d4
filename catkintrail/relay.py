"""The path of a caller's request to a target and of the answer back."""

import itertools
import logging
import random
from typing import Callable

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.core import event_stream
from catkintrail.core import memory_lease
from catkintrail.core import request_router
from catkintrail.core import route_table
from catkintrail.ports import relaying

__all__ = ["Relay"]

_LOG = logging.getLogger("catkintrail.relay")

# The final answer leaves this long before the route's time-out or the caller's
# deadline, for its way to the caller.
ANSWER_MARGIN_SECONDS = 0.04
# A request that is left with less is not sent to another target.
MIN_SEND_SECONDS = 0.02
# A repeatable request goes elsewhere when nothing came for this many times the
# predicted time, and at least the time below.
SILENCE_FACTOR = 2.5
SILENCE_FLOOR_SECONDS = 1.0
# Where the other target can still answer within the goal, it is asked after
# this many times the predicted time already.
EARLY_FACTOR = 2.0
EARLY_FLOOR_MS = 160.0
# A target that was silent for less than this may just be slow.
SILENT_SECONDS = 0.8
# A stream goes on elsewhere at this share of its caller's patience: a pass that
# holds a part of a long prompt takes up to 1.3 s.
STALL_SHARE = 0.75
# An answer of a plain service is silent after this share of its time-out, where
# it may be sent once more.
PLAIN_SILENCE_SHARE = 0.45
# Refused callers come back spread over this much of the stated time.
RETRY_JITTER = 0.5
MAX_ANSWER_BYTES = 16 << 20

Refusal = verdicts.Refusal
Verdict = verdicts.Verdict


class _Progress:
    """What was done for a request so far."""

    def __init__(self, request: relaying.CallerRequest, until: float) -> None:
        self.request = request
        self.until = until
        self.verdict = Verdict.NOT_RUN
        self.sends = 0
        self.tried: set[str] = set()
        self.sequence = event_stream.EventSequence(request.last_event)
        self.has_started = False
        self.first_event_at = 0.0
        self.last_event_at = 0.0
        self.longest_gap = 0.0

    def note_events(self, now: float) -> None:
        """Notes that events are passed on."""
        if self.last_event_at:
            gap = now - self.last_event_at
            self.longest_gap = max(self.longest_gap, gap)
        self.last_event_at = now


class Relay:
    """Serves callers' requests.

    Attributes:
        router: Decisions of this instance.
        targets: Sends requests.
        leases: Reserves memory on engines.
        metrics: Where counts and times go.
        clock: Returns the time in seconds.
    """

    def __init__(
        self,
        name: str,
        router: relaying.Router,
        targets: relaying.RelayTargets,
        leases: relaying.MemoryLeases,
        metrics: relaying.RelayMetrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.router = router
        self.targets = targets
        self.leases = leases
        self.metrics = metrics
        self.clock = clock
        self.rng = rng
        self._name = name
        self._keys = itertools.count(1)

    def handle(
        self,
        request: relaying.CallerRequest,
        reply: relaying.CallerReply,
        caller: relaying.Caller,
    ) -> None:
        """Serves one request to its end."""
        path = request.uri.partition("?")[0]
        admission = self.router.admit(request.host, path, request.api_key)
        if isinstance(admission, Refusal):
            self._refuse(request, reply, "", admission)
            return
        route = admission.route
        wait_ms = min(request.deadline_ms, route.timeout_ms)
        until = request.received_at + wait_ms / 1000.0 - ANSWER_MARGIN_SECONDS
        progress = _Progress(request, until)
        try:
            self._serve(admission, progress, reply, caller)
        except errors.CallerGoneError:
            self._log_end(request, route.name, "caller_left", progress)
            raise

    def _serve(
        self,
        admission: request_router.Admission,
        progress: _Progress,
        reply: relaying.CallerReply,
        caller: relaying.Caller,
    ) -> None:
        request = progress.request
        route = admission.route
        failure: errors.TargetError | None = None
        while True:
            if caller.is_gone:
                raise errors.CallerGoneError("the caller left")
            refusal: Refusal | None = None
            if progress.until - self.clock() < MIN_SEND_SECONDS:
                refusal = Refusal(
                    progress.verdict,
                    verdicts.Reason.DEADLINE,
                    "the time is over",
                )
            elif failure is not None:
                refusal = self._check_repeat(route, progress, failure)
            grant: request_router.Grant | Refusal | None = None
            if refusal is None:
                key = f"{self._name}/{next(self._keys)}"
                grant = self._place(admission, progress, key)
                if isinstance(grant, Refusal):
                    refusal = grant
            if refusal is not None or grant is None:
                self._fail(route, progress, reply, failure, refusal)
                return
            failure = self._send(admission, progress, grant, key, reply, caller)
            if failure is None:
                self._log_end(request, route.name, "answered", progress)
                return

    def _place(
        self,
        admission: request_router.Admission,
        progress: _Progress,
        key: str,
    ) -> request_router.Grant | Refusal:
        request = progress.request
        elapsed_ms = (self.clock() - request.received_at) * 1000.0
        return self.router.place(
            request_router.PlaceRequest(
                key,
                admission,
                request.prompt_tokens,
                request.output_tokens,
                elapsed_ms,
                frozenset(progress.tried),
                progress.sends > 0,
            )
        )

    def _check_repeat(
        self,
        route: route_table.Route,
        progress: _Progress,
        failure: errors.TargetError,
    ) -> Refusal | None:
        """Returns why a failed request is not sent again; None if it is."""
        verdict = progress.verdict
        if verdict is not Verdict.NOT_RUN and not route.is_repeatable:
            return Refusal(verdict, verdicts.Reason.TARGET_FAILED, str(failure))
        if progress.sends >= route.max_sends:
            return Refusal(
                verdict,
                verdicts.Reason.TARGET_FAILED,
                f"sent {progress.sends} times: {failure}",
                self._retry_after(verdict),
            )
        return None

    def _send(
        self,
        admission: request_router.Admission,
        progress: _Progress,
        grant: request_router.Grant,
        key: str,
        reply: relaying.CallerReply,
        caller: relaying.Caller,
    ) -> errors.TargetError | None:
        """Sends a request once; returns None when its answer was delivered."""
        request = progress.request
        sent_at = self.clock()
        _LOG.info(
            "request_placed",
            extra={
                "request_id": request.request_id,
                "route": admission.route.name,
                "target": grant.target.name,
                "helpers": [helper.name for helper in grant.helpers],
                "prompt_tokens": request.prompt_tokens,
                "predicted_ms": round(grant.predicted_ms, 1),
                "cost": round(grant.cost, 3),
                "candidates": grant.candidates,
                "version": admission.version,
                "proof_age_ms": round(admission.proof_age_ms),
                "send": progress.sends + 1,
            },
        )
        is_success = is_fault = is_silent = False
        outcome = "caller_left"
        at_fault = grant.target.name
        leases: dict[str, memory_lease.Lease] = {}
        try:
            self._reserve(grant, leases)
            self._exchange(
                admission, progress, grant, leases, key, reply, caller
            )
            is_success = True
            outcome = "answered"
            return None
        except errors.TargetError as error:
            if caller.is_gone:
                raise errors.CallerGoneError("the caller left") from error
            is_fault = True
            waited = self.clock() - sent_at
            is_silent = error.is_silent and (
                waited >= SILENT_SECONDS or error.verdict is Verdict.NOT_RUN
            )
            outcome = error.verdict.value
            at_fault = _find_at_fault(grant, error)
            # A helper fails a group where it is gone or cannot be reached.
            is_silent = is_silent or at_fault != grant.target.name
            self._note_failure(progress, grant, error, at_fault, waited)
            return error
        finally:
            for lease in leases.values():
                self.leases.give_up(lease)
            self.metrics.note_send(outcome)
            self.router.note_end(key, at_fault, is_success, is_fault, is_silent)

    def _reserve(
        self,
        grant: request_router.Grant,
        leases: dict[str, memory_lease.Lease],
    ) -> None:
        """Reserves the memory that helpers keep; adds to `leases`.

        Nothing waits for memory, so that no two requests wait for each other.
        """
        for helper, tokens in zip(grant.helpers, grant.memory[1:]):
            if tokens:
                try:
                    lease = self.leases.reserve(helper, tokens)
                except errors.TargetError as error:
                    raise errors.TargetError(
                        f"no memory for a part: {error}",
                        Verdict.NOT_RUN,
                        error.is_leaving,
                        error.is_silent,
                        helper.name,
                    ) from error
                leases[helper.name] = lease

    def _note_failure(
        self,
        progress: _Progress,
        grant: request_router.Grant,
        error: errors.TargetError,
        at_fault: str,
        waited: float,
    ) -> None:
        progress.verdict = verdicts.worst(progress.verdict, error.verdict)
        progress.tried.add(at_fault)
        if error.is_leaving:
            self.router.note_leaving(at_fault)
        _LOG.warning(
            "send_failed",
            extra={
                "request_id": progress.request.request_id,
                "target": grant.target.name,
                "at_fault": at_fault,
                "verdict": error.verdict.value,
                "reason": str(error),
                "is_silent": error.is_silent,
                "elapsed_ms": round(waited * 1000.0, 1),
                "last_event": progress.sequence.last,
            },
        )

    def _exchange(
        self,
        admission: request_router.Admission,
        progress: _Progress,
        grant: request_router.Grant,
        leases: dict[str, memory_lease.Lease],
        key: str,
        reply: relaying.CallerReply,
        caller: relaying.Caller,
    ) -> None:
        """Sends a request and passes its answer on."""
        request = progress.request
        route = admission.route
        resume_after = progress.sequence.last if progress.has_started else -1
        send = relaying.TargetRequest(
            request.request_id,
            request.method,
            request.uri,
            request.host,
            request.headers,
            request.body,
            admission.organisation,
            tuple(
                (
                    helper,
                    leases[helper.name].reservation
                    if helper.name in leases
                    else "",
                )
                for helper in grant.helpers
            ),
            resume_after,
            progress.until,
            # The proof covers the time at which the caller sent the request.
            # What was sent in time goes on, also when the store is away.
            float("inf") if progress.sends else grant.valid_until,
        )
        sent_at = self.clock()
        head_by = self._first_answer_by(route, progress, grant, sent_at)
        try:
            answer = self.targets.send(grant.target, send, caller, head_by)
        except errors.TargetError as error:
            # A connection that never stood is no send.
            if error.verdict is not Verdict.NOT_RUN or not error.is_silent:
                progress.sends += 1
            raise
        progress.sends += 1
        try:
            is_stream = (
                route.kind is route_table.Kind.STREAMING
                and answer.status == 200
            )
            if is_stream and answer.is_signed:
                self._pass_stream(
                    route, progress, grant, key, answer, reply, sent_at, head_by
                )
            else:
                self._pass_answer(route, progress, answer, reply)
        finally:
            caller.detach()
            answer.close()

    def _first_answer_by(
        self,
        route: route_table.Route,
        progress: _Progress,
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
            wait = max(
                SILENCE_FLOOR_SECONDS, SILENCE_FACTOR * predicted / 1000.0
            )
            is_in_time = elapsed + early + predicted <= route.goal_ms
            if grant.may_repeat_early and is_in_time:
                wait = early / 1000.0
        else:
            wait = PLAIN_SILENCE_SHARE * route.timeout_ms / 1000.0
        return min(progress.until, now + wait)

    def _pass_answer(
        self,
        route: route_table.Route,
        progress: _Progress,
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

    def _pass_stream(
        self,
        route: route_table.Route,
        progress: _Progress,
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
        progress: _Progress,
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

    def _fail(
        self,
        route: route_table.Route,
        progress: _Progress,
        reply: relaying.CallerReply,
        failure: errors.TargetError | None,
        refusal: Refusal | None,
    ) -> None:
        """Ends a request that gets no good answer."""
        request = progress.request
        if progress.has_started:
            self._log_end(request, route.name, "stream_cut", progress, refusal)
            reply.abort()
            return
        if isinstance(failure, errors.TargetAnsweredError):
            self._log_end(
                request, route.name, "target_failure", progress, refusal
            )
            reply.start(failure.status, failure.headers, len(failure.body))
            reply.write(failure.body)
            return
        assert refusal is not None
        verdict = verdicts.worst(progress.verdict, refusal.verdict)
        self._refuse(
            request,
            reply,
            route.name,
            refusal._replace(verdict=verdict),
            progress,
        )

    def _refuse(
        self,
        request: relaying.CallerRequest,
        reply: relaying.CallerReply,
        route: str,
        refusal: Refusal,
        progress: _Progress | None = None,
    ) -> None:
        status = _status(refusal)
        headers = []
        wait = refusal.retry_after_seconds
        if status in (429, 503):
            wait = self._retry_after(Verdict.NOT_RUN) if wait is None else wait
            wait *= 1 + RETRY_JITTER * self.rng.random()
            headers.append(("Retry-After", f"{wait:.2f}"))
        body = f"{refusal.reason.value}: {refusal.message}\n".encode()
        headers.append(("Content-Type", "text/plain; charset=utf-8"))
        self._log_end(request, route, "refused", progress, refusal, status)
        reply.start(status, tuple(headers), len(body))
        reply.write(body)

    def _retry_after(self, verdict: Verdict) -> float | None:
        if verdict is Verdict.NOT_RUN:
            return request_router.NO_TARGET_RETRY_SECONDS
        return None

    def _log_end(
        self,
        request: relaying.CallerRequest,
        route: str,
        outcome: str,
        progress: _Progress | None = None,
        refusal: Refusal | None = None,
        status: int = 0,
    ) -> None:
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


def _find_at_fault(
    grant: request_router.Grant, error: errors.TargetError
) -> str:
    """Returns the name of the target that a failure is due to."""
    for target in grant.helpers:
        if error.at_fault in (target.name, target.address):
            return target.name
    return grant.target.name


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
