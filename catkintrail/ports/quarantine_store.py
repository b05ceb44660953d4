"""Interface to the store of quarantines that outlast all instances."""

from typing import NamedTuple, Protocol

__all__ = ["QuarantineStore", "StoredQuarantine"]


class StoredQuarantine(NamedTuple):
    """A quarantine as it is stored.

    Attributes:
        traits: The traits, in order; see core.request_quarantine.
        ends_at_ms: End of the quarantine, in Unix milliseconds.
        failed_trials: Number of trials that had crashed an engine.
    """

    traits: tuple[str, ...]
    ends_at_ms: int
    failed_trials: int = 0


class QuarantineStore(Protocol):
    """The platform's store of quarantines.

    Each method may raise errors.PlatformError; a write or delete that raises
    it may have taken effect.
    """

    def read_all(self) -> list[StoredQuarantine]:
        """Returns all quarantines; entries that cannot be read are left out."""

    def write(self, quarantine: StoredQuarantine) -> None:
        """Stores a quarantine, unless its traits are stored already."""

    def remove(self, traits: tuple[str, ...]) -> None:
        """Removes the quarantine of traits; does nothing if there is none."""

    def get_era(self) -> int:
        """Returns a number that rises when older content has come back."""
