"""HTTP connections whose responses are bounded in time and size.

The time-outs of urllib3 apply to each read, and it reads bodies of any size. A
server that sends heads or a body without end would thus hold its caller for
ever, and fill its memory.

Responses are strict; see `strict_http`.
"""

import contextlib
import http.client
import socket
import time
from typing import Any, Callable
import weakref

import urllib3
from urllib3 import connection

from catkintrail.adapters import peer_tunnels
from catkintrail.adapters import sockets
from catkintrail.adapters import strict_http

__all__ = ["BoundedPool", "MAX_RESPONSE_BYTES", "make_pool_manager"]

OpenSocket = Callable[[str, float], socket.socket]

# Head and body of one response. Pages of lists and configurations have about a
# megabyte.
MAX_RESPONSE_BYTES = 4 << 20


class _BoundedSocket(sockets.AdoptedSocket):
    """A socket whose time-out is the limit of all reads that follow it.

    Attributes:
        deadline: Monotonic time in seconds at which reads end; infinite if
            there is no time-out.
        remaining_bytes: Number of bytes that may still be read.
    """

    deadline = float("inf")
    remaining_bytes = MAX_RESPONSE_BYTES

    def settimeout(self, value: float | None) -> None:
        """Sets the time in which the next response has to arrive."""
        super().settimeout(value)
        self.remaining_bytes = MAX_RESPONSE_BYTES
        self.deadline = float("inf")
        if value is not None:
            self.deadline = time.monotonic() + value

    def recv_into(
        self, buffer: bytearray, nbytes: int = 0, flags: int = 0
    ) -> int:
        """Reads into a buffer, within the limits.

        Raises:
            TimeoutError: The deadline has passed.
            OSError: The response is too long.
        """
        if self.deadline != float("inf"):
            remaining_seconds = self.deadline - time.monotonic()
            if remaining_seconds <= 0:
                raise TimeoutError("the response did not end in time")
            super().settimeout(remaining_seconds)
        count = super().recv_into(buffer, nbytes, flags)
        self.remaining_bytes -= count
        if self.remaining_bytes < 0:
            raise OSError("the response is too long")
        return count


class _BoundedTunnel(_BoundedSocket, peer_tunnels.TunnelSocket):
    pass


class _BoundedResponse(strict_http.StrictResponse):

    def begin(self) -> None:
        super().begin()
        # The body is read into a buffer of the stated length.
        if self.length is not None and self.length > MAX_RESPONSE_BYTES:
            raise http.client.HTTPException("the response is too long")


class _BoundedConnection(connection.HTTPConnection):

    response_class = _BoundedResponse

    def connect(self) -> None:
        super().connect()
        if peer_tunnels.is_tunnel(self.sock):
            self.sock = _BoundedTunnel(self.sock, self.sock.peer)
        else:
            self.sock = _BoundedSocket(self.sock)


class BoundedPool(urllib3.HTTPConnectionPool):
    """A pool of connections to one server.

    The read time-out of a request applies to its whole response.
    """

    ConnectionCls = _BoundedConnection

    def __init__(self, *args: Any, **options: Any) -> None:
        self._connections: weakref.WeakSet = weakref.WeakSet()
        super().__init__(*args, **options)

    def _new_conn(self) -> connection.HTTPConnection:
        new = super()._new_conn()
        self._connections.add(new)
        return new

    def end_calls(self) -> None:
        """Makes the calls in progress in other threads fail at once."""
        for used in list(self._connections):
            sock = used.sock
            if sock is not None:
                # It may be closed at the same time.
                with contextlib.suppress(OSError):
                    sock.shutdown(socket.SHUT_RDWR)


def make_pool_manager(
    num_pools: int, open_socket: OpenSocket | None = None
) -> urllib3.PoolManager:
    """Returns a manager of bounded pools that does not repeat requests.

    Args:
        num_pools: Number of servers to which connections are kept.
        open_socket: Opens connections, if that is not done directly. Takes the
            `IP:port` of a server and a time-out in seconds; raises OSError or
            ValueError.
    """
    manager = urllib3.PoolManager(num_pools=num_pools, retries=False)
    pool_class = BoundedPool if not open_socket else _make_pool(open_socket)
    manager.pool_classes_by_scheme = {"http": pool_class}
    return manager


def _make_pool(open_socket: OpenSocket) -> type[BoundedPool]:
    """Returns a class of pools whose connections a function opens."""

    class Connection(_BoundedConnection):
        """A connection that `open_socket` opens."""

        def _new_conn(self) -> socket.socket:
            address = f"{self.host}:{self.port}"
            try:
                return open_socket(address, self.timeout)
            except TimeoutError as error:
                raise urllib3.exceptions.ConnectTimeoutError(
                    self, f"no connection to {address}"
                ) from error
            except (OSError, ValueError) as error:
                raise urllib3.exceptions.NewConnectionError(
                    self, f"cannot connect to {address}: {error}"
                ) from error

    class Pool(BoundedPool):
        ConnectionCls = Connection

    return Pool
