"""Generates load as the callers and their load balancer do."""

import asyncio
import contextlib
import itertools
import random
import time
from typing import Callable, NamedTuple

import h11

from soak import history as run_history
from soak import http1
from soak import instances as instance_processes
from soak import targets

__all__ = [
    "EQUAL_BODY",
    "HURRIED",
    "LONG",
    "LoadGenerator",
    "PROBE_BODY",
    "RequestType",
    "UNREAD",
]

HOST = "wells.example"
CONNECT_SECONDS = 1.0
# A caller waits this long beyond its deadline, so that late responses are
# recorded.
EXTRA_WAIT_SECONDS = 3.0
MAX_DISCONNECT_DELAY_SECONDS = 1.0
REUSE_FRACTION = 0.7
MAX_IDLE_CONNECTIONS = 4
PROBE_BODY = b"probe"
# Body of the requests that are equal but for their ids.
EQUAL_BODY = b"equal"


class RequestType(NamedTuple):
    """A type of request in the load.

    Attributes:
        route: Name of the route.
        path: Path of the request.
        share: Share of all requests.
        prompt_tokens: Minimum and maximum number of prompt tokens.
        deadline_seconds: Time from the request to the caller's deadline.
        disconnect_share: Share of the callers that disconnect early.
        body: Body of all requests; b"" for bodies that differ.
        id_prefix: Prefix of the ids.
        unread_seconds: Time for which callers leave the response unread.
    """

    route: str
    path: str
    share: float
    prompt_tokens: tuple[int, int]
    deadline_seconds: float
    disconnect_share: float
    body: bytes = b""
    id_prefix: str = "r-"
    unread_seconds: float = 0.0


REQUEST_TYPES = (
    RequestType("ask", "/ask/a", 0.55, (500, 8_000), 9.0, 0.05),
    RequestType("ask", "/ask/long", 0.05, (60_000, 250_000), 9.0, 0.4),
    # Exceeds the KV cache of one engine.
    RequestType("ask", "/ask/huge", 0.01, (460_000, 550_000), 9.0, 0.2),
    RequestType("book", "/book/a", 0.22, (0, 0), 2.5, 0.05),
    RequestType("look", "/look/a", 0.07, (0, 0), 2.5, 0.05),
    RequestType("look", "/look/a", 0.10, (0, 0), 2.5, 0.05, EQUAL_BODY),
)
# Types that are sent during faults only.
LONG = REQUEST_TYPES[1]._replace(disconnect_share=0.0)
HURRIED = REQUEST_TYPES[0]._replace(disconnect_share=0.0)
UNREAD = HURRIED._replace(id_prefix=targets.BULKY_ID_PREFIX)


class LoadGenerator:
    """Sends requests to the instances and records the responses.

    Attributes:
        requests_per_second: Mean request rate.
        history: Receives a record of each request.
    """

    def __init__(
        self,
        requests_per_second: float,
        instances: list[instance_processes.Instance],
        choose_key: Callable[[], str],
        history: run_history.History,
        rng: random.Random,
    ) -> None:
        self.requests_per_second = requests_per_second
        self.history = history
        self._instances = instances
        self._choose_key = choose_key
        self._rng = rng
        self._request_numbers = itertools.count(1)
        self._idle_connections: dict[str, list[http1.Connection]] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Sends requests until the task is cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(self.requests_per_second))
            request_type = self._rng.choices(
                REQUEST_TYPES,
                [request_type.share for request_type in REQUEST_TYPES],
            )[0]
            self.start_request(request_type)

    def start_request(self, request_type: RequestType) -> None:
        """Sends a request without waiting for its response."""
        task = asyncio.ensure_future(self._send_request(request_type))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Waits for the requests in flight."""
        if self._tasks:
            await asyncio.wait(set(self._tasks))

    def _choose_instance(self) -> instance_processes.Instance:
        """Chooses an instance as the load balancer does.

        A zone in which fewer than half of the instances are in rotation uses
        all of its instances; a zone with none in rotation uses other zones.
        """
        zone = self._rng.choice(self._instances).zone
        zone_instances = [
            candidate for candidate in self._instances if candidate.zone == zone
        ]
        in_rotation = [
            candidate
            for candidate in zone_instances
            if candidate.is_in_rotation
        ]
        if not in_rotation:
            in_rotation = [
                candidate
                for candidate in self._instances
                if candidate.is_in_rotation
            ] or zone_instances
        elif len(in_rotation) * 2 < len(zone_instances):
            in_rotation = zone_instances
        return self._rng.choice(in_rotation)

    async def _send_request(self, request_type: RequestType) -> None:
        rng = self._rng
        instance = self._choose_instance()
        tokens = rng.randint(*request_type.prompt_tokens)
        request_id = f"{request_type.id_prefix}{next(self._request_numbers)}"
        body = f"{request_id} {rng.random()}".encode()
        body = request_type.body or body
        sent = run_history.SentRequest(
            request_id,
            request_type.route,
            request_type.path,
            body,
            self._choose_key(),
            instance.name,
            time.monotonic(),
            request_type.deadline_seconds,
        )
        disconnect_after = float("inf")
        if rng.random() < request_type.disconnect_share:
            disconnect_after = rng.random() * MAX_DISCONNECT_DELAY_SECONDS
        result = await self._exchange(
            instance, sent, tokens, disconnect_after, request_type
        )
        self.history.sent.append(result)

    async def _exchange(
        self,
        instance: instance_processes.Instance,
        sent: run_history.SentRequest,
        tokens: int,
        disconnect_after: float,
        request_type: RequestType,
    ) -> run_history.SentRequest:
        connection = await self._connect(instance)
        if connection is None:
            return sent._replace(ended_at=time.monotonic())
        reader = _ResponseReader()
        is_reusable = False
        disconnected_at = 0.0
        is_written = False
        wait_seconds = sent.deadline_seconds + EXTRA_WAIT_SECONDS
        try:
            sent = sent._replace(sent_at=time.monotonic())
            await connection.send(*_request_events(sent, tokens))
            is_written = True
            async with asyncio.timeout(min(wait_seconds, disconnect_after)):
                await asyncio.sleep(request_type.unread_seconds)
                is_reusable = await reader.read(connection)
        except TimeoutError:
            if disconnect_after < wait_seconds:
                disconnected_at = time.monotonic()
        except http1.ClosedError:
            pass
        if is_reusable and self._rng.random() < REUSE_FRACTION:
            self._keep_idle(instance, connection)
        else:
            connection.writer.close()
        return sent._replace(
            is_written=is_written,
            disconnected_at=disconnected_at,
            status=reader.status,
            engine_stamp=reader.engine_stamp,
            response_body=b"".join(reader.body_parts),
            is_complete=reader.is_complete,
            ended_at=time.monotonic(),
        )

    async def _connect(
        self, instance: instance_processes.Instance
    ) -> http1.Connection | None:
        idle = self._idle_connections.get(instance.name, [])
        while idle:
            connection = idle.pop()
            if not connection.reader.at_eof():
                return connection
            connection.writer.close()
        return await self._open(instance)

    async def _open(
        self, instance: instance_processes.Instance
    ) -> http1.Connection | None:
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                streams = await asyncio.open_connection(
                    instance.ip, instance.ports["front"]
                )
        except (OSError, TimeoutError):
            return None
        return http1.Connection(*streams, h11.CLIENT)

    def _keep_idle(
        self,
        instance: instance_processes.Instance,
        connection: http1.Connection,
    ) -> None:
        idle = self._idle_connections.setdefault(instance.name, [])
        try:
            connection.parser.start_next_cycle()
        except h11.LocalProtocolError:
            connection.writer.close()
            return
        idle.append(connection)
        if len(idle) > MAX_IDLE_CONNECTIONS:
            idle.pop(0).writer.close()

    async def probe(
        self,
        instance: instance_processes.Instance,
        path: str,
        key: str,
        route: str,
    ) -> int:
        """Sends a request on a route to an instance.

        Args:
            instance: Instance to send to.
            path: Path of the request.
            key: API key of the request.
            route: Name of the route.

        Returns:
            Status of the response; 0 if there was none.
        """
        request_id = f"p-{next(self._request_numbers)}"
        sent = run_history.SentRequest(
            request_id, route, path, PROBE_BODY, key, "", 0.0, 1.0
        )
        reader = _ResponseReader()
        with contextlib.suppress(http1.ClosedError, TimeoutError):
            async with asyncio.timeout(CONNECT_SECONDS):
                connection = await self._open(instance)
                if connection is None:
                    return 0
                try:
                    await connection.send(*_request_events(sent, 0))
                    await reader.read(connection)
                finally:
                    connection.writer.close()
        return reader.status


class _ResponseReader:
    """Reads one response.

    Attributes:
        status: HTTP status; 0 until the head has been read.
        engine_stamp: Target named in the Engine-Stamp header; "" if absent.
        body_parts: Pieces of the body read so far.
        is_complete: Whether the end of the body has been read.
    """

    def __init__(self) -> None:
        self.status = 0
        self.engine_stamp = ""
        self.body_parts: list[bytes] = []
        self.is_complete = False

    async def read(self, connection: http1.Connection) -> bool:
        """Reads a response; returns whether the connection is reusable."""
        event = await connection.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await connection.next_event()
        self.status = event.status_code
        self.engine_stamp = http1.decode_headers(event.headers).get(
            "engine-stamp", ""
        )
        while not isinstance(
            event := await connection.next_event(), h11.EndOfMessage
        ):
            self.body_parts.append(bytes(event.data))
        self.is_complete = True
        return connection.parser.their_state is h11.DONE


def _request_events(
    sent: run_history.SentRequest, tokens: int
) -> list[h11.Event]:
    headers = [
        ("Host", HOST),
        ("Attempt-Id", sent.request_id),
        ("Authorization", f"Token {sent.key}"),
        ("Deadline-Ms", str(int(sent.deadline_seconds * 1000))),
        ("Content-Length", str(len(sent.body))),
    ]
    if tokens:
        headers.append(("Token-Counts", f"{tokens},200"))
    return [
        h11.Request(method="POST", target=sent.path, headers=headers),
        h11.Data(data=sent.body),
        h11.EndOfMessage(),
    ]
