"""Restarts an instance while clients send large bodies; see claim.txt."""

import collections
import hashlib
import pathlib
import signal
import threading
import time

from standins4 import harness

FOLDER = pathlib.Path(__file__).parent
MAX_BODY_BYTES = 8 << 20
BODY = b"a booking with a long list of duties\n" * 117_000
CLIENTS = 8
RESTARTS = 5
RESTART_SECONDS = 0.5
PAUSE_SECONDS = 4.0
# A client that is refused a connection opens another one.
RECONNECT_SECONDS = 0.04
DEADLINE_SECONDS = 1.5


class Clients:
    """Clients that send bookings with large bodies to one instance."""

    def __init__(self, case):
        self.case = case
        self.instance = case.instances[0]
        self.statuses = collections.Counter()
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(CLIENTS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self):
        self._is_stopped.set()
        for thread in self._threads:
            thread.join(5.0)

    def _run(self, client):
        for number in range(100_000):
            if self._is_stopped.wait(0.1):
                return
            self._book(f"c{client}-{number}")

    def _book(self, attempt):
        """Sends a booking; a refused connection is tried again."""
        end = time.monotonic() + DEADLINE_SECONDS
        while time.monotonic() < end and not self._is_stopped.is_set():
            try:
                connection = self.instance.connect()
            except OSError:
                time.sleep(RECONNECT_SECONDS)
                continue
            with connection:
                self._exchange(connection, attempt)
            return

    def _exchange(self, connection, attempt):
        request = harness.make_request(
            "/passbokning/x", attempt, body=BODY, deadline_ms=1_500
        )
        connection.settimeout(DEADLINE_SECONDS)
        try:
            connection.sendall(request)
        except OSError:
            # It may have been answered early.
            pass
        answer = harness.read_answer(connection, DEADLINE_SECONDS)
        self.statuses[answer.status] += 1
        self.case.record.write(
            f"{attempt}: sent {len(BODY)} bytes, answered {answer.status}"
        )
        if answer.status == 503:
            self._is_stopped.wait(float(answer.headers["retry-after"]))


def run(case):
    """Plays the case; returns the runs with another body."""
    expected = hashlib.sha256(BODY).digest()
    changed = []

    def book(engine, handler):
        if hashlib.sha256(handler.body).digest() != expected:
            attempt = handler.headers["Attempt-Id"]
            changed.append(
                f"UNASKED: {engine.name} ran {attempt} with a body of"
                f" {len(handler.body)} bytes; the client sent {len(BODY)}"
            )
            case.record.write(changed[-1])
        harness.answer_plain(engine, handler)

    for number in range(3):
        case.add_engine(f"r-{number}", "rotatjanst", book)
    configuration = harness.make_configuration()
    configuration["limits"]["max-body-bytes"] = MAX_BODY_BYTES
    case.start(configuration)
    clients = Clients(case)
    time.sleep(PAUSE_SECONDS)
    instance = case.instances[0]
    for _ in range(RESTARTS):
        if case.has_trouble:
            instance.send_signal(signal.SIGKILL)
            instance.process.wait()
            time.sleep(RESTART_SECONDS)
            instance.start()
        time.sleep(PAUSE_SECONDS)
    clients.stop()
    case.record.write(f"answers by status: {dict(clients.statuses)}")
    if not clients.statuses[200]:
        raise harness.CannotRunError("no booking was answered with 200")
    return changed


if __name__ == "__main__":
    harness.play(FOLDER, run, instances=3, zones=("falun", "mora", "rattvik"))
