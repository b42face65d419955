"""Steps for the limits on loads from the weight store."""

import itertools

from behave import given, then, when

from cowsliprack.coordination.gate import (
    GateResource,
    GateShare,
    WaitingLoad,
    WeightGate,
    order_by_slack,
    zone_share,
)
from cowsliprack.state.configuration import Checkpoint, Policy

_LOAD_SECONDS = 5


@then(
    'the shares of {slots:d} slots and {adapters:d} adapters over {count:d}'
    ' zones add up to the limits'
)
def then_shares(context, slots, adapters, count):
    policy = Policy(
        loads_per_second=3,
        loads_at_once=slots,
        adapter_loads_at_once=adapters,
    )
    zones = [f'z{number}' for number in range(count)]
    shares = [zone_share(policy, zone, zones) for zone in zones]
    assert sum(share.slots for share in shares) == slots
    assert sum(share.adapters for share in shares) == adapters
    rate = sum(share.loads_per_second for share in shares)
    assert abs(rate - 3) < 1e-9


@given(
    'a gate with {rate:g} loads a second, {slots:d} slots and'
    ' {adapters:d} adapter'
)
def given_gate(context, rate, slots, adapters):
    context.gate = WeightGate(GateShare(rate, slots, adapters))
    context.order_ids = itertools.count()


def _start(context, now, adapter):
    return context.gate.try_start(
        str(next(context.order_ids)),
        adapter=adapter,
        load_seconds=_LOAD_SECONDS,
        now=now,
    )


@then('a load at {now:g} {outcome:w}')
def then_load(context, now, outcome):
    assert _start(context, now, adapter=False) == (outcome == 'starts')


@then('an adapter load at {now:g} {outcome:w}')
def then_adapter(context, now, outcome):
    assert _start(context, now, adapter=True) == (outcome == 'starts')


@then('the delay of another load at {now:g} is {seconds:g} seconds')
def then_delay(context, now, seconds):
    assert context.gate.start_delay(now, adapter=False) == seconds


@when('the first load ends')
def when_ends(context):
    context.gate.finish('0')


@when('a slot is held for a load that may have started')
def when_held(context):
    context.gate.hold('earlier', adapter=False, now=0)


@when('the gate retains only known loads')
def when_retained(context):
    context.gate.retain(set())


@when('{amount:d} slots are on loan until {expiry:g}')
def when_loan(context, amount, expiry):
    context.gate.set_loan('loan', GateResource.slots, amount, expiry)


@then('these loads start in the order of the table')
def then_ordered(context):
    loads = [
        WaitingLoad(
            row['deployment'],
            float(row['deadline']),
            float(row['load']),
            Checkpoint(row['checkpoint']),
        )
        for row in context.table
    ]
    assert order_by_slack(reversed(loads)) == loads
