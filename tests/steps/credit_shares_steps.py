"""Steps for the division of limits by demand."""

import math

from behave import given, then, when

from cowsliprack.coordination.credit_shares import CreditShares
from cowsliprack.coordination.token_credit import LeaderTokenCredit
from cowsliprack.protocol.credit_messages import CreditUse
from cowsliprack.state.routing_table import OrganisationLimits

_WINDOW = 8.0
_LIMIT = 720_000
_STEP_SECONDS = 0.5


@given(
    'an organisation whose limit admits {limit:d} tokens in a window of 8 '
    'seconds'
)
def given_organisation(context, limit):
    # A burst of one second of the rate.
    context.organisation = OrganisationLimits(
        name='o',
        priority=None,
        rate=limit / 9,
        burst=limit / 9,
        counts_tokens=True,
        default_tokens=200,
    )


@given('a leader of {count:d} instances that divides it')
def given_leader(context, count):
    context.count = count
    context.now = 1000.0
    context.granted = 0
    context.shares = CreditShares(_WINDOW, -math.inf, -math.inf)
    _divide(context)


@given('the leader has granted {tokens:d} tokens in the last window')
def given_granted(context, tokens):
    context.granted = tokens


@given('the leader has just begun its term and has heard of no instance')
def given_new_leader(context):
    context.shares = CreditShares(
        _WINDOW, context.now + 30, context.now + _WINDOW
    )
    _divide(context)


def _divide(context):
    context.now += _STEP_SECONDS
    context.shares.divide(
        [context.organisation],
        context.count,
        lambda _name, _now: context.granted,
        context.now,
    )


def _ids(first):
    return [f'i{number}' for number in range(first, first + 20)]


def _report(context, ids, wanted, rate_by_id=None, boot='b1'):
    for instance_id in ids:
        rate = (rate_by_id or {}).get(instance_id, 0)
        context.shares.apply_report(
            instance_id, boot, [CreditUse('o', wanted, rate)], context.now
        )


def _told(context, ids):
    news = {one: context.shares.news_for(one, []) for one in ids}
    return {one: parts[0].rate for one, parts in news.items() if parts}


def _cost(rate_by_id):
    return sum(rate * _WINDOW + 2000 for rate in rate_by_id.values())


@when('20 instances report a demand of {wanted:d} tokens a second each')
def when_demand(context, wanted):
    _report(context, _ids(0), wanted)
    _divide(context)
    context.told = _told(context, _ids(0))


@when('2 of the instances report a demand of {wanted:d} tokens a second each')
def when_few_demand(context, wanted):
    _report(context, _ids(0)[:2], wanted)
    _divide(context)
    context.told = _told(context, _ids(0)[:2])


@then('no part is larger than 1 in 16 of what is divided')
def then_bounded(context):
    divided = 720000 * (0.75 - 4 / 100)
    assert len(context.told) == 2, context.told
    for rate in context.told.values():
        assert 0 < rate * 8 + 2000 <= divided / 16, context.told


@when('20 other instances report a demand of {wanted:d} tokens a second each')
def when_other_demand(context, wanted):
    context.other_wanted = wanted
    _report(context, _ids(20), wanted)
    _divide(context)
    context.other_told = _told(context, _ids(20))


@when('they report their parts, and a second later no demand')
def when_moved(context):
    _report(context, _ids(0), 4000, context.told)
    # Demand is averaged, so it takes some reports to fade.
    for _ in range(300):
        _report(context, _ids(0), 0, _told(context, _ids(0)))
        _divide(context)
    context.now_lowered = context.now


@when('they report their parts, and restart')
def when_restarted(context):
    _report(context, _ids(0), 4000, context.told)
    _divide(context)
    context.count_before = context.shares.divided_by_name['o']
    for instance_id in _ids(0):
        context.shares.apply_report(instance_id, 'b2', [], context.now)
    _divide(context)


@when('they report their parts, and are silent for {seconds:d} seconds')
def when_silent(context, seconds):
    _report(context, _ids(0), 4000, context.told)
    _divide(context)
    context.count_before = context.shares.divided_by_name['o']
    context.now += seconds
    _divide(context)


@when('{seconds:d} seconds have passed')
def when_passed(context, seconds):
    context.now += seconds
    _divide(context)
    if hasattr(context, 'other_wanted'):
        when_other_demand(context, context.other_wanted)


@then('each of them is told a part of {least:d} to {most:d} tokens a second')
def then_told(context, least, most):
    assert len(context.told) == 20, context.told
    assert all(least <= rate <= most for rate in context.told.values())


@then(
    'each of the other instances is told a part of {least:d} to {most:d} '
    'tokens a second'
)
def then_other_told(context, least, most):
    assert len(context.other_told) == 20, context.other_told
    rates = context.other_told.values()
    assert all(least <= rate <= most for rate in rates), rates


@then('the other instances are told nothing')
def then_nothing(context):
    assert not _told(context, _ids(20))


@then('parts and grants together admit at most {most:d} tokens in a window')
def then_within(context, most):
    assert context.granted + _cost(context.told) <= most, context.told


@then('what they were told and may have used just before fits into the limit')
def then_fits(context):
    counted = context.shares.divided_by_name['o']
    assert counted <= _LIMIT * 0.75, counted


@then('the parts of their last processes still count')
def then_count(context):
    counted = context.shares.divided_by_name['o']
    assert counted >= context.count_before > 0, counted


@then('they do not count any more')
def then_not_counted(context):
    assert context.shares.divided_by_name['o'] < context.count_before


@then('the whole divided part of the limit counts as used')
def then_all_used(context):
    counted = context.shares.divided_by_name['o']
    assert counted >= _LIMIT * 0.7, counted


@then('the leader may grant {tokens:d} tokens in a window or more')
def then_may_grant(context, tokens):
    leader_credit = LeaderTokenCredit(_WINDOW)
    divided = context.shares.divided_by_name
    now = context.now
    leader_credit.limit([context.organisation], context.count, now, divided)
    granted = 0
    while now < context.now + _WINDOW:
        now += 0.01
        granted += leader_credit.grant('o', 100, now)[0]
    # Its bucket was empty at first, so it lacks what may be saved up.
    assert granted + context.organisation.burst >= tokens, granted


@then('no part is told')
def then_none_told(context):
    assert not context.told, context.told
