"""Attempts in progress on targets, of this instance and its peers.

Times are in seconds of this instance's clock; messages between peers carry ages
instead.
"""

from typing import NamedTuple

__all__ = ["Attempt", "FleetLoad"]

# Deadlines of requests are below 16 s by the users' specifications. The message
# that would have ended an attempt older than this was lost.
MAX_ATTEMPT_AGE_SECONDS = 30.0


class Attempt(NamedTuple):
    """One send of a request to a target.

    Attributes:
        key: Id of the attempt, unique in the deployment.
        targets: Names of the target that answers and of its helpers, in that
            order.
        memory: KV cache tokens kept by each target; 0 for helpers that only
            prefill, and for plain services.
        gap_goal_ms: Goal for the longest gap between events; 0 if there is
            none.
        weight: Weight of the request relative to one of mean length.
        prefill_end: Predicted time of the end of the prefill.
        is_decoding: Whether the first token has been received.
        placed_at: Time at which the attempt was placed.
        requests: Number of attempts at the target that answers when this one
            became known, itself included.
    """

    key: str
    targets: tuple[str, ...]
    memory: tuple[int, ...]
    gap_goal_ms: float
    weight: float
    prefill_end: float
    is_decoding: bool
    placed_at: float
    requests: int = 0


class FleetLoad:
    """Index of the attempts in progress.

    Attributes:
        by_target: Attempts on each target, by key. Helpers that keep no memory
            are listed only until the prefill ends.
        by_owner: Attempts of each instance, by key.
        reported_at: Time of the last message of each other instance.
    """

    def __init__(self) -> None:
        self.by_target: dict[str, dict[str, Attempt]] = {}
        self.by_owner: dict[str, dict[str, Attempt]] = {}
        self.reported_at: dict[str, float] = {}

    def at(self, target: str) -> dict[str, Attempt]:
        """Returns the attempts on a target, by key."""
        return self.by_target.get(target, {})

    def put(self, owner: str, attempt: Attempt) -> None:
        """Adds or replaces an attempt of an instance."""
        known = self.by_owner.get(owner, {}).get(attempt.key)
        self.drop(owner, attempt.key)
        requests = len(self.at(attempt.targets[0])) + 1
        if known is not None and known.targets == attempt.targets:
            requests = known.requests
        attempt = attempt._replace(requests=requests)
        self.by_owner.setdefault(owner, {})[attempt.key] = attempt
        for target, memory in zip(attempt.targets, attempt.memory):
            # Helpers without memory are done when the first token arrives.
            if memory or not attempt.is_decoding or not any(attempt.memory):
                self.by_target.setdefault(target, {})[attempt.key] = attempt

    def drop(self, owner: str, key: str) -> None:
        """Removes an attempt, if it is known."""
        attempt = self.by_owner.get(owner, {}).pop(key, None)
        if attempt is None:
            return
        for target in attempt.targets:
            target_attempts = self.by_target.get(target)
            if target_attempts is not None:
                target_attempts.pop(key, None)
                if not target_attempts:
                    del self.by_target[target]

    def replace_all(self, owner: str, attempts: list[Attempt]) -> None:
        """Replaces all attempts of an instance."""
        current_keys = {attempt.key for attempt in attempts}
        for key in list(self.by_owner.get(owner, {})):
            if key not in current_keys:
                self.drop(owner, key)
        for attempt in attempts:
            self.put(owner, attempt)

    def drop_owner(self, owner: str) -> None:
        """Removes all attempts of an instance."""
        for key in list(self.by_owner.get(owner, {})):
            self.drop(owner, key)
        self.by_owner.pop(owner, None)
        self.reported_at.pop(owner, None)

    def expire(self, now: float) -> None:
        """Removes attempts that are too old to be still in progress."""
        for owner, attempts in list(self.by_owner.items()):
            for key, attempt in list(attempts.items()):
                if now - attempt.placed_at > MAX_ATTEMPT_AGE_SECONDS:
                    self.drop(owner, key)
