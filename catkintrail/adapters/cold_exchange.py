"""Exchange between instances about cold targets."""

import logging
from typing import Iterable

from catkintrail import messages
from catkintrail.adapters import fleet_broadcast
from catkintrail.core import request_router
from catkintrail.core import route_table
from catkintrail.core import store_views
from catkintrail.core import target_limits
from catkintrail.core import targets as target_records
from catkintrail.core.zones import cold_targets
from catkintrail.ports import fleet_state_source

__all__ = ["ColdExchange"]

_LOG = logging.getLogger("catkintrail.cold")

# Limit of the statements in one message.
MAX_REPORTS_PER_MESSAGE = 50
# Statements are repeated to peers for this long.
NEWS_SECONDS = 10.0


class ColdExchange:
    """Records which targets are cold, and tells peers.

    Used by the thread of the router actor only.
    """

    def __init__(
        self, router: request_router.RequestRouter, send: fleet_broadcast.Send
    ) -> None:
        self._router = router
        self._send = send
        self._cold = router.notices.cold
        self._logged: dict[str, int] = {}

    @property
    def count(self) -> int:
        """Number of targets that were cold at the last tick."""
        return len(self._logged)

    def apply_configuration(
        self, configuration: route_table.Configuration
    ) -> None:
        """Takes the rules of a new configuration."""
        for service in self._cold.set_services(configuration.services):
            _LOG.warning("cold_rule_unreadable", extra={"service": service})

    def apply_changes(
        self, changes: Iterable[store_views.TargetChange], now: float
    ) -> None:
        """Records the starts of targets."""
        for change in changes:
            if change.event == "target_joined":
                self._cold.record_start(change.target, now)

    def apply_entries(
        self,
        events: Iterable[fleet_state_source.TargetEvent],
        era: int,
        now: float,
    ) -> None:
        """Applies what entries of the store state; tells the fleet."""
        changed = {}
        for event in events if self._cold.is_active else ():
            if event.target is None or event.cold_seconds is None:
                continue
            key = target_limits.make_key(event.target)
            order = store_views.Position(era, event.revision)
            if key not in self._cold.statements and not event.cold_seconds:
                continue
            if self._cold.accept(key, order, event.cold_seconds, now):
                changed[key] = self._cold.statements[key]
        for news in self._make_news(changed, now):
            fleet_broadcast.spread(self._router.fleet_state, self._send, news)

    def apply_answer(
        self, target: target_records.Target, cold_seconds: float, now: float
    ) -> None:
        """Applies what an answer of a target states; tells the fleet."""
        if not self._cold.is_active:
            return
        key = target_limits.make_key(target)
        if self._cold.accept(key, cold_targets.NO_ORDER, cold_seconds, now):
            for news in self._make_news({key: self._cold.statements[key]}, now):
                fleet_broadcast.spread(
                    self._router.fleet_state, self._send, news
                )

    def handle(self, address: str, news: messages.ColdNews, now: float) -> None:
        """Applies what a peer knows of cold targets."""
        changed = [
            report
            for report in news.reports
            if self._cold.accept(
                (report.target, report.born),
                report.order,
                report.left_ms / 1000.0,
                now,
            )
        ]
        peers = self._router.fleet_state.peers
        if changed and fleet_broadcast.passes_news_on(peers, address):
            fleet_broadcast.spread(self._router.fleet_state, self._send, news)

    def greet(self, address: str, now: float) -> None:
        """Sends all that is known to a peer that does not know it."""
        for news in self._make_news(self._cold.statements, now):
            self._send([address], news)

    def refresh(self, now: float) -> None:
        """Repeats recent statements, as messages may be lost."""
        recipients = fleet_broadcast.choose_fleet_recipients(
            self._router.fleet_state
        )
        recent = {
            key: statement
            for key, statement in self._cold.statements.items()
            if now - statement.heard_at < NEWS_SECONDS
        }
        for news in self._make_news(recent, now):
            self._send(recipients, news)

    def tick(self, now: float) -> None:
        """Drops old state; logs which targets have turned cold or warm."""
        self._cold.expire(now)
        targets = self._router.fleet_state.targets.targets
        cold = {
            target.name: target.born
            for target in (targets.values() if self._cold.is_active else ())
            if self._cold.find(target, now) is not None
        }
        for name, born in cold.items():
            if self._logged.get(name) != born:
                seconds = self._cold.remaining_seconds(targets[name], now)
                statement = self._cold.statements.get((name, born))
                _LOG.info(
                    "target_cold",
                    extra={
                        "target": name,
                        "born": born,
                        "left_ms": round(seconds * 1000.0),
                        "per_second": self._cold.find(targets[name], now),
                        "source": (
                            "its entry"
                            if statement and statement.until > now
                            else "its start"
                        ),
                    },
                )
        for name, born in self._logged.items():
            if name not in cold:
                _LOG.info("target_warm", extra={"target": name, "born": born})
        self._logged = cold

    def _make_news(
        self,
        statements: dict[target_limits.TargetKey, cold_targets.ColdStatement],
        now: float,
    ) -> list[messages.ColdNews]:
        reports = [
            messages.ColdReport(
                *key,
                statement.order,
                max(0.0, statement.until - now) * 1000.0,
            )
            for key, statement in statements.items()
        ]
        return [
            messages.ColdNews(
                self._router.settings.name,
                tuple(reports[start : start + MAX_REPORTS_PER_MESSAGE]),
            )
            for start in range(0, len(reports), MAX_REPORTS_PER_MESSAGE)
        ]
