"""Client for the platform's store of configuration and targets."""

import logging
import socket
from typing import Any, NamedTuple
import urllib.parse

import msgspec
import urllib3
from urllib3 import connection as connections

from catkintrail import errors
from catkintrail.adapters import bounded_http
from catkintrail.core import route_table
from catkintrail.platform import wire
from catkintrail.ports import fleet_state_source

__all__ = ["StoreClient", "StoreSource"]

_LOG = logging.getLogger("catkintrail.store")

MAX_CONNECTIONS = 8
# The store responds in 4 ms; when slow, in a few hundred milliseconds.
RESPONSE_TIMEOUT_SECONDS = 1.5
CONNECT_TIMEOUT_SECONDS = 0.6
# Longest delay of a watch's response after the requested wait.
WATCH_SLACK_SECONDS = 1.5
# TCP keep-alive detects a dead connection within about three seconds.
KEEP_ALIVE_IDLE_SECONDS = 1
KEEP_ALIVE_INTERVAL_SECONDS = 1
KEEP_ALIVE_PROBES = 2
MAX_PAGES = 100

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
TARGET_KIND = "servers"

_SOCKET_OPTIONS = connections.HTTPConnection.default_socket_options + [
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
]


class ObjectListing(NamedTuple):
    """All objects of a kind.

    Attributes:
        objects: The decoded JSON objects; not validated.
        revision: The store's revision as of the last page.
    """

    objects: list[Any]
    revision: int


class ObjectChange(NamedTuple):
    """A change of an object.

    Attributes:
        content: The decoded JSON object; not validated.
        is_removed: Whether the object was removed.
    """

    content: Any
    is_removed: bool


class WatchResult(NamedTuple):
    """Result of a watch.

    Attributes:
        changes: The changes, in the store's order.
        revision: Revision from which to continue the watch.
    """

    changes: list[ObjectChange]
    revision: int


class StoreClient:
    """HTTP client for the platform's object API.

    Each method may raise errors.PlatformUnavailableError.

    Attributes:
        call_count: Number of calls made.
        era: Number of times that the store's history has been replaced by an
            older copy; -1 if the store has not stated it.
        http: Pool of connections to the store.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.call_count = 0
        self.era = -1
        self.http = bounded_http.BoundedPool(
            host,
            int(port),
            maxsize=MAX_CONNECTIONS,
            retries=False,
            socket_options=_SOCKET_OPTIONS,
        )

    def read(self, kind: str, name: str) -> Any | None:
        """Returns an object; None if it does not exist."""
        path = f"{_kind_path(kind)}/{urllib.parse.quote(name, safe='')}"
        status, content = self._get(path, RESPONSE_TIMEOUT_SECONDS)
        if status == 404:
            return None
        return content

    def list(
        self, kind: str, timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS
    ) -> ObjectListing:
        """Returns all objects of a kind.

        Args:
            kind: Kind of the objects.
            timeout_seconds: How long to wait for each page.

        Raises:
            errors.PlatformError: A response is unexpected or malformed, or
                there are more than MAX_PAGES pages.
        """
        objects: list[Any] = []
        path = _kind_path(kind)
        query = ""
        for _ in range(MAX_PAGES):
            status, page = self._get(path + query, timeout_seconds)
            if status != 200:
                raise errors.PlatformError(f"{path}: status {status}")
            try:
                objects += page["items"]
                if not page["has-more"]:
                    # The store's revision, to watch from; objects have their
                    # own revisions.
                    return ObjectListing(objects, int(page["as-of"]))
                # `after-rev` takes the name of the last object.
                last = objects[-1]["metadata"]["name"]
            except (KeyError, TypeError, ValueError, IndexError) as error:
                raise errors.PlatformError(f"{path}: {error!r}") from error
            query = "?" + urllib.parse.urlencode({"after-rev": last})
        raise errors.PlatformError(f"{path}: more than {MAX_PAGES} pages")

    def watch(
        self, kind: str, revision: int, wait_seconds: float
    ) -> WatchResult:
        """Waits for changes after a revision.

        Args:
            kind: Kind of the objects.
            revision: Revision after which changes are returned.
            wait_seconds: The longest wait for a change.

        Raises:
            errors.HistoryExpiredError: The store has discarded these changes.
            errors.PlatformError: The response is unexpected or malformed.
        """
        query = urllib.parse.urlencode(
            {"watch": revision, "wait-ms": int(wait_seconds * 1000)}
        )
        path = f"{_kind_path(kind)}?{query}"
        status, page = self._get(path, wait_seconds + WATCH_SLACK_SECONDS)
        if status == 410:
            raise errors.HistoryExpiredError(
                f"{kind}: no history since revision {revision}"
            )
        if status != 200:
            raise errors.PlatformError(f"{path}: status {status}")
        try:
            changes = [
                ObjectChange(event["object"], bool(event["removed"]))
                for event in page["events"]
            ]
            return WatchResult(changes, int(page["as-of"]))
        except (KeyError, TypeError, ValueError) as error:
            raise errors.PlatformError(f"{path}: {error!r}") from error

    def _get(self, path: str, timeout_seconds: float) -> tuple[int, Any]:
        self.call_count += 1
        try:
            response = self.http.request(
                "GET",
                path,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=timeout_seconds
                ),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.PlatformUnavailableError(
                f"cannot reach the store: {error}"
            ) from error
        self._record_era(response.headers.get(wire.STORE_ERA, ""))
        if response.status in (429, 500, 503):
            raise errors.PlatformUnavailableError(
                f"the store responded with status {response.status}"
            )
        if response.status != 200:
            return response.status, None
        try:
            return 200, msgspec.json.decode(response.data)
        except msgspec.DecodeError as error:
            raise errors.PlatformUnavailableError(
                f"cannot decode a response of the store: {error}"
            ) from error

    def _record_era(self, text: str) -> None:
        era = wire.decode_era(text)
        if era == self.era:
            return
        _LOG.warning(
            "store_era_changed", extra={"era": era, "replaced_era": self.era}
        )
        self.era = era


class StoreSource:
    """Reads the configuration and the targets from the store.

    Objects that cannot be decoded are logged. Undecodable configurations are
    ignored, as are targets without a name; other undecodable targets yield an
    event without a target.

    Attributes:
        client: Client of the store.
    """

    def __init__(self, client: StoreClient) -> None:
        self.client = client

    def read_configuration(
        self, timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS
    ) -> fleet_state_source.ConfigurationUpdate:
        """Returns the current configuration."""
        listing = self.client.list(CONFIGURATION_KIND, timeout_seconds)
        return fleet_state_source.ConfigurationUpdate(
            _newest_configuration(listing.objects), listing.revision
        )

    def watch_configuration(
        self, revision: int, wait_seconds: float
    ) -> fleet_state_source.ConfigurationUpdate:
        """Waits for a change of the configuration after a revision."""
        result = self.client.watch(CONFIGURATION_KIND, revision, wait_seconds)
        objects = [c.content for c in result.changes if not c.is_removed]
        return fleet_state_source.ConfigurationUpdate(
            _newest_configuration(objects), result.revision
        )

    def list_targets(self) -> fleet_state_source.TargetUpdate:
        """Returns all current targets."""
        listing = self.client.list(TARGET_KIND)
        events = [_decode_target_event(item, False) for item in listing.objects]
        return fleet_state_source.TargetUpdate(
            tuple(event for event in events if event), listing.revision
        )

    def watch_targets(
        self, revision: int, wait_seconds: float
    ) -> fleet_state_source.TargetUpdate:
        """Waits for changes of the targets after a revision."""
        result = self.client.watch(TARGET_KIND, revision, wait_seconds)
        events = [
            _decode_target_event(change.content, change.is_removed)
            for change in result.changes
        ]
        return fleet_state_source.TargetUpdate(
            tuple(event for event in events if event), result.revision
        )


def _newest_configuration(
    objects: list[Any],
) -> route_table.Configuration | None:
    """Returns the newest configuration that can be decoded, if any."""
    newest = None
    for item in objects:
        try:
            if item["metadata"]["name"] != CONFIGURATION_NAME:
                continue
            configuration = wire.decode_configuration(item["spec"])
        except (KeyError, TypeError) as error:
            _LOG.error("object_unreadable", extra={"reason": repr(error)})
            continue
        except errors.CheckError as error:
            _LOG.error("configuration_unreadable", extra={"reason": str(error)})
            continue
        if newest is None or configuration.version > newest.version:
            newest = configuration
    return newest


def _decode_target_event(
    item: Any, is_removed: bool
) -> fleet_state_source.TargetEvent | None:
    """Decodes a change of a target; returns None if it has no valid name."""
    try:
        name = item["metadata"]["name"]
    except (KeyError, TypeError):
        name = None
    if not isinstance(name, str):
        _LOG.warning("target_entry_unreadable", extra={"target": repr(name)})
        return None
    if is_removed:
        return fleet_state_source.TargetEvent(name, None, True)
    target = wire.decode_target(item)
    if target is None:
        _LOG.warning("target_entry_unreadable", extra={"target": name})
    return fleet_state_source.TargetEvent(name, target, False)


def _kind_path(kind: str) -> str:
    return f"/api/objects/{kind}"
