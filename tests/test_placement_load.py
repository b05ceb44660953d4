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
