"""API keys and roles."""

import testtools

from catkintrail import access
from catkintrail import errors
from catkintrail import objects


def make_table(generation=1):
    data = {
        "organisations": {
            name: {
                "keys": [
                    {
                        "name": "k",
                        "sha256": objects.hash_key(f"{name}-key"),
                        "role": role,
                    }
                ]
            }
            for name, role in (
                ("guild", "caller"),
                ("ops", "operator"),
                ("eyes", "viewer"),
            )
        }
    }
    current = objects.check_object_set(data, "set")
    return access.KeyTable(generation, current, objects.hash_key("boot"))


class IdentifyTests(testtools.TestCase):

    def identify(self, authorization, *roles):
        headers = {"authorization": authorization} if authorization else {}
        return access.identify(headers, make_table(), roles)

    def test_key_names_its_organisation_and_role(self):
        caller = self.identify("Bearer guild-key", "caller")
        self.assertEqual(access.Caller("guild", "k", "caller"), caller)

    def test_key_of_the_settings_is_an_operators(self):
        caller = self.identify("bearer boot", "operator")
        self.assertEqual(access.BOOTSTRAP, caller.organisation)

    def test_refusals(self):
        cases = {
            "": "unauthenticated",
            "Basic guild-key": "unauthenticated",
            "Bearer ": "unauthenticated",
            "Bearer other": "unauthenticated",
            f"Bearer {objects.hash_key('ops-key')}": "unauthenticated",
            "Bearer guild-key": "forbidden",
            "Bearer eyes-key": "forbidden",
        }
        for authorization, reason in cases.items():
            error = self.assertRaises(
                errors.RequestError, self.identify, authorization, "operator"
            )
            self.assertEqual(reason, error.refusal.reason.value, authorization)
            self.assertNotIn("key'", error.refusal.message)
