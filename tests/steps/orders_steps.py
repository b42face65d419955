"""Steps for orders and bookings."""

from behave import given, then, when

from cowsliprack.coordination.orders import OrderTracker
from cowsliprack.protocol.target import (
    Order,
    OrderKind,
    OrderOutcome,
    ReplicaReport,
    TargetReport,
)

_MEMORY = 60


@given('a booked {kind:w} of 60 megabytes sent at {sent:g}')
def given_booked(context, kind, sent):
    context.tracker = OrderTracker()
    load = Order('o1', OrderKind.load, 'e1', 'm1', 1, memory=_MEMORY)
    context.order = load
    if kind == 'load':
        context.tracker.reserve(load, sent, sent)
        return
    context.tracker.reserve(load, 0, 0)
    context.tracker.apply_outcome(load, OrderOutcome.done, 1)
    context.order = Order('o2', OrderKind.unload, 'e1', 'm1', 1)
    context.tracker.reserve(context.order, sent, sent)


@when('its answer at {moment:g} is {outcome}')
def when_answer(context, moment, outcome):
    context.tracker.apply_outcome(context.order, OrderOutcome(outcome), moment)


@when('it is resent at {moment:g}')
def when_resent(context, moment):
    booking = context.tracker.table.find('m1', 'e1')
    assert context.tracker.resend(booking, moment) == context.order


def _report(context, shown, asked, age=0.0, boot='1', extra=0):
    replicas = ()
    if shown in {'loaded', 'loading'}:
        replicas = (ReplicaReport('m1', shown, _MEMORY),)
    done = (context.order.order_id,) if shown == 'done order' else ()
    used = sum(replica.memory for replica in replicas) + extra
    report = TargetReport(
        'e1', boot, 0, 0, used, 100, replicas=replicas, done_orders=done
    )
    context.tracker.apply_report(report, asked - age)


@when(
    'a report requested at {asked:g} that is {age:g} seconds old'
    ' shows "{shown}"'
)
def when_report(context, asked, age, shown):
    _report(context, shown, asked, age)


@when('a report of boot {boot} requested at {asked:g} shows "{shown}"')
def when_boot_report(context, boot, asked, shown):
    _report(context, shown, asked, boot=boot)


@when('a report at {asked:g} shows {extra:d} megabytes that are not booked')
def when_extra(context, asked, extra):
    _report(context, 'nothing', asked, extra=extra)


@when('the target refuses a connection at {asked:g}')
def when_refuses(context, asked):
    context.tracker.apply_connection_refused('e1', asked)


@then('the deployment is {state:w}')
def then_state(context, state):
    booking = context.tracker.table.find('m1', 'e1')
    actual = booking.state.value if booking else 'gone'
    assert actual == state, actual


@then('the deployment is {state:w} with {used:d} megabytes in use')
def then_state_and_memory(context, state, used):
    then_state(context, state)
    then_memory(context, used)


@then('{used:d} megabytes are in use')
def then_memory(context, used):
    assert context.tracker.table.on_target('e1').memory_used() == used
