"""Tests of the validation of object sets and the parsing of documents."""

import hypothesis
from hypothesis import strategies
import testtools

from catkintrail import checking
from catkintrail import errors
from catkintrail import objects
from tests import test_messages

KEY_SHA256 = "0" * 64


def mistakes_of(data):
    """Returns the messages of all mistakes in a set of objects, by path."""
    try:
        objects.check_object_set(data, "set")
    except errors.CheckError as error:
        return {mistake.path: mistake.message for mistake in error.mistakes}
    return {}


def make_valid_data():
    return {
        "organisations": {
            "guild": {"keys": [{"name": "k", "sha256": KEY_SHA256}]}
        },
        "models": {"m": {"context_tokens": 1000, "engine_kv_tokens": 1000}},
        "services": {"s": {}},
        "routes": {
            "ask": {"model": "m", "organisations": ["guild"]},
            "book": {"service": "s"},
        },
    }


class CheckObjectSetTests(testtools.TestCase):

    def test_valid_set(self):
        self.assertEqual({}, mistakes_of(make_valid_data()))

    def test_all_mistakes_are_reported_with_paths(self):
        data = make_valid_data()
        data["routes"]["ask"]["model"] = "missing"
        data["routes"]["book"]["organisations"] = ["nobody"]
        data["models"]["m"]["blok_tokens"] = 4
        data["organisations"]["guild"]["keys"][0]["sha256"] = "secret"
        data["organisations"]["guild"]["weight"] = -1.0
        data["services"]["s"]["call_seconds"] = "fast"
        data["houses"] = {}
        mistakes = mistakes_of(data)
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
            set(mistakes),
        )
        self.assertIn("block_tokens", mistakes["models.m.blok_tokens"])

    def test_key_shared_by_two_organisations(self):
        data = make_valid_data()
        key = {"name": "x", "sha256": KEY_SHA256}
        data["organisations"]["rival"] = {"keys": [key]}
        self.assertIn("organisations.rival.keys[0].sha256", mistakes_of(data))

    def test_context_exceeds_group_capacity(self):
        data = make_valid_data()
        data["models"]["m"]["context_tokens"] = 9_999
        self.assertIn("models.m.context_tokens", mistakes_of(data))

    def test_model_and_service_with_the_same_name(self):
        data = make_valid_data()
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

    def test_encoding_round_trip(self):
        checked = objects.check_object_set(make_valid_data(), "set")
        data = objects.encode_object_set(checked)
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

    def test_deep_nesting_is_rejected(self):
        text = '{"a":' + "[" * 100_000
        self.assertRaises(errors.CheckError, checking.parse_document, text, "x")
