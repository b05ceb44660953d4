"""Zone evacuations as objects of the platform's store."""

import logging
from typing import Any

from catkintrail.core import store_views
from catkintrail.platform import store
from catkintrail.ports import evacuation_source

__all__ = ["EvacuationObjects"]

_LOG = logging.getLogger("catkintrail.store")


class EvacuationObjects:
    """Reads evacuations: objects that are named like the evacuated zones.

    Objects without a valid name are logged and ignored.

    Attributes:
        client: Client of the store.
    """

    def __init__(self, client: store.StoreClient) -> None:
        self.client = client

    def list(
        self, timeout_seconds: float
    ) -> evacuation_source.EvacuationUpdate:
        """Returns all evacuations."""
        listing = self.client.list(store.EVACUATION_KIND, timeout_seconds)
        events = [_decode_event(item, False) for item in listing.objects]
        return evacuation_source.EvacuationUpdate(
            tuple(event for event in events if event), listing.position
        )

    def watch(
        self, position: store_views.Position, wait_seconds: float
    ) -> evacuation_source.EvacuationUpdate:
        """Waits for changes after a position."""
        result = self.client.watch(
            store.EVACUATION_KIND, position, wait_seconds
        )
        events = [
            _decode_event(change.content, change.is_removed)
            for change in result.changes
        ]
        return evacuation_source.EvacuationUpdate(
            tuple(event for event in events if event), result.position
        )

    def end_watch(self) -> None:
        """Makes a watch in progress in another thread fail at once."""
        self.client.end_watch(store.EVACUATION_KIND)


def _decode_event(
    item: Any, is_removed: bool
) -> evacuation_source.EvacuationEvent | None:
    """Decodes a change; returns None if it has no valid name."""
    try:
        name = item["metadata"]["name"]
    except (KeyError, TypeError):
        name = None
    if not isinstance(name, str) or not name:
        _LOG.warning("evacuation_unreadable", extra={"object": repr(name)})
        return None
    return evacuation_source.EvacuationEvent(name, is_removed)
