"""Terms of gateways that end in turn, and the orders that engines get then."""

import itertools
import json
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from tests.support.gateway_cluster import KEY, request

ENGINES = ('e1', 'e2')
_LOAD_INTERVAL_SECONDS = 0.06
_DEADLINE_MS = 4000
# Requests under way at each gateway until they are given up.
_MAX_REQUESTS = 80
_POLL_SECONDS = 0.01
# Longest time in which another gateway leads and orders: a lease, the delay of
# an instance that has just regained the engines, and some slack.
_TURN_SECONDS = 8.0


def turns_within(orders, lease_seconds):
    """Return the orders of holders that order again after another one.

    :param orders: of one engine in the order of arrival.
    :param lease_seconds: time between the two orders of a holder that counts.
    :returns: triples of orders, of X, Y and X.
    """
    triples = []
    last_by_holder = {}
    for before, order in itertools.pairwise(orders):
        last_by_holder[before.holder] = before
        first = last_by_holder.get(order.holder)
        is_turn = first is not None and before.holder != order.holder
        if is_turn and order.arrived_at - first.arrived_at < lease_seconds:
            triples.append((first, before, order))
    return triples


def all_turns(cluster):
    """Return the turns at each engine within one lease, by its id."""
    return {
        name: turns_within(
            list(cluster.engines[name].received_orders),
            cluster.lease_ms / 1000,
        )
        for name in ENGINES
    }


def newest_order(cluster):
    """Return the order that arrived last at any engine, or ``None``."""
    last = [
        cluster.engines[name].received_orders[-1]
        for name in ENGINES
        if cluster.engines[name].received_orders
    ]
    return max(last, key=lambda order: order.arrived_at, default=None)


def terms(cluster, name):
    """Return the log entries of the begins and ends of a gateway's terms."""
    return [
        json.loads(line)
        for line in cluster.log(name).splitlines()
        if '"term_begins"' in line or '"term_ends"' in line
    ]


class ModelLoad:
    """Requests for drawn models at all gateways until it is closed.

    :param rng: draws the models.
    """

    def __init__(self, cluster, rng):
        self._cluster = cluster
        self._rng = rng
        self._ids = itertools.count()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def close(self):
        """End the load and wait for the responses."""
        self._stopped.set()
        self._thread.join()

    def _run(self):
        names = sorted(self._cluster.ports)
        with ThreadPoolExecutor(_MAX_REQUESTS * len(names)) as pool:
            while not self._stopped.wait(_LOAD_INTERVAL_SECONDS):
                for name in names:
                    model = self._rng.choice(self._cluster.models)
                    pool.submit(self._send, name, model)

    def _send(self, name, model):
        number = next(self._ids)
        headers = {
            'X-Attempt-Id': f'turn-{number}',
            'X-Deadline-Ms': str(_DEADLINE_MS),
            'X-Key': KEY,
            'X-Model': model,
            'X-Token-Count': '20,20',
            'X-Prompt-Prefix': f'ab:10,{number:x}:10',
        }
        port = self._cluster.ports[name]['front']
        request(port, 'POST', '/report/x', headers.items(), b'{}')


def wait_for_other(cluster, holder, seconds=_TURN_SECONDS):
    """Wait until another gateway gives an order; return whether one did."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        newest = newest_order(cluster)
        if newest is not None and newest.holder != holder:
            return True
        time.sleep(_POLL_SECONDS)
    return False


def _begins(cluster):
    return sum(
        cluster.log(name).count('"term_begins"') for name in cluster.processes
    )


def cut_in_turn(cluster, rng, seconds, mode='reset'):
    """Cut each leader off after its first order, until turns are seen.

    The cut ends as soon as the next leader's term begins, so that each one
    can lead again when the next one is cut off.

    :param rng: draws the time from an order to the cut.
    :param seconds: time after which no further cut begins.
    :returns: number of leaders that were followed by another one.
    """
    changes = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end and not any(all_turns(cluster).values()):
        time.sleep(rng.uniform(0, 0.05))
        holder = newest_order(cluster).holder
        begins = _begins(cluster)
        cluster.cut_off(holder, mode)
        turn_end = time.monotonic() + _TURN_SECONDS
        while _begins(cluster) == begins and time.monotonic() < turn_end:
            time.sleep(_POLL_SECONDS)
        cluster.end_cut()
        changes += wait_for_other(cluster, holder)
    return changes
