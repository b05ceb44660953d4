"""What was done for a caller's request so far."""

from catkintrail import verdict as verdicts
from catkintrail.core import event_stream
from catkintrail.ports import relaying

__all__ = ["Progress"]


class Progress:
    """State of one request.

    Attributes:
        request: What the caller sent.
        until: When the final answer has to leave.
        verdict: What is known of whether it ran.
        sends: Targets that it was sent to.
        tried: Names of targets that failed it.
        sequence: Keeps the events of its stream in order.
        has_started: Whether a part of a stream was passed on.
        first_event_at: When the first event was passed on; 0.0 before.
        last_event_at: When the last one was; 0.0 before the first.
        longest_gap: Seconds of the longest pause between events.
    """

    def __init__(self, request: relaying.CallerRequest, until: float) -> None:
        self.request = request
        self.until = until
        self.verdict = verdicts.Verdict.NOT_RUN
        self.sends = 0
        self.tried: set[str] = set()
        self.sequence = event_stream.EventSequence(request.last_event)
        self.has_started = False
        self.first_event_at = 0.0
        self.last_event_at = 0.0
        self.longest_gap = 0.0

    def note_events(self, now: float) -> None:
        """Notes that events are passed on."""
        if self.last_event_at:
            gap = now - self.last_event_at
            self.longest_gap = max(self.longest_gap, gap)
        self.last_event_at = now
