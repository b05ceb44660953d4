"""Instances of the core in one process, in virtual time.

A plain loop hands their encoded messages on after a fixed delay. It can hold
back messages between instances, and stop instances; it models nothing else.
"""

import collections
import heapq
import itertools
import random
from typing import Callable, NamedTuple

from catkintrail import messages
from catkintrail.core import dispatch
from catkintrail.core import instance as instances

__all__ = ["Fleet", "Node"]

DELAY_SECONDS = 0.002
TICK_SECONDS = 0.1
FRAME_BYTES = 4


class Node:
    """One instance in the loop.

    Attributes:
        core: The instance.
        is_dead: Whether it has been stopped for good.
        is_frozen: Whether it does not run now.
        bytes_sent: Bytes of frames sent.
        bytes_received: Bytes of frames received.
        events: News for requests, in order.
        cleanups: Reservations to free, in order.
    """

    def __init__(self, core: instances.Instance) -> None:
        self.core = core
        self.is_dead = False
        self.is_frozen = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0
        self.events: list[dispatch.Event] = []
        self.cleanups: list[instances.TargetCleanup] = []
        self.backlog: list[tuple[messages.MemberRecord, bytes]] = []


class _Delivery(NamedTuple):
    """A frame on its way."""

    sender: messages.MemberRecord
    address: str
    frame: bytes


class Fleet:
    """The loop.

    Attributes:
        now: Virtual time in seconds.
        nodes: Nodes by name.
        is_cut: Tells whether frames from one node to another are lost.
        bytes_by_type: Bytes of frames sent, by type of message.
    """

    def __init__(self, seed: int = 1) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.nodes: dict[str, Node] = {}
        self.is_cut: Callable[[Node, Node], bool] = lambda a, b: False
        self.bytes_by_type: collections.Counter = collections.Counter()
        self._addresses: dict[str, str] = {}
        self._queue: list[tuple[float, int, object]] = []
        self._order = itertools.count()
        self._ports = itertools.count(1)

    def add(
        self,
        name: str,
        zone: str,
        region: str = "r",
        seeds: tuple[str, ...] = (),
    ) -> Node:
        """Starts an instance."""
        address = f"10.0.0.1:{next(self._ports)}"
        incarnation = int(self.now * 1_000) + 1
        me = messages.MemberRecord(name, zone, region, address, incarnation, 0)
        core = instances.Instance(
            me, seeds, random.Random(self.rng.random()), self.now
        )
        node = Node(core)
        self.nodes[name] = node
        self._addresses[address] = name
        phase = self.rng.random() * TICK_SECONDS
        self._push(self.now + phase, node)
        return node

    def add_zones(
        self, counts: dict[str, int], regions: dict[str, str] | None = None
    ) -> None:
        """Starts a number of instances in each zone; the first are seeds."""
        seeds = tuple(f"10.0.0.1:{n}" for n in range(1, 4))
        for zone, count in counts.items():
            region = (regions or {}).get(zone, "r")
            for number in range(count):
                self.add(f"{zone}-{number}", zone, region, seeds)

    def kill(self, name: str) -> None:
        """Stops an instance for good."""
        self.nodes[name].is_dead = True

    def thaw(self, name: str) -> None:
        """Lets a frozen instance run on; it gets what was sent meanwhile."""
        node = self.nodes[name]
        node.is_frozen = False
        backlog, node.backlog = node.backlog, []
        for sender, frame in backlog:
            self.apply(
                node,
                node.core.receive(sender, messages.decode(frame), self.now),
            )

    def live(self) -> list[Node]:
        """Returns the instances that run."""
        return [n for n in self.nodes.values() if not n.is_dead]

    def run(self, seconds: float) -> None:
        """Lets virtual time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, item = heapq.heappop(self._queue)
            if isinstance(item, Node):
                self._tick(item)
            else:
                self._deliver(item)
        self.now = end

    def run_until(self, holds: Callable[[], bool], limit: float) -> float:
        """Lets time pass until a condition holds; returns how long."""
        began = self.now
        while not holds():
            if self.now - began > limit:
                return float("inf")
            self.run(TICK_SECONDS)
        return self.now - began

    def apply(self, node: Node, outputs: instances.Outputs) -> None:
        """Carries out what an instance returned."""
        node.events += outputs.events
        node.cleanups += outputs.cleanups
        me = node.core.membership.me
        for address, message in outputs.sends:
            frame = messages.encode(message)
            size = len(frame) + FRAME_BYTES
            node.bytes_sent += size
            node.messages_sent += 1
            self.bytes_by_type[type(message).__name__] += size
            self._push(self.now + DELAY_SECONDS, _Delivery(me, address, frame))

    def _push(self, moment: float, item: object) -> None:
        heapq.heappush(self._queue, (moment, next(self._order), item))

    def _tick(self, node: Node) -> None:
        if node.is_dead:
            return
        if not node.is_frozen:
            self.apply(node, node.core.tick(self.now))
        self._push(self.now + TICK_SECONDS, node)

    def _deliver(self, delivery: _Delivery) -> None:
        name = self._addresses.get(delivery.address)
        sender = self.nodes[delivery.sender.name]
        node = self.nodes.get(name)
        if node is None or node.is_dead or self.is_cut(sender, node):
            return
        node.bytes_received += len(delivery.frame) + FRAME_BYTES
        if node.is_frozen:
            node.backlog.append((delivery.sender, delivery.frame))
            return
        message = messages.decode(delivery.frame)
        self.apply(node, node.core.receive(delivery.sender, message, self.now))
