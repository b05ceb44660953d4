"""Rate limits for which this instance is the home in its zone.

The home of a limit is the instance that admits the requests of its zone under
that limit.
"""

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
IDLE_HOME_SECONDS = 60.0
# A zone takes part in the division by demand once its demand exceeds this
# fraction of its configured share, which it may use in any case.
DIVISION_DEMAND_FRACTION = 0.5
MIN_RETRY_AFTER_SECONDS = 0.1


class _Home:
    """State of one organisation's limit in this zone.

    Attributes:
        share: This zone's claim on the limit.
        requests: Bucket of requests.
        tokens: Bucket of prompt and output tokens.
        last_request_at: Monotonic time in seconds of the last request.
        is_divided_by_demand: Whether this zone takes part in the division by
            demand; otherwise it uses its configured share.
    """

    def __init__(self, zone: str, zones: Sequence[str], now: float) -> None:
        self.share = limits.ZoneShare(zone, zones, now)
        self.requests = limits.TokenBucket(0.0, now)
        self.tokens = limits.TokenBucket(0.0, now)
        self.last_request_at = now
        self.is_divided_by_demand = False

    def set_rates(self, organisation: objects.Organisation, now: float) -> None:
        """Sets the rates of the buckets to this zone's share of the limits."""
        fraction = self.share.effective
        self.requests.set_rate(organisation.requests_per_second * fraction, now)
        self.tokens.set_rate(organisation.tokens_per_second * fraction, now)


class LimitHomes:
    """The rate limits for which this instance is the home.

    Attributes:
        membership: This instance's view of the other instances.
        zone: The zone of this instance.
        homes: State of the limits by organisation.
        zones: Zones between which limits are divided.
    """

    def __init__(self, membership: memberships.Membership) -> None:
        self.membership = membership
        self.zone = membership.me.zone
        self.homes: dict[str, _Home] = {}
        self.zones: tuple[str, ...] = (self.zone,)
        self._next_announcement = 0.0

    def home_of(self, organisation: str, zone: str) -> str | None:
        """Returns the instance that is the home of a limit in a zone.

        Returns:
            Name of the instance; None if the zone has no usable instance.
        """
        names = self.membership.usable(zone)
        return ownership.choose_owner(f"limit/{organisation}", names)

    def set_zones(self, zones: Sequence[str]) -> None:
        """Adds zones; known zones are never removed."""
        self.zones = tuple(sorted(set(self.zones) | set(zones)))

    def ask(
        self,
        message: messages.LimitAsk,
        organisation: objects.Organisation,
        now: float,
    ) -> messages.LimitAnswer:
        """Decides whether a request is admitted."""
        home = self._home(message.organisation, now)
        home.last_request_at = now
        home.share.record_demand(self._demand(message, organisation), now)
        home.set_rates(organisation, now)
        requests, tokens = home.requests, home.tokens
        requests.refill(now)
        tokens.refill(now)
        has_tokens = tokens.rate <= 0 or tokens.level > 0
        if has_tokens and requests.take(1.0, now) >= 1.0:
            tokens.take_with_debt(message.tokens, now)
            return messages.LimitAnswer(message.request_id, True, 0.0)
        wait = max(requests.wait_seconds(1.0), tokens.wait_seconds(0.0))
        wait = max(MIN_RETRY_AFTER_SECONDS, wait)
        return messages.LimitAnswer(message.request_id, False, wait)

    def take_claims(
        self, sender: str, message: messages.ZoneClaims, now: float
    ) -> list[configuration.Outgoing]:
        """Processes claims received from the home in another zone.

        Returns:
            The reply, with this zone's claims on limits that are not announced
            periodically.
        """
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
            home.share.receive_claim(message.zone, sender, claim, now)
            if not home.is_divided_by_demand:
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
        """Announces claims and discards the state of idle limits.

        Returns:
            Messages to send.
        """
        if now < self._next_announcement:
            return []
        self._next_announcement = now + ANNOUNCE_INTERVAL_SECONDS
        outgoing: dict[tuple[str, str], list] = collections.defaultdict(list)
        for name, home in list(self.homes.items()):
            organisation = organisations.get(name)
            if (
                organisation is None
                or now - home.last_request_at > IDLE_HOME_SECONDS
            ):
                del self.homes[name]
                continue
            self._tick_home(name, home, organisation, outgoing, now)
        return [
            configuration.Outgoing(
                peer_home, messages.ZoneClaims(self.zone, tuple(claims))
            )
            for (peer_home, _), claims in outgoing.items()
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
        home.is_divided_by_demand = (
            share.demand > DIVISION_DEMAND_FRACTION * share.configured_share()
            or abs(share.effective - share.configured_share())
            > limits.MIN_CHANGE
        )
        if not home.is_divided_by_demand:
            share.record_demand(0.0, now)
            return
        share.tick(now)
        home.set_rates(organisation, now)
        for zone in share.peers:
            peer_home = self.home_of(name, zone)
            if peer_home is not None:
                claim = share.claim_for(zone, name)
                outgoing[(peer_home, zone)].append(claim)

    def _home(self, organisation: str, now: float) -> _Home:
        """Returns the state of a limit; recreates it if the zones changed."""
        home = self.homes.get(organisation)
        if home is None or set(home.share.zones) != set(self.zones):
            home = _Home(self.zone, self.zones, now)
            self.homes[organisation] = home
        return home

    def _demand(
        self, message: messages.LimitAsk, organisation: objects.Organisation
    ) -> float:
        """Returns the fraction of a second's limit that a request uses.

        Of the limits on requests and on tokens, the larger fraction counts.
        """
        demand = 0.0
        if organisation.requests_per_second > 0:
            demand = 1.0 / organisation.requests_per_second
        if organisation.tokens_per_second > 0:
            fraction = message.tokens / organisation.tokens_per_second
            demand = max(demand, fraction)
        return demand
