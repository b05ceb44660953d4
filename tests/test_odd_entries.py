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
from catkintrail.platform import lenient_json
from catkintrail.platform import store
from catkintrail.platform import wire
from tests import platform_standins
from tests import relaying
from tests import test_fleet_state_updater as updater_tests

DEEP = b"[" * 5_000 + b"]" * 5_000
# Values of an entry's field that no page may be lost for.
ODD_BYTES = {
    "a number too large for a float": b"1e999",
    "a number of 5,000 digits": b"9" * 5_000,
    "bytes that are not UTF-8": b'"\xff\xfe"',
    "half of a surrogate pair": b'"\\ud800"',
    "nested lists": DEEP,
    "nested objects": b'{"a":' * 5_000 + b"1" + b"}" * 5_000,
    "not a number": b"NaN",
    "a control character": b'"\x01"',
    "a leading zero": b"08",
}
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


class PageTests(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.store = platform_standins.Store()
        self.addCleanup(self.store.close)
        self.source = store.StoreSource(store.StoreClient(self.store.address))

    def targets_of(self, update):
        return {event.name: event.target for event in update.events}

    def test_odd_entry_costs_a_list_that_entry_only(self):
        self.store.put("servers", "e-1", ENTRY)
        self.store.put("servers", "odd", {**ENTRY, "slots": "@odd"})
        self.store.put("servers", "z-2", ENTRY)
        for name, odd in ODD_BYTES.items():
            self.store.odd_values = {"@odd": odd}
            found = self.targets_of(self.source.list_targets())
            self.assertIsNone(found["odd"], name)
            self.assertEqual("e-1", found["e-1"].name)
            self.assertEqual("z-2", found["z-2"].name)

    def test_odd_entry_costs_a_watch_that_entry_only(self):
        position = self.source.list_targets().position
        self.store.put("servers", "odd", {**ENTRY, "slots": "@odd"})
        self.store.put("servers", "e-1", ENTRY)
        for name, odd in ODD_BYTES.items():
            self.store.odd_values = {"@odd": odd}
            update = self.source.watch_targets(position, 1.0)
            found = self.targets_of(update)
            self.assertIsNone(found["odd"], name)
            self.assertEqual("e-1", found["e-1"].name)
            self.assertEqual(
                position.revision + 2, update.position.revision, name
            )

    def test_odd_object_hides_no_configuration(self):
        spec = platform_standins.make_spec(7)
        self.store.put("config", "main", spec)
        self.store.put("config", "other", {"version": "@odd"})
        for name, odd in ODD_BYTES.items():
            self.store.odd_values = {"@odd": odd}
            update = self.source.read_configuration()
            self.assertEqual(7, update.configuration.version, name)

    def test_odd_configuration_is_no_configuration(self):
        self.store.put(
            "config",
            "main",
            {**platform_standins.make_spec(7), "version": "@odd"},
        )
        for name, odd in ODD_BYTES.items():
            self.store.odd_values = {"@odd": odd}
            update = self.source.read_configuration()
            self.assertIsNone(update.configuration, name)

    def test_page_that_is_no_json_is_an_outage(self):
        for data in (
            b"",
            b"{",
            b"]",
            b'{"items": [',
            b'{"items": [1}',
            b"\xff",
        ):
            self.assertRaises(ValueError, lenient_json.decode, data)

    @settings(max_examples=300)
    @given(st.binary(max_size=200))
    def test_any_bytes_are_decoded_or_refused(self, data):
        try:
            lenient_json.decode(data)
        except ValueError:
            pass

    @settings(max_examples=200)
    @given(st.binary(max_size=60))
    def test_odd_bytes_in_an_entry_end_in_known_errors(self, odd):
        self.store.odd_values = {"@odd": odd}
        self.store.put("servers", "odd", {**ENTRY, "slots": "@odd"})
        try:
            self.source.list_targets()
        except errors.PlatformError:
            pass


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
            entries = relaying.list_entries([target], (1, 1))
            news = messages.FleetNews("i", 1, tuple(entries), (1, 1))
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


class FollowingTests(updater_tests.StoreStandinTestCase):
    """An instance goes on following the store beside odd entries."""

    def test_later_changes_are_known(self):
        for odd in ODD_BYTES.values():
            self.store.odd_values = {"@odd": odd}
        self.updater.start()
        self.wait_for(lambda status: status.is_ready)
        self.store.put("servers", "e-1", {**ENTRY, "slots": "@odd"})
        self.wait_for(lambda _: self.usable() == {"e-2"}, 2.0)
        for number, (field, value) in enumerate(ODD_FIELDS):
            self.store.put("servers", f"odd-{number}", {**ENTRY, field: value})
        self.put_target("e-3")
        self.wait_for(lambda _: self.usable() == {"e-2", "e-3"}, 2.0)
