"""Steps for tokens that instances lend each other."""

import time

import anyio
from behave import given, then, when

from cowsliprack.coordination.lease_record import LeaseMembers, parse_body
from cowsliprack.coordination.token_credit import TokenCredit
from cowsliprack.protocol.credit_messages import TokenLoan, TokenLoanAsk
from cowsliprack.protocol.gateway_messages import (
    CreditAnswer,
    LeaderView,
    PeerView,
)
from cowsliprack.protocol.message_level import new_process_id
from cowsliprack.state.routing_table import OrganisationLimits
from cowsliprack.transport.credit_asks import CreditAsks
from cowsliprack.transport.credit_loans import CreditLoans
from cowsliprack.transport.known_instances import KnownInstances

_ORGANISATION = OrganisationLimits(
    name='o',
    priority=None,
    rate=12000,
    burst=12000,
    counts_tokens=True,
    default_tokens=200,
)
# The processes have run for longer than a window.
_STARTED_AGO_SECONDS = 20


def _views(count):
    return [
        PeerView(
            f'front-kat-b-{number}',
            f'10.0.{number % 8}.{number // 8}:7000',
            'z',
            new_process_id(),
        )
        for number in range(count)
    ]


class _World:
    """Instances in one process that may fail to answer, or answer late."""

    def __init__(self, count, silent=0, late=False):
        self.peers = _views(count)
        self.silent = {peer.instance_id for peer in self.peers[-silent:]}
        if not silent:
            self.silent = set()
        self.is_late = late
        self.late = []
        self.asked = 0
        self.answers = True
        self.loans_by_id = {
            peer.instance_id: self._loans(peer) for peer in self.peers
        }
        self.now = time.monotonic()
        self.before = self.tokens()

    def _loans(self, peer):
        credit = TokenCredit(
            7400,
            8,
            overrun=0.1,
            started_at=time.monotonic() - _STARTED_AGO_SECONDS,
        )
        credit.observe_instances(len(self.peers), time.monotonic())
        return CreditLoans(
            peer.instance_id,
            peer.address,
            'z',
            credit,
            lambda: self.peers,
            self.send,
            {'o': _ORGANISATION}.get,
            lambda: self.now,
        )

    def send(self, instance_id, _address, message):
        """Deliver a message, at once or later."""
        self.asked += isinstance(message, TokenLoanAsk)
        if instance_id in self.silent:
            return
        if self.is_late and isinstance(message, TokenLoan):
            self.late.append((instance_id, message))
            return
        self.loans_by_id[instance_id].handle(message)

    def tokens(self):
        """Return the tokens that all instances may admit now."""
        total = 0
        for loans in self.loans_by_id.values():
            credit = loans.credit
            missing = credit.spend_alone(_ORGANISATION, 1e6, self.now)
            credit.take_back(_ORGANISATION, 1e6 - missing, self.now)
            total += 1e6 - missing
        return total


def _asks(context, heard_at, is_new=False):
    world = context.world
    loans = world.loans_by_id[world.peers[0].instance_id]
    context.loans = loans

    def refuse(ask):
        answer = CreditAnswer(1, 'o', 0, 0.1, ask.number)
        context.asks.apply_answer(answer, _ORGANISATION)

    context.asks = CreditAsks(
        loans.instance_id,
        loans.credit,
        lambda: 'leader' if heard_at else '',
        refuse,
        lambda: heard_at,
        lambda: world.now,
        loans.charge,
        lambda: is_new,
    )


@given('{count:d} instances of one zone that have no leader')
def given_instances(context, count):
    context.world = _World(count)
    _asks(context, 0)


@given(
    '{count:d} instances of one zone that have no leader, of which {silent:d} '
    'do not answer'
)
def given_silent(context, count, silent):
    context.world = _World(count, silent)
    _asks(context, 0)


@given(
    '{count:d} instances of one zone that have no leader, whose answers are '
    'late'
)
def given_late(context, count):
    context.world = _World(count, late=True)
    context.world.is_late = True
    _asks(context, 0)


@given('{count:d} instances of one zone whose leader grants nothing')
def given_led(context, count):
    context.world = _World(count)
    _asks(context, context.world.now)


@given('{count:d} instances of one zone whose new leader grants nothing')
def given_led_anew(context, count):
    context.world = _World(count)
    _asks(context, context.world.now, is_new=True)


@when('a request of {tokens:d} tokens needs credit')
def when_needed(context, tokens):
    async def run():
        began_at = time.monotonic()
        retry_after = await context.asks.reserve(_ORGANISATION, tokens)
        context.took = time.monotonic() - began_at
        context.is_admitted = retry_after is None

    anyio.run(run)


@when('a request of {tokens:d} tokens is cancelled while it waits')
def when_cancelled(context, tokens):
    async def run():
        with anyio.move_on_after(0.01):
            await context.loans.charge(_ORGANISATION, tokens)

    anyio.run(run)


@when('the late answers come')
def when_late(context):
    world = context.world
    world.is_late = False
    for instance_id, message in world.late:
        world.send(instance_id, '', message)


@then('it is admitted within {seconds:g} seconds')
def then_admitted(context, seconds):
    assert context.is_admitted
    assert context.took <= seconds, context.took


@then('it is refused')
def then_refused(context):
    assert not context.is_admitted


@then('the tokens of all instances have fallen by {tokens:d}')
def then_fallen(context, tokens):
    fallen = context.world.before - context.world.tokens()
    # Loans are of whole tokens.
    assert -1 <= fallen - tokens <= len(context.world.peers), fallen


@then('the next request asks nobody')
def then_next(context):
    asked = context.world.asked
    when_needed(context, 50000)
    assert context.world.asked == asked > 0


@then('nobody was asked for a loan')
def then_nobody(context):
    assert not context.world.asked


@given('a lease object that names {content}')
def given_lease(context, content):
    count = content.partition(' ')[0]
    context.body = {'holder': 'a'}
    if count.isdigit():
        members = LeaseMembers(int(count), tuple(_views(int(count))))
        context.body.update(members.fields())
    if content.startswith('malformed'):
        context.body.update(members='many', peers=[1])


def _known(context, viewed=()):
    context.now = 0.0
    context.viewed = list(viewed)
    context.credit = TokenCredit(7400, 8, overrun=0.1, started_at=0.0)

    def apply_viewed(view):
        context.viewed = view.peers

    context.known = KnownInstances(
        context.credit,
        lambda: context.viewed,
        apply_viewed,
        lambda: context.now,
    )


@when('an instance starts and reads it')
def when_reads(context):
    _known(context)
    context.known.inherit(parse_body(context.body).members)


@then('it knows of {count:d} instances, {peers:d} of them by name')
def then_known(context, count, peers):
    assert context.credit.known_instances() == count
    assert len(context.known.peers()) == peers


@given('an instance that knows {count:d} others by the lease and leads anew')
def given_leads(context, count):
    context.body = LeaseMembers(count, tuple(_views(count))).fields()
    when_reads(context)


@when('its first view names {count:d} of them')
def when_view(context, count):
    view = LeaderView(
        instance_id='a',
        address='',
        fencing=1,
        sequence=1,
        lease_left=1,
        members=count,
        peers=tuple(_views(count)),
    )
    context.known.apply_view(view, is_new=True)


@when('{seconds:d} seconds of its term have passed')
def when_passed(context, seconds):
    context.now += seconds


@then('the lease states all of them')
def then_all(context):
    members = context.known.to_record()
    assert (members.count, len(members.peers)) == (31, 31), members


@then('the lease states {count:d} of them')
def then_some(context, count):
    assert len(context.known.to_record().peers) == count
