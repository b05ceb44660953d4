"""Limits that targets name for the requests of all instances together.

Times are in seconds of a clock that keeps running while the machine is
suspended.
"""

from typing import NamedTuple

from catkintrail.core import targets as target_records

__all__ = ["LimitStatement", "TargetKey", "TargetLimits", "make_key"]

# Name of a target, and its start time in Unix milliseconds; 0 if unknown.
TargetKey = tuple[str, int]

# A target that states a lower limit still gets requests at this rate, because
# only its answers show that the limit has ended.
MIN_REQUESTS_PER_SECOND = 0.05
# How long the end of a limit is remembered, so that an older statement from a
# peer does not bring the limit back.
ENDED_RETENTION_SECONDS = 60.0
# A limit that no answer has confirmed for this long is forgotten.
RETENTION_SECONDS = 900.0


class LimitStatement(NamedTuple):
    """What a target has stated of its limit.

    Attributes:
        requests_per_second: The limit; None if the target has none any more.
        stated_at: When the statement was received from the target, in seconds.
    """

    requests_per_second: float | None
    stated_at: float


class TargetLimits:
    """The newest statement of each target, and when permits may be had.

    Methods may be called by several threads.
    """

    def __init__(self) -> None:
        self.statements: dict[TargetKey, LimitStatement] = {}
        self._exhausted_until: dict[TargetKey, float] = {}

    def find(self, target: target_records.Target) -> float | None:
        """Returns the limit of a target in requests a second, if it has one."""
        statement = self.statements.get(make_key(target))
        return statement.requests_per_second if statement else None

    def hear_limit(
        self, target: target_records.Target, per_second: float, now: float
    ) -> bool:
        """Records a limit that an answer states.

        Returns:
            Whether peers have to be told.
        """
        return self.accept(make_key(target), per_second, now)

    def hear_end(
        self, target: target_records.Target, sent_at: float, now: float
    ) -> bool:
        """Records an answer that states no limit.

        Args:
            target: The target.
            sent_at: When the request was sent. An answer to a request that was
                sent before the limit was stated may be older than the limit.
            now: Time in seconds.

        Returns:
            Whether peers have to be told.
        """
        key = make_key(target)
        known = self.statements.get(key)
        if known is None or sent_at < known.stated_at:
            return False
        return self.accept(key, None, now)

    def accept(
        self, key: TargetKey, per_second: float | None, stated_at: float
    ) -> bool:
        """Records a statement, unless a newer one is known.

        Args:
            key: The target.
            per_second: The limit; None for its end.
            stated_at: When the target stated it, in seconds.

        Returns:
            Whether the known limit has changed.
        """
        known = self.statements.get(key, LimitStatement(None, float("-inf")))
        if stated_at < known.stated_at:
            return False
        if per_second is not None:
            per_second = max(per_second, MIN_REQUESTS_PER_SECOND)
        self.statements[key] = LimitStatement(per_second, stated_at)
        if per_second is None:
            self._exhausted_until.pop(key, None)
        return per_second != known.requests_per_second

    def defer(self, target: target_records.Target, until: float) -> None:
        """Records that no permit is to be had for a target before a time."""
        self._exhausted_until[make_key(target)] = until

    def wait_seconds(self, target: target_records.Target, now: float) -> float:
        """Returns for how long no permit is to be had; 0 if one may be."""
        until = self._exhausted_until.get(make_key(target), now)
        return max(0.0, until - now)

    def expire(self, now: float) -> None:
        """Drops what was stated too long ago."""
        for key, statement in list(self.statements.items()):
            is_ended = statement.requests_per_second is None
            age = now - statement.stated_at
            if age > (
                ENDED_RETENTION_SECONDS if is_ended else RETENTION_SECONDS
            ):
                self.statements.pop(key, None)
        for key, until in list(self._exhausted_until.items()):
            if until <= now:
                self._exhausted_until.pop(key, None)


def make_key(target: target_records.Target) -> TargetKey:
    """Returns the key under which statements of a target are kept."""
    return target.name, target.born
