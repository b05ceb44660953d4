"""Relays callers' requests to targets and the responses back."""

import itertools
import logging
import random
from typing import Callable

from catkintrail import errors
from catkintrail import request_finisher
from catkintrail import request_progress
from catkintrail import response_forwarder
from catkintrail import verdict as verdicts
from catkintrail.core import memory_lease
from catkintrail.core import request_router
from catkintrail.core import route_table
from catkintrail.core import targets as target_records
from catkintrail.ports import relaying

__all__ = ["Relay"]

_LOG = logging.getLogger("catkintrail.relay")

# Time reserved for delivering the final response before the route's timeout or
# the caller's deadline.
RESPONSE_MARGIN_SECONDS = 0.04
# How often it is checked whether a silent target may be given up.
RETRY_CHECK_SECONDS = 0.25
# A request with less time left than this is refused instead of sent.
MIN_REMAINING_SECONDS = 0.02
# A response that ended after at most this many events broke off at its start.
MAX_STARTING_EVENTS = 3
# A target that has not responded for less than this may only be slow.
MIN_SILENCE_SECONDS = 0.8

Refusal = verdicts.Refusal
Verdict = verdicts.Verdict


class Relay:
    """Serves callers' requests.

    Attributes:
        router: Admits requests and chooses targets.
        targets: Sends requests to targets.
        leases: Reserves memory on engines.
        metrics: Records counts and durations.
        clock: Returns the time in seconds.
        forwarder: Forwards targets' responses to callers.
        finisher: Sends refusals and logs how requests ended.
    """

    def __init__(
        self,
        name: str,
        router: relaying.Router,
        targets: relaying.TargetSender,
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
        self.forwarder = response_forwarder.ResponseForwarder(
            router, metrics, clock
        )
        self.finisher = request_finisher.RequestFinisher(metrics, clock, rng)
        self._name = name
        self._send_numbers = itertools.count(1)

    def handle(
        self,
        request: relaying.CallerRequest,
        writer: relaying.ResponseWriter,
        caller: relaying.Caller,
    ) -> None:
        """Serves one request until it is answered or refused.

        Raises:
            errors.CallerDisconnectedError: The caller closed its connection.
        """
        admission = self._admit(request)
        if isinstance(admission, Refusal):
            self.finisher.refuse(request, writer, "", admission)
            return
        route = admission.route
        wait_ms = min(request.deadline_ms, route.timeout_ms)
        deadline = (
            request.received_at + wait_ms / 1000.0 - RESPONSE_MARGIN_SECONDS
        )
        progress = request_progress.Progress(
            request, deadline, admission.organisation
        )
        try:
            self._serve(admission, progress, writer, caller)
        except errors.CallerDisconnectedError:
            self.finisher.record_end(
                request, route.name, "caller_left", progress
            )
            raise

    def _admit(
        self, request: relaying.CallerRequest
    ) -> request_router.Admission | Refusal:
        path = request.uri.partition("?")[0]
        return self.router.admit(request.host, path, request.api_key)

    def _serve(
        self,
        admission: request_router.Admission,
        progress: request_progress.Progress,
        writer: relaying.ResponseWriter,
        caller: relaying.Caller,
    ) -> None:
        request = progress.request
        route = admission.route
        failure: errors.TargetError | None = None
        while True:
            if caller.is_disconnected:
                raise errors.CallerDisconnectedError("the caller disconnected")
            refusal: Refusal | None = None
            if caller.is_interrupted:
                refusal = Refusal(
                    progress.verdict,
                    verdicts.Reason.DRAINING,
                    "the instance stops before the request is finished",
                    request_finisher.retry_after(progress.verdict),
                )
            elif progress.deadline - self.clock() < MIN_REMAINING_SECONDS:
                refusal = Refusal(
                    progress.verdict,
                    verdicts.Reason.DEADLINE,
                    "too little time is left before the deadline",
                )
            elif isinstance(failure, errors.ProofExpiredError):
                renewed = self._admit(request)
                if isinstance(renewed, Refusal):
                    refusal = renewed
                else:
                    admission, route = renewed, renewed.route
            elif failure is not None:
                refusal = self._check_retry(route, progress, failure)
            if refusal is None:
                refusal = self._check_quarantine(progress)
            placement: request_router.Placement | Refusal | None = None
            if refusal is None:
                key = f"{self._name}/{next(self._send_numbers)}"
                placement = self._place(admission, progress, key)
                if isinstance(placement, Refusal):
                    refusal = placement
            if refusal is not None or placement is None:
                self.finisher.fail(route, progress, writer, failure, refusal)
                return
            failure = self._send(
                admission, progress, placement, key, writer, caller
            )
            if failure is None:
                self.finisher.record_end(
                    request, route.name, "answered", progress
                )
                return
            # Its frames hold what was received of the response.
            failure = failure.with_traceback(None)

    def _place(
        self,
        admission: request_router.Admission,
        progress: request_progress.Progress,
        key: str,
    ) -> request_router.Placement | Refusal:
        request = progress.request
        elapsed_ms = (self.clock() - request.received_at) * 1000.0
        placement = self.router.place(
            request_router.PlacementRequest(
                key,
                admission,
                request.prompt_tokens,
                request.output_tokens,
                elapsed_ms,
                frozenset(progress.failed_targets),
                progress.send_count > 0,
                progress.counted_at,
            )
        )
        progress.counted_at = self.clock()
        return placement

    def _extend_wait(
        self,
        admission: request_router.Admission,
        progress: request_progress.Progress,
        has_reserved_memory: bool,
    ) -> float:
        """Returns until when to wait for a silent target once more.

        A target is given up for another one only if the retry is allowed;
        otherwise its answer, however late, is all that the caller can get.
        Memory is not kept reserved on helpers for a target that may be gone.
        """
        now = self.clock()
        if now >= progress.deadline or has_reserved_memory:
            return now
        if self.router.acquire_retry(admission.service):
            progress.counted_at = self.clock()
            return now
        _LOG.info(
            "wait_extended",
            extra={
                "request_id": progress.request.request_id,
                "last_event": progress.sequence.last,
            },
        )
        return min(progress.deadline, now + RETRY_CHECK_SECONDS)

    def _check_quarantine(
        self, progress: request_progress.Progress
    ) -> Refusal | None:
        """Returns why a request is quarantined; None if it is not."""
        seconds = self.router.find_quarantine(progress.traits)
        if seconds is None or progress.is_trial:
            return None
        if self.router.begin_trial(progress.traits):
            progress.is_trial = True
            return None
        return Refusal(
            progress.verdict,
            verdicts.Reason.QUARANTINED,
            "the request, or a part of its prompt, crashes the targets that run"
            " it; it is not to be sent again",
            seconds,
        )

    def _check_retry(
        self,
        route: route_table.Route,
        progress: request_progress.Progress,
        failure: errors.TargetError,
    ) -> Refusal | None:
        """Returns why a failed request is not retried; None if it may be."""
        verdict = progress.verdict
        if isinstance(failure, errors.MemorySpentError):
            return Refusal(verdict, verdicts.Reason.OVERLOADED, str(failure))
        if verdict is not Verdict.NOT_RUN and not route.is_retryable:
            return Refusal(verdict, verdicts.Reason.TARGET_FAILED, str(failure))
        if progress.send_count >= route.max_sends:
            return Refusal(
                verdict,
                verdicts.Reason.TARGET_FAILED,
                f"sent {progress.send_count} times: {failure}",
                request_finisher.retry_after(verdict),
            )
        return None

    def _send(
        self,
        admission: request_router.Admission,
        progress: request_progress.Progress,
        placement: request_router.Placement,
        key: str,
        writer: relaying.ResponseWriter,
        caller: relaying.Caller,
    ) -> errors.TargetError | None:
        """Sends a request once.

        Returns:
            None after the response was delivered, or the target's failure.

        Raises:
            errors.CallerDisconnectedError: The caller closed its connection.
        """
        request = progress.request
        sent_at = self.clock()
        progress.begin_send()
        restriction = {}
        if admission.allowed_regions is not None:
            restriction["allowed_regions"] = admission.allowed_regions
        _LOG.info(
            "request_placed",
            extra={
                **restriction,
                "request_id": request.request_id,
                "route": admission.route.name,
                "target": placement.target.name,
                "helpers": [helper.name for helper in placement.helpers],
                "prompt_tokens": request.prompt_tokens,
                "predicted_ms": round(placement.predicted_ms, 1),
                "cost": round(placement.cost, 3),
                "candidates": placement.candidates,
                "version": admission.version,
                "proof_age_ms": round(admission.proof_age_ms),
                "send": progress.send_count + 1,
            },
        )
        is_success = is_target_fault = is_silent = False
        outcome = "caller_left"
        at_fault = placement.target
        leases: dict[str, memory_lease.Lease] = {}
        try:
            self._reserve(placement, leases, caller)
            self._check_targets(placement)
            self._check_request(progress)
            _check_caller(caller)
            self._exchange(
                admission, progress, placement, leases, key, writer, caller
            )
            is_success = True
            outcome = "answered"
            return None
        except errors.TargetError as error:
            if caller.is_disconnected:
                raise errors.CallerDisconnectedError(
                    "the caller disconnected"
                ) from error
            if caller.is_interrupted:
                # The connection was ended here.
                progress.verdict = verdicts.combine(
                    progress.verdict, error.verdict
                )
                outcome = "interrupted"
                return error
            is_target_fault = not error.is_paused and not isinstance(
                error,
                (
                    errors.TargetNotCalledError,
                    errors.MemorySpentError,
                    errors.UncertainEndError,
                ),
            )
            waited_seconds = self.clock() - sent_at
            is_silent = error.is_silent and (
                waited_seconds >= MIN_SILENCE_SECONDS
                or error.verdict is Verdict.NOT_RUN
            )
            outcome = error.verdict.value
            at_fault = _find_target_at_fault(placement, error)
            # A helper that causes a failure is taken as gone or unreachable.
            is_silent = is_silent or at_fault != placement.target
            self._record_failure(
                progress, placement, error, at_fault, waited_seconds
            )
            self._record_crash(progress, placement, error)
            return error
        finally:
            for lease in leases.values():
                self.leases.release(lease)
            self._record_proof(progress, is_success)
            self.metrics.record_send(outcome)
            self.router.record_attempt_end(
                key, at_fault.name, is_success, is_target_fault, is_silent
            )

    def _reserve(
        self,
        placement: request_router.Placement,
        leases: dict[str, memory_lease.Lease],
        caller: relaying.Caller,
    ) -> None:
        """Reserves memory on the helpers and adds the leases to `leases`.

        A reservation fails at once instead of waiting for free memory, so that
        two requests cannot deadlock.

        Raises:
            errors.TargetError: A helper's memory could not be reserved; leases
                that were obtained before are in `leases`.
        """
        for helper, tokens in zip(placement.helpers, placement.memory[1:]):
            if tokens:
                self._check_targets(placement)
                _check_caller(caller)
                try:
                    lease = self.leases.reserve(helper, tokens)
                except errors.TargetError as error:
                    raise errors.TargetError(
                        f"helper memory was not reserved: {error}",
                        Verdict.NOT_RUN,
                        error.is_leaving,
                        error.is_silent,
                        helper.name,
                    ) from error
                leases[helper.name] = lease

    def _check_targets(self, placement: request_router.Placement) -> None:
        """Checks what targets have stated since the request was placed.

        Raises:
            errors.TargetNotCalledError: One of the targets must not be sent the
                request any more.
        """
        for target in (placement.target, *placement.helpers):
            obstacle = self.router.find_obstacle(target, placement.permits)
            if obstacle:
                raise errors.TargetNotCalledError(obstacle, target.name)

    def _check_request(self, progress: request_progress.Progress) -> None:
        """Checks that the request was not quarantined since it was placed.

        Raises:
            errors.TargetNotCalledError: The request is quarantined.
        """
        if self._check_quarantine(progress) is not None:
            raise errors.TargetNotCalledError("the request is quarantined", "")

    def _record_failure(
        self,
        progress: request_progress.Progress,
        placement: request_router.Placement,
        error: errors.TargetError,
        at_fault: target_records.Target,
        waited_seconds: float,
    ) -> None:
        progress.verdict = verdicts.combine(progress.verdict, error.verdict)
        progress.failed_targets.add(at_fault.name)
        if error.is_leaving:
            self.router.mark_target_leaving(at_fault)
        _LOG.warning(
            "send_failed",
            extra={
                "request_id": progress.request.request_id,
                "target": placement.target.name,
                "at_fault": at_fault.name,
                "verdict": error.verdict.value,
                "reason": str(error),
                "is_silent": error.is_silent,
                "elapsed_ms": round(waited_seconds * 1000.0, 1),
                "last_event": progress.sequence.last,
                "has_response": progress.has_response,
                "send_events": progress.send_events,
                "prompt_parts": progress.request.prompt_parts,
            },
        )

    def _record_crash(
        self,
        progress: request_progress.Progress,
        placement: request_router.Placement,
        error: errors.TargetError,
    ) -> None:
        """Records a response that broke off at its start, or before it."""
        if error.is_broken_off and progress.send_events <= MAX_STARTING_EVENTS:
            progress.is_trial = False
            self.router.record_request_crash(
                placement.target,
                progress.traits,
                progress.has_response,
                progress.has_crashed,
            )
            progress.has_crashed = True

    def _record_proof(
        self, progress: request_progress.Progress, is_success: bool
    ) -> None:
        """Records that a target has answered, or written on the prompt."""
        if is_success:
            self.router.record_request_proof(progress.traits)
        elif progress.send_events >= request_progress.PROVING_EVENTS:
            self.router.record_request_proof(progress.request.prompt_parts)

    def _exchange(
        self,
        admission: request_router.Admission,
        progress: request_progress.Progress,
        placement: request_router.Placement,
        leases: dict[str, memory_lease.Lease],
        key: str,
        writer: relaying.ResponseWriter,
        caller: relaying.Caller,
    ) -> None:
        """Sends a request and forwards the response to the caller."""
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
                for helper in placement.helpers
            ),
            resume_after,
            progress.deadline,
            # The key has to be proven valid when the request is first sent.
            # Retries need no newer proof, so that they go on while the store
            # is unavailable.
            float("inf") if progress.send_count else placement.valid_until,
            placement.permits,
            placement.carrier_zones,
        )
        sent_at = self.clock()
        head_deadline = response_forwarder.first_response_deadline(
            route, progress, placement, sent_at
        )
        counted_at, progress.counted_at = progress.counted_at, None
        try:
            response = self.targets.send(
                placement.target,
                send,
                caller,
                head_deadline,
                lambda: self._extend_wait(admission, progress, bool(leases)),
            )
        except errors.TargetError as error:
            # A connection that was not established does not count as a send.
            was_called = not isinstance(error, errors.TargetNotCalledError)
            if was_called and (
                error.verdict is not Verdict.NOT_RUN or not error.is_silent
            ):
                progress.send_count += 1
            else:
                progress.counted_at = counted_at
            raise
        progress.send_count += 1
        progress.has_response = True
        try:
            is_stream = (
                route.kind is route_table.RouteKind.STREAMING
                and response.status == 200
            )
            if is_stream and response.is_signed:
                self.forwarder.forward_stream(
                    route,
                    progress,
                    placement,
                    key,
                    response,
                    writer,
                    sent_at,
                    head_deadline,
                )
            else:
                self.forwarder.forward_response(
                    route, progress, response, writer
                )
        finally:
            caller.clear_disconnect_callback()
            response.close()


def _check_caller(caller: relaying.Caller) -> None:
    """Checks that the request does not have to be answered now.

    Raises:
        errors.TargetNotCalledError: The process ends.
    """
    if caller.is_interrupted:
        raise errors.TargetNotCalledError("the instance stops", "")


def _find_target_at_fault(
    placement: request_router.Placement, error: errors.TargetError
) -> target_records.Target:
    """Returns the target that caused a failure."""
    for target in placement.helpers:
        if error.at_fault in (target.name, target.address):
            return target
    return placement.target
