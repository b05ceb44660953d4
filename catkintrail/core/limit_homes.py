"""Homes of organisations' limits on one instance."""

import collections
from typing import Sequence

from catkintrail import messages
from catkintrail import objects
from catkintrail.core import configuration
from catkintrail.core import limits
from catkintrail.core import membership as memberships
from catkintrail.core import ownership

__all__ = ["LimitHomes"]

ANNOUNCE_INTERVAL_SECONDS = 1.0
IDLE_SECONDS = 60.0
# A zone joins the division once its demand nears what it may use anyway.
JOIN_FRACTION = 0.5
MIN_RETRY_AFTER_SECONDS = 0.1


class _Home:
    """State of one organisation's limit in this zone."""

    def __init__(self, zone: str, zones: Sequence[str], now: float) -> None:
        self.share = limits.ZoneShare(zone, zones, now)
        self.requests = limits.TokenBucket(0.0, now)
        self.tokens = limits.TokenBucket(0.0, now)
        self.touched = now
        self.is_shared = False

    def set_rates(self, organisation: objects.Organisation, now: float) -> None:
        """Sets the buckets' rates to this zone's part of the limits."""
        part = self.share.effective
        self.requests.set_rate(organisation.requests_per_second * part, now)
        self.tokens.set_rate(organisation.tokens_per_second * part, now)


class LimitHomes:
    """The limits whose home is this instance.

    Attributes:
        homes: State by organisation.
        zones: Zones among which limits are divided.
    """

    def __init__(self, membership: memberships.Membership) -> None:
        self.membership = membership
        self.zone = membership.me.zone
        self.homes: dict[str, _Home] = {}
        self.zones: tuple[str, ...] = (self.zone,)
        self._next_announce = 0.0

    def home_of(self, organisation: str, zone: str) -> str | None:
        """Returns the instance that is a limit's home in a zone."""
        names = self.membership.usable(zone)
        return ownership.choose_owner(f"limit/{organisation}", names)

    def set_zones(self, zones: Sequence[str]) -> None:
        """Takes the zones known; a zone once known stays counted."""
        self.zones = tuple(sorted(set(self.zones) | set(zones)))

    def ask(
        self,
        message: messages.LimitAsk,
        organisation: objects.Organisation,
        now: float,
    ) -> messages.LimitAnswer:
        """Decides whether a request may pass."""
        home = self._home(message.organisation, now)
        home.touched = now
        home.share.note_demand(self._demand(message, organisation), now)
        home.set_rates(organisation, now)
        requests, tokens = home.requests, home.tokens
        requests.refill(now)
        tokens.refill(now)
        has_room = tokens.rate <= 0 or tokens.level > 0
        if has_room and requests.take(1.0, now) >= 1.0:
            tokens.take_debt(message.tokens, now)
            return messages.LimitAnswer(message.request_id, True, 0.0)
        wait = max(requests.wait_seconds(1.0), tokens.wait_seconds(0.0))
        wait = max(MIN_RETRY_AFTER_SECONDS, wait)
        return messages.LimitAnswer(message.request_id, False, wait)

    def take_claims(
        self, sender: str, message: messages.ZoneClaims, now: float
    ) -> list[configuration.Outgoing]:
        """Takes the claims of another zone's home, and answers with own."""
        answers = []
        for claim in message.claims:
            if self.home_of(claim.organisation, self.zone) != (
                self.membership.me.name
            ):
                continue
            self.set_zones((message.zone,))
            home = self._home(claim.organisation, now)
            if message.zone not in home.share.peers:
                continue
            home.share.take_claim(message.zone, sender, claim, now)
            if not home.is_shared:
                home.share.tick(now)
                answers.append(
                    home.share.claim_for(message.zone, claim.organisation)
                )
        if not answers:
            return []
        reply = messages.ZoneClaims(self.zone, tuple(answers))
        return [configuration.Outgoing(sender, reply)]

    def tick(
        self, organisations: dict[str, objects.Organisation], now: float
    ) -> list[configuration.Outgoing]:
        """Announces claims and drops idle homes."""
        if now < self._next_announce:
            return []
        self._next_announce = now + ANNOUNCE_INTERVAL_SECONDS
        outgoing: dict[tuple[str, str], list] = collections.defaultdict(list)
        for name, home in list(self.homes.items()):
            organisation = organisations.get(name)
            if organisation is None or now - home.touched > IDLE_SECONDS:
                del self.homes[name]
                continue
            self._tick_home(name, home, organisation, outgoing, now)
        return [
            configuration.Outgoing(
                peer, messages.ZoneClaims(self.zone, tuple(claims))
            )
            for (peer, _), claims in outgoing.items()
        ]

    def _tick_home(
        self,
        name: str,
        home: _Home,
        organisation: objects.Organisation,
        outgoing: dict[tuple[str, str], list],
        now: float,
    ) -> None:
        share = home.share
        home.is_shared = (
            share.demand > JOIN_FRACTION * share.part()
            or abs(share.effective - share.part()) > limits.MIN_CHANGE
        )
        if not home.is_shared:
            share.note_demand(0.0, now)
            return
        share.tick(now)
        home.set_rates(organisation, now)
        for zone in share.peers:
            peer = self.home_of(name, zone)
            if peer is not None:
                claim = share.claim_for(zone, name)
                outgoing[(peer, zone)].append(claim)

    def _home(self, organisation: str, now: float) -> _Home:
        home = self.homes.get(organisation)
        if home is None or set(home.share.zones) != set(self.zones):
            home = _Home(self.zone, self.zones, now)
            self.homes[organisation] = home
        return home

    def _demand(
        self, message: messages.LimitAsk, organisation: objects.Organisation
    ) -> float:
        """Returns a request's part of the limit that it uses most of."""
        demand = 0.0
        if organisation.requests_per_second > 0:
            demand = 1.0 / organisation.requests_per_second
        if organisation.tokens_per_second > 0:
            part = message.tokens / organisation.tokens_per_second
            demand = max(demand, part)
        return demand
