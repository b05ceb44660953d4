"""A fleet of relaying instances in virtual time.

The instances are the real router actors, called directly instead of through
their threads. Messages are encoded and delivered after a fixed delay.
"""

import collections
import heapq
import itertools
import random

import pykka

from catkintrail import messages
from catkintrail.adapters import router_actor
from catkintrail.adapters import router_client
from catkintrail.core import request_router
from tests import relaying as builders

DELAY_SECONDS = 0.001
TICK_SECONDS = 0.25
START_TICK_SECONDS = 0.1


class VirtualFleet:
    """Instances in several zones, and the network between them.

    Attributes:
        now: Virtual time in seconds.
        actors: The router actors by address.
        sent: Number of messages sent, by sender's address and message type.
        longest_message: Bytes of the longest message sent.
        stopped: Addresses of instances that do not run.
        cut_zones: Zones whose instances cannot reach other zones.
        retry_extra: Extra retries of the settings.
        settings: Other settings that differ from those of the builder.
        configuration: The configuration of all instances.
        on_start: Called with the actor of each instance that has started.
    """

    def __init__(
        self,
        zone_sizes,
        targets,
        cores=None,
        seed=1,
        retry_extra=460.0,
        configuration=None,
        **settings,
    ):
        self.now = 0.0
        self.actors = {}
        self.sent = collections.Counter()
        self.longest_message = 0
        self.stopped = set()
        self.cut_zones = set()
        self.retry_extra = retry_extra
        self.settings = settings
        self.configuration = configuration or builders.make_configuration()
        self.on_start = lambda actor: None
        self._rng = random.Random(seed)
        self._queue = []
        self._order = itertools.count()
        self._zones = {}
        self._targets = targets
        self._incarnations = itertools.count(1)
        self._cores = cores or {}
        seeds = []
        for number, (zone, size) in enumerate(zone_sizes.items()):
            for member in range(size):
                address = f"10.{number}.{member // 200}.{member % 200 + 1}"
                self._zones[address] = zone
                if not member and number < 3:
                    seeds.append(f"{address}:8002")
        self._seeds = tuple(seeds)
        for address in self._zones:
            start = self._rng.uniform(0.0, 0.3)
            weight = self._cores.get(address, 0.5)
            self._schedule(start, self._start, address, self._seeds, weight)

    def run(self, seconds):
        """Advances the virtual time."""
        until = self.now + seconds
        while self._queue and self._queue[0][0] <= until:
            self.now, _, function, arguments = heapq.heappop(self._queue)
            function(*arguments)
        self.now = until

    def at(self, seconds, function, *arguments):
        """Calls a function after some time."""
        self._schedule(self.now + seconds, function, *arguments)

    def restart(self, address, seconds):
        """Kills an instance; it is started again after some time."""
        self.stopped.add(address)
        self.at(seconds, self._start_again, address)

    def freeze(self, address, seconds):
        """Suspends an instance; messages to it meanwhile are lost."""
        self.stopped.add(address)
        self.at(seconds, self._resume, address, self.actors[address])

    def members(self, zone):
        """Returns the addresses of a zone's running instances."""
        return [
            address
            for address, other in self._zones.items()
            if other == zone and address not in self.stopped
        ]

    def router(self, address):
        """Returns the router of an instance."""
        return self.actors[address]._router

    def coordinators(self, zone):
        """Returns the sets of coordinators that a zone's instances name."""
        return {
            tuple(self.router(a).fleet_state.peers.coordinators())
            for a in self.members(zone)
        }

    def renew_proofs(self):
        """Makes the configuration known as current on all instances."""
        for address in self.actors:
            view = self.router(address).fleet_state.configuration
            view.proven_at = self.now

    def place(self, address, key, tokens=5_000, path="/ask/a", then=None):
        """Places a request; `then` gets the placement or refusal."""
        actor = self.actors[address]
        admission = self.router(address).admit(
            "wells.example", path, "key-1", self.now
        )
        request = request_router.PlacementRequest(
            key, admission, tokens, 1_500, 0.0, frozenset(), False
        )
        self._follow(actor, actor.place(request), then or (lambda _: None))

    def finish(self, address, key, target, is_success=True):
        """Ends an attempt, of which the instance may know nothing."""
        self.actors[address].record_attempt_end(
            key, target, is_success, not is_success, False
        )

    def _follow(self, actor, result, then):
        """Passes on a placement, also if a coordinator has to be awaited."""
        if not isinstance(result, router_actor.PendingPlacement):
            then(result)
            return
        deadline = self.now + router_client.PEER_TIMEOUT_SECONDS

        def poll():
            try:
                self._follow(actor, result.result.get(timeout=0), then)
            except pykka.Timeout:
                if self.now >= deadline:
                    key = result.request.key
                    self._follow(actor, actor.give_up_waiting(key), then)
                else:
                    self.at(DELAY_SECONDS, poll)

        poll()

    def _schedule(self, when, function, *arguments):
        entry = (when, next(self._order), function, arguments)
        heapq.heappush(self._queue, entry)

    def _start_again(self, address):
        self.stopped.discard(address)
        self._start(address, self._seeds, self._cores.get(address, 0.5))

    def _resume(self, address, actor):
        if self.actors[address] is actor:
            self.stopped.discard(address)
            self._tick(address, actor, actor._started_at)

    def _start(self, address, seeds, cores):
        router = request_router.RequestRouter(
            builders.make_settings(
                name=f"i-{address}",
                address=address,
                availability_zone=self._zones[address],
                seeds=seeds,
                cores=cores,
                retry_extra=self.retry_extra,
                zone_count=len(set(self._zones.values())),
                **self.settings,
            ),
            next(self._incarnations),
            random.Random(self._rng.random()),
            self.now,
        )
        router.fleet_state.update_configuration(self.configuration, self.now)
        router.fleet_state.replace_targets(
            builders.list_entries(self._targets), self.now
        )

        def send(recipients, message):
            data = messages.encode(message)
            self.longest_message = max(self.longest_message, len(data))
            for recipient in recipients:
                self.sent[address, type(message).__name__] += 1
                self.at(DELAY_SECONDS, self._deliver, address, recipient, data)

        actor = router_actor.RouterActor(
            router, send, lambda: self.now, lambda: self.now
        )
        self.actors[address] = actor
        self.on_start(actor)
        self._tick(address, actor, self.now)

    def _tick(self, address, actor, started_at):
        if address in self.stopped or self.actors[address] is not actor:
            return
        actor.tick()
        is_starting = self.now < started_at + router_actor.START_SECONDS
        self.at(
            START_TICK_SECONDS if is_starting else TICK_SECONDS,
            self._tick,
            address,
            actor,
            started_at,
        )

    def _deliver(self, sender, recipient, data):
        if recipient in self.stopped or recipient not in self.actors:
            return
        zones = {self._zones[sender], self._zones[recipient]}
        if len(zones) == 2 and zones & self.cut_zones:
            return
        self.actors[recipient].handle_message(sender, messages.decode(data))
