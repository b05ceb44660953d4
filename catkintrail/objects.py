"""Configuration objects that operators edit, and their validation."""

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
    "encode_object_set",
]

MAX_NAME_LENGTH = 63
MAX_OBJECTS = 50_000
_NAME_PATTERN = re.compile(r"[a-z0-9]([-a-z0-9.]*[a-z0-9])?\Z")
_KEY_HASH_PATTERN = re.compile(r"[0-9a-f]{64}\Z")
ROLES = ("caller", "operator", "viewer")


class ApiKey(NamedTuple):
    """An API key of an organisation, stored as a hash.

    Attributes:
        name: Name of the key in logs and in the audit trail.
        sha256: SHA-256 digest of the key, 64 hexadecimal digits.
        role: `caller` (sends requests), `operator` (edits objects) or
            `viewer` (reads objects).
    """

    name: str
    sha256: str
    role: str = "caller"


class Organisation(NamedTuple):
    """A customer of the platform.

    Attributes:
        weight: Weight of the organisation's share of a contended pool,
            relative to the weights of other organisations.
        requests_per_second: Rate limit across all availability zones; 0 for
            no limit.
        tokens_per_second: Rate limit on prompt and output tokens; 0 for no
            limit.
        retry_fraction: Number of retries allowed per first attempt.
        keys: The organisation's API keys.
    """

    weight: float = 1.0
    requests_per_second: float = 0.0
    tokens_per_second: float = 0.0
    retry_fraction: float = 0.1
    keys: tuple[ApiKey, ...] = ()


class Model(NamedTuple):
    """A model that engines serve, with the parameters of its cost model.

    Attributes:
        context_tokens: Maximum length of prompt and output together.
        engine_kv_tokens: KV cache capacity of one engine, in tokens.
        block_tokens: Number of tokens in a block of the prefix cache.
        bytes_per_token: Mean number of bytes of text in a token.
        prefill_seconds_per_token: Time to prefill one uncached token.
        decode_seconds_per_token: Time between tokens on a busy engine.
        max_output_tokens: Maximum length of the output.
        max_group: Maximum number of engines that share one prompt.
        long_prompt_tokens: Number of uncached prompt tokens from which a
            prompt is classed as long.
        engine_slots: Maximum number of concurrent sequences on one engine.
        cache_events: Whether cache events are read from the engines; if not,
            the index of cached prefixes is derived from grants alone.
        resume: Whether an interrupted stream may be resumed on another
            engine.
        wanted_version: Version that engines are ordered to load; "" for none.
        fencing: Whether the engines reject orders with outdated fencing
            numbers.
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
    """A plain service, whose targets are not engines.

    Attributes:
        call_seconds: Typical duration of a call.
        target_slots: Maximum number of concurrent calls on one target.
        once_methods: HTTP methods whose calls must run at most once.
        require_key: Whether calls with `once_methods` must carry an
            idempotency key.
    """

    call_seconds: float = 0.05
    target_slots: int = 32
    once_methods: tuple[str, ...] = ("POST", "PUT", "PATCH", "DELETE")
    require_key: bool = True


class Route(NamedTuple):
    """A public name under which callers use a model or a service.

    Exactly one of `model` and `service` is set.

    Attributes:
        model: Name of the model, or "".
        service: Name of the service, or "".
        organisations: Organisations that may use the route; empty for all.
        deadline_seconds: Default deadline of a request.
        max_deadline_seconds: Maximum deadline that a request may ask for.
        first_token_weight: Scheduling preference: 1 favours an early start of
            long prompts, 0 favours short prompts.
    """

    model: str = ""
    service: str = ""
    organisations: tuple[str, ...] = ()
    deadline_seconds: float = 60.0
    max_deadline_seconds: float = 86_400.0
    first_token_weight: float = 0.5


class ObjectSet(NamedTuple):
    """All configuration objects, by kind and name."""

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
    """Returns the hexadecimal SHA-256 digest under which a key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


def encode_object(record: NamedTuple) -> dict[str, Any]:
    """Returns an object as plain data, nested records included."""
    data = record._asdict()
    if isinstance(record, Organisation):
        data["keys"] = [key._asdict() for key in record.keys]
    # Lists instead of tuples, so that the data equals decoded JSON.
    return {
        name: list(value) if isinstance(value, tuple) else value
        for name, value in data.items()
    }


def encode_object_set(objects: ObjectSet) -> dict[str, Any]:
    """Returns a set of objects as plain data, by kind and name."""
    return {
        kind: {
            name: encode_object(record)
            for name, record in sorted(getattr(objects, kind).items())
        }
        for kind in KINDS
    }


def check_object_set(data: dict[str, Any], source: str) -> ObjectSet:
    """Validates a complete set of objects, including their references.

    Args:
        data: Parsed objects by kind and name.
        source: Name of the document, for error messages.

    Returns:
        The validated objects.

    Raises:
        errors.CheckError: The objects are invalid; lists all mistakes.
    """
    mistakes: list[errors.Mistake] = []
    kinds = _read_objects(data, mistakes)
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
    """Fills in the default values of all objects in a document.

    References between objects are not checked, because a document may refer
    to objects that are only published.

    Args:
        data: Parsed objects by kind and name.
        mistakes: List to which the mistakes in single objects are appended.

    Returns:
        The valid objects as plain data, by kind and name.
    """
    kinds = _read_objects(data, mistakes)
    return {
        kind: {name: encode_object(record) for name, record in records.items()}
        for kind, records in kinds.items()
    }


def _read_objects(
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
        _read_objects_of_kind(
            data.get(kind, {}), kind, record_type, kinds, mistakes
        )
    return kinds


def _read_objects_of_kind(
    records: Any,
    kind: str,
    record_type: type,
    kinds: dict[str, dict],
    mistakes: list[errors.Mistake],
) -> None:
    if not isinstance(records, dict):
        mistakes.append(
            errors.Mistake(
                kind, "expected an object that maps names to objects"
            )
        )
        return
    for name, value in records.items():
        path = f"{kind}.{name}"
        if len(name) > MAX_NAME_LENGTH or not _NAME_PATTERN.match(name):
            mistakes.append(
                errors.Mistake(
                    path,
                    "a name has lower-case letters, digits, '-' and '.', starts"
                    " and ends with a letter or digit, and has at most"
                    f" {MAX_NAME_LENGTH} characters",
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
_NON_NEGATIVE_FIELDS = {
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
        capacity_tokens = model.engine_kv_tokens * model.max_group
        if model.context_tokens > capacity_tokens:
            mistakes.append(
                errors.Mistake(
                    f"models.{name}.context_tokens",
                    f"{model.context_tokens} tokens exceed max_group *"
                    f" engine_kv_tokens ({capacity_tokens} tokens)",
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
    for field in _NON_NEGATIVE_FIELDS[kind]:
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
        if not _KEY_HASH_PATTERN.match(key.sha256):
            mistakes.append(
                errors.Mistake(
                    f"{path}.sha256",
                    "expected 64 lower-case hexadecimal digits; the key itself"
                    " is never stored",
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
    # Names as parsed: an object that is itself invalid counts as existing, so
    # that each mistake is reported once.
    names_by_kind = {
        kind: data.get(kind) if isinstance(data.get(kind), dict) else {}
        for kind in KINDS
    }
    owners_by_hash: dict[str, str] = {}
    for name, organisation in objects.organisations.items():
        for index, key in enumerate(organisation.keys):
            owner = owners_by_hash.setdefault(key.sha256, name)
            if owner != name:
                mistakes.append(
                    errors.Mistake(
                        f"organisations.{name}.keys[{index}].sha256",
                        f"the key already belongs to organisation {owner!r}",
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
                errors.Mistake(
                    path, "expected exactly one of model and service"
                )
            )
        references = [("model", "models", route.model)]
        references.append(("service", "services", route.service))
        references += [
            (f"organisations[{index}]", "organisations", organisation)
            for index, organisation in enumerate(route.organisations)
        ]
        for field, kind, referenced_name in references:
            if referenced_name and referenced_name not in names_by_kind[kind]:
                mistakes.append(
                    errors.Mistake(
                        f"{path}.{field}",
                        f"{SINGULAR[kind]} {referenced_name!r} does not exist",
                    )
                )
        if route.deadline_seconds > route.max_deadline_seconds:
            mistakes.append(
                errors.Mistake(
                    f"{path}.deadline_seconds",
                    "must not exceed max_deadline_seconds",
                )
            )
