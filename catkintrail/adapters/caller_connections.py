"""Connections of callers, on top of cheroot.

Requests are read without waiting: a connection whose request is not whole goes
back to the selector, so that it holds no thread.
"""

import contextlib
import io
import logging
import select
import socket
import time
from typing import Any

from cheroot import server as cheroot_server

from catkintrail.adapters import caller_memory
from catkintrail.adapters import caller_writer
from catkintrail.adapters import request_bodies
from catkintrail.adapters import sockets

__all__ = ["CallerConnection", "CallerRequest", "Rejection"]

_LOG = logging.getLogger("catkintrail.callers")

READ_BYTES = 64 << 10
# One turn of a thread at a connection: reads, and processor time for parsing.
TURN_READS = 16
TURN_SECONDS = 0.002
# Processor time for parsing a request: chunks of 512 bytes take 4 ns for each
# byte, tiny chunks of changing size 1,000. What takes longer is paced.
FREE_PARSE_SECONDS = 0.005
PARSE_SECONDS_PER_BYTE = 10e-9
# A request that arrives in many tiny parts is read this often at most.
FREE_TURNS = 16
TINY_READ_BYTES = 512
TINY_READ_PAUSE_SECONDS = 0.05
# A request has to grow by this much in this time.
PROGRESS_BYTES = 1024
PROGRESS_SECONDS = 10.0
# Statuses of requests that a higher limit would have allowed.
TOO_LARGE_STATUSES = (413, 431)
# A reset discards bytes that the caller has not received yet. It is delayed
# this long for a caller that reads late.
RESET_DELAY_SECONDS = 1.0
RESET_POLL_SECONDS = 0.005


class Rejection(Exception):
    """A request that is refused before it is whole.

    Attributes:
        status: Status of the refusal.
        reason: Cause of the refusal.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


class CallerRequest(cheroot_server.HTTPRequest):
    """A request that the connection has read with its whole body."""

    def respond(self) -> None:
        """Serves the request."""
        self.server.gateway(self).respond()
        if self.ready:
            self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b"0\r\n\r\n")


class CallerConnection(cheroot_server.HTTPConnection):
    """A connection that reads its requests without waiting.

    Attributes:
        held: The bytes held for the caller.
        clock: Returns the time in seconds.
        resume_at: When the connection is read again, in seconds.
        has_more: Whether it may be read at once.
        resets_on_close: Whether a close resets the connection, as its end would
            tell the caller that an unfinished answer is whole.
    """

    def __init__(
        self, server: Any, sock: socket.socket, makefile: Any = None
    ) -> None:
        owner = server.caller_server
        self.clock = owner.clock
        now = self.clock()
        self.held = caller_memory.HeldBytes((), now, self._give_way)
        self.resume_at = 0.0
        self.has_more = False
        self.resets_on_close = False
        self.last_used = now
        self._owner = owner
        self._request: Any = None
        self._body: request_bodies.Body | None = None
        self._received = bytearray()
        # When the request in progress has to be whole; a new connection has to
        # send a head.
        self._deadline = now + owner.limits.header_timeout_ms / 1000.0
        self._is_new = True
        # Whether the limits were not known when the head was read.
        self._has_default_limits = False
        self._search_from = 0
        self._progress_end = now + PROGRESS_SECONDS
        self._progress_bytes = 0
        self._parse_seconds = 0.0
        self._read_bytes = 0
        self._turns = 0
        # Bytes of the request and of its answer.
        self._kept_bytes = 0

        def make_file(_: Any, mode: str, __: int) -> Any:
            return (
                io.BytesIO()
                if "r" in mode
                else caller_writer.SocketWriter(self)
            )

        super().__init__(server, sock, make_file)
        sock.setblocking(False)

    @property
    def is_partial(self) -> bool:
        """Whether a part of a request was received, or has to be soon."""
        return self._is_new or self.is_reading

    @property
    def is_reading(self) -> bool:
        """Whether a part of a request was received."""
        return self._request is not None or bool(self._received)

    def is_expired(self, now: float) -> bool:
        """Returns whether the caller has let a time limit pass."""
        if not self.is_partial:
            return now > self.last_used + self.server.timeout
        if now <= self._deadline:
            if self._body is None or now <= self._progress_end:
                return False
            if self._progress_bytes >= PROGRESS_BYTES:
                self._progress_end = now + PROGRESS_SECONDS
                self._progress_bytes = 0
                return False
        return True

    def expire(self) -> None:
        """Answers a request that has not become whole in time, and closes."""
        if self.is_partial:
            self._refuse(408, "the request was not received in time")
        self.close()

    def communicate(self) -> bool:
        """Reads what has arrived, and serves a request that is whole.

        Returns:
            Whether the connection is kept.
        """
        if not self._owner.memory.end_wait(self.held):
            return False
        self.has_more = False
        try:
            while not self._read_request():
                if self.server.ready:
                    return True
                if not self.has_more:
                    self._await_bytes()
            return self._respond()
        except Rejection as rejection:
            self._refuse(rejection.status, rejection.reason)
        except ConnectionError:
            pass
        except OSError as error:
            self._owner.record_fault(str(error))
        return False

    def await_reader(self) -> None:
        """Waits until the caller reads.

        Raises:
            TimeoutError: The caller does not read.
            ConnectionError: The connection had to give way.
        """
        memory = self._owner.memory
        events = select.POLLOUT
        if self.resets_on_close:
            # See `_give_way`.
            events |= select.POLLRDHUP
        poll = select.poll()
        poll.register(self.socket, events)
        memory.begin_wait(self.held, is_writing=True)
        is_writable = poll.poll(self.server.timeout * 1000.0)
        if not memory.end_wait(self.held):
            raise ConnectionAbortedError("the caller reads too slowly")
        if not is_writable:
            raise TimeoutError("the caller does not read")
        if self.resets_on_close and sockets.has_event(
            self.socket, select.POLLRDHUP
        ):
            raise ConnectionAbortedError("the caller has left")

    def set_reset_on_close(self, resets: bool) -> None:
        """Sets whether the connection is reset when it, or the process, ends.

        Raises:
            OSError: The connection has ended.
        """
        sockets.set_reset_on_close(self.socket, resets)
        self.resets_on_close = resets

    def hold_more(self, size: int) -> bool:
        """Counts bytes of an answer that is kept for the caller.

        Returns:
            Whether there is memory for them.

        Raises:
            ConnectionError: The connection had to give way.
        """
        is_held = self._owner.memory.hold(self.held, self._kept_bytes + size)
        if is_held:
            self._kept_bytes += size
        elif self.held.is_ended:
            raise ConnectionAbortedError("the connection had to give way")
        return is_held

    def take_body(self) -> bytes:
        """Returns the body of the request, and drops the buffers."""
        body = bytes(self._body.data)
        self._body.data = bytearray()
        return body

    def close(self) -> None:
        """Closes the connection and releases what it holds."""
        self._clear()
        self._received = bytearray()
        self._owner.memory.release(self.held)
        self._owner.remove_connection(self)
        if self.resets_on_close:
            # Without the shutdown of cheroot, which would send a FIN.
            self._await_receipt()
            self.socket.close()
            return
        try:
            super().close()
        except OSError as error:
            # In a thread of the pool, it would end the whole server.
            self._owner.record_fault(str(error))
            self.socket.close()

    def _await_receipt(self) -> None:
        """Waits for a moment until the caller has received what was sent."""
        end = self.clock() + RESET_DELAY_SECONDS
        while (
            sockets.has_unsent_bytes(self.socket)
            and not sockets.has_event(self.socket, 0)
            and not self.held.is_ended
            and self.clock() < end
        ):
            time.sleep(RESET_POLL_SECONDS)

    def _read_request(self) -> bool:
        """Reads for one turn; returns whether a request is whole."""
        self._turns += 1
        started = time.thread_time()
        size = 0
        try:
            if self._received and self._advance(b""):
                return True
            for _ in range(TURN_READS):
                try:
                    data = self.socket.recv(READ_BYTES)
                except sockets.WOULD_BLOCK:
                    break
                if not data:
                    self._end_early()
                size += len(data)
                if self._advance(data):
                    return True
                if time.thread_time() - started > TURN_SECONDS:
                    self.has_more = True
                    break
            else:
                self.has_more = True
        finally:
            self._parse_seconds += time.thread_time() - started
        if self.is_expired(self.clock()):
            raise Rejection(408, "the request was not received in time")
        self._set_pace(size, time.thread_time() - started)
        return False

    def _set_pace(self, size: int, seconds: float) -> None:
        """Sets when the connection is read again."""
        now = self.clock()
        self._read_bytes += size
        usual_seconds = PARSE_SECONDS_PER_BYTE * self._read_bytes
        if self._parse_seconds > FREE_PARSE_SECONDS + usual_seconds:
            self.resume_at = self._owner.reserve_time(now, seconds)
        elif self._turns > FREE_TURNS and size < TINY_READ_BYTES:
            self.resume_at = now + TINY_READ_PAUSE_SECONDS

    def _advance(self, data: bytes) -> bool:
        """Takes received bytes; returns whether a request is whole."""
        now = self.clock()
        if data:
            self.held.progress_at = now
            self._progress_bytes += len(data)
        if self._request is None:
            if not self.is_partial:
                self._begin_head(now)
            self._received += data
            data = self._read_head()
            if self._request is None:
                self._hold(len(self._received))
                return False
        try:
            rest = self._body.feed(data)
        except request_bodies.BodyError as error:
            if error.status in TOO_LARGE_STATUSES:
                raise self._reject_size(error.status, str(error)) from error
            raise Rejection(error.status, str(error)) from error
        self._received += rest
        self._hold(self._body.held_bytes + len(rest))
        return self._body.is_whole

    def _hold(self, size: int) -> None:
        self._kept_bytes = size
        if not self._owner.memory.hold(self.held, size):
            raise Rejection(503, "the memory for callers is spent")

    def _begin_head(self, now: float) -> None:
        self.held.started_at = now
        self._deadline = now + self._owner.limits.header_timeout_ms / 1000.0

    def _reject_size(self, status: int, reason: str) -> Rejection:
        """Returns the refusal of a request that is over a limit.

        Limits that are not known yet may allow it.
        """
        if self._has_default_limits:
            return Rejection(503, f"{reason}, or the limits are not known yet")
        return Rejection(status, reason)

    def _read_head(self) -> bytes:
        """Parses the head if it has arrived; returns the bytes behind it.

        The request stays None if the head is not whole.
        """
        received = self._received
        # Looked up in this order, as the limits are set before the mark.
        self._has_default_limits = not self._owner.has_limits
        limits = self._owner.limits
        end = _find_head_end(received, self._search_from)
        self._search_from = max(0, len(received) - 3)
        head_bytes = end if end >= 0 else len(received)
        if head_bytes > limits.max_header_bytes:
            raise self._reject_size(413, "the head is too large")
        if end < 0:
            return b""
        head, rest = bytes(received[:end]), bytes(received[end:])
        self._received = bytearray()
        self._search_from = 0
        self.rfile = io.BytesIO(head)
        request = self.RequestHandlerClass(self.server, self)
        request.parse_request()
        if not request.ready:
            # The parser has answered.
            raise ConnectionAbortedError("the head is malformed")
        self._request = request
        self._is_new = False
        if request.chunked_read:
            self._body = request_bodies.ChunkedBody(
                limits.max_body_bytes, limits.max_header_bytes
            )
        else:
            length = int(request.inheaders.get(b"Content-Length", 0))
            if length > limits.max_body_bytes:
                raise self._reject_size(413, "request body is too large")
            self._body = request_bodies.LengthBody(length)
        now = self.clock()
        seconds, sources = self._owner.describe_body(request, now)
        self._deadline = now + seconds
        self._progress_end = now + PROGRESS_SECONDS
        self._progress_bytes = 0
        self._owner.memory.set_sources(self.held, sources)
        return rest

    def _respond(self) -> bool:
        """Serves the request; returns whether the connection is kept."""
        request = self._request
        try:
            request.respond()
        except OSError as error:
            if not isinstance(error, ConnectionError):
                self._owner.record_fault(str(error))
            return False
        except Exception as error:  # pylint: disable=broad-exception-caught
            self.server.error_log(repr(error), logging.ERROR, traceback=True)
            if not request.sent_headers:
                request.simple_response("500 Internal Server Error")
            return False
        self._clear()
        self._owner.memory.release(self.held)
        self.last_used = self.clock()
        # Decrypted bytes do not make a TLS socket readable.
        pending = getattr(self.socket, "pending", None)
        self.has_more = bool(self._received or (pending and pending()))
        if self._received:
            self._begin_head(self.last_used)
        return not request.close_connection

    def _clear(self) -> None:
        self._request = None
        self._body = None
        # cheroot caches methods of a connection, so that it is in a cycle.
        self.rfile = io.BytesIO()
        self._parse_seconds = 0.0
        self._read_bytes = 0
        self._turns = 0
        self.resume_at = 0.0

    def _end_early(self) -> None:
        """Handles a caller that sends no more."""
        if self._request is None:
            raise ConnectionAbortedError("the caller has left")
        raise Rejection(400, "request body is shorter than its Content-Length")

    def _await_bytes(self) -> None:
        """Waits for bytes while the server stops.

        Raises:
            Rejection: None arrived in time.
        """
        seconds = self._deadline - self.clock()
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        if not poll.poll(max(0.0, seconds * 1000.0)):
            raise Rejection(408, "the request was not received in time")

    def _give_way(self) -> None:
        """Ends the connection for others; called by any thread."""
        resets = self.resets_on_close
        if (
            not self.held.is_writing
            and self._request is not None
            and not resets
        ):
            self._refuse(503, "the memory for callers is spent")
        self._received = bytearray()
        body = self._body
        if body is not None:
            body.data = bytearray()
        self._owner.record_displaced(
            "slow_reader" if self.held.is_writing else "memory"
        )
        # The thread that waits, or the selector, closes it. A FIN could arrive
        # before the reset.
        how = socket.SHUT_RD if resets else socket.SHUT_RDWR
        with contextlib.suppress(OSError):
            self.socket.shutdown(how)

    def _refuse(self, status: int, reason: str) -> None:
        """Answers a request of which nothing has run; does not wait."""
        data = self._owner.make_refusal(self._request, status, reason)
        with contextlib.suppress(OSError):
            self.socket.send(data)


def _find_head_end(data: bytearray, start: int) -> int:
    """Returns where a head ends; -1 if it has not ended yet."""
    end = data.find(b"\n\r\n", start)
    bare = data.find(b"\n\n", start)
    if 0 <= bare and (end < 0 or bare < end):
        return bare + 2
    return end + 3 if end >= 0 else -1
