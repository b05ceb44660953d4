"""Admission of requests under the rate limits of their organisations."""

from typing import NamedTuple

from catkintrail import messages
from catkintrail import objects
from catkintrail import verdict as verdicts
from catkintrail.core import configuration
from catkintrail.core import dispatch as dispatches
from catkintrail.core import limit_coordinators
from catkintrail.core import limits

__all__ = ["LimitGate", "is_limited"]

HOME_ANSWER_TIMEOUT_SECONDS = 0.4


class _PendingRequest(NamedTuple):
    """A request that waits for the answer of its limit's coordinator."""

    dispatch_request: dispatches.DispatchRequest
    asked_at: float


class LimitGate:
    """Checks the requests of one instance against rate limits.

    Attributes:
        coordinators: State of the limits whose coordinator is this instance;
            also locates the coordinators of other limits.
        dispatch: Receives the admitted requests.
        configuration: The current configuration.
        membership: This instance's view of the other instances.
    """

    def __init__(
        self,
        coordinators: limit_coordinators.LimitCoordinators,
        dispatch: dispatches.Dispatch,
        current: configuration.Configuration,
    ) -> None:
        self.coordinators = coordinators
        self.dispatch = dispatch
        self.configuration = current
        self.membership = coordinators.membership
        self._pending: dict[str, _PendingRequest] = {}
        self._fallback_buckets: dict[str, limits.TokenBucket] = {}

    def submit(
        self, dispatch_request: dispatches.DispatchRequest, now: float
    ) -> list[configuration.Outgoing]:
        """Asks the limit's coordinator to admit a request, or dispatches it.

        A request of an organisation without a limit is dispatched at once.

        Returns:
            Messages to send.
        """
        organisations = self.configuration.snapshot.objects.organisations
        organisation = organisations.get(dispatch_request.organisation)
        if organisation is None or not is_limited(organisation):
            return self.dispatch.submit(dispatch_request, now)
        zone = self.membership.own_record.zone
        coordinator = self.coordinators.coordinator_of(
            dispatch_request.organisation, zone
        )
        self._pending[dispatch_request.request_id] = _PendingRequest(
            dispatch_request, now
        )
        tokens = dispatch_request.prompt_tokens + dispatch_request.output_tokens
        ask = messages.LimitAsk(
            dispatch_request.request_id, dispatch_request.organisation, tokens
        )
        return [configuration.Outgoing(coordinator or "", ask)]

    def withdraw(self, request_id: str) -> None:
        """Discards a pending request whose caller no longer waits."""
        self._pending.pop(request_id, None)

    def answer(
        self, message: messages.LimitAnswer, now: float
    ) -> list[configuration.Outgoing]:
        """Dispatches or rejects a request as the limit's coordinator decided.

        Returns:
            Messages to send.
        """
        pending = self._pending.pop(message.request_id, None)
        if pending is None:
            return []
        if message.is_allowed:
            return self.dispatch.submit(pending.dispatch_request, now)
        self._refuse(pending.dispatch_request, message.retry_after_seconds)
        return []

    def tick(self, now: float) -> list[configuration.Outgoing]:
        """Decides requests locally if the limit's coordinator has not answered.

        Returns:
            Messages to send.
        """
        outgoing: list[configuration.Outgoing] = []
        for request_id, pending in list(self._pending.items()):
            if now - pending.asked_at < HOME_ANSWER_TIMEOUT_SECONDS:
                continue
            del self._pending[request_id]
            bucket = self._fallback_bucket(
                pending.dispatch_request.organisation, now
            )
            if bucket.take(1.0, now) >= 1.0:
                outgoing += self.dispatch.submit(pending.dispatch_request, now)
            else:
                self._refuse(pending.dispatch_request, bucket.wait_seconds(1.0))
        return outgoing

    def _fallback_bucket(self, name: str, now: float) -> limits.TokenBucket:
        """Returns the bucket for this instance's equal share of a limit."""
        organisation = self.configuration.snapshot.objects.organisations.get(
            name
        )
        rate = organisation.requests_per_second if organisation else 1.0
        zone = self.membership.own_record.zone
        members = len(self.membership.usable_instances(zone))
        share_count = len(self.coordinators.zones) * max(1, members)
        bucket = self._fallback_buckets.get(name)
        if bucket is None:
            bucket = limits.TokenBucket(rate / share_count, now)
            self._fallback_buckets[name] = bucket
        bucket.set_rate(rate / share_count, now)
        return bucket

    def _refuse(
        self, dispatch_request: dispatches.DispatchRequest, retry_after: float
    ) -> None:
        refusal = verdicts.Refusal(
            verdicts.Verdict.NOT_RUN,
            verdicts.Reason.RATE_LIMITED,
            f"organisation {dispatch_request.organisation} exceeds"
            " its rate limit",
            retry_after,
        )
        result = dispatches.DispatchResult(
            dispatch_request.request_id, None, refusal
        )
        self.dispatch.events.append(result)


def is_limited(organisation: objects.Organisation) -> bool:
    """Returns whether an organisation has any limit."""
    return (
        organisation.requests_per_second > 0
        or organisation.tokens_per_second > 0
    )
