"""Starts a small fleet of stand-ins and instances for demo and tests."""

import functools
import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType
from typing import Any

import httpx
import yaml

from cowsliprack.state.configuration import key_digest
from tools.processes import ChildProcess, ProcessGroup, wait_until

KEYS_BY_ORGANISATION = MappingProxyType(
    {
        'acme': 'key-of-acme-0001',
        'globex': 'key-of-globex-0001',
    }
)
_READY_TIMEOUT_SECONDS = 30


@dataclass(slots=True)
class Fleet:
    """A platform, targets in two zones, and the instances that route to them.

    :param processes: group that starts and ends the processes.
    :param zones: names of the availability zones.
    :param platform: stand-in for the platform, set by :meth:`start`.
    :param questionnaire: answers that :meth:`apply` applies.
    :param instances_by_id: started instances.
    """

    processes: ProcessGroup
    zones: tuple[str, ...] = ('zone-a', 'zone-b')
    platform: ChildProcess = field(init=False)
    questionnaire: dict[str, Any] = field(default_factory=dict)
    instances_by_id: dict[str, ChildProcess] = field(default_factory=dict)

    def start(
        self,
        engine_options: dict[str, Any] | None = None,
        instances_per_zone: int = 1,
        instance_settings: dict[str, Any] | None = None,
    ) -> None:
        """Start one engine in each zone, a service, and the instances.

        :param engine_options: command-line options of the engines.
        :param instances_per_zone: number of instances in each zone.
        :param instance_settings: further settings of each instance.
        """
        self.platform = self.processes.start_platform()
        targets: dict[str, Any] = {}
        for zone in self.zones:
            target_id = f'engine-{zone[-1]}'
            engine = self.processes.start_engine(
                target_id,
                weights_url=self.platform.url,
                **(engine_options or {}),
            )
            targets[target_id] = _build_engine_answers(engine, zone)
        service = self.processes.start_service('shop-1')
        targets['shop-1'] = {
            'kind': 'service',
            'zone': self.zones[0],
            'url': service.url,
            'pool': 'shop',
        }
        self.questionnaire = _build_questionnaire(self.zones, targets)
        self.apply()
        for zone in self.zones:
            for number in range(1, instances_per_zone + 1):
                self.start_instance(
                    f'{zone[-1]}{number}',
                    zone,
                    **(instance_settings or {}),
                )
        self.wait_until_ready()

    def start_instance(
        self,
        instance_id: str,
        zone: str,
        **settings: Any,
    ) -> ChildProcess:
        """Start an instance and add it to the fleet.

        :param instance_id: unique in the fleet.
        :param zone: availability zone.
        :param settings: further settings by name.
        """
        child = self.processes.start_instance(
            instance_id,
            zone,
            self.platform.url,
            **settings,
        )
        self.instances_by_id[instance_id] = child
        return child

    def apply(self) -> None:
        """Apply the questionnaire with the operators' ``apply`` command."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / 'questionnaire.yaml'
            path.write_text(yaml.safe_dump(self.questionnaire))
            completed = self.processes.run_command(
                'apply',
                str(path),
                f'--store-url={self.platform.url}',
            )
        if completed.returncode:
            raise RuntimeError(completed.stderr)

    def wait_until_ready(self) -> None:
        """Wait until every instance reports that it is ready."""
        for child in self.instances_by_id.values():
            ready = functools.partial(is_ready, child)
            if not wait_until(ready, _READY_TIMEOUT_SECONDS):
                raise RuntimeError(f'{child.name} is not ready in time')


def is_ready(child: ChildProcess) -> bool:
    """Return whether the readiness check of an instance succeeds.

    :param child: instance to ask.
    """
    try:
        response = httpx.get(f'{child.url}/readyz', trust_env=False, timeout=2)
    except httpx.HTTPError:
        return False
    return response.is_success


def generation(child: ChildProcess) -> int:
    """Return the generation of the configuration that an instance uses.

    :param child: instance to ask.
    """
    response = httpx.get(f'{child.url}/readyz', trust_env=False, timeout=2)
    return int(response.json()['generation'])


def chat(
    child: ChildProcess,
    model: str,
    organisation: str = 'acme',
    **fields: Any,
) -> httpx.Response:
    """Send a chat completion request and return the complete response.

    :param child: instance that gets the request.
    :param model: name of the deployment.
    :param organisation: organisation whose key is sent.
    :param fields: further fields of the body; ``headers`` is a mapping of
        further request headers instead.
    """
    headers = {
        'authorization': f'Bearer {KEYS_BY_ORGANISATION[organisation]}',
        **fields.pop('headers', {}),
    }
    body = {
        'model': model,
        'messages': [{'role': 'user', 'content': 'Why does it stay cold?'}],
        'max_tokens': 8,
        **fields,
    }
    return httpx.post(
        f'{child.url}/v1/chat/completions',
        json=body,
        headers=headers,
        timeout=90,
        trust_env=False,
    )


def _build_engine_answers(engine: ChildProcess, zone: str) -> dict[str, Any]:
    return {
        'kind': 'engine',
        'zone': zone,
        'url': engine.url,
        'pool': 'assistants',
        'memory': 80_000,
    }


def _build_questionnaire(
    zones: tuple[str, ...],
    targets: dict[str, Any],
) -> dict[str, Any]:
    return {
        'zones': list(zones),
        'organisations': {
            name: {
                'rate': 5000,
                'burst': 20_000,
                'callers': {'desk': {'key_digests': [key_digest(key)]}},
            }
            for name, key in KEYS_BY_ORGANISATION.items()
        },
        'targets': targets,
        'models': {
            'fault-answers': {
                'version': '3',
                'pool': 'assistants',
                'memory': 30_000,
                'replicas': 2,
                'load_seconds': 1,
            },
            'maintenance-plans': {
                'version': '1',
                'pool': 'assistants',
                'memory': 40_000,
                'replicas': 1,
                'load_seconds': 1,
                'organisations': ['acme'],
            },
        },
        'adapters': {
            'fault-answers-nl': {
                'base': 'fault-answers',
                'version': '1',
                'memory': 200,
                'replicas': 2,
            },
        },
        'services': {
            'orders': {'pool': 'shop'},
            'stock': {'pool': 'shop', 'open_to_all': True},
        },
    }
