"""The callers' API: completions and service calls."""

import logging
import math
import time
from typing import Any, Callable, Iterator, NamedTuple

import msgspec

from catkintrail import access
from catkintrail import completions
from catkintrail import errors
from catkintrail import objects
from catkintrail import service_calls
from catkintrail import verdict as verdicts
from catkintrail.adapters import metrics as metrics_module
from catkintrail.adapters import wsgi
from catkintrail.core import attempts
from catkintrail.core import prefix_index
from catkintrail.core import publication

__all__ = ["CallerApi", "error_response"]

_LOG = logging.getLogger("catkintrail.requests")

DEFAULT_MAX_TOKENS = 256
MAX_KEY_LENGTH = 255
MAX_URGENCY = 9
DEFAULT_URGENCY = 5
CALLER_ROLES = ("caller", "operator")
PASSED_HEADERS = ("content-type", "accept")
SERVICE_PREFIX = "/services/"


class _Prompt(NamedTuple):
    """A prompt's length and block hashes."""

    tokens: int
    blocks: tuple[int, ...]


class CallerApi:
    """Serves callers on one instance."""

    def __init__(
        self,
        completion_runner: completions.CompletionRunner,
        service_runner: service_calls.ServiceRunner,
        snapshot: Callable[[], publication.Snapshot],
        keys: Callable[[], access.KeyTable],
        ids: attempts.IdSource,
        metrics: metrics_module.Metrics,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.completion_runner = completion_runner
        self.service_runner = service_runner
        self.snapshot = snapshot
        self.keys = keys
        self.ids = ids
        self.metrics = metrics
        self.clock = clock

    def complete(self, request: wsgi.Request) -> wsgi.Response:
        """Serves `POST /v1/completions`."""
        request_id = self.ids.make()
        began = self.clock()
        try:
            body = _parse_object(request.body)
            completion = self._read_completion(request, body, request_id, began)
            pieces = self.completion_runner.complete(completion)
            first = next(pieces)
        except errors.RequestError as error:
            return self._refuse("completion", request_id, error.refusal)
        except errors.TargetError as error:
            refusal = verdicts.Refusal(
                error.verdict, verdicts.Reason.TARGET_FAILED, str(error), 1.0
            )
            return self._refuse("completion", request_id, refusal)
        self._observe_first_token(completion, began)
        if body.get("stream", False) is True:
            events = self._stream(completion, first, pieces)
            headers = _headers(request_id) + [
                ("Content-Type", "text/event-stream"),
                ("Cache-Control", "no-store"),
            ]
            return wsgi.Response(200, headers, events)
        return self._collect(completion, first, pieces)

    def call_service(self, request: wsgi.Request) -> wsgi.Response:
        """Serves `/services/ROUTE/...`."""
        request_id = self.ids.make()
        began = self.clock()
        try:
            call = self._read_call(request, request_id, began)
            answer = self.service_runner.call(call)
        except errors.RequestError as error:
            return self._refuse("service", request_id, error.refusal)
        except errors.TargetError as error:
            refusal = verdicts.Refusal(
                error.verdict, verdicts.Reason.TARGET_FAILED, str(error), 1.0
            )
            return self._refuse("service", request_id, refusal)
        self._count("service", request_id, "answered", verdicts.Verdict.RAN)
        headers = _headers(request_id) + [
            ("X-Verdict", verdicts.Verdict.RAN.value),
            ("Content-Type", answer.content_type or "application/json"),
            ("Content-Length", str(len(answer.body))),
        ]
        return wsgi.Response(answer.status, headers, [answer.body])

    # Reading requests.

    def _read_completion(
        self,
        request: wsgi.Request,
        body: dict[str, Any],
        request_id: str,
        now: float,
    ) -> completions.Completion:
        caller = access.identify(request.headers, self.keys(), CALLER_ROLES)
        current = self.snapshot().objects
        route = self._route(current, body.get("model"), caller, "model")
        model = current.models[route.model]
        prompt = _read_prompt(body.get("prompt"), model)
        max_tokens = _read_max_tokens(body, model)
        if prompt.tokens + max_tokens > model.context_tokens:
            raise _bad(
                f"prompt of {prompt.tokens} tokens and max_tokens"
                f" {max_tokens} exceed the model's {model.context_tokens}",
                verdicts.Reason.TOO_LARGE,
            )
        if not isinstance(body.get("stream", False), bool):
            raise _bad("stream: expected true or false")
        return completions.Completion(
            request_id,
            route.model,
            model,
            caller.organisation,
            self._organisation(current, caller),
            request.body,
            prompt.tokens,
            max_tokens,
            prompt.blocks,
            _read_urgency(request.headers),
            route.first_token_weight,
            now + _read_deadline(request.headers, route),
        )

    def _read_call(
        self, request: wsgi.Request, request_id: str, now: float
    ) -> service_calls.ServiceRequest:
        caller = access.identify(request.headers, self.keys(), CALLER_ROLES)
        current = self.snapshot().objects
        name, _, rest = request.path[len(SERVICE_PREFIX) :].partition("/")
        route = self._route(current, name, caller, "service")
        key = request.headers.get("idempotency-key", "")
        if len(key) > MAX_KEY_LENGTH:
            raise _bad(f"Idempotency-Key: over {MAX_KEY_LENGTH} characters")
        headers = {
            header: request.headers[header]
            for header in PASSED_HEADERS
            if header in request.headers
        }
        headers["x-organisation"] = caller.organisation
        if key:
            headers["idempotency-key"] = key
        return service_calls.ServiceRequest(
            request_id,
            route.service,
            current.services[route.service],
            caller.organisation,
            self._organisation(current, caller),
            request.method,
            "/" + rest,
            headers,
            request.body,
            key,
            _read_urgency(request.headers),
            now + _read_deadline(request.headers, route),
        )

    def _route(
        self,
        current: objects.ObjectSet,
        name: Any,
        caller: access.Caller,
        kind: str,
    ) -> objects.Route:
        if not isinstance(name, str) or not name:
            raise _bad(f"{kind}: expected the name of a route")
        route = current.routes.get(name)
        if route is None or not getattr(route, kind):
            known = sorted(
                route_name
                for route_name, one in current.routes.items()
                if getattr(one, kind) and _may_use(one, caller.organisation)
            )
            raise _bad(
                f"no route to a {kind} is named {name[:80]!r}; known are"
                f" {', '.join(known[:20]) or 'none'}",
                verdicts.Reason.NOT_FOUND,
            )
        if not _may_use(route, caller.organisation):
            raise _bad(
                f"organisation {caller.organisation} may not use {name!r}",
                verdicts.Reason.FORBIDDEN,
            )
        return route

    def _organisation(
        self, current: objects.ObjectSet, caller: access.Caller
    ) -> objects.Organisation:
        return current.organisations.get(
            caller.organisation, objects.Organisation()
        )

    # Answers.

    def _stream(
        self,
        completion: completions.Completion,
        first: completions.Piece,
        pieces: Iterator[completions.Piece],
    ) -> Iterator[bytes]:
        """Yields server-sent events; the last is an error or `[DONE]`."""
        request_id = completion.request_id
        is_whole = False
        try:
            yield _event(_chunk_data(completion, first))
            is_whole = first.end
            if not is_whole:
                for piece in pieces:
                    is_whole = piece.end
                    yield _event(_chunk_data(completion, piece))
            yield b"data: [DONE]\n\n"
            self._count(
                "completion", request_id, "answered", verdicts.Verdict.RAN
            )
        except errors.RequestError as error:
            yield _event(_error_data(request_id, error.refusal))
            self._note_refusal("completion", request_id, error.refusal)
        finally:
            pieces.close()
            if not is_whole:
                _LOG.info(
                    "stream ended early", extra={"request_id": request_id}
                )

    def _collect(
        self,
        completion: completions.Completion,
        first: completions.Piece,
        pieces: Iterator[completions.Piece],
    ) -> wsgi.Response:
        """Returns the whole completion in one JSON object."""
        request_id = completion.request_id
        texts = [first.text]
        last = first
        try:
            if not first.end:
                for last in pieces:
                    texts.append(last.text)
        except errors.RequestError as error:
            return self._refuse("completion", request_id, error.refusal)
        finally:
            pieces.close()
        self._count("completion", request_id, "answered", verdicts.Verdict.RAN)
        data = {
            "id": request_id,
            "object": "text_completion",
            "model": completion.model_name,
            "choices": [
                {
                    "index": 0,
                    "text": "".join(texts),
                    "finish_reason": _finish_reason(completion, last),
                }
            ],
            "usage": _usage(completion, last),
        }
        return wsgi.json_response(200, data, _headers(request_id))

    def _refuse(
        self, kind: str, request_id: str, refusal: verdicts.Refusal
    ) -> wsgi.Response:
        self._note_refusal(kind, request_id, refusal)
        return error_response(request_id, refusal)

    # Records.

    def _note_refusal(
        self, kind: str, request_id: str, refusal: verdicts.Refusal
    ) -> None:
        self._count(kind, request_id, refusal.reason.value, refusal.verdict)

    def _count(
        self,
        kind: str,
        request_id: str,
        outcome: str,
        verdict: verdicts.Verdict,
    ) -> None:
        labels = {"kind": kind, "outcome": outcome, "verdict": verdict.value}
        self.metrics.add("catkintrail_requests_total", labels)
        _LOG.info("request ended", extra={"request_id": request_id, **labels})

    def _observe_first_token(
        self, completion: completions.Completion, began: float
    ) -> None:
        is_long = completion.prompt_tokens >= (
            completion.model.long_prompt_tokens
        )
        self.metrics.observe(
            "catkintrail_first_token_seconds",
            self.clock() - began,
            {"class": "long" if is_long else "short"},
        )


def error_response(request_id: str, refusal: verdicts.Refusal) -> wsgi.Response:
    """Returns a refusal as an HTTP response."""
    status = verdicts.STATUS_OF_REASON[refusal.reason]
    headers = _headers(request_id)
    headers.append(("X-Verdict", refusal.verdict.value))
    if refusal.retry_after_seconds is not None:
        seconds = math.ceil(refusal.retry_after_seconds)
        headers.append(("Retry-After", str(max(1, seconds))))
    return wsgi.json_response(status, _error_data(request_id, refusal), headers)


def _error_data(request_id: str, refusal: verdicts.Refusal) -> dict[str, dict]:
    return {
        "error": {
            "message": refusal.message,
            "type": refusal.reason.value,
            "verdict": refusal.verdict.value,
            "retry_after_seconds": refusal.retry_after_seconds,
            "request_id": request_id,
        }
    }


def _headers(request_id: str) -> list[tuple[str, str]]:
    return [("X-Request-Id", request_id)]


def _event(data: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(data) + b"\n\n"


def _chunk_data(
    completion: completions.Completion, piece: completions.Piece
) -> dict[str, Any]:
    data: dict[str, Any] = {
        "id": completion.request_id,
        "object": "text_completion",
        "model": completion.model_name,
        "choices": [
            {
                "index": 0,
                "text": piece.text,
                "finish_reason": (
                    _finish_reason(completion, piece) if piece.end else None
                ),
            }
        ],
    }
    if piece.end:
        data["usage"] = _usage(completion, piece)
    return data


def _finish_reason(
    completion: completions.Completion, last: completions.Piece
) -> str:
    return "length" if last.tokens >= completion.max_tokens else "stop"


def _usage(
    completion: completions.Completion, last: completions.Piece
) -> dict[str, int]:
    return {
        "prompt_tokens": completion.prompt_tokens,
        "completion_tokens": last.tokens,
        "total_tokens": completion.prompt_tokens + last.tokens,
    }


def _may_use(route: objects.Route, organisation: str) -> bool:
    return not route.organisations or organisation in route.organisations


def _parse_object(body: bytes) -> dict[str, Any]:
    try:
        data = wsgi.parse_json(body)
    except ValueError as error:
        raise _bad(str(error)) from error
    if not isinstance(data, dict):
        raise _bad("the body must be a JSON object")
    return data


def _read_prompt(value: Any, model: objects.Model) -> _Prompt:
    if isinstance(value, str) and value:
        text = value.encode("utf-8", "surrogatepass")
        tokens = max(1, math.ceil(len(text) / model.bytes_per_token))
        size = max(1, int(model.block_tokens * model.bytes_per_token))
        return _Prompt(tokens, prefix_index.hash_blocks(text, size))
    if isinstance(value, list) and value:
        if not all(type(token) is int for token in value):  # pylint: disable=unidiomatic-typecheck
            raise _bad("prompt: a list must hold token numbers only")
        blocks = prefix_index.hash_token_blocks(value, model.block_tokens)
        return _Prompt(len(value), blocks)
    raise _bad("prompt: expected a text or a list of token numbers")


def _read_max_tokens(body: dict[str, Any], model: objects.Model) -> int:
    default = min(DEFAULT_MAX_TOKENS, model.max_output_tokens)
    value = body.get("max_tokens", default)
    if type(value) is not int or not 1 <= value <= model.max_output_tokens:  # pylint: disable=unidiomatic-typecheck
        raise _bad(
            f"max_tokens: expected 1 to {model.max_output_tokens},"
            f" found {str(value)[:40]}"
        )
    return value


def _read_deadline(headers: dict[str, str], route: objects.Route) -> float:
    text = headers.get("x-deadline-seconds")
    if text is None:
        return route.deadline_seconds
    seconds = _read_number(text)
    if seconds is None or not 0 < seconds <= route.max_deadline_seconds:
        raise _bad(
            "X-Deadline-Seconds: expected a number above 0 and at most"
            f" {route.max_deadline_seconds:g}"
        )
    return seconds


def _read_urgency(headers: dict[str, str]) -> int:
    text = headers.get("x-priority")
    if text is None:
        return DEFAULT_URGENCY
    if not text.isascii() or not text.isdigit() or int(text) > MAX_URGENCY:
        raise _bad(f"X-Priority: expected 0 to {MAX_URGENCY}")
    return int(text)


def _read_number(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _bad(
    message: str,
    reason: verdicts.Reason = verdicts.Reason.BAD_REQUEST,
) -> errors.RequestError:
    return errors.RequestError(
        verdicts.Refusal(verdicts.Verdict.NOT_RUN, reason, message)
    )
