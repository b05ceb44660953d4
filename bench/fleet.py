"""Simulates several instances of the core in one process, in virtual time.

An event loop delivers the instances' encoded messages after a fixed delay. It
can drop messages between instances, and stop or freeze instances; nothing else
is modelled.
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

MESSAGE_DELAY_SECONDS = 0.002
TICK_SECONDS = 0.1
FRAME_HEADER_BYTES = 4


class Node:
    """One simulated instance.

    Attributes:
        core: The state machine of the instance.
        is_stopped: Whether the instance has been stopped permanently.
        is_frozen: Whether the instance is paused.
        bytes_sent: Total size of the frames sent.
        bytes_received: Total size of the frames received.
        messages_sent: Number of frames sent.
        events: Grants and refusals for requests, in order.
        cleanups: Reservations to free on targets, in order.
        backlog: Frames that arrived while the instance was frozen, with their
            senders.
    """

    def __init__(self, core: instances.Instance) -> None:
        self.core = core
        self.is_stopped = False
        self.is_frozen = False
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0
        self.events: list[dispatch.DispatchResult] = []
        self.cleanups: list[instances.TargetCleanup] = []
        self.backlog: list[tuple[messages.MemberRecord, bytes]] = []


class _Delivery(NamedTuple):
    """A frame in transit to an address."""

    sender: messages.MemberRecord
    address: str
    frame: bytes


class Fleet:
    """Event loop and network of the simulated instances.

    Attributes:
        now: Virtual time in seconds.
        rng: Source of all randomness.
        nodes: Nodes by name, stopped ones included.
        is_cut: Returns whether frames from the first node to the second are
            dropped.
        bytes_by_type: Total size of the frames sent, by message type.
    """

    def __init__(self, seed: int = 1) -> None:
        self.now = 0.0
        self.rng = random.Random(seed)
        self.nodes: dict[str, Node] = {}
        self.is_cut: Callable[[Node, Node], bool] = lambda a, b: False
        self.bytes_by_type: collections.Counter = collections.Counter()
        self._names_by_address: dict[str, str] = {}
        self._scheduled: list[tuple[float, int, object]] = []
        self._sequence_numbers = itertools.count()
        self._port_numbers = itertools.count(1)

    def add(
        self,
        name: str,
        zone: str,
        region: str = "r",
        seeds: tuple[str, ...] = (),
    ) -> Node:
        """Starts an instance.

        Args:
            name: Unique name.
            zone: Availability zone.
            region: Region of the zone.
            seeds: Addresses that the instance contacts first.
        """
        address = f"10.0.0.1:{next(self._port_numbers)}"
        incarnation = int(self.now * 1_000) + 1
        own_record = messages.MemberRecord(
            name, zone, region, address, incarnation, 0
        )
        core = instances.Instance(
            own_record, seeds, random.Random(self.rng.random()), self.now
        )
        node = Node(core)
        self.nodes[name] = node
        self._names_by_address[address] = name
        phase = self.rng.random() * TICK_SECONDS
        self._schedule(self.now + phase, node)
        return node

    def add_zones(
        self, counts: dict[str, int], regions: dict[str, str] | None = None
    ) -> None:
        """Starts instances in zones; the first three of all are the seeds.

        Args:
            counts: Number of instances by zone.
            regions: Region by zone.
        """
        seeds = tuple(f"10.0.0.1:{n}" for n in range(1, 4))
        for zone, count in counts.items():
            region = (regions or {}).get(zone, "r")
            for number in range(count):
                self.add(f"{zone}-{number}", zone, region, seeds)

    def kill(self, name: str) -> None:
        """Stops an instance permanently."""
        self.nodes[name].is_stopped = True

    def thaw(self, name: str) -> None:
        """Resumes a frozen instance and delivers its backlog."""
        node = self.nodes[name]
        node.is_frozen = False
        backlog, node.backlog = node.backlog, []
        for sender, frame in backlog:
            self.apply(
                node,
                node.core.receive(sender, messages.decode(frame), self.now),
            )

    def live(self) -> list[Node]:
        """Returns the nodes that are not stopped; frozen ones are included."""
        return [n for n in self.nodes.values() if not n.is_stopped]

    def run(self, seconds: float) -> None:
        """Processes events for a span of virtual time."""
        end = self.now + seconds
        while self._scheduled and self._scheduled[0][0] <= end:
            self.now, _, item = heapq.heappop(self._scheduled)
            if isinstance(item, Node):
                self._tick(item)
            else:
                self._deliver(item)
        self.now = end

    def run_until(
        self, condition: Callable[[], bool], timeout_seconds: float
    ) -> float:
        """Runs until a condition holds.

        Args:
            condition: Checked every TICK_SECONDS.
            timeout_seconds: Limit in virtual time.

        Returns:
            The virtual seconds passed; infinite after the timeout.
        """
        start = self.now
        while not condition():
            if self.now - start > timeout_seconds:
                return float("inf")
            self.run(TICK_SECONDS)
        return self.now - start

    def apply(self, node: Node, outputs: instances.Outputs) -> None:
        """Records and sends what a call of an instance returned."""
        node.events += outputs.events
        node.cleanups += outputs.cleanups
        own_record = node.core.membership.own_record
        for address, message in outputs.sends:
            frame = messages.encode(message)
            size = len(frame) + FRAME_HEADER_BYTES
            node.bytes_sent += size
            node.messages_sent += 1
            self.bytes_by_type[type(message).__name__] += size
            self._schedule(
                self.now + MESSAGE_DELAY_SECONDS,
                _Delivery(own_record, address, frame),
            )

    def _schedule(self, when: float, item: object) -> None:
        heapq.heappush(
            self._scheduled, (when, next(self._sequence_numbers), item)
        )

    def _tick(self, node: Node) -> None:
        if node.is_stopped:
            return
        if not node.is_frozen:
            self.apply(node, node.core.tick(self.now))
        self._schedule(self.now + TICK_SECONDS, node)

    def _deliver(self, delivery: _Delivery) -> None:
        name = self._names_by_address.get(delivery.address)
        sender = self.nodes[delivery.sender.name]
        node = self.nodes.get(name)
        if node is None or node.is_stopped or self.is_cut(sender, node):
            return
        node.bytes_received += len(delivery.frame) + FRAME_HEADER_BYTES
        if node.is_frozen:
            node.backlog.append((delivery.sender, delivery.frame))
            return
        message = messages.decode(delivery.frame)
        self.apply(node, node.core.receive(delivery.sender, message, self.now))
