"""The configuration that requests are served by: routes, keys, services."""

from typing import NamedTuple

__all__ = [
    "CallerLimits",
    "Configuration",
    "EngineFigures",
    "Kind",
    "Organisation",
    "Route",
    "RouteTable",
    "Service",
    "WeightedService",
]

import enum


class Kind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(NamedTuple):
    """A service and the share of a route's requests that go to it."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of a host and path go, and under which conditions.

    Attributes:
        name: Its name.
        host: Host name without port, lower case.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        services: The services that serve it, by weight.
        timeout_ms: A request gets its final answer by then.
        goal_ms: Time to the answer, or to a stream's first event, within
            which it is of full use to the caller.
        gap_goal_ms: The longest useful pause between events of a stream; 0
            where none is stated.
        max_sends: Targets to which one request may be sent.
        priority: Rank; 0 is the most urgent.
        is_public: Whether no API key is needed.
        is_resumable: Whether a stream may go on at another engine.
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    services: tuple[WeightedService, ...]
    timeout_ms: float
    goal_ms: float
    gap_goal_ms: float
    max_sends: int
    priority: int
    is_public: bool
    is_resumable: bool

    @property
    def is_repeatable(self) -> bool:
        """Whether running a request twice does no harm."""
        if self.kind is Kind.STREAMING:
            return self.is_resumable
        return self.kind is Kind.IDEMPOTENT


class EngineFigures(NamedTuple):
    """Published figures of a service's engines.

    Attributes:
        kv_tokens: Memory, in tokens.
        step_ms: Time of a decoding step.
        step_ms_per_request: Added to a step by each request that decodes.
        context_ms_per_1k: Added to a step for 1,000 tokens of context of each
            request that decodes.
        prefill_tokens_per_ms: Rate of prefill.
        pairs_ms_per_million: Prefill time of a million pairs of a token and
            an earlier one.
        prefill_chunk_tokens: The most prompt tokens prefilled in a step.
        steps_per_pass: Steps between two events of a stream.
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
    """A group of targets that are alike.

    Attributes:
        name: Its name.
        max_connections: Connections that a target accepts of all callers.
        engine: Figures of its engines; None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineFigures | None


class Organisation(NamedTuple):
    """An organisation that holds API keys.

    Attributes:
        name: Its name.
        priority: Goes before the priority of routes; None where not stated.
    """

    name: str
    priority: int | None


class CallerLimits(NamedTuple):
    """Bounds on what callers may send.

    Attributes:
        max_header_bytes: Of a request line and its headers.
        max_body_bytes: Of a body.
        header_timeout_ms: The longest time for sending the headers.
        idle_timeout_ms: The longest idle time of a kept connection.
    """

    max_header_bytes: int = 16 << 10
    max_body_bytes: int = 4 << 20
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Configuration(NamedTuple):
    """One version of the configuration.

    Attributes:
        version: Rises with each change.
        routes: All routes.
        services: All services, by name.
        organisations: The holder of each API key; None where requests need
            no key.
        limits: Bounds on what callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    organisations: dict[str, Organisation] | None
    limits: CallerLimits


class RouteTable:
    """Finds the route of a request.

    Attributes:
        configuration: The version that it was built from.
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._by_host: dict[str, list[Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))

    def find(self, host: str, path: str) -> Route | None:
        """Returns the host's route with the longest prefix of the path."""
        for route in self._by_host.get(_host_name(host), ()):
            if path.startswith(route.path_prefix):
                return route
        return None


def _host_name(host: str) -> str:
    return host.partition(":")[0].lower()
