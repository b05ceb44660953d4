"""Requests to engines and services over kept HTTP/1.1 connections.

h11 parses the answers: it keeps the bytes behind an answer, which a connection
must not have when it is used again.
"""

import collections
import contextlib
import select
import socket
import threading
from typing import Callable, NamedTuple

import h11

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.core import targets as target_records
from catkintrail.platform import wire
from catkintrail.ports import relaying

__all__ = ["EngineClient"]

# A connection to a live target stands within a few milliseconds; links that are
# cut are silent.
CONNECT_TIMEOUT_SECONDS = 0.4
RECEIVE_BYTES = 64 << 10
# Idle connections are kept this much shorter than the target says.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
# A target that states no time-out keeps connections for less than a second.
UNSTATED_KEEP_ALIVE_SECONDS = 0.5
MAX_IDLE_CONNECTIONS = 16
# Time-outs handed to the socket; zero would make it non-blocking.
MIN_TIMEOUT_SECONDS = 0.001
MAX_HEADER_BYTES = 64 << 10
AT_SERVER = "at-server"


# The address, name and start of a target.
_Key = tuple[str, str, int]


class _Idle(NamedTuple):
    """A connection that may be used again until a time."""

    socket: socket.socket
    until: float


class EngineClient:
    """Sends requests to targets and keeps connections to them.

    Attributes:
        clock: Returns the time in seconds.
        opened: Connections opened.
        reused: Requests sent on a kept connection.
        shares: This instance's share of the connections that each target of a
            service accepts, by service; those in use are never refused.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.opened = 0
        self.reused = 0
        self.shares: dict[str, int] = {}
        self._idle: dict[_Key, collections.deque[_Idle]] = {}
        self._open: collections.Counter[_Key] = collections.Counter()
        self._lock = threading.Lock()

    def send(
        self,
        target: target_records.Target,
        request: relaying.TargetRequest,
        caller: relaying.Caller,
        until: float,
    ) -> "EngineAnswer":
        """Sends a request and waits for the head of its answer."""
        while (kept := self._take(target)) is not None:
            try:
                return self._exchange(
                    target, request, kept, True, caller, until
                )
            except _StaleConnectionError:
                # Nothing was sent on it.
                continue
        connection = self._connect(target, until)
        return self._exchange(target, request, connection, False, caller, until)

    def _exchange(
        self,
        target: target_records.Target,
        request: relaying.TargetRequest,
        connection: socket.socket,
        is_reused: bool,
        caller: relaying.Caller,
        until: float,
    ) -> "EngineAnswer":
        answer = EngineAnswer(self, target, request, connection, is_reused)
        caller.attach(answer.shut)
        try:
            answer.exchange_heads(until)
            _check_answer(answer)
        except BaseException as error:
            caller.detach()
            answer.discard()
            if caller.is_gone:
                raise errors.CallerGoneError(
                    "the caller left before the answer"
                ) from error
            raise
        return answer

    def give_back(
        self,
        target: target_records.Target,
        connection: socket.socket,
        idle_seconds: float,
    ) -> None:
        """Keeps a connection on which a whole answer came."""
        key = _key(target)
        share = self.shares.get(target.service, MAX_IDLE_CONNECTIONS)
        with self._lock:
            queue = self._idle.setdefault(key, collections.deque())
            may_keep = (
                idle_seconds > 0
                and len(queue) < MAX_IDLE_CONNECTIONS
                and self._open[key] <= max(1, share)
            )
            if may_keep:
                queue.append(_Idle(connection, self.clock() + idle_seconds))
            else:
                self._close(key, connection)

    def close(
        self, target: target_records.Target, connection: socket.socket
    ) -> None:
        """Closes a connection that is not to be used again."""
        with self._lock:
            self._close(_key(target), connection)

    def close_idle(self) -> None:
        """Closes kept connections whose time is over."""
        now = self.clock()
        with self._lock:
            for key, queue in list(self._idle.items()):
                for idle in list(queue):
                    if idle.until <= now:
                        queue.remove(idle)
                        self._close(key, idle.socket)
                if not queue:
                    del self._idle[key]

    def _close(self, key: _Key, connection: socket.socket) -> None:
        connection.close()
        self._open[key] -= 1
        if not self._open[key]:
            del self._open[key]

    def _take(self, target: target_records.Target) -> socket.socket | None:
        now = self.clock()
        key = _key(target)
        with self._lock:
            queue = self._idle.get(key)
            while queue:
                idle = queue.pop()
                if idle.until > now and not _is_readable(idle.socket):
                    self.reused += 1
                    return idle.socket
                self._close(key, idle.socket)
        return None

    def _connect(
        self, target: target_records.Target, until: float
    ) -> socket.socket:
        host, _, port = target.address.rpartition(":")
        timeout = min(CONNECT_TIMEOUT_SECONDS, until - self.clock())
        self.opened += 1
        try:
            connection = socket.create_connection(
                (host, int(port)), max(MIN_TIMEOUT_SECONDS, timeout)
            )
        except TimeoutError as error:
            raise errors.TargetError(
                f"no connection to {target.address} in {timeout:.2f} s",
                verdicts.Verdict.NOT_RUN,
                is_silent=True,
            ) from error
        except OSError as error:
            raise errors.TargetError(
                f"no connection to {target.address}: {error}",
                verdicts.Verdict.NOT_RUN,
                is_silent=True,
            ) from error
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with self._lock:
            self._open[_key(target)] += 1
        return connection


class _StaleConnectionError(errors.TargetError):
    """A kept connection had something to read before anything was sent."""


class EngineAnswer:
    """A request in progress on one connection.

    Attributes:
        status: Status code; 0 before the head has come.
        headers: End-to-end headers.
        is_signed: Whether it bears the target's signature.
        is_reused: Whether the connection was used before.
        own: Values of the target's own headers, by lower-case name.
    """

    def __init__(
        self,
        client: EngineClient,
        target: target_records.Target,
        request: relaying.TargetRequest,
        connection: socket.socket,
        is_reused: bool,
    ) -> None:
        self.client = client
        self.target = target
        self.request = request
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.is_signed = False
        self.is_reused = is_reused
        self.own: dict[str, str] = {}
        self._socket = connection
        self._http = _new_parser()
        self._is_whole = False
        self._is_sent = False
        self._has_begun = False
        self._is_framed = True
        self._is_closed = False

    def exchange_heads(self, until: float) -> None:
        """Sends the request and reads the head of its own answer."""
        data = self._encode()
        if self.client.clock() > self.request.valid_until:
            raise errors.TargetError(
                "the proof of the caller's key is too old to send",
                verdicts.Verdict.NOT_RUN,
            )
        self._send(data, until)
        while True:
            event = self._next_event(until)
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise self._failed("the answer has no head")
            self._take_head(event)
            if self.own.get(wire.ATTEMPT_ID) in (None, self.request.request_id):
                return
            # The answer to an earlier request came late: skip it.
            self._skip_answer(until)

    def read(self, until: float) -> bytes:
        """Returns the next bytes of the body; b"" at its whole end."""
        while not self._is_whole:
            event = self._next_event(until)
            if isinstance(event, h11.Data):
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._is_whole = True
            else:
                raise self._failed("the answer is cut")
        return b""

    def close(self) -> None:
        """Gives the connection back; closes it if the answer is not whole."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._is_whole and self._is_sent and self._may_reuse():
            self.client.give_back(self.target, self._socket, self._idle_time())
        else:
            self.client.close(self.target, self._socket)

    def discard(self) -> None:
        """Closes the connection."""
        self._is_whole = False
        self.close()

    def shut(self) -> None:
        """Ends a wait in another thread."""
        # It may be closed already.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def _encode(self) -> bytes:
        request = self.request
        left_ms = (request.deadline - self.client.clock()) * 1000.0
        headers = [
            (name, value)
            for name, value in request.headers
            if name.lower() not in wire.HOP_BY_HOP
            and name.lower() not in wire.SET_BY_SYSTEM
            and name.lower() != "host"
        ]
        if request.resume_after >= 0:
            headers = [h for h in headers if h[0].lower() != wire.LAST_EVENT_ID]
            headers.append(("Last-Event-Id", str(request.resume_after)))
        headers.insert(0, ("Host", request.host))
        headers.append(("Deadline-Ms", str(max(1, int(left_ms)))))
        headers.append(("Expect-Instance", self.target.name))
        if request.organisation:
            headers.append(("Tenant", request.organisation))
        if request.helpers:
            headers.append(("Helpers", _helper_list(request.helpers)))
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            headers.append(("Content-Length", str(len(request.body))))
        try:
            data = self._http.send(
                h11.Request(
                    method=request.method,
                    target=request.uri,
                    headers=headers,
                )
            )
            if request.body:
                data += self._http.send(h11.Data(data=request.body))
            self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise errors.TargetError(
                f"the request cannot be passed on: {error}",
                verdicts.Verdict.NOT_RUN,
            ) from error
        return data

    def _send(self, data: bytes, until: float) -> None:
        """Sends all bytes, unless the target answers before it read them."""
        view = memoryview(data)
        poll = select.poll()
        poll.register(self._socket, select.POLLIN | select.POLLOUT)
        self._socket.setblocking(False)
        try:
            while view:
                left = until - self.client.clock()
                if left <= 0:
                    raise self._silent("the target does not read the request")
                for _, flags in poll.poll(max(1, int(left * 1000))):
                    if flags & (select.POLLIN | select.POLLHUP):
                        if self.is_reused and not self._has_begun:
                            raise _StaleConnectionError(
                                "the connection is stale",
                                verdicts.Verdict.NOT_RUN,
                            )
                        # An early answer; the rest is not sent.
                        return
                    if flags & select.POLLOUT:
                        self._has_begun = True
                        view = view[self._write(view) :]
                    elif flags & select.POLLERR:
                        raise self._failed("the connection broke")
        except OSError as error:
            raise self._failed(f"not sent: {error}") from error
        self._is_sent = True

    def _write(self, view: memoryview) -> int:
        try:
            return self._socket.send(view)
        except BlockingIOError:
            return 0

    def _next_event(self, until: float) -> h11.Event:
        try:
            while True:
                event = self._http.next_event()
                if event is h11.PAUSED:
                    raise self._failed("bytes after the answer")
                if event is not h11.NEED_DATA:
                    return event
                left = until - self.client.clock()
                if left <= 0:
                    raise self._silent("the target is silent")
                self._socket.settimeout(max(MIN_TIMEOUT_SECONDS, left))
                self._http.receive_data(self._socket.recv(RECEIVE_BYTES))
        except TimeoutError as error:
            raise self._silent("the target is silent") from error
        except OSError as error:
            raise self._failed(f"the connection broke: {error}") from error
        except h11.RemoteProtocolError as error:
            raise self._failed(f"the answer cannot be read: {error}") from error

    def _take_head(self, event: h11.Response) -> None:
        self.status = event.status_code
        pairs = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers.raw_items()
        ]
        self.own = {name.lower(): value for name, value in pairs}
        self.headers = tuple(
            (name, value)
            for name, value in pairs
            if name.lower() not in wire.HOP_BY_HOP
        )
        self.is_signed = wire.ENGINE_STAMP in self.own
        self._is_framed = (
            "content-length" in self.own or "transfer-encoding" in self.own
        )

    def _skip_answer(self, until: float) -> None:
        """Reads another request's answer to its end, and parses on."""
        while not isinstance(self._next_event(until), h11.EndOfMessage):
            pass
        rest, is_closed = self._http.trailing_data
        if is_closed or not self._is_framed:
            raise self._failed("only an answer to another request came")
        self._http = _new_parser()
        self._encode()
        if rest:
            self._http.receive_data(rest)

    def _may_reuse(self) -> bool:
        if not self._is_framed or self._http.trailing_data != (b"", False):
            return False
        if self._http.their_state is not h11.DONE:
            return False
        return not _is_readable(self._socket)

    def _idle_time(self) -> float:
        for part in self.own.get("keep-alive", "").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.strip().isdigit():
                return int(value) - KEEP_ALIVE_MARGIN_SECONDS
        return UNSTATED_KEEP_ALIVE_SECONDS

    def _failed(self, message: str) -> errors.TargetError:
        return errors.TargetError(
            f"{self.target.address}: {message}", self._verdict()
        )

    def _silent(self, message: str) -> errors.TargetError:
        return errors.TargetError(
            f"{self.target.address}: {message}", self._verdict(), is_silent=True
        )

    def _verdict(self) -> verdicts.Verdict:
        if self._has_begun:
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN


def _check_answer(answer: EngineAnswer) -> None:
    """Raises where an answer is no own answer, or says that nothing ran."""
    own = answer.own
    address = answer.target.address
    if wire.NOT_EXECUTED in own or answer.status == 421:
        raise errors.TargetError(
            f"{address} did not run it: {answer.status}"
            f" {own.get(AT_SERVER, '')}".rstrip(),
            verdicts.Verdict.NOT_RUN,
            is_leaving=answer.status == 421,
            # An address; helpers fail too.
            at_fault=own.get(AT_SERVER, ""),
        )
    if own.get(wire.ATTEMPT_ID) != answer.request.request_id:
        raise errors.TargetError(
            f"{address}: the answer does not name the request",
            verdicts.Verdict.MAY_HAVE_RUN,
        )
    if wire.CONTENT_ENCODING in own:
        raise errors.TargetError(
            f"{address}: the answer is encoded",
            verdicts.Verdict.MAY_HAVE_RUN,
        )


def _helper_list(
    helpers: tuple[tuple[target_records.Target, str], ...],
) -> str:
    return ",".join(
        f"{target.address}/{reservation}" if reservation else target.address
        for target, reservation in helpers
    )


def _key(target: target_records.Target) -> _Key:
    return target.address, target.name, target.born


def _new_parser() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
    )


def _is_readable(connection: socket.socket) -> bool:
    poll = select.poll()
    poll.register(connection, select.POLLIN)
    return bool(poll.poll(0))
