"""Routes, services and organisations in force, as one immutable snapshot."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field


@enum.unique
class Repeatability(enum.StrEnum):
    """What may be done again with a request of a route.

    ``repeatable`` requests may run any number of times; ``resumable`` streams
    may be continued elsewhere after the last event that arrived; ``once``
    requests run at most once.
    """

    repeatable = 'repeatable'
    resumable = 'resumable'
    once = 'once'


@dataclass(frozen=True, slots=True)
class Route:
    """Where requests of one host and path prefix go.

    :param path_prefix: begins and ends with a slash.
    :param services: names with their share of the requests.
    :param time_limit: seconds in which a request must have its final answer.
    :param latency_target: seconds to the answer, or to a stream's first event.
    :param max_event_gap: seconds between two events of a stream; 0 for none.
    :param priority: 0 is the most urgent.
    :param max_attempts: most targets that one request is sent to.
    :param open_to_all: no key is needed.
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
    :param cold_seconds: load from the weight store.
    :param disk_seconds: load from a copy on the engine's disk.
    :param warm_seconds: load from a copy in the engine's memory.
    """

    name: str
    size: float
    adapter_size: float
    cold_seconds: float
    disk_seconds: float
    warm_seconds: float


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """What each model engine of a service offers.

    :param slots: requests that run at once.
    :param token_capacity: tokens of running requests and kept prompts.
    :param weights_size: memory for weights and adapters, MB.
    :param adapter_slots: adapters loaded at once.
    :param loads_per_second: loads from the weight store over all engines.
    """

    slots: int
    token_capacity: float
    weights_size: float
    adapter_slots: int
    loads_per_second: float
    models_by_name: Mapping[str, ModelSpec]


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service and, where it runs models, its engines.

    :param max_connections: that one target takes from all instances.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class OrganisationLimits:
    """An organisation as requests are charged to it.

    :param priority: goes before that of the route; ``None`` for none.
    :param rate: tokens (or requests) a second; 0 means no limit.
    :param burst: above the rate.
    :param counts_tokens: whether rate and burst are in tokens.
    :param default_tokens: charged for a request that states no tokens.
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
    :param routes_by_host: longest prefix first.
    :param organisations_by_key: empty when no request needs a key.
    :param idle_seconds: for which callers may keep connections unused.
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
        """Return the route with the longest prefix that begins a path.

        :param host: value of the host header.
        :param path: raw path without the query.
        """
        routes = self.routes_by_host.get(host)
        if routes is None:
            routes = self.routes_by_host.get(host.partition(':')[0], ())
        for route in routes:
            if path.startswith(route.path_prefix):
                return route
        return None
