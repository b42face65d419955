"""Command-line interface: serve, platform and the operators' commands."""

import importlib
import sys
from collections.abc import Callable

import fire
from fire.decorators import SetParseFn

from cowsliprack.exceptions import ConfigurationError, exit_with_problems

# Exit code that shells report for a program that was ended by Ctrl-C.
_INTERRUPTED_EXIT_CODE = 130
_LOG_LEVELS = ('debug', 'info', 'warning', 'error')
_MAX_PORT = 65535
# Fire separates commands by "-" by default, which here means standard input.
_FIRE_OPTIONS = ('--', '--separator=//')


def serve(**flags: str) -> None:
    """Run one instance until it receives a signal to stop.

    Settings are flags such as ``--instance-id`` or environment variables
    such as ``COWSLIPRACK_INSTANCE_ID``.

    :param flags: settings by name.
    """
    # Imported here so that each command loads only what it needs.
    settings = importlib.import_module('cowsliprack.settings')
    instance = importlib.import_module('cowsliprack.transport.instance')
    instance.serve(settings.load_settings(**flags))


def platform(log_level: str = 'info', metrics_port: str = '0') -> None:
    """Run one instance on the platform until it receives a signal to stop.

    The settings are read from the file that the environment variable
    COWSLIPRACK_SETTINGS names.

    :param log_level: minimum level of log lines.
    :param metrics_port: port of the metrics; 0 for the last internal port.
    """
    if log_level not in _LOG_LEVELS:
        raise ConfigurationError([f'--log-level: must be one of {_LOG_LEVELS}'])
    if not metrics_port.isdigit() or int(metrics_port) > _MAX_PORT:
        raise ConfigurationError(['--metrics-port: must be a port number'])
    run = importlib.import_module('cowsliprack.platform.run')
    run.serve(log_level, int(metrics_port))


def main() -> None:
    """Run the command named on the command line."""
    commands = {'serve': serve, 'platform': platform}
    if sys.argv[1:2] != ['platform']:
        commands.update(_operator_commands())
    for command in commands.values():
        # Keeps arguments as strings; Fire would parse an id such as 007 as a
        # number.
        SetParseFn(str)(command)
    try:
        fire.Fire(
            commands,
            command=[*sys.argv[1:], *_FIRE_OPTIONS],
            name='cowsliprack',
        )
    except ConfigurationError as error:
        exit_with_problems(error)
    except KeyboardInterrupt:
        sys.exit(_INTERRUPTED_EXIT_CODE)


def _operator_commands() -> dict[str, Callable[..., None]]:
    operator = importlib.import_module(
        'cowsliprack.transport.operator_commands',
    )
    names = ('check', 'diff', 'apply', 'show', 'digest')
    explain = importlib.import_module('cowsliprack.transport.explain_command')
    commands = {name: getattr(operator, name) for name in names}
    return {**commands, 'explain': explain.explain}
