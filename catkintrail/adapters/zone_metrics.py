"""Gauges about zones."""

from typing import Callable

from catkintrail.core.zones import evacuation

__all__ = ["EvacuationGauges"]


class EvacuationGauges:
    """Sets the gauges of zone evacuations. Not thread-safe."""

    def __init__(
        self, set_gauge: Callable[[str, float, dict[str, str]], None]
    ) -> None:
        self._set_gauge = set_gauge
        self._zones: set[str] = set()

    def update(
        self, evacuations: evacuation.ZoneEvacuations, now: float
    ) -> None:
        """Sets the gauges; zones that have returned get the value 0."""
        known = evacuations.evacuations
        self._zones.update(known)
        self._set_gauge("catkintrail_evacuated_zones", float(len(known)), {})
        for zone in self._zones:
            age_seconds = now - known[zone].since if zone in known else 0.0
            self._set_gauge(
                "catkintrail_evacuation_age_seconds",
                age_seconds,
                {"zone": zone},
            )
