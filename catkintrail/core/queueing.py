"""A queue shared fairly between organisations.

Start-time fair queueing (Goyal, Vin and Cheng, 1996) over the cost of requests
orders the organisations. The requests of one organisation are ordered by
urgency, then by deadline.
"""

import heapq
from typing import Any, Iterator, NamedTuple

__all__ = ["FairQueue", "QueuedRequest"]


class QueuedRequest(NamedTuple):
    """A queued request.

    Attributes:
        request_id: The request.
        organisation: The organisation that the request belongs to.
        weight: The organisation's weight in fair sharing.
        cost: Predicted work, in target seconds.
        deadline: Monotonic time in seconds.
        urgency: 0 to 9, higher first.
        item: Data that the queue's user attaches to the request.
    """

    request_id: str
    organisation: str
    weight: float
    cost: float
    deadline: float
    urgency: int
    item: Any


class _OrganisationQueue:
    """Queued requests of one organisation."""

    def __init__(self) -> None:
        self.heap: list[tuple[int, float, int, QueuedRequest]] = []
        self.work = 0.0
        self.weight = 1.0


class FairQueue:
    """Requests queued with fair sharing between organisations.

    Attributes:
        work: Cost of all waiting requests, in target seconds.
    """

    def __init__(self) -> None:
        self.work = 0.0
        self._queues: dict[str, _OrganisationQueue] = {}
        self._start_tags: dict[str, float] = {}
        self._waiting: dict[str, QueuedRequest] = {}
        self._virtual_time = 0.0
        self._counter = 0

    def __len__(self) -> int:
        return len(self._waiting)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._waiting

    def push(self, waiting: QueuedRequest) -> None:
        """Adds a request."""
        queue = self._queues.get(waiting.organisation)
        if queue is None:
            queue = self._queues[waiting.organisation] = _OrganisationQueue()
            start = self._start_tags.get(waiting.organisation, 0.0)
            # An organisation earns no credit while it is idle.
            self._start_tags[waiting.organisation] = max(
                start, self._virtual_time
            )
        queue.weight = waiting.weight
        queue.work += waiting.cost
        self.work += waiting.cost
        self._counter += 1
        entry = (-waiting.urgency, waiting.deadline, self._counter, waiting)
        heapq.heappush(queue.heap, entry)
        self._waiting[waiting.request_id] = waiting

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Removes and returns a request; None if it is not queued."""
        waiting = self._waiting.pop(request_id, None)
        if waiting is None:
            return None
        queue = self._queues[waiting.organisation]
        queue.heap = [e for e in queue.heap if e[3].request_id != request_id]
        heapq.heapify(queue.heap)
        self._subtract(queue, waiting)
        return waiting

    def heads(self) -> Iterator[QueuedRequest]:
        """Yields each organisation's first request, by start tag."""
        for organisation in sorted(self._queues, key=self._start_tags.get):
            yield self._queues[organisation].heap[0][3]

    def serve(self, request_id: str) -> QueuedRequest:
        """Removes a request and charges its cost to its organisation."""
        waiting = self._waiting[request_id]
        organisation = waiting.organisation
        self._virtual_time = max(
            self._virtual_time, self._start_tags[organisation]
        )
        self.remove(request_id)
        self.charge(organisation, waiting.weight, waiting.cost)
        return waiting

    def charge(self, organisation: str, weight: float, cost: float) -> None:
        """Charges an organisation for work, whether or not it was queued."""
        start = max(self._start_tags.get(organisation, 0.0), self._virtual_time)
        self._start_tags[organisation] = start + cost / weight
        if len(self._start_tags) > 4 * len(self._queues) + 64:
            self._drop_idle()

    def work_ahead(self, organisation: str, weight: float) -> float:
        """Predicts the work served before a new request of an organisation.

        Returns:
            Target seconds of work: the organisation's own, divided by its
            share of the weights, plus what it received in excess of others; at
            most the work of all waiting requests.
        """
        queue = self._queues.get(organisation)
        own = queue.work if queue else 0.0
        weights = sum(queue.weight for queue in self._queues.values())
        if queue is None:
            weights += weight
        return min(
            self.work, own * weights / weight + self._excess_work(organisation)
        )

    def get(self, request_id: str) -> QueuedRequest:
        """Returns a waiting request.

        Raises:
            KeyError: The request is not queued.
        """
        return self._waiting[request_id]

    def entries(self) -> list[QueuedRequest]:
        """Returns all waiting requests."""
        return list(self._waiting.values())

    def _excess_work(self, organisation: str) -> float:
        ahead = self._start_tags.get(organisation, 0.0) - self._virtual_time
        return max(0.0, ahead) * max(1, len(self._queues))

    def _subtract(
        self, queue: _OrganisationQueue, waiting: QueuedRequest
    ) -> None:
        queue.work -= waiting.cost
        self.work -= waiting.cost
        if not queue.heap:
            del self._queues[waiting.organisation]
        if not self._waiting:
            self.work = 0.0

    def _drop_idle(self) -> None:
        self._start_tags = {
            name: start_tag
            for name, start_tag in self._start_tags.items()
            if name in self._queues or start_tag > self._virtual_time
        }
