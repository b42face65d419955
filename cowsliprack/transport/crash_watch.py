"""Finds out whether a target crashed when a connection to it ended early.

A broken connection alone proves nothing: networks reset connections too. A
target that also refuses new ones has no process any more.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from cowsliprack.coordination.poison import crash_id
from cowsliprack.state.target_registry import (
    TargetRecord,
    TargetRegistry,
    TargetState,
)
from cowsliprack.transport.probe import is_connection_refused

# Longest time that a broken request waits for the answer of its target's port.
# A refusal takes one round trip; a silent host proves no crash.
_CHECK_SECONDS = 0.05
# Time in which the system closes the port of a process that has ended, in
# seconds: it closes the process's connections one by one, some before the port.
_EXIT_SECONDS = 0.02
# Number of crashes that are remembered, so that each is checked once.
_MAX_CRASHES = 256


@dataclass(slots=True)
class CrashWatch:
    """Checks each target once when requests to it break.

    :param registry: registered targets; one that has announced its end is not
        taken for crashed.
    :param crashed: called with the target and the crash id of each crash.
    :param is_refused: whether a host refuses connections to a port.
    """

    registry: TargetRegistry
    crashed: Callable[[TargetRecord, str], None]
    is_refused: Callable[[str, int], Awaitable[bool]] = is_connection_refused
    _crashes: dict[str, None] = field(default_factory=dict)
    _checks_by_crash: dict[str, anyio.Event] = field(default_factory=dict)

    async def check(self, target: TargetRecord) -> bool:
        """Return whether a target has crashed, after asking it if needed.

        :param target: target whose connection ended, before the response did
            or as the only sign of the end of the response.
        """
        crash = crash_id(target.target_id, str(target.born))
        pending = self._checks_by_crash.get(crash)
        if pending is not None:
            await pending.wait()
        if crash in self._crashes:
            return True
        if pending is not None or not self._is_expected_to_run(target):
            return False
        self._checks_by_crash[crash] = anyio.Event()
        try:
            await anyio.sleep(_EXIT_SECONDS)
            has_crashed = await self._refuses(target)
            if has_crashed:
                self._record(target, crash)
        finally:
            self._checks_by_crash.pop(crash).set()
        return has_crashed

    def _is_expected_to_run(self, target: TargetRecord) -> bool:
        record = self.registry.records_by_id.get(target.target_id)
        return record is not None and record.state is TargetState.ready

    async def _refuses(self, target: TargetRecord) -> bool:
        host, _, port = target.address.rpartition(':')
        with anyio.move_on_after(_CHECK_SECONDS):
            return await self.is_refused(host, int(port))
        return False

    def _record(self, target: TargetRecord, crash: str) -> None:
        self._crashes[crash] = None
        if len(self._crashes) > _MAX_CRASHES:
            self._crashes.pop(next(iter(self._crashes)))
        self.crashed(target, crash)
