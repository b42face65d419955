"""Starts stand-ins and instances as child processes on free ports."""

import json
import os
import signal
import subprocess  # noqa: S404
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import httpx

FLEET_SECRET = 'development-fleet-secret'  # noqa: S105
_DEFAULT_TIMEOUT_SECONDS = 30
_STOP_TIMEOUT_SECONDS = 40
_POLL_INTERVAL_SECONDS = 0.02


class StartError(RuntimeError):
    """A process ended or did not report its address in time."""


@dataclass(slots=True)
class ChildProcess:
    """A stand-in or an instance that runs as a child process.

    :param name: unique in its group.
    :param process: handle of the process.
    :param log_path: file that receives its standard output and error.
    :param url: base URL of its HTTP server.
    :param peer_address: address for other instances; empty for stand-ins.
    """

    name: str
    process: subprocess.Popen[bytes]
    log_path: Path
    url: str = ''
    peer_address: str = ''

    def control(self, **settings: Any) -> dict[str, Any]:
        """Change settings of a stand-in, or read its state.

        :param settings: settings by name; without any, the state is read.
        """
        with httpx.Client(trust_env=False, timeout=10) as client:
            if settings:
                return client.post(f'{self.url}/control', json=settings).json()
            return client.get(f'{self.url}/control').json()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process.

        :param number: signal, for example ``SIGSTOP``.
        """
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def stop(self) -> int:
        """Terminate the process and return its exit code.

        A suspended process is resumed first. A process that does not exit in
        time is killed.
        """
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(_STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return self.process.wait()

    def log_lines(self) -> list[dict[str, Any]]:
        """Return the structured log lines written so far."""
        lines = []
        for text in self.log_path.read_text(errors='replace').splitlines():
            if text.startswith('{') and text.endswith('}'):
                lines.append(json.loads(text))
        return lines

    def decisions(self, decision: str) -> list[dict[str, Any]]:
        """Return the decision log lines of one type.

        :param decision: type of the decision, for example ``routing``.
        """
        return [
            line
            for line in self.log_lines()
            if line.get('decision') == decision
        ]


@dataclass(slots=True)
class ProcessGroup:
    """A group of child processes that a context manager ends together.

    :param program: command that runs the program under test.
    :param children_by_name: started processes.
    """

    program: Sequence[str] = (sys.executable, '-m', 'cowsliprack')
    children_by_name: dict[str, ChildProcess] = field(default_factory=dict)
    _log_directory: tempfile.TemporaryDirectory[str] = field(
        default_factory=tempfile.TemporaryDirectory,
    )

    def __enter__(self) -> 'ProcessGroup':
        """Return the group."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """Kill every process and remove the logs."""
        self.close()

    def close(self) -> None:
        """Kill every process and remove the logs."""
        for child in self.children_by_name.values():
            child.kill()
        self._log_directory.cleanup()

    def start_platform(self, **options: Any) -> ChildProcess:
        """Start the platform stand-in.

        :param options: command-line options of the stand-in by name.
        """
        return self._start_standin('platform', 'platform', options)

    def start_engine(self, target_id: str, **options: Any) -> ChildProcess:
        """Start an engine stand-in.

        :param target_id: id of the target in the questionnaire.
        :param options: command-line options of the stand-in by name.
        """
        return self._start_standin(
            'engine',
            target_id,
            {'target_id': target_id, **options},
        )

    def start_service(self, target_id: str, **options: Any) -> ChildProcess:
        """Start a stand-in for a plain service.

        :param target_id: id of the target in the questionnaire.
        :param options: command-line options of the stand-in by name.
        """
        return self._start_standin(
            'service',
            target_id,
            {'target_id': target_id, **options},
        )

    def start_passthrough(self, url: str) -> ChildProcess:
        """Start the pass-through proxy that benchmarks compare with.

        :param url: base URL of the target.
        """
        return self._start_standin('passthrough', 'passthrough', {'url': url})

    def start_instance(
        self,
        instance_id: str,
        zone: str,
        store_url: str,
        **settings: Any,
    ) -> ChildProcess:
        """Start an instance and wait until it listens.

        :param instance_id: unique in the fleet.
        :param zone: availability zone.
        :param store_url: base URL of the platform.
        :param settings: further settings by name.
        """
        options = {
            'instance_id': instance_id,
            'zone': zone,
            'store_url': store_url,
            'port': 0,
            **settings,
        }
        command = [*self.program, 'serve', *_format_options(options)]
        child = self._spawn(instance_id, command)
        _wait_until_listening(child, lambda: _read_listening_event(child))
        return child

    def run_command(
        self,
        *arguments: str,
        text: str | None = None,
    ) -> subprocess.CompletedProcess[str]:
        """Run a command of the program and wait until it has exited.

        :param arguments: command-line arguments.
        :param text: standard input.
        """
        return subprocess.run(  # noqa: S603
            [*self.program, *arguments],
            input=text,
            capture_output=True,
            text=True,
            timeout=_DEFAULT_TIMEOUT_SECONDS,
            env=_build_environment(),
            check=False,
        )

    def _start_standin(
        self,
        module: str,
        name: str,
        options: dict[str, Any],
    ) -> ChildProcess:
        command = [
            sys.executable,
            '-m',
            f'tools.standins.{module}',
            *_format_options(options),
        ]
        child = self._spawn(name, command)
        _wait_until_listening(child, lambda: _read_listening_line(child))
        return child

    def _spawn(self, name: str, command: Sequence[str]) -> ChildProcess:
        number = len(list(Path(self._log_directory.name).iterdir()))
        log_path = Path(self._log_directory.name) / f'{name}-{number}.log'
        with log_path.open('wb') as log:
            process = subprocess.Popen(  # noqa: S603
                list(command),
                stdout=log,
                stderr=log,
                env=_build_environment(),
            )
        child = ChildProcess(name, process, log_path)
        previous = self.children_by_name.get(name)
        if previous is not None:
            previous.kill()
        self.children_by_name[name] = child
        return child


def wait_until(
    condition: Callable[[], bool],
    seconds: float = _DEFAULT_TIMEOUT_SECONDS,
) -> bool:
    """Poll a condition and return whether it became true in time.

    :param condition: polled until it returns true.
    :param seconds: timeout.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(_POLL_INTERVAL_SECONDS)
    return condition()


def _wait_until_listening(
    child: ChildProcess, is_ready: Callable[[], bool]
) -> None:
    def has_exited_or_is_ready() -> bool:  # noqa: WPS430
        return child.process.poll() is not None or is_ready()

    wait_until(has_exited_or_is_ready)
    if not child.url:
        raise StartError(f'{child.name}: {child.log_path.read_text()}')


def _read_listening_line(child: ChildProcess) -> bool:
    for line in child.log_path.read_text().splitlines():
        if line.startswith('listening '):
            child.url = f'http://{line.split()[1]}'
    return bool(child.url)


def _read_listening_event(child: ChildProcess) -> bool:
    for line in child.log_lines():
        if line.get('event') == 'listening':
            child.url = f'http://{line["address"]}'
            child.peer_address = line['peer_address']
    return bool(child.url)


def _format_options(options: dict[str, Any]) -> list[str]:
    return [
        f'--{name.replace("_", "-")}={setting}'
        for name, setting in options.items()
    ]


def _build_environment() -> dict[str, str]:
    return {
        **os.environ,
        'PYTHONPATH': os.getcwd(),
        'COWSLIPRACK_FLEET_SECRET': FLEET_SECRET,
    }
