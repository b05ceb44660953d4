"""TCP keep-alive: finds connections whose other end is gone without a word."""

import errno
import socket

__all__ = ["OPTIONS", "is_lost", "start", "stop"]

# A connection whose other end does not respond is lost after about three
# seconds; one lost probe does not end it.
IDLE_SECONDS = 1
INTERVAL_SECONDS = 1
PROBES = 2
# Within this time, bytes sent have to be acknowledged; until they are, no
# probes are sent. Linux also goes by it, instead of the number of probes, to
# end a connection when the next probe is due.
ACKNOWLEDGEMENT_MILLISECONDS = 2_500

OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES),
)

_LOST_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)


def start(connection: socket.socket) -> None:
    """Ends a connection when its other end does not respond any more."""
    for level, option, value in OPTIONS:
        connection.setsockopt(level, option, value)
    connection.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        ACKNOWLEDGEMENT_MILLISECONDS,
    )


def stop(connection: socket.socket) -> None:
    """Keeps a connection, whether its other end responds or not."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 0)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 0)


def is_lost(error: OSError) -> bool:
    """Returns whether an error states that the other end does not respond.

    The time-out that a caller has set for a socket has no error number.
    """
    return error.errno in _LOST_ERRORS
