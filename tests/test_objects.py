"""The check of a whole set of objects."""

import hypothesis
from hypothesis import strategies
import testtools

from catkintrail import checking
from catkintrail import errors
from catkintrail import objects
from tests import test_messages

KEY = "0" * 64


def mistakes_of(data):
    try:
        objects.check_object_set(data, "set")
    except errors.CheckError as error:
        return {mistake.path: mistake.message for mistake in error.mistakes}
    return {}


def valid_set():
    return {
        "organisations": {"guild": {"keys": [{"name": "k", "sha256": KEY}]}},
        "models": {"m": {"context_tokens": 1000, "engine_kv_tokens": 1000}},
        "services": {"s": {}},
        "routes": {
            "ask": {"model": "m", "organisations": ["guild"]},
            "book": {"service": "s"},
        },
    }


class CheckObjectSetTests(testtools.TestCase):

    def test_valid_set(self):
        self.assertEqual({}, mistakes_of(valid_set()))

    def test_all_mistakes_at_once_with_their_paths(self):
        data = valid_set()
        data["routes"]["ask"]["model"] = "missing"
        data["routes"]["book"]["organisations"] = ["nobody"]
        data["models"]["m"]["blok_tokens"] = 4
        data["organisations"]["guild"]["keys"][0]["sha256"] = "secret"
        data["organisations"]["guild"]["weight"] = -1.0
        data["services"]["s"]["call_seconds"] = "fast"
        data["houses"] = {}
        found = mistakes_of(data)
        self.assertEqual(
            {
                "routes.ask.model",
                "routes.book.organisations[0]",
                "models.m.blok_tokens",
                "organisations.guild.keys[0].sha256",
                "organisations.guild.weight",
                "services.s.call_seconds",
                "houses",
            },
            set(found),
        )
        self.assertIn("block_tokens", found["models.m.blok_tokens"])

    def test_key_of_two_organisations(self):
        data = valid_set()
        key = {"name": "x", "sha256": KEY}
        data["organisations"]["rival"] = {"keys": [key]}
        self.assertIn("organisations.rival.keys[0].sha256", mistakes_of(data))

    def test_model_larger_than_its_group(self):
        data = valid_set()
        data["models"]["m"]["context_tokens"] = 9_999
        self.assertIn("models.m.context_tokens", mistakes_of(data))

    def test_model_and_service_of_one_name(self):
        data = valid_set()
        data["services"]["m"] = {}
        self.assertIn("services.m", mistakes_of(data))

    @hypothesis.given(
        strategies.dictionaries(
            strategies.sampled_from([*objects.KINDS, "other"]),
            strategies.dictionaries(
                strategies.text("ab-", max_size=3),
                strategies.dictionaries(
                    strategies.sampled_from(
                        ["weight", "keys", "model", "service", "call_seconds"]
                    ),
                    test_messages.ANYTHING,
                    max_size=3,
                )
                | test_messages.ANYTHING,
                max_size=3,
            )
            | test_messages.ANYTHING,
        )
    )
    @hypothesis.settings(max_examples=200)
    def test_anything_is_a_set_or_mistakes(self, data):
        mistakes_of(data)

    def test_encoded_set_is_the_same_set(self):
        checked = objects.check_object_set(valid_set(), "set")
        data = objects.object_set_to_data(checked)
        self.assertEqual(checked, objects.check_object_set(data, "again"))


class ParseDocumentTests(testtools.TestCase):

    def test_comments_and_trailing_commas(self):
        text = '// a comment\n{"a": 1, /* two */ "b": [2,],}'
        self.assertEqual({"a": 1, "b": [2]}, checking.parse_document(text, "x"))

    @hypothesis.given(strategies.text(max_size=40))
    def test_any_text_is_an_object_or_mistakes(self, text):
        try:
            self.assertIsInstance(checking.parse_document(text, "x"), dict)
        except errors.CheckError as error:
            self.assertEqual(1, len(error.mistakes))

    def test_deep_nesting_is_a_mistake(self):
        text = '{"a":' + "[" * 100_000
        self.assertRaises(errors.CheckError, checking.parse_document, text, "x")
