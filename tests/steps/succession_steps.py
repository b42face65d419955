"""Steps for the order in which instances compete for a free lease."""

import random
from types import SimpleNamespace

from behave import given, then, when

from cowsliprack.coordination.freshness import RelayedReading
from cowsliprack.coordination.lease import Lease
from cowsliprack.coordination.lease_record import WriteLease
from cowsliprack.coordination.region_state import RegionState
from cowsliprack.coordination.succession import (
    KnownBuilds,
    PastLeaders,
    seconds_before_turn,
)
from cowsliprack.protocol.gateway_messages import (
    LeaderView,
    MemberReport,
    PeerView,
)
from cowsliprack.protocol.message_level import (
    knows_announcements,
    new_process_id,
)
from cowsliprack.protocol.store import StoredObject
from cowsliprack.transport.region import Region
from cowsliprack.transport.region_term import RegionTerm

_LAST_FENCING = 40


@given(
    'a region of {count:d} instances with {cores:g} cores each, of which the '
    'first {reach} engines'
)
def given_region(context, count, cores, reach):
    context.ids = [f'i{number}' for number in range(count)]
    context.cores = cores
    context.is_cut_off = reach == 'reaches no'


def _delays(context, fencing):
    return [
        seconds_before_turn(
            instance_id,
            context.ids,
            fencing,
            context.cores,
            has_lost_engines=context.is_cut_off and instance_id == 'i0',
        )
        for instance_id in context.ids
    ]


@when('the lease becomes free')
def when_free(context):
    context.delays = _delays(context, _LAST_FENCING)


@then('the first instance may take it within {least:g} to {most:g} seconds')
def then_first(context, least, most):
    assert least <= context.delays[0] <= most, context.delays[0]


@then('an instance may take it within 1 second')
def then_soon(context):
    assert min(context.delays) < 1, context.delays


@then('at most {count:d} instances compete within {seconds:g} seconds')
def then_few(context, count, seconds):
    competing = sum(delay <= seconds for delay in context.delays)
    assert competing <= count, context.delays


@when('the lease becomes free after each of {count:d} terms')
def when_often(context, count):
    context.first_ids = set()
    for fencing in range(count):
        delays = _delays(context, fencing)
        context.first_ids.add(context.ids[delays.index(min(delays))])


@then('at least {count:d} different instances are the first to compete')
def then_different(context, count):
    assert len(context.first_ids) >= count, context.first_ids


@given('the instances of a region have the message levels {levels}')
def given_levels(context, levels):
    context.peers = [
        PeerView(f'i{number}', '', 'z', new_process_id(int(level)))
        for number, level in enumerate(levels.split(','))
    ]


@then('a new leader announces itself to all: {answer}')
def then_announces(context, answer):
    assert knows_announcements(context.peers) == (answer == 'yes')


@given('an instance with {cores:g} cores that has no view of a leader')
def given_instance(context, cores):
    context.region = SimpleNamespace(
        term=None,
        leaving=False,
        context=SimpleNamespace(cores=cores, clock=lambda: context.now),
        _started_at=0,
        _relayed=RelayedReading(3.6),
    )


@when('it has run for {seconds:g} seconds')
def when_run(context, seconds):
    context.now = seconds


@then('it reads the store itself: {answer}')
def then_reads(context, answer):
    assert Region.reads_store(context.region) == (answer == 'yes')


_LEASE_SECONDS = 3


@given('an instance with 0.12 cores that {state}')
def given_lease_state(context, state):
    lease = Lease('r', 'i0', '', _LEASE_SECONDS, random.Random(1), started_at=0)
    lease.tick(0)
    lease.on_read(None, 0)
    if state != 'has never led':
        write = lease.tick(0)
        lease.on_written(StoredObject(write.key, 1, write.body), 0)
    if 'release' in state:
        write = lease.release(0.5)
        if state == 'has released the lease':
            lease.on_written(StoredObject(write.key, 2, write.body), 0.5)
        else:
            lease.on_no_answer(0.5)
    # A leader is heard, and all instances know announcements.
    context.now = 1.6
    lease.observation.announced_end = context.now + _LEASE_SECONDS
    context.region = SimpleNamespace(**_shared_parts(lease, 0.12))


def _shared_parts(lease, cores, regained_at=float('-inf')):
    store = SimpleNamespace(regained_at=regained_at)
    return {
        'lease': lease,
        'context': SimpleNamespace(instance_id='i0', cores=cores, store=store),
        'origins': SimpleNamespace(
            peers=[
                PeerView(name, '', 'z', new_process_id())
                for name in ('i0', 'i1')
            ]
        ),
        'reach_watch': SimpleNamespace(has_lost_engines=lambda: False),
        '_leader_fencing': 1,
        '_started_at': 0,
    }


# The lease ends at 3 s; the store answers again at 8 s.
_REGAINED_AT = 8


@given(
    'an instance with {cores:g} cores whose turn to lead came while the store '
    'was silent'
)
def given_turn_in_outage(context, cores):
    lease = Lease('r', 'i0', '', _LEASE_SECONDS, random.Random(1), started_at=0)
    lease.observe_term(1, 7, _LEASE_SECONDS, 0)
    body = {'holder': 'i1', 'fencing': 1, 'duration': _LEASE_SECONDS}
    context.stored = StoredObject('leases/r', 7, body)
    context.region = SimpleNamespace(
        **_shared_parts(lease, cores, _REGAINED_AT)
    )


@when('the store has answered again for {seconds:g} seconds')
def when_answered_again(context, seconds):
    context.now = _REGAINED_AT + seconds
    context.region.lease.tick(context.now, competes=False)
    context.region.lease.on_read(context.stored, context.now)


@then('it competes for the lease: {answer}')
def then_competes(context, answer):
    action = Region._tick_lease(context.region, context.now)
    assert isinstance(action, WriteLease) == (answer == 'yes'), action


@when('its lease is looked after')
def when_looked_after(context):
    context.action = Region._tick_lease(context.region, context.now)


@then('it calls the store: {answer}')
def then_calls(context, answer):
    assert (context.action is not None) == (answer == 'yes'), context.action


@given('a leader that reaches no engine, with a lease of {seconds:g} seconds')
def given_cut_off_leader(context, seconds):
    context.lease_seconds = seconds
    context.now = 100.0
    context.kept_until = float('-inf')


@given('its lease is kept for {seconds:g} seconds')
def given_kept(context, seconds):
    context.kept_until = context.now + seconds


@given('before it led {others}')
def given_past_leaders(context, others):
    names, _, since = others.partition(' until ')
    led = [] if names == 'nobody' else names.split(' and ')
    past_leaders = PastLeaders()
    ended_at = context.now - (float(since.split()[0]) if since else 0)
    for fencing, name in enumerate([*led, 'i0'], start=1):
        past_leaders.note(name, fencing, ended_at)
    state = RegionState(len(led) + 1, 'i0', '')
    for name in {'i0', 'i1', *led}:
        state.apply_report(_report(name), context.now)
    context.term = SimpleNamespace(
        state=state,
        ending=False,
        _successors=lambda: RegionTerm._successors(context.term),
        _pauses_orders=False,
        _executor=SimpleNamespace(has_settled=lambda: True),
        _request_plan=lambda: None,
        _past_leaders=past_leaders,
        _has_logged_resting=False,
        _lease=SimpleNamespace(
            terms=SimpleNamespace(kept_until=lambda: context.kept_until)
        ),
        _reach_watch=SimpleNamespace(has_lost_engines=lambda: True),
        _context=SimpleNamespace(
            clock=lambda: context.now, lease_seconds=context.lease_seconds
        ),
    )


def _report(instance_id, level=5):
    return MemberReport(
        instance_id=instance_id,
        address='',
        zone='z',
        boot=new_process_id(level),
        sequence=1,
        stamp=0,
        view_sequence=0,
        view_fencing=0,
        waiting=(),
        engines=(),
        generation=0,
    )


@then('it hands over: {answer}')
def then_hands_over(context, answer):
    hands_over = RegionTerm.should_hand_over(context.term)
    assert hands_over == (answer == 'yes')


@given('a new leader that hears of instances of message levels {heard}')
def given_heard(context, heard):
    levels, _, source = heard.partition(' in ')
    instances = [
        _report(f'i{number}', int(level))
        for number, level in enumerate(levels.split(','), start=1)
    ]
    context.builds = KnownBuilds()
    if source.startswith('a report'):
        for report in instances:
            context.builds.observe(report, 0)
    else:
        context.builds.observe(_view(instances), -100)
    if source == 'the list of the last leader':
        context.builds.observe(_view([_report('i0')]), 0)
    context.now = 61 if '61 seconds' in source else 1


def _view(instances):
    return LeaderView(
        fencing=1,
        sequence=1,
        instance_id='i0',
        address='',
        base=0,
        stamp=0,
        engines=(),
        gone=(),
        members=1,
        limits=(),
        peers=tuple(
            PeerView(one.instance_id, '', 'z', one.boot) for one in instances
        ),
        peers_digest=1,
    )


@then('it takes all of them to rest between two terms: {answer}')
def then_all_rest(context, answer):
    assert context.builds.all_rest(context.now) == (answer == 'yes')
