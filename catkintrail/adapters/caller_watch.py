"""Sees callers close their connections while their requests are served."""

import logging
import select
import socket
import threading
from typing import Callable

__all__ = ["CallerConnection", "CallerWatch"]

_LOG = logging.getLogger("catkintrail.callers")

POLL_SECONDS = 1.0


class CallerConnection:
    """One caller's connection while a request is served.

    Attributes:
        is_gone: Whether the caller has closed it.
    """

    def __init__(self) -> None:
        self.is_gone = False
        self._shut: Callable[[], None] | None = None
        self._lock = threading.Lock()

    def attach(self, shut: Callable[[], None]) -> None:
        """Has a function called when the caller leaves; at once if it has."""
        with self._lock:
            self._shut = shut
            if self.is_gone:
                shut()

    def detach(self) -> None:
        """Undoes `attach`."""
        with self._lock:
            self._shut = None

    def note_gone(self) -> None:
        """Notes that the caller has closed the connection."""
        with self._lock:
            self.is_gone = True
            if self._shut is not None:
                self._shut()


class CallerWatch:
    """Waits for the far ends of connections to close, in one thread."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._watched: dict[int, CallerConnection] = {}
        self._lock = threading.Lock()
        self._is_stopped = False

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(
            target=self._run, name="caller-watch", daemon=True
        ).start()

    def stop(self) -> None:
        """Ends the thread within POLL_SECONDS."""
        self._is_stopped = True

    def add(self, connection: socket.socket) -> CallerConnection:
        """Starts to watch a connection."""
        watched = CallerConnection()
        number = connection.fileno()
        with self._lock:
            self._watched[number] = watched
            self._epoll.register(number, select.EPOLLRDHUP)
        return watched

    def remove(self, connection: socket.socket) -> None:
        """Stops to watch a connection."""
        number = connection.fileno()
        with self._lock:
            if self._watched.pop(number, None) is not None:
                self._epoll.unregister(number)

    def _run(self) -> None:
        while not self._is_stopped:
            try:
                events = self._epoll.poll(POLL_SECONDS)
            except OSError:
                _LOG.exception("watch_failed")
                return
            for number, _ in events:
                with self._lock:
                    watched = self._watched.pop(number, None)
                    if watched is not None:
                        self._epoll.unregister(number)
                if watched is not None:
                    watched.note_gone()
