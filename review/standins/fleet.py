"""A small deployment on loopback addresses, with stand-ins that keep records.

The instances are the project's own programs, started as separate processes by
the command of the deploy file. The store, the targets and the callers are
stand-ins in the process of the test; they speak what the users' pages say.
"""

import asyncio
import collections
import contextlib
import itertools
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import Any, Awaitable, Callable, NamedTuple
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "reviewed.example"
API_KEY = "key-of-the-first-tenant"
TENANT = "tenant-1"

# Figures of the sheets of the two small deployments.
CONTACT_SECONDS = 3.0
GRACE_SECONDS = 8
HEARTBEAT_SECONDS = 1.2
STORE_ANSWER_SECONDS = 0.004
READY_INTERVAL_SECONDS = 1.0
READY_MISSES = 2
# Between a head of an answer and the crash that follows it.
HEAD_TRANSIT_SECONDS = 0.01

SETTINGS = """
node = "{name}"
role = "relay"
machine-class = "edge"
serves = ["edge", "control"]
ip = "{ip}"
zone = "{zone}"
region = "region-1"
internal-ports = [{internal}, {internal_end}]
seeds = {seeds}
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine",
  "stream", "tenants", "platform", "spans"]
[zones]
{zones}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4200
link-mbps = 1000.0
disk-mb = 0
[tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
reuse-after-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
rollback-slack-ms = 250
max-stretch-ms = 5000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.2
budget-window-s = 10
budget-extra = 100
recovery-s = 12
pass-ms = 120
retry-after-s = 0
stall_ms = 1500
hold-max-ms = 20000
free-ms = 4000
idle-max-ms = 9000
[platform]
address = "{store}"
form = "objects"
writes-per-s = 400
reads-per-s = 2000
history-s = 20
value-bytes = 1048576
ttl-min-ms = 1000
"""

ENGINE_FIGURES = {
    "slots": 8,
    "kv-capacity-tokens": 450_000,
    "stride": 46,
    "step_ms": 0.925,
    "per_seq_ms": 0.00483,
    "context_per_k": 0.00254,
    "read_per_s": 256_000.0,
    "pairs_per_m": 0.0917,
    "chunk": 2_048,
    "report_lag_ms": 200,
    "usual": {"prompt": 13_229, "answer": 1_541},
}


class Record:
    """The record of a run, one JSON object a line.

    Attributes:
        started_at: Monotonic time in seconds that the times count from.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.started_at = time.monotonic()
        self._file = open(path, "w", encoding="utf-8")

    def write(self, event: str, **fields: Any) -> None:
        """Writes an event with the time since the start."""
        elapsed = round(time.monotonic() - self.started_at, 3)
        line = json.dumps({"at": elapsed, "event": event, **fields})
        self._file.write(line + "\n")
        self._file.flush()


class Head(NamedTuple):
    """The head of an HTTP message.

    Attributes:
        start: The first line.
        headers: Values by lower-case name.
    """

    start: str
    headers: dict[str, str]


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Reads the head of a message.

    Raises:
        asyncio.IncompleteReadError: The connection ended before.
    """
    data = await reader.readuntil(b"\r\n\r\n")
    start, *lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Head(start, headers)


async def read_body(reader: asyncio.StreamReader, head: Head) -> bytes:
    """Reads a body that has a length."""
    length = int(head.headers.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def encode_head(start: str, headers: list[tuple[str, str]]) -> bytes:
    """Returns the bytes of a head."""
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_answer(
    status: int, headers: list[tuple[str, str]], body: bytes = b""
) -> bytes:
    """Returns the bytes of an answer with a length."""
    length = [("Content-Length", str(len(body)))]
    return encode_head(f"HTTP/1.1 {status} S", headers + length) + body


class HttpServer:
    """An HTTP/1.1 server whose connections can be reset.

    Attributes:
        address: `IP:port`.
    """

    def __init__(
        self,
        handler: Callable[[Head, bytes, asyncio.StreamWriter], Awaitable[bool]],
    ) -> None:
        self.address = ""
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._port = 0

    async def start(self, ip: str = "127.0.0.1") -> None:
        """Opens the port; the same one again after `crash`."""
        self._server = await asyncio.start_server(
            self._serve, ip, self._port, limit=1 << 20, reuse_address=True
        )
        self._port = self._server.sockets[0].getsockname()[1]
        self.address = f"{ip}:{self._port}"

    def crash(self) -> None:
        """Closes the port and resets all connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head)
                if not await self._handler(head, body, writer):
                    return
                await writer.drain()
        except (
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection, so that the peer reads nothing more from it."""
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
        )
    writer.transport.abort()


class Store:
    """The platform's metadata store.

    Attributes:
        server: The server.
        page_size: Most objects in a page of a list.
        revision: The store's revision.
    """

    def __init__(self, page_size: int = 500) -> None:
        self.server = HttpServer(self._handle)
        self.page_size = page_size
        self.revision = 1
        self._objects: dict[tuple[str, str], dict] = {}
        self._changes: list[tuple[int, str, dict, bool]] = []
        self._waiters: set[asyncio.Event] = set()

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Writes an object; acknowledged when this returns."""
        old = self._objects.get((kind, name))
        if old is not None and old["spec"] == spec:
            return
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": 1,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": {},
        }
        self._objects[kind, name] = item
        self._changes.append((self.revision, kind, item, False))
        self._wake()

    def remove(self, kind: str, name: str) -> None:
        """Removes an object; acknowledged when this returns."""
        item = self._objects.pop((kind, name), None)
        if item is None:
            return
        self.revision += 1
        self._changes.append((self.revision, kind, item, True))
        self._wake()

    def _wake(self) -> None:
        for waiter in self._waiters:
            waiter.set()

    async def _handle(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        await asyncio.sleep(STORE_ANSWER_SECONDS)
        method, target, _ = head.start.split(" ")
        path, _, query = target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        parts = path.split("/")[3:]
        status, answer = 400, {}
        if method == "GET" and len(parts) == 2:
            item = self._objects.get((parts[0], parts[1]))
            status, answer = (200, item) if item else (404, {})
        elif method == "GET" and "watch" in arguments:
            status, answer = await self._watch(
                parts[0],
                int(arguments["watch"]),
                int(arguments.get("wait-ms", "0")) / 1000.0,
            )
        elif method == "GET":
            status, answer = self._list(
                parts[0], arguments.get("after-rev", "")
            )
        writer.write(
            encode_answer(
                status,
                [("Content-Type", "application/json"), ("Store-Era", "1")],
                json.dumps(answer).encode(),
            )
        )
        return True

    def _list(self, kind: str, after: str) -> tuple[int, dict]:
        items = [
            item
            for (item_kind, name), item in sorted(self._objects.items())
            if item_kind == kind and name > after
        ]
        return 200, {
            "items": items[: self.page_size],
            "has-more": len(items) > self.page_size,
            "as-of": self.revision,
        }

    async def _watch(
        self, kind: str, revision: int, seconds: float
    ) -> tuple[int, dict]:
        deadline = time.monotonic() + seconds
        waiter = asyncio.Event()
        self._waiters.add(waiter)
        try:
            while True:
                waiter.clear()
                events = [
                    {"object": item, "removed": is_removed}
                    for number, item_kind, item, is_removed in self._changes
                    if number > revision and item_kind == kind
                ]
                remaining = deadline - time.monotonic()
                if events or remaining <= 0:
                    return 200, {"events": events, "as-of": self.revision}
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(waiter.wait(), remaining)
        finally:
            self._waiters.discard(waiter)


class Arrival(NamedTuple):
    """A request that reached a target.

    Attributes:
        at: Monotonic time in seconds.
        attempt: The `Attempt-Id`.
        target: Id of the target.
        has_run: Whether the target began to work on it.
    """

    at: float
    attempt: str
    target: str
    has_run: bool


class Engine:
    """A model engine, or a server of a plain service.

    Attributes:
        service: Name of the service.
        zone: Zone of the engine.
        name: Id of this start of the engine.
        is_draining: Whether it has reported that it leaves.
        limit: Value of the header `Server-Limit`; "" for none.
        crashing_part: Part of a prompt on which it crashes when it begins to
            write an answer; "" for none.
        writes_head_before_crash: Whether the head of the answer is sent before
            such a crash.
        back_seconds: Time after which it is back from a crash.
        crashed_at: Times of its crashes.
        events: Number of events in a stream.
        first_seconds: Time to the first event of a stream, or to an answer.
        gap_seconds: Time between events.
        arrivals: Requests that reached it.
    """

    _numbers = itertools.count(1)

    def __init__(
        self, store: Store, record: Record, service: str, zone: str
    ) -> None:
        self.service = service
        self.zone = zone
        self.name = ""
        self.is_draining = False
        self.limit = ""
        self.crashing_part = ""
        self.writes_head_before_crash = False
        self.back_seconds = 3.0
        self.crashed_at: list[float] = []
        self.events = 12
        self.first_seconds = 0.05
        self.gap_seconds = 0.04
        self.arrivals: list[Arrival] = []
        self.server = HttpServer(self._handle)
        self._store = store
        self._record = record
        self._born = 0
        self._running = 0
        self._is_up = False

    async def start(self) -> None:
        """Starts the engine and registers it."""
        await self.server.start()
        self.name = (
            f"i-{next(self._numbers):06x}{random.randrange(1 << 16):04x}"
        )
        self._born = int(time.time() * 1000)
        self.is_draining = False
        self._is_up = True
        self._running = 0
        self.register()

    def register(self) -> None:
        """Writes the entry of the engine."""
        self._store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.server.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 8,
                "state": "draining" if self.is_draining else "ready",
                "cold-left-ms": 0,
                "seq": 0,
                "born": self._born,
                "stage": "unified",
                "models": [{"name": "m", "version": 1, "adapters": []}],
            },
        )

    def _crash(self, attempt: str) -> None:
        self.crashed_at.append(time.monotonic())
        self._record.write("engine_crash", engine=self.name, attempt=attempt)
        self._is_up = False
        self.server.crash()
        asyncio.get_running_loop().create_task(self._come_back())

    async def _come_back(self) -> None:
        old = self.name
        await asyncio.sleep(self.back_seconds)
        # Three heartbeat intervals of silence remove the old entry.
        loop = asyncio.get_running_loop()
        left = 3 * HEARTBEAT_SECONDS - self.back_seconds
        loop.call_later(max(0.0, left), self._store.remove, "servers", old)
        await self.start()
        self._record.write("engine_back", engine=self.name, was=old)

    async def _handle(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> bool:
        target = head.start.split(" ")[1]
        if target == "/health":
            status = 503 if self.is_draining else 200
            writer.write(encode_answer(status, [("Instance-Id", self.name)]))
            return True
        if target == "/api/report":
            writer.write(encode_answer(200, [], b"{}"))
            return True
        if target == "/api/order":
            writer.write(encode_answer(200, [], b'{"free": 100000}'))
            return True
        return await self._run(head, writer)

    async def _run(self, head: Head, writer: asyncio.StreamWriter) -> bool:
        attempt = head.headers.get("attempt-id", "")
        headers = [("Attempt-Id", attempt)]
        if self.limit:
            headers.append(("Server-Limit", self.limit))
        if self.is_draining:
            headers.append(("Server-Leaving", "1"))
        expected = head.headers.get("expect-instance", self.name)
        if expected != self.name:
            self._note(attempt, False)
            writer.write(encode_answer(421, headers + [("Not-Executed", "1")]))
            return True
        self._note(attempt, True)
        headers += [
            ("Engine-Stamp", f"stamp.{self.name}.{attempt}"),
            ("Engine-Load", f"{self._running},0,8"),
            ("Keep-Alive", "timeout=5"),
        ]
        self._running += 1
        try:
            await asyncio.sleep(self.first_seconds)
            parts = head.headers.get("prompt-prefix", "").split(",")
            names = [part.partition(":")[0] for part in parts[:-1]]
            if self.crashing_part and self.crashing_part in names:
                if self.writes_head_before_crash:
                    writer.write(
                        encode_head("HTTP/1.1 200 OK", _stream_headers(headers))
                    )
                    await writer.drain()
                    await asyncio.sleep(HEAD_TRANSIT_SECONDS)
                if self._is_up:
                    self._crash(attempt)
                return False
            if not head.headers.get("token-counts"):
                writer.write(encode_answer(200, headers, b"done"))
                return True
            return await self._stream(head, headers, writer)
        finally:
            self._running -= 1

    async def _stream(
        self,
        head: Head,
        headers: list[tuple[str, str]],
        writer: asyncio.StreamWriter,
    ) -> bool:
        writer.write(encode_head("HTTP/1.1 200 OK", _stream_headers(headers)))
        first = int(head.headers.get("last-event-id", "-1")) + 1
        for number in range(first, self.events):
            data = f"id: {number}\ndata: {'x' * 60}\n\n".encode()
            writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.gap_seconds)
            if not self._is_up or writer.is_closing():
                return False
        writer.write(b"0\r\n\r\n")
        return True

    def _note(self, attempt: str, has_run: bool) -> None:
        arrival = Arrival(time.monotonic(), attempt, self.name, has_run)
        self.arrivals.append(arrival)
        self._record.write(
            "engine_arrival",
            engine=self.name,
            attempt=attempt,
            has_run=has_run,
        )


def _stream_headers(headers: list[tuple[str, str]]) -> list[tuple[str, str]]:
    return headers + [
        ("Content-Type", "text/event-stream"),
        ("Transfer-Encoding", "chunked"),
    ]


class Instance:
    """A process of the system.

    Attributes:
        name: Name of the machine.
        ip: Its address.
        zone: Its zone.
        started_at: Monotonic time of its last start.
        is_in_rotation: Whether the platform sends new connections to it.
        in_touch_at: Monotonic time from which the machine is in touch, if
            nothing happens to it any more.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        zone: str,
        ports: dict[str, int],
        settings: pathlib.Path,
        log: pathlib.Path,
    ) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.started_at = 0.0
        self.is_in_rotation = False
        self.in_touch_at = float("inf")
        self.misses = 0
        self._ports = ports
        self._settings = settings
        self._log = log
        self.process: subprocess.Popen | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Where callers connect."""
        return self.ip, self._ports["front"]

    @property
    def ready(self) -> tuple[str, int]:
        """Where the platform asks whether it is ready."""
        return self.ip, self._ports["ready"]

    def start(self) -> None:
        """Starts the process by the command of the deploy file."""
        deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        command = shlex.split(deploy["roles"]["relay"]["run"])
        kept = ("PATH", "HOME", "LANG")
        variables = {k: os.environ[k] for k in kept if k in os.environ}
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    **variables,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "CATKINTRAIL_BOOT": str(self._settings),
                },
            )
        self.started_at = time.monotonic()
        self.in_touch_at = self.started_at + CONTACT_SECONDS

    def signal(self, number: int) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.in_touch_at = float("inf")
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait(10.0)


class Answer(NamedTuple):
    """What a caller got.

    Attributes:
        attempt: The `Attempt-Id`.
        machine: The machine that the request was sent to.
        sent_at: Monotonic time in seconds.
        seconds: Time until the end.
        status: Status; 0 if no head of an answer came.
        events: Ids of the events of a stream.
        is_complete: Whether the whole answer came.
        end: How it ended.
    """

    attempt: str
    machine: str
    sent_at: float
    seconds: float
    status: int
    events: tuple[int, ...]
    is_complete: bool
    end: str


class Fleet:
    """Instances, a store and engines.

    Attributes:
        record: The record of the run.
        store: The store.
        engines: The engines.
        instances: The instances.
        answers: What the callers got.
    """

    def __init__(self, record: Record, page_size: int = 500) -> None:
        self.record = record
        self.store = Store(page_size)
        self.engines: list[Engine] = []
        self.instances: list[Instance] = []
        self.answers: list[Answer] = []
        self._folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._attempts = itertools.count(1)
        self._tasks: list[asyncio.Task] = []

    async def start(
        self, zones: list[str], engines: list[tuple[str, str]], spec: dict
    ) -> None:
        """Starts everything, and waits until all instances are ready.

        Args:
            zones: Zone of each instance.
            engines: Service and zone of each engine.
            spec: The operator's configuration.
        """
        await self.store.server.start()
        self.store.put("config", "main", spec)
        for service, zone in engines:
            engine = Engine(self.store, self.record, service, zone)
            await engine.start()
            self.engines.append(engine)
        self._make_instances(zones)
        for instance in self.instances:
            instance.start()
        self._tasks.append(
            asyncio.get_running_loop().create_task(self._poll_readiness())
        )
        deadline = time.monotonic() + 20.0
        while not all(i.is_in_rotation for i in self.instances):
            if time.monotonic() > deadline:
                raise CannotRunError("the instances did not become ready")
            await asyncio.sleep(0.1)
        self.record.write("all_ready")

    def _make_instances(self, zones: list[str]) -> None:
        net = random.randrange(20, 250)
        ips = [f"127.{net}.0.{n}" for n in range(1, len(zones) + 1)]
        ports = _free_ports(ips)
        named = "\n".join(f'{zone} = "region-1"' for zone in sorted(set(zones)))
        seeds = [f"{ip}:{ports['control']}" for ip in ips[:3]]
        for number, (zone, ip) in enumerate(zip(zones, ips), 1):
            name = f"edge-{zone}-{number}"
            settings = self._folder / f"{name}.toml"
            settings.write_text(
                SETTINGS.format(
                    name=name,
                    ip=ip,
                    zone=zone,
                    zones=named,
                    seeds=json.dumps(seeds),
                    store=self.store.server.address,
                    internal_end=ports["internal"] + 15,
                    **ports,
                ),
                encoding="utf-8",
            )
            log = self._folder / f"{name}.log"
            self.instances.append(
                Instance(name, ip, zone, ports, settings, log)
            )

    async def _poll_readiness(self) -> None:
        """Asks each instance once a second, as the platform does."""
        while True:
            await asyncio.gather(*map(self._ask_readiness, self.instances))
            await asyncio.sleep(READY_INTERVAL_SECONDS)

    async def _ask_readiness(self, instance: Instance) -> None:
        is_ready_now = await is_ready(instance.ready)
        instance.misses = 0 if is_ready_now else instance.misses + 1
        if is_ready_now:
            instance.is_in_rotation = True
        elif instance.misses >= READY_MISSES:
            instance.is_in_rotation = False

    def new_attempt(self) -> str:
        """Returns a new `Attempt-Id`."""
        return f"{next(self._attempts):08x}{random.randrange(1 << 32):08x}"

    async def ask(
        self,
        instance: Instance,
        path: str,
        *,
        deadline_ms: int = 10_000,
        wait_seconds: float = 10.0,
        tokens: str = "",
        parts: str = "",
        body: bytes = b"",
        method: str = "POST",
        label: str = "",
    ) -> Answer:
        """Sends one request on a connection of its own and reads the answer.

        Args:
            instance: The machine that the platform chose.
            path: The path.
            deadline_ms: How long the caller says that it waits.
            wait_seconds: How long it does wait for the next byte.
            tokens: Value of `Token-Counts`; "" for a plain service.
            parts: Value of `Prompt-Prefix`.
            body: The body.
            method: The method.
            label: What the record calls the request.
        """
        attempt = self.new_attempt()
        headers = [
            ("Host", HOST),
            ("Attempt-Id", attempt),
            ("Deadline-Ms", str(deadline_ms)),
            ("Authorization", f"Token {API_KEY}"),
        ]
        if tokens:
            headers += [
                ("Model", "m"),
                ("Token-Counts", tokens),
                ("Prompt-Prefix", parts),
            ]
        if method != "GET":
            headers.append(("Content-Length", str(len(body))))
        sent_at = time.monotonic()
        self.record.write(
            "sent", attempt=attempt, machine=instance.name, label=label
        )
        status, events, is_complete, end = 0, [], False, ""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*instance.front)
        except (OSError, TimeoutError) as error:
            end = f"no connection: {error!r}"
        else:
            try:
                writer.write(
                    encode_head(f"{method} {path} HTTP/1.1", headers) + body
                )
                async with asyncio.timeout(wait_seconds):
                    head = await read_head(reader)
                status = int(head.start.split(" ")[1])
                if head.headers.get("transfer-encoding") == "chunked":
                    await _read_events(reader, events, wait_seconds)
                else:
                    await read_body(reader, head)
                is_complete, end = True, "complete"
            except TimeoutError:
                end = "the caller gave up"
            except (asyncio.IncompleteReadError, ConnectionError) as error:
                end = f"closed: {type(error).__name__}"
            finally:
                writer.close()
        answer = Answer(
            attempt,
            instance.name,
            sent_at,
            time.monotonic() - sent_at,
            status,
            tuple(events),
            is_complete,
            end,
        )
        self.answers.append(answer)
        self.record.write(
            "answered",
            attempt=attempt,
            status=status,
            events=len(events),
            end=end,
            seconds=round(answer.seconds, 3),
            label=label,
        )
        return answer

    def in_rotation(self) -> list[Instance]:
        """Returns the machines that get new connections."""
        return [i for i in self.instances if i.is_in_rotation]

    def close(self) -> None:
        """Ends all processes."""
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            instance.kill()
        shutil.rmtree(self._folder, ignore_errors=True)

    def logs(self) -> dict[str, str]:
        """Returns the log of each instance."""
        return {
            path.stem: path.read_text(encoding="utf-8", errors="replace")
            for path in sorted(self._folder.glob("*.log"))
        }


async def is_ready(address: tuple[str, int]) -> bool:
    """Asks a machine whether it is ready, as the platform does."""
    with contextlib.suppress(
        OSError, TimeoutError, asyncio.IncompleteReadError
    ):
        async with asyncio.timeout(READY_INTERVAL_SECONDS):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(
                    encode_head(
                        "GET /api/ready HTTP/1.1",
                        [("Host", "ready"), ("Connection", "close")],
                    )
                )
                head = await read_head(reader)
                return head.start.split(" ")[1] == "200"
            finally:
                writer.close()
    return False


class CannotRunError(Exception):
    """The case could not run."""


async def _read_events(
    reader: asyncio.StreamReader, events: list[int], wait_seconds: float
) -> None:
    """Reads a chunked stream of events to its end; adds the ids."""
    pending = b""
    while True:
        async with asyncio.timeout(wait_seconds):
            line = await reader.readuntil(b"\r\n")
            size = int(line.strip(), 16)
            data = (await reader.readexactly(size + 2))[:-2]
        pending += data
        *whole, pending = pending.split(b"\n\n")
        for event in whole:
            for field in event.split(b"\n"):
                if field.startswith(b"id:"):
                    events.append(int(field[3:]))
        if size == 0:
            return


def _free_ports(ips: list[str]) -> dict[str, int]:
    """Returns ports that are free on all addresses, by their names."""
    for _ in range(200):
        first = random.randrange(15_000, 30_000)
        numbers = range(first, first + 20)
        if all(_is_free(ip, port) for ip in ips for port in numbers):
            return {
                "front": first,
                "ready": first + 1,
                "control": first + 2,
                "internal": first + 3,
            }
    raise CannotRunError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def make_spec(version: int, routes: list[dict], services: list[str]) -> dict:
    """Returns the operator's configuration.

    Args:
        version: The version.
        routes: The routes; each names its `service` and what differs from the
            defaults here.
        services: Names of the services; those that begin with `llm` are of
            model engines.
    """
    defaults = {
        "host": HOST,
        "timeout-ms": 10_000,
        "goal-ms": 300,
        "priority": 1,
        "max-attempts": 2,
        "public": False,
    }
    return {
        "version": version,
        "routes": [{**defaults, **route} for route in routes],
        "services": [
            {
                "name": name,
                "health-path": "/health",
                "max-conns": 334,
                **(
                    {"engine": ENGINE_FIGURES} if name.startswith("llm") else {}
                ),
            }
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api-keys": [API_KEY]}],
    }


STREAM_ROUTE = {
    "name": "ask",
    "path-prefix": "/ask/",
    "kind": "streaming",
    "service": "llm",
    "sticky": True,
    "resumable": True,
    "gap-target-ms": 200,
}


def run_case(
    folder: pathlib.Path,
    play: Callable[[Fleet, bool], Awaitable[str]],
    page_size: int = 500,
) -> int:
    """Plays a case and returns the exit status.

    Args:
        folder: Folder of the case; the record is written there.
        play: Plays the case, with or without the disruption; returns how the
            rule was broken, or "".
        page_size: Most objects in a page of the store's lists.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    fleet = Fleet(record, page_size)
    try:
        finding = asyncio.run(play(fleet, has_trouble))
    except Exception as error:  # pylint: disable=broad-exception-caught
        # Python's own exit status of an exception means a broken rule here.
        record.write("cannot_run", reason=repr(error))
        print(f"cannot run: {error!r}", file=sys.stderr)
        _print_logs(fleet)
        return 2
    finally:
        if os.environ.get("KEEP_LOGS"):
            for name, text in fleet.logs().items():
                (folder / f"{name}.log").write_text(text, encoding="utf-8")
        fleet.close()
    record.write("verdict", is_broken=bool(finding), finding=finding)
    print(f"broken: {finding}" if finding else "the rule held")
    return 1 if finding else 0


def _print_logs(fleet: Fleet) -> None:
    for name, text in fleet.logs().items():
        print(f"== {name}\n{text[-2000:]}", file=sys.stderr)


def count_by(values: list[Any]) -> dict[Any, int]:
    """Returns how often each value occurs."""
    return dict(collections.Counter(values))
