"""Tests of the renewal and release of memory reservations."""

import threading
import time

import testtools
from testtools import matchers

from catkintrail import errors
from catkintrail import memory_leases
from catkintrail import verdict as verdicts
from catkintrail.core import memory_lease
from tests import relaying as builders


class FakeOrders:
    """The memory of an engine.

    Attributes:
        held: Tokens of the current reservations, by reservation id.
        renewals: Number of reserve orders, first ones included.
        releases: Number of release orders.
        error: Raised after an order was carried out, if not None.
    """

    def __init__(self):
        self.held = {}
        self.renewals = 0
        self.releases = 0
        self.error = None
        self.lock = threading.Lock()

    def reserve(self, target, reservation, tokens, lease_seconds):
        with self.lock:
            self.held[reservation] = tokens
            self.renewals += 1
        if self.error:
            raise self.error

    def release(self, target, reservation):
        with self.lock:
            self.held.pop(reservation, None)
            self.releases += 1
        if self.error:
            raise self.error


class MemoryLeasesTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.orders = FakeOrders()
        self.leases = memory_leases.MemoryLeases(
            "a-1", self.orders, 1.0, time.monotonic
        )
        self.leases.start()
        self.target = builders.make_target("e-1")

    def wait_for(self, condition, seconds=3.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end and not condition():
            time.sleep(0.02)
        self.assertTrue(condition())

    def test_reservation_is_renewed_and_released(self):
        lease = self.leases.reserve(self.target, 1_000)
        self.wait_for(lambda: self.orders.renewals >= 3)
        self.assertEqual({lease.reservation: 1_000}, self.orders.held)
        self.leases.release(lease)
        self.wait_for(lambda: not self.orders.held)

    def test_reservation_without_a_response_is_released(self):
        self.orders.error = errors.TargetError(
            "silent", verdicts.Verdict.MAY_HAVE_RUN
        )
        self.assertRaises(
            errors.TargetError, self.leases.reserve, self.target, 1_000
        )
        self.orders.error = None
        self.assertEqual(1, len(self.orders.held))
        self.wait_for(lambda: not self.orders.held)
        self.assertGreaterEqual(self.orders.releases, 1)

    def test_reservation_ids_are_unique(self):
        reservation_ids = {
            self.leases.reserve(self.target, 1).reservation for _ in range(9)
        }
        self.assertEqual(9, len(reservation_ids))


class UnansweredReleaseTests(testtools.TestCase):
    """Releases sent to an engine that answers none of them."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.orders = FakeOrders()
        self.leases = memory_leases.MemoryLeases(
            "a-1", self.orders, 4.0, lambda: self.now
        )
        self.target = builders.make_target("e-1")

    def fall_silent(self):
        self.orders.error = errors.TargetError(
            "silent", verdicts.Verdict.MAY_HAVE_RUN
        )

    def execute_due_orders(self, seconds):
        """Returns after how many seconds the last release was sent."""
        start = self.now
        last_release_at = start
        while self.now < start + seconds:
            releases = self.orders.releases
            for order in self.leases.lease_table.due_orders(self.now):
                self.leases._execute(order)
            if self.orders.releases > releases:
                last_release_at = self.now
            self.now += 0.2
        return last_release_at - start

    def test_releases_end_when_no_reservation_can_be_carried_out(self):
        self.fall_silent()
        self.assertRaises(
            errors.TargetError, self.leases.reserve, self.target, 1_000
        )
        seconds = self.execute_due_orders(60.0)
        self.assertThat(seconds, matchers.GreaterThan(11.0))
        self.assertThat(seconds, matchers.LessThan(14.0))

    def test_lost_release_is_repeated_until_the_lease_has_expired(self):
        lease = self.leases.reserve(self.target, 1_000)
        self.fall_silent()
        self.leases.lease_table.release(lease, self.now)
        self.leases._execute(memory_lease.LeaseOrder(lease, True))
        seconds = self.execute_due_orders(60.0)
        self.assertThat(seconds, matchers.GreaterThan(1.0))
        self.assertThat(seconds, matchers.LessThan(4.0))

    def test_release_after_an_unanswered_renewal_is_repeated_in_full(self):
        lease = self.leases.reserve(self.target, 1_000)
        self.fall_silent()
        self.leases._execute(memory_lease.LeaseOrder(lease, False))
        self.leases.lease_table.release(lease, self.now)
        self.leases._execute(memory_lease.LeaseOrder(lease, True))
        self.assertThat(
            self.execute_due_orders(60.0), matchers.GreaterThan(11.0)
        )
