"""Tests of the edits that the administration client plans."""

import json
import pathlib

import testtools

from catkintrail import admin_client
from catkintrail import checking
from catkintrail import errors
from catkintrail import objects
from catkintrail.core import publication

ROOT = pathlib.Path(__file__).parent.parent


def make_published_objects(**kinds):
    """Returns objects as an instance sends them: normalised, then JSON."""
    return json.loads(json.dumps(objects.normalise(kinds, [])))


class PlanEditsTests(testtools.TestCase):

    def plan_edits(self, current, document, prune=False):
        client = admin_client.AdminClient("http://127.0.0.1:1", "key")
        client.read_objects = lambda: {
            "objects": make_published_objects(**current)
        }
        return client.plan_edits(document, "document", prune)

    def test_published_examples_need_no_edits(self):
        for path in (ROOT / "examples").glob("*/objects.json"):
            document = checking.read_document(str(path))
            self.assertEqual([], self.plan_edits(document, document))

    def test_edit_contains_digest_of_published_content(self):
        current = {"services": {"s": {"target_slots": 1}}}
        (planned,) = self.plan_edits(current, {"services": {"s": {}}})
        base = publication.object_digest(
            make_published_objects(**current)["services"]["s"]
        )
        self.assertEqual(base, planned.edit.base)
        self.assertIn(
            '-  "target_slots": 1', admin_client.format_diff([planned])
        )

    def test_objects_are_deleted_only_with_prune(self):
        current = {"services": {"s": {}, "t": {}}}
        document = {"services": {"s": {}}}
        self.assertEqual([], self.plan_edits(current, document))
        (planned,) = self.plan_edits(current, document, prune=True)
        self.assertEqual(("t", None), (planned.edit.name, planned.edit.value))

    def test_invalid_document_is_rejected_locally(self):
        self.assertRaises(
            errors.CheckError,
            self.plan_edits,
            {},
            {"services": {"s": {"x": 1}}},
        )
