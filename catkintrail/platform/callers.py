"""HTTP/1.1 server for callers, based on cheroot."""

import logging
import select
import sys
import threading
import types
from typing import Callable, NamedTuple

from cheroot import server as cheroot_server

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.adapters import caller_guard
from catkintrail.adapters import caller_server
from catkintrail.adapters import caller_watch
from catkintrail.adapters import sockets
from catkintrail.core import route_table
from catkintrail.core.callers import byte_budget
from catkintrail.platform import caller_requests
from catkintrail.platform import wire
from catkintrail.ports import relaying

__all__ = ["CallerServer", "Handler"]

_LOG = logging.getLogger("catkintrail.callers")

# Idle threads kept in reserve; a burst of requests takes them all within a few
# tenths of a second.
SPARE_THREADS = 16
# Keep-alive connections beyond this are closed after their next response.
KEEP_ALIVE_CONNECTIONS_PER_THREAD = 8
# Idle connections stay open this much longer than the callers' own time-out.
IDLE_MARGIN_SECONDS = 5.0
# When no thread is free, callers that have not read for this long are cut off.
READ_STALL_SECONDS = 1.0

# Retry-After of requests that are read while the server stops. Other instances
# can take them at once.
LATE_RETRY_SECONDS = 0.05

Handler = Callable[
    [relaying.CallerRequest, relaying.ResponseWriter, relaying.Caller], None
]


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
    writer: caller_requests.ResponseWriter


class _Gateway(cheroot_server.Gateway):
    """Passes requests from cheroot to the `CallerServer`."""

    def respond(self) -> None:
        """Serves the request."""
        server: CallerServer = self.req.server.caller_server
        server.serve_request(self.req)


class _Server(caller_server.Server):
    ConnectionClass = caller_requests.Connection


class CallerServer(caller_guard.CallerGuard):
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
        organisations: The organisation that holds each API key; None if
            requests need no key.
    """

    def __init__(
        self,
        address: str,
        threads: tuple[int, int],
        handler: Handler,
        watch: caller_watch.DisconnectWatcher,
        clock: Callable[[], float],
        memory_mb: float = 0.0,
        max_descriptors: int = 0,
    ) -> None:
        """Initializes the server.

        Args:
            address: `IP:port` to listen on.
            threads: Initial and maximum number of threads.
            handler: Serves a request.
            watch: Watches the connections of requests in progress.
            clock: Returns the time in seconds.
            memory_mb: Memory of the machine; 0 if unknown.
            max_descriptors: Descriptors of the process; 0 if unknown.
        """
        connections = byte_budget.connection_limit(max_descriptors)
        super().__init__(
            route_table.CallerLimits(),
            clock,
            byte_budget.budget_bytes(memory_mb, connections),
            connections,
        )
        host, _, port = address.rpartition(":")
        self.is_draining = False
        self.ends_at = float("inf")
        self.in_flight = 0
        self._handler = handler
        self._watch = watch
        self.organisations: dict[str, route_table.Organisation] | None = None
        self._lock = threading.Lock()
        # By the identifier of the thread.
        self._served: dict[int, _ServedRequest] = {}
        self._server = _Server((host, int(port)), _Gateway)
        self._server.requests = caller_server.ThreadPool(self._server, threads)
        self._server.caller_server = self
        self._server.request_queue_size = caller_server.LISTEN_BACKLOG
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
        """Starts threads if few are idle; does nothing before `start`.

        If no more can be started, frees some that wait for slow readers.
        """
        if not self._server.ready:
            return
        pool = self._server.requests
        if pool.idle < SPARE_THREADS:
            pool.grow(SPARE_THREADS)
        if pool.is_exhausted:
            self.memory.end_writers(SPARE_THREADS, READ_STALL_SECONDS)

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
        """Sets the limits on callers' requests.

        The connections check sizes themselves, so that a request is refused
        and read by one and the same limit.
        """
        self.limits = limits
        self.has_limits = True
        self._server.timeout = (
            limits.idle_timeout_ms / 1000.0 + IDLE_MARGIN_SECONDS
        )

    def describe_body(
        self, request: caller_requests.Request, now: float
    ) -> tuple[float, tuple[str, ...]]:
        """Returns how long a body may take, and to whom its bytes count.

        Args:
            request: The request, whose head has been read.
            now: Time in seconds.
        """
        request.received_at = now
        deadline = wire.decode_count(
            caller_requests.get_header(request, wire.DEADLINE_MS)
        )
        request.deadline_ms = (
            caller_requests.DEFAULT_DEADLINE_MS
            if deadline is None
            else float(deadline)
        )
        key = wire.decode_api_key(
            caller_requests.get_header(request, wire.AUTHORIZATION)
        )
        organisation = (self.organisations or {}).get(key)
        name = organisation.name if organisation else ""
        sources = (
            f"address {request.conn.remote_addr}",
            f"organisation {name}",
        )
        return request.deadline_ms / 1000.0, sources

    def make_refusal(
        self, request: caller_requests.Request | None, status: int, reason: str
    ) -> bytes:
        """Logs the refusal of a request that is not whole; returns it."""
        request_id = (
            caller_requests.get_header(request, wire.ATTEMPT_ID)
            if request
            else ""
        )
        self.record_refusal(status, reason, request_id)
        return caller_requests.make_refusal(status, request_id)

    def serve_request(self, request: caller_requests.Request) -> None:
        """Serves one request whose body has been read."""
        with self._lock:
            self.in_flight += 1
        try:
            self._serve(request, request.received_at)
        finally:
            with self._lock:
                self.in_flight -= 1

    def _serve(
        self, request: caller_requests.Request, received_at: float
    ) -> None:
        writer = caller_requests.ResponseWriter(request, self)
        try:
            parsed = caller_requests.parse_request(request, received_at)
        except ValueError as error:
            self.record_refusal(400, str(error), "")
            request.close_connection = True
            writer.start(400, (), 0)
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
        if not writer.is_aborted:
            writer.finish()


def _refuse_late(
    request: relaying.CallerRequest, writer: caller_requests.ResponseWriter
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
