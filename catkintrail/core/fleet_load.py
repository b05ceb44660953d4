"""Attempts in progress at targets: this instance's own and its peers'.

Times are in seconds of this instance's clock; peers send ages.
"""

from typing import NamedTuple

__all__ = ["Attempt", "FleetLoad"]

# A request's longest deadline on the users' sheets is below 16 s; an entry that
# is older was left behind by a lost message.
MAX_ATTEMPT_SECONDS = 30.0


class Attempt(NamedTuple):
    """A request at a target.

    Attributes:
        key: Unique in the deployment.
        targets: The target that answers, then its helpers.
        memory: Tokens that each target keeps for the request; 0 for helpers
            that only prefill, and for plain services.
        gap_goal_ms: The longest useful pause between events; 0 for none.
        weight: What a failure would cost callers, against a mean request.
        prefill_end: When the prefill was predicted to end.
        is_decoding: Whether the first token was seen.
        placed_at: When it was placed.
    """

    key: str
    targets: tuple[str, ...]
    memory: tuple[int, ...]
    gap_goal_ms: float
    weight: float
    prefill_end: float
    is_decoding: bool
    placed_at: float


class FleetLoad:
    """Attempts by target.

    Attributes:
        by_target: Attempts at each target, by key; helpers without memory
            only while the prompt is prefilled.
        by_owner: Keys of the attempts that each instance told of.
    """

    def __init__(self) -> None:
        self.by_target: dict[str, dict[str, Attempt]] = {}
        self.by_owner: dict[str, dict[str, Attempt]] = {}

    def at(self, target: str) -> dict[str, Attempt]:
        """Returns the attempts at a target, by key."""
        return self.by_target.get(target, {})

    def put(self, owner: str, attempt: Attempt) -> None:
        """Adds an attempt, or replaces it."""
        self.drop(owner, attempt.key)
        self.by_owner.setdefault(owner, {})[attempt.key] = attempt
        for target, memory in zip(attempt.targets, attempt.memory):
            # Helpers without memory are done when the first token is there.
            if memory or not attempt.is_decoding or not any(attempt.memory):
                self.by_target.setdefault(target, {})[attempt.key] = attempt

    def drop(self, owner: str, key: str) -> None:
        """Removes an attempt; an unknown one is no error."""
        attempt = self.by_owner.get(owner, {}).pop(key, None)
        if attempt is None:
            return
        for target in attempt.targets:
            here = self.by_target.get(target)
            if here is not None:
                here.pop(key, None)
                if not here:
                    del self.by_target[target]

    def replace_all(self, owner: str, attempts: list[Attempt]) -> None:
        """Makes an instance's attempts be just these."""
        keep = {attempt.key for attempt in attempts}
        for key in list(self.by_owner.get(owner, {})):
            if key not in keep:
                self.drop(owner, key)
        for attempt in attempts:
            self.put(owner, attempt)

    def drop_owner(self, owner: str) -> None:
        """Removes all attempts of an instance."""
        for key in list(self.by_owner.get(owner, {})):
            self.drop(owner, key)
        self.by_owner.pop(owner, None)

    def expire(self, now: float) -> None:
        """Removes attempts that no request can still be behind."""
        for owner, attempts in list(self.by_owner.items()):
            for key, attempt in list(attempts.items()):
                if now - attempt.placed_at > MAX_ATTEMPT_SECONDS:
                    self.drop(owner, key)
