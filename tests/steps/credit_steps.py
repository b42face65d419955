"""Steps for the credit account of an instance."""

import math

from behave import given, then, when

from cowsliprack.coordination.credit import CreditAccount, WaitingTokens
from cowsliprack.protocol.peer import CreditGrant, CreditReturn

_EPSILON = 1e-6


def _grant(request, tokens, fencing=3, **changes):
    fields = {
        'request_id': request.request_id,
        'organisation': 'acme',
        'tokens': tokens,
        'lifetime': 2,
        'fencing': fencing,
    }
    return CreditGrant(**{**fields, **changes})


def _ask(account, now, tokens=100):
    waiting = {'acme': WaitingTokens(tokens, tokens)} if tokens else {}
    return account.requests_due(now, waiting)


@given('a credit account that asked for 100 tokens at second 10')
def given_asked(context):
    context.account = CreditAccount('epoch')
    # An earlier answer shows the fencing number of the current leader.
    (earlier,) = _ask(context.account, 9)
    context.account.accept(_grant(earlier, 0), 9)
    (context.request,) = _ask(context.account, 10)


@when('the account gets a grant of 100 tokens that {case}')
def when_grant(context, case):
    account = context.account
    grant = _grant(context.request, 100)
    context.now = 10.1
    if case == 'arrives twice':
        account.accept(grant, 10.05)
    if case == 'answers another request':
        grant = _grant(context.request, 100, request_id='epoch-99')
    if case == 'arrives after its lifetime':
        context.now = 12.1
    if case == 'has a lower fencing number than before':
        grant = _grant(context.request, 100, fencing=2)
    if case == 'has a lower number from another zone':
        grant = _grant(context.request, 100, fencing=2, zone='other')
    account.accept(grant, context.now)


@then('the account has {tokens:g} tokens available')
def then_available(context, tokens):
    assert context.account.available('acme', context.now) == tokens


@then('the account has {tokens:g} tokens available at second {now:g}')
def then_available_at(context, tokens, now):
    available = context.account.available('acme', now)
    assert abs(available - tokens) < _EPSILON, available


@when(
    '80 tokens are reserved at second 10.5 and {used:g} used until second '
    '{end:g}'
)
def when_settled(context, used, end):
    reservation = context.account.reserve('acme', 80, 10.5)
    assert context.account.reserve('acme', 80, 10.5) is None
    context.account.settle(reservation, used, end)
    # A second settlement of the same reservation changes nothing.
    context.account.settle(reservation, 0, end)
    context.now = end


@then(
    'the account reports {returned:g} tokens returned and {unspent:g} unspent'
)
def then_reported(context, returned, unspent):
    returns = context.account.returns_due(context.now)
    expected = CreditReturn(
        context.request.request_id, 'acme', returned, unspent
    )
    assert returns == ([expected] if returned else []), returns
    assert context.account.returns_due(context.now) == []


@then('the account repeats its request at second {now:g}')
def then_repeats(context, now):
    assert _ask(context.account, now) == [context.request]


@then('the account sends no request at second {now:g}')
def then_nothing(context, now):
    assert _ask(context.account, now) == []


@then(
    'the account returns the whole grant and sends a new request at second '
    '{now:g}'
)
def then_abandons(context, now):
    assert _ask(context.account, now) == []
    (returned,) = context.account.returns_due(now)
    assert returned.request_id == context.request.request_id
    assert returned.tokens > 1e9 and returned.unspent == 0
    (new_request,) = _ask(context.account, now)
    assert new_request.request_id != context.request.request_id
    context.account.accept(_grant(context.request, 100), now)
    assert context.account.available('acme', now) == 0


@given('a credit account whose ledger grants every request in full')
def given_full_grants(context):
    context.account = CreditAccount('epoch')


@when('10 tokens are reserved every 0.01 seconds for 10 seconds')
def when_steady(context):
    account = context.account
    context.failures, context.messages = [], 0
    for step in range(1000):
        now = 50 + step / 100
        if account.reserve('acme', 10, now) is None:
            context.failures.append(now)
        is_waiting = context.failures[-1:] == [now]
        for request in _ask(account, now, 10 if is_waiting else 0):
            context.messages += 1
            account.accept(_grant(request, request.wanted), now)
        context.messages += len(account.returns_due(now))


@then('no reservation failed after the first second')
def then_no_failure(context):
    assert max(context.failures) < 51, context.failures


@then('at most {count:d} messages a second were sent')
def then_messages(context, count):
    assert context.messages <= count * 10, context.messages


@when('the ledger refuses it for 3 seconds with a rate of 50 tokens a second')
def when_refused(context):
    refusal = _grant(context.request, 0, retry_after=3, rate=50)
    context.account.accept(refusal, 10)


@then('the estimated wait for 200 tokens is {wait:g} seconds at second {now:g}')
def then_wait(context, wait, now):
    assert context.account.retry_after('acme', 200, now) == wait


@then('there is no estimate for 200 tokens at second {now:g}')
def then_no_estimate(context, now):
    assert math.isinf(context.account.retry_after('acme', 200, now))
