"""Structured logging: one JSON object per line."""

import contextlib
import logging
import logging.handlers
import queue
import sys
import time
from typing import IO

from pythonjsonlogger import json as json_logs

__all__ = ["BoundedQueueHandler", "configure", "configure_queued"]

# Log lines queued for a slow reader; a line has a few hundred bytes.
MAX_QUEUED_LINES = 5_000
# How long the stop of a process waits for the reader of the queued lines.
STOP_SECONDS = 0.2

LOG_FORMAT = "%(levelname)s %(name)s %(message)s"


def configure(
    level: str, instance: str, zone: str, stream: IO[str] | None = None
) -> None:
    """Sends all logs to a stream as JSON lines.

    Args:
        level: Lowest level to write.
        instance: Name of the instance, added to every line.
        zone: Availability zone of the instance, added to every line.
        stream: Output stream; standard error by default.
    """
    handler = _make_handler(instance, zone, stream or sys.stderr)
    _install_handler(handler, level)


class BoundedQueueHandler(logging.handlers.QueueHandler):
    """Queues records for a writer thread; drops them when the queue is full.

    Attributes:
        dropped: Number of records dropped.
    """

    def __init__(self, record_queue: queue.Queue) -> None:
        super().__init__(record_queue)
        self.dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queues a record without waiting."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


class _QueueListener(logging.handlers.QueueListener):
    """Writes queued lines in its thread."""

    def stop(self) -> None:
        """Writes the queued lines, as far as their reader takes them."""
        thread = self._thread
        if thread is None:
            return
        deadline = time.monotonic() + STOP_SECONDS
        with contextlib.suppress(queue.Full):
            # A None ends the thread.
            self.queue.put(None, timeout=STOP_SECONDS)
        thread.join(max(0.0, deadline - time.monotonic()))


def configure_queued(
    level: str, instance: str, zone: str, stream: IO[str] | None = None
) -> tuple[BoundedQueueHandler, logging.handlers.QueueListener]:
    """Sends all logs to a stream as JSON lines, from a separate thread.

    Args:
        level: Lowest level to write.
        instance: Name of the instance, added to every line.
        zone: Availability zone of the instance, added to every line.
        stream: Output stream; standard output by default.

    Returns:
        The handler, which counts dropped records, and the running listener,
        whose `stop` method writes the queued records.
    """
    record_queue: queue.Queue = queue.Queue(MAX_QUEUED_LINES)
    handler = BoundedQueueHandler(record_queue)
    stream_handler = _make_handler(instance, zone, stream or sys.stdout)
    listener = _QueueListener(record_queue, stream_handler)
    listener.start()
    _install_handler(handler, level)
    return handler, listener


def _make_handler(
    instance: str, zone: str, stream: IO[str]
) -> logging.StreamHandler:
    handler = logging.StreamHandler(stream)
    handler.setFormatter(
        json_logs.JsonFormatter(
            LOG_FORMAT,
            rename_fields={"levelname": "level", "message": "event"},
            static_fields={"instance": instance, "availability_zone": zone},
            timestamp="time",
        )
    )
    return handler


def _install_handler(handler: logging.Handler, level: str) -> None:
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for logger_name in ("pykka", "urllib3", "asyncio"):
        logging.getLogger(logger_name).setLevel(logging.WARNING)
