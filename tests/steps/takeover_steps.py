"""Steps for the verification of targets after a takeover."""

from behave import given, then, when

from cowsliprack.coordination.takeover import EngineStatusTable
from cowsliprack.protocol.target import OrderOutcome, TargetReport
from cowsliprack.state.configuration import Target, TargetKind

_FENCING = 5


@given(
    'a leader with fencing token 5 that took over at {now:g} from a degraded '
    'one'
)
def given_leader(context, now):
    context.engine_statuses = EngineStatusTable(_FENCING, now, now + 900)
    _set_target(context, checks_fencing=True)


@given('its target ignores fencing')
def given_ignores(context):
    _set_target(context, checks_fencing=False)


def _set_target(context, *, checks_fencing):
    target = Target(
        'e1',
        TargetKind.engine,
        'a',
        'e1',
        'pool',
        100,
        checks_fencing=checks_fencing,
    )
    context.engine_statuses.by_target.clear()
    context.engine_statuses.set_targets('a', {'e1': target})


@when('these events reach it: {events}')
def when_events(context, events):
    if events == 'none':
        return
    for event in events.split(', '):
        kind, moment, *details = event.split()
        _EVENTS[kind](context.engine_statuses, float(moment), details)


def _fence(engine_statuses, now, details):
    engine_statuses.on_fence('e1', OrderOutcome.done, now)


def _claim(engine_statuses, now, details):
    engine_statuses.claim(now)


def _report(engine_statuses, now, details):
    report = TargetReport('e1', 'boot1', 0, 0, 0, 100, _FENCING)
    if 'lower' in details:
        report = _replace(report, highest_fencing=_FENCING - 1)
    if 'boot2' in details:
        report = _replace(report, boot_id='boot2')
    if 'age' in details:
        report = _replace(report, age=float(details[-1]))
    engine_statuses.on_report(report, now)


def _replace(report, **changes):
    fields = {name: getattr(report, name) for name in report.__struct_fields__}
    return TargetReport(**{**fields, **changes})


def _refused(engine_statuses, now, details):
    engine_statuses.on_failure('e1', refused=True, asked_at=now)


def _silent(engine_statuses, now, details):
    engine_statuses.on_failure('e1', refused=False, asked_at=now)


def _stopped(engine_statuses, now, details):
    engine_statuses.stop_predecessor(now)


_EVENTS = {
    'fence': _fence,
    'claim': _claim,
    'report': _report,
    'refused': _refused,
    'silent': _silent,
    'stopped': _stopped,
}


@then('the target is {state:w}')
def then_state(context, state):
    unverified = context.engine_statuses.unverified('pool')
    assert unverified == (['e1'] if state == 'unverified' else [])
