"""Builders of targets and route requests for unit-level tests."""

import time

from cowsliprack.platform.wire import decode_configuration
from cowsliprack.protocol.dialect import RequestMetadata
from cowsliprack.state.target_registry import TargetRecord, TargetState
from cowsliprack.transport.origin_exchange import OriginExchange
from cowsliprack.transport.origin_recorder import OriginRecorder
from cowsliprack.transport.routed_request import RoutedRequest
from tests.support.gateway_cluster import HOST, configuration
from tests.support.object_store import InMemoryStore

TABLE = decode_configuration(configuration())


def target_record(target_id, **changes):
    """Return a ready target with the given fields changed."""
    fields = {
        'service': 's',
        'address': '127.0.0.1:1',
        'zone': 'z',
        'slots': 32,
        'state': TargetState.ready,
    }
    return TargetRecord(target_id=target_id, **{**fields, **changes})


def routed_request(path, service, arrived_at, seconds, **changes):
    """Return an admitted request of a route with the given fields changed."""
    fields = {
        'exchange': None,
        'metadata': RequestMetadata('id', '', None),
        'organisation': None,
        'tokens': 0,
        'first_event_deadline': arrived_at + seconds,
    }
    return RoutedRequest(
        host=HOST,
        path=path,
        route=TABLE.find_route(HOST, path),
        service=service,
        arrived_at=arrived_at,
        deadline=arrived_at + seconds,
        **{**fields, **changes},
    )


def lone_origins():
    """Return the origins of streams of an instance without others."""
    recorder = OriginRecorder(
        InMemoryStore(),
        time.monotonic,
        bool,
        lambda _message: False,
        tuple,
        bool,
    )
    return OriginExchange(
        'g1', '', lambda *_message: None, recorder, time.monotonic
    )
