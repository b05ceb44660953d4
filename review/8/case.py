"""A frozen instance brings back an engine that has left meanwhile.

While one of three instances stands still, a target joins and leaves again. When
it wakes, it reads the old event and tells it to the others, which have known
better. They send requests to the target again, and nothing ends that.
"""

import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

import harness  # pylint: disable=wrong-import-position
import late_requests  # pylint: disable=wrong-import-position

FREEZE_SECONDS = 4.0
JOIN_SECONDS = 0.2
LISTED_SECONDS = 0.6
DRAIN_SECONDS = 2.0
AFTER_SECONDS = 10.0
CONTACT_SECONDS = 3.0
SENDERS_PER_INSTANCE = 2
DEADLINE_MS = 1_500


def run(has_trouble, record):
    """Plays the case; returns the exit status."""
    store = harness.Store()
    store.put("config", "main", harness.make_configuration())
    for number in (1, 2, 3):
        desk = harness.Target(f"t-{number}", "rotatjanst", slots=6)
        store.put("servers", desk.name, desk.entry())
    fleet = harness.Fleet(store, ["falun", "mora", "rattvik"])
    load = None
    try:
        if not fleet.start():
            record.say("the instances did not become ready")
            return harness.NOT_RUN
        time.sleep(CONTACT_SECONDS + 1.0)
        frozen, *others = fleet.instances
        load = late_requests.Load(others, SENDERS_PER_INSTANCE, DEADLINE_MS)
        time.sleep(1.0)
        frozen_at = time.monotonic()
        if has_trouble:
            frozen.signal(signal.SIGSTOP)
            record.say(f"{frozen.name} stands still")
        time.sleep(JOIN_SECONDS)
        # It never reports that it drains: its entry is removed, and it goes on
        # serving to the end of the run.
        guest = harness.Target("t-new", "rotatjanst", slots=6)
        store.put("servers", guest.name, guest.entry())
        record.say("t-new is listed")
        time.sleep(LISTED_SECONDS)
        store.remove("servers", guest.name)
        removed_at = time.monotonic()
        record.say("the entry of t-new is removed")
        time.sleep(max(0.0, frozen_at + FREEZE_SECONDS - time.monotonic()))
        if has_trouble:
            frozen.signal(signal.SIGCONT)
            record.say(f"{frozen.name} goes on")
        time.sleep(AFTER_SECONDS)
        load.stop()
        return late_requests.judge(
            guest, load, removed_at, DRAIN_SECONDS, record
        )
    finally:
        if load is not None:
            load.stop()
        fleet.close()


if __name__ == "__main__":
    harness.main(run, HERE)
