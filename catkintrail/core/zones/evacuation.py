"""Availability zones to whose targets nothing may be sent.

Times are in seconds of a clock that keeps running while the machine is
suspended.
"""

from typing import Collection, NamedTuple

from catkintrail.core import store_views

__all__ = [
    "EVACUATED",
    "RETURNED",
    "UNKNOWN_STATE",
    "Evacuation",
    "EvacuationChange",
    "EvacuationState",
    "ZoneEvacuations",
]

# Names of the changes, as written to the log.
EVACUATED, RETURNED = "zone_evacuated", "zone_returned"


class EvacuationState(NamedTuple):
    """The evacuated zones at a point in the history of the store.

    Attributes:
        position: Position of the store; NO_POSITION if it was never read.
        zones: Names of the zones, sorted.
    """

    position: store_views.Position
    zones: tuple[str, ...]


UNKNOWN_STATE = EvacuationState(store_views.NO_POSITION, ())


class Evacuation(NamedTuple):
    """What is known of the evacuation of one zone.

    Attributes:
        since: When this instance learned of it, in seconds.
        source: Who told this instance.
    """

    since: float
    source: str


class EvacuationChange(NamedTuple):
    """The start or the end of an evacuation.

    Attributes:
        zone: Name of the zone.
        event: EVACUATED or RETURNED.
        age_seconds: How long the evacuation has been known; 0 at its start.
    """

    zone: str
    event: str
    age_seconds: float


class ZoneEvacuations:
    """The newest known state, whatever its source.

    It is changed by one thread and read by several.

    Attributes:
        is_active: Whether evacuations are heeded at all.
        state: The newest known state.
        evacuations: What is known of each evacuated zone.
    """

    def __init__(self, is_active: bool = False) -> None:
        self.is_active = is_active
        self.state = UNKNOWN_STATE
        self.evacuations: dict[str, Evacuation] = {}
        self._reported_zones: set[str] = set()

    @property
    def is_known(self) -> bool:
        """Whether any state was read, here or by a peer."""
        return self.state.position != store_views.NO_POSITION

    def is_evacuated(self, zone: str) -> bool:
        """Returns whether nothing may be sent to the targets of a zone."""
        return self.is_active and zone in self.evacuations

    def update(
        self, state: EvacuationState, source: str, now: float
    ) -> list[EvacuationChange]:
        """Applies a state unless it is older than the known one.

        Args:
            state: The state.
            source: Who told this instance.
            now: Time in seconds.

        Returns:
            The zones whose evacuation has begun or ended.
        """
        if state.position <= self.state.position:
            return []
        old = self.evacuations
        new = {
            zone: old.get(zone, Evacuation(now, source)) for zone in state.zones
        }
        self.state = state
        # Other threads read the old or the new zones, never a mixture.
        self.evacuations = new
        begun = [
            EvacuationChange(zone, EVACUATED, 0.0)
            for zone in new
            if zone not in old
        ]
        ended = [
            EvacuationChange(zone, RETURNED, now - known.since)
            for zone, known in old.items()
            if zone not in new
        ]
        return begun + ended

    def take_unknown_zones(self, known_zones: Collection[str]) -> list[str]:
        """Returns evacuated zones that do not exist, each of them once.

        Args:
            known_zones: Names of the zones of the deployment.
        """
        unknown = set(self.evacuations).difference(known_zones)
        new = sorted(unknown - self._reported_zones)
        self._reported_zones = unknown
        return new
