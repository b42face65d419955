"""Operator commands: check, diff, apply, show, digest."""

import functools
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace
from pathlib import Path
from typing import TypeVar

import anyio
import msgspec
import yaml
from pydantic import Field, ValidationError
from pydantic_settings import BaseSettings, SettingsConfigDict

from cowsliprack.exceptions import ConfigurationError, StoreError
from cowsliprack.protocol.configuration_difference import describe_difference
from cowsliprack.protocol.questionnaire import (
    generate_configuration,
    load_questionnaire,
)
from cowsliprack.state.configuration import Configuration, key_digest
from cowsliprack.transport.configuration_store import (
    StoredConfiguration,
    read_configuration,
    write_configuration,
)
from cowsliprack.transport.store_client import HttpObjectStore

# At this rate a change of all 256 shards takes a few seconds.
_MAX_CALLS_PER_SECOND = 200
_STANDARD_INPUT_PATH = '-'

_Result = TypeVar('_Result')


class OperatorSettings(BaseSettings):
    """Settings of the commands that use the platform store."""

    model_config = SettingsConfigDict(env_prefix='COWSLIPRACK_')

    store_url: str = Field(pattern='^https?://')


def check(path: str) -> str:
    """Validate a questionnaire without the platform store.

    :param path: path of the file; ``-`` reads standard input.
    :returns: a summary of its content.
    :raises ConfigurationError: with one line for each problem.
    """
    return f'ok: {_summary(_read_configuration_file(path))}'


def diff(path: str, store_url: str | None = None) -> str:
    """Return the changes that applying a questionnaire would make.

    :param path: path of the file; ``-`` reads standard input.
    :param store_url: URL of the platform store.
    :raises ConfigurationError: with one line for each problem.
    """
    wanted = _read_configuration_file(path)
    current = _run(store_url, read_configuration)
    lines = describe_difference(current.configuration, wanted)
    generation = current.manifest.generation
    return '\n'.join(lines or [f'no change to generation {generation}'])


def apply(
    path: str,
    store_url: str | None = None,
    expected_generation: str | None = None,
) -> str:
    """Apply a questionnaire.

    :param path: path of the file; ``-`` reads standard input.
    :param store_url: URL of the platform store.
    :param expected_generation: fail if another generation is in force.
    :raises ConfigurationError: with one line for each problem, such as a
        conflict with another operator.
    """
    wanted = _read_configuration_file(path)
    expected = _parse_generation(expected_generation)
    return _run(store_url, functools.partial(_apply, wanted, expected))


def show(store_url: str | None = None) -> str:
    """Return the configuration in force as YAML.

    :param store_url: URL of the platform store.
    """
    current = _run(store_url, read_configuration)
    # Encoding to JSON first turns sets into sorted lists.
    encoded = msgspec.json.encode(current.configuration, order='deterministic')
    return yaml.safe_dump(msgspec.json.decode(encoded), sort_keys=False)


def digest() -> str:
    """Return the digest of the key on the first line of standard input.

    :raises ConfigurationError: the line is empty.
    """
    key = sys.stdin.readline().strip()
    if not key:
        raise ConfigurationError(['standard input: a key is expected'])
    return key_digest(key)


async def _apply(
    wanted: Configuration,
    expected: int | None,
    store: HttpObjectStore,
) -> str:
    current = await read_configuration(store)
    generation = current.manifest.generation
    if expected not in {None, generation}:
        raise ConfigurationError(
            [f'conflict: generation {generation} is in force'],
        )
    if _is_unchanged(current, wanted):
        return f'no change to generation {generation}'
    manifest = await write_configuration(store, current, wanted)
    return f'generation {manifest.generation} is in force'


def _is_unchanged(current: StoredConfiguration, wanted: Configuration) -> bool:
    if current.version is None:
        return False
    generation = current.manifest.generation
    return current.configuration == replace(wanted, generation=generation)


def _parse_generation(text: str | None) -> int | None:
    if text is None:
        return None
    try:
        return int(text)
    except ValueError:
        raise ConfigurationError(
            ['--expected-generation: a whole number is expected'],
        ) from None


def _read_configuration_file(path: str) -> Configuration:
    try:
        text = _read_text(path)
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError([f'{path}: {error}']) from None
    return generate_configuration(load_questionnaire(text), generation=0)


def _read_text(path: str) -> str:
    if path == _STANDARD_INPUT_PATH:
        return sys.stdin.read()
    return Path(path).read_text(encoding='utf-8')


def _run(
    store_url: str | None,
    command: Callable[[HttpObjectStore], Awaitable[_Result]],
) -> _Result:
    flags = {'store_url': store_url} if store_url else {}
    try:
        settings = OperatorSettings(**flags)
    except ValidationError as failure:
        message = failure.errors()[0]['msg']
        raise ConfigurationError(
            [f'--store-url (COWSLIPRACK_STORE_URL): {message}'],
        ) from None
    try:
        return anyio.run(_with_store, settings.store_url, command)
    except StoreError as error:
        raise ConfigurationError([f'platform store: {error}']) from None


async def _with_store(
    url: str,
    command: Callable[[HttpObjectStore], Awaitable[_Result]],
) -> _Result:
    async with _open_store(url) as store:
        return await command(store)


@asynccontextmanager
async def _open_store(url: str) -> AsyncIterator[HttpObjectStore]:
    store = HttpObjectStore(url, calls_per_second=_MAX_CALLS_PER_SECOND)
    try:
        yield store
    finally:
        await store.aclose()


def _summary(configuration: Configuration) -> str:
    return ', '.join(
        (
            f'{len(configuration.zones)} zones',
            f'{len(configuration.organisations_by_id)} organisations',
            f'{len(configuration.deployments_by_name)} deployments',
            f'{len(configuration.services_by_route)} services',
            f'{len(configuration.targets_by_id)} targets',
        )
    )
