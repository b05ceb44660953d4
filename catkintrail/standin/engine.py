"""HTTP server of the stand-in engine, running in scaled real time.

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

MAX_CACHE_EVENTS = 256
PART_TIMEOUT_SECONDS = 120.0
IDLE_POLL_SECONDS = 0.02
END_OF_STREAM = -1


class EngineOptions(NamedTuple):
    """Options of a stand-in engine.

    Attributes:
        name: Name of the engine; also seeds the loss of cache events.
        parameters: Memory sizes, batch limits and step times.
        speed: Factor by which it runs faster than real time.
        bytes_per_token: Mean bytes of text in a token.
        report_lag_seconds: Age of the load reports that it returns.
        event_loss_probability: Probability that a cache event is lost.
        checks_fencing: Whether it refuses orders with old fencing numbers.
        version: Model version loaded at the start.
    """

    name: str
    parameters: engine_model.EngineParameters = engine_model.EngineParameters()
    speed: float = 1.0
    bytes_per_token: float = 4.0
    report_lag_seconds: float = 0.5
    event_loss_probability: float = 0.02
    checks_fencing: bool = True
    version: str = "v1"


class _Reservation:
    """KV memory reserved for a group.

    The engine reports the expiry but never frees a reservation by itself.
    """

    def __init__(self, holder: str, tokens: int, expires_at: float) -> None:
        self.holder = holder
        self.tokens = tokens
        self.expires_at = expires_at
        self.attempt_ids: set[str] = set()


class _Stream:
    """Queue of a sequence's token counts, from the step thread to a reader.

    Each count is the total so far; END_OF_STREAM follows a cancellation.
    """

    def __init__(self, deadline: float) -> None:
        self.token_counts: queue.SimpleQueue[int] = queue.SimpleQueue()
        self.deadline = deadline


class Engine:
    """One stand-in engine.

    Attributes:
        is_leaving: Whether it refuses new completions and reservations.
        orders: Orders that were accepted, oldest first.
    """

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.model = engine_model.EngineModel(options.parameters)
        self.incarnation = int(time.time() * 1_000)
        self.is_leaving = False
        self.version = options.version
        self.highest_fencing_number = 0
        self.orders: list[dict[str, Any]] = []
        self.reservations: dict[str, _Reservation] = {}
        self.lock = threading.RLock()
        self._streams: dict[str, _Stream] = {}
        self._reports: collections.deque = collections.deque()
        self._cache_events: collections.deque = collections.deque(
            maxlen=MAX_CACHE_EVENTS
        )
        self._last_event_number = 0
        self._rng = random.Random(options.name)
        self._http = urllib3.PoolManager(retries=False)
        self._step_thread = threading.Thread(
            target=self._run_steps, daemon=True
        )

    def start(self) -> None:
        """Starts the thread that runs the engine's steps."""
        self._step_thread.start()

    def serve(self, request: wsgi.Request) -> wsgi.Response:
        """Handles one HTTP request of the engine protocol."""
        handlers = {
            ("POST", "/v1/generate"): self._generate,
            ("POST", "/v1/part"): self._prefill_part,
            ("POST", "/v1/cancel"): self._cancel,
            ("POST", "/v1/reserve"): self._reserve,
            ("POST", "/v1/free"): self._free,
            ("POST", "/v1/orders"): self._apply_order,
            ("POST", "/v1/kv/export"): self._export_blocks,
            ("POST", "/v1/kv/import"): self._import_blocks,
            ("GET", "/load"): self._load,
            ("POST", "/standin/leave"): self._set_leaving,
            ("GET", "/standin/state"): self._state,
        }
        handler = handlers.get((request.method, request.path))
        if handler is None:
            return _not_run_response(404, "not_found")
        if request.method == "GET":
            return handler(request.query)
        try:
            data = wsgi.parse_json(request.body) if request.body else {}
            return handler(data)
        except (ValueError, KeyError, TypeError) as error:
            return _not_run_response(400, f"bad_request: {error}")

    # Completions.

    def _generate(self, data: dict[str, Any]) -> wsgi.Response:
        if self.is_leaving:
            return _not_run_response(503, "leaving")
        attempt_id = data["attempt_id"]
        group = [tuple(member) for member in data["group"]]
        prompt_tokens, blocks, seed = self._read_prompt(data["request"])
        offset = data["offset"]
        output_tokens = self._output_length(seed, data["max_tokens"])
        stream = _Stream(time.monotonic() + data["timeout_seconds"])
        if group:
            refusal = self._begin_group(
                data, group, prompt_tokens, output_tokens - offset
            )
            if refusal is not None:
                return refusal
            with self.lock:
                self._streams[attempt_id] = stream
        else:
            kv_tokens = prompt_tokens + output_tokens
            with self.lock:
                if kv_tokens > self.options.parameters.kv_tokens:
                    return _not_run_response(503, "prompt_exceeds_memory")
                self._streams[attempt_id] = stream
                self.model.submit(
                    attempt_id,
                    prompt_tokens + offset,
                    max(1, output_tokens - offset),
                    data["priority"],
                    blocks,
                )
        events = self._stream(
            attempt_id, stream, seed, offset, output_tokens, group
        )
        headers = [("Content-Type", "text/event-stream")]
        return wsgi.Response(200, headers, events)

    def _stream(
        self,
        attempt_id: str,
        stream: _Stream,
        seed: str,
        offset: int,
        output_tokens: int,
        group: list[tuple],
    ) -> Iterator[bytes]:
        """Yields the tokens of an attempt as server-sent events."""
        position = offset
        try:
            while position < output_tokens:
                count = self._wait_for_count(stream)
                if count == END_OF_STREAM:
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
                    "end": offset + count >= output_tokens,
                }
                position = offset + count
                yield b"data: " + json.dumps(chunk).encode() + b"\n\n"
        finally:
            self._end_attempt(attempt_id, group)

    def _wait_for_count(self, stream: _Stream) -> int:
        """Waits for progress; returns the tokens produced in all.

        Counts queued in the meantime are merged into the latest. Returns
        END_OF_STREAM after a cancellation or the stream's deadline.
        """
        remaining = stream.deadline - time.monotonic()
        try:
            count = stream.token_counts.get(timeout=max(0.0, remaining))
            while count != END_OF_STREAM:
                count = stream.token_counts.get_nowait()
        except queue.Empty:
            if time.monotonic() >= stream.deadline:
                return END_OF_STREAM
        return count

    def _end_attempt(self, attempt_id: str, group: list[tuple]) -> None:
        """Removes an attempt from this engine and the group's reservations."""
        with self.lock:
            self.model.cancel(attempt_id)
            self._streams.pop(attempt_id, None)
            for reservation in self.reservations.values():
                reservation.attempt_ids.discard(attempt_id)
        for address, reservation_id in group[1:]:
            self._call_member(
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
        prompt_tokens: int,
        output_tokens: int,
    ) -> wsgi.Response | None:
        """Starts an attempt whose prompt is prefilled by a group of engines.

        Each member prefills an equal part of the prompt. This engine submits
        its part when the other members have prefilled theirs.

        Returns:
            The refusal; None if the attempt has started.
        """
        attempt_id = data["attempt_id"]
        part_tokens = -(-prompt_tokens // len(group))
        with self.lock:
            own_reservation = self.reservations.get(group[0][1])
            if own_reservation is None:
                return _not_run_response(409, "unknown_reservation")
            own_reservation.attempt_ids.add(attempt_id)
        body = {
            "user": attempt_id,
            "tokens": part_tokens,
            "priority": data["priority"],
        }
        threads = []
        results: list[bool] = []

        def prefill_part(address: str, reservation_id: str) -> None:
            part = {**body, "reservation_id": reservation_id}
            results.append(self._call_member(address, "/v1/part", part))

        for address, reservation_id in group[1:]:
            thread = threading.Thread(
                target=prefill_part, args=(address, reservation_id), daemon=True
            )
            thread.start()
            threads.append(thread)
        for thread in threads:
            thread.join(data["timeout_seconds"])
        if results.count(True) < len(threads):
            with self.lock:
                own_reservation.attempt_ids.discard(attempt_id)
            return _not_run_response(409, "unknown_reservation")
        with self.lock:
            self.model.submit(
                attempt_id,
                part_tokens,
                max(1, output_tokens),
                data["priority"],
                (),
                True,
            )
        return None

    def _prefill_part(self, data: dict[str, Any]) -> wsgi.Response:
        """Prefills this engine's part of a group's prompt.

        A part of 0 tokens says that the attempt no longer uses the
        reservation.
        """
        with self.lock:
            reservation = self.reservations.get(data["reservation_id"])
            if reservation is None:
                return _not_run_response(409, "unknown_reservation")
            if not data["tokens"]:
                reservation.attempt_ids.discard(data["user"])
                return wsgi.json_response(200, {})
            reservation.attempt_ids.add(data["user"])
            name = f"{data['reservation_id']}.part"
            stream = _Stream(time.monotonic() + PART_TIMEOUT_SECONDS)
            self._streams[name] = stream
            self.model.submit(
                name, data["tokens"], 0, data["priority"], (), True
            )
        self._wait_for_count(stream)
        with self.lock:
            self._streams.pop(name, None)
        return wsgi.json_response(200, {})

    def _cancel(self, data: dict[str, Any]) -> wsgi.Response:
        with self.lock:
            self.model.cancel(data["attempt_id"])
            stream = self._streams.get(data["attempt_id"])
            if stream is not None:
                stream.token_counts.put(END_OF_STREAM)
        return wsgi.json_response(200, {})

    def _call_member(self, address: str, path: str, data: dict) -> bool:
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

    # KV memory and prefix cache.

    def _reserve(self, data: dict[str, Any]) -> wsgi.Response:
        if self.is_leaving:
            return _not_run_response(503, "leaving")
        with self.lock:
            existing = self.reservations.get(data["reservation_id"])
            if existing is not None:
                return wsgi.json_response(200, {})
            if not self.model.reserve_memory(data["tokens"]):
                return _not_run_response(503, "no_memory")
            expires_at = time.monotonic() + data["expires_in"]
            self.reservations[data["reservation_id"]] = _Reservation(
                data["holder"], data["tokens"], expires_at
            )
        return wsgi.json_response(200, {})

    def _free(self, data: dict[str, Any]) -> wsgi.Response:
        with self.lock:
            reservation = self.reservations.get(data["reservation_id"])
            if reservation is None:
                return wsgi.json_response(200, {"freed": False})
            if data.get("cancel"):
                for attempt_id in list(reservation.attempt_ids):
                    self._cancel({"attempt_id": attempt_id})
            del self.reservations[data["reservation_id"]]
            self.model.release_memory(reservation.tokens)
        return wsgi.json_response(200, {"freed": True})

    def _export_blocks(self, data: dict[str, Any]) -> wsgi.Response:
        """Returns a prompt's leading blocks that are cached, for an import."""
        with self.lock:
            blocks = []
            for block in data["blocks"]:
                if block not in self.model.cache:
                    break
                blocks.append(block)
        return wsgi.json_response(200, {"blocks": blocks})

    def _import_blocks(self, data: dict[str, Any]) -> wsgi.Response:
        """Adds blocks that another engine exported to the prefix cache."""
        with self.lock:
            for block in data["blocks"]:
                self.model.cache[block] = None
            self.model.changes.append((tuple(data["blocks"]), ()))
        return wsgi.json_response(200, {})

    # Orders, load reports and test controls.

    def _apply_order(self, data: dict[str, Any]) -> wsgi.Response:
        with self.lock:
            if (
                self.options.checks_fencing
                and data["fencing"] < self.highest_fencing_number
            ):
                return _not_run_response(409, "old_fencing_number")
            self.highest_fencing_number = max(
                self.highest_fencing_number, data["fencing"]
            )
            self.version = data["version"]
            self.orders.append(data)
            return wsgi.json_response(
                200,
                {
                    "version": self.version,
                    "fencing": self.highest_fencing_number,
                },
            )

    def _load(self, query: dict[str, str]) -> wsgi.Response:
        with self.lock:
            self._collect_cache_events()
            report = self._delayed_report()
            after = int(query.get("after", "0"))
            events = []
            if after >= 0:
                events = [
                    e for e in self._cache_events if e["sequence"] > after
                ]
        return wsgi.json_response(200, {**report, "events": events})

    def _delayed_report(self) -> dict[str, Any]:
        """Returns the latest report that is at least as old as the lag.

        Until there is one, returns the oldest report.
        """
        now = time.monotonic()
        self._reports.append((now, self._make_report(now)))
        cutoff = now - self.options.report_lag_seconds
        while len(self._reports) > 1 and self._reports[1][0] <= cutoff:
            self._reports.popleft()
        made_at, report = self._reports[0]
        return {**report, "age_seconds": now - made_at}

    def _make_report(self, now: float) -> dict[str, Any]:
        running = len(self.model.sequences) + len(self.model.waiting)
        return {
            "incarnation": self.incarnation,
            "leaving": self.is_leaving,
            "queue_tokens": self.model.queue_tokens(),
            "running": running,
            "kv_used": self.model.kv_used,
            "kv_capacity": self.options.parameters.kv_tokens,
            "version": self.version,
            "reservations": [
                {
                    "reservation_id": reservation_id,
                    "holder": reservation.holder,
                    "tokens": reservation.tokens,
                    "in_use": bool(reservation.attempt_ids),
                    "expires_in": reservation.expires_at - now,
                }
                for reservation_id, reservation in self.reservations.items()
            ],
        }

    def _collect_cache_events(self) -> None:
        """Numbers the model's cache changes and queues them as events.

        A lost event uses up its number, so that readers can see the gap.
        """
        changes = self.model.changes
        self.model.changes = []
        for added, removed in changes:
            self._last_event_number += 1
            if self._rng.random() < self.options.event_loss_probability:
                continue
            self._cache_events.append(
                {
                    "sequence": self._last_event_number,
                    "added": added,
                    "removed": removed,
                }
            )

    def _set_leaving(self, data: dict[str, Any]) -> wsgi.Response:
        self.is_leaving = bool(data.get("leaving", True))
        return wsgi.json_response(200, {})

    def _state(self, query: dict[str, str]) -> wsgi.Response:
        del query
        with self.lock:
            report = self._make_report(time.monotonic())
            return wsgi.json_response(200, {**report, "orders": self.orders})

    # Steps.

    def _run_steps(self) -> None:
        while True:
            with self.lock:
                is_idle = self.model.is_idle()
                seconds = 0.0 if is_idle else self.model.begin_step()
            if is_idle:
                time.sleep(IDLE_POLL_SECONDS / self.options.speed)
                continue
            time.sleep(seconds / self.options.speed)
            with self.lock:
                for name, count, _, _ in self.model.end_step():
                    stream = self._streams.get(name)
                    if stream is not None:
                        stream.token_counts.put(count)

    # Prompts.

    def _read_prompt(
        self, request: dict[str, Any]
    ) -> tuple[int, tuple[int, ...], str]:
        """Reads the prompt of a request.

        Returns:
            Its length in tokens, its block hashes, and the hexadecimal seed
            of its output.
        """
        prompt = request["prompt"]
        size = self.options.parameters.block_tokens
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
        """Returns the output length, between half and all of `max_tokens`.

        The same prompt and limit always give the same length.
        """
        fraction = 0.5 + int(seed[:4], 16) / 0xFFFF / 2
        return max(1, int(max_tokens * fraction))


def _not_run_response(status: int, reason: str) -> wsgi.Response:
    headers = [("X-Verdict", "not_run"), ("X-Reason", reason)]
    return wsgi.json_response(status, {"reason": reason}, headers)
