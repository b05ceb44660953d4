"""HTTP client of targets; docs/STANDINS.md specifies the protocol.

Each call opens its own connection, which distinguishes a failure before the
first byte is sent (verdict `not_run`) from a later one (`may_have_run`).
"""

import http.client
import time
from typing import Any, Iterator, TypedDict

import msgspec
import urllib3
from urllib3 import connection as connections

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.adapters import strict_http
from catkintrail.core import attempts
from catkintrail.core import prefix_index
from catkintrail.core import target_state
from catkintrail.ports import targets as targets_port

__all__ = ["TargetClient"]

CONNECT_TIMEOUT_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 2.0
MAX_RESPONSE_BYTES = 16 << 20
MAX_EVENT_LINE_BYTES = 1 << 20
# The socket timeout follows the remaining time in steps, not with every chunk.
TIMEOUT_UPDATE_SECONDS = 0.2
VERDICT_HEADER = "X-Verdict"
REASON_HEADER = "X-Reason"
LEAVING_REASON = "leaving"
BODYLESS_STATUSES = (204, 304)

_TRANSPORT_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


class TargetClient:
    """Implements the targets port over HTTP."""

    def generate(
        self,
        address: str,
        call: targets_port.GenerateCall,
        timeout: float,
    ) -> Iterator[attempts.Chunk]:
        """Streams a completion from an engine; see the port."""
        connection = _connect(address)
        try:
            response = _send(
                connection,
                "POST",
                "/v1/generate",
                _generate_body(call),
                {"Content-Type": "application/json"},
                timeout,
            )
            if response.status != 200:
                raise _refusal_error(response)
            yield from _read_chunks(connection, response, timeout)
        finally:
            connection.close()

    def cancel(self, address: str, attempt_id: str) -> None:
        """Cancels an attempt on an engine."""
        self._call_json(
            address, "POST", "/v1/cancel", {"attempt_id": attempt_id}
        )

    def call(
        self, address: str, call: targets_port.ServiceCall, timeout: float
    ) -> targets_port.CallAnswer:
        """Calls a plain service and reads the whole response."""
        connection = _connect(address)
        try:
            headers = {**call.headers, "X-Attempt-Id": call.attempt_id}
            response = _send(
                connection,
                call.method,
                call.path,
                call.body,
                headers,
                timeout,
            )
            body = _read_all(response)
            stated_verdict = response.headers.get(VERDICT_HEADER, "")
            if response.status >= 500:
                raise _refusal_error(response, body)
            if stated_verdict == verdicts.Verdict.NOT_RUN.value:
                raise _refusal_error(response, body)
            content_type = response.headers.get("Content-Type", "")
            return targets_port.CallAnswer(response.status, content_type, body)
        finally:
            connection.close()

    def reserve(
        self,
        address: str,
        reservation_id: str,
        holder: str,
        tokens: int,
        expires_in: float,
    ) -> None:
        """Reserves KV memory on an engine.

        Args:
            address: The engine's `IP:port`.
            reservation_id: Id of the reservation.
            holder: Name of the instance that reserves.
            tokens: KV tokens.
            expires_in: Seconds until the deadline of the request.
        """
        self._call_json(
            address,
            "POST",
            "/v1/reserve",
            {
                "reservation_id": reservation_id,
                "holder": holder,
                "tokens": tokens,
                "expires_in": expires_in,
            },
        )

    def free(
        self, address: str, reservation_id: str, cancel: bool = False
    ) -> None:
        """Frees a reservation; does nothing if the engine does not know it.

        Args:
            address: The engine's `IP:port`.
            reservation_id: Id of the reservation.
            cancel: Whether to cancel the request that uses it first.
        """
        self._call_json(
            address,
            "POST",
            "/v1/free",
            {"reservation_id": reservation_id, "cancel": cancel},
        )

    def read_load(
        self, address: str, target: str, after: int
    ) -> targets_port.LoadAnswer:
        """Returns a target's load, and cache events after a sequence number."""
        data = self._call_json(address, "GET", f"/load?after={after}", None)
        report = {**data, "target": target}
        return targets_port.LoadAnswer(
            _to_named_tuple(report, target_state.LoadReport),
            tuple(
                _to_named_tuple(record, targets_port.ReservationRecord)
                for record in data.get("reservations", ())
            ),
            tuple(
                _to_named_tuple(event, prefix_index.CacheEvent)
                for event in data.get("events", ())
            ),
            str(data.get("version", "")),
        )

    def order(
        self, address: str, order: targets_port.Order
    ) -> targets_port.OrderState:
        """Sends an order to an engine; returns its state afterwards."""
        data = self._call_json(address, "POST", "/v1/orders", order._asdict())
        return _to_named_tuple(data, targets_port.OrderState)

    def _call_json(
        self, address: str, method: str, path: str, data: Any
    ) -> Any:
        """Makes a short call; request and response are JSON."""
        connection = _connect(address)
        try:
            body = None if data is None else msgspec.json.encode(data)
            response = _send(
                connection,
                method,
                path,
                body,
                {"Content-Type": "application/json"},
                CONTROL_TIMEOUT_SECONDS,
            )
            content = _read_all(response)
            if response.status != 200:
                raise _refusal_error(response, content)
            return msgspec.json.decode(content)
        except msgspec.DecodeError as error:
            raise _may_have_run_error(
                f"{address}: response is not JSON"
            ) from error
        finally:
            connection.close()


def _connect(address: str) -> connections.HTTPConnection:
    host, _, port = address.rpartition(":")
    connection = strict_http.StrictConnection(
        host, int(port), timeout=CONNECT_TIMEOUT_SECONDS
    )
    try:
        connection.connect()
    except _TRANSPORT_ERRORS as error:
        connection.close()
        raise errors.TargetError(
            f"cannot connect to {address}: {error}",
            verdicts.Verdict.NOT_RUN,
        ) from error
    return connection


def _send(
    connection: connections.HTTPConnection,
    method: str,
    path: str,
    body: bytes | None,
    headers: dict[str, str],
    timeout: float,
) -> urllib3.BaseHTTPResponse:
    try:
        connection.sock.settimeout(max(0.001, timeout))
        connection.timeout = max(0.001, timeout)
        connection.request(method, path, body, headers, preload_content=False)
        response = connection.getresponse()
    except _TRANSPORT_ERRORS as error:
        raise _may_have_run_error(
            f"{connection.host}:{connection.port}: {error}"
        ) from error
    if response.status not in verdicts.FINAL_STATUSES:
        raise _may_have_run_error(f"{response.status} is no valid status")
    return response


def _read_all(response: urllib3.BaseHTTPResponse) -> bytes:
    try:
        body = response.read(MAX_RESPONSE_BYTES + 1)
    except _TRANSPORT_ERRORS as error:
        raise _may_have_run_error(f"response was cut off: {error}") from error
    if len(body) > MAX_RESPONSE_BYTES:
        raise _may_have_run_error("response is too long")
    length = response.headers.get("Content-Length", "")
    if length.isascii() and length.isdigit():
        if len(body) < int(length):
            raise _may_have_run_error(
                "response is shorter than its Content-Length"
            )
    elif "chunked" not in response.headers.get("Transfer-Encoding", ""):
        # With neither header, a response cut within the headers would look
        # like an empty one.
        if response.status not in BODYLESS_STATUSES:
            raise _may_have_run_error(
                "response has neither Content-Length nor chunked encoding"
            )
    return body


def _read_chunks(
    connection: connections.HTTPConnection,
    response: urllib3.BaseHTTPResponse,
    timeout: float,
) -> Iterator[attempts.Chunk]:
    deadline = time.monotonic() + timeout
    buffer = b""
    socket_timeout = timeout
    try:
        for data_chunk in response.read_chunked():
            buffer += data_chunk
            if len(buffer) > MAX_EVENT_LINE_BYTES:
                raise _may_have_run_error("line of the response is too long")
            *lines, buffer = buffer.split(b"\n")
            for line in lines:
                if line.startswith(b"data: "):
                    yield _parse_chunk(line[6:])
            remaining_seconds = deadline - time.monotonic()
            if remaining_seconds <= 0:
                raise _may_have_run_error("deadline passed during the response")
            if (
                connection.sock
                and socket_timeout - remaining_seconds > TIMEOUT_UPDATE_SECONDS
            ):
                socket_timeout = remaining_seconds
                connection.sock.settimeout(remaining_seconds)
    except _TRANSPORT_ERRORS as error:
        raise _may_have_run_error(f"response was cut off: {error}") from error


class _ChunkData(TypedDict):
    """JSON form of `attempts.Chunk`."""

    attempt_id: str
    offset: int
    tokens: int
    text: str
    end: bool


_CHUNK_DECODER = msgspec.json.Decoder(_ChunkData)


def _parse_chunk(line: bytes) -> attempts.Chunk:
    try:
        data = _CHUNK_DECODER.decode(line)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise _may_have_run_error(f"invalid chunk: {error}") from error
    return attempts.Chunk(**data)


def _generate_body(call: targets_port.GenerateCall) -> bytes:
    head = msgspec.json.encode(
        {
            "attempt_id": call.attempt_id,
            "model": call.model,
            "max_tokens": call.max_tokens,
            "priority": call.priority,
            "offset": call.offset,
            "group": call.group,
            "timeout_seconds": call.timeout_seconds,
        }
    )
    # The caller's body is embedded as received, without parsing it again.
    return head[:-1] + b',"request":' + call.body + b"}"


def _to_named_tuple(data: Any, tuple_type: type) -> Any:
    """Converts a dictionary of fields to a NamedTuple of a type."""
    try:
        values = [data[name] for name in tuple_type._fields]
        return msgspec.convert(values, tuple_type)
    except (KeyError, TypeError, msgspec.ValidationError) as error:
        raise _may_have_run_error(f"invalid response: {error}") from error


def _refusal_error(
    response: urllib3.BaseHTTPResponse, body: bytes | None = None
) -> errors.TargetError:
    """Returns the error for a response that refuses the request.

    The verdict is `not_run` only if the target's verdict header states so.
    """
    if body is None:
        try:
            body = response.read(1 << 16)
        except _TRANSPORT_ERRORS:
            body = b""
    stated_verdict = response.headers.get(VERDICT_HEADER, "")
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    if stated_verdict == verdicts.Verdict.NOT_RUN.value:
        verdict = verdicts.Verdict.NOT_RUN
    text = body[:200].decode("utf-8", "replace").strip()
    is_leaving = response.headers.get(REASON_HEADER, "") == LEAVING_REASON
    return errors.TargetError(
        f"status {response.status}: {text}", verdict, is_leaving
    )


def _may_have_run_error(message: str) -> errors.TargetError:
    return errors.TargetError(message, verdicts.Verdict.MAY_HAVE_RUN)
