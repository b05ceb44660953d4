"""Splitting of server-sent event streams and checks of event order."""

from typing import Iterable, NamedTuple

from catkintrail import errors

__all__ = ["Event", "EventReader", "EventSequence"]

MAX_EVENT_BYTES = 1 << 20
MAX_ID_DIGITS = 18
# Consecutive events without an id. A target in trouble may send bytes without
# end that look like such events.
MAX_UNNUMBERED_EVENTS = 64


class Event(NamedTuple):
    """A complete event.

    Attributes:
        number: Id of the event; -1 if it has no numeric id.
        data: Bytes of the event, including the blank line at the end.
    """

    number: int
    data: bytes


class EventReader:
    """Splits a byte stream into events.

    Attributes:
        pending: Bytes of the last, incomplete event.
    """

    def __init__(self) -> None:
        self.pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Appends bytes and returns the events that they complete.

        Raises:
            errors.FrameError: An incomplete event exceeds the maximum length.
        """
        self.pending += data
        events = []
        while True:
            end = _event_end(self.pending)
            if end < 0:
                break
            event_bytes, self.pending = self.pending[:end], self.pending[end:]
            events.append(Event(_event_number(event_bytes), event_bytes))
        if len(self.pending) > MAX_EVENT_BYTES:
            raise errors.FrameError("server-sent event is too long")
        return events


class EventSequence:
    """Checks the event order of one answer across resumed attempts.

    Attributes:
        last: Id of the last accepted event; -1 before the first.
    """

    def __init__(self, last: int = -1) -> None:
        self.last = last
        self._unnumbered = 0
        self._is_resuming = False

    def resume(self) -> None:
        """Records that another attempt goes on with the answer.

        Until its first event with an id, it may have comments only, which are
        skipped; anything else may be an error.
        """
        self._is_resuming = True

    def accept(self, event: Event) -> bool:
        """Processes the next event.

        Events without an id are accepted, but not many in a row.

        Returns:
            False if the event repeats an accepted one and must be skipped.

        Raises:
            errors.FrameError: At least one event before this one is missing,
                too many events without an id follow each other, or one begins a
                resumed stream.
        """
        if event.number < 0:
            self._unnumbered += 1
            if self._unnumbered > MAX_UNNUMBERED_EVENTS:
                raise errors.FrameError("events without ids do not end")
            if self._is_resuming and not _is_comment(event.data):
                raise errors.FrameError("a resumed stream begins without an id")
            return not self._is_resuming
        self._unnumbered = 0
        self._is_resuming = False
        if self.last >= 0:
            if event.number <= self.last:
                return False
            if event.number > self.last + 1:
                raise errors.FrameError(
                    f"event {event.number} follows event {self.last}; the ids"
                    " in between are missing"
                )
        self.last = event.number
        return True

    def select(
        self, events: Iterable[Event]
    ) -> tuple[list[Event], errors.FrameError | None]:
        """Processes events that were received together.

        Returns:
            The events to forward, and the fault behind them; None if there is
            none. All of them have to be forwarded, as `last` is beyond them.
            Repeated events are left out, and so are those without an id right
            before a fault, which may be a part of it.
        """
        selected = []
        for event in events:
            try:
                is_accepted = self.accept(event)
            except errors.FrameError as error:
                while selected and selected[-1].number < 0:
                    selected.pop()
                return selected, error
            if is_accepted:
                selected.append(event)
        return selected, None


def _event_end(data: bytes) -> int:
    """Returns the end offset of the first event; -1 if it is incomplete."""
    ends = []
    for delimiter in (b"\n\n", b"\r\n\r\n"):
        offset = data.find(delimiter)
        if offset >= 0:
            ends.append(offset + len(delimiter))
    return min(ends, default=-1)


def _is_comment(data: bytes) -> bool:
    return all(
        line.startswith(b":") for line in data.splitlines() if line.strip()
    )


def _event_number(data: bytes) -> int:
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        value = value.strip()
        if name == b"id" and value.isdigit() and len(value) <= MAX_ID_DIGITS:
            return int(value)
    return -1
