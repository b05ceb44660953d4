"""Reads the platform's settings file of an instance."""

import logging
import os
import tomllib
from typing import Any

from catkintrail import errors
from catkintrail import relay_settings
from catkintrail.core.zones import regions

__all__ = [
    "SETTINGS_VARIABLE",
    "decode_settings",
    "parse_settings",
    "read_settings",
    "read_text",
    "settings_path",
]

_LOG = logging.getLogger("catkintrail.settings")

SETTINGS_VARIABLE = "CATKINTRAIL_BOOT"
DEFAULT_PATH = "/etc/catkintrail/settings.toml"


def read_settings(path: str = "") -> relay_settings.RelaySettings:
    """Reads and decodes the settings file.

    Args:
        path: Path of the file; if empty, the path that `settings_path` returns.

    Raises:
        errors.CheckError: The file cannot be read, is not valid TOML, or has
            missing or malformed fields.
    """
    path = path or settings_path()
    return parse_settings(read_text(path), path)


def settings_path() -> str:
    """Returns the path set in the environment, or the default path."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)


def read_text(path: str) -> str:
    """Returns the content of the settings file.

    Raises:
        errors.CheckError: The file cannot be read or is not UTF-8.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.CheckError(
            path, [errors.Mistake("", str(error))]
        ) from error


def parse_settings(text: str, path: str) -> relay_settings.RelaySettings:
    """Parses and decodes the content of the settings file.

    Args:
        text: The content.
        path: Path of the file, for error messages.

    Raises:
        errors.CheckError: The content is not valid TOML, or has missing or
            malformed fields.
    """
    try:
        return decode_settings(tomllib.loads(text))
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise errors.CheckError(
            path, [errors.Mistake("", str(error))]
        ) from error


def decode_settings(data: dict[str, Any]) -> relay_settings.RelaySettings:
    """Decodes the parsed content of the settings file.

    Raises:
        errors.CheckError: A field is missing or has the wrong type.
    """
    try:
        bounds = data["bounds"]
        listen = data["listen"]
        ports = data["internal-ports"]
        limits = data.get("limits", {})
        return relay_settings.RelaySettings(
            name=data["node"],
            availability_zone=data["zone"],
            address=data["ip"],
            caller_address=listen["front"],
            ready_address=listen["ready"],
            peer_address=listen.get("control", ""),
            # First UDP port of the range shared by all instances.
            datagram_port=int(ports[0]),
            seeds=tuple(data.get("seeds", ())),
            store_address=data["platform"]["address"],
            drain_seconds=float(bounds["grace-s"]),
            revocation_seconds=(
                bounds["revoke-ms"] / 1000.0
                if bounds.get("strict-revoke")
                else 0.0
            ),
            configuration_seconds=bounds["config-apply-ms"] / 1000.0,
            retry_ratio=float(bounds["retry-budget-ratio"]),
            # Retries per window that a service accepts beyond the ratio.
            retry_extra=float(bounds["budget-extra"]),
            retry_window_seconds=float(bounds["budget-window-s"]),
            memory_free_seconds=bounds.get("free-ms", 4000) / 1000.0,
            cores=float(limits.get("cpu-share", 1) * limits.get("cores", 1)),
            zone_count=len(data.get("zones", ())),
            evacuation_seconds=float(bounds.get("evacuate-ms", 0)) / 1000.0,
            limits_cold_targets=float(bounds.get("cold-excess", 0)) > 0,
            regions=_decode_regions(data),
            memory_mb=float(limits.get("memory-mb", 0)),
            max_descriptors=int(limits.get("max-fds", 0)),
        )
    except (
        AttributeError,
        KeyError,
        TypeError,
        ValueError,
        IndexError,
    ) as error:
        raise errors.CheckError(
            "settings", [errors.Mistake("", repr(error))]
        ) from error


def _decode_regions(data: dict[str, Any]) -> regions.ZoneRegions:
    """Decodes the regions of the zones.

    A zone whose region is malformed is in no region.
    """
    zones = data.get("zones", {})
    pairs = []
    for zone, region in zones.items() if isinstance(zones, dict) else ():
        if isinstance(region, str) and region:
            pairs.append((zone, region))
        else:
            _LOG.warning("zone_region_unreadable", extra={"zone": zone})
    own_region = data.get("region", "")
    if not isinstance(own_region, str) or not own_region:
        own_region = dict(pairs).get(data["zone"], "")
    return regions.ZoneRegions(tuple(pairs), own_region)
