"""Steps for the lease state machine on a virtual clock."""

import heapq
import itertools
import random

from behave import given, then, when

from cowsliprack.coordination.lease import Lease
from cowsliprack.coordination.lease_record import WriteLease
from cowsliprack.protocol.store import StoredObject

_TICK = 0.1
_SLOW = 7.0
_LATE = 4.0
_KEY = 'leases/z'


class _Rig:
    def __init__(self):
        self.now = 100.0
        self.stored = None
        self.version = 0
        self.leases = {}
        self.write_faults = {}
        self.events = []
        self.sequence = itertools.count()
        for name in ('a', 'b'):
            self.join(name)

    def join(self, name):
        self.leases[name] = Lease('z', name, name, 6, random.Random(name))
        self.write_faults[name] = []

    def at(self, delay, action):
        entry = (self.now + delay, next(self.sequence), action)
        heapq.heappush(self.events, entry)

    def run(self, seconds, names, slow=(), down=()):
        for _ in range(round(seconds / _TICK)):
            self.now += _TICK
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for name in names:
                action = self.leases[name].tick(self.now)
                if action is not None:
                    self.start(name, action, name in slow, name in down)
            self.check()

    def check(self):
        holders = [
            name
            for name, lease in self.leases.items()
            if lease.may_order(self.now, checks_fencing=False)
        ]
        assert len(holders) <= 1, (holders, self.now)

    def start(self, name, action, slow, down):
        lease = self.leases[name]
        if down:
            self.at(0.5, lambda: lease.on_no_answer(self.now))
            return
        fault = 'ok'
        if isinstance(action, WriteLease) and self.write_faults[name]:
            fault = self.write_faults[name].pop(0)
        delay = _SLOW if slow else 0.01
        if fault in {'ok', 'unanswered'}:
            answer = self.carry_out(lease, action)
            if fault == 'ok':
                self.at(delay, answer)
        elif fault == 'late':
            self.at(_LATE, lambda: self.carry_out(lease, action))
        if fault != 'ok':
            self.at(0.5, lambda: lease.on_no_answer(self.now))

    def carry_out(self, lease, action):
        if not isinstance(action, WriteLease):
            found = self.stored
            return lambda: lease.on_read(found, self.now)
        present = self.stored.version if self.stored else None
        if present != action.expected_version:
            return lambda: lease.on_conflict(self.now)
        self.version += 1
        self.stored = StoredObject(_KEY, self.version, action.body)
        written = self.stored
        return lambda: lease.on_written(written, self.now)


@given('instances a and b that compete for a lease of 6 seconds')
def given_rig(context):
    context.rig = _Rig()


@given('a leads')
def given_a_leads(context):
    context.rig.run(1, ['a'])
    assert context.rig.leases['a'].is_leader(context.rig.now)
    context.rig.run(3, ['a', 'b'])
    context.first_fencing = context.rig.leases['a'].fencing


@given('b is killed')
def given_b_killed(context):
    context.rig.leases.pop('b')


@given('the next {count:d} write of {name} is {fault}')
@when('the next {count:d} writes of {name} are {fault}')
def given_faults(context, count, name, fault):
    context.rig.write_faults[name].extend([fault] * count)


@when('both run for {seconds:d} seconds')
def when_both_run(context, seconds):
    context.rig.run(seconds, ['a', 'b'])


@when('{name} joins and runs for {seconds:d} seconds')
def when_joins(context, name, seconds):
    context.rig.join(name)
    context.rig.run(seconds, [name])


@when('a has the fault "{fault}" and b runs for {seconds:g} seconds')
def when_fault(context, fault, seconds):
    names = list(context.rig.leases)
    if fault == 'frozen':
        names.remove('a')
    slow = ['a'] if fault == 'slow' else []
    down = ['a'] if fault == 'down' else []
    context.rig.run(seconds, names, slow, down)


def _tell(context):
    rig = context.rig
    holder = rig.leases['a']
    left = max(holder.held_until() - rig.now, 0)
    rig.leases['b'].observe_term(
        holder.fencing, holder.observation.version, left, rig.now
    )


@when('a says what is left of its lease')
def when_tells(context):
    _tell(context)


@when('a gives up its lease without the store and says so')
def when_gives_up(context):
    context.rig.leases['a'].release(context.rig.now)
    _tell(context)


@when('both run for {seconds:g} seconds in all')
def when_run_in_all(context, seconds):
    context.rig.run(seconds, ['a', 'b'])


@when('{name} sees the fencing number {number:d}')
def when_sees(context, name, number):
    context.rig.leases[name].observe_fencing(number)


@when('{name} releases the lease')
def when_releases(context, name):
    action = context.rig.leases[name].release(context.rig.now)
    context.rig.start(name, action, slow=False, down=False)


@when('a releases the lease while a renewal is under way')
def when_releases_renewing(context):
    rig = context.rig
    lease = rig.leases['a']
    renewal = None
    while not isinstance(renewal, WriteLease):
        rig.run(_TICK, ['b'])
        renewal = lease.tick(rig.now)
    rig.start('a', renewal, slow=False, down=False)
    release = lease.release(rig.now)
    if release is not None:
        rig.start('a', release, slow=False, down=False)


@when('the lease object is deleted')
def when_deleted(context):
    context.rig.stored = None


@then('{name} has the role {role:w}')
def then_role(context, name, role):
    actual = context.rig.leases[name].role(context.rig.now)
    assert actual == role, actual


@then('the fencing number of a has not changed')
def then_same_fencing(context):
    assert context.rig.leases['a'].fencing == context.first_fencing


@then('the fencing number of b is above that of a')
def then_above(context):
    leases = context.rig.leases
    assert leases['b'].fencing > leases['a'].fencing


@then('the highest fencing number is above {number:d}')
def then_highest(context, number):
    leases = context.rig.leases.values()
    assert max(lease.fencing for lease in leases) > number


@then('{name} may order targets that {kind} fencing: {answer}')
def then_may_order(context, name, kind, answer):
    may = context.rig.leases[name].may_order(
        context.rig.now, checks_fencing=kind == 'check'
    )
    assert may == (answer == 'yes')


def _predecessor_seconds(context, name):
    return context.rig.leases[name].predecessor_until - context.rig.now


@then('{name} expects its predecessor to act for at most {seconds:d} seconds')
def then_at_most_seconds(context, name, seconds):
    assert _predecessor_seconds(context, name) <= seconds


@then('{name} expects its predecessor to act for at least {seconds:d} seconds')
def then_at_least_seconds(context, name, seconds):
    assert _predecessor_seconds(context, name) >= seconds
