"""What a pool's owner knows of one target."""

from typing import NamedTuple

from catkintrail import messages
from catkintrail.core import cost

__all__ = ["Attempt", "LoadReport", "TargetState"]

# Slack for a report that is being made while a grant is on its way.
MAX_REPORT_AGE_SECONDS = 30.0


class LoadReport(NamedTuple):
    """A target's report of its load.

    Attributes:
        target: The target.
        age_seconds: How old the report is.
        incarnation: The target's incarnation.
        leaving: Whether it is being shut down.
        queue_tokens: Prompt tokens accepted but not yet prefilled.
        running: Requests that it runs.
        kv_used: KV tokens in use by requests and reservations.
        kv_capacity: KV tokens it can hold; 0 where it does not say.
    """

    target: str
    age_seconds: float
    incarnation: int
    leaving: bool
    queue_tokens: int
    running: int
    kv_used: int
    kv_capacity: int


class Attempt(NamedTuple):
    """A granted request, as one of its targets sees it.

    Attributes:
        request_id: The request.
        entry: The instance that runs it.
        organisation: The organisation.
        level: Its level; see core/cost.
        prefill: Predicted seconds of prefill on this target.
        kv_tokens: KV tokens it will hold here.
        granted: Monotonic time of the grant.
        started: Whether the first token has come.
    """

    request_id: str
    entry: str
    organisation: str
    level: int
    prefill: float
    kv_tokens: int
    granted: float
    started: bool = False


class TargetState:
    """One target's load, from the owner's own grants and from reports.

    Attributes:
        record: The target as the platform lists it.
        attempts: Granted requests, by id.
        is_leaving: Whether it gets no new work.
        until: When the prefill granted so far will be done, by level, were
            the engine to do nothing else.
        unstarted_long: Long prompts that are being prefilled.
        held_for: Request id of the long prompt whose memory is being made
            free here; "" for none.
    """

    def __init__(
        self, record: messages.TargetRecord, profile: cost.Profile
    ) -> None:
        self.record = record
        self.profile = profile
        self.attempts: dict[str, Attempt] = {}
        self.is_leaving = record.leaving
        self.until = [0.0] * cost.LEVELS
        self.kv_capacity = profile.kv_tokens
        self.kv_promised = 0
        self.unstarted_long = 0
        self.held_for = ""
        self.foreign_kv = 0
        self.foreign_until = 0.0
        self.foreign_requests = 0

    def free_tokens(self) -> int:
        """Returns KV tokens that are promised to nobody."""
        return self.kv_capacity - self.kv_promised - self.foreign_kv

    def free_slots(self, share: float) -> int:
        """Returns how many more requests fit, on a part of the slots."""
        slots = max(1, int(self.profile.slots * share))
        return slots - len(self.attempts) - self.foreign_requests

    def wait(self, level: int, now: float) -> float:
        """Returns seconds of prefill ahead of a new request of a level."""
        ahead = sum(max(0.0, end - now) for end in self.until[level:])
        return max(ahead, self.foreign_until - now)

    def own_wait(self, level: int, now: float) -> float:
        """Returns seconds of prefill of one level alone."""
        return max(0.0, self.until[level] - now, self.foreign_until - now)

    def has_long_prefill(self) -> bool:
        """Returns whether a long prompt is being prefilled."""
        return self.unstarted_long > 0

    def add(self, attempt: Attempt, now: float) -> None:
        """Counts a grant."""
        self.attempts[attempt.request_id] = attempt
        self.kv_promised += attempt.kv_tokens
        level = attempt.level
        self.until[level] = max(now, self.until[level]) + attempt.prefill
        if level <= cost.LONG_LEVEL:
            self.unstarted_long += 1

    def start(self, request_id: str, now: float) -> None:
        """Notes that a granted request has its first token."""
        attempt = self.attempts.get(request_id)
        if attempt is None or attempt.started:
            return
        self.attempts[request_id] = attempt._replace(started=True)
        self._leave_prefill(attempt, now)

    def remove(self, request_id: str, now: float) -> Attempt | None:
        """Drops a grant; returns it where there was one."""
        attempt = self.attempts.pop(request_id, None)
        if attempt is None:
            return None
        self.kv_promised -= attempt.kv_tokens
        if not attempt.started:
            self._leave_prefill(attempt, now)
        return attempt

    def take_report(self, report: LoadReport, now: float) -> None:
        """Corrects the own count by a report.

        What the report shows beyond the grants that were there at its time is
        another owner's work: it counts until the next report.
        """
        if report.age_seconds > MAX_REPORT_AGE_SECONDS:
            return
        if report.kv_capacity:
            self.kv_capacity = report.kv_capacity
        moment = now - report.age_seconds
        known = [a for a in self.attempts.values() if a.granted <= moment]
        known_kv = sum(a.kv_tokens for a in known)
        known_prefill = sum(a.prefill for a in known if not a.started)
        self.foreign_kv = max(0, report.kv_used - known_kv)
        self.foreign_requests = max(0, report.running - len(known))
        if not self.foreign_requests:
            self.foreign_until = 0.0
            return
        prefill = self.profile.prefill_work(report.queue_tokens)
        extra = max(0.0, prefill - known_prefill)
        self.foreign_until = moment + extra

    def _leave_prefill(self, attempt: Attempt, now: float) -> None:
        """Moves the end of a level's prefill to what is still outstanding."""
        level = attempt.level
        if level <= cost.LONG_LEVEL:
            self.unstarted_long -= 1
        waiting = sum(
            a.prefill
            for a in self.attempts.values()
            if a.level == level and not a.started
        )
        self.until[level] = min(self.until[level], now + waiting)
