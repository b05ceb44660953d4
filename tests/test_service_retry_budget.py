from hypothesis import given
from hypothesis import strategies as st
import testtools

from catkintrail.core import service_retry_budget

RATIO = 0.2
EXTRA = 100.0
WINDOW_SECONDS = 10.0


class ServiceRetryBudgetTests(testtools.TestCase):

    def test_retries_are_limited_to_a_share_of_first_sends(self):
        budget = service_retry_budget.ServiceRetryBudget(0.2, 0.0, 10.0, -10.0)
        for _ in range(100):
            budget.record_first_send(0.0)
        taken = sum(budget.try_acquire(1, 0.0) for _ in range(100))
        self.assertEqual(16, taken)

    def test_retries_are_available_again_after_the_window(self):
        budget = service_retry_budget.ServiceRetryBudget(0.0, 10.0, 10.0, -10.0)
        self.assertEqual(8, sum(budget.try_acquire(1, 0.0) for _ in range(20)))
        self.assertFalse(budget.try_acquire(1, 9.0))
        self.assertTrue(budget.try_acquire(1, 10.5))

    def test_early_retries_leave_part_of_the_budget(self):
        budget = service_retry_budget.ServiceRetryBudget(0.0, 10.0, 10.0, -10.0)
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
            service_retry_budget.ServiceRetryBudget(0.2, 100.0, 10.0, -10.0)
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


class RestartTests(testtools.TestCase):

    def count_retries(self, instances, lives_seconds):
        """Returns the most retries of all instances in a window.

        Args:
            instances: Number of instances.
            lives_seconds: How long each process of an instance lives; the last
                one lives on. All want to send as many retries as they may.
        """
        retries = []
        started_at = 0.0
        for lived in (*lives_seconds, 2 * WINDOW_SECONDS):
            for _ in range(instances):
                budget = service_retry_budget.ServiceRetryBudget(
                    RATIO, EXTRA, WINDOW_SECONDS, started_at
                )
                for tenth in range(int(lived * 10)):
                    now = started_at + tenth / 10.0
                    while budget.try_acquire(instances, now):
                        retries.append(now)
            started_at += lived
        return max(
            sum(start <= t <= start + WINDOW_SECONDS for t in retries)
            for start in retries
        )

    def test_restarts_in_series_do_not_exceed_the_bound(self):
        for instances in (1, 6, 24, 69):
            for lived in (0.5, 4.0, 9.0, 11.0):
                retries = self.count_retries(instances, [20.0] + [lived] * 6)
                self.assertLessEqual(retries, EXTRA, (instances, lived))

    def test_started_instance_retries_a_few_of_its_own_requests(self):
        budget = service_retry_budget.ServiceRetryBudget(
            RATIO, EXTRA, WINDOW_SECONDS, 0.0
        )
        for _ in range(100):
            budget.record_first_send(1.0)
        self.assertEqual(2, sum(budget.try_acquire(8, 1.0) for _ in range(99)))


class LoanTests(testtools.TestCase):

    def make_budget(self, started_at):
        return service_retry_budget.ServiceRetryBudget(
            RATIO, EXTRA, WINDOW_SECONDS, started_at
        )

    def test_loans_give_a_started_instance_most_of_its_share(self):
        lenders = [self.make_budget(-20.0) for _ in range(7)]
        started = self.make_budget(0.0)
        for number, lender in enumerate(lenders):
            started.borrow(f"i-{number}", lender.lend(8, 0.0))
        self.assertEqual(8, sum(started.try_acquire(8, 1.0) for _ in range(99)))

    def test_lender_does_without_what_it_lends_for_two_windows(self):
        lender = self.make_budget(-20.0)
        before = lender.usage(8, 0.0).allowed
        lent = lender.lend(8, 0.0)
        for now in (0.0, 9.0, 19.0):
            after = lender.usage(8, now).allowed
            self.assertAlmostEqual(lent, before - after)
        self.assertAlmostEqual(before, lender.usage(8, 20.1).allowed)

    def test_lender_keeps_half_of_its_share_however_many_ask(self):
        lender = self.make_budget(-20.0)
        lent = sum(lender.lend(4, 0.0) for _ in range(50))
        self.assertAlmostEqual(10.0, lent)

    def test_what_is_used_or_borrowed_is_not_lent(self):
        lender = self.make_budget(-20.0)
        while lender.try_acquire(8, 0.0):
            pass
        self.assertEqual(0.0, lender.lend(8, 0.0))
        started = self.make_budget(0.0)
        started.borrow("i-1", 10.0)
        self.assertEqual(0.0, started.lend(8, 1.0))

    def test_loan_ends_when_the_instance_has_its_share(self):
        started = self.make_budget(0.0)
        for number in range(10):
            started.borrow(f"i-{number}", 5.0)
        for now, allowed in ((1.0, 50.0), (11.0, 10.0)):
            self.assertAlmostEqual(allowed, started.usage(8, now).allowed)

    def test_number_that_is_no_number_is_not_borrowed(self):
        started = self.make_budget(0.0)
        for retries in (float("nan"), -5.0):
            started.borrow("i-1", retries)
            self.assertEqual(0.0, started.usage(8, 1.0).allowed)
