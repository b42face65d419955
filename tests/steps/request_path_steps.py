"""Steps for the request path of one instance."""

from collections import Counter

from behave import given, then, when

from tests.support.request_path_simulation import (
    RequestPathSimulation,
    run_random_simulation,
)


@when('{count:d} random runs of the request path start from seed {seed:d}')
def when_random_runs(context, count, seed):
    context.counts = Counter()
    for number in range(count):
        try:
            context.counts += run_random_simulation(f'{seed}-{number}')
        except AssertionError as error:
            raise AssertionError(f'seed {seed}-{number}: {error}') from error


@then('every request of each run got exactly one correct answer')
def then_checked(context):
    assert context.counts['served'] and context.counts['refused']


@then('requests were served, refused, retried and quarantined')
def then_covered(context):
    names = {'served', 'refused', 'retried', 'quarantined'}
    assert min(context.counts[name] for name in names) > 100, context.counts


@given('a request path with the targets "{count:d}"')
def given_path(context, count):
    context.simulation = RequestPathSimulation(targets=count)


@when('a {kind} request runs and its attempt fails: "{failure}"')
def when_attempt_fails(context, kind, failure):
    context.first = context.simulation.submit(kind)
    context.simulation.fail(
        context.first, sent='sent' in failure, refused='refused' in failure
    )


@then('the request is dispatched to another target')
def then_other(context):
    targets = [target for _, target in context.simulation.dispatches]
    assert len(targets) == 2 and targets[0] != targets[1], targets


@then('the request is refused {kind} "{ran}"')
def then_refused_now(context, kind, ran):
    error = context.simulation.refusal_by_id[context.first]
    assert (error.kind.value, error.ran.value) == (kind, ran), error.kind


@when(
    'a chat request runs and its attempt fails: "sent" while the other target '
    'is full'
)
def when_other_full(context):
    simulation = context.simulation
    context.first = simulation.submit('chat')
    failed = simulation.target_by_running[context.first]
    for status in simulation.dispatcher.capacity.fleet.targets_by_id.values():
        if status.target_id != failed:
            status.reported_running = 99
    simulation.fail(context.first)
    context.failed_target = failed


@then('the next chat request is dispatched to the target that failed')
def then_not_blocked(context):
    second = context.simulation.submit('chat')
    context.simulation.advance(0.3)
    assert (
        context.simulation.target_by_running.get(second)
        == context.failed_target
    )
    assert context.first not in context.simulation.target_by_running


@when('two requests become suspects and arrive before a third')
def when_two_suspects(context):
    simulation = context.simulation
    simulation.report_crash('p1', 'e9/1')
    simulation.report_crash('p2', 'e9/1')
    context.ids = [
        simulation.submit('chat', digest='p1'),
        simulation.submit('chat', digest='p2', priority=9),
        simulation.submit('chat'),
    ]
    simulation.advance(0.3)


@then('the first and the third request are dispatched')
def then_first_and_third(context):
    running = set(context.simulation.target_by_running)
    assert running == {context.ids[0], context.ids[2]}, running


@then('the second is dispatched after the first has finished')
def then_second(context):
    context.simulation.finish(context.ids[0])
    assert context.ids[1] in context.simulation.target_by_running


@when(
    'target e1 announces that it leaves and a view reports it live with boot '
    'id "{boot}"'
)
def when_leaving(context, boot):
    context.simulation.announce_leaving('e1')
    context.simulation.boot_by_target['e1'] = boot
    context.simulation.leaving.clear()
    context.simulation.send_view()


@when(
    'target e1 announces that it leaves and a view reports it live with boot '
    'id ""'
)
def when_leaving_unknown(context):
    when_leaving(context, '')


@then('a chat request is {outcome}')
def then_chat(context, outcome):
    request_id = context.simulation.submit('chat')
    is_running = request_id in context.simulation.target_by_running
    assert is_running is (outcome == 'dispatched')


@then('the first is dispatched there when the other target has crashed')
def then_first_after_all(context):
    simulation = context.simulation
    other = 'e1' if context.failed_target == 'e2' else 'e2'
    simulation.send_view(states={other: 'crashed'})
    assert (
        simulation.target_by_running.get(context.first) == context.failed_target
    )


@when('target e1 announces that it leaves and crashes while it runs a request')
def when_leaving_crash(context):
    context.simulation.submit('chat')
    context.simulation.announce_leaving('e1')
    context.simulation.crash('e1', 'e1/b1')


@when('a view reports e1 as live')
def when_view_live(context):
    context.simulation.send_view()


@when('an order fails on a service and {seconds:d} seconds pass')
def when_service_fails(context, seconds):
    context.simulation.fail(context.simulation.submit('order'))
    context.simulation.advance(seconds)


@then('both services get orders again')
def then_both_services(context):
    simulation = context.simulation
    simulation.dispatches.clear()
    for _ in range(4):
        simulation.submit('order')
        simulation.advance(0.3)
    assert {target for _, target in simulation.dispatches} == {'s1', 's2'}


@when('a chat request finds its engine unreachable')
def when_unreachable(context):
    context.first = context.simulation.submit('chat')
    context.simulation.fail(context.first, sent=False, unreachable=True)
    assert context.first not in context.simulation.refusal_by_id


@then('it is dispatched when a view reports the engine as live again')
def then_dispatched_again(context):
    context.simulation.send_view()
    assert context.first in context.simulation.target_by_running
