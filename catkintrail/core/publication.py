"""Publication of the configuration through the platform's store.

One object, the head, names the parts of the newest configuration; accepting a
change is one conditional write of the head. Parts are immutable and their
names are never used twice. The head carries the record of its own change; the
next publisher copies that record to the audit trail before it overwrites the
head, so the trail names each accepted change exactly once and no refused one.
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
MAX_PUBLISH_TRIES = 10
MAX_RECORDED_EDITS = 50
MAX_RECORDED_EDIT_BYTES = 4 << 10


class Edit(NamedTuple):
    """One object's change.

    Attributes:
        kind: Such as `organisations`.
        name: The object.
        value: Its new content; None to delete it.
        base: Digest of the content that the edit was made from; "" where
            there was none; None to replace whatever is there.
    """

    kind: str
    name: str
    value: dict[str, Any] | None
    base: str | None = None


class AcceptedChange(NamedTuple):
    """The audit record of one accepted change.

    Attributes:
        generation: The generation it made.
        change_id: Never used before.
        author: Organisation and key name of the operator.
        time: Unix time in seconds.
        edits: What changed, with the content before and after.
        omitted: Number of further edits, where there were too many.
    """

    generation: int
    change_id: str
    author: str
    time: float
    edits: tuple[dict[str, Any], ...]
    omitted: int = 0


class Head(NamedTuple):
    """The newest configuration.

    Attributes:
        generation: Rises by one with each change.
        parts: Names of its parts.
        digests: Digest of each part, from `content_digest`.
        retired: Parts of the generation before that are used no more.
        change: The change that made it.
    """

    generation: int
    parts: tuple[str, ...]
    digests: tuple[str, ...]
    retired: tuple[str, ...]
    change: AcceptedChange


class Change(NamedTuple):
    """A change that an operator asks for.

    Attributes:
        change_id: Never used before.
        author: Organisation and key name.
        time: Unix time in seconds.
        edits: The objects to change.
    """

    change_id: str
    author: str
    time: float
    edits: tuple[Edit, ...]


class Snapshot(NamedTuple):
    """A configuration in full.

    Attributes:
        generation: 0 for the empty one before the first publication.
        head: The encoded head; b"" for generation 0.
        parts: Content by part name.
        data: Objects by kind and name, as plain data.
        objects: The same, checked.
    """

    generation: int
    head: bytes
    parts: dict[str, bytes]
    data: dict[str, dict[str, Any]]
    objects: objects.ObjectSet


def empty_snapshot() -> Snapshot:
    """Returns the configuration before the first publication."""
    data = {kind: {} for kind in objects.KINDS}
    return Snapshot(0, b"", {}, data, objects.check_object_set(data, "empty"))


def digest_of(value: dict[str, Any] | None) -> str:
    """Returns the digest by which edits name the content they came from."""
    if value is None:
        return ""
    encoded = msgspec.json.encode(value, order="sorted")
    return hashlib.sha256(encoded).hexdigest()[:16]


def content_digest(content: bytes) -> str:
    """Returns the digest of a part: 128 bits of its SHA-256."""
    return hashlib.sha256(content).hexdigest()[:32]


def audit_name(generation: int) -> str:
    """Returns the store's name of a generation's audit record."""
    return f"audit/{generation:012d}"


def decode_head(value: bytes) -> Head:
    """Decodes a head.

    Raises:
        errors.FrameError: It is not one.
    """
    try:
        return msgspec.json.decode(value, type=Head)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise errors.FrameError(f"configuration head: {error}") from error


def read_head(store: platform_port.Platform) -> tuple[int, bytes]:
    """Returns the head's version in the store and its content."""
    stored = store.read(HEAD_NAME)
    return (0, b"") if stored is None else (stored.version, stored.value)


def assemble(head_value: bytes, parts: dict[str, bytes]) -> Snapshot:
    """Builds a configuration from its head and parts.

    Args:
        head_value: The encoded head.
        parts: At least all parts that the head names.

    Raises:
        errors.FrameError: A part is missing or damaged.
        errors.CheckError: The objects have mistakes.
    """
    if not head_value:
        return empty_snapshot()
    head = decode_head(head_value)
    data: dict[str, dict[str, Any]] = {kind: {} for kind in objects.KINDS}
    kept: dict[str, bytes] = {}
    for name, digest in zip(head.parts, head.digests, strict=True):
        content = parts.get(name)
        if content is None:
            raise errors.FrameError(f"part {name} is missing")
        if content_digest(content) != digest:
            raise errors.FrameError(f"part {name} is damaged")
        kept[name] = content
        for kind, records in msgspec.json.decode(content).items():
            data[kind].update(records)
    checked = objects.check_object_set(data, f"generation {head.generation}")
    return Snapshot(head.generation, head_value, kept, data, checked)


def fetch(
    store: platform_port.Platform, known: Snapshot
) -> tuple[int, Snapshot]:
    """Reads the newest configuration from the store.

    Args:
        store: The platform's store.
        known: A configuration whose parts need not be read again.

    Returns:
        The head's version in the store, and the configuration.

    Raises:
        errors.PlatformUnavailableError: The store does not answer.
        errors.FrameError: The head changed while its parts were read.
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
    """Checks and publishes a change.

    Args:
        store: The platform's store.
        known: The newest configuration that the caller knows.
        change: The change.

    Returns:
        The configuration that the change made.

    Raises:
        errors.CheckError: The resulting set has mistakes.
        errors.RequestError: Another operator's change is in the way; both
            contents are in the message.
        errors.OutcomeUnknownError: The change may have been accepted; see
            `was_accepted`.
        errors.PlatformUnavailableError: The store does not answer; nothing
            was published.
    """
    for _ in range(MAX_PUBLISH_TRIES):
        version, current = _fetch_current(store, known)
        if current.generation < known.generation:
            # A stale read; the conditional write would be refused anyway.
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
        "other changes kept coming first; nothing was published"
    )


def was_accepted(
    store: platform_port.Platform, change_id: str, generation: int
) -> bool:
    """Returns whether a change was accepted as a generation.

    Raises:
        errors.PlatformUnavailableError: The store does not answer.
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
    """Returns the newest accepted changes, newest first."""
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
    """Returns a set of objects with edits applied.

    Raises:
        errors.RequestError: An edit was made from other content.
    """
    changed = {kind: dict(records) for kind, records in data.items()}
    for edit in edits:
        if edit.kind not in objects.KINDS:
            path = f"{edit.kind}.{edit.name}"
            mistake = errors.Mistake(path, "unknown kind")
            raise errors.CheckError("the change", [mistake])
        found = changed[edit.kind].get(edit.name)
        if edit.base is not None and edit.base != digest_of(found):
            raise errors.RequestError(_conflict(edit, found))
        if edit.value is None:
            changed[edit.kind].pop(edit.name, None)
        else:
            changed[edit.kind][edit.name] = edit.value
    return changed


def _conflict(edit: Edit, found: dict[str, Any] | None) -> verdicts.Refusal:

    yours = msgspec.json.encode(edit.value).decode()
    theirs = msgspec.json.encode(found).decode()
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN,
        verdicts.Reason.CONFLICT,
        f"{edit.kind}.{edit.name} was changed meanwhile: in force is {theirs},"
        f" yours is {yours}; read it again and repeat the edit",
    )


def _fetch_current(
    store: platform_port.Platform, known: Snapshot
) -> tuple[int, Snapshot]:
    """Reads the newest configuration; again while it changes."""
    for _ in range(5):
        try:
            return fetch(store, known)
        except errors.FrameError:
            continue
    raise errors.PlatformUnavailableError("the configuration keeps changing")


def _record_audit(
    store: platform_port.Platform, change: AcceptedChange
) -> None:
    try:
        store.write(
            audit_name(change.generation), msgspec.json.encode(change), 0
        )
    except errors.ConflictError:
        # It is there already; the content is the same by construction.
        pass


def _part_index(kind: str, name: str) -> int:
    digest = hashlib.sha256(f"{kind}\0{name}".encode()).digest()
    return digest[0] % PART_COUNT


def _make_head(
    current: Snapshot, data: dict[str, dict[str, Any]], change: Change
) -> tuple[Head, dict[str, bytes]]:
    buckets: list[dict[str, dict]] = [{} for _ in range(PART_COUNT)]
    for kind, records in data.items():
        for name, value in records.items():
            bucket = buckets[_part_index(kind, name)]
            bucket.setdefault(kind, {})[name] = value
    by_digest = {}
    if current.head:
        before = decode_head(current.head)
        by_digest = dict(zip(before.digests, before.parts, strict=True))
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
            "(document)", f"a part has {len(content)} bytes, too many"
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
            record["before"] = digest_of(record["before"])
            record["after"] = digest_of(record["after"])
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
            # Part names hold the change id: an earlier try wrote it.
            pass


def _write_head(
    store: platform_port.Platform, value: bytes, version: int, change_id: str
) -> bool:
    """Writes the head; returns False where another change came first.

    Raises:
        errors.OutcomeUnknownError: It cannot be told whether the write took
            effect.
    """
    try:
        store.write(HEAD_NAME, value, version)
        return True
    except errors.ConflictError:
        return False
    except errors.PlatformUnavailableError as error:
        return _settle_head(store, value, change_id, error)


def _settle_head(
    store: platform_port.Platform,
    value: bytes,
    change_id: str,
    cause: errors.PlatformUnavailableError,
) -> bool:
    """Reads back whether a write of the head took effect."""
    generation = decode_head(value).generation
    try:
        if was_accepted(store, change_id, generation):
            return True
    except errors.PlatformUnavailableError:
        pass
    # Even a read that shows the old head proves nothing: the write may still
    # be on its way.
    raise errors.OutcomeUnknownError(str(cause)) from cause


def _delete_retired(store: platform_port.Platform, current: Snapshot) -> None:
    """Deletes parts that were retired one generation ago."""
    if not current.head:
        return
    for name in decode_head(current.head).retired:
        try:
            store.delete(name, 1)
        except errors.PlatformError:
            # A part left behind costs space, nothing else.
            continue
