"""Waits for what other threads and processes do."""

import time

PAUSE_SECONDS = 0.005


def wait_until(condition, seconds=5.0):
    """Returns whether a condition holds within some time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return True
        time.sleep(PAUSE_SECONDS)
    return False
