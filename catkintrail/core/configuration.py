"""The configuration in force on one instance, and its transfer from peers.

The generation of the configuration in force never decreases. A few instances of
each zone watch the store; the others see a higher generation in a heartbeat and
fetch the head and the missing parts from the sender of that heartbeat.
"""

from typing import NamedTuple
import zlib

from catkintrail import errors
from catkintrail import messages
from catkintrail.core import publication

__all__ = ["Configuration", "Outgoing"]

REQUEST_INTERVAL_SECONDS = 0.5
MAX_PARTS_PER_REQUEST = 32
# A transfer without a new part for this long is restarted, from any peer.
TRANSFER_TIMEOUT_SECONDS = 1.0
MAX_CONTENT_BYTES = 2 << 20


class Outgoing(NamedTuple):
    """A message and the name of the instance to send it to."""

    name: str
    message: messages.Message


class Configuration:
    """The configuration of one instance.

    Attributes:
        snapshot: The configuration in force.
        is_confirmed: Whether the store has been read, or a peer's head has
            been received, since this instance started.
    """

    def __init__(self) -> None:
        self.snapshot = publication.empty_snapshot()
        self.is_confirmed = False
        self._pending_head = b""
        self._pending_generation = 0
        self._pending_parts: dict[str, bytes] = {}
        self._requested_parts: set[str] = set()
        self._last_progress_at = -TRANSFER_TIMEOUT_SECONDS
        self._next_request = 0.0

    def generation(self) -> int:
        """Returns the generation in force."""
        return self.snapshot.generation

    def apply_snapshot(self, snapshot: publication.Snapshot) -> bool:
        """Applies a configuration read from the store, if it is newer.

        Returns:
            Whether it is newer than the one in force.
        """
        self.is_confirmed = True
        return self._apply(snapshot)

    def note_generation(
        self, sender: str, generation: int, now: float
    ) -> list[Outgoing]:
        """Requests the head from a peer whose generation is higher.

        Requests are at least REQUEST_INTERVAL_SECONDS apart.

        Args:
            sender: The peer that sent the heartbeat.
            generation: The peer's generation.
            now: Monotonic time in seconds.
        """
        if generation <= self.snapshot.generation:
            return []
        if now < self._next_request:
            return []
        self._next_request = now + REQUEST_INTERVAL_SECONDS
        return [Outgoing(sender, messages.ConfigRequest())]

    def answer_head_request(self, sender: str) -> list[Outgoing]:
        """Answers a peer's request for the head."""
        head = messages.ConfigHead(
            self.snapshot.generation, zlib.compress(self.snapshot.head)
        )
        return [Outgoing(sender, head)]

    def receive_head(
        self, sender: str, message: messages.ConfigHead, now: float
    ) -> list[Outgoing]:
        """Starts the transfer of a newer configuration from a peer.

        Args:
            sender: The peer that sent the head.
            message: The head.
            now: Monotonic time in seconds.

        Returns:
            The request for missing parts. There is no request for a head that
            is not newer, while a transfer of the same or a newer generation is
            active, or where no part is missing.

        Raises:
            errors.FrameError: The head is damaged or of another generation.
        """
        self.is_confirmed = True
        if message.generation <= self.snapshot.generation:
            return []
        content = _decompress(message.head)
        head = publication.decode_head(content)
        if head.generation != message.generation:
            raise errors.FrameError(
                "head has another generation than its message"
            )
        is_transfer_active = self._pending_head and (
            now - self._last_progress_at < TRANSFER_TIMEOUT_SECONDS
        )
        if (
            is_transfer_active
            and message.generation <= self._pending_generation
        ):
            return []
        self._last_progress_at = now
        self._pending_head = content
        self._pending_generation = message.generation
        return self._request_missing_parts(sender, head)

    def answer_part_request(
        self, sender: str, request: messages.PartRequest
    ) -> list[Outgoing]:
        """Answers a peer's request for parts.

        Unknown parts, and those beyond MAX_PARTS_PER_REQUEST, are left out.
        """
        return [
            Outgoing(
                sender,
                messages.Part(name, zlib.compress(self.snapshot.parts[name])),
            )
            for name in request.names[:MAX_PARTS_PER_REQUEST]
            if name in self.snapshot.parts
        ]

    def receive_part(
        self, sender: str, part: messages.Part, now: float
    ) -> tuple[list[Outgoing], bool]:
        """Adds a requested part to the transfer.

        Args:
            sender: The peer that sent the part.
            part: The part; ignored where it was not requested.
            now: Monotonic time in seconds.

        Returns:
            The next requests, and whether a newer configuration is now in
            force.

        Raises:
            errors.FrameError: The part is damaged.
        """
        if not self._pending_head or part.name not in self._requested_parts:
            return [], False
        head = publication.decode_head(self._pending_head)
        if part.name not in head.parts:
            return [], False
        digest = head.digests[head.parts.index(part.name)]
        content = _decompress(part.content)
        if publication.content_digest(content) != digest:
            raise errors.FrameError(
                f"digest of part {part.name} does not match the head"
            )
        self._pending_parts[part.name] = content
        self._requested_parts.discard(part.name)
        self._last_progress_at = now
        if self._requested_parts:
            return [], False
        if self._missing_parts(head):
            return self._request_missing_parts(sender, head), False
        return [], self._apply_pending()

    def _request_missing_parts(
        self, sender: str, head: publication.Head
    ) -> list[Outgoing]:
        missing = self._missing_parts(head)
        if not missing:
            # All parts are present already, so nothing has to be fetched.
            self._apply_pending()
            return []
        names = tuple(missing[:MAX_PARTS_PER_REQUEST])
        self._requested_parts = set(names)
        return [Outgoing(sender, messages.PartRequest(names))]

    def _missing_parts(self, head: publication.Head) -> list[str]:
        return [
            name
            for name in head.parts
            if name not in self.snapshot.parts
            and name not in self._pending_parts
        ]

    def _apply_pending(self) -> bool:
        parts = {**self.snapshot.parts, **self._pending_parts}
        snapshot = publication.assemble(self._pending_head, parts)
        self._pending_head = b""
        self._pending_parts = {}
        self._requested_parts = set()
        return self._apply(snapshot)

    def _apply(self, snapshot: publication.Snapshot) -> bool:
        if snapshot.generation <= self.snapshot.generation:
            return False
        self.snapshot = snapshot
        return True


def _decompress(content: bytes) -> bytes:
    """Decompresses a head or part.

    Raises:
        errors.FrameError: The content is not valid zlib data, or is longer than
            MAX_CONTENT_BYTES.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(content, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise errors.FrameError(
            f"invalid compressed content: {error}"
        ) from error
    if not decompressor.eof:
        raise errors.FrameError("compressed content is truncated or too long")
    return plain
