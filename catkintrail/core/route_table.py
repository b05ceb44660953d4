"""The configuration of routes, API keys and services."""

from typing import NamedTuple

__all__ = [
    "CallerLimits",
    "Configuration",
    "EngineFigures",
    "RouteKind",
    "Organisation",
    "Route",
    "RouteTable",
    "Service",
    "WeightedService",
]

import enum


class RouteKind(enum.Enum):
    """Kind of a route's requests, which decides whether retries are safe."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(NamedTuple):
    """A service and the share of a route's requests that go to it."""

    service: str
    weight: float


class Route(NamedTuple):
    """The services and conditions for requests of a host and path prefix.

    Attributes:
        name: Name of the route.
        host: Host name in lower case, without port.
        path_prefix: Prefix of the path; begins and ends with a slash.
        kind: Kind of the requests.
        services: The services among which requests are split, with weights.
        timeout_ms: Time within which a request gets its final answer.
        goal_ms: Goal for the time to the answer, or to the first event of a
            stream; later answers are of less use to the caller.
        gap_goal_ms: Goal for the longest gap between events of a stream; 0 if
            none is specified.
        max_sends: Maximum number of targets to which a request is sent.
        priority: Rank; 0 is the most urgent.
        is_public: Whether requests need no API key.
        is_resumable: Whether an interrupted stream may be continued by another
            engine.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    services: tuple[WeightedService, ...]
    timeout_ms: float
    goal_ms: float
    gap_goal_ms: float
    max_sends: int
    priority: int
    is_public: bool
    is_resumable: bool

    @property
    def is_retryable(self) -> bool:
        """Whether a request may safely run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


class EngineFigures(NamedTuple):
    """Published figures of a service's engines.

    Attributes:
        kv_tokens: Size of the KV cache, in tokens.
        step_ms: Base time of a decoding step.
        step_ms_per_request: Time added to a step by each request being decoded.
        context_ms_per_1k: Time added to a step by each 1,000 tokens of context
            of the requests being decoded.
        prefill_tokens_per_ms: Prefill rate, without the time for pairs.
        pairs_ms_per_million: Prefill time of a million pairs of a token and an
            earlier one.
        prefill_chunk_tokens: Maximum number of prompt tokens prefilled in a
            step.
        steps_per_pass: Number of steps between two events of a stream.
        mean_prompt_tokens: Mean length of prompts.
    """

    kv_tokens: int
    step_ms: float
    step_ms_per_request: float
    context_ms_per_1k: float
    prefill_tokens_per_ms: float
    pairs_ms_per_million: float
    prefill_chunk_tokens: int
    steps_per_pass: int
    mean_prompt_tokens: float


class Service(NamedTuple):
    """A group of interchangeable targets.

    Attributes:
        name: Name of the service.
        max_connections: Maximum number of connections that a target accepts,
            from all clients together; 0 if not specified.
        engine: Figures of the service's engines; None for a plain service.
        cold_seconds: How long a target is cold after its start.
        cold_per_second: How many requests a second a cold target takes from all
            instances together; 0 if not specified. Not a number if the
            configuration states it in a form that cannot be read.
    """

    name: str
    max_connections: int
    engine: EngineFigures | None
    cold_seconds: float = 0.0
    cold_per_second: float = 0.0


class Organisation(NamedTuple):
    """An organisation that holds API keys.

    Attributes:
        name: Name of the organisation.
        priority: Rank that overrides the priority of routes; None if not
            specified.
    """

    name: str
    priority: int | None


class CallerLimits(NamedTuple):
    """Bounds on what callers may send.

    Attributes:
        max_header_bytes: Maximum size of the request line and the headers.
        max_body_bytes: Maximum size of a request body.
        header_timeout_ms: Maximum time for receiving the headers.
        idle_timeout_ms: Maximum idle time of a persistent connection.
    """

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 4 << 20
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Configuration(NamedTuple):
    """One version of the configuration.

    Attributes:
        version: Number that increases with each change.
        routes: All routes.
        services: All services, by name.
        organisations: The organisation that holds each API key; None if
            requests need no key.
        limits: Bounds on what callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: dict[str, Organisation] | None
    limits: CallerLimits


class RouteTable:
    """Index of routes by host and path prefix.

    Attributes:
        configuration: The configuration that contains the routes.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route of a host with the longest matching path prefix.

        Args:
            host: Host header of the request; may contain a port.
            path: Path of the request.

        Returns:
            The route; None if no route matches.
        """
        for route in self._by_host.get(_host_name(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _host_name(host: str) -> str:
    return host.partition(":")[0].lower()
