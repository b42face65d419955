"""Steps for poison requests."""

from behave import given, then, when

from cowsliprack.coordination import poison
from cowsliprack.protocol.peer import PoisonNotice, SoundNotice, TrialNotice
from tests.support.poison_world import EARLIER_PARTS, PoisonWorld


@given('a poison tracker')
def given_tracker(context):
    context.tracker = poison.PoisonTracker()
    context.now = 0.0
    context.in_flight_ids = {}
    context.notices = []


@when('the tracker receives the events "{events}"')
def when_events(context, events):
    for event in events.split('; '):
        kind, *words = event.split()
        if kind == 'send':
            digest, target, *parts = words
            context.in_flight_ids[digest] = context.tracker.add_in_flight(
                digest, target, _digests(parts)
            )
        elif kind == 'answer':
            context.tracker.record_answer(
                context.in_flight_ids[words[0]], context.now
            )
        elif kind == 'served':
            context.tracker.on_answered(
                (words[0], *_digests(words[1:])), context.now, context.now
            )
        elif kind == 'try':
            context.tracker.begin_trials(('new', *_digests(words)), context.now)
        elif kind == 'tried':
            notice = TrialNotice(poison.part_digest(words[0]))
            context.tracker.on_trial_notice(notice, context.now)
        elif kind == 'sound':
            notice = SoundNotice(poison.part_digest(words[0]))
            context.tracker.on_sound_notice(notice, context.now)
        elif kind == 'disproved':
            notice = SoundNotice(words[0], (words[1],))
            context.tracker.on_sound_notice(notice, context.now)
        elif kind == 'end':
            context.tracker.remove_in_flight(context.in_flight_ids[words[0]])
        elif kind == 'crash':
            crash = poison.crash_id(*words)
            context.notices += context.tracker.on_crash(
                words[0], crash, context.now
            )
        elif kind == 'notice':
            notice = PoisonNotice(*words, 'e', poison.CRASH_LIFETIME_SECONDS)
            context.tracker.on_notice(notice, context.now)
        else:
            context.now += float(words[0])


def _digests(words):
    """Return the digests of parts that are joined with plus signs."""
    return tuple(
        poison.part_digest(part) for word in words for part in word.split('+')
    )


@then('a new request with the shared parts {parts} is {verdict:w}')
def then_verdict(context, parts, verdict):
    digests = ('new', *_digests([parts]))
    seconds = context.tracker.seconds_refused(digests, context.now)
    assert bool(seconds) == (verdict == 'refused'), seconds


def _state(context, digest):
    if context.tracker.is_refused(digest, context.now):
        return 'refused'
    if context.tracker.is_suspect(digest, context.now):
        return 'suspect'
    return 'clean'


@then('the poison states are "{states}"')
def then_states(context, states):
    for expected in states.split('; '):
        digest, state = expected.split()
        assert _state(context, digest) == state, _state(context, digest)


@then('the targets that run a suspect are "{targets}"')
def then_suspects(context, targets):
    found = context.tracker.suspect_targets(context.now)
    assert found == set(targets.split()), found


@then('another tracker refuses "{digest}" after the relayed notices')
def then_relayed(context, digest):
    other_tracker = poison.PoisonTracker()
    were_new = [
        other_tracker.on_notice(notice, 0) for notice in context.notices * 2
    ]
    assert were_new == [True, True, False, False], were_new
    assert other_tracker.is_refused(digest, 0)


@then(
    'a tracker that starts later refuses "{digest}" after all current notices'
)
def then_late(context, digest):
    other_tracker = poison.PoisonTracker()
    for notice in context.tracker.notices(context.now):
        other_tracker.on_notice(notice, 0)
    assert other_tracker.is_refused(digest, 0)


@then(
    'the request digests of "{first}" with "{one}" and "{second}" with '
    '"{two}" differ'
)
def then_digests(context, first, one, second, two):
    digests = {
        poison.request_digest(first, one.encode()),
        poison.request_digest(second, two.encode()),
    }
    assert len(digests) == 2


@when('notices about {count:d} different requests arrive')
def when_many(context, count):
    for number in range(count):
        notice = PoisonNotice(str(number), 'e1/b1', 'e1', 600)
        context.tracker.on_notice(notice, 0)


@then('it stores {count:d} crashes')
def then_count(context, count):
    assert len(context.tracker.notices(0)) == count


@given(
    '{instances:d} instances before {engines:d} engines that get {rate:d} '
    'requests a second'
)
def given_world(context, instances, engines, rate):
    seed = int(context.active_outline['seed'])
    context.world = PoisonWorld(instances, engines, rate, seed)


@when(
    '{rate:d} requests a second hold {where} that crashes engines for '
    '{seconds:d} seconds'
)
def when_played(context, rate, where, seconds):
    context.now = seconds
    context.world.play(rate, where == 'an earlier part', seconds)


@when(
    '{rate:d} requests a second hold {where} that crashes engines from second '
    '{begins_at:d} to {ends_at:d}'
)
def when_played_later(context, rate, where, begins_at, ends_at):
    context.now = ends_at
    context.world.crashes_from = begins_at
    context.world.play(rate, where == 'an earlier part', ends_at)


@then(
    'at most {count:d} requests with it are sent later than {seconds:g} '
    'seconds after the fifth crash'
)
def then_late_sends(context, count, seconds):
    assert context.world.crashed_at
    late = context.world.late_poison_sends(seconds)
    assert late <= count, (late, context.world.crashed_at)


@then('sound requests with each earlier part begin at least half as often')
def then_earlier_parts(context):
    world = context.world
    for part in EARLIER_PARTS:
        share = world.begun[part] / world.asked[part]
        assert share >= 0.5, (part, share)


@then('at most {count:d} + {share:d} in 100 of the parts are never served')
def then_starved(context, count, share):
    starved = context.world.starved_parts()
    limit = count + share / 100 * len(context.world.asked)
    assert len(starved) <= limit, starved
