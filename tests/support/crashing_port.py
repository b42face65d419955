"""Port of a stand-in that crashes: connections end, new ones are refused."""

import contextlib

import anyio

_READ_BYTES = 65536


async def serve_crashing_port(listener, port, crashed):
    """Pass connections on to a port until a crash, then end them all.

    :param listener: anyio listener; closed at the crash.
    :param port: port of the server on the same host.
    :param crashed: event that is set at the crash.
    """

    async def handle(stream):
        server = await anyio.connect_tcp('127.0.0.1', port)
        async with stream, server, anyio.create_task_group() as tasks:
            tasks.start_soon(_copy, stream, server, tasks.cancel_scope)
            tasks.start_soon(_copy, server, stream, tasks.cancel_scope)

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


async def _copy(source, sink, scope):
    try:
        while True:
            await sink.send(await source.receive(_READ_BYTES))
    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
        scope.cancel()
