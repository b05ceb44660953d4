from hypothesis import given
from hypothesis import strategies as st
import testtools

from catkintrail.core import service_retry_budget


class ServiceRetryBudgetTests(testtools.TestCase):

    def test_retries_are_limited_to_a_share_of_first_sends(self):
        budget = service_retry_budget.ServiceRetryBudget(0.2, 0.0, 10.0)
        for _ in range(100):
            budget.record_first_send(0.0)
        taken = sum(budget.try_acquire(1, 0.0) for _ in range(100))
        self.assertEqual(16, taken)

    def test_retries_are_available_again_after_the_window(self):
        budget = service_retry_budget.ServiceRetryBudget(0.0, 10.0, 10.0)
        self.assertEqual(8, sum(budget.try_acquire(1, 0.0) for _ in range(20)))
        self.assertFalse(budget.try_acquire(1, 9.0))
        self.assertTrue(budget.try_acquire(1, 10.5))

    def test_early_retries_leave_part_of_the_budget(self):
        budget = service_retry_budget.ServiceRetryBudget(0.0, 10.0, 10.0)
        early = 0
        while budget.allows_early_retry(1, 0.0):
            budget.try_acquire(1, 0.0)
            early += 1
        self.assertEqual(4, early)
        self.assertTrue(budget.try_acquire(1, 0.0))

    @given(
        st.integers(1, 90),
        st.lists(st.tuples(st.floats(0, 30), st.booleans()), max_size=200),
    )
    def test_all_instances_together_respect_the_bound(self, instances, sends):
        budgets = [
            service_retry_budget.ServiceRetryBudget(0.2, 100.0, 10.0)
            for _ in range(instances)
        ]
        first_sends, retries = [], []
        for number, (now, is_repeat) in enumerate(sorted(sends)):
            budget = budgets[number % instances]
            if not is_repeat:
                budget.record_first_send(now)
                first_sends.append(now)
            elif budget.try_acquire(instances, now):
                retries.append(now)
        for end in retries:
            window = [t for t in retries if end - 10.0 <= t <= end]
            first = [t for t in first_sends if end - 10.0 <= t <= end]
            self.assertLessEqual(len(window), 0.2 * len(first) + 100.0)
