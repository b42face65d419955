"""Port of a stand-in that crashes: connections end, new ones are refused."""

import contextlib

import anyio

from tests.support.cut_connections import reset

_READ_BYTES = 65536


async def serve_crashing_port(listener, port, crashed, cut):
    """Pass connections on to a port until a crash, then end them all.

    :param listener: anyio listener; closed at the crash.
    :param port: port of the server on the same host.
    :param crashed: event that is set at the crash.
    :param cut: which processes do not get through.
    """

    async def handle(stream):
        try:
            await pass_through(stream)
        finally:
            cut.forget(stream)

    async def pass_through(stream):
        if cut.refuses(stream):
            reset(stream)
            await anyio.aclose_forcefully(stream)
            return
        try:
            server = await anyio.connect_tcp('127.0.0.1', port)
        except OSError:
            # The server has ended, as at the end of a scenario.
            await anyio.aclose_forcefully(stream)
            return

        def hangs():
            return cut.hangs(stream)

        async with stream, server, anyio.create_task_group() as tasks:
            for ends in ((stream, server), (server, stream)):
                tasks.start_soon(_copy, *ends, tasks.cancel_scope, hangs)

    async def accept():
        with contextlib.suppress(anyio.ClosedResourceError):
            while True:
                tasks.start_soon(handle, await listener.accept())

    async with listener, anyio.create_task_group() as tasks:
        tasks.start_soon(accept)
        await crashed.wait()
        # As when a process ends, no connection is accepted after the first one
        # has been closed.
        await listener.aclose()
        tasks.cancel_scope.cancel()


async def _copy(source, sink, scope, hangs):
    try:
        while True:
            received = await source.receive(_READ_BYTES)
            if not hangs():
                await sink.send(received)
    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
        scope.cancel()
