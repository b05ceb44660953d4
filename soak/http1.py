"""HTTP/1.1 connections over asyncio streams, parsed by h11."""

import asyncio
import contextlib
import socket
import struct
from typing import Any, NamedTuple

import h11

__all__ = ["ClosedError", "Connection", "Request", "reset"]

RECEIVE_BYTES = 64 << 10
# The kernel then resets the connection when it is closed.
LINGER_NO_TIME = struct.pack("ii", 1, 0)


class ClosedError(Exception):
    """The peer closed the connection or sent invalid HTTP."""


class Request(NamedTuple):
    """A request with its body.

    Attributes:
        method: HTTP method.
        path: Request target with the path.
        headers: Headers by lower-case name; the last one of a name is kept.
        body: Complete body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Connection:
    """An HTTP connection of a client or a server.

    Attributes:
        reader: Stream from the peer.
        writer: Stream to the peer.
        parser: State machine of h11.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        role: Any,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = h11.Connection(role)

    async def next_event(self) -> h11.Event:
        """Returns the next event.

        Raises:
            ClosedError: The connection ended before an event.
        """
        try:
            while True:
                event = self.parser.next_event()
                if event is not h11.NEED_DATA:
                    break
                data = await self.reader.read(RECEIVE_BYTES)
                self.parser.receive_data(data)
        except (OSError, h11.RemoteProtocolError) as error:
            raise ClosedError(str(error)) from error
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise ClosedError("connection is closed")
        return event

    async def read_request(self) -> Request:
        """Returns the next request.

        Raises:
            ClosedError: The connection ended before a complete request.
        """
        request = await self.next_event()
        parts = []
        while not isinstance(
            event := await self.next_event(), h11.EndOfMessage
        ):
            parts.append(bytes(event.data))
        return Request(
            request.method.decode(),
            request.target.decode(),
            decode_headers(request.headers),
            b"".join(parts),
        )

    async def send(self, *events: h11.Event) -> None:
        """Sends events.

        Raises:
            ClosedError: The peer has closed the connection, or an event is not
                valid in the state of the connection.
        """
        try:
            for event in events:
                self.writer.write(self.parser.send(event))
            await self.writer.drain()
        except (OSError, h11.LocalProtocolError) as error:
            raise ClosedError(str(error)) from error

    async def send_raw(self, data: bytes) -> None:
        """Sends bytes without HTTP framing.

        Raises:
            ClosedError: The peer has closed the connection.
        """
        if self.writer.is_closing():
            # Its buffer would take the data, and send them yet.
            raise ClosedError("the connection is closed here")
        try:
            self.writer.write(data)
            await self.writer.drain()
        except OSError as error:
            raise ClosedError(str(error)) from error

    async def respond(
        self, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Sends a complete response.

        Raises:
            ClosedError: The peer has closed the connection.
        """
        pairs = list(headers.items()) + [("Content-Length", str(len(body)))]
        await self.send(
            h11.Response(status_code=status, headers=pairs),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    def abort(self) -> None:
        """Resets the connection."""
        reset(self.writer)


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection.

    `transport.abort` alone ends it with a FIN.
    """
    # The connection may be closed already.
    with contextlib.suppress(OSError):
        writer.get_extra_info("socket").setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NO_TIME
        )
    writer.transport.abort()


def decode_headers(headers: Any) -> dict[str, str]:
    """Returns headers by lower-case name."""
    return {name.decode(): value.decode("latin-1") for name, value in headers}
