"""Targets and requests of routes for tests of single decisions."""

from cowsliprack.platform.wire import decode_configuration
from cowsliprack.protocol.dialect import RequestFacts
from cowsliprack.state.target_registry import TargetRecord, TargetState
from cowsliprack.transport.route_job import RouteJob
from tests.support.gateway_world import HOST, configuration

TABLE = decode_configuration(configuration())


def target_record(target_id, **changes):
    """Return a target that is ready, with some fields as given."""
    fields = {
        'service': 's',
        'address': '127.0.0.1:1',
        'zone': 'z',
        'slots': 32,
        'state': TargetState.ready,
    }
    return TargetRecord(target_id=target_id, **{**fields, **changes})


def route_job(path, service, arrived_at, seconds, **changes):
    """Return a request of a route that has been admitted."""
    fields = {
        'exchange': None,
        'facts': RequestFacts('id', '', None),
        'organisation': None,
        'tokens': 0,
        'first_by': arrived_at + seconds,
    }
    return RouteJob(
        host=HOST,
        path=path,
        route=TABLE.find_route(HOST, path),
        service=service,
        arrived_at=arrived_at,
        deadline=arrived_at + seconds,
        **{**fields, **changes},
    )
