"""Decoders for objects of the platform's store.

The store validates configurations. Entries of targets may come from other
writers, so each is validated separately and malformed ones are ignored.
"""

import ipaddress
from collections.abc import Iterable, Mapping
from typing import Annotated, Any

import msgspec

from cowsliprack.exceptions import ConfigurationError
from cowsliprack.state.routing_table import (
    EngineSpec,
    ModelSpec,
    OrganisationLimits,
    Repeatability,
    Route,
    RoutingTable,
    ServiceSpec,
)
from cowsliprack.state.target_registry import (
    LoadedModel,
    TargetRecord,
    TargetState,
)

_MS = 1000


class _Split(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    # 'safe', 'unsafe' or 'stream'; only 'safe' requests may run more than once.
    kind: str
    timeout_ms: float
    goal_ms: float = 0
    priority: int = 0
    service: str = ''
    split: list[_Split] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float = 0


class _Model(msgspec.Struct):
    name: str
    # Memory of the weights of this model, MB.
    weights_size: float
    load_s: float
    adapters: int = 0
    adapter_mb: float = 0
    warm_s: float = 0
    disk_s: float = 0


class _Engine(msgspec.Struct):
    slots: int
    kv_capacity: float
    # Memory of one engine for all weights and adapters, MB.
    weights_size: float
    adapter_slots: int = 0
    loads_per_s: float = 0
    models: list[_Model] = []


_MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5
# Stands for bytes that are no text.
_UNREADABLE = '\ufffd'
# Larger integers do not fit into the messages between instances.
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 64
    engine: _Engine | None = None
    health_path: str = '/healthz'
    # Requests per second that a cold target takes from all instances together.
    cold_per_s: float = 0
    # Time for which a target is cold after its start.
    cold_start_s: float = 0


class _Limits(msgspec.Struct):
    max_body_bytes: int = 4194304
    idle_timeout_ms: float = 15000


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    # What limits count: 'tokens' or 'requests'.
    unit: str = 'requests'
    plain_tokens: float = 1
    rate_per_s: float = 0
    burst: float = 0


class _Configuration(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class HeldModel(msgspec.Struct):
    """A model in the memory of an engine, with its loaded adapters."""

    name: str
    version: int = 0
    adapters: list[str] = []


class _AtHand(msgspec.Struct):
    in_memory: list[str] = []
    on_disk: list[str] = []


class _Server(msgspec.Struct):
    """Entry of one target, with fields shared with the report of an engine."""

    service: str
    addr: str
    zone: str
    state: str
    slots: _Count = 1
    # Version of the software, unlike the 'version' of a model's weights.
    version: str = ''
    # Start of the process, milliseconds since the epoch.
    born: _Count = 0
    # Number of orders that the engine has accepted since its start.
    seq: _Count = 0
    models: list[HeldModel] = []
    at_hand: _AtHand = msgspec.field(default_factory=_AtHand)
    busy: bool = False
    # How much longer the target stays cold.
    cold_left_ms: float = 0


class EngineReport(msgspec.Struct):
    """Report of an engine on its state.

    :param seq: number of orders accepted since its start.
    :param pending: adapters being loaded, as ``MODEL/NAME@VERSION``.
    """

    seq: int
    busy: bool = False
    born: int = 0
    models: list[HeldModel] = []
    at_hand: _AtHand = msgspec.field(default_factory=_AtHand)
    pending: list[str] = []
    active: int = 0
    queued: int = 0


def decode_configuration(spec: Any) -> RoutingTable:
    """Decode the configuration in a store object.

    :param spec: decoded JSON of the object.
    :raises ConfigurationError: the configuration is malformed; it must be
        rejected as a whole.
    """
    try:
        wire = msgspec.convert(spec, _Configuration, strict=False)
    except msgspec.ValidationError as error:
        raise ConfigurationError([f'configuration: {error}']) from error
    organisations = [_to_organisation(tenant) for tenant in wire.tenants or ()]
    return RoutingTable(
        generation=wire.version,
        routes_by_host=_routes_by_host(wire.routes),
        services_by_name={
            service.name: _to_service(service) for service in wire.services
        },
        organisations_by_key={
            key: organisation
            for tenant, organisation in zip(
                wire.tenants or (), organisations, strict=True
            )
            for key in tenant.api_keys
        },
        organisations_by_name={
            organisation.name: organisation for organisation in organisations
        },
        requires_keys=bool(wire.tenants),
        idle_seconds=wire.limits.idle_timeout_ms / _MS,
        max_body_bytes=wire.limits.max_body_bytes,
    )


def decode_target(target_id: str, spec: Any) -> TargetRecord | None:
    """Decode the entry of a target; return ``None`` if it is malformed.

    :param target_id: name of the object.
    :param spec: decoded JSON of the object.
    """
    try:
        wire = msgspec.convert(spec, _Server)
        state = TargetState(wire.state)
    except (msgspec.ValidationError, ValueError):
        return None
    texts = (wire.service, wire.zone, wire.version)
    is_readable = not any(_UNREADABLE in text for text in texts)
    if not (is_readable and _is_id(target_id) and _is_address(wire.addr)):
        return None
    return TargetRecord(
        target_id=target_id,
        service=wire.service,
        address=wire.addr,
        zone=wire.zone,
        slots=wire.slots,
        state=state,
        born=wire.born,
        software_version=wire.version,
        order_count=wire.seq,
        loaded_models_by_name=decode_loaded_models(wire.models),
        in_memory=frozenset(wire.at_hand.in_memory),
        on_disk=frozenset(wire.at_hand.on_disk),
        busy=wire.busy,
        cold_seconds=max(wire.cold_left_ms, 0) / _MS,
    )


def decode_loaded_models(
    models: Iterable[HeldModel],
) -> Mapping[str, LoadedModel]:
    """Return the loaded models of an engine by name.

    :param models: models as listed by the engine.
    """
    return {
        model.name: LoadedModel(model.version, frozenset(model.adapters))
        for model in models
    }


def decode_reported_models(report: EngineReport) -> Mapping[str, LoadedModel]:
    """Return the loaded models of an engine, including adapters being loaded.

    An adapter occupies a slot from the time at which its order is accepted.

    :param report: report of the engine.
    """
    loaded_models = dict(decode_loaded_models(report.models))
    for pending in report.pending:
        model, _, adapter = pending.partition('@')[0].partition('/')
        loaded = loaded_models.get(model)
        if loaded is not None and adapter:
            adapters = loaded.adapters | {adapter}
            loaded_models[model] = LoadedModel(loaded.version, adapters)
    return loaded_models


def _is_id(target_id: str) -> bool:
    """Return whether an id can be sent in a header as it is."""
    is_plain = target_id.isascii() and target_id.isprintable()
    return is_plain and bool(target_id) and target_id == target_id.strip()


def _is_address(address: str) -> bool:
    host, _, port = address.rpartition(':')
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    is_number = port.isdecimal() and len(port) <= _MAX_PORT_DIGITS
    return is_number and 0 < int(port) <= _MAX_PORT


def _to_organisation(tenant: _Tenant) -> OrganisationLimits:
    return OrganisationLimits(
        name=tenant.name,
        priority=tenant.priority,
        rate=tenant.rate_per_s,
        burst=tenant.burst,
        counts_tokens=tenant.unit == 'tokens',
        default_tokens=tenant.plain_tokens,
    )


def _routes_by_host(
    routes: Iterable[_Route],
) -> Mapping[str, tuple[Route, ...]]:
    routes_by_host: dict[str, list[Route]] = {}
    for wire in routes:
        routes_by_host.setdefault(wire.host, []).append(_to_route(wire))
    return {
        host: tuple(sorted(host_routes, key=_prefix_length, reverse=True))
        for host, host_routes in routes_by_host.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.path_prefix)


def _to_route(wire: _Route) -> Route:
    services = [(part.service, part.weight) for part in wire.split]
    repeatability = Repeatability.once
    if wire.kind == 'safe':
        repeatability = Repeatability.repeatable
    elif wire.kind == 'stream' and wire.resumable:
        repeatability = Repeatability.resumable
    return Route(
        name=wire.name,
        host=wire.host,
        path_prefix=wire.path_prefix,
        services=tuple(services) or ((wire.service, 1),),
        repeatability=repeatability,
        streams=wire.kind == 'stream',
        time_limit=wire.timeout_ms / _MS,
        latency_target=wire.goal_ms / _MS,
        max_event_gap=wire.gap_aim_ms / _MS,
        priority=wire.priority,
        max_attempts=wire.max_attempts,
        open_to_all=wire.public,
    )


def _to_service(wire: _Service) -> ServiceSpec:
    return ServiceSpec(
        name=wire.name,
        max_connections=wire.max_conns,
        health_path=wire.health_path,
        engine=None if wire.engine is None else _to_engine(wire.engine),
        cold_rate=wire.cold_per_s,
        cold_seconds=wire.cold_start_s,
    )


def _to_engine(engine: _Engine) -> EngineSpec:
    return EngineSpec(
        slots=engine.slots,
        token_capacity=engine.kv_capacity,
        weights_memory=engine.weights_size,
        adapter_slots=engine.adapter_slots,
        loads_per_second=engine.loads_per_s,
        models_by_name={
            model.name: ModelSpec(
                name=model.name,
                size=model.weights_size,
                adapter_size=model.adapter_mb,
                cold_seconds=model.load_s,
                disk_seconds=model.disk_s or model.load_s,
                warm_seconds=model.warm_s or model.load_s,
                adapters=model.adapters,
            )
            for model in engine.models
        },
    )
