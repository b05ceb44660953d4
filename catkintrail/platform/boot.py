"""The platform's settings file, decoded into the settings of an instance."""

import os
import tomllib
from typing import Any

from catkintrail import errors
from catkintrail import relay_settings

__all__ = ["SETTINGS_VARIABLE", "decode_settings", "read_settings"]

SETTINGS_VARIABLE = "CATKINTRAIL_BOOT"
DEFAULT_PATH = "/etc/catkintrail/settings.toml"


def read_settings(path: str = "") -> relay_settings.RelaySettings:
    """Reads the settings file.

    Args:
        path: Its path; by default the one that the environment names.

    Raises:
        errors.CheckError: It cannot be read or has another form.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError) as error:
        raise errors.CheckError(
            path, [errors.Mistake("", str(error))]
        ) from error
    return decode_settings(data)


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
            memory_mb=int(data["limits"]["memory-mb"]),
            max_descriptors=int(data["limits"]["max-fds"]),
            drain_seconds=float(bounds["grace-s"]),
            target_drain_seconds=bounds["drain-ms"] / 1000.0,
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
            reservation_max_seconds=bounds.get("hold-max-ms", 0) / 1000.0,
            memory_free_seconds=bounds.get("free-ms", 4000) / 1000.0,
            stall_seconds=bounds.get("stall_ms", 1500) / 1000.0,
        )
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise errors.CheckError(
            "settings", [errors.Mistake("", repr(error))]
        ) from error
