"""The platform's settings file, decoded into the settings of an instance."""

import os
import tomllib
from typing import Any

from catkintrail import errors
from catkintrail import relay_settings

__all__ = [
    "SETTINGS_VARIABLE",
    "decode_settings",
    "parse_settings",
    "read_settings",
    "read_text",
    "settings_path",
]

SETTINGS_VARIABLE = "CATKINTRAIL_BOOT"
DEFAULT_PATH = "/etc/catkintrail/settings.toml"


def read_settings(path: str = "") -> relay_settings.RelaySettings:
    """Reads the settings file.

    Args:
        path: Its path; by default the one that the environment names.

    Raises:
        errors.CheckError: It cannot be read or has another form.
    """
    path = path or settings_path()
    return parse_settings(read_text(path), path)


def settings_path() -> str:
    """Returns the path that the environment names."""
    return os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)


def read_text(path: str) -> str:
    """Returns the content of the settings file.

    Raises:
        errors.CheckError: It cannot be read.
    """
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise errors.CheckError(
            path, [errors.Mistake("", str(error))]
        ) from error


def parse_settings(text: str, path: str) -> relay_settings.RelaySettings:
    """Parses and decodes the settings file's content.

    Raises:
        errors.CheckError: It has another form.
    """
    try:
        return decode_settings(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise errors.CheckError(
            path, [errors.Mistake("", str(error))]
        ) from error


def decode_settings(data: dict[str, Any]) -> relay_settings.RelaySettings:
    """Decodes the content of the settings file.

    Raises:
        errors.CheckError: A field is missing or of another type.
    """
    try:
        bounds = data["bounds"]
        listen = data["listen"]
        ports = data["internal-ports"]
        return relay_settings.RelaySettings(
            name=data["node"],
            availability_zone=data["zone"],
            address=data["ip"],
            caller_address=listen["front"],
            ready_address=listen["ready"],
            peer_address=listen.get("control", ""),
            # A datagram port of the range that instances share.
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
            # Repeats a service accepts in a window beyond the ratio.
            retry_extra=float(bounds["budget-extra"]),
            retry_window_seconds=float(bounds["budget-window-s"]),
            memory_free_seconds=bounds.get("free-ms", 4000) / 1000.0,
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise errors.CheckError(
            "settings", [errors.Mistake("", repr(error))]
        ) from error
