"""Steps for membership and leader discovery."""

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
    context.connects_by_pair = dict(context.world.connects_by_pair)


def _node(context, name):
    return context.world.nodes[name]


@when('the open connection from "{sender}" to "{receiver}" stops delivering')
def when_stops_delivering(context, sender, receiver):
    connection = _node(context, sender).connections_by_peer[receiver]
    context.world.dead_connections.add(connection[1])


@then('"{receiver}" and "{sender}" exchange messages after {seconds:d} seconds')
def then_exchange_messages(context, receiver, sender, seconds):
    world = context.world
    world.run(seconds)
    link = _node(context, receiver).membership.links_by_id[sender]
    assert world.now - link.received_at < 2, (world.now, link)
    reverse_link = _node(context, sender).membership.links_by_id[receiver]
    assert world.now - reverse_link.received_at < 2, (world.now, reverse_link)


@then('only connections between "{first}" and "{second}" were replaced, once')
def then_only_pair_replaced(context, first, second):
    replaced = {
        pair: count - context.connects_by_pair[pair]
        for pair, count in context.world.connects_by_pair.items()
        if pair in context.connects_by_pair
        and count != context.connects_by_pair[pair]
    }
    # Either end may be the first to miss acknowledgements.
    expected = {(first, second): 1, (second, first): 1}
    assert replaced and replaced.items() <= expected.items(), replaced


@when('"a2" is elected and {fault}')
def when_elected(context, fault):
    world = context.world
    earlier = world.leases['a']
    if 'killed' in fault:
        world.kill('a1')
    if 'platform is unreachable' in fault:
        for node in world.nodes.values():
            node.reaches_store = False
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
    # Other zones learn the leader from the platform, or from the leader itself
    # if the platform has given it their leaders.
    other = world.nodes['b1']
    if other.reaches_store:
        assert other.membership.leader_ids_by_zone()['a'] == leader


@when('the lease of zone "a" is released')
def when_released(context):
    world = context.world
    world.kill('a1')
    world.leases['a'] = LeaderInfo('', '', world.leases['a'].fencing)


@then('"{name}" knows no leader after {seconds:d} seconds')
def then_no_leader(context, name, seconds):
    context.world.run(seconds)
    assert _node(context, name).membership.leader_id() is None


@when('"a3" is killed and "a4" is leaving')
def when_killed_and_leaving(context):
    world = context.world
    world.kill('a3')
    node = world.nodes['a4']
    own_state = node.own_state
    node.own_state = lambda: OwnState(own_state().generation, leaving=True)


@then('"a2" is sent only "a2" as member after {seconds:d} seconds')
def then_members_sent(context, seconds):
    context.world.run(seconds)
    contacts = _node(context, 'a2').membership.contacts_by_id
    assert set(contacts) == {'a2'}, contacts
    members = _node(context, 'a1').membership.member_ids()
    assert sorted(members) == ['a2', 'a4'], members


@when('"a3" restarts on another address')
def when_restarts_elsewhere(context):
    context.world.kill('a3')
    context.world.start('a3')


@when('{count:d} unknown peers send heartbeats to "{name}"')
def when_unknown_peers(context, count, name):
    node = _node(context, name)
    for number in range(count):
        heartbeat = Heartbeat(f's{number}', 'b', f's{number}:1', 1, 0)
        node.receive(heartbeat.instance_id, heartbeat)


@then('"{name}" has at most {count:d} connections')
def then_connections(context, name, count):
    assert len(_node(context, name).connections_by_peer) <= count


@when('60 seconds pass')
def when_time_passes(context):
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
