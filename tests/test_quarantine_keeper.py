"""Tests of the quarantines in the platform's store."""

import random
import time

import testtools

from catkintrail import errors
from catkintrail import quarantine_keeper
from catkintrail.adapters import router_actor
from catkintrail.adapters import router_client
from catkintrail.core import request_quarantine
from catkintrail.core import request_router
from catkintrail.core.quarantine import conviction
from catkintrail.core.quarantine import crash_evidence
from catkintrail.platform import store
from catkintrail.ports import quarantine_store
from tests import platform_standins
from tests import relaying as builders

KIND = store.QUARANTINE_KIND
LENGTH_SECONDS = request_quarantine.QUARANTINE_SECONDS
BAD = frozenset({"bad", "worse"})


class KeeperTestCase(testtools.TestCase):
    """Instances that start one after the other at one store."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.store = platform_standins.Store()
        self.addCleanup(self.store.close)
        self.objects = store.QuarantineObjects(
            store.StoreClient(self.store.address)
        )

    def start(self):
        """Returns the keeper of an instance that knows nothing."""
        router = request_router.RequestRouter(
            builders.make_settings(seeds=()), 1, random.Random(1), self.now
        )
        actor = router_actor.RouterActor.start(
            router, lambda addresses, message: None, lambda: self.now
        )
        self.addCleanup(actor.stop)
        client = router_client.RouterClient(
            actor, router.notices, router.quarantine, lambda: self.now
        )
        return quarantine_keeper.QuarantineKeeper(
            self.objects, client, lambda: 1e9 + self.now
        )

    def convict(self, keeper, *traits):
        for number in range(conviction.CRASHES_OF_UNPROVEN_TRAITS):
            crash = crash_evidence.EngineCrash(
                f"e-{number}-{self.now}", 1, traits, True
            )
            keeper.router.proxy.record_request_crash(crash).get()
            self.now += 0.2

    def restart(self):
        keeper = self.start()
        keeper.synchronise()
        return keeper

    def find(self, keeper, *traits):
        return keeper.router.find_quarantine(traits)

    def start_with_a_stored_quarantine(self):
        keeper = self.start()
        keeper.synchronise()
        self.convict(keeper, *BAD)
        self.now += quarantine_keeper.MIN_AGE_SECONDS
        keeper.synchronise()
        return keeper


class KeeperTests(KeeperTestCase):

    def test_instance_that_starts_alone_knows_what_was_convicted(self):
        self.start_with_a_stored_quarantine()
        self.now += 60.0
        left = self.find(self.restart(), "bad", "worse")
        self.assertAlmostEqual(LENGTH_SECONDS - 61.2, left, delta=0.5)

    def test_one_write_stores_a_quarantine_and_nothing_is_written_before(self):
        keeper = self.start_with_a_stored_quarantine()
        for _ in range(5):
            keeper.synchronise()
            self.restart().synchronise()
            self.now += 10.0
        self.assertEqual([("POST", f"/api/objects/{KIND}")], self.store.writes)

    def test_quarantine_that_ends_at_once_is_not_written(self):
        keeper = self.restart()
        self.convict(keeper, "bad")
        keeper.synchronise()
        keeper.router.proxy.record_request_proof(("bad",)).get()
        self.now += 10.0
        keeper.synchronise()
        self.assertEqual([], self.store.writes)

    def test_quarantine_that_an_answer_ends_is_removed(self):
        self.start_with_a_stored_quarantine()
        keeper = self.restart()
        keeper.router.proxy.record_request_proof(tuple(BAD)).get()
        keeper.synchronise()
        self.assertEqual(set(), self.store.names(KIND))
        self.assertIsNone(self.find(self.restart(), *BAD))

    def test_quarantine_is_not_prolonged_by_starts(self):
        self.start_with_a_stored_quarantine()
        for _ in range(9):
            self.now += LENGTH_SECONDS / 10
            self.restart()
        self.now += LENGTH_SECONDS / 10
        self.assertIsNone(self.find(self.restart(), *BAD))
        self.assertEqual(set(), self.store.names(KIND))

    def test_quarantine_that_is_renewed_at_its_end_outlasts_all_instances(self):
        keeper = self.start_with_a_stored_quarantine()
        self.now += LENGTH_SECONDS
        keeper.router.proxy.tick().get()
        self.now += 0.1
        crash = crash_evidence.EngineCrash("e-9", 1, tuple(BAD), True)
        keeper.router.proxy.record_request_crash(crash).get()
        self.assertIsNotNone(self.find(keeper, *BAD))
        for _ in range(6):
            self.now += 1.0
            keeper.synchronise()
        self.assertIsNotNone(self.find(self.restart(), *BAD))

    def test_odd_entries_cost_themselves_only(self):
        self.start_with_a_stored_quarantine()
        (name,) = self.store.names(KIND)
        odd = (
            None,
            [],
            {},
            {"traits": "bad", "ends-at-ms": 1, "failed-trials": 0},
            {"traits": [], "ends-at-ms": 1, "failed-trials": 0},
            {"traits": ["other", 1], "ends-at-ms": 1, "failed-trials": 0},
            {"traits": ["other"], "ends-at-ms": "soon", "failed-trials": 0},
            {"traits": ["other"], "ends-at-ms": 1.5, "failed-trials": 0},
            {"traits": ["other"], "ends-at-ms": 10**18, "failed-trials": 0},
            {"traits": ["other"], "ends-at-ms": 10**12, "failed-trials": "x"},
            {"traits": ["other"], "ends-at-ms": 10**12},
        )
        for number, spec in enumerate(odd):
            self.store.put(KIND, f"odd-{number}", spec)
        self.objects.write(
            quarantine_store.StoredQuarantine(("later",), 10**18)
        )
        keeper = self.restart()
        self.assertIsNotNone(self.find(keeper, *BAD))
        self.assertIsNone(self.find(keeper, "other"))
        self.assertIsNone(self.find(keeper, "later"))
        self.assertIn(name, self.store.names(KIND))

    def test_quarantine_whose_trial_has_failed_has_no_further_one(self):
        for failed in (0, 1):
            keeper = self.restart()
            traits = (f"bad{failed}",)
            self.convict(keeper, *traits)
            self.now += 0.6
            self.assertTrue(keeper.router.begin_trial(traits))
            if failed:
                crash = crash_evidence.EngineCrash("e-9", 1, traits, True)
                keeper.router.proxy.record_request_crash(crash).get()
            self.now += quarantine_keeper.MIN_AGE_SECONDS
            keeper.synchronise()
            started = self.restart()
            self.now += 60.0
            is_tried = started.router.begin_trial(traits)
            self.assertEqual(not failed, is_tried)

    def test_store_that_is_away_is_asked_again(self):
        self.start_with_a_stored_quarantine()
        self.store.status = 503
        keeper = self.start()
        self.assertRaises(errors.PlatformError, keeper.synchronise)
        self.assertFalse(keeper.has_read)
        self.store.status = 200
        keeper.synchronise()
        self.assertIsNotNone(self.find(keeper, *BAD))

    def test_conviction_that_an_older_copy_lacks_is_written_again(self):
        copy = self.store.copy()
        keeper = self.start_with_a_stored_quarantine()
        self.store.restore(copy)
        self.objects.read_all()
        keeper.synchronise()
        self.assertEqual(1, len(self.store.names(KIND)))

    def test_conviction_that_an_older_copy_brings_back_is_removed(self):
        keeper = self.start_with_a_stored_quarantine()
        copy = self.store.copy()
        keeper.router.proxy.record_request_proof(tuple(BAD)).get()
        keeper.synchronise()
        self.store.restore(copy)
        self.objects.read_all()
        self.assertEqual(1, len(self.store.names(KIND)))
        keeper.synchronise()
        self.assertIsNone(self.find(keeper, *BAD))
        self.assertEqual(set(), self.store.names(KIND))


class KeeperThreadTests(KeeperTestCase):

    def test_thread_goes_on_after_failures(self):
        self.start_with_a_stored_quarantine()
        self.store.status = 503
        keeper = self.start()
        keeper.start()
        self.addCleanup(keeper.stop)
        time.sleep(0.3)
        self.assertTrue(keeper.has_called)
        self.assertFalse(keeper.has_read)
        self.store.status = 200
        deadline = time.monotonic() + 5.0
        while not keeper.has_read and time.monotonic() < deadline:
            time.sleep(0.05)
        self.assertIsNotNone(self.find(keeper, *BAD))
