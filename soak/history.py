"""What callers, targets and the operator saw in a run."""

from typing import NamedTuple

__all__ = [
    "Arrival",
    "Disturbance",
    "History",
    "MemoryUse",
    "Probe",
    "Sent",
    "Work",
]


class Sent(NamedTuple):
    """A request that a caller sent, and what came back.

    Attributes:
        request_id: Its id.
        route: Name of its route.
        path: Its target.
        body: Its body.
        key: Its API key.
        instance: The instance that took it.
        sent_at: When its last byte was sent, by the soak's clock.
        patience_seconds: The caller's deadline.
        is_sent: Whether the connection stood and the request was written.
        left_at: When the caller left; 0.0 if it stayed.
        status: Of the answer; 0 where none came.
        stamp: The target that signed the answer; "" where none did.
        answer: The body of the answer.
        is_whole: Whether the answer ended as complete.
        ended_at: When the answer ended, or the connection.
    """

    request_id: str
    route: str
    path: str
    body: bytes
    key: str
    instance: str
    sent_at: float
    patience_seconds: float
    is_sent: bool = False
    left_at: float = 0.0
    status: int = 0
    stamp: str = ""
    answer: bytes = b""
    is_whole: bool = False
    ended_at: float = 0.0


class Arrival(NamedTuple):
    """A request that reached a target.

    Attributes:
        request_id: Its id.
        at: When.
        target: Name of the target.
        service: Service of the target.
        has_run: Whether the target began to work on it.
        organisation: That the instance named.
        path: Its target.
        body: Its body.
        has_key: Whether the caller's key was passed on.
        left_ms: The deadline that was passed on.
    """

    request_id: str
    at: float
    target: str
    service: str
    has_run: bool
    organisation: str
    path: str
    body: bytes
    has_key: bool
    left_ms: float


class Work(NamedTuple):
    """A span in which a target was at work on a request."""

    request_id: str
    target: str
    since: float
    until: float


class MemoryUse(NamedTuple):
    """A reservation that ended.

    Attributes:
        target: Where it was.
        reservation: Its id.
        made_at: When it was made.
        used_until: When the last request that used it ended; 0.0 if none did.
        ended_at: When it was released or lapsed.
        has_collided: Whether two requests used it at a time.
    """

    target: str
    reservation: str
    made_at: float
    used_until: float
    ended_at: float
    has_collided: bool


class Probe(NamedTuple):
    """A request to an instance on a route that came late.

    Attributes:
        instance: The instance.
        start: How often the instance had been started.
        route: Name of the route.
        acknowledged_at: When the store had accepted the route.
        sent_at: When the probe was sent.
        status: Of the answer; 0 where none came.
    """

    instance: str
    start: int
    route: str
    acknowledged_at: float
    sent_at: float
    status: int


class Disturbance(NamedTuple):
    """A span in which a fault was at work on a subject.

    Attributes:
        subject: An instance, a target, or "store".
        kind: The fault.
        since: Its begin.
        until: Its end; infinite while it lasts.
    """

    subject: str
    kind: str
    since: float
    until: float


class History(NamedTuple):
    """Records of a run.

    Attributes:
        sent: Requests whose callers are done with them.
        arrivals: At targets.
        work: Of targets.
        memory: Reservations that ended.
        probes: Of routes that came late.
        disturbances: Faults; those that last are replaced at their end.
        added: When each key that came late was acknowledged.
        desk_timeouts: Time-outs of the desk's routes, with the time at which
            the store had accepted each.
        revoked: When the loss of each key was acknowledged.
        left: When the leaving of each target was acknowledged.
        stops: Instance, SIGTERM, end of its process; 0.0 while it runs.
        own_ends: Instances whose process ended by itself.
        calm_since: When the last fault was over; 0.0 before.
        lag_seconds: The longest delay of the soak's own clock.
    """

    sent: list[Sent]
    arrivals: list[Arrival]
    work: list[Work]
    memory: list[MemoryUse]
    probes: list[Probe]
    disturbances: list[Disturbance]
    added: dict[str, float]
    desk_timeouts: list[tuple[float, float]]
    revoked: dict[str, float]
    left: dict[str, float]
    stops: list[tuple[str, float, float]]
    own_ends: list[str]
    calm_since: list[float]
    lag_seconds: list[float]

    def is_disturbed(
        self, subjects: tuple[str, ...], since: float, until: float
    ) -> bool:
        """Returns whether a fault was at work on one of the subjects."""
        return any(
            found.subject in subjects
            and found.since <= until
            and found.until >= since
            for found in self.disturbances
        )


def new_history() -> History:
    """Returns an empty history."""
    return History([], [], [], [], [], [], {}, [], {}, {}, [], [], [], [])
