"""Connections to targets through a peer that reaches them.

An instance that is cut off from a target asks a peer for a tunnel: the peer
opens a connection to the target and copies the bytes both ways. It serves no
tunnel by asking another peer, so that there are no loops. All that is decided
about the request remains with the instance that took it.

A tunnel begins with the name of the target and a time-out, to which the peer
answers with one byte. What the target sends is carried in frames, so that the
end of its connection can be told from the end of the tunnel.
"""

import asyncio
import contextlib
import logging
import socket
import struct
import threading
from typing import Any, Callable

import msgpack

from catkintrail import errors
from catkintrail.adapters import keep_alive
from catkintrail.adapters import sockets
from catkintrail.core import targets as target_records

__all__ = [
    "BrokenTunnelError",
    "TargetNotReachedError",
    "TunnelServer",
    "TunnelSocket",
    "has_unread_frames",
    "is_tunnel",
    "open_tunnel",
]

_LOG = logging.getLogger("catkintrail.tunnels")

# Answers of the peer.
CONNECTED = b"\x00"
NOT_REACHED = b"\x01"
DECLINED = b"\x02"
# Types of frames.
DATA = 0
END = 1
RESET = 2
FRAME_HEAD = struct.Struct(">BI")
REQUEST_HEAD = struct.Struct(">H")
MAX_REQUEST_BYTES = 1024
COPY_BYTES = 64 << 10
REQUEST_TIMEOUT_SECONDS = 1.0
MAX_CONNECT_SECONDS = 1.0
# Share of the near end's wait in which a peer tries to reach the target, so
# that its answer arrives in time.
CONNECT_SHARE = 0.8
# Tunnels that one instance carries at a time.
MAX_TUNNELS = 256


class BrokenTunnelError(ConnectionError):
    """The tunnel ended, which says nothing about the target."""


class TargetNotReachedError(ConnectionError):
    """The peer does not reach the target either."""


class TunnelSocket(sockets.AdoptedSocket):
    """The near end of a tunnel; reads what the target sends.

    Attributes:
        peer: IP address of the peer.
        is_ended: Whether the target has closed its connection.
    """

    def __init__(self, original: socket.socket, peer: str) -> None:
        super().__init__(original)
        self.peer = peer
        self.is_ended = False
        self._received = bytearray()

    @property
    def has_unread_frames(self) -> bool:
        """Whether bytes were received that `recv` has not returned."""
        return bool(self._received) or self.is_ended

    def recv(self, bufsize: int, flags: int = 0) -> bytes:
        """Returns bytes of the target; b"" after it closed its connection.

        Raises:
            BrokenTunnelError: The tunnel ended before the target's connection.
            ConnectionResetError: The target reset its connection.
        """
        while not self.is_ended:
            if len(self._received) >= FRAME_HEAD.size:
                kind, length = FRAME_HEAD.unpack_from(self._received)
                end = FRAME_HEAD.size + length
                if kind == RESET:
                    raise ConnectionResetError(
                        "the target reset the connection"
                    )
                if kind == END:
                    self.is_ended = True
                    continue
                if len(self._received) >= end:
                    return self._take(end, bufsize)
            try:
                data = super().recv(COPY_BYTES, flags)
            except ConnectionError as error:
                raise BrokenTunnelError(str(error)) from error
            if not data:
                raise BrokenTunnelError("the tunnel through a peer ended")
            self._received += data
        return b""

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Reads bytes of the target into a buffer; see `recv`."""
        data = self.recv(nbytes or len(buffer), flags)
        buffer[: len(data)] = data
        return len(data)

    def _take(self, end: int, bufsize: int) -> bytes:
        """Returns at most `bufsize` bytes of the frame that ends at `end`."""
        start = FRAME_HEAD.size
        data = bytes(self._received[start : min(end, start + bufsize)])
        del self._received[: start + len(data)]
        left = end - start - len(data)
        if left:
            self._received[:0] = FRAME_HEAD.pack(DATA, left)
        return data


def is_tunnel(connection: socket.socket) -> bool:
    """Returns whether a connection leads through a peer."""
    return isinstance(connection, TunnelSocket)


def has_unread_frames(connection: socket.socket) -> bool:
    """Returns whether a tunnel holds bytes that polling does not show."""
    return isinstance(connection, TunnelSocket) and connection.has_unread_frames


def open_tunnel(
    peer: str, port: int, target: str, timeout_seconds: float
) -> TunnelSocket | None:
    """Asks a peer to connect this instance to a target.

    Args:
        peer: IP address of the peer.
        port: Port of its `TunnelServer`.
        target: Name of the target.
        timeout_seconds: The longest wait.

    Returns:
        The connection; None if the peer declines.

    Raises:
        TargetNotReachedError: The peer does not reach the target.
        OSError: The peer did not answer.
    """
    connection = socket.create_connection((peer, port), timeout_seconds)
    try:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        request = msgpack.packb((target, CONNECT_SHARE * timeout_seconds))
        connection.sendall(REQUEST_HEAD.pack(len(request)) + request)
        answer = connection.recv(1)
        if answer == CONNECTED:
            return TunnelSocket(connection, peer)
        if answer == NOT_REACHED:
            raise TargetNotReachedError(f"{peer} does not reach {target}")
    except BaseException:
        connection.close()
        raise
    connection.close()
    return None


class TunnelServer:
    """Connects peers to targets.

    Attributes:
        port: The TCP port.
        is_declining: Whether no further tunnels are carried.
        count: Number of tunnels carried now.
    """

    def __init__(
        self,
        address: str,
        port: int,
        find_target: Callable[[str], target_records.Target | None],
        may_connect: Callable[[], bool],
        record_link: Callable[[target_records.Target, bool], None],
    ) -> None:
        """Initializes the server.

        Args:
            address: IP address to listen on.
            port: TCP port.
            find_target: Returns a target that may get requests, by name. May
                block.
            may_connect: Returns whether this instance reaches targets.
            record_link: Takes whether a target was reached.
        """
        self.port = port
        self.is_declining = False
        self.count = 0
        self._find_target = find_target
        self._may_connect = may_connect
        self._record_link = record_link
        self._loop: asyncio.AbstractEventLoop | None = None
        self._main_task: asyncio.Task | None = None
        try:
            self._listener = socket.create_server((address, port))
        except OSError as error:
            raise errors.StartError(
                f"cannot bind TCP port {port} for peers: {error}"
            ) from error

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
            head = await reader.readexactly(REQUEST_HEAD.size)
            (length,) = REQUEST_HEAD.unpack(head)
            if length > MAX_REQUEST_BYTES:
                raise ValueError("the request is too long")
            name, seconds = _decode_request(await reader.readexactly(length))
        if (
            self.is_declining
            or self.count > MAX_TUNNELS
            or not self._may_connect()
        ):
            return DECLINED, None
        target = await asyncio.to_thread(self._find_target, name)
        if target is None:
            return DECLINED, None
        host, _, port = target.address.rpartition(":")
        try:
            async with asyncio.timeout(min(seconds, MAX_CONNECT_SECONDS)):
                far = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            self._record_link(target, False)
            return NOT_REACHED, None
        self._record_link(target, True)
        # The near end cannot tell a target that is silent from one that is
        # gone.
        keep_alive.start(far[1].get_extra_info("socket"))
        return CONNECTED, far


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
    tasks = [
        asyncio.create_task(_copy_requests(reader, far_writer)),
        asyncio.create_task(_copy_responses(far_reader, writer)),
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
        while data := await reader.read(COPY_BYTES):
            far_writer.write(data)
            await far_writer.drain()


async def _copy_responses(
    far_reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    """Copies what the target sends, until it ends its connection.

    Ends without a frame if the target does not respond any more.
    """
    end = END
    while True:
        try:
            data = await far_reader.read(COPY_BYTES)
        except OSError as error:
            if keep_alive.is_lost(error):
                return
            end = RESET
            break
        if not data:
            break
        writer.write(FRAME_HEAD.pack(DATA, len(data)) + data)
        await writer.drain()
    writer.write(FRAME_HEAD.pack(end, 0))
    await writer.drain()
