"""The two benchmark scenarios, with a Friday afternoon burst as load.

The idle week before the burst is compressed: its arrivals are as sparse,
relative to the idle time of a replica, as over a whole week.
"""

import hashlib
import random
from collections.abc import Sequence
from dataclasses import dataclass

from cowsliprack.state.configuration import (
    Checkpoint,
    Configuration,
    Deployment,
    Organisation,
    Policy,
    Target,
    TargetKind,
)

_ENGINE_MEMORY_MB = 80_000
_ENGINE_SLOTS = 8
# Idle time stated in the questionnaire, compressed like the idle week.
_REPLICA_IDLE_SECONDS = 60.0
# Load time for each 10 GB of a checkpoint, in addition to opening it.
_UNIT_SECONDS_BY_CHECKPOINT = (
    (Checkpoint.memory, 0.5),
    (Checkpoint.disk, 1.5),
    (Checkpoint.remote, 5),
)
_CHECKPOINT_OPEN_SECONDS = 1.0
_LOAD_UNIT_MB = 10_000
_MODEL_SIZES_MB = (4000, 8000, 14_000, 26_000)
_ADAPTER_MEMORY_MB = 100
_ADAPTER_LOAD_SECONDS = 0.006
_ZIPF_EXPONENT = 1.1
_TIMEOUTS_SECONDS = (10.0, 30.0, 60.0)
_PROMPT_TOKENS_RANGE = (50, 800)
_OUTPUT_TOKENS_RANGE = (50, 400)
# Rates sent during the burst, in multiples of the configured rate: by the
# first organisation and by each of the others.
_OVERLOAD_FACTOR = 5
_NORMAL_LOAD_FACTOR = 0.6
_ORGANISATION_COUNT = 5
# Burst allowance of an organisation, as seconds of its rate.
_BURST_SECONDS = 5
_MEAN_RESERVED_TOKENS = 650.0


@dataclass(frozen=True, slots=True)
class Pool:
    """Numbers of engines, models and adapters of one pool."""

    name: str
    engines: int
    models: int
    adapters: int


@dataclass(frozen=True, slots=True)
class PhaseDurations:
    """Durations of the phases of a run, seconds.

    :param idle_week: compressed idle week.
    :param burst: Friday afternoon burst.
    :param tail: time after the burst in which the last requests end.
    """

    idle_week: float
    burst: float
    tail: float

    def total(self) -> float:
        """Return the duration of the whole run, seconds."""
        return self.idle_week + self.burst + self.tail


@dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet of the design page with its load.

    :param zone_distance: one-way delay between zones, seconds.
    :param idle_week_rate: requests per second outside the burst.
    :param burst_rate: requests per second during the burst.
    :param weights: weights of the measures from the questionnaire.
    """

    name: str
    zones: tuple[str, ...]
    zone_distance: float
    instances: int
    pools: tuple[Pool, ...]
    loads_per_second: float
    idle_week_rate: float
    burst_rate: float
    weights: Policy
    durations: PhaseDurations

    def organisation_rate(self) -> float:
        """Return the rate of each organisation, tokens per second.

        During the burst, one organisation sends several times this rate and
        the others stay below it.
        """
        others_factor = _NORMAL_LOAD_FACTOR * (_ORGANISATION_COUNT - 1)
        return (
            self.burst_rate
            * _MEAN_RESERVED_TOKENS
            / (_OVERLOAD_FACTOR + others_factor)
        )


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request of a caller.

    :param arrived_at: time of arrival, seconds.
    :param instance: index of the instance that receives the request.
    :param reserved_tokens: prompt tokens plus the maximum of output tokens.
    :param used_tokens: prompt plus generated tokens.
    :param timeout: seconds from arrival to the deadline.
    """

    arrived_at: float
    instance: int
    organisation: str
    deployment: str
    reserved_tokens: int
    used_tokens: int
    timeout: float


SERVICE_DESK = Scenario(
    name='service desk',
    zones=('nl-west-1a', 'nl-west-1b', 'nl-west-1c'),
    zone_distance=0.001,
    instances=6,
    pools=(Pool('assistant', 6, 28, 60), Pool('ordering', 3, 12, 15)),
    loads_per_second=3,
    idle_week_rate=0.2,
    burst_rate=20,
    weights=Policy(
        cold_start_weight=4,
        refusal_weight=4,
        idle_weight=1,
        fairness_weight=1,
    ),
    durations=PhaseDurations(600, 45, 60),
)
WEBSHOP = Scenario(
    name='webshop',
    zones=('pl-south-1a', 'pl-south-1b', 'pl-south-1c', 'pl-south-1d'),
    zone_distance=0.0015,
    instances=8,
    pools=(Pool('kit', 9, 24, 85), Pool('webshop', 4, 11, 30)),
    loads_per_second=6,
    idle_week_rate=0.2,
    burst_rate=28,
    weights=Policy(
        cold_start_weight=1,
        refusal_weight=1,
        idle_weight=4,
        fairness_weight=4,
    ),
    durations=PhaseDurations(600, 45, 60),
)
SCENARIOS = (SERVICE_DESK, WEBSHOP)
TINY_DURATIONS = PhaseDurations(20, 5, 5)


def organisation_ids() -> list[str]:
    """Return the organisation ids; the first exceeds its rate in the burst."""
    return [f'organisation-{index}' for index in range(_ORGANISATION_COUNT)]


def key_digest(organisation: str) -> str:
    """Return the digest of an organisation's key.

    :param organisation: organisation id.
    """
    return hashlib.sha256(organisation.encode()).hexdigest()


def make_configuration(scenario: Scenario, seed: int) -> Configuration:
    """Return the configuration of a scenario.

    :param scenario: the scenario.
    :param seed: seed of the sizes and checkpoints of the models.
    """
    rng = random.Random(seed)
    deployments: list[Deployment] = []
    for pool in scenario.pools:
        models = [_make_model(pool, index, rng) for index in range(pool.models)]
        deployments.extend(models)
        deployments.extend(
            _make_adapter(pool, index, rng.choice(models))
            for index in range(pool.adapters)
        )
    weights = scenario.weights
    return Configuration(
        generation=1,
        zones=scenario.zones,
        organisations_by_id={
            name: Organisation(
                name,
                scenario.organisation_rate(),
                scenario.organisation_rate() * _BURST_SECONDS,
            )
            for name in organisation_ids()
        },
        organisation_id_by_key_digest={
            key_digest(name): name for name in organisation_ids()
        },
        deployments_by_name={
            deployment.name: deployment for deployment in deployments
        },
        targets_by_id={
            target.target_id: target for target in _make_targets(scenario)
        },
        policy=Policy(
            weights.cold_start_weight,
            weights.refusal_weight,
            weights.idle_weight,
            weights.fairness_weight,
            scenario.loads_per_second,
            zone_distance=scenario.zone_distance,
        ),
    )


def make_arrivals(
    scenario: Scenario,
    configuration: Configuration,
    seed: int,
) -> list[Arrival]:
    """Return the requests of a run in the order of their arrival.

    :param scenario: arrival rates and durations.
    :param configuration: the deployments to request.
    :param seed: seed of the random source.
    """
    rng = random.Random(seed)
    names = sorted(configuration.deployments_by_name)
    rng.shuffle(names)
    weights = [1 / (rank + 1) ** _ZIPF_EXPONENT for rank in range(len(names))]
    durations = scenario.durations
    arrivals = []
    arrived_at = rng.expovariate(scenario.idle_week_rate)
    while arrived_at < durations.total():
        in_burst = (
            durations.idle_week
            <= arrived_at
            < durations.idle_week + durations.burst
        )
        name = rng.choices(names, weights)[0]
        arrivals.append(
            _make_arrival(scenario, arrived_at, name, in_burst, rng)
        )
        rate = scenario.burst_rate if in_burst else scenario.idle_week_rate
        gap = rng.expovariate(rate)
        is_burst_next = arrived_at < durations.idle_week < arrived_at + gap
        arrived_at = durations.idle_week if is_burst_next else arrived_at + gap
    return arrivals


def _make_arrival(
    scenario: Scenario,
    arrived_at: float,
    name: str,
    in_burst: bool,
    rng: random.Random,
) -> Arrival:
    organisations = organisation_ids()
    load_factors = [float(1) for _ in organisations]
    if in_burst:
        # Only the first organisation exceeds its rate.
        load_factors = [_NORMAL_LOAD_FACTOR for _ in organisations]
        load_factors[0] = _OVERLOAD_FACTOR
    prompt_tokens = rng.randint(*_PROMPT_TOKENS_RANGE)
    output_tokens = rng.randint(*_OUTPUT_TOKENS_RANGE)
    return Arrival(
        arrived_at,
        rng.randrange(scenario.instances),
        rng.choices(organisations, load_factors)[0],
        name,
        prompt_tokens + output_tokens,
        prompt_tokens + rng.randint(output_tokens // 2, output_tokens),
        rng.choice(_TIMEOUTS_SECONDS),
    )


def _make_model(pool: Pool, index: int, rng: random.Random) -> Deployment:
    memory = rng.choice(_MODEL_SIZES_MB)
    checkpoint, unit_seconds = rng.choice(_UNIT_SECONDS_BY_CHECKPOINT)
    name = f'{pool.name}-model-{index}'
    return Deployment(
        name,
        name,
        'v1',
        rng.choice((2, 2, 3)),
        memory,
        pool.name,
        checkpoint=checkpoint,
        load_seconds=(
            _CHECKPOINT_OPEN_SECONDS + unit_seconds * memory / _LOAD_UNIT_MB
        ),
        idle_seconds=_REPLICA_IDLE_SECONDS,
    )


def _make_adapter(pool: Pool, index: int, base: Deployment) -> Deployment:
    name = f'{pool.name}-adapter-{index}'
    return Deployment(
        name,
        base.model,
        'v1',
        base.replicas,
        _ADAPTER_MEMORY_MB,
        pool.name,
        adapter=name,
        base=base.name,
        checkpoint=Checkpoint.remote,
        load_seconds=_ADAPTER_LOAD_SECONDS,
        idle_seconds=_REPLICA_IDLE_SECONDS,
    )


def _make_targets(scenario: Scenario) -> Sequence[Target]:
    targets = []
    for pool in scenario.pools:
        for index in range(pool.engines):
            target_id = f'{pool.name}-engine-{index}'
            targets.append(
                Target(
                    target_id,
                    TargetKind.engine,
                    scenario.zones[index % len(scenario.zones)],
                    f'http://{target_id}',
                    pool.name,
                    memory=_ENGINE_MEMORY_MB,
                    slots=_ENGINE_SLOTS,
                    accelerators=2,
                ),
            )
    return targets
