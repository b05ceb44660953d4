"""Kills and shifts of load under which the retry ratio has to hold."""

import testtools

from catkintrail.core import service_retry_budget

RATIO = 0.2
EXTRA = 100.0
WINDOW_SECONDS = 10.0
REQUESTS_PER_SECOND = 100.0
STEP_SECONDS = 0.1


class Load:
    """First sends and retries of a service, summed over all instances."""

    def __init__(self):
        self.first_sends = []
        self.retries = []

    def send(self, budget, instances, rate, now):
        """Sends the requests of a step, and all retries that are allowed."""
        for _ in range(round(rate * STEP_SECONDS)):
            budget.record_first_send(now)
            self.first_sends.append(now)
        while budget.try_acquire(instances, now):
            self.retries.append(now)

    def count(self, times, start):
        return sum(start <= t <= start + WINDOW_SECONDS for t in times)

    def worst_window(self):
        """Returns the retries and the bound of the worst window."""
        windows = []
        for start in sorted(set(self.retries)):
            requests = max(
                self.count(self.first_sends, start - before)
                for before in (0.0, WINDOW_SECONDS / 2, WINDOW_SECONDS)
            )
            bound = RATIO * requests + EXTRA
            windows.append((self.count(self.retries, start), bound))
        return max(windows, key=lambda window: window[0] - window[1])


def make_budget(started_at):
    return service_retry_budget.ServiceRetryBudget(
        RATIO, EXTRA, WINDOW_SECONDS, started_at
    )


class RatioTests(testtools.TestCase):

    def run_load(self, instances, killed, restart_seconds):
        """Kills instances once while all send what they may.

        Before, the instances send first sends and no retries for a window.

        Args:
            instances: Number of instances.
            killed: Number of instances that are killed.
            restart_seconds: When their successors send; None for never.
        """
        load = Load()
        budgets = [make_budget(-100.0) for _ in range(instances)]
        rate = REQUESTS_PER_SECOND / instances
        for tenth in range(100):
            for budget in budgets:
                for _ in range(round(rate * STEP_SECONDS)):
                    budget.record_first_send(tenth / 10.0)
                    load.first_sends.append(tenth / 10.0)
        for budget in budgets:
            load.send(budget, instances, 0.0, 10.0)
        for tenth in range(101, 400):
            now = tenth / 10.0
            if restart_seconds is not None and tenth == 100 + round(
                restart_seconds * 10
            ):
                budgets[:killed] = [make_budget(now) for _ in range(killed)]
            is_down = restart_seconds is None or now < 10.0 + restart_seconds
            alive = budgets[killed:] if is_down else budgets
            for budget in alive:
                load.send(
                    budget, instances, REQUESTS_PER_SECOND / len(alive), now
                )
        return load.worst_window()

    def test_without_kills_ratio_is_kept(self):
        retries, bound = self.run_load(10, 0, None)
        self.assertLessEqual(retries, bound)

    def test_restarted_instances_do_not_spend_the_ratio_twice(self):
        retries, bound = self.run_load(10, 10, 1.0)
        self.assertLessEqual(retries, bound)

    def test_instances_that_take_over_load_keep_to_the_ratio(self):
        retries, bound = self.run_load(10, 5, None)
        self.assertLessEqual(retries, bound)
