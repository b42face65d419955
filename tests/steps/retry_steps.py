"""Steps for retries."""

import random

from behave import given, then, when

from cowsliprack.coordination import retry
from cowsliprack.exceptions import Ran


@then('{sent:d} sent bytes with the target\'s refusal {refused} mean "{ran}"')
def then_execution_status(context, sent, refused, ran):
    status = retry.execution_status(sent, refused=refused == 'yes')
    assert status is Ran(ran)


@then('the earlier "{earlier}" and the later "{later}" mean "{ran}"')
def then_combined(context, earlier, later, ran):
    assert retry.combine_status(Ran(earlier), Ran(later)) is Ran(ran)


@given('a retry budget of {tokens:d} tokens')
def given_budget(context, tokens):
    context.budget = retry.RetryBudget(tokens=tokens, updated_at=0)


@when(
    'a {kind} request failed as "{ran}" with {sent:d} sent bytes after '
    '{attempts:d} attempts and {seconds_left:d} seconds left'
)
def when_failed(context, kind, ran, sent, attempts, seconds_left):
    context.decision = retry.decide_retry(
        ran=Ran(ran),
        repeatable=kind == 'repeatable',
        sent_bytes=sent,
        attempts=attempts,
        deadline=seconds_left,
        now=0,
        budget=context.budget,
    )


@then('the retry decision is {answer} because of "{reason}"')
def then_decision(context, answer, reason):
    assert context.decision.retry is (answer == 'yes'), context.decision
    assert context.decision.reason == reason, context.decision


@then('{tokens:d} retry tokens are left')
def then_tokens(context, tokens):
    assert context.budget.tokens == tokens


@when('{count:d} requests arrive in {seconds:d} seconds and all fail')
def when_all_fail(context, count, seconds):
    context.retried = 0
    for number in range(count):
        now = seconds * number / count
        context.budget.deposit(now)
        decision = retry.decide_retry(
            Ran.not_run, True, 0, 1, now + 60, now, context.budget
        )
        context.retried += decision.retry


@then('at most {limit:d} of them are retried')
def then_retried(context, limit):
    assert 0 < context.retried <= limit, context.retried


@then(
    '{count:d} delays after {failures:d} failures lie between 0 and '
    '{longest:g} seconds with jitter'
)
def then_delays(context, count, failures, longest):
    rng = random.Random(1)
    delays = [retry.full_jitter(failures, 0.1, 5, rng) for _ in range(count)]
    assert min(delays) < longest / 10
    assert longest * 0.9 < max(delays) <= longest


@given(
    '{count:d} instances that may retry 1 in 5 requests and {slack:d} in 10 '
    'seconds'
)
def given_instances(context, count, slack):
    context.limit = retry.RetryLimit(0.2, slack, 10)
    context.budgets = [retry.RetryBudget() for _ in range(count)]
    for budget in context.budgets:
        retry.apply_retry_limit(budget, context.limit, count)
        budget.tokens = budget.capacity


@when('each of {rate:d} requests a second fails and is retried while allowed')
def when_retried(context, rate):
    rng = random.Random(5)
    context.rate = rate
    context.retry_times = []
    for number in range(rate * 40):
        now = number / rate
        budget = rng.choice(context.budgets)
        budget.deposit(now)
        # All attempts fail, so requests are retried until the budget is empty.
        while budget.try_spend(now):
            context.retry_times.append(now)


@then('no window of 10 seconds has more retries than allowed')
def then_allowed(context):
    limit = context.limit
    allowed = limit.ratio * context.rate * limit.window + limit.slack
    for window_start in context.retry_times:
        window = [
            retry_time
            for retry_time in context.retry_times
            if window_start <= retry_time < window_start + limit.window
        ]
        assert len(window) <= allowed, (window_start, len(window), allowed)
