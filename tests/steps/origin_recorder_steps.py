"""Steps for the origins of streams that are kept in the store."""

import anyio
from behave import given, then, when

from cowsliprack.coordination.stream_origins import ORIGIN_LIFETIME_SECONDS
from cowsliprack.protocol.store import MAX_VALUE_BYTES
from cowsliprack.state.stream_origin import StreamOrigin
from cowsliprack.transport.origin_recorder import OBJECTS, WRITE_SECONDS
from tests.support.origin_world import SERVICE

_UNKNOWN_KEY = 'f' * 24


def _flush(context):
    anyio.run(context.world.flush)


@when('the streams are recorded')
def when_recorded(context):
    _flush(context)


@when('{name:w}-{number:d} sends its streams')
@when('{name:w}-{number:d} writes the streams')
def when_sent(context, name, number):
    exchange = context.world.exchanges[f'{name}-{number}']
    anyio.run(exchange.recorder.flush)


@when('the streams are recorded again')
def when_recorded_again(context):
    # The first flush finds out what is missing, the second one writes it.
    _flush(context)
    _flush(context)


@when('the store does not answer')
def when_down(context):
    context.world.store.faults = ['down']


@when('the store answers again')
def when_up(context):
    context.world.store.faults = []


@when('the next write of the store has the fault "{fault}"')
def when_fault(context, fault):
    context.world.store.faults = [fault]


@given('a copy of the recorded streams')
@when('a copy of the recorded streams is made')
def when_copied(context):
    context.world.copy_store()


@when('the store of the streams comes back from the copy')
def when_restored(context):
    context.world.restore_store()


@when('no instance leads')
def when_no_leader(context):
    context.world.lead('')


@when('{name:w}-{number:d} begins to lead')
def when_leads(context, name, number):
    context.world.lead(f'{name}-{number}')


@when(
    '{name:w}-{number:d} leads and writes {count:d} times while a-1 is frozen'
)
def when_led_meanwhile(context, name, number, count):
    world = context.world
    last_leader = world.leader
    world.leader = f'{name}-{number}'
    recorder = world.exchanges[world.leader].recorder
    for written in range(count):
        recorder.add(f'{written:024x}', StreamOrigin(SERVICE, 'v1'))
        anyio.run(recorder.flush)
    world.leader = last_leader


@given('an odd object {content} among the recorded streams')
def given_odd(context, content):
    bodies = {
        'without fields': {},
        'of another form': {'number': 'x', 'streams': 7},
    }
    world = context.world
    for number in range(3):
        key = f'cowsliprack-streams/{number}'
        anyio.run(world.store.create, key, bodies[content])


@when('{count:d} writes of one stream each follow')
def when_many_writes(context, count):
    world = context.world

    async def write_all():
        recorder = world.exchanges[world.leader].recorder
        for number in range(count):
            recorder.add(f'{number:024x}', StreamOrigin(SERVICE, 'v1'))
            await recorder.flush()

    anyio.run(write_all)


@when('{count:d} streams are added at once and recorded')
def when_large(context, count):
    recorder = context.world.exchanges[context.world.leader].recorder
    for number in range(count):
        recorder.add(f'{number:024x}', StreamOrigin(SERVICE, 'v1'))
    _flush(context)


@when('{name:w}-{number:d} looks for {count:d} unknown streams at once')
def when_unknown(context, name, number, count):
    world = context.world

    async def find_all():
        recorder = world.exchanges[f'{name}-{number}'].recorder
        async with anyio.create_task_group() as tasks:
            for _ in range(count):
                tasks.start_soon(recorder.find, _UNKNOWN_KEY)

    anyio.run(find_all)


@given('a region of {count:d} instances')
def given_many(context, count):
    context.world.instance_count = count


@then(
    'its members together send the leader at most {count:d} messages a second'
)
def then_messages(context, count):
    world = context.world
    recorder = world.exchanges['b-1'].recorder
    sent = world.instance_count / recorder.gathering_seconds()
    assert sent <= count + 1e-6, sent


@then('the store was listed {count:d} times')
def then_lists(context, count):
    assert context.world.store.lists == count, context.world.store.lists


@then('the store was written {count:d} times')
def then_writes(context, count):
    assert context.world.store.writes == count, context.world.store.writes


@then('the store holds {count:d} objects of streams')
def then_objects(context, count):
    held = len(context.world.store.objects_by_key)
    assert held == count, held


@then('no object of streams is replaced while its streams may be taken up')
def then_lifetime(context):
    assert OBJECTS * WRITE_SECONDS >= ORIGIN_LIFETIME_SECONDS


@then('each object is smaller than the largest value of the store')
def then_size(context):
    for stored in context.world.store.objects_by_key.values():
        assert len(str(stored.body)) < MAX_VALUE_BYTES
