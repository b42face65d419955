"""Steps for the replay of the load of the rotation."""

import functools
from dataclasses import replace

from behave import given, then, when

from tools.bench.rotation_replay import LOADS, earned_share, replay

_LOADS_BY_NAME = {load.name: load for load in LOADS}
# Several scenarios look at the same plays.
_replay = functools.cache(replay)


@given('the load "{name}" replayed with {count:d} seeds')
def given_replayed(context, name, count):
    context.load = _LOADS_BY_NAME[name]
    context.seeds = range(count)
    context.played = [_replay(context.load, seed) for seed in context.seeds]


@when('it is replayed without time before the first request')
def when_without(context):
    load = replace(context.load, lead=0)
    context.without = [_replay(load, seed) for seed in context.seeds]


@then('more of the worth was earned with that time')
def then_more(context):
    earned = earned_share(context.played)
    without = earned_share(context.without)
    assert earned > without, (earned, without)


@then('every kind is served at least a quarter as often as all')
def then_not_starved(context):
    served_by_kind = {}
    for played in context.played:
        for kind, score in played.scores_by_kind.items():
            served = 1 - score.given_up / score.requests
            served_by_kind.setdefault(kind, []).append(served)
    shares = {
        kind: sum(served) / len(served)
        for kind, served in served_by_kind.items()
    }
    overall = sum(shares.values()) / len(shares)
    assert min(shares.values()) >= overall / 4, shares


@then('no engine held more than {count:d} models')
def then_memory(context, count):
    for played in context.played:
        assert played.most_held <= count, played.most_held
