"""Interface to the source of zone evacuations."""

from typing import NamedTuple, Protocol

from catkintrail.core import store_views

__all__ = ["EvacuationEvent", "EvacuationSource", "EvacuationUpdate"]


class EvacuationEvent(NamedTuple):
    """The start or the end of an evacuation.

    Attributes:
        zone: Name of the availability zone.
        is_removed: Whether the evacuation has ended.
    """

    zone: str
    is_removed: bool


class EvacuationUpdate(NamedTuple):
    """Result of a list or a watch of the evacuations.

    Attributes:
        events: The changes in order; for a list, one event for each zone.
        position: Where to watch from.
    """

    events: tuple[EvacuationEvent, ...]
    position: store_views.Position


class EvacuationSource(Protocol):
    """The platform's store of evacuations.

    Each reading may raise errors.PlatformError; a watch may also raise
    errors.HistoryExpiredError or errors.HistoryReplacedError if changes after
    the position may be unknown.
    """

    def list(self, timeout_seconds: float) -> EvacuationUpdate:
        """Returns all evacuations.

        Args:
            timeout_seconds: How long to wait for the store's response.
        """

    def watch(
        self, position: store_views.Position, wait_seconds: float
    ) -> EvacuationUpdate:
        """Waits for changes after a position."""

    def end_watch(self) -> None:
        """Makes a watch in progress in another thread fail at once."""
