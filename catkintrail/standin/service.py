"""The stand-in plain service: bookings that must not be doubled.

It counts each execution by the key it was called with, so that a doubled one
shows. The protocol is in docs/STANDINS.md.
"""

import threading
import time
from typing import Any

from catkintrail.adapters import wsgi

__all__ = ["Service"]


class Service:
    """One stand-in service target.

    Attributes:
        name: The target.
        call_seconds: Time that each call takes.
        executions: How often each key was executed.
        is_leaving: Whether it refuses new calls.
    """

    def __init__(self, name: str, call_seconds: float) -> None:
        self.name = name
        self.call_seconds = call_seconds
        self.incarnation = int(time.time() * 1_000)
        self.executions: dict[str, int] = {}
        self.is_leaving = False
        self.fail_next: list[str] = []
        self._running = 0
        self._count = 0
        self._lock = threading.Lock()

    def serve(self, request: wsgi.Request) -> wsgi.Response:
        """Serves one call."""
        match (request.method, request.path):
            case ("GET", "/load"):
                return self._load()
            case ("POST", "/standin/leave"):
                self.is_leaving = True
                return wsgi.json_response(200, {})
            case ("GET", "/standin/executions"):
                return wsgi.json_response(200, self.executions)
            case ("POST", "/standin/fail"):
                data = wsgi.parse_json(request.body)
                self.fail_next.append(str(data["how"]))
                return wsgi.json_response(200, {})
        return self._execute(request)

    def _execute(self, request: wsgi.Request) -> wsgi.Response:
        if self.is_leaving:
            return _declined("leaving")
        with self._lock:
            how = self.fail_next.pop(0) if self.fail_next else ""
            self._running += 1
        try:
            if how == "decline":
                return _declined("busy")
            time.sleep(self.call_seconds)
            number = self._note(request)
            if how == "error":
                return wsgi.json_response(500, {"error": "after the work"})
        finally:
            with self._lock:
                self._running -= 1
        data: dict[str, Any] = {
            "service": self.name,
            "path": request.path,
            "number": number,
        }
        return wsgi.json_response(200, data)

    def _note(self, request: wsgi.Request) -> int:
        key = request.headers.get("idempotency-key", "")
        if not key:
            key = f"{request.method} {request.path}"
        with self._lock:
            self.executions[key] = self.executions.get(key, 0) + 1
            self._count += 1
            return self._count

    def _load(self) -> wsgi.Response:
        return wsgi.json_response(
            200,
            {
                "age_seconds": 0.0,
                "incarnation": self.incarnation,
                "leaving": self.is_leaving,
                "queue_tokens": 0,
                "running": self._running,
                "kv_used": 0,
                "kv_capacity": 0,
            },
        )


def _declined(reason: str) -> wsgi.Response:
    headers = [("X-Verdict", "not_run"), ("X-Reason", reason)]
    return wsgi.json_response(503, {"reason": reason}, headers)
