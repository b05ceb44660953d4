"""Starts instances, a store and engines on loopback addresses, and records.

Engines are the small stand-ins below. All addresses are loopback addresses with
free ports; settings are those of a small deployment.
"""

import http.server
import json
import os
import pathlib
import random
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.request

from review.standins3 import deployment
from review.standins3 import store as stores

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "wells.example"
START_SECONDS = 20.0
# Below the range of ephemeral ports.
PORT_RANGE = (15_000, 32_000)


def is_disrupted():
    """Returns whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._file = open(
            pathlib.Path(folder) / "record.txt", "w", encoding="utf-8"
        )
        self._lock = threading.Lock()
        self._started = time.monotonic()

    def note(self, text):
        """Writes one line, with the time since the start."""
        with self._lock:
            elapsed = time.monotonic() - self._started
            line = f"{elapsed:8.3f} {text}"
            self._file.write(line + "\n")
            self._file.flush()
            print(line, flush=True)


def _free_ports(ips, count):
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORT_RANGE)
        try:
            for ip in ips:
                socket.create_server((ip, port)).close()
                with socket.socket(
                    socket.AF_INET, socket.SOCK_DGRAM
                ) as datagrams:
                    datagrams.bind((ip, port))
        except OSError:
            continue
        if port not in ports:
            ports.append(port)
    return ports


class Instance:
    """One process of the role `relay`, started as the deploy file says."""

    def __init__(self, folder, ip, ports, seeds, store_address, memory_mb):
        self.ip = ip
        self._memory_mb = memory_mb
        self.front = ports["front"]
        self._ports = ports
        self._store_address = store_address
        self._path = pathlib.Path(folder) / f"settings-{ip}.toml"
        self.write_settings(seeds)
        self._log_path = pathlib.Path(folder) / f"log-{ip}.txt"
        self.process = None

    def write_settings(self, seeds):
        """Writes the settings file, at once as a whole.

        Args:
            seeds: IP addresses of the seeds.
        """
        text = deployment.make_settings(
            self.ip, self._ports, seeds, self._store_address, self._memory_mb
        )
        new = self._path.with_suffix(".new")
        new.write_text(text, encoding="utf-8")
        new.rename(self._path)

    def start(self):
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        command = shlex.split(deploy["roles"]["relay"]["run"])
        kept = ("PATH", "HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["CATKINTRAIL_BOOT"] = str(self._path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self._log_path, "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def signal(self, number):
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def is_ready(self):
        """Returns whether the readiness check gives 200."""
        url = f"http://{self.ip}:{self._ports['ready']}/api/ready"
        try:
            with urllib.request.urlopen(url, timeout=1.0) as response:
                return response.status == 200
        except OSError:
            return False

    def log_lines(self):
        """Returns the lines of the log that are JSON."""
        lines = []
        for line in self._log_path.read_text(encoding="utf-8").splitlines():
            try:
                lines.append(json.loads(line))
            except ValueError:
                lines.append({"message": line})
        return lines

    def end(self):
        """Ends the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait(10.0)


class Fleet:
    """A store and instances; ends them all on exit."""

    def __init__(self, count=1, spec=None, seeds=3, memory_mb=300):
        """Prepares instances without starting them.

        Args:
            count: Number of instances.
            spec: The operator's configuration; None for the usual one.
            seeds: How many instances, from the first, the settings name.
            memory_mb: Memory of each machine.
        """
        self.folder = tempfile.TemporaryDirectory()
        self.store = stores.Store()
        self.store.put("config", "main", spec or deployment.make_spec(HOST))
        base = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        ips = [f"{base}.{number + 1}" for number in range(count)]
        names = deployment.PORT_NAMES
        ports = dict(zip(names, _free_ports(ips, len(names))))
        self.instances = [
            Instance(
                self.folder.name,
                ip,
                ports,
                ips[:seeds],
                self.store.address,
                memory_mb,
            )
            for ip in ips
        ]

    def __enter__(self):
        return self

    def __exit__(self, *unused_error):
        for instance in self.instances:
            instance.end()
        self.store.close()
        self.folder.cleanup()

    def start(self, chosen=None):
        """Starts instances; returns whether they became ready.

        Args:
            chosen: The instances to start; None for all.
        """
        chosen = self.instances if chosen is None else chosen
        for instance in chosen:
            instance.start()
        deadline = time.monotonic() + START_SECONDS
        while time.monotonic() < deadline:
            if all(instance.is_ready() for instance in chosen):
                return True
            time.sleep(0.1)
        return False


class Engine:
    """A target whose answers are given by `answer(handler, headers, body)`.

    It checks `Expect-Instance`, records what it runs, and answers health checks
    and orders.
    """

    def __init__(self, name, service, answer, record, zone="za"):
        self.name = name
        self.service = service
        self.zone = zone
        self.runs = []
        self.born = int(time.time() * 1000)
        engine = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Serves the requests of one connection."""

            protocol_version = "HTTP/1.1"

            def log_message(self, format, *args):  # pylint: disable=redefined-builtin
                pass

            def reply(self, status, body=b"", headers=()):
                """Sends a whole answer with a length."""
                self.send_response(status)
                for name, value in headers:
                    self.send_header(name, value)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def do_POST(self):  # pylint: disable=invalid-name
                """Serves a request, a health check or an order."""
                body = self.rfile.read(
                    int(self.headers.get("Content-Length", 0))
                )
                identity = [("Instance-Id", engine.name)]
                if self.path == "/health":
                    self.reply(200, b"", identity)
                    return
                if self.path == "/api/order":
                    self.reply(200, b'{"free":400000}', identity)
                    return
                if self.headers["Expect-Instance"] != engine.name:
                    self.reply(421, b"", identity)
                    return
                request_id = self.headers["Attempt-Id"]
                engine.runs.append(request_id)
                record.note(
                    f"{engine.name} runs {request_id} {self.command}"
                    f" {self.path}"
                )
                headers = [
                    ("Attempt-Id", request_id),
                    ("Engine-Stamp", f"stamp.{engine.name}.{request_id}"),
                ]
                answer(self, headers, body)

            do_GET = do_POST

        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), Handler
        )
        self._server.daemon_threads = True
        self._server.handle_error = lambda *unused: None
        threading.Thread(
            target=self._server.serve_forever, args=(0.02,), daemon=True
        ).start()
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def entry(self, **changes):
        """Returns the engine's entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
            "born": self.born,
            **changes,
        }

    def close(self):
        """Closes the port."""
        self._server.shutdown()
        self._server.server_close()


class PlainEngine:
    """A target that takes heads of any number of fields, and answers at once.

    The server of the standard library takes a hundred fields only.
    """

    def __init__(self, name, service):
        self.name = name
        self.service = service
        self.zone = "za"
        self.born = int(time.time() * 1000)
        self.run_count = 0
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=512)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()

    entry = Engine.entry

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        received = b""
        try:
            while True:
                while (end := received.find(b"\r\n\r\n")) < 0:
                    data = connection.recv(65_536)
                    if not data:
                        return
                    received += data
                head = received[:end].lower() + b"\r\n"
                size = int(_find_field(head, b"content-length") or 0)
                received = received[end + 4 :]
                while len(received) < size:
                    received += connection.recv(65_536)
                received = received[size:]
                connection.sendall(self._answer(head))
        except OSError:
            return

    def _answer(self, head):
        request_id = _find_field(head, b"attempt-id")
        if _find_field(head, b"expect-instance") != self.name.encode():
            return (
                b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\n"
                b"Content-Length: 0\r\n\r\n" % self.name.encode()
            )
        self.run_count += 1
        return (
            b"HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nEngine-Stamp: stamp\r\n"
            b"Content-Length: 6\r\n\r\nbooked" % request_id
        )


def _find_field(head, name):
    start = head.find(b"\r\n" + name + b":")
    if start < 0:
        return b""
    start += len(name) + 3
    return head[start : head.index(b"\r\n", start)].strip()


def encode_request(
    path, request_id, body=b"{}", deadline_ms=10_000, headers=()
):
    """Returns the bytes of a client's request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        "Authorization: Token key-1",
        f"Content-Length: {len(body)}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def read_answer(connection, seconds):
    """Reads one answer.

    Returns:
        Status (0 for none), headers by lower-case name, the decoded body, and
        whether the answer is complete in the protocol.
    """
    connection.settimeout(seconds)
    stream = connection.makefile("rb")
    try:
        head = stream.readline()
        if not head:
            return 0, {}, b"", False
        status = int(head.split()[1])
        headers = {}
        while (line := stream.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        body = b""
        if headers.get("transfer-encoding") == "chunked":
            while True:
                line = stream.readline()
                if not line.endswith(b"\r\n"):
                    return status, headers, body, False
                size = int(line, 16)
                data = stream.read(size + 2)
                if len(data) < size + 2:
                    return status, headers, body + data[:size], False
                if not size:
                    return status, headers, body, True
                body += data[:-2]
        length = int(headers.get("content-length", 0))
        body = stream.read(length)
        return status, headers, body, len(body) == length
    except (OSError, ValueError):
        return 0, {}, b"", False


def run(case):
    """Runs `case()`; exits with 1 if it returns False, 2 if it cannot run."""
    # The processes end also when the time is over.
    signal.signal(signal.SIGTERM, lambda *unused: sys.exit(2))
    try:
        holds = case()
    except Exception as error:  # pylint: disable=broad-exception-caught
        print(f"the case could not run: {error!r}", file=sys.stderr)
        raise SystemExit(2) from error
    if holds is None:
        raise SystemExit(2)
    raise SystemExit(0 if holds else 1)
