"""A loopback proxy that delays, holds and resets connections."""

import asyncio
import enum
from typing import Callable

__all__ = ["Mode", "Proxy"]

RECEIVE_BYTES = 64 << 10


class Mode(enum.Enum):
    """What becomes of bytes on the way."""

    PASS = "pass"
    DELAY = "delay"
    # Nothing passes, and nothing is lost once it passes again.
    SILENT = "silent"
    # Requests pass, answers do not.
    ONE_WAY = "one_way"
    # New connections are reset.
    REFUSE = "refuse"


class Proxy:
    """Passes connections on to one address.

    Attributes:
        upstream: Returns the address, as host and port.
        address: Where the proxy listens.
        mode: What it does at present; `change` sets it.
        delay_seconds: Of each piece, in the mode DELAY.
    """

    def __init__(self, upstream: Callable[[], tuple[str, int]]) -> None:
        self.upstream = upstream
        self.address = ""
        self.mode = Mode.PASS
        self.delay_seconds = 0.0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def change(self, mode: Mode, delay_seconds: float = 0.0) -> None:
        """Sets what becomes of bytes from now on."""
        self.mode = mode
        self.delay_seconds = delay_seconds
        self._changed.set()
        self._changed = asyncio.Event()
        if mode is Mode.REFUSE:
            self.reset()

    def reset(self) -> None:
        """Resets all connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.REFUSE:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *self.upstream()
            )
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self._writers |= both
        pumps = [
            asyncio.ensure_future(self._pump(reader, far_writer, False)),
            asyncio.ensure_future(self._pump(far_reader, writer, True)),
        ]
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
            # What was read is sent before the connection is closed.
            await asyncio.wait(pumps, timeout=0.05)
        finally:
            for pump in pumps:
                pump.cancel()
            self._writers -= both
            for end in both:
                end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_answer: bool,
    ) -> None:
        try:
            while data := await reader.read(RECEIVE_BYTES):
                await self._hold(is_answer)
                writer.write(data)
                await writer.drain()
        except OSError:
            writer.transport.abort()

    async def _hold(self, is_answer: bool) -> None:
        while self.mode is Mode.SILENT or (
            self.mode is Mode.ONE_WAY and is_answer
        ):
            await self._changed.wait()
        if self.mode is Mode.DELAY:
            await asyncio.sleep(self.delay_seconds)
