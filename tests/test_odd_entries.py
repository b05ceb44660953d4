"""Tests of entries of the store that another writer has left malformed.

Such an entry names no target to use; the others hold.
"""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import testtools

from catkintrail import errors
from catkintrail import messages
from catkintrail.core import event_stream
from catkintrail.platform import wire
from tests import platform_standins

ENTRY = {
    "service": "engines",
    "address": "10.1.0.1:80",
    "zone": "za",
    "slots": 8,
    "state": "ready",
    "born": 1_700_000_000_000,
}
# Values that no usable target can have, by field.
ODD_FIELDS = (
    ("address", "10.1.0.1:99999"),
    ("address", "10.1.0.1:0"),
    ("address", "10.1.0.1:-1"),
    ("address", "10.1.0.1:8\N{SUPERSCRIPT TWO}"),
    ("address", "10.1.0.1:" + "8" * 5_000),
    ("address", "10.1.0.1"),
    ("address", ":80"),
    ("address", "..:80"),
    ("address", "a" * 300 + ":80"),
    ("address", "10.1.0.1\0:80"),
    ("address", "10.1.0.1 \r\nX: y:80"),
    ("address", 80),
    ("slots", 10**30),
    ("slots", -(10**30)),
    ("slots", -1),
    ("slots", True),
    ("slots", 8.5),
    ("slots", None),
    ("service", ["engines"]),
    ("zone", {}),
    ("state", "READY"),
    ("state", ["ready"]),
    ("state", {}),
    ("state", None),
)


class TargetEntryTests(testtools.TestCase):

    def test_odd_fields_name_no_target(self):
        for field, value in ODD_FIELDS:
            item = {
                "metadata": {"name": "odd"},
                "spec": {**ENTRY, field: value},
            }
            self.assertIsNone(wire.decode_target(item), (field, value))

    def test_odd_start_time_counts_as_none(self):
        for born in (10**30, -5, "x", True, 1.5, None):
            item = {
                "metadata": {"name": "e-1"},
                "spec": {**ENTRY, "born": born},
            }
            self.assertEqual(0, wire.decode_target(item).born, born)

    json_values = st.recursive(
        st.none()
        | st.booleans()
        | st.integers()
        | st.floats()
        | st.text(max_size=20)
        | st.sampled_from(list(ENTRY.values())),
        lambda inner: st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(list(ENTRY)), inner, max_size=6),
        max_leaves=8,
    )

    @settings(max_examples=300)
    @given(st.dictionaries(st.sampled_from(list(ENTRY)), json_values))
    def test_any_decoded_entry_can_be_passed_on_to_peers(self, changes):
        item = {"metadata": {"name": "odd"}, "spec": {**ENTRY, **changes}}
        target = wire.decode_target(item)
        if target is not None:
            news = messages.FleetNews("i", 1, (target,), (), (1, 1))
            self.assertEqual(news, messages.decode(messages.encode(news)))

    @settings(max_examples=300)
    @given(json_values)
    def test_any_configuration_is_decoded_or_refused(self, value):
        spec = platform_standins.make_spec(3)
        for field in spec:
            try:
                wire.decode_configuration({**spec, field: value})
            except errors.CheckError:
                pass


class HeaderNumberTests(testtools.TestCase):
    """Numbers in headers that int() rejects though they count as digits."""

    ODD_NUMBERS = ("\N{SUPERSCRIPT TWO}", "9" * 5_000, "1e3", "-1", "")

    def test_odd_counts_are_malformed(self):
        for text in self.ODD_NUMBERS:
            self.assertIsNone(wire.decode_count(text))
            self.assertEqual((0, 0), wire.decode_token_counts(f"{text},1"))
            self.assertEqual((0, 0), wire.decode_token_counts(f"1,{text}"))
            self.assertEqual(-1, wire.decode_era(text))

    def test_event_with_an_odd_id_has_none(self):
        data = b"id: " + b"9" * 5_000 + b"\ndata: x\n\n"
        event = event_stream.EventReader().feed(data)[0]
        self.assertEqual(-1, event.number)
