"""Reads of response bodies that a faulty target may never end."""

from collections.abc import AsyncIterator, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from operator import attrgetter

import anyio
import httpx

# Answers that are not streams are buffered, so that a truncated one is never
# relayed; a larger one fails.
MAX_ANSWER_BYTES = 8_000_000
# A report lists some dozens of models, adapters and running requests.
MAX_REPORT_BYTES = 1_000_000
# Unfinished answers of all requests of an instance together, where the memory
# of the machine does not say otherwise.
_MAX_UNFINISHED_BYTES = 60_000_000


@dataclass(slots=True, eq=False)
class AnswerReader:
    """An answer that is being read.

    :param kept_bytes: bytes that have been read and are kept.
    :param is_given_up: whether no more of it may be kept.
    :param scope: cancelled when the answer is given up.
    """

    kept_bytes: int = 0
    is_given_up: bool = False
    scope: anyio.CancelScope = field(default_factory=anyio.CancelScope)


@dataclass(slots=True)
class AnswerMemory:
    """Bounds the bytes of all unfinished answers of an instance.

    Above the bound the largest answer is given up, as an answer that never ends
    becomes the largest one.

    :param max_bytes: bound of the sum.
    :param kept_bytes: the sum.
    """

    max_bytes: int = _MAX_UNFINISHED_BYTES
    kept_bytes: int = 0
    _readers: set[AnswerReader] = field(default_factory=set)

    @contextmanager
    def reading(self) -> Iterator[AnswerReader]:
        """Count an answer until the block ends.

        :raises httpx.RemoteProtocolError: the answer was given up.
        """
        reader = AnswerReader()
        self._readers.add(reader)
        try:
            yield reader
        finally:
            self._forget(reader)
        if reader.is_given_up:
            raise _given_up()

    def keep(self, reader: AnswerReader, kept_bytes: int) -> None:
        """Record how much of an answer is kept.

        :param reader: of the answer.
        :param kept_bytes: number of bytes.
        :raises httpx.RemoteProtocolError: the answer was given up.
        """
        if not reader.is_given_up:
            self.kept_bytes += kept_bytes - reader.kept_bytes
            reader.kept_bytes = kept_bytes
        while self.kept_bytes > self.max_bytes:
            largest = max(self._readers, key=attrgetter('kept_bytes'))
            self._forget(largest)
            largest.is_given_up = True
            largest.scope.cancel()
        if reader.is_given_up:
            raise _given_up()

    def _forget(self, reader: AnswerReader) -> None:
        self._readers.discard(reader)
        self.kept_bytes -= reader.kept_bytes
        reader.kept_bytes = 0


def _given_up() -> httpx.RemoteProtocolError:
    return httpx.RemoteProtocolError(
        'the largest of too many bytes of unfinished answers'
    )


async def read_body(
    response: httpx.Response,
    max_bytes: int,
    answers: AnswerMemory | None = None,
) -> bytes:
    """Return the whole body of a response that was opened as a stream.

    :param response: response whose body has not been read.
    :param max_bytes: largest body that is accepted.
    :param answers: all unfinished answers, if this is one of them.
    :raises httpx.RemoteProtocolError: the body is larger, or was given up.
    :raises httpx.ReadError: the response ended early.
    """
    return await read_chunks(
        response.aiter_raw(), max_bytes, answers or AnswerMemory()
    )


async def read_chunks(
    chunks: AsyncIterator[bytes], max_bytes: int, answers: AnswerMemory
) -> bytes:
    """Return a whole body; see ``read_body``.

    :param chunks: of the body.
    :param max_bytes: largest body that is accepted.
    :param answers: all unfinished answers.
    :raises httpx.RemoteProtocolError: as in ``read_body``.
    :raises httpx.ReadError: as in ``read_body``.
    """
    buffered = bytearray()
    with answers.reading() as reader, reader.scope:
        async for chunk in chunks:
            buffered.extend(chunk)
            if len(buffered) > max_bytes:
                raise httpx.RemoteProtocolError(
                    f'the body is larger than {max_bytes} bytes'
                )
            answers.keep(reader, len(buffered))
    return bytes(buffered)
