"""Steps for error responses of requests that could not be served."""

import anyio
from behave import given, then, when

from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.transport.route_relay import RouteRelay
from cowsliprack.transport.target_client import SendTrace
from tests.support.routed import routed_request


class _FailingRelay(RouteRelay):
    kind = ErrorKind.internal

    async def _serve_attempts(self, request):
        raise ServingError(self.kind, 'not served')


@given('a routed request after {sends}')
def given_request(context, sends):
    context.request = routed_request('/stock/1', 'shop', 0, 10)
    if sends == 'a send that may have run':
        context.request.may_have_run = True
    if sends == 'a send without a response':
        context.request.trace = SendTrace(sent=True)


@when('serving it fails with {kind}')
def when_serving_fails(context, kind):
    relay = _FailingRelay(
        client=None,
        dialect=None,
        fleet=None,
        target_selector=None,
        finder=None,
        poison=None,
        origins=None,
        passing=None,
        apply_retry_limit=lambda budget: None,
        table=None,
        demand_changed=None,
        clock=lambda: 0.0,
    )
    relay.kind = ErrorKind(kind)
    try:
        anyio.run(relay.serve, context.request)
    except ServingError as error:
        context.error = error


@then('its caller gets {status:d} and "{ran}"')
def then_caller_gets(context, status, ran):
    assert (context.error.status, context.error.ran.value) == (status, ran), (
        context.error.status,
        context.error.ran,
    )
