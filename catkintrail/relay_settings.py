"""Settings of an instance that relays callers' requests to targets."""

from typing import NamedTuple

__all__ = ["RelaySettings"]


class RelaySettings(NamedTuple):
    """Who the instance is, where it listens, and the bounds it keeps.

    Attributes:
        name: Its name, unique in the deployment.
        availability_zone: Where it runs.
        address: Its IP number.
        caller_address: `IP:port` for callers.
        ready_address: `IP:port` of the readiness check.
        peer_address: `IP:port` for peers' calls and metrics; "" for none.
        datagram_port: UDP port between instances.
        seeds: Peer addresses of some instances; may be stale.
        store_address: `IP:port` of the platform's store.
        drain_seconds: From the signal to stop until the process is killed.
        revocation_seconds: A request with a key that was taken away longer
            ago must not run; 0 where no such bound holds.
        configuration_seconds: A configuration is in force by then.
        retry_ratio: Repeats allowed for each request, over all instances.
        retry_extra: Repeats allowed besides in a window, over all instances.
        retry_window_seconds: Length of that window.
        memory_free_seconds: Memory that no request uses any more is free again
            by then.
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
