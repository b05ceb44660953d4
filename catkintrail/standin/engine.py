"""The stand-in engine over HTTP, in scaled real time.

The protocol is in docs/STANDINS.md.
"""

import collections
import hashlib
import json
import queue
import random
import threading
import time
from typing import Any, Iterator, NamedTuple

import urllib3

from catkintrail.adapters import wsgi
from catkintrail.core import prefix_index
from catkintrail.standin import engine_model

__all__ = ["Engine", "EngineOptions"]

MAX_EVENTS = 256
PART_TIMEOUT_SECONDS = 120.0
IDLE_SECONDS = 0.02
DONE = -1


class EngineOptions(NamedTuple):
    """How a stand-in engine behaves.

    Attributes:
        name: The engine.
        shape: Sizes and speeds.
        speed: How many times faster than real time it runs.
        bytes_per_token: Mean bytes of text in a token.
        report_lag_seconds: Age of its load reports.
        event_gap: Probability that a cache event is lost.
        checks_fencing: Whether it refuses orders with old fencing numbers.
        version: The version loaded at the start.
    """

    name: str
    shape: engine_model.EngineShape = engine_model.EngineShape()
    speed: float = 1.0
    bytes_per_token: float = 4.0
    report_lag_seconds: float = 0.5
    event_gap: float = 0.02
    checks_fencing: bool = True
    version: str = "v1"


class _Reservation:
    """Memory held for a group; never freed by the engine itself."""

    def __init__(self, holder: str, tokens: int, expires: float) -> None:
        self.holder = holder
        self.tokens = tokens
        self.expires = expires
        self.users: set[str] = set()


class _Stream:
    """The tokens of one attempt on their way to its reader."""

    def __init__(self, ends: float) -> None:
        self.tokens: queue.SimpleQueue[int] = queue.SimpleQueue()
        self.ends = ends


class Engine:
    """One stand-in engine.

    Attributes:
        is_leaving: Whether it refuses new work.
        orders: Orders that took effect, oldest first.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.model = engine_model.EngineModel(options.shape)
        self.incarnation = int(time.time() * 1_000)
        self.is_leaving = False
        self.version = options.version
        self.fencing = 0
        self.orders: list[dict[str, Any]] = []
        self.reservations: dict[str, _Reservation] = {}
        self.lock = threading.RLock()
        self._streams: dict[str, _Stream] = {}
        self._reports: collections.deque = collections.deque()
        self._events: collections.deque = collections.deque(maxlen=MAX_EVENTS)
        self._event_number = 0
        self._rng = random.Random(options.name)
        self._http = urllib3.PoolManager(retries=False)
        self._stepper = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Starts the engine's steps."""
        self._stepper.start()

    def serve(self, request: wsgi.Request) -> wsgi.Response:
        """Serves the engine's protocol."""
        handlers = {
            ("POST", "/v1/generate"): self._generate,
            ("POST", "/v1/part"): self._part,
            ("POST", "/v1/cancel"): self._cancel,
            ("POST", "/v1/reserve"): self._reserve,
            ("POST", "/v1/free"): self._free,
            ("POST", "/v1/orders"): self._order,
            ("POST", "/v1/kv/export"): self._export,
            ("POST", "/v1/kv/import"): self._import,
            ("GET", "/load"): self._load,
            ("POST", "/standin/leave"): self._leave,
            ("GET", "/standin/state"): self._state,
        }
        handler = handlers.get((request.method, request.path))
        if handler is None:
            return _refuse(404, "not_found")
        if request.method == "GET":
            return handler(request.query)
        try:
            data = wsgi.parse_json(request.body) if request.body else {}
            return handler(data)
        except (ValueError, KeyError, TypeError) as error:
            return _refuse(400, f"bad_request: {error}")

    # Completions.

    def _generate(self, data: dict[str, Any]) -> wsgi.Response:
        if self.is_leaving:
            return _refuse(503, "leaving")
        attempt_id = data["attempt_id"]
        group = [tuple(member) for member in data["group"]]
        tokens, blocks, seed = self._read_prompt(data["request"])
        offset = data["offset"]
        output = self._output_length(seed, data["max_tokens"])
        stream = _Stream(time.monotonic() + data["timeout_seconds"])
        if group:
            refusal = self._begin_group(data, group, tokens, output - offset)
            if refusal is not None:
                return refusal
            with self.lock:
                self._streams[attempt_id] = stream
        else:
            need = tokens + output
            with self.lock:
                if need > self.options.shape.kv_tokens:
                    return _refuse(503, "prompt_exceeds_memory")
                self._streams[attempt_id] = stream
                self.model.submit(
                    attempt_id,
                    tokens + offset,
                    max(1, output - offset),
                    data["priority"],
                    blocks,
                )
        events = self._stream(attempt_id, stream, seed, offset, output, group)
        headers = [("Content-Type", "text/event-stream")]
        return wsgi.Response(200, headers, events)

    def _stream(
        self,
        attempt_id: str,
        stream: _Stream,
        seed: str,
        offset: int,
        output: int,
        group: list[tuple],
    ) -> Iterator[bytes]:
        """Yields the tokens of an attempt as server-sent events."""
        position = offset
        try:
            while position < output:
                count = self._next_count(stream)
                if count == DONE:
                    return
                text = "".join(
                    f"{seed}-{number} "
                    for number in range(position, offset + count)
                )
                chunk = {
                    "attempt_id": attempt_id,
                    "offset": position,
                    "tokens": offset + count - position,
                    "text": text,
                    "end": offset + count >= output,
                }
                position = offset + count
                yield b"data: " + json.dumps(chunk).encode() + b"\n\n"
        finally:
            self._end_attempt(attempt_id, group)

    def _next_count(self, stream: _Stream) -> int:
        """Returns tokens produced so far, joining what has come since."""
        left = stream.ends - time.monotonic()
        try:
            count = stream.tokens.get(timeout=max(0.0, left))
            while count != DONE:
                count = stream.tokens.get_nowait()
        except queue.Empty:
            if time.monotonic() >= stream.ends:
                return DONE
        return count

    def _end_attempt(self, attempt_id: str, group: list[tuple]) -> None:
        with self.lock:
            self.model.cancel(attempt_id)
            self._streams.pop(attempt_id, None)
            for reservation in self.reservations.values():
                reservation.users.discard(attempt_id)
        for address, reservation_id in group[1:]:
            self._call(
                address,
                "/v1/part",
                {
                    "reservation_id": reservation_id,
                    "user": attempt_id,
                    "tokens": 0,
                    "priority": 0,
                },
            )

    def _begin_group(
        self,
        data: dict[str, Any],
        group: list[tuple],
        tokens: int,
        output: int,
    ) -> wsgi.Response | None:
        """Starts the prefill of a group's prompt on all members."""
        attempt_id = data["attempt_id"]
        share = -(-tokens // len(group))
        with self.lock:
            mine = self.reservations.get(group[0][1])
            if mine is None:
                return _refuse(409, "unknown_reservation")
            mine.users.add(attempt_id)
        body = {
            "user": attempt_id,
            "tokens": share,
            "priority": data["priority"],
        }
        threads = []
        answers: list[bool] = []

        def run_part(address: str, reservation_id: str) -> None:
            part = {**body, "reservation_id": reservation_id}
            answers.append(self._call(address, "/v1/part", part))

        for address, reservation_id in group[1:]:
            thread = threading.Thread(
                target=run_part, args=(address, reservation_id), daemon=True
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join(data["timeout_seconds"])
        if answers.count(True) < len(threads):
            with self.lock:
                mine.users.discard(attempt_id)
            return _refuse(409, "unknown_reservation")
        with self.lock:
            self.model.submit(
                attempt_id, share, max(1, output), data["priority"], (), True
            )
        return None

    def _part(self, data: dict[str, Any]) -> wsgi.Response:
        """Prefills a member's part of a prompt; 0 tokens end its use."""
        with self.lock:
            reservation = self.reservations.get(data["reservation_id"])
            if reservation is None:
                return _refuse(409, "unknown_reservation")
            if not data["tokens"]:
                reservation.users.discard(data["user"])
                return wsgi.json_response(200, {})
            reservation.users.add(data["user"])
            name = f"{data['reservation_id']}.part"
            stream = _Stream(time.monotonic() + PART_TIMEOUT_SECONDS)
            self._streams[name] = stream
            self.model.submit(
                name, data["tokens"], 0, data["priority"], (), True
            )
        self._next_count(stream)
        with self.lock:
            self._streams.pop(name, None)
        return wsgi.json_response(200, {})

    def _cancel(self, data: dict[str, Any]) -> wsgi.Response:
        with self.lock:
            self.model.cancel(data["attempt_id"])
            stream = self._streams.get(data["attempt_id"])
            if stream is not None:
                stream.tokens.put(DONE)
        return wsgi.json_response(200, {})

    def _call(self, address: str, path: str, data: dict) -> bool:
        try:
            response = self._http.request(
                "POST",
                f"http://{address}{path}",
                json=data,
                timeout=PART_TIMEOUT_SECONDS,
            )
            return response.status == 200
        except urllib3.exceptions.HTTPError:
            return False

    # Memory.

    def _reserve(self, data: dict[str, Any]) -> wsgi.Response:
        if self.is_leaving:
            return _refuse(503, "leaving")
        with self.lock:
            known = self.reservations.get(data["reservation_id"])
            if known is not None:
                return wsgi.json_response(200, {})
            if not self.model.hold(data["tokens"]):
                return _refuse(503, "no_memory")
            expires = time.monotonic() + data["expires_in"]
            self.reservations[data["reservation_id"]] = _Reservation(
                data["holder"], data["tokens"], expires
            )
        return wsgi.json_response(200, {})

    def _free(self, data: dict[str, Any]) -> wsgi.Response:
        with self.lock:
            reservation = self.reservations.get(data["reservation_id"])
            if reservation is None:
                return wsgi.json_response(200, {"freed": False})
            if data.get("cancel"):
                for name in list(reservation.users):
                    self._cancel({"attempt_id": name})
            del self.reservations[data["reservation_id"]]
            self.model.unhold(reservation.tokens)
        return wsgi.json_response(200, {"freed": True})

    def _export(self, data: dict[str, Any]) -> wsgi.Response:
        """Names the cached blocks of a prompt, for another engine."""
        with self.lock:
            blocks = []
            for block in data["blocks"]:
                if block not in self.model.cache:
                    break
                blocks.append(block)
        return wsgi.json_response(200, {"blocks": blocks})

    def _import(self, data: dict[str, Any]) -> wsgi.Response:
        """Takes cached blocks from another engine."""
        with self.lock:
            for block in data["blocks"]:
                self.model.cache[block] = None
            self.model.changes.append((tuple(data["blocks"]), ()))
        return wsgi.json_response(200, {})

    # Orders, reports and switches.

    def _order(self, data: dict[str, Any]) -> wsgi.Response:
        with self.lock:
            if self.options.checks_fencing and data["fencing"] < self.fencing:
                return _refuse(409, "old_fencing_number")
            self.fencing = max(self.fencing, data["fencing"])
            self.version = data["version"]
            self.orders.append(data)
            return wsgi.json_response(
                200, {"version": self.version, "fencing": self.fencing}
            )

    def _load(self, query: dict[str, str]) -> wsgi.Response:
        with self.lock:
            self._note_events()
            report = self._lagging_report()
            after = int(query.get("after", "0"))
            events = []
            if after >= 0:
                events = [e for e in self._events if e["sequence"] > after]
        return wsgi.json_response(200, {**report, "events": events})

    def _lagging_report(self) -> dict[str, Any]:
        now = time.monotonic()
        self._reports.append((now, self._report(now)))
        limit = now - self.options.report_lag_seconds
        while len(self._reports) > 1 and self._reports[1][0] <= limit:
            self._reports.popleft()
        made, report = self._reports[0]
        return {**report, "age_seconds": now - made}

    def _report(self, now: float) -> dict[str, Any]:
        running = len(self.model.sequences) + len(self.model.waiting)
        return {
            "incarnation": self.incarnation,
            "leaving": self.is_leaving,
            "queue_tokens": self.model.queue_tokens(),
            "running": running,
            "kv_used": self.model.kv_used,
            "kv_capacity": self.options.shape.kv_tokens,
            "version": self.version,
            "reservations": [
                {
                    "reservation_id": name,
                    "holder": one.holder,
                    "tokens": one.tokens,
                    "in_use": bool(one.users),
                    "expires_in": one.expires - now,
                }
                for name, one in self.reservations.items()
            ],
        }

    def _note_events(self) -> None:
        changes = self.model.changes
        self.model.changes = []
        for added, removed in changes:
            self._event_number += 1
            if self._rng.random() < self.options.event_gap:
                continue
            self._events.append(
                {
                    "sequence": self._event_number,
                    "added": added,
                    "removed": removed,
                }
            )

    def _leave(self, data: dict[str, Any]) -> wsgi.Response:
        self.is_leaving = bool(data.get("leaving", True))
        return wsgi.json_response(200, {})

    def _state(self, query: dict[str, str]) -> wsgi.Response:
        del query
        with self.lock:
            report = self._report(time.monotonic())
            return wsgi.json_response(200, {**report, "orders": self.orders})

    # Steps.

    def _run(self) -> None:
        while True:
            with self.lock:
                is_idle = self.model.is_idle()
                seconds = 0.0 if is_idle else self.model.begin_step()
            if is_idle:
                time.sleep(IDLE_SECONDS / self.options.speed)
                continue
            time.sleep(seconds / self.options.speed)
            with self.lock:
                for name, count, _, _ in self.model.end_step():
                    stream = self._streams.get(name)
                    if stream is not None:
                        stream.tokens.put(count)

    # Prompts.

    def _read_prompt(
        self, request: dict[str, Any]
    ) -> tuple[int, tuple[int, ...], str]:
        """Returns a prompt's length, blocks and the seed of its answer."""
        prompt = request["prompt"]
        size = self.options.shape.block_tokens
        if isinstance(prompt, list):
            blocks = prefix_index.hash_token_blocks(prompt, size)
            digest = hashlib.sha256(json.dumps(prompt).encode())
            return len(prompt), blocks, digest.hexdigest()[:6]
        text = prompt.encode("utf-8", "surrogatepass")
        per_token = self.options.bytes_per_token
        tokens = max(1, -int(-len(text) // per_token))
        blocks = prefix_index.hash_blocks(text, int(size * per_token))
        return tokens, blocks, hashlib.sha256(text).hexdigest()[:6]

    def _output_length(self, seed: str, max_tokens: int) -> int:
        """Returns the answer's length: always the same for a prompt."""
        part = 0.5 + int(seed[:4], 16) / 0xFFFF / 2
        return max(1, int(max_tokens * part))


def _refuse(status: int, reason: str) -> wsgi.Response:
    headers = [("X-Verdict", "not_run"), ("X-Reason", reason)]
    return wsgi.json_response(status, {"reason": reason}, headers)
