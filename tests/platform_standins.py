"""The users' platform in small: a store and engines, over loopback HTTP."""

import http.server
import json
import threading
import time
import urllib.parse

SETTINGS = """
node = "{name}"
ip = "{ip}"
zone = "{zone}"
internal-ports = [{udp}, {udp}]
seeds = {seeds}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
memory-mb = 300
max-fds = 4000
[bounds]
grace-s = 8
drain-ms = 2000
config-apply-ms = 2000
strict-revoke = true
revoke-ms = 5000
retry-budget-ratio = 0.2
retry-after-s = 0
budget-extra = {extra}
budget-window-s = 10
free-ms = 4000
hold-max-ms = 20000
[platform]
address = "{store}"
"""
PORT_NAMES = ("front", "ready", "control", "udp")
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


def make_settings(name, ip, ports, seeds, store, zone="za", extra=100):
    """The platform's settings file of an instance.

    `ports` has a number for each of PORT_NAMES, `seeds` addresses of instances.
    """
    return SETTINGS.format(
        name=name,
        ip=ip,
        zone=zone,
        seeds=json.dumps([f"{seed}:{ports['control']}" for seed in seeds]),
        extra=extra,
        store=store,
        **ports,
    )


def make_spec(version=1, keys=("key-1",), timeout_ms=10_000):
    """The operator's configuration."""
    return {
        "version": version,
        "routes": [
            {
                "name": "ask",
                "host": "wells.example",
                "path-prefix": "/ask/",
                "kind": "streaming",
                "timeout-ms": timeout_ms,
                "goal-ms": 300,
                "priority": 1,
                "service": "engines",
                "max-attempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gap-target-ms": 200,
            },
            {
                "name": "book",
                "host": "wells.example",
                "path-prefix": "/book/",
                "kind": "non_idempotent",
                "timeout-ms": 800,
                "split": [{"service": "desk", "weight": 100}],
                "max-attempts": 1,
            },
        ],
        "services": [
            {
                "name": "engines",
                "health-path": "/health",
                "max-conns": 364,
                "engine": ENGINE_FIGURES,
            },
            {"name": "desk", "health-path": "/health", "max-conns": 110},
        ],
        "limits": {"max-header-bytes": 16_384, "idle-timeout-ms": 15_000},
        "tenants": [{"name": "guild", "api-keys": list(keys), "priority": 1}],
    }


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        pass


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, format, *args):  # pylint: disable=redefined-builtin
        pass

    def reply(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))


def _start(handler, address="127.0.0.1"):
    server = _Server((address, 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """Objects with revisions, lists and watches.

    Attributes:
        status: Answer of every call; 200 for the store as it should be.
        calls: Paths that were asked for.
        first_revision: Older changes are forgotten.
    """

    def __init__(self):
        self.status = 200
        self.calls = []
        self.first_revision = 0
        self.page = 500
        self._revision = 1
        self._objects = {}
        self._changes = []
        self._news = threading.Condition()
        store = self

        class Handler(_Handler):

            def do_GET(self):  # pylint: disable=invalid-name
                store.answer(self)

        self.server = _start(Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"

    def put(self, kind, name, spec):
        with self._news:
            self._revision += 1
            item = {
                "metadata": {"name": name, "revision": self._revision},
                "spec": spec,
            }
            self._objects[kind, name] = item
            self._changes.append((self._revision, kind, item, False))
            self._news.notify_all()

    def remove(self, kind, name):
        with self._news:
            self._revision += 1
            item = self._objects.pop((kind, name))
            self._changes.append((self._revision, kind, item, True))
            self._news.notify_all()

    def forget(self):
        with self._news:
            self.first_revision = self._revision + 1
            self._revision += 1
            self._news.notify_all()

    def answer(self, handler):
        self.calls.append(handler.path)
        if self.status != 200:
            handler.reply(self.status)
            return
        path, _, query = handler.path.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        parts = path.split("/")[3:]
        if "watch" in arguments:
            status, body = self._watch(
                parts[0],
                int(arguments["watch"]),
                int(arguments["wait-ms"]) / 1000.0,
            )
        else:
            status, body = self._list(parts[0], arguments.get("after-rev", ""))
        handler.reply(status, json.dumps(body).encode())

    def _list(self, kind, after):
        with self._news:
            items = [
                item
                for (its_kind, name), item in sorted(self._objects.items())
                if its_kind == kind and name > after
            ]
            return 200, {
                "items": items[: self.page],
                "has-more": len(items) > self.page,
                "as-of": self._revision,
            }

    def _watch(self, kind, revision, seconds):
        end = time.monotonic() + seconds
        with self._news:
            while True:
                if revision < self.first_revision:
                    return 410, {}
                events = [
                    {"object": item, "removed": is_removed}
                    for number, its_kind, item, is_removed in self._changes
                    if number > revision and its_kind == kind
                ]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"events": events, "as-of": self._revision}
                self._news.wait(left)

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Engine:
    """A target: streams events, or answers with a body.

    Attributes:
        events: Events of each stream.
        gap: Seconds between events.
        cut_after: Streams break off after this many events; -1 for never.
        runs: Request ids that it ran, in order.
        orders: Orders that it got.
        active: Requests that it is at work on.
    """

    def __init__(self, name, service="engines"):
        self.name = name
        self.service = service
        self.events = 3
        self.gap = 0.01
        self.delay = 0.0
        self.cut_after = -1
        self.refuses = False
        self.runs = []
        self.orders = []
        self.active = 0
        engine = self

        class Handler(_Handler):

            def do_POST(self):  # pylint: disable=invalid-name
                engine.answer(self)

            do_GET = do_POST

        self.server = _start(Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"

    def entry(self, **changes):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "za",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
            "born": 1_700_000_000_000,
            **changes,
        }

    def answer(self, handler):
        body = handler.read_body()
        if handler.path == "/api/order":
            self.orders.append(json.loads(body))
            handler.reply(200, b'{"free":1}')
            return
        request_id = handler.headers["Attempt-Id"]
        headers = [("Attempt-Id", request_id), ("Engine-Stamp", self.name)]
        if handler.headers["Expect-Instance"] != self.name:
            handler.reply(421, b"", [("Instance-Id", self.name)])
            return
        if self.refuses:
            handler.reply(503, b"", headers + [("Not-Executed", "1")])
            return
        self.runs.append((request_id, handler.headers["Tenant"]))
        self.active += 1
        try:
            time.sleep(self.delay)
            if self.service == "engines":
                self._stream(handler, headers)
            else:
                handler.reply(200, b"booked", headers)
        finally:
            self.active -= 1

    def _stream(self, handler, headers):
        handler.send_response(200)
        for name, value in headers:
            handler.send_header(name, value)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        handler.end_headers()
        first = int(handler.headers.get("Last-Event-Id", -1)) + 1
        for sent, number in enumerate(range(first, self.events)):
            if sent == self.cut_after:
                handler.close_connection = True
                return
            time.sleep(self.gap)
            data = b"id: %d\ndata: x\n\n" % number
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        handler.wfile.write(b"0\r\n\r\n")

    def close(self):
        self.server.shutdown()
        self.server.server_close()
