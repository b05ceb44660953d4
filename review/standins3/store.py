"""A stand-in of the platform's store, after PROTOCOL.md.

It keeps objects with revisions, and serves lists in pages and watches. Writes
of the system create and delete objects.
"""

import http.server
import json
import threading
import time
import urllib.parse

PAGE_SIZE = 500
POLL_SECONDS = 0.02


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 64

    def handle_error(self, request, client_address):
        pass


class Store:
    """The store.

    Attributes:
        address: `IP:port` of the store.
    """

    def __init__(self):
        self._revision = 1
        self._objects = {}
        self._changes = []
        self._changed = threading.Condition(threading.RLock())
        store = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Serves the calls of one connection."""

            protocol_version = "HTTP/1.1"

            def log_message(self, format, *args):  # pylint: disable=redefined-builtin
                pass

            def do_GET(self):  # pylint: disable=invalid-name
                """Serves a call."""
                content = self.rfile.read(
                    int(self.headers.get("Content-Length", 0))
                )
                status, body = store.answer(self.command, self.path, content)
                data = json.dumps(body).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Store-Era", "1")
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            do_POST = do_DELETE = do_GET

        self._server = _Server(("127.0.0.1", 0), Handler)
        threading.Thread(
            target=self._server.serve_forever, args=(POLL_SECONDS,), daemon=True
        ).start()
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def put(self, kind, name, spec):
        """Writes an object."""
        with self._changed:
            self._revision += 1
            item = {
                "metadata": {"name": name, "revision": self._revision},
                "spec": spec,
            }
            self._objects[kind, name] = item
            self._changes.append((self._revision, kind, item, False))
            self._changed.notify_all()

    def remove(self, kind, name):
        """Removes an object, if there is one."""
        with self._changed:
            item = self._objects.pop((kind, name), None)
            if item is not None:
                self._revision += 1
                self._changes.append((self._revision, kind, item, True))
                self._changed.notify_all()

    def answer(self, method, path, content):
        """Returns the status and the body of the answer to a call."""
        path, _, query = path.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query))
        kind, *names = path.split("/")[3:]
        if method == "POST":
            return self._create(kind, json.loads(content))
        if method == "DELETE":
            self.remove(kind, names[0])
            return 200, {}
        if "watch" in arguments:
            return self._watch(
                kind,
                int(arguments["watch"]),
                int(arguments["wait-ms"]) / 1000.0,
            )
        with self._changed:
            if names:
                item = self._objects.get((kind, names[0]))
                return (404, {}) if item is None else (200, item)
            return self._list(kind, arguments.get("after-rev", ""))

    def _create(self, kind, item):
        name = item["metadata"]["name"]
        with self._changed:
            if (kind, name) in self._objects:
                return 409, self._objects[kind, name]
            self.put(kind, name, item["spec"])
            return 200, self._objects[kind, name]

    def _list(self, kind, after):
        items = [
            item
            for (other, name), item in sorted(self._objects.items())
            if other == kind and name > after
        ]
        return 200, {
            "items": items[:PAGE_SIZE],
            "has-more": len(items) > PAGE_SIZE,
            "as-of": self._revision,
        }

    def _watch(self, kind, revision, seconds):
        deadline = time.monotonic() + seconds
        with self._changed:
            while True:
                if revision > self._revision:
                    return 410, {}
                events = [
                    {"object": item, "removed": is_removed}
                    for number, other, item, is_removed in self._changes
                    if number > revision and other == kind
                ]
                remaining = deadline - time.monotonic()
                if events or remaining <= 0:
                    return 200, {"events": events, "as-of": self._revision}
                self._changed.wait(remaining)

    def close(self):
        """Closes the port."""
        self._server.shutdown()
        self._server.server_close()
