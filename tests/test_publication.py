"""Accepted changes: racing operators, lost answers, the audit trail."""

import json

import hypothesis
from hypothesis import strategies
import testtools

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.core import publication
from tests import fakes

ORGANISATIONS = ("a", "b", "c")


def change(change_id, edits):
    return publication.Change(change_id, "ops/key", 1.0, tuple(edits))


def organisation(name, weight, base=None):
    value = {"weight": weight} if weight else None
    return publication.Edit("organisations", name, value, base)


def published_weights(snapshot):
    return {
        name: value["weight"]
        for name, value in snapshot.data["organisations"].items()
    }


class RacingOperatorsTests(testtools.TestCase):

    @hypothesis.given(
        faults=strategies.lists(strategies.integers(0, 5), max_size=30),
        rivals=strategies.lists(
            strategies.tuples(
                strategies.integers(0, 12),
                strategies.sampled_from(ORGANISATIONS),
                strategies.integers(1, 9),
            ),
            max_size=4,
        ),
        weights=strategies.lists(
            strategies.tuples(
                strategies.sampled_from(ORGANISATIONS),
                strategies.integers(1, 9),
            ),
            min_size=1,
            max_size=4,
        ),
    )
    @hypothesis.settings(max_examples=500)
    def test_accepted_stays_and_audit_names_each_once(
        self, faults, rivals, weights
    ):
        """Publishers race and die at any call; answers are lost or late."""
        store = fakes.FaultyStore()
        publication.publish(
            store,
            publication.empty_snapshot(),
            change("c0", [organisation("z", 1)]),
        )
        store.faults = list(faults)
        accepted, refused = {"c0"}, set()
        calls = 0
        entering = list(rivals)

        def between():
            nonlocal calls
            calls += 1
            if entering and calls > entering[0][0]:
                _, name, weight = entering.pop(0)
                attempt(f"rival{len(entering)}", name, weight)

        def attempt(change_id, name, weight):
            try:
                snapshot = publication.publish(
                    store,
                    publication.empty_snapshot(),
                    change(change_id, [organisation(name, weight)]),
                )
            except errors.OutcomeUnknownError:
                return
            except errors.PlatformUnavailableError:
                refused.add(change_id)
                return
            except fakes.Died:
                return
            head = publication.decode_head(snapshot.head)
            if head.change.change_id == change_id:
                accepted.add(change_id)

        store.between = between
        for number, (name, weight) in enumerate(weights):
            attempt(f"own{number}", name, weight)
        store.between = None
        store.faults = []
        for _ in range(fakes.LATE_CALLS):
            store.read("x")
        self.check_final(store, accepted, refused)

    def check_final(self, store, accepted, refused):
        # One more change flushes the last record into the audit trail.
        publication.publish(
            store,
            publication.empty_snapshot(),
            change("last", [organisation("last", 1)]),
        )
        _, snapshot = publication.fetch(store, publication.empty_snapshot())
        history = publication.read_history(store, 100)
        generations = [one.generation for one in history]
        self.assertEqual(list(range(snapshot.generation, 0, -1)), generations)
        ids = [one.change_id for one in history]
        self.assertEqual(len(ids), len(set(ids)))
        self.assertEqual(set(), accepted - set(ids))
        self.assertEqual(set(), refused & set(ids))
        # Replaying the trail gives the objects in force: nothing reverted.
        replayed = {}
        for one in reversed(history):
            for edit in one.edits:
                replayed[edit["name"]] = edit["after"]["weight"]
        self.assertEqual(replayed, published_weights(snapshot))


class OutcomeUnknownTests(testtools.TestCase):

    def test_refused_changes_never_come_into_force(self):
        """Each call in turn gets no answer and takes effect late."""
        for position in range(8):
            for fault in (fakes.LATE, fakes.LOST, fakes.DOWN):
                store = fakes.FaultyStore([fakes.OK] * position + [fault] * 2)
                try:
                    publication.publish(
                        store,
                        publication.empty_snapshot(),
                        change("c1", [organisation("a", 1)]),
                    )
                    expected = {1}
                except errors.OutcomeUnknownError:
                    expected = {0, 1}
                except errors.PlatformUnavailableError:
                    expected = {0}
                store.faults = []
                for _ in range(fakes.LATE_CALLS):
                    store.read("x")
                history = publication.read_history(store, 9)
                self.assertIn(len(history), expected)


class ConflictTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.store = fakes.FaultyStore()
        self.first = publication.publish(
            self.store,
            publication.empty_snapshot(),
            change("c1", [organisation("a", 1)]),
        )
        self.base = publication.digest_of(self.first.data["organisations"]["a"])

    def publish(self, change_id, *edits, known=None):
        return publication.publish(
            self.store, known or self.first, change(change_id, edits)
        )

    def test_edit_of_changed_object_shows_both_sides(self):
        self.publish("c2", organisation("a", 2, self.base))
        error = self.assertRaises(
            errors.RequestError,
            self.publish,
            "c3",
            organisation("a", 3, self.base),
        )
        self.assertIs(verdicts.Reason.CONFLICT, error.refusal.reason)
        self.assertIn('{"weight":2}', error.refusal.message)
        self.assertIn('{"weight":3}', error.refusal.message)

    def test_edits_of_different_objects_both_hold(self):
        self.publish("c2", organisation("b", 2, ""))
        last = self.publish("c3", organisation("a", 3, self.base))
        self.assertEqual({"a": 3, "b": 2}, published_weights(last))

    def test_whole_set_is_checked(self):
        edit = publication.Edit("routes", "r", {"model": "nowhere"})
        error = self.assertRaises(errors.CheckError, self.publish, "c2", edit)
        self.assertIn("nowhere", str(error))
        self.assertEqual(1, len(publication.read_history(self.store, 9)))

    def test_unchanged_set_makes_no_generation(self):
        again = self.publish("c2", organisation("a", 1))
        self.assertEqual(self.first.generation, again.generation)

    def test_stale_read_never_lowers_the_generation(self):
        """The store answers an old head to a publisher that knows better."""
        stale = self.store.inner.objects[publication.HEAD_NAME]
        newest = self.publish("c2", organisation("a", 2))
        real = self.store.read
        self.store.read = lambda name: (
            stale if name == publication.HEAD_NAME else real(name)
        )
        self.assertRaises(
            errors.PlatformUnavailableError,
            self.publish,
            "c3",
            organisation("b", 1),
            known=newest,
        )
        self.store.read = real
        _, snapshot = publication.fetch(self.store, newest)
        self.assertEqual(newest.generation, snapshot.generation)

    def test_old_parts_are_deleted(self):
        for number in range(2, 12):
            self.publish(f"c{number}", organisation("a", number))
        names = self.store.inner.list_names("config/part/", 1_000)
        self.assertThat(len(names), testtools.matchers.LessThan(4))

    def test_large_set_is_split_into_parts_under_a_megabyte(self):
        keys = [{"name": "k", "sha256": "0" * 64, "role": "caller"}]
        edits = [
            publication.Edit("organisations", f"o{n}", {"weight": n + 1.0})
            for n in range(3_600)
        ]
        self.assertEqual(1, len(keys))
        snapshot = self.publish("c2", *edits)
        largest = max(len(part) for part in snapshot.parts.values())
        self.assertThat(largest, testtools.matchers.LessThan(1 << 20))
        self.assertThat(
            len(snapshot.head), testtools.matchers.LessThan(1 << 20)
        )
        record = publication.read_history(self.store, 1)[0]
        self.assertEqual(3_600 - len(record.edits), record.omitted)
        json.loads(snapshot.head)
