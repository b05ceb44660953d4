"""Interfaces of the relay to callers, targets, the router and metrics."""

from typing import Callable, NamedTuple, Protocol

from catkintrail import verdict as verdicts
from catkintrail.core import memory_lease
from catkintrail.core import request_router
from catkintrail.core import target_notices
from catkintrail.core import targets as target_records

__all__ = [
    "TargetResponse",
    "Caller",
    "ResponseWriter",
    "CallerRequest",
    "Extension",
    "MemoryLeases",
    "RelayMetrics",
    "StatementRecorder",
    "TargetSender",
    "Router",
    "TargetRequest",
]


# Records what an answer states of its target, and when the request was sent.
StatementRecorder = Callable[
    [target_records.Target, target_notices.TargetStatement, float], None
]


# Returns until when to wait for a silent target once more, in seconds; a time
# that has passed if the wait is to be given up.
Extension = Callable[[], float]


class CallerRequest(NamedTuple):
    """A caller's request with its complete body.

    Attributes:
        request_id: Unique for each attempt of a caller.
        method: HTTP method, such as `POST`.
        uri: Path and query as the caller sent them.
        host: Value of the `Host` header.
        headers: All headers as the caller sent them.
        body: The body.
        api_key: The caller's API key; "" if there is none.
        deadline_ms: How long the caller waits for the response.
        prompt_tokens: Length of the prompt; 0 if not stated.
        output_tokens: Limit of output tokens; 0 if not stated.
        last_event: Id of the last event that the caller received; -1 if there
            is none.
        received_at: When the request's head was read, in seconds.
        prompt_parts: Ids of the parts of the prompt that other requests may
            share, in order.
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
    prompt_parts: tuple[str, ...] = ()


class ResponseWriter(Protocol):
    """Sends the response to a caller.

    Each method may raise errors.CallerDisconnectedError.
    """

    def start(
        self,
        status: int,
        headers: tuple[tuple[str, str], ...],
        length: int | None,
    ) -> None:
        """Sends the response head.

        Args:
            status: Status code.
            headers: End-to-end headers.
            length: Bytes in the body; None for a chunked body.
        """

    def write(self, data: bytes) -> None:
        """Sends a part of the body."""

    def hold(self, size: int) -> None:
        """Counts bytes of an answer that are kept before they are sent.

        Raises:
            errors.MemorySpentError: There is no memory for them.
        """

    def abort(self) -> None:
        """Closes the connection, so that the caller detects a truncation."""


class Caller(Protocol):
    """State of a caller's connection while its request is served.

    Attributes:
        is_disconnected: Whether the caller has closed the connection.
        is_interrupted: Whether the request has to be answered now, as the
            process ends.
    """

    is_disconnected: bool
    is_interrupted: bool

    def set_disconnect_callback(self, shut: Callable[[], None]) -> None:
        """Sets the function to call when the request has to end.

        That is when the caller disconnects, or the request is interrupted. If
        that has happened already, the function is called at once.
        """

    def clear_disconnect_callback(self) -> None:
        """Removes the function set by `set_disconnect_callback`."""


class TargetRequest(NamedTuple):
    """A request to send to a target.

    Attributes:
        request_id: The caller's request id.
        method: HTTP method as the caller sent it.
        uri: Path and query as the caller sent them.
        host: Value of the `Host` header as the caller sent it.
        headers: The caller's headers.
        body: The caller's body.
        organisation: Name of the organisation that holds the API key; "" if
            there is none.
        helpers: Engines that prefill parts of the prompt, each with the id of
            the reservation of memory for the part, or "" if there is none.
        resume_after: Id of the last event received from a target, after which
            the stream is to be resumed; -1 if there is none.
        deadline: When the response becomes useless, in seconds.
        valid_until: Latest time to send the request, in seconds, after which
            the check of the API key is out of date.
        permits: Names of the targets with a limit for which the request has a
            permit.
        carrier_zones: Zones of the instances that may get the body; None for
            all.
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
    permits: tuple[str, ...] = ()
    carrier_zones: frozenset[str] | None = None


class TargetResponse(Protocol):
    """A target's response whose head has been received.

    Attributes:
        status: Status code.
        headers: End-to-end headers.
        is_signed: Whether the response has the target's signature.
        is_reused: Whether the connection has carried an earlier request.
        is_framed: Whether the head states how the end of the body is found;
            otherwise the body ends with the connection.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    is_signed: bool
    is_reused: bool
    is_framed: bool

    def read(self, until: float) -> bytes:
        """Returns the next bytes of the body; b"" when it is complete.

        Args:
            until: When to give up, in seconds.

        Raises:
            errors.TargetError: The response was truncated, or no bytes were
                received in time.
        """

    def close(self) -> None:
        """Releases the connection; closes it if the response is incomplete."""


class MemoryLeases(Protocol):
    """Reserves memory on engines while a request uses it."""

    def reserve(
        self, target: target_records.Target, tokens: int
    ) -> memory_lease.Lease:
        """Reserves memory, and renews the reservation until `release`.

        Args:
            target: The engine.
            tokens: Memory to reserve, in tokens.

        Raises:
            errors.TargetError: The memory is not free, or the engine did not
                respond.
        """

    def release(self, lease: memory_lease.Lease) -> None:
        """Releases the memory in the background."""


class TargetSender(Protocol):
    """Sends requests to targets."""

    def send(
        self,
        target: target_records.Target,
        request: TargetRequest,
        caller: Caller,
        until: float,
        extend: Extension,
    ) -> TargetResponse:
        """Sends a request and waits for the head of its response.

        Args:
            target: The target to send to.
            request: The request to send.
            caller: Cancels the wait when the caller disconnects.
            until: When to give up, in seconds.
            extend: Asked before this wait, or one for a part of the body, is
                given up.

        Raises:
            errors.TargetError: No valid response was received, or it states
                that the request was not run.
            errors.CallerDisconnectedError: The caller has disconnected.
        """


class Router(Protocol):
    """Routing decisions of this instance; see core.request_router."""

    def admit(
        self, host: str, path: str, api_key: str
    ) -> request_router.Admission | verdicts.Refusal:
        """Finds the route of a request, and checks its API key."""

    def place(
        self, request: request_router.PlacementRequest
    ) -> request_router.Placement | verdicts.Refusal:
        """Chooses a target for a request."""

    def record_first_token(
        self, key: str, measured_ms: float, predicted_ms: float
    ) -> None:
        """Records the time to a stream's first event.

        Args:
            key: Key of the send.
            measured_ms: Time from the send to the first event.
            predicted_ms: Predicted time; 0 if unknown.
        """

    def record_attempt_end(
        self,
        key: str,
        target: str,
        is_success: bool,
        is_target_fault: bool,
        is_silent: bool,
    ) -> None:
        """Records the end of a send.

        Args:
            key: Key of the send.
            target: Name of the target that the outcome is attributed to.
            is_success: Whether the response was delivered.
            is_target_fault: Whether the target failed.
            is_silent: Whether the target did not respond in time.
        """

    def acquire_retry(self, service: str) -> bool:
        """Takes a retry from the budget of a service; returns whether it may.

        The placement of the retry has to state that it is counted.
        """

    def find_quarantine(self, traits: tuple[str, ...]) -> float | None:
        """Returns for how many seconds a request is quarantined.

        Args:
            traits: Traits of the request; see core.request_quarantine.

        Returns:
            Time in seconds; None if the request is not quarantined.
        """

    def record_request_crash(
        self,
        target: target_records.Target,
        traits: tuple[str, ...],
        has_begun: bool,
        is_resend: bool,
    ) -> None:
        """Records that a target broke off a response at its start.

        The next `find_quarantine` takes it into account.

        Args:
            target: The target.
            traits: Traits of the request.
            has_begun: Whether the head of the response had arrived.
            is_resend: Whether the request was sent after another target had
                broken off its response in the same way.
        """

    def begin_trial(self, traits: tuple[str, ...]) -> bool:
        """Returns whether a quarantined request may be sent as a trial.

        A request that may be is counted as one.
        """

    def record_request_proof(self, traits: tuple[str, ...]) -> None:
        """Records that a target has answered, or written on a prompt."""

    def find_obstacle(
        self, target: target_records.Target, permits: tuple[str, ...]
    ) -> str:
        """Returns why a target must not be sent a request; "" if it may be.

        Args:
            target: The target.
            permits: Names of the targets for which the request has a permit.
        """

    def mark_target_leaving(self, target: target_records.Target) -> None:
        """Records that a target is leaving, or gone from its address."""


class RelayMetrics(Protocol):
    """Records counts and durations."""

    def record_request(self, outcome: str, seconds: float) -> None:
        """Records the outcome and the duration of a request."""

    def record_first_event(self, seconds: float) -> None:
        """Records the time from a request to its first event."""

    def record_send(self, outcome: str) -> None:
        """Records the outcome of a send to a target."""
