"""Bounds on control traffic, state and platform writes as the fleet grows."""

import testtools
from testtools import matchers

from bench import capacity
from catkintrail import messages
from catkintrail.adapters import memory_platform
from catkintrail.core import idempotency
from catkintrail.core import publication

MAX_CONTROL_BYTES_PER_SECOND = 3_000.0
MAX_CONTROL_STATE_BYTES = 32 << 20
MAX_PROPAGATION_SECONDS = 7.0
# Keeps the writes for changes under half of the several hundred writes per
# second that the platform allows.
MAX_WRITES_PER_CHANGE = 8


class ControlTests(testtools.TestCase):

    def test_traffic_of_a_node_stays_bounded(self):
        small = capacity.control_cost(9, 3)
        large = capacity.control_cost(36, 3)
        self.assertThat(
            large.busiest, matchers.LessThan(MAX_CONTROL_BYTES_PER_SECOND)
        )
        # With four times the nodes an instance sends two more probes per round,
        # not four times as many.
        self.assertThat(
            large.bytes_per_second,
            matchers.LessThan(2.0 * small.bytes_per_second),
        )

    def test_change_is_in_force_within_seconds(self):
        for with_partition in (False, True):
            seconds = capacity.propagation_seconds(18, 9, with_partition)
            self.assertThat(seconds, matchers.LessThan(MAX_PROPAGATION_SECONDS))

    def test_control_state_at_3600_organisations_is_bounded(self):
        size = capacity.control_state_bytes(40, 3, 3_600)
        self.assertThat(size, matchers.LessThan(MAX_CONTROL_STATE_BYTES))

    def test_size_of_a_ping_with_large_numbers_is_bounded(self):
        ping = messages.Ping(10**6, 2**64 - 1, 10**6, 10**6, ())
        self.assertThat(len(messages.encode(ping)), matchers.LessThan(64))


class PlatformCallTests(testtools.TestCase):

    def test_writes_of_a_call_with_an_idempotency_key(self):
        store = memory_platform.MemoryPlatform()
        claim = idempotency.claim_run(store, "once/x", "n", "f", 1.0, 0.0)
        record = idempotency.finished_record(claim, 200, "text/plain", b"x")
        idempotency.store_outcome(store, claim, record)
        self.assertEqual({"write": 2}, store.counts)

    def test_writes_of_a_change_do_not_grow_with_the_configuration(self):
        for organisations in (10, 500):
            store = memory_platform.MemoryPlatform()
            edits = tuple(
                publication.Edit("organisations", f"o{n}", {"weight": 1.0})
                for n in range(organisations)
            )
            current = publication.publish(
                store,
                publication.empty_snapshot(),
                publication.Change("c1", "ops", 1.0, edits),
            )
            store.counts.clear()
            edit = publication.Edit("organisations", "o1", {"weight": 2.0})
            publication.publish(
                store, current, publication.Change("c2", "ops", 1.0, (edit,))
            )
            self.assertThat(
                store.counts["write"], matchers.LessThan(MAX_WRITES_PER_CHANGE)
            )
