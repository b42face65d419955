"""Deadlines that count only time in which this process ran.

An instance whose event loop is late reads an answer late, which says nothing of
the peer that sent it. Deadlines on the answers of others are therefore extended
by the time for which the own loop was held up.
"""

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import anyio
import structlog

_TICK_SECONDS = 0.05
# A tick of a loop that has other work to do counts up to this share of itself;
# what is beyond it, the loop was held up.
_MAX_TICK_SHARE = 1.5
# A deadline is extended to this multiple at most, so that an instance that is
# held up for good gives up as well.
_MAX_EXTENSION = 6.0
# Lateness within this time is logged once, if it exceeds the limit.
_LOG_INTERVAL_SECONDS = 1.0
_LOGGED_LATENESS_SECONDS = 0.3

_log = structlog.get_logger('cowsliprack.running_time')


@dataclass(slots=True)
class RunningTime:
    """Task that measures the lateness of the event loop while deadlines run.

    While the task does not run, deadlines are those of the clock.

    :param clock: seconds; must not advance during suspension.
    :param late_seconds: total time for which the loop was held up.
    """

    clock: Callable[[], float] = time.monotonic
    late_seconds: float = 0
    _left_by_scope: dict[anyio.CancelScope, float] = field(default_factory=dict)
    _is_measuring: bool = False
    _begun: anyio.Event = field(default_factory=anyio.Event)
    _logged_at: float = 0
    _logged_seconds: float = 0

    async def run(self) -> None:
        """Measure until cancelled."""
        self._is_measuring = True
        try:
            while True:
                if not self._left_by_scope:
                    self._begun = anyio.Event()
                    await self._begun.wait()
                began_at = self.clock()
                await anyio.sleep(_TICK_SECONDS)
                self._count(self.clock() - began_at)
        finally:
            self._is_measuring = False

    @contextmanager
    def fail_after(self, seconds: float) -> Iterator[None]:
        """Cancel the block once the loop has run for some time.

        :param seconds: running time.
        :raises TimeoutError: the block did not end in time.
        """
        if not self._is_measuring:
            with anyio.fail_after(seconds):
                yield
            return
        latest = anyio.current_time() + seconds * _MAX_EXTENSION
        scope = anyio.CancelScope(deadline=latest)
        self._left_by_scope[scope] = seconds
        self._begun.set()
        try:
            with scope:
                yield
        finally:
            self._left_by_scope.pop(scope, None)
        if scope.cancelled_caught:
            raise TimeoutError

    def _count(self, elapsed: float) -> None:
        counted = min(elapsed, _TICK_SECONDS * _MAX_TICK_SHARE)
        self.late_seconds += elapsed - counted
        self._log_lateness()
        for scope, left in list(self._left_by_scope.items()):
            self._left_by_scope[scope] = left - counted
            if left <= counted:
                scope.cancel()

    def _log_lateness(self) -> None:
        now = self.clock()
        if now - self._logged_at < _LOG_INTERVAL_SECONDS:
            return
        late = self.late_seconds - self._logged_seconds
        self._logged_at = now
        self._logged_seconds = self.late_seconds
        if late > _LOGGED_LATENESS_SECONDS:
            _log.warning('loop_late', seconds=round(late, 3))
