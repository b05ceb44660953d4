"""Membership by heartbeats over a sparse graph, with suspicion.

Each instance probes only a few others: in its own zone those at distances 1,
2, 4 and so on around a ring in hash order, and one instance in each of the
zones at such distances around the ring of zones. The number of probes grows
with the logarithm of the number of instances in the zone, and an instance is
probed by as many others as it probes. Suspicion and incarnation numbers follow
Das, Gupta and Motivala, "SWIM", 2002; the tolerance for a slow observer follows
Dadgar, Phillips and Currey, "Lifeguard", 2017.
"""

import random
from typing import Iterable, NamedTuple

import xxhash

from catkintrail import messages
from catkintrail.core import rendezvous

__all__ = ["ALIVE", "DEAD", "LEFT", "Membership", "SUSPECT", "Send"]

ALIVE, SUSPECT, DEAD, LEFT = range(4)

PING_INTERVAL_SECONDS = 1.0
PROBE_TIMEOUT_SECONDS = 2.5
SUSPICION_TIMEOUT_SECONDS = 2.0
RECOVERY_INTERVAL_SECONDS = 3.0
DEPARTED_MEMBER_RETENTION_SECONDS = 3_600.0
# A longer time between two ticks means that this instance was paused.
PAUSE_THRESHOLD_SECONDS = 1.5
# Heartbeats in a row with a differing view hash until the recent changes are
# sent, and until the full view is sent.
MISMATCHES_BEFORE_CHANGES = 3
MISMATCHES_BEFORE_FULL_SYNC = 12
RECENT_CHANGE_SECONDS = 30.0
SYNC_INTERVAL_SECONDS = 10.0
MAX_UPDATES_PER_MESSAGE = 6
TRANSMISSIONS_PER_DOUBLING = 3


class Send(NamedTuple):
    """A message and the address (`IP:port`) of the peer to send it to."""

    address: str
    message: messages.Message


class Member:
    """The state that an instance keeps about another one.

    Attributes:
        record: The newest record.
        changed_at: Monotonic time of the last change of status, in seconds.
        last_contact_at: Monotonic time in seconds from which the probe
            timeout counts: the last answer to a probe, the start of probing
            or the last record as alive.
        view_mismatches: Heartbeats in a row whose view hash differed.
    """

    def __init__(self, record: messages.MemberRecord, now: float) -> None:
        self.record = record
        self.changed_at = now
        self.last_contact_at = now
        self.view_mismatches = 0


class Membership:
    """One instance's view of all instances.

    Attributes:
        own_record: This instance's own record.
        seeds: Configured addresses of other instances.
        rng: Source of random choices.
        members: The other instances, by name. Dead ones and those that left
            stay for DEPARTED_MEMBER_RETENTION_SECONDS.
        version: Raised when the record of a member or of this instance
            changes; what is derived from the view is computed anew then.
        generation: Generation of the configuration, sent in every heartbeat.
        targets_revision: Revision of the target list, sent in every heartbeat.
        pending_updates: Transmissions left of each recently changed record,
            by name.
        sequence: Number of the last heartbeat.
    """

    def __init__(
        self,
        own_record: messages.MemberRecord,
        seeds: Iterable[str],
        rng: random.Random,
        now: float,
    ) -> None:
        self.own_record = own_record
        self.seeds = tuple(seed for seed in seeds if seed != own_record.address)
        self.rng = rng
        self.members: dict[str, Member] = {}
        self.version = 0
        self.generation = 0
        self.targets_revision = 0
        self.pending_updates: dict[str, int] = {}
        self.sequence = 0
        self.next_ping = now
        self.next_recovery = now
        self.next_full_sync = now
        self.last_tick = now
        self.started = now
        self._probed_peers: list[str] = []
        self._probed_peers_version = -1
        self._hash = 0
        self._hash_version = -1

    # Queries.

    def is_usable(self, name: str) -> bool:
        """Returns whether an instance may be given work."""
        if name == self.own_record.name:
            return self.own_record.status == ALIVE
        member = self.members.get(name)
        return member is not None and member.record.status <= SUSPECT

    def usable_instances(self, zone: str | None = None) -> list[str]:
        """Returns the usable instances of a zone, or of all zones.

        Args:
            zone: The zone; None for all zones.

        Returns:
            Sorted names, among them this instance where it matches.
        """
        records = [member.record for member in self.members.values()]
        records.append(self.own_record)
        return sorted(
            record.name
            for record in records
            if record.status <= SUSPECT and zone in (None, record.zone)
        )

    def zones(self) -> list[str]:
        """Returns the sorted names of the zones with usable instances."""
        records = [member.record for member in self.members.values()]
        records.append(self.own_record)
        return sorted({r.zone for r in records if r.status <= SUSPECT})

    def address_of(self, name: str) -> str | None:
        """Returns an instance's address; None for an unknown instance."""
        if name == self.own_record.name:
            return self.own_record.address
        member = self.members.get(name)
        return member.record.address if member else None

    def probed_peers(self) -> list[str]:
        """Returns the names of the instances that this one probes."""
        if self._probed_peers_version != self.version:
            before = set(self._probed_peers)
            self._probed_peers = self._choose_probed_peers()
            self._probed_peers_version = self.version
            for name in set(self._probed_peers) - before:
                # The probe timeout starts with the first probe.
                self.members[name].last_contact_at = self.last_tick
        return self._probed_peers

    def view_hash(self) -> int:
        """Returns a hash of the usable members; equal views hash equally."""
        if self._hash_version != self.version:
            self._hash = self._compute_hash()
            self._hash_version = self.version
        return self._hash

    # Events.

    def tick(self, now: float) -> list[Send]:
        """Sends probes and checks timeouts; called several times a second."""
        pause = now - self.last_tick
        self.last_tick = now
        if pause > PAUSE_THRESHOLD_SECONDS:
            self._shift_timestamps(pause)
        sends: list[Send] = []
        if now >= self.next_ping:
            self.next_ping = now + PING_INTERVAL_SECONDS
            self._check_timeouts(now)
            sends += self._ping_peers()
        if now >= self.next_recovery:
            self.next_recovery = now + RECOVERY_INTERVAL_SECONDS
            sends += self._probe_unreachable(now)
        return sends

    def on_ping(
        self, sender: str, ping: messages.Ping, now: float
    ) -> list[Send]:
        """Handles a heartbeat and answers it."""
        self._merge(ping.updates, now)
        address = self.address_of(sender)
        if address is None:
            return []
        sends = self._sync_on_mismatch(sender, ping.view_hash, now)
        return [Send(address, messages.Ack(*self._heartbeat()))] + sends

    def on_ack(self, sender: str, ack: messages.Ack, now: float) -> list[Send]:
        """Handles the answer to a heartbeat."""
        self._merge(ack.updates, now)
        member = self.members.get(sender)
        if member is None:
            return []
        member.last_contact_at = now
        if member.record.status == SUSPECT:
            self._set_record(member.record._replace(status=ALIVE), now)
        return self._sync_on_mismatch(sender, ack.view_hash, now)

    def on_members(
        self, sender_address: str, view: messages.Members, now: float
    ) -> list[Send]:
        """Merges a peer's full view; answers with the own view on request."""
        self._merge(view.records, now)
        if not view.reply:
            return []
        return [Send(sender_address, self._full_view(reply=False))]

    def on_contact(self, record: messages.MemberRecord, now: float) -> None:
        """Merges the record of an instance with an authenticated stream."""
        self._merge((record,), now)

    def on_disconnect(self, address: str, now: float) -> None:
        """Suspects the instance at an address, as its stream has broken."""
        for member in list(self.members.values()):
            if member.record.address == address:
                self._suspect(member, now)

    def leave(self, now: float) -> list[Send]:
        """Announces to the probed peers that this instance leaves."""
        self.own_record = self.own_record._replace(status=LEFT)
        self._record_change(self.own_record.name)
        self.last_tick = now
        return self._ping_peers()

    # Merging.

    def _merge(
        self, records: Iterable[messages.MemberRecord], now: float
    ) -> None:
        for record in records:
            if record.name == self.own_record.name:
                self._refute(record)
            elif self._is_newer(record):
                self._set_record(record, now)

    def _is_newer(self, record: messages.MemberRecord) -> bool:
        member = self.members.get(record.name)
        if member is None:
            return True
        known = member.record
        if record.incarnation != known.incarnation:
            return record.incarnation > known.incarnation
        return record.status > known.status

    def _refute(self, record: messages.MemberRecord) -> None:
        if record.status == ALIVE or self.own_record.status == LEFT:
            return
        if record.incarnation >= self.own_record.incarnation:
            self.own_record = self.own_record._replace(
                incarnation=record.incarnation + 1
            )
            self._record_change(self.own_record.name)

    def _set_record(self, record: messages.MemberRecord, now: float) -> None:
        member = self.members.get(record.name)
        if member is None:
            self.members[record.name] = Member(record, now)
        else:
            if member.record.status != record.status:
                member.changed_at = now
            if record.status == ALIVE:
                member.last_contact_at = now
            member.record = record
        self._record_change(record.name)

    def _record_change(self, name: str) -> None:
        size = max(2, len(self.members))
        self.pending_updates[name] = (
            TRANSMISSIONS_PER_DOUBLING * size.bit_length()
        )
        self.version += 1

    # Failure detection.

    def _check_timeouts(self, now: float) -> None:
        probed_peers = set(self.probed_peers())
        for name, member in list(self.members.items()):
            status = member.record.status
            if status == ALIVE and name in probed_peers:
                if now - member.last_contact_at > PROBE_TIMEOUT_SECONDS:
                    self._suspect(member, now)
            elif status == SUSPECT:
                if now - member.changed_at > SUSPICION_TIMEOUT_SECONDS:
                    self._set_record(member.record._replace(status=DEAD), now)
            elif (
                status >= DEAD
                and now - member.changed_at > DEPARTED_MEMBER_RETENTION_SECONDS
            ):
                del self.members[name]
                self.pending_updates.pop(name, None)

    def _suspect(self, member: Member, now: float) -> None:
        if member.record.status == ALIVE:
            self._set_record(member.record._replace(status=SUSPECT), now)

    def _shift_timestamps(self, pause: float) -> None:
        # While this instance was paused, it could not receive answers, so the
        # pause does not count towards the timeouts of its peers.
        for member in self.members.values():
            member.last_contact_at += pause
            member.changed_at += pause

    # Sending.

    def _heartbeat(self) -> tuple:
        self.sequence += 1
        return (
            self.sequence,
            self.view_hash(),
            self.generation,
            self.targets_revision,
            self._next_updates(),
        )

    def _next_updates(self) -> tuple[messages.MemberRecord, ...]:
        chosen = sorted(
            self.pending_updates, key=self.pending_updates.get, reverse=True
        )
        records = []
        for name in chosen[:MAX_UPDATES_PER_MESSAGE]:
            self.pending_updates[name] -= 1
            if self.pending_updates[name] <= 0:
                del self.pending_updates[name]
            if name == self.own_record.name:
                records.append(self.own_record)
            elif name in self.members:
                records.append(self.members[name].record)
        return tuple(records)

    def _ping_peers(self) -> list[Send]:
        sends = []
        for name in self.probed_peers():
            address = self.address_of(name)
            ping = messages.Ping(*self._heartbeat())
            sends.append(Send(address, ping))
        return sends

    def _probe_unreachable(self, now: float) -> list[Send]:
        del now
        usable_addresses = {
            member.record.address
            for member in self.members.values()
            if member.record.status <= SUSPECT
        }
        unreachable = {
            seed for seed in self.seeds if seed not in usable_addresses
        }
        unreachable |= {
            member.record.address
            for member in self.members.values()
            if member.record.status == DEAD
            and member.record.address not in usable_addresses
        }
        if not unreachable:
            return []
        address = self.rng.choice(sorted(unreachable))
        known = self._record_at(address)
        records = (
            (self.own_record,) if known is None else (self.own_record, known)
        )
        return [Send(address, messages.Members(records, reply=True))]

    def _record_at(self, address: str) -> messages.MemberRecord | None:
        for member in self.members.values():
            if member.record.address == address:
                return member.record
        return None

    def _full_view(self, reply: bool) -> messages.Members:
        records = [member.record for member in self.members.values()]
        return messages.Members((self.own_record, *records), reply)

    def _sync_on_mismatch(
        self, sender: str, view_hash: int, now: float
    ) -> list[Send]:
        member = self.members.get(sender)
        if member is None:
            return []
        if view_hash == self.view_hash():
            member.view_mismatches = 0
            return []
        member.view_mismatches += 1
        address = member.record.address
        if member.view_mismatches == MISMATCHES_BEFORE_CHANGES:
            return [Send(address, self._recent_changes(now))]
        if (
            member.view_mismatches < MISMATCHES_BEFORE_FULL_SYNC
            or now < self.next_full_sync
        ):
            return []
        member.view_mismatches = 0
        self.next_full_sync = now + SYNC_INTERVAL_SECONDS
        return [Send(address, self._full_view(reply=True))]

    def _recent_changes(self, now: float) -> messages.Members:
        records = [
            member.record
            for member in self.members.values()
            if now - member.changed_at < RECENT_CHANGE_SECONDS
        ]
        return messages.Members((self.own_record, *records), reply=False)

    # Choice of the peers to probe.

    def _choose_probed_peers(self) -> list[str]:
        by_zone: dict[str, list[str]] = {
            self.own_record.zone: [self.own_record.name]
        }
        for name, member in self.members.items():
            if member.record.status <= SUSPECT:
                by_zone.setdefault(member.record.zone, []).append(name)
        ring = sorted(
            by_zone[self.own_record.zone],
            key=lambda name: rendezvous.score("", name),
        )
        probed_peers = list(
            _power_of_two_successors(ring, self.own_record.name)
        )
        for zone in _power_of_two_successors(
            sorted(by_zone), self.own_record.zone
        ):
            probed_peers.append(
                rendezvous.choose_owner(self.own_record.name, by_zone[zone])
            )
        return probed_peers

    def _compute_hash(self) -> int:
        total = 0
        records = [member.record for member in self.members.values()]
        records.append(self.own_record)
        for record in records:
            if record.status <= SUSPECT:
                text = f"{record.name}\0{record.incarnation}"
                total ^= xxhash.xxh3_64_intdigest(text.encode())
        return total


def _power_of_two_successors(ring: list[str], start: str) -> Iterable[str]:
    """Yields the entries at distances 1, 2, 4 and so on after `start`."""
    position = ring.index(start)
    distance = 1
    while distance < len(ring):
        yield ring[(position + distance) % len(ring)]
        distance *= 2
