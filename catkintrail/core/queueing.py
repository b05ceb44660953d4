"""A queue shared fairly between organisations.

Organisations take turns by start-time fair queueing over the cost of their
requests (Goyal, Vin and Cheng, 1996); inside an organisation the most urgent
request goes first, then the earliest deadline.
"""

import heapq
from typing import Any, Iterator, NamedTuple

__all__ = ["FairQueue", "Waiting"]


class Waiting(NamedTuple):
    """A request in the queue.

    Attributes:
        request_id: The request.
        organisation: Whose it is.
        weight: The organisation's weight.
        cost: Predicted work, in target seconds.
        deadline: Monotonic time in seconds.
        urgency: 0 to 9, higher first.
        item: What the queue's user keeps with it.
    """

    request_id: str
    organisation: str
    weight: float
    cost: float
    deadline: float
    urgency: int
    item: Any


class _Lane:
    """The requests of one organisation."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, float, int, Waiting]] = []
        self.work = 0.0
        self.weight = 1.0


class FairQueue:
    """Waiting requests, by organisation.

    Attributes:
        work: Cost of all waiting requests, in target seconds.
    """

    def __init__(self) -> None:
        self.work = 0.0
        self._lanes: dict[str, _Lane] = {}
        self._served: dict[str, float] = {}
        self._entries: dict[str, Waiting] = {}
        self._virtual = 0.0
        self._counter = 0

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._entries

    def push(self, waiting: Waiting) -> None:
        """Adds a request."""
        lane = self._lanes.get(waiting.organisation)
        if lane is None:
            lane = self._lanes[waiting.organisation] = _Lane()
            start = self._served.get(waiting.organisation, 0.0)
            # An idle organisation saves up no credit.
            self._served[waiting.organisation] = max(start, self._virtual)
        lane.weight = waiting.weight
        lane.work += waiting.cost
        self.work += waiting.cost
        self._counter += 1
        entry = (-waiting.urgency, waiting.deadline, self._counter, waiting)
        heapq.heappush(lane.heap, entry)
        self._entries[waiting.request_id] = waiting

    def remove(self, request_id: str) -> Waiting | None:
        """Takes one request out; None where it does not wait."""
        waiting = self._entries.pop(request_id, None)
        if waiting is None:
            return None
        lane = self._lanes[waiting.organisation]
        lane.heap = [e for e in lane.heap if e[3].request_id != request_id]
        heapq.heapify(lane.heap)
        self._subtract(lane, waiting)
        return waiting

    def heads(self) -> Iterator[Waiting]:
        """Yields each organisation's first request, in order of their turns."""
        for organisation in sorted(self._lanes, key=self._served.get):
            yield self._lanes[organisation].heap[0][3]

    def serve(self, request_id: str) -> Waiting:
        """Takes a request out and charges its organisation for it."""
        waiting = self._entries[request_id]
        organisation = waiting.organisation
        self._virtual = max(self._virtual, self._served[organisation])
        self.remove(request_id)
        self.charge(organisation, waiting.weight, waiting.cost)
        return waiting

    def charge(self, organisation: str, weight: float, cost: float) -> None:
        """Counts work that an organisation got, also past the queue."""
        start = max(self._served.get(organisation, 0.0), self._virtual)
        self._served[organisation] = start + cost / weight
        if len(self._served) > 4 * len(self._lanes) + 64:
            self._forget_idle()

    def wait_work(self, organisation: str, weight: float) -> float:
        """Predicts the work served before a new request of an organisation.

        Returns:
            Target seconds of work: no more than all that waits, and no more
            than the organisation's own, stretched by its share.
        """
        lane = self._lanes.get(organisation)
        own = lane.work if lane else 0.0
        weights = sum(lane.weight for lane in self._lanes.values())
        if lane is None:
            weights += weight
        return min(self.work, own * weights / weight + self._debt(organisation))

    def get(self, request_id: str) -> Waiting:
        """Returns a waiting request.

        Raises:
            KeyError: It does not wait.
        """
        return self._entries[request_id]

    def entries(self) -> list[Waiting]:
        """Returns all waiting requests."""
        return list(self._entries.values())

    def _debt(self, organisation: str) -> float:
        ahead = self._served.get(organisation, 0.0) - self._virtual
        return max(0.0, ahead) * max(1, len(self._lanes))

    def _subtract(self, lane: _Lane, waiting: Waiting) -> None:
        lane.work -= waiting.cost
        self.work -= waiting.cost
        if not lane.heap:
            del self._lanes[waiting.organisation]
        if not self._entries:
            self.work = 0.0

    def _forget_idle(self) -> None:
        self._served = {
            name: served
            for name, served in self._served.items()
            if name in self._lanes or served > self._virtual
        }
