"""The targets port over HTTP; the protocol is in docs/STANDINS.md.

Each call opens its own connection. So a failure before the first byte is told
apart from one after it: the former is `not_run`, the latter `may_have_run`.
"""

import http.client
import time
from typing import Any, Iterator, TypedDict

import msgspec
import urllib3
from urllib3 import connection as connections

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.core import attempts
from catkintrail.core import prefix_index
from catkintrail.core import target_state
from catkintrail.ports import targets as targets_port

__all__ = ["TargetClient"]

CONNECT_TIMEOUT_SECONDS = 1.0
CONTROL_TIMEOUT_SECONDS = 2.0
MAX_ANSWER_BYTES = 16 << 20
MAX_LINE_BYTES = 1 << 20
# The socket's timeout follows the deadline in steps, not with every chunk.
TIMEOUT_STEP_SECONDS = 0.2
VERDICT_HEADER = "X-Verdict"
REASON_HEADER = "X-Reason"
LEAVING = "leaving"
EMPTY_STATUSES = (204, 304)

_FAILURES = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


class TargetClient:
    """Calls engines and services over HTTP."""

    def generate(
        self,
        address: str,
        call: targets_port.GenerateCall,
        timeout: float,
    ) -> Iterator[attempts.Chunk]:
        """Streams a completion."""
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
                raise _refused(response)
            yield from _read_chunks(connection, response, timeout)
        finally:
            connection.close()

    def cancel(self, address: str, attempt_id: str) -> None:
        """Ends an attempt on an engine."""
        self._control(address, "POST", "/v1/cancel", {"attempt_id": attempt_id})

    def call(
        self, address: str, call: targets_port.ServiceCall, timeout: float
    ) -> targets_port.CallAnswer:
        """Calls a plain service."""
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
            said = response.headers.get(VERDICT_HEADER, "")
            if response.status >= 500:
                raise _refused(response, body)
            if said == verdicts.Verdict.NOT_RUN.value:
                raise _refused(response, body)
            kind = response.headers.get("Content-Type", "")
            return targets_port.CallAnswer(response.status, kind, body)
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
        """Reserves KV memory on an engine."""
        self._control(
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
        """Frees a reservation; an unknown one is no error."""
        self._control(
            address,
            "POST",
            "/v1/free",
            {"reservation_id": reservation_id, "cancel": cancel},
        )

    def read_load(
        self, address: str, target: str, after: int
    ) -> targets_port.LoadAnswer:
        """Returns a target's load, and cache events after a number."""
        data = self._control(address, "GET", f"/load?after={after}", None)
        report = {**data, "target": target}
        return targets_port.LoadAnswer(
            _convert(report, target_state.LoadReport),
            tuple(
                _convert(record, targets_port.ReservationRecord)
                for record in data.get("reservations", ())
            ),
            tuple(
                _convert(event, prefix_index.CacheEvent)
                for event in data.get("events", ())
            ),
            str(data.get("version", "")),
        )

    def order(
        self, address: str, order: targets_port.Order
    ) -> targets_port.OrderState:
        """Gives an engine an order; returns its state afterwards."""
        data = self._control(address, "POST", "/v1/orders", order._asdict())
        return _convert(data, targets_port.OrderState)

    def _control(self, address: str, method: str, path: str, data: Any) -> Any:
        """Makes a short call with JSON both ways."""
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
                raise _refused(response, content)
            return msgspec.json.decode(content)
        except msgspec.DecodeError as error:
            raise _failed(f"{address}: answer is not JSON") from error
        finally:
            connection.close()


def _connect(address: str) -> connections.HTTPConnection:
    host, _, port = address.rpartition(":")
    connection = connections.HTTPConnection(
        host, int(port), timeout=CONNECT_TIMEOUT_SECONDS
    )
    try:
        connection.connect()
    except _FAILURES as error:
        connection.close()
        raise errors.TargetError(
            f"{address} cannot be reached: {error}",
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
        return connection.getresponse()
    except _FAILURES as error:
        raise _failed(f"{connection.host}:{connection.port}: {error}") from (
            error
        )


def _read_all(response: urllib3.BaseHTTPResponse) -> bytes:
    try:
        body = response.read(MAX_ANSWER_BYTES + 1)
    except _FAILURES as error:
        raise _failed(f"answer cut: {error}") from error
    if len(body) > MAX_ANSWER_BYTES:
        raise _failed("answer is too long")
    length = response.headers.get("Content-Length", "")
    if length.isdigit():
        if len(body) < int(length):
            raise _failed("answer is shorter than its Content-Length")
    elif "chunked" not in response.headers.get("Transfer-Encoding", ""):
        # Without either, a cut in the headers looks like an empty answer.
        if response.status not in EMPTY_STATUSES:
            raise _failed("answer does not say where it ends")
    return body


def _read_chunks(
    connection: connections.HTTPConnection,
    response: urllib3.BaseHTTPResponse,
    timeout: float,
) -> Iterator[attempts.Chunk]:
    end = time.monotonic() + timeout
    buffer = b""
    timeout_set = timeout
    try:
        for piece in response.read_chunked():
            buffer += piece
            if len(buffer) > MAX_LINE_BYTES:
                raise _failed("a line of the answer is too long")
            *lines, buffer = buffer.split(b"\n")
            for line in lines:
                if line.startswith(b"data: "):
                    yield _parse_chunk(line[6:])
            left = end - time.monotonic()
            if left <= 0:
                raise _failed("deadline passed during the answer")
            if connection.sock and timeout_set - left > TIMEOUT_STEP_SECONDS:
                timeout_set = left
                connection.sock.settimeout(left)
    except _FAILURES as error:
        raise _failed(f"answer cut: {error}") from error


class _ChunkData(TypedDict):
    """A chunk as the engine sends it."""

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
        raise _failed(f"a chunk has another form: {error}") from error
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
    # The caller's body is passed on as it came, not parsed again.
    return head[:-1] + b',"request":' + call.body + b"}"


def _convert(data: Any, kind: type) -> Any:
    """Converts an object of named fields into a NamedTuple."""
    try:
        values = [data[name] for name in kind._fields]
        return msgspec.convert(values, kind)
    except (KeyError, TypeError, msgspec.ValidationError) as error:
        raise _failed(f"answer has another form: {error}") from error


def _refused(
    response: urllib3.BaseHTTPResponse, body: bytes | None = None
) -> errors.TargetError:
    """Returns the error of an answer that is a refusal.

    Only the target's own word makes it `not_run`.
    """
    if body is None:
        try:
            body = response.read(1 << 16)
        except _FAILURES:
            body = b""
    said = response.headers.get(VERDICT_HEADER, "")
    verdict = verdicts.Verdict.MAY_HAVE_RUN
    if said == verdicts.Verdict.NOT_RUN.value:
        verdict = verdicts.Verdict.NOT_RUN
    text = body[:200].decode("utf-8", "replace").strip()
    is_leaving = response.headers.get(REASON_HEADER, "") == LEAVING
    return errors.TargetError(
        f"status {response.status}: {text}", verdict, is_leaving
    )


def _failed(message: str) -> errors.TargetError:
    return errors.TargetError(message, verdicts.Verdict.MAY_HAVE_RUN)
