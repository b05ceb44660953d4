"""The clock of ages and leases."""

import time

__all__ = ["boot_seconds"]


def boot_seconds() -> float:
    """Returns seconds since the machine's start, suspension included."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
