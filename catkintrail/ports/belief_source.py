"""Where an instance learns of the configuration and the targets."""

from typing import NamedTuple, Protocol

from catkintrail.core import route_table
from catkintrail.core import targets as target_records

__all__ = [
    "BeliefSource",
    "ConfigurationReading",
    "TargetEvent",
    "TargetReading",
]


class ConfigurationReading(NamedTuple):
    """What the store says of the configuration.

    Attributes:
        configuration: The newest one; None where there is none, or where a
            watch found no newer one.
        revision: To watch from.
    """

    configuration: route_table.Configuration | None
    revision: int


class TargetEvent(NamedTuple):
    """A change of the list of targets.

    Attributes:
        name: The target's name.
        target: Its entry; None where it is removed or cannot be used.
        is_removed: Whether the entry was removed.
    """

    name: str
    target: target_records.Target | None
    is_removed: bool


class TargetReading(NamedTuple):
    """What the store says of targets.

    Attributes:
        events: Changes, or for a list an event for each entry.
        revision: To watch from.
    """

    events: tuple[TargetEvent, ...]
    revision: int


class BeliefSource(Protocol):
    """The platform's store, as beliefs need it.

    Each method may raise errors.PlatformUnavailableError, and the watches
    errors.HistoryGoneError where changes were forgotten.
    """

    def read_configuration(self) -> ConfigurationReading:
        """Returns the configuration as of now."""

    def watch_configuration(
        self, revision: int, wait_seconds: float
    ) -> ConfigurationReading:
        """Waits for a configuration after a revision."""

    def list_targets(self) -> TargetReading:
        """Returns all targets as of now."""

    def watch_targets(
        self, revision: int, wait_seconds: float
    ) -> TargetReading:
        """Waits for changes of targets after a revision."""
