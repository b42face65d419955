"""Writes the two sample questionnaires at the sizes in the design document.

Names, addresses and keys are fictitious. When the questions change, run
``python -m tools.sample_questionnaires`` again.
"""

import itertools
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import yaml

from cowsliprack.state.configuration import key_digest

_OUTPUT_DIRECTORY = Path('examples')
# Models and adapters use the sizes of these tuples in turn, small and large.
_ENGINE_MEMORY_MB = 160_000
_MODEL_MEMORY_MB = (18_000, 24_000, 30_000, 48_000, 70_000)
_ADAPTER_MEMORY_MB = (120, 180, 260)
_MODEL_LOAD_SECONDS = (9, 12, 15, 24, 35)


@dataclass(frozen=True, slots=True)
class Sample:
    """Parameters from which a sample questionnaire is generated.

    :param name: name of the file without its suffix.
    :param zones: names of the availability zones.
    :param limits_by_organisation: rate and burst in tokens.
    :param engines_by_pool: number of engines in each pool.
    :param topics_by_pool: first parts of model names.
    :param variants: second parts of model names.
    :param model_count: number of models.
    :param adapter_count: number of adapters.
    :param weight_store: answers about the weight store.
    :param policy: answers about the policy.
    :param services: answers about each service by name.
    :param network: first two parts of the IPv4 addresses of targets.
    """

    name: str
    zones: Sequence[str]
    limits_by_organisation: Mapping[str, tuple[int, int]]
    engines_by_pool: Mapping[str, int]
    topics_by_pool: Mapping[str, Sequence[str]]
    variants: Sequence[str]
    model_count: int
    adapter_count: int
    weight_store: Mapping[str, int]
    policy: Mapping[str, float]
    services: Mapping[str, Any]
    network: str


SERVICE_DESK = Sample(
    name='service_desk',
    zones=('nl-west-a', 'nl-west-b', 'nl-west-c'),
    limits_by_organisation={
        'lift-works': (9000, 40_000),
        'rail-parts': (6000, 30_000),
        'pump-house': (1200, 8000),
        'harbour-cranes': (600, 4000),
        'museum-clocks': (150, 2000),
    },
    engines_by_pool={'assistant': 6, 'ordering': 3},
    topics_by_pool={
        'assistant': ('fault', 'manual', 'maintenance', 'safety', 'dispatch'),
        'ordering': ('spares', 'quote'),
    },
    variants=('answers', 'search', 'summary', 'triage', 'plans', 'letters'),
    model_count=40,
    adapter_count=75,
    weight_store={'loads_per_second': 3, 'loads_at_once': 4},
    policy={'cold_start_weight': 5, 'refusal_weight': 5},
    services={
        'part-orders': {'pool': 'orders', 'repeatable': ['GET', 'HEAD']},
        'opening-hours': {'pool': 'orders', 'open_to_all': True},
    },
    network='10.10',
)
WEBSHOP = Sample(
    name='webshop',
    zones=('pl-south-a', 'pl-south-b', 'pl-south-c', 'pl-south-d'),
    limits_by_organisation={
        'garden-kits': (8000, 40_000),
        'lamp-studio': (7000, 35_000),
        'bike-corner': (1500, 8000),
        'paper-boats': (500, 3000),
        'tea-tins': (200, 2000),
    },
    engines_by_pool={'kit': 9, 'webshop': 4},
    topics_by_pool={
        'kit': ('assembly', 'colour', 'fitting', 'layout', 'parts'),
        'webshop': ('basket', 'returns'),
    },
    variants=('advice', 'captions', 'search', 'quotes', 'reviews'),
    model_count=35,
    adapter_count=115,
    weight_store={'loads_per_second': 6, 'loads_at_once': 4},
    policy={'idle_weight': 5, 'fairness_weight': 5},
    services={
        'orders': {'pool': 'shop', 'repeatable': ['GET', 'HEAD']},
        'catalogue': {'pool': 'shop', 'open_to_all': True},
    },
    network='10.20',
)


def build_answers(sample: Sample) -> dict[str, Any]:
    """Generate the answers of a sample questionnaire.

    :param sample: parameters of the questionnaire.
    """
    models = dict(_generate_models(sample))
    return {
        'zones': list(sample.zones),
        'organisations': dict(_generate_organisations(sample)),
        'weight_store': {**sample.weight_store, 'adapter_loads_at_once': 32},
        'policy': dict(sample.policy),
        'targets': dict(_generate_targets(sample)),
        'services': dict(sample.services),
        'models': models,
        'adapters': dict(_generate_adapters(sample, list(models))),
    }


def write_sample(sample: Sample, directory: Path = _OUTPUT_DIRECTORY) -> Path:
    """Write a sample questionnaire and return its path.

    :param sample: parameters of the questionnaire.
    :param directory: existing directory for the file.
    """
    path = directory / f'{sample.name}.yaml'
    lines = ['# Sample questionnaire; see tools/sample_questionnaires.py.']
    for section, answers in build_answers(sample).items():
        lines.append('')
        lines.extend(_render_section(section, answers))
    lines.append('')
    path.write_text('\n'.join(lines))
    return path


def _render_section(section: str, answers: Any) -> Iterator[str]:
    if not isinstance(answers, dict):
        yield f'{section}: {_render_flow_yaml(answers)}'
        return
    yield f'{section}:'
    for name, entry in answers.items():
        yield f'  {name}: {_render_flow_yaml(entry)}'


def _render_flow_yaml(answers: Any) -> str:
    flow = yaml.safe_dump(
        answers,
        default_flow_style=True,
        sort_keys=False,
        width=10_000,
    )
    return flow.removesuffix('\n').removesuffix('\n...')


def _generate_organisations(sample: Sample) -> Iterator[tuple[str, Any]]:
    for name, (rate, burst) in sample.limits_by_organisation.items():
        digest = key_digest(f'sample-key-of-{name}')
        yield (
            name,
            {
                'rate': rate,
                'burst': burst,
                'callers': {'main': {'key_digests': [digest]}},
            },
        )


def _generate_targets(sample: Sample) -> Iterator[tuple[str, Any]]:
    host_numbers = itertools.count(1)
    zones = itertools.cycle(sample.zones)
    for pool, count in sample.engines_by_pool.items():
        for number in range(1, count + 1):
            answers = {
                'kind': 'engine',
                'zone': next(zones),
                'url': f'http://{sample.network}.0.{next(host_numbers)}:8000',
                'pool': pool,
                'memory': _ENGINE_MEMORY_MB,
                'slots': 16,
            }
            # One engine in each pool has a release that ignores fencing tokens.
            if number == count:
                answers['checks_fencing'] = False
            yield f'{pool}-{number}', answers
    pools = sorted({answers['pool'] for answers in sample.services.values()})
    for service_pool in pools:
        yield (
            f'{service_pool}-1',
            {
                'kind': 'service',
                'zone': next(zones),
                'url': f'http://{sample.network}.0.{next(host_numbers)}:8000',
                'pool': service_pool,
            },
        )


def _generate_models(sample: Sample) -> Iterator[tuple[str, Any]]:
    pools_and_names: list[tuple[str, str]] = []
    for topic_pool, topics in sample.topics_by_pool.items():
        pairs = itertools.product(topics, sample.variants)
        pools_and_names.extend((topic_pool, '-'.join(pair)) for pair in pairs)
    organisations = list(sample.limits_by_organisation)
    for number in range(sample.model_count):
        pool, name = pools_and_names[number % len(pools_and_names)]
        answers: dict[str, Any] = {
            'version': str(1 + number % 3),
            'pool': pool,
            'memory': _MODEL_MEMORY_MB[number % len(_MODEL_MEMORY_MB)],
            'replicas': 2 if number % 7 == 0 else 1,
            'load_seconds': _MODEL_LOAD_SECONDS[
                number % len(_MODEL_LOAD_SECONDS)
            ],
        }
        if number % 4 == 3:
            owner = organisations[number % len(organisations)]
            answers['organisations'] = [owner]
        yield name, answers


def _generate_adapters(
    sample: Sample, models: list[str]
) -> Iterator[tuple[str, Any]]:
    languages = ('nl', 'de', 'fr', 'pl', 'en')
    for number in range(sample.adapter_count):
        base = models[number % len(models)]
        language = languages[number // len(models) % len(languages)]
        yield (
            f'{base}-{language}',
            {
                'base': base,
                'version': str(1 + number % 2),
                'memory': _ADAPTER_MEMORY_MB[number % len(_ADAPTER_MEMORY_MB)],
            },
        )


if __name__ == '__main__':
    for sample_to_write in (SERVICE_DESK, WEBSHOP):
        write_sample(sample_to_write)
