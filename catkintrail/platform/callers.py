"""Callers' HTTP/1.1 connections, over cheroot."""

import logging
import re
import select
import socket
import threading
from typing import Any, Callable

from cheroot import errors as cheroot_errors
from cheroot import makefile as cheroot_makefile
from cheroot import server as cheroot_server

from catkintrail import errors
from catkintrail.adapters import caller_watch
from catkintrail.core import route_table
from catkintrail.platform import wire
from catkintrail.ports import relaying

__all__ = ["CallerServer", "Handler"]

_LOG = logging.getLogger("catkintrail.callers")

LISTEN_BACKLOG = 512
READ_BYTES = 64 << 10
# Threads that are kept free: a burst fills them within some tenths of a second.
SPARE_THREADS = 16
# Kept connections beyond this are closed after their next answer.
CONNECTIONS_PER_THREAD = 8
# Callers that state no deadline wait this long; none of the users' does so.
DEFAULT_DEADLINE_MS = 10_000.0
# Kept connections outlive the callers' own time-out by this.
IDLE_SLACK_SECONDS = 5.0
MAX_REQUEST_ID_CHARACTERS = 200

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_PHRASES = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

Handler = Callable[
    [relaying.CallerRequest, relaying.CallerReply, relaying.Caller], None
]


class _HeaderReader(cheroot_server.HeaderReader):
    """Keeps headers as they came, and refuses what two parsers read apart."""

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        headers = {} if hdict is None else hdict
        pairs = []
        while True:
            line = rfile.readline()
            if not line.endswith(b"\r\n"):
                raise ValueError("A header line is cut.")
            if line == b"\r\n":
                break
            name, colon, value = line[:-2].partition(b":")
            if not colon or not _TOKEN.fullmatch(name):
                raise ValueError("Illegal header line.")
            value = value.strip(b" \t")
            if any(byte in value for byte in (b"\r", b"\n", b"\0")):
                raise ValueError("Illegal header value.")
            key = name.title()
            if key in headers:
                if key in (b"Content-Length", b"Transfer-Encoding", b"Host"):
                    raise ValueError("A header is repeated.")
                headers[key] += b", " + value
            else:
                headers[key] = value
            pairs.append((name.decode("latin-1"), value.decode("latin-1")))
        if b"Content-Length" in headers:
            if b"Transfer-Encoding" in headers:
                raise ValueError("A body has two lengths.")
            if not headers[b"Content-Length"].isdigit():
                raise ValueError("Malformed Content-Length Header.")
        rfile.pairs = pairs
        return headers


class _TimedSocket:
    """A caller's socket whose reads end at a time.

    Attributes:
        until: When reads end; by `clock`.
        clock: Returns the time in seconds.
    """

    def __init__(
        self, connection: socket.socket, clock: Callable[[], float]
    ) -> None:
        self.until = 0.0
        self.clock = clock
        self._connection = connection
        self._poll = select.poll()
        self._poll.register(connection, select.POLLIN)

    def recv_into(self, buffer: Any) -> int:
        """Reads what has come; what came in time is read, also later.

        Raises:
            TimeoutError: Nothing came in time.
        """
        left_ms = (self.until - self.clock()) * 1000.0
        if not self._poll.poll(max(0.0, left_ms)):
            # The HTTP server knows time-outs by this text.
            raise TimeoutError("timed out")
        return self._connection.recv_into(buffer)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._connection, name)


class _Request(cheroot_server.HTTPRequest):
    header_reader = _HeaderReader()

    def parse_request(self) -> None:
        """Reads the head within its time."""
        owner: CallerServer = self.server.owner
        self.conn.limit_reads(owner.limits.header_timeout_ms / 1000.0)
        super().parse_request()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Refuses a request that was not read to its end."""
        _LOG.info(
            "request_malformed",
            extra={"status": int(status[:3]), "reason": msg or status},
        )
        super().simple_response(status, msg)

    def read_request_headers(self) -> bool:
        success = super().read_request_headers()
        # pylint: disable-next=attribute-defined-outside-init
        self.pairs = getattr(self.rfile, "pairs", [])
        return success


class _Connection(cheroot_server.HTTPConnection):
    RequestHandlerClass = _Request

    def __init__(
        self,
        server: cheroot_server.HTTPServer,
        sock: socket.socket,
        makefile: Any = cheroot_makefile.MakeFile,
    ) -> None:
        self.timed = _TimedSocket(sock, server.owner.clock)

        def make_timed(connection: Any, mode: str, size: int) -> Any:
            return makefile(
                self.timed if "r" in mode else connection, mode, size
            )

        super().__init__(server, sock, make_timed)

    def limit_reads(self, seconds: float) -> None:
        """Sets how long reads may take in all from now on."""
        self.timed.until = self.timed.clock() + seconds


class _Reply:
    """Sends one answer.

    Attributes:
        is_started: Whether the head was sent.
    """

    def __init__(self, request: _Request, server: "CallerServer") -> None:
        self.is_started = False
        self._request_id = ""
        self._request = request
        self._server = server

    def name_request(self, request_id: str) -> None:
        """Has answers of our own name the request; targets' do so already."""
        self._request_id = request_id

    def start(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        length: int | None,
    ) -> None:
        """Sends the head; a length of None is an answer in pieces."""
        request = self._request
        names = {name.lower() for name, _ in headers}
        if self._request_id and wire.ATTEMPT_ID not in names:
            headers += (("Attempt-Id", self._request_id),)
        request.status = f"{status} {_PHRASES.get(status, 'Status')}".encode()
        request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
        ]
        if length is not None:
            request.outheaders.append((b"Content-Length", str(length).encode()))
        if self._server.is_draining:
            request.close_connection = True
        self.is_started = True
        request.sent_headers = True
        self._guard(request.send_headers)

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        if data:
            self._guard(self._request.write, data)

    def abort(self) -> None:
        """Closes the connection, so that the answer is seen to be cut."""
        self._request.close_connection = True
        self._request.chunked_write = False
        self._request.sent_headers = True

    def _guard(self, function: Callable, *arguments: Any) -> None:
        try:
            function(*arguments)
        except OSError as error:
            raise errors.CallerGoneError(str(error)) from error


class _Gateway(cheroot_server.Gateway):
    """Reads a request and passes it to the handler."""

    def respond(self) -> None:
        """Answers the request."""
        server: CallerServer = self.req.server.owner
        server.serve_request(self.req)


class CallerServer:
    """Serves callers.

    Each request takes a thread. `threads` are the numbers of them at the start
    and at most; `add_threads`, called now and then, starts more where needed.

    Attributes:
        is_draining: Whether connections are closed after their next answer.
        in_flight: Requests being served.
        limits: Bounds on what callers may send.
        clock: Returns the time in seconds.
    """

    def __init__(
        self,
        address: str,
        threads: tuple[int, int],
        handler: Handler,
        watch: caller_watch.CallerWatch,
        clock: Callable[[], float],
    ) -> None:
        host, _, port = address.rpartition(":")
        self.is_draining = False
        self.in_flight = 0
        self._handler = handler
        self._watch = watch
        self.limits = route_table.CallerLimits()
        self.clock = clock
        self._lock = threading.Lock()
        self._server = cheroot_server.HTTPServer(
            (host, int(port)),
            _Gateway,
            minthreads=threads[0],
            maxthreads=threads[1],
        )
        self._server.owner = self
        self._server.ConnectionClass = _Connection
        self._server.request_queue_size = LISTEN_BACKLOG
        self._server.keep_alive_conn_limit = threads[1] * CONNECTIONS_PER_THREAD
        self._server.server_name = "catkintrail"
        self._server.error_log = _log_error

    def start(self) -> None:
        """Opens the port and serves in threads of its own.

        Raises:
            errors.StartError: The port cannot be used.
        """
        try:
            self._server.prepare()
        except OSError as error:
            raise errors.StartError(f"callers' port: {error}") from error
        threading.Thread(
            target=self._server.serve, name="callers", daemon=True
        ).start()

    def add_threads(self) -> None:
        """Starts threads where few of them are free; none before `start`."""
        if not self._server.ready:
            return
        pool = self._server.requests
        if pool.idle < SPARE_THREADS:
            pool.grow(SPARE_THREADS)

    def stop(self, timeout_seconds: float) -> None:
        """Closes the port and idle connections; finishes what was taken.

        Args:
            timeout_seconds: When to give up on requests in progress.
        """
        self._server.shutdown_timeout = timeout_seconds
        self._server.stop()

    def apply_limits(self, limits: route_table.CallerLimits) -> None:
        """Sets the bounds on what callers may send."""
        self.limits = limits
        self._server.max_request_header_size = limits.max_header_bytes
        self._server.max_request_body_size = limits.max_body_bytes
        self._server.timeout = (
            limits.idle_timeout_ms / 1000.0 + IDLE_SLACK_SECONDS
        )

    def serve_request(self, request: _Request) -> None:
        """Serves one request whose head was read."""
        received_at = self.clock()
        with self._lock:
            self.in_flight += 1
        try:
            self._serve(request, received_at)
        finally:
            with self._lock:
                self.in_flight -= 1

    def _serve(self, request: _Request, received_at: float) -> None:
        reply = _Reply(request, self)
        try:
            parsed = _parse(request, received_at)
        except cheroot_errors.MaxSizeExceeded:
            _refuse(request, reply, 413, "the body is too long")
            return
        except TimeoutError:
            _refuse(request, reply, 408, "the body did not come in time")
            return
        except ValueError as error:
            _refuse(request, reply, 400, str(error))
            return
        reply.name_request(parsed.request_id)
        connection = request.conn.socket
        caller = self._watch.add(connection)
        try:
            self._handler(parsed, reply, caller)
        except errors.CallerGoneError:
            # The handler has logged it.
            reply.abort()
        finally:
            self._watch.remove(connection)
        if not reply.is_started:
            reply.abort()


def _refuse(request: _Request, reply: _Reply, status: int, reason: str) -> None:
    """Refuses a request that was not read to its end."""
    _LOG.info(
        "request_malformed",
        extra={
            "request_id": _header(request, wire.ATTEMPT_ID),
            "status": status,
            "reason": reason,
        },
    )
    request.close_connection = True
    reply.start(status, (), 0)


def _header(request: _Request, name: str) -> str:
    value = request.inheaders.get(name.title().encode(), b"")
    return value.decode("latin-1")


def _parse(request: _Request, received_at: float) -> relaying.CallerRequest:
    headers = request.inheaders
    deadline = _header(request, wire.DEADLINE_MS)
    deadline_ms = float(deadline) if deadline.isdigit() else DEFAULT_DEADLINE_MS
    request.conn.limit_reads(deadline_ms / 1000.0)
    body = b""
    if request.chunked_read:
        body = _read_chunks(request)
    elif b"Content-Length" in headers:
        length = int(headers[b"Content-Length"])
        body = request.rfile.read(length) if length else b""
        if len(body) < length:
            raise ValueError("the body is cut")

    request_id = _header(request, wire.ATTEMPT_ID)
    if len(request_id) > MAX_REQUEST_ID_CHARACTERS:
        raise ValueError("the request's id is too long")
    prompt, output = wire.decode_token_counts(
        _header(request, wire.TOKEN_COUNTS)
    )
    last_event = _header(request, wire.LAST_EVENT_ID)
    return relaying.CallerRequest(
        request_id,
        request.method.decode("latin-1"),
        request.uri.decode("latin-1"),
        _header(request, "host"),
        tuple(request.pairs),
        body,
        wire.decode_api_key(_header(request, wire.AUTHORIZATION)),
        deadline_ms,
        prompt,
        output,
        int(last_event) if last_event.isdigit() else -1,
        received_at,
    )


def _read_chunks(request: _Request) -> bytes:
    """Reads a chunked body and its trailers."""
    most = request.server.max_request_body_size
    chunks = cheroot_server.ChunkedRFile(request.conn.rfile, 0)
    parts = []
    size = 0
    while part := chunks.read(READ_BYTES):
        parts.append(part)
        size += len(part)
        if size > most:
            raise cheroot_errors.MaxSizeExceeded()
    # Trailers are read, so that the next request begins behind them.
    for _ in chunks.read_trailer_lines():
        pass
    return b"".join(parts)


def _log_error(
    message: str = "", level: int = 20, traceback: bool = False
) -> None:
    _LOG.log(
        level,
        "caller_connection",
        exc_info=traceback,
        extra={"reason": message},
    )
