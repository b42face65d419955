"""Steps for the exchange of poison notices between a leader and members."""

from behave import given, then, when
from msgspec.structs import replace

from cowsliprack.coordination.notice_exchange import (
    LeaderNotices,
    MemberNotices,
    NoticeLink,
    NoticeLog,
)
from cowsliprack.protocol.peer import PoisonNotice, PoisonNotices

_STEP_SECONDS = 0.02
_MEMBERS = ('m1', 'm2', 'm3')


def _notice(number):
    return PoisonNotice(f'd{number}', 'e1/b1', 'e1', 600)


class _Region:
    """Delivers messages between a leader and members, except lost ones."""

    def __init__(self):
        self.now = 0.0
        self.lose = lambda _receiver, _message: False
        self.sent_by_receiver = {}
        self.notices_by_id = {name: {} for name in _MEMBERS}
        self.members_by_id = {}
        self.lead(1)
        for name in _MEMBERS:
            self.start(name, 'b1')

    def lead(self, fencing):
        self.leader = LeaderNotices('leader', fencing)
        self.leader_notices = {}

    def start(self, name, boot):
        self.notices_by_id[name] = {}
        self.members_by_id[name] = MemberNotices(name, boot)
        self.members_by_id[name].follow(self.leader.fencing, [])

    def follow_new_leader(self):
        for name, member in self.members_by_id.items():
            known = list(self.notices_by_id[name].values())
            member.follow(self.leader.fencing, known)

    def count(self, name, notice):
        self.notices_by_id[name][notice.digest] = notice
        self.members_by_id[name].add(notice)

    def run(self, seconds):
        for _ in range(round(seconds / _STEP_SECONDS)):
            for name, member in self.members_by_id.items():
                self._exchange(name, member)
            self.now += _STEP_SECONDS

    def _exchange(self, name, member):
        message = member.outgoing(self.now)
        if message is not None and self._arrives('leader', message):
            for notice in self.leader.accept(message):
                if notice.digest not in self.leader_notices:
                    self.leader_notices[notice.digest] = notice
                    self.leader.add(notice)
        message = self.leader.outgoing(name, member.boot, self.now)
        if message is not None and self._arrives(name, message):
            for notice in member.accept(message):
                self.notices_by_id[name][notice.digest] = notice

    def _arrives(self, receiver, message):
        self.sent_by_receiver.setdefault(receiver, []).append(message)
        return not self.lose(receiver, message)


def _lose_first(receiver, *, is_acknowledgement=False):
    """Return a filter that loses the first message to a receiver."""
    lost = []

    def lose(to, message):
        if to != receiver or lost:
            return False
        if is_acknowledgement:
            if message.instance_id != 'm2' or not message.received:
                return False
        elif not message.notices:
            return False
        lost.append(message)
        return True

    return lose


_FILTERS = {
    'the first message to the leader is lost': lambda: _lose_first('leader'),
    'the first message to m2 is lost': lambda: _lose_first('m2'),
    'the acknowledgement of m2 is lost': lambda: _lose_first(
        'leader', is_acknowledgement=True
    ),
}


@given('a leader with 3 members that exchange notices')
def given_region(context):
    context.region = _Region()


@when('m1 counts {count:d} crashes of which {fault}')
def when_counted(context, count, fault):
    region = context.region
    if fault in _FILTERS:
        region.lose = _FILTERS[fault]()
    for number in range(count):
        region.count('m1', _notice(number))
    if fault == 'm2 restarts after them':
        region.run(0.1)
        region.start('m2', 'b2')
    if fault == 'another leader takes over before it had them':
        region.lose = lambda receiver, _message: receiver == 'leader'
        region.run(0.1)
        region.lose = lambda _receiver, _message: False
        region.lead(2)
        region.follow_new_leader()


@when('m1 counts 3 crashes while nothing reaches m2 for {seconds:g} seconds')
def when_unreachable(context, seconds):
    region = context.region
    region.lose = lambda receiver, _message: receiver == 'm2'
    for number in range(3):
        region.count('m1', _notice(number))
    region.run(seconds)


@when('a message of an older term and one for an older process reach m2')
def when_foreign(context):
    member = context.region.members_by_id['m2']
    message = PoisonNotices('leader', 'b1', 1, notices=(_notice(1),))
    context.accepted = (
        *member.accept(replace(message, fencing=0)),
        *member.accept(replace(message, boot='b0')),
    )


@then('all members have the same {count:d} notices within {seconds:g} seconds')
def then_all(context, count, seconds):
    region = context.region
    region.run(seconds)
    wanted = {f'd{number}' for number in range(count)}
    for name in _MEMBERS:
        assert set(region.notices_by_id[name]) == wanted, name


@then('m2 was sent each notice at most {times:d} times')
def then_times(context, times):
    for number in range(3):
        sent = [
            message
            for message in context.region.sent_by_receiver['m2']
            if _notice(number) in message.notices
        ]
        assert 1 <= len(sent) <= times, len(sent)


@then('no message had more than {count:d} notices')
def then_sizes(context, count):
    for messages in context.region.sent_by_receiver.values():
        assert max(len(message.notices) for message in messages) <= count


@then('m2 has no notice')
def then_none(context):
    assert context.accepted == ()


@given('a log to which {count:d} notices were added')
def given_log(context, count):
    context.log = NoticeLog()
    for number in range(count):
        context.log.add(_notice(number))


@then('it keeps {count:d} notices')
def then_kept(context, count):
    assert context.log.end - context.log.oldest == count


@then('a side that has received {count:d} of them gets the oldest kept ones')
def then_oldest(context, count):
    sender = NoticeLink(acknowledged=count)
    receiver = NoticeLink(received=count)
    message = sender.outgoing(context.log, PoisonNotices('i', 'b', 1), 0.0)
    accepted = receiver.accept(message)
    assert accepted[0] == _notice(context.log.oldest), accepted[0]
    assert receiver.received == context.log.oldest + len(accepted)
