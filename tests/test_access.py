"""Tests of authentication by API key and of role checks."""

import testtools

from catkintrail import access
from catkintrail import errors
from catkintrail import objects


def make_key_table(generation=1):
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
    object_set = objects.check_object_set(data, "set")
    return access.KeyTable(generation, object_set, objects.hash_key("boot"))


class IdentifyTests(testtools.TestCase):

    def authenticate(self, authorization, *roles):
        headers = {"authorization": authorization} if authorization else {}
        return access.authenticate(headers, make_key_table(), roles)

    def test_key_identifies_organisation_and_role(self):
        caller = self.authenticate("Bearer guild-key", "caller")
        self.assertEqual(access.Caller("guild", "k", "caller"), caller)

    def test_key_from_settings_has_operator_role(self):
        caller = self.authenticate("bearer boot", "operator")
        self.assertEqual(access.BOOTSTRAP, caller.organisation)

    def test_invalid_key_or_wrong_role_is_refused(self):
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
                errors.RequestError,
                self.authenticate,
                authorization,
                "operator",
            )
            self.assertEqual(reason, error.refusal.reason.value, authorization)
            self.assertNotIn("key'", error.refusal.message)
