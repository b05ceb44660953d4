"""Runs callers' requests: placement, attempts, retries, verdicts."""

import json
import logging
import random
import threading
import time
from typing import Callable, Iterator, NamedTuple, Protocol

from catkintrail import errors
from catkintrail import messages
from catkintrail import objects
from catkintrail import verdict as verdicts
from catkintrail.core import attempts
from catkintrail.core import dispatch
from catkintrail.core import idempotency
from catkintrail.core import reservation
from catkintrail.core import retry
from catkintrail.ports import platform as platform_port
from catkintrail.ports import targets as targets_port

__all__ = ["Completion", "Piece", "Placer", "Runner", "ServiceRequest"]

_LOG = logging.getLogger("catkintrail.runner")

MAX_ATTEMPTS = 4
WHOLE, FAILED, CANCELLED, DECLINED, LEAVING = range(5)
# How long after its deadline a try of a once-only call has surely ended.
EXPIRY_GRACE_SECONDS = 30.0


class Completion(NamedTuple):
    """A completion that a caller asks for.

    Attributes:
        request_id: Unique.
        model_name: The model.
        model: Its object.
        organisation_name: The organisation.
        organisation: Its object.
        body: The caller's request, as JSON.
        prompt_tokens: Length of the prompt.
        max_tokens: The most tokens of output.
        blocks: Hashes of the prompt's blocks.
        urgency: 0 to 9.
        first_token_weight: From the route.
        deadline: Monotonic time in seconds.
    """

    request_id: str
    model_name: str
    model: objects.Model
    organisation_name: str
    organisation: objects.Organisation
    body: bytes
    prompt_tokens: int
    max_tokens: int
    blocks: tuple[int, ...]
    urgency: int
    first_token_weight: float
    deadline: float


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


class Piece(NamedTuple):
    """A piece of a completion, in order.

    Attributes:
        text: Its text.
        tokens: Tokens passed on so far, this piece included.
        end: Whether the answer is whole with it.
    """

    text: str
    tokens: int
    end: bool


class Placer(Protocol):
    """The control of the instance, as requests use it."""

    def place(
        self, work: dispatch.Work, is_retry: bool
    ) -> dispatch.Event | None:
        """Places a request and waits."""

    def started(self, request_id: str) -> None:
        """Notes the first token."""

    def finish(self, request_id: str, done: messages.Released | None) -> None:
        """Ends a request."""


class Runner:
    """Runs requests on the threads of their callers.

    Attributes:
        placer: Places requests.
        targets: Calls to targets.
        store: The platform's store.
        ids: Source of attempt ids.
        book: Engine memory that this instance claims.
    """

    def __init__(
        self,
        placer: Placer,
        targets: targets_port.Targets,
        store: platform_port.Platform,
        ids: attempts.IdSource,
        book: reservation.ReservationBook,
        instance: str,
        save_later: Callable[[idempotency.Begun, idempotency.OnceRecord], None],
        note_attempt: Callable[[str], None],
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        wall_clock: Callable[[], float] = time.time,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self.placer = placer
        self.targets = targets
        self.store = store
        self.ids = ids
        self.book = book
        self.instance = instance
        self.save_later = save_later
        self.note_attempt = note_attempt
        self.rng = rng
        self.clock = clock
        self.wall_clock = wall_clock
        self.sleep = sleep
        self._budgets: dict[str, retry.RetryBudget] = {}
        self._lock = threading.Lock()

    # Completions.

    def complete(self, request: Completion) -> Iterator[Piece]:
        """Yields a completion; the last piece has the end mark.

        Raises:
            errors.RequestError: There is no answer, or it was cut and cannot
                be resumed.
        """
        assembler = attempts.AnswerAssembler()
        avoid: tuple[str, ...] = ()
        self._note_first_try(request.organisation_name, request.organisation)
        for number in range(1, MAX_ATTEMPTS + 1):
            work = self._completion_work(request, number, avoid)
            grant = self._place(work, number > 1)
            try:
                yield from self._attempt(request, work, grant, assembler)
                return
            except errors.TargetError as error:
                self._log_failure(request.request_id, grant, error)
                is_repeatable = not assembler.position or request.model.resume
                if not self._may_retry(
                    request.organisation_name,
                    error,
                    is_repeatable,
                    number,
                    request.deadline,
                ):
                    raise errors.RequestError(
                        _target_failed(error, assembler.position)
                    ) from error
                avoid += (grant.members[0].name,)

    def _attempt(
        self,
        request: Completion,
        work: dispatch.Work,
        grant: messages.Granted,
        assembler: attempts.AnswerAssembler,
    ) -> Iterator[Piece]:
        """Makes one attempt on the granted targets."""
        attempt_id = self.ids.make()
        outcome = CANCELLED
        held: tuple[reservation.Held, ...] = ()
        address = grant.members[0].address
        is_open = False
        try:
            if len(grant.members) > 1:
                held = reservation.reserve_group(
                    self.targets,
                    self.book,
                    grant.members,
                    attempt_id,
                    self.instance,
                    request.deadline - self.clock(),
                )
            offset = assembler.begin(attempt_id)
            left = self._time_left(request.deadline)
            call = targets_port.GenerateCall(
                attempt_id,
                request.model_name,
                request.body,
                request.max_tokens,
                grant.priority,
                offset,
                tuple((h.address, h.reservation_id) for h in held),
                left,
            )
            is_open = True
            chunks = self.targets.generate(
                address, call, left, lambda cut: None
            )
            yield from self._take_chunks(work, chunks, assembler)
            outcome = WHOLE
        except errors.TargetError as error:
            outcome = _outcome(error)
            raise
        finally:
            self.note_attempt(_OUTCOME_NAMES[outcome])
            if outcome != WHOLE and is_open:
                self._cancel(address, attempt_id)
            reservation.free_group(self.targets, self.book, held)
            done = messages.Released(
                work.request_id,
                grant.members[0].name,
                outcome,
                assembler.position,
            )
            self.placer.finish(work.request_id, done)

    def _take_chunks(
        self,
        work: dispatch.Work,
        chunks: Iterator[attempts.Chunk],
        assembler: attempts.AnswerAssembler,
    ) -> Iterator[Piece]:
        is_first = True
        for chunk in chunks:
            text = assembler.take(chunk)
            if is_first:
                is_first = False
                self.placer.started(work.request_id)
            if text or assembler.is_whole:
                yield Piece(text, assembler.position, assembler.is_whole)
            if assembler.is_whole:
                return
        raise errors.TargetError(
            "the answer ended without its end mark",
            verdicts.Verdict.MAY_HAVE_RUN,
        )

    def _cancel(self, address: str, attempt_id: str) -> None:
        try:
            self.targets.cancel(address, attempt_id)
        except errors.TargetError:
            # The engine ends the attempt by its own timeout.
            pass

    def _completion_work(
        self, request: Completion, number: int, avoid: tuple[str, ...]
    ) -> dispatch.Work:
        return dispatch.Work(
            f"{request.request_id}/{number}",
            request.model_name,
            request.organisation_name,
            request.organisation.weight,
            request.prompt_tokens,
            request.max_tokens,
            request.blocks,
            request.urgency,
            request.first_token_weight,
            request.deadline,
            avoid,
        )

    # Service calls.

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
        left = max(0.0, request.deadline - self.clock())
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
        avoid: tuple[str, ...] = ()
        ran = verdicts.Verdict.NOT_RUN
        self._note_first_try(request.organisation_name, request.organisation)
        number = 0
        while True:
            number += 1
            work = self._call_work(request, number, avoid)
            try:
                grant = self._place(work, number > 1)
            except errors.RequestError as error:
                refusal = error.refusal
                verdict = verdicts.worst(ran, refusal.verdict)
                raise errors.RequestError(
                    refusal._replace(verdict=verdict)
                ) from error
            try:
                return self._attempt_call(request, work, grant)
            except errors.TargetError as error:
                self._log_failure(request.request_id, grant, error)
                ran = verdicts.worst(ran, error.verdict)
                if not self._may_retry(
                    request.organisation_name,
                    error,
                    is_repeatable,
                    number,
                    request.deadline,
                ):
                    failed = errors.TargetError(str(error), ran)
                    raise errors.RequestError(
                        _target_failed(failed, 0)
                    ) from error
                avoid += (grant.members[0].name,)

    def _attempt_call(
        self,
        request: ServiceRequest,
        work: dispatch.Work,
        grant: messages.Granted,
    ) -> targets_port.CallAnswer:
        outcome = FAILED
        try:
            left = self._time_left(request.deadline)
            call = targets_port.ServiceCall(
                self.ids.make(),
                request.method,
                request.path,
                request.headers,
                request.body,
            )
            answer = self.targets.call(grant.members[0].address, call, left)
            outcome = WHOLE
            return answer
        except errors.TargetError as error:
            outcome = _outcome(error)
            raise
        finally:
            self.note_attempt(_OUTCOME_NAMES[outcome])
            done = messages.Released(
                work.request_id, grant.members[0].name, outcome, 0
            )
            self.placer.finish(work.request_id, done)

    def _call_work(
        self, request: ServiceRequest, number: int, avoid: tuple[str, ...]
    ) -> dispatch.Work:
        return dispatch.Work(
            f"{request.request_id}/{number}",
            request.service_name,
            request.organisation_name,
            request.organisation.weight,
            0,
            0,
            (),
            request.urgency,
            0.5,
            request.deadline,
            avoid,
        )

    # Common to both.

    def _place(self, work: dispatch.Work, is_retry: bool) -> messages.Granted:
        event = self.placer.place(work, is_retry)
        if event is None:
            raise errors.RequestError(_deadline_passed())
        if event.refusal is not None:
            raise errors.RequestError(event.refusal)
        return event.granted

    def _time_left(self, deadline: float) -> float:
        """Returns seconds until a deadline.

        Raises:
            errors.TargetError: It has passed; nothing was sent.
        """
        left = deadline - self.clock()
        if left <= 0:
            raise errors.TargetError(
                "the deadline passed before the request was sent",
                verdicts.Verdict.NOT_RUN,
            )
        return left

    def _note_first_try(
        self, name: str, organisation: objects.Organisation
    ) -> None:
        with self._lock:
            budget = self._budgets.setdefault(name, retry.RetryBudget())
            budget.note_first_try(organisation.retry_fraction)

    def _may_retry(
        self,
        organisation: str,
        error: errors.TargetError,
        is_repeatable: bool,
        number: int,
        deadline: float,
    ) -> bool:
        if number >= MAX_ATTEMPTS:
            return False
        if not retry.may_retry(error.verdict, is_repeatable):
            return False
        with self._lock:
            if not self._budgets[organisation].take():
                return False
        pause = retry.backoff_seconds(number, self.rng)
        if self.clock() + pause >= deadline:
            return False
        self.sleep(pause)
        return True

    def _log_failure(
        self,
        request_id: str,
        grant: messages.Granted,
        error: errors.TargetError,
    ) -> None:
        _LOG.warning(
            "attempt failed",
            extra={
                "request_id": request_id,
                "target": grant.members[0].name,
                "verdict": error.verdict.value,
                "error": str(error),
            },
        )


_OUTCOME_NAMES = ("whole", "failed", "cancelled", "declined", "leaving")


def _outcome(error: errors.TargetError) -> int:
    if error.is_leaving:
        return LEAVING
    if error.verdict is verdicts.Verdict.NOT_RUN:
        return DECLINED
    return FAILED


def _replayed(record: idempotency.OnceRecord) -> targets_port.CallAnswer:
    if record.is_whole:
        return targets_port.CallAnswer(
            record.status, record.content_type, record.body
        )
    note = {"message": "it ran; its result was too long to be recorded"}
    return targets_port.CallAnswer(
        record.status, "application/json", json.dumps(note).encode()
    )


def _target_failed(
    error: errors.TargetError, position: int
) -> verdicts.Refusal:
    verdict = error.verdict
    if position:
        verdict = verdicts.Verdict.MAY_HAVE_RUN
    return verdicts.Refusal(
        verdict, verdicts.Reason.TARGET_FAILED, str(error), 1.0
    )


def _deadline_passed() -> verdicts.Refusal:
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN,
        verdicts.Reason.DEADLINE,
        "the deadline passed before a target was free",
        1.0,
    )


def _key_missing(method: str) -> verdicts.Refusal:
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN,
        verdicts.Reason.BAD_REQUEST,
        f"a {method} of this service may run only once: send an"
        " Idempotency-Key header",
    )
