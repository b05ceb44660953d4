"""Client for the platform's store of configuration and targets."""

import hashlib
import json
import logging
import threading
from typing import Any, Callable, Iterable, Iterator, NamedTuple
import urllib.parse

import urllib3
from urllib3 import connection as connections

from catkintrail import errors
from catkintrail.adapters import bounded_http
from catkintrail.adapters import keep_alive
from catkintrail.core import route_table
from catkintrail.core import store_views
from catkintrail.platform import lenient_json
from catkintrail.platform import wire
from catkintrail.ports import fleet_state_source
from catkintrail.ports import quarantine_store

__all__ = ["QuarantineObjects", "StoreClient", "StoreSource"]

_LOG = logging.getLogger("catkintrail.store")

MAX_CONNECTIONS = 8
# The store responds in 4 ms; when slow, in a few hundred milliseconds.
RESPONSE_TIMEOUT_SECONDS = 1.5
CONNECT_TIMEOUT_SECONDS = 0.6
# Longest delay of a watch's response after the requested wait.
WATCH_SLACK_SECONDS = 1.5
MAX_PAGES = 100
# Responses of an older era in a row, after which that era is taken as current.
# Fewer may be late responses.
MAX_OLDER_RESPONSES = 8

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"
TARGET_KIND = "servers"
EVACUATION_KIND = "evacuations"
QUARANTINE_KIND = "request-quarantines"
OBJECT_NAME_BYTES = 16

_KIND_BY_SUBJECT = {
    fleet_state_source.CONFIGURATION: CONFIGURATION_KIND,
    fleet_state_source.TARGETS: TARGET_KIND,
}
_SOCKET_OPTIONS = [
    *connections.HTTPConnection.default_socket_options,
    *keep_alive.OPTIONS,
]


class ObjectListing(NamedTuple):
    """All objects of a kind.

    Attributes:
        objects: The decoded JSON objects; not validated. Those after the first
            page may be of a later revision than the position.
        position: Era, and the store's revision as of the first page. A watch
            from there returns all changes that the objects may lack.
    """

    objects: list[Any]
    position: store_views.Position


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
        position: Where to continue the watch.
    """

    changes: list[ObjectChange]
    position: store_views.Position


class _Response(NamedTuple):
    status: int
    content: Any
    era: int


class StoreClient:
    """HTTP client for the platform's object API.

    Each method may raise errors.PlatformUnavailableError. When the store comes
    back from an older copy, the calls in progress end. Watches have connections
    of their own, so that those of one kind can be ended.

    Attributes:
        call_count: Number of calls made.
        era: Number of times that the store's history has been replaced by an
            older copy; -1 if the store has not stated it.
        on_restored: Called with the new era when the store is first seen to
            have come back from an older copy.
        http: Pool of connections to the store for reads.
        watch_pools: Pools of connections for watches, by kind of the objects.
    """

    def __init__(self, address: str) -> None:
        self.call_count = 0
        self.era = -1
        self.on_restored: Callable[[int], None] = lambda era: None
        self._older_responses = 0
        self._states_era = False
        self._lock = threading.Lock()
        self.http = _make_pool(address)
        self.watch_pools = {
            kind: _make_pool(address)
            for kind in (CONFIGURATION_KIND, TARGET_KIND, EVACUATION_KIND)
        }

    def read(self, kind: str, name: str) -> Any | None:
        """Returns an object; None if it does not exist."""
        path = f"{_kind_path(kind)}/{urllib.parse.quote(name, safe='')}"
        response = self._get(self.http, path, RESPONSE_TIMEOUT_SECONDS)
        if response.status == 404:
            return None
        return response.content

    def list(
        self, kind: str, timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS
    ) -> ObjectListing:
        """Returns all objects of a kind.

        Args:
            kind: Kind of the objects.
            timeout_seconds: How long to wait for each page.

        Raises:
            errors.HistoryReplacedError: The pages are of different eras.
            errors.PlatformError: A response is unexpected or malformed, or
                there are more than MAX_PAGES pages.
        """
        objects: list[Any] = []
        path = _kind_path(kind)
        query = ""
        position = None
        for _ in range(MAX_PAGES):
            response = self._get(self.http, path + query, timeout_seconds)
            if response.status != 200:
                raise errors.PlatformError(f"{path}: status {response.status}")
            if position is not None and response.era != position.era:
                raise errors.HistoryReplacedError(
                    f"{kind}: era {response.era} follows {position.era}"
                )
            page = response.content
            try:
                objects += page["items"]
                if position is None:
                    # The pages are not read at one revision.
                    position = store_views.Position(
                        response.era, int(page["as-of"])
                    )
                if not page["has-more"]:
                    return ObjectListing(objects, position)
                # `after-rev` takes the name of the last object.
                last = objects[-1]["metadata"]["name"]
            except (KeyError, TypeError, ValueError, IndexError) as error:
                raise errors.PlatformError(f"{path}: {error!r}") from error
            query = "?" + urllib.parse.urlencode({"after-rev": last})
        raise errors.PlatformError(f"{path}: more than {MAX_PAGES} pages")

    def watch(
        self,
        kind: str,
        position: store_views.Position,
        wait_seconds: float,
    ) -> WatchResult:
        """Waits for changes after a position.

        Args:
            kind: Kind of the objects.
            position: Position after which changes are returned.
            wait_seconds: The longest wait for a change.

        Raises:
            errors.HistoryExpiredError: The store has discarded these changes.
            errors.HistoryReplacedError: The store has come back from an older
                copy since the position. Its revision numbers are given out
                again, so that changes before the position may be unknown.
            errors.PlatformError: The response is unexpected or malformed.
        """
        if position.era != self.era:
            raise errors.HistoryReplacedError(
                f"{kind}: era {self.era} follows {position.era}"
            )
        query = urllib.parse.urlencode(
            {
                "watch": position.revision,
                "wait-ms": int(wait_seconds * 1000),
            }
        )
        path = f"{_kind_path(kind)}?{query}"
        response = self._get(
            self.watch_pools.get(kind, self.http),
            path,
            wait_seconds + WATCH_SLACK_SECONDS,
        )
        if response.era != position.era:
            raise errors.HistoryReplacedError(
                f"{kind}: era {response.era} follows {position.era}"
            )
        if response.status == 410:
            raise errors.HistoryExpiredError(
                f"{kind}: no history since revision {position.revision}"
            )
        if response.status != 200:
            raise errors.PlatformError(f"{path}: status {response.status}")
        page = response.content
        try:
            changes = [
                ObjectChange(event["object"], bool(event["removed"]))
                for event in page["events"]
            ]
            position = position._replace(revision=int(page["as-of"]))
            return WatchResult(changes, position)
        except (KeyError, TypeError, ValueError) as error:
            raise errors.PlatformError(f"{path}: {error!r}") from error

    def end_watch(self, kind: str) -> None:
        """Makes a watch in progress in another thread fail at once."""
        self.watch_pools[kind].end_calls()

    def create(self, kind: str, name: str, spec: Any) -> None:
        """Creates an object, unless there is one of this name.

        Raises:
            errors.PlatformError: The response is unexpected.
        """
        content = {"metadata": {"name": name}, "spec": spec}
        path = _kind_path(kind)
        response = self._call(
            self.http, "POST", path, RESPONSE_TIMEOUT_SECONDS, content
        )
        if response.status not in (200, 201, 409):
            raise errors.PlatformError(f"{path}: status {response.status}")

    def delete(self, kind: str, name: str) -> None:
        """Deletes an object, if there is one of this name.

        Raises:
            errors.PlatformError: The response is unexpected.
        """
        path = f"{_kind_path(kind)}/{urllib.parse.quote(name, safe='')}"
        response = self._call(
            self.http, "DELETE", path, RESPONSE_TIMEOUT_SECONDS
        )
        if response.status not in (200, 202, 204, 404):
            raise errors.PlatformError(f"{path}: status {response.status}")

    def _get(
        self,
        pool: bounded_http.BoundedPool,
        path: str,
        timeout_seconds: float,
    ) -> _Response:
        return self._call(pool, "GET", path, timeout_seconds)

    def _call(
        self,
        pool: bounded_http.BoundedPool,
        method: str,
        path: str,
        timeout_seconds: float,
        content: Any = None,
    ) -> _Response:
        self.call_count += 1
        headers = {}
        body = None
        if content is not None:
            body = json.dumps(content).encode()
            headers["Content-Type"] = "application/json"
        try:
            response = pool.request(
                method,
                path,
                body=body,
                headers=headers,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_SECONDS, read=timeout_seconds
                ),
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise errors.PlatformUnavailableError(
                f"cannot reach the store: {error}"
            ) from error
        era = self._check_era(response.headers.get(wire.STORE_ERA, ""))
        if response.status in (429, 500, 503):
            raise errors.PlatformUnavailableError(
                f"the store responded with status {response.status}"
            )
        if response.status != 200 or method != "GET":
            return _Response(response.status, None, era)
        try:
            return _Response(200, lenient_json.decode(response.data), era)
        except ValueError as error:
            raise errors.PlatformUnavailableError(
                f"cannot decode a response of the store: {error}"
            ) from error

    def _check_era(self, text: str) -> int:
        """Compares the era of a response with the known one.

        A response without a valid era counts as one of the known era.

        Returns:
            The current era.

        Raises:
            errors.PlatformUnavailableError: The response is of an older era.
        """
        stated = wire.decode_era(text)
        with self._lock:
            known = self.era
            if (stated >= 0) is not self._states_era:
                self._states_era = stated >= 0
                if stated < 0 <= known:
                    _LOG.warning("store_era_unreadable", extra={"era": text})
            if 0 <= stated < known:
                self._older_responses += 1
                if self._older_responses < MAX_OLDER_RESPONSES:
                    raise errors.PlatformUnavailableError(
                        f"a response of era {stated} came after era {known}"
                    )
            self._older_responses = 0
            if stated in (-1, known):
                return known
            self.era = stated
        if known >= 0:
            _LOG.warning(
                "store_era_changed",
                extra={"era": stated, "replaced_era": known},
            )
            self.on_restored(stated)
            for pool in (self.http, *self.watch_pools.values()):
                pool.end_calls()
        return stated


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

    def set_restore_callback(self, callback: Callable[[int], None]) -> None:
        """Sets what is called when the store came back from an older copy.

        Args:
            callback: Gets the new era, once.
        """
        self.client.on_restored = callback

    def read_configuration(
        self, timeout_seconds: float = RESPONSE_TIMEOUT_SECONDS
    ) -> fleet_state_source.ConfigurationUpdate:
        """Returns the current configuration."""
        listing = self.client.list(CONFIGURATION_KIND, timeout_seconds)
        return fleet_state_source.ConfigurationUpdate(
            _newest_configuration(listing.objects), listing.position
        )

    def watch_configuration(
        self, position: store_views.Position, wait_seconds: float
    ) -> fleet_state_source.ConfigurationUpdate:
        """Waits for a change of the configuration after a position."""
        result = self.client.watch(CONFIGURATION_KIND, position, wait_seconds)
        objects = [c.content for c in result.changes if not c.is_removed]
        return fleet_state_source.ConfigurationUpdate(
            _newest_configuration(objects),
            result.position,
            tuple(_decode_revisions(objects)),
        )

    def end_watch(self, subject: str) -> None:
        """Makes a watch of a subject in another thread fail at once."""
        self.client.end_watch(_KIND_BY_SUBJECT[subject])

    def list_targets(self) -> fleet_state_source.TargetUpdate:
        """Returns all current targets."""
        listing = self.client.list(TARGET_KIND)
        events = [_decode_target_event(item, False) for item in listing.objects]
        return fleet_state_source.TargetUpdate(
            tuple(event for event in events if event),
            listing.position,
            tuple(_decode_revisions(listing.objects)),
        )

    def watch_targets(
        self, position: store_views.Position, wait_seconds: float
    ) -> fleet_state_source.TargetUpdate:
        """Waits for changes of the targets after a position."""
        result = self.client.watch(TARGET_KIND, position, wait_seconds)
        events = [
            _decode_target_event(change.content, change.is_removed)
            for change in result.changes
        ]
        objects = [c.content for c in result.changes if not c.is_removed]
        return fleet_state_source.TargetUpdate(
            tuple(event for event in events if event),
            result.position,
            tuple(_decode_revisions(objects)),
        )


class QuarantineObjects:
    """Quarantines as objects of a kind of their own.

    The names of the objects are BLAKE2b hashes (RFC 7693) of the traits.

    Attributes:
        client: Client of the store.
    """

    def __init__(self, client: StoreClient) -> None:
        self.client = client

    def read_all(self) -> list[quarantine_store.StoredQuarantine]:
        """Returns all quarantines; entries that cannot be read are left out."""
        listing = self.client.list(QUARANTINE_KIND)
        decoded = map(_decode_quarantine, listing.objects)
        return [quarantine for quarantine in decoded if quarantine is not None]

    def write(self, quarantine: quarantine_store.StoredQuarantine) -> None:
        """Stores a quarantine, unless its traits are stored already."""
        spec = {
            "traits": list(quarantine.traits),
            "ends-at-ms": quarantine.ends_at_ms,
            "failed-trials": quarantine.failed_trials,
        }
        name = _make_quarantine_name(quarantine.traits)
        self.client.create(QUARANTINE_KIND, name, spec)

    def remove(self, traits: tuple[str, ...]) -> None:
        """Removes the quarantine of traits; does nothing if there is none."""
        self.client.delete(QUARANTINE_KIND, _make_quarantine_name(traits))

    def get_era(self) -> int:
        """Returns a number that rises when older content has come back."""
        return self.client.era


def _make_quarantine_name(traits: Iterable[str]) -> str:
    digest = hashlib.blake2b(digest_size=OBJECT_NAME_BYTES)
    digest.update(json.dumps(sorted(traits)).encode())
    return digest.hexdigest()


def _decode_quarantine(
    item: Any,
) -> quarantine_store.StoredQuarantine | None:
    try:
        name = item["metadata"]["name"]
        traits = item["spec"]["traits"]
        ends_at_ms = item["spec"]["ends-at-ms"]
        failed_trials = item["spec"]["failed-trials"]
    except (KeyError, TypeError):
        name = traits = ends_at_ms = failed_trials = None
    if (
        not isinstance(traits, list)
        or not traits
        or not all(isinstance(trait, str) and trait for trait in traits)
        or not all(isinstance(n, int) for n in (ends_at_ms, failed_trials))
        or name != _make_quarantine_name(traits)
    ):
        _LOG.warning("quarantine_unreadable", extra={"object": repr(name)})
        return None
    return quarantine_store.StoredQuarantine(
        tuple(sorted(traits)), ends_at_ms, failed_trials
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


def _decode_revisions(objects: list[Any]) -> Iterator[int]:
    """Yields the revisions that objects state."""
    for item in objects:
        try:
            revision = item["metadata"]["revision"]
        except (KeyError, TypeError):
            continue
        if isinstance(revision, int) and not isinstance(revision, bool):
            yield revision


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
    revision = next(_decode_revisions([item]), -1)
    if is_removed:
        return fleet_state_source.TargetEvent(
            name, None, True, revision=revision
        )
    target = wire.decode_target(item)
    if target is None:
        _LOG.warning("target_entry_unreadable", extra={"target": name})
    return fleet_state_source.TargetEvent(
        name,
        target,
        False,
        wire.decode_cold_seconds(item),
        revision,
    )


def _make_pool(address: str) -> bounded_http.BoundedPool:
    host, _, port = address.rpartition(":")
    return bounded_http.BoundedPool(
        host,
        int(port),
        maxsize=MAX_CONNECTIONS,
        retries=False,
        socket_options=_SOCKET_OPTIONS,
    )


def _kind_path(kind: str) -> str:
    return f"/api/objects/{kind}"
