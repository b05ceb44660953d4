"""Settings of an instance that relays callers' requests to targets."""

from typing import NamedTuple

from catkintrail.core.zones import regions as zone_regions

__all__ = ["RelaySettings"]


class RelaySettings(NamedTuple):
    """Identity, listening addresses and limits of a relaying instance.

    Attributes:
        name: Name of the instance, unique in the deployment.
        availability_zone: Availability zone of the instance.
        address: IP address of the instance.
        caller_address: `IP:port` for callers.
        ready_address: `IP:port` of the readiness check.
        peer_address: `IP:port` for peers' calls and metrics; "" for none.
        datagram_port: UDP port for messages between instances.
        seeds: Peer addresses of some instances, used to discover the others;
            may be stale.
        store_address: `IP:port` of the platform's store.
        drain_seconds: Time from the stop signal until the process is killed.
        revocation_seconds: A request must not run if its key was revoked longer
            ago than this; 0 for no limit.
        configuration_seconds: Time within which a published configuration has
            to be in force.
        retry_ratio: Retries allowed for each request, over all instances.
        retry_extra: Additional retries allowed in a window, over all
            instances.
        retry_window_seconds: Length of that window.
        memory_free_seconds: Time within which memory that no request uses any
            more has to be free again.
        cores: Processing power of the machine, in cores.
        memory_mb: Memory of the machine, in MiB; 0 if unknown.
        max_descriptors: Descriptors that the process may have; 0 if unknown.
        zone_count: Number of availability zones of the deployment; 0 if
            unknown.
        evacuation_seconds: Time within which an evacuated zone's targets get
            nothing more; 0 if zones are never evacuated.
        limits_cold_targets: Whether targets that are cold get no more requests
            than their service states.
        regions: Regions of the availability zones, and of this instance.
    """

    name: str
    availability_zone: str
    address: str
    caller_address: str
    ready_address: str
    peer_address: str
    datagram_port: int
    seeds: tuple[str, ...]
    store_address: str
    drain_seconds: float
    revocation_seconds: float
    configuration_seconds: float
    retry_ratio: float
    retry_extra: float
    retry_window_seconds: float
    memory_free_seconds: float
    cores: float = 1.0
    zone_count: int = 0
    evacuation_seconds: float = 0.0
    limits_cold_targets: bool = False
    regions: zone_regions.ZoneRegions = zone_regions.ZoneRegions()
    memory_mb: float = 0.0
    max_descriptors: int = 0
