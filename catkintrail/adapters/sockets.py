"""Sockets whose class is chosen after they were opened, and their state."""

import select
import socket

__all__ = ["AdoptedSocket", "has_event"]


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
