"""An engine writes noise behind an event; see claim.txt."""

import functools
import pathlib
import time

from standins4 import harness

FOLDER = pathlib.Path(__file__).parent
EVENTS = 12
GAP_SECONDS = 0.03
NOISE = b"~ no answer ~\n\n" * 200
NOISE_SECONDS = 20.0
REQUESTS = 3
# The retries of an instance need a whole window of the retry budget.
SETTLE_SECONDS = 11.0
# How many sound events precede the noise, and whether the stream has chunks.
VARIANTS = {
    "noise behind the first event, no chunks": (1, False),
    "noise behind the sixth event, no chunks": (6, False),
    "noise behind the sixth event, in its chunk": (6, True),
}


def break_down(engine, handler, sound_events, is_chunked):
    """Sends some events; the last one is followed by noise without end."""
    harness.begin_stream(engine, handler, is_chunked)

    def write(data):
        if is_chunked:
            harness.write_chunk(handler, data)
        else:
            handler.wfile.write(data)

    for number in range(sound_events - 1):
        time.sleep(GAP_SECONDS)
        write(harness.make_event(number))
    time.sleep(GAP_SECONDS)
    write(harness.make_event(sound_events - 1) + NOISE)
    engine.record.write(
        f"{engine.name} writes event {sound_events - 1} and noise"
    )
    end = time.monotonic() + NOISE_SECONDS
    while time.monotonic() < end:
        write(NOISE)
        time.sleep(0.01)


def run(case):
    """Plays the case; returns the streams that lack a piece."""
    faulty = {}

    def answer(engine, handler):
        # The first engine that gets the attempt is the faulty one.
        attempt = handler.headers["Attempt-Id"]
        variant = faulty.pop(attempt, None)
        if variant is not None and case.has_trouble:
            break_down(engine, handler, *variant)
        else:
            harness.stream_soundly(engine, handler, EVENTS, GAP_SECONDS)

    for number in range(4):
        case.add_engine(f"i-{number}", "sprakverk", answer)
    case.start(settle_seconds=SETTLE_SECONDS)
    broken = []
    whole = 0
    ask = functools.partial(
        harness.ask, path="/fraga/x", body=b"which duties?", is_engine=True
    )
    for name, variant in VARIANTS.items():
        for number in range(REQUESTS):
            attempt = f"a{len(faulty)}{variant[0]}{int(variant[1])}{number}"
            faulty[attempt] = variant
            instance = case.instances[number % len(case.instances)]
            result = ask(instance, attempt=attempt)
            faulty.pop(attempt, None)
            ids = result.event_ids()
            text = f"{attempt} ({name}): {result.status}, events {ids}"
            text += ", complete" if result.is_complete else ", cut"
            case.record.write(text)
            is_success = result.status == 200 and result.is_complete
            whole += is_success and ids == list(range(EVENTS))
            missing = sorted(set(range(ids[-1] if ids else 0)) - set(ids))
            if result.status == 200 and (missing or is_success):
                if missing or ids != list(range(EVENTS)):
                    broken.append(f"ORDER: {text}, missing {missing}")
    if not case.has_trouble and whole < len(VARIANTS) * REQUESTS:
        raise harness.CannotRunError("a sound stream was not whole")
    return broken


if __name__ == "__main__":
    harness.play(FOLDER, run, instances=3, zones=("falun", "mora", "rattvik"))
