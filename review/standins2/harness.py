"""Stand-ins of the platform, targets and callers for the cases of the review.

They follow the pages of the protocol; where a page is silent they behave like
sound ones. All addresses are loopback addresses. Instances are started with the
command of the deploy file.
"""

import http.client
import http.server
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = "rota.example"
KEY = "key-1"
PORT_NAMES = ("front", "ready", "control", "udp")
# Fixed in the program.
METRICS_PORT = 9464
# The bounds and limits of the deployment Brunnsrota.
SETTINGS = """
node = "{name}"
role = "relay"
machine-class = "edge"
serves = ["edge","control"]
ip = "{ip}"
zone = "{zone}"
region = "dalarna"
internal-ports = [{udp},{udp_end}]
seeds = {seeds}
bootstrap = true
counts-as-loss = false
discovery = "platform"
entry = "vip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","spans"]
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
memory-mb = {memory_mb}
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
# The bounds of the grown deployment, where they differ.
GROWN_BOUNDS = {
    "contact-ms": 4000,
    "ack-ms": 6000,
    "catch-up-s": 6,
    "drain-ms": 3000,
    "config-apply-ms": 3000,
    "max-stretch-ms": 6000,
    "budget-extra": 194,
    "recovery-s": 15,
    "pass-ms": 200,
}
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
    "usual": {"prompt": 13_229, "answer": 1_541},
}


def make_configuration():
    """Returns the operator's configuration, with the routes of Brunnsrota."""

    def route(name, service, kind, timeout_ms, goal_ms, attempts):
        return {
            "name": name,
            "host": HOST,
            "path-prefix": f"/{name}/",
            "kind": kind,
            "service": service,
            "timeout-ms": timeout_ms,
            "goal-ms": goal_ms,
            "priority": 1,
            "max-attempts": attempts,
            "public": False,
        }

    stream = route("fraga", "sprakverk", "streaming", 10_000, 300, 2)
    stream.update({"sticky": True, "resumable": True, "gap-target-ms": 200})
    return {
        "version": 1,
        "routes": [
            stream,
            route("boka", "rotatjanst", "non_idempotent", 800, 150, 1),
            route("las", "rotatjanst", "idempotent", 800, 150, 2),
        ],
        "services": [
            {
                "name": "sprakverk",
                "health-path": "/health",
                "max-conns": 364,
                "engine": ENGINE_FIGURES,
            },
            {
                "name": "rotatjanst",
                "health-path": "/health",
                "max-conns": 110,
            },
        ],
        "limits": {
            "max-header-bytes": 16_384,
            "max-body-bytes": 4_194_304,
            "header-timeout-ms": 3_000,
            "idle-timeout-ms": 15_000,
        },
        "tenants": [{"name": "guild", "api-keys": [KEY], "priority": 1}],
    }


def _end(*_):
    """Makes a case that is ended from outside end its processes."""
    sys.exit(NOT_RUN)


signal.signal(signal.SIGTERM, _end)


class Record:
    """Writes what was sent, answered and run, with times, to a file."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text):
        line = f"{time.monotonic() - self.started:8.3f} {text}"
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def reply(self, status, body=b"", headers=()):
        head = [f"HTTP/1.1 {status} x"]
        head += [f"{name}: {value}" for name, value in headers]
        head.append(f"Content-Length: {len(body)}")
        self.wfile.write("\r\n".join([*head, "", ""]).encode() + body)

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))


def _serve(handler, address):
    server = _Server(address, handler)
    threading.Thread(
        target=server.serve_forever, args=(0.02,), daemon=True
    ).start()
    return server


class Store:
    """The platform's store: lists, watches, and writes without conditions."""

    def __init__(self, page_size=500):
        self.revision = 1
        self.objects = {}
        self.changes = []
        self.changed = threading.Condition(threading.RLock())
        self.page_size = page_size
        store = self

        class Handler(_Handler):
            """Serves the calls of one connection."""

            def do_GET(self):
                status, body = store.handle(
                    self.command, self.path, self.read_body()
                )
                self.reply(
                    status,
                    json.dumps(body).encode(),
                    [("Content-Type", "application/json"), ("Store-Era", "1")],
                )

            do_POST = do_PUT = do_DELETE = do_GET

        self.handler = Handler
        self.server = _serve(Handler, ("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.server.server_address[1]

    def add_slow_address(self, seconds):
        """Returns an address whose answers to lists come later.

        As over a link on which one packet of each such answer is lost.
        """

        class Handler(self.handler):
            """Delays the answers to lists."""

            def reply(self, status, body=b"", headers=()):
                if "watch=" not in self.path:
                    time.sleep(seconds)
                super().reply(status, body, headers)

        server = _serve(Handler, ("127.0.0.1", 0))
        return "127.0.0.1:%d" % server.server_address[1]

    def put(self, kind, name, spec):
        with self.changed:
            self.revision += 1
            item = {
                "metadata": {"name": name, "revision": self.revision},
                "spec": spec,
                "status": {},
            }
            self.objects[kind, name] = item
            self.changes.append((self.revision, kind, item, False))
            self.changed.notify_all()
            return item

    def remove(self, kind, name):
        with self.changed:
            item = self.objects.pop((kind, name), None)
            if item is not None:
                self.revision += 1
                self.changes.append((self.revision, kind, item, True))
                self.changed.notify_all()

    def handle(self, method, path, content):
        path, _, query = path.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        parts = [urllib.parse.unquote(p) for p in path.split("/")[3:]]
        with self.changed:
            if method == "POST":
                item = json.loads(content)
                name = item["metadata"]["name"]
                if (parts[0], name) in self.objects:
                    return 409, self.objects[parts[0], name]
                return 201, self.put(parts[0], name, item.get("spec"))
            if method == "DELETE":
                if tuple(parts) not in self.objects:
                    return 404, {}
                self.remove(*parts)
                return 200, {}
            if method != "GET":
                return 400, {}
        if len(parts) > 1:
            with self.changed:
                item = self.objects.get(tuple(parts[:2]))
                return (404, {}) if item is None else (200, item)
        if "watch" in arguments:
            return self._watch(
                parts[0],
                int(arguments["watch"]),
                int(arguments.get("wait-ms", 0)) / 1000.0,
            )
        with self.changed:
            after = arguments.get("after-rev", "")
            items = [
                item
                for (kind, name), item in sorted(self.objects.items())
                if kind == parts[0] and name > after
            ]
            return 200, {
                "items": items[: self.page_size],
                "has-more": len(items) > self.page_size,
                "as-of": self.revision,
            }

    def _watch(self, kind, revision, seconds):
        deadline = time.monotonic() + seconds
        with self.changed:
            while True:
                events = [
                    {"object": item, "removed": is_removed}
                    for number, item_kind, item, is_removed in self.changes
                    if number > revision and item_kind == kind
                ]
                remaining = deadline - time.monotonic()
                if events or remaining <= 0:
                    return 200, {"events": events, "as-of": self.revision}
                self.changed.wait(remaining)


class Target:
    """An engine or a plain service.

    Attributes:
        delay: Seconds before an answer, or before each event.
        runs: Time and id of each request that it has run.
    """

    def __init__(self, name, service, zone="falun", events=6, slots=16):
        self.name = name
        self.service = service
        self.zone = zone
        self.events = events
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.delay = 0.01
        self.runs = []
        target = self

        class Handler(_Handler):
            """Serves the requests of one connection."""

            def do_GET(self):
                target.handle(self)

            do_POST = do_PUT = do_GET

        self.server = _serve(Handler, ("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.server.server_address[1]

    def entry(self):
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
            "born": self.born,
        }

    def handle(self, handler):
        handler.read_body()
        if handler.path == "/health":
            handler.reply(200, b"", [("Instance-Id", self.name)])
            return
        if handler.path == "/api/order":
            handler.reply(200, b'{"free":100000}')
            return
        attempt = handler.headers.get("Attempt-Id", "")
        if handler.headers.get("Expect-Instance", self.name) != self.name:
            handler.reply(421, b"", [("Instance-Id", self.name)])
            return
        self.runs.append((time.monotonic(), attempt))
        headers = [("Attempt-Id", attempt), ("Engine-Stamp", f"{self.name}.1")]
        if self.service == "sprakverk":
            self._stream(handler, headers)
        else:
            time.sleep(self.delay)
            handler.reply(200, f"{self.name} {attempt}".encode(), headers)

    def _stream(self, handler, headers):
        head = ["HTTP/1.1 200 OK"]
        head += [f"{name}: {value}" for name, value in headers]
        head += ["Content-Type: text/event-stream"]
        head += ["Transfer-Encoding: chunked", "", ""]
        handler.wfile.write("\r\n".join(head).encode())
        first = int(handler.headers.get("Last-Event-Id", -1)) + 1
        for number in range(first, self.events):
            time.sleep(self.delay)
            data = b"id: %d\ndata: %s\n\n" % (number, self.name.encode())
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        handler.wfile.write(b"0\r\n\r\n")


class Instance:
    """One process of the system."""

    def __init__(self, fleet, number, zone, memory_mb):
        self.fleet = fleet
        self.number = number
        self.name = f"edge-{zone}-{number}"
        self.ip = f"{fleet.network}.{number}"
        self.zone = zone
        self.memory_mb = memory_mb
        self.store_address = fleet.store.address
        self.process = None

    def start(self):
        directory = self.fleet.directory
        path = directory / f"{self.name}.toml"
        ports = self.fleet.ports
        text = SETTINGS.format(
            name=self.name,
            ip=self.ip,
            zone=self.zone,
            seeds=json.dumps(self.fleet.seeds),
            store=self.store_address,
            memory_mb=self.memory_mb,
            udp_end=ports["udp"] + 15,
            **ports,
        )
        for name, value in self.fleet.bounds.items():
            text = re.sub(f"(?m)^{name} = .*$", f"{name} = {value}", text)
        path.write_text(text, encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(directory),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(REPOSITORY / "target/deps"),
            "CATKINTRAIL_BOOT": str(path),
        }
        command = shlex.split(self.fleet.command)
        command[0] = sys.executable
        with open(directory / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=REPOSITORY,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(
                self.ip, self.fleet.ports["ready"], timeout=1.0
            )
            connection.request("GET", "/api/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def signal(self, number):
        self.process.send_signal(number)

    def memory(self):
        """Returns peak and present memory in MB."""
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            lines = dict(line.split(":", 1) for line in file)
        return tuple(
            int(lines[name].split()[0]) / 1024 for name in ("VmHWM", "VmRSS")
        )

    @property
    def front(self):
        return (self.ip, self.fleet.ports["front"])


def _choose_addresses(count):
    """Returns a loopback network and ports that are free there."""
    rng = random.Random(os.urandom(8))
    while True:
        network = f"127.{rng.randint(60, 250)}.{rng.randint(1, 250)}"
        base = rng.randrange(15_000, 30_000, 40)
        ports = {
            name: base + 20 * (name == "udp") + index
            for index, name in enumerate(PORT_NAMES)
        }
        try:
            for number in range(count):
                for port in (*ports.values(), METRICS_PORT):
                    address = (f"{network}.{number + 1}", port)
                    socket.create_server(address).close()
        except OSError:
            continue
        return network, ports


class Fleet:
    """Instances before one store."""

    def __init__(self, store, zones, memory_mb=300, bounds=None):
        self.bounds = bounds or {}
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self.command = next(iter(deploy["roles"].values()))["run"]
        self.store = store
        self.temporary = tempfile.TemporaryDirectory()
        self.directory = pathlib.Path(self.temporary.name)
        self.network, self.ports = _choose_addresses(len(zones))
        self.seeds = [
            f"{self.network}.{n + 1}:{self.ports['control']}"
            for n in range(min(3, len(zones)))
        ]
        self.instances = [
            Instance(self, n + 1, zone, memory_mb)
            for n, zone in enumerate(zones)
        ]

    def start(self, timeout=30.0):
        for instance in self.instances:
            instance.start()
        return wait_until(
            lambda: all(i.is_ready() for i in self.instances), timeout
        )

    def close(self):
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGCONT)
                instance.process.kill()
                instance.process.wait()
        if os.environ.get("KEEP_LOGS"):
            for path in self.directory.glob("*.log"):
                target = pathlib.Path(os.environ["KEEP_LOGS"]) / path.name
                target.write_bytes(path.read_bytes())
        self.temporary.cleanup()


def main(run, directory):
    """Plays a case, and exits with its status.

    An error of the case itself means that it could not run.

    Args:
        run: Plays the case; takes whether there is trouble, and the record.
        directory: Folder of the case.
    """
    record = Record(directory / "record.txt")
    try:
        status = run(os.environ.get("TROUBLE", "1") != "0", record)
    except Exception as error:  # pylint: disable=broad-exception-caught
        record.say(f"the case could not run: {error!r}")
        status = NOT_RUN
    sys.exit(status)


def wait_until(condition, seconds):
    """Returns whether a condition became true in time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return False


def ask(
    address,
    path,
    attempt,
    body=b"",
    deadline_ms=5_000,
    timeout=None,
    method="POST",
):
    """Sends one request on a new connection.

    Returns:
        Status, headers and body; status 0 and the error if there is no whole
        answer.
    """
    connection = http.client.HTTPConnection(
        *address, timeout=timeout or deadline_ms / 1000.0 + 1.0
    )
    try:
        connection.request(
            method,
            path,
            body=body,
            headers={
                "Host": HOST,
                "Attempt-Id": attempt,
                "Deadline-Ms": str(deadline_ms),
                "Authorization": f"Token {KEY}",
            },
        )
        response = connection.getresponse()
        data = response.read()
        return response.status, response.headers, data
    except (OSError, http.client.HTTPException) as error:
        return 0, {}, repr(error).encode()
    finally:
        connection.close()
