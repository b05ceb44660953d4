"""Helpers for WSGI applications and the cheroot server."""

import http
import io
import logging
import socket
import ssl
import time
from typing import Any, Callable, Iterable, Iterator, NamedTuple
import urllib.parse

from cheroot import wsgi
from cheroot.ssl import builtin
import msgspec

from catkintrail import errors
from catkintrail.adapters import caller_connections
from catkintrail.adapters import caller_guard
from catkintrail.adapters import caller_server
from catkintrail.core import route_table

__all__ = [
    "Application",
    "INTERNAL_CONNECTIONS",
    "Request",
    "Response",
    "json_response",
    "listen",
    "make_application",
    "make_server",
    "parse_json",
]

_LOG = logging.getLogger("catkintrail.http")

MAX_HEADER_BYTES = 32 << 10
MAX_JSON_DEPTH = 64
LISTEN_BACKLOG = 256
# The budget of a port for bodies, and its least size.
BUDGET_BODIES = 16
MIN_BUDGET_BYTES = 4 << 20
MAX_BODY_SECONDS = 60.0
MAX_CONNECTIONS = 4_096
# For ports that only peers, operators and balancers use.
INTERNAL_CONNECTIONS = 128
DEFAULT_BODY_BYTES = 16 << 20

_REFUSAL_TYPES = {
    413: "too_large",
    431: "too_large",
    429: "overloaded",
    503: "overloaded",
}


class Request(NamedTuple):
    """An HTTP request with its body.

    Attributes:
        method: Method, such as `GET`.
        path: Decoded path without the query.
        query: Last value of each query parameter, by name.
        headers: Header values, by lower-case name.
        body: The whole body.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


class Response(NamedTuple):
    """An HTTP response.

    Attributes:
        status: Status code.
        headers: Pairs of name and value.
        body: Parts of the body; each is sent as soon as it is available.
    """

    status: int
    headers: list[tuple[str, str]]
    body: Iterable[bytes]


Application = Callable[[Request], Response]


def json_response(
    status: int, data: Any, headers: Iterable[tuple[str, str]] = ()
) -> Response:
    """Returns a response with a JSON body."""
    body = msgspec.json.encode(data) + b"\n"
    standard_headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    return Response(status, standard_headers + list(headers), [body])


def parse_json(body: bytes) -> Any:
    """Parses a JSON body.

    Raises:
        ValueError: The body is not JSON, or nested too deeply.
    """
    try:
        data = msgspec.json.decode(body)
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        raise ValueError(f"the body is not JSON: {error}") from error
    if _depth_exceeds(data, MAX_JSON_DEPTH):
        raise ValueError(f"the body is nested deeper than {MAX_JSON_DEPTH}")
    return data


def make_application(handler: Application, max_body_bytes: int) -> Callable:
    """Wraps a handler in a WSGI application.

    Args:
        handler: Called with each valid request.
        max_body_bytes: Limit of the body; a larger one is refused with 413.

    Returns:
        The WSGI application.
    """

    def application(environ: dict, start_response: Callable) -> Iterator:
        try:
            request = _read_request(environ, max_body_bytes)
        except _BodyTooLargeError:
            text = f"the body has more than {max_body_bytes} bytes"
            response = _error_response(413, "too_large", text)
        except OSError as error:
            response = _error_response(
                408, "bad_request", f"reading the body failed: {error}"
            )
        except ValueError as error:
            response = _error_response(400, "bad_request", str(error))
        else:
            response = handler(request)
        phrase = _phrase(response.status)
        start_response(f"{response.status} {phrase}", response.headers)
        return response.body

    return application


def listen(address: str) -> socket.socket:
    """Opens a port; connections wait until a server gets the socket.

    Args:
        address: `IP:port` to listen on.

    Raises:
        errors.StartError: The port cannot be used.
    """
    host, _, port = address.rpartition(":")
    try:
        return socket.create_server((host, int(port)), backlog=LISTEN_BACKLOG)
    except OSError as error:
        raise errors.StartError(
            f"cannot listen on {address}: {error}; is another program using"
            " the port?"
        ) from error


def make_server(
    address: str,
    port: int,
    application: Callable,
    threads: int,
    timeout_seconds: float,
    certificate: str = "",
    private_key: str = "",
    max_body_bytes: int = DEFAULT_BODY_BYTES,
    max_connections: int = MAX_CONNECTIONS,
    listener: socket.socket | None = None,
) -> wsgi.Server:
    """Creates a server that has bound its port but does not serve yet.

    Args:
        address: IP address to listen on.
        port: Port to listen on.
        application: The WSGI application.
        threads: Number of threads that serve requests.
        timeout_seconds: Socket timeout of connections.
        certificate: Path of the TLS certificate; "" serves plain HTTP.
        private_key: Path of the certificate's key.
        max_body_bytes: Maximum size of a request body.
        max_connections: Maximum number of connections.
        listener: Socket that listens on the port already; None opens one.

    Raises:
        errors.StartError: The port or the certificate cannot be used.
    """
    server = _Server(
        (address, port),
        application,
        numthreads=threads,
        max=threads,
        request_queue_size=LISTEN_BACKLOG,
        timeout=timeout_seconds,
    )
    server.listener = listener
    server.caller_server = _Guard(
        max_body_bytes, max_connections, timeout_seconds
    )
    server.max_request_header_size = MAX_HEADER_BYTES
    server.max_request_body_size = 0
    server.error_log = _log_error
    server.shutdown_timeout = 1
    if certificate:
        try:
            server.ssl_adapter = _TlsAdapter(certificate, private_key)
        except (OSError, ssl.SSLError) as error:
            raise errors.StartError(
                f"cannot use certificate {certificate!r} with key"
                f" {private_key!r}: {error}"
            ) from error
    try:
        server.prepare()
    except OSError as error:
        reason = error.strerror or error
        raise errors.StartError(
            f"cannot listen on {address}:{port}: {reason}; is another program"
            " using the port?"
        ) from error
    return server


def _log_error(
    msg: str = "", level: int = logging.WARNING, traceback: bool = False
) -> None:
    """Writes error messages of the HTTP server to the log."""
    _LOG.log(
        level, "http server", extra={"error": msg.strip()}, exc_info=traceback
    )


class _BodyTooLargeError(ValueError):
    pass


class _TlsAdapter(builtin.BuiltinSSLAdapter):
    """Leaves the handshake to the reads, so that it cannot hold the port."""

    def wrap(self, sock: socket.socket) -> tuple[ssl.SSLSocket, dict]:
        """Returns a TLS socket, and nothing for the environment."""
        connection = self.context.wrap_socket(
            sock, server_side=True, do_handshake_on_connect=False
        )
        return connection, {}


class _HttpRequest(caller_connections.CallerRequest):
    """A request whose body the application reads like a file."""

    def respond(self) -> None:
        """Serves the request."""
        # pylint: disable-next=attribute-defined-outside-init
        self.rfile = io.BytesIO(self.conn.take_body())
        super().respond()


class _Connection(caller_connections.CallerConnection):
    RequestHandlerClass = _HttpRequest


class _Server(caller_server.Server, wsgi.Server):
    """A server that may get a listening socket instead of opening a port."""

    ConnectionClass = _Connection
    caller_server: "_Guard"
    listener: socket.socket | None = None

    def bind(
        self, family: int, type: int, proto: int = 0
    ) -> socket.socket:  # pylint: disable=redefined-builtin
        """Opens the port, unless there is a listening socket."""
        if self.listener is None:
            return super().bind(family, type, proto)
        # pylint: disable-next=attribute-defined-outside-init
        self.socket = self.listener
        return self.listener


class _Guard(caller_guard.CallerGuard):
    """The limits of one port."""

    def __init__(
        self, max_body_bytes: int, connections: int, timeout_seconds: float
    ) -> None:
        timeout_ms = int(timeout_seconds * 1000)
        limits = route_table.CallerLimits(
            MAX_HEADER_BYTES, max_body_bytes, timeout_ms, timeout_ms
        )
        budget = max(MIN_BUDGET_BYTES, BUDGET_BODIES * max_body_bytes)
        super().__init__(limits, time.monotonic, budget, connections)

    def describe_body(
        self, request: _HttpRequest, unused_now: float
    ) -> tuple[float, tuple[str, ...]]:
        """Returns how long a body may take, and to whom its bytes count."""
        return MAX_BODY_SECONDS, (f"address {request.conn.remote_addr}",)

    def make_refusal(
        self, unused_request: Any, status: int, reason: str
    ) -> bytes:
        """Logs the refusal of a request that is not whole; returns it."""
        self.record_refusal(status, reason, "")
        retry = "Retry-After: 1\r\n" if status in (429, 503) else ""
        kind = _REFUSAL_TYPES.get(status, "bad_request")
        error = {"message": reason, "type": kind, "verdict": "not_run"}
        body = msgspec.json.encode({"error": error}) + b"\n"
        head = (
            f"HTTP/1.1 {status} {_phrase(status)}\r\n{retry}"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        return head.encode("latin-1") + body


def _read_request(environ: dict, max_body_bytes: int) -> Request:
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit():
        raise ValueError("Content-Length is not a number")
    if int(length) > max_body_bytes:
        raise _BodyTooLargeError()
    stream = environ["wsgi.input"]
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        body = stream.read(max_body_bytes + 1)
    else:
        body = stream.read(int(length)) if int(length) else b""
        if len(body) < int(length):
            raise ValueError("the body is shorter than its Content-Length")
    if len(body) > max_body_bytes:
        raise _BodyTooLargeError()
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if "CONTENT_TYPE" in environ:
        headers["content-type"] = environ["CONTENT_TYPE"]
    path = environ.get("PATH_INFO", "/").encode("latin-1").decode("utf-8")
    query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
    return Request(environ["REQUEST_METHOD"], path, query, headers, body)


def _error_response(status: int, reason: str, message: str) -> Response:
    error = {"message": message, "type": reason, "verdict": "not_run"}
    return json_response(status, {"error": error}, [("Connection", "close")])


def _phrase(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _depth_exceeds(data: Any, limit: int) -> bool:
    level = [data]
    for _ in range(limit):
        children = []
        for item in level:
            if isinstance(item, dict):
                children += item.values()
            elif isinstance(item, list):
                children += [x for x in item if isinstance(x, (dict, list))]
        if not children:
            return False
        level = children
    return True
