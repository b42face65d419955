"""Reads of response bodies that a faulty target may never end."""

import httpx

# Answers that are not streams are buffered, so that a truncated one is never
# relayed; a larger one fails.
MAX_ANSWER_BYTES = 8_000_000
# A report lists some dozens of models, adapters and running requests.
MAX_REPORT_BYTES = 1_000_000


async def read_body(response: httpx.Response, max_bytes: int) -> bytes:
    """Return the whole body of a response that was opened as a stream.

    :param response: response whose body has not been read.
    :param max_bytes: largest body that is accepted.
    :raises httpx.RemoteProtocolError: the body is larger.
    :raises httpx.ReadError: the response ended early.
    """
    buffered = bytearray()
    async for chunk in response.aiter_raw():
        buffered.extend(chunk)
        if len(buffered) > max_bytes:
            raise httpx.RemoteProtocolError(
                f'the body is larger than {max_bytes} bytes'
            )
    return bytes(buffered)
