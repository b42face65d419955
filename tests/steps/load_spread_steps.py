"""Steps for requests that have waited for a load."""

import random

from behave import then, when

from cowsliprack.coordination.load_spread import spread_seconds

_NOW = 100.0
_WINDOW_SECONDS = 0.05


@when(
    'a request whose target is due in {target:g} s and whose caller gives up '
    'in {left:g} s has waited for a load'
)
def when_waited_for_load(context, target, left):
    context.spread = spread_seconds(_NOW + target, _NOW + left, _NOW)


@then('it is sent within {spread:g} s')
def then_spread(context, spread):
    assert context.spread == spread, context.spread


@when(
    '{count:d} requests that have waited for a model for {waited:g} s are sent '
    'as it is loaded'
)
def when_released(context, count, waited):
    rng = random.Random(1)
    spread = spread_seconds(_NOW - waited, _NOW + 5, _NOW)
    context.sent = [_NOW + rng.random() * spread for _ in range(count)]


@then('the engine gets at most {most:d} of them within any 50 ms')
def then_no_burst(context, most):
    found = max(
        sum(at <= other < at + _WINDOW_SECONDS for other in context.sent)
        for at in context.sent
    )
    assert found <= most, found
