"""Splits an event stream into whole events without changing its bytes."""

from dataclasses import dataclass, field

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
_ID_LINE_START = b'\nid:'


@dataclass(slots=True)
class EventSplitter:
    """Splits a stream into whole events.

    :param last_event_id: id of the latest event with one that the caller has;
        empty before the first.
    :param buffer: bytes of the incomplete event at the end of the stream.
    """

    last_event_id: str = ''
    buffer: bytearray = field(default_factory=bytearray)

    def feed(self, received: bytes) -> bytes:
        """Return the bytes of the events that became complete.

        :param received: next bytes of the stream.
        """
        self.buffer += received
        end = self.buffer.rfind(_EVENT_END)
        if end < 0:
            return b''
        end += len(_EVENT_END)
        events = bytes(self.buffer[:end])
        del self.buffer[:end]
        return events

    def record_written(self, events: bytes) -> None:
        """Record that the caller has got whole events.

        Until then another target has to send them again.

        :param events: that ``feed`` has returned.
        """
        start = events.rfind(_ID_LINE_START)
        if start >= 0:
            start += 1
        elif events.startswith(_ID_FIELD):
            start = 0
        else:
            return
        line, _, _ = events[start:].partition(b'\n')
        self.last_event_id = line[len(_ID_FIELD) :].strip().decode('latin-1')
