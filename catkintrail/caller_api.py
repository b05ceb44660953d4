"""HTTP API for callers: completions and service calls."""

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
MAX_IDEMPOTENCY_KEY_CHARS = 255
MAX_URGENCY = 9
DEFAULT_URGENCY = 5
CALLER_ROLES = ("caller", "operator")
FORWARDED_HEADERS = ("content-type", "accept")
SERVICE_PREFIX = "/services/"


class _Prompt(NamedTuple):
    """The length of a prompt in tokens and the hashes of its blocks."""

    token_count: int
    block_hashes: tuple[int, ...]


class CallerApi:
    """Handles the HTTP requests of callers on one instance.

    Attributes:
        completion_runner: Runs completions.
        service_runner: Runs service calls.
        snapshot: Returns the configuration in force.
        keys: Returns the API keys of the configuration in force.
        ids: Source of request ids.
        metrics: Counters and histograms of requests.
        clock: Monotonic time in seconds.
    """

    def __init__(
        self,
        completion_runner: completions.CompletionRunner,
        service_runner: service_calls.ServiceRunner,
        snapshot: Callable[[], publication.Snapshot],
        keys: Callable[[], access.KeyTable],
        ids: attempts.IdGenerator,
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
        """Handles `POST /v1/completions`, streamed or as one JSON object."""
        request_id = self.ids.next_id()
        started_at = self.clock()
        try:
            body = _parse_json_object(request.body)
            completion = self._parse_completion(
                request, body, request_id, started_at
            )
            pieces = self.completion_runner.complete(completion)
            first = next(pieces)
        except errors.RequestError as error:
            return self._refusal_response(
                "completion", request_id, error.refusal
            )
        except errors.TargetError as error:
            refusal = verdicts.Refusal(
                error.verdict, verdicts.Reason.TARGET_FAILED, str(error), 1.0
            )
            return self._refusal_response("completion", request_id, refusal)
        self._observe_first_token_latency(completion, started_at)
        if body.get("stream", False) is True:
            events = self._stream_events(completion, first, pieces)
            headers = _response_headers(request_id) + [
                ("Content-Type", "text/event-stream"),
                ("Cache-Control", "no-store"),
            ]
            return wsgi.Response(200, headers, events)
        return self._collect_response(completion, first, pieces)

    def call_service(self, request: wsgi.Request) -> wsgi.Response:
        """Handles `/services/ROUTE/...` by calling the route's service."""
        request_id = self.ids.next_id()
        started_at = self.clock()
        try:
            call = self._parse_service_request(request, request_id, started_at)
            answer = self.service_runner.call(call)
        except errors.RequestError as error:
            return self._refusal_response("service", request_id, error.refusal)
        except errors.TargetError as error:
            refusal = verdicts.Refusal(
                error.verdict, verdicts.Reason.TARGET_FAILED, str(error), 1.0
            )
            return self._refusal_response("service", request_id, refusal)
        self._record_outcome(
            "service", request_id, "answered", verdicts.Verdict.RAN
        )
        headers = _response_headers(request_id) + [
            ("X-Verdict", verdicts.Verdict.RAN.value),
            ("Content-Type", answer.content_type or "application/json"),
            ("Content-Length", str(len(answer.body))),
        ]
        return wsgi.Response(answer.status, headers, [answer.body])

    # Request parsing.

    def _parse_completion(
        self,
        request: wsgi.Request,
        body: dict[str, Any],
        request_id: str,
        now: float,
    ) -> completions.Completion:
        caller = access.authenticate(request.headers, self.keys(), CALLER_ROLES)
        object_set = self.snapshot().objects
        route = self._find_route(object_set, body.get("model"), caller, "model")
        model = object_set.models[route.model]
        prompt = _parse_prompt(body.get("prompt"), model)
        max_tokens = _parse_max_tokens(body, model)
        if prompt.token_count + max_tokens > model.context_tokens:
            raise _request_error(
                f"prompt of {prompt.token_count} tokens and max_tokens"
                f" {max_tokens} exceed the model's context_tokens of"
                f" {model.context_tokens}",
                verdicts.Reason.TOO_LARGE,
            )
        if not isinstance(body.get("stream", False), bool):
            raise _request_error("stream: expected true or false")
        return completions.Completion(
            request_id,
            route.model,
            model,
            caller.organisation,
            self._find_organisation(object_set, caller),
            request.body,
            prompt.token_count,
            max_tokens,
            prompt.block_hashes,
            _parse_urgency(request.headers),
            route.first_token_weight,
            now + _parse_deadline(request.headers, route),
        )

    def _parse_service_request(
        self, request: wsgi.Request, request_id: str, now: float
    ) -> service_calls.ServiceRequest:
        caller = access.authenticate(request.headers, self.keys(), CALLER_ROLES)
        object_set = self.snapshot().objects
        name, _, subpath = request.path[len(SERVICE_PREFIX) :].partition("/")
        route = self._find_route(object_set, name, caller, "service")
        key = request.headers.get("idempotency-key", "")
        if len(key) > MAX_IDEMPOTENCY_KEY_CHARS:
            raise _request_error(
                f"Idempotency-Key: longer than {MAX_IDEMPOTENCY_KEY_CHARS}"
                " characters"
            )
        headers = {
            header: request.headers[header]
            for header in FORWARDED_HEADERS
            if header in request.headers
        }
        headers["x-organisation"] = caller.organisation
        if key:
            headers["idempotency-key"] = key
        return service_calls.ServiceRequest(
            request_id,
            route.service,
            object_set.services[route.service],
            caller.organisation,
            self._find_organisation(object_set, caller),
            request.method,
            "/" + subpath,
            headers,
            request.body,
            key,
            _parse_urgency(request.headers),
            now + _parse_deadline(request.headers, route),
        )

    def _find_route(
        self,
        object_set: objects.ObjectSet,
        name: Any,
        caller: access.Caller,
        kind: str,
    ) -> objects.Route:
        if not isinstance(name, str) or not name:
            raise _request_error(f"{kind}: expected the name of a route")
        route = object_set.routes.get(name)
        if route is None or not getattr(route, kind):
            known = sorted(
                route_name
                for route_name, candidate in object_set.routes.items()
                if getattr(candidate, kind)
                and _is_permitted(candidate, caller.organisation)
            )
            raise _request_error(
                f"no route to a {kind} is named {name[:80]!r}; known routes:"
                f" {', '.join(known[:20]) or 'none'}",
                verdicts.Reason.NOT_FOUND,
            )
        if not _is_permitted(route, caller.organisation):
            raise _request_error(
                f"organisation {caller.organisation} may not use route"
                f" {name!r}",
                verdicts.Reason.FORBIDDEN,
            )
        return route

    def _find_organisation(
        self, object_set: objects.ObjectSet, caller: access.Caller
    ) -> objects.Organisation:
        return object_set.organisations.get(
            caller.organisation, objects.Organisation()
        )

    # Responses.

    def _stream_events(
        self,
        completion: completions.Completion,
        first: completions.Piece,
        pieces: Iterator[completions.Piece],
    ) -> Iterator[bytes]:
        """Yields server-sent events; the last one is an error or `[DONE]`."""
        request_id = completion.request_id
        is_complete = False
        try:
            yield _encode_event(_chunk_body(completion, first))
            is_complete = first.is_last
            if not is_complete:
                for piece in pieces:
                    is_complete = piece.is_last
                    yield _encode_event(_chunk_body(completion, piece))
            yield b"data: [DONE]\n\n"
            self._record_outcome(
                "completion", request_id, "answered", verdicts.Verdict.RAN
            )
        except errors.RequestError as error:
            yield _encode_event(_error_body(request_id, error.refusal))
            self._record_refusal("completion", request_id, error.refusal)
        finally:
            pieces.close()
            if not is_complete:
                _LOG.info(
                    "stream ended early", extra={"request_id": request_id}
                )

    def _collect_response(
        self,
        completion: completions.Completion,
        first: completions.Piece,
        pieces: Iterator[completions.Piece],
    ) -> wsgi.Response:
        """Returns the whole completion as one JSON object."""
        request_id = completion.request_id
        texts = [first.text]
        last = first
        try:
            if not first.is_last:
                for last in pieces:
                    texts.append(last.text)
        except errors.RequestError as error:
            return self._refusal_response(
                "completion", request_id, error.refusal
            )
        finally:
            pieces.close()
        self._record_outcome(
            "completion", request_id, "answered", verdicts.Verdict.RAN
        )
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
        return wsgi.json_response(200, data, _response_headers(request_id))

    def _refusal_response(
        self, kind: str, request_id: str, refusal: verdicts.Refusal
    ) -> wsgi.Response:
        self._record_refusal(kind, request_id, refusal)
        return error_response(request_id, refusal)

    # Metrics and logs.

    def _record_refusal(
        self, kind: str, request_id: str, refusal: verdicts.Refusal
    ) -> None:
        self._record_outcome(
            kind, request_id, refusal.reason.value, refusal.verdict
        )

    def _record_outcome(
        self,
        kind: str,
        request_id: str,
        outcome: str,
        verdict: verdicts.Verdict,
    ) -> None:
        labels = {"kind": kind, "outcome": outcome, "verdict": verdict.value}
        self.metrics.increment("catkintrail_requests_total", labels)
        _LOG.info("request ended", extra={"request_id": request_id, **labels})

    def _observe_first_token_latency(
        self, completion: completions.Completion, started_at: float
    ) -> None:
        is_long = completion.prompt_tokens >= (
            completion.model.long_prompt_tokens
        )
        self.metrics.observe(
            "catkintrail_first_token_seconds",
            self.clock() - started_at,
            {"class": "long" if is_long else "short"},
        )


def error_response(request_id: str, refusal: verdicts.Refusal) -> wsgi.Response:
    """Returns the HTTP response for a refusal.

    Args:
        request_id: Id for the `X-Request-Id` header and the error object; ""
            where the request was given none.
        refusal: The verdict, the reason and the time until a retry.
    """
    status = verdicts.STATUS_OF_REASON[refusal.reason]
    headers = _response_headers(request_id)
    headers.append(("X-Verdict", refusal.verdict.value))
    if refusal.retry_after_seconds is not None:
        seconds = math.ceil(refusal.retry_after_seconds)
        headers.append(("Retry-After", str(max(1, seconds))))
    return wsgi.json_response(status, _error_body(request_id, refusal), headers)


def _error_body(request_id: str, refusal: verdicts.Refusal) -> dict[str, dict]:
    return {
        "error": {
            "message": refusal.message,
            "type": refusal.reason.value,
            "verdict": refusal.verdict.value,
            "retry_after_seconds": refusal.retry_after_seconds,
            "request_id": request_id,
        }
    }


def _response_headers(request_id: str) -> list[tuple[str, str]]:
    return [("X-Request-Id", request_id)]


def _encode_event(data: dict[str, Any]) -> bytes:
    return b"data: " + msgspec.json.encode(data) + b"\n\n"


def _chunk_body(
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
                    _finish_reason(completion, piece) if piece.is_last else None
                ),
            }
        ],
    }
    if piece.is_last:
        data["usage"] = _usage(completion, piece)
    return data


def _finish_reason(
    completion: completions.Completion, last: completions.Piece
) -> str:
    return "length" if last.tokens_so_far >= completion.max_tokens else "stop"


def _usage(
    completion: completions.Completion, last: completions.Piece
) -> dict[str, int]:
    return {
        "prompt_tokens": completion.prompt_tokens,
        "completion_tokens": last.tokens_so_far,
        "total_tokens": completion.prompt_tokens + last.tokens_so_far,
    }


def _is_permitted(route: objects.Route, organisation: str) -> bool:
    return not route.organisations or organisation in route.organisations


def _parse_json_object(body: bytes) -> dict[str, Any]:
    try:
        data = wsgi.parse_json(body)
    except ValueError as error:
        raise _request_error(str(error)) from error
    if not isinstance(data, dict):
        raise _request_error("the body must be a JSON object")
    return data


def _parse_prompt(value: Any, model: objects.Model) -> _Prompt:
    if isinstance(value, str) and value:
        encoded = value.encode("utf-8", "surrogatepass")
        token_count = max(1, math.ceil(len(encoded) / model.bytes_per_token))
        block_bytes = max(1, int(model.block_tokens * model.bytes_per_token))
        return _Prompt(
            token_count, prefix_index.hash_blocks(encoded, block_bytes)
        )
    if isinstance(value, list) and value:
        if not all(type(token) is int for token in value):  # pylint: disable=unidiomatic-typecheck
            raise _request_error(
                "prompt: a list must hold integer token ids only"
            )
        block_hashes = prefix_index.hash_token_blocks(value, model.block_tokens)
        return _Prompt(len(value), block_hashes)
    raise _request_error(
        "prompt: expected a non-empty string or list of token ids"
    )


def _parse_max_tokens(body: dict[str, Any], model: objects.Model) -> int:
    default = min(DEFAULT_MAX_TOKENS, model.max_output_tokens)
    value = body.get("max_tokens", default)
    if type(value) is not int or not 1 <= value <= model.max_output_tokens:  # pylint: disable=unidiomatic-typecheck
        raise _request_error(
            "max_tokens: expected an integer from 1 to"
            f" {model.max_output_tokens}, found {str(value)[:40]}"
        )
    return value


def _parse_deadline(headers: dict[str, str], route: objects.Route) -> float:
    text = headers.get("x-deadline-seconds")
    if text is None:
        return route.deadline_seconds
    seconds = _parse_finite_float(text)
    if seconds is None or not 0 < seconds <= route.max_deadline_seconds:
        raise _request_error(
            "X-Deadline-Seconds: expected a number above 0 and at most"
            f" {route.max_deadline_seconds:g}"
        )
    return seconds


def _parse_urgency(headers: dict[str, str]) -> int:
    text = headers.get("x-priority")
    if text is None:
        return DEFAULT_URGENCY
    if not text.isascii() or not text.isdigit() or int(text) > MAX_URGENCY:
        raise _request_error(
            f"X-Priority: expected an integer from 0 to {MAX_URGENCY}"
        )
    return int(text)


def _parse_finite_float(text: str) -> float | None:
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _request_error(
    message: str,
    reason: verdicts.Reason = verdicts.Reason.BAD_REQUEST,
) -> errors.RequestError:
    return errors.RequestError(
        verdicts.Refusal(verdicts.Verdict.NOT_RUN, reason, message)
    )
