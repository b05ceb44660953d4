"""Runs completions: attempts on engines, resumed where they were cut."""

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


class CompletionRunner:
    """Runs completions on the threads of their callers.

    Attributes:
        retrier: Places and retries.
        targets: Calls to targets.
        ids: Source of attempt ids.
        book: Engine memory that this instance claims.
        instance: This instance's name.
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
        """Yields a completion; the last piece has the end mark.

        Raises:
            errors.RequestError: There is no answer, or it was cut and cannot
                be resumed.
        """
        assembler = attempts.AnswerAssembler()
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
                yield from self._attempt(request, work, grant, assembler)
                return
            except errors.TargetError as error:
                has_answered = assembler.position > 0
                is_repeatable = request.model.resume or not has_answered
                tries.note_failure(grant, error, is_repeatable, has_answered)

    def _attempt(
        self,
        request: Completion,
        work: dispatch.Work,
        grant: messages.Granted,
        assembler: attempts.AnswerAssembler,
    ) -> Iterator[Piece]:
        """Makes one attempt on the granted targets."""
        attempt_id = self.ids.make()
        outcome = retrying.CANCELLED
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
                    request.deadline - self.retrier.clock(),
                )
            offset = assembler.begin(attempt_id)
            left = self.retrier.time_left(request.deadline)
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
            chunks = self.targets.generate(address, call, left)
            yield from self._take_chunks(work, chunks, assembler)
            outcome = retrying.WHOLE
        except errors.TargetError as error:
            outcome = retrying.outcome_of(error)
            raise
        finally:
            if assembler.is_whole:
                # The caller may stop reading right after the last piece.
                outcome = retrying.WHOLE
            if outcome != retrying.WHOLE and is_open:
                self._cancel(address, attempt_id)
            reservation.free_group(self.targets, self.book, held)
            self.retrier.end_attempt(
                work, grant, attempt_id, outcome, assembler.position
            )

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
                self.retrier.placer.started(work.request_id)
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


def _work_of(request: Completion) -> dispatch.Work:
    return dispatch.Work(
        request.request_id,
        request.model_name,
        request.organisation_name,
        request.organisation.weight,
        request.prompt_tokens,
        request.max_tokens,
        request.blocks,
        request.urgency,
        request.first_token_weight,
        request.deadline,
    )
