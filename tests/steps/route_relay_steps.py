"""Steps for what a request is told when it is given up on."""

import anyio
from behave import given, then, when

from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.transport.route_relay import RouteRelay
from cowsliprack.transport.target_client import SendTrace
from tests.support.routed import route_job


class _GivesUp(RouteRelay):
    kind = ErrorKind.internal

    async def _serve_attempts(self, job):
        raise ServingError(self.kind, 'given up on')


@given('a request of a route after {sends}')
def given_request(context, sends):
    context.job = route_job('/stock/1', 'shop', 0, 10)
    if sends == 'a send that may have run':
        context.job.may_have_run = True
    if sends == 'a send without an answer yet':
        context.job.trace = SendTrace(sent=True)


@when('it is given up on with {kind}')
def when_given_up(context, kind):
    relay = _GivesUp(
        client=None,
        dialect=None,
        fleet=None,
        choice=None,
        finder=None,
        apply_retry_limit=lambda budget: None,
        table=None,
        demand_changed=None,
        clock=lambda: 0.0,
    )
    relay.kind = ErrorKind(kind)
    try:
        anyio.run(relay.serve, context.job)
    except ServingError as error:
        context.error = error


@then('its caller is told {status:d} and "{ran}"')
def then_told(context, status, ran):
    assert (context.error.status, context.error.ran.value) == (status, ran), (
        context.error.status,
        context.error.ran,
    )
