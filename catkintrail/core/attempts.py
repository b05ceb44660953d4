"""Unique ids, and the assembly of an answer from several attempts."""

from typing import NamedTuple

from catkintrail import errors
from catkintrail import verdict as verdicts

__all__ = ["AnswerAssembler", "Chunk", "IdGenerator"]


class Chunk(NamedTuple):
    """A piece of an answer.

    Attributes:
        attempt_id: The attempt that produced the chunk.
        offset: Number of the answer's tokens before the chunk.
        tokens: Number of tokens in the chunk.
        text: Text of the chunk.
        end: Whether this is the last chunk of the answer.
    """

    attempt_id: str
    offset: int
    tokens: int
    text: str
    end: bool


class IdGenerator:
    """Generates ids that are unique across instances and restarts.

    An id consists of the instance's name, its incarnation, which differs at
    every start, and a counter.
    """

    def __init__(self, instance: str, incarnation: int) -> None:
        self.prefix = f"{instance}.{incarnation:x}"
        self.counter = 0

    def next_id(self) -> str:
        """Returns the next id."""
        self.counter += 1
        return f"{self.prefix}.{self.counter:x}"


class AnswerAssembler:
    """Joins the chunks of successive attempts by their offsets.

    Attributes:
        attempt_id: The present attempt; chunks of others are refused.
        position: Number of tokens passed on to the caller so far.
        is_whole: Whether the answer is complete: its last chunk has arrived,
            and no token is missing.
    """

    def __init__(self) -> None:
        self.attempt_id = ""
        self.position = 0
        self.is_whole = False

    def start_attempt(self, attempt_id: str) -> int:
        """Starts an attempt.

        Returns:
            The offset, in tokens, from which the target has to continue the
            answer.
        """
        self.attempt_id = attempt_id
        return self.position

    def add_chunk(self, chunk: Chunk) -> str:
        """Appends a chunk to the answer.

        Returns:
            The text to pass on; "" for a repeated chunk.

        Raises:
            errors.TargetError: The chunk belongs to another attempt, follows
                the end, leaves a gap or overlaps in part, so that the answer
                cannot be completed.
        """
        if chunk.attempt_id != self.attempt_id:
            raise _answer_error(
                f"chunk belongs to another attempt, {chunk.attempt_id!r}"
            )
        if self.is_whole:
            raise _answer_error("chunk received after the end")
        end = chunk.offset + chunk.tokens
        if chunk.offset > self.position:
            raise _answer_error(
                f"gap from token {self.position} to {chunk.offset}"
            )
        if chunk.end:
            if self.position not in (chunk.offset, end):
                raise _answer_error(
                    f"end at token {end}, but {self.position} "
                    "tokens were passed on"
                )
            self.is_whole = True
        if end <= self.position:
            return ""
        if chunk.offset < self.position:
            raise _answer_error(
                f"chunk at token {chunk.offset} overlaps the "
                f"{self.position} tokens passed on"
            )
        self.position = end
        return chunk.text


def _answer_error(message: str) -> errors.TargetError:
    return errors.TargetError(
        f"invalid answer: {message}", verdicts.Verdict.MAY_HAVE_RUN
    )
