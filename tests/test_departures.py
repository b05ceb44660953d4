"""Tests of the record of targets that have announced their shutdown."""

import testtools

from catkintrail.core import departures
from tests import relaying


class DepartureRecordTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.record = departures.DepartureRecord()
        self.target = relaying.make_target("e-1")

    def test_only_the_start_that_left_is_contained(self):
        self.record.add("e-1", 1, 100.0)
        self.assertTrue(self.record.contains(self.target))
        self.assertFalse(self.record.contains(self.target._replace(born=2)))

    def test_departures_are_forgotten_after_the_retention(self):
        self.record.add("e-1", 1, 100.0)
        self.record.expire(100.0 + departures.RETENTION_SECONDS - 1)
        self.assertTrue(self.record.contains(self.target))
        self.record.expire(100.0 + departures.RETENTION_SECONDS + 1)
        self.assertFalse(self.record.contains(self.target))

    def test_size_is_bounded(self):
        count = departures.MAX_DEPARTURES + 10
        for number in range(count):
            self.record.add(f"e-{number}", 1, 100.0)
        oldest = relaying.make_target("e-9")
        newest = relaying.make_target(f"e-{count - 1}")
        self.assertFalse(self.record.contains(oldest))
        self.assertTrue(self.record.contains(newest))
