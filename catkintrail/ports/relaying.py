"""What relaying asks of callers, targets, and this instance's decisions."""

from typing import Callable, NamedTuple, Protocol

from catkintrail import verdict as verdicts
from catkintrail.core import memory_lease
from catkintrail.core import request_router
from catkintrail.core import targets as target_records

__all__ = [
    "Answer",
    "Caller",
    "CallerReply",
    "CallerRequest",
    "MemoryLeases",
    "RelayMetrics",
    "RelayTargets",
    "Router",
    "TargetRequest",
]


class CallerRequest(NamedTuple):
    """A caller's request with its whole body.

    Attributes:
        request_id: Unique for each try of a caller.
        method: Such as `POST`.
        uri: Path and query as the caller sent them.
        host: Value of the `Host` header.
        headers: End-to-end headers that targets get unchanged.
        body: The body.
        api_key: The caller's key; "" for none.
        deadline_ms: How long the caller waits.
        prompt_tokens: Length of the prompt; 0 where not stated.
        output_tokens: The most output tokens.
        last_event: Id of the last event that the caller has; -1 for none.
        received_at: When its head was read, in seconds.
    """

    request_id: str
    method: str
    uri: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    api_key: str
    deadline_ms: float
    prompt_tokens: int
    output_tokens: int
    last_event: int
    received_at: float


class CallerReply(Protocol):
    """Sends the answer; each method may raise errors.CallerGoneError."""

    def start(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        length: int | None,
    ) -> None:
        """Sends the head; a length of None is an answer in pieces."""

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""

    def abort(self) -> None:
        """Closes the connection, so that the answer is seen to be cut."""


class Caller(Protocol):
    """The other end of a caller's connection.

    Attributes:
        is_gone: Whether the caller has closed it.
    """

    is_gone: bool

    def attach(self, shut: Callable[[], None]) -> None:
        """Has a function called when the caller leaves; at once if it has."""

    def detach(self) -> None:
        """Undoes `attach`."""


class TargetRequest(NamedTuple):
    """A request as a target gets it.

    Attributes:
        request_id: The caller's request id.
        method: As the caller sent it.
        uri: As the caller sent it.
        host: As the caller sent it.
        headers: The caller's headers.
        body: The caller's body.
        organisation: Name of the key's holder; "" for none.
        helpers: Engines that prefill parts of the prompt, with the id of the
            reservation that keeps a part of its memory there, or "".
        resume_after: Id of the last event that arrived; -1 for none.
        deadline: When the answer is of no use any more, in seconds.
        valid_until: The request must not be sent later.
    """

    request_id: str
    method: str
    uri: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    organisation: str
    helpers: tuple[tuple[target_records.Target, str], ...]
    resume_after: int
    deadline: float
    valid_until: float


class Answer(Protocol):
    """A target's answer whose head has come.

    Attributes:
        status: Status code.
        headers: End-to-end headers.
        is_signed: Whether it bears the target's signature.
        is_reused: Whether it came on a connection that was used before.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    is_signed: bool
    is_reused: bool

    def read(self, until: float) -> bytes:
        """Returns the next bytes of the body; b"" at its whole end.

        Raises:
            errors.TargetError: The answer was cut, or nothing came in time.
        """

    def close(self) -> None:
        """Gives the connection back; closes it if the answer is not whole."""


class MemoryLeases(Protocol):
    """Reserves memory on engines for as long as a request uses it."""

    def reserve(
        self, target: target_records.Target, tokens: int
    ) -> memory_lease.Lease:
        """Reserves memory and keeps it reserved.

        Raises:
            errors.TargetError: It is not free, or the engine did not answer.
        """

    def give_up(self, lease: memory_lease.Lease) -> None:
        """Gives the memory back, without waiting for it."""


class RelayTargets(Protocol):
    """Sends requests to targets."""

    def send(
        self,
        target: target_records.Target,
        request: TargetRequest,
        caller: Caller,
        until: float,
    ) -> Answer:
        """Sends a request and waits for the head of its answer.

        Args:
            target: Where to.
            request: What to send.
            caller: Whose leaving ends the wait.
            until: When to give up, in seconds.

        Raises:
            errors.TargetError: There is no answer, or one that says that the
                request was not run.
            errors.CallerGoneError: The caller has left.
        """


class Router(Protocol):
    """The decisions of this instance; see core.request_router."""

    def admit(
        self, host: str, path: str, api_key: str
    ) -> request_router.Admission | verdicts.Refusal:
        """Decides whether a request may be served."""

    def place(
        self, request: request_router.PlaceRequest
    ) -> request_router.Grant | verdicts.Refusal:
        """Chooses a target."""

    def note_first_token(
        self, key: str, measured_ms: float, predicted_ms: float
    ) -> None:
        """Notes that a stream's first event came."""

    def note_end(
        self,
        key: str,
        target: str,
        is_success: bool,
        is_fault: bool,
        is_silent: bool,
    ) -> None:
        """Notes the end of a send."""

    def note_leaving(self, target: str) -> None:
        """Notes that a target is not at its address any more."""


class RelayMetrics(Protocol):
    """Where counts and times go."""

    def note_request(self, outcome: str, seconds: float) -> None:
        """Counts a request that ended."""

    def note_first_event(self, seconds: float) -> None:
        """Takes a time to the first event."""

    def note_send(self, outcome: str) -> None:
        """Counts a send that ended."""
