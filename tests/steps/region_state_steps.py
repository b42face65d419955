"""Steps for the state that the leader of a region keeps."""

import math
from dataclasses import replace
from types import SimpleNamespace

import anyio
from behave import given, then, when
from msgspec.structs import replace as replace_fields

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.lease_record import NEVER, Candidate
from cowsliprack.coordination.lease_terms import LeaseTerms
from cowsliprack.coordination.model_scheduler import ModelScheduler
from cowsliprack.coordination.region_state import (
    RegionState,
    apply_survey,
    finish_order,
)
from cowsliprack.coordination.succession import PastLeaders
from cowsliprack.protocol.engine import EngineSurvey
from cowsliprack.protocol.gateway_messages import (
    ConfigurationCopy,
    EngineUse,
    LeaderView,
    MemberReport,
    WaitingGroup,
)
from cowsliprack.protocol.overload_messages import OutcomeCount
from cowsliprack.protocol.peer import decode_message, encode_message
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState
from cowsliprack.state.routing_table import EngineSpec, ModelSpec
from cowsliprack.state.target_registry import (
    LoadedModel,
    TargetRegistry,
)
from cowsliprack.transport.region_term import EndReason, RegionTerm
from tests.support.routed import TABLE, target_record

_NOW = 100.0


def _state(context):
    context.state = RegionState(7, 'i0', '127.0.0.1:1')
    spec = EngineSpec(32, 1000, 160, 8, 3, {})
    context.state.schedulers_by_service['s'] = ModelScheduler(spec)
    context.registry = TargetRegistry()


def _register(context, revision, **changes):
    record = target_record(
        'e1',
        born=5,
        order_count=1,
        loaded_models_by_name={'a': LoadedModel(1)},
    )
    context.registry.apply([replace(record, **changes)], [], revision)
    return context.state.apply_registry(context.registry)


def _engine(context):
    return context.state.schedulers_by_service['s'].engines_by_id['e1']


@given(
    'a leader that has learned that the weight store serves {count:d} loads at '
    'once'
)
def given_learned(context, count):
    context.state = RegionState(7, 'i0', '127.0.0.1:1')
    context.state.apply_routing_table(TABLE)
    context.state.schedulers_by_service['llm'].cold_loads.record_end(
        4, 4, 4 / count, 0
    )


@when('the next leader begins its term with what the last view said')
def when_next_term(context):
    view = decode_message(
        encode_message(
            LeaderView(
                7, 1, 'i0', '', store_limits=context.state.store_limits()
            )
        )
    )
    context.state = RegionState(
        8, 'i1', '127.0.0.1:2', first_store_limits=view.store_limits
    )
    context.state.apply_routing_table(TABLE)


@then('it starts at most {count:d} loads from the weight store')
def then_store_limit(context, count):
    scheduler = context.state.schedulers_by_service['llm']
    assert scheduler.missing_weights(_NOW).max_cold_loads <= count
    assert scheduler.cold_loads.store_limit == count


@given('a leader that knows an engine from its predecessor, without its disk')
def given_relayed(context):
    _state(context)
    _register(context, 1)


@when('it surveys the engine, which has b on disk')
def when_surveyed_with_disk(context):
    apply_survey(
        _engine(context), EngineSurvey(0, False, 0, on_disk=frozenset('b'))
    )


@when('the list of targets is applied once more')
def when_applied_again(context):
    _register(context, 2, address='127.0.0.1:2')


@then('b lies on an engine')
def then_has_copy(context):
    engine = _engine(context)
    assert not engine.is_cold('b'), engine.record
    assert engine.record.address == '127.0.0.1:2'


@given('an engine that held a and has loaded b')
def given_engine(context):
    _state(context)
    _register(context, 1)
    engine = _engine(context)
    engine.surveyed = True
    engine.adapters_by_model = {'a': set()}
    engine.order_count = 1
    order = EngineOrder('e1', OrderKind.load, 'b')
    engine.order = order
    finish_order(engine, order, _NOW)


@when('its registry entry arrives, written during that load')
def when_registered(context):
    context.unknown = _register(context, 2)


@when('its registry entry arrives, written after a restart')
def when_restarted(context):
    context.unknown = _register(context, 2, born=9)


@then('the leader still records a and b')
def then_records_both(context):
    assert set(_engine(context).adapters_by_model) == {'a', 'b'}


@then('the leader records no model and surveys it')
def then_surveys(context):
    assert not _engine(context).adapters_by_model
    assert context.unknown == [_engine(context)]


def _report(sequence, waiting):
    return MemberReport(
        instance_id='i1',
        address='127.0.0.1:3',
        zone='z',
        boot='b',
        sequence=sequence,
        stamp=1,
        view_sequence=0,
        view_fencing=0,
        waiting=waiting,
    )


@given('an instance with a request that waits for a')
def given_waiting(context):
    _state(context)
    group = WaitingGroup('s', 'a', '', 1, 1.0, 5.0)
    context.state.apply_report(_report(5, (group,)), _NOW)
    context.now = _NOW


@when('it has been silent for {seconds:d} seconds')
def when_silent(context, seconds):
    context.now = _NOW + seconds


@when('an older report of it arrives without waiting requests')
def when_older(context):
    context.state.apply_report(_report(4, ()), _NOW)


@then('no request waits')
def then_nothing(context):
    assert not context.state.groups('s', context.now)


@then('it still counts when limits are divided')
def then_counted(context):
    assert context.state.member_count(context.now) == 1


@then('a request still waits for a')
def then_waits(context):
    groups = context.state.groups('s', context.now)
    assert [group.model for group in groups] == ['a'], groups


_SILENCES_BY_WHO = {
    'the only instance': (0.8,),
    'one of two instances': (0.8, 0.1),
    'no instance': (),
}


@given('{who} had no answer from it for 0.8 seconds')
def given_silence(context, who):
    for number, silence in enumerate(_SILENCES_BY_WHO[who]):
        report = MemberReport(
            instance_id=f'i{number}',
            address='127.0.0.1:1',
            zone='z',
            boot='b',
            sequence=1,
            stamp=0,
            view_sequence=0,
            view_fencing=0,
            engines=(EngineUse('e1', 1, {'a': 1}, silence),),
        )
        context.state.apply_report(report, _NOW)


@then('the leader probes it: {answer}')
def then_probes(context, answer):
    context.state.count_running(_NOW)
    suspects = context.state.suspects(_NOW)
    assert bool(suspects) == (answer == 'yes'), suspects


@given(
    'a leader with generation {generation:d} and an instance that reports '
    'generation {reported:d}'
)
def given_leader(context, generation, reported):
    context.now = _NOW
    context.generation = generation
    context.reported = reported
    context.sent = []
    anyio.run(_build_term, context)


async def _build_term(context):
    """Create the term of a leader whose messages are recorded."""
    surroundings = SimpleNamespace(
        instance_id='i0',
        address='127.0.0.1:1',
        engines=None,
        lease_seconds=3,
        credit=SimpleNamespace(window=8),
        fleet=FleetView(),
        freshness=Freshness(5),
        clock=lambda: context.now,
        table=lambda: SimpleNamespace(generation=context.generation),
        configuration_copy=lambda: b'{}',
        link_megabits=1000,
        sockets=SimpleNamespace(sent_bytes=0),
        first_start=True,
    )
    lease = SimpleNamespace(
        fencing=7,
        observation=SimpleNamespace(version=1),
        held_until=lambda: context.now + 3,
        terms=LeaseTerms(Candidate('i0', '', 3, 's'), NEVER),
    )
    context.term = RegionTerm(
        surroundings,
        lease,
        lambda _instance, _address, message: context.sent.append(message),
        dict,
        None,
        (),
        PastLeaders(),
    )


@when('it sends a view every {pause:g} seconds for {seconds:g} seconds')
def when_views_sent(context, pause, seconds):
    report = replace_fields(
        _report(1, ()), generation=context.reported, stamp=0
    )
    context.term.state.apply_report(report, context.now)
    for _ in range(round(seconds / pause)):
        context.term._send_views(to_all=True)
        context.now += pause


@when('its term ends beside {others}')
def when_term_ends(context, others):
    terms = LeaseTerms(Candidate('i0', '', 3, 's'), 0)
    terms.begin(context.now)
    terms.others_rest = lambda: others == 'instances that rest'
    context.term._lease.terms = terms
    report = replace_fields(_report(1, ()), generation=2)
    context.term.state.apply_report(report, context.now)
    context.term.end(EndReason.stop)
    context.term._ended = True
    context.term._send_views(to_all=True)


@then('others leave the lease alone for {seconds:g} seconds')
def then_left_alone(context, seconds):
    views = [one for one in context.sent if isinstance(one, LeaderView)]
    assert views[-1].lease_left == seconds, views


@when('the leader has generation {generation:d}')
def when_generation(context, generation):
    context.generation = generation


@when('the instance reports generation {generation:d}')
def when_reported(context, generation):
    context.reported = generation
    report = replace_fields(_report(2, ()), generation=generation)
    context.term.state.apply_report(report, context.now)


@then('the instance has been sent {count:d} copy of the configuration')
@then('the instance has been sent {count:d} copies of the configuration')
def then_copies(context, count):
    copies = [
        message
        for message in context.sent
        if isinstance(message, ConfigurationCopy)
    ]
    assert len(copies) == count, len(copies)


def _member_report(name, sequence=1, **changes):
    fields = {'boot': 'b1', **changes}
    return MemberReport(
        instance_id=name,
        address='127.0.0.1:1',
        zone='z',
        sequence=sequence,
        stamp=1,
        view_sequence=0,
        view_fencing=0,
        **fields,
    )


@given('two instances with requests for a, at v1 and at any version')
def given_two_versions(context):
    _state(context)
    for name, version in (('i1', 'v1'), ('i2', '')):
        group = WaitingGroup(
            's', 'a', '', 1, 1.0, 5.0, software_version=version
        )
        context.state.apply_report(_member_report(name, waiting=(group,)), _NOW)


@then('2 groups wait, one of them at v1')
def then_two_groups(context):
    groups = context.state.groups('s', _NOW)
    versions = sorted(group.software_version for group in groups)
    assert versions == ['', 'v1'], groups


@given('a leader with members i1 and i2')
def given_members(context):
    _state(context)
    for name in ('i1', 'i2'):
        context.state.apply_report(_member_report(name), _NOW)
    context.state.refresh_peers(_NOW)
    context.known_digest = 0


def _sent_peers(context):
    member = context.state.members_by_id['i1']
    member.report = replace_fields(
        member.report, peers_digest=context.known_digest
    )
    view = context.state.view_for(member, _NOW)
    context.sent_digest = view.peers_digest
    return [peer.instance_id for peer in view.peers]


@then('a member without a list gets {names}')
@then('a member with the old list gets {names}')
def then_gets_peers(context, names):
    assert _sent_peers(context) == names.split(' and ')


@then('a member with this list gets none')
def then_gets_no_peers(context):
    context.known_digest = context.sent_digest
    assert not _sent_peers(context)


@when('i2 starts again')
def when_member_restarted(context):
    context.state.apply_report(_member_report('i2', boot='b2'), _NOW)
    context.state.refresh_peers(_NOW)


@when('i2 reports that it is leaving')
def when_member_leaving(context):
    report = _member_report('i2', 2, boot='b2', leaving=True)
    context.state.apply_report(report, _NOW)
    context.state.refresh_peers(_NOW)


@given(
    'a leader of {members:d} members that has told all of them of an engine '
    'that holds a'
)
def given_told(context, members):
    _state(context)
    scheduler = context.state.schedulers_by_service['s']
    context.engine = EngineState(target_record('e9'), surveyed=True)
    context.engine.adapters_by_model = {'a': set()}
    scheduler.engines_by_id['e9'] = context.engine
    context.state.refresh_views(_NOW)
    for number in range(members):
        report = replace_fields(
            _member_report(f'i{number}'),
            view_fencing=context.state.fencing,
            view_sequence=context.state.sequence,
        )
        context.state.apply_report(report, _NOW)


@when('the engine runs {count:d} requests')
def when_engine_runs(context, count):
    context.engine.running['a'] = count
    context.is_told = context.state.refresh_views(_NOW)


@when('the engine holds b')
def when_engine_holds(context):
    context.engine.adapters_by_model['b'] = set()
    context.is_told = context.state.refresh_views(_NOW)


@when('the engine has gone')
def when_engine_gone(context):
    scheduler = context.state.schedulers_by_service['s']
    scheduler.engines_by_id.pop('e9')
    context.is_told = context.state.refresh_views(_NOW)


@then('it tells all members at once: {answer}')
def then_told_at_once(context, answer):
    assert context.is_told == (answer == 'yes')


@then('a member that reports is told')
def then_reporter_told(context):
    member = context.state.members_by_id['i0']
    view = context.state.view_for(member, _NOW)
    assert view.engines or view.gone, view


def _outcomes(text):
    if text == 'none':
        return None
    return (OutcomeCount('a', int(text), 0),) if int(text) else ()


@given('a member that reports {late} late requests of a')
def given_outcomes(context, late):
    _state(context)
    scheduler = context.state.schedulers_by_service['s']
    model = ModelSpec('a', 70, 1, 6, 0.6, 0.45)
    scheduler.spec = replace(scheduler.spec, models_by_name={'a': model})
    report = _member_report('i1', outcomes=_outcomes(late))
    context.state.apply_report(report, _NOW)


@when('{process} reports {late} late requests of a')
def when_outcomes(context, process, late):
    boot = 'b2' if process == 'a new process' else 'b1'
    report = _member_report('i1', 2, boot=boot, outcomes=_outcomes(late))
    context.state.apply_report(report, _NOW)


@then('the leader counts {count:d} of them')
def then_outcomes_counted(context, count):
    scheduler = context.state.schedulers_by_service['s']
    # The rate is an average over 5 seconds.
    counted = scheduler.busy_models.troubles.rate('a', _NOW) * 5
    assert math.isclose(counted, count), counted
