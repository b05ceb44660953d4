"""Settings of the C library's memory allocator."""

import contextlib
import ctypes

__all__ = ["limit_retention"]

# Parameters of mallopt(3).
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# Buffers of this size and more are returned to the system as they are freed.
# The library would raise its threshold to the largest buffer freed so far.
MMAP_THRESHOLD_BYTES = 128 << 10
TRIM_THRESHOLD_BYTES = 1 << 20
# By default, each thread may get an arena, and each keeps what is free.
ARENAS = 2


def limit_retention() -> None:
    """Has freed memory returned; does nothing without glibc."""
    with contextlib.suppress(AttributeError, OSError):
        library = ctypes.CDLL(None)
        library.mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES)
        library.mallopt(M_TRIM_THRESHOLD, TRIM_THRESHOLD_BYTES)
        library.mallopt(M_ARENA_MAX, ARENAS)
