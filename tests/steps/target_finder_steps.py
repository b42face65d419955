"""Steps for requests that wait for a target."""

import re
import time
from dataclasses import replace

import anyio
from behave import given, then, when

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.coordination.waiting_requests import WaitingRequests
from cowsliprack.exceptions import ErrorKind, Ran, ServingError
from cowsliprack.protocol.dialect import RequestMetadata
from cowsliprack.protocol.gateway_messages import LoadDue, ModelAbsence
from cowsliprack.state.target_registry import LoadedModel, TargetState
from cowsliprack.transport.target_finder import TargetFinder
from tests.support.routed import TABLE, routed_request, target_record


def _finder(fleet, selector, freshness):
    return TargetFinder(
        fleet=fleet,
        target_selector=selector,
        waiting_requests=WaitingRequests(),
        freshness=freshness,
        table=lambda: TABLE,
        demand_changed=lambda: None,
        clock=time.monotonic,
    )


@given('the last view of the leader is {age:g} seconds old')
def given_leader(context, age):
    context.leader_age = age


@given('the last read of the store is {age:g} seconds old')
def given_store(context, age):
    context.store_age = age


@when('a request waits there for a model')
def when_waits(context):
    now = time.monotonic()
    finder = _finder(
        FleetView(updated_at=now - context.leader_age),
        TargetSelector('z'),
        Freshness(5, now - context.store_age),
    )
    request = routed_request(
        '/chat/x',
        'llm',
        now,
        8,
        exchange=_NotStarted(),
        metadata=RequestMetadata('id', '', None, model='m3'),
        first_event_deadline=now + 4,
    )
    context.error = anyio.run(_find, finder, request)


class _NotStarted:
    started = False


async def _find(finder, request):
    with anyio.move_on_after(0.3):
        try:
            await finder.find(request)
        except ServingError as error:
            return error
    return None


@then('it is rejected within 0.3 seconds: {answer}')
def then_rejected(context, answer):
    if answer == 'no':
        assert context.error is None, context.error
        return
    assert context.error.kind is ErrorKind.cold_start_unavailable
    assert context.error.ran is Ran.not_run
    assert 0 < context.error.retry_after < 1


@given('a target that has named a limit of {rate:g} requests a second')
def given_limit(context, rate):
    now = time.monotonic()
    fleet = FleetView()
    fleet.registry.replace([target_record('s1', service='shop')], 1)
    selector = TargetSelector('z')
    selector.limits.record_answer('s1', rate, now)
    context.finder = _finder(fleet, selector, Freshness(60, now))


@given('a target that wants no requests for {seconds:g} seconds')
def given_paused(context, seconds):
    now = time.monotonic()
    fleet = FleetView()
    fleet.registry.replace([target_record('s1', service='shop')], 1)
    selector = TargetSelector('z')
    selector.pauses.record_rejection('s1', seconds, 1, now)
    context.finder = _finder(fleet, selector, Freshness(60, now))


@when('{count:d} requests look for it at the same time')
def when_looked_for(context, count):
    context.served = []
    context.rejected = []
    context.began_at = time.monotonic()
    anyio.run(_find_all, context, count)


async def _find_all(context, count):
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(_find_limited, context)


async def _find_limited(context):
    request = routed_request(
        '/stock/x', 'shop', time.monotonic(), 2, exchange=_NotStarted()
    )
    try:
        await context.finder.find(request)
    except ServingError as error:
        waited = time.monotonic() - context.began_at
        context.rejected.append((error, waited))
    else:
        context.served.append(request)


@then('{served:d} get it and {rejected:d} are rejected at once')
def then_counts(context, served, rejected):
    assert len(context.served) == served, len(context.served)
    assert len(context.rejected) == rejected
    for error, waited in context.rejected:
        assert error.kind is ErrorKind.queue_full
        assert error.ran is Ran.not_run
        assert error.retry_after > 0
        assert waited < 0.5, waited


@given(
    'an engine that holds m0 and has named a limit of {rate:g} requests a '
    'second'
)
def given_limited_engine(context, rate):
    context.records = [_engine('e1', 'm0')]
    context.rates_by_id = {'e1': rate}
    context.absences = ()
    context.loads_due = ()


def _engine(target_id, *models):
    return target_record(
        target_id,
        service='llm',
        loaded_models_by_name={
            model: LoadedModel(
                1, frozenset({'a1'} if target_id == 'e1' else ())
            )
            for model in models
        },
    )


@given('no other engine')
def given_no_other(context):
    """Keep the only engine."""


@given('an engine without a limit')
def given_other(context):
    context.records.append(_engine('e2', 'm1'))


@given('an engine without a limit with m0')
def given_other_holder(context):
    context.records.append(_engine('e2', 'm0'))


@given('another engine with a limit')
def given_other_limited(context):
    context.records.append(_engine('e2', 'm1'))
    context.rates_by_id['e2'] = 1


@when(
    'a request for m0{adapter} that can wait {patience:g} seconds looks for it'
)
@when('a request for m0 that can wait {patience:g} seconds looks for it')
def when_model_looked_for(context, patience, adapter='', seconds=0.05):
    _begin_finder(context)
    now = context.began_at
    request = routed_request(
        '/chat/x',
        'llm',
        now,
        patience,
        exchange=_NotStarted(),
        metadata=RequestMetadata(
            'id', '', None, model='m0', adapter=adapter.removeprefix('/')
        ),
    )
    context.error = anyio.run(_find_briefly, context.finder, request, seconds)
    context.waited = time.monotonic() - now


def _begin_finder(context):
    now = time.monotonic()
    fleet = FleetView()
    fleet.registry.replace(context.records, 1)
    if context.absences:
        fleet.updated_at = now - context.view_age
        fleet.absences.apply(context.absences, now, is_full=True)
        fleet.loads_due.apply(context.loads_due, now, is_full=True)
    selector = TargetSelector('z')
    for target_id, rate in context.rates_by_id.items():
        selector.limits.record_answer(target_id, rate, now)
    context.finder = _finder(fleet, selector, Freshness(60, now))
    context.began_at = now


async def _find_briefly(finder, request, seconds):
    with anyio.move_on_after(seconds):
        try:
            await finder.find(request)
        except ServingError as error:
            return error
    return None


@then('it waits')
def then_waits(context):
    assert context.error is None, context.error


@then('it is rejected at once')
def then_rejected_at_once(context):
    assert context.error is not None
    assert context.error.kind is ErrorKind.queue_full


def _versioned(target_id, version, *models, **changes):
    return target_record(
        target_id,
        service='llm',
        software_version=version,
        loaded_models_by_name={model: LoadedModel(1) for model in models},
        **changes,
    )


@given('engines of v1 and v2 that hold m0')
def given_versions(context):
    context.records = [_versioned('e1', 'v1', 'm0')]
    context.records.append(_versioned('e2', 'v2', 'm0'))


@given('engines of v1 without and v2 with m0')
def given_other_model(context):
    context.records = [_versioned('e1', 'v1', 'm1')]
    context.records.append(_versioned('e2', 'v2', 'm0'))


@given('engines of v1 and v2, the former drains')
def given_draining(context):
    draining = _versioned('e1', 'v1', 'm0', state=TargetState.draining)
    context.records = [draining, _versioned('e2', 'v2', 'm0')]


@when('a request for m0 of a stream that {begun} began looks for a target')
def when_stream_looks(context, begun):
    now = time.monotonic()
    fleet = FleetView()
    fleet.registry.replace(context.records, 1)
    context.finder = _finder(fleet, TargetSelector('z'), Freshness(60, now))
    is_other = begun == 'another service'
    context.request = routed_request(
        '/chat/x',
        'moved' if is_other else 'llm',
        now,
        4,
        exchange=_NotStarted(),
        metadata=RequestMetadata('id', '', None, model='m0', resume_after='2'),
        begun_version='v1' if is_other else begun,
    )
    context.found = []
    context.error = anyio.run(_find_and_watch, context)


async def _find_and_watch(context):
    async def look():
        try:
            context.found.append(await context.finder.find(context.request))
        except ServingError as error:
            context.found.append(error)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(look)
        await anyio.sleep(0.1)
        context.groups = context.finder.waiting_requests.group_summaries(0)
        tasks.cancel_scope.cancel()


@then('it gets the target of {version}')
def then_gets(context, version):
    assert [found.software_version for found in context.found] == [version]


@then('it is rejected: no target runs the version')
def then_no_version(context):
    (error,) = context.found
    assert error.kind is ErrorKind.version_unavailable, error
    assert error.ran is Ran.not_run
    assert error.retry_after > 0


@then('it waits until an engine of {version} has loaded the model')
def then_waits_for(context, version):
    assert not context.found, context.found
    (group,) = context.groups
    assert (group.model, group.software_version) == ('m0', version), group


@given('an engine without m0, and a leader that says of m0: {absence}')
def given_absent(context, absence):
    context.loads_due = ()
    context.records = [_engine('e1', 'm1')]
    context.rates_by_id = {}
    loaded_in = re.search(r'in (\d+) seconds', absence)
    context.absences = (
        ()
        if absence == 'nothing'
        else (
            ModelAbsence(
                'llm', 'm0', loaded_in=float(loaded_in[1]) if loaded_in else -1
            ),
        )
    )


@given('the load of m0 is due in {seconds:d} seconds')
def given_due(context, seconds):
    context.loads_due = (LoadDue('llm', 'm0', due_in=seconds),)


@given('its last view is {age:g} seconds old')
def given_view_age(context, age):
    context.view_age = age


@when(
    'a request for m0 that can wait {patience:g} seconds looks for it for '
    '{seconds:g} seconds'
)
def when_absent_looked_for(context, patience, seconds):
    when_model_looked_for(context, patience, seconds=seconds)


@then('it is to come back in {seconds:g} s')
def then_come_back(context, seconds):
    assert context.error is not None
    assert context.error.kind is ErrorKind.cold_start_unavailable
    assert context.error.ran is Ran.not_run
    assert abs(context.error.retry_after - seconds) < 0.2, (
        context.error.retry_after
    )


@then('{count:d} request for m0 is reported after {seconds:g} seconds')
@then('{count:d} requests for m0 are reported after {seconds:g} seconds')
def then_reported(context, count, seconds):
    groups = context.finder.waiting_requests.group_summaries(
        context.began_at + seconds
    )
    assert sum(group.count for group in groups) == count, groups


@then('it has waited for less than {seconds:g} seconds')
def then_waited(context, seconds):
    assert context.waited < seconds, context.waited


@when('a caller that states {stated_time} asks for {model}')
def when_stating_caller(context, stated_time, model):
    stated = re.match(r'[\d.]+', stated_time)
    seconds = float(stated[0]) if stated else None
    if 'finder' not in context:
        _begin_finder(context)
    context.error = anyio.run(
        _find_briefly,
        context.finder,
        routed_request(
            '/chat/x',
            'llm',
            context.began_at,
            20,
            exchange=_NotStarted(),
            metadata=RequestMetadata('id', '', seconds, model=model),
            first_event_deadline=context.began_at + 2,
        ),
        0.05,
    )


@then('1 request for m0 is reported, with callers for {seconds:g} more seconds')
def then_patient(context, seconds):
    then_come_back(context, 4)
    (group,) = context.finder.waiting_requests.group_summaries(context.began_at)
    assert (group.model, group.count) == ('m0', 1), group
    assert abs(group.patience - seconds) < 0.5, group


@given('an engine that holds m0 and begins to drain')
def given_leaving_engine(context):
    context.fleet = FleetView()
    record = _engine('e1', 'm0')
    context.fleet.registry.replace([record], 1)
    context.fleet.registry_changed(0)
    context.fleet.registry.replace(
        [replace(record, state=TargetState.draining)], 2
    )


@when(
    'a request that has waited {waited:g} seconds for m0 looks for it, '
    '{seconds:g} seconds after'
)
def when_leaving_looked_for(context, waited, seconds):
    now = time.monotonic()
    context.fleet.registry_changed(now - seconds)
    selector = TargetSelector('z')
    finder = _finder(context.fleet, selector, Freshness(60, now))
    request = routed_request(
        '/chat/x',
        'llm',
        now - waited,
        5,
        exchange=_NotStarted(),
        metadata=RequestMetadata('id', '', None, model='m0'),
    )
    context.error, context.found = anyio.run(_find_target, finder, request)


async def _find_target(finder, request):
    with anyio.move_on_after(0.05):
        try:
            return None, await finder.find(request)
        except ServingError as error:
            return error, None
    return None, None


@then('it is sent to that engine')
def then_sent(context):
    assert context.error is None, context.error
    assert context.found.target_id == 'e1', context.found
