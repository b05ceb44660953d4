"""What the placement of a request knows of the request and of each engine."""

from typing import NamedTuple, Sequence

from catkintrail.core import fleet_load
from catkintrail.core import target_health
from catkintrail.core import targets as target_records

__all__ = ["EngineState", "RequestDemand"]

# Mean wait for the end of the running pass, as a share of a pass.
MEAN_PASS_WAIT_SHARE = 0.5


class RequestDemand(NamedTuple):
    """The resources and response time that a request needs.

    Attributes:
        prompt_tokens: Length of the prompt.
        output_tokens: Maximum number of output tokens.
        goal_ms: Goal for the time from the request's arrival to its first
            event.
        elapsed_ms: Time since the request arrived.
        gap_goal_ms: Goal for the longest gap between events; 0 for none.
    """

    prompt_tokens: int
    output_tokens: int
    goal_ms: float
    elapsed_ms: float
    gap_goal_ms: float = 0.0


class EngineState(NamedTuple):
    """An engine and its known load.

    Attributes:
        target: The engine.
        attempts: Attempts in progress on the engine.
        backlog_ms: Time until the queued prefills are done.
        pass_ms: Duration of a decoding pass without prefills; 0 if no request
            is being decoded.
        kv_tokens: KV cache in use, in tokens.
        slowness: Ratio of measured to predicted time; 1 if the engine is as
            fast as published.
        penalty: Cost of using the engine because of recent failures.
        is_local: Whether the engine is in this instance's availability zone.
        helper_backlog_ms: Time until the queued parts of prompts that other
            engines answer are done; they precede the engine's own prompts.
    """

    target: target_records.Target
    attempts: Sequence[fleet_load.Attempt]
    backlog_ms: float
    pass_ms: float
    kv_tokens: int
    slowness: float
    penalty: float
    is_local: bool
    helper_backlog_ms: float = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether the engine answers much later than predicted."""
        return self.slowness > target_health.SUSPECT_SLOWNESS

    @property
    def free_slots(self) -> int:
        """Number of requests that start at once if they are placed now."""
        return max(0, self.target.slots - len(self.attempts))

    @property
    def queued_requests(self) -> int:
        """Number of requests that would wait for a slot after one more.

        Coordinators of other availability zones may have used a slot that seems
        free here.
        """
        in_flight = 0 if self.is_local else 1
        return max(0, len(self.attempts) + 1 + in_flight - self.target.slots)

    def first_token_ms(self, part_ms: float) -> float:
        """Returns the time until a prompt placed now is prefilled."""
        slot_wait_ms = self.queued_requests * self.pass_ms * 4
        pass_wait_ms = self.pass_ms * (1 + MEAN_PASS_WAIT_SHARE)
        return (
            slot_wait_ms
            + self.backlog_ms
            + part_ms * self.slowness
            + pass_wait_ms
        )

    def helper_ready_ms(self, part_ms: float) -> float:
        """Returns the time until a part for another engine is prefilled."""
        return part_ms * self.slowness + self.pass_ms + self.helper_backlog_ms
