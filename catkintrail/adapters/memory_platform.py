"""In-memory implementation of the platform port.

Tests and the stand-in of the platform use it.
"""

import threading
import time
from typing import Callable

from catkintrail import errors
from catkintrail import messages
from catkintrail.ports import platform as platform_port

__all__ = ["MAX_VALUE_BYTES", "MemoryPlatform"]

MAX_VALUE_BYTES = 1 << 20


class MemoryPlatform:
    """A store with versions, conditional writes and watches.

    Attributes:
        objects: Version and value of each object, by name.
        listing: The list of targets.
        counts: Number of calls: `read`, `write` or `watch`.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        self.objects: dict[str, platform_port.Stored] = {}
        self.listing = platform_port.TargetListing(0, ())
        self.counts: dict[str, int] = {}
        self._changed = threading.Condition()
        self._clock = clock

    def read(self, name: str) -> platform_port.Stored | None:
        """Returns an object; None if it does not exist."""
        with self._changed:
            self._count_call("read")
            return self.objects.get(name)

    def write(self, name: str, value: bytes, expected_version: int) -> int:
        """Writes an object if it has the expected version.

        Args:
            name: Name of the object.
            value: New content, at most MAX_VALUE_BYTES.
            expected_version: Current version; 0 to create the object.

        Returns:
            The new version.

        Raises:
            errors.ConflictError: The object has another version.
            errors.PlatformError: The value is too large.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise errors.PlatformError(f"{name}: value exceeds 1 MiB")
        with self._changed:
            self._count_call("write")
            self._check_version(name, expected_version)
            version = expected_version + 1
            self.objects[name] = platform_port.Stored(version, bytes(value))
            self._changed.notify_all()
            return version

    def delete(self, name: str, expected_version: int) -> None:
        """Deletes an object if it has the expected version.

        Raises:
            errors.ConflictError: The object has another version.
        """
        with self._changed:
            self._count_call("write")
            self._check_version(name, expected_version)
            self.objects.pop(name, None)
            self._changed.notify_all()

    def list_names(self, prefix: str, limit: int) -> list[str]:
        """Returns the last `limit` names with a prefix, in sorted order."""
        with self._changed:
            self._count_call("read")
            names = sorted(n for n in self.objects if n.startswith(prefix))
            return names[-limit:]

    def watch(self, name: str, after_version: int, seconds: float) -> int:
        """Waits until an object's version is above `after_version`.

        Args:
            name: Name of the object.
            after_version: Version that the caller has.
            seconds: Longest wait.

        Returns:
            The current version; 0 if the object does not exist.
        """
        deadline = self._clock() + seconds
        with self._changed:
            self._count_call("watch")
            while True:
                stored = self.objects.get(name)
                version = stored.version if stored else 0
                remaining_seconds = deadline - self._clock()
                if version > after_version or remaining_seconds <= 0:
                    return version
                self._changed.wait(remaining_seconds)

    def list_targets(self) -> platform_port.TargetListing:
        """Returns the list of live and leaving targets."""
        with self._changed:
            self._count_call("read")
            return self.listing

    def set_targets(self, targets: tuple[messages.TargetRecord, ...]) -> None:
        """Replaces the list of targets; raises its revision if it differs."""
        with self._changed:
            if targets != self.listing.targets:
                revision = self.listing.revision + 1
                self.listing = platform_port.TargetListing(revision, targets)

    def _check_version(self, name: str, expected_version: int) -> None:
        stored = self.objects.get(name)
        version = stored.version if stored else 0
        if version != expected_version:
            raise errors.ConflictError(name, version)

    def _count_call(self, kind: str) -> None:
        self.counts[kind] = self.counts.get(kind, 0) + 1
