"""Carries peers' tunnels to targets; see peer_tunnels."""

import asyncio
import contextlib
import logging
import select
import socket
import threading
from typing import Callable

import msgpack

from catkintrail.adapters import keep_alive
from catkintrail.adapters import peer_tunnels
from catkintrail.adapters import sockets
from catkintrail.core import targets as target_records

__all__ = ["TunnelServer"]

_LOG = logging.getLogger("catkintrail.tunnels")

MAX_REQUEST_BYTES = 1024
REQUEST_TIMEOUT_SECONDS = 1.0
MAX_CONNECT_SECONDS = 1.0
# Tunnels that one instance carries at a time.
MAX_TUNNELS = 256


class TunnelServer:
    """Connects peers to targets.

    Attributes:
        is_declining: Whether no further tunnels are carried.
        count: Number of tunnels carried now.
    """

    def __init__(
        self,
        listener: socket.socket,
        find_target: Callable[[str], target_records.Target | None],
        may_connect: Callable[[], bool],
        record_link: Callable[[target_records.Target, bool], None],
    ) -> None:
        """Initializes the server.

        Args:
            listener: Socket that listens for peers.
            find_target: Returns a target that may get requests, by name. May
                block.
            may_connect: Returns whether this instance reaches targets.
            record_link: Takes whether a target was reached.
        """
        self.is_declining = False
        self.count = 0
        self._find_target = find_target
        self._may_connect = may_connect
        self._record_link = record_link
        self._loop: asyncio.AbstractEventLoop | None = None
        self._main_task: asyncio.Task | None = None
        self._listener = listener

    def start(self) -> None:
        """Starts the thread that carries tunnels."""
        threading.Thread(target=self._run, name="tunnels", daemon=True).start()

    def stop(self) -> None:
        """Ends all tunnels."""
        if self._loop is not None and self._main_task is not None:
            # The loop may have ended.
            with contextlib.suppress(RuntimeError):
                self._loop.call_soon_threadsafe(self._main_task.cancel)

    def _run(self) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            asyncio.run(self._listen())

    async def _listen(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._main_task = asyncio.current_task()
        server = await asyncio.start_server(self._serve, sock=self._listener)
        await server.serve_forever()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.count += 1
        try:
            answer, far = await self._connect(reader)
            writer.write(answer)
            if far is not None:
                await _copy_both_ways(reader, writer, *far)
        except (
            OSError,
            TimeoutError,
            asyncio.IncompleteReadError,
            ValueError,
        ) as error:
            _LOG.info("tunnel_failed", extra={"reason": repr(error)})
        finally:
            self.count -= 1
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

    async def _connect(
        self, reader: asyncio.StreamReader
    ) -> tuple[bytes, tuple[asyncio.StreamReader, asyncio.StreamWriter] | None]:
        """Reads a request, and connects to the target.

        Returns:
            The answer, and the streams of the connection to the target.
        """
        async with asyncio.timeout(REQUEST_TIMEOUT_SECONDS):
            head = await reader.readexactly(peer_tunnels.REQUEST_HEAD.size)
            (length,) = peer_tunnels.REQUEST_HEAD.unpack(head)
            if length > MAX_REQUEST_BYTES:
                raise ValueError("the request is too long")
            name, seconds = _decode_request(await reader.readexactly(length))
        if (
            self.is_declining
            or self.count > MAX_TUNNELS
            or not self._may_connect()
        ):
            return peer_tunnels.DECLINED, None
        target = await asyncio.to_thread(self._find_target, name)
        if target is None:
            return peer_tunnels.DECLINED, None
        host, _, port = target.address.rpartition(":")
        try:
            async with asyncio.timeout(min(seconds, MAX_CONNECT_SECONDS)):
                far = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            self._record_link(target, False)
            return peer_tunnels.NOT_REACHED, None
        self._record_link(target, True)
        # The near end cannot tell a target that is silent from one that is
        # gone.
        keep_alive.start(far[1].get_extra_info("socket"))
        return peer_tunnels.CONNECTED, far


def _decode_request(data: bytes) -> tuple[str, float]:
    """Returns the name of a target, and a time-out in seconds.

    Raises:
        ValueError: The request is malformed.
    """
    request = msgpack.unpackb(data)
    if not isinstance(request, list) or len(request) != 2:
        raise ValueError("a request has two fields")
    name, seconds = request
    if not isinstance(name, str) or not isinstance(seconds, float):
        raise ValueError("a request has a name and a time-out")
    return name, seconds


async def _copy_both_ways(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    far_reader: asyncio.StreamReader,
    far_writer: asyncio.StreamWriter,
) -> None:
    """Copies bytes until one side ends, and then ends the other."""

    def is_request_received() -> bool:
        near_socket = writer.get_extra_info("socket")
        far_socket = far_writer.get_extra_info("socket")
        return not (
            sockets.has_event(near_socket, select.POLLIN)
            or far_writer.transport.get_write_buffer_size()
            or sockets.has_unsent_bytes(far_socket)
            or sockets.has_failed(far_socket)
        )

    tasks = [
        asyncio.create_task(_copy_requests(reader, far_writer)),
        asyncio.create_task(
            _copy_responses(far_reader, writer, is_request_received)
        ),
    ]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        far_writer.transport.abort()


async def _copy_requests(
    reader: asyncio.StreamReader, far_writer: asyncio.StreamWriter
) -> None:
    """Copies what the near end sends, until it closes the tunnel."""
    with contextlib.suppress(OSError):
        while data := await reader.read(peer_tunnels.COPY_BYTES):
            far_writer.write(data)
            await far_writer.drain()


async def _copy_responses(
    far_reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    is_request_received: Callable[[], bool],
) -> None:
    """Copies what the target sends, until it ends its connection.

    Ends without a frame if the target does not respond any more. A target that
    ends its connection before it has received all that was sent to it may not
    have sent all of its response; for the near end, that is a reset.
    """
    end = peer_tunnels.END
    while True:
        try:
            data = await far_reader.read(peer_tunnels.COPY_BYTES)
        except OSError as error:
            if keep_alive.is_lost(error):
                return
            end = peer_tunnels.RESET
            break
        if not data:
            if not is_request_received():
                end = peer_tunnels.RESET
            break
        writer.write(
            peer_tunnels.FRAME_HEAD.pack(peer_tunnels.DATA, len(data)) + data
        )
        await writer.drain()
    writer.write(peer_tunnels.FRAME_HEAD.pack(end, 0))
    await writer.drain()
