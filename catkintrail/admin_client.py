"""The operator's client of the administration API."""

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
    """The administration API refused a call or does not answer.

    Attributes:
        status: HTTP status; 0 without an answer.
    """

    def __init__(self, message: str, status: int) -> None:
        self.status = status
        super().__init__(message)


class PlannedEdit(NamedTuple):
    """One object that a document changes.

    Attributes:
        edit: The edit.
        before: The content in force.
    """

    edit: publication.Edit
    before: dict[str, Any] | None


class AdminClient:
    """Calls the administration API of one instance.

    Attributes:
        url: Base URL of the instance.
    """

    def __init__(self, url: str, key: str, authority: str = "") -> None:
        self.url = url.rstrip("/")
        self.key = key
        self.http = urllib3.PoolManager(
            retries=False, ca_certs=authority or None
        )

    def read_objects(self) -> dict[str, Any]:
        """Returns the generation, the objects and their digests."""
        return self._call("GET", "/admin/objects")

    def read_history(self, limit: int) -> list[dict[str, Any]]:
        """Returns the newest accepted changes, newest first."""
        return self._call("GET", f"/admin/history?limit={limit}")["changes"]

    def read_status(self) -> dict[str, Any]:
        """Returns the instance's status."""
        return self._call("GET", "/admin/status")

    def drain(self) -> None:
        """Tells the instance to drain and stop."""
        self._call("POST", "/admin/drain", {})

    def plan(
        self, data: dict[str, Any], source: str, prune: bool
    ) -> list[PlannedEdit]:
        """Compares a document with the objects in force.

        Args:
            data: Objects by kind and name.
            source: The document's name, for messages.
            prune: Whether objects that the document lacks are deleted.

        Returns:
            The edits that make the objects equal to the document.

        Raises:
            errors.CheckError: The document alone has mistakes of form.
        """
        wanted = _normalise(data, source)
        current = self.read_objects()["objects"]
        planned = []
        for kind in objects.KINDS:
            names = set(wanted.get(kind, {}))
            if prune:
                names |= set(current[kind])
            for name in sorted(names):
                before = current[kind].get(name)
                after = wanted.get(kind, {}).get(name)
                if before != after:
                    base = publication.digest_of(before)
                    edit = publication.Edit(kind, name, after, base)
                    planned.append(PlannedEdit(edit, before))
        return planned

    def change(self, edits: list[publication.Edit]) -> dict[str, Any]:
        """Publishes edits; returns the generation that they made."""
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
                f"{self.url} is not a catkintrail instance", response.status
            ) from error
        if response.status >= 300:
            raise AdminError(_describe(data), response.status)
        return data


def format_diff(planned: list[PlannedEdit]) -> str:
    """Returns planned edits as a unified diff."""
    lines: list[str] = []
    for edit, before in planned:
        name = f"{edit.kind}.{edit.name}"
        lines += difflib.unified_diff(
            _pretty(before),
            _pretty(edit.value),
            f"in force: {name}",
            f"wanted: {name}",
            lineterm="",
        )
    return "\n".join(lines)


def _normalise(data: dict[str, Any], source: str) -> dict[str, Any]:
    """Fills in the defaults, as the objects in force have them.

    References to objects that are only in force are left to the instance.
    """
    mistakes: list[errors.Mistake] = []
    normal = objects.normalise(data, mistakes)
    if mistakes:
        raise errors.CheckError(source, mistakes)
    return normal


def _pretty(value: dict[str, Any] | None) -> list[str]:
    if value is None:
        return []
    return json.dumps(value, indent=2, sort_keys=True).splitlines()


def _describe(data: dict[str, Any]) -> str:
    error = data.get("error", {})
    lines = [str(error.get("message", data))]
    for mistake in error.get("mistakes", ()):
        lines.append(f"  {mistake['path']}: {mistake['message']}")
    return "\n".join(lines)
