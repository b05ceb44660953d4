"""A loopback proxy that delays, blocks and resets connections."""

import asyncio
import enum
import socket
from typing import Callable

from soak import http1

__all__ = ["Mode", "Proxy"]

RECEIVE_BYTES = 64 << 10
# By default, the kernel grows its buffers to many megabytes.
KERNEL_BUFFER_BYTES = 128 << 10


class Mode(enum.Enum):
    """How the proxy treats the data that it forwards."""

    PASS = "pass"
    DELAY = "delay"
    # Data and ends of connections are held back in both directions, and
    # forwarded once the mode changes.
    SILENT = "silent"
    # Requests are forwarded, responses are held back.
    ONE_WAY = "one_way"
    # Open and new connections are reset.
    REFUSE = "refuse"
    # Requests are lost, and so are the responses of their connections, also
    # later ones.
    LOSE = "lose"


class Proxy:
    """Forwards connections to one address.

    Attributes:
        upstream: Returns host and port to connect to.
        address: Host and port on which the proxy listens, as "HOST:PORT".
        mode: Current mode; changed by `set_mode`.
        delay_seconds: Delay of each piece of data in the mode DELAY.
        loses: Returns whether a request is lost in the mode LOSE.
    """

    def __init__(self, upstream: Callable[[], tuple[str, int]]) -> None:
        self.upstream = upstream
        self.address = ""
        self.mode = Mode.PASS
        self.delay_seconds = 0.0
        self.loses: Callable[[bytes], bool] = lambda request: True
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._mode_changed = asyncio.Event()

    async def start(self) -> None:
        """Starts to listen on a free port; later on the same one again."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(
            self._forward, "127.0.0.1", port
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def set_mode(self, mode: Mode, delay_seconds: float = 0.0) -> None:
        """Sets the mode; REFUSE also resets the open connections."""
        self.mode = mode
        self.delay_seconds = delay_seconds
        self._mode_changed.set()
        self._mode_changed = asyncio.Event()
        if mode is Mode.REFUSE:
            self.reset()

    def reset(self) -> None:
        """Resets all open connections."""
        for writer in list(self._writers):
            http1.reset(writer)

    def stop_listening(self) -> None:
        """Refuses new connections; those that are open stay."""
        if self._server is not None:
            self._server.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.mode is Mode.REFUSE:
            http1.reset(writer)
            return
        try:
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self.upstream()
            )
        except OSError:
            http1.reset(writer)
            return
        writers = {writer, upstream_writer}
        for open_writer in writers:
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                open_writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, option, KERNEL_BUFFER_BYTES
                )
        self._writers |= writers
        copy_tasks = [
            asyncio.ensure_future(self._copy(reader, upstream_writer, False)),
            asyncio.ensure_future(self._copy(upstream_reader, writer, True)),
        ]
        try:
            await asyncio.wait(copy_tasks, return_when=asyncio.FIRST_COMPLETED)
            # Lets the other direction forward data that has been read.
            await asyncio.wait(copy_tasks, timeout=0.05)
        finally:
            for copy_task in copy_tasks:
                copy_task.cancel()
            self._writers -= writers
            for open_writer in writers:
                open_writer.close()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        try:
            while data := await reader.read(RECEIVE_BYTES):
                if (
                    self.mode is Mode.LOSE
                    and not is_response
                    and self.loses(data)
                ):
                    # Keeps the connection open until the caller closes it.
                    while await reader.read(RECEIVE_BYTES):
                        pass
                    return
                await self._wait_to_pass(is_response)
                writer.write(data)
                await writer.drain()
            await self._wait_to_pass(is_response)
            writer.write_eof()
        except OSError:
            await self._wait_to_pass(is_response)
            http1.reset(writer)

    async def _wait_to_pass(self, is_response: bool) -> None:
        while self.mode is Mode.SILENT or (
            self.mode is Mode.ONE_WAY and is_response
        ):
            await self._mode_changed.wait()
        if self.mode is Mode.DELAY:
            await asyncio.sleep(self.delay_seconds)
