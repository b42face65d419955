"""Steps for the pace of the views that a leader sends."""

from collections import Counter

from behave import given, then, when

from cowsliprack.coordination.region_state import Member
from cowsliprack.protocol.gateway_messages import MemberReport
from cowsliprack.transport.view_pacing import ViewPacing

_STEP_SECONDS = 0.05
_REPORT_STEPS = 8
# Steps until a member's report acknowledges its first view.
_ACKNOWLEDGED_STEPS = 2
_FIRST_BYTES = 12_000
_LATER_BYTES = 300


class _Leader:
    """A leader whose views are counted on a virtual clock."""

    def __init__(self, link):
        self.link = link
        self.step = 0
        self.acknowledges = True
        self.members = []
        self.sent = []
        self.first_steps = {}
        self.pacing = ViewPacing(
            link, lambda: sum(size for _, _, size in self.sent), self.tell
        )

    @property
    def now(self):
        return self.step * _STEP_SECONDS

    def join(self, count):
        self.members = [
            Member(MemberReport(f'i{n}', '', 'z', 'b', 1, 1.0, 0, 0), 0)
            for n in range(count)
        ]

    def report(self):
        for member in self.members:
            member.stamp = self.now + 1

    def tell(self, member):
        name = member.report.instance_id
        first = self.first_steps.setdefault(name, self.step)
        is_known = self.step - first >= _ACKNOWLEDGED_STEPS
        is_small = is_known and self.acknowledges
        size = _LATER_BYTES if is_small else _FIRST_BYTES
        self.sent.append((self.now, name, size))
        member.stamp = 0

    def run(self, seconds, *, changes):
        for step in range(round(seconds / _STEP_SECONDS)):
            if step % _REPORT_STEPS == 0:
                self.report()
            self.pacing.send(self.members, self.now, to_all=changes)
            self.step += 1


@given(
    'a leader with a link of {link:g} Mbit a second whose first views take 12 '
    'KB each'
)
def given_leader(context, link):
    context.leader = _Leader(link)


@when(
    '{count:d} members report every 0.4 seconds, and engines change every 0.05 '
    'seconds, for {seconds:g} seconds'
)
def when_changes(context, count, seconds):
    context.leader.join(count)
    context.leader.run(seconds, changes=True)


@when(
    '{count:d} members that acknowledge nothing report every 0.4 seconds, for '
    '{seconds:g} seconds'
)
def when_unacknowledged(context, count, seconds):
    context.leader.acknowledges = False
    context.leader.join(count)
    context.leader.run(seconds, changes=False)


@when('{count:d} members report once, and the leader plans {plans:d} times')
def when_once(context, count, plans):
    leader = context.leader
    leader.join(count)
    leader.report()
    for _ in range(plans):
        leader.pacing.send(leader.members, leader.now, to_all=False)
        leader.step += 1


@when('{count:d} members report once, and the leader stops')
def when_stops(context, count):
    leader = context.leader
    leader.join(count)
    leader.report()
    leader.pacing.send_last(leader.members, leader.now)


@then('all members have a view')
def then_all(context):
    leader = context.leader
    assert len(leader.first_steps) == len(leader.members), leader.first_steps


@then('in no {seconds:g} seconds views took more than half of the link')
def then_paced(context, seconds):
    most = context.leader.link * 1e6 / 8 * seconds / 2
    sent = context.leader.sent
    for begin in sorted({at for at, _, _ in sent}):
        total = sum(
            size for at, _, size in sent if begin <= at < begin + seconds
        )
        assert total <= most, (begin, total, most)


def _counts(leader):
    counts = Counter(name for _, name, _ in leader.sent)
    return [counts[member.report.instance_id] for member in leader.members]


@then('no member was told twice more often than another')
def then_even(context):
    counts = _counts(context.leader)
    assert max(counts) - min(counts) < 2, counts


@then('each of them was told once')
def then_once(context):
    counts = _counts(context.leader)
    assert set(counts) == {1}, counts
