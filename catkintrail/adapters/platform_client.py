"""The platform port over HTTP; the protocol is in docs/STANDINS.md."""

from typing import Any
import urllib.parse

import msgspec
import urllib3

from catkintrail import errors
from catkintrail import messages
from catkintrail.ports import platform as platform_port

__all__ = ["PlatformClient"]

MAX_CONNECTIONS = 32
WATCH_SLACK_SECONDS = 2.0


class PlatformClient:
    """Calls the platform's object API.

    Attributes:
        url: Base URL.
        timeout_seconds: The longest wait for one answer.
    """

    def __init__(self, url: str, timeout_seconds: float) -> None:
        self.url = url.rstrip("/")
        self.timeout_seconds = timeout_seconds
        self.http = urllib3.PoolManager(maxsize=MAX_CONNECTIONS, retries=False)

    def read(self, name: str) -> platform_port.Stored | None:
        """Returns an object; None where there is none."""
        response = self._call("GET", self._object(name))
        if response.status == 404:
            return None
        self._expect(response, name, 200)
        return platform_port.Stored(_version(response), response.data)

    def write(self, name: str, value: bytes, expected_version: int) -> int:
        """Writes an object that is at a version; returns the new one."""
        response = self._call(
            "PUT", self._object(name), value, expected_version
        )
        self._expect(response, name, 200)
        return _version(response)

    def delete(self, name: str, expected_version: int) -> None:
        """Deletes an object that is at a version."""
        response = self._call(
            "DELETE", self._object(name), None, expected_version
        )
        self._expect(response, name, 200)

    def list_names(self, prefix: str, limit: int) -> list[str]:
        """Returns the last `limit` names that start with a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix, "limit": limit})
        response = self._call("GET", f"/objects?{query}")
        self._expect(response, prefix, 200)
        return _json(response, list[str])

    def watch(self, name: str, after_version: int, seconds: float) -> int:
        """Waits until an object's version is above one, or time is up."""
        query = urllib.parse.urlencode(
            {"name": name, "after": after_version, "seconds": seconds}
        )
        response = self._call(
            "GET", f"/watch?{query}", timeout=seconds + WATCH_SLACK_SECONDS
        )
        self._expect(response, name, 200)
        return _json(response, int)

    def list_targets(self) -> platform_port.TargetListing:
        """Returns the list of live and leaving targets."""
        response = self._call("GET", "/targets")
        self._expect(response, "targets", 200)
        revision, records = _json(response, tuple[int, list[list[Any]]])
        targets = tuple(
            msgspec.convert(record, messages.TargetRecord) for record in records
        )
        return platform_port.TargetListing(revision, targets)

    def _object(self, name: str) -> str:
        return f"/objects/{urllib.parse.quote(name)}"

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        version: int | None = None,
        timeout: float | None = None,
    ) -> urllib3.BaseHTTPResponse:
        headers = {}
        if version is not None:
            headers["If-Match"] = str(version)
        try:
            response = self.http.request(
                method,
                self.url + path,
                body=body,
                headers=headers,
                timeout=timeout or self.timeout_seconds,
            )
        except urllib3.exceptions.HTTPError as error:
            raise errors.PlatformUnavailableError(
                f"the platform does not answer: {error}"
            ) from error
        if response.status >= 500:
            raise errors.PlatformUnavailableError(
                f"the platform answers with status {response.status}"
            )
        return response

    def _expect(
        self, response: urllib3.BaseHTTPResponse, name: str, status: int
    ) -> None:
        if response.status == 409:
            raise errors.ConflictError(name, _version(response))
        if response.status != status:
            raise errors.PlatformError(
                f"{name}: the platform answers {response.status}"
            )


def _version(response: urllib3.BaseHTTPResponse) -> int:
    text = response.headers.get("ETag", "")
    if not text.isdigit():
        raise errors.PlatformUnavailableError("an answer has no version")
    return int(text)


def _json(response: urllib3.BaseHTTPResponse, kind: type) -> Any:
    try:
        return msgspec.json.decode(response.data, type=kind)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise errors.PlatformUnavailableError(
            f"an answer cannot be read: {error}"
        ) from error
