"""Immutable snapshot of the configuration in force."""

import hashlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum, unique


@unique
class OnIsolation(StrEnum):
    """Behaviour of an instance that is cut off from configuration changes."""

    serve = 'serve'
    refuse = 'refuse'


@unique
class TargetKind(StrEnum):
    """Whether a target runs models or is a plain service."""

    engine = 'engine'
    service = 'service'


@unique
class Checkpoint(StrEnum):
    """Where the weights of a model are stored, nearest first."""

    memory = 'memory'
    disk = 'disk'
    remote = 'remote'


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer and its limits over the whole fleet.

    :param rate: tokens per second.
    :param burst: tokens that may be spent at once.
    :param on_isolation: behaviour of an isolated instance.
    :param isolation_limit: seconds for which an isolated instance serves under
        ``serve``.
    """

    organisation_id: str
    rate: float
    burst: float
    on_isolation: OnIsolation = OnIsolation.serve
    isolation_limit: float = 300


@dataclass(frozen=True, slots=True)
class Deployment:
    """A version of a model, optionally with an adapter.

    :param organisations: ids that may use it; empty means all organisations.
    :param replicas: configured number of replicas over all zones.
    :param memory: memory of one replica on a target, MB.
    :param load_seconds: estimated duration of a cold start from the nearest
        checkpoint.
    :param pool: pool whose targets may load it.
    :param base: for an adapter, the deployment of its base model.
    """

    name: str
    model: str
    version: str
    replicas: int
    memory: int
    pool: str
    organisations: frozenset[str] = frozenset()
    adapter: str | None = None
    base: str | None = None
    checkpoint: Checkpoint = Checkpoint.remote
    load_seconds: float = 20
    idle_seconds: float = 300
    priority: int = 0


@dataclass(frozen=True, slots=True)
class Service:
    """A route to plain services.

    :param open_to_all: requests need no key.
    :param repeatable: HTTP methods whose requests may be retried.
    :param tokens: tokens charged for a request.
    """

    route: str
    pool: str
    organisations: frozenset[str] = frozenset()
    open_to_all: bool = False
    repeatable: frozenset[str] = frozenset(('GET', 'HEAD'))
    tokens: int = 1


@dataclass(frozen=True, slots=True)
class Target:
    """A model engine or plain service.

    :param memory: memory for weights, MB.
    :param slots: requests that run concurrently without queueing.
    :param checks_fencing: whether it refuses orders with an outdated fencing
        number.
    """

    target_id: str
    kind: TargetKind
    zone: str
    url: str
    pool: str
    memory: int = 0
    slots: int = 8
    checks_fencing: bool = True
    accelerators: int = 1
    resumes_streams: bool = True


@dataclass(frozen=True, slots=True)
class Policy:
    """Cost weights of placement decisions and limits of the fleet.

    :param cold_start_weight: cost of one second of cold start.
    :param refusal_weight: cost of refusing a request that could have run.
    :param idle_weight: cost of one second of an idle accelerator.
    :param fairness_weight: cost of the share that the worst-served
        organisation lacks.
    :param loads_per_second: rate limit of the weight store.
    """

    cold_start_weight: float = 1
    refusal_weight: float = 1
    idle_weight: float = 1
    fairness_weight: float = 1
    loads_per_second: float = 3
    loads_at_once: int = 4
    adapter_loads_at_once: int = 32
    zone_distance: float = 0.001


@dataclass(frozen=True, slots=True)
class Configuration:
    """One generation of the configuration.

    :param generation: incremented by each accepted change; 0 is the empty
        configuration.
    """

    generation: int = 0
    zones: tuple[str, ...] = ()
    organisations_by_id: Mapping[str, Organisation] = field(
        default_factory=dict,
    )
    organisation_id_by_key_digest: Mapping[str, str] = field(
        default_factory=dict,
    )
    deployments_by_name: Mapping[str, Deployment] = field(default_factory=dict)
    services_by_route: Mapping[str, Service] = field(default_factory=dict)
    targets_by_id: Mapping[str, Target] = field(default_factory=dict)
    policy: Policy = field(default_factory=Policy)


def key_digest(key: str) -> str:
    """Return the digest by which a key is stored and compared.

    :param key: key of the caller.
    :returns: SHA-256 digest in hexadecimal.
    """
    return hashlib.sha256(key.encode()).hexdigest()
