"""Steps for membership and leaders."""

from behave import given, then, when

from cowsliprack.coordination.links import LeaderInfo, OwnState
from cowsliprack.protocol.peer import Heartbeat
from tests.support.mesh_world import World

_COUNT_BY_WORD = {'two': 2, 'four': 4}


@given('{zones} zones of {size} members')
def given_members(context, zones, size):
    zone_count = _COUNT_BY_WORD.get(zones) or int(zones)
    zone_size = _COUNT_BY_WORD.get(size) or int(size)
    names = [
        f'{zone}{number}'
        for zone in 'abcdefghijk'[:zone_count]
        for number in range(1, zone_size + 1)
    ]
    context.world = World(names)
    context.world.run(8)
    context.connects = dict(context.world.connects)


def _node(context, name):
    return context.world.nodes[name]


@when('the open connection from "{sender}" to "{receiver}" falls silent')
def when_silent(context, sender, receiver):
    dealer = _node(context, sender).dealers[receiver]
    context.world.silent.add(dealer[1])


@then('"{receiver}" hears "{sender}" again after {seconds:d} seconds')
def then_hears(context, receiver, sender, seconds):
    world = context.world
    world.run(seconds)
    link = _node(context, receiver).membership.links_by_id[sender]
    assert world.now - link.received_at < 2, (world.now, link)
    back = _node(context, sender).membership.links_by_id[receiver]
    assert world.now - back.received_at < 2, (world.now, back)


@then('only connections between "{first}" and "{second}" were replaced, once')
def then_only(context, first, second):
    replaced = {
        pair: count - context.connects[pair]
        for pair, count in context.world.connects.items()
        if pair in context.connects and count != context.connects[pair]
    }
    # Either end may be the first to miss answers.
    allowed = {(first, second): 1, (second, first): 1}
    assert replaced and replaced.items() <= allowed.items(), replaced


@when('"a2" is elected and {fault}')
def when_elected(context, fault):
    world = context.world
    earlier = world.leases['a']
    if 'killed' in fault:
        world.kill('a1')
    if 'platform is away' in fault:
        for node in world.nodes.values():
            node.sees_store = False
    world.elect('a2')
    if 'still believes' in fault:
        world.nodes['a1'].fencing = earlier.fencing
    world.run(1)
    if 'lease reads' in fault:
        world.run(5)
        world.leases['a'] = earlier


@then('all instances follow "{leader}" after {seconds:d} seconds')
def then_follow(context, leader, seconds):
    world = context.world
    world.run(seconds)
    for name, node in world.nodes.items():
        membership = node.membership
        if node.fencing == 1 and name == 'a1':
            assert membership.leaders_by_zone['a'].instance_id == leader
        elif node.zone == 'a':
            assert membership.leader_id() == leader, name
            assert membership.hears_leader(world.now), name
    # Other zones learn it from the platform, or from the leader itself when
    # the platform has told that one of them.
    other = world.nodes['b1']
    if other.sees_store:
        assert other.membership.leader_ids_by_zone()['a'] == leader


@when('the lease of zone "a" is released')
def when_released(context):
    world = context.world
    world.kill('a1')
    world.leases['a'] = LeaderInfo('', '', world.leases['a'].fencing)


@then('"{name}" follows nobody after {seconds:d} seconds')
def then_nobody(context, name, seconds):
    context.world.run(seconds)
    assert _node(context, name).membership.leader_id() is None


@when('"a3" is killed and "a4" is leaving')
def when_gone(context):
    world = context.world
    world.kill('a3')
    node = world.nodes['a4']
    own = node.own
    node.own = lambda: OwnState(own().generation, leaving=True)


@then('"a2" is told of the members "a2" alone after {seconds:d} seconds')
def then_told(context, seconds):
    context.world.run(seconds)
    contacts = _node(context, 'a2').membership.contacts_by_id
    assert set(contacts) == {'a2'}, contacts
    members = _node(context, 'a1').membership.member_ids()
    assert sorted(members) == ['a2', 'a4'], members


@when('"a3" restarts on another address')
def when_address(context):
    context.world.kill('a3')
    context.world.start('a3')


@when('{count:d} strangers send heartbeats to "{name}"')
def when_strangers(context, count, name):
    node = _node(context, name)
    for number in range(count):
        heartbeat = Heartbeat(f's{number}', 'b', f's{number}:1', 1, 0)
        node.take(heartbeat.instance_id, heartbeat)


@then('"{name}" has at most {count:d} connections')
def then_connections(context, name, count):
    assert len(_node(context, name).dealers) <= count


@when('60 seconds pass')
def when_time(context):
    context.world.bytes_by_sender.clear()
    context.world.run(60)


@then('a member sends at most {limit:d} bytes a second')
def then_member_cost(context, limit):
    members = [
        count / 60
        for name, count in context.world.bytes_by_sender.items()
        if not name.endswith('1') or len(name) > 2
    ]
    assert 0 < max(members) <= limit, max(members)


@then('a leader sends at most {limit:d} bytes a second')
def then_leader_cost(context, limit):
    sent = context.world.bytes_by_sender
    assert 0 < sent['a1'] / 60 <= limit, sent['a1'] / 60
