"""Requests with a crashing part come several at once; see claim.txt."""

import pathlib
import threading
import time

from standins4 import harness

FOLDER = pathlib.Path(__file__).parent
ZONES = ("falun", "mora", "rattvik")
ENGINES = 12
BACK_SECONDS = 2.5
CONTACT_SECONDS = 3.0
CRASHING_PART = "e4402b7d"
SHARED_PARTS = "5c1e07a2:40"
# Requests that come at the same time, and the time between such bursts.
BURST = 3
BURSTS = 4
BURST_SECONDS = 5.0
ALLOWED_ARRIVALS = 3
SOUND_CLIENTS = 6
SETTLE_SECONDS = 11.0


class Crashes:
    """Arrivals of requests with the crashing part, and the crashes."""

    def __init__(self):
        self.arrivals = []
        self.times = []

    def answer(self, engine, handler):
        """Answers like an engine that crashes when it begins to write."""
        if f"{CRASHING_PART}:" not in handler.headers["Prompt-Prefix"]:
            harness.stream_soundly(engine, handler, 6, 0.02)
            return
        attempt = handler.headers["Attempt-Id"]
        self.arrivals.append((time.monotonic(), attempt))
        time.sleep(0.01)
        harness.begin_stream(engine, handler)
        engine.record.write(f"{engine.name} crashes on {attempt}")
        self.times.append(time.monotonic())
        engine.crash(BACK_SECONDS)
        handler.close_connection = True


def send_sound_requests(case, is_stopped, counts):
    """Sends requests with the other parts until the stop."""

    def run(client):
        instance = case.instances[client % len(case.instances)]
        number = 0
        while not is_stopped.wait(0.15):
            number += 1
            answer = harness.ask(
                instance,
                "/fraga/x",
                f"s{client}x{number}",
                body=b"sound %d" % number,
                is_engine=True,
                parts=f"{SHARED_PARTS},91bd3f06:410",
            )
            is_whole = answer.status == 200 and answer.is_complete
            counts[is_whole] += 1

    for client in range(SOUND_CLIENTS):
        threading.Thread(target=run, args=(client,), daemon=True).start()


def send_burst(case, burst):
    """Sends one request with the crashing part to each instance at once."""
    barrier = threading.Barrier(BURST)

    def run(number):
        attempt = f"b{burst}x{number}"
        barrier.wait()
        answer = harness.ask(
            case.instances[number % len(case.instances)],
            "/fraga/x",
            attempt,
            body=f"request {attempt}".encode(),
            is_engine=True,
            parts=f"{SHARED_PARTS},{CRASHING_PART}:410",
        )
        case.record.write(f"{attempt}: answered {answer.describe()[:100]}")

    threads = [
        threading.Thread(target=run, args=(number,), daemon=True)
        for number in range(BURST)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(12.0)


def run(case):
    """Plays the case; returns the requests that the rule does not allow."""
    crashes = Crashes()
    for number in range(ENGINES):
        case.add_engine(
            f"i-{number:02}", "sprakverk", crashes.answer, ZONES[number % 3]
        )
    case.start(settle_seconds=SETTLE_SECONDS)
    is_stopped = threading.Event()
    counts = {True: 0, False: 0}
    send_sound_requests(case, is_stopped, counts)
    time.sleep(2.0)
    for burst in range(BURSTS):
        began_at = time.monotonic()
        if case.has_trouble:
            send_burst(case, burst)
        time.sleep(max(0.0, began_at + BURST_SECONDS - time.monotonic()))
    is_stopped.set()
    time.sleep(0.5)
    case.record.write(
        f"sound requests: {counts[True]} whole, {counts[False]} not"
    )
    if not counts[True]:
        raise harness.CannotRunError("no sound request was served")
    times = sorted(crashes.times)
    if len(times) < 5:
        return []
    late = [
        (arrived_at - times[4], attempt)
        for arrived_at, attempt in sorted(crashes.arrivals)
        if arrived_at > times[4] + CONTACT_SECONDS
    ]
    for after, attempt in late:
        case.record.write(
            f"{attempt} reached an engine {after:.3f} s after the fifth crash"
        )
    if len(late) <= ALLOWED_ARRIVALS:
        return []
    return [
        f"BUDGET: {len(late)} requests with the part reached engines later than"
        f" {CONTACT_SECONDS} s after the fifth crash; {ALLOWED_ARRIVALS} may"
    ]


if __name__ == "__main__":
    harness.play(FOLDER, run, instances=3, zones=ZONES)
