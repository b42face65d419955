"""Signals that a process takes."""

import signal

import anyio
import structlog

_log = structlog.get_logger('cowsliprack.gateway')


async def wait_for_stop() -> None:
    """Return when the process is told to stop.

    SIGHUP says that the settings file has changed; the addresses and bounds
    in it hold for the life of a process, so the signal is only noted.
    """
    with anyio.open_signal_receiver(
        signal.SIGTERM,
        signal.SIGINT,
        signal.SIGHUP,
    ) as received:
        async for number in received:
            _log.info('signal_received', signal=signal.Signals(number).name)
            if number != signal.SIGHUP:
                return
