"""Steps for loans and shares between zones."""

import random
from dataclasses import replace

from behave import given, then, when

from cowsliprack.coordination.ledger import GRANT_EXPIRY_SECONDS, Ledger
from cowsliprack.coordination.loans import (
    LOAN_LIFETIME_SECONDS,
    LoanTracker,
    Portion,
    borrower_stops_at,
    lender_resumes_at,
)
from cowsliprack.coordination.shares import (
    SHARE_DRAIN_SECONDS,
    ShareRecord,
    ShareTracker,
)
from cowsliprack.protocol.peer import CreditRequest

_RESOURCE = 'rate:acme'
_EPSILON = 1e-6


@given('a lender whose clock runs at {lender:g} and a borrower at {borrower:g}')
def given_clocks(context, lender, borrower):
    context.lender_speed, context.borrower_speed = lender, borrower


@when('a loan is requested and answered {delay:g} seconds later')
def when_loan(context, delay):
    answered_at = (1 + delay) * context.lender_speed
    context.resumes_at = (
        lender_resumes_at(answered_at, LOAN_LIFETIME_SECONDS)
        / context.lender_speed
    )
    asked_at = 1 * context.borrower_speed
    context.stops_at = (
        borrower_stops_at(asked_at, LOAN_LIFETIME_SECONDS, GRANT_EXPIRY_SECONDS)
        / context.borrower_speed
    )


@then("the borrower's grants expire before the lender resumes")
def then_expire_first(context):
    last_spent = (
        context.stops_at + GRANT_EXPIRY_SECONDS / context.borrower_speed
    )
    assert last_spent < context.resumes_at, (last_spent, context.resumes_at)


@given('a loan request for 10 that a lender with 6 to spare answers with 6')
def given_loan(context):
    context.lender = LoanTracker('a', 'g')
    context.borrower = LoanTracker('b', 'b')
    context.request = context.borrower.request_due(
        _RESOURCE, 'a', Portion(10), 0
    )
    context.loan = context.lender.lend(context.request, Portion(6), 0)
    assert context.loan.amount == 6
    context.now = 1


@when('the loan is one whose {event}')
def when_event(context, event):
    lender, borrower = context.lender, context.borrower
    if event == 'answer is lost':
        return
    if event == 'answer arrives after its end':
        context.now = 11
        borrower.accept(context.loan, context.now)
        return
    if event == 'request arrives twice':
        again = lender.lend(context.request, Portion(6), 0.5)
        assert again == context.loan
    borrower.accept(context.loan, 0)
    if event == 'answer arrives twice':
        borrower.accept(context.loan, 0.5)
    if 'renew' in event:
        renewal = borrower.request_due(
            _RESOURCE, 'a', Portion(), 8, may_renew=True
        )
        answer = lender.lend(renewal, Portion(), 8)
        # The first loan has ended, its renewal has not.
        context.now = 12
        if event == 'borrower renews it':
            borrower.accept(answer, 8)
    if event == 'lifetime is over':
        context.now = 10.5
        assert len(lender.expire(10.5)) == 1
        assert len(borrower.expire(10.5)) == 1


@then(
    'the lender counts {lent:g} as lent and the borrower may use {borrowed:g}'
)
def then_counts(context, lent, borrowed):
    assert context.lender.lent(_RESOURCE, context.now).amount == lent
    usable = context.borrower.borrowed(_RESOURCE, context.now).amount
    assert usable == borrowed, usable


class _Zone:
    """A ledger of one zone whose clock has its own speed."""

    def __init__(self, name, source):
        self.name = name
        self.speed = source.uniform(0.99, 1.01)
        tracker = LoanTracker(name, 'x', GRANT_EXPIRY_SECONDS)
        self.ledger = Ledger(1, 0, predecessor_stopped=True, loans=tracker)
        self.ledger.set_share('acme', 100, 300, 0)
        self.number = 0

    def request_credit(self, now, source):
        self.number += 1
        wanted = source.uniform(0, 400)
        request = CreditRequest(str(self.number), 'acme', wanted / 2, wanted)
        self.ledger.grant(request, 'i', now * self.speed)


@then(
    'with random loans, lost answers and clocks the limits of three ledgers '
    'never exceed the total'
)
def then_ledgers(context):
    lent = sum(_run_ledgers(random.Random(seed)) for seed in range(20))
    assert lent > 20, lent


def _run_ledgers(source):
    zones = [_Zone(name, source) for name in 'abc']
    zones_by_name = {zone.name: zone for zone in zones}
    messages, lent = [], 0
    for step in range(1500):
        now = 13 + step / 20
        # The busy zone changes, so that zones lend to each other in turn.
        zones[int(now / 9) % 3].request_credit(now, source)
        for zone in zones:
            lenders = [other for other in 'abc' if other != zone.name]
            due = zone.ledger.loan_requests_due(lenders, now * zone.speed)
            messages.extend(
                (now + source.choice((0, 0.1, 3)), zone, lender, request)
                for lender, request in due
            )
        arrived = [message for message in messages if message[0] <= now]
        for message in arrived:
            _, zone, lender, request = message
            # Some requests are delivered again later, some answers are lost.
            if source.random() < 0.8:
                messages.remove(message)
            lending_zone = zones_by_name[lender]
            loan = lending_zone.ledger.lend(request, now * lending_zone.speed)
            if source.random() < 0.8:
                zone.ledger.accept_loan(loan, now * zone.speed)
                lent += loan.amount > 0
        limits = [zone.ledger.limit('acme', now * zone.speed) for zone in zones]
        assert sum(limit.amount for limit in limits) <= 300 + _EPSILON
        assert sum(limit.burst for limit in limits) <= 900 + _EPSILON
    return lent


class _Store:
    """Stored record of one organisation; some writes are delayed or lost."""

    def __init__(self):
        self.record = ShareRecord()
        self.delayed = []

    def write(self, record, source):
        """Write on condition of the record's version, now or later."""
        if source.random() < 0.3:
            self.delayed.append(record)
        else:
            self.apply(record)

    def apply(self, record):
        if record.version == self.record.version:
            self.record = replace(record, version=record.version + 1)


class _Leader:
    """A leader of one zone; old shares count until they have drained."""

    def __init__(self, zone, fencing):
        self.zone, self.fencing = zone, fencing
        self.tracker = ShareTracker(zone, fencing)
        self.uses = []

    def note(self, now):
        self.uses.append((now, self.tracker.fraction('acme')))
        self.uses = [
            use for use in self.uses if use[0] > now - SHARE_DRAIN_SECONDS
        ]

    def in_use(self):
        return max((part for _, part in self.uses), default=0)


@then(
    'with random generations, partitions, lost and late writes the shares in '
    'use never exceed the total'
)
def then_shares(context):
    moves = sum(_run_shares(random.Random(seed)) for seed in range(100))
    assert moves > 100, moves


def _run_shares(source):
    """Simulate four zones and return the number of writes of the record."""
    generations = (('a', 'b'), ('a', 'b', 'c'), ('b', 'c', 'd'), ('a', 'd'))
    store = _Store()
    leaders = [_Leader(zone, 1) for zone in 'abcd']
    known_generations = dict.fromkeys('abcd', 0)
    partitioned = set()
    for step in range(600):
        now = step * 0.5
        if store.delayed and source.random() < 0.2:
            store.apply(store.delayed.pop(source.randrange(len(store.delayed))))
        if source.random() < 0.02:
            partitioned ^= {source.choice('abcd')}
        index = source.randrange(4)
        leader = leaders[index]
        delayed_before = len(store.delayed)
        if leader.zone not in partitioned:
            known_generations[leader.zone] = min(step // 120, 3)
            _run_leader(
                leader,
                store,
                generations[known_generations[leader.zone]],
                now,
                source,
            )
        # A leader is often replaced while its last write is in flight.
        is_writing = len(store.delayed) > delayed_before
        if source.random() < (0.5 if is_writing else 0.02):
            _replace_leader(leaders, index, now)
        for current in leaders:
            current.note(now)
        total = sum(current.in_use() for current in leaders)
        assert total <= 1 + _EPSILON, (now, total)
    return store.record.version


def _replace_leader(leaders, index, now):
    """Start a successor whose predecessor has stopped."""
    old = leaders[index]
    leaders[index] = _Leader(old.zone, old.fencing + 1)
    leaders[index].uses = old.uses


def _run_leader(leader, store, zones, now, source):
    leader.tracker.observe('acme', store.record)
    leader.note(now)
    record = leader.tracker.write_due('acme', zones, now, may_transfer=True)
    if record is not None:
        store.write(record, source)
    if source.random() < 0.7:
        leader.tracker.observe('acme', store.record)


@given('zones "{names}" with equal shares')
def given_zones(context, names):
    context.store = _Store()
    context.leaders = [_Leader(zone, 1) for zone in 'abcd']
    _run_until(context, names.split(), 0, 2)


@when('the configuration has the zones "{names}"')
def when_zones(context, names):
    _run_until(context, names.split(), 2, 2 + 4 * SHARE_DRAIN_SECONDS)


def _run_until(context, zones, start, end):
    fixed_source = random.Random(0)
    fixed_source.random = lambda: 0.5
    for step in range(int(start * 10), int(end * 10)):
        for leader in context.leaders:
            _run_leader(leader, context.store, zones, step / 10, fixed_source)


@then('the shares become equal over "{names}" after old shares have drained')
def then_equal_shares(context, names):
    shares = {
        leader.zone: leader.tracker.fraction('acme')
        for leader in context.leaders
    }
    for zone, share in shares.items():
        expected = 1 / 3 if zone in names.split() else 0
        assert abs(share - expected) < _EPSILON, shares
