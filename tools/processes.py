"""Starts stand-ins and instances as processes of their own on free ports."""

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
_START_SECONDS = 30
_STOP_SECONDS = 40
_POLL_SECONDS = 0.02


class StartError(RuntimeError):
    """A process did not say its address in time."""


@dataclass(slots=True)
class ChildProcess:
    """A started process.

    :param url: base URL of its HTTP server.
    :param log_path: file that gets its standard error.
    """

    name: str
    process: subprocess.Popen[bytes]
    log_path: Path
    url: str = ''
    peer_address: str = ''

    def control(self, **settings: Any) -> dict[str, Any]:
        """Change or read the state of a stand-in.

        :param settings: switches by name; none only reads.
        """
        with httpx.Client(trust_env=False, timeout=10) as client:
            if settings:
                return client.post(f'{self.url}/control', json=settings).json()
            return client.get(f'{self.url}/control').json()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process.

        :param number: for example ``SIGSTOP``.
        """
        if self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process at once and wait for it."""
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def stop(self) -> int:
        """Ask the process to stop and return its exit code."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGTERM)
        try:
            return self.process.wait(_STOP_SECONDS)
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
        """Return the decision log lines of one sort.

        :param decision: for example ``routing``.
        """
        return [
            line
            for line in self.log_lines()
            if line.get('decision') == decision
        ]


@dataclass(slots=True)
class ProcessGroup:
    """Processes that end together; use it as a context manager."""

    program: Sequence[str] = (sys.executable, '-m', 'cowsliprack')
    children_by_name: dict[str, ChildProcess] = field(default_factory=dict)
    _folder: tempfile.TemporaryDirectory[str] = field(
        default_factory=tempfile.TemporaryDirectory,
    )

    def __enter__(self) -> 'ProcessGroup':
        """Return itself."""
        return self

    def __exit__(self, *_exception: object) -> None:
        """End every process."""
        self.close()

    def close(self) -> None:
        """End every process and remove the logs."""
        for child in self.children_by_name.values():
            child.kill()
        self._folder.cleanup()

    def start_platform(self, **options: Any) -> ChildProcess:
        """Start the platform stand-in.

        :param options: flags of the stand-in.
        """
        return self._start_standin('platform', 'platform', options)

    def start_engine(self, target_id: str, **options: Any) -> ChildProcess:
        """Start an engine stand-in.

        :param target_id: id that the questionnaire names.
        :param options: flags of the stand-in.
        """
        return self._start_standin(
            'engine',
            target_id,
            {'target_id': target_id, **options},
        )

    def start_service(self, target_id: str, **options: Any) -> ChildProcess:
        """Start a plain service stand-in.

        :param target_id: id that the questionnaire names.
        :param options: flags of the stand-in.
        """
        return self._start_standin(
            'service',
            target_id,
            {'target_id': target_id, **options},
        )

    def start_passthrough(self, url: str) -> ChildProcess:
        """Start the bare pass-through.

        :param url: base URL of its target.
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
        flags = {
            'instance_id': instance_id,
            'zone': zone,
            'store_url': store_url,
            'port': 0,
            **settings,
        }
        command = [*self.program, 'serve', *_as_flags(flags)]
        child = self._spawn(instance_id, command)
        _wait_for(child, lambda: _read_listening_event(child))
        return child

    def run_command(
        self,
        *arguments: str,
        text: str | None = None,
    ) -> subprocess.CompletedProcess[str]:
        """Run a command of the program to its end.

        :param arguments: of the command line.
        :param text: standard input.
        """
        return subprocess.run(  # noqa: S603
            [*self.program, *arguments],
            input=text,
            capture_output=True,
            text=True,
            timeout=_START_SECONDS,
            env=_environment(),
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
            *_as_flags(options),
        ]
        child = self._spawn(name, command)
        _wait_for(child, lambda: _read_listening_line(child))
        return child

    def _spawn(self, name: str, command: Sequence[str]) -> ChildProcess:
        number = len(list(Path(self._folder.name).iterdir()))
        log_path = Path(self._folder.name) / f'{name}-{number}.log'
        with log_path.open('wb') as log:
            process = subprocess.Popen(  # noqa: S603
                list(command),
                stdout=log,
                stderr=log,
                env=_environment(),
            )
        child = ChildProcess(name, process, log_path)
        previous = self.children_by_name.get(name)
        if previous is not None:
            previous.kill()
        self.children_by_name[name] = child
        return child


def wait_until(
    condition: Callable[[], bool],
    seconds: float = _START_SECONDS,
) -> bool:
    """Poll a condition and return whether it came true in time.

    :param condition: called repeatedly.
    :param seconds: longest wait.
    """
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(_POLL_SECONDS)
    return condition()


def _wait_for(child: ChildProcess, is_ready: Callable[[], bool]) -> None:
    def has_ended_or_ready() -> bool:  # noqa: WPS430
        return child.process.poll() is not None or is_ready()

    wait_until(has_ended_or_ready)
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


def _as_flags(options: dict[str, Any]) -> list[str]:
    return [
        f'--{name.replace("_", "-")}={setting}'
        for name, setting in options.items()
    ]


def _environment() -> dict[str, str]:
    return {
        **os.environ,
        'PYTHONPATH': os.getcwd(),
        'COWSLIPRACK_FLEET_SECRET': FLEET_SECRET,
    }
