"""Runs completions on engines and resumes interrupted output streams."""

from typing import Iterator, NamedTuple

from catkintrail import errors
from catkintrail import messages
from catkintrail import objects
from catkintrail import retrying
from catkintrail import verdict as verdicts
from catkintrail.core import attempts
from catkintrail.core import dispatch
from catkintrail.core import reservation
from catkintrail.ports import targets as targets_port

__all__ = ["Completion", "CompletionRunner", "Piece"]


class Completion(NamedTuple):
    """A validated completion request.

    Attributes:
        request_id: Unique id of the request.
        model_name: Name of the model.
        model: The model's configuration object.
        organisation_name: Name of the caller's organisation.
        organisation: The organisation's configuration object.
        body: The body of the caller's request, in JSON.
        prompt_tokens: Length of the prompt in tokens.
        max_tokens: Maximum number of output tokens.
        block_hashes: Chained hashes of the prompt's leading blocks.
        urgency: Priority asked for by the caller, 0 to 9, higher first.
        first_token_weight: Weight of the time to the first token, from the
            route.
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
    block_hashes: tuple[int, ...]
    urgency: int
    first_token_weight: float
    deadline: float


class Piece(NamedTuple):
    """A piece of a completion's output.

    Attributes:
        text: The text of the piece.
        tokens_so_far: Output tokens up to and including this piece.
        is_last: Whether this piece completes the output.
    """

    text: str
    tokens_so_far: int
    is_last: bool


class CompletionRunner:
    """Runs completions on the threads of their callers.

    Attributes:
        retrier: Places requests and decides about retries.
        targets: Client for targets.
        ids: Source of attempt ids.
        reservations: Reservations of engine memory that this instance claims.
        instance: Name of this instance.
    """

    def __init__(
        self,
        retrier: retrying.Retrier,
        targets: targets_port.Targets,
        ids: attempts.IdGenerator,
        reservations: reservation.ReservationRegistry,
        instance: str,
    ) -> None:
        self.retrier = retrier
        self.targets = targets
        self.ids = ids
        self.reservations = reservations
        self.instance = instance

    def complete(self, request: Completion) -> Iterator[Piece]:
        """Yields the pieces of a completion in order.

        Only the last piece of a complete output has `is_last` set. A failed
        attempt is repeated from the first token that was not yielded yet; once
        output has been yielded, only where the model allows it (`resume`).

        Raises:
            errors.RequestError: There is no output, or the output broke off
                and cannot be resumed.
        """
        assembler = attempts.AnswerAssembler()
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
                yield from self._attempt(
                    request, dispatch_request, grant, assembler
                )
                return
            except errors.TargetError as error:
                has_output = assembler.position > 0
                is_retryable = request.model.resume or not has_output
                request_attempts.record_failure(
                    grant, error, is_retryable, has_output
                )

    def _attempt(
        self,
        request: Completion,
        dispatch_request: dispatch.DispatchRequest,
        grant: messages.Granted,
        assembler: attempts.AnswerAssembler,
    ) -> Iterator[Piece]:
        """Runs one attempt on the granted targets."""
        attempt_id = self.ids.next_id()
        outcome = retrying.CANCELLED
        held: tuple[reservation.HeldReservation, ...] = ()
        address = grant.members[0].address
        may_be_running = False
        try:
            if len(grant.members) > 1:
                held = reservation.reserve_group(
                    self.targets,
                    self.reservations,
                    grant.members,
                    attempt_id,
                    self.instance,
                    request.deadline - self.retrier.clock(),
                )
            offset = assembler.start_attempt(attempt_id)
            timeout_seconds = self.retrier.remaining_seconds(request.deadline)
            call = targets_port.GenerateCall(
                attempt_id,
                request.model_name,
                request.body,
                request.max_tokens,
                grant.priority,
                offset,
                tuple((r.address, r.reservation_id) for r in held),
                timeout_seconds,
            )
            may_be_running = True
            chunks = self.targets.generate(address, call, timeout_seconds)
            yield from self._assemble_chunks(
                dispatch_request, chunks, assembler
            )
            outcome = retrying.COMPLETED
        except errors.TargetError as error:
            outcome = retrying.attempt_outcome(error)
            raise
        finally:
            if assembler.is_whole:
                # A caller that closes the generator after the last piece ends
                # this attempt before the outcome is set above.
                outcome = retrying.COMPLETED
            if outcome != retrying.COMPLETED and may_be_running:
                self._cancel(address, attempt_id)
            reservation.free_group(self.targets, self.reservations, held)
            self.retrier.end_attempt(
                dispatch_request, grant, attempt_id, outcome, assembler.position
            )

    def _assemble_chunks(
        self,
        dispatch_request: dispatch.DispatchRequest,
        chunks: Iterator[attempts.Chunk],
        assembler: attempts.AnswerAssembler,
    ) -> Iterator[Piece]:
        is_first = True
        for chunk in chunks:
            text = assembler.add_chunk(chunk)
            if is_first:
                is_first = False
                self.retrier.placer.record_first_token(
                    dispatch_request.request_id
                )
            if text or assembler.is_whole:
                yield Piece(text, assembler.position, assembler.is_whole)
            if assembler.is_whole:
                return
        raise errors.TargetError(
            "the output ended without its end mark",
            verdicts.Verdict.MAY_HAVE_RUN,
        )

    def _cancel(self, address: str, attempt_id: str) -> None:
        try:
            self.targets.cancel(address, attempt_id)
        except errors.TargetError:
            # The engine ends the attempt when its own timeout expires.
            pass


def _make_dispatch_request(request: Completion) -> dispatch.DispatchRequest:
    return dispatch.DispatchRequest(
        request.request_id,
        request.model_name,
        request.organisation_name,
        request.organisation.weight,
        request.prompt_tokens,
        request.max_tokens,
        request.block_hashes,
        request.urgency,
        request.first_token_weight,
        request.deadline,
    )
