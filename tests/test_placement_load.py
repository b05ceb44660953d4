"""Loads of the users' sheets, in virtual time: what callers get."""

import testtools

from tests import engine_fleet

ENGINES = 23
SECONDS = 30.0
# The users' sheet is 25 questions, 1.8 drafts and 0.76 reviews a second; their
# days multiply each by up to three.
CALM = (25.3, 1.83, 0.76)
REVIEWS = (9.0, 2.4, 2.2)
QUESTIONS = (63.0, 0.9, 0.04)
# Stated targets: questions, and reviews that the fleet could read in aim.
QUESTION_TARGET = 0.97
REVIEW_TARGET = 0.95


class PlacementLoadTests(testtools.TestCase):

    def play(self, rates, seed=1):
        load = engine_fleet.make_load(SECONDS, *rates, seed)
        outcomes = engine_fleet.play_router(load, ENGINES)
        self.assertEqual(len(load), len(outcomes))
        return engine_fleet.shares_in_aim(outcomes), load

    def test_calm_day(self):
        (questions, drafts, reviews), _ = self.play(CALM)
        self.assertGreaterEqual(questions, QUESTION_TARGET)
        self.assertGreaterEqual(drafts, QUESTION_TARGET)
        self.assertGreaterEqual(reviews, REVIEW_TARGET)

    def test_many_questions(self):
        (questions, _, _), _ = self.play(QUESTIONS)
        self.assertGreaterEqual(questions, QUESTION_TARGET)

    def test_many_reviews(self):
        (questions, _, reviews), _ = self.play(REVIEWS)
        self.assertGreaterEqual(questions, QUESTION_TARGET)
        self.assertGreaterEqual(reviews, REVIEW_TARGET)

    def test_ahead_of_least_outstanding(self):
        for rates in (CALM, REVIEWS, QUESTIONS):
            ours, load = self.play(rates)
            theirs = engine_fleet.shares_in_aim(
                engine_fleet.play_least_outstanding(load, ENGINES)
            )
            self.assertGreater(sum(ours), sum(theirs), rates)
