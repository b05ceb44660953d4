"""The path of a caller's request to a target and of the answer back."""

import itertools
import logging
import random
from typing import Callable

from catkintrail import errors
from catkintrail import relay_answers
from catkintrail import relay_ends
from catkintrail import relay_progress
from catkintrail import verdict as verdicts
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
# A target that was silent for less than this may just be slow.
SILENT_SECONDS = 0.8

Refusal = verdicts.Refusal
Verdict = verdicts.Verdict


class Relay:
    """Serves callers' requests.

    Attributes:
        router: Decisions of this instance.
        targets: Sends requests.
        leases: Reserves memory on engines.
        metrics: Where counts and times go.
        clock: Returns the time in seconds.
        answers: Passes answers on.
        ends: Ends requests and logs their ends.
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
        self.answers = relay_answers.AnswerPasser(router, metrics, clock)
        self.ends = relay_ends.RequestEnds(metrics, clock, rng)
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
            self.ends.refuse(request, reply, "", admission)
            return
        route = admission.route
        wait_ms = min(request.deadline_ms, route.timeout_ms)
        until = request.received_at + wait_ms / 1000.0 - ANSWER_MARGIN_SECONDS
        progress = relay_progress.Progress(request, until)
        try:
            self._serve(admission, progress, reply, caller)
        except errors.CallerGoneError:
            self.ends.note_end(request, route.name, "caller_left", progress)
            raise

    def _serve(
        self,
        admission: request_router.Admission,
        progress: relay_progress.Progress,
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
                self.ends.fail(route, progress, reply, failure, refusal)
                return
            failure = self._send(admission, progress, grant, key, reply, caller)
            if failure is None:
                self.ends.note_end(request, route.name, "answered", progress)
                return

    def _place(
        self,
        admission: request_router.Admission,
        progress: relay_progress.Progress,
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
        progress: relay_progress.Progress,
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
                relay_ends.retry_after(verdict),
            )
        return None

    def _send(
        self,
        admission: request_router.Admission,
        progress: relay_progress.Progress,
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
        progress: relay_progress.Progress,
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
        progress: relay_progress.Progress,
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
        head_by = relay_answers.first_answer_by(route, progress, grant, sent_at)
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
                self.answers.pass_stream(
                    route, progress, grant, key, answer, reply, sent_at, head_by
                )
            else:
                self.answers.pass_answer(route, progress, answer, reply)
        finally:
            caller.detach()
            answer.close()


def _find_at_fault(
    grant: request_router.Grant, error: errors.TargetError
) -> str:
    """Returns the name of the target that a failure is due to."""
    for target in grant.helpers:
        if error.at_fault in (target.name, target.address):
            return target.name
    return grant.target.name
