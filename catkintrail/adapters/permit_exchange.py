"""Obtains permits for requests at limited targets, and issues them to peers."""

from typing import Callable, NamedTuple

from catkintrail import messages
from catkintrail.adapters import fleet_broadcast
from catkintrail.core import request_permits
from catkintrail.core import request_router
from catkintrail.core import target_limits
from catkintrail.core import targets as target_records

__all__ = ["PermitExchange"]

# An issuer that did not answer in time is not asked again for this long.
ISSUER_PAUSE_SECONDS = 1.0
# A choice whose issuer has been silent for this long is given up.
CHOICE_TIMEOUT_SECONDS = 1.0

Deliver = Callable[[messages.PlacementAnswer], None]


class _Choice(NamedTuple):
    """A choice of targets that waits for a permit.

    Attributes:
        query: The request.
        answer: The choice, with the permits obtained so far.
        deliver: Takes the choice when it has all permits.
        target: The target for which a permit was asked.
        issuer: Address of the instance that was asked.
        asked_at: When it was asked, in seconds.
    """

    query: messages.PlacementQuery
    answer: messages.PlacementAnswer
    deliver: Deliver
    target: target_records.Target
    issuer: str
    asked_at: float


class PermitExchange:
    """Asks for permits, and issues those of this instance's zone.

    Used by the thread of the router actor only.
    """

    def __init__(
        self, router: request_router.RequestRouter, send: fleet_broadcast.Send
    ) -> None:
        self._router = router
        self._send = send
        self._issuer = request_permits.PermitIssuer()
        self._choices: dict[str, _Choice] = {}
        self._silent_until: dict[str, float] = {}

    def settle(
        self,
        query: messages.PlacementQuery,
        answer: messages.PlacementAnswer,
        deliver: Deliver,
        now: float,
    ) -> None:
        """Obtains the permits that a choice needs.

        If one is not to be had, other targets are chosen.

        Args:
            query: The request.
            answer: The choice.
            deliver: Takes the choice when it has all permits, now or later; or
                the reason why no target can be used.
            now: Time in seconds.
        """
        self._choices.pop(query.key, None)
        while (
            target := self._router.find_unpermitted(answer, now)
        ) is not None:
            issuer = self._router.fleet_state.peers.permit_issuer(
                target.availability_zone
            )
            wait_seconds = self._silent_until.get(issuer, now) - now
            if issuer == self._router.settings.address:
                wait_seconds = self._issue(
                    target_limits.make_key(target), 0.0, now
                )
            elif wait_seconds <= 0:
                self._choices[query.key] = _Choice(
                    query, answer, deliver, target, issuer, now
                )
                self._ask(query.key, target, issuer, now)
                return
            if wait_seconds > 0:
                answer = self._choose_again(query, target, wait_seconds, now)
            else:
                answer = answer._replace(permits=(*answer.permits, target.name))
        deliver(answer)

    def give_up(self, key: str, now: float) -> None:
        """Chooses other targets, as the issuer of a permit is silent."""
        choice = self._choices.get(key)
        if choice is None:
            return
        silent_until = now + ISSUER_PAUSE_SECONDS
        self._silent_until[choice.issuer] = silent_until
        answer = self._choose_again(
            choice.query, choice.target, ISSUER_PAUSE_SECONDS, now
        )
        self.settle(choice.query, answer, choice.deliver, now)

    def expire(self, now: float) -> None:
        """Gives up choices that have waited too long; drops old schedules.

        A request of this instance is always given a result, as its thread waits
        for one. A peer whose request was not placed in time has placed it
        itself.
        """
        for key, choice in list(self._choices.items()):
            if now - choice.asked_at <= CHOICE_TIMEOUT_SECONDS:
                continue
            if choice.query.sender == self._router.settings.name:
                self.give_up(key, now)
            else:
                del self._choices[key]
                self._silent_until[choice.issuer] = now + ISSUER_PAUSE_SECONDS
        for address, until in list(self._silent_until.items()):
            if until <= now:
                del self._silent_until[address]
        self._issuer.expire(now)

    def handle_query(
        self, address: str, query: messages.PermitQuery, now: float
    ) -> None:
        """Issues a permit to a peer, or tells it when one is due.

        A peer may take another instance for the issuer than this zone does.
        Its question is passed on once.
        """
        peers = self._router.fleet_state.peers
        issuer = peers.permit_issuer(query.availability_zone)
        key = (query.target, query.born)
        if query.age_ms >= 0:
            self._router.notices.limits.accept(
                key, query.requests_per_second, now - query.age_ms / 1000.0
            )
        if issuer == peers.own_address:
            wait_seconds = self._issue(key, query.cold_per_second, now)
        elif not query.asker:
            self._send([issuer], query._replace(asker=address))
            return
        else:
            wait_seconds = ISSUER_PAUSE_SECONDS
        self._send(
            [query.asker or address],
            messages.PermitAnswer(query.key, query.target, wait_seconds),
        )

    def handle_answer(self, answer: messages.PermitAnswer, now: float) -> None:
        """Goes on with the choice that waits for a permit."""
        choice = self._choices.get(answer.key)
        if choice is None or choice.target.name != answer.target:
            return
        if answer.wait_seconds > 0:
            chosen = self._choose_again(
                choice.query, choice.target, answer.wait_seconds, now
            )
        else:
            permits = (*choice.answer.permits, answer.target)
            chosen = choice.answer._replace(permits=permits)
        self.settle(choice.query, chosen, choice.deliver, now)

    def _issue(
        self,
        key: target_limits.TargetKey,
        cold_per_second: float,
        now: float,
    ) -> float:
        """Issues a permit; returns the seconds until one is due, or 0.

        Args:
            key: The target.
            cold_per_second: What the asking peer knows of a cold target, which
                this instance may not know; 0 for nothing.
            now: Time in seconds.
        """
        notices = self._router.notices
        limits = [cold_per_second] if cold_per_second > 0 else []
        statement = notices.limits.statements.get(key)
        if statement is not None and statement.requests_per_second is not None:
            limits.append(statement.requests_per_second)
        target = self._router.fleet_state.targets.targets.get(key[0])
        if target is not None and target_limits.make_key(target) == key:
            cold_limit = notices.cold.find(target, now)
            limits += [] if cold_limit is None else [cold_limit]
        if not limits:
            return 0.0
        share = self._router.fleet_state.peers.reachable_zone_share()
        return self._issuer.issue(key, min(limits) * share, now)

    def _ask(
        self, key: str, target: target_records.Target, issuer: str, now: float
    ) -> None:
        notices = self._router.notices
        statement = notices.limits.statements.get(
            target_limits.make_key(target)
        )
        query = messages.PermitQuery(
            key,
            target.name,
            target.born,
            target.availability_zone,
            statement.requests_per_second if statement else None,
            (now - statement.stated_at) * 1000.0 if statement else -1.0,
            "",
            notices.cold.find(target, now) or 0.0,
        )
        self._send([issuer], query)

    def _choose_again(
        self,
        query: messages.PlacementQuery,
        target: target_records.Target,
        wait_seconds: float,
        now: float,
    ) -> messages.PlacementAnswer:
        """Chooses without a target for which no permit is to be had."""
        self._router.notices.limits.defer(target, now + wait_seconds)
        self._router.load.drop(query.sender, query.key)
        return self._router.chooser.answer_query(query, now)
