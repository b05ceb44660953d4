"""The targets of this instance's zone and the pools made of them."""

import math
from typing import Iterable, NamedTuple

from catkintrail import messages
from catkintrail.core import membership as memberships
from catkintrail.core import ownership
from catkintrail.core import pool as pools

__all__ = ["Directory", "pool_name"]

# More targets than this make a second shard, so that one owner's work does
# not grow with the fleet.
MAX_SHARD_TARGETS = 32


class Listing(NamedTuple):
    """The zone's targets at a revision of the platform's list."""

    revision: int
    targets: tuple[messages.TargetRecord, ...]


def pool_name(key: pools.PoolKey) -> str:
    """Returns the key under which a pool's owner is chosen."""
    return f"{key.serves}/{key.zone}/{key.shard}"


class Directory:
    """Which targets there are, in which pools, and who owns those.

    Attributes:
        zone: This instance's zone.
        listing: The newest list of the zone's targets.
        gone: Incarnations that were seen to leave, by target.
    """

    def __init__(self, zone: str, membership: memberships.Membership) -> None:
        self.zone = zone
        self.membership = membership
        self.listing = Listing(0, ())
        self.gone: dict[str, int] = {}
        self._owners: dict[pools.PoolKey, str | None] = {}
        self._owners_version = -1
        self._by_serves: dict[str, list[messages.TargetRecord]] = {}

    def take_listing(
        self, revision: int, targets: Iterable[messages.TargetRecord]
    ) -> bool:
        """Takes a list of targets; returns whether it is newer."""
        if revision <= self.listing.revision:
            return False
        mine = tuple(t for t in targets if t.zone == self.zone)
        self.listing = Listing(revision, mine)
        self._by_serves = {}
        for record in mine:
            self._by_serves.setdefault(record.serves, []).append(record)
        listed = {record.name for record in mine}
        self.gone = {n: i for n, i in self.gone.items() if n in listed}
        return True

    def note_gone(self, name: str, incarnation: int) -> bool:
        """Notes a leaving target; returns whether it is news."""
        if self.gone.get(name, -1) >= incarnation:
            return False
        self.gone[name] = incarnation
        return True

    def shard_count(self, serves: str) -> int:
        """Returns the number of shards of a pool in this zone."""
        count = len(self._by_serves.get(serves, ()))
        return max(1, math.ceil(count / MAX_SHARD_TARGETS))

    def shard_targets(self, key: pools.PoolKey) -> list[messages.TargetRecord]:
        """Returns the targets of a pool of this zone."""
        shards = self.shard_count(key.serves)
        return [
            record
            for record in self._by_serves.get(key.serves, ())
            if ownership.score("shard", record.name) % shards == key.shard
        ]

    def choose_shard(self, serves: str, blocks: tuple[int, ...]) -> int:
        """Returns the shard for a prompt: equal prefixes go together."""
        shards = self.shard_count(serves)
        if shards == 1:
            return 0
        seed = str(blocks[0]) if blocks else str(self.membership.rng.random())
        return ownership.score("prefix", seed) % shards

    def region_zones(self) -> list[str]:
        """Returns the zones of this region with usable instances."""
        me = self.membership.me
        zones = {me.zone}
        for member in self.membership.members.values():
            record = member.record
            if record.region == me.region and (
                record.status <= memberships.SUSPECT
            ):
                zones.add(record.zone)
        return sorted(zones)

    def owner(self, key: pools.PoolKey, rank: int = 0) -> str | None:
        """Returns a pool's owner, or who is next in rank.

        Returns:
            The instance; None where the zone has no usable instance.
        """
        if self._owners_version != self.membership.version:
            self._owners = {}
            self._owners_version = self.membership.version
        if rank == 0 and key in self._owners:
            return self._owners[key]
        names = self.membership.usable(key.zone)
        ranked = ownership.rank_owners(pool_name(key), names, rank + 1)
        owner = ranked[min(rank, len(ranked) - 1)] if ranked else None
        if rank == 0:
            self._owners[key] = owner
        return owner

    def owned(self, serves: Iterable[str]) -> list[pools.PoolKey]:
        """Returns the pools that this instance owns."""
        me = self.membership.me.name
        keys = (
            pools.PoolKey(name, self.zone, shard)
            for name in serves
            for shard in range(self.shard_count(name))
        )
        return [key for key in keys if self.owner(key) == me]
