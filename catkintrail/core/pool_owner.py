"""Lifecycle of the pools that one instance owns."""

from catkintrail.core import configuration
from catkintrail.core import cost
from catkintrail.core import directory as directories
from catkintrail.core import membership as memberships
from catkintrail.core import pool as pools

__all__ = ["OwnedPools"]


class OwnedPools:
    """Opens and closes pools when membership, targets or objects change.

    Attributes:
        pools: The owned pools, by key.
    """

    def __init__(
        self,
        membership: memberships.Membership,
        current: configuration.Configuration,
        directory: directories.Directory,
    ) -> None:
        self.membership = membership
        self.configuration = current
        self.directory = directory
        self.pools: dict[pools.PoolKey, pools.Pool] = {}
        self._versions = (-1, -1, -1)

    def update(self, now: float) -> bool:
        """Reconciles the owned pools with membership, targets and objects.

        Returns:
            Whether any of these changed since the last call.
        """
        versions = (
            self.membership.version,
            self.directory.listing.revision,
            self.configuration.generation(),
        )
        if versions == self._versions:
            return False
        members_changed = versions[0] != self._versions[0]
        self._versions = versions
        profiles = self._profiles()
        owned = set(self.directory.owned_pools(profiles))
        for key in list(self.pools):
            if key not in owned:
                del self.pools[key]
        for key in owned:
            pool = self._open_pool(key, profiles[key.serves], now)
            if members_changed:
                self._drop_requests_of_dead(pool, now)
        return True

    def _open_pool(
        self, key: pools.PoolKey, profile: cost.Profile, now: float
    ) -> pools.Pool:
        pool = self.pools.get(key)
        if pool is None:
            pool = self.pools[key] = pools.Pool(key, profile)
        pool.set_profile(profile)
        for name, incarnation in self.directory.gone_incarnations.items():
            pool.mark_leaving(name, incarnation)
        pool.set_targets(self.directory.shard_targets(key), now)
        return pool

    def find_or_open(self, key: pools.PoolKey, now: float) -> pools.Pool | None:
        """Returns a pool, opening it where only a peer considers it owned.

        Membership views of instances may differ, so that a peer sends requests
        for a pool that this instance does not own in its own view.

        Returns:
            The pool; None if its model, service or shard is unknown here or it
            belongs to another zone.
        """
        pool = self.pools.get(key)
        if pool is not None:
            return pool
        profile = self._profiles().get(key.serves)
        if profile is None or key.zone != self.directory.zone:
            return None
        if key.shard >= self.directory.shard_count(key.serves):
            return None
        return self._open_pool(key, profile, now)

    def _drop_requests_of_dead(self, pool: pools.Pool, now: float) -> None:
        for name, member in self.membership.members.items():
            if member.record.status == memberships.DEAD:
                pool.drop_instance_requests(name, now)

    def poll(self, now: float) -> list[configuration.Outgoing]:
        """Returns grants and refusals for requests in the owned pools."""
        outgoing = []
        for pool in self.pools.values():
            if pool.waiting_count():
                for reply in pool.poll(now):
                    outgoing.append(
                        configuration.Outgoing(reply.entry, reply.message)
                    )
        return outgoing

    def summaries(self, now: float) -> list[configuration.Outgoing]:
        """Returns load summaries for the owners of the same models' pools.

        They go to shard 0 in the region's other zones and to the other shards
        in this zone.
        """
        outgoing = []
        zones = self.directory.region_zones()
        for key, pool in self.pools.items():
            summary = pool.summary(now)
            for zone in zones:
                other = pools.PoolKey(key.serves, zone, 0)
                owner = self.directory.owner(other)
                if owner is not None and zone != key.zone:
                    outgoing.append(configuration.Outgoing(owner, summary))
            for shard in range(self.directory.shard_count(key.serves)):
                other = key._replace(shard=shard)
                owner = self.directory.owner(other)
                if owner is not None and shard != key.shard:
                    outgoing.append(configuration.Outgoing(owner, summary))
        return outgoing

    def _profiles(self) -> dict[str, cost.Profile]:
        current = self.configuration.snapshot.objects
        profiles = {
            name: cost.profile_of_model(model)
            for name, model in current.models.items()
        }
        for name, service in current.services.items():
            profiles[name] = cost.profile_of_service(service)
        return profiles
