"""Tests of settings: all mistakes are reported with their paths."""

import testtools

from catkintrail import errors
from catkintrail import settings


def make_valid_data():
    return {
        "instance": {
            "name": "a",
            "availability_zone": "x",
            "region": "r",
            "address": "127.0.0.1",
        },
        "callers": {"port": 8000},
        "peers": {"port": 9000, "secret": "0123456789abcdef"},
        "platform": {"url": "http://127.0.0.1:7000"},
    }


class CheckSettingsTests(testtools.TestCase):

    def mistakes_of(self, data):
        error = self.assertRaises(
            errors.CheckError, settings.check_settings, data, "file"
        )
        return {mistake.path: mistake.message for mistake in error.mistakes}

    def test_valid_settings(self):
        checked = settings.check_settings(make_valid_data(), "file")
        self.assertEqual("info", checked.log.level)

    def test_unknown_key_suggests_close_match(self):
        data = make_valid_data()
        data["callers"]["prot"] = data["callers"].pop("port")
        mistakes = self.mistakes_of(data)
        self.assertIn("missing", mistakes["callers.port"])
        self.assertIn("did you mean 'port'", mistakes["callers.prot"])

    def test_invalid_values_are_reported(self):
        data = make_valid_data()
        data["instance"]["address"] = "localhost"
        data["peers"] |= {"secret": "short", "seeds": ["x:1"], "port": 70_000}
        data["platform"] = {"url": "ftp://x", "timeout_seconds": 0}
        data["log"] = {"level": "loud"}
        data["callers"]["certificate"] = "/nowhere.pem"
        self.assertEqual(
            {
                "instance.address",
                "peers.secret",
                "peers.seeds[0]",
                "peers.port",
                "platform.url",
                "platform.timeout_seconds",
                "log.level",
                "callers.certificate",
                "callers.private_key",
            },
            set(self.mistakes_of(data)),
        )
