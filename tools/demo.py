"""Demonstrates the request path on one machine in under a minute.

Starts stand-ins and two instances, sends requests over HTTP and prints the
responses. Every process is stopped at the end.
"""

import functools
import sys
import time

import httpx

from tools.fleet import KEYS_BY_ORGANISATION, Fleet, chat
from tools.processes import ChildProcess, ProcessGroup


def main() -> int:
    """Run the demo and return the exit code."""
    with ProcessGroup() as processes:
        fleet = Fleet(processes)
        print('Starting platform, two engines, a service, two instances ...')
        fleet.start()
        first = fleet.instances_by_id['a1']
        second = fleet.instances_by_id['b1']
        _send_and_print(
            'a model that is not loaded yet', first, 'fault-answers'
        )
        _send_and_print('the same model, now loaded', first, 'fault-answers')
        _send_and_print(
            'streamed, from the other zone', second, 'fault-answers', True
        )
        _send_and_print('an adapter on that model', second, 'fault-answers-nl')
        refusal = chat(second, 'maintenance-plans', 'globex')
        print(f'\nA model of another organisation: {refusal.status_code}')
        print(f'  {refusal.text}')
        _send_order_to_each_instance(fleet)
        decision = first.decisions('routing')[0]
        print('\nOne decision log line:')
        print(f'  {decision}')
        for child in fleet.instances_by_id.values():
            print(f'{child.name} stopped with exit code {child.stop()}')
    return 0


def _send_and_print(
    label: str, child: ChildProcess, model: str, stream: bool = False
) -> None:
    started_at = time.monotonic()
    response = chat(child, model, stream=stream)
    seconds = time.monotonic() - started_at
    response.raise_for_status()
    end = 'ends with [DONE]' if stream else 'complete'
    if stream and not response.text.rstrip().endswith('[DONE]'):
        raise RuntimeError('the stream does not end with [DONE]')
    print(
        f'{child.name}: {label}: {response.status_code}, {seconds:.2f} s, {end}'
    )


def _send_order_to_each_instance(fleet: Fleet) -> None:
    send = functools.partial(
        httpx.post,
        json={'part': 'burner', 'count': 1},
        headers={
            'authorization': f'Bearer {KEYS_BY_ORGANISATION["acme"]}',
            'idempotency-key': 'order-4711',
        },
        trust_env=False,
        timeout=20,
    )
    responses = [
        send(f'{child.url}/services/orders/new')
        for child in fleet.instances_by_id.values()
    ]
    service = fleet.processes.children_by_name['shop-1']
    received = len(service.control()['requests'])
    print('\nAn order sent to both instances with one idempotency key:')
    for response in responses:
        print(f'  {response.status_code} {response.text}')
    print(f'  the service received it {received} time(s)')


if __name__ == '__main__':
    sys.exit(main())
