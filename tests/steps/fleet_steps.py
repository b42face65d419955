"""Steps for the load of targets."""

from behave import given, then, when

from cowsliprack.state.fleet import TargetStatus

_SENT_AT = 10


@given('a target with {slots:d} slots')
def given_target(context, slots):
    context.status = TargetStatus('e1', 'a', slots)


def _apply(status, event):
    count, verb = int(event.split()[0]), event.split(maxsplit=1)[1]
    match verb:
        case 'are sent':
            for number in range(count):
                status.record_send(_SENT_AT + number / 1000)
        case 'of them end':
            for number in range(count):
                status.record_end(_SENT_AT + number / 1000)
        case 'are reported from before them':
            status.apply_report(count, _SENT_AT - 1)
        case 'are reported from after them':
            status.apply_report(count, _SENT_AT + 1)
        case 'are reported from before it':
            status.apply_report(count, _SENT_AT + 0.5)
        case _:
            raise AssertionError(verb)


@when('the target sees: {events}')
def when_events(context, events):
    for event in events.split(', '):
        _apply(context.status, event)


@then('it is estimated to run {running:d} requests')
def then_running(context, running):
    found = context.status.estimated_running()
    assert found == running, found
