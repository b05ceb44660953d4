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
    "WHOLE",
    "outcome_of",
    "refusal_of",
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

    def may_retry(
        self,
        organisation: str,
        error: errors.TargetError,
        is_repeatable: bool,
        number: int,
        deadline: float,
    ) -> bool:
        """Returns whether to try again, after a pause that has passed then."""
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

    def log_failure(
        self,
        request_id: str,
        grant: messages.Granted,
        error: errors.TargetError,
    ) -> None:
        """Notes a failed attempt in the log."""
        _LOG.warning(
            "attempt failed",
            extra={
                "request_id": request_id,
                "target": grant.members[0].name,
                "verdict": error.verdict.value,
                "error": str(error),
            },
        )


def outcome_of(error: errors.TargetError) -> int:
    """Returns the outcome of a failed attempt."""
    if error.is_leaving:
        return LEAVING
    if error.verdict is verdicts.Verdict.NOT_RUN:
        return DECLINED
    return FAILED


def refusal_of(error: errors.TargetError, position: int) -> verdicts.Refusal:
    """Returns the refusal after `position` tokens of an answer."""
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
