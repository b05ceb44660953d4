"""Runs service calls, at most once where they may not be repeated."""

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

# How long after its deadline a try of a once-only call has surely ended.
EXPIRY_GRACE_SECONDS = 30.0


class ServiceRequest(NamedTuple):
    """A call of a plain service that a caller asks for.

    Attributes:
        request_id: Unique.
        service_name: The service.
        service: Its object.
        organisation_name: The organisation.
        organisation: Its object.
        method: HTTP method.
        path: Path at the service.
        headers: Headers to pass on.
        body: The body.
        key: The caller's idempotency key; "" for none.
        urgency: 0 to 9.
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
    key: str
    urgency: int
    deadline: float


class ServiceRunner:
    """Runs service calls on the threads of their callers.

    Attributes:
        retrier: Places and retries.
        targets: Calls to targets.
        store: The platform's store.
        ids: Source of attempt ids.
        save_later: Takes a result that the store did not take.
        wall_clock: Unix time in seconds.
    """

    def __init__(
        self,
        retrier: retrying.Retrier,
        targets: targets_port.Targets,
        store: platform_port.Platform,
        ids: attempts.IdSource,
        save_later: Callable[[idempotency.Begun, idempotency.OnceRecord], None],
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.retrier = retrier
        self.targets = targets
        self.store = store
        self.ids = ids
        self.save_later = save_later
        self.wall_clock = wall_clock

    def call(self, request: ServiceRequest) -> targets_port.CallAnswer:
        """Makes a service call, at most once where it may not be repeated.

        Raises:
            errors.RequestError: There is no answer; the refusal says whether
                the call may have run.
        """
        is_once = request.method in request.service.once_methods
        if not is_once:
            return self._run_call(request, is_repeatable=True)
        if not request.key:
            if request.service.require_key:
                raise errors.RequestError(_key_missing(request.method))
            return self._run_call(request, is_repeatable=False)
        return self._call_once(request)

    def _call_once(self, request: ServiceRequest) -> targets_port.CallAnswer:
        now = self.wall_clock()
        left = max(0.0, request.deadline - self.retrier.clock())
        begun = idempotency.begin(
            self.store,
            idempotency.record_name(request.organisation_name, request.key),
            self.ids.make(),
            idempotency.fingerprint(
                request.method,
                f"{request.service_name}{request.path}",
                request.body,
            ),
            now + left + EXPIRY_GRACE_SECONDS,
            now,
        )
        if isinstance(begun, idempotency.Replay):
            return _replayed(begun.record)
        try:
            answer = self._run_call(request, is_repeatable=False)
        except errors.RequestError as error:
            if error.refusal.verdict is verdicts.Verdict.NOT_RUN:
                self._save(begun, idempotency.released(begun))
            raise
        record = idempotency.finished(
            begun, answer.status, answer.content_type, answer.body
        )
        self._save(begun, record)
        return answer

    def _save(
        self, begun: idempotency.Begun, record: idempotency.OnceRecord
    ) -> None:
        if not idempotency.finish(self.store, begun, record):
            self.save_later(begun, record)

    def _run_call(
        self, request: ServiceRequest, is_repeatable: bool
    ) -> targets_port.CallAnswer:
        tries = retrying.Tries(
            self.retrier,
            request.request_id,
            request.organisation_name,
            request.organisation,
            request.deadline,
        )
        while True:
            work, grant = tries.place(_work_of(request))
            try:
                return self._attempt_call(request, work, grant)
            except errors.TargetError as error:
                tries.note_failure(grant, error, is_repeatable, False)

    def _attempt_call(
        self,
        request: ServiceRequest,
        work: dispatch.Work,
        grant: messages.Granted,
    ) -> targets_port.CallAnswer:
        attempt_id = self.ids.make()
        outcome = retrying.FAILED
        try:
            left = self.retrier.time_left(request.deadline)
            call = targets_port.ServiceCall(
                attempt_id,
                request.method,
                request.path,
                request.headers,
                request.body,
            )
            answer = self.targets.call(grant.members[0].address, call, left)
            outcome = retrying.WHOLE
            return answer
        except errors.TargetError as error:
            outcome = retrying.outcome_of(error)
            raise
        finally:
            self.retrier.end_attempt(work, grant, attempt_id, outcome, 0)


def _work_of(request: ServiceRequest) -> dispatch.Work:
    return dispatch.Work(
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


def _replayed(record: idempotency.OnceRecord) -> targets_port.CallAnswer:
    if record.is_whole:
        return targets_port.CallAnswer(
            record.status, record.content_type, record.body
        )
    note = {"message": "it ran; its result was too long to be recorded"}
    return targets_port.CallAnswer(
        record.status, "application/json", json.dumps(note).encode()
    )


def _key_missing(method: str) -> verdicts.Refusal:
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN,
        verdicts.Reason.BAD_REQUEST,
        f"a {method} of this service may run only once: send an"
        " Idempotency-Key header",
    )
