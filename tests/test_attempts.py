"""Tests the ids of attempts."""

import testtools

from catkintrail.core import attempts


class IdSourceTests(testtools.TestCase):

    def test_ids_differ_over_instances_and_restarts(self):
        sources = [
            attempts.IdGenerator(name, incarnation)
            for name in ("a", "b")
            for incarnation in (1, 2)
        ]
        ids = [source.next_id() for source in sources for _ in range(5)]
        self.assertEqual(len(ids), len(set(ids)))
