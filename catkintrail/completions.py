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
        book: Reservations of engine memory that this instance claims.
        instance: Name of this instance.
    """

    def __init__(
        self,
        retrier: retrying.Retrier,
        targets: targets_port.Targets,
        ids: attempts.IdSource,
        book: reservation.ReservationBook,
        instance: str,
    ) -> None:
        self.retrier = retrier
        self.targets = targets
        self.ids = ids
        self.book = book
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
        request_attempts = retrying.Tries(
            self.retrier,
            request.request_id,
            request.organisation_name,
            request.organisation,
            request.deadline,
        )
        while True:
            work, grant = request_attempts.place(_make_work(request))
            try:
                yield from self._attempt(request, work, grant, assembler)
                return
            except errors.TargetError as error:
                has_output = assembler.position > 0
                is_repeatable = request.model.resume or not has_output
                request_attempts.note_failure(
                    grant, error, is_repeatable, has_output
                )

    def _attempt(
        self,
        request: Completion,
        work: dispatch.Work,
        grant: messages.Granted,
        assembler: attempts.AnswerAssembler,
    ) -> Iterator[Piece]:
        """Runs one attempt on the granted targets."""
        attempt_id = self.ids.make()
        outcome = retrying.CANCELLED
        reservations: tuple[reservation.Held, ...] = ()
        address = grant.members[0].address
        may_be_running = False
        try:
            if len(grant.members) > 1:
                reservations = reservation.reserve_group(
                    self.targets,
                    self.book,
                    grant.members,
                    attempt_id,
                    self.instance,
                    request.deadline - self.retrier.clock(),
                )
            offset = assembler.begin(attempt_id)
            timeout_seconds = self.retrier.time_left(request.deadline)
            call = targets_port.GenerateCall(
                attempt_id,
                request.model_name,
                request.body,
                request.max_tokens,
                grant.priority,
                offset,
                tuple((r.address, r.reservation_id) for r in reservations),
                timeout_seconds,
            )
            may_be_running = True
            chunks = self.targets.generate(address, call, timeout_seconds)
            yield from self._assemble_chunks(work, chunks, assembler)
            outcome = retrying.WHOLE
        except errors.TargetError as error:
            outcome = retrying.outcome_of(error)
            raise
        finally:
            if assembler.is_whole:
                # A caller that closes the generator after the last piece ends
                # this attempt before the outcome is set above.
                outcome = retrying.WHOLE
            if outcome != retrying.WHOLE and may_be_running:
                self._cancel(address, attempt_id)
            reservation.free_group(self.targets, self.book, reservations)
            self.retrier.end_attempt(
                work, grant, attempt_id, outcome, assembler.position
            )

    def _assemble_chunks(
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
                self.retrier.placer.started(work.request_id)
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


def _make_work(request: Completion) -> dispatch.Work:
    return dispatch.Work(
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
