"""Checks that involve several answers of a questionnaire."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import TYPE_CHECKING

from cowsliprack.state.configuration import TargetKind

if TYPE_CHECKING:
    from cowsliprack.protocol.questionnaire import (
        Questionnaire,
        TargetAnswers,
    )


def find_problems(questionnaire: Questionnaire) -> list[str]:
    """Return one line for each problem, with the path of its question.

    :param questionnaire: answers that are valid individually.
    """
    return [
        *_check_zones(questionnaire),
        *_check_names(questionnaire),
        *_check_keys(questionnaire),
        *_check_organisations(questionnaire),
        *_check_models(questionnaire),
        *_check_adapters(questionnaire),
        *_check_services(questionnaire),
    ]


def _check_zones(questionnaire: Questionnaire) -> Iterator[str]:
    counts = Counter(questionnaire.zones)
    for zone, count in counts.items():
        if count > 1:
            yield f'zones: "{zone}" is listed {count} times'
    names_by_url: dict[str, str] = {}
    for name, target in questionnaire.targets.items():
        if target.zone not in counts:
            yield f'targets.{name}.zone: "{target.zone}" is not in zones'
        other = names_by_url.setdefault(target.url, name)
        if other != name:
            yield f'targets.{name}.url: also the url of targets.{other}'


def _check_names(questionnaire: Questionnaire) -> Iterator[str]:
    for name in questionnaire.adapters:
        if name in questionnaire.models:
            yield f'adapters.{name}: models has the same name'


def _check_keys(questionnaire: Questionnaire) -> Iterator[str]:
    owners_by_digest: dict[str, str] = {}
    for name, answers in questionnaire.organisations.items():
        for caller, key in answers.callers.items():
            owner = f'organisations.{name}.callers.{caller}'
            for digest in key.key_digests:
                other = owners_by_digest.setdefault(digest, owner)
                if other != owner:
                    yield f'{owner}.key_digests: also a key of {other}'


def _check_organisations(questionnaire: Questionnaire) -> Iterator[str]:
    known = set(questionnaire.organisations)
    sections = {
        'models': questionnaire.models,
        'adapters': questionnaire.adapters,
        'services': questionnaire.services,
    }
    for section, entries in sections.items():
        for name, answers in entries.items():
            for unknown in sorted(set(answers.organisations) - known):
                question = f'{section}.{name}.organisations'
                yield f'{question}: "{unknown}" is not in organisations'


def _check_models(questionnaire: Questionnaire) -> Iterator[str]:
    pools = _targets_by_pool(questionnaire, TargetKind.engine)
    for name, answers in questionnaire.models.items():
        engines = pools.get(answers.pool, [])
        if not engines:
            yield f'models.{name}.pool: "{answers.pool}" has no engine'
            continue
        question = f'models.{name}'
        yield from _check_capacity(
            question,
            answers.memory,
            answers.replicas,
            engines,
        )


def _check_adapters(questionnaire: Questionnaire) -> Iterator[str]:
    pools = _targets_by_pool(questionnaire, TargetKind.engine)
    for name, answers in questionnaire.adapters.items():
        question = f'adapters.{name}'
        base = questionnaire.models.get(answers.base)
        if base is None:
            yield f'{question}.base: "{answers.base}" is not in models'
            continue
        yield from _check_capacity(
            question,
            base.memory + answers.memory,
            answers.replicas,
            pools.get(base.pool, []),
        )
        excluded = set(answers.organisations) - set(base.organisations)
        if base.organisations and excluded:
            names = ', '.join(sorted(excluded))
            yield f'{question}.organisations: {names} may not use the base'


def _check_capacity(
    question: str,
    memory: int,
    replicas: int,
    engines: list[TargetAnswers],
) -> Iterator[str]:
    if not engines:
        return
    suitable = [engine for engine in engines if engine.memory >= memory]
    if not suitable:
        largest = max(engine.memory for engine in engines)
        yield (
            f'{question}.memory: needs {memory} MB with its base, the largest '
            f'engine of the pool has {largest} MB'
        )
        return
    # An engine has at most one replica of a deployment.
    if replicas > len(suitable):
        yield (
            f'{question}.replicas: {replicas} replicas, but it fits on '
            f'{len(suitable)} engines of the pool'
        )


def _check_services(questionnaire: Questionnaire) -> Iterator[str]:
    pools = _targets_by_pool(questionnaire, TargetKind.service)
    for name, answers in questionnaire.services.items():
        if answers.pool not in pools:
            yield f'services.{name}.pool: "{answers.pool}" has no service'
        if answers.open_to_all and answers.organisations:
            yield f'services.{name}.open_to_all: organisations are listed too'


def _targets_by_pool(
    questionnaire: Questionnaire,
    kind: TargetKind,
) -> dict[str, list[TargetAnswers]]:
    targets_by_pool = defaultdict(list)
    for target in questionnaire.targets.values():
        if target.kind is kind:
            targets_by_pool[target.pool].append(target)
    return dict(targets_by_pool)
