"""An instance's view of the configuration and the targets.

Times come from a clock that also advances while the machine is suspended.
"""

from typing import Iterable, NamedTuple

import xxhash

from catkintrail.core import departures as departure_records
from catkintrail.core import route_table
from catkintrail.core import targets as target_records

__all__ = [
    "ConfigurationView",
    "NO_POSITION",
    "Position",
    "REMOVAL_EVENTS",
    "TargetView",
    "TargetChange",
    "are_all_known",
]

# Events after which a target is no longer listed.
REMOVAL_EVENTS = ("target_gone", "target_lapsed")

# Target entries that lapsed during an outage of the store are registered again
# within about this time after the store returns, as specified by the users.
LAPSE_GRACE_SECONDS = 2.0
# A store that has come back from an older copy lists targets that were removed
# since, until their entries have expired there once more.
RESTORE_SECONDS = 5.0


class Position(NamedTuple):
    """A point in the history of the store.

    Attributes:
        era: Rises each time the store comes back from an older copy; -1 if the
            store does not state it. A later era is newer, whatever the
            revisions are.
        revision: Revision of the store.
    """

    era: int
    revision: int


NO_POSITION = Position(-1, -1)


def are_all_known(
    start: Position, end: Position, revisions: Iterable[int]
) -> bool:
    """Returns whether known changes are all that the store had in a while.

    Each change raises the revision of the store by one or more.

    Args:
        start: Position before the changes.
        end: Position after the changes.
        revisions: Revisions of the known changes.
    """
    known = {r for r in revisions if start.revision < r <= end.revision}
    return start.era == end.era and end.revision - start.revision <= len(known)


class ConfigurationView:
    """The newest known configuration and the age of this knowledge.

    Attributes:
        table: Route table of the newest known version; None before the first.
        proven_at: Latest time in seconds at which the store is known to have
            held no newer version.
    """

    def __init__(self) -> None:
        self.table: route_table.RouteTable | None = None
        self.proven_at = float("-inf")

    @property
    def version(self) -> int:
        """The newest known version; -1 before the first."""
        return self.table.configuration.version if self.table else -1

    def update(
        self,
        configuration: route_table.Configuration,
        proven_at: float,
    ) -> bool:
        """Updates the configuration, unless the given version is older.

        Args:
            configuration: A configuration read from the store or a peer.
            proven_at: Time in seconds at which the store held no newer
                version.

        Returns:
            Whether the configuration is newer than the known one.
        """
        is_newer = configuration.version > self.version
        if is_newer:
            self.table = route_table.RouteTable(configuration)
        if configuration.version >= self.version:
            self.proven_at = max(self.proven_at, proven_at)
        return is_newer

    def confirm(self, version: int, proven_at: float) -> None:
        """Records that a version was the newest one at the given time.

        Ignored unless it is the newest known version.
        """
        if version == self.version:
            self.proven_at = max(self.proven_at, proven_at)


class TargetChange(NamedTuple):
    """A change of a target's state.

    Attributes:
        target: The target.
        event: Name of the change, as written to the log.
    """

    target: target_records.Target
    event: str


class TargetView:
    """The known targets.

    Attributes:
        targets: Listed targets by name, including those that are leaving.
        by_service: Targets that may be used, by service and name.
        departures: Targets that have announced their shutdown or were removed.
        restored_at: Time in seconds at which the store was last seen to have
            come back from an older copy.
    """

    def __init__(
        self, departures: departure_records.DepartureRecord | None = None
    ) -> None:
        self.departures = departures or departure_records.DepartureRecord()
        self.targets: dict[str, target_records.Target] = {}
        self.by_service: dict[str, dict[str, target_records.Target]] = {}
        self._digest = 0
        self._is_digest_stale = True
        self.restored_at = float("-inf")
        self._lapse_deadlines: dict[str, float] = {}
        # Entries of removed targets that an older copy of the store may have
        # brought back.
        self._doubtful: dict[str, target_records.Target] = {}

    @property
    def digest(self) -> int:
        """A digest of the listed targets, for comparison with a peer's."""
        if self._is_digest_stale:
            self._is_digest_stale = False
            known = sorted(tuple(t) for t in self.targets.values())
            self._digest = xxhash.xxh32_intdigest(repr(known).encode())
        return self._digest

    def replace_all(
        self,
        listed: list[target_records.Target],
        keep_until: float,
        now: float,
    ) -> list[TargetChange]:
        """Replaces the listed targets.

        Args:
            listed: All valid entries of the list.
            keep_until: Time in seconds until which targets without an entry
                are kept.
            now: Time in seconds.

        Returns:
            The resulting changes.
        """
        changes = []
        names = {target.name for target in listed}
        for target in listed:
            changes += self.put(target, now)
        for name in list(self.targets):
            if name not in names:
                changes += self.remove(name, keep_until, now)
        for name in self._doubtful.keys() - names:
            del self._doubtful[name]
        return changes

    def put(
        self, target: target_records.Target, now: float
    ) -> list[TargetChange]:
        """Adds or updates a target.

        Args:
            target: The entry.
            now: Time in seconds.

        Returns:
            The resulting changes.
        """
        self._lapse_deadlines.pop(target.name, None)
        # A target that has announced its shutdown is not used again until it
        # restarts, even if an older entry that lacks the announcement arrives.
        if self.departures.is_announced(target) and not target.is_leaving:
            return []
        self._doubtful.pop(target.name, None)
        if self.departures.is_removed(target):
            if now < self.restored_at + RESTORE_SECONDS:
                self._doubtful[target.name] = target
                return []
            self.departures.readmit(target.name, target.born)
        old = self.targets.get(target.name)
        self.targets[target.name] = target
        self._is_digest_stale = True
        if target.is_leaving:
            self.departures.add(target.name, target.born, now)
            self._remove_from_services(target.name)
            if old is None or not old.is_leaving:
                return [TargetChange(target, "target_leaving")]
            return []
        if old is not None and old.service != target.service:
            self._remove_from_services(target.name)
        self.by_service.setdefault(target.service, {})[target.name] = target
        if old is None or old.is_leaving or old.born != target.born:
            return [TargetChange(target, "target_joined")]
        return []

    def remove(
        self, name: str, keep_until: float, now: float
    ) -> list[TargetChange]:
        """Processes the removal of a target's entry.

        Args:
            name: Name of the target.
            keep_until: Time in seconds until which the target is kept; later
                than `now` if its entry may have lapsed during an outage of
                the store.
            now: Time in seconds.

        Returns:
            The resulting changes.
        """
        self._doubtful.pop(name, None)
        target = self.targets.get(name)
        if target is None:
            return []
        if keep_until > now and not target.is_leaving:
            self._lapse_deadlines.setdefault(name, keep_until)
            return []
        return self._drop(name, "target_gone", now)

    def expire(self, now: float) -> list[TargetChange]:
        """Removes targets whose lapsed entries were not registered again.

        Targets that a restored store still lists are used after a while.

        Returns:
            The resulting changes.
        """
        self.departures.expire(now)
        changes = []
        for name, keep_until in list(self._lapse_deadlines.items()):
            if now > keep_until:
                del self._lapse_deadlines[name]
                changes += self._drop(name, "target_lapsed", now)
        if now >= self.restored_at + RESTORE_SECONDS:
            for target in list(self._doubtful.values()):
                changes += self.put(target, now)
        return changes

    def leave(self, name: str, born: int, now: float) -> list[TargetChange]:
        """Marks a target as leaving.

        Args:
            name: Name of the target.
            born: Start time of the target that is leaving, in Unix
                milliseconds; 0 if unknown.
            now: Time in seconds.

        Returns:
            The resulting changes.
        """
        if born:
            self.departures.add(name, born, now)
        target = self.targets.get(name)
        if target is None or target.is_leaving or born not in (0, target.born):
            return []
        return self.put(target._replace(is_leaving=True), now)

    def _drop(self, name: str, event: str, now: float) -> list[TargetChange]:
        target = self.targets.pop(name, None)
        self._is_digest_stale = True
        self._remove_from_services(name)
        if target is None:
            return []
        if target.born:
            self.departures.add_removed(name, target.born, now)
        else:
            # A later start of the target could not be told from this one.
            self.departures.discard(name, 0)
        return [TargetChange(target, event)]

    def _remove_from_services(self, name: str) -> None:
        for members in self.by_service.values():
            members.pop(name, None)
