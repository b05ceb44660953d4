"""Streams of msgpack frames between instances.

A frame is a four-byte big-endian length and a message. Each instance opens its
own stream to a peer for the messages that it sends; replies arrive on the
stream that the peer opens. At the start of a stream both ends prove knowledge
of the deployment's shared secret by HMAC-SHA256 over two nonces. TLS, where it
is configured, protects the frames; the certificates of both ends must be
signed by the same authority.
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
IDLE_TIMEOUT_SECONDS = 120.0
RECONNECT_DELAY_SECONDS = 0.3
MAX_INCOMING_STREAMS = 1_024


class _Hello(NamedTuple):
    """First frame of a stream, from the end that opens it."""

    record: messages.MemberRecord
    nonce: bytes


class _Challenge(NamedTuple):
    """Reply to `_Hello`, with the nonce and proof of the accepting end."""

    nonce: bytes
    proof: bytes


MessageHandler = Callable[[messages.MemberRecord, messages.Message], None]


class PeerStreams:
    """All streams of one instance, on one event loop in one thread.

    Attributes:
        get_own_record: Returns this instance's record, sent in `_Hello`.
        settings: Port, secret and certificates.
        address: IP address to listen on.
        on_message: Called with the sender's record and each message.
        on_disconnect: Called with a peer's address when the stream to it is
            lost.
        bytes_sent: Bytes of frames sent.
        bytes_received: Bytes of frames received.
        refused_count: Number of streams and frames that were refused.
    """

    def __init__(
        self,
        get_own_record: Callable[[], messages.MemberRecord],
        settings: settings_module.PeerSettings,
        address: str,
        on_message: MessageHandler,
        on_disconnect: Callable[[str], None],
    ) -> None:
        self.get_own_record = get_own_record
        self.settings = settings
        self.address = address
        self.on_message = on_message
        self.on_disconnect = on_disconnect
        self.bytes_sent = 0
        self.bytes_received = 0
        self.refused_count = 0
        self._loop = asyncio.new_event_loop()
        self._outgoing: dict[str, _OutgoingStream] = {}
        self._incoming_count = 0
        self._server: asyncio.Server | None = None
        self._thread = threading.Thread(
            target=self._loop.run_forever, name="peers", daemon=True
        )

    def start(self) -> None:
        """Starts the event loop and listens for peers.

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
        """Closes all streams and stops the event loop."""
        asyncio.run_coroutine_threadsafe(self._close(), self._loop).result(2)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(2)

    def send(self, address: str, message: messages.Message) -> None:
        """Queues a message; drops it if the buffer for the peer is full."""
        frame = messages.encode(message)
        self._loop.call_soon_threadsafe(self._send, address, frame)

    # The methods below run on the event loop.

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
            outgoing = self._outgoing[address] = _OutgoingStream(self, address)
        outgoing.send(frame)

    def remove_outgoing(
        self, outgoing: "_OutgoingStream", is_disconnect: bool
    ) -> None:
        """Removes an outgoing stream that has ended.

        Args:
            outgoing: The stream.
            is_disconnect: Whether to report that the peer disconnected.
        """
        if self._outgoing.get(outgoing.address) is outgoing:
            del self._outgoing[outgoing.address]
            if is_disconnect:
                self.on_disconnect(outgoing.address)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._incoming_count >= MAX_INCOMING_STREAMS:
            self.refused_count += 1
            writer.close()
            return
        self._incoming_count += 1
        try:
            record = await asyncio.wait_for(
                self._authenticate_peer(reader, writer), HELLO_TIMEOUT_SECONDS
            )
            while True:
                frame = await _read_frame(reader, messages.MAX_FRAME_BYTES)
                self.bytes_received += len(frame) + 4
                message = messages.decode(frame)
                self.on_message(record, message)
        except errors.FrameError:
            self.refused_count += 1
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            pass
        finally:
            self._incoming_count -= 1
            writer.close()

    async def _authenticate_peer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> messages.MemberRecord:
        """Authenticates both ends of a stream that a peer opened.

        Returns:
            The record that the peer sent.

        Raises:
            errors.FrameError: The peer's proof or a frame is invalid.
        """
        hello = _decode_handshake(
            await _read_frame(reader, MAX_HELLO_BYTES), _Hello
        )
        nonce = secrets.token_bytes(16)
        secret = self.settings.secret
        proof = _compute_proof(secret, "accept", hello.nonce, nonce)
        writer.write(
            _add_length_prefix(msgpack.packb(_Challenge(nonce, proof)))
        )
        received = await _read_frame(reader, MAX_HELLO_BYTES)
        record = msgpack.packb(hello.record)
        expected = _compute_proof(secret, "open", nonce, hello.nonce + record)
        if not hmac.compare_digest(received, expected):
            raise errors.FrameError(
                "the peer's proof of the shared secret is wrong"
            )
        return hello.record


class _OutgoingStream:
    """A stream to a peer, opened for the first message to it."""

    def __init__(self, streams: PeerStreams, address: str) -> None:
        self.streams = streams
        self.address = address
        self.pending_frames: list[bytes] = []
        self.pending_bytes = 0
        self.writer: asyncio.StreamWriter | None = None
        self.last_used = 0.0
        loop = asyncio.get_running_loop()
        self.task = loop.create_task(self._run())

    def send(self, frame: bytes) -> None:
        """Writes a frame, or queues it until the stream is open."""
        self.last_used = asyncio.get_running_loop().time()
        prefixed_frame = _add_length_prefix(frame)
        if self.writer is not None:
            buffered = self.writer.transport.get_write_buffer_size()
            if buffered < MAX_BUFFERED_BYTES:
                self.writer.write(prefixed_frame)
                self.streams.bytes_sent += len(prefixed_frame)
            return
        if self.pending_bytes < MAX_BUFFERED_BYTES:
            self.pending_frames.append(prefixed_frame)
            self.pending_bytes += len(prefixed_frame)

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
            # The peer sends nothing more on this stream, so a read detects only
            # the end of the stream.
            while await self._is_open(reader):
                pass
        except errors.FrameError:
            self.streams.refused_count += 1
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            # Delays the next attempt, so that an unreachable peer is not
            # retried in a tight loop.
            await asyncio.sleep(RECONNECT_DELAY_SECONDS)
        finally:
            is_idle = was_open and self._idle_seconds() > IDLE_TIMEOUT_SECONDS
            self.streams.remove_outgoing(self, was_open and not is_idle)
            self.close()

    async def _is_open(self, reader: asyncio.StreamReader) -> bool:
        try:
            data = await asyncio.wait_for(
                reader.read(1), IDLE_TIMEOUT_SECONDS / 2
            )
            return bool(data)
        except TimeoutError:
            return self._idle_seconds() <= IDLE_TIMEOUT_SECONDS

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
        record = self.streams.get_own_record()
        nonce = secrets.token_bytes(16)
        writer.write(_add_length_prefix(msgpack.packb(_Hello(record, nonce))))
        frame = await _read_frame(reader, MAX_HELLO_BYTES)
        challenge = _decode_handshake(frame, _Challenge)
        expected = _compute_proof(
            settings.secret, "accept", nonce, challenge.nonce
        )
        if not hmac.compare_digest(challenge.proof, expected):
            writer.close()
            raise errors.FrameError(
                "the peer's proof of the shared secret is wrong"
            )
        packed = msgpack.packb(record)
        proof = _compute_proof(
            settings.secret, "open", challenge.nonce, nonce + packed
        )
        writer.write(_add_length_prefix(proof))
        self.writer = writer
        for prefixed_frame in self.pending_frames:
            writer.write(prefixed_frame)
            self.streams.bytes_sent += len(prefixed_frame)
        self.pending_frames = []
        return reader


def _add_length_prefix(content: bytes) -> bytes:
    return len(content).to_bytes(4, "big") + content


async def _read_frame(reader: asyncio.StreamReader, limit: int) -> bytes:
    length = int.from_bytes(await reader.readexactly(4), "big")
    if length > limit:
        raise errors.FrameError(f"frame of {length} bytes is too long")
    return await reader.readexactly(length)


def _decode_handshake(frame: bytes, message_type: type) -> NamedTuple:
    try:
        return msgspec.convert(msgpack.unpackb(frame), message_type)
    except Exception as error:  # pylint: disable=broad-exception-caught
        # msgpack raises many types of exceptions for malformed input.
        raise errors.FrameError(
            f"not a valid {message_type.__name__}: {error}"
        ) from error


def _compute_proof(
    secret: str, role: str, first: bytes, second: bytes
) -> bytes:
    data = role.encode() + b"\0" + first + b"\0" + second
    return hmac.digest(secret.encode(), data, "sha256")


def _tls_context(
    settings: settings_module.PeerSettings, purpose: ssl.Purpose
) -> ssl.SSLContext | None:
    """Returns the TLS context for one end; None if TLS is off."""
    if not settings.certificate:
        return None
    context = ssl.create_default_context(purpose, cafile=settings.authority)
    # Peers are addressed by IP, so there is no host name to check. It is enough
    # that the authority signed the certificate: it signs only those of peers.
    context.check_hostname = False
    context.verify_mode = ssl.CERT_REQUIRED
    context.load_cert_chain(settings.certificate, settings.private_key)
    return context
