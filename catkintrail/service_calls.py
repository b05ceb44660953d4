"""Runs calls of plain services, non-idempotent ones at most once."""

import json
import time
from typing import Callable, NamedTuple

from catkintrail import errors
from catkintrail import messages
from catkintrail import objects
from catkintrail import retrying
from catkintrail import verdict as verdicts
from catkintrail.core import attempts
from catkintrail.core import dispatch
from catkintrail.core import idempotency
from catkintrail.ports import platform as platform_port
from catkintrail.ports import targets as targets_port

__all__ = ["ServiceRequest", "ServiceRunner"]

# An at-most-once call has certainly ended this long after its deadline, when
# the claim in its idempotency record expires.
CLAIM_EXPIRY_GRACE_SECONDS = 30.0


class ServiceRequest(NamedTuple):
    """A validated request for a call of a plain service.

    Attributes:
        request_id: Unique id of the request.
        service_name: Name of the service.
        service: The service's configuration object.
        organisation_name: Name of the caller's organisation.
        organisation: The organisation's configuration object.
        method: HTTP method.
        path: Path at the service.
        headers: Headers to forward, by lower-case name.
        body: The request body.
        idempotency_key: The caller's idempotency key; "" for none.
        urgency: Priority asked for by the caller, 0 to 9, higher first.
        deadline: Monotonic time in seconds.
    """

    request_id: str
    service_name: str
    service: objects.Service
    organisation_name: str
    organisation: objects.Organisation
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    idempotency_key: str
    urgency: int
    deadline: float


class ServiceRunner:
    """Runs service calls on the threads of their callers.

    Attributes:
        retrier: Places requests and decides about retries.
        targets: Client for targets.
        store: The platform's store, for idempotency records.
        ids: Source of attempt ids and of nonces of idempotency records.
        save_later: Queues an idempotency record that could not be written for
            a later attempt.
        wall_clock: Unix time in seconds.
    """

    def __init__(
        self,
        retrier: retrying.Retrier,
        targets: targets_port.Targets,
        store: platform_port.Platform,
        ids: attempts.IdGenerator,
        save_later: Callable[
            [idempotency.RunClaim, idempotency.IdempotencyRecord], None
        ],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.retrier = retrier
        self.targets = targets
        self.store = store
        self.ids = ids
        self.save_later = save_later
        self.wall_clock = wall_clock

    def call(self, request: ServiceRequest) -> targets_port.CallAnswer:
        """Calls a service, at most once for the service's `once_methods`.

        Methods that may run only once are not repeated after an attempt that
        may have run. With an idempotency key, the result is recorded in the
        store, and a repeat of the request gets the recorded result.

        Raises:
            errors.RequestError: There is no answer; the refusal's verdict
                states whether the call may have run.
        """
        runs_at_most_once = request.method in request.service.once_methods
        if not runs_at_most_once:
            return self._run_call(request, is_retryable=True)
        if not request.idempotency_key:
            if request.service.require_key:
                raise errors.RequestError(_missing_key_refusal(request.method))
            return self._run_call(request, is_retryable=False)
        return self._call_at_most_once(request)

    def _call_at_most_once(
        self, request: ServiceRequest
    ) -> targets_port.CallAnswer:
        now = self.wall_clock()
        remaining_seconds = max(0.0, request.deadline - self.retrier.clock())
        claim = idempotency.claim_run(
            self.store,
            idempotency.record_name(
                request.organisation_name, request.idempotency_key
            ),
            self.ids.next_id(),
            idempotency.fingerprint(
                request.method,
                f"{request.service_name}{request.path}",
                request.body,
            ),
            now + remaining_seconds + CLAIM_EXPIRY_GRACE_SECONDS,
            now,
        )
        if isinstance(claim, idempotency.RecordedResult):
            return _recorded_answer(claim.record)
        try:
            answer = self._run_call(request, is_retryable=False)
        except errors.RequestError as error:
            if error.refusal.verdict is verdicts.Verdict.NOT_RUN:
                self._store_record(claim, idempotency.released_record(claim))
            raise
        record = idempotency.finished_record(
            claim, answer.status, answer.content_type, answer.body
        )
        self._store_record(claim, record)
        return answer

    def _store_record(
        self, claim: idempotency.RunClaim, record: idempotency.IdempotencyRecord
    ) -> None:
        if not idempotency.store_outcome(self.store, claim, record):
            self.save_later(claim, record)

    def _run_call(
        self, request: ServiceRequest, is_retryable: bool
    ) -> targets_port.CallAnswer:
        request_attempts = retrying.RequestAttempts(
            self.retrier,
            request.request_id,
            request.organisation_name,
            request.organisation,
            request.deadline,
        )
        while True:
            dispatch_request, grant = request_attempts.place(
                _make_dispatch_request(request)
            )
            try:
                return self._attempt_call(request, dispatch_request, grant)
            except errors.TargetError as error:
                request_attempts.record_failure(
                    grant, error, is_retryable, False
                )

    def _attempt_call(
        self,
        request: ServiceRequest,
        dispatch_request: dispatch.DispatchRequest,
        grant: messages.Granted,
    ) -> targets_port.CallAnswer:
        attempt_id = self.ids.next_id()
        outcome = retrying.FAILED
        try:
            timeout_seconds = self.retrier.remaining_seconds(request.deadline)
            call = targets_port.ServiceCall(
                attempt_id,
                request.method,
                request.path,
                request.headers,
                request.body,
            )
            answer = self.targets.call(
                grant.members[0].address, call, timeout_seconds
            )
            outcome = retrying.COMPLETED
            return answer
        except errors.TargetError as error:
            outcome = retrying.attempt_outcome(error)
            raise
        finally:
            self.retrier.end_attempt(
                dispatch_request, grant, attempt_id, outcome, 0
            )


def _make_dispatch_request(request: ServiceRequest) -> dispatch.DispatchRequest:
    return dispatch.DispatchRequest(
        request.request_id,
        request.service_name,
        request.organisation_name,
        request.organisation.weight,
        0,
        0,
        (),
        request.urgency,
        0.5,
        request.deadline,
    )


def _recorded_answer(
    record: idempotency.IdempotencyRecord,
) -> targets_port.CallAnswer:
    if record.is_whole:
        return targets_port.CallAnswer(
            record.status, record.content_type, record.body
        )
    content = {
        "message": "the call ran; its result was too large to be recorded"
    }
    return targets_port.CallAnswer(
        record.status, "application/json", json.dumps(content).encode()
    )


def _missing_key_refusal(method: str) -> verdicts.Refusal:
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN,
        verdicts.Reason.BAD_REQUEST,
        f"{method} requests to this service run at most once: send an"
        " Idempotency-Key header",
    )
