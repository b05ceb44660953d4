"""Regions to which requests of a route or an organisation are restricted.

Performs no I/O.
"""

from typing import Iterable, NamedTuple

from catkintrail.core import route_table

__all__ = ["Restriction", "ZoneRegions", "combine", "find_empty_regions"]


class Restriction(NamedTuple):
    """A restriction that names a region without zones.

    Attributes:
        holder: The route or the organisation that has the restriction.
        region: Name of the region.
    """

    holder: str
    region: str


class ZoneRegions(NamedTuple):
    """The regions of a deployment, as its settings state them.

    Attributes:
        zones: Name and region of each availability zone that has a region.
        own_region: Region of this instance; "" if it is not stated.
    """

    zones: tuple[tuple[str, str], ...] = ()
    own_region: str = ""

    def is_allowed(self, zone: str, regions: tuple[str, ...] | None) -> bool:
        """Returns whether a zone is in one of the regions of a restriction.

        Args:
            zone: Name of the zone. One without a known region is in none.
            regions: The allowed regions; None for no restriction.
        """
        return regions is None or dict(self.zones).get(zone) in regions

    def carrier_zones(
        self, regions: tuple[str, ...] | None
    ) -> frozenset[str] | None:
        """Returns the zones whose instances may get the body of a request.

        They are those of the allowed regions and of this instance's own.

        Args:
            regions: The allowed regions; None for no restriction.

        Returns:
            Names of the zones; None for no restriction.
        """
        if regions is None:
            return None
        return frozenset(
            zone
            for zone, region in self.zones
            if region in regions or region == self.own_region
        )


def combine(
    first: tuple[str, ...] | None, second: tuple[str, ...] | None
) -> tuple[str, ...] | None:
    """Returns the regions that two restrictions allow; None for no limits."""
    if first is None or second is None:
        return second if first is None else first
    return tuple(region for region in first if region in second)


def find_empty_regions(
    configuration: route_table.Configuration, regions: ZoneRegions
) -> list[Restriction]:
    """Returns the restrictions that name a region without zones."""
    holders: dict[str, Iterable[str]] = {}
    for route in configuration.routes:
        holders[f"route {route.name}"] = route.allowed_regions or ()
    for organisation in (configuration.organisations or {}).values():
        holders[f"organisation {organisation.name}"] = (
            organisation.allowed_regions or ()
        )
    known = {region for _, region in regions.zones}
    return [
        Restriction(holder, region)
        for holder, named in holders.items()
        for region in named
        if region not in known
    ]
