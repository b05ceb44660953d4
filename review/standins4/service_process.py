"""A plain service that is a process of its own, so that it can be killed.

Arguments: its id, its port. It answers each request in two halves, with neither
a length nor chunks, and prints the time of its start and what it runs.
"""

import sys
import threading
import time

from standins4 import harness

HALF_SECONDS = 0.3


class _Printer:
    """Prints what the service records."""

    def __init__(self):
        self._lock = threading.Lock()

    def write(self, text):
        with self._lock:
            print(text, flush=True)


def make_body(attempt):
    """Returns the whole answer to an attempt."""
    return f"booked: {attempt}\n".ljust(800, ".").encode()


def answer(engine, handler):
    """Answers in two halves; the end of the connection ends the answer."""
    body = make_body(handler.headers["Attempt-Id"])
    handler.send_response(200)
    for name, value in engine.head(handler):
        handler.send_header(name, value)
    handler.end_headers()
    handler.close_connection = True
    handler.wfile.write(body[:400])
    time.sleep(HALF_SECONDS)
    handler.wfile.write(body[400:])


def main():
    name, port = sys.argv[1], int(sys.argv[2])
    engine = harness.Engine(name, "rotatjanst", answer, _Printer(), port=port)
    print(engine.born, flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
