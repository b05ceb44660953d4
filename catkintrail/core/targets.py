"""Records of the platform's list of targets."""

from typing import NamedTuple

__all__ = ["Target"]


class Target(NamedTuple):
    """An engine, or a process of a plain service.

    Attributes:
        name: Id of the target; may be reused after a restart.
        service: Name of the service that the target belongs to.
        address: `IP:port`; may be reused by another target later.
        availability_zone: Availability zone in which the target runs.
        slots: Number of requests that the target processes concurrently.
        is_leaving: Whether the target announced that it will shut down.
        born: Start time in Unix milliseconds; 0 if unknown.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_leaving: bool
    born: int
