"""Ordinary requests, and which of them a target ran after it had left."""

import threading
import time

import harness

__all__ = ["Load", "judge"]

PAUSE_SECONDS = 0.02


class Load:
    """Ordinary requests at instances, one after the other in each thread.

    Attributes:
        sent_at: When each request was sent, in monotonic seconds.
    """

    def __init__(self, instances, threads, deadline_ms):
        """Starts the threads.

        Args:
            instances: The instances.
            threads: Number of threads for each instance.
            deadline_ms: Deadline of a request.
        """
        self.sent_at = {}
        self.is_stopped = False
        self.deadline_ms = deadline_ms
        self.threads = [
            threading.Thread(target=self.run, args=(instance, number))
            for instance in instances
            for number in range(threads)
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
                instance.front,
                "/las/a",
                attempt,
                deadline_ms=self.deadline_ms,
                method="GET",
            )
            time.sleep(PAUSE_SECONDS)

    def stop(self):
        self.is_stopped = True
        for thread in self.threads:
            thread.join()


def judge(target, load, removed_at, drain_seconds, record):
    """Returns the exit status: the rule allows no late request at all.

    Args:
        target: The target that has left.
        load: The requests; stopped.
        removed_at: When its removal was acknowledged, in monotonic seconds.
        drain_seconds: How long it may get requests after that.
        record: The record of the case.
    """
    bound = removed_at + drain_seconds
    late = []
    for at, attempt in target.runs:
        sent_at = load.sent_at[attempt]
        record.write(
            f"{target.name} ran {attempt}, {at - removed_at:.3f} s after its"
            f" removal, sent by its client {sent_at - removed_at:.3f} s"
        )
        if at > bound and sent_at > bound:
            late.append(at - removed_at)
    record.say(
        f"{target.name} ran {len(target.runs)} of {len(load.sent_at)} requests"
    )
    if late:
        record.say(
            f"BROKEN: {len(late)} of them {min(late):.2f} to {max(late):.2f} s"
            f" after its removal; drain-ms is {drain_seconds:.1f} s"
        )
        return harness.BROKEN
    record.say("held")
    return harness.HELD
