"""Prediction of a request's cost and run time."""

from typing import NamedTuple

from catkintrail import objects

__all__ = [
    "DEFERRABLE_LEVEL",
    "FIRST_SHORT_LEVEL",
    "LEVELS",
    "LONG_LEVEL",
    "Profile",
    "profile_of_model",
    "profile_of_service",
]

# Fraction of a target's time available to planned work; the rest covers the
# steps that the engine adds for scheduling.
PLANNED_UTILISATION = 0.9
# Requests are classified into levels by the prompt tokens left to prefill; an
# engine prefills higher levels first. The two lowest levels are for long
# prompts; those with a distant deadline (DEFERRABLE_LEVEL) wait for the others.
LEVEL_TOKENS = (64_000, 16_000, 4_000)
DEFERRABLE_LEVEL, LONG_LEVEL, FIRST_SHORT_LEVEL = 0, 1, 2
LEVELS = FIRST_SHORT_LEVEL + 1 + len(LEVEL_TOKENS)
MIN_DEFERRABLE_SECONDS = 3_600.0
# Each additional member of a group increases the prefill by this fraction, for
# exchanging state.
GROUP_OVERHEAD_FRACTION = 0.1


class Profile(NamedTuple):
    """Costs and capacities of a model or service.

    Attributes:
        is_engine: Whether the targets are engines.
        kv_tokens: KV tokens that one target holds; 0 for a service.
        block_tokens: Tokens in a block of the prefix cache.
        prefill_seconds: Time to prefill one uncached prompt token.
        decode_seconds: Time between output tokens.
        call_seconds: Duration of a service call.
        slots: Maximum number of concurrent requests on one target.
        max_group: Maximum number of targets for one prompt.
        long_tokens: Uncached prompt tokens from which a prompt is long.
    """

    is_engine: bool
    kv_tokens: int
    block_tokens: int
    prefill_seconds: float
    decode_seconds: float
    call_seconds: float
    slots: int
    max_group: int
    long_tokens: int

    def prefill_work(self, uncached_tokens: int) -> float:
        """Returns target seconds of prefill, or of a service call."""
        if not self.is_engine:
            return self.call_seconds
        return uncached_tokens * self.prefill_seconds

    def level(
        self, prompt_tokens: int, uncached_tokens: int, remaining: float
    ) -> int:
        """Returns the level of a request.

        Args:
            prompt_tokens: Length of the prompt.
            uncached_tokens: Prompt tokens left to prefill.
            remaining: Seconds until the deadline.
        """
        if not self.is_engine:
            return LEVELS - 1
        # A large prompt needs its memory even when cached, and few targets have
        # that much free.
        is_large = prompt_tokens >= self.kv_tokens // 3
        if uncached_tokens >= self.long_tokens or is_large:
            if remaining > MIN_DEFERRABLE_SECONDS:
                return DEFERRABLE_LEVEL
            return LONG_LEVEL
        higher_levels = sum(
            1 for max_tokens in LEVEL_TOKENS if uncached_tokens < max_tokens
        )
        return FIRST_SHORT_LEVEL + higher_levels

    def decode_time(self, output_tokens: int) -> float:
        """Returns the seconds from the first token to the last."""
        if not self.is_engine:
            return 0.0
        return output_tokens * self.decode_seconds

    def group_work(self, uncached_tokens: int, members: int) -> float:
        """Returns the seconds of prefill on each member of a group."""
        share = uncached_tokens / members
        overhead = 1.0 + GROUP_OVERHEAD_FRACTION * (members - 1)
        return share * overhead * self.prefill_seconds


def profile_of_model(model: objects.Model) -> Profile:
    """Returns the profile of a model's pools."""
    return Profile(
        is_engine=True,
        kv_tokens=model.engine_kv_tokens,
        block_tokens=model.block_tokens,
        prefill_seconds=model.prefill_seconds_per_token,
        decode_seconds=model.decode_seconds_per_token,
        call_seconds=0.0,
        slots=model.engine_slots,
        max_group=model.max_group,
        long_tokens=model.long_prompt_tokens,
    )


def profile_of_service(service: objects.Service) -> Profile:
    """Returns the profile of a service's pools."""
    return Profile(
        is_engine=False,
        kv_tokens=0,
        block_tokens=1,
        prefill_seconds=0.0,
        decode_seconds=0.0,
        call_seconds=service.call_seconds,
        slots=service.target_slots,
        max_group=1,
        long_tokens=1,
    )
