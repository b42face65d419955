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


@given('a leader with number {number:d} that has claimed the journal')
def given_claimed(context, number):
    context.journal_store = InMemoryStore()
    context.journal = Journal(context.journal_store, 'z', number)
    anyio.run(context.journal.claim)


@when('it saves the intents {first:w} and {second:w}')
def when_saves(context, first, second):
    context.journal.intents_by_id = _intents(first, second)
    anyio.run(context.journal.save)


@when('a leader with number {number:d} claims the journal')
def when_claims(context, number):
    journal = Journal(context.journal_store, 'z', number)
    context.found = anyio.run(journal.claim)


@when('saving the intent {name:w} fails {fault:w} its effect')
def when_save_fails(context, name, fault):
    context.journal.intents_by_id = _intents(name)
    context.journal_store.faults = [fault]
    _expect(StoreUnavailableError, context.journal.save)


@when('the claim of a leader with number {number:d} fails after its effect')
def when_claim_fails(context, number):
    context.successor = Journal(context.journal_store, 'z', number)
    context.journal_store.faults = ['ok', 'after']
    _expect(StoreUnavailableError, context.successor.claim)


def _expect(kind, function):
    try:
        anyio.run(function)
    except kind:
        return
    raise AssertionError(f'no {kind.__name__}')


@then('the successor found the intents {first:w} and {second:w}')
def then_found(context, first, second):
    assert [order.order_id for order in context.found] == [first, second]


@then(
    'saving the intent {name:w} by the predecessor with a {version:w} version'
    ' fails'
)
def then_lost(context, name, version):
    context.journal.intents_by_id = _intents(name)
    if version == 'uncertain':
        context.journal_store.faults = ['before']
        _expect(StoreUnavailableError, context.journal.save)
    _expect(JournalLostError, context.journal.save)


@then('the journal holds no intent')
def then_empty(context):
    stored = context.journal_store.objects_by_key[_KEY]
    assert stored.body['intents'] == []


@then('a leader with number {number:d} cannot claim the journal')
def then_cannot(context, number):
    journal = Journal(context.journal_store, 'z', number)
    _expect(JournalLostError, journal.claim)


@then('a leader with number {number:d} can claim again')
def then_again(context, number):
    assert anyio.run(context.successor.claim) == []
