"""HTTP connections on which a response that is cut is an error.

http.client takes the end of a connection for the end of a head, and reads the
lengths of chunks and the trailers in the same way.
"""

import http.client
import io
import socket
from typing import Any

import urllib3
from urllib3 import connection

__all__ = [
    "StrictConnection",
    "StrictResponse",
    "make_pool_manager",
]


class _LineReader(io.BufferedReader):
    """Reads from a socket; lines that the connection's end cuts are errors.

    http.client reads heads, lengths of chunks and trailers as lines, and bodies
    by their size.
    """

    def readline(self, size: int | None = -1, /) -> bytes:
        """Returns a line, or a part of `size` bytes.

        Raises:
            http.client.RemoteDisconnected: The connection ended before that.
        """
        line = super().readline(size)
        if not line.endswith(b"\n") and len(line) != size:
            raise http.client.RemoteDisconnected(
                "the connection ended within a response, or before it"
            )
        return line


class StrictResponse(http.client.HTTPResponse):
    """A response whose head and chunks have to be whole."""

    def __init__(self, sock: socket.socket, *args: Any, **options: Any) -> None:
        super().__init__(sock, *args, **options)
        self.fp = _LineReader(self.fp.detach())


class StrictConnection(connection.HTTPConnection):
    """A connection whose responses are strict."""

    response_class = StrictResponse


class _StrictTlsConnection(connection.HTTPSConnection):

    response_class = StrictResponse


class _Pool(urllib3.HTTPConnectionPool):

    ConnectionCls = StrictConnection


class _TlsPool(urllib3.HTTPSConnectionPool):

    ConnectionCls = _StrictTlsConnection


def make_pool_manager(max_connections: int) -> urllib3.PoolManager:
    """Returns a manager of strict pools that does not repeat requests.

    Args:
        max_connections: Number of connections to a server that are kept.
    """
    manager = urllib3.PoolManager(maxsize=max_connections, retries=False)
    manager.pool_classes_by_scheme = {"http": _Pool, "https": _TlsPool}
    return manager
