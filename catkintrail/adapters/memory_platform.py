"""The platform port in memory, for tests and for the stand-in."""

import threading
import time
from typing import Callable

from catkintrail import errors
from catkintrail import messages
from catkintrail.ports import platform as platform_port

__all__ = ["MAX_VALUE_BYTES", "MemoryPlatform"]

MAX_VALUE_BYTES = 1 << 20


class MemoryPlatform:
    """A store with versions, conditional updates and watches.

    Attributes:
        objects: Version and value by name.
        listing: The list of targets.
        counts: Calls by kind.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.objects: dict[str, platform_port.Stored] = {}
        self.listing = platform_port.TargetListing(0, ())
        self.counts: dict[str, int] = {}
        self._changed = threading.Condition()
        self._clock = clock

    def read(self, name: str) -> platform_port.Stored | None:
        """Returns an object; None where there is none."""
        with self._changed:
            self._count("read")
            return self.objects.get(name)

    def write(self, name: str, value: bytes, expected_version: int) -> int:
        """Writes an object that is at a version; returns the new one.

        Raises:
            errors.ConflictError: The object is at another version.
            errors.PlatformError: The value is too large.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise errors.PlatformError(f"{name}: value over a megabyte")
        with self._changed:
            self._count("write")
            self._expect(name, expected_version)
            version = expected_version + 1
            self.objects[name] = platform_port.Stored(version, bytes(value))
            self._changed.notify_all()
            return version

    def delete(self, name: str, expected_version: int) -> None:
        """Deletes an object that is at a version.

        Raises:
            errors.ConflictError: The object is at another version.
        """
        with self._changed:
            self._count("write")
            self._expect(name, expected_version)
            self.objects.pop(name, None)
            self._changed.notify_all()

    def list_names(self, prefix: str, limit: int) -> list[str]:
        """Returns the last `limit` names that start with a prefix."""
        with self._changed:
            self._count("read")
            names = sorted(n for n in self.objects if n.startswith(prefix))
            return names[-limit:]

    def watch(self, name: str, after_version: int, seconds: float) -> int:
        """Waits until an object's version is above one, or time is up."""
        end = self._clock() + seconds
        with self._changed:
            self._count("watch")
            while True:
                stored = self.objects.get(name)
                version = stored.version if stored else 0
                left = end - self._clock()
                if version > after_version or left <= 0:
                    return version
                self._changed.wait(left)

    def list_targets(self) -> platform_port.TargetListing:
        """Returns the list of live and leaving targets."""
        with self._changed:
            self._count("read")
            return self.listing

    def set_targets(self, targets: tuple[messages.TargetRecord, ...]) -> None:
        """Replaces the list of targets where it differs."""
        with self._changed:
            if targets != self.listing.targets:
                revision = self.listing.revision + 1
                self.listing = platform_port.TargetListing(revision, targets)

    def _expect(self, name: str, expected_version: int) -> None:
        stored = self.objects.get(name)
        version = stored.version if stored else 0
        if version != expected_version:
            raise errors.ConflictError(name, version)

    def _count(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1
