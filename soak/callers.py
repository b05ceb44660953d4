"""Callers of the soak and the balancer before the instances."""

import asyncio
import contextlib
import itertools
import random
import time
from typing import Callable, NamedTuple

import h11

from soak import history as histories
from soak import http1
from soak import instances as processes

__all__ = ["Callers", "Load", "PROBE_BODY"]

HOST = "wells.example"
CONNECT_SECONDS = 1.0
# Of the time that a caller waits beyond its deadline to see what comes.
WATCH_SECONDS = 3.0
LEAVES_WITHIN_SECONDS = 1.0
KEEP_SHARE = 0.7
MAX_KEPT = 4
PROBE_BODY = b"probe"


class Load(NamedTuple):
    """One kind of request.

    Attributes:
        route: Name of its route.
        path: Its path.
        share: Of all requests.
        prompt_tokens: Least and most tokens of a prompt.
        patience_seconds: The caller's deadline.
        leaving: Share of the callers that leave early.
    """

    route: str
    path: str
    share: float
    prompt_tokens: tuple[int, int]
    patience_seconds: float
    leaving: float


LOADS = (
    Load("ask", "/ask/a", 0.55, (500, 8_000), 9.0, 0.05),
    Load("ask", "/ask/long", 0.05, (60_000, 250_000), 9.0, 0.4),
    # More than the memory of one engine.
    Load("ask", "/ask/huge", 0.01, (460_000, 550_000), 9.0, 0.2),
    Load("book", "/book/a", 0.22, (0, 0), 2.5, 0.05),
    Load("look", "/look/a", 0.17, (0, 0), 2.5, 0.05),
)


class Callers:
    """Sends requests and notes what comes back.

    Attributes:
        rate: Requests a second.
        history: Where results go.
    """

    def __init__(
        self,
        rate: float,
        instances: list[processes.Instance],
        choose_key: Callable[[], str],
        history: histories.History,
        rng: random.Random,
    ) -> None:
        self.rate = rate
        self.history = history
        self._instances = instances
        self._choose_key = choose_key
        self._rng = rng
        self._ids = itertools.count(1)
        self._kept: dict[str, list[http1.Connection]] = {}
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(self.rate))
            load = self._rng.choices(LOADS, [load.share for load in LOADS])[0]
            task = asyncio.ensure_future(self._send_one(load))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Waits for the requests that are on their way."""
        if self._tasks:
            await asyncio.wait(set(self._tasks))

    def _choose_instance(self) -> processes.Instance:
        """Chooses as the balancer does: all, where few of a zone are ready."""
        zone = self._rng.choice(self._instances).zone
        local = [found for found in self._instances if found.zone == zone]
        listed = [found for found in local if found.is_listed]
        if not listed:
            listed = [f for f in self._instances if f.is_listed] or local
        elif len(listed) * 2 < len(local):
            listed = local
        return self._rng.choice(listed)

    async def _send_one(self, load: Load) -> None:
        rng = self._rng
        instance = self._choose_instance()
        tokens = rng.randint(*load.prompt_tokens)
        request_id = f"r-{next(self._ids)}"
        body = f"{request_id} {rng.random()}".encode()
        sent = histories.Sent(
            request_id,
            load.route,
            load.path,
            body,
            self._choose_key(),
            instance.name,
            time.monotonic(),
            load.patience_seconds,
        )
        leaves_after = float("inf")
        if rng.random() < load.leaving:
            leaves_after = rng.random() * LEAVES_WITHIN_SECONDS
        result = await self._exchange(instance, sent, tokens, leaves_after)
        self.history.sent.append(result)

    async def _exchange(
        self,
        instance: processes.Instance,
        sent: histories.Sent,
        tokens: int,
        leaves_after: float,
    ) -> histories.Sent:
        connection = await self._connect(instance)
        if connection is None:
            return sent._replace(ended_at=time.monotonic())
        reader = _AnswerReader()
        is_kept = False
        left_at = 0.0
        is_sent = False
        patience = sent.patience_seconds + WATCH_SECONDS
        try:
            sent = sent._replace(sent_at=time.monotonic())
            await connection.send(*_request_events(sent, tokens))
            is_sent = True
            async with asyncio.timeout(min(patience, leaves_after)):
                is_kept = await reader.read(connection)
        except TimeoutError:
            if leaves_after < patience:
                left_at = time.monotonic()
        except http1.ClosedError:
            pass
        if is_kept and self._rng.random() < KEEP_SHARE:
            self._keep(instance, connection)
        else:
            connection.writer.close()
        return sent._replace(
            is_sent=is_sent,
            left_at=left_at,
            status=reader.status,
            stamp=reader.stamp,
            answer=b"".join(reader.parts),
            is_whole=reader.is_whole,
            ended_at=time.monotonic(),
        )

    async def _connect(
        self, instance: processes.Instance
    ) -> http1.Connection | None:
        kept = self._kept.get(instance.name, [])
        while kept:
            connection = kept.pop()
            if not connection.reader.at_eof():
                return connection
            connection.writer.close()
        return await self._open(instance)

    async def _open(
        self, instance: processes.Instance
    ) -> http1.Connection | None:
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                streams = await asyncio.open_connection(
                    instance.ip, instance.ports["front"]
                )
        except (OSError, TimeoutError):
            return None
        return http1.Connection(*streams, h11.CLIENT)

    def _keep(
        self, instance: processes.Instance, connection: http1.Connection
    ) -> None:
        kept = self._kept.setdefault(instance.name, [])
        try:
            connection.http.start_next_cycle()
        except h11.LocalProtocolError:
            connection.writer.close()
            return
        kept.append(connection)
        if len(kept) > MAX_KEPT:
            kept.pop(0).writer.close()

    async def probe(
        self, instance: processes.Instance, path: str, key: str, route: str
    ) -> int:
        """Asks an instance on a route; returns the status, 0 for no answer."""
        request_id = f"p-{next(self._ids)}"
        sent = histories.Sent(
            request_id, route, path, PROBE_BODY, key, "", 0.0, 1.0
        )
        reader = _AnswerReader()
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


class _AnswerReader:
    """Reads one answer.

    Attributes:
        status: 0 until the head has come.
        stamp: The target that signed it; "" where none did.
        parts: Of the body.
        is_whole: Whether its end has come.
    """

    def __init__(self) -> None:
        self.status = 0
        self.stamp = ""
        self.parts: list[bytes] = []
        self.is_whole = False

    async def read(self, connection: http1.Connection) -> bool:
        """Reads; returns whether the connection may be used again."""
        event = await connection.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await connection.next_event()
        self.status = event.status_code
        self.stamp = http1.decode_headers(event.headers).get("engine-stamp", "")
        while not isinstance(
            event := await connection.next_event(), h11.EndOfMessage
        ):
            self.parts.append(bytes(event.data))
        self.is_whole = True
        return connection.http.their_state is h11.DONE


def _request_events(sent: histories.Sent, tokens: int) -> list[h11.Event]:
    headers = [
        ("Host", HOST),
        ("Attempt-Id", sent.request_id),
        ("Authorization", f"Token {sent.key}"),
        ("Deadline-Ms", str(int(sent.patience_seconds * 1000))),
        ("Content-Length", str(len(sent.body))),
    ]
    if tokens:
        headers.append(("Token-Counts", f"{tokens},200"))
    return [
        h11.Request(method="POST", target=sent.path, headers=headers),
        h11.Data(data=sent.body),
        h11.EndOfMessage(),
    ]
