"""Requests that wait until their organisation's limit lets them pass."""

from typing import NamedTuple

from catkintrail import messages
from catkintrail import objects
from catkintrail import verdict as verdicts
from catkintrail.core import configuration
from catkintrail.core import dispatch as dispatches
from catkintrail.core import limit_homes
from catkintrail.core import limits

__all__ = ["LimitGate", "is_limited"]

LIMIT_ANSWER_SECONDS = 0.4


class _LimitWait(NamedTuple):
    """A request that waits for its organisation's limit."""

    work: dispatches.Work
    asked: float


class LimitGate:
    """One instance's side of the limits.

    Attributes:
        homes: The limits whose home is here, and where the others' are.
        dispatch: Takes what may pass.
    """

    def __init__(
        self,
        homes: limit_homes.LimitHomes,
        dispatch: dispatches.Dispatch,
        current: configuration.Configuration,
    ) -> None:
        self.homes = homes
        self.dispatch = dispatch
        self.configuration = current
        self.membership = homes.membership
        self._waits: dict[str, _LimitWait] = {}
        self._fallback: dict[str, limits.TokenBucket] = {}

    def submit(
        self, work: dispatches.Work, now: float
    ) -> list[configuration.Outgoing]:
        """Asks the limit's home, or lets an unlimited request pass."""
        organisations = self.configuration.snapshot.objects.organisations
        organisation = organisations.get(work.organisation)
        if organisation is None or not is_limited(organisation):
            return self.dispatch.submit(work, now)
        zone = self.membership.me.zone
        home = self.homes.home_of(work.organisation, zone)
        self._waits[work.request_id] = _LimitWait(work, now)
        tokens = work.prompt_tokens + work.output_tokens
        ask = messages.LimitAsk(work.request_id, work.organisation, tokens)
        return [configuration.Outgoing(home or "", ask)]

    def withdraw(self, request_id: str) -> None:
        """Drops a request that nobody waits for any more."""
        self._waits.pop(request_id, None)

    def answer(
        self, message: messages.LimitAnswer, now: float
    ) -> list[configuration.Outgoing]:
        """Takes the home's answer."""
        wait = self._waits.pop(message.request_id, None)
        if wait is None:
            return []
        if message.is_allowed:
            return self.dispatch.submit(wait.work, now)
        self._refuse(wait.work, message.retry_after_seconds)
        return []

    def tick(self, now: float) -> list[configuration.Outgoing]:
        """Decides alone where a limit's home does not answer."""
        outgoing: list[configuration.Outgoing] = []
        for request_id, wait in list(self._waits.items()):
            if now - wait.asked < LIMIT_ANSWER_SECONDS:
                continue
            del self._waits[request_id]
            bucket = self._fallback_bucket(wait.work.organisation, now)
            if bucket.take(1.0, now) >= 1.0:
                outgoing += self.dispatch.submit(wait.work, now)
            else:
                self._refuse(wait.work, bucket.wait_seconds(1.0))
        return outgoing

    def _fallback_bucket(self, name: str, now: float) -> limits.TokenBucket:
        """Returns this instance's own part of an organisation's limit."""
        organisation = self.configuration.snapshot.objects.organisations.get(
            name
        )
        rate = organisation.requests_per_second if organisation else 1.0
        zone = self.membership.me.zone
        members = len(self.membership.usable(zone))
        parts = len(self.homes.zones) * max(1, members)
        bucket = self._fallback.get(name)
        if bucket is None:
            bucket = limits.TokenBucket(rate / parts, now)
            self._fallback[name] = bucket
        bucket.set_rate(rate / parts, now)
        return bucket

    def _refuse(self, work: dispatches.Work, retry_after: float) -> None:
        refusal = verdicts.Refusal(
            verdicts.Verdict.NOT_RUN,
            verdicts.Reason.RATE_LIMITED,
            f"organisation {work.organisation} is over its limit",
            retry_after,
        )
        event = dispatches.Event(work.request_id, None, refusal)
        self.dispatch.events.append(event)


def is_limited(organisation: objects.Organisation) -> bool:
    """Returns whether an organisation has any limit."""
    return (
        organisation.requests_per_second > 0
        or organisation.tokens_per_second > 0
    )
