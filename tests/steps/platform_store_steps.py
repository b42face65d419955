"""Steps for the client of the platform's object store."""

import asyncio

import anyio
import httpx
from behave import given, then, when

from cowsliprack.exceptions import StoreError
from cowsliprack.platform.store import PlatformStore
from cowsliprack.transport.checked_transport import CheckedTransport
from tools.standins.objects import ObjectStoreServer
from tools.standins.web import bind, serve_on

_KIND = 'servers'


@given('a simulated platform store with {count:d} targets')
def given_store(context, count):
    context.platform = ObjectStoreServer()
    for number in range(count):
        context.platform.put(_KIND, f't{number}', {'service': 's'})
    context.own_revision = context.platform.put('own', 'object', {'n': 1})


@given('the store {fault}')
def given_fault(context, fault):
    faults = context.platform.faults
    faults.outage = fault == 'is unavailable'
    faults.silent = fault == 'does not respond'
    faults.throttled_calls = 5 if fault == 'rejects calls' else 0
    faults.lost_responses = 1 if fault == 'loses responses' else 0
    faults.write_delays = [2] if fault == 'applies writes late' else []


def _run_with_store(context, use):
    async def run():
        stopped = anyio.Event()
        listener = bind()
        url = f'http://127.0.0.1:{listener.getsockname()[1]}'
        serving = asyncio.ensure_future(
            serve_on(listener, context.platform.handle, stopped.wait)
        )
        async with httpx.AsyncClient(transport=CheckedTransport()) as client:
            result = await use(PlatformStore(url, client))
        stopped.set()
        serving.cancel()
        await asyncio.gather(serving, return_exceptions=True)
        return result

    return asyncio.run(run())


@when('the targets are listed')
def when_listed(context):
    context.result = _run_with_store(
        context, lambda store: store.list_kind(_KIND)
    )


@then('the list has {count:d} targets')
def then_count(context, count):
    assert len(context.result.specs_by_name) == count, context.result


def _watch_after_list(context, change, wait_seconds):
    async def use(store):
        listed = await store.list_kind(_KIND)
        change()
        try:
            return await store.watch_kind(_KIND, listed.revision, wait_seconds)
        except StoreError as error:
            return error

    context.result = _run_with_store(context, use)


@when('one target changes and one is removed after the targets are listed')
def when_changed(context):
    def change():
        context.platform.put(_KIND, 't1', {'service': 'other'})
        context.platform.put(_KIND, 't2', None)

    _watch_after_list(context, change, 2)


@when('the targets are listed and watched for {seconds:g} seconds')
def when_watched(context, seconds):
    _watch_after_list(context, lambda: None, seconds)


@when("the targets are listed and watched while the store's revision grows")
def when_revision_grows(context):
    context.list_revision = context.platform.rev
    _watch_after_list(
        context, lambda: context.platform.put('other', 'x', {}), 0.2
    )


@then('the next watch starts at the revision of the list')
def then_same_start(context):
    assert context.result.revision == context.list_revision, context.result


@when('the history is compacted after the targets are listed')
def when_compacted(context):
    _watch_after_list(context, context.platform.compact, 2)


@then('the watch reports one changed and one removed target')
def then_changes(context):
    assert context.result.specs_by_name == {
        't1': {'service': 'other'},
        't2': None,
    }, context.result


@then('the watch reports no change')
def then_no_change(context):
    assert context.result.specs_by_name == {}, context.result


@then('the watch ends with {outcome}')
def then_watch_ends(context, outcome):
    assert type(context.result).__name__ == outcome, context.result


@when('a {call} is made')
def when_call(context, call):
    calls = {
        'read': lambda store: store.read('own/object'),
        'create': lambda store: store.create('own/new', {'n': 2}),
        'second create': lambda store: store.create('own/object', {'n': 2}),
        'update': lambda store: store.update(
            'own/object', {'n': 2}, context.own_revision
        ),
        'stale update': lambda store: store.update(
            'own/object', {'n': 2}, context.own_revision - 1
        ),
        'delete': lambda store: store.delete(
            'own/object', context.own_revision
        ),
        'stale delete': lambda store: store.delete(
            'own/object', context.own_revision - 1
        ),
    }

    async def use(store):
        try:
            await calls[call](store)
        except StoreError as error:
            return type(error).__name__
        return 'success'

    context.outcome = _run_with_store(context, use)


@then('the call ends with {outcome}')
def then_outcome(context, outcome):
    assert context.outcome == outcome, context.outcome


@then('the store holds the written object')
def then_written(context):
    assert context.outcome == 'StoreUnavailableError'
    stored = _run_with_store(context, lambda store: store.read('own/object'))
    assert stored.body == {'n': 2}, stored
