"""A frozen instance brings back an engine that has left meanwhile.

While one of three instances stands still, a target joins and leaves again. When
it wakes, it reads the old event and tells it to the others, which have known
better. They send requests to the target again, and nothing ends that.
"""

import os
import pathlib
import signal
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

import harness  # pylint: disable=wrong-import-position

FREEZE_SECONDS = 4.0
JOIN_SECONDS = 0.2
LISTED_SECONDS = 0.6
DRAIN_SECONDS = 2.0
AFTER_SECONDS = 10.0
CONTACT_SECONDS = 3.0
SENDERS_PER_INSTANCE = 2
PAUSE_SECONDS = 0.02


class Load:
    """Ordinary requests at instances, one after the other in each thread.

    Attributes:
        sent_at: When each request was sent, in monotonic seconds.
    """

    def __init__(self, instances):
        self.sent_at = {}
        self.is_stopped = False
        self.threads = [
            threading.Thread(target=self.run, args=(instance, number))
            for instance in instances
            for number in range(SENDERS_PER_INSTANCE)
        ]
        for thread in self.threads:
            thread.start()

    def run(self, instance, number):
        count = 0
        while not self.is_stopped:
            count += 1
            attempt = f"{instance.name}-{number}-{count}"
            self.sent_at[attempt] = time.monotonic()
            harness.ask(
                instance.front, "/las/a", attempt, deadline_ms=1500,
                method="GET",
            )
            time.sleep(PAUSE_SECONDS)

    def stop(self):
        self.is_stopped = True
        for thread in self.threads:
            thread.join()


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
        load = Load(others)
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
        return judge(guest, load, removed_at, record)
    finally:
        if load is not None:
            load.stop()
        fleet.close()


def judge(guest, load, removed_at, record):
    """Returns the exit status: the rule allows no late request at all."""
    bound = removed_at + DRAIN_SECONDS
    late = []
    for at, attempt in guest.runs:
        record.write(
            f"t-new ran {attempt}, {at - removed_at:.3f} s after its removal,"
            f" sent by its client {load.sent_at[attempt] - removed_at:.3f} s"
        )
        if at > bound and load.sent_at[attempt] > bound:
            late.append(at - removed_at)
    record.say(f"t-new ran {len(guest.runs)} requests")
    if late:
        record.say(
            f"BROKEN: {len(late)} of them {min(late):.2f} to {max(late):.2f} s"
            f" after its removal; drain-ms is {DRAIN_SECONDS:.1f} s"
        )
        return harness.BROKEN
    record.say("held")
    return harness.HELD


if __name__ == "__main__":
    sys.exit(
        run(
            os.environ.get("TROUBLE", "1") != "0",
            harness.Record(HERE / "record.txt"),
        )
    )
