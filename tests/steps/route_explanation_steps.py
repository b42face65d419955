"""Steps for the explanation of where a request would be sent."""

import copy
import os
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, HTTPServer

import anyio
import yaml
from behave import given, then, when

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.freshness import Freshness
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.coordination.token_credit import TokenCredit
from cowsliprack.coordination.waiting_requests import WaitingRequests
from cowsliprack.metrics import Metrics
from cowsliprack.platform.headers import PLATFORM_DIALECT
from cowsliprack.protocol.dialect import RequestMetadata
from cowsliprack.state.target_registry import LoadedModel, TargetState
from cowsliprack.transport.route_explanation import (
    Question,
    RouteExplainer,
    answer_question,
)
from cowsliprack.transport.route_server import RouteServer
from cowsliprack.transport.target_finder import TargetFinder
from tests.support.gateway_cluster import HOST, KEY
from tests.support.routed import TABLE, routed_request, target_record

_SERVED = {'m0': LoadedModel(1)}


def _engine(number, **changes):
    fields = {'service': 'llm', 'loaded_models_by_name': _SERVED}
    return target_record(f't{number}', **{**fields, **changes})


def _instance(context, *records):
    now = time.monotonic()
    context.demand = []
    context.fleet = FleetView()
    context.fleet.registry.replace(list(records), 1)
    context.selector = TargetSelector('z')
    context.waiting = WaitingRequests()
    freshness = Freshness(60, now)
    context.finder = TargetFinder(
        fleet=context.fleet,
        target_selector=context.selector,
        waiting_requests=context.waiting,
        freshness=freshness,
        table=lambda: TABLE,
        demand_changed=lambda: context.demand.append(1),
        clock=time.monotonic,
    )
    context.credit = TokenCredit(7400, 8)
    server = RouteServer(
        dialect=PLATFORM_DIALECT,
        relay=None,
        freshness=freshness,
        credit=context.credit,
        metrics=Metrics(),
        table=lambda: TABLE,
        reserve=None,
        closing=bool,
        stopped=bool,
        clock=time.monotonic,
    )
    context.explainer = RouteExplainer(
        server, context.finder, context.credit, time.monotonic
    )
    context.question = Question(HOST, '/chat/x', 'm0', '', KEY)


def _afflict(context, condition):
    """Put target t1 into the condition of a scenario."""
    now = time.monotonic()
    limits = context.selector.limits
    registry = context.fleet.registry
    match condition:
        case 'is in an evacuated zone':
            registry.evacuations.replace(['y'], 1)
        case 'has said that it leaves':
            registry.mark_leaving('t1')
        case 'is cold':
            limits.cold.record('t1', 0.1, 60, now)
        case 'is at its stated limit':
            limits.record_answer('t1', 0.1, now)
        case 'is not reached':
            context.selector.record_unreachable('t1', now)
        case 'wants a pause' | 'wants a pause of 60 s':
            context.selector.pauses.record_rejection('t1', 60, 1, now)


def _changes(condition):
    changes = {'zone': 'y'} if 'evacuated' in condition else {}
    if condition == 'is draining':
        changes['state'] = TargetState.draining
    if condition == 'lacks the model':
        changes['loaded_models_by_name'] = {'m1': LoadedModel(1)}
    return changes


@given('a service whose target t1 {condition} and whose target t2 is usable')
def given_two(context, condition):
    _instance(context, _engine(1, **_changes(condition)), _engine(2))
    _afflict(context, condition)


@given('a service whose only target {condition}')
def given_only(context, condition):
    changes = _changes(condition)
    if 'model' in condition:
        _instance(context, _engine(1, **changes))
        return
    _instance(context, target_record('t1', service='shop', **changes))
    _afflict(context, condition)
    context.question = Question(HOST, '/order/x', key=KEY)


@given('a service with 5 targets of different load')
def given_loads(context):
    _instance(context, *(_engine(number) for number in range(5)))
    running = {f't{number}': 3 * (number + 2) % 7 * 5 for number in range(5)}
    context.selector.update_reported(running)


@when('it is explained where a request would be sent')
def when_explained(context):
    context.answer = anyio.run(context.explainer.explain, context.question)
    (context.service,) = context.answer['services']


@when('it is explained 20 times where a request would be sent')
def when_explained_often(context):
    context.before = _state(context)
    context.choices = []
    for _ in range(20):
        when_explained(context)
        context.choices.append(context.service['choice'])


def _state(context):
    selector = context.selector
    return copy.deepcopy(
        (
            selector.limits.stated_by_id,
            selector.limits.waiting_by_id,
            selector.limits.wanted,
            selector.limits._allowed_by_id,
            selector.own_by_id,
            selector.health_by_id,
            context.waiting.group_summaries(0),
            context.finder.stated_times,
            context.credit._accounts_by_name,
            context.demand,
        )
    )


@then('{target} is the choice')
def then_choice(context, target):
    assert context.service['choice'] == target, context.service


@then('t1 is not eligible because of {reason}')
def then_reason(context, reason):
    by_id = {one['target']: one for one in context.service['targets']}
    assert by_id['t1']['reasons'] == [reason], by_id
    assert not by_id['t1']['eligible']
    assert by_id['t2']['eligible'], by_id


@then('it is always the target that routing chooses')
def then_routing(context):
    request = routed_request(
        '/chat/x',
        'llm',
        time.monotonic(),
        4,
        exchange=type('_Exchange', (), {'started': False}),
        metadata=RequestMetadata('id', '', None, model='m0'),
    )
    target = anyio.run(context.finder.find, request)
    assert set(context.choices) == {target.target_id}, context.choices


@then('limits, waiting requests, demand and credit are as before')
def then_unchanged(context):
    assert _state(context) == context.before


@then('the answer is waiting')
def then_waiting(context):
    assert context.service['choice'] is None
    assert context.service['reason'] == 'the request would wait'


@then('the answer is rejection {kind} after {seconds:d} s')
def then_rejection(context, kind, seconds):
    service = context.service
    assert (service['choice'], service['rejection']) == (None, kind), service
    # A Retry-After has jitter of up to 30%.
    assert seconds - 1 <= service['retry_after'] <= seconds * 1.3, service


@given('an instance that can be asked')
def given_asked(context):
    _instance(context, _engine(1))

    class _Handler(BaseHTTPRequestHandler):
        def do_POST(self):
            body = self.rfile.read(int(self.headers['content-length']))
            status, answer = anyio.run(answer_question, context.explainer, body)
            self.send_response(status)
            self.send_header('content-length', str(len(answer)))
            self.end_headers()
            self.wfile.write(answer)

        def log_message(self, *_):
            """Print nothing."""

    server = HTTPServer(('127.0.0.1', 0), _Handler)
    thread = threading.Thread(target=server.serve_forever)
    thread.start()
    context.add_cleanup(thread.join)
    context.add_cleanup(server.server_close)
    context.add_cleanup(server.shutdown)
    context.instance = f'127.0.0.1:{server.server_port}'


def _run(context, key=KEY, **changes):
    flags = {
        'instance': context.instance,
        'host': HOST,
        'path': '/chat/x',
        'model': 'm0',
        **changes,
    }
    words = [f'--{name}={text}' for name, text in flags.items()]
    # The words are those of the scenarios.
    context.result = subprocess.run(  # noqa: S603
        [sys.executable, '-m', 'cowsliprack', 'explain', *words],
        env={**os.environ, 'COWSLIPRACK_KEY': key},
        capture_output=True,
        text=True,
        timeout=30,
        check=False,
    )


@when('the command is run with {problem}')
def when_run(context, problem):
    match problem:
        case 'an unknown key':
            _run(context, key='another-key')
        case 'an unknown route':
            _run(context, path='/nowhere/x')
        case 'an unknown model':
            _run(context, model='m999')
        case 'an unknown instance':
            # Port 1 of this machine has no listener.
            _run(context, instance='127.0.0.1:1')
        case 'a malformed deadline':
            _run(context, deadline='soon')
        case 'a missing key file':
            _run(context, **{'key-file': '/nonexistent/key'})
        case 'a known key':
            with tempfile.NamedTemporaryFile('w') as file:
                file.write(f'{KEY}\n')
                file.flush()
                _run(context, key='', **{'key-file': file.name})


@then('it ends with exit code 2 and names {text}')
def then_exit(context, text):
    result = context.result
    assert result.returncode == 2, (result.stdout, result.stderr)
    assert text in result.stderr, result.stderr
    assert 'Traceback' not in result.stderr
    assert 'another-key' not in result.stdout + result.stderr


@then('it prints the route and the organisation, not the key')
def then_printed(context):
    result = context.result
    assert result.returncode == 0, result.stderr
    answer = yaml.safe_load(result.stdout)
    assert (answer['route'], answer['organisation']) == ('chat', 'desk')
    assert answer['services'][0]['choice'] == 't1', answer
    assert KEY not in result.stdout + result.stderr
