"""Tests of the progress of watches."""

import testtools

from catkintrail.core import store_views
from catkintrail.core import watch_progress

Position = store_views.Position


class WatchProgressTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.progress = watch_progress.WatchProgress()
        self.progress.advance(Position(1, 10), True)

    def test_call_that_misses_a_known_change_is_lost(self):
        self.progress.begin_call(0.0)
        self.progress.observe(Position(1, 11), 5.0)
        self.assertFalse(self.progress.is_call_lost(5.2))
        self.assertTrue(self.progress.is_call_lost(5.4))

    def test_call_made_after_the_change_has_time_to_end(self):
        self.progress.observe(Position(1, 11), 5.0)
        self.assertFalse(self.progress.is_call_lost(6.0))
        self.progress.begin_call(6.0)
        self.assertFalse(self.progress.is_call_lost(6.2))
        self.assertTrue(self.progress.is_call_lost(6.4))

    def test_call_that_has_returned_the_change_is_not_lost(self):
        self.progress.begin_call(0.0)
        self.progress.observe(Position(1, 11), 5.0)
        self.progress.end_call()
        self.progress.advance(Position(1, 11))
        self.progress.begin_call(5.1)
        self.assertFalse(self.progress.is_call_lost(9.0))

    def test_older_mark_is_no_evidence(self):
        self.progress.begin_call(0.0)
        self.progress.observe(Position(1, 9), 5.0)
        self.assertFalse(self.progress.is_call_lost(9.0))

    def test_later_era_is_newer(self):
        self.progress.begin_call(0.0)
        self.progress.observe(Position(2, 3), 5.0)
        self.assertTrue(self.progress.is_call_lost(9.0))

    def test_read_settles_what_the_store_has_lost(self):
        # Peers know a version that the store, restored from an older copy,
        # does not.
        progress = watch_progress.WatchProgress()
        progress.advance(4, True)
        progress.observe(6, 1.0)
        progress.begin_call(2.0)
        progress.end_call()
        progress.advance(4, True)
        progress.observe(6, 3.0)
        progress.begin_call(3.0)
        self.assertFalse(progress.is_call_lost(9.0))

    def test_read_does_not_settle_what_was_seen_meanwhile(self):
        self.progress.begin_call(2.0)
        self.progress.observe(Position(1, 12), 2.1)
        self.progress.end_call()
        self.progress.advance(Position(1, 11), True)
        self.progress.begin_call(3.0)
        self.assertTrue(self.progress.is_call_lost(4.0))


class KnownChangesTests(testtools.TestCase):

    def are_all_known(self, end, revisions):
        return store_views.are_all_known(Position(1, 10), end, revisions)

    def test_each_revision_is_known(self):
        self.assertTrue(self.are_all_known(Position(1, 12), (11, 12)))
        self.assertTrue(self.are_all_known(Position(1, 10), ()))

    def test_one_revision_is_missing(self):
        self.assertFalse(self.are_all_known(Position(1, 12), (12,)))

    def test_earlier_and_repeated_revisions_do_not_count(self):
        self.assertFalse(self.are_all_known(Position(1, 12), (9, 12, 12)))

    def test_other_era_is_unknown(self):
        self.assertFalse(self.are_all_known(Position(2, 11), (11,)))
