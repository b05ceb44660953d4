"""Tests of rate limits and of their division between zones."""

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from catkintrail.core import limits

ZONES = ("x", "y", "z")
STEP_SECONDS = 0.5
ANNOUNCE_SECONDS = 1.0
RECOVERY_SECONDS = 30.0


class ZoneExchange:
    """Simulates one coordinator in each zone and the claims in transit."""

    def __init__(self):
        self.now = 0.0
        self.shares = {
            zone: limits.ZoneShare(zone, ZONES, 0.0) for zone in ZONES
        }
        self.coordinators = {zone: f"{zone}-1" for zone in ZONES}
        self.demands = dict.fromkeys(ZONES, 0.0)
        self.cut_links = set()
        self.in_transit = []

    def total(self):
        return sum(share.effective for share in self.shares.values())

    def step(self, delay=0.01):
        """Simulates half a second: demand, announcements and deliveries.

        Args:
            delay: Seconds that each new claim is in transit.
        """
        self.now += STEP_SECONDS
        for zone, share in self.shares.items():
            share.record_demand(self.demands[zone] * STEP_SECONDS, self.now)
        if self.now % ANNOUNCE_SECONDS < STEP_SECONDS:
            self._announce(delay)
        due = [message for message in self.in_transit if message[0] <= self.now]
        self.in_transit = [
            message for message in self.in_transit if message not in due
        ]
        for _, sender, receiver, claim in due:
            if (sender, receiver) not in self.cut_links:
                self.shares[receiver].receive_claim(
                    sender, self.coordinators[sender], claim, self.now
                )

    def _announce(self, delay):
        for zone, share in self.shares.items():
            share.tick(self.now)
            for other in ZONES:
                if other != zone:
                    claim = share.claim_for(other, "guild")
                    self.in_transit.append(
                        (self.now + delay, zone, other, claim)
                    )

    def run(self, seconds, delay=0.01):
        max_total = 0.0
        for _ in range(int(seconds / STEP_SECONDS)):
            self.step(delay)
            max_total = max(max_total, self.total())
        return max_total


def demand_by_zone():
    return strategies.dictionaries(
        strategies.sampled_from(ZONES), strategies.floats(0.0, 3.0)
    )


class ShareTests(testtools.TestCase):

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                demand_by_zone(),
                strategies.floats(0.0, 0.9),
                strategies.integers(1, 9),
            ),
            max_size=8,
        )
    )
    @hypothesis.settings(max_examples=200)
    def test_limit_is_kept_while_zones_are_connected(self, phases):
        """Demand varies arbitrarily, and claims take up to 0.9 s."""
        exchange = ZoneExchange()
        for demands, delay, seconds in phases:
            exchange.demands.update(demands)
            max_total = exchange.run(seconds, delay)
            self.assertThat(max_total, matchers.LessThan(1.0 + 1e-6))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                demand_by_zone(),
                strategies.sets(
                    strategies.sampled_from(
                        [(a, b) for a in ZONES for b in ZONES if a != b]
                    )
                ),
                strategies.floats(0.0, 0.4),
                strategies.integers(1, 20),
            ),
            max_size=6,
        )
    )
    @hypothesis.settings(max_examples=200)
    def test_excess_during_network_cuts_is_bounded(self, phases):
        """Arbitrary one-way cuts exceed the limit by at most one share.

        A zone whose claim was decreased may use its configured share once it
        is cut off. A zone that others cannot reach falls back to its share
        before they assume so, and thus all zones together use at most the
        limit, plus what one-way cuts hide: at most one configured share for
        each pair of zones that disagree.
        """
        exchange = ZoneExchange()
        for demands, cut_links, delay, seconds in phases:
            exchange.demands.update(demands)
            exchange.cut_links = cut_links
            max_total = exchange.run(seconds, delay)
            bound = 1.0 + 1.0 / len(ZONES)
            self.assertThat(max_total, matchers.LessThan(bound + 1e-6))
        exchange.cut_links = set()
        exchange.demands = {"x": 3.0, "y": 0.0, "z": 0.0}
        exchange.run(RECOVERY_SECONDS)
        self.assertThat(exchange.total(), matchers.LessThan(1.0 + 1e-6))
        self.assertThat(
            exchange.shares["x"].effective, matchers.GreaterThan(0.85)
        )

    def test_isolated_zone_does_not_exceed_the_limit(self):
        exchange = ZoneExchange()
        exchange.demands["x"] = 3.0
        exchange.run(20.0)
        self.assertThat(
            exchange.shares["x"].effective, matchers.GreaterThan(0.85)
        )
        exchange.cut_links = {("x", o) for o in "yz"} | {(o, "x") for o in "yz"}
        exchange.demands = dict.fromkeys(ZONES, 3.0)
        max_total = exchange.run(60.0)
        self.assertThat(max_total, matchers.LessThan(1.0 + 1e-6))
        configured_share = exchange.shares["x"].configured_share()
        for zone in ZONES:
            self.assertAlmostEqual(
                configured_share, exchange.shares[zone].effective, delta=0.05
            )

    def test_replaced_home_exceeds_the_limit_only_until_convergence(self):
        exchange = ZoneExchange()
        exchange.demands["x"] = 3.0
        exchange.run(20.0)
        exchange.coordinators["y"] = "y-2"
        exchange.shares["y"] = limits.ZoneShare("y", ZONES, exchange.now)
        configured_share = exchange.shares["y"].configured_share()
        self.assertThat(
            exchange.total(), matchers.LessThan(1.0 + configured_share + 1e-6)
        )
        exchange.run(2 * ANNOUNCE_SECONDS)
        exchange.run(RECOVERY_SECONDS)
        self.assertThat(exchange.total(), matchers.LessThan(1.0 + 1e-6))
        self.assertThat(
            exchange.shares["x"].effective, matchers.GreaterThan(0.85)
        )

    def test_formerly_idle_zone_regains_its_share(self):
        exchange = ZoneExchange()
        exchange.demands["x"] = 3.0
        exchange.run(30.0)
        exchange.demands = {"x": 3.0, "y": 3.0, "z": 0.0}
        exchange.run(RECOVERY_SECONDS)
        for zone in ("x", "y"):
            self.assertThat(
                exchange.shares[zone].effective, matchers.GreaterThan(0.4)
            )


class DivideTests(testtools.TestCase):

    @hypothesis.given(
        strategies.dictionaries(
            strategies.text("xyz", min_size=1, max_size=3),
            strategies.floats(0.0, 10.0),
            min_size=1,
        )
    )
    def test_shares_sum_to_one_and_cover_fair_demand(self, demands):
        shares = limits.divide(demands)
        self.assertAlmostEqual(1.0, sum(shares.values()), places=6)
        equal_share = 1.0 / len(demands)
        for zone, share in shares.items():
            wanted = 1.25 * demands[zone]
            self.assertThat(
                share,
                matchers.GreaterThan(min(wanted, equal_share) - 1e-6),
            )


class TokenBucketTests(testtools.TestCase):

    @hypothesis.given(
        strategies.floats(0.5, 50.0),
        strategies.lists(strategies.floats(0.0, 2.0), max_size=60),
    )
    def test_admits_at_most_rate_and_burst(self, rate, pauses):
        bucket = limits.TokenBucket(rate, 0.0)
        now, admitted = 0.0, 0
        for pause in pauses:
            now += pause
            admitted += bucket.take(1.0, now)
        max_admitted = 1.0 + bucket.capacity() + rate * now
        self.assertThat(admitted, matchers.LessThan(max_admitted + 1e-6))

    def test_request_is_admitted_after_the_reported_wait(self):
        bucket = limits.TokenBucket(2.0, 0.0)
        self.assertEqual(1.0, bucket.take(1.0, 0.0))
        self.assertEqual(0.0, bucket.take(1.0, 0.0))
        wait = bucket.wait_seconds(1.0)
        self.assertEqual(1.0, bucket.take(1.0, wait))

    def test_large_request_is_admitted_once_on_credit(self):
        bucket = limits.TokenBucket(100.0, 0.0)
        self.assertTrue(bucket.take_with_debt(1_000.0, 0.0))
        self.assertFalse(bucket.take_with_debt(1.0, 5.0))
        self.assertTrue(bucket.take_with_debt(1.0, 11.0))
