"""Simulated engines and services, with their faulty behaviours."""

import asyncio
import contextlib
import enum
import json
import time
from typing import Callable, NoReturn
import zlib

import h11

from soak import history as run_history
from soak import http1
from soak import proxy as proxies

__all__ = [
    "BULKY_ID_PREFIX",
    "Behaviour",
    "Fleet",
    "Target",
    "complete_stream",
    "event_data",
]

ENGINES, DESK = "engines", "desk"
SLOTS = 8
# Requests queued beyond the slots before a target refuses more.
MAX_QUEUED_REQUESTS = 8
KV_TOKENS = 450_000
PREFILL_TOKENS_PER_SECOND = 256_000.0
# Prefill time for each pair of prompt tokens.
ATTENTION_PAIR_SECONDS = 0.0917e-9
EVENT_GAP_SECONDS = 0.03
DESK_WORK_SECONDS = 0.03
SLOW_FACTOR = 8.0
HANG_SECONDS = 6.0
KEEP_ALIVE_SECONDS = 5
# An engine cuts a response of which no piece of this size is read for longer.
UNREAD_SECONDS = 1.5
PIECE_BYTES = 64 << 10
# One in so many streams ends with its connection.
UNFRAMED_STREAM_INTERVAL = 4
# Requests whose ids begin so get events that do not fit into the buffers
# between an engine and a caller.
BULKY_ID_PREFIX = "b-"
BULKY_EVENT_PADDING = b"x" * 1_000_000
EVENT_FORMAT = b"id: %d\ndata: %s:%d\n\n"


class Behaviour(enum.Enum):
    """How a target treats its requests."""

    SOUND = "sound"
    ERRORS = "errors"
    # Refuses requests with 503 before it executes them.
    BUSY = "busy"
    HANG = "hang"
    RESET = "reset"
    # Closes the connection without a response.
    CLOSE = "close"
    TRUNCATE = "truncate"
    # Sends surplus bytes after a complete response.
    SURPLUS = "surplus"
    # Sends a second response on the connection; plain services only.
    SECOND = "second"
    # Ends the body by closing the connection.
    UNFRAMED = "unframed"
    SLOW = "slow"


class _Reservation:
    """A reservation of engine memory.

    Attributes:
        created_at: When the reservation was made.
        expires: When the reservation expires unless it is renewed.
        used_by_ids: Ids of the requests that use the reservation now.
        last_used_at: When the last request that used the reservation ended.
        had_concurrent_use: Whether two requests used the reservation at once.
    """

    def __init__(self, now: float, expires: float) -> None:
        self.created_at = now
        self.expires = expires
        self.used_by_ids: set[str] = set()
        self.last_used_at = 0.0
        self.had_concurrent_use = False


def event_count(request_id: str) -> int:
    """Returns the number of events in the stream of a request."""
    return 3 + zlib.crc32(request_id.encode()) % 12


def event_data(request_id: str, number: int) -> bytes:
    """Returns one event of a request's stream."""
    text = request_id.encode()
    if request_id.startswith(BULKY_ID_PREFIX):
        text += BULKY_EVENT_PADDING
    return EVENT_FORMAT % (number, text, number)


def complete_stream(request_id: str) -> bytes:
    """Returns all events of a request's stream."""
    count = event_count(request_id)
    return b"".join(event_data(request_id, n) for n in range(count))


class Target:
    """An incarnation of an engine or of a server of the service "desk".

    Attributes:
        name: Id of the incarnation.
        service: Name of the service.
        zone: Availability zone.
        fleet: Fleet with all targets of the run.
        behaviour: How requests are treated.
        proxy: Proxy through which instances reach the target.
        is_leaving: Whether the target is to be removed; store entries made then
            have the state "draining".
        states_leaving: Whether responses then state the leaving.
        limit: Requests a second that responses name as the limit; None for
            none.
        is_running: Whether the target accepts connections.
        running_ids: Ids of the requests in execution.
        begun: The header "Helpers" of each request whose response has begun,
            by request id.
        started_at_ms: Start in the store entry, in milliseconds of Unix time.
        port: Port on which the target listens.
    """

    def __init__(
        self, name: str, service: str, zone: str, fleet: "Fleet"
    ) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.fleet = fleet
        self.behaviour = Behaviour.SOUND
        self.proxy: proxies.Proxy | None = None
        self.is_leaving = False
        self.states_leaving = True
        self.limit: float | None = None
        self.is_running = False
        self.running_ids: set[str] = set()
        self.begun: dict[str, str] = {}
        self.started_at_ms = int(time.time() * 1000)
        self.port = 0
        self._reservations: dict[str, _Reservation] = {}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen on a free port, also after an end."""
        self.started_at_ms = int(time.time() * 1000)
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        if self.proxy is not None:
            await self.proxy.start()
        self.is_running = True

    def crash(self) -> None:
        """Resets all connections and drops all reservations."""
        self._stop(http1.reset)

    def end(self) -> None:
        """Ends as a process does whose connections the kernel closes."""
        self._stop(asyncio.StreamWriter.close)
        if self.proxy is not None:
            self.proxy.stop_listening()

    def _stop(self, stop: Callable[[asyncio.StreamWriter], None]) -> None:
        if self._server is not None:
            self._server.close()
        self.is_running = False
        for writer in list(self._writers):
            stop(writer)
        self._reservations.clear()

    def make_store_entry(self) -> dict:
        """Returns the target's entry for the store."""
        assert self.proxy is not None
        return {
            "service": self.service,
            "address": self.proxy.address,
            "zone": self.zone,
            "version": "v1",
            "slots": SLOTS,
            "state": "draining" if self.is_leaving else "ready",
            "cold-left-ms": 0,
            "seq": 1,
            "born": self.started_at_ms,
        }

    def close_reservations(self, now: float) -> None:
        """Ends and records the reservations left at the end of a run."""
        for key in list(self._reservations):
            self._close_reservation(key, now)

    def expire_reservations(self, now: float) -> None:
        """Ends and records reservations that were not renewed in time."""
        for key, reservation in list(self._reservations.items()):
            if reservation.expires <= now:
                self._close_reservation(key, now)

    def _close_reservation(self, key: str, now: float) -> None:
        reservation = self._reservations.pop(key)
        self.fleet.history.reservations.append(
            run_history.ReservationUse(
                self.name,
                key,
                reservation.created_at,
                now if reservation.used_by_ids else reservation.last_used_at,
                now,
                reservation.had_concurrent_use,
            )
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        connection = http1.Connection(reader, writer, h11.SERVER)
        try:
            with contextlib.suppress(http1.ClosedError):
                while True:
                    request = await connection.read_request()
                    await self._respond(connection, request)
                    connection.parser.start_next_cycle()
        except h11.LocalProtocolError:
            # The connection cannot be used again.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _respond(
        self, connection: http1.Connection, request: http1.Request
    ) -> None:
        if request.path == "/api/order":
            await self._handle_order(connection, json.loads(request.body))
            return
        headers = request.headers
        if request.method == "GET":
            is_own = headers.get("expect-instance", self.name) == self.name
            await connection.respond(
                200 if is_own else 421,
                {"Instance-Id": self.name},
                json.dumps({"born": self.started_at_ms}).encode(),
            )
            return
        request_id = headers.get("attempt-id", "")
        response_headers = {"Attempt-Id": request_id}
        if self.is_leaving and self.states_leaving:
            response_headers["Server-Leaving"] = "1"
            self.fleet.history.leaving_stated.append(
                (request_id, self.name, time.monotonic())
            )
        if self.limit is not None:
            response_headers["Server-Limit"] = str(self.limit)
            self.fleet.history.limits_stated.append(
                (request_id, self.name, time.monotonic())
            )
        expected = headers.get("expect-instance", self.name)
        unusable_helper = self._find_unusable_helper(headers.get("helpers", ""))
        is_full = len(self.running_ids) >= SLOTS + MAX_QUEUED_REQUESTS
        has_run = (
            expected == self.name
            and not unusable_helper
            and not is_full
            and self.behaviour is not Behaviour.BUSY
        )
        self._record_arrival(request, has_run)
        if expected != self.name:
            await connection.respond(
                421, {**response_headers, "Instance-Id": self.name}
            )
        elif not has_run:
            response_headers["Not-Executed"] = "1"
            response_headers["At-Server"] = (
                unusable_helper or self.proxy.address
            )
            await connection.respond(503, response_headers)
        else:
            response_headers["Engine-Stamp"] = self.name
            response_headers["Keep-Alive"] = f"timeout={KEEP_ALIVE_SECONDS}"
            await self._run(connection, request, request_id, response_headers)

    def _record_arrival(self, request: http1.Request, has_run: bool) -> None:
        headers = request.headers
        self.fleet.history.arrivals.append(
            run_history.Arrival(
                headers.get("attempt-id", ""),
                time.monotonic(),
                self.name,
                self.service,
                has_run,
                headers.get("tenant", ""),
                request.path,
                request.body,
                "authorization" in headers,
                float(headers.get("deadline-ms", "inf")),
                headers.get("expect-instance", self.name),
            )
        )

    async def _run(
        self,
        connection: http1.Connection,
        request: http1.Request,
        request_id: str,
        response_headers: dict[str, str],
    ) -> None:
        """Executes a request until it ends or the peer disconnects."""
        started_at = time.monotonic()
        reservations = self._use_reservations(
            request.headers.get("helpers", ""), request_id
        )
        self.running_ids.add(request_id)
        work = asyncio.ensure_future(
            self._process(connection, request, request_id, response_headers)
        )
        next_byte = asyncio.ensure_future(connection.reader.read(1))
        try:
            done, _ = await asyncio.wait(
                {work, next_byte},
                timeout=self._seconds_to_deadline(request),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                self._cut_response(request_id, "the deadline has passed")
            if (
                next_byte.done()
                and not work.done()
                and not _received_data(next_byte)
            ):
                raise http1.ClosedError("peer closed the connection")
            await work
            next_byte.cancel()
            await asyncio.wait({next_byte})
            if data := _received_data(next_byte):
                # The byte belongs to the next request on the connection.
                connection.parser.receive_data(data)
        finally:
            work.cancel()
            next_byte.cancel()
            now = time.monotonic()
            self.running_ids.discard(request_id)
            self.begun.pop(request_id, None)
            for reservation in reservations:
                reservation.used_by_ids.discard(request_id)
                reservation.last_used_at = now
            self.fleet.history.executions.append(
                run_history.Execution(request_id, self.name, started_at, now)
            )

    async def _process(
        self,
        connection: http1.Connection,
        request: http1.Request,
        request_id: str,
        response_headers: dict[str, str],
    ) -> None:
        behaviour = self.behaviour
        await asyncio.sleep(self._seconds_to_first_byte(request, behaviour))
        if behaviour is Behaviour.HANG:
            await asyncio.sleep(HANG_SECONDS)
        elif behaviour is Behaviour.RESET:
            connection.abort()
            raise http1.ClosedError("reset")
        elif behaviour is Behaviour.CLOSE:
            raise http1.ClosedError("closed")
        elif behaviour is Behaviour.ERRORS:
            await connection.respond(500, response_headers, b"failed")
            return
        if self.service == DESK:
            await self._respond_plain(
                connection, request_id, response_headers, behaviour
            )
        else:
            await self._respond_stream(
                connection, request, request_id, response_headers, behaviour
            )

    async def _respond_plain(
        self,
        connection: http1.Connection,
        request_id: str,
        response_headers: dict[str, str],
        behaviour: Behaviour,
    ) -> None:
        body = b"done %s by %s" % (request_id.encode(), self.name.encode())
        header_lines = [
            f"{name}: {value}" for name, value in response_headers.items()
        ]
        head = ["HTTP/1.1 200 OK", *header_lines]
        if behaviour is Behaviour.UNFRAMED:
            self.begun[request_id] = ""
            await connection.send_raw(_encode_head(head) + body[:4])
            await asyncio.sleep(EVENT_GAP_SECONDS)
            await connection.send_raw(body[4:])
            raise http1.ClosedError("unframed")
        response = _encode_head([*head, f"Content-Length: {len(body)}"]) + body
        if behaviour is Behaviour.TRUNCATE:
            await connection.send_raw(response[:-4])
            raise http1.ClosedError("truncated")
        if behaviour is Behaviour.SURPLUS:
            await connection.send_raw(response + b"HTTP/1.1 200 OK\r\n")
            raise http1.ClosedError("surplus")
        await connection.respond(200, response_headers, body)
        if behaviour is Behaviour.SECOND:
            await asyncio.sleep(EVENT_GAP_SECONDS)
            await connection.send_raw(response)

    async def _respond_stream(
        self,
        connection: http1.Connection,
        request: http1.Request,
        request_id: str,
        response_headers: dict[str, str],
        behaviour: Behaviour,
    ) -> None:
        response_headers = {
            **response_headers,
            "Content-Type": "text/event-stream",
        }
        helpers = request.headers.get("helpers", "")
        is_framed = behaviour in (Behaviour.TRUNCATE, Behaviour.SURPLUS) or (
            behaviour is not Behaviour.UNFRAMED
            and zlib.crc32(b"framing " + request_id.encode())
            % UNFRAMED_STREAM_INTERVAL
            > 0
        )
        if is_framed:
            response_headers["Transfer-Encoding"] = "chunked"
        pairs = list(response_headers.items())

        async def send(event: h11.Response | h11.Data) -> None:
            if is_framed:
                data = connection.parser.send(event)
            elif isinstance(event, h11.Data):
                data = event.data
            else:
                data = _encode_head(
                    ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in pairs)]
                )
            try:
                for start in range(0, len(data), PIECE_BYTES):
                    async with asyncio.timeout(UNREAD_SECONDS):
                        await connection.send_raw(
                            data[start : start + PIECE_BYTES]
                        )
            except TimeoutError:
                self._cut_response(request_id, "the response stays unread")

        await send(h11.Response(status_code=200, headers=pairs))
        self.begun[request_id] = helpers
        gap = EVENT_GAP_SECONDS
        if behaviour is Behaviour.SLOW:
            gap *= SLOW_FACTOR
        count = event_count(request_id)
        first = int(request.headers.get("last-event-id", -1)) + 1
        for number in range(first, count):
            data = event_data(request_id, number)
            is_last = number == count - 1
            if self._has_lost_helper(helpers):
                self._cut_response(request_id, "a helper is gone")
            if is_last and behaviour is Behaviour.TRUNCATE:
                await send(h11.Data(data=data[:6]))
                raise http1.ClosedError("truncated")
            await send(h11.Data(data=data))
            if not is_last:
                await asyncio.sleep(gap)
        if not is_framed:
            raise http1.ClosedError("unframed")
        await connection.send(h11.EndOfMessage())
        if behaviour is Behaviour.SURPLUS:
            await connection.send_raw(event_data(request_id, count))
            raise http1.ClosedError("surplus")

    def _cut_response(self, request_id: str, reason: str) -> NoReturn:
        """Ends a response early, as a target may that runs on."""
        self.fleet.history.cut_responses.add(request_id)
        raise http1.ClosedError(reason)

    def _seconds_to_deadline(self, request: http1.Request) -> float | None:
        """Returns when an engine stops; None for plain services."""
        if self.service == ENGINES and "deadline-ms" in request.headers:
            return int(request.headers["deadline-ms"]) / 1000.0
        return None

    def _has_lost_helper(self, helpers: str) -> bool:
        for address, _ in _split_helpers(helpers):
            helper = self.fleet.find_target(address)
            if helper is None or not helper.is_running:
                return True
        return False

    def _seconds_to_first_byte(
        self, request: http1.Request, behaviour: Behaviour
    ) -> float:
        seconds = DESK_WORK_SECONDS
        if self.service == ENGINES:
            tokens = int(request.headers["token-counts"].split(",")[0])
            parts = 1 + len(_split_helpers(request.headers.get("helpers", "")))
            seconds = tokens / PREFILL_TOKENS_PER_SECOND
            seconds += tokens * tokens / 2 * ATTENTION_PAIR_SECONDS
            seconds /= parts
        return seconds * (SLOW_FACTOR if behaviour is Behaviour.SLOW else 1.0)

    async def _handle_order(
        self, connection: http1.Connection, order: dict
    ) -> None:
        now = time.monotonic()
        self.expire_reservations(now)
        key = order.get("id", "")
        if order.get("op") == "release":
            if key in self._reservations:
                self._close_reservation(key, now)
        else:
            reservation = self._reservations.setdefault(
                key, _Reservation(now, 0.0)
            )
            reservation.expires = now + order["hold-ms"] / 1000.0
        await connection.respond(200, {}, b'{"free":100000}')

    def find_reservation(self, key: str) -> _Reservation | None:
        """Returns a reservation of this target; None if there is none."""
        self.expire_reservations(time.monotonic())
        return self._reservations.get(key)

    def _find_unusable_helper(self, helpers: str) -> str:
        """Returns the address of the first unusable helper; "" if none."""
        for address, key in _split_helpers(helpers):
            helper = self.fleet.find_target(address)
            if (
                helper is None
                or not helper.is_running
                or (key and helper.find_reservation(key) is None)
            ):
                return address
        return ""

    def _use_reservations(
        self, helpers: str, request_id: str
    ) -> list[_Reservation]:
        reservations = []
        for address, key in _split_helpers(helpers):
            helper = self.fleet.find_target(address)
            reservation = (
                helper.find_reservation(key) if helper and key else None
            )
            if reservation is not None:
                reservation.had_concurrent_use |= bool(reservation.used_by_ids)
                reservation.used_by_ids.add(request_id)
                reservations.append(reservation)
        return reservations


class Fleet:
    """All targets of a run.

    Attributes:
        history: Records of the run.
        targets: Running targets by name.
    """

    def __init__(self, history: run_history.History) -> None:
        self.history = history
        self.targets: dict[str, Target] = {}
        self._started_count = 0

    async def add(
        self, service: str, zone: str, proxy: proxies.Proxy | None = None
    ) -> Target:
        """Starts a target.

        Args:
            service: Service of the target.
            zone: Availability zone of the target.
            proxy: Proxy of a removed target whose address is reused; by default
                a new proxy is started.
        """
        self._started_count += 1
        name = f"{service[0]}-{self._started_count}"
        target = Target(name, service, zone, self)
        await target.start()

        def upstream() -> tuple[str, int]:
            return "127.0.0.1", target.port

        if proxy is None:
            proxy = proxies.Proxy(upstream)
            await proxy.start()
        else:
            proxy.upstream = upstream
        target.proxy = proxy
        self.targets[name] = target
        return target

    def remove(self, target: Target, is_crash: bool = True) -> None:
        """Crashes or ends a target and removes it from the fleet."""
        if is_crash:
            target.crash()
        else:
            target.end()
        self.targets.pop(target.name, None)

    def find_target(self, address: str) -> Target | None:
        """Returns the target behind the proxy at an address, if any."""
        for target in self.targets.values():
            if target.proxy is not None and target.proxy.address == address:
                return target
        return None


def _received_data(next_byte: asyncio.Future) -> bytes:
    """Returns the data of a finished read; b"" if the connection closed."""
    if next_byte.cancelled() or next_byte.exception() is not None:
        return b""
    return next_byte.result()


def _split_helpers(text: str) -> list[tuple[str, str]]:
    """Returns address and reservation id of each helper in a header."""
    pairs = []
    for part in filter(None, text.split(",")):
        address, _, key = part.strip().partition("/")
        pairs.append((address, key))
    return pairs


def _encode_head(lines: list[str]) -> bytes:
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
