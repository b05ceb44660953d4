"""Finds changes of targets' speeds that operators are told of."""

import math
from typing import Mapping, NamedTuple

from catkintrail.core.target_speed import target_speeds

__all__ = [
    "FAST",
    "RELIEVED",
    "SLOW",
    "STRAINED",
    "SpeedChange",
    "SpeedChanges",
]

SLOW = "target_slow"
FAST = "target_fast"
STRAINED = "target_strained"
RELIEVED = "target_relieved"
# A slow target counts as fast again below this slowness.
FAST_SLOWNESS = 1.2
# Least time between two changes of one target: the log stays small if an
# estimate goes up and down.
CHANGE_SECONDS = 5.0


def describe(speed: target_speeds.TargetSpeed) -> dict[str, float]:
    """Returns the fields of a log line about a speed."""
    fields = {
        "slowness": round(speed.slowness, 2),
        "age_ms": round(speed.age_seconds * 1000.0),
    }
    if speed.comfortable < math.inf:
        fields["comfortable"] = round(speed.comfortable, 1)
        fields["strain"] = round(speed.strain, 2)
    return fields


class SpeedChange(NamedTuple):
    """A change of a target's speed.

    Attributes:
        event: SLOW, FAST, STRAINED or RELIEVED.
        target: Name of the target.
        speed: What is known of its speed.
    """

    event: str
    target: str
    speed: target_speeds.TargetSpeed


class SpeedChanges:
    """The targets that count as slow, or as strained by too many requests.

    Attributes:
        slow: Names of the slow targets.
        strained: Names of the targets that handle only some requests well.
    """

    def __init__(self) -> None:
        self.slow: set[str] = set()
        self.strained: set[str] = set()
        self._changed_at: dict[tuple[str, bool], float] = {}

    def update(
        self, speeds: Mapping[str, target_speeds.TargetSpeed], now: float
    ) -> list[SpeedChange]:
        """Returns the changes since the last call.

        Args:
            speeds: What is known of each target.
            now: Time in seconds.
        """
        self.slow &= speeds.keys()
        self.strained &= speeds.keys()
        changes = []
        for name, speed in sorted(speeds.items()):
            limit = target_speeds.SUSPECT_SLOWNESS
            if name in self.slow:
                limit = FAST_SLOWNESS
            is_slow = speed.slowness > limit
            if is_slow != (name in self.slow) and self._may_change(
                name, False, now
            ):
                self.slow ^= {name}
                event = SLOW if is_slow else FAST
                changes.append(SpeedChange(event, name, speed))
            is_strained = speed.strain > 1.0 and speed.comfortable < math.inf
            if is_strained != (name in self.strained) and self._may_change(
                name, True, now
            ):
                self.strained ^= {name}
                event = STRAINED if is_strained else RELIEVED
                changes.append(SpeedChange(event, name, speed))
        return changes

    def _may_change(self, name: str, is_strain: bool, now: float) -> bool:
        """Returns whether a change may be told, and records it."""
        key = name, is_strain
        if now - self._changed_at.get(key, -math.inf) < CHANGE_SECONDS:
            return False
        self._changed_at[key] = now
        return True
