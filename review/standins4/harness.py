"""Stand-ins and instances for the cases 16 to 20.

The store, the engines and the clients are threads of the case's own process;
the instances are processes that are started with the command of the deploy
file. All addresses are loopback addresses.
"""

import http.client
import http.server
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HOST = "wells.example"
KEY = "key-of-the-guild"
START_SECONDS = 25.0
POLL_SECONDS = 0.02

SETTINGS = """
node = "{name}"
role = "relay"
machine-class = "edge"
serves = ["edge", "control"]
ip = "{ip}"
zone = "{zone}"
region = "dalarna"
internal-ports = [{internal}, {internal_end}]
seeds = {seeds}
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
[zones]
falun = "dalarna"
mora = "dalarna"
rattvik = "dalarna"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpu-share = 0.537
cores = 2
memory-mb = 300
max-fds = 4100
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
budget-extra = 104
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
    "per_seq_ms": 0.00966,
    "context_per_k": 0.00254,
    "read_per_s": 256_000.0,
    "pairs_per_m": 0.0917,
    "chunk": 2_048,
    "usual": {"prompt": 13_229, "answer": 1_541},
}


def make_configuration(version=1, tenants=None):
    """Returns the operator's configuration, in the form of PROTOCOL.md."""
    engine_route = {
        "host": HOST,
        "kind": "streaming",
        "timeout-ms": 10_000,
        "goal-ms": 300,
        "priority": 1,
        "service": "sprakverk",
        "max-attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gap-target-ms": 200,
    }
    plain_route = {
        "host": HOST,
        "timeout-ms": 1_500,
        "goal-ms": 200,
        "priority": 1,
        "service": "rotatjanst",
        "max-attempts": 2,
        "public": False,
    }
    return {
        "version": version,
        "routes": [
            {"name": "fraga", "path-prefix": "/fraga/", **engine_route},
            {
                "name": "passbokning",
                "path-prefix": "/passbokning/",
                "kind": "non_idempotent",
                **plain_route,
            },
            {
                "name": "rotalasning",
                "path-prefix": "/rotalasning/",
                "kind": "idempotent",
                **plain_route,
            },
        ],
        "services": [
            {
                "name": "sprakverk",
                "health-path": "/health",
                "max-conns": 364,
                "engine": ENGINE_FIGURES,
            },
            {"name": "rotatjanst", "health-path": "/health", "max-conns": 110},
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": tenants
        or [{"name": "guild", "api-keys": [KEY], "priority": 1}],
    }


class Record:
    """Writes what was sent, answered and run to a file, with times."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.started_at = time.monotonic()

    def write(self, text):
        elapsed = time.monotonic() - self.started_at
        with self._lock:
            self._file.write(f"{elapsed:8.3f} {text}\n")
            self._file.flush()


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


class Handler(http.server.BaseHTTPRequestHandler):
    """Handles requests of a stand-in without a log."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format, *args):  # pylint: disable=redefined-builtin
        pass

    def read_body(self):
        """Returns the body; None if the connection ended before its end."""
        length = int(self.headers.get("Content-Length", 0))
        body = self.rfile.read(length)
        return body if len(body) == length else None

    def reply(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


def serve(handler, ip="127.0.0.1", port=0):
    """Serves in a thread; returns the server."""
    server = _Server((ip, port), handler)
    threading.Thread(
        target=server.serve_forever, args=(POLL_SECONDS,), daemon=True
    ).start()
    return server


class Store:
    """The platform's store: objects by kind and name, lists and watches.

    Attributes:
        address: `IP:port`.
        calls: Number of calls.
    """

    def __init__(self, record):
        self.calls = 0
        self._record = record
        self._revision = 10
        self._objects = {}
        self._changes = []
        self._changed = threading.Condition()
        store = self

        class StoreHandler(Handler):

            def do_GET(self):  # pylint: disable=invalid-name
                store.handle(self)

            do_POST = do_PUT = do_DELETE = do_GET

        self._server = serve(StoreHandler)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def put(self, kind, name, spec):
        """Writes an object; returns the time of the acknowledgement."""
        with self._changed:
            self._revision += 1
            old = self._objects.get((kind, name))
            created = old["metadata"]["created"] if old else self._revision
            item = {
                "metadata": {
                    "name": name,
                    "revision": self._revision,
                    "created": created,
                    "finalizers": [],
                    "deleting": False,
                },
                "spec": spec,
                "status": {},
            }
            self._objects[kind, name] = item
            self._changes.append((self._revision, kind, item, False))
            self._changed.notify_all()
            return time.monotonic()

    def remove(self, kind, name):
        """Removes an object; returns the time of the acknowledgement."""
        with self._changed:
            item = self._objects.pop((kind, name), None)
            if item is not None:
                self._revision += 1
                self._changes.append((self._revision, kind, item, True))
                self._changed.notify_all()
            return time.monotonic()

    def handle(self, handler):
        """Answers a call."""
        self.calls += 1
        body = handler.read_body()
        if body is None:
            handler.close_connection = True
            return
        path, _, query = handler.path.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(p) for p in path.split("/")[3:]]
        time.sleep(0.004)
        if handler.command == "GET" and "watch" in arguments:
            answer = self._watch(
                parts[0],
                int(arguments["watch"]),
                int(arguments.get("wait-ms", 0)) / 1000.0,
            )
        elif handler.command == "GET":
            answer = self._read(parts, arguments.get("after-rev", ""))
        else:
            answer = self._write(handler.command, parts, body)
        status, content = answer
        handler.reply(
            status,
            json.dumps(content).encode(),
            [("Content-Type", "application/json"), ("Store-Era", "1")],
        )

    def _read(self, parts, after):
        with self._changed:
            if len(parts) > 1:
                item = self._objects.get((parts[0], parts[1]))
                return (200, item) if item else (404, {})
            items = [
                item
                for (kind, name), item in sorted(self._objects.items())
                if kind == parts[0] and name > after
            ]
            return 200, {
                "items": items,
                "has-more": False,
                "as-of": self._revision,
            }

    def _watch(self, kind, revision, seconds):
        end = time.monotonic() + seconds
        with self._changed:
            while True:
                events = [
                    {"object": item, "removed": is_removed}
                    for number, other, item, is_removed in self._changes
                    if number > revision and other == kind
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as-of": self._revision}
                self._changed.wait(left)

    def _write(self, method, parts, body):
        if method == "DELETE":
            self.remove(*parts[:2])
            return 200, {}
        item = json.loads(body)
        name = item["metadata"]["name"]
        with self._changed:
            if method == "POST" and (parts[0], name) in self._objects:
                return 409, self._objects[parts[0], name]
        self.put(parts[0], name, item["spec"])
        return 200, {}


class Engine:
    """A server of the users: an engine, or a plain service.

    What it does with a request is a function of the case, which gets this
    engine and the handler of the request; the body has been read.

    Attributes:
        name: Its id.
        address: `IP:port`.
        runs: Attempt ids of the requests that were run, with times.
    """

    def __init__(self, name, service, run, record, zone="falun", port=0):
        self.name = name
        self.service = service
        self.zone = zone
        self.born = int(time.time() * 1000) - 60_000
        self.runs = []
        self.run = run
        self.record = record
        self.on_start = lambda: None
        self._connections = set()
        self._lock = threading.Lock()
        engine = self

        class EngineHandler(Handler):

            def setup(self):
                super().setup()
                with engine._lock:
                    engine._connections.add(self.connection)

            def finish(self):
                with engine._lock:
                    engine._connections.discard(self.connection)
                super().finish()

            def do_POST(self):  # pylint: disable=invalid-name
                engine.handle(self)

            do_GET = do_POST

        self._handler = EngineHandler
        self._server = serve(EngineHandler, port=port)
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def entry(self, state="ready"):
        """Returns its entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": state,
            "cold-left-ms": 0,
            "seq": 1,
            "born": self.born,
        }

    def head(self, handler):
        """Returns the headers of an answer to a request."""
        return [
            ("Attempt-Id", handler.headers.get("Attempt-Id", "")),
            ("Engine-Stamp", f"3e1b.{self.name}"),
        ]

    def handle(self, handler):
        handler.body = handler.read_body()
        if handler.body is None:
            handler.close_connection = True
            return
        if handler.path == "/api/report":
            self._report(handler)
            return
        if handler.path == "/api/order":
            handler.reply(200, b'{"free":400000}')
            return
        expected = handler.headers.get("Expect-Instance", self.name)
        if expected != self.name:
            handler.reply(421, b"", [("Not-Executed", "1")])
            return
        attempt = handler.headers.get("Attempt-Id", "")
        self.runs.append((time.monotonic(), attempt))
        self.record.write(
            f"{self.name} runs {attempt} ({handler.command} {handler.path},"
            f" Last-Event-Id {handler.headers.get('Last-Event-Id')})"
        )
        try:
            self.run(self, handler)
        except OSError:
            handler.close_connection = True

    def _report(self, handler):
        report = {
            "stage": "unified",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "waiting": 0,
            "running": 0,
            "kv-used": 0,
            "kv-total": 450_000,
            "handles": 0,
            "tickets": [],
            "born": self.born,
        }
        handler.reply(
            200,
            json.dumps(report).encode(),
            [("Instance-Id", self.name), ("Content-Type", "application/json")],
        )

    def crash(self, back_seconds):
        """Ends the port and all connections; starts anew after a while."""
        self._server.socket.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self._server.shutdown()
        timer = threading.Timer(back_seconds, self._start_again)
        timer.daemon = True
        timer.start()

    def _start_again(self):
        port = int(self.address.rpartition(":")[2])
        self._server = serve(self._handler, port=port)
        self.born = int(time.time() * 1000)
        self.on_start()


def begin_stream(engine, handler, is_chunked=True):
    """Sends the head of a stream of events."""
    handler.send_response(200)
    for name, value in engine.head(handler):
        handler.send_header(name, value)
    handler.send_header("Content-Type", "text/event-stream")
    if is_chunked:
        handler.send_header("Transfer-Encoding", "chunked")
    else:
        handler.close_connection = True
    handler.end_headers()


def write_chunk(handler, data):
    """Writes one chunk at once."""
    handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))


def make_event(number):
    """Returns an event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def answer_plain(engine, handler):
    """Answers like a sound plain service."""
    time.sleep(0.02)
    body = f"{engine.name} {handler.headers.get('Attempt-Id')}".encode()
    handler.reply(200, body, engine.head(handler))


def stream_soundly(engine, handler, count=12, gap_seconds=0.03):
    """Answers like a sound engine that resumes at `Last-Event-Id`."""
    begin_stream(engine, handler)
    first = int(handler.headers.get("Last-Event-Id", -1)) + 1
    for number in range(first, count):
        time.sleep(gap_seconds)
        write_chunk(handler, make_event(number))
    handler.wfile.write(b"0\r\n\r\n")


def free_port(ip):
    """Returns a port below the ephemeral ones on which nothing listens."""
    while True:
        port = random.randrange(15_000, 32_000)
        try:
            socket.create_server((ip, port)).close()
            return port
        except OSError:
            continue


class Instance:
    """A relaying instance: a process with the command of the deploy file."""

    def __init__(self, case, index, zone="falun"):
        self.name = f"edge-{zone}-{index + 1}"
        self.ip = case.ips[index]
        self.zone = zone
        self._case = case
        self._path = case.folder / f"{self.name}.toml"
        self._path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=zone,
                seeds=json.dumps(
                    [f"{ip}:{case.ports['control']}" for ip in case.ips[:3]]
                ),
                store=case.store.address,
                **case.ports,
            )
        )
        self.process = None

    def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["relay"]["run"].split()
        log = open(self._case.folder / f"{self.name}.log", "ab")
        names = ("PATH", "HOME", "LANG")
        with log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                env={
                    **{n: os.environ[n] for n in names if n in os.environ},
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "CATKINTRAIL_BOOT": str(self._path),
                },
            )
        return self

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(
                self.ip, self._case.ports["ready"], timeout=1.0
            )
            connection.request("GET", "/api/ready")
            status = connection.getresponse().status
            connection.close()
            return status == 200
        except (OSError, http.client.HTTPException):
            return False

    def send_signal(self, number):
        self._case.record.write(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def connect(self):
        connection = socket.create_connection(
            (self.ip, self._case.ports["front"]), 5.0
        )
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection


class CannotRunError(Exception):
    """The case could not be played."""


class Case:
    """One play of a case, which ends all that it has started.

    Attributes:
        has_trouble: Whether the disruption is played.
    """

    def __init__(self, folder, instances=1, zones=("falun",)):
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(pathlib.Path(folder) / "record.txt")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="catkintrail-"))
        number = random.SystemRandom().randrange(1, 250 * 250)
        high, low = divmod(number, 250)
        self.ips = [f"127.{high + 2}.{low + 2}.{n + 11}" for n in range(8)]
        ip = self.ips[0]
        self.ports = {n: free_port(ip) for n in ("front", "ready", "control")}
        self.ports["internal"] = free_port(ip)
        self.ports["internal_end"] = self.ports["internal"] + 15
        self.store = Store(self.record)
        self.engines = []
        self.ips = self.ips[:instances]
        self.instances = [
            Instance(self, n, zones[n % len(zones)]) for n in range(instances)
        ]
        self.record.write(f"trouble: {self.has_trouble}")

    def add_engine(self, name, service, run, zone="falun"):
        engine = Engine(name, service, run, self.record, zone)
        engine.on_start = lambda: self.store.put(
            "servers", name, engine.entry()
        )
        self.engines.append(engine)
        self.store.put("servers", name, engine.entry())
        return engine

    def start(self, configuration=None, settle_seconds=4.0):
        """Publishes the configuration and starts the instances.

        Args:
            configuration: The configuration; None for the usual one.
            settle_seconds: How long the instances run before the first request:
                longer than contact-ms, or than budget-window-s if requests are
                to be sent once more.
        """
        self.store.put("config", "main", configuration or make_configuration())
        for instance in self.instances:
            instance.start()
        end = time.monotonic() + START_SECONDS
        while not all(i.is_ready() for i in self.instances):
            if time.monotonic() > end:
                raise CannotRunError("the instances are not ready")
            time.sleep(0.1)
        time.sleep(settle_seconds)
        self.record.write("the instances are ready")

    def close(self):
        for instance in self.instances:
            process = instance.process
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, run, **options):
    """Plays a case and ends the process: 1 broken, 0 held, 2 not played.

    Args:
        folder: Folder of the case.
        run: Plays the case; returns a list of what broke the rule.
    """
    case = None
    status = 2
    # The processes that the case has started end with it.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        case = Case(folder, **options)
        broken = run(case)
        for text in broken:
            case.record.write(f"BROKEN: {text}")
        status = 1 if broken else 0
    except (Exception, SystemExit):  # pylint: disable=broad-exception-caught
        text = traceback.format_exc()
        print(text, file=sys.stderr)
        if case is not None:
            case.record.write(text)
    finally:
        if case is not None:
            case.record.write(f"exit {status}")
            case.close()
    sys.stdout.flush()
    os._exit(status)  # pylint: disable=protected-access


class Answer:
    """What a client has received on a connection.

    Attributes:
        status: Status code; 0 if no head was received.
        headers: Headers by lower-case name.
        body: The body, decoded.
        is_complete: Whether the end of the message was received.
    """

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False

    def event_ids(self):
        ids = []
        for event in self.body.split(b"\n\n"):
            for line in event.split(b"\n"):
                if line.startswith(b"id: "):
                    ids.append(int(line[4:]))
        return ids

    def describe(self):
        end = "complete" if self.is_complete else "incomplete"
        return f"{self.status} {end} {self.body[:300]!r}"


def make_request(
    path,
    attempt,
    body=b"",
    method="POST",
    key=KEY,
    deadline_ms=10_000,
    headers=(),
    is_engine=False,
    parts="5c1e07a2:800",
):
    """Returns the bytes of a client's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Token {key}",
    ]
    if is_engine:
        lines += [
            "Model: m",
            "Token-Counts: 1460,80",
            f"Prompt-Prefix: {parts},{attempt}:660",
        ]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append("Connection: close")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_answer(connection, seconds=12.0, method="POST"):
    """Reads one answer like a sound client."""
    answer = Answer()
    connection.settimeout(seconds)
    response = http.client.HTTPResponse(connection, method=method)
    try:
        response.begin()
        answer.status = response.status
        answer.headers = {n.lower(): v for n, v in response.getheaders()}
        while data := response.read1(65536):
            answer.body += data
        answer.is_complete = True
        if response.length:
            answer.is_complete = False
    except (OSError, http.client.HTTPException) as error:
        if isinstance(error, http.client.IncompleteRead):
            answer.body += error.partial
    return answer


def ask(instance, path, attempt, seconds=12.0, **options):
    """Sends a request on a connection of its own; returns the answer."""
    try:
        with instance.connect() as connection:
            connection.sendall(make_request(path, attempt, **options))
            return read_answer(
                connection, seconds, options.get("method", "POST")
            )
    except OSError:
        return Answer()
