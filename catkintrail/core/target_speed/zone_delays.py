"""Estimates the network delay to the targets of other availability zones."""

import math

__all__ = ["ZoneDelays"]

# The delay is taken from the least times of this period and the one before.
PERIOD_SECONDS = 15.0
# A larger difference between the least times of two zones is not the network.
MAX_DELAY_MS = 100.0


class _LeastTime:
    """The least time of the last two periods."""

    def __init__(self) -> None:
        self.current = math.inf
        self.previous = math.inf
        self.began_at = -math.inf

    def add(self, milliseconds: float, now: float) -> None:
        """Records a time."""
        if now - self.began_at > PERIOD_SECONDS:
            self.previous = self.current
            self.current = math.inf
            self.began_at = now
        self.current = min(self.current, milliseconds)

    def value(self) -> float:
        """Returns the least time in milliseconds."""
        return min(self.current, self.previous)


class ZoneDelays:
    """Least run times of one service at the targets of each zone.

    A delay of the network adds the same to every time, thus also to the least;
    a slow target does so only if all targets of its zone are slow.
    """

    def __init__(self) -> None:
        self._least: dict[str, _LeastTime] = {}

    def record(
        self, zone: str, own_zone: str, milliseconds: float, now: float
    ) -> float:
        """Records a time, and returns the delay that it contains.

        Args:
            zone: Availability zone of the target.
            own_zone: Availability zone of the instance that measured it.
            milliseconds: The time.
            now: Time in seconds.

        Returns:
            The delay in milliseconds.
        """
        least = self._least.setdefault(zone, _LeastTime())
        least.add(milliseconds, now)
        if zone == own_zone:
            return 0.0
        near = self._least.get(own_zone)
        if near is None:
            near = min(self._least.values(), key=lambda other: other.value())
        delay = least.value() - near.value()
        return min(MAX_DELAY_MS, max(0.0, delay))
