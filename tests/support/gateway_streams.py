"""Streams that callers begin at one gateway and take up at another."""

import itertools
import re
import socket

from tests.support.gateway_cluster import KEY, request, send

_ids = itertools.count(1)
_PATH = '/chat/x'


def begin_stream(cluster, stack, gateway, model, attempt=''):
    """Ask a gateway for a stream.

    :param stack: closes the connection.
    :param attempt: id of the attempt; chosen if empty.
    :returns: id of the attempt, and the connection.
    """
    attempt = attempt or f'stream-{next(_ids)}'
    port = cluster.ports[gateway]['front']
    connection = socket.create_connection(('127.0.0.1', port), 5)
    stack.enter_context(connection)
    headers = _headers(attempt, model, _prompt(attempt))
    send(connection, 'POST', _PATH, headers.items(), b'{}')
    return attempt, connection


def read_event(connection):
    """Read the first event of a stream; return its id."""
    received = b''
    while b'\n\n' not in received.partition(b'\r\n\r\n')[2]:
        part = connection.recv(4096)
        assert part, received
        received += part
    return event_ids(received)[-1]


def take_up(cluster, gateway, model, begun_attempt, last_event):
    """Go on with a stream at a gateway.

    :returns: id of the attempt, and its answer as ``request`` returns it.
    """
    attempt = f'stream-{next(_ids)}'
    headers = {
        **_headers(attempt, model, _prompt(begun_attempt)),
        'Last-Event-Id': str(last_event),
        'Resumes': begun_attempt,
    }
    port = cluster.ports[gateway]['front']
    return attempt, request(port, 'POST', _PATH, headers.items(), b'{}')


def event_ids(body):
    """Return the ids of the events in a part of a stream."""
    return [int(number) for number in re.findall(rb'id: (\d+)\n', body)]


def versions_run(cluster, attempt):
    """Return the software versions of the engines that ran an attempt."""
    return {
        engine.software_version
        for engine in cluster.engines.values()
        if attempt in engine.executed_ids
    }


def _prompt(attempt):
    """Return a prompt whose last part no other request has."""
    number = int(attempt.rpartition('-')[2])
    return f'ab:10,{number:x}f:10'


def _headers(attempt, model, prompt):
    return {
        'X-Attempt-Id': attempt,
        'X-Deadline-Ms': '7000',
        'X-Key': KEY,
        'X-Model': model,
        'X-Token-Count': '20,30',
        'X-Prompt-Prefix': prompt,
    }
