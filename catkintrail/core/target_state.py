"""A target's load as its pool's owner sees it."""

from typing import NamedTuple

from catkintrail import messages
from catkintrail.core import cost

__all__ = ["Attempt", "LoadReport", "TargetState"]

# Older load reports are ignored. Younger ones may have been made while a grant
# was on its way to the target.
MAX_REPORT_AGE_SECONDS = 30.0


class LoadReport(NamedTuple):
    """A target's report of its load.

    Attributes:
        target: The target.
        age_seconds: Age of the report.
        incarnation: The target's incarnation.
        leaving: Whether the target is being shut down.
        queue_tokens: Prompt tokens accepted but not yet prefilled.
        running: Number of requests that the target runs.
        kv_used: KV tokens in use by requests and reservations.
        kv_capacity: KV tokens that the target can hold; 0 if unknown.
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
    """A granted request on one of its targets.

    Attributes:
        request_id: The request.
        entry: The instance that runs it.
        organisation: The organisation.
        level: Its level; see core/cost.
        prefill: Predicted seconds of prefill on this target.
        kv_tokens: KV tokens reserved for it on this target.
        granted: Monotonic time of the grant.
        started: Whether the first token has been produced.
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
    """A target's load, from the owner's grants and from load reports.

    Attributes:
        record: The target as the platform lists it.
        attempts: Granted requests, by id.
        is_leaving: Whether the target is being shut down and gets no new
            requests.
        prefill_until: Predicted end of the prefill granted so far, by level,
            if the engine did nothing else.
        kv_committed: KV tokens of all attempts.
        pending_long_prefills: Number of long prompts being prefilled.
        held_for: Id of the long request for which memory is being freed; ""
            for none.
        external_kv_tokens: KV tokens in use by other owners' requests.
        external_prefill_until: Predicted end of the prefill of other owners'
            requests.
        external_requests: Number of running requests of other owners.
    """

    def __init__(
        self, record: messages.TargetRecord, profile: cost.Profile
    ) -> None:
        self.record = record
        self.profile = profile
        self.attempts: dict[str, Attempt] = {}
        self.is_leaving = record.leaving
        self.prefill_until = [0.0] * cost.LEVELS
        self.kv_capacity = profile.kv_tokens
        self.kv_committed = 0
        self.pending_long_prefills = 0
        self.held_for = ""
        self.external_kv_tokens = 0
        self.external_prefill_until = 0.0
        self.external_requests = 0

    def free_tokens(self) -> int:
        """Returns the number of KV tokens available for new requests."""
        return self.kv_capacity - self.kv_committed - self.external_kv_tokens

    def free_slots(self, slot_fraction: float) -> int:
        """Returns how many more requests fit into a fraction of the slots."""
        slots = max(1, int(self.profile.slots * slot_fraction))
        return slots - len(self.attempts) - self.external_requests

    def wait(self, level: int, now: float) -> float:
        """Returns the seconds of prefill ahead of a new request of a level."""
        ahead = sum(max(0.0, end - now) for end in self.prefill_until[level:])
        return max(ahead, self.external_prefill_until - now)

    def level_wait(self, level: int, now: float) -> float:
        """Returns the seconds of prefill left in one level alone."""
        return max(
            0.0,
            self.prefill_until[level] - now,
            self.external_prefill_until - now,
        )

    def has_long_prefill(self) -> bool:
        """Returns whether a long prompt is being prefilled."""
        return self.pending_long_prefills > 0

    def add(self, attempt: Attempt, now: float) -> None:
        """Adds a granted request."""
        self.attempts[attempt.request_id] = attempt
        self.kv_committed += attempt.kv_tokens
        level = attempt.level
        self.prefill_until[level] = (
            max(now, self.prefill_until[level]) + attempt.prefill
        )
        if level <= cost.LONG_LEVEL:
            self.pending_long_prefills += 1

    def start(self, request_id: str, now: float) -> None:
        """Records the first token of a granted request."""
        attempt = self.attempts.get(request_id)
        if attempt is None or attempt.started:
            return
        self.attempts[request_id] = attempt._replace(started=True)
        self._end_prefill(attempt, now)

    def remove(self, request_id: str, now: float) -> Attempt | None:
        """Removes a granted request and returns it; None if unknown."""
        attempt = self.attempts.pop(request_id, None)
        if attempt is None:
            return None
        self.kv_committed -= attempt.kv_tokens
        if not attempt.started:
            self._end_prefill(attempt, now)
        return attempt

    def apply_load_report(self, report: LoadReport, now: float) -> None:
        """Corrects the predicted load by a load report.

        Load in the report beyond the grants made before it is attributed to
        another owner and counted until the next report.
        """
        if report.age_seconds > MAX_REPORT_AGE_SECONDS:
            return
        if report.kv_capacity:
            self.kv_capacity = report.kv_capacity
        reported_at = now - report.age_seconds
        known = [a for a in self.attempts.values() if a.granted <= reported_at]
        known_kv = sum(a.kv_tokens for a in known)
        known_prefill = sum(a.prefill for a in known if not a.started)
        self.external_kv_tokens = max(0, report.kv_used - known_kv)
        self.external_requests = max(0, report.running - len(known))
        if not self.external_requests:
            self.external_prefill_until = 0.0
            return
        prefill = self.profile.prefill_work(report.queue_tokens)
        external_prefill = max(0.0, prefill - known_prefill)
        self.external_prefill_until = reported_at + external_prefill

    def _end_prefill(self, attempt: Attempt, now: float) -> None:
        """Ends an attempt's prefill and shortens its level's predicted end."""
        level = attempt.level
        if level <= cost.LONG_LEVEL:
            self.pending_long_prefills -= 1
        waiting = sum(
            a.prefill
            for a in self.attempts.values()
            if a.level == level and not a.started
        )
        self.prefill_until[level] = min(
            self.prefill_until[level], now + waiting
        )
