"""Steps for the times that callers state."""

from behave import given, then, when

from cowsliprack.coordination.stated_times import StatedTimes

# Seconds between the callers that ask all the time.
_INTERVAL = 10


@given('a caller of {route} states {seconds:g} seconds at {at:g} seconds')
def given_stated(context, route, seconds, at):
    context.stated_times = StatedTimes()
    context.stated_times.add(route, seconds, at)


@when('a caller of {route} states {seconds:g} seconds at {at:g} seconds')
def when_stated(context, route, seconds, at):
    for earlier in range(_INTERVAL, int(at), _INTERVAL):
        context.stated_times.add(route, 1, earlier)
    context.stated_times.add(route, seconds, at)
    context.has_come_back = context.stated_times.has_come_back(route, seconds)


@then('it {has} come back')
def then_has_come_back(context, has):
    assert context.has_come_back == (has == 'has'), context.stated_times
