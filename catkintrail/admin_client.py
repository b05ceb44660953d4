"""Client of the administration API, for operators."""

import difflib
import json
from typing import Any, NamedTuple

import msgspec
import urllib3

from catkintrail import errors
from catkintrail import objects
from catkintrail.core import publication

__all__ = ["AdminClient", "AdminError", "PlannedEdit", "format_diff"]

TIMEOUT_SECONDS = 10.0


class AdminError(errors.CatkintrailError):
    """A call to the administration API failed.

    Attributes:
        status: HTTP status code; 0 if the instance did not respond.
    """

    def __init__(self, message: str, status: int) -> None:
        self.status = status
        super().__init__(message)


class PlannedEdit(NamedTuple):
    """An edit that makes a published object equal to a document's.

    Attributes:
        edit: The edit.
        current: Published content of the object; None if it does not exist.
    """

    edit: publication.Edit
    current: dict[str, Any] | None


class AdminClient:
    """Calls the administration API of one instance.

    All methods that send a request raise `AdminError` if it fails.

    Attributes:
        url: Base URL of the instance.
        key: API key with the operator or viewer role.
        http: Connection pool; verifies TLS certificates against the CA
            certificate at the path `authority`, if one is given.
    """

    def __init__(self, url: str, key: str, authority: str = "") -> None:
        self.url = url.rstrip("/")
        self.key = key
        self.http = urllib3.PoolManager(
            retries=False, ca_certs=authority or None
        )

    def read_objects(self) -> dict[str, Any]:
        """Returns the published objects, their generation and digests."""
        return self._call("GET", "/admin/objects")

    def read_history(self, limit: int) -> list[dict[str, Any]]:
        """Returns the newest accepted changes, newest first."""
        return self._call("GET", f"/admin/history?limit={limit}")["changes"]

    def read_status(self) -> dict[str, Any]:
        """Returns the status of the instance."""
        return self._call("GET", "/admin/status")

    def drain(self) -> None:
        """Makes the instance finish its requests and stop."""
        self._call("POST", "/admin/drain", {})

    def plan_edits(
        self, data: dict[str, Any], source: str, prune: bool
    ) -> list[PlannedEdit]:
        """Compares a document with the published objects.

        Args:
            data: Objects by kind and name.
            source: Name of the document, for error messages.
            prune: Whether to delete published objects that are missing from
                the document.

        Returns:
            The edits that make the published objects equal to the document.

        Raises:
            AdminError: The published objects cannot be read.
            errors.CheckError: An object in the document is invalid.
        """
        wanted = _normalise(data, source)
        published = self.read_objects()["objects"]
        planned_edits = []
        for kind in objects.KINDS:
            names = set(wanted.get(kind, {}))
            if prune:
                names |= set(published[kind])
            for name in sorted(names):
                current = published[kind].get(name)
                new_value = wanted.get(kind, {}).get(name)
                if current != new_value:
                    base = publication.object_digest(current)
                    edit = publication.Edit(kind, name, new_value, base)
                    planned_edits.append(PlannedEdit(edit, current))
        return planned_edits

    def publish_edits(self, edits: list[publication.Edit]) -> dict[str, Any]:
        """Publishes edits; returns the response, with the new generation."""
        body = {"edits": [edit._asdict() for edit in edits]}
        return self._call("POST", "/admin/changes", body)

    def _call(self, method: str, path: str, body: Any = None) -> Any:
        try:
            response = self.http.request(
                method,
                self.url + path,
                body=None if body is None else msgspec.json.encode(body),
                headers={"Authorization": f"Bearer {self.key}"},
                timeout=TIMEOUT_SECONDS,
            )
        except urllib3.exceptions.HTTPError as error:
            raise AdminError(
                f"{self.url} does not answer: {error}", 0
            ) from error
        try:
            data = msgspec.json.decode(response.data)
        except msgspec.DecodeError as error:
            raise AdminError(
                f"the response of {self.url} is not JSON", response.status
            ) from error
        if response.status >= 300:
            raise AdminError(_format_error(data), response.status)
        return data


def format_diff(planned_edits: list[PlannedEdit]) -> str:
    """Returns planned edits as a unified diff."""
    lines: list[str] = []
    for edit, current in planned_edits:
        name = f"{edit.kind}.{edit.name}"
        lines += difflib.unified_diff(
            _format_object(current),
            _format_object(edit.value),
            f"in force: {name}",
            f"wanted: {name}",
            lineterm="",
        )
    return "\n".join(lines)


def _normalise(data: dict[str, Any], source: str) -> dict[str, Any]:
    """Fills in default values, which published objects also contain.

    References are checked by the instance, because a document may refer to
    published objects that it does not contain.
    """
    mistakes: list[errors.Mistake] = []
    normalised = objects.normalise(data, mistakes)
    if mistakes:
        raise errors.CheckError(source, mistakes)
    return normalised


def _format_object(value: dict[str, Any] | None) -> list[str]:
    if value is None:
        return []
    return json.dumps(value, indent=2, sort_keys=True).splitlines()


def _format_error(data: dict[str, Any]) -> str:
    error = data.get("error", {})
    lines = [str(error.get("message", data))]
    for mistake in error.get("mistakes", ()):
        lines.append(f"  {mistake['path']}: {mistake['message']}")
    return "\n".join(lines)
