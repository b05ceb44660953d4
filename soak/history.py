"""Records of a soak run, by callers, targets and the operator."""

from typing import NamedTuple

__all__ = [
    "Arrival",
    "Execution",
    "FaultInterval",
    "History",
    "Probe",
    "ReservationUse",
    "SentRequest",
]


class SentRequest(NamedTuple):
    """A request that a caller sent, and its response.

    All times of the records are in seconds of `time.monotonic` in the soak's
    process.

    Attributes:
        request_id: Id of the request.
        route: Name of the route.
        path: Request target with the path.
        body: Request body.
        key: API key of the caller.
        instance: Name of the instance to which the request was sent.
        sent_at: When the request was written, or created if the connection
            failed.
        deadline_seconds: Time from the request to the caller's deadline.
        is_written: Whether the connection succeeded and the request was
            written.
        disconnected_at: When the caller disconnected early; 0.0 if it did not.
        status: Status of the response; 0 if there was none.
        engine_stamp: Target named in the response; "" if none.
        response_body: Response body as far as it was received.
        is_complete: Whether the response was received to its end.
        ended_at: When the response or the connection ended.
    """

    request_id: str
    route: str
    path: str
    body: bytes
    key: str
    instance: str
    sent_at: float
    deadline_seconds: float
    is_written: bool = False
    disconnected_at: float = 0.0
    status: int = 0
    engine_stamp: str = ""
    response_body: bytes = b""
    is_complete: bool = False
    ended_at: float = 0.0


class Arrival(NamedTuple):
    """A request that reached a target.

    Attributes:
        request_id: Id of the request.
        arrived_at: When the target had read the request.
        target: Name of the target.
        service: Service of the target.
        has_run: Whether the target began to execute the request.
        organisation: Organisation named by the instance.
        path: Request target with the path.
        body: Request body.
        has_key: Whether the request contained the caller's key.
        deadline_ms: Remaining time given in the request; infinite if none.
        expected_target: Name of the target that the instance has addressed.
    """

    request_id: str
    arrived_at: float
    target: str
    service: str
    has_run: bool
    organisation: str
    path: str
    body: bytes
    has_key: bool
    deadline_ms: float
    expected_target: str


class Execution(NamedTuple):
    """The interval in which a target executed a request."""

    request_id: str
    target: str
    started_at: float
    ended_at: float


class ReservationUse(NamedTuple):
    """A reservation of engine memory that has ended.

    Attributes:
        target: Name of the target that held the reservation.
        reservation: Id of the reservation.
        created_at: When the reservation was made.
        last_used_at: When the last request that used the reservation ended;
            0.0 if no request used it.
        ended_at: When the reservation was released or expired, or the run
            ended.
        had_concurrent_use: Whether two requests used the reservation at once.
    """

    target: str
    reservation: str
    created_at: float
    last_used_at: float
    ended_at: float
    had_concurrent_use: bool


class Probe(NamedTuple):
    """A request to an instance on a route added during the run.

    Attributes:
        instance: Name of the instance.
        start_count: How often the instance had been started.
        route: Name of the route.
        acknowledged_at: When the store had accepted the route.
        sent_at: When the probe was sent.
        status: Status of the response; 0 if there was none.
    """

    instance: str
    start_count: int
    route: str
    acknowledged_at: float
    sent_at: float
    status: int


class FaultInterval(NamedTuple):
    """The interval in which a fault affected a subject.

    Attributes:
        subject: Name of an instance or a target, or "store".
        kind: Kind of the fault.
        started_at: When the fault began.
        ended_at: When the fault ended; infinite while it lasts.
    """

    subject: str
    kind: str
    started_at: float
    ended_at: float


class LimitedTime(NamedTuple):
    """A time in which a target names a limit of requests.

    Attributes:
        target: Name of the target.
        requests_per_second: The limit.
        started_at: Start, in seconds.
        ended_at: End, in seconds.
    """

    target: str
    requests_per_second: float
    started_at: float
    ended_at: float


class History(NamedTuple):
    """All records of a run.

    Attributes:
        sent: Requests that have ended for their callers.
        arrivals: Requests that reached targets.
        executions: Executions of requests by targets.
        reservations: Reservations of engine memory that have ended.
        probes: Requests on routes added during the run.
        fault_intervals: Faults; an entry is replaced when its fault ends.
        key_added_at: When the store accepted each key added during the run, by
            key.
        desk_timeouts: For each change of the time-out of the routes to the
            service "desk": when the store had accepted it, and the time-out in
            seconds.
        key_revoked_at: When the store accepted the removal of each key, by key.
        target_left_at: When the store accepted that each target leaves, by
            name.
        leaving_stated: Request id and target of each response in which a
            target stated that it leaves, and when the response began.
        limits_stated: Request id and target of each response that named a
            limit, and when the response began.
        limited_times: The times in which targets named limits.
        stops: For each stop: name of the instance, time of SIGTERM, time at
            which the process ended; 0.0 until then.
        cut_responses: Ids of the requests whose responses a target has stopped
            on its own.
        unexpected_exits: Names of instances whose process exited without being
            stopped or killed by the soak.
        faults_ended_at: When the last fault ended; empty until then.
        lag_seconds: Delays of the soak's event loop, each longer than the one
            before.
        retry_extras: The extra retries of each settings file written.
    """

    sent: list[SentRequest]
    arrivals: list[Arrival]
    executions: list[Execution]
    reservations: list[ReservationUse]
    probes: list[Probe]
    fault_intervals: list[FaultInterval]
    key_added_at: dict[str, float]
    desk_timeouts: list[tuple[float, float]]
    key_revoked_at: dict[str, float]
    target_left_at: dict[str, float]
    leaving_stated: list[tuple[str, str, float]]
    limits_stated: list[tuple[str, str, float]]
    limited_times: list[LimitedTime]
    stops: list[tuple[str, float, float]]
    cut_responses: set[str]
    unexpected_exits: list[str]
    faults_ended_at: list[float]
    lag_seconds: list[float]
    retry_extras: list[int]

    def has_fault(
        self, subjects: tuple[str, ...], start: float, end: float
    ) -> bool:
        """Returns whether a fault affected a subject between two times."""
        return any(
            interval.subject in subjects
            and interval.started_at <= end
            and interval.ended_at >= start
            for interval in self.fault_intervals
        )


def make_history() -> History:
    """Returns an empty history."""
    return History(
        sent=[],
        arrivals=[],
        executions=[],
        reservations=[],
        probes=[],
        fault_intervals=[],
        key_added_at={},
        desk_timeouts=[],
        key_revoked_at={},
        target_left_at={},
        leaving_stated=[],
        limits_stated=[],
        limited_times=[],
        stops=[],
        cut_responses=set(),
        unexpected_exits=[],
        faults_ended_at=[],
        lag_seconds=[],
        retry_extras=[],
    )
