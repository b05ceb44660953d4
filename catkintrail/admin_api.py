"""HTTP API for operators: objects, changes, history, status and drain."""

import logging
import time
from typing import Any, Callable, NotRequired, TypedDict

import msgspec

from catkintrail import access
from catkintrail import caller_api
from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.adapters import wsgi
from catkintrail.core import attempts
from catkintrail.core import publication
from catkintrail.ports import platform as platform_port

__all__ = ["AdminApi", "EditBody", "EditsBody"]

_AUDIT = logging.getLogger("catkintrail.audit")

READ_ROLES = ("operator", "viewer")
WRITE_ROLES = ("operator",)
DEFAULT_HISTORY_LIMIT = 20
MAX_HISTORY_LIMIT = 200
MAX_EDITS = 10_000


class EditBody(TypedDict):
    """An edit in a request; the fields are those of `publication.Edit`."""

    kind: str
    name: str
    value: dict[str, Any] | None
    base: NotRequired[str | None]


class EditsBody(TypedDict):
    """The body of `POST /admin/changes`."""

    edits: list[EditBody]


class AdminApi:
    """Serves the administration API of one instance.

    Attributes:
        store: The platform's store, where changes are published.
        snapshot: Returns the configuration that the instance uses.
        apply_snapshot: Makes the instance use a newly published
            configuration.
        status: Returns the instance's status as plain data.
        drain: Starts draining the instance.
        key_table: Returns the API keys of the current configuration.
        request_ids: Source of request ids.
        wall_clock: Returns Unix time in seconds.
    """

    def __init__(
        self,
        store: platform_port.Platform,
        snapshot: Callable[[], publication.Snapshot],
        apply_snapshot: Callable[[publication.Snapshot], None],
        status: Callable[[], dict[str, Any]],
        drain: Callable[[], None],
        key_table: Callable[[], access.KeyTable],
        request_ids: attempts.IdGenerator,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self.store = store
        self.snapshot = snapshot
        self.apply_snapshot = apply_snapshot
        self.status = status
        self.drain = drain
        self.key_table = key_table
        self.request_ids = request_ids
        self.wall_clock = wall_clock

    def serve(self, request: wsgi.Request) -> wsgi.Response:
        """Handles a request to a path under `/admin/`."""
        request_id = self.request_ids.next_id()
        try:
            return self._serve(request, request_id)
        except errors.RequestError as error:
            return caller_api.error_response(request_id, error.refusal)
        except errors.CheckError as error:
            return _check_error_response(request_id, error)
        except errors.PlatformUnavailableError as error:
            refusal = verdicts.Refusal(
                verdicts.Verdict.NOT_RUN,
                verdicts.Reason.STORE_UNAVAILABLE,
                str(error),
                2.0,
            )
            return caller_api.error_response(request_id, refusal)

    def _serve(self, request: wsgi.Request, request_id: str) -> wsgi.Response:
        roles = READ_ROLES if request.method == "GET" else WRITE_ROLES
        caller = access.authenticate(request.headers, self.key_table(), roles)
        match (request.method, request.path):
            case ("GET", "/admin/objects"):
                return self._get_objects()
            case ("GET", "/admin/history"):
                return self._get_history(request)
            case ("GET", "/admin/status"):
                return wsgi.json_response(200, self.status())
            case ("POST", "/admin/changes"):
                return self._publish_change(request, request_id, caller)
            case ("POST", "/admin/drain"):
                self.drain()
                return wsgi.json_response(202, {"draining": True})
        raise errors.RequestError(
            verdicts.Refusal(
                verdicts.Verdict.NOT_RUN,
                verdicts.Reason.NOT_FOUND,
                f"no endpoint {request.method} {request.path}",
            )
        )

    def _get_objects(self) -> wsgi.Response:
        snapshot = self.snapshot()
        digests = {
            kind: {
                name: publication.object_digest(value)
                for name, value in records.items()
            }
            for kind, records in snapshot.data.items()
        }
        return wsgi.json_response(
            200,
            {
                "generation": snapshot.generation,
                "objects": snapshot.data,
                "digests": digests,
            },
        )

    def _get_history(self, request: wsgi.Request) -> wsgi.Response:
        text = request.query.get("limit", str(DEFAULT_HISTORY_LIMIT))
        limit = int(text) if text.isdigit() else DEFAULT_HISTORY_LIMIT
        limit = min(MAX_HISTORY_LIMIT, limit)
        changes = publication.read_history(self.store, limit)
        data = [change._asdict() for change in changes]
        return wsgi.json_response(200, {"changes": data})

    def _publish_change(
        self,
        request: wsgi.Request,
        request_id: str,
        caller: access.Caller,
    ) -> wsgi.Response:
        edits = _read_edits(request.body)
        author = f"{caller.organisation}/{caller.key_name}"
        change = publication.Change(
            request_id, author, self.wall_clock(), edits
        )
        try:
            snapshot = publication.publish(self.store, self.snapshot(), change)
        except errors.OutcomeUnknownError as error:
            raise errors.RequestError(
                verdicts.Refusal(
                    verdicts.Verdict.MAY_HAVE_RUN,
                    verdicts.Reason.STORE_UNAVAILABLE,
                    f"{error}; check the history for change {request_id}"
                    " before retrying",
                    2.0,
                )
            ) from error
        self.apply_snapshot(snapshot)
        head = publication.decode_head(snapshot.head) if snapshot.head else None
        is_accepted = head is not None and head.change.change_id == request_id
        if is_accepted:
            _AUDIT.info(
                "change accepted",
                extra={
                    "change_id": request_id,
                    "author": author,
                    "generation": snapshot.generation,
                    "edits": [f"{e.kind}.{e.name}" for e in edits[:50]],
                },
            )
        return wsgi.json_response(
            200,
            {
                "generation": snapshot.generation,
                "change_id": request_id if is_accepted else None,
                "changed": is_accepted,
            },
        )


def _read_edits(body: bytes) -> tuple[publication.Edit, ...]:
    try:
        data = wsgi.parse_json(body)
        request = msgspec.convert(data, EditsBody)
    except (ValueError, msgspec.ValidationError) as error:
        raise errors.RequestError(
            verdicts.Refusal(
                verdicts.Verdict.NOT_RUN,
                verdicts.Reason.BAD_REQUEST,
                f"invalid body: {error}",
            )
        ) from error
    if len(request["edits"]) > MAX_EDITS:
        raise errors.RequestError(
            verdicts.Refusal(
                verdicts.Verdict.NOT_RUN,
                verdicts.Reason.TOO_LARGE,
                f"more than {MAX_EDITS} edits in one change",
            )
        )
    return tuple(
        publication.Edit(
            edit["kind"], edit["name"], edit["value"], edit.get("base")
        )
        for edit in request["edits"]
    )


def _check_error_response(
    request_id: str, error: errors.CheckError
) -> wsgi.Response:
    mistakes = [mistake._asdict() for mistake in error.mistakes]
    data = {
        "error": {
            "message": "the changed objects are invalid; nothing was published",
            "type": verdicts.Reason.BAD_REQUEST.value,
            "verdict": verdicts.Verdict.NOT_RUN.value,
            "request_id": request_id,
            "mistakes": mistakes,
        }
    }
    return wsgi.json_response(400, data)
