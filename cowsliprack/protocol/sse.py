"""Server-sent events: formatting for callers, strict parsing for targets."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from cowsliprack.exceptions import CowsliprackError, ServingError

DONE_DATA = b'[DONE]'
DONE_EVENT = b'data: [DONE]\n\n'
# A longer event is an error; limits the buffer of one stream.
MAX_EVENT_BYTES = 1_000_000


class StreamError(CowsliprackError):
    """A target's event stream is malformed or is not the expected one."""


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Chunk(msgspec.Struct):
    id: str | None = None
    usage: _Usage | None = None
    error: Any = None


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a target's stream.

    :param payload: JSON object in the ``data`` field, as received.
    :param position: number in the ``id`` field; ``None`` without one.
    :param failed: whether the event contains an error of the target.
    :param generated: number of output tokens so far; ``None`` if the event
        does not state it.
    """

    payload: bytes
    position: int | None = None
    failed: bool = False
    generated: int | None = None


def format_chunk(payload: bytes) -> bytes:
    """Format an event for the caller.

    :param payload: JSON without line breaks.
    """
    return b''.join((b'data: ', payload, b'\n\n'))


def error_body(error: ServingError) -> dict[str, Mapping[str, object]]:
    """Return the error object for a response body or a stream.

    :param error: error that ended the request.
    """
    return {
        'error': {
            'kind': error.kind.value,
            'message': error.detail,
            'ran': error.ran.value,
            'retry_after': error.retry_after,
        },
    }


def format_error(error: ServingError) -> bytes:
    """Format the event that ends an incomplete stream.

    No end marker follows, so a caller cannot mistake the stream for a complete
    one.

    :param error: error that ended the stream.
    """
    return format_chunk(msgspec.json.encode(error_body(error)))


class EventStreamParser:
    """Incremental parser of one target's event stream for one request.

    The stream is complete only if the end marker is its last event. Numbered
    events are checked for gaps, and repeated ones are dropped.
    """

    def __init__(
        self,
        expected_id: str | None = None,
        position: int | None = None,
    ) -> None:
        """Create a parser for a new or resumed stream.

        :param expected_id: id that every chunk must have; by default, the id
            of the first chunk.
        :param position: number of the last event already relayed, if the
            stream is resumed.
        """
        self.complete = False
        self.position = position
        self._expected_id = expected_id
        self._buffer = b''
        self._error: StreamError | None = None
        self._data_lines: list[bytes] = []
        self._event_id: bytes | None = None

    def feed(self, received: bytes) -> list[StreamEvent]:
        """Return the events that became complete.

        Events before an error are returned, and the next call raises the
        error, so ``position`` never includes an event that was not returned.

        :param received: next bytes of the response body.
        :raises StreamError: the stream is malformed, belongs to another
            request, has a gap, or continues after its end marker.
        """
        self._raise_error()
        lines = (self._buffer + received).split(b'\n')
        self._buffer = lines.pop()
        events: list[StreamEvent] = []
        try:
            self._process_lines(lines, events)
        except StreamError as error:
            self._error = error
        if not events:
            self._raise_error()
        return events

    def finish(self) -> None:
        """Check the stream after its last byte.

        :raises StreamError: the end marker is missing or not the last event.
        """
        self._raise_error()
        if not self.complete:
            raise StreamError('the stream ended without its end marker')
        if self._buffer or self._data_lines:
            raise StreamError('the stream continues after its end marker')

    def _raise_error(self) -> None:
        if self._error is not None:
            raise self._error

    def _process_lines(
        self,
        lines: list[bytes],
        events: list[StreamEvent],
    ) -> None:
        for line in lines:
            event = self._process_line(line.removesuffix(b'\r'))
            if event is not None:
                events.append(event)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise StreamError('an event of the target is too long')

    def _process_line(self, line: bytes) -> StreamEvent | None:
        if not line:
            return self._complete_event()
        name, _, text = line.partition(b':')
        if not name:
            # A comment, which targets send to keep the connection open.
            return None
        if self.complete:
            raise StreamError('the stream continues after its end marker')
        text = text.removeprefix(b' ')
        if name == b'data':
            self._append_data(text)
        elif name == b'id':
            self._event_id = text
        elif name not in {b'event', b'retry'}:
            raise StreamError('the target sent an unknown event field')
        return None

    def _append_data(self, text: bytes) -> None:
        self._data_lines.append(text)
        if sum(map(len, self._data_lines)) > MAX_EVENT_BYTES:
            raise StreamError('an event of the target is too long')

    def _complete_event(self) -> StreamEvent | None:
        if not self._data_lines:
            self._event_id = None
            return None
        payload = b'\n'.join(self._data_lines)
        event_id = self._event_id
        self._data_lines = []
        self._event_id = None
        if payload == DONE_DATA:
            self.complete = True
            return None
        chunk = self._decode(payload)
        if event_id is not None and self._is_repeated(event_id):
            return None
        return StreamEvent(
            payload.replace(b'\n', b' '),
            None if event_id is None else self.position,
            chunk.error is not None,
            chunk.usage.completion_tokens if chunk.usage else None,
        )

    def _decode(self, payload: bytes) -> _Chunk:
        try:
            chunk = msgspec.json.decode(payload, type=_Chunk)
        except (msgspec.DecodeError, UnicodeDecodeError):
            raise StreamError('the target sent a malformed chunk') from None
        if chunk.error is not None:
            return chunk
        if self._expected_id is None:
            self._expected_id = chunk.id
        elif chunk.id != self._expected_id:
            raise StreamError('the target sent a chunk of another request')
        return chunk

    def _is_repeated(self, event_id: bytes) -> bool:
        if not event_id.isdigit():
            raise StreamError(
                'the target sent an event id that is not a number'
            )
        number = int(event_id)
        # Targets number their events from 0 or from 1.
        last = min(number, 1) - 1 if self.position is None else self.position
        if number > last + 1:
            raise StreamError('events of the target are missing')
        if number <= last:
            return True
        self.position = number
        return False
