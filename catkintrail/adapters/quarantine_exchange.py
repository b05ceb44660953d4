"""Exchange between instances about requests that crash engines.

All instances hear of each crash and decide alike; see core.request_quarantine.
In a large fleet the coordinators pass news on.
"""

import logging
from typing import Callable, Collection, Iterable, Iterator, TypeVar

from catkintrail import messages
from catkintrail.adapters import fleet_broadcast
from catkintrail.core import request_quarantine
from catkintrail.core import request_router
from catkintrail.core import store_views
from catkintrail.core.quarantine import crash_evidence

__all__ = ["QuarantineExchange"]

_LOG = logging.getLogger("catkintrail.quarantine")
_Item = TypeVar("_Item")

# Limit of the crashes, or of the quarantines, in one message.
MAX_ITEMS_PER_MESSAGE = 8
# Limit of the traits in one message, in encoded bytes. Requests of long
# conversations have traits of some 20 KB; a datagram takes 60,000 bytes.
MAX_TRAIT_BYTES_PER_MESSAGE = 24 << 10
# Bytes that encode the length of a string.
STRING_HEAD_BYTES = 3
# Crashes are repeated to peers for this long.
CRASH_NEWS_SECONDS = 10.0


class QuarantineExchange:
    """Records evidence about requests, and exchanges it with peers.

    Used by the thread of the router actor only.
    """

    def __init__(
        self, router: request_router.RequestRouter, send: fleet_broadcast.Send
    ) -> None:
        self._router = router
        self._send = send

    def record_crash(
        self, crash: crash_evidence.EngineCrash, now: float
    ) -> None:
        """Records a response that broke off at its start; tells the fleet."""
        _log_crash(crash)
        added = self._router.quarantine.record_crash(crash, now)
        _log_quarantines(added, self._router.settings.name)
        report = _make_crash_report(crash, 0.0)
        self._spread(self._make_news(now, (report,), tuple(added)))

    def record_survival(self, target: str, born: int, now: float) -> None:
        """Records that an engine lived on after it ended a connection."""
        quarantine = self._router.quarantine
        listed = self._router.fleet_state.targets.targets.get(target)
        if listed is None or listed.born != born:
            return
        released = quarantine.record_survival(target, born, now)
        _LOG.info("target_survived", extra={"target": target, "born": born})
        _log_releases(released, "survival")
        survival = messages.SurvivalReport(target, born, 0.0)
        self._spread(self._make_news(now, survivals=(survival,)))

    def apply_changes(
        self, changes: list[store_views.TargetChange], now: float
    ) -> None:
        """Takes engines that are gone, or have started anew, as ended."""
        quarantine = self._router.quarantine
        added = []
        for target, event in changes:
            if event in store_views.REMOVAL_EVENTS:
                added += quarantine.record_end(target.name, target.born, now)
            elif not target.is_leaving:
                added += quarantine.record_start(target.name, target.born, now)
        _log_quarantines(added, self._router.settings.name)

    def begin_trial(self, traits: tuple[str, ...], now: float) -> bool:
        """Returns whether a quarantined request may be sent as a trial."""
        begun = self._router.quarantine.begin_trial(traits, now)
        for combination in begun:
            _LOG.warning("request_trial", extra={"traits": sorted(combination)})
        if begun:
            self._spread(self._make_news(now, added=tuple(begun)))
        return bool(begun)

    def record_proof(self, traits: tuple[str, ...], now: float) -> None:
        """Records that a target has answered, or written on a prompt."""
        released = self._router.quarantine.record_proof(traits, now)
        if released:
            _log_releases(released, self._router.settings.name)
            self._spread(self._make_news(now, released=released))

    def restore(
        self,
        remainders: dict[crash_evidence.Traits, request_quarantine.Remainder],
        now: float,
    ) -> None:
        """Applies quarantines that have outlasted the instances."""
        quarantine = self._router.quarantine
        restored = [
            traits
            for traits, remainder in remainders.items()
            if quarantine.restore(traits, remainder, now)
        ]
        _log_quarantines(restored, "store")

    def greet(self, address: str, now: float) -> None:
        """Sends all that is known to a peer that does not know it."""
        for news in self._snapshot(now):
            self._send([address], news)

    def refresh(self, now: float) -> None:
        """Drops old evidence and repeats the rest, as messages may be lost."""
        ended = self._router.quarantine.expire(now)
        _log_releases(ended, "expiry")
        recipients = fleet_broadcast.choose_refresh_recipients(
            self._router.fleet_state.peers
        )
        if not recipients:
            return
        for news in self._snapshot(now, CRASH_NEWS_SECONDS):
            self._send(recipients, news)

    def _snapshot(
        self,
        now: float,
        max_age_seconds: float = crash_evidence.EVIDENCE_SECONDS,
    ) -> list[messages.QuarantineNews]:
        """Returns messages with what is known of quarantines."""
        quarantine = self._router.quarantine
        reports = tuple(
            _make_crash_report(crash, age_seconds)
            for crash, age_seconds in quarantine.crashes(now, max_age_seconds)
        )
        survivals = tuple(
            messages.SurvivalReport(target, born, age_seconds * 1000.0)
            for target, born, age_seconds in quarantine.survivors(
                now, max_age_seconds
            )
        )
        added = tuple(quarantine.quarantined)
        return self._make_news(now, reports, added, survivals=survivals)

    def _make_news(
        self,
        now: float,
        crashes: tuple[messages.CrashReport, ...] = (),
        added: tuple[crash_evidence.Traits, ...] = (),
        released: Iterable[crash_evidence.Traits] = (),
        survivals: tuple[messages.SurvivalReport, ...] = (),
    ) -> list[messages.QuarantineNews]:
        """Returns messages, each of which fits into a datagram."""
        quarantined = self._router.quarantine.quarantined
        quarantines = [
            self._make_report(traits, now)
            for traits in added
            if traits in quarantined
        ]
        name = self._router.settings.name
        news = [
            messages.QuarantineNews(name, group, (), (), ())
            for group in _group(crashes, lambda report: report.traits)
        ]
        news += [
            messages.QuarantineNews(name, (), group, (), ())
            for group in _group(quarantines, lambda report: report.traits)
        ]
        news += [
            messages.QuarantineNews(name, (), (), group, ())
            for group in _group(map(tuple, map(sorted, released)), tuple)
        ]
        if survivals:
            # A peer has to know of survivals before it judges by crashes.
            first = messages.QuarantineNews(name, (), (), (), survivals)
            news = [first, *news]
        return news

    def _make_report(
        self, traits: crash_evidence.Traits, now: float
    ) -> messages.QuarantineReport:
        quarantine = self._router.quarantine
        trial = quarantine.trials[traits]
        next_ms = -1.0
        if trial.next_at < float("inf"):
            next_ms = max(0.0, trial.next_at - now) * 1000.0
        return messages.QuarantineReport(
            tuple(sorted(traits)),
            (quarantine.quarantined[traits] - now) * 1000.0,
            trial.begun,
            trial.failed,
            next_ms,
        )

    def _spread(self, news: list[messages.QuarantineNews]) -> None:
        for message in news:
            fleet_broadcast.spread(
                self._router.fleet_state, self._send, message
            )

    def handle(
        self, address: str, news: messages.QuarantineNews, now: float
    ) -> None:
        """Applies what a peer knows of requests that crash engines."""
        quarantine = self._router.quarantine
        is_new = False
        added = []
        for report in news.crashes:
            crash = crash_evidence.EngineCrash(*report[:-1])
            is_new = is_new or not quarantine.is_known(crash)
            at = now - report.age_ms / 1000.0
            added += quarantine.record_crash(crash, at)
        released = []
        for survival in news.survivals:
            if not quarantine.is_survivor(survival.target, survival.born):
                is_new = True
                released += quarantine.record_survival(
                    survival.target,
                    survival.born,
                    now - survival.age_ms / 1000.0,
                )
        refuted = []
        for item in news.quarantines:
            traits = frozenset(item.traits)
            if traits not in quarantine.quarantined:
                if not quarantine.accept(
                    traits, item.left_ms / 1000.0, now, item.failed
                ):
                    refuted.append(traits)
                elif traits in quarantine.quarantined:
                    added.append(traits)
            next_seconds = float("inf")
            if item.next_trial_ms >= 0:
                next_seconds = item.next_trial_ms / 1000.0
            is_new |= quarantine.merge_trial(
                traits, item.trials, now + next_seconds
            )
        for combination in news.released:
            released += quarantine.record_proof(combination, now)
        _log_quarantines(added, news.sender)
        _log_releases(released, news.sender)
        if refuted:
            self._spread(self._make_news(now, released=refuted))
        peers = self._router.fleet_state.peers
        if (is_new or added or released) and fleet_broadcast.passes_news_on(
            peers, address
        ):
            self._spread([news])


def _group(
    items: Iterable[_Item], get_traits: Callable[[_Item], Collection[str]]
) -> Iterator[tuple[_Item, ...]]:
    """Yields groups of items that fit into a message."""
    group: list[_Item] = []
    size = 0
    for item in items:
        item_bytes = sum(len(t) + STRING_HEAD_BYTES for t in get_traits(item))
        is_full = size + item_bytes > MAX_TRAIT_BYTES_PER_MESSAGE
        if group and (is_full or len(group) == MAX_ITEMS_PER_MESSAGE):
            yield tuple(group)
            group, size = [], 0
        group.append(item)
        size += item_bytes
    if group:
        yield tuple(group)


def _make_crash_report(
    crash: crash_evidence.EngineCrash, age_seconds: float
) -> messages.CrashReport:
    """Returns the report of a crash, without what only its sender judges."""
    return messages.CrashReport(
        crash.target,
        crash.born,
        crash.traits,
        crash.has_begun,
        crash.has_ended,
        age_seconds * 1000.0,
    )


def _log_crash(crash: crash_evidence.EngineCrash) -> None:
    _LOG.warning(
        "request_crash",
        extra={
            "target": crash.target,
            "traits": crash.traits,
            "has_begun": crash.has_begun,
            "is_resend": crash.is_resend,
        },
    )


def _log_quarantines(
    combinations: Iterable[crash_evidence.Traits], source: str
) -> None:
    for traits in combinations:
        _LOG.warning(
            "request_quarantined",
            extra={"traits": sorted(traits), "source": source},
        )


def _log_releases(
    combinations: Iterable[crash_evidence.Traits], source: str
) -> None:
    for traits in combinations:
        _LOG.warning(
            "request_released",
            extra={"traits": sorted(traits), "source": source},
        )
