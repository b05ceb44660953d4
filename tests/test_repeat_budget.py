from hypothesis import given
from hypothesis import strategies as st
import testtools

from catkintrail.core import repeat_budget


class RepeatBudgetTests(testtools.TestCase):

    def test_repeats_are_a_share_of_first_sends(self):
        budget = repeat_budget.RepeatBudget(0.2, 0.0, 10.0)
        for _ in range(100):
            budget.note_first(0.0)
        taken = sum(budget.take(1, 0.0) for _ in range(100))
        self.assertEqual(16, taken)

    def test_repeats_come_back_with_the_window(self):
        budget = repeat_budget.RepeatBudget(0.0, 10.0, 10.0)
        self.assertEqual(8, sum(budget.take(1, 0.0) for _ in range(20)))
        self.assertFalse(budget.take(1, 9.0))
        self.assertTrue(budget.take(1, 10.5))

    def test_early_repeats_leave_some_to_failures(self):
        budget = repeat_budget.RepeatBudget(0.0, 10.0, 10.0)
        early = 0
        while budget.is_plenty(1, 0.0):
            budget.take(1, 0.0)
            early += 1
        self.assertEqual(4, early)
        self.assertTrue(budget.take(1, 0.0))

    @given(
        st.integers(1, 90),
        st.lists(st.tuples(st.floats(0, 30), st.booleans()), max_size=200),
    )
    def test_all_instances_together_keep_the_bound(self, instances, sends):
        budgets = [
            repeat_budget.RepeatBudget(0.2, 100.0, 10.0)
            for _ in range(instances)
        ]
        firsts, repeats = [], []
        for number, (now, is_repeat) in enumerate(sorted(sends)):
            budget = budgets[number % instances]
            if not is_repeat:
                budget.note_first(now)
                firsts.append(now)
            elif budget.take(instances, now):
                repeats.append(now)
        for end in repeats:
            window = [t for t in repeats if end - 10.0 <= t <= end]
            first = [t for t in firsts if end - 10.0 <= t <= end]
            self.assertLessEqual(len(window), 0.2 * len(first) + 100.0)
