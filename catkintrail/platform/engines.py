"""HTTP/1.1 client for engines and services, with persistent connections.

Responses are parsed by h11, because it exposes bytes that follow a response. A
connection with such bytes must not be reused.
"""

import collections
import contextlib
import logging
import select
import socket
import threading
import time
from typing import Callable, NamedTuple

import h11

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.adapters import keep_alive
from catkintrail.adapters import peer_tunnels
from catkintrail.adapters import sockets
from catkintrail.adapters import target_connector
from catkintrail.core import reading_pauses
from catkintrail.core import target_notices
from catkintrail.core import target_pauses
from catkintrail.core import targets as target_records
from catkintrail.platform import target_reports
from catkintrail.platform import wire
from catkintrail.ports import relaying

__all__ = ["EngineClient"]

_LOG = logging.getLogger("catkintrail.engines")

# Connecting to a live target takes a few milliseconds; a broken network link
# gives no reply at all.
CONNECT_TIMEOUT_SECONDS = 0.4
RECEIVE_BYTES = 64 << 10
# Idle connections are closed this long before the keep-alive time-out that the
# target states.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
# For targets that state no keep-alive time-out; they close idle connections in
# less than a second.
DEFAULT_KEEP_ALIVE_SECONDS = 0.5
MAX_IDLE_CONNECTIONS = 16
# Lower bound of socket time-outs; zero would make the socket non-blocking.
MIN_TIMEOUT_SECONDS = 0.001
MAX_HEADER_BYTES = 64 << 10
# Informational heads before a response, and bytes of a late response to an
# earlier request, after which the connection is given up.
MAX_INFORMATIONAL_HEADS = 16
MAX_SKIPPED_BYTES = 1 << 20
# A process that ends may close its connections before it stops listening.
END_CHECK_DELAY_SECONDS = 0.03
END_CHECK_SECONDS = 0.5
AT_SERVER = "at-server"


# Address, name and start time (`born`) of a target.
_TargetKey = tuple[str, str, int]


class _IdleConnection(NamedTuple):
    """A connection that may be reused until `expires_at`, in seconds."""

    socket: socket.socket
    expires_at: float


class EngineClient:
    """Sends requests to targets and keeps idle connections for reuse.

    Attributes:
        clock: Returns the time in seconds.
        notices: What targets have stated of themselves.
        record_statement: Records what a response states of its target.
        connector: Opens connections.
        reused_connections: Number of times an idle connection was taken for a
            request.
        engine_services: Names of the services whose targets are engines.
        stalled_at: When this process last went on after it had stood still, in
            seconds.
        connection_shares: This instance's share of the connections that each
            target of a service accepts, by service. The share limits which
            connections are kept idle; it never prevents opening one for a
            request.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        notices: target_notices.TargetNotices,
        record_statement: relaying.StatementRecorder,
        connector: target_connector.TargetConnector,
    ) -> None:
        self.clock = clock
        self.notices = notices
        self.record_statement = record_statement
        self.connector = connector
        self.reused_connections = 0
        self.engine_services: frozenset[str] = frozenset()
        self.stalled_at = float("-inf")
        self.connection_shares: dict[str, int] = {}
        self._idle_connections: dict[
            _TargetKey, collections.deque[_IdleConnection]
        ] = {}
        self._open: dict[_TargetKey, set[socket.socket]] = {}
        self._lock = threading.Lock()

    def send(
        self,
        target: target_records.Target,
        request: relaying.TargetRequest,
        caller: relaying.Caller,
        until: float,
        extend: relaying.Extension,
    ) -> "EngineResponse":
        """Sends a request and waits for the head of its response.

        Args:
            target: The target to send to.
            request: The request to send.
            caller: Cancels the wait when the caller disconnects.
            until: When to give up, in seconds.
            extend: Asked before this wait, or one for a part of the body, is
                given up.

        Raises:
            errors.TargetError: No valid response arrived, or it states that the
                request was not run.
            errors.CallerDisconnectedError: The caller has disconnected.
        """
        zones = request.carrier_zones
        while (idle_connection := self._pop_idle(target, zones)) is not None:
            try:
                return self._exchange(
                    EngineResponse(
                        self, target, request, idle_connection, True, extend
                    ),
                    caller,
                    until,
                )
            except _StaleConnectionError:
                # No byte of the request was sent.
                continue
        connection = self._connect(target, until, zones)
        return self._exchange(
            EngineResponse(self, target, request, connection, False, extend),
            caller,
            until,
        )

    def _exchange(
        self,
        response: "EngineResponse",
        caller: relaying.Caller,
        until: float,
    ) -> "EngineResponse":
        caller.set_disconnect_callback(response.interrupt)
        try:
            response.exchange_heads(until)
            _check_response(response)
        except BaseException as error:
            caller.clear_disconnect_callback()
            response.discard()
            if caller.is_disconnected:
                raise errors.CallerDisconnectedError(
                    "the caller disconnected before the response"
                ) from error
            raise
        return response

    def release(
        self,
        target: target_records.Target,
        connection: socket.socket,
        idle_seconds: float,
    ) -> None:
        """Keeps a connection for reuse, or closes it if there are enough.

        Args:
            target: The target that it leads to.
            connection: A connection whose response is complete.
            idle_seconds: How long the connection may stay idle; if not
                positive, it is closed.
        """
        key = _target_key(target)
        share = self.connection_shares.get(target.service, MAX_IDLE_CONNECTIONS)
        with self._lock:
            queue = self._idle_connections.setdefault(key, collections.deque())
            may_keep = (
                idle_seconds > 0
                and len(queue) < MAX_IDLE_CONNECTIONS
                and len(self._open.get(key, ())) <= max(1, share)
            )
            if may_keep:
                queue.append(
                    _IdleConnection(connection, self.clock() + idle_seconds)
                )
            else:
                self._close(key, connection)

    def close(
        self, target: target_records.Target, connection: socket.socket
    ) -> None:
        """Closes a connection that cannot be reused."""
        with self._lock:
            self._close(_target_key(target), connection)

    def close_idle(self) -> None:
        """Closes idle connections that have expired."""
        now = self.clock()
        with self._lock:
            for key, queue in list(self._idle_connections.items()):
                for idle in list(queue):
                    if idle.expires_at <= now:
                        queue.remove(idle)
                        self._close(key, idle.socket)
                if not queue:
                    del self._idle_connections[key]

    def _close(self, key: _TargetKey, connection: socket.socket) -> None:
        connection.close()
        open_connections = self._open[key]
        open_connections.discard(connection)
        if not open_connections:
            del self._open[key]

    def _pop_idle(
        self,
        target: target_records.Target,
        carrier_zones: frozenset[str] | None = None,
    ) -> socket.socket | None:
        now = self.clock()
        key = _target_key(target)
        with self._lock:
            queue = self._idle_connections.get(key)
            while queue:
                idle = queue.pop()
                if (
                    idle.expires_at > now
                    and self.connector.may_reuse(
                        target, idle.socket, carrier_zones
                    )
                    and not _is_readable(idle.socket)
                ):
                    self.reused_connections += 1
                    return idle.socket
                self._close(key, idle.socket)
        return None

    def _connect(
        self,
        target: target_records.Target,
        until: float,
        carrier_zones: frozenset[str] | None,
    ) -> socket.socket:
        timeout = min(CONNECT_TIMEOUT_SECONDS, until - self.clock())
        try:
            connection = self.connector.connect(target, timeout, carrier_zones)
        except TimeoutError as error:
            raise errors.TargetError(
                f"no connection to {target.address} within {timeout:.2f} s",
                verdicts.Verdict.NOT_RUN,
                is_silent=True,
            ) from error
        except (OSError, ValueError) as error:
            # A host name may have a form that cannot be looked up.
            raise errors.TargetError(
                f"cannot connect to {target.address}: {error}",
                verdicts.Verdict.NOT_RUN,
                is_silent=True,
            ) from error
        with self._lock:
            key = _target_key(target)
            self._open.setdefault(key, set()).add(connection)
        return connection

    def has_open_connection(self, target: target_records.Target) -> bool:
        """Returns whether a target holds a connection to this instance open.

        The connections of a process end with it. Tunnels do not show it.
        """
        with self._lock:
            return any(
                not peer_tunnels.is_tunnel(connection)
                and not sockets.has_event(connection, select.POLLRDHUP)
                for connection in self._open.get(_target_key(target), ())
            )


class _StaleConnectionError(errors.TargetError):
    """An idle connection became readable before the request was sent."""


class EngineResponse:
    """A request to a target and its response, on one connection.

    Attributes:
        client: The client that owns the connection.
        target: The target.
        request: The request.
        status: Status code; 0 until the response head is received.
        headers: End-to-end headers of the response.
        is_signed: Whether the response has an `Engine-Stamp` header.
        is_reused: Whether the connection has carried an earlier request.
        is_framed: Whether the head states how the end of the body is found.
        headers_by_name: All headers of the response, by lower-case name.
    """

    def __init__(
        self,
        client: EngineClient,
        target: target_records.Target,
        request: relaying.TargetRequest,
        connection: socket.socket,
        is_reused: bool,
        extend: relaying.Extension,
    ) -> None:
        self.client = client
        self.target = target
        self.request = request
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.is_signed = False
        self.is_reused = is_reused
        self.headers_by_name: dict[str, str] = {}
        self._socket = connection
        self._http = _new_parser()
        self._is_complete = False
        self._is_request_sent = False
        self._has_sent_bytes = False
        self.is_framed = True
        self._is_closed = False
        self._is_interrupted = False
        self._is_ended_by_target = False
        self._sent_at = 0.0
        self._pauses = reading_pauses.ReadingPauses()
        self._extend = extend
        self._is_probed = False

    def exchange_heads(self, until: float) -> None:
        """Sends the request and reads the head of its response.

        A late response to an earlier request on the connection is skipped.
        """
        data = self._encode_request()
        if self.client.clock() > self.request.valid_until:
            raise errors.ProofExpiredError()
        now = self.client.clock()
        helpers = [helper for helper, _ in self.request.helpers]
        for target in (self.target, *helpers):
            obstacle = self.client.notices.find_obstacle(
                target, self.request.permits, now
            )
            if obstacle:
                raise errors.TargetNotCalledError(obstacle, target.name)
        self._sent_at = now
        if any(reservation for _, reservation in self.request.helpers):
            # The memory has to be free soon after the target has ended, and
            # the machine of a target may end without closing connections.
            self._is_probed = True
            keep_alive.start(self._socket)
        self._send(data, until)
        informational_heads = 0
        while True:
            event = self._next_event(until)
            if isinstance(event, h11.InformationalResponse):
                informational_heads += 1
                if informational_heads > MAX_INFORMATIONAL_HEADS:
                    raise self._make_failure("no final response head")
                continue
            if not isinstance(event, h11.Response):
                raise self._make_failure("no response head was received")
            if event.status_code not in verdicts.FINAL_STATUSES:
                raise self._make_failure(
                    f"{event.status_code} is no valid status"
                )
            self._store_head(event)
            if self.headers_by_name.get(wire.ATTEMPT_ID) in (
                None,
                self.request.request_id,
            ):
                return
            # A late response to an earlier request.
            self._skip_response(until)

    @property
    def is_own(self) -> bool:
        """Whether the received head answers this request.

        On a connection that has carried an earlier request, a head without an
        id may be a response to that one, written once more.
        """
        request_id = self.headers_by_name.get(wire.ATTEMPT_ID)
        if request_id is None:
            return not self.is_reused
        return request_id == self.request.request_id

    def read(self, until: float) -> bytes:
        """Returns the next bytes of the body; b"" when it is complete."""
        self._pauses.record_read(self.client.clock())
        while not self._is_complete:
            event = self._next_event(until)
            if isinstance(event, h11.Data):
                self._pauses.record_bytes(len(event.data), self.client.clock())
                return bytes(event.data)
            if isinstance(event, h11.EndOfMessage):
                self._check_end()
                self._is_complete = True
            else:
                raise self._make_failure("the response is truncated")
        return b""

    def close(self) -> None:
        """Releases the connection; closes it if it cannot be reused."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._is_complete and self._is_request_sent and self._is_reusable():
            if self._is_probed:
                keep_alive.stop(self._socket)
            self.client.release(self.target, self._socket, self._idle_seconds())
        else:
            self.client.close(self.target, self._socket)

    def discard(self) -> None:
        """Closes the connection even if it could be reused."""
        self._is_complete = False
        self.close()

    def interrupt(self) -> None:
        """Ends a blocking call on the connection in another thread."""
        self._is_interrupted = True
        # The socket may be closed already.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_RDWR)

    def _check_end(self) -> None:
        """Checks that a body was ended by its target.

        A body that is not framed ends with the connection. A target that ends
        the connection while the request is on its way, or resets it, may not
        have sent all of the body; nor may one whose process has ended, or that
        had a reason to cut the response.

        Raises:
            errors.TargetError: The body may be truncated.
        """
        if self.is_framed or not self._is_ended_by_target:
            return
        left_seconds = self.request.deadline - self.client.clock()
        reason = at_fault = ""
        is_certain = False
        if not self._was_request_received():
            reason = "the connection ended before the request was received"
            is_certain = True
        elif left_seconds <= END_CHECK_DELAY_SECONDS:
            reason = "the connection ended at the deadline"
        else:
            time.sleep(END_CHECK_DELAY_SECONDS)
            stalled_at = self.client.stalled_at
            if stalled_at < self._sent_at:
                stalled_at = float("-inf")
            if self._pauses.may_be_cut(stalled_at):
                reason = "the response stayed unread"
            elif doubt := self._find_doubt():
                reason = doubt.reason
                is_certain = doubt.is_certain
                at_fault = doubt.participant.target.address
        _LOG.info(
            "unframed_end",
            extra={
                "request_id": self.request.request_id,
                "target": self.target.name,
                "left_ms": round(left_seconds * 1000.0, 1),
                "doubt": reason,
            },
        )
        if not reason:
            return
        message = f"{self.target.address}: the response may be truncated:"
        error_type = errors.UncertainEndError
        if is_certain:
            error_type = errors.TargetError
        raise error_type(
            f"{message} {reason}",
            self._verdict(),
            at_fault=at_fault,
            is_broken_off=is_certain and at_fault in ("", self.target.address),
        )

    def _was_request_received(self) -> bool:
        return self._is_request_sent and not (
            sockets.has_unsent_bytes(self._socket)
            or sockets.has_failed(self._socket)
        )

    def _find_doubt(self) -> target_reports.Doubt | None:
        """Looks for a target whose end may have ended the connection."""
        now = self.client.clock()
        request = self.request

        def describe(
            target: target_records.Target, reservation: str = ""
        ) -> target_reports.Participant:
            obstacle = self.client.notices.find_obstacle(
                target, request.permits, now
            )
            is_engine = target.service in self.client.engine_services
            return target_reports.Participant(
                target,
                is_engine and not obstacle,
                target != self.target,
                reservation,
            )

        participants = [describe(*helper) for helper in request.helpers]
        if not self.client.has_open_connection(self.target):
            participants.insert(0, describe(self.target))
        return target_reports.find_doubt(
            self.client.connector,
            participants,
            request.carrier_zones,
            int((time.time() - (now - self._sent_at)) * 1000),
            max(
                MIN_TIMEOUT_SECONDS,
                min(END_CHECK_SECONDS, request.deadline - now),
            ),
        )

    def _encode_request(self) -> bytes:
        request = self.request
        remaining_ms = (request.deadline - self.client.clock()) * 1000.0
        headers = [
            (name, value)
            for name, value in request.headers
            if name.lower() not in wire.HOP_BY_HOP
            and name.lower() not in wire.NOT_FORWARDED
            and name.lower() != "host"
        ]
        if request.resume_after >= 0:
            headers = [h for h in headers if h[0].lower() != wire.LAST_EVENT_ID]
            headers.append(("Last-Event-Id", str(request.resume_after)))
        headers.insert(0, ("Host", request.host))
        headers.append(("Deadline-Ms", str(max(1, int(remaining_ms)))))
        headers.append(("Expect-Instance", self.target.name))
        if request.organisation:
            headers.append(("Tenant", request.organisation))
        if request.helpers:
            headers.append(("Helpers", _encode_helpers(request.helpers)))
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
                f"the request cannot be forwarded: {error}",
                verdicts.Verdict.NOT_RUN,
            ) from error
        return data

    def _send(self, data: bytes, until: float) -> None:
        """Sends all bytes, or fewer if the target responds early."""
        view = memoryview(data)
        poll = select.poll()
        poll.register(self._socket, select.POLLIN | select.POLLOUT)
        self._socket.setblocking(False)
        try:
            while view:
                remaining = until - self.client.clock()
                if remaining <= 0:
                    raise self._make_timeout_error(
                        "the target did not read the request in time"
                    )
                for _, flags in poll.poll(max(1, int(remaining * 1000))):
                    if flags & (select.POLLIN | select.POLLHUP):
                        if self.is_reused and not self._has_sent_bytes:
                            raise _StaleConnectionError(
                                "the reused connection is stale",
                                verdicts.Verdict.NOT_RUN,
                            )
                        # An early response; the remaining bytes are not sent.
                        return
                    if flags & select.POLLOUT:
                        self._has_sent_bytes = True
                        view = view[self._write(view) :]
                    elif flags & select.POLLERR:
                        raise self._make_failure("the connection failed")
        except OSError as error:
            raise self._make_failure(
                f"sending the request failed: {error}"
            ) from error
        self._is_request_sent = True

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
                    raise self._make_failure(
                        "unexpected bytes after the response"
                    )
                if event is not h11.NEED_DATA:
                    return event
                data = self._receive(until)
                if not data and self._is_interrupted:
                    raise self._make_failure("the exchange was ended here")
                self._is_ended_by_target = not data
                self._http.receive_data(data)
        except OSError as error:
            if keep_alive.is_lost(error):
                raise self._make_timeout_error(
                    "the target does not respond on the connection"
                ) from error
            self._is_ended_by_target = not isinstance(
                error, peer_tunnels.BrokenTunnelError
            )
            raise self._make_failure(
                f"the connection failed: {error}"
            ) from error
        except h11.RemoteProtocolError as error:
            raise self._make_failure(
                f"the response is malformed: {error}"
            ) from error

    def _receive(self, until: float) -> bytes:
        """Returns the next bytes; asks for more time before it gives up."""
        had_to_wait = not self.is_framed and not _is_readable(self._socket)
        while True:
            remaining = until - self.client.clock()
            if remaining <= 0:
                until = self._extend()
                remaining = until - self.client.clock()
            if remaining <= 0:
                raise self._make_timeout_error(
                    "the target did not respond in time"
                )
            self._socket.settimeout(max(MIN_TIMEOUT_SECONDS, remaining))
            try:
                data = self._socket.recv(RECEIVE_BYTES)
                if data and had_to_wait:
                    self._pauses.record_caught_up(self.client.clock())
                return data
            except TimeoutError as error:
                # The end of the wait is checked by the clock of the client.
                if keep_alive.is_lost(error):
                    raise

    def _store_head(self, event: h11.Response) -> None:
        self.status = event.status_code
        self.client.connector.record_response(self.target, self._socket)
        pairs = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, value in event.headers.raw_items()
        ]
        self.headers_by_name = {name.lower(): value for name, value in pairs}
        self.headers = tuple(
            (name, value)
            for name, value in pairs
            if name.lower() not in wire.HOP_BY_HOP
        )
        self._record_statement()
        self.is_signed = wire.ENGINE_STAMP in self.headers_by_name
        self.is_framed = (
            "content-length" in self.headers_by_name
            or "transfer-encoding" in self.headers_by_name
        )

    def _record_statement(self) -> None:
        headers = self.headers_by_name
        statement = wire.decode_statement(self.status, headers)
        if self.status == 503 and wire.RETRY_AFTER in headers:
            seconds = statement.pause_seconds
            if seconds is None or seconds > target_pauses.MAX_PAUSE_SECONDS:
                text = headers[wire.RETRY_AFTER][:64]
                _LOG.warning(
                    "pause_unreadable",
                    extra={"target": self.target.name, "retry_after": text},
                )
        if (
            wire.SERVER_LIMIT in headers
            and statement.requests_per_second is None
        ):
            text = headers[wire.SERVER_LIMIT][:64]
            _LOG.warning(
                "limit_unreadable",
                extra={"target": self.target.name, "limit": text},
            )
        if not self.is_own:
            # A late response, whose limit may have been replaced since.
            statement = statement._replace(
                requests_per_second=None, ends_limit=False
            )
        self.client.record_statement(self.target, statement, self._sent_at)

    def _skip_response(self, until: float) -> None:
        """Reads the response to another request, and resets the parser."""
        skipped_bytes = 0
        while not isinstance(
            event := self._next_event(until), h11.EndOfMessage
        ):
            if isinstance(event, h11.Data):
                skipped_bytes += len(event.data)
            if skipped_bytes > MAX_SKIPPED_BYTES:
                raise self._make_failure("a late response does not end")
        remaining_bytes, is_closed = self._http.trailing_data
        if is_closed or not self.is_framed:
            raise self._make_failure(
                "received only the response to another request"
            )
        self._http = _new_parser()
        self._encode_request()
        if remaining_bytes:
            self._http.receive_data(remaining_bytes)

    def _is_reusable(self) -> bool:
        if not self.is_framed or self._http.trailing_data != (b"", False):
            return False
        if self._http.their_state is not h11.DONE:
            return False
        return not _is_readable(self._socket)

    def _idle_seconds(self) -> float:
        for part in self.headers_by_name.get("keep-alive", "").split(","):
            name, _, value = part.strip().partition("=")
            seconds = wire.decode_count(value)
            if name.lower() == "timeout" and seconds is not None:
                return seconds - KEEP_ALIVE_MARGIN_SECONDS
        return DEFAULT_KEEP_ALIVE_SECONDS

    def _make_failure(self, message: str) -> errors.TargetError:
        return errors.TargetError(
            f"{self.target.address}: {message}",
            self._verdict(),
            is_broken_off=self._is_ended_by_target,
        )

    def _make_timeout_error(self, message: str) -> errors.TargetError:
        self.client.connector.record_silence(self.target, self._socket)
        return errors.TargetError(
            f"{self.target.address}: {message}", self._verdict(), is_silent=True
        )

    def _verdict(self) -> verdicts.Verdict:
        if self._has_sent_bytes:
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN


def _check_response(response: EngineResponse) -> None:
    """Checks that a response is the target's own response to the request.

    Raises:
        errors.TargetError: The response states that the request was not run,
            lacks its id, or has a content encoding. A refusal without an id is
            taken as the target's own only on a new connection.
    """
    headers_by_name = response.headers_by_name
    address = response.target.address
    is_refusal = wire.NOT_EXECUTED in headers_by_name or response.status == 421
    if is_refusal and response.is_own:
        raise errors.TargetError(
            f"{address} did not run the request: {response.status}"
            f" {headers_by_name.get(AT_SERVER, '')}".rstrip(),
            verdicts.Verdict.NOT_RUN,
            is_leaving=response.status == 421,
            # The address of the target at fault, which may be a helper.
            at_fault=headers_by_name.get(AT_SERVER, ""),
            is_paused=response.status == 503
            and wire.RETRY_AFTER in headers_by_name,
        )
    if headers_by_name.get(wire.ATTEMPT_ID) != response.request.request_id:
        raise errors.TargetError(
            f"{address}: the response lacks the id of the request",
            verdicts.Verdict.MAY_HAVE_RUN,
        )
    if wire.CONTENT_ENCODING in headers_by_name:
        raise errors.TargetError(
            f"{address}: the response has a content encoding",
            verdicts.Verdict.MAY_HAVE_RUN,
        )


def _encode_helpers(
    helpers: tuple[tuple[target_records.Target, str], ...],
) -> str:
    return ",".join(
        f"{target.address}/{reservation}" if reservation else target.address
        for target, reservation in helpers
    )


def _target_key(target: target_records.Target) -> _TargetKey:
    return target.address, target.name, target.born


def _new_parser() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES
    )


def _is_readable(connection: socket.socket) -> bool:
    return peer_tunnels.has_unread_frames(connection) or sockets.has_event(
        connection, select.POLLIN
    )
