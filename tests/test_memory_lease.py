import testtools

from catkintrail.core import memory_lease

LEASE = memory_lease.Lease("a-1", "e-1", 1_000)


class LeaseTableTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.lease_table = memory_lease.LeaseTable(4.0)

    def due(self, now):
        return [order.is_release for order in self.lease_table.due_orders(now)]

    def test_lease_ends_before_memory_must_be_free(self):
        self.assertLess(self.lease_table.lease_seconds, 4.0)

    def test_new_bound_changes_the_lease_length(self):
        self.lease_table.set_free_seconds(2.0)
        self.assertLess(self.lease_table.lease_seconds, 2.0)

    def test_held_lease_is_renewed_three_times_before_it_expires(self):
        self.lease_table.add_lease(LEASE, 0.0)
        renewals = []
        for tick in range(30):
            renewals += self.due(tick * 0.1)
        self.assertEqual([False] * 3, renewals)

    def test_released_lease_is_not_released_again(self):
        self.lease_table.add_lease(LEASE, 0.0)
        self.lease_table.release(LEASE, 1.0)
        self.assertEqual([], self.due(20.0))

    def test_release_is_repeated_until_no_unanswered_order_can_take_effect(
        self,
    ):
        self.lease_table.add_lease(LEASE, 0.0)
        self.lease_table.record_unanswered_order(LEASE, 0.9)
        self.lease_table.release(LEASE, 1.0)
        releases = []
        for tick in range(200):
            releases += self.due(1.0 + tick * 0.1)
        self.assertTrue(all(releases))
        self.assertGreaterEqual(len(releases), 8)
        self.assertEqual({}, self.lease_table.unconfirmed_releases)

    def test_unanswered_reservation_is_released(self):
        self.lease_table.record_unanswered_order(LEASE, 0.0)
        self.assertEqual([True], self.due(1.6))
