"""Steps for the client of the platform's object store."""

import asyncio
import time

import anyio
import httpx
from behave import given, then, when

from cowsliprack.exceptions import StoreError
from cowsliprack.platform.store import PlatformStore
from cowsliprack.state.store_version import join_version
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
            serve_on(
                listener,
                lambda request: getattr(
                    context, 'handle', context.platform.handle
                )(request),
                stopped.wait,
            )
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
    platform = context.platform
    context.list_revision = join_version(platform.era, platform.rev)
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


_ODD_VALUES = {
    'nested 100000 deep': b'[' * 100_000 + b']' * 100_000,
    'with a number of 400 digits': b'9' * 400,
    'with a number of 5000 digits': b'9' * 5000,
    'with a number beyond a double': b'1e999',
    'with an unpaired surrogate': rb'"\ud83d\ude00 \\udcff \udCFF"',
    'with a swapped pair': rb'"\udc00\ud800"',
    'that ends in a surrogate': rb'"\uD83D"',
}


@when('a target {entry} is listed, and changes while it is watched')
def when_odd(context, entry):
    platform = context.platform
    platform.put(_KIND, 'odd', {'service': 'odd value'})

    async def handle(request):
        send = request.send

        async def send_odd(message):
            body = message.get('body', b'')
            if b'"odd value"' in body:
                body = body.replace(b'"odd value"', _ODD_VALUES[entry])
                message = {**message, 'body': body}
            await send(message)

        request.send = send_odd
        await platform.handle(request)

    async def use(store):
        listed = await store.list_kind(_KIND)
        platform.put(_KIND, 'odd', {'service': 'odd value', 'seq': 2})
        platform.put(_KIND, 't1', {'service': 'other'})
        changes = {}
        since = listed.revision
        while 't1' not in changes:
            changed = await store.watch_kind(_KIND, since, 2)
            since = changed.revision
            changes.update(changed.specs_by_name)
        return listed.specs_by_name, changes

    context.handle = handle
    context.listed, context.changes = _run_with_store(context, use)


@then('{count:d} targets are listed and 1 change is seen')
def then_odd(context, count):
    assert len(context.listed.keys() - {'odd'}) == count, context.listed
    assert context.changes['t1'] == {'service': 'other'}


@then('the odd value is read as a smiley, an escaped escape and a replacement')
def then_read(context):
    expected = '\U0001f600 \\udcff \ufffd'
    assert context.listed['odd'] == {'service': expected}, context.listed


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


async def _read_own(store):
    try:
        await store.read('own/object')
    except StoreError:
        return False
    return True


@when('it is read for {seconds:g} seconds until it works again, and answers')
def when_regained(context, seconds):
    async def use(store):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            await _read_own(store)
            await asyncio.sleep(0.1)
        given_fault(context, 'works')
        assert await _read_own(store)
        return store.regained_at

    context.regained_at = _run_with_store(context, use)


@when('a read that gets no answer ends after another read was answered')
def when_held_up(context):
    async def use(store):
        held_up = asyncio.ensure_future(_read_own(store))
        await asyncio.sleep(0.3)
        given_fault(context, 'works')
        assert await _read_own(store)
        assert not await held_up
        assert await _read_own(store)
        return store.regained_at

    context.regained_at = _run_with_store(context, use)


@then('the client knows of the end of an outage: {answer}')
def then_regained(context, answer):
    age = time.monotonic() - context.regained_at
    assert (age < 2) == (answer == 'yes'), age


@then('the store holds the written object')
def then_written(context):
    assert context.outcome == 'StoreUnavailableError'
    stored = _run_with_store(context, lambda store: store.read('own/object'))
    assert stored.body == {'n': 2}, stored


def _return_from_copy(platform, copy):
    """Let the store come back from a copy after a later change."""
    platform.put(_KIND, 't1', {'service': 'lost'})
    platform.restore(copy)


@when('the store comes back from a copy while the targets are listed')
def when_returned(context):
    copy = context.platform.copy()
    _watch_after_list(
        context, lambda: _return_from_copy(context.platform, copy), 0.2
    )


@when(
    'the store comes back from a copy while the targets are listed, and gives '
    'out revisions again'
)
def when_returned_and_changed(context):
    copy = context.platform.copy()

    def change():
        _return_from_copy(context.platform, copy)
        for number in range(3):
            context.platform.put(_KIND, 't3', {'service': f's{number}'})

    _watch_after_list(context, change, 0.2)


@when('the store comes back from a copy while the targets are watched')
def when_returned_during_watch(context):
    copy = context.platform.copy()

    async def use(store):
        listed = await store.list_kind(_KIND)
        asyncio.get_running_loop().call_later(
            0.1, _return_from_copy, context.platform, copy
        )
        # The first watch ends with the change that is lost.
        try:
            await store.watch_kind(_KIND, listed.revision, 1)
            return await store.watch_kind(_KIND, listed.revision, 0.2)
        except StoreError as error:
            return error

    context.result = _run_with_store(context, use)


@when(
    'an object is read while the targets of a returned store are watched for '
    '{seconds:d} seconds'
)
def when_read_during_watch(context, seconds):
    copy = context.platform.copy()

    async def use(store):
        listed = await store.list_kind(_KIND)

        async def read_later():
            await asyncio.sleep(0.1)
            context.platform.restore(copy)
            await store.read('own/object')

        reading = asyncio.ensure_future(read_later())
        began_at = time.monotonic()
        try:
            return await store.watch_kind(_KIND, listed.revision, seconds)
        except StoreError as error:
            return error
        finally:
            context.watch_seconds = time.monotonic() - began_at
            await reading

    context.result = _run_with_store(context, use)


@then('it ended within {seconds:g} seconds')
def then_ended_within(context, seconds):
    assert context.watch_seconds < seconds, context.watch_seconds


@when('the store comes back from a copy between two pages of a list')
def when_returned_between_pages(context):
    copy = context.platform.copy()

    async def use(store):
        answer = context.platform.handle
        pages = []

        async def handle(request):
            pages.append(request.path)
            if len(pages) == 2:
                _return_from_copy(context.platform, copy)
            await answer(request)

        context.handle = handle
        try:
            return await store.list_kind(_KIND)
        except StoreError as error:
            return error

    context.result = _run_with_store(context, use)


@then('the list ends with {outcome}')
def then_list_ends(context, outcome):
    assert type(context.result).__name__ == outcome, context.result


@when('an object is read before and after the store comes back from a copy')
def when_read_twice(context):
    copy = context.platform.copy()
    for number in range(5):
        context.platform.put('own', 'object', {'n': number})

    async def use(store):
        before = await store.read('own/object')
        _return_from_copy(context.platform, copy)
        after = await store.read('own/object')
        written = await store.update('own/object', {'n': 9}, after.version)
        return before.version, after.version, written.version

    context.versions = _run_with_store(context, use)


@then('the second version is higher, and the next higher still')
def then_rising(context):
    assert context.versions == tuple(sorted(set(context.versions)))


@when(
    'the store comes back from a copy and gives out the expected revision again'
)
def when_revision_given_again(context):
    copy = context.platform.copy()
    context.platform.put('own', 'object', {'n': 2})

    async def use(store):
        before = await store.read('own/object')
        context.platform.restore(copy)
        context.platform.put('own', 'object', {'n': 3})
        await store.read('own/other')
        outcomes = []
        for call in (
            store.update('own/object', {'n': 4}, before.version),
            store.delete('own/object', before.version),
        ):
            try:
                await call
                outcomes.append('success')
            except StoreError as error:
                outcomes.append(type(error).__name__)
        return outcomes

    context.outcomes = _run_with_store(context, use)


@then('an update and a delete end with {outcome}')
def then_both(context, outcome):
    assert context.outcomes == [outcome, outcome], context.outcomes
    assert context.platform.find('own', 'object').spec == {'n': 3}


@when('a read gets an answer that states the era {era}')
def when_era_stated(context, era):
    async def use(store):
        await store.read('own/object')
        context.platform.faults.stated_eras = [era]
        outcomes = []
        for _ in range(2):
            try:
                await store.read('own/object')
                outcomes.append('success')
            except StoreError as error:
                outcomes.append(type(error).__name__)
        return (*outcomes, store.era)

    context.outcome, *context.next_outcome = _run_with_store(context, use)


@then('the next call ends with {outcome} in era {era:d}')
def then_next(context, outcome, era):
    assert context.next_outcome == [outcome, era], context.next_outcome
