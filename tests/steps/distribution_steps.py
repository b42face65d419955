"""Steps for the distribution of the configuration."""

import random
import re

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from cowsliprack.coordination.distribution import ConfigurationRelay
from cowsliprack.protocol.configuration_codec import encode_configuration
from cowsliprack.protocol.peer import ConfigurationShards
from tests.support.mesh_world import World, configuration

_NAMES = tuple(f'{zone}{number}' for zone in 'ab' for number in range(1, 5))


def _in_zone(world, zone):
    return [name for name in world.nodes if name.startswith(zone)]


@given('two zones with four instances each')
def given_world(context):
    context.world = World(_NAMES)
    context.world.run(5)
    assert set(context.world.generations().values()) == {1}


@given('one zone with four instances and 20000 adapters')
def given_many_adapters(context):
    context.world = World(_NAMES[:4], adapters=20000)
    context.world.run(6)
    assert set(context.world.generations().values()) == {1}


def _no_fault(world):
    return None


def _lose_messages(world):
    world.loss_rate = 0.2


def _elect(world):
    world.kill('a1')
    world.run(3)
    world.elect('a2')


def _stop_delivery(sender, receiver):
    def stop_delivery(world):
        world.dead_connections.add(
            world.nodes[sender].connections_by_peer[receiver][1]
        )

    return stop_delivery


def _cut_from_platform(*names):
    def cut(world):
        for name in names:
            world.nodes[name].reaches_store = False

    return cut


def _read_store_late(world):
    world.nodes['a1'].store_lag = 1


def _cut_from_leader(world):
    world.isolate(['a3'], ['a1'])


def _clear_patches(world):
    for node in world.nodes.values():
        node.relay._history.patches.clear()


_FAULTS = {
    'nothing fails': _no_fault,
    'nothing is cut off': _no_fault,
    'one instance is cut off from the platform': _cut_from_platform('a3'),
    '"a3" is cut off from the platform': _cut_from_platform('a3'),
    'one zone is cut off from the platform': _cut_from_platform(*_NAMES[:4]),
    'zone "a" is cut off from the platform': _cut_from_platform(*_NAMES[:4]),
    'the platform is unreachable': _cut_from_platform(*_NAMES),
    'one message in five is lost': _lose_messages,
    'leader "a1" is killed and "a2" elected': _elect,
    'leader "a1" reads the store one generation late': _read_store_late,
    'the connection from "a1" to "a3" delivers nothing': _stop_delivery(
        'a1', 'a3'
    ),
    'the connection from "a3" to "a1" delivers nothing': _stop_delivery(
        'a3', 'a1'
    ),
    '"a3" is cut off from its leader': _cut_from_leader,
    'a change that touches every entry came before it': _clear_patches,
}


@when('{fault} and the configuration changes')
def when_fault(context, fault):
    world = context.world
    if fault == 'the history of "a1" is wrong':
        _send_empty_patches(world)
    else:
        _FAULTS[fault](world)
    world.bytes_by_sender.clear()
    world.store.change()


class _EmptyPatchRelay(ConfigurationRelay):
    """Sends patches without their entries."""

    __slots__ = ()

    def on_pull(self, pull):
        answers = ConfigurationRelay.on_pull(self, pull)
        if answers and answers[0].base:
            return [msgspec.structs.replace(answers[0], shards={})]
        return answers


def _send_empty_patches(world):
    world.nodes['a1'].relay.__class__ = _EmptyPatchRelay


@then('the change is in force everywhere after {seconds:d} seconds')
def then_change_in_force(context, seconds):
    context.world.run(seconds)
    generations = context.world.generations()
    assert set(generations.values()) == {2}, generations


@then('generation 1 is in force everywhere after {seconds:d} seconds')
def then_generation_1(context, seconds):
    context.world.run(seconds)
    generations = context.world.generations()
    assert set(generations.values()) == {1}, generations


@when('the configuration changes and {source} later reports the old generation')
def when_stale_source(context, source):
    world = context.world
    old = world.store.generations[0]
    world.store.change()
    world.run(5)
    if source.startswith('the store'):
        for node in world.nodes.values():
            node.store_lag = 1
    for node in world.nodes.values():
        message = ConfigurationShards(
            1,
            msgspec.to_builtins(old.manifest, str_keys=True),
            dict(old.shards),
        )
        node.receive('a4', message)


@when('the platform is unreachable and "a3" restarts with "a4" as seed peer')
def when_restart(context):
    world = context.world
    _cut_from_platform(*_NAMES)(world)
    world.kill('a3')
    world.run(10)
    node = world.start('a3', (world.nodes['a4'].address,))
    node.reaches_store = False


@then('"{name}" knows the leader of its zone')
def then_leader(context, name):
    node = context.world.nodes[name]
    assert node.membership.leader_id() == f'{node.zone}1'


@when('{cut} for 60 seconds')
def when_cut_off(context, cut):
    world = context.world
    if cut == '"a3" is cut off from platform and peers':
        _cut_from_platform('a3')(world)
        world.isolate(['a3'], _NAMES)
    elif cut == 'zone "a" is cut off from platform and zones':
        _cut_from_platform(*_NAMES[:4])(world)
        world.isolate(_NAMES[:4], _NAMES[4:])
    else:
        _FAULTS[cut](world)
    world.run(60)


@then('{isolated} know that they are isolated and the others do not')
def then_isolated(context, isolated):
    expected = set(re.findall('[ab][1-4]', isolated))
    for name, node in context.world.nodes.items():
        seconds = node.relay.isolated_for(context.world.now)
        if name in expected:
            assert 55 < seconds < 65, (name, seconds)
        else:
            assert seconds < 5, (name, seconds)


@given('an instance that knows of a newer generation from a peer')
def given_newer_known(context):
    context.relay = ConfigurationRelay(random.Random(1), 0)
    encoded = encode_configuration(configuration(1))
    context.relay.on_manifest(encoded.manifest, 10)
    for number, body in encoded.shards.items():
        context.relay.on_shard(number, body)
    context.relay.on_store_progress(20)
    assert context.relay.isolated_for(20) == 0
    context.relay.on_announcement('a2', 2, 21)


@when('{source} reports that the old generation is the latest')
def when_old_is_reported(context, source):
    if source == 'the store':
        context.relay.on_store_progress(25)
    else:
        context.relay.on_announcement('a3', 1, 25, confirmed_at=25)


@then('the instance counts as isolated from then on')
def then_isolated_on(context):
    assert context.relay.isolated_for(25) == 5


@then('no instance sent more than {limit:d} bytes for it')
def then_bytes_sent(context, limit):
    assert max(context.world.bytes_by_sender.values()) <= limit, (
        context.world.bytes_by_sender
    )


@then('no message exceeded {limit:d} bytes')
def then_largest_message(context, limit):
    assert 100_000 < context.world.largest_frame <= limit, (
        context.world.largest_frame
    )


@then('{count:d} random sequences of faults end in one generation')
def then_random_faults(context, count):
    check = settings(
        max_examples=count,
        derandomize=True,
        database=None,
        deadline=None,
    )(for_all(st.integers(0, 2**32))(_check_convergence))
    check()


def _check_convergence(seed):
    rng = random.Random(seed)
    world = World(_NAMES, seed=seed)
    for _ in range(8):
        _inject_random_fault(world, rng)
        world.run(rng.choice((0.3, 1, 4)))
    world.blocked_pairs.clear()
    world.dead_connections.clear()
    world.loss_rate = 0
    for zone in 'ab':
        leader = world.leases[zone].instance_id
        if leader not in world.nodes:
            world.elect(rng.choice(_in_zone(world, zone)))
    for node in world.nodes.values():
        node.reaches_store = True
        node.store_lag = 0
    world.run(18)
    generations = world.generations()
    assert set(generations.values()) == {len(world.store.generations)}, (
        seed,
        generations,
    )


def _inject_random_fault(world, rng):
    name = rng.choice(sorted(world.nodes))
    kind = rng.randrange(8)
    if kind == 0:
        world.elect(name)
    elif kind == 1:
        world.nodes[name].reaches_store = False
    elif kind == 2:
        world.nodes[name].store_lag = rng.randrange(3)
    elif kind == 3:
        world.isolate([name], rng.sample(_NAMES, 4))
    elif kind == 4:
        world.loss_rate = rng.choice((0, 0.3))
    elif kind == 5:
        ids = [key for _, key in world.nodes[name].connections_by_peer.values()]
        world.dead_connections.update(ids)
    elif kind == 6:
        world.kill(name)
        world.start(name)
    world.store.change()
