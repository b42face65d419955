"""Operator command that asks a running instance where a request would go."""

import os
from pathlib import Path
from typing import Any

import httpx
import msgspec
import yaml

from cowsliprack.exceptions import ConfigurationError
from cowsliprack.transport.route_explanation import EXPLAIN_PATH, Question

KEY_VARIABLE = 'COWSLIPRACK_KEY'
_TIMEOUT_SECONDS = 5.0


def explain(
    instance: str,
    host: str,
    path: str,
    model: str = '',
    adapter: str = '',
    key_file: str = '',
    deadline: str = '',
) -> str:
    """Return where a request would be sent now and why, without sending it.

    The key is read from the file, or from the environment variable
    COWSLIPRACK_KEY; it is never printed.

    :param instance: metrics address of an instance, such as 10.0.0.7:9464.
    :param host: of the request.
    :param path: of the request, without the query.
    :param model: empty for a plain service.
    :param adapter: empty for the model itself.
    :param key_file: file with the key on its first line.
    :param deadline: seconds until the caller gives up; empty for the time limit
        of the route.
    :raises ConfigurationError: the key, route or model is unknown, or the
        instance cannot be asked.
    """
    question = Question(
        host,
        path,
        model,
        adapter,
        _read_key(key_file),
        _parse_seconds(deadline),
    )
    return yaml.safe_dump(_ask(instance, question), sort_keys=False)


def _read_key(key_file: str) -> str:
    if not key_file:
        return os.environ.get(KEY_VARIABLE, '')
    try:
        text = Path(key_file).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise ConfigurationError([f'--key-file: {error}']) from None
    return text.partition('\n')[0].strip()


def _parse_seconds(text: str) -> float | None:
    if not text:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0
    # Comparisons with NaN are false.
    if not 0 < seconds < float('inf'):
        raise ConfigurationError(['--deadline: a number of seconds above 0'])
    return seconds


def _ask(instance: str, question: Question) -> Any:
    try:
        response = httpx.post(
            f'http://{instance}{EXPLAIN_PATH}',
            content=msgspec.json.encode(question),
            timeout=_TIMEOUT_SECONDS,
            trust_env=False,
        )
        answer = response.json()
    except (httpx.HTTPError, httpx.InvalidURL, ValueError) as error:
        raise ConfigurationError(
            [f'--instance {instance}: {error or type(error).__name__}']
        ) from None
    if response.is_success:
        return answer
    try:
        problem = answer['error']
        raise ConfigurationError([f'{problem["kind"]}: {problem["message"]}'])
    except (KeyError, TypeError):
        raise ConfigurationError(
            [f'--instance {instance}: status {response.status_code}']
        ) from None
