"""Tests of the renewal and release of memory reservations."""

import threading
import time

import testtools

from catkintrail import errors
from catkintrail import memory_leases
from catkintrail import verdict as verdicts
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
