"""Splits an event stream into whole events and checks their order."""

from typing import NamedTuple

from catkintrail import errors

__all__ = ["Event", "EventReader", "EventSequence"]

MAX_EVENT_BYTES = 1 << 20


class Event(NamedTuple):
    """A whole event.

    Attributes:
        number: Its id; -1 where it has none that is a number.
        data: Its bytes, with the blank line at its end.
    """

    number: int
    data: bytes


class EventReader:
    """Gathers bytes until events are whole.

    Attributes:
        pending: Bytes of an event that is not whole yet.
    """

    def __init__(self) -> None:
        self.pending = b""

    def feed(self, data: bytes) -> list[Event]:
        """Adds bytes; returns the events that became whole.

        Raises:
            errors.FrameError: An event is too long.
        """
        self.pending += data
        events = []
        while True:
            end = _event_end(self.pending)
            if end < 0:
                break
            whole, self.pending = self.pending[:end], self.pending[end:]
            events.append(Event(_event_number(whole), whole))
        if len(self.pending) > MAX_EVENT_BYTES:
            raise errors.FrameError("an event is too long")
        return events


class EventSequence:
    """Keeps the events of one answer in order over several runs.

    Attributes:
        last: Id of the last event passed on; -1 before the first.
    """

    def __init__(self, last: int = -1) -> None:
        self.last = last

    def accept(self, event: Event) -> bool:
        """Takes the next event; returns False for a repeat.

        Raises:
            errors.FrameError: An event is missing before this one.
        """
        if event.number < 0:
            return True
        if self.last >= 0:
            if event.number <= self.last:
                return False
            if event.number > self.last + 1:
                raise errors.FrameError(
                    f"event {event.number} follows {self.last}"
                )
        self.last = event.number
        return True


def _event_end(data: bytes) -> int:
    """Returns where the first event ends; -1 where it is not whole."""
    ends = []
    for mark in (b"\n\n", b"\r\n\r\n"):
        at = data.find(mark)
        if at >= 0:
            ends.append(at + len(mark))
    return min(ends, default=-1)


def _event_number(data: bytes) -> int:
    for line in data.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id" and value.strip().isdigit():
            return int(value)
    return -1
