"""The operators' questionnaire and the configuration generated from it.

The questionnaire is a YAML mapping. A question is identified by its path, such
as ``organisations.acme.rate``, and each problem states the path of its
question.
"""

from collections.abc import Hashable, Iterable
from typing import Annotated, Any

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from cowsliprack.exceptions import ConfigurationError
from cowsliprack.protocol import questionnaire_checks
from cowsliprack.state.configuration import (
    Checkpoint,
    Configuration,
    Deployment,
    OnIsolation,
    Organisation,
    Policy,
    Service,
    Target,
    TargetKind,
)

Name = Annotated[
    str,
    Field(pattern='^[A-Za-z0-9][A-Za-z0-9._:-]*$', max_length=128),
]
Route = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9-]*$', max_length=64)]
# SHA-256 in hexadecimal, as printed by ``cowsliprack digest``.
KeyDigest = Annotated[str, Field(pattern='^[0-9a-f]{64}$')]
HttpMethod = Annotated[str, Field(pattern='^[A-Z]+$', max_length=16)]
PositiveFloat = Annotated[float, Field(gt=0, allow_inf_nan=False)]
NonNegativeFloat = Annotated[float, Field(ge=0, allow_inf_nan=False)]
PositiveInt = Annotated[int, Field(ge=1)]


class _Answers(BaseModel):
    """Base class of all sections; unknown questions are rejected."""

    model_config = ConfigDict(
        extra='forbid',
        frozen=True,
        # Converts integer defaults to floats, as given answers are. Otherwise
        # answering with the default would change the digest of a shard.
        validate_default=True,
    )


class CallerAnswers(_Answers):
    """Key digests of a caller; there are two during a key rotation."""

    key_digests: tuple[KeyDigest, ...] = Field(min_length=1)


class OrganisationAnswers(_Answers):
    """Token limits of a customer and the keys of its callers."""

    rate: PositiveFloat
    burst: PositiveFloat
    callers: dict[Name, CallerAnswers] = {}
    on_isolation: OnIsolation = OnIsolation.serve
    isolation_limit: NonNegativeFloat = 300


class TargetAnswers(_Answers):
    """A model engine or plain service and its location."""

    kind: TargetKind
    zone: Name
    url: Annotated[str, Field(pattern='^https?://[^/?#@]+$')]
    pool: Name
    memory: Annotated[int, Field(ge=0)] = 0
    slots: PositiveInt = 8
    checks_fencing: bool = True
    accelerators: Annotated[int, Field(ge=0)] = 1
    resumes_streams: bool = True


class AdapterAnswers(_Answers):
    """An adapter; missing answers are inherited from its base model."""

    base: Name
    version: Annotated[str, Field(min_length=1)]
    replicas: PositiveInt = 1
    memory: PositiveInt
    organisations: tuple[Name, ...] = ()
    checkpoint: Checkpoint | None = None
    load_seconds: PositiveFloat | None = None
    idle_seconds: PositiveFloat | None = None
    priority: int | None = None


class ModelAnswers(_Answers):
    """A version of a model; ``model`` defaults to the name of the entry."""

    model: Name | None = None
    version: Annotated[str, Field(min_length=1)]
    pool: Name
    memory: PositiveInt
    replicas: PositiveInt = 1
    organisations: tuple[Name, ...] = ()
    checkpoint: Checkpoint = Checkpoint.remote
    load_seconds: PositiveFloat = 20
    idle_seconds: PositiveFloat = 300
    priority: int = 0


class ServiceAnswers(_Answers):
    """A route to plain services; ``repeatable`` methods may be retried."""

    pool: Name
    organisations: tuple[Name, ...] = ()
    open_to_all: bool = False
    repeatable: tuple[HttpMethod, ...] = ('GET', 'HEAD')
    tokens: PositiveInt = 1


class WeightStoreAnswers(_Answers):
    """Limits of loads from the weight store, for the whole fleet."""

    loads_per_second: PositiveFloat = 3
    loads_at_once: PositiveInt = 4
    adapter_loads_at_once: PositiveInt = 32


class PolicyAnswers(_Answers):
    """Weights of the costs in decisions; see the design page."""

    cold_start_weight: NonNegativeFloat = 1
    refusal_weight: NonNegativeFloat = 1
    idle_weight: NonNegativeFloat = 1
    fairness_weight: NonNegativeFloat = 1
    zone_distance: NonNegativeFloat = 0.001


class Questionnaire(_Answers):
    """Answers to all questions."""

    zones: tuple[Name, ...] = Field(min_length=1)
    organisations: dict[Name, OrganisationAnswers] = {}
    targets: dict[Name, TargetAnswers] = {}
    models: dict[Name, ModelAnswers] = {}
    adapters: dict[Name, AdapterAnswers] = {}
    services: dict[Route, ServiceAnswers] = {}
    weight_store: WeightStoreAnswers = WeightStoreAnswers()
    policy: PolicyAnswers = PolicyAnswers()


def load_questionnaire(text: str) -> Questionnaire:
    """Parse and validate a questionnaire.

    :param text: YAML.
    :raises ConfigurationError: with one line for each problem, which states
        the path of its question.
    """
    answers = _parse_yaml(text)
    try:
        questionnaire = Questionnaire.model_validate(answers)
    except ValidationError as error:
        raise ConfigurationError(_format_errors(error)) from None
    problems = questionnaire_checks.find_problems(questionnaire)
    if problems:
        raise ConfigurationError(problems)
    return questionnaire


def generate_configuration(
    questionnaire: Questionnaire,
    generation: int,
) -> Configuration:
    """Generate the configuration from a questionnaire.

    :param questionnaire: validated answers.
    :param generation: generation of the configuration.
    """
    policy = questionnaire.policy.model_dump()
    return Configuration(
        generation=generation,
        zones=questionnaire.zones,
        organisations_by_id=_generate_organisations(questionnaire),
        organisation_id_by_key_digest=dict(_iterate_keys(questionnaire)),
        deployments_by_name=_generate_deployments(questionnaire),
        services_by_route={
            name: _generate_service(name, answers)
            for name, answers in questionnaire.services.items()
        },
        targets_by_id={
            name: Target(target_id=name, **answers.model_dump())
            for name, answers in questionnaire.targets.items()
        },
        policy=Policy(**policy, **questionnaire.weight_store.model_dump()),
    )


class _UniqueKeyLoader(yaml.SafeLoader):
    """YAML loader that rejects duplicate keys in a mapping."""

    def construct_mapping(
        self,
        node: yaml.MappingNode,
        deep: bool = False,
    ) -> dict[Hashable, Any]:
        """Return the mapping of a node.

        :raises ConstructorError: a key is duplicated.
        """
        seen = set()
        for key_node, _ in node.value:
            if key_node.value in seen:
                raise yaml.constructor.ConstructorError(
                    problem=f'"{key_node.value}" is answered twice',
                    problem_mark=key_node.start_mark,
                )
            seen.add(key_node.value)
        return super().construct_mapping(node, deep)


def _parse_yaml(text: str) -> object:
    try:
        return yaml.load(text, Loader=_UniqueKeyLoader)  # noqa: S506
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark
        line = f'line {mark.line + 1}' if mark else 'questionnaire'
        raise ConfigurationError([f'{line}: {error.problem}']) from None
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise ConfigurationError([f'questionnaire: {error}']) from None


def _format_errors(error: ValidationError) -> list[str]:
    problems = []
    for entry in error.errors(include_input=False, include_url=False):
        parts = [str(part) for part in entry['loc'] if part != '[key]']
        question = '.'.join(parts) or 'questionnaire'
        problems.append(f'{question}: {entry["msg"]}')
    return problems


def _generate_organisations(
    questionnaire: Questionnaire,
) -> dict[str, Organisation]:
    return {
        name: Organisation(
            organisation_id=name,
            **answers.model_dump(exclude={'callers'}),
        )
        for name, answers in questionnaire.organisations.items()
    }


def _iterate_keys(questionnaire: Questionnaire) -> Iterable[tuple[str, str]]:
    for name, answers in questionnaire.organisations.items():
        for caller in answers.callers.values():
            for digest in caller.key_digests:
                yield digest, name


def _generate_deployments(
    questionnaire: Questionnaire,
) -> dict[str, Deployment]:
    models = questionnaire.models
    deployments = {
        name: _generate_model_deployment(name, model)
        for name, model in models.items()
    }
    for adapter, answers in questionnaire.adapters.items():
        base = models[answers.base]
        deployments[adapter] = _generate_adapter_deployment(
            adapter, answers, base
        )
    return deployments


def _generate_model_deployment(name: str, answers: ModelAnswers) -> Deployment:
    fields = answers.model_dump(exclude={'model', 'organisations'})
    return Deployment(
        name=name,
        model=answers.model or name,
        organisations=frozenset(answers.organisations),
        **fields,
    )


def _generate_adapter_deployment(
    name: str,
    answers: AdapterAnswers,
    base: ModelAnswers,
) -> Deployment:
    inherited = base.model_dump(
        include={'checkpoint', 'load_seconds', 'idle_seconds', 'priority'},
    )
    own = answers.model_dump(exclude={'organisations'}, exclude_none=True)
    return Deployment(
        name=name,
        model=base.model or answers.base,
        adapter=name,
        pool=base.pool,
        organisations=frozenset(answers.organisations or base.organisations),
        **{**inherited, **own},
    )


def _generate_service(name: str, answers: ServiceAnswers) -> Service:
    return Service(
        route=name,
        pool=answers.pool,
        organisations=frozenset(answers.organisations),
        open_to_all=answers.open_to_all,
        repeatable=frozenset(answers.repeatable),
        tokens=answers.tokens,
    )
