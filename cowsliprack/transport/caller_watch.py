"""Reports what is dropped of callers, and returns freed memory."""

import ctypes
from dataclasses import dataclass

import anyio
import structlog

from cowsliprack.coordination.caller_memory import CallerMemory, caller_limits
from cowsliprack.metrics import CallerMetrics, Metrics
from cowsliprack.transport.bounded_body import AnswerMemory
from cowsliprack.transport.http_listener import (
    Application,
    ListenerLimits,
    serve_addresses,
)

# Memory is returned once this much has been held and little of it is left.
_MIN_RETURNED_BYTES = 4_000_000
_LEFT_SHARE = 0.25

_log = structlog.get_logger('cowsliprack.callers')


@dataclass(slots=True)
class CallerWatch:
    """Looks at the account of an instance's callers every second.

    :param memory: account of the bytes that are held for callers.
    :param limits: of the listeners.
    :param answers: unfinished answers of targets.
    :param logged: drops that were logged.
    :param peak_bytes: most that was held since memory was last returned.
    """

    memory: CallerMemory
    limits: ListenerLimits
    answers: AnswerMemory
    metrics: CallerMetrics
    logged: int = 0
    peak_bytes: int = 0

    async def serve(
        self,
        application: Application,
        addresses: list[str],
        stopped: anyio.Event,
        graceful_timeout_seconds: float,
    ) -> None:
        """Serve callers within the bounds, see ``serve_addresses``.

        :param application: ASGI application that handles the requests.
        :param addresses: each ``ip:port``.
        :param stopped: when set, idle connections are closed.
        :param graceful_timeout_seconds: for running requests after the stop.
        """
        await serve_addresses(
            application,
            addresses,
            stopped,
            graceful_timeout_seconds,
            self.limits,
        )

    def look(self, _now: float) -> None:
        """Log new drops in one line, and return memory after a crowd."""
        dropped = self._count_by_reason()
        count = sum(dropped.values())
        if count > self.logged:
            _log.warning(
                'callers_dropped',
                new=count - self.logged,
                by_reason=dropped,
                dropped_bytes=self.memory.dropped_bytes,
                held_bytes=self.memory.held_bytes,
                max_bytes=self.memory.max_bytes,
                connections=self.limits.opened,
                max_connections=self.limits.max_connections,
            )
            self.logged = count
        self._return_memory()

    def update_metrics(self) -> None:
        """Set the metrics of the account."""
        self.metrics.held_bytes.set({}, self.memory.held_bytes)
        self.metrics.connections.set({}, self.limits.opened)
        for reason, count in self._count_by_reason().items():
            self.metrics.dropped.set({'reason': reason}, count)

    def _count_by_reason(self) -> dict[str, int]:
        dropped = self.memory.dropped.items()
        return {
            **{reason.value: count for reason, count in dropped},
            'connections': self.limits.closed_connections,
        }

    def _return_memory(self) -> None:
        self.peak_bytes = max(self.peak_bytes, self.memory.peak_bytes)
        self.memory.peak_bytes = self.memory.held_bytes
        is_over = self.memory.held_bytes < self.peak_bytes * _LEFT_SHARE
        if is_over and self.peak_bytes >= _MIN_RETURNED_BYTES:
            self.peak_bytes = 0
            _trim()


def watch_callers(
    memory_mb: float, max_descriptors: int, metrics: Metrics
) -> CallerWatch:
    """Return the account of an instance's callers with its bounds.

    :param memory_mb: memory of the machine, MB.
    :param max_descriptors: file descriptors that the process may open.
    :param metrics: of the instance.
    """
    limits = caller_limits(memory_mb, max_descriptors)
    memory = CallerMemory(limits.held_bytes)
    listener_limits = ListenerLimits(memory, limits.connections)
    watch = CallerWatch(
        memory,
        listener_limits,
        AnswerMemory(limits.unfinished_bytes),
        CallerMetrics(metrics.registry),
    )
    listener_limits.swept = watch.look
    return watch


def _trim() -> None:
    """Return free pages of the heap to the system, where the library can."""
    library = ctypes.CDLL(None)
    trim = getattr(library, 'malloc_trim', None)
    if trim is not None:
        trim(0)
