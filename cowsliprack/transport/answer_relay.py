"""Relays the answer of a target to the caller and detects truncation."""

import time
from dataclasses import dataclass, field

import msgspec

from cowsliprack.exceptions import Ran, TargetError
from cowsliprack.protocol.sse import (
    DONE_EVENT,
    EventStreamParser,
    StreamError,
    format_chunk,
)
from cowsliprack.transport.bounded_body import (
    MAX_ANSWER_BYTES,
    AnswerMemory,
    read_chunks,
)
from cowsliprack.transport.exchange import Exchange
from cowsliprack.transport.target_client import TargetResponse

_EVENT_STREAM = 'text/event-stream'
_OK = 200
# Answers with these statuses have no body.
_BODILESS_STATUSES = frozenset((204, 304))
# With these an engine may report that it did not run a request.
_REFUSAL_STATUSES = frozenset((409, 429, 503))
# Hop-by-hop headers and headers that this instance sets itself.
_DROPPED_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'keep-alive',
        'server',
        'transfer-encoding',
        'x-request-id',
    )
)


class NotRunError(Exception):
    """A target reported that it did not run the request."""


class _Refusal(msgspec.Struct):
    ran: bool = True
    error: str = ''


class _Usage(msgspec.Struct):
    completion_tokens: int = 0


class _Completion(msgspec.Struct):
    id: str = ''
    usage: _Usage = msgspec.field(default_factory=_Usage)


@dataclass(slots=True)
class AnswerRelay:
    """State of one answer over all attempts.

    :param answers: the unfinished answers of all requests.
    :param streams: the caller requested server-sent events.
    :param is_model: a model engine answers, which returns the request id.
    :param output_tokens: relayed or buffered so far.
    :param first_byte_at: ``time.monotonic`` when the answer started.
    """

    exchange: Exchange
    answers: AnswerMemory
    streams: bool
    is_model: bool = False
    complete: bool = False
    output_tokens: int = 0
    status: int = 0
    content_type: str = ''
    body: bytes = b''
    first_byte_at: float | None = None
    _headers: list[tuple[str, str]] = field(default_factory=list)
    _last_position: int | None = None

    def is_resumable(self) -> bool:
        """Return whether another target can continue the answer."""
        if not self.exchange.started:
            return True
        return self.streams and self._last_position is not None

    def resume_headers(self) -> list[tuple[str, str]]:
        """Return the headers that make a target resume the answer."""
        if self._last_position is None:
            return []
        return [('last-event-id', str(self._last_position))]

    async def relay(self, response: TargetResponse, request_id: str) -> None:
        """Relay one answer; set ``complete`` when all of it has arrived.

        :param response: of the target.
        :param request_id: expected in each chunk.
        :raises NotRunError: the target refused the request.
        :raises TargetError: the answer is malformed or incomplete.
        """
        content_type = _find_header(response, 'content-type')
        is_stream = content_type.startswith(_EVENT_STREAM)
        if self.streams and is_stream:
            await self._relay_events(response, request_id)
            return
        _require_framing(response, self.exchange.method)
        body = await read_chunks(
            response.chunks, MAX_ANSWER_BYTES, self.answers
        )
        _raise_if_refused(response, body)
        if self.exchange.started:
            raise TargetError(
                'the answer is not an event stream', Ran.may_have_run
            )
        self.status = response.status
        self.content_type = content_type
        self.body = body
        self._headers = _forwarded_headers(response)
        if self.is_model and response.status == _OK:
            self.output_tokens = _parse_output_tokens(body, request_id)
        self.complete = True

    async def finish(self) -> None:
        """Send the buffered answer or the end marker of the stream."""
        if self.exchange.started:
            await self.exchange.write(DONE_EVENT, more=False)
            return
        self.first_byte_at = time.monotonic()
        await self.exchange.start(
            self.status,
            [*self._headers, ('content-length', str(len(self.body)))],
        )
        await self.exchange.write(self.body, more=False)

    async def _relay_events(
        self,
        response: TargetResponse,
        request_id: str,
    ) -> None:
        parser = EventStreamParser(request_id, self._last_position)
        try:
            async for chunk in response.chunks:
                await self._forward_events(parser, chunk)
            parser.finish()
        except StreamError as error:
            raise TargetError(str(error), Ran.may_have_run) from error
        self.complete = True

    async def _forward_events(
        self,
        parser: EventStreamParser,
        chunk: bytes,
    ) -> None:
        for event in parser.feed(chunk):
            if event.failed:
                raise TargetError(
                    'the target ended the stream with an error',
                    Ran.may_have_run,
                )
            if not self.exchange.started:
                self.first_byte_at = time.monotonic()
                await self.exchange.start(
                    200,
                    [
                        ('content-type', _EVENT_STREAM),
                        ('cache-control', 'no-store'),
                    ],
                )
            await self.exchange.write(format_chunk(event.payload))
            self._last_position = event.position
            self.output_tokens = event.generated or self.output_tokens + 1


def _find_header(response: TargetResponse, name: str) -> str:
    for header, text in response.headers:
        if header.lower() == name:
            return text
    return ''


def _forwarded_headers(
    response: TargetResponse,
) -> list[tuple[str, str]]:
    return [
        (name, text)
        for name, text in response.headers
        if name.lower() not in _DROPPED_HEADERS
    ]


def _raise_if_refused(response: TargetResponse, body: bytes) -> None:
    """Raise when the target reports that it did not run the request."""
    if response.status not in _REFUSAL_STATUSES:
        return
    try:
        refusal = msgspec.json.decode(body, type=_Refusal)
    except msgspec.DecodeError:
        return
    if not refusal.ran:
        raise NotRunError(f'the target refused: {refusal.error}')


def _require_framing(response: TargetResponse, method: str) -> None:
    """Raise when a truncated answer could not be detected."""
    if method == 'HEAD' or response.status in _BODILESS_STATUSES:
        return
    is_framed = _find_header(response, 'content-length') or _find_header(
        response,
        'transfer-encoding',
    )
    if not is_framed:
        raise TargetError(
            'the answer has no length header, so it may be truncated',
            Ran.may_have_run,
        )


def _parse_output_tokens(body: bytes, request_id: str) -> int:
    """Return the number of output tokens in an engine's answer.

    :raises TargetError: it is malformed or belongs to another request.
    """
    try:
        completion = msgspec.json.decode(body, type=_Completion)
    except msgspec.DecodeError:
        raise TargetError(
            'the answer of the engine is malformed',
            Ran.may_have_run,
        ) from None
    if completion.id != request_id:
        raise TargetError(
            'the answer belongs to another request',
            Ran.may_have_run,
        )
    return completion.usage.completion_tokens
