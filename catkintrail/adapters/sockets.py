"""Sockets whose class is chosen after they were opened, and their state."""

import array
import contextlib
import fcntl
import select
import socket
import ssl
import struct
import termios

__all__ = [
    "WOULD_BLOCK",
    "AdoptedSocket",
    "has_event",
    "has_failed",
    "has_unsent_bytes",
    "set_reset_on_close",
]

# A TLS handshake is a part of the first reads.
WOULD_BLOCK = (BlockingIOError, ssl.SSLWantReadError, ssl.SSLWantWriteError)


class AdoptedSocket(socket.socket):
    """Takes over the connection of another socket, with its time-out."""

    def __init__(self, original: socket.socket) -> None:
        timeout = original.gettimeout()
        super().__init__(
            original.family,
            original.type,
            original.proto,
            fileno=original.detach(),
        )
        self.settimeout(timeout)


def has_event(connection: socket.socket, events: int) -> bool:
    """Returns whether a socket has one of some events of `poll` now."""
    poll = select.poll()
    poll.register(connection, events)
    return bool(poll.poll(0))


def has_failed(connection: socket.socket) -> bool:
    """Returns whether the other end has reset a connection."""
    poll = select.poll()
    poll.register(connection, 0)
    return any(flags & select.POLLERR for _, flags in poll.poll(0))


def has_unsent_bytes(connection: socket.socket) -> bool:
    """Returns whether bytes were written that the other end has not received.

    Returns:
        False also where the system does not tell.
    """
    count = array.array("i", [0])
    with contextlib.suppress(OSError):
        fcntl.ioctl(connection, termios.TIOCOUTQ, count)
    return count[0] > 0


def set_reset_on_close(connection: socket.socket, resets: bool) -> None:
    """Sets whether the close of a socket resets its connection.

    The kernel does so too when it closes the sockets of a process that ends.
    """
    linger = struct.pack("ii", int(resets), 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
