"""Steps for the platform store client."""

import asyncio
import random
from collections import Counter
from contextlib import aclosing

from behave import given, then, when

from cowsliprack.exceptions import StoreError, StoreUnavailableError
from cowsliprack.transport.call_limits import Backoff
from cowsliprack.transport.store_client import HttpObjectStore
from tests.fakes.store_server import FakeStore


def _calls(client):
    return {
        'read': lambda: client.read('k'),
        'create': lambda: client.create('k', {'attempt': 'mine'}),
        'update': lambda: client.update('k', {'attempt': 'mine'}, 1),
        'stale update': lambda: client.update('k', {'attempt': 'mine'}, 7),
        'delete': lambda: client.delete('k', 1),
        'list': lambda: client.list('k'),
        'instances': client.list_instances,
    }


def _create_client(store):
    return HttpObjectStore(
        store.url,
        rng=random.Random(1),
        call_seconds=0.4,
        progress_seconds=0.5,
    )


async def _outcome(call):
    try:
        await asyncio.wait_for(call(), 10)
    except StoreError as error:
        return type(error).__name__
    return 'success'


@given('a store that holds "k" and answers the next request with {fault}')
def given_store(context, fault):
    context.faults = [fault]
    context.stale_list = False
    context.call_names = []
    context.silent_watches = False


@given('the list of the store misses the newest object')
def given_stale_list(context):
    context.stale_list = True


@given('all watches of the fake store are silent')
def given_quiet(context):
    context.silent_watches = True


@when('the store client calls {name}')
def when_call(context, name):
    context.call_names.append(name)
    asyncio.run(_run_calls(context))


@when('the store client reads "k" back')
def when_read_back(context):
    context.call_names.append('read')
    asyncio.run(_run_calls(context))


async def _run_calls(context):
    async with FakeStore() as store:
        store.put('k', {'attempt': 'other'})
        store.faults = list(context.faults)
        client = _create_client(store)
        context.outcomes = [
            await _outcome(_calls(client)[name]) for name in context.call_names
        ]
        context.store = store
        await client.aclose()


@then('the store call ends with {outcome}')
def then_outcome(context, outcome):
    assert context.outcomes == [outcome], context.outcomes


@then('the fake store received 1 request')
def then_one_request(context):
    assert len(context.store.requests) == 1, context.store.requests


@then('the object has the attempt id of the write')
def then_attempt(context):
    assert context.outcomes == ['StoreUnavailableError', 'success']
    assert context.store.objects['k']['body'] == {'attempt': 'mine'}
    assert len(context.store.requests) == 2


@when('4 pooled connections fall silent and two reads follow')
def when_silent_pool(context):
    asyncio.run(_run_silent_pool(context))


async def _run_silent_pool(context):
    async with FakeStore() as store:
        client = _create_client(store)
        await asyncio.gather(*(client.read('k') for _ in range(4)))
        store.frozen_connections = store.connections
        context.connections = store.connections
        context.outcomes = [
            await _outcome(_calls(client)['read']) for _ in range(2)
        ]
        await client.aclose()


@then('only the first of the reads fails')
def then_first_fails(context):
    assert context.connections == 4
    assert context.outcomes == ['StoreUnavailableError', 'success']


@when('the store client watches while "k" changes twice')
def when_watch(context):
    asyncio.run(_run_watch(context))


async def _run_watch(context):
    async with FakeStore() as store:
        store.put('k', {'n': 0})
        client = _create_client(store)
        store.put('k2', {'n': 0})
        await client.list('k')
        if context.stale_list:
            store.stale_list = (1, {'k': store.objects['k']})
        store.faults = list(context.faults)
        store.silent_watches = context.silent_watches
        context.events = []
        watch = asyncio.create_task(_collect(client, store, context.events))
        await asyncio.wait_for(watch, 20)
        await client.aclose()


async def _collect(client, store, events):
    loop = asyncio.get_running_loop()
    loop.call_later(0.1, store.put, 'k', {'n': 1})
    loop.call_later(1, store.put, 'k', {'n': 2})
    async with aclosing(client.watch('k', 2)) as watch:
        async for event in watch:
            if not event.progress:
                events.append(event)
            if event.version == 4:
                return


@then('the watch reports each version once and in order')
def then_versions(context):
    versions = [event.version for event in context.events]
    assert versions[-1] == 4, versions
    assert versions in ([3, 4], [4]), versions


@then('the watch reports no deletion')
def then_no_deletion(context):
    assert all(event.body is not None for event in context.events)


@when('200 reads are made at once with a budget of 20 calls a second')
def when_many(context):
    asyncio.run(_run_many(context))


async def _run_many(context):
    async with FakeStore() as store:
        store.put('k', {})
        # Time stands still, so that a busy machine does not refill the budget
        # between the first and the last read.
        client = HttpObjectStore(
            store.url, calls_per_second=20, clock=lambda: 0.0
        )
        outcomes = await asyncio.gather(
            *(_outcome(lambda: client.read('k')) for _ in range(200))
        )
        context.counts = Counter(outcomes)
        context.store = store
        await client.aclose()


@then('the fake store received at most {count:d} requests')
def then_at_most(context, count):
    assert 20 <= len(context.store.requests) <= count


@then('the other reads end with StoreUnavailableError')
def then_refused(context):
    refused = context.counts[StoreUnavailableError.__name__]
    assert refused == 200 - len(context.store.requests), context.counts


@given(
    'an outage in which {clients:d} clients fail {failures:d} times in a row'
)
def given_outage(context, clients, failures):
    context.waits = []
    for seed in range(clients):
        backoff = Backoff(random.Random(seed))
        for count in range(failures):
            backoff.record_failure(0, count)
        context.waits.append(backoff.wait(0))


@then('their next calls are spread over more than 1 second')
def then_spread(context):
    assert max(context.waits) - min(context.waits) > 1, context.waits


@then('no client waits longer than 2 seconds')
def then_bounded(context):
    assert max(context.waits) <= 2, context.waits
