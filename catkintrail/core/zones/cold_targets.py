"""Targets that have just started, or are cold again, and take few requests.

A cold target crashes at a rate well above the one that its service states. The
time for which it stays cold is known from its start, and from what its entry in
the platform's list, or the target itself, states later.

Times are in seconds of a clock that keeps running while the machine is
suspended.
"""

import math
from typing import Callable, Mapping, NamedTuple

from catkintrail.core import route_table
from catkintrail.core import store_views
from catkintrail.core import target_limits
from catkintrail.core import targets as target_records

__all__ = ["ColdRule", "ColdStatement", "ColdTargets", "prefer_warm"]

# The clocks of machines differ by less than this.
CLOCK_MARGIN_SECONDS = 1.0
# A start that is stated to be this much older than its first sight is taken as
# old: its entry had lapsed and was registered again.
OLD_START_SECONDS = 60.0
# A change of the end of at least this much is told to peers.
MIN_CHANGE_SECONDS = 0.5
# How long a statement is kept after its end, so that an equal one of a peer
# does not bring it back.
RETENTION_SECONDS = 60.0
# A target that was silent may have been restarted under the same name. Its new
# entry arrives within this time, unless it stays away and is silent again.
SUSPECT_SECONDS = 3.0
# Number of peers that have to find a target silent: the links of one may be
# cut.
MIN_REPORTERS = 2
# Position of statements that come from a target and not from the store.
NO_ORDER = store_views.NO_POSITION


class ColdRule(NamedTuple):
    """What the configuration states of the cold targets of a service.

    Attributes:
        cold_seconds: How long a target is cold after its start.
        per_second: How many requests a second it takes meanwhile.
    """

    cold_seconds: float
    per_second: float


class ColdStatement(NamedTuple):
    """What an entry of a target states.

    Attributes:
        order: Era and revision of the entry; later ones are newer.
        until: When the target is warm, in seconds.
        heard_at: When this instance learned of it, in seconds.
    """

    order: store_views.Position
    until: float
    heard_at: float


class ColdTargets:
    """Which targets are cold, and until when.

    Written by one thread, and read by several.

    Attributes:
        is_active: Whether the settings ask for it.
        unix_offset: What Unix time is ahead of the own clock, in seconds.
        rules: Rule of each service that has one.
        statements: The newest statement of each target.
    """

    def __init__(self, is_active: bool = False) -> None:
        self.is_active = is_active
        self.unix_offset = 0.0
        self.rules: dict[str, ColdRule] = {}
        self.statements: dict[target_limits.TargetKey, ColdStatement] = {}
        self._first_sights: dict[target_limits.TargetKey, float] = {}
        self._suspects: dict[target_limits.TargetKey, float] = {}
        self._reports: dict[target_limits.TargetKey, dict[str, float]] = {}

    def set_services(
        self, services: Mapping[str, route_table.Service]
    ) -> list[str]:
        """Takes the rules of a configuration.

        Returns:
            Names of the services whose rule cannot be used.
        """
        rules = {}
        odd = []
        for name, service in services.items():
            rule = ColdRule(service.cold_seconds, service.cold_per_second)
            if not all(math.isfinite(value) and value >= 0 for value in rule):
                odd.append(name)
            elif rule.per_second > 0:
                rules[name] = rule
        self.rules = rules
        return odd

    def record_start(self, target: target_records.Target, now: float) -> None:
        """Records the first sight of a new start.

        Not to be called for the targets that were known when this instance
        started: the first sight tells nothing about these.
        """
        self._first_sights.setdefault(target_limits.make_key(target), now)

    def record_silence(
        self, target: target_records.Target, reporter: str, now: float
    ) -> None:
        """Records that a target may be starting anew under the same name.

        Args:
            target: The target as known before.
            reporter: Name of the peer that found it silent; "" for this
                instance.
            now: Time in seconds.
        """
        if not self.is_active or target.service not in self.rules:
            return
        key = target_limits.make_key(target)
        if reporter:
            reports = self._reports.setdefault(key, {})
            reports[reporter] = now
            recent = [
                at for at in reports.values() if now - at < SUSPECT_SECONDS
            ]
            if len(recent) < MIN_REPORTERS:
                return
        self._suspects[key] = now + SUSPECT_SECONDS

    def accept(
        self,
        key: target_limits.TargetKey,
        order: store_views.Position,
        left_seconds: float,
        now: float,
    ) -> bool:
        """Records a statement, unless a newer one is known.

        The same statement may be heard several times, and late; the earliest
        end is then the true one.

        Args:
            key: The target.
            order: Era and revision of its entry.
            left_seconds: For how long the target stays cold.
            now: Time in seconds.

        Returns:
            Whether peers have to be told.
        """
        until = now + max(0.0, left_seconds)
        known = self.statements.get(key)
        known_until = known.until if known else now
        if known is not None and order != NO_ORDER:
            if order < known.order:
                return False
            if order == known.order:
                until = min(until, known.until)
        elif known is not None:
            order = known.order
            until = max(until, known.until)
        is_changed = (
            abs(max(until, now) - max(known_until, now)) >= MIN_CHANGE_SECONDS
        )
        heard_at = known.heard_at if known and not is_changed else now
        self.statements[key] = ColdStatement(order, until, heard_at)
        return is_changed

    def find(self, target: target_records.Target, now: float) -> float | None:
        """Returns how many requests a second a target takes; None if warm."""
        rule = self.rules.get(target.service)
        if rule is None or self.remaining_seconds(target, now) <= 0:
            return None
        return rule.per_second

    def remaining_seconds(
        self, target: target_records.Target, now: float
    ) -> float:
        """Returns for how long a target stays cold; 0 if it is warm."""
        rule = self.rules.get(target.service)
        if rule is None or not self.is_active:
            return 0.0
        key = target_limits.make_key(target)
        until = self._start_of(target) + rule.cold_seconds
        until += CLOCK_MARGIN_SECONDS
        statement = self.statements.get(key)
        if statement is not None:
            until = max(until, statement.until)
        return max(0.0, until - now, self._suspects.get(key, now) - now)

    def expire(self, now: float) -> None:
        """Drops what does not matter any more."""
        for key, statement in list(self.statements.items()):
            if now > statement.until + RETENTION_SECONDS:
                self.statements.pop(key, None)
        for key, until in list(self._suspects.items()):
            if until <= now:
                self._suspects.pop(key, None)
        for key, reports in list(self._reports.items()):
            if max(reports.values()) + SUSPECT_SECONDS < now:
                del self._reports[key]
        longest = max((r.cold_seconds for r in self.rules.values()), default=0)
        for key, sight in list(self._first_sights.items()):
            if now > sight + longest + RETENTION_SECONDS:
                self._first_sights.pop(key, None)

    def _start_of(self, target: target_records.Target) -> float:
        """Returns when a target has started, on the own clock."""
        stated = target.born / 1000.0 - self.unix_offset
        sight = self._first_sights.get(target_limits.make_key(target))
        if sight is None:
            return stated if target.born else float("-inf")
        if target.born and sight - stated > OLD_START_SECONDS:
            return stated
        return sight


def prefer_warm(
    targets: list[target_records.Target],
    cold: ColdTargets,
    count_running: Callable[[target_records.Target], int],
    is_short: bool,
    now: float,
) -> list[target_records.Target]:
    """Leaves cold targets out while warm ones have capacity.

    A short request uses cold targets as soon as warm ones are half full, which
    also ends the slowness of targets that have just started.

    Args:
        targets: The candidates.
        cold: Which of them are cold.
        count_running: Returns the number of requests at a target.
        is_short: Whether the request is a short one.
        now: Time in seconds.

    Returns:
        The warm targets, or all if no warm one has capacity.
    """
    if not cold.is_active or not cold.rules:
        return targets
    warm = [t for t in targets if cold.find(t, now) is None]
    share = 0.5 if is_short else 1.0
    has_capacity = any(
        count_running(t) < max(1.0, share * t.slots) for t in warm
    )
    return warm if has_capacity else targets
