"""At-most-once execution of requests with an idempotency key.

A record is created in the platform's store before the first byte is sent to a
target, and updated with the result afterwards. The create is conditional, so
only one of several concurrent attempts succeeds. If the response to a create
is lost, the nonce in the stored record shows which attempt created it. A
record in state `started` is never reclaimed, because its request may have run.
"""

import hashlib
from typing import NamedTuple

import msgspec

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.ports import platform as platform_port

__all__ = [
    "IdempotencyRecord",
    "RecordedResult",
    "RunClaim",
    "claim_run",
    "record_name",
    "store_outcome",
]

STARTED, FINISHED, RELEASED = "started", "finished", "released"
MAX_STORED_BODY_BYTES = 512 << 10
STORE_RETRY_SECONDS = 2.0


class IdempotencyRecord(NamedTuple):
    """The stored record of a request with an idempotency key.

    Attributes:
        state: `started`, `finished` or `released` (the request did not run).
        nonce: Identifies the attempt that wrote the record.
        fingerprint: Hash of the request, from `fingerprint`.
        expires: Unix time in seconds by which that attempt has ended.
        status: HTTP status of the result.
        content_type: Media type of the result.
        body: Body of the result; empty if it was too large to store.
        is_whole: Whether `body` is the complete result.
    """

    state: str
    nonce: str
    fingerprint: str
    expires: float
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    is_whole: bool = True


class RunClaim(NamedTuple):
    """The exclusive right to run a request.

    Attributes:
        name: Name of the record in the store.
        version: Version of the record in the store.
        record: The record.
    """

    name: str
    version: int
    record: IdempotencyRecord


class RecordedResult(NamedTuple):
    """The recorded result of a request that has already run."""

    record: IdempotencyRecord


def record_name(organisation: str, key: str) -> str:
    """Returns the record name of an organisation's idempotency key."""
    digest = hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()
    return f"once/{digest[:2]}/{digest}"


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Returns a hash of a request, to detect reuse of a key."""
    head = f"{method}\0{path}\0".encode()
    return hashlib.sha256(head + body).hexdigest()


def claim_run(
    store: platform_port.Platform,
    name: str,
    nonce: str,
    request_fingerprint: str,
    expires: float,
    now: float,
) -> RunClaim | RecordedResult:
    """Claims the exclusive right to run a request.

    Args:
        store: The platform's store.
        name: Name of the record, from `record_name`.
        nonce: Unique id of this attempt.
        request_fingerprint: Hash of the request, from `fingerprint`.
        expires: Unix time in seconds by which this attempt has ended.
        now: Unix time in seconds.

    Returns:
        The right to run the request, or its recorded result.

    Raises:
        errors.RequestError: The store does not respond, the key was used for
            a different request, or another attempt holds the right. This
            attempt has sent nothing to a target.
    """
    record = IdempotencyRecord(STARTED, nonce, request_fingerprint, expires)
    try:
        version = store.write(name, _encode(record), 0)
        return RunClaim(name, version, record)
    except errors.ConflictError:
        pass
    except errors.PlatformUnavailableError:
        # The create may have taken effect; the read below shows whether it did.
        pass
    stored = _read(store, name)
    if stored is None:
        raise _store_unavailable_error()
    return _resolve_existing(store, name, stored, record, now)


def store_outcome(
    store: platform_port.Platform, claim: RunClaim, record: IdempotencyRecord
) -> bool:
    """Stores the result of a run, or the fact that the request did not run.

    Args:
        store: The platform's store.
        claim: The right to run the request, from `claim_run`.
        record: The record to store, from `finished_record` or
            `released_record`.

    Returns:
        True if the record is stored; False if the store did not respond and
        the caller must retry.
    """
    try:
        store.write(claim.name, _encode(record), claim.version)
        return True
    except errors.ConflictError:
        # Only this attempt changes a record in state `started`, so the
        # conflicting version is its own earlier write whose response was lost.
        return True
    except errors.PlatformUnavailableError:
        return False


def finished_record(
    claim: RunClaim, status: int, content_type: str, body: bytes
) -> IdempotencyRecord:
    """Returns the record of a result; omits a body that is too large."""
    is_whole = len(body) <= MAX_STORED_BODY_BYTES
    return claim.record._replace(
        state=FINISHED,
        status=status,
        content_type=content_type,
        body=body if is_whole else b"",
        is_whole=is_whole,
    )


def released_record(claim: RunClaim) -> IdempotencyRecord:
    """Returns the record of an attempt whose request did not run."""
    return claim.record._replace(state=RELEASED)


def _resolve_existing(
    store: platform_port.Platform,
    name: str,
    stored: platform_port.Stored,
    own_record: IdempotencyRecord,
    now: float,
) -> RunClaim | RecordedResult:
    """Handles an attempt whose create found an existing record."""
    existing = _decode(stored.value)
    if existing.nonce == own_record.nonce:
        return RunClaim(name, stored.version, own_record)
    if existing.fingerprint != own_record.fingerprint:
        raise errors.RequestError(
            verdicts.Refusal(
                verdicts.Verdict.NOT_RUN,
                verdicts.Reason.KEY_REUSED,
                "the idempotency key was used for a different request",
            )
        )
    if existing.state == FINISHED:
        return RecordedResult(existing)
    if existing.state == RELEASED:
        return _reclaim(store, name, stored, own_record)
    remaining = existing.expires - now
    raise errors.RequestError(
        verdicts.Refusal(
            verdicts.Verdict.MAY_HAVE_RUN,
            verdicts.Reason.IN_PROGRESS,
            "an earlier attempt with this key is still running"
            if remaining > 0
            else "an earlier attempt with this key did not record its result",
            max(1.0, remaining) if remaining > 0 else None,
        )
    )


def _reclaim(
    store: platform_port.Platform,
    name: str,
    stored: platform_port.Stored,
    own_record: IdempotencyRecord,
) -> RunClaim:
    """Claims a record whose earlier attempt did not run the request."""
    try:
        version = store.write(name, _encode(own_record), stored.version)
        return RunClaim(name, version, own_record)
    except errors.ConflictError as error:
        raise _concurrent_attempt_error() from error
    except errors.PlatformUnavailableError:
        reread = _read(store, name)
        if reread is None:
            raise _store_unavailable_error() from None
        if _decode(reread.value).nonce != own_record.nonce:
            raise _concurrent_attempt_error() from None
        return RunClaim(name, reread.version, own_record)


def _read(
    store: platform_port.Platform, name: str
) -> platform_port.Stored | None:
    try:
        return store.read(name)
    except errors.PlatformUnavailableError:
        return None


def _store_unavailable_error() -> errors.RequestError:
    return errors.RequestError(
        verdicts.Refusal(
            verdicts.Verdict.NOT_RUN,
            verdicts.Reason.STORE_UNAVAILABLE,
            "the store of idempotency keys does not respond",
            STORE_RETRY_SECONDS,
        )
    )


def _concurrent_attempt_error() -> errors.RequestError:
    return errors.RequestError(
        verdicts.Refusal(
            verdicts.Verdict.MAY_HAVE_RUN,
            verdicts.Reason.IN_PROGRESS,
            "a concurrent attempt with this key has claimed the request",
            STORE_RETRY_SECONDS,
        )
    )


def _encode(record: IdempotencyRecord) -> bytes:
    return msgspec.msgpack.encode(record)


def _decode(value: bytes) -> IdempotencyRecord:
    return msgspec.msgpack.decode(value, type=IdempotencyRecord)
