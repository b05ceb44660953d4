"""Incremental readers of HTTP/1.1 request bodies, with limits.

Each takes bytes as they arrive and never waits, so that no thread is held by
the body of a slow caller.
"""

import re
from typing import Protocol

__all__ = [
    "Body",
    "BodyError",
    "ChunkedBody",
    "LengthBody",
]

# Allows a few bytes of framing for each byte of the body, as chunks of one byte
# have them, and extensions of usual size.
FRAMING_FLOOR_BYTES = 64 << 10
FRAMING_BYTES_PER_BODY_BYTE = 16
# Equal chunks up to this size are decoded together.
RUN_CHUNK_BYTES = 512
MIN_RUN_CHUNKS = 16
# Lines up to this size are compared in that.
RUN_LINE_BYTES = 16
MAX_RUN_CHUNKS = 8_192

_SIZE = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;|\Z)")


class BodyError(ValueError):
    """A body breaks a limit or the protocol.

    Attributes:
        status: Status of the refusal.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class Body(Protocol):
    """A body that is being received.

    Attributes:
        data: What was received of the body itself.
        is_whole: Whether the end of the message was received.
    """

    data: bytearray
    is_whole: bool

    @property
    def held_bytes(self) -> int:
        """Number of bytes held."""

    def feed(self, received: bytes) -> bytes:
        """Takes received bytes; returns those behind the end of the message.

        Raises:
            BodyError: The body breaks a limit or the protocol.
        """


class LengthBody:
    """A body whose length the head states.

    Attributes:
        data: What was received.
        is_whole: Whether all of it was received.
    """

    def __init__(self, length: int) -> None:
        self.data = bytearray()
        self.is_whole = not length
        self._length = length

    @property
    def held_bytes(self) -> int:
        """Number of bytes held."""
        return len(self.data)

    def feed(self, received: bytes) -> bytes:
        """Takes received bytes; returns those behind the body."""
        missing = self._length - len(self.data)
        if len(received) <= missing:
            self.data += received
            rest = b""
        else:
            self.data += memoryview(received)[:missing]
            rest = received[missing:]
        self.is_whole = len(self.data) == self._length
        return rest


class ChunkedBody:
    """A chunked body; drops its extensions and trailers.

    Attributes:
        data: What was received of the chunks.
        is_whole: Whether the end of the trailers was received.
    """

    def __init__(self, max_bytes: int, max_line_bytes: int) -> None:
        """Initializes the reader.

        Args:
            max_bytes: Maximum size of the body.
            max_line_bytes: Maximum size of the line before a chunk, and of all
                trailers.
        """
        self.data = bytearray()
        self.is_whole = False
        self._max_bytes = max_bytes
        self._max_line_bytes = max_line_bytes
        self._unread = b""
        # Bytes of the chunk, with its line end, that are still to come.
        self._missing = 0
        self._framing_bytes = 0
        self._trailer_bytes = -1
        self._last_line = b""
        self._equal_lines = 0
        self._min_equal_lines = 2

    @property
    def held_bytes(self) -> int:
        """Number of bytes held."""
        return len(self.data) + len(self._unread)

    def feed(self, received: bytes) -> bytes:
        """Takes received bytes; returns those behind the end of the message.

        Raises:
            BodyError: The body breaks a limit or the protocol.
        """
        if self._unread:
            received = self._unread + received
            self._unread = b""
        position = 0
        while not self.is_whole:
            if self._missing:
                position = self._read_chunk(received, position)
                if self._missing:
                    break
            elif self._trailer_bytes >= 0:
                following = self._read_trailer(received, position)
                if following == position:
                    break
                position = following
            else:
                following = self._read_line(received, position)
                if following == position:
                    break
                position = following
        if self.is_whole:
            return received[position:]
        self._unread = received[position:]
        return b""

    def _read_chunk(self, received: bytes, position: int) -> int:
        """Takes bytes of a chunk, and then its line end."""
        size = min(self._missing - 2, len(received) - position)
        if size > 0:
            if size == len(received):
                self.data += received
            else:
                self.data += memoryview(received)[position : position + size]
            position += size
            self._missing -= size
        if self._missing == 2 and len(received) - position >= 2:
            if received[position : position + 2] != b"\r\n":
                raise BodyError(400, "a chunk is longer than stated")
            position += 2
            self._missing = 0
        return position

    def _read_line(self, received: bytes, position: int) -> int:
        """Reads the line before a chunk; returns where the chunk begins."""
        end = self._find_line_end(received, position)
        if end < 0:
            return position
        line = received[position:end]
        if line == self._last_line:
            self._equal_lines += 1
            if self._equal_lines >= self._min_equal_lines:
                following = self._read_run(received, position)
                if following > position:
                    return following
        else:
            self._last_line = line
            self._equal_lines = 0
        match = _SIZE.match(line, 0, len(line) - 2)
        if match is None or not line.endswith(b"\r\n"):
            raise BodyError(400, "the line before a chunk is malformed")
        size = int(match[1], 16)
        self._count(size, len(line) + 2)
        if size:
            self._missing = size + 2
        else:
            self._trailer_bytes = 0
        return end

    def _read_run(self, received: bytes, position: int) -> int:
        """Reads chunks that are alike; returns where they end.

        The processor time of a small chunk is that of its line.
        """
        line = self._last_line
        match = _SIZE.match(line, 0, len(line) - 2)
        size = int(match[1], 16)
        if not 0 < size <= RUN_CHUNK_BYTES or len(line) > RUN_LINE_BYTES:
            return position
        length = len(line) + size + 2
        count = min((len(received) - position) // length, MAX_RUN_CHUNKS)
        if count < MIN_RUN_CHUNKS:
            return position
        run = received[position : position + count * length]
        framing = line + b"\0" * size + b"\r\n"
        start = len(line)
        for index in (*range(start), length - 2, length - 1):
            if run[index::length] != framing[index : index + 1] * count:
                # Attempts that fail become rare, as each costs time.
                self._min_equal_lines = 4 * self._equal_lines
                return position
        self._count(size * count, (len(line) + 2) * count)
        chunks = bytearray(size * count)
        for index in range(size):
            chunks[index::size] = run[start + index :: length]
        self.data += chunks
        return position + count * length

    def _count(self, size: int, framing_bytes: int) -> None:
        body_bytes = len(self.data) + size
        if body_bytes > self._max_bytes:
            raise BodyError(413, "request body is too large")
        self._framing_bytes += framing_bytes
        allowed = FRAMING_BYTES_PER_BODY_BYTE * body_bytes
        if self._framing_bytes > FRAMING_FLOOR_BYTES + allowed:
            raise BodyError(413, "the framing of the body is too large")

    def _read_trailer(self, received: bytes, position: int) -> int:
        """Drops a line of the trailers; returns where the next one begins."""
        end = self._find_line_end(received, position)
        if end < 0:
            return position
        line = received[position:end]
        if not line.endswith(b"\r\n"):
            raise BodyError(400, "a trailer does not end with CRLF")
        self._trailer_bytes += len(line)
        if self._trailer_bytes > self._max_line_bytes:
            raise BodyError(431, "the trailers are too large")
        self.is_whole = line == b"\r\n"
        return end

    def _find_line_end(self, received: bytes, position: int) -> int:
        """Returns the end of the line at a position; -1 if it is to come."""
        limit = position + self._max_line_bytes
        end = received.find(b"\n", position, limit)
        if end < 0 and len(received) >= limit:
            if self._trailer_bytes >= 0:
                raise BodyError(431, "a trailer is too large")
            raise BodyError(413, "the line before a chunk is too large")
        return end + 1 if end >= 0 else -1
