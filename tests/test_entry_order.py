"""Tests of the order of statements about the entries of the store."""

from hypothesis import given
from hypothesis import strategies as st
import testtools

from catkintrail.core import store_views
from tests import relaying

NAMES = ("e-1", "e-2")


def position_of(revision, era=1):
    return store_views.Position(era, revision)


class EntryOrderTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.order = store_views.EntryOrder()

    def test_later_era_is_newer_whatever_the_revision(self):
        self.order.put("e-1", position_of(9))
        self.assertTrue(self.order.remove("e-1", position_of(2, era=2), 0.0))
        self.assertFalse(self.order.put("e-1", position_of(10)))
        self.assertTrue(self.order.put("e-1", position_of(3, era=2)))

    def test_removal_is_newer_than_the_entry_that_it_removed(self):
        self.order.put("e-1", position_of(3))
        self.assertTrue(self.order.remove("e-1", position_of(3), 0.0))
        self.assertFalse(self.order.put("e-1", position_of(3)))
        self.assertTrue(self.order.put("e-1", position_of(4)))

    def test_removals_are_forgotten_once_all_changes_are_known(self):
        self.order.remove("e-1", position_of(3), 0.0)
        self.order.complete(position_of(4))
        self.assertEqual({}, self.order.removed)
        self.assertFalse(self.order.put("e-1", position_of(4)))
        self.assertTrue(self.order.put("e-1", position_of(5)))

    def test_removals_are_forgotten_after_their_retention(self):
        self.order.remove("e-1", position_of(3), 100.0)
        self.order.remove("e-2", position_of(4), 500.0)
        self.order.expire(101.0 + store_views.REMOVAL_RETENTION_SECONDS)
        self.assertEqual({"e-2": position_of(4)}, self.order.removed)

    def test_size_is_bounded(self):
        for number in range(store_views.MAX_REMOVALS + 10):
            self.order.remove(f"e-{number}", position_of(number), 0.0)
        self.assertEqual(store_views.MAX_REMOVALS, len(self.order.removed))


class History:
    """Changes of a store: an entry is written, or removed if it is listed.

    Attributes:
        changes: Name, whether it was removed, and the revision that is stated
            of the entry, by revision of the store.
    """

    def __init__(self, names, states_own_revision):
        """Creates a history.

        Args:
            names: Name of the entry of each change.
            states_own_revision: Whether a removed entry has the revision of
                its removal, not that of its last content.
        """
        self.changes = {}
        listed = {}
        for revision, (name, is_removal) in enumerate(names, 1):
            if is_removal and name in listed:
                last = listed.pop(name)
                stated = revision if states_own_revision else last
                self.changes[revision] = name, True, stated
            else:
                listed[name] = revision
                self.changes[revision] = name, False, revision

    def listed_at(self, revision):
        """Returns the revision of each entry that is listed at a revision."""
        listed = {}
        for number in range(1, revision + 1):
            name, is_removed, stated = self.changes[number]
            if is_removed:
                del listed[name]
            else:
                listed[name] = stated
        return listed


class LateStatementTests(testtools.TestCase):
    """An instance that follows a store and hears older statements of peers."""

    @given(
        st.lists(
            st.tuples(st.sampled_from(NAMES), st.booleans()),
            min_size=1,
            max_size=10,
        ),
        st.booleans(),
        st.data(),
    )
    def test_what_is_known_is_what_the_store_holds(self, names, states, data):
        # Guards against targets that older statements bring back or remove.
        history = History(names, states)
        last = len(history.changes)
        router = relaying.make_router()
        state = router.fleet_state
        start = data.draw(st.integers(0, last), "first page at")
        second = data.draw(st.integers(start, last), "second page at")
        listed = [
            self.make_statement(name, False, revision)
            for name, page_revision in zip(NAMES, (start, second))
            for other, revision in history.listed_at(page_revision).items()
            if other == name
        ]
        state.replace_targets(listed, 200.0, position_of(start))
        known = start
        while known < last:
            for revision in data.draw(
                st.lists(st.integers(1, last), max_size=3), "told by a peer"
            ):
                change = history.changes[revision]
                state.targets.apply(self.make_statement(*change), 200.0)
            end = data.draw(st.integers(known + 1, last), "watched to")
            events = {}
            for revision in range(known + 1, end + 1):
                events[history.changes[revision][0]] = history.changes[revision]
            for name, is_removed, stated in events.values():
                target = relaying.make_target(name, slots=stated)
                state.update_target(
                    None if is_removed else target,
                    name,
                    is_removed,
                    200.0,
                    position_of(stated),
                )
            state.complete_targets(position_of(end))
            known = end
        for revision in range(1, last + 1):
            change = history.changes[revision]
            state.targets.apply(self.make_statement(*change), 200.0)
        self.assertEqual(
            history.listed_at(last),
            {t.name: t.slots for t in state.targets.targets.values()},
        )

    def make_statement(self, name, is_removed, revision):
        target = relaying.make_target(name, slots=revision)
        if is_removed:
            target = None
        return store_views.EntryStatement(name, target, position_of(revision))
