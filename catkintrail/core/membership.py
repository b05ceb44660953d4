"""Membership by heartbeats over a sparse graph, with suspicion.

Each instance probes few others: in its own zone those at distances 1, 2, 4
and so on around a ring in hash order, and one instance in each of the zones
at such distances around the ring of zones. The number of probes grows with
the logarithm of the zone, and every instance is probed by as many others as
it probes. Suspicion and incarnation numbers follow Das, Gupta and Motivala,
"SWIM", 2002; the tolerance for a slow observer follows Dadgar, Phillips and
Currey, "Lifeguard", 2017.
"""

import random
from typing import Iterable, NamedTuple

import xxhash

from catkintrail import messages
from catkintrail.core import ownership

__all__ = ["ALIVE", "DEAD", "LEFT", "Membership", "SUSPECT", "Send"]

ALIVE, SUSPECT, DEAD, LEFT = range(4)

PING_INTERVAL_SECONDS = 1.0
SILENCE_SECONDS = 2.5
SUSPICION_SECONDS = 2.0
RECOVERY_INTERVAL_SECONDS = 3.0
FORGET_SECONDS = 3_600.0
# A tick that comes later than this shows that this instance was paused.
PAUSE_SECONDS = 1.5
# After so many heartbeats with differing views the newest changes are sent,
# and after more of them the whole view.
MISMATCHES_BEFORE_CHANGES = 3
MISMATCHES_BEFORE_SYNC = 12
RECENT_SECONDS = 30.0
SYNC_INTERVAL_SECONDS = 10.0
MAX_UPDATES_PER_MESSAGE = 6
TRANSMISSIONS_PER_DOUBLING = 3


class Send(NamedTuple):
    """A message for the peer at an address (`IP:port`)."""

    address: str
    message: messages.Message


class Member:
    """The state that an instance keeps of another.

    Attributes:
        record: The newest record.
        changed: Monotonic time of the last change of status.
        heard: Monotonic time of the last answer to a probe.
        mismatches: Probes in a row whose view differed.
    """

    def __init__(self, record: messages.MemberRecord, now: float) -> None:
        self.record = record
        self.changed = now
        self.heard = now
        self.mismatches = 0


class Membership:
    """One instance's view of all instances.

    Attributes:
        me: This instance's own record.
        members: The others, by name, dead ones included for a time.
        version: Raised whenever the set of usable members changes.
        generation: Generation of the configuration, told in every heartbeat.
        targets_revision: Revision of the target list, told likewise.
    """

    def __init__(
        self,
        me: messages.MemberRecord,
        seeds: Iterable[str],
        rng: random.Random,
        now: float,
    ) -> None:
        self.me = me
        self.seeds = tuple(seed for seed in seeds if seed != me.address)
        self.rng = rng
        self.members: dict[str, Member] = {}
        self.version = 0
        self.generation = 0
        self.targets_revision = 0
        self.updates: dict[str, int] = {}
        self.sequence = 0
        self.next_ping = now
        self.next_recovery = now
        self.next_sync = now
        self.last_tick = now
        self.started = now
        self._links: list[str] = []
        self._links_version = -1
        self._hash = 0
        self._hash_version = -1

    # Reading the view.

    def is_usable(self, name: str) -> bool:
        """Returns whether work may be handed to an instance."""
        if name == self.me.name:
            return self.me.status == ALIVE
        member = self.members.get(name)
        return member is not None and member.record.status <= SUSPECT

    def usable(self, zone: str | None = None) -> list[str]:
        """Returns the usable instances of a zone, or of all, this one too."""
        records = [member.record for member in self.members.values()]
        records.append(self.me)
        return sorted(
            record.name
            for record in records
            if record.status <= SUSPECT and zone in (None, record.zone)
        )

    def zones(self) -> list[str]:
        """Returns the zones with usable instances."""
        records = [member.record for member in self.members.values()]
        records.append(self.me)
        return sorted({r.zone for r in records if r.status <= SUSPECT})

    def address_of(self, name: str) -> str | None:
        """Returns an instance's address; None where it is unknown."""
        if name == self.me.name:
            return self.me.address
        member = self.members.get(name)
        return member.record.address if member else None

    def links(self) -> list[str]:
        """Returns the instances that this one probes."""
        if self._links_version != self.version:
            before = set(self._links)
            self._links = self._choose_links()
            self._links_version = self.version
            for name in set(self._links) - before:
                # Silence counts from the first probe on.
                self.members[name].heard = self.last_tick
        return self._links

    def view_hash(self) -> int:
        """Returns a hash over the usable members, the same in equal views."""
        if self._hash_version != self.version:
            self._hash = self._compute_hash()
            self._hash_version = self.version
        return self._hash

    # Events.

    def tick(self, now: float) -> list[Send]:
        """Probes, suspects and forgets; called several times a second."""
        pause = now - self.last_tick
        self.last_tick = now
        if pause > PAUSE_SECONDS:
            self._excuse_pause(pause)
        sends: list[Send] = []
        if now >= self.next_ping:
            self.next_ping = now + PING_INTERVAL_SECONDS
            self._check_silence(now)
            sends += self._ping_links()
        if now >= self.next_recovery:
            self.next_recovery = now + RECOVERY_INTERVAL_SECONDS
            sends += self._probe_lost(now)
        return sends

    def on_ping(
        self, sender: str, ping: messages.Ping, now: float
    ) -> list[Send]:
        """Answers a heartbeat."""
        self._merge(ping.updates, now)
        address = self.address_of(sender)
        if address is None:
            return []
        sends = self._sync_if_stale(sender, ping.view_hash, now)
        return [Send(address, messages.Ack(*self._heartbeat()))] + sends

    def on_ack(self, sender: str, ack: messages.Ack, now: float) -> list[Send]:
        """Takes the answer to a heartbeat."""
        self._merge(ack.updates, now)
        member = self.members.get(sender)
        if member is None:
            return []
        member.heard = now
        if member.record.status == SUSPECT:
            self._set_record(member.record._replace(status=ALIVE), now)
        return self._sync_if_stale(sender, ack.view_hash, now)

    def on_members(
        self, sender_address: str, view: messages.Members, now: float
    ) -> list[Send]:
        """Merges a whole view, and sends this one back where asked."""
        self._merge(view.records, now)
        if not view.reply:
            return []
        return [Send(sender_address, self._whole_view(reply=False))]

    def on_contact(self, record: messages.MemberRecord, now: float) -> None:
        """Notes an instance that has opened a proven stream to this one."""
        self._merge((record,), now)

    def on_disconnect(self, address: str, now: float) -> None:
        """Suspects the instance whose stream has broken."""
        for member in list(self.members.values()):
            if member.record.address == address:
                self._suspect(member, now)

    def leave(self, now: float) -> list[Send]:
        """Tells the others that this instance is going."""
        self.me = self.me._replace(status=LEFT)
        self._changed(self.me.name)
        self.last_tick = now
        return self._ping_links()

    # Merging.

    def _merge(
        self, records: Iterable[messages.MemberRecord], now: float
    ) -> None:
        for record in records:
            if record.name == self.me.name:
                self._refute(record)
            elif self._is_news(record):
                self._set_record(record, now)

    def _is_news(self, record: messages.MemberRecord) -> bool:
        member = self.members.get(record.name)
        if member is None:
            return True
        known = member.record
        if record.incarnation != known.incarnation:
            return record.incarnation > known.incarnation
        return record.status > known.status

    def _refute(self, record: messages.MemberRecord) -> None:
        if record.status == ALIVE or self.me.status == LEFT:
            return
        if record.incarnation >= self.me.incarnation:
            self.me = self.me._replace(incarnation=record.incarnation + 1)
            self._changed(self.me.name)

    def _set_record(self, record: messages.MemberRecord, now: float) -> None:
        member = self.members.get(record.name)
        if member is None:
            self.members[record.name] = Member(record, now)
        else:
            if member.record.status != record.status:
                member.changed = now
            if record.status == ALIVE:
                member.heard = now
            member.record = record
        self._changed(record.name)

    def _changed(self, name: str) -> None:
        size = max(2, len(self.members))
        self.updates[name] = TRANSMISSIONS_PER_DOUBLING * size.bit_length()
        self.version += 1

    # Failure detection.

    def _check_silence(self, now: float) -> None:
        links = set(self.links())
        for name, member in list(self.members.items()):
            status = member.record.status
            if status == ALIVE and name in links:
                if now - member.heard > SILENCE_SECONDS:
                    self._suspect(member, now)
            elif status == SUSPECT:
                if now - member.changed > SUSPICION_SECONDS:
                    self._set_record(member.record._replace(status=DEAD), now)
            elif status >= DEAD and now - member.changed > FORGET_SECONDS:
                del self.members[name]
                self.updates.pop(name, None)

    def _suspect(self, member: Member, now: float) -> None:
        if member.record.status == ALIVE:
            self._set_record(member.record._replace(status=SUSPECT), now)

    def _excuse_pause(self, pause: float) -> None:
        # Silence during this instance's own pause says nothing of others.
        for member in self.members.values():
            member.heard += pause
            member.changed += pause

    # Sending.

    def _heartbeat(self) -> tuple:
        self.sequence += 1
        return (
            self.sequence,
            self.view_hash(),
            self.generation,
            self.targets_revision,
            self._take_updates(),
        )

    def _take_updates(self) -> tuple[messages.MemberRecord, ...]:
        chosen = sorted(self.updates, key=self.updates.get, reverse=True)
        records = []
        for name in chosen[:MAX_UPDATES_PER_MESSAGE]:
            self.updates[name] -= 1
            if self.updates[name] <= 0:
                del self.updates[name]
            if name == self.me.name:
                records.append(self.me)
            elif name in self.members:
                records.append(self.members[name].record)
        return tuple(records)

    def _ping_links(self) -> list[Send]:
        sends = []
        for name in self.links():
            address = self.address_of(name)
            ping = messages.Ping(*self._heartbeat())
            sends.append(Send(address, ping))
        return sends

    def _probe_lost(self, now: float) -> list[Send]:
        del now
        present = {
            member.record.address
            for member in self.members.values()
            if member.record.status <= SUSPECT
        }
        lost = {seed for seed in self.seeds if seed not in present}
        lost |= {
            member.record.address
            for member in self.members.values()
            if member.record.status == DEAD
            and member.record.address not in present
        }
        if not lost:
            return []
        address = self.rng.choice(sorted(lost))
        known = self._at_address(address)
        records = (self.me,) if known is None else (self.me, known)
        return [Send(address, messages.Members(records, reply=True))]

    def _at_address(self, address: str) -> messages.MemberRecord | None:
        for member in self.members.values():
            if member.record.address == address:
                return member.record
        return None

    def _whole_view(self, reply: bool) -> messages.Members:
        records = [member.record for member in self.members.values()]
        return messages.Members((self.me, *records), reply)

    def _sync_if_stale(
        self, sender: str, view_hash: int, now: float
    ) -> list[Send]:
        member = self.members.get(sender)
        if member is None:
            return []
        if view_hash == self.view_hash():
            member.mismatches = 0
            return []
        member.mismatches += 1
        address = member.record.address
        if member.mismatches == MISMATCHES_BEFORE_CHANGES:
            return [Send(address, self._recent_changes(now))]
        if member.mismatches < MISMATCHES_BEFORE_SYNC or now < self.next_sync:
            return []
        member.mismatches = 0
        self.next_sync = now + SYNC_INTERVAL_SECONDS
        return [Send(address, self._whole_view(reply=True))]

    def _recent_changes(self, now: float) -> messages.Members:
        records = [
            member.record
            for member in self.members.values()
            if now - member.changed < RECENT_SECONDS
        ]
        return messages.Members((self.me, *records), reply=False)

    # The graph of probes.

    def _choose_links(self) -> list[str]:
        by_zone: dict[str, list[str]] = {self.me.zone: [self.me.name]}
        for name, member in self.members.items():
            if member.record.status <= SUSPECT:
                by_zone.setdefault(member.record.zone, []).append(name)
        ring = sorted(
            by_zone[self.me.zone], key=lambda name: ownership.score("", name)
        )
        links = list(_fingers(ring, self.me.name))
        for zone in _fingers(sorted(by_zone), self.me.zone):
            links.append(ownership.choose_owner(self.me.name, by_zone[zone]))
        return links

    def _compute_hash(self) -> int:
        total = 0
        records = [member.record for member in self.members.values()]
        records.append(self.me)
        for record in records:
            if record.status <= SUSPECT:
                text = f"{record.name}\0{record.incarnation}"
                total ^= xxhash.xxh3_64_intdigest(text.encode())
        return total


def _fingers(ring: list[str], start: str) -> Iterable[str]:
    """Yields the entries at distances 1, 2, 4 and so on after `start`."""
    position = ring.index(start)
    distance = 1
    while distance < len(ring):
        yield ring[(position + distance) % len(ring)]
        distance *= 2
