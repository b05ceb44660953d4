"""Settings of an entry instance."""

import ipaddress
import os
from typing import NamedTuple

from catkintrail import checking
from catkintrail import errors

__all__ = [
    "CallerSettings",
    "EntrySettings",
    "InstanceSettings",
    "LogSettings",
    "PeerSettings",
    "PlatformSettings",
    "check_settings",
    "read_settings",
]


class InstanceSettings(NamedTuple):
    """Identity and location of the instance.

    Attributes:
        name: Name of the instance, unique in the deployment.
        availability_zone: Availability zone that the instance runs in.
        region: Region of the availability zone.
        address: IP address at which callers and peers reach the instance.
    """

    name: str
    availability_zone: str
    region: str
    address: str


class CallerSettings(NamedTuple):
    """HTTP server for callers and operators.

    Attributes:
        port: TCP port.
        threads: Maximum number of requests served concurrently.
        max_body_bytes: Maximum size of a request body.
        read_timeout_seconds: Maximum wait for more data from a client.
        certificate: Path of the TLS certificate; "" for plain HTTP.
        private_key: Path of the certificate's private key.
    """

    port: int
    threads: int = 256
    max_body_bytes: int = 16 << 20
    read_timeout_seconds: float = 10.0
    certificate: str = ""
    private_key: str = ""


class PeerSettings(NamedTuple):
    """Connections between entry instances.

    Attributes:
        port: TCP port.
        secret: Shared secret with which peers authenticate each other; at
            least 16 characters, the same in all instances.
        seeds: Addresses (`IP:port`) of other instances, through which the
            instance joins the deployment.
        certificate: Path of the TLS certificate; "" for no TLS.
        private_key: Path of the certificate's private key.
        authority: Path of the CA certificate of all peers.
    """

    port: int
    secret: str
    seeds: tuple[str, ...] = ()
    certificate: str = ""
    private_key: str = ""
    authority: str = ""


class PlatformSettings(NamedTuple):
    """Client of the platform's object API.

    Attributes:
        url: Base URL.
        timeout_seconds: Maximum wait for a response.
    """

    url: str
    timeout_seconds: float = 1.0


class LogSettings(NamedTuple):
    """Logging to standard error, as JSON lines.

    Attributes:
        level: Minimum level: `debug`, `info`, `warning` or `error`.
    """

    level: str = "info"


class EntrySettings(NamedTuple):
    """All settings of an entry instance.

    Attributes:
        instance: Identity and location of the instance.
        callers: HTTP server for callers and operators.
        peers: Connections between entry instances.
        platform: Client of the platform's object API.
        log: Logging.
        operator_key_sha256: Digest (`objects.hash_key`) of a key with the
            operator role that is valid even before any object is published;
            "" for none.
        drain_seconds: Maximum wait for requests in flight at shutdown.
    """

    instance: InstanceSettings
    callers: CallerSettings
    peers: PeerSettings
    platform: PlatformSettings
    log: LogSettings = LogSettings()
    operator_key_sha256: str = ""
    drain_seconds: float = 60.0


MIN_SECRET_LENGTH = 16
MAX_PORT = 65_535
LOG_LEVELS = ("debug", "info", "warning", "error")


def read_settings(path: str) -> EntrySettings:
    """Reads and validates a settings file.

    Raises:
        errors.CheckError: The file cannot be read or is invalid; lists all
            mistakes.
    """
    return check_settings(checking.read_document(path), path)


def check_settings(data: dict, source: str) -> EntrySettings:
    """Validates parsed settings.

    Args:
        data: The parsed settings.
        source: Name of the settings file, for error messages.

    Raises:
        errors.CheckError: The settings are invalid; lists all mistakes.
    """
    mistakes: list[errors.Mistake] = []
    settings = checking.check_record(data, EntrySettings, "", mistakes)
    if settings is not None:
        _check_values(settings, mistakes)
    if mistakes:
        raise errors.CheckError(source, mistakes)
    return settings


def _check_values(
    settings: EntrySettings, mistakes: list[errors.Mistake]
) -> None:
    def expect(condition: bool, path: str, message: str) -> None:
        if not condition:
            mistakes.append(errors.Mistake(path, message))

    instance = settings.instance
    expect(bool(instance.name), "instance.name", "expected a name")
    expect(
        bool(instance.availability_zone),
        "instance.availability_zone",
        "expected a name",
    )
    expect(
        _is_ip_address(instance.address),
        "instance.address",
        "expected an IP address",
    )
    for path, port in (
        ("callers.port", settings.callers.port),
        ("peers.port", settings.peers.port),
    ):
        expect(0 < port <= MAX_PORT, path, f"expected 1 to {MAX_PORT}")
    expect(
        settings.callers.port != settings.peers.port,
        "peers.port",
        "must differ from callers.port",
    )
    expect(
        len(settings.peers.secret) >= MIN_SECRET_LENGTH,
        "peers.secret",
        f"expected at least {MIN_SECRET_LENGTH} characters",
    )
    for index, seed in enumerate(settings.peers.seeds):
        expect(
            _is_ip_and_port(seed), f"peers.seeds[{index}]", "expected IP:port"
        )
    expect(
        settings.platform.url.startswith(("http://", "https://")),
        "platform.url",
        "expected a URL that starts with http:// or https://",
    )
    expect(
        settings.log.level in LOG_LEVELS,
        "log.level",
        "expected one of " + ", ".join(LOG_LEVELS),
    )
    for path, value in (
        ("callers.threads", settings.callers.threads),
        ("callers.max_body_bytes", settings.callers.max_body_bytes),
        ("callers.read_timeout_seconds", settings.callers.read_timeout_seconds),
        ("platform.timeout_seconds", settings.platform.timeout_seconds),
        ("drain_seconds", settings.drain_seconds),
    ):
        expect(value > 0, path, f"expected > 0, found {value}")
    _check_tls(settings, expect)


def _check_tls(settings: EntrySettings, expect: object) -> None:
    sections = (
        ("callers", settings.callers, ("certificate", "private_key")),
        ("peers", settings.peers, ("certificate", "private_key", "authority")),
    )
    for section, record, names in sections:
        paths = {name: getattr(record, name) for name in names}
        if not any(paths.values()):
            continue
        for name, path in paths.items():
            setting = f"{section}.{name}"
            expect(bool(path), setting, "required for TLS, but missing")
            if path:
                expect(os.path.isfile(path), setting, f"no file {path!r}")


def _is_ip_address(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_ip_and_port(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return _is_ip_address(host.strip("[]")) and port.isdigit()
