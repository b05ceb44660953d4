"""Tests of the slowness of targets, from measured times to first token."""

import testtools

from catkintrail.core import engine_placement
from catkintrail.core import fleet_load
from catkintrail.core import target_health
from tests import relaying as builders


class SlownessTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.health = target_health.TargetHealth()

    def measure(self, factor, count, start=0.0):
        """Records answers of a target that is slower by a factor.

        Predictions use the known slowness, as placement does.
        """
        for number in range(count):
            now = start + number * 0.2
            predicted_ms = 100.0 * self.health.slowness("e-1", now)
            self.health.record_first_token_time(
                "e-1", 100.0 * factor, predicted_ms, now
            )
        return self.health.slowness("e-1", now)

    def test_slow_target_is_known_after_few_answers(self):
        self.assertGreater(self.measure(6.0, 2), 2.5)

    def test_target_that_stays_slow_is_known_as_slow(self):
        # Regression test: measured times were compared with predictions that
        # took the slowness into account, so that it was forgotten.
        slowness = self.measure(6.0, 40)
        self.assertGreater(slowness, 5.0)
        self.assertLess(slowness, 7.0)

    def test_recovered_target_is_known_as_fast(self):
        self.measure(6.0, 20)
        self.assertLess(self.measure(1.0, 10, start=4.0), 1.5)

    def test_small_delays_are_no_slowness(self):
        for number in range(20):
            self.health.record_first_token_time("e-1", 45.0, 20.0, number * 0.2)
        self.assertEqual(1.0, self.health.slowness("e-1", 4.0))

    def test_confirmed_targets_of_a_slow_group_are_not_suspected(self):
        for number in range(1, 4):
            self.health.record_first_token_time(f"e-{number}", 60, 60, 9.5)
        names = [f"e-{number}" for number in range(1, 5)]
        self.health.record_group_time(names, 1_800.0, 300.0, 10.0)
        for name in names[:3]:
            self.assertEqual(1.0, self.health.slowness(name, 10.0))
        self.assertGreater(self.health.slowness("e-4", 10.0), 2.0)


class OverdueTests(testtools.TestCase):
    """An engine is suspected before the requests on it fail."""

    def describe(self, now, *attempts, is_local=True):
        return engine_placement.describe_engine(
            builders.make_target("e-1"),
            attempts,
            builders.FIGURES,
            now,
            1.0,
            0.0,
            is_local,
        )

    def attempt(self, placed_at, due_at, targets=("e-1",)):
        memory = (5_000,) * len(targets)
        return fleet_load.Attempt(
            "k", targets, memory, 200.0, 0.5, due_at, False, placed_at
        )

    def test_overdue_first_token_makes_the_engine_slow(self):
        waiting = self.attempt(10.0, 10.05)
        punctual = self.describe(10.1, waiting)
        self.assertEqual((0.0, 1.0), (punctual.backlog_ms, punctual.slowness))
        overdue = self.describe(10.55, waiting)
        self.assertAlmostEqual(415.0, overdue.backlog_ms)
        self.assertAlmostEqual(5.0, overdue.slowness)

    def test_later_prefills_postpone_the_due_time(self):
        state = self.describe(
            10.55, self.attempt(10.0, 10.05), self.attempt(10.04, 10.6)
        )
        self.assertEqual(1.0, state.slowness)

    def test_overdue_group_does_not_make_its_engines_slow(self):
        state = self.describe(10.55, self.attempt(10.0, 10.05, ("e-1", "e-2")))
        self.assertEqual(1.0, state.slowness)

    def test_reports_of_other_zones_are_awaited_longer(self):
        waiting = self.attempt(10.0, 10.05)
        self.assertEqual(
            1.0, self.describe(10.3, waiting, is_local=False).slowness
        )
        self.assertGreater(
            self.describe(10.55, waiting, is_local=False).slowness, 1.0
        )
