"""HTTP/1.1 server for callers, based on cheroot."""

import contextlib
import logging
import re
import select
import socket
import sys
import threading
import types
from typing import Any, Callable, NamedTuple

from cheroot import connections as cheroot_connections
from cheroot import errors as cheroot_errors
from cheroot import makefile as cheroot_makefile
from cheroot import server as cheroot_server
from cheroot.workers import threadpool

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.adapters import caller_watch
from catkintrail.adapters import sockets
from catkintrail.core import route_table
from catkintrail.platform import wire
from catkintrail.ports import relaying

__all__ = ["CallerServer", "Handler"]

_LOG = logging.getLogger("catkintrail.callers")

LISTEN_BACKLOG = 512
READ_BYTES = 64 << 10
# Idle threads kept in reserve; a burst of requests takes them all within a few
# tenths of a second.
SPARE_THREADS = 16
# Keep-alive connections beyond this are closed after their next response.
KEEP_ALIVE_CONNECTIONS_PER_THREAD = 8
# Applies to requests without a valid `Deadline-Ms`; the users' callers always
# send one.
DEFAULT_DEADLINE_MS = 10_000.0
# Idle connections stay open this much longer than the callers' own time-out.
IDLE_MARGIN_SECONDS = 5.0
MAX_REQUEST_ID_CHARACTERS = 200
# Retry-After of requests that are read while the server stops. Other instances
# can take them at once.
LATE_RETRY_SECONDS = 0.05

_TOKEN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_REASON_PHRASES = {
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
    [relaying.CallerRequest, relaying.ResponseWriter, relaying.Caller], None
]


class _HeaderReader(cheroot_server.HeaderReader):
    """Keeps the headers as received, and rejects ambiguous ones.

    Two parsers could interpret an ambiguous header differently.
    """

    def __call__(self, rfile: Any, hdict: Any = None) -> Any:
        headers = {} if hdict is None else hdict
        pairs = []
        while True:
            line = rfile.readline()
            if not line.endswith(b"\r\n"):
                raise ValueError("Header line does not end with CRLF.")
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
                    raise ValueError("Header that must be unique is repeated.")
                headers[key] += b", " + value
            else:
                headers[key] = value
            pairs.append((name.decode("latin-1"), value.decode("latin-1")))
        if b"Content-Length" in headers:
            if b"Transfer-Encoding" in headers:
                raise ValueError("Both Content-Length and Transfer-Encoding.")
            if not headers[b"Content-Length"].isdigit():
                raise ValueError("Malformed Content-Length Header.")
        rfile.pairs = pairs
        return headers


class _DeadlineSocket:
    """A caller's socket with a deadline for reads.

    Attributes:
        read_deadline: Time by `clock` until which reads wait for bytes.
        clock: Returns the time in seconds.
    """

    def __init__(
        self, connection: socket.socket, clock: Callable[[], float]
    ) -> None:
        self.read_deadline = 0.0
        self.clock = clock
        self._connection = connection
        self._poll = select.poll()
        self._poll.register(connection, select.POLLIN)

    def recv_into(self, buffer: Any) -> int:
        """Reads into a buffer, waiting until the deadline.

        After the deadline, bytes that were already received are still read.

        Raises:
            TimeoutError: No bytes were received by the deadline.
        """
        remaining_ms = (self.read_deadline - self.clock()) * 1000.0
        if not self._poll.poll(max(0.0, remaining_ms)):
            # cheroot recognises time-outs by this text.
            raise TimeoutError("timed out")
        return self._connection.recv_into(buffer)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._connection, name)


class _Request(cheroot_server.HTTPRequest):
    header_reader = _HeaderReader()

    def parse_request(self) -> None:
        """Reads the request head within the header time-out."""
        caller_server: CallerServer = self.server.caller_server
        self.conn.set_read_timeout(
            caller_server.limits.header_timeout_ms / 1000.0
        )
        super().parse_request()

    def simple_response(self, status: str, msg: str = "") -> None:
        """Logs and rejects a request that was not read completely."""
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
        self.deadline_socket = _DeadlineSocket(sock, server.caller_server.clock)

        def make_file(connection: Any, mode: str, size: int) -> Any:
            return makefile(
                self.deadline_socket if "r" in mode else connection, mode, size
            )

        super().__init__(server, sock, make_file)

    def set_read_timeout(self, seconds: float) -> None:
        """Limits the total time of all reads from now on."""
        self.deadline_socket.read_deadline = (
            self.deadline_socket.clock() + seconds
        )


class _ResponseWriter:
    """Sends one response to a caller.

    Attributes:
        is_started: Whether sending of the response head has begun.
    """

    def __init__(self, request: _Request, server: "CallerServer") -> None:
        self.is_started = False
        self._is_ended = False
        self._lock = threading.Lock()
        self._request_id = ""
        self._request = request
        self._server = server

    def set_request_id(self, request_id: str) -> None:
        """Sets the `Attempt-Id` of responses that lack the header.

        Responses of targets already have it.
        """
        self._request_id = request_id

    def start(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        length: int | None,
    ) -> None:
        """Sends the response head.

        Args:
            status: Status code.
            headers: End-to-end headers.
            length: Bytes in the body; None for a chunked body.
        """
        request = self._request
        with self._lock:
            if self._is_ended:
                raise errors.CallerDisconnectedError(
                    "the request was answered by the exit of the process"
                )
            self.is_started = True
        names = {name.lower() for name, _ in headers}
        if self._request_id and wire.ATTEMPT_ID not in names:
            headers += (("Attempt-Id", self._request_id),)
        request.status = (
            f"{status} {_REASON_PHRASES.get(status, 'Status')}".encode()
        )
        request.outheaders = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in headers
        ]
        if length is not None:
            request.outheaders.append((b"Content-Length", str(length).encode()))
        if self._server.is_draining:
            request.close_connection = True
        request.sent_headers = True
        self._call_writer(request.send_headers)

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""
        if data:
            self._call_writer(self._request.write, data)

    def answer_unfinished(self) -> bool:
        """Answers in place of the thread that serves the request.

        The status promises nothing of what targets have done. The answer is
        not waited for, as the process exits.

        Returns:
            Whether the response had not begun, and was sent.
        """
        with self._lock:
            if self.is_started:
                return False
            self.is_started = True
            self._is_ended = True
        reason = verdicts.Reason.DRAINING.value
        body = f"{reason}: the instance stops before the request is finished\n"
        head = (
            f"HTTP/1.1 502 {_REASON_PHRASES[502]}\r\n"
            f"Attempt-Id: {self._request_id}\r\n"
            "Content-Type: text/plain; charset=utf-8\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        data = (head + body).encode("latin-1")
        try:
            sent = self._request.conn.socket.send(data, socket.MSG_DONTWAIT)
        except OSError:
            return False
        return sent == len(data)

    def abort(self) -> None:
        """Closes the connection, so that the caller detects a truncation."""
        self._request.close_connection = True
        self._request.chunked_write = False
        self._request.sent_headers = True

    def _call_writer(self, function: Callable, *arguments: Any) -> None:
        try:
            function(*arguments)
        except OSError as error:
            raise errors.CallerDisconnectedError(str(error)) from error


class _ServedRequest(NamedTuple):
    """A request in progress.

    Attributes:
        request_id: The caller's request id.
        received_at: When the request's head was read, in seconds.
        thread_id: Identifier of the thread that serves it.
        writer: Sends the response.
    """

    request_id: str
    received_at: float
    thread_id: int
    writer: _ResponseWriter


class _Gateway(cheroot_server.Gateway):
    """Passes requests from cheroot to the `CallerServer`."""

    def respond(self) -> None:
        """Serves the request."""
        server: CallerServer = self.req.server.caller_server
        server.serve_request(self.req)


class _ConnectionManager(cheroot_connections.ConnectionManager):
    """Accepts connections, and finds those with requests.

    Requests that wait when the port closes are still passed on to threads.
    """

    def _from_server_socket(self, server_socket: socket.socket) -> Any:
        """Accepts the connections that wait; returns the last one."""
        connection = super()._from_server_socket(server_socket)
        for _ in range(LISTEN_BACKLOG):
            if connection is None or not sockets.has_event(
                server_socket, select.POLLIN
            ):
                break
            self.server.process_conn(connection)
            connection = super()._from_server_socket(server_socket)
        return connection

    def stop(self) -> None:
        """Closes the port after the connections that wait were accepted."""
        super().stop()
        listener = self.server.socket
        with contextlib.suppress(OSError):
            if sockets.has_event(listener, select.POLLIN):
                connection = self._from_server_socket(listener)
                if connection is not None:
                    self.server.process_conn(connection)
        self.server.socket = None
        listener.close()
        with contextlib.suppress(OSError):
            for descriptor, connection in list(self._selector.select(0)):
                if connection is not self.server:
                    self._selector.unregister(descriptor)
                    self.server.process_conn(connection)


class _Server(cheroot_server.HTTPServer):
    ConnectionClass = _Connection

    def prepare(self) -> None:
        """Opens the port."""
        super().prepare()
        self._connections.close()
        # pylint: disable-next=attribute-defined-outside-init
        self._connections = _ConnectionManager(self)


class _ThreadPool(threadpool.ThreadPool):
    """Threads that serve requests.

    The stop waits for all of them, also for those that are being started.
    """

    def __init__(
        self, server: cheroot_server.HTTPServer, threads: tuple[int, int]
    ) -> None:
        super().__init__(server, min=threads[0], max=threads[1])
        self._growth_lock = threading.Lock()
        self._is_stopped = False

    def grow(self, amount: int) -> None:
        """Starts threads, unless the pool has stopped."""
        with self._growth_lock:
            if not self._is_stopped:
                super().grow(amount)

    def stop(self, timeout: float | None = 5) -> None:
        """Ends the threads after their requests and those that wait."""
        self.grow(self.qsize - self.idle)
        with self._growth_lock:
            self._is_stopped = True
        super().stop(timeout)


class CallerServer:
    """HTTP server that passes callers' requests to a handler.

    Each request occupies a thread. `threads` holds the initial and the maximum
    number of threads; `add_threads` has to be called periodically to start more
    when few are idle.

    Attributes:
        is_draining: Whether connections are closed after their next response.
        ends_at: When the requests in progress end, as the server stops;
            infinite if it does not. Requests whose deadlines are later are
            refused.
        in_flight: Number of requests being served.
        limits: Limits on the size and duration of callers' requests.
        clock: Returns the time in seconds.
    """

    def __init__(
        self,
        address: str,
        threads: tuple[int, int],
        handler: Handler,
        watch: caller_watch.DisconnectWatcher,
        clock: Callable[[], float],
    ) -> None:
        host, _, port = address.rpartition(":")
        self.is_draining = False
        self.ends_at = float("inf")
        self.in_flight = 0
        self._handler = handler
        self._watch = watch
        self.limits = route_table.CallerLimits()
        self.clock = clock
        self._lock = threading.Lock()
        # By the identifier of the thread.
        self._served: dict[int, _ServedRequest] = {}
        self._server = _Server((host, int(port)), _Gateway)
        self._server.requests = _ThreadPool(self._server, threads)
        self._server.caller_server = self
        self._server.request_queue_size = LISTEN_BACKLOG
        self._server.keep_alive_conn_limit = (
            threads[1] * KEEP_ALIVE_CONNECTIONS_PER_THREAD
        )
        self._server.server_name = "catkintrail"
        self._server.error_log = _log_error

    def start(self) -> None:
        """Opens the port and serves in background threads.

        Raises:
            errors.StartError: The port cannot be opened.
        """
        try:
            self._server.prepare()
        except OSError as error:
            raise errors.StartError(
                f"cannot open the port for callers: {error}"
            ) from error
        threading.Thread(
            target=self._server.serve, name="callers", daemon=True
        ).start()

    def add_threads(self) -> None:
        """Starts threads if few are idle; does nothing before `start`."""
        if not self._server.ready:
            return
        pool = self._server.requests
        if pool.idle < SPARE_THREADS:
            pool.grow(SPARE_THREADS)

    def stop(self, timeout_seconds: float) -> None:
        """Closes the port and idle connections; finishes accepted requests.

        Requests that are read later are refused if they could last longer than
        that.

        Args:
            timeout_seconds: The longest wait for requests in progress.
        """
        self.is_draining = True
        self.ends_at = self.clock() + timeout_seconds
        self._server.shutdown_timeout = timeout_seconds
        self._server.stop()

    def answer_unfinished(self) -> None:
        """Answers requests that are still in progress as the process exits.

        Responses that have begun are left alone. Logs each request.
        """
        with self._lock:
            requests = list(self._served.values())
        frames = sys._current_frames()  # pylint: disable=protected-access
        for served in requests:
            is_answered = served.writer.answer_unfinished()
            elapsed_ms = (self.clock() - served.received_at) * 1000.0
            _LOG.warning(
                "request_cut",
                extra={
                    "request_id": served.request_id,
                    "elapsed_ms": round(elapsed_ms, 1),
                    "is_answered": is_answered,
                    "waits_in": _find_own_function(
                        frames.get(served.thread_id)
                    ),
                },
            )

    def apply_limits(self, limits: route_table.CallerLimits) -> None:
        """Sets the limits on callers' requests."""
        self.limits = limits
        self._server.max_request_header_size = limits.max_header_bytes
        self._server.max_request_body_size = limits.max_body_bytes
        self._server.timeout = (
            limits.idle_timeout_ms / 1000.0 + IDLE_MARGIN_SECONDS
        )

    def serve_request(self, request: _Request) -> None:
        """Serves one request whose head has been read."""
        received_at = self.clock()
        with self._lock:
            self.in_flight += 1
        try:
            self._serve(request, received_at)
        finally:
            with self._lock:
                self.in_flight -= 1

    def _serve(self, request: _Request, received_at: float) -> None:
        writer = _ResponseWriter(request, self)
        try:
            parsed = _parse_request(request, received_at)
        except cheroot_errors.MaxSizeExceeded:
            _reject(request, writer, 413, "request body is too large")
            return
        except TimeoutError:
            _reject(
                request, writer, 408, "request body was not received in time"
            )
            return
        except ValueError as error:
            _reject(request, writer, 400, str(error))
            return
        writer.set_request_id(parsed.request_id)
        if received_at + parsed.deadline_ms / 1000.0 > self.ends_at:
            _refuse_late(parsed, writer)
            return
        connection = request.conn.socket
        if sockets.has_event(connection, select.POLLRDHUP):
            _LOG.info(
                "request_abandoned", extra={"request_id": parsed.request_id}
            )
            writer.abort()
            return
        thread_id = threading.get_ident()
        with self._lock:
            self._served[thread_id] = _ServedRequest(
                parsed.request_id, received_at, thread_id, writer
            )
        caller = self._watch.add(connection)
        try:
            self._handler(parsed, writer, caller)
        except errors.CallerDisconnectedError:
            # The handler has logged the disconnect.
            writer.abort()
        finally:
            self._watch.remove(connection)
            with self._lock:
                del self._served[thread_id]
        if not writer.is_started:
            writer.abort()


def _reject(
    request: _Request, writer: _ResponseWriter, status: int, reason: str
) -> None:
    """Logs and rejects a request that was not read completely."""
    _LOG.info(
        "request_malformed",
        extra={
            "request_id": _get_header(request, wire.ATTEMPT_ID),
            "status": status,
            "reason": reason,
        },
    )
    request.close_connection = True
    writer.start(status, (), 0)


def _refuse_late(
    request: relaying.CallerRequest, writer: _ResponseWriter
) -> None:
    """Refuses a request that might not end before the server has stopped."""
    _LOG.info("request_refused_late", extra={"request_id": request.request_id})
    reason = verdicts.Reason.DRAINING
    body = f"{reason.value}: the instance stops\n".encode()
    headers = (
        ("Retry-After", f"{LATE_RETRY_SECONDS:.2f}"),
        ("Content-Type", "text/plain; charset=utf-8"),
    )
    writer.start(verdicts.STATUS_OF_REASON[reason], headers, len(body))
    writer.write(body)


def _get_header(request: _Request, name: str) -> str:
    value = request.inheaders.get(name.title().encode(), b"")
    return value.decode("latin-1")


def _parse_request(
    request: _Request, received_at: float
) -> relaying.CallerRequest:
    headers = request.inheaders
    deadline = wire.decode_count(_get_header(request, wire.DEADLINE_MS))
    deadline_ms = DEFAULT_DEADLINE_MS if deadline is None else float(deadline)
    request.conn.set_read_timeout(deadline_ms / 1000.0)
    body = b""
    if request.chunked_read:
        body = _read_chunks(request)
    elif b"Content-Length" in headers:
        length = int(headers[b"Content-Length"])
        body = request.rfile.read(length) if length else b""
        if len(body) < length:
            raise ValueError("request body is shorter than its Content-Length")

    request_id = _get_header(request, wire.ATTEMPT_ID)
    if len(request_id) > MAX_REQUEST_ID_CHARACTERS:
        raise ValueError("Attempt-Id is too long")
    prompt, output = wire.decode_token_counts(
        _get_header(request, wire.TOKEN_COUNTS)
    )
    last_event = wire.decode_count(_get_header(request, wire.LAST_EVENT_ID))
    return relaying.CallerRequest(
        request_id,
        request.method.decode("latin-1"),
        request.uri.decode("latin-1"),
        _get_header(request, "host"),
        tuple(request.pairs),
        body,
        wire.decode_api_key(_get_header(request, wire.AUTHORIZATION)),
        deadline_ms,
        prompt,
        output,
        -1 if last_event is None else last_event,
        received_at,
        wire.decode_prompt_parts(_get_header(request, wire.PROMPT_PREFIX)),
    )


def _read_chunks(request: _Request) -> bytes:
    """Returns a chunked body; reads and drops its trailers.

    Raises:
        cheroot_errors.MaxSizeExceeded: The body is larger than the limit.
    """
    max_bytes = request.server.max_request_body_size
    chunks = cheroot_server.ChunkedRFile(request.conn.rfile, 0)
    parts = []
    size = 0
    while part := chunks.read(READ_BYTES):
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            raise cheroot_errors.MaxSizeExceeded()
    # Consumes the trailers, so that the next request starts after them.
    for _ in chunks.read_trailer_lines():
        pass
    return b"".join(parts)


def _find_own_function(frame: types.FrameType | None) -> str:
    """Returns the innermost function of this package in a call stack."""
    while frame is not None:
        module = frame.f_globals.get("__name__", "")
        if module.startswith(__package__.partition(".")[0]):
            return f"{module}.{frame.f_code.co_name}"
        frame = frame.f_back
    return ""


def _log_error(
    message: str = "", level: int = 20, traceback: bool = False
) -> None:
    _LOG.log(
        level,
        "caller_connection",
        exc_info=traceback,
        extra={"reason": message},
    )
