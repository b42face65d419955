"""Command line: serve, platform, check, diff, apply, show, digest."""

import importlib
import sys
from collections.abc import Callable

import fire
from fire.decorators import SetParseFn

from cowsliprack.exceptions import ConfigurationError, exit_with_problems

# What a shell reports for a program that Ctrl-C ended.
_INTERRUPTED = 130
_LOG_LEVELS = ('debug', 'info', 'warning', 'error')
_HIGHEST_PORT = 65535
# Fire would take "-", the name of standard input, for its own separator.
_SEPARATOR = ('--', '--separator=//')


def serve(**flags: str) -> None:
    """Run one instance until it is told to stop.

    Settings are flags such as ``--instance-id`` or environment variables
    such as ``COWSLIPRACK_INSTANCE_ID``.

    :param flags: settings by name.
    """
    # Each command loads only the libraries that it needs.
    settings = importlib.import_module('cowsliprack.settings')
    instance = importlib.import_module('cowsliprack.transport.instance')
    instance.serve(settings.load_settings(**flags))


def platform(log_level: str = 'info', metrics_port: str = '0') -> None:
    """Run one instance on the platform until it is told to stop.

    The settings come from the file that the platform names in the variable
    COWSLIPRACK_SETTINGS.

    :param log_level: lowest level that is written.
    :param metrics_port: 0 for the last internal port.
    """
    if log_level not in _LOG_LEVELS:
        raise ConfigurationError([f'--log-level: one of {_LOG_LEVELS}'])
    if not metrics_port.isdigit() or int(metrics_port) > _HIGHEST_PORT:
        raise ConfigurationError(['--metrics-port: a port number'])
    run = importlib.import_module('cowsliprack.platform.run')
    run.serve(log_level, int(metrics_port))


def main() -> None:
    """Run the command named on the command line."""
    commands = {'serve': serve, 'platform': platform}
    if sys.argv[1:2] != ['platform']:
        commands.update(_operator_commands())
    for command in commands.values():
        # Without this, Fire turns an id such as 007 into a number.
        SetParseFn(str)(command)
    try:
        fire.Fire(
            commands,
            command=[*sys.argv[1:], *_SEPARATOR],
            name='cowsliprack',
        )
    except ConfigurationError as error:
        exit_with_problems(error)
    except KeyboardInterrupt:
        sys.exit(_INTERRUPTED)


def _operator_commands() -> dict[str, Callable[..., None]]:
    operator = importlib.import_module(
        'cowsliprack.transport.operator_commands',
    )
    names = ('check', 'diff', 'apply', 'show', 'digest')
    return {name: getattr(operator, name) for name in names}
