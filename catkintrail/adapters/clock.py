"""The clock for ages and leases."""

import time

__all__ = ["boot_seconds"]


def boot_seconds() -> float:
    """Returns the seconds since boot, including time in suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
