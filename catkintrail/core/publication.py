"""Publication of the configuration through the platform's store.

One object, the head, lists the parts of the newest configuration. A change is
committed by a single conditional write of the head. Parts are immutable and
their names are never reused. The head contains the audit record of the change
that created it. The next publisher copies this record to the audit trail
before it overwrites the head, so the trail contains each accepted change
exactly once and no rejected change.
"""

import hashlib
from typing import Any, NamedTuple

import msgspec

from catkintrail import errors
from catkintrail import objects
from catkintrail import verdict as verdicts
from catkintrail.ports import platform as platform_port

__all__ = [
    "AcceptedChange",
    "Change",
    "Edit",
    "Head",
    "Snapshot",
    "assemble",
    "audit_name",
    "decode_head",
    "publish",
    "read_head",
    "read_history",
]

HEAD_NAME = "config/head"
PART_COUNT = 128
MAX_PART_BYTES = 900 << 10
MAX_PUBLISH_ATTEMPTS = 10
MAX_RECORDED_EDITS = 50
MAX_RECORDED_EDIT_BYTES = 4 << 10


class Edit(NamedTuple):
    """A change to one configuration object.

    Attributes:
        kind: Kind of the object, such as `organisations`.
        name: Name of the object.
        value: New content of the object; None deletes it.
        base: Digest of the content on which the edit is based; "" if the
            object did not exist; None to overwrite any content.
    """

    kind: str
    name: str
    value: dict[str, Any] | None
    base: str | None = None


class AcceptedChange(NamedTuple):
    """The audit record of one accepted change.

    Attributes:
        generation: Configuration generation that the change created.
        change_id: Unique id of the change.
        author: Organisation and key name of the operator.
        time: Unix time in seconds.
        edits: The recorded edits, with the content before and after each.
        omitted: Number of edits beyond the recording limit, which are not in
            `edits`.
    """

    generation: int
    change_id: str
    author: str
    time: float
    edits: tuple[dict[str, Any], ...]
    omitted: int = 0


class Head(NamedTuple):
    """The object that describes the newest configuration.

    Attributes:
        generation: Configuration generation; increases by one per change.
        parts: Names of the parts of this generation.
        digests: Digest of each part, from `content_digest`.
        retired: Names of parts that the previous generation used and this
            one does not.
        change: Audit record of the change that created this generation.
    """

    generation: int
    parts: tuple[str, ...]
    digests: tuple[str, ...]
    retired: tuple[str, ...]
    change: AcceptedChange


class Change(NamedTuple):
    """A change requested by an operator.

    Attributes:
        change_id: Unique id of the change.
        author: Organisation and key name of the operator.
        time: Unix time in seconds.
        edits: Edits to apply together.
    """

    change_id: str
    author: str
    time: float
    edits: tuple[Edit, ...]


class Snapshot(NamedTuple):
    """A complete configuration.

    Attributes:
        generation: Configuration generation; 0 for the empty configuration
            before the first publication.
        head: The encoded head; b"" for generation 0.
        parts: Content of the parts by part name.
        data: Objects by kind and name, as plain data.
        objects: The validated form of `data`.
    """

    generation: int
    head: bytes
    parts: dict[str, bytes]
    data: dict[str, dict[str, Any]]
    objects: objects.ObjectSet


def empty_snapshot() -> Snapshot:
    """Returns the empty configuration that precedes the first publication."""
    data = {kind: {} for kind in objects.KINDS}
    return Snapshot(0, b"", {}, data, objects.check_object_set(data, "empty"))


def object_digest(value: dict[str, Any] | None) -> str:
    """Returns the digest of an object's content, as used in `Edit.base`."""
    if value is None:
        return ""
    encoded = msgspec.json.encode(value, order="sorted")
    return hashlib.sha256(encoded).hexdigest()[:16]


def content_digest(content: bytes) -> str:
    """Returns the digest of a part: the first 128 bits of its SHA-256."""
    return hashlib.sha256(content).hexdigest()[:32]


def audit_name(generation: int) -> str:
    """Returns the name of a generation's audit record in the store."""
    return f"audit/{generation:012d}"


def decode_head(value: bytes) -> Head:
    """Decodes a head.

    Raises:
        errors.FrameError: The value is not a valid head.
    """
    try:
        return msgspec.json.decode(value, type=Head)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise errors.FrameError(f"configuration head: {error}") from error


def read_head(store: platform_port.Platform) -> tuple[int, bytes]:
    """Returns the version and content of the head in the store.

    Returns:
        (0, b"") if nothing has been published.
    """
    stored = store.read(HEAD_NAME)
    return (0, b"") if stored is None else (stored.version, stored.value)


def assemble(head_value: bytes, parts: dict[str, bytes]) -> Snapshot:
    """Builds a configuration from its head and parts.

    Args:
        head_value: The encoded head.
        parts: Content by part name; contains at least the parts that the
            head lists.

    Raises:
        errors.FrameError: A part is missing or its digest does not match.
        errors.CheckError: The objects are invalid.
    """
    if not head_value:
        return empty_snapshot()
    head = decode_head(head_value)
    data: dict[str, dict[str, Any]] = {kind: {} for kind in objects.KINDS}
    used_parts: dict[str, bytes] = {}
    for name, digest in zip(head.parts, head.digests, strict=True):
        content = parts.get(name)
        if content is None:
            raise errors.FrameError(f"configuration part {name} is missing")
        if content_digest(content) != digest:
            raise errors.FrameError(
                f"configuration part {name} does not match its digest"
            )
        used_parts[name] = content
        for kind, records in msgspec.json.decode(content).items():
            data[kind].update(records)
    checked = objects.check_object_set(data, f"generation {head.generation}")
    return Snapshot(head.generation, head_value, used_parts, data, checked)


def fetch(
    store: platform_port.Platform, known: Snapshot
) -> tuple[int, Snapshot]:
    """Reads the newest configuration from the store.

    Args:
        store: The platform's store.
        known: A configuration whose parts are reused instead of read.

    Returns:
        The version of the head in the store, and the configuration.

    Raises:
        errors.PlatformUnavailableError: The store does not respond.
        errors.FrameError: The head was replaced while its parts were read.
    """
    version, head_value = read_head(store)
    if not head_value:
        return version, empty_snapshot()
    if head_value == known.head:
        return version, known
    parts = dict(known.parts)
    for name in decode_head(head_value).parts:
        if name not in parts:
            stored = store.read(name)
            if stored is not None:
                parts[name] = stored.value
    return version, assemble(head_value, parts)


def publish(
    store: platform_port.Platform, known: Snapshot, change: Change
) -> Snapshot:
    """Validates and publishes a change.

    Args:
        store: The platform's store.
        known: The newest configuration known to the caller.
        change: The change to publish.

    Returns:
        The configuration that contains the change. If the change alters
        nothing, this is the current configuration.

    Raises:
        errors.CheckError: The resulting set of objects is invalid.
        errors.RequestError: An edit conflicts with another operator's
            change; the message contains both contents.
        errors.OutcomeUnknownError: The change may have been accepted; see
            `was_accepted`.
        errors.PlatformUnavailableError: The store does not respond, or on
            every attempt another change was published first or the read was
            stale; this change was not published.
    """
    for _ in range(MAX_PUBLISH_ATTEMPTS):
        version, current = _fetch_current(store, known)
        if current.generation < known.generation:
            # The read was stale; a conditional write based on it would fail.
            continue
        data = apply_edits(current.data, change.edits)
        if data == current.data:
            return current
        objects.check_object_set(data, "the changed set")
        if version:
            _record_audit(store, decode_head(current.head).change)
        head, parts = _make_head(current, data, change)
        _write_parts(store, head, parts, current)
        value = msgspec.json.encode(head)
        if not _write_head(store, value, version, change.change_id):
            continue
        _delete_retired(store, current)
        return assemble(value, parts)
    raise errors.PlatformUnavailableError(
        "on every attempt another change was published first or the read was"
        " stale; this change was not published"
    )


def was_accepted(
    store: platform_port.Platform, change_id: str, generation: int
) -> bool:
    """Returns whether a change was accepted as the given generation.

    Raises:
        errors.PlatformUnavailableError: The store does not respond.
    """
    _, value = read_head(store)
    if not value:
        return False
    head = decode_head(value)
    if head.generation == generation:
        return head.change.change_id == change_id
    if head.generation < generation:
        return False
    stored = store.read(audit_name(generation))
    if stored is None:
        return False
    record = msgspec.json.decode(stored.value, type=AcceptedChange)
    return record.change_id == change_id


def read_history(
    store: platform_port.Platform, limit: int
) -> list[AcceptedChange]:
    """Returns up to `limit` accepted changes, newest first."""
    _, value = read_head(store)
    if not value:
        return []
    history = [decode_head(value).change]
    generation = history[0].generation - 1
    while generation > 0 and len(history) < limit:
        stored = store.read(audit_name(generation))
        if stored is None:
            break
        record = msgspec.json.decode(stored.value, type=AcceptedChange)
        history.append(record)
        generation -= 1
    return history


def apply_edits(
    data: dict[str, dict[str, Any]], edits: tuple[Edit, ...]
) -> dict[str, dict[str, Any]]:
    """Returns a copy of the objects with the edits applied.

    Raises:
        errors.CheckError: An edit names an unknown kind.
        errors.RequestError: An edit is based on content other than the
            current one.
    """
    changed = {kind: dict(records) for kind, records in data.items()}
    for edit in edits:
        if edit.kind not in objects.KINDS:
            path = f"{edit.kind}.{edit.name}"
            mistake = errors.Mistake(path, "unknown kind")
            raise errors.CheckError("the change", [mistake])
        current_value = changed[edit.kind].get(edit.name)
        if edit.base is not None and edit.base != object_digest(current_value):
            raise errors.RequestError(_edit_conflict(edit, current_value))
        if edit.value is None:
            changed[edit.kind].pop(edit.name, None)
        else:
            changed[edit.kind][edit.name] = edit.value
    return changed


def _edit_conflict(
    edit: Edit, current_value: dict[str, Any] | None
) -> verdicts.Refusal:
    submitted = msgspec.json.encode(edit.value).decode()
    stored_content = msgspec.json.encode(current_value).decode()
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN,
        verdicts.Reason.CONFLICT,
        f"{edit.kind}.{edit.name} was changed since it was read: the current"
        f" content is {stored_content}, yours is {submitted}; read the object"
        " again and repeat the edit",
    )


def _fetch_current(
    store: platform_port.Platform, known: Snapshot
) -> tuple[int, Snapshot]:
    """Reads the newest configuration; retries if it is replaced meanwhile."""
    for _ in range(5):
        try:
            return fetch(store, known)
        except errors.FrameError:
            continue
    raise errors.PlatformUnavailableError(
        "no consistent configuration could be read"
    )


def _record_audit(
    store: platform_port.Platform, change: AcceptedChange
) -> None:
    try:
        store.write(
            audit_name(change.generation), msgspec.json.encode(change), 0
        )
    except errors.ConflictError:
        # An earlier publisher has written this record. The content is the
        # same, as both are copies of the record in the head.
        pass


def _part_index(kind: str, name: str) -> int:
    digest = hashlib.sha256(f"{kind}\0{name}".encode()).digest()
    return digest[0] % PART_COUNT


def _make_head(
    current: Snapshot, data: dict[str, dict[str, Any]], change: Change
) -> tuple[Head, dict[str, bytes]]:
    """Builds the next head and its parts; reuses the names of equal parts."""
    buckets: list[dict[str, dict]] = [{} for _ in range(PART_COUNT)]
    for kind, records in data.items():
        for name, value in records.items():
            bucket = buckets[_part_index(kind, name)]
            bucket.setdefault(kind, {})[name] = value
    by_digest = {}
    if current.head:
        previous_head = decode_head(current.head)
        by_digest = dict(
            zip(previous_head.digests, previous_head.parts, strict=True)
        )
    names, digests, parts = [], [], {}
    for index, bucket in enumerate(buckets):
        if not bucket:
            continue
        content = msgspec.json.encode(bucket, order="sorted")
        _check_part_size(content)
        digest = content_digest(content)
        name = by_digest.get(digest)
        if name is None:
            name = f"config/part/{change.change_id}.{index}"
        names.append(name)
        digests.append(digest)
        parts[name] = content
    retired = tuple(n for n in by_digest.values() if n not in parts)
    generation = current.generation + 1
    record = _audit_record(current, change, generation)
    head = Head(generation, tuple(names), tuple(digests), retired, record)
    return head, parts


def _check_part_size(content: bytes) -> None:
    if len(content) > MAX_PART_BYTES:
        mistake = errors.Mistake(
            "(document)",
            f"a part has {len(content)} bytes, which exceeds the limit",
        )
        raise errors.CheckError("the changed set", [mistake])


def _audit_record(
    current: Snapshot, change: Change, generation: int
) -> AcceptedChange:
    edits = []
    for edit in change.edits[:MAX_RECORDED_EDITS]:
        record = {
            "kind": edit.kind,
            "name": edit.name,
            "before": current.data[edit.kind].get(edit.name),
            "after": edit.value,
        }
        if len(msgspec.json.encode(record)) > MAX_RECORDED_EDIT_BYTES:
            record["before"] = object_digest(record["before"])
            record["after"] = object_digest(record["after"])
        edits.append(record)
    return AcceptedChange(
        generation,
        change.change_id,
        change.author,
        change.time,
        tuple(edits),
        max(0, len(change.edits) - MAX_RECORDED_EDITS),
    )


def _write_parts(
    store: platform_port.Platform,
    head: Head,
    parts: dict[str, bytes],
    current: Snapshot,
) -> None:
    for name in head.parts:
        if name in current.parts:
            continue
        try:
            store.write(name, parts[name], 0)
        except errors.ConflictError:
            # Part names contain the change id, so an earlier attempt to
            # publish the same change has written this part.
            pass


def _write_head(
    store: platform_port.Platform, value: bytes, version: int, change_id: str
) -> bool:
    """Writes the head if it is still at the given version.

    Returns:
        False if another change was published first.

    Raises:
        errors.OutcomeUnknownError: The write may or may not have taken
            effect.
    """
    try:
        store.write(HEAD_NAME, value, version)
        return True
    except errors.ConflictError:
        return False
    except errors.PlatformUnavailableError as error:
        return _confirm_head_write(store, value, change_id, error)


def _confirm_head_write(
    store: platform_port.Platform,
    value: bytes,
    change_id: str,
    cause: errors.PlatformUnavailableError,
) -> bool:
    """Checks whether a write of the head without a response took effect.

    Raises:
        errors.OutcomeUnknownError: The head does not contain the change, or
            the store does not respond.
    """
    generation = decode_head(value).generation
    try:
        if was_accepted(store, change_id, generation):
            return True
    except errors.PlatformUnavailableError:
        pass
    # Reading the old head does not show that the write failed: it may still
    # be in transit and take effect later.
    raise errors.OutcomeUnknownError(str(cause)) from cause


def _delete_retired(store: platform_port.Platform, current: Snapshot) -> None:
    """Deletes the parts that the replaced head lists as retired."""
    if not current.head:
        return
    for name in decode_head(current.head).retired:
        try:
            store.delete(name, 1)
        except errors.PlatformError:
            # A part that is not deleted only occupies space in the store.
            continue
