"""Tests of the quarantine of requests that crash engines, in fleets."""

import collections
import random
from unittest import mock

import testtools

from catkintrail import messages
from catkintrail.adapters import datagrams
from catkintrail.adapters import quarantine_exchange
from catkintrail.core import request_quarantine
from catkintrail.core.quarantine import conviction
from catkintrail.core.quarantine import crash_evidence
from tests import relaying as builders
from tests import virtual_fleet

LIMIT = conviction.CRASHES_OF_UNPROVEN_TRAITS


class FleetTestCase(testtools.TestCase):
    """Bad requests that come at any instance of a fleet.

    Counts what the stated rule counts: requests that reach engines after some
    crashes and the time for contact; and sound requests that share all but what
    is bad.
    """

    CONTACT_SECONDS = 3.0
    MAX_ARRIVALS = 3
    # Whether engines send the head of a response before they crash.
    HEAD_COMES_FIRST = True
    CRASH_SECONDS = 0.15
    RUN_SECONDS = 0.8

    def setUp(self):
        super().setUp()
        self.fleet = None
        self.rng = random.Random(1)
        # Times, by what is bad.
        self.crashes = collections.defaultdict(list)
        self.arrivals = collections.defaultdict(list)
        self.refused = 0

    def name(self, body):
        return crash_evidence.make_fingerprint("POST", "/a", "guild", body)

    def make_bad_traits(self, number):
        """Returns what is bad about a bad request, and its traits."""
        raise NotImplementedError

    def play(self, zone_sizes, crashes, cut_zones=()):
        """Returns the most late arrivals for the same bad thing.

        Args:
            zone_sizes: Number of instances by zone.
            crashes: Number of crashes after which arrivals may be late.
            cut_zones: Zones that cannot reach others.
        """
        self.fleet = virtual_fleet.VirtualFleet(
            zone_sizes, [builders.make_target("e-1")]
        )
        self.fleet.run(12.0)
        self.fleet.cut_zones |= set(cut_zones)
        for number in range(400):
            self.fleet.at(0.05 * number, self.send_sound, number)
        self.schedule_bad()
        self.fleet.run(20.0)
        return max(
            sum(
                at > times[crashes - 1] + self.CONTACT_SECONDS
                for at in self.arrivals[bad]
            )
            for bad, times in self.crashes.items()
            if len(times) >= crashes
        )

    def schedule_bad(self):
        for number in range(60):
            self.fleet.at(4.0 + 0.25 * number, self.send_bad, number)

    def is_quarantined(self, address, traits):
        quarantine = self.fleet.router(address).quarantine
        return quarantine.find(traits, self.fleet.now) is not None

    def is_refused(self, address, traits):
        """Returns whether an instance refuses a request; trials are not."""
        actor = self.fleet.actors[address]
        return self.is_quarantined(address, traits) and not actor.begin_trial(
            traits
        )

    def choose_instance(self):
        return self.rng.choice(sorted(self.fleet.actors))

    def send_sound(self, number):
        address = self.choose_instance()
        own = self.name(b"sound%d" % number)
        traits = (own, "common", f"tenant{number % 10}")
        if self.is_refused(address, traits):
            self.refused += 1
            return
        actor = self.fleet.actors[address]

        def answer():
            quarantine = self.fleet.router(address).quarantine
            actor.record_request_proof(quarantine.select_provable(traits))

        self.fleet.at(self.RUN_SECONDS, answer)

    def break_off(self, address, engine, traits, is_bad=True, is_resend=False):
        """Records a response that broke off as its engine crashed."""
        has_begun = self.HEAD_COMES_FIRST and is_bad
        crash = crash_evidence.EngineCrash(
            engine, 1, traits, has_begun, is_resend=is_resend
        )
        self.fleet.actors[address].record_request_crash(crash)

    def send_bad(self, number, sends=2, sender=None, is_resend=False):
        address = sender or self.choose_instance()
        bad, traits = self.make_bad_traits(number)
        if self.is_refused(address, traits):
            return
        self.arrivals[bad].append(self.fleet.now)

        def end_engine():
            self.crashes[bad].append(self.fleet.now)
            engine = f"e-{number}-{self.fleet.now}"
            self.break_off(address, engine, traits, is_resend=is_resend)
            if sends > 1:
                self.send_bad(number, sends - 1, sender, sender is not None)

        self.fleet.at(self.CRASH_SECONDS, end_engine)


class BadPartTestCase(FleetTestCase):
    """Different requests that have one bad part."""

    CRASHES = 5

    def make_bad_traits(self, number):
        own = self.name(b"bad%d" % number)
        return "bad", (own, "common", f"tenant{number % 10}", "bad")


class BadPartTests(BadPartTestCase):

    def test_6_instances(self):
        late = self.play({"za": 2, "zb": 2, "zc": 2}, self.CRASHES)
        self.assertLessEqual(late, self.MAX_ARRIVALS)
        self.assertEqual(0, self.refused)

    def test_24_instances(self):
        late = self.play({"za": 8, "zb": 8, "zc": 8}, self.CRASHES)
        self.assertLessEqual(late, self.MAX_ARRIVALS)
        self.assertEqual(0, self.refused)

    def test_195_instances(self):
        sizes = {zone: 39 for zone in ("za", "zb", "zc", "zd", "ze")}
        late = self.play(sizes, self.CRASHES)
        self.assertLessEqual(late, self.MAX_ARRIVALS)
        self.assertEqual(0, self.refused)

    def test_zone_that_is_cut_off_learns_on_its_own(self):
        late = self.play(
            {"za": 2, "zb": 2, "zc": 2}, self.CRASHES, cut_zones=("zc",)
        )
        self.assertLessEqual(late, self.MAX_ARRIVALS)
        self.assertEqual(0, self.refused)

    def test_instance_that_has_just_started_is_told(self):
        self.play({"za": 2, "zb": 2, "zc": 2}, self.CRASHES)
        address = "10.2.0.2"
        actor = self.fleet.actors[address]
        self.fleet._start(address, ("10.0.0.1:8002",), 0.5)
        self.assertIsNot(actor, self.fleet.actors[address])
        for number in (0, 1):
            _, traits = self.make_bad_traits(number)
            self.assertFalse(self.is_quarantined(address, traits))
        self.fleet.run(1.0)
        for number in (0, 1):
            _, traits = self.make_bad_traits(number)
            self.assertTrue(self.is_quarantined(address, traits))

    def test_zones_that_are_joined_again_share_their_evidence(self):
        fleet = virtual_fleet.VirtualFleet(
            {"za": 2, "zb": 2}, [builders.make_target("e-1")]
        )
        fleet.run(5.0)
        fleet.cut_zones.add("zb")
        fleet.run(6.0)
        for number in range(LIMIT + 1):
            address = ("10.0.0.1", "10.1.0.1")[number % 2]
            _, traits = self.make_bad_traits(2 * number)
            crash = crash_evidence.EngineCrash(f"e-{number}", 1, traits, True)
            fleet.actors[address].record_request_crash(crash)
            fleet.run(0.5)
        for address in fleet.actors:
            self.assertEqual({}, fleet.router(address).quarantine.quarantined)
        fleet.cut_zones.clear()
        fleet.run(3.0)
        _, traits = self.make_bad_traits(0)
        for address in fleet.actors:
            found = fleet.router(address).quarantine.find(traits, fleet.now)
            self.assertIsNotNone(found)


class BurstTestCase(BadPartTestCase):
    """Several requests with a bad part come at once, one at an instance."""

    CRASH_SECONDS = 0.01
    PAUSE_SECONDS = 5.0
    SENDS = 2

    def setUp(self):
        super().setUp()
        self.burst = 3

    def schedule_bad(self):
        for number in range(3 * self.burst):
            burst, place = divmod(number, self.burst)
            address = sorted(self.fleet.actors)[place]
            self.fleet.at(
                4.0 + self.PAUSE_SECONDS * burst,
                self.send_bad,
                number,
                self.SENDS,
                address,
            )

    def check(self):
        late = self.play({"za": 2, "zb": 2, "zc": 2}, self.CRASHES)
        self.assertLessEqual(late, self.MAX_ARRIVALS)
        self.assertEqual(0, self.refused)


class BurstTests(BurstTestCase):

    def test_bursts_of_three(self):
        self.check()

    def test_burst_at_each_instance(self):
        self.burst = 6
        self.check()


class SingleSendBurstTests(BurstTestCase):
    """The same on a route whose requests are sent once at most."""

    SENDS = 1

    def test_bursts_of_three(self):
        self.check()

    def test_bursts_of_five(self):
        # Nothing tells such a burst from a power failure.
        self.burst = 5
        self.check()


class HeadlessCrashTests(BadPartTestCase):
    """Engines crash before they send the head of a response."""

    HEAD_COMES_FIRST = False
    # Engines break off sound requests in their queues too.
    QUEUED = 4
    # Half of the sound requests, as nothing tells the bad one from those that
    # waited beside it.
    MAX_REFUSED = 200

    def break_off(self, address, engine, traits, is_bad=True, is_resend=False):
        broken = [(address, traits, True)]
        for tenant in self.rng.sample(range(10), self.QUEUED):
            own = self.name(b"queued%d%f" % (tenant, self.fleet.now))
            queued = (own, "common", f"tenant{tenant}")
            broken.append((self.choose_instance(), queued, False))
        self.rng.shuffle(broken)
        for at, broken_off, has_caused in broken:
            super().break_off(
                at, engine, broken_off, has_caused, is_resend and has_caused
            )

    def test_24_instances(self):
        late = self.play({"za": 8, "zb": 8, "zc": 8}, self.CRASHES)
        self.assertLessEqual(late, self.MAX_ARRIVALS)
        self.assertLessEqual(self.refused, self.MAX_REFUSED)

    def test_zone_that_is_cut_off_learns_on_its_own(self):
        late = self.play(
            {"za": 2, "zb": 2, "zc": 2}, self.CRASHES, cut_zones=("zc",)
        )
        self.assertLessEqual(late, self.MAX_ARRIVALS)
        self.assertLessEqual(self.refused, self.MAX_REFUSED)


class CrashAfterHeadTests(HeadlessCrashTests):
    """Engines send the head of a response before they crash."""

    HEAD_COMES_FIRST = True


class LongConversationTests(BadPartTestCase):
    """Prompts have hundreds of parts, one of which is bad."""

    PARTS = tuple(f"{number:08x}" for number in range(1_300))

    def make_bad_traits(self, number):
        _, traits = super().make_bad_traits(number)
        return "bad", (*traits, *self.PARTS)

    def test_6_instances(self):
        late = self.play({"za": 2, "zb": 2, "zc": 2}, self.CRASHES)
        self.assertLessEqual(late, self.MAX_ARRIVALS)
        self.assertEqual(0, self.refused)

    def test_messages_fit_into_datagrams(self):
        # Guards against evidence that is dropped as it is too long to send.
        router = builders.make_router()
        sent = []
        exchange = quarantine_exchange.QuarantineExchange(
            router, lambda addresses, news: sent.append(news)
        )
        for number in range(40):
            _, traits = self.make_bad_traits(number)
            crash = crash_evidence.EngineCrash(
                f"e-{number}", 1, (f"own{number % 10}", *traits), True
            )
            exchange.record_crash(crash, 100.0 + number % 4)
            router.quarantine.record_survival(f"f-{number}", 1, 100.0)
        sent.clear()
        exchange.greet("10.0.0.2", 104.0)
        crashes = [report for news in sent for report in news.crashes]
        self.assertEqual(40, len(crashes))
        self.assertNotEqual([], [q for news in sent for q in news.quarantines])
        self.assertEqual(40, sum(len(news.survivals) for news in sent))
        for news in sent:
            self.assertLessEqual(
                len(messages.encode(news)), datagrams.MAX_DATAGRAM_BYTES
            )

    def test_evidence_is_bounded(self):
        quarantine = request_quarantine.RequestQuarantine()
        bound = 20_000
        with mock.patch.object(crash_evidence, "MAX_EVIDENCE_TRAITS", bound):
            for number in range(32):
                crash = crash_evidence.EngineCrash(
                    f"e-{number // 4}", 1, (f"p{number}", *self.PARTS), True
                )
                quarantine.record_crash(crash, 100.0)
        reported = quarantine.crashes(100.0)
        size = sum(len(crash.traits) for crash, _ in reported)
        self.assertLessEqual(size, bound)
        self.assertGreater(size, bound / 2)


class RepeatedRequestTests(BadPartTests):
    """Two bad requests that come again and again."""

    CRASHES = 3

    def make_bad_traits(self, number):
        own = self.name(b"bad%d" % (number % 2))
        return own, (own, "common", f"tenant{number % 2}")


class OtherDeathsTests(FleetTestCase):
    """Engines end one after the other, for reasons of their own."""

    ENGINES = 23
    DEATHS = 1_000
    DEATH_PAUSE_SECONDS = 0.5
    BACK_SECONDS = 3.0
    MAX_REFUSED_SECONDS = 1.0
    ZONE_SIZES = {"za": 2, "zb": 2, "zc": 2}

    def setUp(self):
        super().setUp()
        self.run_seconds = (0.05, 0.6)
        self.up_at = {}
        self.running = collections.defaultdict(dict)
        self.sent = 0
        self.served = 0
        self.crash_count = 0
        self.first_refused_at = {}
        self.longest_refusal = 0.0

    def play_deaths(self, equal_per_second, seed):
        """Plays deaths beside sound requests, some of them equal."""
        self.rng = random.Random(seed)
        self.fleet = virtual_fleet.VirtualFleet(
            self.ZONE_SIZES, [builders.make_target("e-1")]
        )
        self.fleet.run(5.0)
        seconds = self.DEATHS * self.DEATH_PAUSE_SECONDS
        for number in range(self.DEATHS):
            at = number * self.DEATH_PAUSE_SECONDS
            jitter = self.rng.uniform(0.0, self.DEATH_PAUSE_SECONDS)
            self.fleet.at(at + jitter, self.kill_engine)
        for number in range(int(seconds * equal_per_second)):
            at = number / equal_per_second
            self.fleet.at(at, self.send, self.name(b"same"), 1)
        for number in range(int(seconds * 10)):
            name = self.name(b"other%d" % number)
            self.fleet.at(number / 10, self.send, name, 1)
        self.fleet.run(seconds + 5.0)

    def send(self, name, sends, address=None, engine=None):
        address = address or self.choose_instance()
        traits = (name, "common")
        now = self.fleet.now
        if self.is_refused(address, traits):
            since = self.first_refused_at.setdefault(name, now)
            self.longest_refusal = max(self.longest_refusal, now - since)
            return
        engines = [
            number
            for number in range(self.ENGINES)
            if self.up_at.get(number, 0.0) <= now and number != engine
        ]
        chosen = self.rng.choice(engines)
        self.sent += 1
        self.running[chosen][self.sent] = (address, name, sends)
        length = self.rng.uniform(*self.run_seconds)
        self.fleet.at(length, self.answer, chosen, self.sent, traits)

    def answer(self, engine, key, traits):
        request = self.running[engine].pop(key, None)
        if request is None:
            return
        address, name, _ = request
        self.served += 1
        quarantine = self.fleet.router(address).quarantine
        actor = self.fleet.actors[address]
        actor.record_request_proof(quarantine.select_provable(traits))
        self.first_refused_at.pop(name, None)

    def kill_engine(self):
        now = self.fleet.now
        alive = [
            number
            for number in range(self.ENGINES)
            if self.up_at.get(number, 0.0) <= now
        ]
        engine = self.rng.choice(alive)
        self.up_at[engine] = now + self.BACK_SECONDS
        broken = self.running.pop(engine, {})
        for address, name, sends in broken.values():
            self.crash_count += 1
            crash = crash_evidence.EngineCrash(
                f"e-{engine}", int(now * 1000), (name, "common"), False
            )
            self.fleet.actors[address].record_request_crash(crash)
            if sends < 2:
                self.send(name, sends + 1, address, engine)

    def make_bad_traits(self, number):
        """Returns the equal requests, which are sound."""
        return "same", (self.name(b"same"), "common")

    def check(self, equal_per_second, seed, run_seconds=(0.05, 0.6)):
        self.run_seconds = run_seconds
        self.play_deaths(equal_per_second, seed)
        self.assertGreater(self.crash_count, 100)
        self.assertLessEqual(self.longest_refusal, self.MAX_REFUSED_SECONDS)

    def test_frequent_equal_requests_stay_served(self):
        self.check(25.0, seed=1)

    def test_rare_equal_requests_stay_served(self):
        self.check(2.0, seed=2)

    def test_equal_requests_that_last_longer_stay_served(self):
        self.check(5.0, seed=4, run_seconds=(0.5, 2.0))

    def test_request_under_which_engines_ended_by_chance_is_served_again(self):
        self.fleet = virtual_fleet.VirtualFleet(
            self.ZONE_SIZES, [builders.make_target("e-1")]
        )
        self.fleet.run(5.0)
        _, traits = self.make_bad_traits(0)
        for number in range(LIMIT):
            self.fleet.run(0.5)
            self.break_off(self.choose_instance(), f"e-{number}", traits, False)
        ended_at = self.fleet.now
        self.fleet.run(0.01)
        self.assertTrue(self.is_quarantined("10.0.0.1", traits))
        for number in range(200):
            self.fleet.at(0.1 * number, self.send, self.name(b"same"), 1)
        self.fleet.run(self.MAX_REFUSED_SECONDS + 0.2)
        before = self.fleet.now
        self.assertLess(before - ended_at, 2 * self.MAX_REFUSED_SECONDS)
        self.assertLessEqual(self.longest_refusal, self.MAX_REFUSED_SECONDS)
        for address in self.fleet.actors:
            self.assertFalse(self.is_quarantined(address, traits))
        self.fleet.run(20.0)
        self.assertGreater(self.served, 180)
