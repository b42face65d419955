"""Steps for the simulation of the model scheduler under a workload."""

import functools
from dataclasses import replace

from behave import given, then, when

from tools.bench.rotation_replay import WORKLOADS, earned_share, replay

_WORKLOADS_BY_NAME = {workload.name: workload for workload in WORKLOADS}
# Several scenarios check the same replays.
_replay = functools.cache(replay)


@given('the workload "{name}" replayed with {count:d} seeds')
def given_replayed(context, name, count):
    context.workload = _WORKLOADS_BY_NAME[name]
    context.seeds = range(count)
    context.replays = [
        _replay(context.workload, seed) for seed in context.seeds
    ]


@then(
    'at most 1 and a tenth of the lasting models and adapters are never served'
)
def then_served(context):
    plays = len(context.replays)
    lasting = sum(len(play.lasting_names()) for play in context.replays)
    never = sum(len(play.never_served()) for play in context.replays)
    assert never <= plays + lasting / 10, (
        f'{never} of {lasting} never served in {plays} plays'
    )


@when('it is replayed without lead time before the first request')
def when_no_lead_time(context):
    workload = replace(context.workload, lead_seconds=0)
    context.replays_without_lead = [
        _replay(workload, seed) for seed in context.seeds
    ]


@then('a larger share of the value was earned with the lead time')
def then_lead_time_helps(context):
    with_lead = earned_share(context.replays)
    without_lead = earned_share(context.replays_without_lead)
    assert with_lead > without_lead, (with_lead, without_lead)


@then('the served share of every kind is at least a quarter of the mean share')
def then_not_starved(context):
    served_by_kind = {}
    for finished in context.replays:
        for kind, score in finished.scores_by_kind.items():
            served = 1 - score.given_up / score.requests
            served_by_kind.setdefault(kind, []).append(served)
    shares = {
        kind: sum(served) / len(served)
        for kind, served in served_by_kind.items()
    }
    mean_share = sum(shares.values()) / len(shares)
    assert min(shares.values()) >= mean_share / 4, shares


@then('no engine held more than {count:d} models')
def then_models_per_engine(context, count):
    for finished in context.replays:
        assert finished.peak_models <= count, finished.peak_models


@then(
    'at most {most:d} requests wait for a load that then does not begin in its '
    'turn'
)
def then_turns_kept(context, most):
    missed = sum(
        score.missed_turns
        for finished in context.replays
        for score in finished.scores_by_kind.values()
    )
    assert missed <= most, missed


@then(
    'fewer than {late:d} of {rejections:d} rejections come after more than 1 '
    'second'
)
def then_rejected_early(context, late, rejections):
    held = [
        seconds
        for finished in context.replays
        for score in finished.scores_by_kind.values()
        for seconds in score.held_seconds
    ]
    held_long = sum(seconds > 1 for seconds in held)
    assert held_long / len(held) < late / rejections, (held_long, len(held))
