"""Steps for limits while nobody leads, after a loss and behind a partition."""

import random

from behave import given, then, when

from cowsliprack.coordination.credit_reserve import (
    choose_lenders,
    reserve_tokens,
)
from cowsliprack.coordination.credit_shares import unheard_fraction
from cowsliprack.coordination.token_credit import TokenCredit
from cowsliprack.protocol.gateway_messages import PeerView
from cowsliprack.protocol.message_level import new_process_id
from tests.support.credit_world import (
    OVERRUN,
    SLACK_TOKENS,
    WINDOW_SECONDS,
    CreditWorld,
)

_SETTLE_SECONDS = 20
_GAP_SECONDS = 1.5
# Longer than a part by demand lives without a leader.
_PARTITION_SECONDS = 45
_FACTORS = {'a tenth of': 0.1, 'a half of': 0.5}


def _cut_off_zone(world):
    world.cut_off = set(range(0, world.count, 3))


def _restart(world, factor):
    world.restart_all()
    world.run(_GAP_SECONDS, factor)
    world.begin_term(range(world.count))
    world.run(15, factor)


def _restart_unled(world, factor):
    world.restart_all()
    world.run(4, factor)
    world.begin_term(range(world.count))
    world.run(10, factor)


def _partition(world, factor):
    _cut_off_zone(world)
    world.run(_PARTITION_SECONDS, factor)


def _stop_leader(world, factor):
    world.term = None
    world.stopped = {1}
    world.run(3, factor)
    world.begin_term(range(world.count))
    world.run(15, factor)


def _start_in_zone(world, factor):
    _cut_off_zone(world)
    world.run(10, factor)
    world.restart(0)
    world.run(_PARTITION_SECONDS, factor)


def _start_alone(world, factor):
    world.restart(0)
    world.cut_off = {0}
    world.instances = world.instances[:1]
    world.run(200, factor)


def _partition_and_restart(world, factor):
    _cut_off_zone(world)
    world.run(10, factor)
    world.cut_off = set()
    _restart(world, factor)


def _cut_off_after_pause(world, factor):
    # Unused shares are as full as they get.
    world.run(120, 0)
    world.cut_off = set(range(world.count * 2 // 3))
    world.run(15, factor)


_RUNS = {
    'all instances restart': _restart,
    'all instances restart without a leader': _restart_unled,
    'a zone is cut off': _partition,
    'the leader stops': _stop_leader,
    'an instance starts in a zone that is cut off': _start_in_zone,
    'a zone is cut off and all restart': _partition_and_restart,
    'most instances are cut off after a pause': _cut_off_after_pause,
}


@given(
    'a region of {count:d} instances and a limit of {rate:d} tokens a second'
)
def given_region(context, count, rate):
    context.worlds = [CreditWorld(count, rate, seed) for seed in range(3)]


@when('requests of {part} the rate come while {fault}')
def when_requests(context, part, fault):
    factor = _FACTORS.get(part) or float(part.removesuffix(' times'))
    if factor > 1:
        del context.worlds[1:]
    context.refused = 0
    context.asked = 0
    for world in context.worlds:
        world.run(_SETTLE_SECONDS, factor)
        _count(context, world, _RUNS[fault], factor)


def _count(context, world, run, factor):
    admitted, refused = len(world.admitted), len(world.refused)
    run(world, factor)
    more = len(world.refused) - refused
    context.refused += more
    context.asked += more + len(world.admitted) - admitted


@then('at most {most:d} in 1000 of them are refused')
def then_refused(context, most):
    assert context.asked > 40, context.asked
    share = context.refused / context.asked * 1000
    assert share <= most, (share, context.refused, context.asked)


@then('no window of 8 seconds admits more than the limit with its tolerance')
def then_within(context):
    for world in context.worlds:
        largest = _largest_window(world.admitted)
        assert largest <= world.limit(), (largest, world.limit())


def _largest_window(admitted):
    largest = total = start = 0
    entries = sorted(admitted)
    for at, tokens in entries:
        total += tokens
        while entries[start][0] <= at - WINDOW_SECONDS:
            total -= entries[start][1]
            start += 1
        largest = max(largest, total)
    return largest


@when('one instance starts alone and gets its part of a twentieth of the rate')
def when_alone(context):
    context.refused = 0
    context.asked = 0
    for world in context.worlds:
        world.run(_SETTLE_SECONDS, 0)
        _count(context, world, _start_alone, 1 / 20 / world.count)


def _instance(context, overrun, known=31):
    world = CreditWorld(1, 12000)
    context.organisation = world.organisation
    context.credit = TokenCredit(
        SLACK_TOKENS, WINDOW_SECONDS, overrun=overrun, started_at=0.0
    )
    if known:
        context.credit.observe_instances(known, 0.0, is_view=False)
    context.now = 0.0


@given('an instance that has just started and knows of 31 others')
def given_instance(context):
    _instance(context, OVERRUN)


@given('an instance that has just started and knows of no others')
def given_unknown(context):
    _instance(context, OVERRUN, known=0)


@then('it has charged the even share of 20 instances only')
def then_even_of_twenty(context):
    assert abs(context.charged - 12000 * 0.2 / 20) < 0.01, context.charged


@given('an instance of a deployment without a tolerated overrun')
def given_no_overrun(context):
    _instance(context, 0)


@when('it charges all that it has alone')
def when_charges(context):
    missing = context.credit.spend_alone(context.organisation, 1e6, 0.0)
    context.charged = 1e6 - missing


def _even_tokens():
    # A cap of 12000 tokens, of which 4 in 31 are divided among 31.
    return 12000 * 4 / 31 / 31


@then('it has charged less than half of its part of the tolerance')
def then_half(context):
    reserve = reserve_tokens(108000, 12000 * 4 / 31, OVERRUN, SLACK_TOKENS) / 31
    charged = context.charged - _even_tokens()
    assert 0.2 * reserve < charged < 0.5 * reserve, (charged, reserve)


@then('it has charged its even share only')
def then_even(context):
    assert abs(context.charged - _even_tokens()) < 0.01, context.charged


@when('it lends all that it has')
def when_lends(context):
    context.lent = context.credit.lend(context.organisation, 1e6, context.now)
    assert context.lent > 0


@when('it lends all that it has and gets it back')
def when_lends_back(context):
    when_lends(context)
    context.credit.take_back(context.organisation, context.lent, 0.0)


@then('it can lend as much again')
def then_lends(context):
    assert context.credit.lend(context.organisation, 1e6, 0.0) == context.lent


@then('it can charge nothing alone')
def then_nothing(context):
    missing = context.credit.spend_alone(context.organisation, 1000, 0.0)
    # Loans are of whole tokens.
    assert missing > 999, missing


@when('a leader counts 2 instances')
def when_counts(context):
    context.credit.observe_instances(2, 1.0)


@when('a leader counts 2 instances 601 seconds later')
def when_counts_later(context):
    context.credit.observe_instances(2, 602.0)


@then('its even share is that of 31 instances')
def then_even_share(context):
    assert context.credit.instances == 31


@then('its even share is larger')
def then_larger(context):
    assert context.credit.instances == 2


@when('nothing is heard from a leader for {seconds:d} seconds')
def when_silent(context, seconds):
    context.now = float(seconds)


@then('it lends only of its reserve')
def then_reserve(context):
    lent = context.credit.lend(context.organisation, 1e6, context.now)
    reserve = reserve_tokens(108000, 12000 * 4 / 31, OVERRUN, SLACK_TOKENS) / 31
    assert 0 < lent <= reserve * 0.65, (lent, reserve)


def _views(count, level=6):
    return [
        PeerView(f'i{number}', '', f'z{number % 2}', new_process_id(level))
        for number in range(count)
    ]


@given(
    '{known:d} instances known to the last leader, of which {missing:d} are '
    'not heard'
)
def given_known(context, known, missing):
    peers = _views(known)
    heard = {peer.instance_id for peer in peers[missing:]}
    context.unheard = unheard_fraction(peers, heard)


@then('{eighths:d} eighths of the divided part may be in use')
def then_unheard(context, eighths):
    assert context.unheard == eighths / 8, context.unheard


@given('instances of level 5 and of level 6 in both zones')
def given_levels(context):
    older = [
        PeerView(f'old{number}', '', 'z0', new_process_id(5))
        for number in range(4)
    ]
    context.views = [*older, *_views(8)]


@when('lenders are chosen')
def when_chosen(context):
    context.chosen = choose_lenders(context.views, 'i1', 'z1', random.Random(1))


@then('those of level 6 are asked, the own zone first')
def then_chosen(context):
    names = [peer.instance_id for peer in context.chosen]
    assert sorted(names[:3]) == ['i3', 'i5', 'i7'], names
    assert sorted(names[3:]) == ['i0', 'i2', 'i4', 'i6'], names
