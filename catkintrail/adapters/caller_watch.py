"""Detects callers that disconnect while their requests are served."""

import logging
import select
import socket
import threading
from typing import Callable

__all__ = ["CallerConnection", "DisconnectWatcher"]

_LOG = logging.getLogger("catkintrail.callers")

POLL_SECONDS = 1.0


class CallerConnection:
    """State of a caller's connection while a request is served.

    Attributes:
        is_disconnected: Whether the caller has closed the connection.
        is_interrupted: Whether the request has to be answered now, as the
            process ends.
    """

    def __init__(self) -> None:
        self.is_disconnected = False
        self.is_interrupted = False
        self._on_disconnect: Callable[[], None] | None = None
        self._lock = threading.Lock()

    def set_disconnect_callback(self, shut: Callable[[], None]) -> None:
        """Sets the function that is called when the request has to end.

        That is when the caller disconnects, or the request is interrupted. It
        is called at once if that has happened already.

        Args:
            shut: The function; called with the lock held, so it must not call
                methods of this object.
        """
        with self._lock:
            self._on_disconnect = shut
            if self.is_disconnected or self.is_interrupted:
                shut()

    def clear_disconnect_callback(self) -> None:
        """Removes the function that `set_disconnect_callback` set."""
        with self._lock:
            self._on_disconnect = None

    def mark_disconnected(self) -> None:
        """Records that the caller disconnected; calls the callback."""
        with self._lock:
            self.is_disconnected = True
            if self._on_disconnect is not None:
                self._on_disconnect()

    def interrupt(self) -> None:
        """Has the request answered now; calls the callback."""
        with self._lock:
            self.is_interrupted = True
            if self._on_disconnect is not None:
                self._on_disconnect()


class DisconnectWatcher:
    """Watches connections for a close by the caller, in one thread."""

    def __init__(self) -> None:
        self._epoll = select.epoll()
        self._states: dict[int, CallerConnection] = {}
        self._lock = threading.Lock()
        self._is_stopped = False
        self._is_interrupting = False

    def start(self) -> None:
        """Starts the thread."""
        threading.Thread(
            target=self._run, name="caller-watch", daemon=True
        ).start()

    def stop(self) -> None:
        """Stops the thread within POLL_SECONDS."""
        self._is_stopped = True

    def add(self, connection: socket.socket) -> CallerConnection:
        """Starts watching a connection; returns its state."""
        state = CallerConnection()
        descriptor = connection.fileno()
        with self._lock:
            state.is_interrupted = self._is_interrupting
            self._epoll.register(descriptor, select.EPOLLRDHUP)
            self._states[descriptor] = state
        return state

    def remove(self, connection: socket.socket) -> None:
        """Stops watching a connection."""
        descriptor = connection.fileno()
        with self._lock:
            if self._states.pop(descriptor, None) is not None:
                self._epoll.unregister(descriptor)

    def interrupt_all(self) -> None:
        """Interrupts the requests of all connections, now and from now on."""
        with self._lock:
            self._is_interrupting = True
            states = list(self._states.values())
        for state in states:
            state.interrupt()

    def _run(self) -> None:
        while not self._is_stopped:
            try:
                has_events = bool(self._epoll.poll(POLL_SECONDS))
                closed = self._take_closed() if has_events else []
            except OSError:
                _LOG.exception("watch_failed")
                return
            for state in closed:
                state.mark_disconnected()

    def _take_closed(self) -> list[CallerConnection]:
        """Stops watching the connections that callers have closed.

        Events are read again with the lock held: by the time an earlier event
        is handled, its descriptor may belong to another connection.
        """
        closed = []
        with self._lock:
            for descriptor, _ in self._epoll.poll(0):
                closed.append(self._states.pop(descriptor))
                self._epoll.unregister(descriptor)
        return closed
