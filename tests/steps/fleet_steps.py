"""Steps for the estimated number of running requests of a target."""

from behave import given, then, when

from cowsliprack.state.fleet import TargetStatus

_SENT_AT = 10


@given('a target with {slots:d} slots')
def given_target(context, slots):
    context.status = TargetStatus('e1', 'a', slots)


def _apply(status, event):
    count, kind = int(event.split()[0]), event.split(maxsplit=1)[1]
    match kind:
        case 'sent':
            for number in range(count):
                status.record_send(_SENT_AT + number / 1000)
        case 'ended':
            for number in range(count):
                status.record_end(_SENT_AT + number / 1000)
        case 'in a report made before':
            status.apply_report(count, _SENT_AT - 1)
        case 'in a report made after':
            status.apply_report(count, _SENT_AT + 1)
        case 'in a report older than it':
            status.apply_report(count, _SENT_AT + 0.5)
        case _:
            raise AssertionError(kind)


@when('these requests and reports are recorded: {events}')
def when_events(context, events):
    for event in events.split(', '):
        _apply(context.status, event)


@then('the estimate is {running:d} running requests')
def then_running(context, running):
    estimate = context.status.estimated_running()
    assert estimate == running, estimate
