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
    """Who and where the instance is.

    Attributes:
        name: Its name, unique in the deployment.
        availability_zone: The availability zone it runs in.
        region: The region of that zone.
        address: The IP number under which callers and peers reach it.
    """

    name: str
    availability_zone: str
    region: str
    address: str


class CallerSettings(NamedTuple):
    """The port for callers and operators.

    Attributes:
        port: TCP port.
        threads: The most requests served at once.
        max_body_bytes: The largest request body.
        read_timeout_seconds: The longest wait for a caller's next bytes.
        certificate: Path of the TLS certificate; "" for plain HTTP.
        private_key: Path of its key.
    """

    port: int
    threads: int = 256
    max_body_bytes: int = 16 << 20
    read_timeout_seconds: float = 10.0
    certificate: str = ""
    private_key: str = ""


class PeerSettings(NamedTuple):
    """Streams between instances.

    Attributes:
        port: TCP port.
        secret: Shared secret by which peers prove themselves; at least 16
            characters, the same in all instances.
        seeds: Addresses (`IP:port`) of some other instances.
        certificate: Path of the TLS certificate; "" for no TLS.
        private_key: Path of its key.
        authority: Path of the certificate that signs all peers' certificates.
    """

    port: int
    secret: str
    seeds: tuple[str, ...] = ()
    certificate: str = ""
    private_key: str = ""
    authority: str = ""


class PlatformSettings(NamedTuple):
    """The platform's object API.

    Attributes:
        url: Base URL.
        timeout_seconds: The longest wait for one answer.
    """

    url: str
    timeout_seconds: float = 1.0


class LogSettings(NamedTuple):
    """Logs on standard error, as JSON lines.

    Attributes:
        level: `debug`, `info`, `warning` or `error`.
    """

    level: str = "info"


class EntrySettings(NamedTuple):
    """All settings of an entry instance.

    Attributes:
        instance: Who and where it is.
        callers: The port for callers and operators.
        peers: Streams between instances.
        platform: The platform's object API.
        log: Logs.
        operator_key_sha256: Hash of a key with the operator's role that works
            before any object is published; "" for none.
        drain_seconds: The longest wait for requests in flight at shutdown.
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
LEVELS = ("debug", "info", "warning", "error")


def read_settings(path: str) -> EntrySettings:
    """Reads and checks a settings file.

    Raises:
        errors.CheckError: With all mistakes at once.
    """
    return check_settings(checking.read_document(path), path)


def check_settings(data: dict, source: str) -> EntrySettings:
    """Checks parsed settings.

    Raises:
        errors.CheckError: With all mistakes at once.
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
    def expect(holds: bool, path: str, message: str) -> None:
        if not holds:
            mistakes.append(errors.Mistake(path, message))

    instance = settings.instance
    expect(bool(instance.name), "instance.name", "expected a name")
    expect(
        bool(instance.availability_zone),
        "instance.availability_zone",
        "expected a name",
    )
    expect(
        _is_ip(instance.address), "instance.address", "expected an IP number"
    )
    for path, port in (
        ("callers.port", settings.callers.port),
        ("peers.port", settings.peers.port),
    ):
        expect(0 < port <= MAX_PORT, path, f"expected 1 to {MAX_PORT}")
    expect(
        settings.callers.port != settings.peers.port,
        "peers.port",
        "is the same as callers.port",
    )
    expect(
        len(settings.peers.secret) >= MIN_SECRET_LENGTH,
        "peers.secret",
        f"expected at least {MIN_SECRET_LENGTH} characters",
    )
    for index, seed in enumerate(settings.peers.seeds):
        expect(_is_address(seed), f"peers.seeds[{index}]", "expected IP:port")
    expect(
        settings.platform.url.startswith(("http://", "https://")),
        "platform.url",
        "expected a URL with http:// or https://",
    )
    expect(
        settings.log.level in LEVELS,
        "log.level",
        "expected one of " + ", ".join(LEVELS),
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
    groups = (
        ("callers", settings.callers, ("certificate", "private_key")),
        ("peers", settings.peers, ("certificate", "private_key", "authority")),
    )
    for section, record, names in groups:
        paths = {name: getattr(record, name) for name in names}
        if not any(paths.values()):
            continue
        for name, path in paths.items():
            where = f"{section}.{name}"
            expect(bool(path), where, "required for TLS, but missing")
            if path:
                expect(os.path.isfile(path), where, f"no file {path!r}")


def _is_ip(text: str) -> bool:
    try:
        ipaddress.ip_address(text)
    except ValueError:
        return False
    return True


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    return _is_ip(host.strip("[]")) and port.isdigit()
