"""What the system asks of targets."""

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
    """A completion asked of an engine.

    Attributes:
        attempt_id: Never used before.
        model: The model.
        body: The caller's request, as JSON.
        max_tokens: The most tokens of output.
        priority: Higher goes first.
        offset: Tokens of the answer that the caller has already.
        group: Addresses and reservation ids of the group's members; empty
            for one engine.
        timeout_seconds: When the engine itself has to end the attempt.
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
    """A call of a plain service."""

    attempt_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes


class CallAnswer(NamedTuple):
    """The answer of a plain service."""

    status: int
    content_type: str
    body: bytes


class ReservationRecord(NamedTuple):
    """Memory that an engine holds under a reservation.

    Attributes:
        reservation_id: The reservation.
        holder: The instance that made it.
        tokens: KV tokens.
        in_use: Whether a running request uses it.
        expires_in: Seconds until the deadline of its request; may be below 0.
    """

    reservation_id: str
    holder: str
    tokens: int
    in_use: bool
    expires_in: float


class LoadAnswer(NamedTuple):
    """What a target says of itself.

    Attributes:
        report: Its load.
        reservations: Memory held under reservations.
        events: Cache events.
        version: The version of the model that it has loaded; "" for a
            service.
    """

    report: target_state.LoadReport
    reservations: tuple[ReservationRecord, ...]
    events: tuple[prefix_index.CacheEvent, ...]
    version: str


class Order(NamedTuple):
    """A wanted state of an engine.

    Attributes:
        order_id: Never used before.
        fencing: Fencing number of the sender's lease.
        version: Version of the model to have loaded.
    """

    order_id: str
    fencing: int
    version: str


class OrderState(NamedTuple):
    """What an engine says of orders.

    Attributes:
        version: The version it has loaded or is loading.
        fencing: The highest fencing number it has seen.
    """

    version: str
    fencing: int


class Targets(Protocol):
    """Calls to targets; each raises errors.TargetError with a verdict."""

    def generate(
        self,
        address: str,
        call: GenerateCall,
        timeout: float,
    ) -> Iterator[attempts.Chunk]:
        """Streams a completion.

        Args:
            address: The engine's `IP:port`.
            call: The completion.
            timeout: Seconds until the call is given up.
        """

    def cancel(self, address: str, attempt_id: str) -> None:
        """Ends an attempt on an engine."""

    def call(
        self, address: str, call: ServiceCall, timeout: float
    ) -> CallAnswer:
        """Calls a plain service."""

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
        """Frees a reservation; an unknown one is no error."""

    def read_load(self, address: str, target: str, after: int) -> LoadAnswer:
        """Returns a target's load.

        Args:
            address: Its `IP:port`.
            target: Its name.
            after: Cache events after this number come along; none where it
                is negative.
        """

    def order(self, address: str, order: Order) -> OrderState:
        """Gives an engine an order; returns its state afterwards."""
