"""Interface to the platform's object API."""

from typing import NamedTuple, Protocol

from catkintrail import messages

__all__ = ["Platform", "Stored", "TargetListing"]


class Stored(NamedTuple):
    """An object in the store.

    Attributes:
        version: Version of the object; increases with every update.
        value: Content of the object, at most one megabyte.
    """

    version: int
    value: bytes


class TargetListing(NamedTuple):
    """The platform's list of targets, which may be out of date.

    Attributes:
        revision: Revision of the list.
        targets: The targets of all availability zones.
    """

    revision: int
    targets: tuple[messages.TargetRecord, ...]


class Platform(Protocol):
    """A store of versioned objects with conditional updates.

    Every method may raise errors.PlatformUnavailableError; a write or delete
    that raises it may have taken effect.
    """

    def read(self, name: str) -> Stored | None:
        """Returns an object; None if it does not exist."""

    def write(self, name: str, value: bytes, expected_version: int) -> int:
        """Writes an object if it is at an expected version.

        Args:
            name: Name of the object.
            value: New content.
            expected_version: Current version of the object; 0 to create it.

        Returns:
            The new version.

        Raises:
            errors.ConflictError: The object is at another version.
        """

    def delete(self, name: str, expected_version: int) -> None:
        """Deletes an object if it is at an expected version.

        Raises:
            errors.ConflictError: The object is at another version.
        """

    def list_names(self, prefix: str, limit: int) -> list[str]:
        """Returns the last `limit` object names that start with a prefix."""

    def watch(self, name: str, after_version: int, seconds: float) -> int:
        """Waits until an object's version exceeds `after_version`.

        Args:
            name: Name of the object.
            after_version: The version to exceed.
            seconds: The longest wait.

        Returns:
            The object's version at the end of the wait.
        """

    def list_targets(self) -> TargetListing:
        """Returns the list of targets, including those that shut down."""
