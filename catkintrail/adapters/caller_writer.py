"""Writing to callers, on top of cheroot."""

from typing import Any

from catkintrail.adapters import sockets

__all__ = ["SocketWriter"]


class SocketWriter:
    """Writes to a caller without a buffer; waits while the caller is slow.

    Attributes:
        bytes_written: Number of bytes written.
    """

    def __init__(self, connection: Any) -> None:
        """Initializes the writer.

        Args:
            connection: A `caller_connections.CallerConnection`.
        """
        self.bytes_written = 0
        self._connection = connection

    def write(self, data: bytes) -> int:
        """Writes all bytes.

        Raises:
            TimeoutError: The caller does not read.
            OSError: The connection has ended.
        """
        connection = self._connection
        view = memoryview(data)
        while view:
            try:
                sent = connection.socket.send(view)
            except sockets.WOULD_BLOCK:
                connection.await_reader()
                continue
            self.bytes_written += sent
            connection.held.progress_at = connection.clock()
            view = view[sent:]
        return len(data)

    def close(self) -> None:
        """Does nothing, as nothing is buffered."""
