"""Builders of configurations, fleets and messages for the benchmarks."""

import hashlib
import random

from cowsliprack.coordination.capacity import Capacity
from cowsliprack.coordination.dispatcher import Dispatcher
from cowsliprack.coordination.fair_queue import WaitingTokens
from cowsliprack.coordination.serving import ServingRequest
from cowsliprack.protocol.peer import (
    CreditGrant,
    CreditRequest,
    ReplicaInfo,
    ReplicaView,
    TargetInfo,
)
from cowsliprack.state.configuration import (
    Configuration,
    Deployment,
    Organisation,
    Target,
    TargetKind,
)
from cowsliprack.state.fleet import Fleet, Replica, ReplicaState, TargetStatus

ZONE = 'z1'
SEED = 11
_MODEL_COUNT = 130
_ORGANISATION_COUNT = 50
_ZONE_COUNT = 11
_POOL = 'engines'
_TOKENS_PER_REQUEST = 400
_DEADLINE_SECONDS = 30
# A number of tokens or seconds that no measurement uses up.
EFFECTIVELY_INFINITE = 1e9
LARGE_NEED = WaitingTokens(EFFECTIVELY_INFINITE, EFFECTIVELY_INFINITE)
_ADAPTERS_PER_ENGINE = 3


def make_configuration(adapters: int, targets: int) -> Configuration:
    """Return a configuration with 130 models and the given adapters.

    :param adapters: number of adapters.
    :param targets: number of engines in ``ZONE``; each other zone has one.
    """
    models = [_model(index) for index in range(_MODEL_COUNT)]
    deployments = [*models, *(_adapter(index) for index in range(adapters))]
    organisations = [
        Organisation(_organisation_id(index), 1_000_000, 1_000_000)
        for index in range(_ORGANISATION_COUNT)
    ]
    return Configuration(
        generation=1,
        zones=tuple(f'z{index}' for index in range(1, _ZONE_COUNT + 1)),
        organisations_by_id={
            organisation.organisation_id: organisation
            for organisation in organisations
        },
        organisation_id_by_key_digest={
            _key_digest(organisation.organisation_id): (
                organisation.organisation_id
            )
            for organisation in organisations
        },
        deployments_by_name={
            deployment.name: deployment for deployment in deployments
        },
        targets_by_id={
            target.target_id: target
            for target in (
                *map(make_target, range(targets)),
                *map(_make_target_in_other_zone, range(2, _ZONE_COUNT + 1)),
            )
        },
    )


def make_target(index: int) -> Target:
    """Return an engine target in ``ZONE``.

    :param index: number of the engine.
    """
    return Target(
        f't{index}',
        TargetKind.engine,
        ZONE,
        f'http://10.0.0.1:{index}',
        _POOL,
        memory=80_000,
        slots=8,
        accelerators=2,
    )


def _make_target_in_other_zone(zone: int) -> Target:
    return Target(
        f'elsewhere-{zone}',
        TargetKind.engine,
        f'z{zone}',
        f'http://10.0.{zone}.1:80',
        _POOL,
        memory=80_000,
    )


def make_fleet(targets: int) -> Fleet:
    """Return a fleet with one model and three adapters on each engine.

    :param targets: number of engines.
    """
    fleet = Fleet()
    for index in range(targets):
        target_id = f't{index}'
        fleet.targets_by_id[target_id] = TargetStatus(target_id, ZONE, 8)
        for name in resident_names(index):
            fleet.set_replica(Replica(name, target_id, ReplicaState.loaded))
    return fleet


def make_view(targets: int, sequence: int, *, full: bool) -> ReplicaView:
    """Return a replica view that a zone leader publishes.

    :param targets: number of engines in the view.
    :param sequence: sequence number of the view.
    :param full: whether the view is a full one, not an increment.
    """
    return ReplicaView(
        zone=ZONE,
        fencing=1,
        sequence=sequence,
        full=full,
        targets=tuple(
            TargetInfo(f't{index}', ZONE, 'live', 4, 0.5, boot_id=f'b{index}')
            for index in range(targets)
        ),
        replicas=tuple(
            ReplicaInfo(name, f't{index}', 'loaded')
            for index in range(targets)
            for name in resident_names(index)
        ),
    )


def make_dispatcher(targets: int) -> Dispatcher:
    """Return a dispatcher for engines that all have ``model-0`` loaded.

    :param targets: number of engines.
    """
    capacity = Capacity(ZONE, 'epoch', random.Random(SEED))
    capacity.apply_configuration(make_configuration(0, targets))
    for index in range(targets):
        replica = Replica('model-0', f't{index}', ReplicaState.loaded)
        capacity.fleet.set_replica(replica)
    return Dispatcher(capacity, max_queue=10_000)


def make_request(number: int, resource: str, now: float) -> ServingRequest:
    """Return a serving request of one of the organisations.

    :param number: determines the request id and the organisation.
    :param resource: name of the deployment.
    :param now: time of receipt, seconds.
    """
    organisation = _organisation_id(number % _ORGANISATION_COUNT)
    return ServingRequest(
        request_id=f'r{number}',
        organisation=organisation,
        key_digest=_key_digest(organisation),
        resource=resource,
        is_model=True,
        tokens=_TOKENS_PER_REQUEST,
        deadline=now + _DEADLINE_SECONDS,
        received_at=now,
        digest=f'd{number}',
    )


def make_grant(request: CreditRequest) -> CreditGrant:
    """Return a grant of the full amount requested.

    :param request: credit request of an instance.
    """
    return CreditGrant(
        request.request_id,
        request.organisation,
        request.wanted,
        EFFECTIVELY_INFINITE,
    )


def resident_names(index: int) -> list[str]:
    """Return the names of the deployments loaded on an engine.

    :param index: number of the engine.
    """
    first = index * _ADAPTERS_PER_ENGINE
    adapters = range(first, first + _ADAPTERS_PER_ENGINE)
    return [
        f'model-{index % _MODEL_COUNT}',
        *(f'adapter-{adapter}' for adapter in adapters),
    ]


def _model(index: int) -> Deployment:
    name = f'model-{index}'
    return Deployment(name, name, 'v1', 4, 30_000, _POOL)


def _adapter(index: int) -> Deployment:
    base = f'model-{index % _MODEL_COUNT}'
    return Deployment(
        f'adapter-{index}',
        base,
        'v1',
        1,
        60,
        _POOL,
        frozenset((_organisation_id(index % _ORGANISATION_COUNT),)),
        adapter=f'adapter-{index}',
        base=base,
        load_seconds=0.006,
    )


def _organisation_id(index: int) -> str:
    return f'organisation-{index}'


def _key_digest(organisation: str) -> str:
    return hashlib.sha256(organisation.encode()).hexdigest()
