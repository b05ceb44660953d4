"""The requests that one instance is placing with owners of pools.

An instance asks the owner of its zone's pool, follows redirects, repeats the
question to the next in rank where an owner stays silent, and takes a grant
only from the owner that it asked last. It alone sends the request to a
target, so it always knows whether that happened.
"""

from typing import NamedTuple

from catkintrail import messages
from catkintrail import verdict as verdicts
from catkintrail.core import configuration
from catkintrail.core import directory as directories
from catkintrail.core import ownership
from catkintrail.core import pool as pools

__all__ = ["Dispatch", "Event", "Work"]

SILENCE_SECONDS = 0.6
KEEPALIVE_SECONDS = 2.0
MAX_RANK = 3
# From this length on a cached prefix is worth a hop to another zone.
PREFIX_ZONE_TOKENS = 100_000


class Work(NamedTuple):
    """What a request asks of a pool; see messages.Acquire.

    Attributes:
        request_id: Unique for the request.
        serves: The model or service.
        organisation: The organisation.
        weight: The organisation's weight.
        prompt_tokens: Length of the prompt; 0 for a service call.
        output_tokens: The most tokens of output.
        blocks: Hashes of the prompt's leading blocks.
        urgency: 0 to 9, higher first.
        first_token_weight: From the route.
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


class Event(NamedTuple):
    """News for the thread that serves a request.

    Attributes:
        request_id: The request.
        granted: A place on a target; or None.
        refusal: Why there is none; or None.
        owner: The instance that granted.
    """

    request_id: str
    granted: messages.Granted | None
    refusal: verdicts.Refusal | None
    owner: str = ""


class _Placement:
    """A request's negotiation with owners."""

    def __init__(self, work: Work, key: pools.PoolKey, now: float) -> None:
        self.work = work
        self.key = key
        self.rank = 0
        self.owner = ""
        self.redirects = 0
        self.asked = now
        self.answered = False
        self.granted = False


class Dispatch:
    """All requests that this instance is placing or running."""

    def __init__(self, directory: directories.Directory) -> None:
        self.directory = directory
        self.placements: dict[str, _Placement] = {}
        self.events: list[Event] = []

    def submit(self, work: Work, now: float) -> list[configuration.Outgoing]:
        """Starts to place a request."""
        key = self._home_pool(work)
        placement = _Placement(work, key, now)
        self.placements[work.request_id] = placement
        return self._ask(placement, now)

    def finish(
        self, request_id: str, done: messages.Released | None
    ) -> list[configuration.Outgoing]:
        """Ends a request: its attempt has ended, or nobody waits for it."""
        placement = self.placements.pop(request_id, None)
        if placement is None or not placement.owner:
            return []
        if done is not None:
            return [configuration.Outgoing(placement.owner, done)]
        withdraw = messages.Withdraw(request_id)
        return [configuration.Outgoing(placement.owner, withdraw)]

    def started(self, request_id: str) -> list[configuration.Outgoing]:
        """Tells the owner of the first token."""
        placement = self.placements.get(request_id)
        if placement is None:
            return []
        message = messages.Started(request_id)
        return [configuration.Outgoing(placement.owner, message)]

    def take_queued(self, sender: str, message: messages.Queued) -> None:
        """Notes that the owner has the request."""
        placement = self._asked(sender, message.request_id)
        if placement is not None:
            placement.answered = True

    def take_granted(
        self, sender: str, message: messages.Granted
    ) -> list[configuration.Outgoing]:
        """Takes a grant, or gives back one that is not wanted any more."""
        placement = self._asked(sender, message.request_id)
        if placement is None:
            unwanted = messages.Released(
                message.request_id, message.members[0].name, 2, 0
            )
            return [configuration.Outgoing(sender, unwanted)]
        if not placement.granted:
            placement.granted = True
            self.events.append(Event(message.request_id, message, None, sender))
        return []

    def take_declined(self, sender: str, message: messages.Declined) -> None:
        """Takes a refusal."""
        placement = self._asked(sender, message.request_id)
        if placement is None or placement.granted:
            return
        self._refuse(
            placement,
            _reason(message.reason),
            message.message,
            message.retry_after_seconds or None,
        )

    def take_redirected(
        self, sender: str, message: messages.Redirected, now: float
    ) -> list[configuration.Outgoing]:
        """Follows a redirect to another pool."""
        placement = self._asked(sender, message.request_id)
        if placement is None or placement.granted:
            return []
        serves = placement.work.serves
        placement.key = pools.PoolKey(serves, message.zone, message.shard)
        placement.redirects += 1
        placement.rank = 0
        return self._ask(placement, now)

    def tick(self, now: float) -> list[configuration.Outgoing]:
        """Repeats questions and ends requests past their deadline."""
        outgoing: list[configuration.Outgoing] = []
        for placement in list(self.placements.values()):
            if placement.granted:
                continue
            if now >= placement.work.deadline:
                outgoing += self._time_out(placement)
                continue
            owner = self.directory.owner(placement.key, placement.rank)
            if owner != placement.owner:
                outgoing += self._ask_other(placement, now)
            elif not placement.answered:
                if now - placement.asked >= SILENCE_SECONDS:
                    self._pass_over(placement)
                    outgoing += self._ask_other(placement, now)
            elif now - placement.asked >= KEEPALIVE_SECONDS:
                outgoing += self._ask(placement, now)
        return outgoing

    def take_events(self) -> list[Event]:
        """Returns and clears the news."""
        events = self.events
        self.events = []
        return events

    def _home_pool(self, work: Work) -> pools.PoolKey:
        """Returns the pool to ask first.

        Long prompts with equal beginnings go to one zone of the region, where
        their prefix may be cached; a hop more is nothing to them.
        """
        zone = self.directory.zone
        if work.blocks and work.prompt_tokens >= PREFIX_ZONE_TOKENS:
            zones = self.directory.region_zones()
            zone = ownership.choose_owner(str(work.blocks[0]), zones) or zone
        return self._pool_in(work, zone)

    def _pool_in(self, work: Work, zone: str) -> pools.PoolKey:
        shard = 0
        if zone == self.directory.zone:
            shard = self.directory.choose_shard(work.serves, work.blocks)
        return pools.PoolKey(work.serves, zone, shard)

    def _pass_over(self, placement: _Placement) -> None:
        """Turns from a silent owner to the next in rank, or to this zone."""
        placement.rank += 1
        if placement.rank >= MAX_RANK:
            placement.rank = 0
            zone = self.directory.zone
            placement.key = self._pool_in(placement.work, zone)

    def _asked(self, sender: str, request_id: str) -> _Placement | None:
        placement = self.placements.get(request_id)
        if placement is None or placement.owner != sender:
            return None
        return placement

    def _ask_other(
        self, placement: _Placement, now: float
    ) -> list[configuration.Outgoing]:
        before = placement.owner
        outgoing = self._ask(placement, now)
        if before and before != placement.owner:
            withdraw = messages.Withdraw(placement.work.request_id)
            outgoing.append(configuration.Outgoing(before, withdraw))
        return outgoing

    def _ask(
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
        placement.asked = now
        placement.answered = False
        work = placement.work
        ask = messages.Acquire(
            work.request_id,
            work.serves,
            placement.key.zone,
            placement.key.shard,
            work.organisation,
            work.weight,
            work.prompt_tokens,
            work.output_tokens,
            work.blocks,
            work.deadline - now,
            work.urgency,
            work.first_token_weight,
            placement.redirects,
            work.avoid,
        )
        return [configuration.Outgoing(owner, ask)]

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
        withdraw = messages.Withdraw(placement.work.request_id)
        return [configuration.Outgoing(owner, withdraw)]

    def _refuse(
        self,
        placement: _Placement,
        reason: verdicts.Reason,
        message: str,
        retry_after: float | None,
    ) -> None:
        request_id = placement.work.request_id
        self.placements.pop(request_id, None)
        refusal = verdicts.Refusal(
            verdicts.Verdict.NOT_RUN, reason, message, retry_after
        )
        self.events.append(Event(request_id, None, refusal))


def _reason(text: str) -> verdicts.Reason:
    try:
        return verdicts.Reason(text)
    except ValueError:
        # A peer of a newer version may know more reasons.
        return verdicts.Reason.OVERLOADED
