"""Targets as the platform lists them."""

from typing import NamedTuple

__all__ = ["Target"]


class Target(NamedTuple):
    """An instance of a service: an engine, or a plain service's process.

    Attributes:
        name: Its id; may be used again after a restart.
        service: The service that it belongs to.
        address: `IP:port`; may belong to another target later.
        availability_zone: Where it runs.
        slots: Requests that it processes at a time.
        is_leaving: Whether it announced that it will shut down.
        born: Unix milliseconds of its start; 0 where not stated.
    """

    name: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_leaving: bool
    born: int
