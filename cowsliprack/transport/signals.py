"""Signal handling of a process."""

import signal

import anyio
import structlog
from anyio.abc import TaskStatus

_log = structlog.get_logger('cowsliprack.signals')


async def handle_signals(
    stop: anyio.Event,
    *,
    task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Handle the signals of this process until cancelled.

    It is cancelled when the process has stopped gracefully: by default, each of
    these signals ends a process, and one may come during the stop.

    SIGHUP announces a changed settings file. Its addresses and limits apply
    only at the start of a process, so the signal is only logged.

    :param stop: set on SIGTERM and SIGINT.
    :param task_status: reports that the signals are handled from now on.
    """
    with anyio.open_signal_receiver(
        signal.SIGTERM,
        signal.SIGINT,
        signal.SIGHUP,
    ) as received:
        task_status.started()
        async for number in received:
            _log.info('signal_received', signal=signal.Signals(number).name)
            if number != signal.SIGHUP:
                stop.set()


def ignore_hangup() -> None:
    """Ignore SIGHUP until the signals of this process are handled."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
