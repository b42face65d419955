"""Steps for the token ledger: simulated fleet, random orders, single calls."""

import random

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from cowsliprack.coordination.credit import CreditAccount, WaitingTokens
from cowsliprack.coordination.ledger import GRANT_EXPIRY_SECONDS, Ledger
from cowsliprack.protocol.peer import CreditRequest, CreditReturn
from tools.bench import limits
from tools.bench.limits_model import Trial

_SEEDS = (1,)
_EPSILON = 1e-3


def _request(needed, wanted=None, number=1):
    wanted = needed if wanted is None else wanted
    return CreditRequest(f'r{number}', 'acme', needed, wanted)


def _started_ledger(rate, burst, seconds):
    ledger = Ledger(1, 0, predecessor_stopped=True)
    ledger.set_share('acme', rate, burst, 0)
    ledger.advance(seconds)
    return ledger


@given('8 instances in 3 zones, 4 of them with requests at first')
def given_fleet(context):
    context.spread = 'moving'


@given('an organisation at {load:g} times its rate')
def given_load(context, load):
    context.load = load


@when('40 seconds of traffic run with the fault "{fault}"')
def when_traffic(context, fault):
    warm_up = 0 if fault == 'fleet starts' else 12
    context.runs = []
    for seed in _SEEDS:
        trial = Trial(
            context.load, context.spread, fault, seed, warm_up=warm_up
        )
        context.runs.append((trial, limits.run_ledgers(trial)))


@then(
    'no window holds more tokens than the burst plus the rate times its length'
)
def then_within(context):
    for trial, outcome in context.runs:
        excess = limits.worst_excess(trial, outcome)
        assert excess < _EPSILON, (trial, excess)


@then('at least {percent:d} percent of the entitled tokens were served')
def then_served(context, percent):
    for trial, outcome in context.runs:
        used = sum(arrival.used for _, arrival in outcome.admitted)
        entitled = trial.burst + trial.rate * trial.seconds
        assert used >= entitled * percent / 100, (trial, used / entitled)
        assert outcome.lent > 0 or trial.fault == 'fleet starts'


@given('an organisation at 0.8 times its rate whose requests reach {spread}')
def given_spread(context, spread):
    context.trial = Trial(0.8, spread)


@when('the same requests run with ledgers and with equal shares by instance')
def when_compared(context):
    context.score_by_scheme = {
        scheme: limits.score(context.trial, scheme)
        for scheme in ('ledgers', 'equal shares')
    }


@then('the ledgers refuse at most {percent:g} percent wrongfully')
def then_wrongful(context, percent):
    wrongful = context.score_by_scheme['ledgers'].wrongful_fraction
    assert wrongful <= percent / 100, wrongful


@then('the ledgers refuse less than equal shares')
def then_less(context):
    scores = context.score_by_scheme
    ledgers = scores['ledgers'].wrongful_fraction
    assert ledgers < scores['equal shares'].wrongful_fraction


class _UnorderedMessages:
    """Two accounts and a ledger whose messages arrive in any order."""

    def __init__(self, seed, rate, burst):
        self.random = random.Random(seed)
        self.rate, self.burst = rate, burst
        self.ledger = _started_ledger(rate, burst, 20)
        self.accounts = [CreditAccount('0'), CreditAccount('1')]
        self.messages = []
        self.running = []
        self.spent = []
        self.now = 20.0

    def step(self):
        # Long pauses refill the bucket while credit and reservations remain.
        self.now += self.random.choice((0, 0, 0, 0.001, 0.05, 0.4, 3))
        action = self.random.choice(
            (self.ask, self.spend, self.spend, self.settle, self.deliver)
        )
        action(self.random.randrange(2))

    def ask(self, number):
        tokens = self.burst * self.random.choice((0.1, 0.5, 1, 2))
        waiting = {'acme': WaitingTokens(tokens / 2, tokens)}
        account = self.accounts[number]
        for request in account.requests_due(self.now, waiting):
            self.post(self.ledger.grant, number, request)
        for credit_return in account.returns_due(self.now):
            self.post(self.ledger.accept_return, number, credit_return)

    def post(self, target, number, message):
        """Deliver most messages at once; the others late, twice or never."""
        self.messages.append((target, number, message))
        if self.random.random() < 0.7:
            self.deliver(number, -1)

    def spend(self, number):
        account = self.accounts[number]
        available = account.available('acme', self.now)
        tokens = available * self.random.choice((0.4, 1, 1))
        reservation = account.reserve('acme', tokens, self.now)
        if tokens > 0 and reservation is not None:
            used = tokens * self.random.choice((0, 0.1, 1))
            self.spent.append((self.now, used))
            self.running.append((account, reservation, used))

    def settle(self, _):
        if self.running:
            index = self.random.randrange(len(self.running))
            account, reservation, used = self.running.pop(index)
            account.settle(reservation, used, self.now)

    def deliver(self, _, index=None):
        if not self.messages:
            return
        if index is None:
            index = self.random.randrange(len(self.messages))
        target, number, message = self.messages[index]
        if self.random.random() < 0.8:
            self.messages.pop(index)
        if self.random.random() < 0.1:
            return
        if target == self.accept:
            self.accept(number, message)
            return
        answer = target(message, str(number), self.now)
        if answer is not None:
            self.post(self.accept, number, answer)

    def accept(self, number, grant):
        self.accounts[number].accept(grant, self.now)


@then(
    'in any order of grants, reservations, settlements, lost, late and '
    'repeated messages no window exceeds the limit'
)
def then_any_order(context):
    @settings(derandomize=True, database=None, deadline=None, max_examples=300)
    @for_all(st.integers(0, 2**32), st.floats(1, 200), st.floats(10, 500))
    def check(seed, rate, burst):
        simulation = _UnorderedMessages(seed, rate, burst)
        for _ in range(200):
            simulation.step()
        window, last = 0, 0
        for at, tokens in simulation.spent:
            window = max(0, window - rate * (at - last)) + tokens
            last = at
            assert window <= burst + _EPSILON, (seed, window - burst)

    check()


@given('a ledger whose leader {state}')
def given_leader(context, state):
    has_stopped = 'predecessor may run' not in state and 'does not' not in state
    ledger = Ledger(1, 0, predecessor_stopped=has_stopped)
    ledger.set_share('acme', 100, 200, 0)
    context.ledger = ledger
    if state.startswith('lost'):
        ledger.degrade(20)
    if state == 'lost and renewed its lease':
        ledger.renew(100, 50)
    if state == 'stepped down':
        ledger.step_down()


@then(
    "it grants from {fraction:g} of the zone's share after {seconds:g} seconds"
)
def then_fraction(context, fraction, seconds):
    limit = context.ledger.limit('acme', seconds)
    assert (limit.amount, limit.burst) == (100 * fraction, 200 * fraction), (
        limit
    )


@then(
    'credit that was refused is granted at the estimated time and not much '
    'earlier'
)
def then_estimate(context):
    @settings(derandomize=True, database=None, deadline=None, max_examples=200)
    @for_all(
        st.lists(st.tuples(st.floats(0, 1), st.floats(1, 80)), max_size=6),
        st.floats(1, 100),
        st.booleans(),
    )
    def check(earlier, needed, is_early):
        ledger = _started_ledger(20, 100, 30)
        now = 30
        for number, (pause, tokens) in enumerate(earlier):
            now += pause
            ledger.grant(_request(tokens, number=number), 'i1', now)
        # A request that needs nothing takes its instance out of the queue.
        ledger.grant(_request(0, number=-1), 'i1', now)
        refused = ledger.grant(_request(needed, number=-2), 'i2', now)
        if refused.tokens == 0:
            part = 0.95 if is_early else 1
            later = now + refused.retry_after * part + _EPSILON * (1 - part)
            grant = ledger.grant(_request(needed), 'i2', later + 1e-6)
            assert (grant.tokens == 0) is is_early, (refused, grant)

    check()


@given('a ledger without tokens and a refused request for 90 of 100 tokens')
def given_empty(context):
    context.ledger = _started_ledger(50, 100, 20)
    context.ledger.grant(_request(100, number=1), 'i1', 20)
    # The granted burst counts as unspent until the grant has expired.
    context.now = 20 + GRANT_EXPIRY_SECONDS
    refused = context.ledger.grant(_request(90), 'i2', context.now)
    assert refused.tokens == 0
    context.retry_at = context.now + refused.retry_after


@when('another instance asks for 5 tokens every 0.1 seconds')
def when_small(context):
    number = 10
    while context.now + 0.1 < context.retry_at:
        context.now += 0.1
        number += 1
        context.ledger.grant(_request(5, number=number), 'i1', context.now)


@then('the large request is granted when it is repeated at the estimated time')
def then_large(context):
    request = _request(90, number=2)
    grant = context.ledger.grant(request, 'i2', context.retry_at + _EPSILON)
    assert grant.tokens >= 90, grant


@given('a ledger with 100 tokens')
def given_full(context):
    context.ledger = _started_ledger(50, 100, 20)


@when('the same request for 40 tokens arrives twice')
def when_twice(context):
    context.answers = [
        context.ledger.grant(_request(40), 'i1', 20) for _ in range(2)
    ]


@then('both answers are equal and 60 tokens remain')
def then_equal_answers(context):
    first, second = context.answers
    assert first == second
    rest = context.ledger.grant(_request(0, 100, number=2), 'i1', 20)
    assert abs(rest.tokens - 60) < _EPSILON, rest


@when(
    'a grant of 100 has 60 reserved, the ledger refills for 1 second, the '
    'rest is used and the 60 are returned'
)
def when_refund(context):
    ledger = context.ledger
    assert ledger.grant(_request(100), 'i1', 20).tokens == 100
    ledger.accept_return(CreditReturn('r1', 'acme', 0, 40), 'i1', 20)
    ledger.accept_return(CreditReturn('r1', 'acme', 60, 0), 'i1', 21)


@then('at most 60 tokens can be granted')
def then_at_most(context):
    # 40 were used at second 21, so 60 are left of the burst at that moment.
    grant = context.ledger.grant(_request(0, 100, number=2), 'i1', 21)
    assert 0 < grant.tokens <= 60 + _EPSILON, grant


@when(
    '100 tokens are granted, the organisation is removed and added 0.5 '
    'seconds later'
)
def when_removed(context):
    context.ledger.grant(_request(100), 'i1', 20)
    context.ledger.drop_share('acme')
    refused = context.ledger.grant(_request(0, 10, number=2), 'i1', 20.2)
    assert refused.tokens == 0
    context.ledger.set_share('acme', 50, 100, 20.5)


@then('nothing can be granted 1 second after the grant')
def then_nothing_more(context):
    grant = context.ledger.grant(_request(0, 100, number=3), 'i1', 21)
    assert grant.tokens == 0, grant
