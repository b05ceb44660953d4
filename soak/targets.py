"""Engines and services of the soak, with the faults that they may have."""

import asyncio
import contextlib
import enum
import json
import time
import zlib

import h11

from soak import history as histories
from soak import http1
from soak import proxy as proxies

__all__ = ["Behaviour", "Fleet", "Target", "event_data", "whole_stream"]

ENGINES, DESK = "engines", "desk"
SLOTS = 8
# Requests beyond the slots that an engine queues before it refuses.
QUEUE = 8
KV_TOKENS = 450_000
PREFILL_TOKENS_PER_SECOND = 256_000.0
PAIR_SECONDS = 0.0917e-9
EVENT_GAP_SECONDS = 0.03
DESK_SECONDS = 0.03
SLOW_FACTOR = 8.0
HANG_SECONDS = 6.0
KEEP_ALIVE_SECONDS = 5
EVENT = b"id: %d\ndata: %s:%d\n\n"


class Behaviour(enum.Enum):
    """What a target does with its requests."""

    SOUND = "sound"
    ERRORS = "errors"
    BUSY = "busy"
    HANG = "hang"
    RESET = "reset"
    TRUNCATE = "truncate"
    SURPLUS = "surplus"
    SECOND = "second"
    UNFRAMED = "unframed"
    SLOW = "slow"


class _Reservation:
    """Memory that is set aside.

    Attributes:
        made_at: When it was made.
        expires: When it lapses unless renewed.
        used_by: Requests that use it.
        used_until: When the last of them ended.
        has_collided: Whether two requests used it at a time.
    """

    def __init__(self, now: float, expires: float) -> None:
        self.made_at = now
        self.expires = expires
        self.used_by: set[str] = set()
        self.used_until = 0.0
        self.has_collided = False


def event_count(request_id: str) -> int:
    """Returns how many events the stream of a request has."""
    return 3 + zlib.crc32(request_id.encode()) % 12


def event_data(request_id: str, number: int) -> bytes:
    """Returns an event of a request's stream."""
    return EVENT % (number, request_id.encode(), number)


def whole_stream(request_id: str) -> bytes:
    """Returns all events of a request's stream."""
    count = event_count(request_id)
    return b"".join(event_data(request_id, n) for n in range(count))


class Target:
    """One start of an engine or of a server of the desk.

    Attributes:
        name: Its id.
        service: What it serves.
        zone: Where it is.
        fleet: All targets.
        behaviour: What it does with requests.
        proxy: On the way to it.
        is_leaving: Whether it has said so.
        is_running: Whether its port is open.
        running: Ids of the requests at work.
        born: Its start, as it says.
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
        self.is_running = False
        self.running: set[str] = set()
        self.born = int(time.time() * 1000)
        self.port = 0
        self._reservations: dict[str, _Reservation] = {}
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Opens the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_running = True

    def crash(self) -> None:
        """Ends at once; memory and connections are gone."""
        if self._server is not None:
            self._server.close()
        self.is_running = False
        for writer in list(self._writers):
            writer.transport.abort()
        self._reservations.clear()

    def entry(self) -> dict:
        """Returns its entry in the store's list."""
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
            "born": self.born,
        }

    def end_reservations(self, now: float) -> None:
        """Notes those that are left at the end of a run."""
        for key in list(self._reservations):
            self._end_reservation(key, now)

    def lapse(self, now: float) -> None:
        """Ends reservations that were not renewed."""
        for key, held in list(self._reservations.items()):
            if held.expires <= now:
                self._end_reservation(key, now)

    def _end_reservation(self, key: str, now: float) -> None:
        held = self._reservations.pop(key)
        self.fleet.history.memory.append(
            histories.MemoryUse(
                self.name,
                key,
                held.made_at,
                now if held.used_by else held.used_until,
                now,
                held.has_collided,
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
                    await self._answer(connection, request)
                    connection.http.start_next_cycle()
        except h11.LocalProtocolError:
            # The connection cannot be used again.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(
        self, connection: http1.Connection, request: http1.Message
    ) -> None:
        if request.path == "/api/order":
            await self._order(connection, json.loads(request.body))
            return
        if request.method == "GET":
            await connection.answer(200, {"Instance-Id": self.name})
            return
        headers = request.headers
        request_id = headers.get("attempt-id", "")
        own = {"Attempt-Id": request_id}
        expected = headers.get("expect-instance", self.name)
        at_fault = self._find_at_fault(headers.get("helpers", ""))
        is_full = len(self.running) >= SLOTS + QUEUE
        has_run = (
            expected == self.name
            and not at_fault
            and not is_full
            and self.behaviour is not Behaviour.BUSY
        )
        self._note_arrival(request, has_run)
        if expected != self.name:
            await connection.answer(421, {**own, "Instance-Id": self.name})
        elif not has_run:
            own["Not-Executed"] = "1"
            own["At-Server"] = at_fault or self.proxy.address
            await connection.answer(503, own)
        else:
            own["Engine-Stamp"] = self.name
            own["Keep-Alive"] = f"timeout={KEEP_ALIVE_SECONDS}"
            await self._run(connection, request, request_id, own)

    def _note_arrival(self, request: http1.Message, has_run: bool) -> None:
        headers = request.headers
        self.fleet.history.arrivals.append(
            histories.Arrival(
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
            )
        )

    async def _run(
        self,
        connection: http1.Connection,
        request: http1.Message,
        request_id: str,
        own: dict[str, str],
    ) -> None:
        """Works on a request until it is done or its connection is closed."""
        since = time.monotonic()
        held = self._take_memory(request.headers.get("helpers", ""), request_id)
        self.running.add(request_id)
        work = asyncio.ensure_future(
            self._work(connection, request, request_id, own)
        )
        watch = asyncio.ensure_future(connection.reader.read(1))
        try:
            await asyncio.wait(
                {work, watch}, return_when=asyncio.FIRST_COMPLETED
            )
            if watch.done() and not work.done() and not _result(watch):
                raise http1.ClosedError("the caller left")
            await work
            watch.cancel()
            await asyncio.wait({watch})
            if data := _result(watch):
                # The next request begins while this one ends.
                connection.http.receive_data(data)
        finally:
            work.cancel()
            watch.cancel()
            now = time.monotonic()
            self.running.discard(request_id)
            for reservation in held:
                reservation.used_by.discard(request_id)
                reservation.used_until = now
            self.fleet.history.work.append(
                histories.Work(request_id, self.name, since, now)
            )

    async def _work(
        self,
        connection: http1.Connection,
        request: http1.Message,
        request_id: str,
        own: dict[str, str],
    ) -> None:
        behaviour = self.behaviour
        await asyncio.sleep(self._seconds_to_first(request, behaviour))
        if behaviour is Behaviour.HANG:
            await asyncio.sleep(HANG_SECONDS)
        elif behaviour is Behaviour.RESET:
            connection.abort()
            raise http1.ClosedError("reset")
        elif behaviour is Behaviour.ERRORS:
            await connection.answer(500, own, b"failed")
            return
        if self.service == DESK:
            await self._answer_plain(connection, request_id, own, behaviour)
        else:
            await self._stream(connection, request, request_id, own, behaviour)

    async def _answer_plain(
        self,
        connection: http1.Connection,
        request_id: str,
        own: dict[str, str],
        behaviour: Behaviour,
    ) -> None:
        body = b"done %s by %s" % (request_id.encode(), self.name.encode())
        lines = [f"{name}: {value}" for name, value in own.items()]
        head = ["HTTP/1.1 200 OK", *lines]
        if behaviour is Behaviour.UNFRAMED:
            await connection.send_raw(_join(head) + body)
            raise http1.ClosedError("unframed")
        whole = _join([*head, f"Content-Length: {len(body)}"]) + body
        if behaviour is Behaviour.TRUNCATE:
            await connection.send_raw(whole[:-4])
            raise http1.ClosedError("truncated")
        if behaviour is Behaviour.SURPLUS:
            await connection.send_raw(whole + b"HTTP/1.1 200 OK\r\n")
            raise http1.ClosedError("surplus")
        await connection.answer(200, own, body)
        if behaviour is Behaviour.SECOND:
            await asyncio.sleep(EVENT_GAP_SECONDS)
            await connection.send_raw(whole)

    async def _stream(
        self,
        connection: http1.Connection,
        request: http1.Message,
        request_id: str,
        own: dict[str, str],
        behaviour: Behaviour,
    ) -> None:
        own = {
            **own,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        await connection.send(
            h11.Response(status_code=200, headers=list(own.items()))
        )
        gap = EVENT_GAP_SECONDS
        if behaviour is Behaviour.SLOW:
            gap *= SLOW_FACTOR
        count = event_count(request_id)
        first = int(request.headers.get("last-event-id", -1)) + 1
        for number in range(first, count):
            data = event_data(request_id, number)
            is_last = number == count - 1
            if is_last and behaviour is Behaviour.TRUNCATE:
                await connection.send(h11.Data(data=data[:6]))
                raise http1.ClosedError("truncated")
            await connection.send(h11.Data(data=data))
            if not is_last:
                await asyncio.sleep(gap)
        await connection.send(h11.EndOfMessage())
        if behaviour is Behaviour.SURPLUS:
            await connection.send_raw(event_data(request_id, count))
            raise http1.ClosedError("surplus")

    def _seconds_to_first(
        self, request: http1.Message, behaviour: Behaviour
    ) -> float:
        seconds = DESK_SECONDS
        if self.service == ENGINES:
            tokens = int(request.headers["token-counts"].split(",")[0])
            parts = 1 + len(_split_helpers(request.headers.get("helpers", "")))
            seconds = tokens / PREFILL_TOKENS_PER_SECOND
            seconds += tokens * tokens / 2 * PAIR_SECONDS
            seconds /= parts
        return seconds * (SLOW_FACTOR if behaviour is Behaviour.SLOW else 1.0)

    async def _order(self, connection: http1.Connection, order: dict) -> None:
        now = time.monotonic()
        self.lapse(now)
        key = order.get("id", "")
        if order.get("op") == "release":
            if key in self._reservations:
                self._end_reservation(key, now)
        else:
            held = self._reservations.setdefault(key, _Reservation(now, 0.0))
            held.expires = now + order["hold-ms"] / 1000.0
        await connection.answer(200, {}, b'{"free":100000}')

    def find_reservation(self, key: str) -> _Reservation | None:
        """Returns memory that is set aside here; None where it is not."""
        self.lapse(time.monotonic())
        return self._reservations.get(key)

    def _find_at_fault(self, helpers: str) -> str:
        """Returns the address of a helper that cannot help; "" if none."""
        for address, key in _split_helpers(helpers):
            helper = self.fleet.at(address)
            if (
                helper is None
                or not helper.is_running
                or (key and helper.find_reservation(key) is None)
            ):
                return address
        return ""

    def _take_memory(self, helpers: str, request_id: str) -> list[_Reservation]:
        held = []
        for address, key in _split_helpers(helpers):
            helper = self.fleet.at(address)
            found = helper.find_reservation(key) if helper and key else None
            if found is not None:
                found.has_collided |= bool(found.used_by)
                found.used_by.add(request_id)
                held.append(found)
        return held


class Fleet:
    """All targets of a run.

    Attributes:
        history: Where they record what they see.
        targets: Those that live, by name.
    """

    def __init__(self, history: histories.History) -> None:
        self.history = history
        self.targets: dict[str, Target] = {}
        self._starts = 0

    async def add(
        self, service: str, zone: str, proxy: proxies.Proxy | None = None
    ) -> Target:
        """Starts a target; at the address of one that is gone, if given."""
        self._starts += 1
        name = f"{service[0]}-{self._starts}"
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

    def remove(self, target: Target) -> None:
        """Ends a target."""
        target.crash()
        self.targets.pop(target.name, None)

    def at(self, address: str) -> Target | None:
        """Returns the target at an address."""
        for target in self.targets.values():
            if target.proxy is not None and target.proxy.address == address:
                return target
        return None


def _result(watch: asyncio.Future) -> bytes:
    """Returns what came on a connection; b"" where it was closed."""
    if watch.cancelled() or watch.exception() is not None:
        return b""
    return watch.result()


def _split_helpers(text: str) -> list[tuple[str, str]]:
    """Returns addresses and reservations of a list of helpers."""
    pairs = []
    for part in filter(None, text.split(",")):
        address, _, key = part.strip().partition("/")
        pairs.append((address, key))
    return pairs


def _join(lines: list[str]) -> bytes:
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
