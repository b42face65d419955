"""Immutable snapshot of the routes, services and organisations in force."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


@enum.unique
class Repeatability(enum.StrEnum):
    """How often a request of a route may run.

    ``repeatable`` requests may run any number of times; ``resumable`` streams
    may be continued on another target after the last event received; ``once``
    requests run at most once.
    """

    repeatable = 'repeatable'
    resumable = 'resumable'
    once = 'once'


@dataclass(frozen=True, slots=True)
class Route:
    """Services and limits for requests of one host and path prefix.

    :param path_prefix: begins and ends with a slash.
    :param services: names of services with their share of the requests.
    :param streams: whether responses are event streams.
    :param time_limit: seconds within which a request must be answered.
    :param latency_target: target time to the response or the first event of a
        stream, seconds.
    :param max_event_gap: target for the longest gap between two events of a
        stream, seconds; 0 for none.
    :param priority: 0 is the most urgent.
    :param max_attempts: maximum number of targets that may run one request.
    :param open_to_all: requests need no key.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[tuple[str, float], ...]
    repeatability: Repeatability
    streams: bool
    time_limit: float
    latency_target: float
    max_event_gap: float
    priority: int
    max_attempts: int
    open_to_all: bool


@dataclass(frozen=True, slots=True)
class ModelSpec:
    """A model that engines of a service can load.

    :param size: memory of its weights, MB.
    :param adapter_size: memory of one adapter, MB.
    :param cold_seconds: duration of a load from the weight store.
    :param disk_seconds: duration of a load from a copy on the engine's disk.
    :param warm_seconds: duration of a load from a copy in main memory.
    :param adapters: number of adapters that requests can name.
    """

    name: str
    size: float
    adapter_size: float
    cold_seconds: float
    disk_seconds: float
    warm_seconds: float
    adapters: int = 0


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Capacity of each model engine of a service.

    :param slots: number of requests that run concurrently.
    :param token_capacity: tokens of running requests and cached prompts.
    :param weights_memory: memory for weights and adapters, MB.
    :param adapter_slots: maximum number of loaded adapters.
    :param loads_per_second: limit for loads from the weight store, over all
        engines.
    """

    slots: int
    token_capacity: float
    weights_memory: float
    adapter_slots: int
    loads_per_second: float
    models_by_name: Mapping[str, ModelSpec]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service and, if it runs models, the capacity of its engines.

    :param max_connections: limit of one target for the connections of all
        instances.
    :param health_path: path of the targets' health check.
    :param cold_rate: requests per second that a cold target takes from all
        instances together; 0 for no such limit.
    :param cold_seconds: time for which a target is cold after its start.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None
    health_path: str = '/healthz'
    cold_rate: float = 0
    cold_seconds: float = 0


@dataclass(frozen=True, slots=True)
class OrganisationLimits:
    """Priority and rate limit of an organisation.

    :param priority: overrides the priority of the route; ``None`` for none.
    :param rate: tokens or requests per second; 0 means no limit.
    :param burst: tokens or requests allowed above the rate.
    :param counts_tokens: whether rate and burst are in tokens.
    :param default_tokens: tokens charged for a request that does not state
        them.
    """

    name: str
    priority: int | None
    rate: float
    burst: float
    counts_tokens: bool
    default_tokens: float


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One generation of the configuration.

    :param generation: grows with each change; 0 before the first.
    :param routes_by_host: routes of each host, longest prefix first.
    :param organisations_by_key: empty if no request needs a key.
    :param requires_keys: whether requests of routes that are not open to all
        need a key.
    :param idle_seconds: time for which callers may keep a connection idle.
    :param max_body_bytes: size limit of a request body.
    """

    generation: int = 0
    routes_by_host: Mapping[str, tuple[Route, ...]] = field(
        default_factory=dict,
    )
    services_by_name: Mapping[str, ServiceSpec] = field(default_factory=dict)
    organisations_by_key: Mapping[str, OrganisationLimits] = field(
        default_factory=dict
    )
    organisations_by_name: Mapping[str, OrganisationLimits] = field(
        default_factory=dict
    )
    requires_keys: bool = False
    idle_seconds: float = 15
    max_body_bytes: int = 4194304

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, or ``None``.

        :param host: value of the ``Host`` header.
        :param path: raw path without the query.
        """
        routes = self.routes_by_host.get(host)
        if routes is None:
            routes = self.routes_by_host.get(host.partition(':')[0], ())
        for route in routes:
            if path.startswith(route.path_prefix):
                return route
        return None
