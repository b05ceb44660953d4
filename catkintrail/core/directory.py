"""The targets of this instance's zone and their division into pools."""

import math
from typing import Iterable, NamedTuple

from catkintrail import messages
from catkintrail.core import membership as memberships
from catkintrail.core import pool as pools
from catkintrail.core import rendezvous

__all__ = ["Directory", "pool_name"]

# A pool with more targets is divided into shards, so that the work of one
# owner does not grow with the number of targets.
MAX_SHARD_TARGETS = 32


class Listing(NamedTuple):
    """The zone's targets at one revision of the platform's list."""

    revision: int
    targets: tuple[messages.TargetRecord, ...]


def pool_name(key: pools.PoolKey) -> str:
    """Returns the hash key by which a pool's owner is chosen."""
    return f"{key.serves}/{key.zone}/{key.shard}"


class Directory:
    """The zone's targets, their pools and the owners of pools.

    Attributes:
        zone: This instance's zone.
        membership: View of the other instances.
        listing: The newest list of the zone's targets.
        gone_incarnations: By target, the highest incarnation that is known to
            have left or to be leaving.
    """

    def __init__(self, zone: str, membership: memberships.Membership) -> None:
        self.zone = zone
        self.membership = membership
        self.listing = Listing(0, ())
        self.gone_incarnations: dict[str, int] = {}
        self._owners: dict[pools.PoolKey, str | None] = {}
        self._owners_version = -1
        self._by_serves: dict[str, list[messages.TargetRecord]] = {}

    def update_listing(
        self, revision: int, targets: Iterable[messages.TargetRecord]
    ) -> bool:
        """Replaces the list of targets by a newer one.

        Args:
            revision: Revision of the platform's list.
            targets: The listed targets; those of other zones are ignored.

        Returns:
            Whether the list was newer than the present one.
        """
        if revision <= self.listing.revision:
            return False
        own_zone_targets = tuple(t for t in targets if t.zone == self.zone)
        self.listing = Listing(revision, own_zone_targets)
        self._by_serves = {}
        for record in own_zone_targets:
            self._by_serves.setdefault(record.serves, []).append(record)
        listed = {record.name for record in own_zone_targets}
        self.gone_incarnations = {
            n: i for n, i in self.gone_incarnations.items() if n in listed
        }
        return True

    def mark_target_gone(self, name: str, incarnation: int) -> bool:
        """Marks a target as leaving; returns whether that was unknown."""
        if self.gone_incarnations.get(name, -1) >= incarnation:
            return False
        self.gone_incarnations[name] = incarnation
        return True

    def shard_count(self, serves: str) -> int:
        """Returns into how many shards this zone's pool is divided."""
        count = len(self._by_serves.get(serves, ()))
        return max(1, math.ceil(count / MAX_SHARD_TARGETS))

    def shard_targets(self, key: pools.PoolKey) -> list[messages.TargetRecord]:
        """Returns the targets of one shard of this zone's pool."""
        shards = self.shard_count(key.serves)
        return [
            record
            for record in self._by_serves.get(key.serves, ())
            if rendezvous.score("shard", record.name) % shards == key.shard
        ]

    def choose_shard(self, serves: str, blocks: tuple[int, ...]) -> int:
        """Returns the shard for a prompt.

        Prompts with the same first block get the same shard, so that they can
        use the cached prefix; a prompt without blocks gets a random one.

        Args:
            serves: The model or service.
            blocks: Hashes of the prompt's leading blocks.
        """
        shards = self.shard_count(serves)
        if shards == 1:
            return 0
        seed = str(blocks[0]) if blocks else str(self.membership.rng.random())
        return rendezvous.score("prefix", seed) % shards

    def region_zones(self) -> list[str]:
        """Returns the sorted zones of this region with usable instances."""
        own_record = self.membership.own_record
        zones = {own_record.zone}
        for member in self.membership.members.values():
            record = member.record
            if record.region == own_record.region and (
                record.status <= memberships.SUSPECT
            ):
                zones.add(record.zone)
        return sorted(zones)

    def owner(self, key: pools.PoolKey, rank: int = 0) -> str | None:
        """Returns the owner of a pool, or an instance of lower rank.

        Args:
            key: The pool.
            rank: 0 for the owner, 1 for the next candidate and so on; a rank
                beyond the last candidate means the last one.

        Returns:
            The name of the instance; None where the zone has no usable one.
        """
        if self._owners_version != self.membership.version:
            self._owners = {}
            self._owners_version = self.membership.version
        if rank == 0 and key in self._owners:
            return self._owners[key]
        names = self.membership.usable_instances(key.zone)
        ranked = rendezvous.rank_owners(pool_name(key), names, rank + 1)
        owner = ranked[min(rank, len(ranked) - 1)] if ranked else None
        if rank == 0:
            self._owners[key] = owner
        return owner

    def owned_pools(self, serves: Iterable[str]) -> list[pools.PoolKey]:
        """Returns the pools that this instance owns.

        Args:
            serves: Names of the models and services.
        """
        own_name = self.membership.own_record.name
        keys = (
            pools.PoolKey(name, self.zone, shard)
            for name in serves
            for shard in range(self.shard_count(name))
        )
        return [key for key in keys if self.owner(key) == own_name]
