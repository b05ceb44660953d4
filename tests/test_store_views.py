"""Tests of an instance's view of the configuration and the targets."""

from hypothesis import given
from hypothesis import strategies as st
import testtools

from catkintrail import messages
from catkintrail.core import store_views
from tests import relaying


class ConfigurationViewTests(testtools.TestCase):

    def test_version_never_decreases(self):
        view = store_views.ConfigurationView()
        self.assertTrue(view.update(relaying.make_configuration(5), 10.0))
        self.assertFalse(view.update(relaying.make_configuration(4), 20.0))
        self.assertEqual(5, view.version)
        self.assertEqual(10.0, view.proven_at)

    def test_confirmation_of_another_version_is_ignored(self):
        view = store_views.ConfigurationView()
        view.update(relaying.make_configuration(5), 10.0)
        view.confirm(4, 50.0)
        self.assertEqual(10.0, view.proven_at)
        view.confirm(5, 40.0)
        view.confirm(5, 30.0)
        self.assertEqual(40.0, view.proven_at)

    @given(st.lists(st.tuples(st.integers(1, 9), st.floats(0, 99))))
    def test_version_and_proof_time_never_decrease(self, observations):
        view = store_views.ConfigurationView()
        for version, proven_at in observations:
            before = (view.version, view.proven_at)
            view.update(relaying.make_configuration(version), proven_at)
            self.assertGreaterEqual(view.version, before[0])
            if view.version == before[0]:
                self.assertGreaterEqual(view.proven_at, before[1])


class TargetViewTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.view = store_views.TargetView()
        self.target = relaying.make_target("e-1")
        self.view.replace_all(
            relaying.list_entries([self.target]),
            store_views.NO_POSITION,
            0.0,
            100.0,
        )

    def usable(self):
        return set(self.view.by_service.get("engines", {}))

    def test_leaving_target_is_listed_but_not_used(self):
        changes = self.view.put(self.target._replace(is_leaving=True), 100.0)
        self.assertEqual(["target_leaving"], [c.event for c in changes])
        self.assertEqual(set(), self.usable())
        self.assertIn("e-1", self.view.targets)

    def test_old_entry_does_not_revert_leaving(self):
        self.view.leave("e-1", 1, 100.0)
        self.view.put(self.target, 100.0)
        self.assertEqual(set(), self.usable())

    def test_older_entry_does_not_return_a_target_that_left_and_is_gone(self):
        self.view.leave("e-1", 1, 100.0)
        self.view.remove("e-1", 0.0, 100.0)
        self.view.put(self.target, 100.0)
        self.assertEqual(set(), self.usable())

    def test_target_restarted_under_the_same_name_is_used(self):
        self.view.leave("e-1", 1, 100.0)
        changes = self.view.put(self.target._replace(born=2), 100.0)
        self.assertEqual(["target_joined"], [c.event for c in changes])
        self.assertEqual({"e-1"}, self.usable())

    def test_removal_without_an_outage_takes_effect_at_once(self):
        changes = self.view.remove("e-1", 0.0, 100.0)
        self.assertEqual(["target_gone"], [c.event for c in changes])
        self.assertEqual(set(), self.usable())

    def test_lapsed_entry_is_kept_until_its_deadline(self):
        self.assertEqual([], self.view.remove("e-1", 102.0, 100.0))
        self.assertEqual({"e-1"}, self.usable())
        self.assertEqual([], self.view.expire(101.9))
        changes = self.view.expire(102.1)
        self.assertEqual(["target_lapsed"], [c.event for c in changes])
        self.assertEqual(set(), self.usable())

    def test_entry_that_returns_in_time_stays(self):
        self.view.remove("e-1", 102.0, 100.0)
        self.view.put(self.target, 100.0)
        self.assertEqual([], self.view.expire(200.0))
        self.assertEqual({"e-1"}, self.usable())

    def test_target_that_changes_service_is_removed_from_the_old_one(self):
        self.view.put(self.target._replace(service="desk"), 100.0)
        self.assertEqual(set(), self.usable())
        self.assertIn("e-1", self.view.by_service["desk"])


class RestoredStoreTests(testtools.TestCase):
    """A store that came back from a copy with entries that were removed."""

    def setUp(self):
        super().setUp()
        self.router = relaying.make_router([relaying.make_target("e-1")])
        self.state = self.router.fleet_state
        self.state.replace_targets([], 105.0)

    def usable(self):
        return set(self.state.targets.by_service.get("engines", {}))

    def replace_targets(self, targets, now):
        self.state.replace_targets(relaying.list_entries(targets), now)

    def restore(self, now):
        self.state.record_store_restored(2, now)
        self.replace_targets([relaying.make_target("e-1")], now)

    def test_removed_target_is_not_used_again(self):
        self.restore(107.0)
        self.assertEqual(set(), self.usable())
        self.state.update_target(None, "e-1", True, 110.0)
        self.state.expire(120.0)
        self.assertEqual(set(), self.usable())

    def test_target_that_stays_listed_is_used_again(self):
        self.restore(107.0)
        self.state.expire(111.0)
        self.assertEqual(set(), self.usable())
        self.state.expire(112.5)
        self.assertEqual({"e-1"}, self.usable())

    def test_target_that_was_born_anew_is_used_at_once(self):
        self.state.record_store_restored(2, 107.0)
        born_anew = relaying.make_target("e-1", born=2)
        self.replace_targets([born_anew], 107.0)
        self.assertEqual({"e-1"}, self.usable())

    def test_entry_that_is_written_again_later_is_used_at_once(self):
        self.replace_targets([relaying.make_target("e-1")], 107.0)
        self.assertEqual({"e-1"}, self.usable())
        self.assertFalse(
            self.state.targets.departures.contains(relaying.make_target("e-1"))
        )


class StoreOutageTests(testtools.TestCase):
    """Removals of targets after an outage of the store."""

    def setUp(self):
        super().setUp()
        self.router = relaying.make_router([relaying.make_target("e-1")])

    def remove_target(self, now):
        changes = self.router.fleet_state.update_target(None, "e-1", True, now)
        return [change.event for change in changes]

    def test_removal_long_after_an_outage_takes_effect_at_once(self):
        # Found on the day scale-2 at Thumbloop. Watches were cut 5 s before an
        # engine left without notice, and the engine was kept for another 2 s,
        # as if its entry had lapsed during the outage.
        self.router.fleet_state.record_store_state(False, 100.0)
        self.router.fleet_state.record_store_state(True, 101.0)
        self.assertEqual(["target_gone"], self.remove_target(104.0))

    def test_target_missing_in_an_older_copy_is_kept_until_written_again(self):
        state = self.router.fleet_state
        state.record_store_restored(2, 101.0)
        self.assertEqual([], state.replace_targets([], 101.1))
        self.assertIn("e-1", state.targets.by_service["engines"])
        self.assertEqual([], state.expire(102.9))
        entries = relaying.list_entries([relaying.make_target("e-1")])
        state.replace_targets(entries, 102.9)
        self.assertEqual([], state.expire(110.0))

    def test_removal_long_after_the_return_is_not_taken_for_a_lapse(self):
        # Subjects that are read late notice the new era again.
        state = self.router.fleet_state
        state.record_store_restored(2, 101.0)
        state.record_store_restored(2, 105.0)
        self.assertEqual(["target_gone"], self.remove_target(105.1))

    def test_list_that_is_read_late_decides_at_once(self):
        state = self.router.fleet_state
        state.record_store_restored(2, 101.0)
        changes = state.replace_targets([], 104.0)
        self.assertEqual(["target_gone"], [c.event for c in changes])

    def test_era_that_a_peer_reports_starts_the_time_for_lapses(self):
        state = self.router.fleet_state
        position = store_views.Position(1, 9)
        entries = relaying.list_entries([relaying.make_target("e-1")], position)
        state.replace_targets(entries, 100.0, position)
        news = messages.FleetNews("a-2", 1, (), (2, 4))
        state.handle_fleet_news("10.0.0.2", news, 101.0)
        state.record_store_restored(2, 105.0)
        self.assertEqual(["target_gone"], self.remove_target(105.1))

    def test_removal_right_after_an_outage_is_delayed(self):
        self.router.fleet_state.record_store_state(False, 100.0)
        self.router.fleet_state.record_store_state(True, 101.0)
        self.assertEqual([], self.remove_target(101.5))
        self.assertEqual([], self.router.expire(102.9))
        events = [change.event for change in self.router.expire(103.1)]
        self.assertEqual(["target_lapsed"], events)
