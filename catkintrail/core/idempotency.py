"""At most one run of a request with an idempotency key.

A record in the platform's store is created before the first byte is sent to a
target, and gets the result afterwards. The create is conditional, so of two
instances that try at once one wins; a nonce settles a create whose answer was
lost. A record that stays at `started` is never taken over: its request may
have run.
"""

import hashlib
from typing import NamedTuple

import msgspec

from catkintrail import errors
from catkintrail import verdict as verdicts
from catkintrail.ports import platform as platform_port

__all__ = ["Begun", "OnceRecord", "Replay", "begin", "finish", "record_name"]

STARTED, FINISHED, RELEASED = "started", "finished", "released"
MAX_RECORDED_BYTES = 512 << 10
STORE_RETRY_SECONDS = 2.0


class OnceRecord(NamedTuple):
    """What the store keeps of a request.

    Attributes:
        state: `started`, `finished` or `released` (it did not run).
        nonce: Names the try that wrote the record.
        fingerprint: Hash of the request.
        expires: Unix time after which the first try has surely ended.
        status: HTTP status of the result.
        content_type: Media type of the result.
        body: The result.
        is_whole: Whether `body` is the whole result.
    """

    state: str
    nonce: str
    fingerprint: str
    expires: float
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    is_whole: bool = True


class Begun(NamedTuple):
    """The right to run the request now.

    Attributes:
        name: The record's name in the store.
        version: Its version.
        record: The record.
    """

    name: str
    version: int
    record: OnceRecord


class Replay(NamedTuple):
    """The request has run; this is its recorded result."""

    record: OnceRecord


def record_name(organisation: str, key: str) -> str:
    """Returns the store's name for an organisation's idempotency key."""
    digest = hashlib.sha256(f"{organisation}\0{key}".encode()).hexdigest()
    return f"once/{digest[:2]}/{digest}"


def fingerprint(method: str, path: str, body: bytes) -> str:
    """Returns a hash that tells two requests apart."""
    head = f"{method}\0{path}\0".encode()
    return hashlib.sha256(head + body).hexdigest()


def begin(
    store: platform_port.Platform,
    name: str,
    nonce: str,
    request_fingerprint: str,
    expires: float,
    now: float,
) -> Begun | Replay:
    """Claims the one run of a request.

    Args:
        store: The platform's store.
        name: The record's name, from `record_name`.
        nonce: Never used before.
        request_fingerprint: From `fingerprint`.
        expires: Unix time by which this try will have ended.
        now: Unix time.

    Returns:
        The right to run the request, or its recorded result.

    Raises:
        errors.RequestError: Neither is possible; nothing was sent to a
            target by this try.
    """
    record = OnceRecord(STARTED, nonce, request_fingerprint, expires)
    try:
        version = store.write(name, _encode(record), 0)
        return Begun(name, version, record)
    except errors.ConflictError:
        pass
    except errors.PlatformUnavailableError:
        # The create may have taken effect; the read below settles it.
        pass
    stored = _read(store, name)
    if stored is None:
        raise _store_unavailable()
    return _from_existing(store, name, stored, record, now)


def finish(
    store: platform_port.Platform, begun: Begun, record: OnceRecord
) -> bool:
    """Writes the result of a run, or that it did not run.

    Returns:
        Whether the store is known to hold it now; otherwise call again.
    """
    try:
        store.write(begun.name, _encode(record), begun.version)
        return True
    except errors.ConflictError:
        # Only this try writes past `started`, so a conflict is its own
        # earlier write whose answer was lost.
        return True
    except errors.PlatformUnavailableError:
        return False


def finished(
    begun: Begun, status: int, content_type: str, body: bytes
) -> OnceRecord:
    """Returns the record of a result."""
    is_whole = len(body) <= MAX_RECORDED_BYTES
    return begun.record._replace(
        state=FINISHED,
        status=status,
        content_type=content_type,
        body=body if is_whole else b"",
        is_whole=is_whole,
    )


def released(begun: Begun) -> OnceRecord:
    """Returns the record of a try that did not run."""
    return begun.record._replace(state=RELEASED)


def _from_existing(
    store: platform_port.Platform,
    name: str,
    stored: platform_port.Stored,
    wanted: OnceRecord,
    now: float,
) -> Begun | Replay:
    found = _decode(stored.value)
    if found.nonce == wanted.nonce:
        return Begun(name, stored.version, wanted)
    if found.fingerprint != wanted.fingerprint:
        raise errors.RequestError(
            verdicts.Refusal(
                verdicts.Verdict.NOT_RUN,
                verdicts.Reason.KEY_REUSED,
                "the idempotency key was used for another request",
            )
        )
    if found.state == FINISHED:
        return Replay(found)
    if found.state == RELEASED:
        return _take_over(store, name, stored, wanted)
    left = found.expires - now
    raise errors.RequestError(
        verdicts.Refusal(
            verdicts.Verdict.MAY_HAVE_RUN,
            verdicts.Reason.IN_PROGRESS,
            "an earlier try with this key is running"
            if left > 0
            else "an earlier try with this key never told its result",
            max(1.0, left) if left > 0 else None,
        )
    )


def _take_over(
    store: platform_port.Platform,
    name: str,
    stored: platform_port.Stored,
    wanted: OnceRecord,
) -> Begun:
    """Claims a record whose earlier try surely did not run."""
    try:
        version = store.write(name, _encode(wanted), stored.version)
        return Begun(name, version, wanted)
    except errors.ConflictError as error:
        raise _taken() from error
    except errors.PlatformUnavailableError:
        again = _read(store, name)
        if again is None:
            raise _store_unavailable() from None
        if _decode(again.value).nonce != wanted.nonce:
            raise _taken() from None
        return Begun(name, again.version, wanted)


def _read(
    store: platform_port.Platform, name: str
) -> platform_port.Stored | None:
    try:
        return store.read(name)
    except errors.PlatformUnavailableError:
        return None


def _store_unavailable() -> errors.RequestError:
    return errors.RequestError(
        verdicts.Refusal(
            verdicts.Verdict.NOT_RUN,
            verdicts.Reason.STORE_UNAVAILABLE,
            "the store that keeps idempotency keys does not answer",
            STORE_RETRY_SECONDS,
        )
    )


def _taken() -> errors.RequestError:
    return errors.RequestError(
        verdicts.Refusal(
            verdicts.Verdict.MAY_HAVE_RUN,
            verdicts.Reason.IN_PROGRESS,
            "another try with this key has just begun",
            STORE_RETRY_SECONDS,
        )
    )


def _encode(record: OnceRecord) -> bytes:
    return msgspec.msgpack.encode(record)


def _decode(value: bytes) -> OnceRecord:
    return msgspec.msgpack.decode(value, type=OnceRecord)
