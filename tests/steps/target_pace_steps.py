"""Steps for the pace of targets."""

import heapq
import itertools
import math
import random

from behave import given, then, when

from cowsliprack.coordination.target_pace import (
    ROUND_SECONDS,
    AnswerCounts,
    RegionPaces,
    TargetPace,
    TargetPaces,
)
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.protocol.overload_messages import PaceUse, PaceView

_TARGET = 't1'
_REPORT_SECONDS = 0.4
_MESSAGE_SECONDS = 0.01
_POLL_SECONDS = 0.05


class PaceWorld:
    """Instances that all want to send to one target, without I/O."""

    def __init__(self, instances, slots, run_seconds, seed=1):
        self.rng = random.Random(seed)
        self.slots = slots
        self.run_seconds = run_seconds
        self.paces = [
            TargetPaces(instances, random.Random(self.rng.random()))
            for _ in range(instances)
        ]
        self.leader = RegionPaces()
        self.running = 0
        # Running requests as an instance knows them: as old as its last view.
        self.seen_by = [0] * instances
        self.own_by = [0] * instances
        self.history = []
        self.is_leading = True
        self._numbers = itertools.count()
        self._events = []
        self.now = 0.0

    def play(self, seconds):
        """Let the target come back and play the time."""
        for number, paces in enumerate(self.paces):
            paces.record_start(_TARGET, self.slots, 0.0)
            self._at(self.rng.uniform(0, _REPORT_SECONDS), self._report, number)
            self._at(self.rng.uniform(0, _POLL_SECONDS), self._poll, number)
        while self._events[0][0] <= seconds:
            self.now, _, function, arguments = heapq.heappop(self._events)
            function(*arguments)

    def _at(self, at, function, *arguments):
        event = (at, next(self._numbers), function, arguments)
        heapq.heappush(self._events, event)

    def _poll(self, number):
        self._at(self.now + _POLL_SECONDS, self._poll, number)
        own = self.own_by[number]
        is_free = self.seen_by[number] < self.slots
        if is_free and self.paces[number].may_send(_TARGET, own, self.now):
            self.seen_by[number] += 1
            self.own_by[number] += 1
            self.running += 1
            self.history.append((self.now, self.running))
            self._at(self.now + self.run_seconds, self._end, number)

    def _end(self, number):
        self.running -= 1
        self.seen_by[number] -= 1
        self.own_by[number] -= 1
        self.paces[number].record_answer(
            _TARGET, self.slots, self.now, is_late=False
        )

    def _report(self, number):
        self._at(self.now + _REPORT_SECONDS, self._report, number)
        own = {_TARGET: self.own_by[number]}
        uses = self.paces[number].uses(own, self.now)
        self.leader.apply_report(
            str(number),
            uses,
            {_TARGET: self.slots},
            self.now,
        )
        views = self.leader.views(self.now)
        self._at(self.now + _MESSAGE_SECONDS, self._apply, number, views)

    def _apply(self, number, views):
        if not self.is_leading:
            return
        self.paces[number].apply_views(views, len(self.paces), self.now)
        self.seen_by[number] = self.running


@given('a target with {slots:d} slots that has just started')
def given_started(context, slots):
    context.pace = TargetPace(slots)
    context.pace.recover(0.0)
    context.now = 0.0


@given('a target with {slots:d} slots that is well')
def given_well(context, slots):
    context.pace = TargetPace(slots)
    context.now = 0.0


@when(
    'a round brings {in_time:d} answers in time, {late:d} late, {refused:d} '
    'refused and {broken:d} broken'
)
def when_round(context, in_time, late, refused, broken):
    context.now += ROUND_SECONDS
    counts = AnswerCounts(in_time, late, refused, broken)
    context.pace.observe(counts, 1, context.now)


@when(
    'each round of {seconds:g} s brings {answers:d} answers, of which {late:d} '
    'are late'
)
def when_rounds(context, seconds, answers, late):
    context.rounds = 0
    while math.isfinite(context.pace.places) and context.rounds < 99:
        context.rounds += 1
        context.now += seconds
        counts = AnswerCounts(answers - late, late)
        context.pace.observe(counts, 1, context.now)


@then('it should run {places:g} requests')
def then_places(context, places):
    assert context.pace.places == places, context.pace


@then('it should run all requests')
def then_all(context):
    assert math.isinf(context.pace.places), context.pace


@then('it should run all requests within {rounds:d} rounds')
def then_all_within(context, rounds):
    assert context.rounds <= rounds, context.rounds


@given(
    '{instances:d} instances that know of a target with {slots:d} slots, which '
    'runs a request in {seconds:g} s'
)
def given_pace_world(context, instances, slots, seconds):
    context.world = PaceWorld(instances, slots, seconds)


@when('the target comes back, and all wait to send to it, while {case}')
def when_comes_back(context, case):
    context.world.is_leading = case == 'the leader answers'
    context.world.play(6)


@then('it never runs more than {most:d} requests in its first {seconds:g} s')
def then_not_flooded(context, most, seconds):
    found = max(
        running for at, running in context.world.history if at < seconds
    )
    assert found <= most, found


@then('it runs {least:d} requests or more after {seconds:g} s')
def then_not_idle(context, least, seconds):
    found = max(
        running for at, running in context.world.history if at >= seconds
    )
    assert found >= least, found


@given('an instance that avoids a target after a failure')
def given_avoiding(context):
    context.selector = TargetSelector('z')
    context.selector.record_failure(_TARGET, 0.0)
    assert context.selector.has_failed(_TARGET, 0.1)


@when('the leader says that the target recovers and has just answered')
def when_told_answered(context):
    views = [PaceView(_TARGET, 'recovering', 4, 0.1)]
    for view in context.selector.paces.apply_views(views, 1, 0.1):
        context.selector.record_answered_elsewhere(view.target_id)


@then('the instance does not avoid the target')
def then_not_avoided(context):
    assert not context.selector.has_failed(_TARGET, 0.1)


@given(
    'an instance and an engine with {slots:d} slots that runs {running:d} '
    'requests'
)
def given_engine_running(context, slots, running):
    context.paces = TargetPaces()
    context.slots = slots
    context.running = running


@when('the engine turns a request of it away')
def when_turned_away(context):
    context.paces.record_refusal(_TARGET, context.slots, context.running, 1.0)


@then('the instance reports nothing of the engine')
def then_nothing_reported(context):
    assert not context.paces.uses({}, 1.0)


@given('a leader that knows a target with {slots:d} slots')
def given_pace_leader(context, slots):
    context.leader = RegionPaces()
    context.slots_by_id = {_TARGET: slots}


@when(
    'an instance reports {first:d} answers, {refused:d} refused and then, from '
    'a new process, {second:d} answers, {more:d} refused'
)
def when_process_restarts(context, first, refused, second, more):
    reports = (('p1', first, refused), ('p2', second, more))
    for number, (process, answers, turned_away) in enumerate(reports):
        uses = [PaceUse(_TARGET, answers, 0, turned_away, 0, 0)]
        context.leader.apply_report(
            process, uses, context.slots_by_id, number * 1.0
        )


@then('the leader names no pace')
def then_no_pace(context):
    assert not context.leader.views(2.0), context.leader.views(2.0)
