"""Whole events of a target's event stream, as bytes to pass on unchanged."""

from dataclasses import dataclass, field

_END = b'\n\n'
_ID = b'id:'
_LINE_ID = b'\nid:'


@dataclass(slots=True)
class EventSplitter:
    """Splits a stream into whole events.

    :param last_event_id: of the last whole event that had one; empty before.
    :param buffer: bytes of an event that is not complete yet.
    """

    last_event_id: str = ''
    buffer: bytearray = field(default_factory=bytearray)

    def feed(self, received: bytes) -> bytes:
        """Return the bytes of the events that are complete now.

        :param received: next bytes of the stream.
        """
        self.buffer += received
        end = self.buffer.rfind(_END)
        if end < 0:
            return b''
        end += len(_END)
        whole = bytes(self.buffer[:end])
        del self.buffer[:end]
        self._note_id(whole)
        return whole

    def _note_id(self, whole: bytes) -> None:
        start = whole.rfind(_LINE_ID)
        if start >= 0:
            start += 1
        elif whole.startswith(_ID):
            start = 0
        else:
            return
        line, _, _ = whole[start:].partition(b'\n')
        self.last_event_id = line[len(_ID) :].strip().decode('latin-1')
