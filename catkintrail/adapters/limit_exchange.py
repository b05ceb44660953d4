"""Exchange between instances about the limits that targets have named."""

import logging

from catkintrail import messages
from catkintrail.adapters import fleet_broadcast
from catkintrail.core import request_router
from catkintrail.core import target_limits
from catkintrail.core import targets as target_records

__all__ = ["LimitExchange"]

_LOG = logging.getLogger("catkintrail.limits")

# Limit of the statements in one message.
MAX_REPORTS_PER_MESSAGE = 50
# Statements are repeated to peers for this long.
NEWS_SECONDS = 10.0


class LimitExchange:
    """Tells peers of the limits that targets have named.

    Used by the thread of the router actor only.
    """

    def __init__(
        self, router: request_router.RequestRouter, send: fleet_broadcast.Send
    ) -> None:
        self._router = router
        self._send = send

    def tell(self, target: target_records.Target, now: float) -> None:
        """Tells the fleet that the limit of a target has changed."""
        key = target_limits.make_key(target)
        statement = self._router.notices.limits.statements.get(key)
        if statement is None:
            return
        _log_change(key, statement.requests_per_second, "its answer")
        news = self._make_news({key: statement}, now)
        for message in news:
            fleet_broadcast.spread(
                self._router.fleet_state, self._send, message
            )

    def greet(self, address: str, now: float) -> None:
        """Sends all that is known to a peer that does not know it."""
        for news in self._make_news(
            self._router.notices.limits.statements, now
        ):
            self._send([address], news)

    def refresh(self, now: float) -> None:
        """Repeats recent statements, as messages may be lost."""
        recipients = fleet_broadcast.choose_fleet_recipients(
            self._router.fleet_state
        )
        statements = self._router.notices.limits.statements
        recent = {
            key: statement
            for key, statement in list(statements.items())
            if now - statement.stated_at < NEWS_SECONDS
        }
        for news in self._make_news(recent, now):
            self._send(recipients, news)

    def handle(
        self, address: str, news: messages.LimitNews, now: float
    ) -> None:
        """Applies what a peer knows of limits."""
        is_new = False
        for report in news.reports:
            key = (report.target, report.born)
            per_second = report.requests_per_second
            stated_at = now - report.age_ms / 1000.0
            if self._router.notices.limits.accept(key, per_second, stated_at):
                is_new = True
                _log_change(key, per_second, news.sender)
        peers = self._router.fleet_state.peers
        if is_new and fleet_broadcast.passes_news_on(peers, address):
            fleet_broadcast.spread(self._router.fleet_state, self._send, news)

    def _make_news(
        self,
        statements: dict[target_limits.TargetKey, target_limits.LimitStatement],
        now: float,
    ) -> list[messages.LimitNews]:
        reports = [
            messages.LimitReport(
                *key,
                statement.requests_per_second,
                (now - statement.stated_at) * 1000.0,
            )
            for key, statement in list(statements.items())
        ]
        return [
            messages.LimitNews(
                self._router.settings.name,
                tuple(reports[start : start + MAX_REPORTS_PER_MESSAGE]),
            )
            for start in range(0, len(reports), MAX_REPORTS_PER_MESSAGE)
        ]


def _log_change(
    key: target_limits.TargetKey, per_second: float | None, source: str
) -> None:
    extra = {"target": key[0], "born": key[1], "source": source}
    if per_second is None:
        _LOG.info("target_unlimited", extra=extra)
    else:
        extra["per_second"] = per_second
        _LOG.warning("target_limited", extra=extra)
