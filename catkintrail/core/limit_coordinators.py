"""Rate limits for which this instance is the coordinator in its zone.

The coordinator of a limit is the instance that admits the requests of its zone
under that limit.
"""

import collections
from typing import Sequence

from catkintrail import messages
from catkintrail import objects
from catkintrail.core import configuration
from catkintrail.core import limits
from catkintrail.core import membership as memberships
from catkintrail.core import rendezvous

__all__ = ["LimitCoordinators"]

ANNOUNCE_INTERVAL_SECONDS = 1.0
IDLE_COORDINATOR_SECONDS = 60.0
# A zone takes part in the division by demand once its demand exceeds this
# fraction of its configured share, which it may use in any case.
DIVISION_DEMAND_FRACTION = 0.5
MIN_RETRY_AFTER_SECONDS = 0.1


class _Coordinator:
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


class LimitCoordinators:
    """The rate limits for which this instance is the coordinator.

    Attributes:
        membership: This instance's view of the other instances.
        zone: The zone of this instance.
        coordinators: State of the limits by organisation.
        zones: Zones between which limits are divided.
    """

    def __init__(self, membership: memberships.Membership) -> None:
        self.membership = membership
        self.zone = membership.own_record.zone
        self.coordinators: dict[str, _Coordinator] = {}
        self.zones: tuple[str, ...] = (self.zone,)
        self._next_announcement = 0.0

    def coordinator_of(self, organisation: str, zone: str) -> str | None:
        """Returns the instance that is the coordinator of a limit in a zone.

        Returns:
            Name of the instance; None if the zone has no usable instance.
        """
        names = self.membership.usable_instances(zone)
        return rendezvous.choose_owner(f"limit/{organisation}", names)

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
        coordinator = self._coordinator(message.organisation, now)
        coordinator.last_request_at = now
        coordinator.share.record_demand(
            self._demand(message, organisation), now
        )
        coordinator.set_rates(organisation, now)
        requests, tokens = coordinator.requests, coordinator.tokens
        requests.refill(now)
        tokens.refill(now)
        has_tokens = tokens.rate <= 0 or tokens.level > 0
        if has_tokens and requests.take(1.0, now) >= 1.0:
            tokens.take_with_debt(message.tokens, now)
            return messages.LimitAnswer(message.request_id, True, 0.0)
        wait = max(requests.wait_seconds(1.0), tokens.wait_seconds(0.0))
        wait = max(MIN_RETRY_AFTER_SECONDS, wait)
        return messages.LimitAnswer(message.request_id, False, wait)

    def receive_claims(
        self, sender: str, message: messages.ZoneClaims, now: float
    ) -> list[configuration.Outgoing]:
        """Processes claims received from the coordinator in another zone.

        Returns:
            The reply, with this zone's claims on limits that are not announced
            periodically.
        """
        answers = []
        for claim in message.claims:
            if self.coordinator_of(claim.organisation, self.zone) != (
                self.membership.own_record.name
            ):
                continue
            self.set_zones((message.zone,))
            coordinator = self._coordinator(claim.organisation, now)
            if message.zone not in coordinator.share.peers:
                continue
            coordinator.share.receive_claim(message.zone, sender, claim, now)
            if not coordinator.is_divided_by_demand:
                coordinator.share.tick(now)
                answers.append(
                    coordinator.share.claim_for(
                        message.zone, claim.organisation
                    )
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
        for name, coordinator in list(self.coordinators.items()):
            organisation = organisations.get(name)
            if (
                organisation is None
                or now - coordinator.last_request_at > IDLE_COORDINATOR_SECONDS
            ):
                del self.coordinators[name]
                continue
            self._tick_coordinator(
                name, coordinator, organisation, outgoing, now
            )
        return [
            configuration.Outgoing(
                peer_coordinator, messages.ZoneClaims(self.zone, tuple(claims))
            )
            for (peer_coordinator, _), claims in outgoing.items()
        ]

    def _tick_coordinator(
        self,
        name: str,
        coordinator: _Coordinator,
        organisation: objects.Organisation,
        outgoing: dict[tuple[str, str], list],
        now: float,
    ) -> None:
        share = coordinator.share
        coordinator.is_divided_by_demand = (
            share.demand > DIVISION_DEMAND_FRACTION * share.configured_share()
            or abs(share.effective - share.configured_share())
            > limits.MIN_CHANGE
        )
        if not coordinator.is_divided_by_demand:
            share.record_demand(0.0, now)
            return
        share.tick(now)
        coordinator.set_rates(organisation, now)
        for zone in share.peers:
            peer_coordinator = self.coordinator_of(name, zone)
            if peer_coordinator is not None:
                claim = share.claim_for(zone, name)
                outgoing[(peer_coordinator, zone)].append(claim)

    def _coordinator(self, organisation: str, now: float) -> _Coordinator:
        """Returns the state of a limit; recreates it if the zones changed."""
        coordinator = self.coordinators.get(organisation)
        if coordinator is None or set(coordinator.share.zones) != set(
            self.zones
        ):
            coordinator = _Coordinator(self.zone, self.zones, now)
            self.coordinators[organisation] = coordinator
        return coordinator

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
