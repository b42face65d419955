"""Steps for the lease state machine on a virtual clock."""

import heapq
import itertools
import random

from behave import given, then, when

from cowsliprack.coordination.lease import Lease
from cowsliprack.coordination.lease_record import WriteLease
from cowsliprack.protocol.store import StoredObject
from cowsliprack.state.store_version import join_version

_TICK_SECONDS = 0.1
_SLOW_ANSWER_SECONDS = 7.0
_LATE_WRITE_SECONDS = 4.0
_LEASE_SECONDS = 6
_KEY = 'leases/z'
_NEVER = float('-inf')


class _Simulation:
    """Competing leases and a store whose answers may be late or lost."""

    def __init__(self, names=('a', 'b')):
        self.now = 100.0
        self.stored = None
        self.version = 0
        self.era = 0
        self.copy = None
        self.highest_fencing = 0
        self.fencing_numbers = {name: set() for name in names}
        # When each instance last could order.
        self.ordered_at = {}
        # Instances that compete again after a release.
        self.resumes = set()
        self.leases = {}
        self.write_faults = {}
        self.events = []
        self.event_numbers = itertools.count()
        for name in names:
            self.join(name)

    def join(self, name, first_start=True, version_ages=dict):
        self.leases[name] = Lease(
            'z',
            name,
            name,
            _LEASE_SECONDS,
            random.Random(name),
            started_at=self.now,
            first_start=first_start,
            version_ages=version_ages,
        )
        self.write_faults[name] = []

    def schedule(self, delay, action):
        entry = (self.now + delay, next(self.event_numbers), action)
        heapq.heappush(self.events, entry)

    def run(self, seconds, names, slow=(), down=()):
        for _ in range(round(seconds / _TICK_SECONDS)):
            self.now += _TICK_SECONDS
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            for name in names:
                if name in self.resumes:
                    self.leases[name].resume()
                action = self.leases[name].tick(self.now)
                if action is not None:
                    self.perform(name, action, name in slow, name in down)
            self.check_single_holder()

    def check_single_holder(self):
        holders = [
            name
            for name, lease in self.leases.items()
            if lease.may_order(self.now, checks_fencing=False)
        ]
        assert len(holders) <= 1, (holders, self.now)
        for name in holders:
            fencing = self.leases[name].fencing
            assert fencing >= self.highest_fencing, (name, self.now)
            self.highest_fencing = fencing
            self.fencing_numbers.setdefault(name, set()).add(fencing)
            self.check_turns(name)

    def check_turns(self, name):
        """Guard against holders that take turns within one lease."""
        last_at = self.ordered_at.get(name, _NEVER)
        between = [
            other for other, at in self.ordered_at.items() if at > last_at
        ]
        is_late = self.now - last_at >= _LEASE_SECONDS
        assert is_late or not between, (name, between, self.now - last_at)
        self.ordered_at[name] = self.now

    def release(self, name):
        action = self.leases[name].release(self.now)
        if action is not None:
            self.perform(name, action, slow=False, down=False)

    def announce_term(self, holder_name):
        holder = self.leases[holder_name]
        closed_until = holder.held_until()
        if not holder.is_leader(self.now):
            closed_until = holder.terms.closed_until(closed_until, self.now)
        remaining = max(closed_until - self.now, 0)
        for name, lease in self.leases.items():
            if name != holder_name:
                lease.observe_term(
                    holder.fencing,
                    holder.observation.version,
                    remaining,
                    self.now,
                )

    def perform(self, name, action, slow, down):
        lease = self.leases[name]
        if down:
            self.schedule(0.5, lambda: lease.on_no_answer(self.now))
            return
        fault = 'ok'
        if isinstance(action, WriteLease) and self.write_faults[name]:
            fault = self.write_faults[name].pop(0)
        delay = _SLOW_ANSWER_SECONDS if slow else 0.01
        if fault in {'ok', 'unanswered'}:
            answer = self.apply(lease, action)
            if fault == 'ok':
                self.schedule(delay, answer)
        elif fault == 'late':
            self.schedule(
                _LATE_WRITE_SECONDS, lambda: self.apply(lease, action)
            )
        if fault != 'ok':
            self.schedule(0.5, lambda: lease.on_no_answer(self.now))

    def apply(self, lease, action):
        if not isinstance(action, WriteLease):
            current = self.stored
            era = self.era
            return lambda: lease.on_read(current, self.now, era)
        current_version = self.stored.version if self.stored else None
        if current_version != action.expected_version:
            return lambda: lease.on_conflict(self.now)
        self.version += 1
        version = join_version(self.era, self.version)
        self.stored = StoredObject(_KEY, version, action.body)
        written = self.stored
        return lambda: lease.on_written(written, self.now)

    def restore(self):
        """Let the store come back from its copy in a new era."""
        self.stored, self.version = self.copy
        self.era += 1
        if self.stored is not None:
            version = join_version(self.era, self.version)
            self.stored = StoredObject(_KEY, version, self.stored.body)


@given('instances a and b that compete for a lease of 6 seconds')
def given_simulation(context):
    context.simulation = _Simulation()


@given('a leads')
def given_a_leads(context):
    context.simulation.run(1, ['a'])
    assert context.simulation.leases['a'].is_leader(context.simulation.now)
    context.simulation.run(3, ['a', 'b'])
    context.first_fencing = context.simulation.leases['a'].fencing


@given('the software versions {versions} of a service, known by {name}')
def given_versions(context, versions, name):
    context.ages = {'s': {version: 0.0 for version in versions.split(' and ')}}
    simulation = context.simulation
    simulation.join(name, version_ages=lambda: context.ages)


@given('a software version of {count:d} letters, known by {name}')
def given_long_version(context, count, name):
    ages = {'s': {'v' * count: 0.0}}
    context.simulation.join(name, version_ages=lambda: ages)


@given('software versions in the lease as an entry that is {entry}')
def given_odd_versions(context, entry):
    simulation = context.simulation
    odd = {'a text': 'v1', 'a list': ['v1'], 'nested': {'s': {'v1': 'now'}}}
    simulation.join('a', version_ages=lambda: odd[entry])


@then('{name} has inherited the software versions {versions}')
def then_inherited(context, name, versions):
    _, ages = context.simulation.leases[name].inherited()
    assert set(ages['s']) == set(versions.split(' and ')), ages


@then('{name} has inherited no software versions')
def then_not_inherited(context, name):
    inherited = context.simulation.leases[name].inherited()
    assert inherited is None, inherited


@then('{name} knows that no software version ran before')
def then_nothing_before(context, name):
    assert context.simulation.leases[name].inherited() == ('', {})


@given('the store has no lease object')
def given_no_object(context):
    context.simulation.stored = None


@when('{name} reads the lease, after {start}')
def when_reads_after(context, name, start):
    context.simulation.join(name, first_start=start == 'the first start')
    action = context.simulation.leases[name].tick(context.simulation.now)
    context.simulation.apply(context.simulation.leases[name], action)()


@given('b is killed')
@when('b is killed')
def given_b_killed(context):
    context.simulation.leases.pop('b')


@given('the next {count:d} write of {name} is {fault}')
@when('the next {count:d} writes of {name} are {fault}')
def given_faults(context, count, name, fault):
    context.simulation.write_faults[name].extend([fault] * count)


@when('both run for {seconds:d} seconds')
def when_both_run(context, seconds):
    context.simulation.run(seconds, ['a', 'b'])


@when('{name} joins and runs for {seconds:d} seconds')
def when_joins(context, name, seconds):
    context.simulation.join(name)
    context.simulation.run(seconds, [name])


@when('a has the fault "{fault}" and b runs for {seconds:g} seconds')
def when_fault(context, fault, seconds):
    names = list(context.simulation.leases)
    if fault == 'frozen':
        names.remove('a')
    slow = ['a'] if fault == 'slow' else []
    down = ['a'] if fault == 'down' else []
    context.simulation.run(seconds, names, slow, down)


def _announce_term(context):
    context.simulation.announce_term('a')


@when('a announces the remaining term of its lease')
def when_announces_term(context):
    _announce_term(context)


@when(
    'a is frozen and b runs for {seconds:g} seconds, with announcements of a '
    'that arrive later and later'
)
def when_late_announcements(context, seconds):
    simulation = context.simulation
    holder = simulation.leases['a']
    since = simulation.now
    remaining = holder.held_until() - since
    while simulation.now < since + seconds - _TICK_SECONDS / 2:
        # Sent every tick until the lease ends, each delayed by twice its age.
        sent_after = (simulation.now - since) / 3
        simulation.leases['b'].observe_term(
            holder.fencing,
            holder.observation.version,
            remaining - sent_after,
            simulation.now,
        )
        simulation.run(_TICK_SECONDS, ['b'])


@when('a releases its lease without the store and announces it')
def when_releases_without_store(context):
    context.simulation.leases['a'].release(context.simulation.now)
    _announce_term(context)


@when('both run for {seconds:g} seconds in total')
def when_both_run_in_total(context, seconds):
    context.simulation.run(seconds, ['a', 'b'])


@when('{name} sees the fencing number {number:d}')
def when_sees_fencing(context, name, number):
    context.simulation.leases[name].observe_fencing(
        number, context.simulation.now
    )


@when('{name} releases the lease')
def when_releases(context, name):
    context.simulation.release(name)


@when('a releases the lease while a renewal is pending')
def when_releases_renewing(context):
    simulation = context.simulation
    lease = simulation.leases['a']
    renewal = None
    while not isinstance(renewal, WriteLease):
        simulation.run(_TICK_SECONDS, ['b'])
        renewal = lease.tick(simulation.now)
    simulation.perform('a', renewal, slow=False, down=False)
    release = lease.release(simulation.now)
    if release is not None:
        simulation.perform('a', release, slow=False, down=False)


@when('the lease object is deleted')
def when_deleted(context):
    context.simulation.stored = None


@then('{name} has the role {role:w}')
def then_role(context, name, role):
    actual = context.simulation.leases[name].role(context.simulation.now)
    assert actual == role, actual


@then('the fencing number of a has not changed')
def then_same_fencing(context):
    assert context.simulation.leases['a'].fencing == context.first_fencing


@then('the fencing number of b is above that of a')
def then_above(context):
    leases = context.simulation.leases
    assert leases['b'].fencing > leases['a'].fencing


@then('the highest fencing number is above {number:d}')
def then_highest(context, number):
    leases = context.simulation.leases.values()
    assert max(lease.fencing for lease in leases) > number


@then('{name} may order targets that {kind} fencing: {answer}')
def then_may_order(context, name, kind, answer):
    actual = context.simulation.leases[name].may_order(
        context.simulation.now, checks_fencing=kind == 'check'
    )
    assert actual == (answer == 'yes')


def _predecessor_seconds(context, name):
    return (
        context.simulation.leases[name].predecessor_until
        - context.simulation.now
    )


@then('{name} expects its predecessor to act for at most {seconds:d} seconds')
def then_at_most_seconds(context, name, seconds):
    assert _predecessor_seconds(context, name) <= seconds


@then('{name} expects its predecessor to act for at least {seconds:d} seconds')
def then_at_least_seconds(context, name, seconds):
    assert _predecessor_seconds(context, name) >= seconds


@given('a copy of the store')
def given_copy(context):
    simulation = context.simulation
    simulation.copy = simulation.stored, simulation.version


@given('a copy of the store without the lease')
def given_empty_copy(context):
    context.simulation.copy = None, 0


@when('the store comes back from the copy')
def when_store_returns(context):
    context.simulation.restore()


@when('both run without the store for {seconds:g} seconds')
def when_store_down(context, seconds):
    context.simulation.run(seconds, ['a', 'b'], down=['a', 'b'])


@when('{name} starts again without memory')
def when_restarted(context, name):
    context.simulation.join(name, first_start=False)


@when('only {name} runs for {seconds:g} seconds')
def when_one_runs(context, name, seconds):
    context.simulation.run(seconds, [name])


@then('the fencing number of {name} is above the first one')
def then_above_first(context, name):
    fencing = context.simulation.leases[name].fencing
    assert fencing > context.first_fencing, fencing


@then('b has held the lease with one number')
def then_one_number(context):
    assert len(context.simulation.fencing_numbers['b']) == 1


@given('instances compete again after a release')
def given_resume(context):
    context.simulation.resumes = {'a', 'b'}


@given('{name} competes again after a release')
def given_one_resumes(context, name):
    context.simulation.resumes = {name}


@then('{name} takes the lease after {least:g} to {most:g} seconds')
def then_takes(context, name, least, most):
    simulation = context.simulation
    since = simulation.now
    lease = simulation.leases[name]
    while not lease.is_leader(simulation.now):
        assert simulation.now - since <= most
        simulation.run(_TICK_SECONDS, list(simulation.leases))
    assert simulation.now - since >= least, simulation.now - since


def _hand_over(simulation, rng):
    for name, lease in simulation.leases.items():
        if lease.is_leader(simulation.now):
            simulation.release(name)
            if rng.random() < 0.5:
                simulation.announce_term(name)


def _restart(simulation, rng):
    simulation.join(rng.choice(list(simulation.leases)), first_start=False)


def _fail_write(simulation, rng):
    name = rng.choice(list(simulation.leases))
    fault = rng.choice(['lost', 'unanswered', 'late'])
    simulation.write_faults[name].append(fault)


def _announce_terms(simulation, rng):
    for name, lease in simulation.leases.items():
        if lease.is_leader(simulation.now):
            simulation.announce_term(name)


def _copy_store(simulation, rng):
    simulation.copy = simulation.stored, simulation.version


def _return_store(simulation, rng):
    if simulation.copy is not None:
        simulation.restore()
        simulation.copy = None


_EVENTS = (
    _hand_over,
    _hand_over,
    _hand_over,
    _restart,
    _fail_write,
    _announce_terms,
    _copy_store,
    _return_store,
)


class _MixedSimulation(_Simulation):
    """Beside an instance a of a build that does not rest between terms."""

    def join(self, name, **options):
        super().join(name, **options)
        terms = self.leases[name].terms
        if name == 'a':
            terms.may_begin = lambda *_: True
        else:
            terms.others_rest = lambda: False


def _play(simulation, seed, seconds, *, has_led=True):
    """Draw releases, restarts, lost writes, freezes and outages.

    :param has_led: whether the lease was written before the first event.
    """
    rng = random.Random(seed)
    names = list(simulation.leases)
    simulation.resumes = set(names)
    if has_led:
        simulation.run(1, names)
    while simulation.now < 100 + seconds:
        rng.choice(_EVENTS)(simulation, rng)
        running = list(simulation.leases)
        if rng.random() < 0.2:
            running.remove(rng.choice(running))
        down = []
        if running and rng.random() < 0.2:
            down = rng.sample(running, rng.randint(1, len(running)))
        simulation.run(rng.uniform(0.2, 4), running, down=down)
    simulation.write_faults = {name: [] for name in names}
    simulation.run(4 * _LEASE_SECONDS, list(simulation.leases))
    leaders = [
        name
        for name, lease in simulation.leases.items()
        if lease.is_leader(simulation.now)
    ]
    assert len(leaders) == 1, leaders


@when(
    '{count:d} instances hand over, restart and lose the store for '
    '{seconds:d} seconds, {plays:d} times'
)
def when_played(context, count, seconds, plays):
    _play_all(context, _Simulation, 'abc'[:count], seconds, plays)


@when(
    '{count:d} instances hand over, restart and lose the store for '
    '{seconds:d} seconds from the first start on, {plays:d} times'
)
def when_played_from_start(context, count, seconds, plays):
    names = 'abc'[:count]
    _play_all(context, _Simulation, names, seconds, plays, has_led=False)


def _play_all(context, simulation_type, names, seconds, plays, *, has_led=True):
    context.failures = {}
    for seed in range(plays):
        try:
            _play(simulation_type(names), seed, seconds, has_led=has_led)
        except AssertionError as error:
            context.failures[seed] = str(error)


@when(
    '{count:d} instances, one of an earlier build, hand over, restart and lose '
    'the store for {seconds:d} seconds, {plays:d} times'
)
def when_mixed_played(context, count, seconds, plays):
    _play_all(context, _MixedSimulation, 'abc'[:count], seconds, plays)


@given('a is of an earlier build')
def given_earlier_build(context):
    context.simulation = _MixedSimulation()


@when('b is asked to stop and ends')
def when_ends(context):
    simulation = context.simulation
    assert simulation.leases['b'].release(simulation.now) is None
    simulation.leases.pop('b')


@then('no holder orders again within a lease after another one')
def then_no_turns(context):
    assert not context.failures, (len(context.failures), context.failures)
