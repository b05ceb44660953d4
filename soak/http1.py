"""HTTP/1.1 over asyncio streams; h11 does the parsing."""

import asyncio
from typing import Any, NamedTuple

import h11

__all__ = ["ClosedError", "Connection", "Message"]

RECEIVE_BYTES = 64 << 10


class ClosedError(Exception):
    """The far end closed the connection, or sent bytes that are no HTTP."""


class Message(NamedTuple):
    """A request with its body.

    Attributes:
        method: Its method.
        path: Its target.
        headers: By lower-case name; the last of a name counts.
        body: Its whole body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class Connection:
    """One connection, as a client or a server.

    Attributes:
        reader: Of the connection.
        writer: Of the connection.
        http: The parser.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        role: Any,
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.http = h11.Connection(role)

    async def next_event(self) -> h11.Event:
        """Returns the next event.

        Raises:
            ClosedError: There is none.
        """
        try:
            while True:
                event = self.http.next_event()
                if event is not h11.NEED_DATA:
                    break
                data = await self.reader.read(RECEIVE_BYTES)
                self.http.receive_data(data)
        except (OSError, h11.RemoteProtocolError) as error:
            raise ClosedError(str(error)) from error
        if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
            raise ClosedError("closed")
        return event

    async def read_request(self) -> Message:
        """Returns the next request.

        Raises:
            ClosedError: There is none.
        """
        request = await self.next_event()
        parts = []
        while not isinstance(
            event := await self.next_event(), h11.EndOfMessage
        ):
            parts.append(bytes(event.data))
        return Message(
            request.method.decode(),
            request.target.decode(),
            decode_headers(request.headers),
            b"".join(parts),
        )

    async def send(self, *events: h11.Event) -> None:
        """Sends events.

        Raises:
            ClosedError: The far end has closed.
        """
        try:
            for event in events:
                self.writer.write(self.http.send(event))
            await self.writer.drain()
        except (OSError, h11.LocalProtocolError) as error:
            raise ClosedError(str(error)) from error

    async def send_raw(self, data: bytes) -> None:
        """Sends bytes as they are.

        Raises:
            ClosedError: The far end has closed.
        """
        try:
            self.writer.write(data)
            await self.writer.drain()
        except OSError as error:
            raise ClosedError(str(error)) from error

    async def answer(
        self, status: int, headers: dict[str, str], body: bytes = b""
    ) -> None:
        """Sends a whole answer.

        Raises:
            ClosedError: The far end has closed.
        """
        pairs = list(headers.items()) + [("Content-Length", str(len(body)))]
        await self.send(
            h11.Response(status_code=status, headers=pairs),
            h11.Data(data=body),
            h11.EndOfMessage(),
        )

    def abort(self) -> None:
        """Resets the connection."""
        self.writer.transport.abort()


def decode_headers(headers: Any) -> dict[str, str]:
    """Returns headers by lower-case name."""
    return {name.decode(): value.decode("latin-1") for name, value in headers}
