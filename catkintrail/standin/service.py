"""The stand-in plain service, for calls that must not be executed twice.

An example is a booking. The stand-in counts executions by idempotency key, so
that tests can detect a repeated one. The protocol is in docs/STANDINS.md.
"""

import threading
import time
from typing import Any

from catkintrail.adapters import wsgi

__all__ = ["Service"]


class Service:
    """One stand-in service target.

    Attributes:
        name: Name of the target.
        call_seconds: Duration of each call.
        executions: Number of executions by idempotency key; calls without a
            key count under their method and path.
        is_leaving: Whether it refuses new calls.
        pending_failures: Failures of the next calls, in order; "decline"
            refuses a call, "error" fails it after its execution, and other
            values let it succeed.
    """

    def __init__(self, name: str, call_seconds: float) -> None:
        self.name = name
        self.call_seconds = call_seconds
        self.incarnation = int(time.time() * 1_000)
        self.executions: dict[str, int] = {}
        self.is_leaving = False
        self.pending_failures: list[str] = []
        self._running = 0
        self._total_executions = 0
        self._lock = threading.Lock()

    def serve(self, request: wsgi.Request) -> wsgi.Response:
        """Handles one HTTP request: a call, load probe or test control."""
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
                self.pending_failures.append(str(data["how"]))
                return wsgi.json_response(200, {})
        return self._execute(request)

    def _execute(self, request: wsgi.Request) -> wsgi.Response:
        if self.is_leaving:
            return _not_run_response("leaving")
        with self._lock:
            failure = (
                self.pending_failures.pop(0) if self.pending_failures else ""
            )
            self._running += 1
        try:
            if failure == "decline":
                return _not_run_response("busy")
            time.sleep(self.call_seconds)
            number = self._count_execution(request)
            if failure == "error":
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

    def _count_execution(self, request: wsgi.Request) -> int:
        key = request.headers.get("idempotency-key", "")
        if not key:
            key = f"{request.method} {request.path}"
        with self._lock:
            self.executions[key] = self.executions.get(key, 0) + 1
            self._total_executions += 1
            return self._total_executions

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


def _not_run_response(reason: str) -> wsgi.Response:
    headers = [("X-Verdict", "not_run"), ("X-Reason", reason)]
    return wsgi.json_response(503, {"reason": reason}, headers)
