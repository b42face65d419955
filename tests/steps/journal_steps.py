"""Steps for the order journal."""

import anyio
from behave import given, then, when

from cowsliprack.exceptions import StoreUnavailableError
from cowsliprack.protocol.target import Order, OrderKind
from cowsliprack.transport.journal import Journal, JournalLostError
from tests.support.object_store import InMemoryStore

_KEY = 'orders/z'


def _intents(*names):
    return {name: Order(name, OrderKind.load, 'e1', 'm1', 1) for name in names}


@given('a leader with fencing number {fencing:d} that has claimed the journal')
def given_claimed(context, fencing):
    context.journal_store = InMemoryStore()
    context.journal = Journal(context.journal_store, 'z', fencing)
    anyio.run(context.journal.claim)


@when('it saves the intents {first:w} and {second:w}')
def when_saves(context, first, second):
    context.journal.intents_by_id = _intents(first, second)
    anyio.run(context.journal.save)


@when('a leader with fencing number {fencing:d} claims the journal')
def when_claims(context, fencing):
    journal = Journal(context.journal_store, 'z', fencing)
    context.read_intents = anyio.run(journal.claim)


@when('saving the intent {name:w} fails {fault:w} its effect')
def when_save_fails(context, name, fault):
    context.journal.intents_by_id = _intents(name)
    context.journal_store.faults = [fault]
    _expect(StoreUnavailableError, context.journal.save)


@when(
    'the claim of a leader with fencing number {fencing:d}'
    ' fails after its effect'
)
def when_claim_fails(context, fencing):
    context.successor = Journal(context.journal_store, 'z', fencing)
    context.journal_store.faults = ['ok', 'after']
    _expect(StoreUnavailableError, context.successor.claim)


def _expect(expected_error, function):
    try:
        anyio.run(function)
    except expected_error:
        return
    raise AssertionError(f'no {expected_error.__name__}')


@then('the successor reads the intents {first:w} and {second:w}')
def then_reads(context, first, second):
    assert [order.order_id for order in context.read_intents] == [first, second]


@then(
    'saving the intent {name:w} by the predecessor with a {version:w} version'
    ' fails'
)
def then_save_fails(context, name, version):
    context.journal.intents_by_id = _intents(name)
    if version == 'uncertain':
        context.journal_store.faults = ['before']
        _expect(StoreUnavailableError, context.journal.save)
    _expect(JournalLostError, context.journal.save)


@then('the journal holds no intent')
def then_empty(context):
    stored = context.journal_store.objects_by_key[_KEY]
    assert stored.body['intents'] == []


@then('a leader with fencing number {fencing:d} cannot claim the journal')
def then_cannot(context, fencing):
    journal = Journal(context.journal_store, 'z', fencing)
    _expect(JournalLostError, journal.claim)


@then('a leader with fencing number {fencing:d} can claim again')
def then_again(context, fencing):
    assert anyio.run(context.successor.claim) == []
