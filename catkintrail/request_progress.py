"""State of a caller's request while it is relayed."""

from catkintrail import verdict as verdicts
from catkintrail.core import event_stream
from catkintrail.core.quarantine import crash_evidence
from catkintrail.ports import relaying

__all__ = ["PROVING_EVENTS", "Progress"]

# After this many events, an answer is being written on the prompt.
PROVING_EVENTS = 8


class Progress:
    """State of one request.

    Attributes:
        request: The caller's request.
        deadline: When the final response has to be sent, in seconds.
        traits: What may be quarantined, see core.request_quarantine.
        is_trial: Whether the request is sent though it is quarantined.
        verdict: Whether the request may have run on any target so far.
        has_crashed: Whether a target has broken off its response at the start.
        has_response: Whether the head of a response to the current send has
            arrived.
        send_events: Number of events received in the current send.
        counted_at: When the next send was counted in the retry budget, in
            seconds; None if it was not.
        send_count: How often the request was sent to a target.
        failed_targets: Names of targets that failed the request.
        sequence: Drops repeated events of the stream and detects missing ones.
        has_started: Whether a part of a stream was forwarded.
        content_type: Media type of the stream; "" if none was stated.
        first_event_at: When the first event arrived, in seconds; 0.0 before.
        last_event_at: When the last events were forwarded; 0.0 before the
            first.
        longest_gap_seconds: Longest pause between forwarded events.
    """

    def __init__(
        self,
        request: relaying.CallerRequest,
        deadline: float,
        organisation: str,
    ) -> None:
        self.request = request
        self.deadline = deadline
        fingerprint = crash_evidence.make_fingerprint(
            request.method, request.uri, organisation, request.body
        )
        self.traits = (fingerprint, *request.prompt_parts)
        self.is_trial = False
        self.verdict = verdicts.Verdict.NOT_RUN
        self.has_crashed = False
        self.has_response = False
        self.send_events = 0
        self.counted_at: float | None = None
        self.send_count = 0
        self.failed_targets: set[str] = set()
        self.sequence = event_stream.EventSequence(request.last_event)
        self.has_started = False
        self.content_type = ""
        self.first_event_at = 0.0
        self.last_event_at = 0.0
        self.longest_gap_seconds = 0.0

    def begin_send(self) -> None:
        """Resets what is known of the current send."""
        self.has_response = False
        self.send_events = 0

    def record_events(self, now: float) -> None:
        """Records that events are forwarded at a time in seconds."""
        if self.last_event_at:
            gap = now - self.last_event_at
            self.longest_gap_seconds = max(self.longest_gap_seconds, gap)
        self.last_event_at = now
