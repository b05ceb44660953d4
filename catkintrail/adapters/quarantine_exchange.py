"""Exchange between instances about requests that crash engines.

All instances hear of each crash and decide alike; see core.request_quarantine.
In a large fleet the coordinators pass news on.
"""

import logging
from typing import Iterable

from catkintrail import messages
from catkintrail.adapters import fleet_broadcast
from catkintrail.core import request_quarantine
from catkintrail.core import request_router

__all__ = ["QuarantineExchange"]

_LOG = logging.getLogger("catkintrail.quarantine")

# Limit of the crashes of engines in one message.
MAX_CRASHES_PER_MESSAGE = 8
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
        self, crash: request_quarantine.EngineCrash, now: float
    ) -> None:
        """Records a response that broke off at its start; tells the fleet."""
        _log_crash(crash)
        added = self._router.quarantine.record_crash(crash, now)
        _log_quarantines(added, self._router.settings.name)
        report = messages.CrashReport(*crash, 0.0)
        self._spread(self._make_news(now, (report,), tuple(added)))

    def record_proof(self, traits: tuple[str, ...], now: float) -> None:
        """Records that a target has answered, or written on a prompt."""
        released = self._router.quarantine.record_proof(traits, now)
        if released:
            _log_releases(released, self._router.settings.name)
            self._spread(self._make_news(now, released=released))

    def restore(
        self,
        left_seconds: dict[request_quarantine.Traits, float],
        now: float,
    ) -> None:
        """Applies quarantines that outlasted the instances.

        Args:
            left_seconds: Remaining durations of the combinations.
            now: Time in seconds.
        """
        quarantine = self._router.quarantine
        restored = [
            traits
            for traits, seconds in left_seconds.items()
            if traits not in quarantine.quarantined
            and quarantine.accept(traits, seconds, now)
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
        max_age_seconds: float = request_quarantine.EVIDENCE_SECONDS,
    ) -> list[messages.QuarantineNews]:
        """Returns messages with what is known of quarantines."""
        quarantine = self._router.quarantine
        reports = [
            messages.CrashReport(*crash, age_seconds * 1000.0)
            for crash, age_seconds in quarantine.crashes(now, max_age_seconds)
        ]
        news = [
            self._make_news(
                now, tuple(reports[start : start + MAX_CRASHES_PER_MESSAGE])
            )
            for start in range(0, len(reports), MAX_CRASHES_PER_MESSAGE)
        ]
        if quarantine.quarantined:
            added = tuple(quarantine.quarantined)
            news.append(self._make_news(now, added=added))
        return news

    def _make_news(
        self,
        now: float,
        crashes: tuple[messages.CrashReport, ...] = (),
        added: tuple[request_quarantine.Traits, ...] = (),
        released: Iterable[request_quarantine.Traits] = (),
    ) -> messages.QuarantineNews:
        quarantined = self._router.quarantine.quarantined
        return messages.QuarantineNews(
            self._router.settings.name,
            crashes,
            tuple(
                messages.QuarantineReport(
                    tuple(sorted(traits)), (quarantined[traits] - now) * 1000.0
                )
                for traits in added
                if traits in quarantined
            ),
            tuple(tuple(sorted(traits)) for traits in released),
        )

    def _spread(self, news: messages.QuarantineNews) -> None:
        fleet_broadcast.spread(self._router.fleet_state, self._send, news)

    def handle(
        self, address: str, news: messages.QuarantineNews, now: float
    ) -> None:
        """Applies what a peer knows of requests that crash engines."""
        quarantine = self._router.quarantine
        is_new = False
        added = []
        for report in news.crashes:
            crash = request_quarantine.EngineCrash(*report[:4])
            is_new = is_new or not quarantine.is_known(crash)
            at = now - report.age_ms / 1000.0
            added += quarantine.record_crash(crash, at)
        refuted = []
        for item in news.quarantines:
            traits = frozenset(item.traits)
            if traits in quarantine.quarantined:
                continue
            if quarantine.accept(traits, item.left_ms / 1000.0, now):
                added.append(traits)
            else:
                refuted.append(traits)
        released = []
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
            self._spread(news)


def _log_crash(crash: request_quarantine.EngineCrash) -> None:
    _LOG.warning(
        "request_crash",
        extra={
            "target": crash.target,
            "traits": crash.traits,
            "has_begun": crash.has_begun,
        },
    )


def _log_quarantines(
    combinations: Iterable[request_quarantine.Traits], source: str
) -> None:
    for traits in combinations:
        _LOG.warning(
            "request_quarantined",
            extra={"traits": sorted(traits), "source": source},
        )


def _log_releases(
    combinations: Iterable[request_quarantine.Traits], source: str
) -> None:
    for traits in combinations:
        _LOG.warning(
            "request_released",
            extra={"traits": sorted(traits), "source": source},
        )
