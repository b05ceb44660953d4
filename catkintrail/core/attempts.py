"""Attempts at a request and the assembly of its answer."""

from typing import NamedTuple

from catkintrail import errors
from catkintrail import verdict as verdicts

__all__ = ["AnswerAssembler", "Chunk", "IdSource"]


class Chunk(NamedTuple):
    """A piece of an answer.

    Attributes:
        attempt_id: The attempt that it answers.
        offset: Tokens of the answer before it.
        tokens: Tokens in it.
        text: Its text.
        end: Whether the answer ends with it.
    """

    attempt_id: str
    offset: int
    tokens: int
    text: str
    end: bool


class IdSource:
    """Makes ids that are never used again.

    An id has the instance's name, the incarnation of its start and a counter.
    """

    def __init__(self, instance: str, incarnation: int) -> None:
        self.prefix = f"{instance}.{incarnation:x}"
        self.counter = 0

    def make(self) -> str:
        """Returns a new id."""
        self.counter += 1
        return f"{self.prefix}.{self.counter:x}"


class AnswerAssembler:
    """Joins chunks of successive attempts by their offsets.

    Attributes:
        attempt_id: The attempt whose chunks are taken now.
        position: Tokens passed on to the caller so far.
        is_whole: Whether the end mark has come at the right length.
    """

    def __init__(self) -> None:
        self.attempt_id = ""
        self.position = 0
        self.is_whole = False

    def begin(self, attempt_id: str) -> int:
        """Starts an attempt.

        Returns:
            The offset from which the target has to answer.
        """
        self.attempt_id = attempt_id
        return self.position

    def take(self, chunk: Chunk) -> str:
        """Takes a chunk.

        Returns:
            The text to pass on; "" for a repeated chunk.

        Raises:
            errors.TargetError: The chunk belongs to another attempt, leaves a
                gap or overlaps in part, so that the answer cannot be whole.
        """
        if chunk.attempt_id != self.attempt_id:
            raise _broken(f"chunk of attempt {chunk.attempt_id!r}")
        if self.is_whole:
            raise _broken("chunk after the end")
        end = chunk.offset + chunk.tokens
        if chunk.offset > self.position:
            raise _broken(f"gap from {self.position} to {chunk.offset}")
        if chunk.end:
            if self.position not in (chunk.offset, end):
                raise _broken(f"end at {end}, but {self.position} passed on")
            self.is_whole = True
        if end <= self.position:
            return ""
        if chunk.offset < self.position:
            raise _broken(f"chunk {chunk.offset} overlaps {self.position}")
        self.position = end
        return chunk.text


def _broken(message: str) -> errors.TargetError:
    return errors.TargetError(
        f"broken answer: {message}", verdicts.Verdict.MAY_HAVE_RUN
    )
