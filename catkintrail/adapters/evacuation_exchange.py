"""Exchange between instances about the evacuation of zones."""

import logging

from catkintrail import messages
from catkintrail.adapters import fleet_broadcast
from catkintrail.core import request_router
from catkintrail.core.zones import evacuation

__all__ = ["EvacuationExchange"]

_LOG = logging.getLogger("catkintrail.evacuations")


class EvacuationExchange:
    """Applies what is known of evacuations, and tells peers of changes.

    Used by the thread of the router actor only.
    """

    def __init__(
        self, router: request_router.RequestRouter, send: fleet_broadcast.Send
    ) -> None:
        self._router = router
        self._send = send

    def apply_store_state(
        self, state: evacuation.EvacuationState, source: str, now: float
    ) -> None:
        """Applies a state that this instance has read; tells the fleet."""
        if self._apply(state, source, now):
            self._spread()

    def apply_peer_state(
        self, state: evacuation.EvacuationState, source: str, now: float
    ) -> None:
        """Applies a state that a peer has told.

        In a large fleet, the coordinators pass a change on: not all instances
        exchange heartbeats with one that knows it.
        """
        peers = self._router.fleet_state.peers
        if (
            self._apply(state, source, now)
            and peers.is_large_fleet
            and peers.is_coordinator()
        ):
            self._spread()

    def log_unknown_zones(self) -> None:
        """Logs evacuations of zones that do not exist, once each."""
        state = self._router.fleet_state
        if not state.evacuations.evacuations or not state.has_target_list:
            return
        known = {state.settings.availability_zone}
        known.update(
            target.availability_zone
            for target in state.targets.targets.values()
        )
        known.update(
            peer.availability_zone for peer in state.peers.peers.values()
        )
        for zone in state.evacuations.take_unknown_zones(known):
            _LOG.warning("evacuated_zone_unknown", extra={"zone": zone})

    def _apply(
        self, state: evacuation.EvacuationState, source: str, now: float
    ) -> bool:
        """Applies a state; returns whether the evacuated zones have changed."""
        evacuations = self._router.fleet_state.evacuations
        if not evacuations.is_active:
            return False
        changes = evacuations.update(state, source, now)
        for change in changes:
            extra = {
                "zone": change.zone,
                "position": state.position,
                "source": source,
            }
            if change.event == evacuation.EVACUATED:
                _LOG.warning("zone_evacuated", extra=extra)
            else:
                extra["age_ms"] = round(change.age_seconds * 1000.0)
                _LOG.warning("zone_returned", extra=extra)
        return bool(changes)

    def _spread(self) -> None:
        state = self._router.fleet_state
        news = messages.EvacuationNews(
            self._router.settings.name, state.evacuations.state
        )
        fleet_broadcast.spread(state, self._send, news)
