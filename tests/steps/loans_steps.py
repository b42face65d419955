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


@given('a giver whose clock runs at {giver:g} and a borrower at {borrower:g}')
def given_clocks(context, giver, borrower):
    context.giver_speed, context.borrower_speed = giver, borrower


@when('a loan is asked for, answered and taken {delay:g} seconds apart')
def when_loan(context, delay):
    answered_at = (1 + delay) * context.giver_speed
    context.resumes = (
        lender_resumes_at(answered_at, LOAN_LIFETIME_SECONDS)
        / context.giver_speed
    )
    asked_at = 1 * context.borrower_speed
    context.stops = (
        borrower_stops_at(asked_at, LOAN_LIFETIME_SECONDS, GRANT_EXPIRY_SECONDS)
        / context.borrower_speed
    )


@then('the borrower stops first, with what it granted before')
def then_first(context):
    last_spent = context.stops + GRANT_EXPIRY_SECONDS / context.borrower_speed
    assert last_spent < context.resumes, (last_spent, context.resumes)


@given('a loan request for 10 that a giver with 6 to spare answers with 6')
def given_loan(context):
    context.giver = LoanTracker('a', 'g')
    context.borrower = LoanTracker('b', 'b')
    context.request = context.borrower.request_due(
        _RESOURCE, 'a', Portion(10), 0
    )
    context.loan = context.giver.lend(context.request, Portion(6), 0)
    assert context.loan.amount == 6
    context.now = 1


@when('the loan is one whose {event}')
def when_event(context, event):
    giver, borrower = context.giver, context.borrower
    if event == 'answer is lost':
        return
    if event == 'answer arrives after its life':
        context.now = 11
        borrower.accept(context.loan, context.now)
        return
    if event == 'request arrives twice':
        again = giver.lend(context.request, Portion(6), 0.5)
        assert again == context.loan
    borrower.accept(context.loan, 0)
    if event == 'answer arrives twice':
        borrower.accept(context.loan, 0.5)
    if 'renew' in event:
        renewal = borrower.request_due(
            _RESOURCE, 'a', Portion(), 8, may_renew=True
        )
        answer = giver.lend(renewal, Portion(), 8)
        # After the end of the first loan, before that of its renewal.
        context.now = 12
        if event == 'borrower renews it':
            borrower.accept(answer, 8)
    if event == 'end has come':
        context.now = 10.5
        assert len(giver.expire(10.5)) == 1
        assert len(borrower.expire(10.5)) == 1


@then('the giver counts {lent:g} as lent and the borrower may use {borrowed:g}')
def then_counts(context, lent, borrowed):
    assert context.giver.lent(_RESOURCE, context.now).amount == lent
    usable = context.borrower.borrowed(_RESOURCE, context.now).amount
    assert usable == borrowed, usable


class _Zone:
    """A ledger of one zone on a clock of its own."""

    def __init__(self, name, source):
        self.name = name
        self.speed = source.uniform(0.99, 1.01)
        book = LoanTracker(name, 'x', GRANT_EXPIRY_SECONDS)
        self.ledger = Ledger(1, 0, predecessor_stopped=True, loans=book)
        self.ledger.set_share('acme', 100, 300, 0)
        self.number = 0

    def request_credit(self, now, source):
        self.number += 1
        wanted = source.uniform(0, 400)
        request = CreditRequest(str(self.number), 'acme', wanted / 2, wanted)
        self.ledger.grant(request, 'i', now * self.speed)


@then(
    'over random loans, lost answers and clocks the limits of three ledgers '
    'never exceed the whole'
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
        # The zone that is busy changes, so loans are given back and forth.
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
            # Some requests arrive again later, some answers are lost.
            if source.random() < 0.8:
                messages.remove(message)
            giver = zones_by_name[lender]
            loan = giver.ledger.lend(request, now * giver.speed)
            if source.random() < 0.8:
                zone.ledger.accept_loan(loan, now * zone.speed)
                lent += loan.amount > 0
        limits = [zone.ledger.limit('acme', now * zone.speed) for zone in zones]
        assert sum(limit.amount for limit in limits) <= 300 + _EPSILON
        assert sum(limit.burst for limit in limits) <= 900 + _EPSILON
    return lent


class _Store:
    """Record of one organisation with writes that are late or lost."""

    def __init__(self):
        self.record = ShareRecord()
        self.late = []

    def write(self, record, source):
        """Write on the version that the record carries, now or later."""
        if source.random() < 0.3:
            self.late.append(record)
        else:
            self.apply(record)

    def apply(self, record):
        if record.version == self.record.version:
            self.record = replace(record, version=record.version + 1)


class _Leader:
    """A leader of one zone; what it gave up counts until the hold is over."""

    def __init__(self, zone, fencing):
        self.zone, self.fencing = zone, fencing
        self.keeper = ShareTracker(zone, fencing)
        self.used = []

    def note(self, now):
        self.used.append((now, self.keeper.fraction('acme')))
        self.used = [
            use for use in self.used if use[0] > now - SHARE_DRAIN_SECONDS
        ]

    def in_use(self):
        return max((part for _, part in self.used), default=0)


@then(
    'over random generations, partitions, lost and late writes the shares in '
    'use never exceed the whole'
)
def then_shares(context):
    moves = sum(_run_shares(random.Random(seed)) for seed in range(100))
    assert moves > 100, moves


def _run_shares(source):
    """Run four zones and return the number of changes of the record."""
    generations = (('a', 'b'), ('a', 'b', 'c'), ('b', 'c', 'd'), ('a', 'd'))
    store = _Store()
    leaders = [_Leader(zone, 1) for zone in 'abcd']
    seen = dict.fromkeys('abcd', 0)
    away = set()
    for step in range(600):
        now = step * 0.5
        if store.late and source.random() < 0.2:
            store.apply(store.late.pop(source.randrange(len(store.late))))
        if source.random() < 0.02:
            away ^= {source.choice('abcd')}
        index = source.randrange(4)
        leader = leaders[index]
        late_before = len(store.late)
        if leader.zone not in away:
            seen[leader.zone] = min(step // 120, 3)
            _turn(leader, store, generations[seen[leader.zone]], now, source)
        # A leader is often replaced while its last write is on its way.
        is_writing = len(store.late) > late_before
        if source.random() < (0.5 if is_writing else 0.02):
            _replace_leader(leaders, index, now)
        for each in leaders:
            each.note(now)
        total = sum(each.in_use() for each in leaders)
        assert total <= 1 + _EPSILON, (now, total)
    return store.record.version


def _replace_leader(leaders, index, now):
    """Let a successor start; its predecessor has stopped."""
    old = leaders[index]
    leaders[index] = _Leader(old.zone, old.fencing + 1)
    leaders[index].used = old.used


def _turn(leader, store, zones, now, source):
    leader.keeper.observe('acme', store.record)
    leader.note(now)
    record = leader.keeper.write_due('acme', zones, now, may_transfer=True)
    if record is not None:
        store.write(record, source)
    if source.random() < 0.7:
        leader.keeper.observe('acme', store.record)


@given('zones "{names}" with equal shares')
def given_zones(context, names):
    context.store = _Store()
    context.leaders = [_Leader(zone, 1) for zone in 'abcd']
    _settle(context, names.split(), 0, 2)


@when('the configuration has the zones "{names}"')
def when_zones(context, names):
    _settle(context, names.split(), 2, 2 + 4 * SHARE_DRAIN_SECONDS)


def _settle(context, zones, start, end):
    always = random.Random(0)
    always.random = lambda: 0.5
    for step in range(int(start * 10), int(end * 10)):
        for leader in context.leaders:
            _turn(leader, context.store, zones, step / 10, always)


@then('the shares become equal over "{names}" after the hold')
def then_equal_shares(context, names):
    shares = {
        leader.zone: leader.keeper.fraction('acme')
        for leader in context.leaders
    }
    for zone, share in shares.items():
        expected = 1 / 3 if zone in names.split() else 0
        assert abs(share - expected) < _EPSILON, shares
