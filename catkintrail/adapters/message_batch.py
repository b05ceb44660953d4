"""Messages that are collected and sent together."""

from catkintrail import messages

__all__ = ["MessageBatch"]

# Load messages of other zones are delayed this long; a prefill takes longer.
BATCH_DELAY_SECONDS = 0.1
MAX_BATCH_MESSAGES = 100


class MessageBatch:
    """Encoded messages that are sent together after a delay."""

    def __init__(self) -> None:
        self._contents: list[bytes] = []
        self._since = float("inf")

    def add(self, content: bytes, now: float) -> None:
        """Adds a message."""
        self._contents.append(content)
        self._since = min(self._since, now)

    def take_due(self, now: float) -> list[messages.Batch]:
        """Returns the messages to send now, and removes them."""
        if now - self._since < BATCH_DELAY_SECONDS:
            return []
        contents = self._contents
        self._contents = []
        self._since = float("inf")
        return [
            messages.Batch(tuple(contents[start : start + MAX_BATCH_MESSAGES]))
            for start in range(0, len(contents), MAX_BATCH_MESSAGES)
        ]
