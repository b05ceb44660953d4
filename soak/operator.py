"""The operator's configuration in the store, and its changes."""

import time

from soak import history as histories
from tests import platform_standins

__all__ = ["Operator"]


class Operator:
    """Writes versions of the configuration.

    Attributes:
        keys: API keys in force.
        late_routes: Routes that were added, with the time at which the store
            had accepted them.
        timeout_ms: Of the routes to the desk.
    """

    def __init__(
        self, store: platform_standins.Store, history: histories.History
    ) -> None:
        self.keys = [f"key-{number}" for number in range(4)]
        self.late_routes: dict[str, float] = {}
        self.timeout_ms = 800
        self._history = history
        self._store = store
        self._version = 0
        self._made_keys = len(self.keys)
        self._note_timeout()

    def publish(self) -> None:
        """Writes a version with what holds now."""
        self._version += 3
        spec = platform_standins.make_spec(self._version, self.keys)
        book = spec["routes"][1]
        book["timeout-ms"] = self.timeout_ms
        # A second send is allowed where the first one did not run.
        book["max-attempts"] = 2
        look = {
            **book,
            "name": "look",
            "path-prefix": "/look/",
            "kind": "idempotent",
        }
        late = [
            {**look, "name": name, "path-prefix": f"/{name}/"}
            for name in self.late_routes
        ]
        spec["routes"] += [look, *late]
        self._store.put("config", "main", spec)

    def add_route(self) -> str:
        """Adds a route; returns its name."""
        name = f"late{len(self.late_routes)}"
        self.late_routes[name] = float("inf")
        self.publish()
        self.late_routes[name] = time.monotonic()
        return name

    def add_key(self) -> None:
        """Adds a key."""
        key = f"key-{self._made_keys}"
        self._made_keys += 1
        self.keys.append(key)
        self.publish()
        self._history.added[key] = time.monotonic()

    def revoke_key(self) -> None:
        """Takes the oldest key away; adds one, so that some are left."""
        key = self.keys.pop(0)
        self.add_key()
        self._history.revoked[key] = time.monotonic()

    def change_timeouts(self) -> None:
        """Moves the time-outs of the desk's routes."""
        self.timeout_ms = 2_200 - self.timeout_ms
        self.publish()
        self._note_timeout()

    def _note_timeout(self) -> None:
        self._history.desk_timeouts.append(
            (time.monotonic(), self.timeout_ms / 1000.0)
        )
