"""The configuration in force on one instance, and how it spreads.

Generations only rise. A few instances of each zone watch the store; the others
see a higher generation in a heartbeat and fetch what they lack from whoever
sent it.
"""

from typing import NamedTuple
import zlib

from catkintrail import errors
from catkintrail import messages
from catkintrail.core import publication

__all__ = ["Configuration", "Outgoing"]

REQUEST_INTERVAL_SECONDS = 0.5
MAX_PARTS_PER_REQUEST = 32
# A transfer that has not moved for so long is begun again, with any peer.
PROGRESS_SECONDS = 1.0
MAX_CONTENT_BYTES = 2 << 20


class Outgoing(NamedTuple):
    """A message for an instance, by name."""

    name: str
    message: messages.Message


class Configuration:
    """One instance's configuration.

    Attributes:
        snapshot: The configuration in force.
        is_confirmed: Whether the store or a peer has said which generation is
            the newest since this instance started.
    """

    def __init__(self) -> None:
        self.snapshot = publication.empty_snapshot()
        self.is_confirmed = False
        self._pending_head = b""
        self._pending_generation = 0
        self._pending_parts: dict[str, bytes] = {}
        self._awaited: set[str] = set()
        self._progress = -PROGRESS_SECONDS
        self._next_request = 0.0

    def generation(self) -> int:
        """Returns the generation in force."""
        return self.snapshot.generation

    def take_snapshot(self, snapshot: publication.Snapshot) -> bool:
        """Takes a configuration read from the store; returns if it is newer."""
        self.is_confirmed = True
        return self._apply(snapshot)

    def note_generation(
        self, sender: str, generation: int, now: float
    ) -> list[Outgoing]:
        """Takes the generation told in a heartbeat."""
        if generation <= self.snapshot.generation:
            return []
        if now < self._next_request:
            return []
        self._next_request = now + REQUEST_INTERVAL_SECONDS
        return [Outgoing(sender, messages.ConfigRequest())]

    def answer_request(self, sender: str) -> list[Outgoing]:
        """Sends the head to a peer."""
        head = messages.ConfigHead(
            self.snapshot.generation, zlib.compress(self.snapshot.head)
        )
        return [Outgoing(sender, head)]

    def take_head(
        self, sender: str, message: messages.ConfigHead, now: float
    ) -> list[Outgoing]:
        """Takes a peer's head and asks for the parts that are missing."""
        self.is_confirmed = True
        if message.generation <= self.snapshot.generation:
            return []
        content = _decompress(message.head)
        head = publication.decode_head(content)
        if head.generation != message.generation:
            raise errors.FrameError("head of another generation")
        is_moving = self._pending_head and (
            now - self._progress < PROGRESS_SECONDS
        )
        if is_moving and message.generation <= self._pending_generation:
            return []
        self._progress = now
        self._pending_head = content
        self._pending_generation = message.generation
        return self._ask_missing(sender, head)

    def answer_parts(
        self, sender: str, request: messages.PartRequest
    ) -> list[Outgoing]:
        """Sends parts to a peer."""
        return [
            Outgoing(
                sender,
                messages.Part(name, zlib.compress(self.snapshot.parts[name])),
            )
            for name in request.names[:MAX_PARTS_PER_REQUEST]
            if name in self.snapshot.parts
        ]

    def take_part(
        self, sender: str, part: messages.Part, now: float
    ) -> tuple[list[Outgoing], bool]:
        """Takes a part.

        Returns:
            What to ask next, and whether a newer configuration is now in
            force.
        """
        if not self._pending_head or part.name not in self._awaited:
            return [], False
        head = publication.decode_head(self._pending_head)
        if part.name not in head.parts:
            return [], False
        digest = head.digests[head.parts.index(part.name)]
        content = _decompress(part.content)
        if publication.content_digest(content) != digest:
            raise errors.FrameError(f"part {part.name} is damaged")
        self._pending_parts[part.name] = content
        self._awaited.discard(part.name)
        self._progress = now
        if self._awaited:
            return [], False
        if self._missing(head):
            return self._ask_missing(sender, head), False
        return [], self._apply_pending()

    def _ask_missing(
        self, sender: str, head: publication.Head
    ) -> list[Outgoing]:
        missing = self._missing(head)
        if not missing:
            # Only parts that were there before: nothing has to be fetched.
            self._apply_pending()
            return []
        names = tuple(missing[:MAX_PARTS_PER_REQUEST])
        self._awaited = set(names)
        return [Outgoing(sender, messages.PartRequest(names))]

    def _missing(self, head: publication.Head) -> list[str]:
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
        self._awaited = set()
        return self._apply(snapshot)

    def _apply(self, snapshot: publication.Snapshot) -> bool:
        if snapshot.generation <= self.snapshot.generation:
            return False
        self.snapshot = snapshot
        return True


def _decompress(content: bytes) -> bytes:
    """Undoes the compression of a head or part.

    Raises:
        errors.FrameError: It is not compressed data, or longer than allowed.
    """
    decompressor = zlib.decompressobj()
    try:
        plain = decompressor.decompress(content, MAX_CONTENT_BYTES)
    except zlib.error as error:
        raise errors.FrameError(f"compressed content: {error}") from error
    if not decompressor.eof:
        raise errors.FrameError("compressed content is cut or too long")
    return plain
