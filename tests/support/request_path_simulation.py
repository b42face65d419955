"""Randomised simulation around a ``Dispatcher`` that checks invariants."""

import random
from collections import Counter, defaultdict
from dataclasses import replace

from cowsliprack.coordination.capacity import Capacity
from cowsliprack.coordination.dispatcher import Dispatcher
from cowsliprack.coordination.serving import (
    AttemptFailure,
    Dispatch,
    Refuse,
    ServingRequest,
    ToLeader,
)
from cowsliprack.exceptions import Ran
from cowsliprack.protocol import peer
from cowsliprack.state import configuration as conf

KEYS_BY_ORGANISATION = {'acme': 'k1', 'beta': 'k2'}


def make_configuration(targets=3, generation=1):
    """Return a configuration with engines e1.. and services s1.."""
    all_targets = [
        conf.Target(f'e{n}', conf.TargetKind.engine, 'a', f'http://e{n}', 'e')
        for n in range(1, targets + 1)
    ] + [
        conf.Target(f's{n}', conf.TargetKind.service, 'a', f'http://s{n}', 's')
        for n in range(1, targets + 1)
    ]
    return conf.Configuration(
        generation=generation,
        zones=('a',),
        organisations_by_id={
            name: conf.Organisation(name, 1e6, 1e6)
            for name in KEYS_BY_ORGANISATION
        },
        organisation_id_by_key_digest={
            key: name for name, key in KEYS_BY_ORGANISATION.items()
        },
        deployments_by_name={'m': conf.Deployment('m', 'm', '1', 3, 1, 'e')},
        services_by_route={'orders': conf.Service('orders', 's')},
        targets_by_id={target.target_id: target for target in all_targets},
    )


class RequestPathSimulation:
    """Simulates callers, targets and leader on a virtual clock."""

    def __init__(self, seed=0, targets=3, loses_grants=False):
        self.loses_grants = loses_grants
        self.rng = random.Random(seed)
        self.now = 1000.0
        self.sequence = 0
        self.configuration = make_configuration(targets)
        capacity = Capacity('a', 'i1-1', random.Random(1))
        self.dispatcher = Dispatcher(capacity, max_queue=8)
        self.dispatcher.on_configuration(self.configuration, self.now)
        self.requests_by_id = {}
        self.target_by_running = {}
        self.sent = set()
        self.executed = set()
        self.refusal_by_id = {}
        self.finished_ids = set()
        self.leaving = set()
        self.crash_ids_by_digest = defaultdict(set)
        self.boot_by_target = defaultdict(lambda: 'b1')
        self.dispatches = []
        self.counts = Counter()
        self.send_view()

    # Events for the dispatcher.

    def send_view(self, running=0, states=None):
        """Send a full view of zone a."""
        self.sequence += 1
        engines = [f'e{n}' for n in range(1, 4)]
        view = peer.ReplicaView(
            zone='a',
            fencing=1,
            sequence=self.sequence,
            full=True,
            targets=tuple(
                peer.TargetInfo(
                    name,
                    'a',
                    (states or {}).get(name, 'live'),
                    running,
                    boot_id=self.boot_by_target[name],
                )
                for name in engines
            ),
            replicas=tuple(
                peer.ReplicaInfo('m', name, 'loaded')
                for name in engines
                if name in self.configuration.targets_by_id
            ),
        )
        self.process_actions(self.dispatcher.on_message(view, self.now))

    def submit(
        self, kind, organisation='acme', digest='', seconds=5.0, priority=0
    ):
        """Submit a request and return its id."""
        request_id = f'r{len(self.requests_by_id)}'
        is_model = kind == 'chat'
        request = ServingRequest(
            request_id,
            organisation,
            KEYS_BY_ORGANISATION[organisation],
            'm' if is_model else 'orders',
            is_model,
            tokens=10,
            deadline=self.now + seconds,
            received_at=self.now,
            repeatable=kind != 'order',
            priority=priority,
            digest=digest or request_id,
        )
        self.requests_by_id[request_id] = request
        self.process_actions(self.dispatcher.submit(request, self.now))
        return request_id

    def fail(self, request_id, sent=True, refused=False, **failure):
        """Report a failed attempt, with further fields as keywords."""
        self.target_by_running.pop(request_id)
        may_have_run_there = sent and not refused
        if sent:
            self.sent.add(request_id)
        if may_have_run_there:
            self.executed.add(request_id)
        ran = Ran.may_have_run if may_have_run_there else Ran.not_run
        event = AttemptFailure(request_id, 'lost', ran, sent=sent, **failure)
        self.process_actions(self.dispatcher.on_attempt_failed(event, self.now))

    def crash(self, target_id, crash_id):
        """End the process of a target; all its requests fail."""
        lost = [
            request_id
            for request_id, target in self.target_by_running.items()
            if target == target_id
        ]
        for request_id in lost:
            digest = self.requests_by_id[request_id].digest
            self.crash_ids_by_digest[digest].add(crash_id)
        for request_id in lost:
            if request_id in self.target_by_running:
                self.fail(request_id, crash_id=crash_id)

    def finish(self, request_id):
        """Report the end of a request."""
        self.target_by_running.pop(request_id)
        self.finished_ids.add(request_id)
        self.executed.add(request_id)
        self.process_actions(
            self.dispatcher.on_finished(request_id, 10, self.now)
        )

    def report_crash(self, digest, crash_id):
        """Send a poison notice of another instance."""
        self.crash_ids_by_digest[digest].add(crash_id)
        message = peer.PoisonNotice(digest, crash_id, 'e9', 600)
        self.process_actions(self.dispatcher.on_message(message, self.now))

    def announce_leaving(self, target_id):
        """Announce that a target leaves."""
        self.leaving.add(target_id)
        message = peer.TargetLeaving(target_id)
        self.process_actions(self.dispatcher.on_message(message, self.now))

    def withdraw(self, organisation):
        """Withdraw the key of an organisation."""
        digests = dict(self.configuration.organisation_id_by_key_digest)
        digests.pop(KEYS_BY_ORGANISATION[organisation], None)
        self.configuration = replace(
            self.configuration,
            generation=self.configuration.generation + 1,
            organisation_id_by_key_digest=digests,
        )
        actions = self.dispatcher.on_configuration(self.configuration, self.now)
        self.process_actions(actions)

    def advance(self, seconds):
        """Advance the clock and tick the dispatcher."""
        self.now += seconds
        self.process_actions(self.dispatcher.tick(self.now))

    # Actions of the dispatcher and their checks.

    def process_actions(self, actions):
        """Check actions and grant the requested credit."""
        for action in actions:
            if isinstance(action, Dispatch):
                self._check_dispatch(action)
            elif isinstance(action, Refuse):
                self._check_refusal(action)
            elif isinstance(action, ToLeader):
                self._answer_credit_request(action.message)

    def _answer_credit_request(self, message):
        if not isinstance(message, peer.CreditRequest):
            return
        if self.loses_grants and self.rng.random() < 0.1:
            return
        grant = peer.CreditGrant(
            message.request_id, message.organisation, message.wanted, 2
        )
        self.process_actions(self.dispatcher.on_message(grant, self.now))

    def _check_dispatch(self, action):
        request_id = action.request_id
        request = self.requests_by_id[request_id]
        is_new = request_id not in self.target_by_running
        assert is_new, 'P3: dispatched twice at once'
        assert request_id not in self.finished_ids, (
            'P3: dispatched after its end'
        )
        assert request_id not in self.refusal_by_id, (
            'P9: dispatched after a refusal'
        )
        repeated = request_id in self.sent and not request.repeatable
        assert not repeated, 'P10: sent again'
        assert action.target_id not in self.leaving, 'P11: leaving target'
        known = self.configuration.organisation_id_by_key_digest
        is_valid = known.get(request.key_digest) == request.organisation
        assert is_valid, 'P4, P6: dispatched without a valid key'
        assert len(self.crash_ids_by_digest[request.digest]) < 2, (
            'P14: poison dispatched'
        )
        suspects = [
            other
            for other, target in self.target_by_running.items()
            if target == action.target_id
            and self.crash_ids_by_digest[self.requests_by_id[other].digest]
        ]
        if self.crash_ids_by_digest[request.digest]:
            self.counts['quarantined'] += 1
            assert not suspects, 'P14: two suspects on one target'
        assert self.now <= request.deadline, 'P3: dispatched too late'
        self.counts['retried'] += any(
            request_id == earlier for earlier, _ in self.dispatches
        )
        self.dispatches.append((request_id, action.target_id))
        self.target_by_running[request_id] = action.target_id

    def _check_refusal(self, action):
        request_id = action.request_id
        assert request_id not in self.finished_ids, 'P3: refused after its end'
        assert request_id not in self.refusal_by_id, 'P3: refused twice'
        if action.error.ran is Ran.not_run:
            ran = request_id in self.executed | set(self.target_by_running)
            assert not ran, 'P9: "not run" is not true'
        self.target_by_running.pop(request_id, None)
        self.refusal_by_id[request_id] = action.error

    def check_end(self):
        """Finish all requests and check that nothing is left."""
        for _ in range(200):
            for request_id in list(self.target_by_running):
                if request_id in self.target_by_running:
                    self.finish(request_id)
            self.advance(0.1)
        answered = self.finished_ids | set(self.refusal_by_id)
        assert answered == set(self.requests_by_id), 'P3: not answered'
        capacity = self.dispatcher.capacity
        assert not self.dispatcher.requests_by_id
        assert not capacity.reservations_by_id, 'credit is not given back'
        running_counts = {
            s.own_running for s in capacity.fleet.targets_by_id.values()
        }
        assert running_counts == {0}, 'a slot is not given back'


def run_random_simulation(seed):
    """Run one random simulation and return the counts of its events."""
    simulation = RequestPathSimulation(seed, loses_grants=True)
    rng = simulation.rng
    for step in range(rng.randrange(20, 80)):
        running = list(simulation.target_by_running)
        draw = rng.random()
        if draw < 0.35:
            simulation.submit(
                rng.choice(['chat', 'chat', 'order', 'get']),
                rng.choice(['acme', 'beta']),
                rng.choice(['', '', 'p1', 'p2']),
                rng.choice([0.2, 1, 5]),
                rng.choice([0, 0, 5]),
            )
        elif draw < 0.5 and running:
            simulation.finish(rng.choice(running))
        elif draw < 0.65 and running:
            request_id = rng.choice(running)
            sent = rng.random() < 0.7
            if sent and rng.random() < 0.4:
                target = simulation.target_by_running[request_id]
                simulation.crash(target, f'{target}/{step}')
            else:
                simulation.fail(request_id, sent, rng.random() < 0.3)
        elif draw < 0.7:
            states = {f'e{rng.randrange(1, 4)}': 'crashed'}
            simulation.send_view(rng.choice([0, 3, 9]), states)
        elif draw < 0.73:
            simulation.announce_leaving(rng.choice(['e1', 's1']))
        elif draw < 0.76:
            simulation.report_crash(
                rng.choice(['p1', 'p2']), f'e9/{rng.randrange(3)}'
            )
        elif draw < 0.765:
            simulation.withdraw(rng.choice(['acme', 'beta']))
        else:
            simulation.advance(rng.choice([0.01, 0.05, 0.3]))
    simulation.check_end()
    simulation.counts['served'] += len(simulation.finished_ids)
    simulation.counts['refused'] += len(simulation.refusal_by_id)
    return simulation.counts
