"""Tests of the retry budget of whole fleets, in virtual time."""

import bisect
import random

import testtools

from tests import relaying as builders
from tests import virtual_fleet

RATIO = 0.2
EXTRA = 100.0
WINDOW_SECONDS = 10.0
ZONES = ("za", "zb", "zc")
SIZES = (6, 24, 69)
LARGE_SIZE = 195
# In a large fleet, a share of fewer is less than one retry.
LARGE_EXTRA = 460.0
# All instances have been heard, and the first window has passed.
SETTLE_SECONDS = 12.0
STEP_SECONDS = 0.25
# Few, so that the extra retries make up most of the bound.
REQUESTS_PER_SECOND = 4.0


class FailingService:
    """A service that fails all requests; each instance retries all it may.

    Attributes:
        requests: When requests were sent, in seconds.
        retries: When retries arrived, in seconds.
        paused_until: Until when half of the targets are stopped; what is sent
            to them arrives then.
    """

    def __init__(self, fleet, name):
        self.requests = []
        self.retries = []
        self.paused_until = 0.0
        self._fleet = fleet
        self._name = name
        self._rng = random.Random(name)
        fleet.at(0.0, self._step)

    def _step(self):
        fleet = self._fleet
        live = sorted(set(fleet.actors) - fleet.stopped)
        for _ in range(int(REQUESTS_PER_SECOND * STEP_SECONDS)):
            # A request that finds no instance alive counts as sent, too.
            self.requests.append(fleet.now)
            if live:
                budget = fleet.router(self._rng.choice(live)).retry_budget(
                    self._name
                )
                budget.record_first_send(fleet.now)
        for address in live:
            while fleet.actors[address].acquire_retry(self._name):
                is_late = self._rng.random() < 0.5
                late_at = self.paused_until if is_late else 0.0
                self.retries.append(max(fleet.now, late_at))
        fleet.at(STEP_SECONDS, self._step)

    def worst_share(self):
        """Returns the largest share of the users' bound in any window."""
        self.retries.sort()
        return max(
            _count(self.retries, start)
            / (
                self._fleet.retry_extra
                + RATIO
                * max(
                    _count(self.requests, start - before)
                    for before in (0.0, WINDOW_SECONDS / 2, WINDOW_SECONDS)
                )
            )
            for start in sorted(set(self.retries))
        )


def _count(times, start):
    return bisect.bisect_left(times, start + WINDOW_SECONDS) - (
        bisect.bisect_left(times, start)
    )


def make_fleet(zone_sizes):
    instances = sum(zone_sizes.values())
    fleet = virtual_fleet.VirtualFleet(
        zone_sizes,
        [builders.make_target("e-1"), builders.make_target("d-1", "desk")],
        retry_extra=LARGE_EXTRA if instances >= LARGE_SIZE else EXTRA,
    )
    fleet.run(SETTLE_SECONDS)
    return fleet


def make_even_fleet(size):
    return make_fleet(dict.fromkeys(ZONES, size // len(ZONES)))


class RetryBudgetTestCase(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.rng = random.Random(1)

    def choose(self, fleet, count):
        """Returns random instances that run."""
        live = sorted(set(fleet.actors) - fleet.stopped)
        return self.rng.sample(live, min(count, len(live)))

    def restart_in_series(self, fleet, count, interval_seconds, times):
        """Kills instances again and again; each is soon back."""
        for _ in range(times):
            for address in self.choose(fleet, count):
                fleet.restart(address, self.rng.uniform(0.3, 0.5))
            fleet.run(interval_seconds)

    def assert_within_bound(self, service, *details):
        self.assertGreater(len(service.retries), 0)
        self.assertLessEqual(service.worst_share(), 1.0, details)


class KillTests(RetryBudgetTestCase):

    def kill_in_series(self, size, count):
        fleet = make_even_fleet(size)
        service = FailingService(fleet, "desk")
        fleet.run(3.0)
        self.restart_in_series(fleet, count, 2.0, 4)
        fleet.run(WINDOW_SECONDS + 2.0)
        self.assert_within_bound(service, size, count)

    def test_kills_of_one_in_series_do_not_renew_the_extra_retries(self):
        for size in SIZES:
            self.kill_in_series(size, 1)

    def test_kills_of_half_in_series_do_not_renew_the_extra_retries(self):
        for size in SIZES:
            self.kill_in_series(size, size // 2)

    def test_kills_of_all_in_series_do_not_renew_the_extra_retries(self):
        for size in (*SIZES, LARGE_SIZE):
            self.kill_in_series(size, size)

    def test_each_service_keeps_its_own_bound(self):
        fleet = make_even_fleet(24)
        services = [FailingService(fleet, name) for name in ("engines", "desk")]
        fleet.run(4.0)
        self.restart_in_series(fleet, 12, 1.5, 12)
        for service in services:
            self.assert_within_bound(service)


class CutTests(RetryBudgetTestCase):

    def restart_cut_zone(self, zone_sizes, zones):
        """Returns a service that fails while cut zones restart."""
        fleet = make_fleet(zone_sizes)
        service = FailingService(fleet, "desk")
        fleet.cut_zones |= set(zones)
        fleet.run(1.0)
        for zone in zones:
            for address in fleet.members(zone):
                fleet.restart(address, 0.4)
        fleet.run(WINDOW_SECONDS + 3.0)
        fleet.cut_zones.clear()
        fleet.run(WINDOW_SECONDS / 2)
        return service

    def test_zone_that_restarts_while_it_is_cut_off(self):
        for size in SIZES:
            sizes = dict.fromkeys(ZONES, size // len(ZONES))
            service = self.restart_cut_zone(sizes, ["zb"])
            self.assert_within_bound(service, size)

    def test_all_zones_restart_while_cut_off_from_each_other(self):
        for size in SIZES:
            sizes = dict.fromkeys(ZONES, size // len(ZONES))
            service = self.restart_cut_zone(sizes, ZONES)
            self.assert_within_bound(service, size)

    def test_small_zones_that_restart_while_they_are_cut_off(self):
        service = self.restart_cut_zone({"za": 20, "zb": 2, "zc": 2}, ZONES[1:])
        self.assert_within_bound(service)


class FreezeTests(RetryBudgetTestCase):

    def test_instances_frozen_for_a_window_do_not_retry_more_afterwards(self):
        for size in SIZES:
            fleet = make_even_fleet(size)
            service = FailingService(fleet, "desk")
            fleet.run(2.0)
            for _ in range(3):
                for address in self.choose(fleet, size // 2):
                    fleet.freeze(address, WINDOW_SECONDS)
                fleet.run(WINDOW_SECONDS + 1.0)
            self.assert_within_bound(service, size)


class PausedTargetTests(RetryBudgetTestCase):

    def test_retries_that_stopped_targets_read_late_stay_in_the_bound(self):
        fleet = make_even_fleet(6)
        service = FailingService(fleet, "desk")
        service.paused_until = fleet.now + 8.0
        fleet.run(2 * WINDOW_SECONDS)
        self.assert_within_bound(service)
