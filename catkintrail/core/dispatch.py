"""Placement of an instance's requests with the owners of pools.

An instance sends each request to the owner of its zone's pool and follows
redirects. If an owner does not reply, the instance sends the request to the
next one in the owner ranking. It accepts a grant only from the owner to which
it sent the request last. Only this instance sends the request on to a target,
so it always knows whether that was done.
"""

from typing import NamedTuple

from catkintrail import messages
from catkintrail import verdict as verdicts
from catkintrail.core import configuration
from catkintrail.core import directory as directories
from catkintrail.core import pool as pools
from catkintrail.core import rendezvous

__all__ = ["Dispatch", "DispatchRequest", "DispatchResult"]

OWNER_TIMEOUT_SECONDS = 0.6
KEEPALIVE_INTERVAL_SECONDS = 2.0
# Owners tried in rank order before the request goes to this zone's pool.
OWNER_CANDIDATES = 3
# From this length on, a cached prefix saves more than a hop to another zone
# costs.
MIN_PREFIX_ROUTING_TOKENS = 100_000


class DispatchRequest(NamedTuple):
    """A request to be placed; see messages.Acquire.

    Attributes:
        request_id: Unique for the request.
        serves: The model or service.
        organisation: The organisation.
        weight: The organisation's weight.
        prompt_tokens: Length of the prompt; 0 for a service call.
        output_tokens: Maximum number of output tokens.
        blocks: Hashes of the prompt's leading blocks.
        urgency: 0 to 9, higher first.
        first_token_weight: Weight of an early first token, from the route.
        deadline: Monotonic time in seconds.
        avoid: Targets on which an attempt failed.
    """

    request_id: str
    serves: str
    organisation: str
    weight: float
    prompt_tokens: int
    output_tokens: int
    blocks: tuple[int, ...]
    urgency: int
    first_token_weight: float
    deadline: float
    avoid: tuple[str, ...] = ()


class DispatchResult(NamedTuple):
    """Result of a placement, for the thread that serves the request.

    Attributes:
        request_id: The request.
        granted: The grant; None if the request was refused.
        refusal: The refusal; None if the request was granted.
        owner: The instance that granted the request.
    """

    request_id: str
    granted: messages.Granted | None
    refusal: verdicts.Refusal | None
    owner: str = ""


class _Placement:
    """State of a request's placement."""

    def __init__(
        self, dispatch_request: DispatchRequest, key: pools.PoolKey, now: float
    ) -> None:
        self.dispatch_request = dispatch_request
        self.key = key
        self.rank = 0
        self.owner = ""
        self.redirects = 0
        self.sent_at = now
        self.is_acknowledged = False
        self.is_granted = False


class Dispatch:
    """Requests that this instance is placing or running."""

    def __init__(self, directory: directories.Directory) -> None:
        self.directory = directory
        self.placements: dict[str, _Placement] = {}
        self.events: list[DispatchResult] = []

    def submit(
        self, dispatch_request: DispatchRequest, now: float
    ) -> list[configuration.Outgoing]:
        """Starts the placement of a request."""
        key = self._home_pool(dispatch_request)
        placement = _Placement(dispatch_request, key, now)
        self.placements[dispatch_request.request_id] = placement
        return self._send_acquire(placement, now)

    def finish(
        self, request_id: str, done: messages.Released | None
    ) -> list[configuration.Outgoing]:
        """Ends a request and reports this to the owner.

        Args:
            request_id: The request.
            done: Outcome of its attempt; None to withdraw the request.

        Returns:
            Messages to send.
        """
        placement = self.placements.pop(request_id, None)
        if placement is None or not placement.owner:
            return []
        if done is not None:
            return [configuration.Outgoing(placement.owner, done)]
        withdraw = messages.Withdraw(request_id)
        return [configuration.Outgoing(placement.owner, withdraw)]

    def record_first_token(
        self, request_id: str
    ) -> list[configuration.Outgoing]:
        """Reports the first token to the owner."""
        placement = self.placements.get(request_id)
        if placement is None:
            return []
        message = messages.Started(request_id)
        return [configuration.Outgoing(placement.owner, message)]

    def handle_queued(self, sender: str, message: messages.Queued) -> None:
        """Records that the owner has queued the request."""
        placement = self._find_placement(sender, message.request_id)
        if placement is not None:
            placement.is_acknowledged = True

    def handle_granted(
        self, sender: str, message: messages.Granted
    ) -> list[configuration.Outgoing]:
        """Accepts a grant, or releases one that is no longer needed."""
        placement = self._find_placement(sender, message.request_id)
        if placement is None:
            unwanted = messages.Released(
                message.request_id, message.members[0].name, 2, 0
            )
            return [configuration.Outgoing(sender, unwanted)]
        if not placement.is_granted:
            placement.is_granted = True
            self.events.append(
                DispatchResult(message.request_id, message, None, sender)
            )
        return []

    def handle_declined(self, sender: str, message: messages.Declined) -> None:
        """Ends a placement that the owner refused."""
        placement = self._find_placement(sender, message.request_id)
        if placement is None or placement.is_granted:
            return
        self._refuse(
            placement,
            _reason(message.reason),
            message.message,
            message.retry_after_seconds or None,
        )

    def handle_redirected(
        self, sender: str, message: messages.Redirected, now: float
    ) -> list[configuration.Outgoing]:
        """Sends a request to the pool to which it was redirected."""
        placement = self._find_placement(sender, message.request_id)
        if placement is None or placement.is_granted:
            return []
        serves = placement.dispatch_request.serves
        placement.key = pools.PoolKey(serves, message.zone, message.shard)
        placement.redirects += 1
        placement.rank = 0
        return self._send_acquire(placement, now)

    def tick(self, now: float) -> list[configuration.Outgoing]:
        """Resends requests to owners and ends those past their deadline."""
        outgoing: list[configuration.Outgoing] = []
        for placement in list(self.placements.values()):
            if placement.is_granted:
                continue
            if now >= placement.dispatch_request.deadline:
                outgoing += self._time_out(placement)
                continue
            owner = self.directory.owner(placement.key, placement.rank)
            if owner != placement.owner:
                outgoing += self._send_to_current_owner(placement, now)
            elif not placement.is_acknowledged:
                if now - placement.sent_at >= OWNER_TIMEOUT_SECONDS:
                    self._select_next_owner(placement)
                    outgoing += self._send_to_current_owner(placement, now)
            elif now - placement.sent_at >= KEEPALIVE_INTERVAL_SECONDS:
                outgoing += self._send_acquire(placement, now)
        return outgoing

    def pop_events(self) -> list[DispatchResult]:
        """Returns and clears the pending events."""
        events = self.events
        self.events = []
        return events

    def _home_pool(self, dispatch_request: DispatchRequest) -> pools.PoolKey:
        """Returns the pool to which a request is sent first.

        Long prompts with equal prefixes go to the same zone of the region,
        where the prefix may be cached. The time of the additional hop is
        negligible for a long prompt.
        """
        zone = self.directory.zone
        if (
            dispatch_request.blocks
            and dispatch_request.prompt_tokens >= MIN_PREFIX_ROUTING_TOKENS
        ):
            zones = self.directory.region_zones()
            zone = (
                rendezvous.choose_owner(str(dispatch_request.blocks[0]), zones)
                or zone
            )
        return self._pool_in_zone(dispatch_request, zone)

    def _pool_in_zone(
        self, dispatch_request: DispatchRequest, zone: str
    ) -> pools.PoolKey:
        shard = 0
        if zone == self.directory.zone:
            shard = self.directory.choose_shard(
                dispatch_request.serves, dispatch_request.blocks
            )
        return pools.PoolKey(dispatch_request.serves, zone, shard)

    def _select_next_owner(self, placement: _Placement) -> None:
        """Selects the next owner in rank; after the last, this zone's pool."""
        placement.rank += 1
        if placement.rank >= OWNER_CANDIDATES:
            placement.rank = 0
            zone = self.directory.zone
            placement.key = self._pool_in_zone(placement.dispatch_request, zone)

    def _find_placement(
        self, sender: str, request_id: str
    ) -> _Placement | None:
        placement = self.placements.get(request_id)
        if placement is None or placement.owner != sender:
            return None
        return placement

    def _send_to_current_owner(
        self, placement: _Placement, now: float
    ) -> list[configuration.Outgoing]:
        previous = placement.owner
        outgoing = self._send_acquire(placement, now)
        if previous and previous != placement.owner:
            withdraw = messages.Withdraw(placement.dispatch_request.request_id)
            outgoing.append(configuration.Outgoing(previous, withdraw))
        return outgoing

    def _send_acquire(
        self, placement: _Placement, now: float
    ) -> list[configuration.Outgoing]:
        owner = self.directory.owner(placement.key, placement.rank)
        if owner is None:
            self._refuse(
                placement,
                verdicts.Reason.NO_TARGET,
                f"no instance serves zone {placement.key.zone}",
                1.0,
            )
            return []
        placement.owner = owner
        placement.sent_at = now
        placement.is_acknowledged = False
        dispatch_request = placement.dispatch_request
        request = messages.Acquire(
            dispatch_request.request_id,
            dispatch_request.serves,
            placement.key.zone,
            placement.key.shard,
            dispatch_request.organisation,
            dispatch_request.weight,
            dispatch_request.prompt_tokens,
            dispatch_request.output_tokens,
            dispatch_request.blocks,
            dispatch_request.deadline - now,
            dispatch_request.urgency,
            dispatch_request.first_token_weight,
            placement.redirects,
            dispatch_request.avoid,
        )
        return [configuration.Outgoing(owner, request)]

    def _time_out(self, placement: _Placement) -> list[configuration.Outgoing]:
        owner = placement.owner
        self._refuse(
            placement,
            verdicts.Reason.DEADLINE,
            "the deadline passed before a target was free",
            1.0,
        )
        if not owner:
            return []
        withdraw = messages.Withdraw(placement.dispatch_request.request_id)
        return [configuration.Outgoing(owner, withdraw)]

    def _refuse(
        self,
        placement: _Placement,
        reason: verdicts.Reason,
        message: str,
        retry_after: float | None,
    ) -> None:
        request_id = placement.dispatch_request.request_id
        self.placements.pop(request_id, None)
        refusal = verdicts.Refusal(
            verdicts.Verdict.NOT_RUN, reason, message, retry_after
        )
        self.events.append(DispatchResult(request_id, None, refusal))


def _reason(text: str) -> verdicts.Reason:
    try:
        return verdicts.Reason(text)
    except ValueError:
        # A peer of a newer version may send a reason unknown here.
        return verdicts.Reason.OVERLOADED
