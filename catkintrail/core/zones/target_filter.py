"""Leaves out targets that a request must not be sent to because of their zone.

Performs no I/O.
"""

from typing import Iterable, NamedTuple

from catkintrail.core import targets as target_records
from catkintrail.core.zones import evacuation
from catkintrail.core.zones import regions as zone_regions

__all__ = ["Exclusion", "find_allowed"]

# The configuration may allow other regions, and targets may join them, at any
# time.
REGION_RETRY_SECONDS = 0.4
# The end of an evacuation is in force within some seconds.
EVACUATED_RETRY_SECONDS = 2.0


class Exclusion(NamedTuple):
    """Why no target of a service may be used.

    Attributes:
        detail: The reason, for the caller and the log.
        retry_after_seconds: When the request may be sent again.
    """

    detail: str
    retry_after_seconds: float


def find_allowed(
    targets: Iterable[target_records.Target],
    allowed_regions: tuple[str, ...] | None,
    regions: zone_regions.ZoneRegions,
    evacuations: evacuation.ZoneEvacuations,
) -> tuple[list[target_records.Target], Exclusion | None]:
    """Returns the targets in zones that a request may be sent to.

    Args:
        targets: The targets of the request's service.
        allowed_regions: Regions that the request is restricted to; None for no
            restriction.
        regions: Regions of the zones.
        evacuations: The evacuated zones.

    Returns:
        The targets, and why there are none; None if there are some, or if the
        service has none at all.
    """
    in_regions = list(targets)
    if allowed_regions is not None:
        in_regions = [
            target
            for target in in_regions
            if regions.is_allowed(target.availability_zone, allowed_regions)
        ]
        if not in_regions:
            names = ", ".join(allowed_regions) or "none"
            return [], Exclusion(
                f"no target is in one of the allowed regions: {names}",
                REGION_RETRY_SECONDS,
            )
    if not evacuations.evacuations:
        return in_regions, None
    allowed = [
        target
        for target in in_regions
        if not evacuations.is_evacuated(target.availability_zone)
    ]
    if in_regions and not allowed:
        return [], Exclusion(
            f"all {len(in_regions)} targets are in evacuated zones",
            EVACUATED_RETRY_SECONDS,
        )
    return allowed, None
