"""Division of an organisation's limit between zones."""

import hypothesis
from hypothesis import strategies
import testtools
from testtools import matchers

from catkintrail.core import limits

ZONES = ("x", "y", "z")
STEP_SECONDS = 0.5
ANNOUNCE_SECONDS = 1.0
RECOVERY_SECONDS = 30.0


class Exchange:
    """One home in each zone, and claims on their way between them."""

    def __init__(self):
        self.now = 0.0
        self.shares = {
            zone: limits.ZoneShare(zone, ZONES, 0.0) for zone in ZONES
        }
        self.homes = {zone: f"{zone}-1" for zone in ZONES}
        self.demands = dict.fromkeys(ZONES, 0.0)
        self.cut = set()
        self.on_the_way = []

    def total(self):
        return sum(share.effective for share in self.shares.values())

    def step(self, delay=0.01):
        """Half a second: demand, announcements, deliveries."""
        self.now += STEP_SECONDS
        for zone, share in self.shares.items():
            share.note_demand(self.demands[zone] * STEP_SECONDS, self.now)
        if self.now % ANNOUNCE_SECONDS < STEP_SECONDS:
            self._announce(delay)
        due = [one for one in self.on_the_way if one[0] <= self.now]
        self.on_the_way = [one for one in self.on_the_way if one not in due]
        for _, sender, receiver, claim in due:
            if (sender, receiver) not in self.cut:
                self.shares[receiver].take_claim(
                    sender, self.homes[sender], claim, self.now
                )

    def _announce(self, delay):
        for zone, share in self.shares.items():
            share.tick(self.now)
            for other in ZONES:
                if other != zone:
                    claim = share.claim_for(other, "guild")
                    self.on_the_way.append(
                        (self.now + delay, zone, other, claim)
                    )

    def run(self, seconds, delay=0.01):
        highest = 0.0
        for _ in range(int(seconds / STEP_SECONDS)):
            self.step(delay)
            highest = max(highest, self.total())
        return highest


def demand():
    return strategies.dictionaries(
        strategies.sampled_from(ZONES), strategies.floats(0.0, 3.0)
    )


class ShareTests(testtools.TestCase):

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                demand(), strategies.floats(0.0, 0.9), strategies.integers(1, 9)
            ),
            max_size=8,
        )
    )
    @hypothesis.settings(max_examples=200)
    def test_never_over_the_limit_while_zones_reach_each_other(self, phases):
        """Demand changes at will; claims are up to 0.9 s on their way."""
        exchange = Exchange()
        for demands, delay, seconds in phases:
            exchange.demands.update(demands)
            highest = exchange.run(seconds, delay)
            self.assertThat(highest, matchers.LessThan(1.0 + 1e-6))

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                demand(),
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
    def test_overshoot_during_cuts_is_bounded(self, phases):
        """Any set of one-way cuts: at most the parts of the zones cut off.

        A zone that was shrunk may use its configured part once it is cut off.
        A zone that others cannot reach falls back to its part before they
        count on it, so all together use at most the limit, plus what one-way
        cuts hide: bounded by one part for each pair of zones that disagree.
        """
        exchange = Exchange()
        for demands, cut, delay, seconds in phases:
            exchange.demands.update(demands)
            exchange.cut = cut
            highest = exchange.run(seconds, delay)
            bound = 1.0 + 1.0 / len(ZONES)
            self.assertThat(highest, matchers.LessThan(bound + 1e-6))
        exchange.cut = set()
        exchange.demands = {"x": 3.0, "y": 0.0, "z": 0.0}
        exchange.run(RECOVERY_SECONDS)
        self.assertThat(exchange.total(), matchers.LessThan(1.0 + 1e-6))
        self.assertThat(
            exchange.shares["x"].effective, matchers.GreaterThan(0.85)
        )

    def test_whole_zone_cut_does_not_overshoot(self):
        exchange = Exchange()
        exchange.demands["x"] = 3.0
        exchange.run(20.0)
        self.assertThat(
            exchange.shares["x"].effective, matchers.GreaterThan(0.85)
        )
        exchange.cut = {("x", o) for o in "yz"} | {(o, "x") for o in "yz"}
        exchange.demands = dict.fromkeys(ZONES, 3.0)
        highest = exchange.run(60.0)
        self.assertThat(highest, matchers.LessThan(1.0 + 1e-6))
        part = exchange.shares["x"].part()
        for zone in ZONES:
            self.assertAlmostEqual(
                part, exchange.shares[zone].effective, delta=0.05
            )

    def test_dead_home_overshoots_only_until_the_next_announcement(self):
        exchange = Exchange()
        exchange.demands["x"] = 3.0
        exchange.run(20.0)
        exchange.homes["y"] = "y-2"
        exchange.shares["y"] = limits.ZoneShare("y", ZONES, exchange.now)
        part = exchange.shares["y"].part()
        self.assertThat(exchange.total(), matchers.LessThan(1.0 + part + 1e-6))
        exchange.run(2 * ANNOUNCE_SECONDS)
        exchange.run(RECOVERY_SECONDS)
        self.assertThat(exchange.total(), matchers.LessThan(1.0 + 1e-6))
        self.assertThat(
            exchange.shares["x"].effective, matchers.GreaterThan(0.85)
        )

    def test_idle_zone_gets_room_again(self):
        exchange = Exchange()
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
    def test_parts_sum_to_one_and_nobody_pays_for_greed(self, demands):
        shares = limits.divide(demands)
        self.assertAlmostEqual(1.0, sum(shares.values()), places=6)
        part = 1.0 / len(demands)
        for zone, share in shares.items():
            wanted = 1.25 * demands[zone]
            self.assertThat(
                share, matchers.GreaterThan(min(wanted, part) - 1e-6)
            )


class TokenBucketTests(testtools.TestCase):

    @hypothesis.given(
        strategies.floats(0.5, 50.0),
        strategies.lists(strategies.floats(0.0, 2.0), max_size=60),
    )
    def test_passes_at_most_rate_and_burst(self, rate, pauses):
        bucket = limits.TokenBucket(rate, 0.0)
        now, passed = 0.0, 0
        for pause in pauses:
            now += pause
            passed += bucket.take(1.0, now)
        most = 1.0 + bucket.capacity() + rate * now
        self.assertThat(passed, matchers.LessThan(most + 1e-6))

    def test_retry_after_is_when_it_passes(self):
        bucket = limits.TokenBucket(2.0, 0.0)
        self.assertEqual(1.0, bucket.take(1.0, 0.0))
        self.assertEqual(0.0, bucket.take(1.0, 0.0))
        wait = bucket.wait_seconds(1.0)
        self.assertEqual(1.0, bucket.take(1.0, wait))

    def test_large_request_passes_on_credit_once(self):
        bucket = limits.TokenBucket(100.0, 0.0)
        self.assertTrue(bucket.take_debt(1_000.0, 0.0))
        self.assertFalse(bucket.take_debt(1.0, 5.0))
        self.assertTrue(bucket.take_debt(1.0, 11.0))
