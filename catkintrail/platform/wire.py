"""Decodes the platform's headers and objects into catkintrail's types."""

import hashlib
import logging
import math
import re
from typing import Any, Mapping

from catkintrail import errors
from catkintrail.core import route_table
from catkintrail.core import target_notices
from catkintrail.core import targets as target_records

__all__ = [
    "ATTEMPT_ID",
    "AUTHORIZATION",
    "COLD_MS",
    "CONTENT_ENCODING",
    "DEADLINE_MS",
    "ENGINE_STAMP",
    "EXPECT_INSTANCE",
    "HELPERS",
    "HOP_BY_HOP",
    "INSTANCE_ID",
    "LAST_EVENT_ID",
    "NOT_EXECUTED",
    "PROMPT_PREFIX",
    "READY_PATH",
    "RETRY_AFTER",
    "SERVER_LEAVING",
    "SERVER_LIMIT",
    "REQUEST_PRIORITY",
    "NOT_FORWARDED",
    "STORE_ERA",
    "TENANT",
    "TOKEN_COUNTS",
    "decode_api_key",
    "decode_cold_seconds",
    "decode_configuration",
    "decode_count",
    "decode_era",
    "decode_prompt_parts",
    "decode_limit",
    "decode_retry_after",
    "decode_statement",
    "decode_target",
    "decode_token_counts",
    "states_leaving",
]

_LOG = logging.getLogger("catkintrail.store")

# Identifies one attempt of a caller, not one of the relay: retries at other
# targets have the same id.
ATTEMPT_ID = "attempt-id"
AUTHORIZATION = "authorization"
# For how long a target stays cold.
COLD_MS = "cold-ms"
CONTENT_ENCODING = "content-encoding"
DEADLINE_MS = "deadline-ms"
ENGINE_STAMP = "engine-stamp"
EXPECT_INSTANCE = "expect-instance"
HELPERS = "helpers"
# Name of the target that responds.
INSTANCE_ID = "instance-id"
LAST_EVENT_ID = "last-event-id"
NOT_EXECUTED = "not-executed"
# Parts of the prompt, in order; the last one belongs to the request alone.
PROMPT_PREFIX = "prompt-prefix"
READY_PATH = "/api/ready"
REQUEST_PRIORITY = "request-priority"
RETRY_AFTER = "retry-after"
# In all responses of a target that has announced its shutdown.
SERVER_LEAVING = "server-leaving"
# Requests a second that the target takes from all instances together.
SERVER_LIMIT = "server-limit"
# Rises each time the store comes back from an older copy.
STORE_ERA = "store-era"
# Name of the organisation.
TENANT = "tenant"
# Number of prompt tokens and limit of output tokens, separated by a comma.
TOKEN_COUNTS = "token-counts"

# Headers that apply to one connection only; they are not forwarded.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Request headers that are never forwarded from a caller to a target.
NOT_FORWARDED = frozenset(
    {
        AUTHORIZATION,
        DEADLINE_MS,
        EXPECT_INSTANCE,
        HELPERS,
        REQUEST_PRIORITY,
        TENANT,
    }
)

API_KEY_SCHEME = "token"
MAX_COUNT_DIGITS = 18
MAX_PORT = 65_535
MAX_SLOTS = 1_000_000
# Messages between instances have integers of 64 bits.
MAX_TIME_MS = 1 << 62
# Bounds of the parts of one prompt that are told to peers. A head of usual size
# has fewer.
MAX_PROMPT_PARTS = 2_048
MAX_PROMPT_PARTS_CHARACTERS = 16 << 10
# Longer ids are replaced by their digests.
MAX_PROMPT_PART_CHARACTERS = 64
PROMPT_PART_DIGEST_BYTES = 16

# A host name or an IP address. Labels have at most 63 characters (RFC 1035).
_HOST = re.compile(
    r"\[[0-9A-Fa-f:.]{2,45}\]|[0-9A-Za-z-]{1,63}(\.[0-9A-Za-z-]{1,63}){0,15}"
)
_ROUTE_KINDS = {
    "idempotent": route_table.RouteKind.IDEMPOTENT,
    "non_idempotent": route_table.RouteKind.NON_IDEMPOTENT,
    "streaming": route_table.RouteKind.STREAMING,
}
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}


def decode_api_key(authorization: str) -> str:
    """Returns the API key of an `Authorization` header; "" if it has none."""
    scheme, _, key = authorization.strip().partition(" ")
    return key.strip() if scheme.lower() == API_KEY_SCHEME else ""


def decode_prompt_parts(text: str) -> tuple[str, ...]:
    """Decodes a `Prompt-Prefix` header.

    Returns:
        Ids of the parts that other requests may share, in order: all but the
        last one. Of more than can be told to peers the first ones, which most
        requests share.
    """
    names = [entry.partition(":")[0].strip() for entry in text.split(",")[:-1]]
    parts = []
    size = 0
    for name in dict.fromkeys(names):
        if not name:
            continue
        part = _shorten_prompt_part(name.lower())
        size += len(part)
        if len(parts) == MAX_PROMPT_PARTS or size > MAX_PROMPT_PARTS_CHARACTERS:
            break
        parts.append(part)
    return tuple(parts)


def _shorten_prompt_part(name: str) -> str:
    if len(name) <= MAX_PROMPT_PART_CHARACTERS:
        return name
    digest = hashlib.blake2b(
        name.encode(), digest_size=PROMPT_PART_DIGEST_BYTES
    )
    return digest.hexdigest()


def decode_retry_after(text: str) -> float | None:
    """Decodes a `Retry-After` header.

    Returns:
        Time in seconds, not negative; None if the header is malformed.
    """
    try:
        seconds = float(text)
    except ValueError:
        return None
    return seconds if seconds >= 0 else None


def states_leaving(value: str | None) -> bool:
    """Returns whether a `Server-Leaving` header announces a shutdown."""
    return value is not None and value.strip() not in ("", "0")


def decode_limit(text: str) -> float | None:
    """Decodes a `Server-Limit` header.

    Returns:
        Requests a second, not negative; None if the header is malformed.
    """
    try:
        limit = float(text)
    except ValueError:
        return None
    return limit if 0 <= limit < math.inf else None


def decode_statement(
    status: int, headers_by_name: Mapping[str, str]
) -> target_notices.TargetStatement:
    """Decodes what a response states of its target.

    Args:
        status: Status code.
        headers_by_name: Header values by lower-case name.
    """
    pause_seconds = limit = cold_ms = None
    if status == 503 and RETRY_AFTER in headers_by_name:
        pause_seconds = decode_retry_after(headers_by_name[RETRY_AFTER])
    if SERVER_LIMIT in headers_by_name:
        limit = decode_limit(headers_by_name[SERVER_LIMIT])
    if COLD_MS in headers_by_name:
        cold_ms = decode_count(headers_by_name[COLD_MS])
    return target_notices.TargetStatement(
        states_leaving(headers_by_name.get(SERVER_LEAVING)),
        pause_seconds,
        limit,
        SERVER_LIMIT not in headers_by_name,
        None if cold_ms is None else cold_ms / 1000.0,
    )


def decode_count(text: str) -> int | None:
    """Decodes a decimal number of a header; returns None if it is malformed."""
    text = text.strip()
    if text.isascii() and text.isdigit() and len(text) <= MAX_COUNT_DIGITS:
        return int(text)
    return None


def decode_era(text: str) -> int:
    """Decodes a `Store-Era` header; returns -1 if it is malformed."""
    era = decode_count(text)
    return -1 if era is None else era


def decode_token_counts(text: str) -> tuple[int, int]:
    """Decodes a `Token-Counts` header.

    Returns:
        Number of prompt tokens and limit of output tokens; both 0 if the header
        is malformed.
    """
    counts = [decode_count(part) for part in text.split(",", 1)]
    if len(counts) < 2 or None in counts:
        return 0, 0
    return counts[0], counts[1]


def decode_target(record: Any) -> target_records.Target | None:
    """Decodes an entry of the platform's list of targets.

    Returns:
        The target; None if the entry is invalid.
    """
    try:
        name = record["metadata"]["name"]
        spec = record["spec"]
        values = (
            name,
            spec["service"],
            spec["address"],
            # The platform's zone is the availability zone.
            spec["zone"],
            spec["slots"],
        )
        is_leaving = _IS_LEAVING_BY_STATE[spec["state"]]
        born = spec.get("born", 0)
    except (KeyError, TypeError, AttributeError):
        return None
    if not all(isinstance(value, str) for value in values[:4]):
        return None
    if not name or not _is_address(values[2]):
        return None
    if not _is_count(values[4], MAX_SLOTS):
        return None
    if not _is_count(born, MAX_TIME_MS):
        born = 0
    return target_records.Target(*values, is_leaving, born)


def decode_cold_seconds(record: Any) -> float | None:
    """Returns for how long an entry's target stays cold.

    Returns:
        Time in seconds; None if the entry does not state it, or is malformed.
    """
    try:
        left_ms = record["spec"]["cold-left-ms"]
    except (KeyError, TypeError):
        return None
    return left_ms / 1000.0 if _is_count(left_ms, MAX_TIME_MS) else None


def _is_address(text: str) -> bool:
    """Returns whether a text is a host and a port that can be connected to."""
    host, _, port = text.rpartition(":")
    number = decode_count(port)
    return (
        _HOST.fullmatch(host) is not None
        and number is not None
        and 0 < number <= MAX_PORT
    )


def _is_count(value: Any, maximum: int) -> bool:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and 0 <= value <= maximum


def decode_configuration(spec: Any) -> route_table.Configuration:
    """Decodes the operator's configuration.

    Raises:
        errors.CheckError: A field is missing or malformed.
    """
    try:
        services = {
            item["name"]: _decode_service(item) for item in spec["services"]
        }
        return route_table.Configuration(
            int(spec["version"]),
            tuple(_decode_route(item) for item in spec["routes"]),
            services,
            _decode_organisations(spec.get("tenants")),
            _decode_limits(spec.get("limits") or {}),
        )
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        OverflowError,
    ) as error:
        raise errors.CheckError(
            "configuration", [errors.Mistake("", repr(error))]
        ) from error


def _decode_route(item: dict) -> route_table.Route:
    if item.get("split"):
        services = tuple(
            route_table.WeightedService(part["service"], float(part["weight"]))
            for part in item["split"]
        )
    else:
        services = (route_table.WeightedService(item["service"], 1.0),)
    return route_table.Route(
        item["name"],
        item["host"].lower(),
        item["path-prefix"],
        _ROUTE_KINDS[item["kind"]],
        services,
        float(item["timeout-ms"]),
        float(item.get("goal-ms") or item["timeout-ms"]),
        float(item.get("gap-target-ms") or 0.0),
        int(item.get("max-attempts") or 1),
        int(item.get("priority") or 0),
        bool(item.get("public")),
        bool(item.get("resumable")),
        _decode_regions(item, f"route {item['name']}"),
    )


def _decode_regions(item: dict, holder: str) -> tuple[str, ...] | None:
    """Decodes `allowed-regions`; returns None if there is no restriction.

    A malformed list allows no region, so that a mistake sends nothing to a
    region that it was meant to exclude.
    """
    regions = item.get("allowed-regions")
    if regions is None:
        return None
    if not isinstance(regions, list) or not all(
        isinstance(region, str) and region for region in regions
    ):
        _LOG.warning("allowed_regions_unreadable", extra={"holder": holder})
        return ()
    return tuple(regions)


def _decode_service(item: dict) -> route_table.Service:
    engine = item.get("engine")
    return route_table.Service(
        item["name"],
        int(item.get("max-conns") or 0),
        _decode_engine(engine) if engine else None,
        _decode_figure(item.get("cold-s")),
        _decode_figure(item.get("cold-per-s")),
    )


def _decode_figure(value: Any) -> float:
    """Returns a figure that may be missing; -1 if it is malformed.

    A figure that one feature needs must not make the configuration unreadable.
    """
    if value is None:
        return 0.0
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        return -1.0
    return float(min(value, MAX_TIME_MS)) if value >= 0 else -1.0


def _decode_engine(item: dict) -> route_table.EngineFigures:
    usual = item.get("usual") or {}
    return route_table.EngineFigures(
        int(item["kv-capacity-tokens"]),
        float(item["step_ms"]),
        float(item["per_seq_ms"]),
        float(item["context_per_k"]),
        # The field is in tokens per second.
        float(item["read_per_s"]) / 1000.0,
        float(item["pairs_per_m"]),
        int(item["chunk"]),
        int(item.get("stride") or 1),
        float(usual.get("prompt") or 1000.0),
    )


def _decode_organisations(
    items: list[dict] | None,
) -> dict[str, route_table.Organisation] | None:
    """Returns the organisation of each API key; None if none are stated."""
    if items is None:
        return None
    organisations = {}
    for item in items:
        priority = item.get("priority")
        organisation = route_table.Organisation(
            item["name"],
            priority,
            _decode_regions(item, f"organisation {item['name']}"),
        )
        for key in item["api-keys"]:
            organisations[key] = organisation
    return organisations


def _decode_limits(item: dict) -> route_table.CallerLimits:
    default = route_table.CallerLimits()
    return route_table.CallerLimits(
        int(item.get("max-header-bytes") or default.max_header_bytes),
        int(item.get("max-body-bytes") or default.max_body_bytes),
        int(item.get("header-timeout-ms") or default.header_timeout_ms),
        int(item.get("idle-timeout-ms") or default.idle_timeout_ms),
    )
