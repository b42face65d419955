"""Benchmark of the current policy against simpler ones on a virtual clock.

``python -m tools.bench.policy`` simulates a compressed idle week and a Friday
afternoon burst for both scenarios with three seeds, and prints the mean and
range of each measure. ``--tiny`` simulates a few seconds with one seed.
"""

import itertools
import statistics
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace

from tools.bench.measure import format_table
from tools.bench.policies import VARIANTS, PolicyVariant
from tools.bench.scores import Score, score_run
from tools.bench.workload import (
    SCENARIOS,
    TINY_DURATIONS,
    Scenario,
    make_arrivals,
    make_configuration,
)
from tools.bench.world import Simulation

SEEDS = (1, 2, 3)
_MAX_WORKERS = 6
_TINY_FLAG = '--tiny'
_HEADER = (
    'policy',
    'cold start p95 s',
    'cold start p99 s',
    'store bound p99 s',
    'idle accelerator h',
    'worst served',
    'wrongful refusals',
)


@dataclass(frozen=True, slots=True)
class Job:
    """One run, as picklable arguments for a worker process.

    :param scenario_index: index in ``SCENARIOS``.
    :param variant_index: index in ``VARIANTS``.
    :param seed: seed of the run.
    :param tiny: whether to simulate a few seconds only.
    """

    scenario_index: int
    variant_index: int
    seed: int
    tiny: bool


def run_job(job: Job) -> Score:
    """Simulate one run and return its measures.

    :param job: the run.
    """
    scenario = SCENARIOS[job.scenario_index]
    if job.tiny:
        scenario = replace(scenario, durations=TINY_DURATIONS)
    return run_variant(scenario, VARIANTS[job.variant_index], job.seed)


def run_variant(scenario: Scenario, variant: PolicyVariant, seed: int) -> Score:
    """Simulate one policy with one seed.

    :param scenario: fleet and load.
    :param variant: the policy.
    :param seed: seed of model sizes, arrivals and routing.
    """
    configuration = make_configuration(scenario, seed)
    simulation = Simulation(scenario, configuration, variant, seed)
    simulation.run(make_arrivals(scenario, configuration, seed))
    return score_run(simulation)


def main(arguments: Sequence[str]) -> None:
    """Simulate all runs and print a table for each scenario.

    :param arguments: command-line arguments.
    """
    tiny = _TINY_FLAG in arguments
    seeds = SEEDS[:1] if tiny else SEEDS
    combinations = itertools.product(
        range(len(SCENARIOS)),
        range(len(VARIANTS)),
        seeds,
    )
    jobs = [Job(*combination, tiny) for combination in combinations]
    with ProcessPoolExecutor(_MAX_WORKERS) as executor:
        scores = dict(zip(jobs, executor.map(run_job, jobs), strict=True))
    for index, scenario in enumerate(SCENARIOS):
        scenario_scores = {
            job: score
            for job, score in scores.items()
            if job.scenario_index == index
        }
        print(_format_report(scenario, scenario_scores))


def _format_report(scenario: Scenario, scores: dict[Job, Score]) -> str:
    rows = []
    for index, variant in enumerate(VARIANTS):
        variant_scores = [
            score for job, score in scores.items() if job.variant_index == index
        ]
        rows.append([variant.name, *_format_measures(variant_scores)])
    first = next(iter(scores.values()))
    seeds = sorted({job.seed for job in scores})
    return (
        f'\n{scenario.name}, seeds {seeds}, about {first.requests} requests,'
        f' {first.cold_starts} of them cold under the policy in force\n\n'
        f'{format_table(_HEADER, rows)}'
    )


def _format_measures(scores: Sequence[Score]) -> list[str]:
    return [
        _format_mean_and_range(scores, lambda score: score.cold_start_p95, 2),
        _format_mean_and_range(scores, lambda score: score.cold_start_p99, 2),
        _format_mean_and_range(scores, lambda score: score.store_bound_p99, 2),
        _format_mean_and_range(
            scores, lambda score: score.idle_accelerator_hours, 2
        ),
        _format_mean_and_range(
            scores, lambda score: score.worst_served_share, 3
        ),
        _format_mean_and_range(
            scores, lambda score: score.wrongful_refusals, 1
        ),
    ]


def _format_mean_and_range(
    scores: Sequence[Score],
    measure: Callable[[Score], float],
    digits: int,
) -> str:
    values = [measure(score) for score in scores]
    mean = round(statistics.mean(values), digits)
    lowest = round(min(values), digits)
    highest = round(max(values), digits)
    return f'{mean} ({lowest} to {highest})'


if __name__ == '__main__':
    main(sys.argv[1:])
