"""An engine that goes while a starting instance reads a list of three pages."""

import collections
import pathlib
import signal
import threading
import time

from review.standins3 import harness
from tests import platform_standins

DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
# What the store sends to one machine takes this much longer.
DELAY_SECONDS = 0.2
# Engines of another service, which have entries only.
OTHER_ENGINES = 1_300
# Between the store's answer with the first page and the removal.
REMOVAL_SECONDS = 0.1
# The removed engine serves on for this long, and then exits.
SERVING_SECONDS = 9.0
LOAD_SECONDS = 8.0
REQUESTS_PER_SECOND = 20.0
WORK_SECONDS = 0.3


def is_listing(path):
    """Returns whether a call reads the first page of the engines."""
    return path == "/api/objects/servers"


def case():
    """Returns whether nothing was sent to the removed engine too late."""
    record = harness.Record(pathlib.Path(__file__).parent)
    sent_at = {}
    exited = set()

    def answer(handler, headers, unused_body):
        time.sleep(WORK_SECONDS)
        if headers[1][1].split(".")[1] in exited:
            handler.close_connection = True
            return
        handler.reply(200, b"booked", headers)

    spec = platform_standins.make_spec()
    spec["routes"][1]["timeout-ms"] = 1_500
    with harness.Fleet(2, spec, seeds=2) as fleet:
        store = fleet.store
        restarted, sound = fleet.instances
        proxy = harness.DelayingProxy(store.address)
        restarted.write_settings([restarted.ip, sound.ip], proxy.address)
        removed, *staying = [
            harness.Engine(f"a-{number}", "desk", answer, record)
            for number in (1, 2, 3)
        ]
        for engine in (removed, *staying):
            store.put("servers", engine.name, engine.entry())
        for number in range(OTHER_ENGINES):
            entry = removed.entry(service="other", address="127.0.0.1:9")
            store.put("servers", f"c-{number:04}", entry)
        if not fleet.start():
            return None
        time.sleep(4.0)
        if harness.is_disrupted():
            proxy.delay_seconds = DELAY_SECONDS
            record.note(
                f"the store's answers to {restarted.ip} take"
                f" {DELAY_SECONDS} s more"
            )
        restarted.signal(signal.SIGTERM)
        restarted.process.wait(15.0)
        known = len(store.calls)
        record.note(f"{restarted.ip} was stopped and starts again")
        restarted.start()
        deadline = time.monotonic() + 10.0
        while not any(map(is_listing, store.calls[known:])):
            if time.monotonic() > deadline:
                return None
            time.sleep(0.005)
        time.sleep(REMOVAL_SECONDS)
        store.remove("servers", removed.name)
        removed_at = time.monotonic()
        record.note(f"the entry of {removed.name} is removed; it serves on")
        while not restarted.is_ready():
            if time.monotonic() > deadline:
                return None
            time.sleep(0.05)
        record.note(f"{restarted.ip} is ready")
        time.sleep(CONTACT_SECONDS + 1.0)
        outcomes = collections.Counter()
        threads = []

        def ask(instance, request_id):
            sent_at[request_id] = time.monotonic()
            with harness.socket.create_connection(
                (instance.ip, instance.front), 5.0
            ) as connection:
                connection.sendall(
                    harness.encode_request(
                        "/book/x", request_id, deadline_ms=1_500
                    )
                )
                status, headers, _, _ = harness.read_answer(connection, 5.0)
            outcomes[status] += 1
            record.note(
                f"client {request_id}: {status}"
                f" {headers.get('engine-stamp', '')}"
            )

        until = time.monotonic() + LOAD_SECONDS
        index = 0
        while time.monotonic() < until:
            if time.monotonic() > removed_at + SERVING_SECONDS and not exited:
                exited.add(removed.name)
                removed.close()
                record.note(f"{removed.name} exits")
            index += 1
            instance = (sound, restarted)[index % 2]
            name = ("sound", "restarted")[index % 2]
            thread = threading.Thread(
                target=ask, args=(instance, f"{name}-{index}")
            )
            thread.start()
            threads.append(thread)
            time.sleep(1.0 / REQUESTS_PER_SECOND)
        for thread in threads:
            thread.join(10.0)
        for instance in (restarted, sound):
            for line in instance.log_lines():
                if line.get("target") == removed.name and str(
                    line.get("event")
                ).startswith("target_"):
                    record.note(
                        f"log of {instance.ip}: {line['time']}"
                        f" {line['event']} {line.get('source', '')}"
                    )
        late = collections.Counter(
            request_id.partition("-")[0]
            for request_id in removed.runs
            if sent_at[request_id] > removed_at + DRAIN_SECONDS
        )
        proxy.close()
        record.note(
            f"answers {dict(outcomes)}; later than drain-ms at"
            f" {removed.name}: {dict(late)}"
        )
        if late:
            record.note("BROKEN: requests reach an engine that is gone")
        return not late


if __name__ == "__main__":
    harness.run(case)
