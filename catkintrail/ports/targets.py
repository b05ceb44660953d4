"""Interface to targets, which are engines and plain services."""

from typing import Iterator, NamedTuple, Protocol

from catkintrail.core import attempts
from catkintrail.core import prefix_index
from catkintrail.core import target_state

__all__ = [
    "CallAnswer",
    "GenerateCall",
    "LoadAnswer",
    "Order",
    "OrderState",
    "ReservationRecord",
    "ServiceCall",
    "Targets",
]


class GenerateCall(NamedTuple):
    """A request to an engine for a completion.

    Attributes:
        attempt_id: Unique id of the attempt.
        model: Name of the model.
        body: The caller's request, as JSON.
        max_tokens: Limit of output tokens.
        priority: Requests with a higher priority are served first.
        offset: Number of output tokens that the caller has already received.
        group: Address and reservation id of each member of a group of engines;
            empty for a single engine.
        timeout_seconds: Time after which the engine ends the attempt itself.
    """

    attempt_id: str
    model: str
    body: bytes
    max_tokens: int
    priority: int
    offset: int
    group: tuple[tuple[str, str], ...]
    timeout_seconds: float


class ServiceCall(NamedTuple):
    """A request to a plain service."""

    attempt_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class CallAnswer(NamedTuple):
    """The response of a plain service."""

    status: int
    content_type: str
    body: bytes


class ReservationRecord(NamedTuple):
    """Memory that an engine holds under a reservation.

    Attributes:
        reservation_id: Id of the reservation.
        holder: Name of the instance that made the reservation.
        tokens: Reserved memory, in KV tokens.
        in_use: Whether a running request uses the reservation.
        expires_in: Seconds until the deadline of the request; may be negative.
    """

    reservation_id: str
    holder: str
    tokens: int
    in_use: bool
    expires_in: float


class LoadAnswer(NamedTuple):
    """A target's load, reservations and cache events.

    Attributes:
        report: The load.
        reservations: The memory reservations.
        events: The cache events.
        version: Version of the loaded model; "" for a plain service.
    """

    report: target_state.LoadReport
    reservations: tuple[ReservationRecord, ...]
    events: tuple[prefix_index.CacheEvent, ...]
    version: str


class Order(NamedTuple):
    """An instruction to an engine to load a version of its model.

    Attributes:
        order_id: Unique id of the order.
        fencing: Fencing number of the sender's lease.
        version: Version of the model to load.
    """

    order_id: str
    fencing: int
    version: str


class OrderState(NamedTuple):
    """An engine's state after an order.

    Attributes:
        version: Version of the model that is loaded or being loaded.
        fencing: The highest fencing number that the engine has received.
    """

    version: str
    fencing: int


class Targets(Protocol):
    """Calls to targets.

    Each method may raise errors.TargetError, which has a verdict on whether the
    target may have run the call.
    """

    def generate(
        self,
        address: str,
        call: GenerateCall,
        timeout: float,
    ) -> Iterator[attempts.Chunk]:
        """Streams a completion.

        Args:
            address: The engine's `IP:port`.
            call: The request.
            timeout: Seconds after which the call fails.
        """

    def cancel(self, address: str, attempt_id: str) -> None:
        """Ends an attempt on an engine."""

    def call(
        self, address: str, call: ServiceCall, timeout: float
    ) -> CallAnswer:
        """Sends a request to a plain service."""

    def reserve(
        self,
        address: str,
        reservation_id: str,
        holder: str,
        tokens: int,
        expires_in: float,
    ) -> None:
        """Reserves KV memory on an engine."""

    def free(self, address: str, reservation_id: str) -> None:
        """Frees a reservation; an unknown id is not an error."""

    def read_load(self, address: str, target: str, after: int) -> LoadAnswer:
        """Returns a target's load.

        Args:
            address: The target's `IP:port`.
            target: The target's name.
            after: Sequence number after which cache events are returned; if
                negative, none are returned.
        """

    def order(self, address: str, order: Order) -> OrderState:
        """Sends an order to an engine; returns the engine's new state."""
