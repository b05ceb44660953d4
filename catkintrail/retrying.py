"""Placement and retries of requests, for completions and service calls."""

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
    "COMPLETED",
    "DECLINED",
    "FAILED",
    "LEAVING",
    "Placer",
    "RequestAttempts",
    "Retrier",
    "attempt_outcome",
]

_LOG = logging.getLogger("catkintrail.runner")

MAX_ATTEMPTS = 4
# Outcomes of an attempt, by the numbers that messages.Released carries.
COMPLETED, FAILED, CANCELLED, DECLINED, LEAVING = range(5)
OUTCOME_NAMES = ("whole", "failed", "cancelled", "declined", "leaving")


class Placer(Protocol):
    """The part of the instance's control that requests use."""

    def place(
        self, dispatch_request: dispatch.DispatchRequest, is_retry: bool
    ) -> dispatch.DispatchResult | None:
        """Places a request and waits; returns None once its deadline passed."""

    def record_first_token(self, request_id: str) -> None:
        """Records that a request's first token arrived."""

    def finish(self, request_id: str, done: messages.Released | None) -> None:
        """Ends a request and frees its place."""


class Retrier:
    """Places requests and keeps the retry budgets of organisations.

    Attributes:
        placer: Places and ends requests; the instance's control.
        count_attempt: Counts an attempt's outcome.
        rng: Random source of the backoff jitter.
        clock: Monotonic time in seconds.
        sleep: Waits for a number of seconds.
    """

    def __init__(
        self,
        placer: Placer,
        count_attempt: Callable[[str], None],
        rng: random.Random,
        clock: Callable[[], float],
        sleep: Callable[[float], None],
    ) -> None:
        self.placer = placer
        self.count_attempt = count_attempt
        self.rng = rng
        self.clock = clock
        self.sleep = sleep
        self._budgets: dict[str, retry.RetryBudget] = {}
        self._lock = threading.Lock()

    def place(
        self, dispatch_request: dispatch.DispatchRequest, is_retry: bool
    ) -> messages.Granted:
        """Places a request; raises errors.RequestError on a refusal."""
        result = self.placer.place(dispatch_request, is_retry)
        if result is None:
            raise errors.RequestError(_deadline_refusal())
        if result.refusal is not None:
            raise errors.RequestError(result.refusal)
        return result.granted

    def remaining_seconds(self, deadline: float) -> float:
        """Returns seconds until a deadline.

        Raises:
            errors.TargetError: It has passed; nothing was sent.
        """
        remaining = deadline - self.clock()
        if remaining <= 0:
            raise errors.TargetError(
                "the deadline passed before the request was sent",
                verdicts.Verdict.NOT_RUN,
            )
        return remaining

    def record_first_attempt(
        self, name: str, organisation: objects.Organisation
    ) -> None:
        """Adds the fraction of a retry that a first attempt earns."""
        with self._lock:
            budget = self._budgets.setdefault(name, retry.RetryBudget())
            budget.record_first_attempt(organisation.retry_fraction)

    def take_retry(self, organisation: str) -> bool:
        """Takes a retry from the budget; returns False if none is left."""
        with self._lock:
            return self._budgets[organisation].take()

    def end_attempt(
        self,
        dispatch_request: dispatch.DispatchRequest,
        grant: messages.Granted,
        attempt_id: str,
        outcome: int,
        output_tokens: int,
    ) -> None:
        """Counts and logs the end of an attempt and reports it to the owner."""
        target = grant.members[0].name
        name = OUTCOME_NAMES[outcome]
        self.count_attempt(name)
        _LOG.info(
            "attempt ended",
            extra={
                "request_id": dispatch_request.request_id,
                "attempt_id": attempt_id,
                "target": target,
                "outcome": name,
            },
        )
        done = messages.Released(
            dispatch_request.request_id, target, outcome, output_tokens
        )
        self.placer.finish(dispatch_request.request_id, done)


class RequestAttempts:
    """The attempts at one request.

    Attributes:
        verdict: Whether any attempt so far may have run.
        number: Number of attempts so far.
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
        retrier.record_first_attempt(organisation_name, organisation)

    def place(
        self, dispatch_request: dispatch.DispatchRequest
    ) -> tuple[dispatch.DispatchRequest, messages.Granted]:
        """Places the next attempt.

        Args:
            dispatch_request: The request; its id and the targets to avoid are
                set for each attempt.

        Returns:
            The request of this attempt, and where it was placed.

        Raises:
            errors.RequestError: The request was refused.
        """
        self.number += 1
        dispatch_request = dispatch_request._replace(
            request_id=f"{self.request_id}/{self.number}", avoid=self.avoid
        )
        try:
            return dispatch_request, self.retrier.place(
                dispatch_request, self.number > 1
            )
        except errors.RequestError as error:
            refusal = error.refusal
            verdict = verdicts.combine(self.verdict, refusal.verdict)
            raise errors.RequestError(
                refusal._replace(verdict=verdict)
            ) from error

    def record_failure(
        self,
        grant: messages.Granted,
        error: errors.TargetError,
        is_retryable: bool,
        has_answered: bool,
    ) -> None:
        """Records a failed attempt and waits for the backoff before the next.

        Args:
            grant: Where the attempt was placed.
            error: How the attempt failed.
            is_retryable: Whether running the request twice does no harm.
            has_answered: Whether a part of a response arrived. The attempt then
                ran at least in part, whatever the verdict of the error is.

        Raises:
            errors.RequestError: The request is not retried.
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
        self.verdict = verdicts.combine(self.verdict, error.verdict)
        if has_answered:
            self.verdict = verdicts.Verdict.MAY_HAVE_RUN
        if not self._may_retry(error, is_retryable):
            refusal = verdicts.Refusal(
                self.verdict, verdicts.Reason.TARGET_FAILED, str(error), 1.0
            )
            raise errors.RequestError(refusal) from error
        self.avoid += (target,)

    def _may_retry(self, error: errors.TargetError, is_retryable: bool) -> bool:
        if self.number >= MAX_ATTEMPTS:
            return False
        if not retry.may_retry(error.verdict, is_retryable):
            return False
        if not self.retrier.take_retry(self.organisation_name):
            return False
        pause = retry.backoff_seconds(self.number, self.retrier.rng)
        if self.retrier.clock() + pause >= self.deadline:
            return False
        self.retrier.sleep(pause)
        return True


def attempt_outcome(error: errors.TargetError) -> int:
    """Returns the outcome number of a failed attempt."""
    if error.is_leaving:
        return LEAVING
    if error.verdict is verdicts.Verdict.NOT_RUN:
        return DECLINED
    return FAILED


def _deadline_refusal() -> verdicts.Refusal:
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN,
        verdicts.Reason.DEADLINE,
        "the deadline passed before a target was free",
        1.0,
    )
