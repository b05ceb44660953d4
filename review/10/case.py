"""An instance that starts while a target leaves brings it back for all.

The list of the servers has two pages. A target of the first page is removed
while the second page is on its way. The instance takes the target for present
and its position in the history for that of the second page, so that it never
reads the removal; it tells the target to the others too.
"""

import pathlib
import sys
import threading
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

import harness  # pylint: disable=wrong-import-position
import late_requests  # pylint: disable=wrong-import-position

PAGE_SIZE = 50
ENGINES = 57
# One retransmission on the way of an answer.
LATE_SECONDS = 0.2
DRAIN_SECONDS = 3.0
CONTACT_SECONDS = 4.0
LOAD_SECONDS = 6.0
DEADLINE_MS = 1_645


class WatchedStore(harness.Store):
    """A store that says when a first page of the servers has been read."""

    def __init__(self):
        super().__init__(PAGE_SIZE)
        self.first_page_read = threading.Event()

    def handle(self, method, path, content):
        answer = super().handle(method, path, content)
        is_list = method == "GET" and path.startswith("/api/objects/servers")
        if is_list and "watch=" not in path and answer[1].get("has-more"):
            self.first_page_read.set()
        return answer


def run(has_trouble, record):
    """Plays the case; returns the exit status."""
    store = WatchedStore()
    store.put("config", "main", harness.make_configuration())
    targets = [
        harness.Target(f"a-{n}", "rotatjanst", slots=6) for n in range(3)
    ]
    targets += [
        harness.Target(f"e-{n:02}", "sprakverk", slots=12)
        for n in range(ENGINES)
    ]
    for target in targets:
        store.put("servers", target.name, target.entry())
    leaving = targets[2]
    fleet = harness.Fleet(
        store, ["falun", "mora", "rattvik"], bounds=harness.GROWN_BOUNDS
    )
    *first, last = fleet.instances
    load = None
    try:
        for instance in first:
            instance.start()
        if not harness.wait_until(
            lambda: all(instance.is_ready() for instance in first), 30.0
        ):
            record.say("the first instances did not become ready")
            return harness.NOT_RUN
        time.sleep(CONTACT_SECONDS)
        store.first_page_read.clear()
        if has_trouble:
            last.store_address = store.add_slow_address(LATE_SECONDS)
            last.start()
            record.say(f"{last.name} starts")
            if not store.first_page_read.wait(20.0):
                record.say("it did not read a list of two pages")
                return harness.NOT_RUN
        time.sleep(LATE_SECONDS / 2)
        # It never reports that it drains, and goes on serving.
        store.remove("servers", leaving.name)
        removed_at = time.monotonic()
        record.say(f"the entry of {leaving.name} is removed")
        if not has_trouble:
            last.start()
        if not harness.wait_until(last.is_ready, 20.0):
            record.say("the last instance did not become ready")
            return harness.NOT_RUN
        time.sleep(CONTACT_SECONDS + 0.5)
        load = late_requests.Load(fleet.instances, 1, DEADLINE_MS)
        time.sleep(LOAD_SECONDS)
        load.stop()
        return late_requests.judge(
            leaving, load, removed_at, DRAIN_SECONDS, record
        )
    finally:
        if load is not None:
            load.stop()
        fleet.close()


if __name__ == "__main__":
    harness.main(run, HERE)
