"""Structured logs: one JSON object a line on standard error."""

import logging
import logging.handlers
import queue
import sys
from typing import IO

from pythonjsonlogger import json as json_logs

__all__ = ["BoundedQueueHandler", "configure", "configure_queued"]

# Lines that wait for a slow reader; a line has some hundred bytes.
MAX_WAITING_LINES = 5_000

FIELDS = "%(levelname)s %(name)s %(message)s"


def configure(
    level: str, instance: str, zone: str, stream: IO[str] | None = None
) -> None:
    """Sends all logs to a stream as JSON lines.

    Args:
        level: The least level that is written.
        instance: The instance's name, in every line.
        zone: Its availability zone, likewise.
        stream: Where to; standard error by default.
    """
    handler = _make_handler(instance, zone, stream or sys.stderr)
    _install(handler, level)


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Hands lines to a writer's thread; drops those that find no room.

    Attributes:
        dropped: Lines dropped.
    """

    def __init__(self, lines: queue.Queue) -> None:
        super().__init__(lines)
        self.dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a record without waiting."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


def configure_queued(
    level: str, instance: str, zone: str, stream: IO[str] | None = None
) -> tuple[BoundedQueueHandler, logging.handlers.QueueListener]:
    """Sends all logs to a stream from a thread of its own.

    Args:
        level: The least level that is written.
        instance: The instance's name, in every line.
        zone: Its availability zone, likewise.
        stream: Where to; standard output by default.

    Returns:
        The handler, which counts dropped lines, and the running listener; its
        `stop` writes what waits.
    """
    lines: queue.Queue = queue.Queue(MAX_WAITING_LINES)
    handler = BoundedQueueHandler(lines)
    writer = _make_handler(instance, zone, stream or sys.stdout)
    listener = logging.handlers.QueueListener(lines, writer)
    listener.start()
    _install(handler, level)
    return handler, listener


def _make_handler(
    instance: str, zone: str, stream: IO[str]
) -> logging.StreamHandler:
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        json_logs.JsonFormatter(
            FIELDS,
            rename_fields={"levelname": "level", "message": "event"},
            static_fields={"instance": instance, "availability_zone": zone},
            timestamp="time",
        )
    )
    return handler


def _install(handler: logging.Handler, level: str) -> None:
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for noisy in ("pykka", "urllib3", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
