"""The platform's object API, as the core uses it."""

from typing import NamedTuple, Protocol

from catkintrail import messages

__all__ = ["Platform", "Stored", "TargetListing"]


class Stored(NamedTuple):
    """An object in the store.

    Attributes:
        version: Its version; rises with every update.
        value: Its content, at most a megabyte.
    """

    version: int
    value: bytes


class TargetListing(NamedTuple):
    """The platform's lagging list of targets.

    Attributes:
        revision: Revision of the list.
        targets: The targets of all zones.
    """

    revision: int
    targets: tuple[messages.TargetRecord, ...]


class Platform(Protocol):
    """A store with versions and conditional updates.

    Every method may raise errors.PlatformUnavailableError; a write that does
    so may have taken effect.
    """

    def read(self, name: str) -> Stored | None:
        """Returns an object; None where there is none."""

    def write(self, name: str, value: bytes, expected_version: int) -> int:
        """Writes an object that is at a version.

        Args:
            name: The object.
            value: Its new content.
            expected_version: Its version; 0 to create it.

        Returns:
            The new version.

        Raises:
            errors.ConflictError: The object is at another version.
        """

    def delete(self, name: str, expected_version: int) -> None:
        """Deletes an object that is at a version.

        Raises:
            errors.ConflictError: The object is at another version.
        """

    def list_names(self, prefix: str, limit: int) -> list[str]:
        """Returns the last `limit` names that start with a prefix."""

    def watch(self, name: str, after_version: int, seconds: float) -> int:
        """Waits until an object's version is above one, or the time is up.

        Returns:
            The object's version then.
        """

    def list_targets(self) -> TargetListing:
        """Returns the list of live and leaving targets."""
