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
    "EntryOrder",
    "EntryStatement",
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
# A statement about an entry is not expected to be under way for longer.
REMOVAL_RETENTION_SECONDS = 900.0
MAX_REMOVALS = 20_000


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


class EntryStatement(NamedTuple):
    """What the store or a peer states about the entry of a target.

    Attributes:
        name: Name of the entry.
        target: The target; None if the entry was removed or is invalid.
        position: Era and revision of the entry. For a removal, those of the
            entry that was removed, or later ones before any new entry of that
            name. NO_POSITION if unknown.
    """

    name: str
    target: target_records.Target | None
    position: Position


class EntryOrder:
    """Which statement about each entry of the store is the newest one.

    Statements come from the store and from peers, and may be late by any time:
    a peer may have been frozen. They are compared by the positions of the
    entries, never by the time of their arrival. A removal is newer than an
    entry of the same position. A statement without a position counts as the
    newest.

    Attributes:
        listed: Position of each entry that is not removed, by name.
        removed: Position of each known removal after `complete_position`, by
            name.
        complete_position: Up to here all changes of the store are known. An
            entry of this or an earlier position that is not listed was removed.
    """

    def __init__(self) -> None:
        self.listed: dict[str, Position] = {}
        self.removed: dict[str, Position] = {}
        self.complete_position = NO_POSITION
        self._removed_at: dict[str, float] = {}

    def find(self, name: str) -> Position:
        """Returns a position as of which an entry is listed or removed."""
        if name in self.listed:
            return self.listed[name]
        return self.removed.get(name, self.complete_position)

    def put(self, name: str, position: Position) -> bool:
        """Records an entry; returns False if it is outdated."""
        if position != NO_POSITION:
            if name in self.listed:
                is_outdated = position < self.listed[name]
            else:
                is_outdated = position <= self.find(name)
            if is_outdated:
                return False
        self.listed[name] = max(position, self.find(name))
        self._forget_removal(name)
        return True

    def remove(self, name: str, position: Position, now: float) -> bool:
        """Records the removal of an entry; returns False if it is outdated."""
        known = self.find(name)
        is_known = position != NO_POSITION and name in self.listed
        if is_known and position < known:
            return False
        self.listed.pop(name, None)
        self._forget_removal(name)
        position = max(position, known)
        if position > self.complete_position:
            self.removed[name] = position
            self._removed_at[name] = now
            if len(self.removed) > MAX_REMOVALS:
                self._forget_removal(next(iter(self.removed)))
        return True

    def complete(self, position: Position) -> None:
        """Records that all changes up to a position are known."""
        if position <= self.complete_position:
            return
        self.complete_position = position
        for name in [n for n, p in self.removed.items() if p <= position]:
            self._forget_removal(name)

    def expire(self, now: float) -> None:
        """Forgets removals that were recorded too long ago."""
        while self.removed:
            name = next(iter(self.removed))
            if now - self._removed_at[name] <= REMOVAL_RETENTION_SECONDS:
                return
            self._forget_removal(name)

    def _forget_removal(self, name: str) -> None:
        self.removed.pop(name, None)
        self._removed_at.pop(name, None)


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
        order: The newest statement about each entry.
        restored_at: Time in seconds at which the store was last seen to have
            come back from an older copy.
    """

    def __init__(
        self, departures: departure_records.DepartureRecord | None = None
    ) -> None:
        self.departures = departures or departure_records.DepartureRecord()
        self.targets: dict[str, target_records.Target] = {}
        self.by_service: dict[str, dict[str, target_records.Target]] = {}
        self.order = EntryOrder()
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
        listed: Iterable[EntryStatement],
        position: Position,
        keep_until: float,
        now: float,
    ) -> list[TargetChange]:
        """Applies a list, and removes the targets that it lacks.

        What is known to be newer than the list stays.

        Args:
            listed: Statements about entries; the targets of all valid ones.
            position: Position up to which the list has all changes.
            keep_until: Time in seconds until which targets without an entry
                are kept.
            now: Time in seconds.

        Returns:
            The resulting changes.
        """
        changes = []
        names = set()
        for statement in listed:
            changes += self.apply(statement, now)
            if statement.target is not None:
                names.add(statement.name)
        for name in (self.targets.keys() | self.order.listed.keys()) - names:
            changes += self.remove(name, keep_until, now, position)
        self.order.complete(position)
        return changes

    def describe(self) -> tuple[EntryStatement, ...]:
        """Returns what is known of the entries, recent removals included."""
        entries = [
            EntryStatement(name, target, self.order.find(name))
            for name, target in self.targets.items()
            if name in self.order.listed
        ]
        entries += [
            EntryStatement(name, None, position)
            for name, position in self.order.removed.items()
            if name not in self.targets
        ]
        return tuple(entries)

    def apply(
        self, statement: EntryStatement, now: float
    ) -> list[TargetChange]:
        """Applies a statement, unless newer ones are known.

        A removal takes effect at once.

        Args:
            statement: The statement.
            now: Time in seconds.

        Returns:
            The resulting changes.
        """
        name, target, position = statement
        if target is None:
            return self.remove(name, now, now, position)
        return self.put(target, now, position)

    def put(
        self,
        target: target_records.Target,
        now: float,
        position: Position = NO_POSITION,
    ) -> list[TargetChange]:
        """Adds or updates a target, unless newer statements are known.

        Args:
            target: The entry.
            now: Time in seconds.
            position: Position of the entry.

        Returns:
            The resulting changes.
        """
        if not self.order.put(target.name, position):
            return []
        self._lapse_deadlines.pop(target.name, None)
        return self._update(target, now)

    def remove(
        self,
        name: str,
        keep_until: float,
        now: float,
        position: Position = NO_POSITION,
    ) -> list[TargetChange]:
        """Removes a target, unless newer statements about it are known.

        Args:
            name: Name of the target.
            keep_until: Time in seconds until which the target is kept; later
                than `now` if its entry may have lapsed during an outage of
                the store.
            now: Time in seconds.
            position: Position of the removal.

        Returns:
            The resulting changes.
        """
        if not self.order.remove(name, position, now):
            return []
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
        self.order.expire(now)
        changes = []
        for name, keep_until in list(self._lapse_deadlines.items()):
            if now > keep_until:
                del self._lapse_deadlines[name]
                changes += self._drop(name, "target_lapsed", now)
        if now >= self.restored_at + RESTORE_SECONDS:
            for target in list(self._doubtful.values()):
                changes += self._update(target, now)
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
        return self._update(target._replace(is_leaving=True), now)

    def _update(
        self, target: target_records.Target, now: float
    ) -> list[TargetChange]:
        """Applies an entry that is not outdated."""
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
