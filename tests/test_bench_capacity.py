"""Bounds on what is counted as the fleet grows."""

import testtools
from testtools import matchers

from bench import capacity
from catkintrail import messages
from catkintrail.adapters import memory_platform
from catkintrail.core import idempotency
from catkintrail.core import publication

CONTROL_BYTES_PER_SECOND = 3_000.0
CONTROL_BYTES_OF_STATE = 32 << 20
IN_FORCE_SECONDS = 7.0
# Under half of the platform's several hundred writes a second.
WRITES_PER_CHANGE = 8


class ControlTests(testtools.TestCase):

    def test_traffic_of_a_node_stays_bounded(self):
        small = capacity.control_cost(9, 3)
        large = capacity.control_cost(36, 3)
        self.assertThat(
            large.busiest, matchers.LessThan(CONTROL_BYTES_PER_SECOND)
        )
        # Four times the nodes: two more probes each, not four times as many.
        self.assertThat(
            large.bytes_per_second,
            matchers.LessThan(2.0 * small.bytes_per_second),
        )

    def test_change_is_in_force_within_seconds(self):
        for cut in (False, True):
            taken = capacity.in_force_seconds(18, 9, cut)
            self.assertThat(taken, matchers.LessThan(IN_FORCE_SECONDS))

    def test_state_at_the_target_size(self):
        size = capacity.control_memory(40, 3, 3_600)
        self.assertThat(size, matchers.LessThan(CONTROL_BYTES_OF_STATE))

    def test_frames_of_a_request_do_not_grow_with_the_fleet(self):
        ping = messages.Ping(10**6, 2**64 - 1, 10**6, 10**6, ())
        self.assertThat(len(messages.encode(ping)), matchers.LessThan(64))


class PlatformCallTests(testtools.TestCase):

    def test_writes_of_a_once_only_call(self):
        store = memory_platform.MemoryPlatform()
        begun = idempotency.begin(store, "once/x", "n", "f", 1.0, 0.0)
        record = idempotency.finished(begun, 200, "text/plain", b"x")
        idempotency.finish(store, begun, record)
        self.assertEqual({"write": 2}, store.counts)

    def test_writes_of_a_change_do_not_grow_with_the_set(self):
        for organisations in (10, 500):
            store = memory_platform.MemoryPlatform()
            edits = tuple(
                publication.Edit("organisations", f"o{n}", {"weight": 1.0})
                for n in range(organisations)
            )
            known = publication.publish(
                store,
                publication.empty_snapshot(),
                publication.Change("c1", "ops", 1.0, edits),
            )
            store.counts.clear()
            edit = publication.Edit("organisations", "o1", {"weight": 2.0})
            publication.publish(
                store, known, publication.Change("c2", "ops", 1.0, (edit,))
            )
            self.assertThat(
                store.counts["write"], matchers.LessThan(WRITES_PER_CHANGE)
            )
