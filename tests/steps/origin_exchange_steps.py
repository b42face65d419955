"""Steps for the origins of streams that callers take up again."""

import anyio
from behave import given, then, when

from cowsliprack.coordination import stream_origins
from cowsliprack.protocol.gateway_messages import PeerView
from cowsliprack.state.stream_origin import StreamOrigin
from tests.support.origin_world import OTHER_SERVICE, SERVICE, OriginWorld

_STREAMS = 40


@given('instances {names} of three zones')
def given_instances(context, names):
    context.world = OriginWorld(names.split(', '))


@given('targets of the versions {versions}')
@when('the targets run the versions {versions}')
def given_versions(context, versions):
    context.world.run_versions(versions.split(', '))


@given('all instances know each other')
@when('the instances learn of each other again')
def given_peers(context):
    context.world.share_peers()


@when('the instances that are not cut off learn of each other again')
def when_some_learn(context):
    context.world.share_peers(to_cut=False)


@when('{name} knows of {other} only')
def when_few_known(context, name, other):
    context.world.show_peers(name, (other,))


@given('the other instances are gone')
def given_gone(context):
    for name in list(context.world.exchanges):
        if name != 'a-1':
            context.world.kill(name)


@given('a route that leads to s and another service')
@when('the route leads to s and another service')
def given_split(context):
    context.world.lead_route_to((SERVICE, OTHER_SERVICE))


@when('the route leads to the other service only')
def when_moved(context):
    context.world.lead_route_to((OTHER_SERVICE,))


@given('{name} has begun streams at {versions}')
@when('{name} begins streams at {versions}')
def given_streams(context, name, versions):
    context.version_by_attempt = {}
    for number in range(_STREAMS):
        version = versions.split(' and ')[number % len(versions.split(' and '))]
        attempt = f'{name}-{number}'
        context.version_by_attempt[attempt] = version
        context.world.begin(name, attempt, version)


@when('{name} begins streams of the other service')
def when_begun_there(context, name):
    context.version_by_attempt = {}
    for number in range(_STREAMS):
        attempt = f'{name}-other-{number}'
        context.version_by_attempt[attempt] = 'v1'
        context.world.begin(name, attempt, 'v1', OTHER_SERVICE)


@when('{name} passes them to {other}, which begins them at {version}')
def when_passed(context, name, other, version):
    for attempt in context.version_by_attempt:
        context.world.pass_on(name, attempt)
        context.world.begin(other, attempt, version)
        context.version_by_attempt[attempt] = version


@given('messages from {sender} to {receivers} are late')
def given_late(context, sender, receivers):
    context.world.late_links = {
        (sender, receiver) for receiver in receivers.split(', ')
    }


@when('the late messages arrive')
def when_late(context):
    context.world.deliver_late()


@given('{name} is isolated')
def given_isolated(context, name):
    context.world.isolated.add(name)


@when('{name:w}-{number:d} dies')
def when_killed(context, name, number):
    context.world.kill(f'{name}-{number}')


@when('{name:w}-{number:d} starts again')
def when_restarted(context, name, number):
    context.world.restart(f'{name}-{number}')


@when('all instances start again and read the lease')
def when_all_restarted(context):
    context.world.restart_all()


@given('zone {zones} is cut off')
@when('zone {zones} is cut off')
def when_cut(context, zones):
    context.world.cut_zones = set(zones.split(', '))


@given('the targets have been read again')
def given_read_again(context):
    context.world.run_versions(context.world.versions)


@given('{seconds:d} seconds have passed')
@when('{seconds:d} seconds pass')
def when_passed(context, seconds):
    context.world.now += seconds


def _found(context, name):
    found = {}

    async def find(attempt):
        found[attempt] = await context.world.take_up(name, attempt)

    async def find_all():
        async with anyio.create_task_group() as tasks:
            for attempt in context.version_by_attempt:
                tasks.start_soon(find, attempt)

    anyio.run(find_all)
    return found


@then('{name} finds the version that began each of them')
def then_found(context, name):
    found = _found(context, name)
    for attempt, version in context.version_by_attempt.items():
        assert found[attempt] == StreamOrigin(SERVICE, version), (
            attempt,
            found[attempt],
        )


@then('{name} finds no wrong version, and that of at least {count:d} of them')
def then_some(context, name, count):
    found = _found(context, name)
    known = {
        attempt: origin.software_version
        for attempt, origin in found.items()
        if origin is not None
    }
    assert known.items() <= context.version_by_attempt.items(), known
    assert len(known) >= count, len(known)


@then('{name} finds no version')
def then_unknown(context, name):
    found = _found(context, name)
    assert set(found.values()) == {None}, found


@then('{name} takes {version} for the version of all of them')
def then_guessed(context, name, version):
    found = _found(context, name)
    assert set(found.values()) == {StreamOrigin(SERVICE, version)}, found


@then('{name} does not guess the service')
def then_no_guess(context, name):
    found = _found(context, name)
    assert set(found.values()) == {None}, found


@then('{name} finds the service that began each of them')
def then_service(context, name):
    found = _found(context, name)
    assert {origin.service for origin in found.values()} == {SERVICE}, found


@then('{name} finds that the other service began each of them')
def then_other_service(context, name):
    found = _found(context, name)
    assert set(found.values()) == {StreamOrigin(OTHER_SERVICE, 'v1')}, found


@then('no message was sent')
def then_quiet(context):
    assert not context.world.sent, context.world.sent


@given('{count:d} instances in each of {zones:d} zones')
def given_peers_by_zone(context, count, zones):
    context.peers = tuple(
        PeerView(f'z{zone}-{number}', '', f'z{zone}', 'b')
        for zone in range(zones)
        for number in range(count)
    )


@then('each stream is kept by {count:d} instances in {zones:d} zones')
def then_keepers(context, count, zones):
    for number in range(_STREAMS):
        chosen = stream_origins.keepers(str(number), context.peers)
        assert len({peer.instance_id for peer in chosen}) == count, chosen
        assert len({peer.zone for peer in chosen}) == zones, chosen


@then('all streams together are kept by at most {count:d} instances')
def then_few_keepers(context, count):
    used = {
        peer.instance_id
        for number in range(1000)
        for peer in stream_origins.keepers(str(number), context.peers)
    }
    assert len(used) <= count, used


@given('{count:d} recorded streams')
def given_recorded(context, count):
    context.origins = stream_origins.StreamOrigins()
    for number in range(count):
        context.origins.record(
            str(number), StreamOrigin(SERVICE, 'v1'), 0, is_own=True
        )


@then('{count:d} are stored, and none after {seconds:d} seconds')
def then_stored(context, count, seconds):
    assert len(context.origins.own(SERVICE, 0)) == count
    assert not context.origins.own(SERVICE, seconds)
    assert context.origins.find('0', 0) is None
