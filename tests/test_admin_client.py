"""The operator's client: what a document would change."""

import json
import pathlib

import testtools

from catkintrail import admin_client
from catkintrail import checking
from catkintrail import errors
from catkintrail import objects
from catkintrail.core import publication

ROOT = pathlib.Path(__file__).parent.parent


def in_force(**kinds):
    """Returns objects as an instance sends them, through JSON."""
    return json.loads(json.dumps(objects.normalise(kinds, [])))


class PlanTests(testtools.TestCase):

    def plan(self, current, document, prune=False):
        client = admin_client.AdminClient("http://127.0.0.1:1", "key")
        client.read_objects = lambda: {"objects": in_force(**current)}
        return client.plan(document, "document", prune)

    def test_examples_in_force_are_no_change(self):
        for path in (ROOT / "examples").glob("*/objects.json"):
            document = checking.read_document(str(path))
            self.assertEqual([], self.plan(document, document))

    def test_edit_names_the_content_it_came_from(self):
        current = {"services": {"s": {"target_slots": 1}}}
        (planned,) = self.plan(current, {"services": {"s": {}}})
        base = publication.digest_of(in_force(**current)["services"]["s"])
        self.assertEqual(base, planned.edit.base)
        self.assertIn(
            '-  "target_slots": 1', admin_client.format_diff([planned])
        )

    def test_objects_are_deleted_only_where_asked(self):
        current = {"services": {"s": {}, "t": {}}}
        document = {"services": {"s": {}}}
        self.assertEqual([], self.plan(current, document))
        (planned,) = self.plan(current, document, prune=True)
        self.assertEqual(("t", None), (planned.edit.name, planned.edit.value))

    def test_mistakes_are_found_before_the_call(self):
        self.assertRaises(
            errors.CheckError, self.plan, {}, {"services": {"s": {"x": 1}}}
        )
