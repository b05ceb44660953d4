"""Changes of the configuration in the store, as by an operator."""

import time

from soak import history as run_history
from tests import platform_standins

__all__ = ["Operator"]


class Operator:
    """Writes new versions of the configuration to the store.

    Attributes:
        keys: API keys in force, oldest first.
        added_routes: When the store accepted each route added during the run,
            by name; infinite until then.
        timeout_ms: Time-out of the routes to the service "desk".
    """

    def __init__(
        self, store: platform_standins.Store, history: run_history.History
    ) -> None:
        self.keys = [f"key-{number}" for number in range(4)]
        self.added_routes: dict[str, float] = {}
        self.timeout_ms = 800
        self._history = history
        self._store = store
        self._version = 0
        self._created_key_count = len(self.keys)
        self._record_timeout()

    def publish(self) -> None:
        """Writes a version with the current keys, routes and time-outs."""
        self._version += 3
        spec = platform_standins.make_spec(self._version, self.keys)
        book = spec["routes"][1]
        book["timeout-ms"] = self.timeout_ms
        # Allows a second send if the first was not executed.
        book["max-attempts"] = 2
        look = {
            **book,
            "name": "look",
            "path-prefix": "/look/",
            "kind": "idempotent",
        }
        added_specs = [
            {**look, "name": name, "path-prefix": f"/{name}/"}
            for name in self.added_routes
        ]
        spec["routes"] += [look, *added_specs]
        self._store.put("config", "main", spec)

    def add_route(self) -> str:
        """Adds a route and returns its name."""
        name = f"late{len(self.added_routes)}"
        self.added_routes[name] = float("inf")
        self.publish()
        self.added_routes[name] = time.monotonic()
        return name

    def add_key(self) -> None:
        """Adds an API key."""
        key = f"key-{self._created_key_count}"
        self._created_key_count += 1
        self.keys.append(key)
        self.publish()
        self._history.key_added_at[key] = time.monotonic()

    def revoke_key(self) -> None:
        """Revokes the oldest key and adds one, so that keys remain."""
        key = self.keys.pop(0)
        self.add_key()
        self._history.key_revoked_at[key] = time.monotonic()

    def change_timeouts(self) -> None:
        """Switches the desk routes between time-outs of 800 and 1,400 ms."""
        self.timeout_ms = 2_200 - self.timeout_ms
        self.publish()
        self._record_timeout()

    def _record_timeout(self) -> None:
        self._history.desk_timeouts.append(
            (time.monotonic(), self.timeout_ms / 1000.0)
        )
