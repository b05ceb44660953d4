"""Authentication by API key and authorisation by role."""

import hmac
from typing import NamedTuple

from catkintrail import errors
from catkintrail import objects
from catkintrail import verdict as verdicts

__all__ = ["BOOTSTRAP", "Caller", "KeyTable", "authenticate"]

BOOTSTRAP = "bootstrap"
HASH_PREFIX_HEX_DIGITS = 8


class Caller(NamedTuple):
    """The authenticated sender of a request.

    Attributes:
        organisation: Name of the organisation; `bootstrap` for the operator
            key from the settings.
        key_name: Name of the API key.
        role: `caller`, `operator` or `viewer`.
    """

    organisation: str
    key_name: str
    role: str


class KeyTable:
    """The API keys of one configuration, indexed by a prefix of their hash.

    Attributes:
        generation: Generation of the configuration.
    """

    def __init__(
        self,
        generation: int,
        object_set: objects.ObjectSet,
        bootstrap_sha256: str,
    ) -> None:
        self.generation = generation
        self._callers_by_prefix: dict[str, list[tuple[str, Caller]]] = {}
        for name, organisation in object_set.organisations.items():
            for key in organisation.keys:
                self._add(key.sha256, Caller(name, key.name, key.role))
        if bootstrap_sha256:
            caller = Caller(BOOTSTRAP, BOOTSTRAP, "operator")
            self._add(bootstrap_sha256, caller)

    def find(self, key: str) -> Caller | None:
        """Returns the caller to whom a key belongs, or None.

        Hashes are compared in constant time, against timing attacks.
        """
        digest = objects.hash_key(key)
        found = None
        for stored, caller in self._callers_by_prefix.get(
            digest[:HASH_PREFIX_HEX_DIGITS], ()
        ):
            if hmac.compare_digest(stored, digest):
                found = caller
        return found

    def _add(self, sha256: str, caller: Caller) -> None:
        entries = self._callers_by_prefix.setdefault(
            sha256[:HASH_PREFIX_HEX_DIGITS], []
        )
        entries.append((sha256, caller))


def authenticate(
    headers: dict[str, str], table: KeyTable, roles: tuple[str, ...]
) -> Caller:
    """Authenticates the sender of a request and checks its role.

    Args:
        headers: Headers of the request, by lower-case name.
        table: API keys of the configuration in force.
        roles: Roles that are allowed to make the request.

    Raises:
        errors.RequestError: The request has no valid key, or the key's role is
            not among `roles`.
    """
    scheme, _, key = headers.get("authorization", "").partition(" ")
    if scheme.lower() != "bearer" or not key.strip():
        raise _refusal_error(
            verdicts.Reason.UNAUTHENTICATED,
            "send the API key as 'Authorization: Bearer KEY'",
        )
    caller = table.find(key.strip())
    if caller is None:
        raise _refusal_error(verdicts.Reason.UNAUTHENTICATED, "unknown API key")
    if caller.role not in roles:
        raise _refusal_error(
            verdicts.Reason.FORBIDDEN,
            f"key {caller.key_name!r} has role {caller.role!r}; required is"
            f" {' or '.join(roles)}",
        )
    return caller


def _refusal_error(
    reason: verdicts.Reason, message: str
) -> errors.RequestError:
    return errors.RequestError(
        verdicts.Refusal(verdicts.Verdict.NOT_RUN, reason, message)
    )
