"""Tests of publication: concurrent changes, lost responses, audit trail."""

import json

import hypothesis
from hypothesis import strategies
import testtools

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.core import publication
from tests import fakes

ORGANISATIONS = ("a", "b", "c")


def make_change(change_id, edits):
    return publication.Change(change_id, "ops/key", 1.0, tuple(edits))


def organisation_edit(name, weight, base=None):
    value = {"weight": weight} if weight else None
    return publication.Edit("organisations", name, value, base)


def published_weights(snapshot):
    return {
        name: value["weight"]
        for name, value in snapshot.data["organisations"].items()
    }


class ConcurrentPublicationTests(testtools.TestCase):

    @hypothesis.given(
        faults=strategies.lists(strategies.integers(0, 5), max_size=30),
        competitors=strategies.lists(
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
    def test_accepted_changes_persist_and_are_audited_once(
        self, faults, competitors, weights
    ):
        """Publishers run concurrently, with a fault possible at each call.

        Each accepted change must stay in force and appear in the audit trail
        exactly once; a rejected change must not appear there.
        """
        store = fakes.FaultyStore()
        publication.publish(
            store,
            publication.empty_snapshot(),
            make_change("c0", [organisation_edit("z", 1)]),
        )
        store.faults = list(faults)
        accepted, refused = {"c0"}, set()
        calls = 0
        pending_competitors = list(competitors)

        def run_competitor():
            nonlocal calls
            calls += 1
            if pending_competitors and calls > pending_competitors[0][0]:
                _, name, weight = pending_competitors.pop(0)
                publish_change(f"rival{len(pending_competitors)}", name, weight)

        def publish_change(change_id, name, weight):
            try:
                snapshot = publication.publish(
                    store,
                    publication.empty_snapshot(),
                    make_change(change_id, [organisation_edit(name, weight)]),
                )
            except errors.OutcomeUnknownError:
                return
            except errors.PlatformUnavailableError:
                refused.add(change_id)
                return
            except fakes.SimulatedCrash:
                return
            head = publication.decode_head(snapshot.head)
            if head.change.change_id == change_id:
                accepted.add(change_id)

        store.before_call = run_competitor
        for number, (name, weight) in enumerate(weights):
            publish_change(f"own{number}", name, weight)
        store.before_call = None
        store.faults = []
        for _ in range(fakes.LATE_WRITE_CALLS):
            store.read("x")
        self.check_history(store, accepted, refused)

    def check_history(self, store, accepted, refused):
        # Another change moves the last record from the head to the audit trail.
        publication.publish(
            store,
            publication.empty_snapshot(),
            make_change("last", [organisation_edit("last", 1)]),
        )
        _, snapshot = publication.fetch(store, publication.empty_snapshot())
        history = publication.read_history(store, 100)
        generations = [record.generation for record in history]
        self.assertEqual(list(range(snapshot.generation, 0, -1)), generations)
        ids = [record.change_id for record in history]
        self.assertEqual(len(ids), len(set(ids)))
        self.assertEqual(set(), accepted - set(ids))
        self.assertEqual(set(), refused & set(ids))
        # Replaying the audit trail yields the current objects, so no accepted
        # change was overwritten without a record.
        replayed = {}
        for record in reversed(history):
            for edit in record.edits:
                replayed[edit["name"]] = edit["after"]["weight"]
        self.assertEqual(replayed, published_weights(snapshot))


class OutcomeUnknownTests(testtools.TestCase):

    def test_rejected_changes_never_take_effect(self):
        """At each position, two consecutive calls fail with the same fault."""
        for position in range(8):
            for fault in (fakes.LATE, fakes.LOST, fakes.DOWN):
                store = fakes.FaultyStore([fakes.OK] * position + [fault] * 2)
                try:
                    publication.publish(
                        store,
                        publication.empty_snapshot(),
                        make_change("c1", [organisation_edit("a", 1)]),
                    )
                    expected = {1}
                except errors.OutcomeUnknownError:
                    expected = {0, 1}
                except errors.PlatformUnavailableError:
                    expected = {0}
                store.faults = []
                for _ in range(fakes.LATE_WRITE_CALLS):
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
            make_change("c1", [organisation_edit("a", 1)]),
        )
        self.base = publication.object_digest(
            self.first.data["organisations"]["a"]
        )

    def publish(self, change_id, *edits, known=None):
        return publication.publish(
            self.store, known or self.first, make_change(change_id, edits)
        )

    def test_conflicting_edit_reports_both_contents(self):
        self.publish("c2", organisation_edit("a", 2, self.base))
        error = self.assertRaises(
            errors.RequestError,
            self.publish,
            "c3",
            organisation_edit("a", 3, self.base),
        )
        self.assertIs(verdicts.Reason.CONFLICT, error.refusal.reason)
        self.assertIn('{"weight":2}', error.refusal.message)
        self.assertIn('{"weight":3}', error.refusal.message)

    def test_edits_of_different_objects_do_not_conflict(self):
        self.publish("c2", organisation_edit("b", 2, ""))
        last = self.publish("c3", organisation_edit("a", 3, self.base))
        self.assertEqual({"a": 3, "b": 2}, published_weights(last))

    def test_complete_object_set_is_validated(self):
        edit = publication.Edit("routes", "r", {"model": "nowhere"})
        error = self.assertRaises(errors.CheckError, self.publish, "c2", edit)
        self.assertIn("nowhere", str(error))
        self.assertEqual(1, len(publication.read_history(self.store, 9)))

    def test_change_without_effect_creates_no_generation(self):
        again = self.publish("c2", organisation_edit("a", 1))
        self.assertEqual(self.first.generation, again.generation)

    def test_stale_read_never_lowers_the_generation(self):
        """A publisher that knows the newest head reads an older one."""
        stale = self.store.inner.objects[publication.HEAD_NAME]
        newest = self.publish("c2", organisation_edit("a", 2))
        real = self.store.read
        self.store.read = lambda name: (
            stale if name == publication.HEAD_NAME else real(name)
        )
        self.assertRaises(
            errors.PlatformUnavailableError,
            self.publish,
            "c3",
            organisation_edit("b", 1),
            known=newest,
        )
        self.store.read = real
        _, snapshot = publication.fetch(self.store, newest)
        self.assertEqual(newest.generation, snapshot.generation)

    def test_old_parts_are_deleted(self):
        for number in range(2, 12):
            self.publish(f"c{number}", organisation_edit("a", number))
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
