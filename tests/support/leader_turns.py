"""Terms of gateways that end in turn, and the orders that engines get then."""

import itertools
import json
import signal
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


def wait_for_orders(cluster, before=None, seconds=_TURN_SECONDS):
    """Wait until a new term gives an order.

    :param before: order of the last term.
    :param seconds: longest wait.
    :returns: whether another gateway gave the order.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        newest = newest_order(cluster)
        if newest and (before is None or newest.fencing > before.fencing):
            return before is None or newest.holder != before.holder
        time.sleep(_POLL_SECONDS)
    return False


def cut(cluster, rng, mode='reset'):
    """Cut the leader off from the targets until the next term begins.

    The next leader can then hand over to it as soon as it is cut off itself.
    """
    before = newest_order(cluster)
    cluster.cut_off(before.holder, mode)
    _wait_for_term(cluster, before)
    cluster.end_cut()
    return wait_for_orders(cluster, before)


def cut_silently(cluster, rng):
    """The same, with connections that hang."""
    return cut(cluster, rng, 'hang')


def stop(cluster, rng):
    """Tell the leader to stop; start it again once another one leads.

    A process that still answers callers then is killed.
    """
    before = newest_order(cluster)
    cluster.signal(before.holder, signal.SIGTERM)
    _wait_for_term(cluster, before)
    cluster.kill(before.holder)
    cluster.start(before.holder)
    return wait_for_orders(cluster, before)


def cut_and_restart(cluster, rng):
    """Cut the leader off; kill it in the next term and start it again."""
    before = newest_order(cluster)
    cluster.cut_off(before.holder, 'reset')
    _wait_for_term(cluster, before)
    cluster.kill(before.holder)
    cluster.end_cut()
    cluster.start(before.holder)
    return wait_for_orders(cluster, before)


def kill(cluster, rng):
    """Kill the leader and start it again at once, then cut the leader off."""
    before = newest_order(cluster)
    cluster.kill(before.holder)
    cluster.start(before.holder)
    _wait_for_term(cluster, before)
    _wait_for_order(cluster)
    return cut(cluster, rng)


def lapse(cluster, rng):
    """Cut the leader off from the store, then the next one from the targets."""
    before = newest_order(cluster)
    cluster.call(
        cluster.store_cut.begin, cluster.processes[before.holder].pid, 'reset'
    )
    _wait_for_term(cluster, before)
    cluster.call(cluster.store_cut.end)
    _wait_for_order(cluster)
    return cut(cluster, rng)


def suspend(cluster, rng):
    """Suspend the leader for over a lease, then cut off the next one."""
    before = newest_order(cluster)
    cluster.signal(before.holder, signal.SIGSTOP)
    time.sleep(cluster.lease_ms / 1000 + 0.5)
    _wait_for_term(cluster, before)
    cluster.signal(before.holder, signal.SIGCONT)
    _wait_for_order(cluster)
    return cut(cluster, rng)


def suspend_engines(cluster, rng):
    """Suspend all engines for over a second, then let them run."""
    before = newest_order(cluster)
    for name in ENGINES:
        cluster.call(cluster.engines[name].suspend)
    time.sleep(rng.uniform(1.1, 1.3))
    for name in ENGINES:
        cluster.call(cluster.engines[name].resume)
    return wait_for_orders(cluster, before, rng.uniform(0.6, 0.9))


TURNS = {
    'cut off': cut,
    'cut off silently': cut_silently,
    'stopped': stop,
    'cut off and restarted': cut_and_restart,
    'killed': kill,
    'cut off from the store': lapse,
    'suspended': suspend,
    'without engines': suspend_engines,
}


def _wait_for_term(cluster, before):
    """Wait until the lease is held in a later term than that of an order."""
    end = time.monotonic() + _TURN_SECONDS
    while time.monotonic() < end:
        stored = cluster.platform.find('leases', 'region')
        if stored.spec['holder'] and stored.spec['fencing'] > before.fencing:
            return
        time.sleep(_POLL_SECONDS)


def _wait_for_order(cluster):
    since = time.monotonic()
    end = since + _TURN_SECONDS
    while newest_order(cluster).arrived_at < since and time.monotonic() < end:
        time.sleep(_POLL_SECONDS)


def end_in_turn(cluster, turn, rng, seconds, *, until_seen=True):
    """End the terms of leaders one after the other, until turns are seen.

    :param turn: ends the term of the leader that gave the newest order;
        returns whether another one gave orders.
    :param rng: draws the time from an order to the next end.
    :param seconds: time after which no further term is ended.
    :param until_seen: whether to stop once an engine got such orders.
    :returns: number of leaders that were followed by another one.
    """
    changes = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if until_seen and any(all_turns(cluster).values()):
            break
        time.sleep(rng.uniform(0, 0.05))
        changes += turn(cluster, rng)
    return changes
