"""Distinguishes a process that ended from a host that does not answer."""

import anyio

_CONNECT_TIMEOUT_SECONDS = 1.0


async def is_connection_refused(host: str, port: int) -> bool:
    """Return whether a host refuses connections to a port.

    A refusal proves that no process listens there; a timeout or an unreachable
    network does not.

    :param host: IP address.
    :param port: TCP port.
    """
    try:
        with anyio.fail_after(_CONNECT_TIMEOUT_SECONDS):
            stream = await anyio.connect_tcp(host, port)
    except OSError as failure:
        # anyio stores the error of a single address as the cause.
        causes = (failure, failure.__cause__)
        return any(
            isinstance(cause, ConnectionRefusedError) for cause in causes
        )
    await stream.aclose()
    return False
