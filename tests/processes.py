"""Starts and stops real processes for tests."""

import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import urllib3

from catkintrail import objects

OPERATOR_KEY = "test-operator-key"
CALLER_KEY = "test-caller-key"
WAIT_SECONDS = 60.0
HTTP = urllib3.PoolManager(retries=False, maxsize=32)

OBJECTS = {
    "organisations": {
        "guild": {
            "keys": [{"name": "a", "sha256": objects.hash_key(CALLER_KEY)}]
        },
        "rival": {
            "keys": [{"name": "b", "sha256": objects.hash_key("rival-key")}]
        },
    },
    "models": {"m": {"context_tokens": 100_000, "engine_kv_tokens": 40_000}},
    "services": {"s": {}},
    "routes": {
        "ask": {"model": "m"},
        "book": {"service": "s"},
        "private": {"model": "m", "organisations": ["guild"]},
    },
}


# Below the operating system's range of ephemeral ports: otherwise an outgoing
# connection could take a port between its choice and its use.
PORT_RANGE = range(15_000, 32_000)
_next_port_index = itertools.count(os.getpid() * 101)


def free_ports(count):
    """Returns local TCP ports on which no process listens."""
    ports = []
    while len(ports) < count:
        port = PORT_RANGE[next(_next_port_index) % len(PORT_RANGE)]
        try:
            socket.create_server(("127.0.0.1", port)).close()
        except OSError:
            continue
        ports.append(port)
    return ports


def wait_until(condition, description):
    deadline = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"timed out waiting for: {description}")


def get(url, **arguments):
    """Returns the response to a GET request, or None where there is none."""
    try:
        return HTTP.request("GET", url, timeout=5.0, **arguments)
    except urllib3.exceptions.HTTPError:
        return None


class Fleet:
    """Entry instances with stand-ins for the platform, engines and a service.

    Instances x1 and x2 run in zone x, y1 runs in zone y; all targets are in
    zone x.
    """

    def __init__(self, engines=2, speed=4.0, tls=None):
        self.directory = tempfile.TemporaryDirectory()
        self.processes = {}
        self.tls = tls or {}
        names = ["x1", "x2", "y1"]
        engine_names = [f"engine{n}" for n in range(engines)]
        ports = free_ports(2 + 2 * len(names) + engines)
        self.platform = f"http://127.0.0.1:{ports.pop()}"
        self.service = f"http://127.0.0.1:{ports.pop()}"
        self.engines = {n: f"127.0.0.1:{ports.pop()}" for n in engine_names}
        self.ports = {n: (ports.pop(), ports.pop()) for n in names}
        self.urls = {n: f"http://127.0.0.1:{self.ports[n][0]}" for n in names}
        targets = [
            {"name": n, "zone": "x", "region": "r", "serves": "m", "address": a}
            for n, a in self.engines.items()
        ]
        address = self.service.removeprefix("http://")
        targets.append(
            {
                "name": "s1",
                "zone": "x",
                "region": "r",
                "serves": "s",
                "address": address,
            }
        )
        path = self.write_json("targets.json", {"targets": targets})
        self.start_process(
            "platform",
            "standin",
            "platform",
            "--port",
            _port_of(self.platform),
            "--targets",
            path,
            "--lag",
            "0.2",
        )
        for name, address in self.engines.items():
            self.start_process(
                name,
                "standin",
                "engine",
                "--name",
                name,
                "--port",
                _port_of(address),
                "--speed",
                str(speed),
                "--kv-tokens",
                "40000",
            )
        self.start_process(
            "service",
            "standin",
            "service",
            "--name",
            "s1",
            "--port",
            _port_of(self.service),
        )
        for name in names:
            self.start_entry(name)

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait()
        self.directory.cleanup()

    def write_json(self, name, data):
        path = pathlib.Path(self.directory.name) / name
        path.write_text(json.dumps(data))
        return str(path)

    def make_settings(self, name, **changes):
        port, peer_port = self.ports[name]
        seeds = [f"127.0.0.1:{peers}" for _, peers in self.ports.values()]
        data = {
            "instance": {
                "name": name,
                "availability_zone": name[0],
                "region": "r",
                "address": "127.0.0.1",
            },
            "callers": {"port": port, "threads": 24},
            "peers": {
                "port": peer_port,
                "secret": "0123456789abcdef",
                "seeds": seeds,
                **self.tls,
            },
            "platform": {"url": self.platform, "timeout_seconds": 1.0},
            "operator_key_sha256": objects.hash_key(OPERATOR_KEY),
            "drain_seconds": 30.0,
        }
        return {**data, **changes}

    def start_entry(self, name, **changes):
        path = self.write_json(
            f"{name}.json", self.make_settings(name, **changes)
        )
        return self.start_process(name, "entry", "--settings", path)

    def start_process(self, name, *arguments):
        log = open(pathlib.Path(self.directory.name) / f"{name}.log", "ab")
        with log:
            process = subprocess.Popen(
                [sys.executable, "-m", "catkintrail", *arguments],
                stdout=log,
                stderr=log,
            )
        self.processes[name] = process
        return process

    def read_log(self, name):
        return (pathlib.Path(self.directory.name) / f"{name}.log").read_text()

    def kill(self, name, signal_number=signal.SIGKILL):
        os.kill(self.processes[name].pid, signal_number)
        if signal_number == signal.SIGKILL:
            self.processes[name].wait()

    def prepare(self):
        """Publishes the objects and waits until every zone serves requests."""
        wait_until(lambda: all(map(self.is_ready, self.urls)), "ready")
        edits = [
            {"kind": kind, "name": name, "value": value}
            for kind, records in OBJECTS.items()
            for name, value in records.items()
        ]
        response = self.admin("POST", "changes", {"edits": edits})
        assert response.status == 200, response.data
        wait_until(
            lambda: all(s.get("generation") == 1 for s in self.read_statuses()),
            "objects in force",
        )
        wait_until(self.lists_all_targets, "targets")
        wait_until(
            lambda: all(len(s["members"]) == 3 for s in self.read_statuses()),
            "members",
        )
        # Zone y has no targets: it redirects requests to zone x only after it
        # received the load summaries of that zone's pools.
        wait_until(self.is_served_everywhere, "a request through each zone")
        return self

    def is_served_everywhere(self):
        for name in self.urls:
            response = self.open_completion(name, max_tokens=1)
            response.read()
            if response.status != 200:
                return False
        return True

    def is_ready(self, name):
        response = get(f"{self.urls[name]}/readyz")
        return response is not None and response.status == 200

    def admin(self, method, path, body=None, name="x1", key=OPERATOR_KEY):
        return HTTP.request(
            method,
            f"{self.urls[name]}/admin/{path}",
            body=None if body is None else json.dumps(body),
            headers={"Authorization": f"Bearer {key}"},
            timeout=10.0,
        )

    def read_statuses(self):
        return [
            self.admin("GET", "status", name=name).json() for name in self.urls
        ]

    def lists_all_targets(self):
        seen = {
            target["target"]
            for status in self.read_statuses()
            for pool in status["pools"]
            for target in pool["targets"]
        }
        return seen == {*self.engines, "s1"}

    def find_pool_owner(self, serves="m"):
        for status in self.read_statuses():
            if status["availability_zone"] != "x":
                continue
            for pool in status["pools"]:
                if pool["serves"] == serves and pool["targets"]:
                    return status["instance"]
        return None

    def open_completion(
        self, name, prompt="hello " * 50, max_tokens=20, **headers
    ):
        """Starts a streamed completion and returns the open response."""
        return HTTP.request(
            "POST",
            f"{self.urls[name]}/v1/completions",
            body=json.dumps(
                {
                    "model": "ask",
                    "prompt": prompt,
                    "max_tokens": max_tokens,
                    "stream": True,
                }
            ),
            headers={"Authorization": f"Bearer {CALLER_KEY}", **headers},
            preload_content=False,
            timeout=60.0,
        )

    def make_booking(self, name, key, **headers):
        return HTTP.request(
            "POST",
            f"{self.urls[name]}/services/book/x",
            body=b"{}",
            headers={
                "Authorization": f"Bearer {CALLER_KEY}",
                "Idempotency-Key": key,
                **headers,
            },
            timeout=30.0,
        )

    def count_executions(self, key):
        response = HTTP.request("GET", f"{self.service}/standin/executions")
        return response.json().get(key, 0)

    def set_faults(self, **faults):
        HTTP.request(
            "POST", f"{self.platform}/standin/faults", body=json.dumps(faults)
        )


def read_stream(response):
    """Returns the text of a stream and whether the stream was complete."""
    text, is_complete = "", False
    for line in response:
        if line.startswith(b"data: [DONE]"):
            is_complete = True
        elif line.startswith(b"data: "):
            data = json.loads(line[6:])
            if "choices" in data:
                text += data["choices"][0]["text"]
    return text, is_complete


def is_continuous(text):
    """Returns whether the stand-in engine's numbered words have no gap."""
    numbers = [int(word.split("-")[1]) for word in text.split()]
    return numbers == list(range(len(numbers)))


def _port_of(address):
    return address.rpartition(":")[2]
