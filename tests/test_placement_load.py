"""Checks the share of requests within their goals under simulated loads."""

import testtools

from tests import engine_fleet

ENGINES = 23
SECONDS = 30.0
# Rates of questions, drafts and reviews per second. The users specify 25
# questions, 1.8 drafts and 0.76 reviews a second, each of which may rise up to
# threefold.
BASE_LOAD = (25.3, 1.83, 0.76)
REVIEW_HEAVY_LOAD = (9.0, 2.4, 2.2)
QUESTION_HEAVY_LOAD = (63.0, 0.9, 0.04)
# Specified shares within their goals: of questions, and of those reviews that
# the fleet can prefill in time.
MIN_QUESTION_ATTAINMENT = 0.97
MIN_REVIEW_ATTAINMENT = 0.95


class PlacementLoadTests(testtools.TestCase):

    def simulate(self, rates, seed=1):
        load = engine_fleet.make_load(SECONDS, *rates, seed)
        outcomes = engine_fleet.simulate_router(load, ENGINES)
        self.assertEqual(len(load), len(outcomes))
        return engine_fleet.goal_attainment(outcomes), load

    def test_base_load_meets_goals(self):
        (questions, drafts, reviews), _ = self.simulate(BASE_LOAD)
        self.assertGreaterEqual(questions, MIN_QUESTION_ATTAINMENT)
        self.assertGreaterEqual(drafts, MIN_QUESTION_ATTAINMENT)
        self.assertGreaterEqual(reviews, MIN_REVIEW_ATTAINMENT)

    def test_question_heavy_load_meets_goals(self):
        (questions, _, _), _ = self.simulate(QUESTION_HEAVY_LOAD)
        self.assertGreaterEqual(questions, MIN_QUESTION_ATTAINMENT)

    def test_review_heavy_load_meets_goals(self):
        (questions, _, reviews), _ = self.simulate(REVIEW_HEAVY_LOAD)
        self.assertGreaterEqual(questions, MIN_QUESTION_ATTAINMENT)
        self.assertGreaterEqual(reviews, MIN_REVIEW_ATTAINMENT)

    def test_meets_more_goals_than_least_outstanding(self):
        for rates in (BASE_LOAD, REVIEW_HEAVY_LOAD, QUESTION_HEAVY_LOAD):
            router_shares, load = self.simulate(rates)
            baseline_shares = engine_fleet.goal_attainment(
                engine_fleet.simulate_least_outstanding(load, ENGINES)
            )
            self.assertGreater(sum(router_shares), sum(baseline_shares), rates)


class SlowEngineTests(testtools.TestCase):
    """Some engines turn slow without any sign but their answers' delay."""

    START_SECONDS = 6.0
    END_SECONDS = 24.0
    # Time in which requests may still be sent to find out which are slow.
    DETECTION_SECONDS = 2.0

    def simulate(self, slow_engines, factor, seed=1):
        """Returns outcomes and the share of sends to slow engines."""
        slowdown = engine_fleet.Slowdown(
            frozenset(f"e-{n}" for n in range(slow_engines)),
            factor,
            self.START_SECONDS,
            self.END_SECONDS,
        )
        load = engine_fleet.make_load(SECONDS, *BASE_LOAD, seed)
        placed = []
        outcomes = engine_fleet.simulate_router(load, ENGINES, slowdown, placed)
        known_at = self.START_SECONDS + self.DETECTION_SECONDS
        later = [p for p in placed if known_at < p.at < self.END_SECONDS]
        slow = [p for p in later if slowdown.names.intersection(p.names)]
        return outcomes, len(slow) / len(later)

    def test_few_requests_are_sent_to_engines_known_to_be_slow(self):
        # A fleet with a fifth of its engines slow has room for the load on the
        # others: whoever knew them would send nothing there.
        for seed in (1, 2):
            _, share = self.simulate(5, 6.0, seed)
            self.assertLessEqual(share, 0.05, seed)

    def test_most_questions_meet_their_goals_beside_slow_engines(self):
        for factor in (2.0, 6.0, 10.0):
            outcomes, _ = self.simulate(5, factor)
            questions, _, _ = engine_fleet.goal_attainment(outcomes)
            self.assertGreaterEqual(questions, 0.9, factor)

    def test_all_engines_are_used_while_all_are_slow(self):
        outcomes, share = self.simulate(ENGINES, 3.0)
        self.assertEqual(1.0, share)
        load = engine_fleet.make_load(SECONDS, *BASE_LOAD, 1)
        self.assertEqual(len(load), len(outcomes))
