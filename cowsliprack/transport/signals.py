"""Signal handling of a gateway process."""

import signal

import anyio
import structlog

_log = structlog.get_logger('cowsliprack.gateway')


async def wait_for_stop() -> None:
    """Return on SIGTERM or SIGINT.

    SIGHUP announces a changed settings file. Its addresses and limits apply
    only at the start of a process, so the signal is only logged.
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
