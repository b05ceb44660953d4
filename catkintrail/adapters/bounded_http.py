"""HTTP connections whose responses are bounded in time and size.

A server that sends heads or a body without end must not hold its caller for
ever, nor fill its memory.
"""

import collections
import contextlib
import select
import socket
import threading
import time
from typing import Callable, Mapping, NamedTuple, Sequence
import weakref

import h11

from catkintrail.adapters import peer_tunnels
from catkintrail.adapters import sockets

__all__ = ["BoundedPool", "ConnectError", "MAX_RESPONSE_BYTES", "PoolManager"]

OpenSocket = Callable[[str, float], socket.socket]

# Head and body of one response. Pages of lists and configurations have about a
# megabyte.
MAX_RESPONSE_BYTES = 4 << 20
# Head of one response.
MAX_HEAD_BYTES = 64 << 10
READ_BYTES = 256 << 10


class ConnectError(OSError):
    """No connection was opened, so that nothing was sent."""


class Response(NamedTuple):
    """A whole response.

    Attributes:
        status: Status code.
        headers: Values by lower-case names; values of equal names are joined by
            commas.
        data: The body.
    """

    status: int
    headers: Mapping[str, str]
    data: bytes


class _Connection:
    """A connection to a server.

    Attributes:
        sock: The socket.
        protocol: State of the protocol.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.protocol = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )

    def may_reuse(self) -> bool:
        """Returns whether another request may be sent."""
        return not (
            sockets.has_event(self.sock, select.POLLIN)
            or peer_tunnels.has_unread_frames(self.sock)
        )

    def exchange(
        self, request: h11.Request, body: bytes, timeout_seconds: float
    ) -> Response:
        """Sends a request and reads the response.

        Raises:
            OSError: The response is not complete in time, or is too long.
            h11.ProtocolError: The response is malformed.
        """
        deadline = time.monotonic() + timeout_seconds
        data = self.protocol.send(request) or b""
        if body:
            data += self.protocol.send(h11.Data(data=body)) or b""
        data += self.protocol.send(h11.EndOfMessage()) or b""
        self.sock.settimeout(timeout_seconds)
        self.sock.sendall(data)
        head = None
        parts = []
        remaining_bytes = MAX_RESPONSE_BYTES
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                remaining_seconds = deadline - time.monotonic()
                if remaining_seconds <= 0:
                    raise TimeoutError("the response did not end in time")
                self.sock.settimeout(remaining_seconds)
                received = self.sock.recv(READ_BYTES)
                remaining_bytes -= len(received)
                if remaining_bytes < 0:
                    raise OSError("the response is too long")
                self.protocol.receive_data(received)
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                break
            elif not isinstance(event, h11.InformationalResponse):
                raise ConnectionError("the server closed the connection")
        headers: dict[str, str] = {}
        for raw_name, raw_value in head.headers:
            name, value = raw_name.decode("latin-1"), raw_value.decode(
                "latin-1"
            )
            if name in headers:
                value = f"{headers[name]}, {value}"
            headers[name] = value
        return Response(head.status_code, headers, b"".join(parts))

    def start_next(self) -> bool:
        """Returns whether the connection may be kept for another request."""
        if (
            self.protocol.our_state is not h11.DONE
            or self.protocol.their_state is not h11.DONE
            # Bytes behind a response would be taken for the next one.
            or self.protocol.trailing_data[0]
        ):
            return False
        self.protocol.start_next_cycle()
        return True


class BoundedPool:
    """A pool of connections to one server, which does not repeat requests.

    Attributes:
        address: `IP:port` of the server.
    """

    def __init__(
        self,
        address: str,
        max_idle: int = 1,
        open_socket: OpenSocket | None = None,
        socket_options: Sequence[tuple[int, int, int]] = (),
    ) -> None:
        """Initializes the pool.

        Args:
            address: `IP:port` of the server.
            max_idle: Number of connections that are kept while they are idle.
            open_socket: Opens connections, if that is not done directly. Takes
                the address and a time-out in seconds; raises OSError or
                ValueError.
            socket_options: Levels, names and values of socket options.
        """
        self.address = address
        self._open_socket = open_socket or _open_directly
        self._socket_options = socket_options
        self._max_idle = max_idle
        self._idle: list[_Connection] = []
        self._used: weakref.WeakSet[_Connection] = weakref.WeakSet()
        self._lock = threading.Lock()

    def request(
        self,
        method: str,
        path: str,
        connect_seconds: float,
        read_seconds: float,
        headers: Mapping[str, str] | None = None,
        body: bytes = b"",
    ) -> Response:
        """Sends a request and returns the whole response.

        Args:
            method: Method, such as `GET`.
            path: Path and query.
            connect_seconds: The longest wait for a connection.
            read_seconds: The longest wait for the whole response after that.
            headers: Further headers.
            body: The body.

        Raises:
            ConnectError: No connection was opened.
            OSError: The response is missing, malformed, too long or too late.
        """
        fields = {"Host": self.address, **(headers or {})}
        if body or method != "GET":
            fields["Content-Length"] = str(len(body))
        request = h11.Request(
            method=method, target=path, headers=list(fields.items())
        )
        connection = self._take(connect_seconds)
        is_kept = False
        try:
            response = connection.exchange(request, body, read_seconds)
            is_kept = connection.start_next()
        except h11.ProtocolError as error:
            raise OSError(f"malformed response: {error}") from error
        finally:
            self._give_back(connection, is_kept)
        return response

    def end_calls(self) -> None:
        """Makes the calls in progress in other threads fail at once."""
        with self._lock:
            used = list(self._used)
        for connection in used:
            # It may be closed at the same time.
            with contextlib.suppress(OSError):
                connection.sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Closes the idle connections."""
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.sock.close()

    def _take(self, timeout_seconds: float) -> _Connection:
        """Returns an idle connection, or opens one."""
        connection = None
        while connection is None:
            with self._lock:
                if not self._idle:
                    break
                connection = self._idle.pop()
                self._used.add(connection)
            if not connection.may_reuse():
                connection.sock.close()
                connection = None
        if connection is not None:
            return connection
        try:
            sock = self._open_socket(self.address, timeout_seconds)
        except (OSError, ValueError) as error:
            raise ConnectError(
                f"cannot connect to {self.address}: {error}"
            ) from error
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for level, option, value in self._socket_options:
            sock.setsockopt(level, option, value)
        connection = _Connection(sock)
        with self._lock:
            self._used.add(connection)
        return connection

    def _give_back(self, connection: _Connection, is_kept: bool) -> None:
        with self._lock:
            self._used.discard(connection)
            if is_kept and len(self._idle) < self._max_idle:
                self._idle.append(connection)
                return
        connection.sock.close()


class PoolManager:
    """Pools of connections to the servers that were used last."""

    def __init__(
        self, max_pools: int, open_socket: OpenSocket | None = None
    ) -> None:
        self._max_pools = max_pools
        self._open_socket = open_socket
        self._pools: collections.OrderedDict[str, BoundedPool] = (
            collections.OrderedDict()
        )
        self._lock = threading.Lock()

    def pool(self, address: str) -> BoundedPool:
        """Returns the pool of a server, by `IP:port`."""
        oldest = None
        with self._lock:
            pool = self._pools.get(address)
            if pool is None:
                pool = BoundedPool(address, open_socket=self._open_socket)
                self._pools[address] = pool
            self._pools.move_to_end(address)
            if len(self._pools) > self._max_pools:
                _, oldest = self._pools.popitem(last=False)
        if oldest is not None:
            oldest.close()
        return pool


def _open_directly(address: str, timeout_seconds: float) -> socket.socket:
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout_seconds)
