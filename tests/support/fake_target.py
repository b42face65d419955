"""In-memory target for simulations that accepts every load order.

It does not enforce its memory limit, so that tests detect overcommitted memory.
"""

from cowsliprack.protocol.target import (
    OrderKind,
    OrderOutcome,
    ReplicaReport,
    TargetReport,
)


class FakeTarget:
    """Target that the simulation calls at virtual times.

    :param memory: total, megabytes.
    :param checks_fencing: whether orders with an old fencing number fail.
    :param lag: seconds for which one report is repeated.
    :param load_seconds: duration of a load order.
    """

    def __init__(self, target_id, memory, checks_fencing, lag, load_seconds):
        self.target_id = target_id
        self.memory = memory
        self.checks_fencing = checks_fencing
        self.lag = lag
        self.load_seconds = load_seconds
        self.is_up = True
        self.boot = 1
        self.leaving = False
        self.running = 0
        self.loads = []
        self._clear()

    def _clear(self):
        self.fencing = 0
        self.replicas = {}
        self.done = []
        self._snapshot = None

    def restart(self):
        """Start a new process without the state of the old one."""
        self.boot += 1
        self.is_up = True
        self._clear()

    def stop(self):
        """End the process and lose its state."""
        self.boot += 1
        self.is_up = False
        self._clear()

    def start_order(self, order):
        """Start an order; return its outcome or the seconds until done."""
        if order.order_id in self.done:
            return OrderOutcome.done
        if self.checks_fencing and order.fencing < self.fencing:
            return OrderOutcome.stale_fencing
        if self.checks_fencing:
            self.fencing = max(self.fencing, order.fencing)
        if order.kind is OrderKind.load:
            if order.deployment in self.replicas:
                return OrderOutcome.done
            self.loads.append(order.deployment)
            self.replicas[order.deployment] = ['loading', order.memory]
            return self.load_seconds
        if order.kind is OrderKind.unload:
            self.replicas.pop(order.deployment, None)
        self.done.append(order.order_id)
        return OrderOutcome.done

    def end_load(self, order):
        """Finish a load that ``start_order`` started."""
        if order.deployment in self.replicas:
            self.replicas[order.deployment][0] = 'loaded'
        self.done.append(order.order_id)

    def memory_used(self):
        """Return the used memory in megabytes."""
        return sum(memory for _, memory in self.replicas.values())

    def report(self, now):
        """Return a report that may be up to ``lag`` seconds old."""
        if self._snapshot is None or now - self._snapshot[0] >= self.lag:
            self._snapshot = (now, self._report_fields())
        taken_at, fields = self._snapshot
        return TargetReport(age=now - taken_at, **fields)

    def _report_fields(self):
        return {
            'target_id': self.target_id,
            'boot_id': f'boot-{self.boot}',
            'running': self.running,
            'queued': 0,
            'memory_used': self.memory_used(),
            'memory_total': self.memory,
            'highest_fencing': self.fencing,
            'leaving': self.leaving,
            'replicas': tuple(
                ReplicaReport(name, state, memory)
                for name, (state, memory) in self.replicas.items()
            ),
            'done_orders': tuple(self.done[-64:]),
        }
