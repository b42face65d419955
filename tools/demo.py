"""Shows the whole path on one machine, in under a minute.

Starts stand-ins and two instances, sends real requests, prints what happened
and ends by itself; nothing is left running.
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
        _tell('a model that nobody has loaded', first, 'fault-answers')
        _tell('the same model, now loaded', first, 'fault-answers')
        _tell('streamed, from the other zone', second, 'fault-answers', True)
        _tell('an adapter on that model', second, 'fault-answers-nl')
        refusal = chat(second, 'maintenance-plans', 'globex')
        print(f'\nA model of another organisation: {refusal.status_code}')
        print(f'  {refusal.text}')
        _order_twice(fleet)
        line = first.decisions('routing')[0]
        print('\nOne decision log line:')
        print(f'  {line}')
        for child in fleet.instances_by_id.values():
            print(f'{child.name} stopped with exit code {child.stop()}')
    return 0


def _tell(
    what: str, child: ChildProcess, model: str, stream: bool = False
) -> None:
    started = time.monotonic()
    answer = chat(child, model, stream=stream)
    seconds = time.monotonic() - started
    answer.raise_for_status()
    whole = 'ends with [DONE]' if stream else 'whole'
    if stream and not answer.text.rstrip().endswith('[DONE]'):
        raise RuntimeError('the stream has no end marker')
    print(
        f'{child.name}: {what}: {answer.status_code}, {seconds:.2f} s, {whole}'
    )


def _order_twice(fleet: Fleet) -> None:
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
    answers = [
        send(f'{child.url}/services/orders/new')
        for child in fleet.instances_by_id.values()
    ]
    service = fleet.processes.children_by_name['shop-1']
    received = len(service.control()['requests'])
    print('\nAn order sent to both instances with one idempotency key:')
    for answer in answers:
        print(f'  {answer.status_code} {answer.text}')
    print(f'  the service received it {received} time(s)')


if __name__ == '__main__':
    sys.exit(main())
