"""The stand-in platform: object API, list of targets, fault injection.

The protocol is in docs/STANDINS.md.
"""

import threading
import time
from typing import NamedTuple

import msgspec
import urllib3

from catkintrail import errors
from catkintrail import messages
from catkintrail.adapters import memory_platform
from catkintrail.adapters import wsgi

__all__ = ["Faults", "Platform", "TargetSetting"]

PROBE_TIMEOUT_SECONDS = 0.5


class Faults(NamedTuple):
    """Faults that the stand-in injects.

    Attributes:
        outage: Whether every call fails.
        delay_seconds: Delay added to each call.
        lose_answers: Number of further writes and deletions that take effect
            but are answered with an error.
    """

    outage: bool = False
    delay_seconds: float = 0.0
    lose_answers: int = 0


class TargetSetting(NamedTuple):
    """A target of the deployment, as listed in the stand-in's targets file.

    Attributes:
        name: The target.
        zone: Its availability zone.
        region: Region of the zone.
        serves: The model or service it serves.
        address: `IP:port`.
    """

    name: str
    zone: str
    region: str
    serves: str
    address: str


class Platform:
    """One stand-in platform.

    Attributes:
        store: Objects and list of targets, in memory.
        faults: Faults currently injected.
        targets: Targets to probe for the list.
        lag_seconds: Delay between probing the targets and updating the list.
    """

    def __init__(
        self, targets: tuple[TargetSetting, ...], lag_seconds: float
    ) -> None:
        self.store = memory_platform.MemoryPlatform()
        self.faults = Faults()
        self.targets = targets
        self.lag_seconds = lag_seconds
        self._lock = threading.Lock()
        self._probe_thread = threading.Thread(
            target=self._run_probes, daemon=True
        )

    def start(self) -> None:
        """Starts the thread that probes the targets."""
        self._probe_thread.start()

    def serve(self, request: wsgi.Request) -> wsgi.Response:
        """Handles one HTTP request of the platform protocol."""
        if request.path == "/standin/faults":
            return self._set_faults(request)
        if request.path == "/standin/counts":
            return wsgi.json_response(200, self.store.counts)
        if self.faults.delay_seconds:
            time.sleep(self.faults.delay_seconds)
        if self.faults.outage:
            return wsgi.json_response(503, {"error": "outage"})
        try:
            response = self._serve(request)
        except errors.ConflictError as error:
            etag = [("ETag", str(error.current_version))]
            return wsgi.json_response(409, {"error": str(error)}, etag)
        except errors.PlatformError as error:
            return wsgi.json_response(413, {"error": str(error)})
        if request.method in ("PUT", "DELETE") and self._consume_answer_loss():
            return wsgi.json_response(504, {"error": "answer lost"})
        return response

    def _serve(self, request: wsgi.Request) -> wsgi.Response:
        path = request.path
        if path == "/targets":
            listing = self.store.list_targets()
            return wsgi.json_response(200, [listing.revision, listing.targets])
        if path == "/watch":
            version = self.store.watch(
                request.query["name"],
                int(request.query["after"]),
                float(request.query["seconds"]),
            )
            return wsgi.json_response(200, version)
        if path == "/objects":
            names = self.store.list_names(
                request.query["prefix"], int(request.query["limit"])
            )
            return wsgi.json_response(200, names)
        if path.startswith("/objects/"):
            return self._serve_object(request, path[len("/objects/") :])
        return wsgi.json_response(404, {"error": f"no path {path}"})

    def _serve_object(self, request: wsgi.Request, name: str) -> wsgi.Response:
        if request.method == "GET":
            stored = self.store.read(name)
            if stored is None:
                return wsgi.json_response(404, {"error": "no such object"})
            headers = [
                ("ETag", str(stored.version)),
                ("Content-Length", str(len(stored.value))),
            ]
            return wsgi.Response(200, headers, [stored.value])
        expected = int(request.headers.get("if-match", "0"))
        if request.method == "PUT":
            version = self.store.write(name, request.body, expected)
            return wsgi.json_response(200, {}, [("ETag", str(version))])
        if request.method == "DELETE":
            self.store.delete(name, expected)
            return wsgi.json_response(200, {}, [("ETag", "0")])
        return wsgi.json_response(405, {"error": request.method})

    def _set_faults(self, request: wsgi.Request) -> wsgi.Response:
        try:
            data = wsgi.parse_json(request.body)
            values = {**self.faults._asdict(), **data}
            faults = Faults(**values)
        except (ValueError, TypeError) as error:
            return wsgi.json_response(400, {"error": str(error)})
        with self._lock:
            self.faults = faults
        return wsgi.json_response(200, faults._asdict())

    def _consume_answer_loss(self) -> bool:
        """Returns whether to lose this answer; counts `lose_answers` down."""
        with self._lock:
            if self.faults.lose_answers <= 0:
                return False
            remaining = self.faults.lose_answers - 1
            self.faults = self.faults._replace(lose_answers=remaining)
            return True

    # List of targets.

    def _run_probes(self) -> None:
        """Repeatedly updates the list with the targets that answer."""
        http = urllib3.PoolManager(retries=False)
        while True:
            records = []
            for setting in self.targets:
                record = _probe_target(http, setting)
                if record is not None:
                    records.append(record)
            time.sleep(self.lag_seconds)
            self.store.set_targets(tuple(records))


def _probe_target(
    http: urllib3.PoolManager, setting: TargetSetting
) -> messages.TargetRecord | None:
    """Returns a target's record; None if no JSON answer comes."""
    try:
        response = http.request(
            "GET",
            f"http://{setting.address}/load",
            timeout=PROBE_TIMEOUT_SECONDS,
        )
        data = msgspec.json.decode(response.data)
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
        return None
    return messages.TargetRecord(*setting, data["incarnation"], data["leaving"])
