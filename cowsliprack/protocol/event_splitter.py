"""Splits an event stream into whole events without changing its bytes."""

import re
from dataclasses import dataclass, field

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
_ID_LINE_START = b'\nid:'
# Longer numbers are not compared: they do not fit 64 bits.
_NUMBER = re.compile(r'[0-9]{1,18}')
_NUMBER_LINE = re.compile(rb'^id: ?([0-9]{1,18})\r?$', re.MULTILINE)


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


def disordered_id(events: bytes, last_event_id: str) -> int | None:
    """Return the first id that is not above the one before it.

    Ids that are not numbers are not compared.

    :param events: whole events.
    :param last_event_id: id of the event before them; empty if there is none.
    :returns: ``None`` if all are in order.
    """
    last = int(last_event_id) if _NUMBER.fullmatch(last_event_id) else None
    for text in _NUMBER_LINE.findall(events):
        number = int(text)
        if last is not None and number <= last:
            return number
        last = number
    return None
