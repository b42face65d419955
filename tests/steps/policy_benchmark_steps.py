"""Steps that run the policy benchmark."""

import subprocess
import sys

from behave import then, when

from tools.bench.policies import VARIANTS
from tools.bench.workload import SCENARIOS

_RUN_TIMEOUT_SECONDS = 300


@when('the policy benchmark runs with the tiny load')
def when_benchmark_runs(context):
    context.benchmark = subprocess.run(
        [sys.executable, '-m', 'tools.bench.policy', '--tiny'],
        capture_output=True,
        text=True,
        timeout=_RUN_TIMEOUT_SECONDS,
        check=False,
    )


@then('it prints a row for every policy in both scenarios')
def then_rows_are_printed(context):
    assert context.benchmark.returncode == 0, context.benchmark.stderr
    printed = context.benchmark.stdout
    for scenario in SCENARIOS:
        assert scenario.name in printed, printed
    for variant in VARIANTS:
        row_count = printed.count(f'| {variant.name} |')
        assert row_count == len(SCENARIOS), (variant.name, printed)
