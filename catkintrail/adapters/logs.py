"""Structured logs: one JSON object a line on standard error."""

import logging
import sys
from typing import IO

from pythonjsonlogger import json as json_logs

__all__ = ["configure"]

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
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(
        json_logs.JsonFormatter(
            FIELDS,
            rename_fields={"levelname": "level", "message": "event"},
            static_fields={"instance": instance, "availability_zone": zone},
            timestamp="time",
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for noisy in ("pykka", "urllib3", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
