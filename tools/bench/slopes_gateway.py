"""Cost of the decisions and messages of gateways by region size."""

import itertools
import random
from collections.abc import Callable

import msgspec

from cowsliprack.coordination.credit_shares import CreditShares
from cowsliprack.coordination.model_scheduler import ModelScheduler
from cowsliprack.coordination.region_state import RegionState
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.coordination.token_credit import LeaderTokenCredit
from cowsliprack.protocol.credit_messages import CreditUse
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
_MODELS_PER_ENGINE = 3
_SEED = 11
_NOW = 1000.0
_WINDOW_SECONDS = 8.0
# Numbers of engines, models and instances of one region.
_REGION_SIZES = ((6, 39, 6), (30, 201, 74), (625, 130, 88))
_WAITING_SHARE = 0.1
_MODEL_MEGABYTES = 70


def gateway_rows() -> list[Row]:
    """Return the cost of decisions and messages at three region sizes."""
    rows = []
    for engines, models, members in _REGION_SIZES:
        state = _make_region(engines, models, members)
        scheduler = state.schedulers_by_service[_SERVICE]
        rows.extend(
            (
                _engine_row(
                    'plan of a leader',
                    engines,
                    _planning_call(state, scheduler),
                ),
                _engine_row('views worked out', engines, _refresh_call(state)),
                _report_row(state, members),
                _view_row(state, engines),
                _selection_row(scheduler, engines),
            )
        )
    rows.extend(_credit_row(count) for count in (5, 50, 200))
    rows.extend(_division_row(count) for count in (24, 74, 350))
    return rows


def _engine_row(operation: str, size: int, call: Callable[[], object]) -> Row:
    return Row(
        operation, 'engines', size, microseconds=processor_microseconds(call)
    )


def _refresh_call(state: RegionState) -> Callable[[], object]:
    return lambda: state.refresh_views(_NOW)


def _planning_call(
    state: RegionState, scheduler: ModelScheduler
) -> Callable[[], object]:
    def plan() -> None:  # noqa: WPS430
        state.count_running(_NOW)
        for order in scheduler.plan(state.groups(_SERVICE, _NOW), _NOW):
            # Discards the order, so that every call plans from the same state.
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


def _selection_row(scheduler: ModelScheduler, engines: int) -> Row:
    selector = TargetSelector('z0', random.Random(_SEED))
    records = [state.record for state in scheduler.engines_by_id.values()][:20]
    return Row(
        'choice among at most 20 replicas',
        'engines',
        engines,
        microseconds=processor_microseconds(
            lambda: selector.choose(records, _NOW, 'part')
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


def _division_row(instances: int) -> Row:
    """Return the cost of dividing 20 limits among instances with demand."""
    shares = CreditShares(_WINDOW_SECONDS, 0, 0)
    organisations = [
        OrganisationLimits(f'o{number}', None, 1e6, 1e6, True, 200)
        for number in range(20)
    ]
    uses = [CreditUse(one.name, 1000, 0) for one in organisations]
    for number in range(instances):
        shares.apply_report(f'i{number}', 'boot', uses, _NOW)
    times = itertools.count(_NOW)
    leader_credit = LeaderTokenCredit(_WINDOW_SECONDS)
    return Row(
        'limits divided by demand, 20 organisations',
        'instances',
        instances,
        microseconds=processor_microseconds(
            lambda: shares.divide(
                organisations, instances, leader_credit.granted, next(times)
            )
        ),
    )


def _make_region(engines: int, models: int, members: int) -> RegionState:
    rng = random.Random(_SEED)
    model_names = [f'model-{number}' for number in range(models)]
    specs = {
        name: ModelSpec(name, _MODEL_MEGABYTES, 1, 6, 0.6, 0.45)
        for name in model_names
    }
    scheduler = ModelScheduler(EngineSpec(32, 80000, 230, 8, 15, specs))
    for number in range(engines):
        held = rng.sample(model_names, _MODELS_PER_ENGINE)
        record = TargetRecord(
            target_id=f'engine-{number}',
            service=_SERVICE,
            address=f'10.0.0.{number % 250}:8000',
            zone=f'z{number % 3}',
            slots=32,
            state=TargetState.ready,
            on_disk=frozenset(rng.sample(model_names, 11)),
        )
        engine = EngineState(record, surveyed=True)
        engine.adapters_by_model = {name: set() for name in held}
        scheduler.engines_by_id[record.target_id] = engine
    state = RegionState(7, 'i0', '10.0.0.1:7600')
    state.schedulers_by_service[_SERVICE] = scheduler
    for number in range(members):
        state.apply_report(
            _make_report(number, model_names, engines, rng), _NOW
        )
    state.refresh_views(_NOW)
    return state


def _make_report(
    number: int,
    model_names: list[str],
    engines: int,
    rng: random.Random,
) -> MemberReport:
    waiting = tuple(
        WaitingGroup(_SERVICE, name, '', 1, 1.5, 8)
        for name in rng.sample(model_names, 2)
        if rng.random() < _WAITING_SHARE * 5
    )
    engine_uses = tuple(
        EngineUse(
            f'engine-{rng.randrange(engines)}',
            2,
            {rng.choice(model_names): 2},
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
        engines=engine_uses,
    )
