"""The named objects that operators edit, and the check of a whole set."""

import hashlib
import re
from typing import Any, NamedTuple

from catkintrail import checking
from catkintrail import errors

__all__ = [
    "ApiKey",
    "KINDS",
    "Model",
    "ObjectSet",
    "Organisation",
    "Route",
    "SINGULAR",
    "Service",
    "check_object_set",
    "encode_object",
    "hash_key",
    "normalise",
    "object_set_to_data",
]

MAX_NAME_LENGTH = 63
MAX_OBJECTS = 50_000
_NAME = re.compile(r"[a-z0-9]([-a-z0-9.]*[a-z0-9])?\Z")
_KEY_HASH = re.compile(r"[0-9a-f]{64}\Z")
ROLES = ("caller", "operator", "viewer")


class ApiKey(NamedTuple):
    """One API key of an organisation, kept as a hash.

    Attributes:
        name: The key's name, for logs and the audit trail.
        sha256: The hash of the key in hexadecimal.
        role: `caller`, `operator` (edits objects) or `viewer` (reads them).
    """

    name: str
    sha256: str
    role: str = "caller"


class Organisation(NamedTuple):
    """A customer of the platform.

    Attributes:
        weight: Its part of a contended pool, against the others' weights.
        requests_per_second: Limit over all zones; 0 for none.
        tokens_per_second: Limit on prompt and output tokens; 0 for none.
        retry_fraction: Retries allowed for each first try.
        keys: The keys of its callers and operators.
    """

    weight: float = 1.0
    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0
    retry_fraction: float = 0.1
    keys: tuple[ApiKey, ...] = ()


class Model(NamedTuple):
    """A model that engines serve, with the figures that predict its cost.

    Attributes:
        context_tokens: The longest prompt and output together.
        engine_kv_tokens: Tokens whose KV cache one engine can hold.
        block_tokens: Tokens in a block of the prefix cache.
        bytes_per_token: Mean bytes of text in a token.
        prefill_seconds_per_token: Time to prefill one uncached token.
        decode_seconds_per_token: Time between tokens on a busy engine.
        max_output_tokens: The longest output.
        max_group: The most engines that one prompt is spread over.
        long_prompt_tokens: The least uncached prompt classed as long.
        engine_slots: The most sequences at once on one engine.
        cache_events: Whether the engines' cache events are read; without
            them the index of cached prefixes follows grants alone.
        resume: Whether a cut stream may be resumed on another engine.
        wanted_version: Version that engines are ordered to load; "" for none.
        fencing: Whether the engines refuse orders with old fencing numbers.
    """

    context_tokens: int
    engine_kv_tokens: int
    block_tokens: int = 512
    bytes_per_token: float = 4.0
    prefill_seconds_per_token: float = 0.000018
    decode_seconds_per_token: float = 0.035
    max_output_tokens: int = 8192
    max_group: int = 4
    long_prompt_tokens: int = 100_000
    engine_slots: int = 128
    cache_events: bool = False
    resume: bool = True
    wanted_version: str = ""
    fencing: bool = True


class Service(NamedTuple):
    """A plain service beside the engines.

    Attributes:
        call_seconds: The usual time of a call.
        target_slots: The most calls at once on one target.
        once_methods: HTTP methods whose calls may not be repeated.
        require_key: Whether such calls must carry an idempotency key.
    """

    call_seconds: float = 0.05
    target_slots: int = 32
    once_methods: tuple[str, ...] = ("POST", "PUT", "PATCH", "DELETE")
    require_key: bool = True


class Route(NamedTuple):
    """The name by which callers reach a model or a service.

    Attributes:
        model: The model it leads to, or "".
        service: The service it leads to, or "".
        organisations: Who may use it; empty for all.
        deadline_seconds: The deadline of a request that names none.
        max_deadline_seconds: The longest deadline a request may ask for.
        first_token_weight: Weight of time to first token in the choice
            between an early start for long prompts and quick short ones.
    """

    model: str = ""
    service: str = ""
    organisations: tuple[str, ...] = ()
    deadline_seconds: float = 60.0
    max_deadline_seconds: float = 86_400.0
    first_token_weight: float = 0.5


class ObjectSet(NamedTuple):
    """All objects, by kind and name."""

    organisations: dict[str, Organisation]
    models: dict[str, Model]
    services: dict[str, Service]
    routes: dict[str, Route]


KINDS: dict[str, type] = {
    "organisations": Organisation,
    "models": Model,
    "services": Service,
    "routes": Route,
}

SINGULAR = {kind: kind[:-1] for kind in KINDS}


def hash_key(key: str) -> str:
    """Returns the hash under which an API key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def encode_object(record: NamedTuple) -> dict[str, Any]:
    """Returns a record as plain data, nested records included."""
    data = record._asdict()
    if isinstance(record, Organisation):
        data["keys"] = [key._asdict() for key in record.keys]
    # As JSON has it: lists, so that equal objects compare as equal.
    return {
        name: list(value) if isinstance(value, tuple) else value
        for name, value in data.items()
    }


def object_set_to_data(objects: ObjectSet) -> dict[str, Any]:
    """Returns the whole set as plain data."""
    return {
        kind: {
            name: encode_object(record)
            for name, record in sorted(getattr(objects, kind).items())
        }
        for kind in KINDS
    }


def check_object_set(data: dict[str, Any], source: str) -> ObjectSet:
    """Checks a whole set of objects.

    Args:
        data: Objects by kind and name, as parsed.
        source: The document's name, for messages.

    Returns:
        The set.

    Raises:
        errors.CheckError: With all mistakes at once.
    """
    mistakes: list[errors.Mistake] = []
    kinds = _read_kinds(data, mistakes)
    if sum(len(records) for records in kinds.values()) > MAX_OBJECTS:
        mistakes.append(
            errors.Mistake("(document)", f"more than {MAX_OBJECTS} objects")
        )
    objects = ObjectSet(**kinds)
    _check_values(objects, mistakes)
    _check_references(objects, data, mistakes)
    if mistakes:
        raise errors.CheckError(source, mistakes)
    return objects


def normalise(
    data: dict[str, Any], mistakes: list[errors.Mistake]
) -> dict[str, dict[str, Any]]:
    """Fills in the defaults of all objects in a document.

    Args:
        data: Objects by kind and name, as parsed.
        mistakes: Receives the mistakes in single objects.

    Returns:
        The objects as plain data.
    """
    kinds = _read_kinds(data, mistakes)
    return {
        kind: {name: encode_object(record) for name, record in records.items()}
        for kind, records in kinds.items()
    }


def _read_kinds(
    data: dict[str, Any], mistakes: list[errors.Mistake]
) -> dict[str, dict]:
    kinds: dict[str, dict] = {kind: {} for kind in KINDS}
    for kind in data:
        if kind not in KINDS:
            expected = ", ".join(KINDS)
            mistakes.append(
                errors.Mistake(str(kind), f"unknown kind; expected {expected}")
            )
    for kind, record_type in KINDS.items():
        _read_kind(data.get(kind, {}), kind, record_type, kinds, mistakes)
    return kinds


def _read_kind(
    records: Any,
    kind: str,
    record_type: type,
    kinds: dict[str, dict],
    mistakes: list[errors.Mistake],
) -> None:
    if not isinstance(records, dict):
        mistakes.append(
            errors.Mistake(kind, "expected an object of names to objects")
        )
        return
    for name, value in records.items():
        path = f"{kind}.{name}"
        if len(name) > MAX_NAME_LENGTH or not _NAME.match(name):
            mistakes.append(
                errors.Mistake(
                    path,
                    "a name has lower-case letters, digits, '-' and '.', at"
                    f" most {MAX_NAME_LENGTH}",
                )
            )
        record = checking.check_record(value, record_type, path, mistakes)
        if record is not None:
            kinds[kind][name] = record


_POSITIVE_FIELDS = {
    "organisations": ("weight",),
    "models": (
        "context_tokens",
        "engine_kv_tokens",
        "block_tokens",
        "bytes_per_token",
        "prefill_seconds_per_token",
        "decode_seconds_per_token",
        "max_output_tokens",
        "max_group",
        "long_prompt_tokens",
        "engine_slots",
    ),
    "services": ("call_seconds", "target_slots"),
    "routes": ("deadline_seconds", "max_deadline_seconds"),
}
_NOT_NEGATIVE_FIELDS = {
    "organisations": (
        "requests_per_second",
        "tokens_per_second",
        "retry_fraction",
    ),
    "models": (),
    "services": (),
    "routes": ("first_token_weight",),
}


def _check_values(objects: ObjectSet, mistakes: list[errors.Mistake]) -> None:
    for kind in KINDS:
        for name, record in getattr(objects, kind).items():
            _check_ranges(kind, name, record, mistakes)
    for name, organisation in objects.organisations.items():
        _check_keys(name, organisation, mistakes)
    for name, model in objects.models.items():
        most = model.engine_kv_tokens * model.max_group
        if model.context_tokens > most:
            mistakes.append(
                errors.Mistake(
                    f"models.{name}.context_tokens",
                    f"{model.context_tokens} tokens do not fit in max_group"
                    f" engines of engine_kv_tokens ({most} tokens)",
                )
            )


def _check_ranges(
    kind: str, name: str, record: Any, mistakes: list[errors.Mistake]
) -> None:
    for field in _POSITIVE_FIELDS[kind]:
        value = getattr(record, field)
        if not 0 < value < float("inf"):
            mistakes.append(
                errors.Mistake(
                    f"{kind}.{name}.{field}", f"expected > 0, found {value}"
                )
            )
    for field in _NOT_NEGATIVE_FIELDS[kind]:
        value = getattr(record, field)
        if not 0 <= value < float("inf"):
            mistakes.append(
                errors.Mistake(
                    f"{kind}.{name}.{field}", f"expected >= 0, found {value}"
                )
            )


def _check_keys(
    name: str, organisation: Organisation, mistakes: list[errors.Mistake]
) -> None:
    for index, key in enumerate(organisation.keys):
        path = f"organisations.{name}.keys[{index}]"
        if not _KEY_HASH.match(key.sha256):
            mistakes.append(
                errors.Mistake(
                    f"{path}.sha256",
                    "expected 64 hexadecimal digits; a key itself is never"
                    " stored",
                )
            )
        if key.role not in ROLES:
            expected = ", ".join(ROLES)
            mistakes.append(
                errors.Mistake(f"{path}.role", f"expected one of {expected}")
            )


def _check_references(
    objects: ObjectSet, data: dict[str, Any], mistakes: list[errors.Mistake]
) -> None:
    names = {
        kind: data.get(kind) if isinstance(data.get(kind), dict) else {}
        for kind in KINDS
    }
    owners: dict[str, str] = {}
    for name, organisation in objects.organisations.items():
        for index, key in enumerate(organisation.keys):
            other = owners.setdefault(key.sha256, name)
            if other != name:
                mistakes.append(
                    errors.Mistake(
                        f"organisations.{name}.keys[{index}].sha256",
                        f"the same key belongs to organisation {other!r}",
                    )
                )
    for name in objects.services:
        if name in objects.models:
            mistakes.append(
                errors.Mistake(f"services.{name}", "a model has the same name")
            )
    for name, route in objects.routes.items():
        path = f"routes.{name}"
        if bool(route.model) == bool(route.service):
            mistakes.append(
                errors.Mistake(path, "expected either a model or a service")
            )
        wanted = [("model", "models", route.model)]
        wanted.append(("service", "services", route.service))
        wanted += [
            (f"organisations[{index}]", "organisations", organisation)
            for index, organisation in enumerate(route.organisations)
        ]
        for field, kind, target in wanted:
            if target and target not in names[kind]:
                mistakes.append(
                    errors.Mistake(
                        f"{path}.{field}",
                        f"no {SINGULAR[kind]} is named {target!r}",
                    )
                )
        if route.deadline_seconds > route.max_deadline_seconds:
            mistakes.append(
                errors.Mistake(
                    f"{path}.deadline_seconds",
                    "is longer than max_deadline_seconds",
                )
            )
