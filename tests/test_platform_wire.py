import testtools

from catkintrail import errors
from catkintrail.core import route_table
from catkintrail.platform import boot
from catkintrail.platform import wire
from tests import platform_standins

ENTRY = {
    "metadata": {"name": "i-1"},
    "spec": {
        "service": "engines",
        "address": "10.0.0.9:80",
        "zone": "za",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold-left-ms": 0,
        "seq": 4,
        "born": 1_700_000_000_123,
    },
}


class TargetTests(testtools.TestCase):

    def decode(self, **changes):
        return wire.decode_target(
            {**ENTRY, "spec": {**ENTRY["spec"], **changes}}
        )

    def test_entry_is_decoded(self):
        target = self.decode()
        self.assertEqual("i-1", target.name)
        self.assertEqual("za", target.availability_zone)
        self.assertFalse(target.is_leaving)
        self.assertEqual(1_700_000_000_123, target.born)

    def test_draining_target_is_leaving(self):
        self.assertTrue(self.decode(state="draining").is_leaving)

    def test_invalid_entries_are_not_decoded(self):
        for changes in (
            {"state": "odd"},
            {"state": ["ready"]},
            {"address": "nowhere"},
            {"address": 7},
            {"slots": "8"},
            {"slots": True},
            {"zone": None},
        ):
            self.assertIsNone(self.decode(**changes), changes)
        for record in (None, 7, {}, {"metadata": {}}, {**ENTRY, "spec": None}):
            self.assertIsNone(wire.decode_target(record))

    def test_invalid_start_time_is_zero(self):
        self.assertEqual(0, self.decode(born="yesterday").born)


class ConfigurationTests(testtools.TestCase):

    def test_configuration_is_decoded(self):
        decoded = wire.decode_configuration(platform_standins.make_spec(7))
        ask, book = decoded.routes
        self.assertEqual(7, decoded.version)
        self.assertEqual(route_table.RouteKind.STREAMING, ask.kind)
        self.assertTrue(ask.is_retryable)
        self.assertFalse(book.is_retryable)
        self.assertEqual(("desk", 100.0), book.services[0])
        self.assertEqual(
            256.0, decoded.services["engines"].engine.prefill_tokens_per_ms
        )
        self.assertIsNone(decoded.services["desk"].engine)
        self.assertEqual("guild", decoded.organisations["key-1"].name)
        self.assertEqual(16_384, decoded.limits.max_header_bytes)

    def test_missing_organisations_are_decoded_to_none(self):
        spec = platform_standins.make_spec()
        del spec["tenants"]
        self.assertIsNone(wire.decode_configuration(spec).organisations)

    def test_malformed_configurations_are_rejected(self):
        for spec in (None, {}, {"version": 1, "routes": [{}], "services": []}):
            self.assertRaises(
                errors.CheckError, wire.decode_configuration, spec
            )


class HeaderTests(testtools.TestCase):

    def test_api_key(self):
        self.assertEqual("k", wire.decode_api_key("Token k"))
        for value in ("", "Basic k", "Token"):
            self.assertEqual("", wire.decode_api_key(value))

    def test_token_counts(self):
        self.assertEqual((1460, 80), wire.decode_token_counts("1460,80"))
        for malformed in ("", "1460", "x,1", "-1,2"):
            self.assertEqual((0, 0), wire.decode_token_counts(malformed))


class PromptPartTests(testtools.TestCase):

    def test_last_part_is_left_out(self):
        self.assertEqual(
            ("5c1e", "91bd"),
            wire.decode_prompt_parts("5C1E:800, 91bd:410,e440:250"),
        )
        self.assertEqual((), wire.decode_prompt_parts("5c1e:800"))

    def test_malformed_headers_have_no_parts(self):
        for text in ("", ",", ",,", ":1,a:1"):
            self.assertEqual((), wire.decode_prompt_parts(text), text[:20])

    def test_long_conversations_keep_their_parts(self):
        # Guards against a part that crashes engines and is never suspected, as
        # the prompt has many others.
        names = [f"{number:x}" for number in range(1_300)]
        text = ",".join(f"{name}:40" for name in names)
        self.assertEqual(tuple(names[:-1]), wire.decode_prompt_parts(text))

    def test_parts_beyond_the_bounds_are_left_out_alone(self):
        names = [f"{number:05x}" for number in range(9_999)]
        text = ",".join(f"{name}:40" for name in names)
        parts = wire.decode_prompt_parts(text)
        self.assertEqual(tuple(names[: wire.MAX_PROMPT_PARTS]), parts)
        names = [f"{number:064x}" for number in range(9_999)]
        text = ",".join(f"{name}:40" for name in names)
        parts = wire.decode_prompt_parts(text)
        self.assertEqual(tuple(names[: len(parts)]), parts)
        size = sum(map(len, parts))
        self.assertLessEqual(size, wire.MAX_PROMPT_PARTS_CHARACTERS)
        self.assertGreater(size, wire.MAX_PROMPT_PARTS_CHARACTERS - 64)

    def test_long_and_empty_ids_do_not_hide_others(self):
        long_id = "a" * 65
        parts = wire.decode_prompt_parts(f"5c1e:1,{long_id}:1,:1,91bd:1,e4:1")
        self.assertEqual(("5c1e", "91bd"), (parts[0], parts[2]))
        self.assertEqual(3, len(parts))
        other = wire.decode_prompt_parts(f"5c1e:1,{long_id}b:1,e4:1")
        self.assertNotEqual(parts[1], other[1])
        for part in (parts[1], other[1]):
            self.assertLessEqual(len(part), wire.MAX_PROMPT_PART_CHARACTERS)

    def test_repeated_ids_count_once(self):
        self.assertEqual(("a",), wire.decode_prompt_parts("a:1," * 99))


class SettingsTests(testtools.TestCase):

    def make_valid_settings(self):
        return platform_standins.make_settings(
            "i-1",
            "127.0.0.1",
            dict.fromkeys(platform_standins.PORT_NAMES, 8000),
            ("127.0.0.1",),
            "127.0.0.1:8223",
        )

    def test_missing_fields_are_named_in_the_error(self):
        error = self.assertRaises(errors.CheckError, boot.decode_settings, {})
        self.assertIn("bounds", str(error))

    def test_unreadable_file_is_named_in_the_error(self):
        error = self.assertRaises(
            errors.CheckError, boot.read_settings, "/nowhere/settings.toml"
        )
        self.assertIn("/nowhere/settings.toml", str(error))

    def test_settings_of_another_form_are_an_error_that_is_handled(self):
        # Guards against a process that ends when its settings are reloaded.
        valid = self.make_valid_settings()
        settings = boot.parse_settings(valid, "file")
        self.assertEqual("i-1", settings.name)
        for odd in (
            "[[limits]]\n",
            "zones = 3\n" + valid,
            "odd = " + "[" * 5_000 + "]" * 5_000 + "\n" + valid,
            valid.replace("[bounds]", "[[bounds]]"),
            valid.replace("[listen]", "[[listen]]"),
            valid.replace("[platform]", "[[platform]]"),
        ):
            self.assertRaises(
                errors.CheckError, boot.parse_settings, odd, "file"
            )

    def test_number_of_zones_is_known(self):
        valid = self.make_valid_settings()
        zones = '[zones]\nza = "east"\nzb = "east"\nzc = "west"\n'
        self.assertEqual(0, boot.parse_settings(valid, "file").zone_count)
        parsed = boot.parse_settings(valid + zones, "file")
        self.assertEqual(3, parsed.zone_count)
