"""What completions and service calls have in common: places and retries."""

import logging
import random
import threading
from typing import Callable, Protocol

from catkintrail import errors
from catkintrail import messages
from catkintrail import objects
from catkintrail import verdict as verdicts
from catkintrail.core import dispatch
from catkintrail.core import retry

__all__ = [
    "CANCELLED",
    "DECLINED",
    "FAILED",
    "LEAVING",
    "Placer",
    "Retrier",
    "Tries",
    "WHOLE",
    "outcome_of",
]

_LOG = logging.getLogger("catkintrail.runner")

MAX_ATTEMPTS = 4
# Outcomes of an attempt, as messages.Released has them.
WHOLE, FAILED, CANCELLED, DECLINED, LEAVING = range(5)
OUTCOME_NAMES = ("whole", "failed", "cancelled", "declined", "leaving")


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


class Retrier:
    """Places requests and decides about further attempts.

    Attributes:
        placer: The control of the instance.
        note_attempt: Counts an attempt's outcome.
        rng: Random source of the pauses.
        clock: Monotonic time in seconds.
        sleep: Waits some seconds.
    """

    def __init__(
        self,
        placer: Placer,
        note_attempt: Callable[[str], None],
        rng: random.Random,
        clock: Callable[[], float],
        sleep: Callable[[float], None],
    ) -> None:
        self.placer = placer
        self.note_attempt = note_attempt
        self.rng = rng
        self.clock = clock
        self.sleep = sleep
        self._budgets: dict[str, retry.RetryBudget] = {}
        self._lock = threading.Lock()

    def place(self, work: dispatch.Work, is_retry: bool) -> messages.Granted:
        """Places a request; raises errors.RequestError on a refusal."""
        event = self.placer.place(work, is_retry)
        if event is None:
            raise errors.RequestError(_deadline_passed())
        if event.refusal is not None:
            raise errors.RequestError(event.refusal)
        return event.granted

    def time_left(self, deadline: float) -> float:
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

    def note_first_try(
        self, name: str, organisation: objects.Organisation
    ) -> None:
        """Counts a first try, which earns part of a retry."""
        with self._lock:
            budget = self._budgets.setdefault(name, retry.RetryBudget())
            budget.note_first_try(organisation.retry_fraction)

    def take_retry(self, organisation: str) -> bool:
        """Spends one retry; returns False where none is left."""
        with self._lock:
            return self._budgets[organisation].take()

    def end_attempt(
        self,
        work: dispatch.Work,
        grant: messages.Granted,
        attempt_id: str,
        outcome: int,
        output_tokens: int,
    ) -> None:
        """Counts and logs an attempt's end, and tells the owner."""
        target = grant.members[0].name
        name = OUTCOME_NAMES[outcome]
        self.note_attempt(name)
        _LOG.info(
            "attempt ended",
            extra={
                "request_id": work.request_id,
                "attempt_id": attempt_id,
                "target": target,
                "outcome": name,
            },
        )
        done = messages.Released(
            work.request_id, target, outcome, output_tokens
        )
        self.placer.finish(work.request_id, done)


class Tries:
    """The attempts at one request.

    Attributes:
        verdict: Whether any attempt so far may have run.
        number: Attempts so far.
        avoid: Targets on which an attempt failed.
    """

    def __init__(
        self,
        retrier: Retrier,
        request_id: str,
        organisation_name: str,
        organisation: objects.Organisation,
        deadline: float,
    ) -> None:
        self.retrier = retrier
        self.request_id = request_id
        self.organisation_name = organisation_name
        self.deadline = deadline
        self.verdict = verdicts.Verdict.NOT_RUN
        self.number = 0
        self.avoid: tuple[str, ...] = ()
        retrier.note_first_try(organisation_name, organisation)

    def place(
        self, work: dispatch.Work
    ) -> tuple[dispatch.Work, messages.Granted]:
        """Places the next attempt.

        Args:
            work: The request, without what differs between attempts.

        Returns:
            What was asked for, and the grant.

        Raises:
            errors.RequestError: There is no place.
        """
        self.number += 1
        work = work._replace(
            request_id=f"{self.request_id}/{self.number}", avoid=self.avoid
        )
        try:
            return work, self.retrier.place(work, self.number > 1)
        except errors.RequestError as error:
            refusal = error.refusal
            verdict = verdicts.worst(self.verdict, refusal.verdict)
            raise errors.RequestError(
                refusal._replace(verdict=verdict)
            ) from error

    def note_failure(
        self,
        grant: messages.Granted,
        error: errors.TargetError,
        is_repeatable: bool,
        has_answered: bool,
    ) -> None:
        """Notes a failed attempt, and waits for the time of the next.

        Args:
            grant: Where the attempt was made.
            error: How it failed.
            is_repeatable: Whether running the request twice does no harm.
            has_answered: Whether any part of an answer has come: then it ran,
                whatever the error says.

        Raises:
            errors.RequestError: There will be no further attempt.
        """
        target = grant.members[0].name
        _LOG.warning(
            "attempt failed",
            extra={
                "request_id": self.request_id,
                "target": target,
                "verdict": error.verdict.value,
                "error": str(error),
            },
        )
        self.verdict = verdicts.worst(self.verdict, error.verdict)
        if has_answered:
            self.verdict = verdicts.Verdict.MAY_HAVE_RUN
        if not self._may_retry(error, is_repeatable):
            refusal = verdicts.Refusal(
                self.verdict, verdicts.Reason.TARGET_FAILED, str(error), 1.0
            )
            raise errors.RequestError(refusal) from error
        self.avoid += (target,)

    def _may_retry(
        self, error: errors.TargetError, is_repeatable: bool
    ) -> bool:
        if self.number >= MAX_ATTEMPTS:
            return False
        if not retry.may_retry(error.verdict, is_repeatable):
            return False
        if not self.retrier.take_retry(self.organisation_name):
            return False
        pause = retry.backoff_seconds(self.number, self.retrier.rng)
        if self.retrier.clock() + pause >= self.deadline:
            return False
        self.retrier.sleep(pause)
        return True


def outcome_of(error: errors.TargetError) -> int:
    """Returns the outcome of a failed attempt."""
    if error.is_leaving:
        return LEAVING
    if error.verdict is verdicts.Verdict.NOT_RUN:
        return DECLINED
    return FAILED


def _deadline_passed() -> verdicts.Refusal:
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN,
        verdicts.Reason.DEADLINE,
        "the deadline passed before a target was free",
        1.0,
    )
