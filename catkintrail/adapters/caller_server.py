"""The parts of cheroot's server that accept callers and serve them."""

import contextlib
import errno
import heapq
import itertools
import select
import threading
from typing import Any

from cheroot import connections as cheroot_connections
from cheroot import server as cheroot_server
from cheroot.workers import threadpool

from catkintrail.adapters import caller_connections
from catkintrail.adapters import sockets

__all__ = ["LISTEN_BACKLOG", "Server", "ThreadPool"]

LISTEN_BACKLOG = 512
# Paced connections are looked for this often.
RESUME_SECONDS = 0.02
# At the limit of connections, this share is ended at once, as the search for
# the least used ones takes time.
ENDED_SHARE = 0.02
# Errors of `accept` at the limit of descriptors.
_NO_DESCRIPTOR = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ConnectionManager(cheroot_connections.ConnectionManager):
    """Accepts connections, and finds those with requests.

    Requests that wait when the port closes are still passed on to threads.
    """

    def __init__(self, server: cheroot_server.HTTPServer) -> None:
        super().__init__(server)
        self._owner = server.caller_server
        self._paused: list[tuple[float, int, Any]] = []
        self._numbers = itertools.count()
        self._pause_lock = threading.Lock()

    def put(self, conn: caller_connections.CallerConnection) -> None:
        """Takes back a connection that a thread has read or served."""
        if conn.has_more and conn.resume_at <= self._owner.clock():
            self.server.process_conn(conn)
            return
        self._owner.memory.begin_wait(conn.held)
        if conn.resume_at > self._owner.clock():
            with self._pause_lock:
                entry = (conn.resume_at, next(self._numbers), conn)
                heapq.heappush(self._paused, entry)
            return
        self._register(conn)

    def _register(self, conn: caller_connections.CallerConnection) -> None:
        # The caller may have left, or had to give way, meanwhile.
        try:
            self._selector.register(
                conn.socket.fileno(), select.EPOLLIN, data=conn
            )
        except (OSError, ValueError, KeyError):
            conn.close()

    def _run(self, expiration_interval: float) -> None:
        """Passes connections with bytes on to threads until the stop."""
        checked_at = self._owner.clock()
        while not self._stop_requested:
            timeout = RESUME_SECONDS if self._paused else expiration_interval
            has_new_callers = False
            for descriptor, conn in list(self._selector.select(timeout)):
                if conn is self.server:
                    has_new_callers = True
                else:
                    self._selector.unregister(descriptor)
                    self.server.process_conn(conn)
            # New connections may displace those that are still registered.
            if has_new_callers:
                self._accept_all()
            now = self._owner.clock()
            for conn in self._take_paused(now):
                self.server.process_conn(conn)
            if now - checked_at > expiration_interval:
                checked_at = now
                self._expire(now)

    def _take_paused(self, now: float) -> list[Any]:
        due = []
        with self._pause_lock:
            while self._paused and self._paused[0][0] <= now:
                due.append(heapq.heappop(self._paused)[2])
        return due

    def _expire(self, threshold: float) -> None:
        """Ends connections whose callers have let a time limit pass.

        Those with bytes that were not read yet may have been in time.

        Args:
            threshold: The time in seconds.
        """
        for descriptor, conn in list(self._selector.connections):
            if (
                conn is not self.server
                and conn.is_expired(threshold)
                and not sockets.has_event(conn.socket, select.POLLIN)
            ):
                self._selector.unregister(descriptor)
                conn.expire()
        # Paced connections are not in the selector, which would show that
        # their callers have left.
        with self._pause_lock:
            kept, ended = [], []
            for entry in self._paused:
                is_ended = entry[2].is_expired(threshold) or sockets.has_event(
                    entry[2].socket, select.POLLRDHUP
                )
                (ended if is_ended else kept).append(entry)
            self._paused = kept
            heapq.heapify(kept)
        for _, _, conn in ended:
            conn.expire()

    def _accept_all(self) -> None:
        """Accepts the connections that wait."""
        for _ in range(LISTEN_BACKLOG):
            conn = self._accept()
            if conn is not None:
                if sockets.has_event(conn.socket, select.POLLIN):
                    self.server.process_conn(conn)
                else:
                    self.put(conn)
            if not sockets.has_event(self.server.socket, select.POLLIN):
                break

    def _accept(self) -> Any:
        """Accepts a connection; returns None if there is none."""
        if self._owner.is_full:
            self._end_least_used()
        try:
            conn = self._from_server_socket(self.server.socket)
        except OSError as error:
            if error.errno not in _NO_DESCRIPTOR:
                raise
            self._end_least_used()
            return None
        if conn is None:
            return None
        conn.held.sources = (f"address {conn.remote_addr}",)
        self._owner.add_connection(conn)
        if self._owner.is_overfull:
            # All others are being served.
            conn.close()
            return None
        return conn

    def _end_least_used(self) -> None:
        """Ends idle connections, and then those that make no progress."""
        waiting = [
            (conn.is_partial, conn.held.progress_at, descriptor, conn)
            for descriptor, conn in self._selector.connections
            if conn is not self.server
        ]
        count = 1 + int(ENDED_SHARE * len(waiting))
        for _, _, descriptor, conn in heapq.nsmallest(
            count, waiting, key=lambda entry: entry[:3]
        ):
            self._selector.unregister(descriptor)
            self._owner.record_displaced("connections")
            conn.close()

    def stop(self) -> None:
        """Closes the port after the connections that wait were accepted.

        Requests that are not whole are read by threads from here on.
        """
        super().stop()
        listener = self.server.socket
        with contextlib.suppress(OSError):
            if sockets.has_event(listener, select.POLLIN):
                self._accept_all()
        self.server.socket = None
        listener.close()
        with contextlib.suppress(OSError):
            for descriptor, conn in list(self._selector.select(0)):
                if conn is not self.server:
                    self._selector.unregister(descriptor)
                    self.server.process_conn(conn)
            for descriptor, conn in list(self._selector.connections):
                if conn is not self.server and conn.is_reading:
                    self._selector.unregister(descriptor)
                    self.server.process_conn(conn)
        for conn in self._take_paused(float("inf")):
            self.server.process_conn(conn)


class Server(cheroot_server.HTTPServer):
    """The server; `caller_server` is its owner."""

    ConnectionClass = caller_connections.CallerConnection

    def prepare(self) -> None:
        """Opens the port."""
        super().prepare()
        self._connections.close()
        # pylint: disable-next=attribute-defined-outside-init
        self._connections = ConnectionManager(self)

    def put_conn(self, conn: caller_connections.CallerConnection) -> None:
        """Takes back a connection; one with half a request is read on."""
        if not self.ready and conn.is_reading:
            self.process_conn(conn)
        else:
            super().put_conn(conn)


class ThreadPool(threadpool.ThreadPool):
    """Threads that serve requests.

    The stop waits for all of them, also for those that are being started.
    """

    def __init__(
        self, server: cheroot_server.HTTPServer, threads: tuple[int, int]
    ) -> None:
        super().__init__(server, min=threads[0], max=threads[1])
        self._growth_lock = threading.Lock()
        self._is_stopped = False

    @property
    def is_exhausted(self) -> bool:
        """Whether no thread is free, and none can be started."""
        return not self.idle and len(self._threads) >= self.max

    def grow(self, amount: int) -> None:
        """Starts threads, unless the pool has stopped."""
        with self._growth_lock:
            if not self._is_stopped:
                super().grow(amount)

    def stop(self, timeout: float | None = 5) -> None:
        """Ends the threads after their requests and those that wait."""
        self.grow(self.qsize - self.idle)
        with self._growth_lock:
            self._is_stopped = True
        super().stop(timeout)
