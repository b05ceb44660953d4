"""HTTP client of the platform; docs/STANDINS.md specifies the protocol."""

from typing import Any
import urllib.parse

import msgspec
import urllib3

from catkintrail import errors
from catkintrail import messages
from catkintrail.adapters import strict_http
from catkintrail.ports import platform as platform_port

__all__ = ["PlatformClient"]

MAX_CONNECTIONS = 32
WATCH_TIMEOUT_MARGIN_SECONDS = 2.0


class PlatformClient:
    """Implements the platform port over the platform's object API.

    Attributes:
        url: Base URL.
        timeout_seconds: Timeout of each call, except watches.
        http: Connection pool; makes no retries.
    """

    def __init__(self, url: str, timeout_seconds: float) -> None:
        self.url = url.rstrip("/")
        self.timeout_seconds = timeout_seconds
        self.http = strict_http.make_pool_manager(MAX_CONNECTIONS)

    def read(self, name: str) -> platform_port.Stored | None:
        """Returns an object; None if it does not exist."""
        response = self._call("GET", self._object_path(name))
        if response.status == 404:
            return None
        self._check_status(response, name, 200)
        return platform_port.Stored(_read_version(response), response.data)

    def write(self, name: str, value: bytes, expected_version: int) -> int:
        """Writes an object if it has the expected version; see the port."""
        response = self._call(
            "PUT", self._object_path(name), value, expected_version
        )
        self._check_status(response, name, 200)
        return _read_version(response)

    def delete(self, name: str, expected_version: int) -> None:
        """Deletes an object if it has the expected version."""
        response = self._call(
            "DELETE", self._object_path(name), None, expected_version
        )
        self._check_status(response, name, 200)

    def list_names(self, prefix: str, limit: int) -> list[str]:
        """Returns the last `limit` names with a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix, "limit": limit})
        response = self._call("GET", f"/objects?{query}")
        self._check_status(response, prefix, 200)
        return _decode_json(response, list[str])

    def watch(self, name: str, after_version: int, seconds: float) -> int:
        """Waits for a version above `after_version`; returns the version."""
        query = urllib.parse.urlencode(
            {"name": name, "after": after_version, "seconds": seconds}
        )
        response = self._call(
            "GET",
            f"/watch?{query}",
            timeout=seconds + WATCH_TIMEOUT_MARGIN_SECONDS,
        )
        self._check_status(response, name, 200)
        return _decode_json(response, int)

    def list_targets(self) -> platform_port.TargetListing:
        """Returns the list of live and leaving targets."""
        response = self._call("GET", "/targets")
        self._check_status(response, "targets", 200)
        revision, records = _decode_json(response, tuple[int, list[list[Any]]])
        targets = tuple(
            msgspec.convert(record, messages.TargetRecord) for record in records
        )
        return platform_port.TargetListing(revision, targets)

    def _object_path(self, name: str) -> str:
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
                f"no response from the platform: {error}"
            ) from error
        if response.status >= 500:
            raise errors.PlatformUnavailableError(
                f"the platform returned status {response.status}"
            )
        return response

    def _check_status(
        self, response: urllib3.BaseHTTPResponse, name: str, status: int
    ) -> None:
        if response.status == 409:
            raise errors.ConflictError(name, _read_version(response))
        if response.status != status:
            raise errors.PlatformError(
                f"{name}: the platform returned status {response.status}"
            )


def _read_version(response: urllib3.BaseHTTPResponse) -> int:
    text = response.headers.get("ETag", "")
    if not text.isascii() or not text.isdigit():
        raise errors.PlatformUnavailableError(
            "response of the platform has no version"
        )
    return int(text)


def _decode_json(response: urllib3.BaseHTTPResponse, result_type: type) -> Any:
    try:
        return msgspec.json.decode(response.data, type=result_type)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise errors.PlatformUnavailableError(
            f"invalid response of the platform: {error}"
        ) from error
