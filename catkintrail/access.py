"""API keys: who is calling, and with which rights."""

import hmac
from typing import NamedTuple

from catkintrail import errors
from catkintrail import objects
from catkintrail import verdict as verdicts

__all__ = ["BOOTSTRAP", "Caller", "KeyTable", "identify"]

BOOTSTRAP = "bootstrap"
HASH_PREFIX_LENGTH = 8


class Caller(NamedTuple):
    """Who sent a request.

    Attributes:
        organisation: The organisation; `bootstrap` for the key in settings.
        key_name: The key's name.
        role: `caller`, `operator` or `viewer`.
    """

    organisation: str
    key_name: str
    role: str


class KeyTable:
    """The keys of one configuration, found by a prefix of their hash.

    Attributes:
        generation: The configuration's generation.
    """

    def __init__(
        self,
        generation: int,
        current: objects.ObjectSet,
        bootstrap_sha256: str,
    ) -> None:
        self.generation = generation
        self._keys: dict[str, list[tuple[str, Caller]]] = {}
        for name, organisation in current.organisations.items():
            for key in organisation.keys:
                self._add(key.sha256, Caller(name, key.name, key.role))
        if bootstrap_sha256:
            caller = Caller(BOOTSTRAP, BOOTSTRAP, "operator")
            self._add(bootstrap_sha256, caller)

    def find(self, key: str) -> Caller | None:
        """Returns whose key it is; the comparison takes constant time."""
        digest = objects.hash_key(key)
        found = None
        for stored, caller in self._keys.get(digest[:HASH_PREFIX_LENGTH], ()):
            if hmac.compare_digest(stored, digest):
                found = caller
        return found

    def _add(self, sha256: str, caller: Caller) -> None:
        bucket = self._keys.setdefault(sha256[:HASH_PREFIX_LENGTH], [])
        bucket.append((sha256, caller))


def identify(
    headers: dict[str, str], table: KeyTable, roles: tuple[str, ...]
) -> Caller:
    """Returns who sent a request.

    Args:
        headers: The request's headers, by lower-case name.
        table: The keys in force.
        roles: Roles that may do what is asked.

    Raises:
        errors.RequestError: There is no valid key, or it lacks the role.
    """
    scheme, _, key = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise _refused(
            verdicts.Reason.UNAUTHENTICATED,
            "send the API key as 'Authorization: Bearer KEY'",
        )
    caller = table.find(key.strip())
    if caller is None:
        raise _refused(
            verdicts.Reason.UNAUTHENTICATED, "the API key is not known"
        )
    if caller.role not in roles:
        raise _refused(
            verdicts.Reason.FORBIDDEN,
            f"key {caller.key_name!r} has role {caller.role!r}; this needs"
            f" {' or '.join(roles)}",
        )
    return caller


def _refused(reason: verdicts.Reason, message: str) -> errors.RequestError:
    return errors.RequestError(
        verdicts.Refusal(verdicts.Verdict.NOT_RUN, reason, message)
    )
