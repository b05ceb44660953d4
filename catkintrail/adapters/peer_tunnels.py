"""Connections to targets through a peer that reaches them.

An instance that is cut off from a target asks a peer for a tunnel: the peer
opens a connection to the target and copies the bytes both ways. It serves no
tunnel by asking another peer, so that there are no loops. All that is decided
about the request remains with the instance that took it.

A tunnel begins with the name of the target and a time-out, to which the peer
answers with one byte. What the target sends is carried in frames, so that the
end of its connection can be told from the end of the tunnel.
"""

import socket
import struct
from typing import Any

import msgpack

from catkintrail.adapters import sockets

__all__ = [
    "BrokenTunnelError",
    "TargetNotReachedError",
    "TunnelSocket",
    "has_unread_frames",
    "is_tunnel",
    "open_tunnel",
]

# Answers of the peer.
CONNECTED = b"\x00"
NOT_REACHED = b"\x01"
DECLINED = b"\x02"
# Types of frames.
DATA = 0
END = 1
RESET = 2
FRAME_HEAD = struct.Struct(">BI")
REQUEST_HEAD = struct.Struct(">H")
COPY_BYTES = 64 << 10
# Share of the near end's wait in which a peer tries to reach the target, so
# that its answer arrives in time.
CONNECT_SHARE = 0.8


class BrokenTunnelError(ConnectionError):
    """The tunnel ended, which says nothing about the target."""


class TargetNotReachedError(ConnectionError):
    """The peer does not reach the target either."""


class TunnelSocket(sockets.AdoptedSocket):
    """The near end of a tunnel; reads what the target sends.

    Attributes:
        peer: IP address of the peer.
        is_ended: Whether the target has closed its connection.
    """

    def __init__(self, original: socket.socket, peer: str) -> None:
        super().__init__(original)
        self.peer = peer
        self.is_ended = False
        self._received = bytearray()

    @property
    def has_unread_frames(self) -> bool:
        """Whether bytes were received that `recv` has not returned."""
        return bool(self._received) or self.is_ended

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Returns bytes of the target; b"" after it closed its connection.

        Raises:
            BrokenTunnelError: The tunnel ended before the target's connection.
            ConnectionResetError: The target reset its connection.
        """
        while not self.is_ended:
            if len(self._received) >= FRAME_HEAD.size:
                kind, length = FRAME_HEAD.unpack_from(self._received)
                end = FRAME_HEAD.size + length
                if kind == RESET:
                    raise ConnectionResetError(
                        "the target reset the connection"
                    )
                if kind == END:
                    self.is_ended = True
                    continue
                if len(self._received) >= end:
                    return self._take(end, bufsize)
            try:
                data = super().recv(COPY_BYTES, flags)
            except ConnectionError as error:
                raise BrokenTunnelError(str(error)) from error
            if not data:
                raise BrokenTunnelError("the tunnel through a peer ended")
            self._received += data
        return b""

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Reads bytes of the target into a buffer; see `recv`."""
        data = self.recv(nbytes or len(buffer), flags)
        buffer[: len(data)] = data
        return len(data)

    def _take(self, end: int, bufsize: int) -> bytes:
        """Returns at most `bufsize` bytes of the frame that ends at `end`."""
        start = FRAME_HEAD.size
        data = bytes(self._received[start : min(end, start + bufsize)])
        del self._received[: start + len(data)]
        left = end - start - len(data)
        if left:
            self._received[:0] = FRAME_HEAD.pack(DATA, left)
        return data


def is_tunnel(connection: socket.socket) -> bool:
    """Returns whether a connection leads through a peer."""
    return isinstance(connection, TunnelSocket)


def has_unread_frames(connection: socket.socket) -> bool:
    """Returns whether a tunnel holds bytes that polling does not show."""
    return isinstance(connection, TunnelSocket) and connection.has_unread_frames


def open_tunnel(
    peer: str, port: int, target: str, timeout_seconds: float
) -> TunnelSocket | None:
    """Asks a peer to connect this instance to a target.

    Args:
        peer: IP address of the peer.
        port: Port of its `tunnel_server.TunnelServer`.
        target: Name of the target.
        timeout_seconds: The longest wait.

    Returns:
        The connection; None if the peer declines.

    Raises:
        TargetNotReachedError: The peer does not reach the target.
        OSError: The peer did not answer.
    """
    connection = socket.create_connection((peer, port), timeout_seconds)
    try:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        request = msgpack.packb((target, CONNECT_SHARE * timeout_seconds))
        connection.sendall(REQUEST_HEAD.pack(len(request)) + request)
        answer = connection.recv(1)
        if answer == CONNECTED:
            return TunnelSocket(connection, peer)
        if answer == NOT_REACHED:
            raise TargetNotReachedError(f"{peer} does not reach {target}")
    except BaseException:
        connection.close()
        raise
    connection.close()
    return None
