"""Pauses after failed calls to the platform's store."""

import random

__all__ = ["MAX_PAUSE_SECONDS", "Backoff"]

MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 1.0


class Backoff:
    """Pauses that grow exponentially, with jitter."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause = MIN_PAUSE_SECONDS

    def next(self) -> float:
        """Returns the next pause in seconds."""
        pause = self._pause
        self._pause = min(MAX_PAUSE_SECONDS, pause * 2)
        return pause * self._rng.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Restarts from the shortest pause, after a success."""
        self._pause = MIN_PAUSE_SECONDS
