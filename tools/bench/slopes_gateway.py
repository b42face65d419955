"""Cost of the decisions and messages of gateways, by size of the region."""

import random
from collections.abc import Callable

import msgspec

from cowsliprack.coordination.model_scheduler import ModelScheduler
from cowsliprack.coordination.region_state import RegionState
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.coordination.token_credit import LeaderTokenCredit
from cowsliprack.protocol.gateway_messages import (
    EngineUse,
    MemberReport,
    WaitingGroup,
)
from cowsliprack.protocol.peer import encode_message
from cowsliprack.state.engine_state import EngineState
from cowsliprack.state.routing_table import (
    EngineSpec,
    ModelSpec,
    OrganisationLimits,
)
from cowsliprack.state.target_registry import TargetRecord, TargetState
from tools.bench.measure import Row, processor_microseconds

_SERVICE = 'models'
_PLACES = 3
_SEED = 11
_NOW = 1000.0
# Engines, models and instances of one region.
_REGIONS = ((6, 39, 6), (30, 201, 74), (625, 130, 88))
_WAITING_SHARE = 0.1
_MB = 70


def gateway_rows() -> list[Row]:
    """Return the rows of this module."""
    rows = []
    for engines, models, members in _REGIONS:
        state = _region(engines, models, members)
        scheduler = state.schedulers_by_service[_SERVICE]
        rows.extend(
            (
                _row('plan of a leader', engines, _plan(state, scheduler)),
                _row('views worked out', engines, _refresh(state)),
                _report_row(state, members),
                _view_row(state, engines),
                _choice_row(scheduler, engines),
            )
        )
    rows.extend(_credit_row(count) for count in (5, 50, 200))
    return rows


def _row(operation: str, size: int, call: Callable[[], object]) -> Row:
    return Row(
        operation, 'engines', size, microseconds=processor_microseconds(call)
    )


def _refresh(state: RegionState) -> Callable[[], object]:
    return lambda: state.refresh_views(_NOW)


def _plan(
    state: RegionState, scheduler: ModelScheduler
) -> Callable[[], object]:
    def plan() -> None:  # noqa: WPS430
        state.count_running(_NOW)
        for order in scheduler.plan(state.groups(_SERVICE, _NOW), _NOW):
            engine = scheduler.engines_by_id[order.target_id]
            engine.order = None
            engine.assigned_model = ''
            engine.draining_models.clear()

    return plan


def _report_row(state: RegionState, members: int) -> Row:
    report = state.members_by_id['i0'].report
    sequence = iter(range(2, 10_000_000))
    return Row(
        'take a report',
        'instances',
        members,
        microseconds=processor_microseconds(
            lambda: state.apply_report(
                msgspec.structs.replace(report, sequence=next(sequence)),
                _NOW,
            ),
        ),
        message_bytes=len(encode_message(report)),
    )


def _view_row(state: RegionState, engines: int) -> Row:
    member = state.members_by_id['i0']
    view = state.view_for(member, _NOW)
    return Row(
        'whole view',
        'engines',
        engines,
        microseconds=processor_microseconds(
            lambda: encode_message(state.view_for(member, _NOW)),
        ),
        message_bytes=len(encode_message(view)),
    )


def _choice_row(scheduler: ModelScheduler, engines: int) -> Row:
    choice = TargetSelector('z0', random.Random(_SEED))
    records = [state.record for state in scheduler.engines_by_id.values()][:20]
    return Row(
        'choice among at most 20 replicas',
        'engines',
        engines,
        microseconds=processor_microseconds(
            lambda: choice.choose(records, _NOW, 'part')
        ),
    )


def _credit_row(count: int) -> Row:
    leader_credit = LeaderTokenCredit(8)
    organisations = [
        OrganisationLimits(f'o{number}', None, 1e6, 1e6, True, 200)
        for number in range(count)
    ]
    leader_credit.limit(organisations, 88, _NOW)
    return Row(
        'limits taken at each plan',
        'organisations',
        count,
        microseconds=processor_microseconds(
            lambda: leader_credit.limit(organisations, 88, _NOW)
        ),
    )


def _region(engines: int, models: int, members: int) -> RegionState:
    source = random.Random(_SEED)
    names = [f'model-{number}' for number in range(models)]
    specs = {name: ModelSpec(name, _MB, 1, 6, 0.6, 0.45) for name in names}
    scheduler = ModelScheduler(EngineSpec(32, 80000, 230, 8, 15, specs))
    for number in range(engines):
        held = source.sample(names, _PLACES)
        record = TargetRecord(
            target_id=f'engine-{number}',
            service=_SERVICE,
            address=f'10.0.0.{number % 250}:8000',
            zone=f'z{number % 3}',
            slots=32,
            state=TargetState.ready,
            on_disk=frozenset(source.sample(names, 11)),
        )
        engine = EngineState(record, surveyed=True)
        engine.adapters_by_model = {name: set() for name in held}
        scheduler.engines_by_id[record.target_id] = engine
    state = RegionState(7, 'i0', '10.0.0.1:7600')
    state.schedulers_by_service[_SERVICE] = scheduler
    for number in range(members):
        state.apply_report(_report(number, names, engines, source), _NOW)
    state.refresh_views(_NOW)
    return state


def _report(
    number: int,
    names: list[str],
    engines: int,
    source: random.Random,
) -> MemberReport:
    waiting = tuple(
        WaitingGroup(_SERVICE, name, '', 1, 1.5, 8)
        for name in source.sample(names, 2)
        if source.random() < _WAITING_SHARE * 5
    )
    uses = tuple(
        EngineUse(
            f'engine-{source.randrange(engines)}',
            2,
            {source.choice(names): 2},
        )
        for _ in range(min(engines, 8))
    )
    return MemberReport(
        instance_id=f'i{number}',
        address=f'10.0.0.{number % 250}:7600',
        zone=f'z{number % 3}',
        boot='boot',
        sequence=1,
        stamp=_NOW,
        view_sequence=0,
        view_fencing=7,
        waiting=waiting,
        engines=uses,
    )
