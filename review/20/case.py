"""A crashing part comes in prompts of many parts; see claim.txt."""

import pathlib
import threading
import time

from standins4 import harness

FOLDER = pathlib.Path(__file__).parent
ZONES = ("falun", "mora", "rattvik")
ENGINES = 15
BACK_SECONDS = 2.5
CONTACT_SECONDS = 3.0
CRASHING_PART = "e4402b7d"
# The turns of a long conversation, besides the crashing part.
SHARED_PARTS = ",".join(f"{0x5c1e0000 + n:x}:40" for n in range(70))
REQUESTS = 12
PAUSE_SECONDS = 1.0
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
            harness.stream_soundly(engine, handler, 12, 0.02)
            return
        attempt = handler.headers["Attempt-Id"]
        self.arrivals.append((time.monotonic(), attempt))
        time.sleep(0.01)
        harness.begin_stream(engine, handler)
        engine.record.write(f"{engine.name} crashes on {attempt}")
        self.times.append(time.monotonic())
        engine.crash(BACK_SECONDS)
        handler.close_connection = True


def ask(case, number, attempt, part):
    """Sends a request of a long conversation with a part."""
    return harness.ask(
        case.instances[number % len(case.instances)],
        "/fraga/x",
        attempt,
        body=f"request {attempt}".encode(),
        is_engine=True,
        parts=f"{SHARED_PARTS},{part}:410",
    )


def send_sound_requests(case, is_stopped, counts):
    """Sends requests with the other parts until the stop."""

    def run(client):
        number = 0
        while not is_stopped.wait(0.15):
            number += 1
            answer = ask(case, client, f"s{client}x{number}", "91bd3f06")
            counts[answer.status == 200 and answer.is_complete] += 1

    for client in range(SOUND_CLIENTS):
        threading.Thread(target=run, args=(client,), daemon=True).start()


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
    for number in range(REQUESTS):
        if case.has_trouble:
            answer = ask(case, number, f"b{number}", CRASHING_PART)
            case.record.write(f"b{number}: {answer.describe()[:100]}")
        time.sleep(PAUSE_SECONDS)
    is_stopped.set()
    time.sleep(0.5)
    case.record.write(
        f"sound requests: {counts[True]} whole, {counts[False]} not"
    )
    if not counts[True]:
        raise harness.CannotRunError("no sound request was served")
    times = sorted(crashes.times)
    case.record.write(f"{len(times)} crashes")
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
