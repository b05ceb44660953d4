"""Streams of msgpack frames between instances.

A frame is its length, four bytes, high first, and a message. Each instance
opens its own stream to a peer for what it sends; answers come on the stream
that the peer opens. At the start both ends prove that they know the
deployment's secret, by HMAC-SHA256 over two nonces. TLS with certificates of
one authority on both ends protects the frames that follow.
"""

import asyncio
import hmac
import secrets
import ssl
import threading
from typing import Callable, NamedTuple

import msgpack
import msgspec

from catkintrail import errors
from catkintrail import messages
from catkintrail import settings as settings_module

__all__ = ["PeerStreams"]

MAX_BUFFERED_BYTES = 8 << 20
MAX_HELLO_BYTES = 4 << 10
HELLO_TIMEOUT_SECONDS = 3.0
CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_SECONDS = 120.0
RECONNECT_SECONDS = 0.3
MAX_INCOMING = 1_024


class _Hello(NamedTuple):
    """The first frame of the end that opens a stream."""

    record: messages.MemberRecord
    nonce: bytes


class _Challenge(NamedTuple):
    """The answer: the other nonce and the proof of the secret."""

    nonce: bytes
    proof: bytes


Receiver = Callable[[messages.MemberRecord, messages.Message], None]


class PeerStreams:
    """All streams of one instance, on one event loop in one thread.

    Attributes:
        bytes_sent: Bytes of frames sent.
        bytes_received: Bytes of frames received.
        refused: Streams and frames that were refused.
    """

    def __init__(
        self,
        me: Callable[[], messages.MemberRecord],
        settings: settings_module.PeerSettings,
        address: str,
        on_message: Receiver,
        on_disconnect: Callable[[str], None],
    ) -> None:
        self.me = me
        self.settings = settings
        self.address = address
        self.on_message = on_message
        self.on_disconnect = on_disconnect
        self.bytes_sent = 0
        self.bytes_received = 0
        self.refused = 0
        self._loop = asyncio.new_event_loop()
        self._outgoing: dict[str, _Outgoing] = {}
        self._incoming = 0
        self._server: asyncio.Server | None = None
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="peers", daemon=True
        )

    def start(self) -> None:
        """Starts to listen.

        Raises:
            errors.StartError: The port or a certificate cannot be used.
        """
        self._thread.start()
        future = asyncio.run_coroutine_threadsafe(self._listen(), self._loop)
        try:
            future.result()
        except (OSError, ssl.SSLError) as error:
            raise errors.StartError(
                f"cannot listen on {self.address}:{self.settings.port} for"
                f" peers: {error}"
            ) from error

    def stop(self) -> None:
        """Closes all streams."""
        asyncio.run_coroutine_threadsafe(self._close(), self._loop).result(2)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(2)

    def send(self, address: str, message: messages.Message) -> None:
        """Queues a message; one for a peer that is behind is dropped."""
        frame = messages.encode(message)
        self._loop.call_soon_threadsafe(self._send, address, frame)

    # On the event loop.

    async def _listen(self) -> None:
        self._server = await asyncio.start_server(
            self._accept,
            self.address,
            self.settings.port,
            ssl=_tls_context(self.settings, ssl.Purpose.CLIENT_AUTH),
        )

    async def _close(self) -> None:
        self._server.close()
        for outgoing in list(self._outgoing.values()):
            outgoing.close()
        tasks = asyncio.all_tasks(self._loop) - {asyncio.current_task()}
        for task in tasks:
            task.cancel()

    def _send(self, address: str, frame: bytes) -> None:
        outgoing = self._outgoing.get(address)
        if outgoing is None:
            outgoing = self._outgoing[address] = _Outgoing(self, address)
        outgoing.send(frame)

    def drop(self, outgoing: "_Outgoing", was_open: bool) -> None:
        """Forgets an outgoing stream that has ended."""
        if self._outgoing.get(outgoing.address) is outgoing:
            del self._outgoing[outgoing.address]
            if was_open:
                self.on_disconnect(outgoing.address)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._incoming >= MAX_INCOMING:
            self.refused += 1
            writer.close()
            return
        self._incoming += 1
        try:
            record = await asyncio.wait_for(
                self._check_peer(reader, writer), HELLO_TIMEOUT_SECONDS
            )
            while True:
                frame = await _read_frame(reader, messages.MAX_FRAME_BYTES)
                self.bytes_received += len(frame) + 4
                message = messages.decode(frame)
                self.on_message(record, message)
        except errors.FrameError:
            self.refused += 1
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            self._incoming -= 1
            writer.close()

    async def _check_peer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> messages.MemberRecord:
        """Proves this end to a peer that opens a stream, and checks it."""
        hello = _decode(await _read_frame(reader, MAX_HELLO_BYTES), _Hello)
        nonce = secrets.token_bytes(16)
        secret = self.settings.secret
        proof = _proof(secret, "accept", hello.nonce, nonce)
        writer.write(_frame(msgpack.packb(_Challenge(nonce, proof))))
        answer = await _read_frame(reader, MAX_HELLO_BYTES)
        record = msgpack.packb(hello.record)
        wanted = _proof(secret, "open", nonce, hello.nonce + record)
        if not hmac.compare_digest(answer, wanted):
            raise errors.FrameError("the peer does not know the secret")
        return hello.record


class _Outgoing:
    """One stream to a peer, opened when there is something to send."""

    def __init__(self, streams: PeerStreams, address: str) -> None:
        self.streams = streams
        self.address = address
        self.waiting: list[bytes] = []
        self.waiting_bytes = 0
        self.writer: asyncio.StreamWriter | None = None
        self.last_used = 0.0
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self._run())

    def send(self, frame: bytes) -> None:
        """Writes a frame, or keeps it until the stream is open."""
        self.last_used = asyncio.get_running_loop().time()
        framed = _frame(frame)
        if self.writer is not None:
            buffered = self.writer.transport.get_write_buffer_size()
            if buffered < MAX_BUFFERED_BYTES:
                self.writer.write(framed)
                self.streams.bytes_sent += len(framed)
            return
        if self.waiting_bytes < MAX_BUFFERED_BYTES:
            self.waiting.append(framed)
            self.waiting_bytes += len(framed)

    def close(self) -> None:
        """Closes the stream."""
        if self.writer is not None:
            self.writer.close()

    async def _run(self) -> None:
        was_open = False
        try:
            reader = await asyncio.wait_for(
                self._open(), CONNECT_TIMEOUT_SECONDS + HELLO_TIMEOUT_SECONDS
            )
            was_open = True
            # The peer sends nothing here; the end of the stream is news.
            while await self._is_open(reader):
                pass
        except errors.FrameError:
            self.streams.refused += 1
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            # A short pause keeps a dead peer from being tried at full speed.
            await asyncio.sleep(RECONNECT_SECONDS)
        finally:
            is_idle = was_open and self._idle_seconds() > IDLE_SECONDS
            self.streams.drop(self, was_open and not is_idle)
            self.close()

    async def _is_open(self, reader: asyncio.StreamReader) -> bool:
        try:
            data = await asyncio.wait_for(reader.read(1), IDLE_SECONDS / 2)
            return bool(data)
        except TimeoutError:
            return self._idle_seconds() <= IDLE_SECONDS

    def _idle_seconds(self) -> float:
        return asyncio.get_running_loop().time() - self.last_used

    async def _open(self) -> asyncio.StreamReader:
        host, _, port = self.address.rpartition(":")
        settings = self.streams.settings
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(
                host.strip("[]"),
                int(port),
                ssl=_tls_context(settings, ssl.Purpose.SERVER_AUTH),
            ),
            CONNECT_TIMEOUT_SECONDS,
        )
        record = self.streams.me()
        nonce = secrets.token_bytes(16)
        writer.write(_frame(msgpack.packb(_Hello(record, nonce))))
        frame = await _read_frame(reader, MAX_HELLO_BYTES)
        challenge = _decode(frame, _Challenge)
        wanted = _proof(settings.secret, "accept", nonce, challenge.nonce)
        if not hmac.compare_digest(challenge.proof, wanted):
            writer.close()
            raise errors.FrameError("the peer does not know the secret")
        packed = msgpack.packb(record)
        proof = _proof(settings.secret, "open", challenge.nonce, nonce + packed)
        writer.write(_frame(proof))
        self.writer = writer
        for framed in self.waiting:
            writer.write(framed)
            self.streams.bytes_sent += len(framed)
        self.waiting = []
        return reader


def _frame(content: bytes) -> bytes:
    return len(content).to_bytes(4, "big") + content


async def _read_frame(reader: asyncio.StreamReader, limit: int) -> bytes:
    length = int.from_bytes(await reader.readexactly(4), "big")
    if length > limit:
        raise errors.FrameError(f"frame of {length} bytes is too long")
    return await reader.readexactly(length)


def _decode(frame: bytes, kind: type) -> NamedTuple:
    try:
        return msgspec.convert(msgpack.unpackb(frame), kind)
    except Exception as error:  # pylint: disable=broad-exception-caught
        # The library raises many types for malformed input.
        raise errors.FrameError(f"no {kind.__name__}: {error}") from error


def _proof(secret: str, role: str, first: bytes, second: bytes) -> bytes:
    text = role.encode() + b"\0" + first + b"\0" + second
    return hmac.digest(secret.encode(), text, "sha256")


def _tls_context(
    settings: settings_module.PeerSettings, purpose: ssl.Purpose
) -> ssl.SSLContext | None:
    """Returns the TLS settings of either end; None where TLS is off."""
    if not settings.certificate:
        return None
    context = ssl.create_default_context(purpose, cafile=settings.authority)
    # Peers are known by IP number; the authority signs only peers.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(settings.certificate, settings.private_key)
    return context
