"""Log set-up and the line for routing and placement decisions."""

import logging
import os
import sys
from dataclasses import dataclass
from typing import Any, TextIO

import msgspec
import structlog
from structlog.tracebacks import ExceptionDictTransformer

decision_log = structlog.get_logger('cowsliprack.decision')


# A write of this size to a pipe is done as a whole or not at all (POSIX calls
# it PIPE_BUF); a longer line is cut.
_LONGEST_LINE = 4096


@dataclass(slots=True)
class LineWriter:
    """Writes lines without ever waiting for the reader of a pipe.

    :param descriptor: of the pipe or file.
    :param dropped: lines that the reader was too slow for.
    """

    descriptor: int
    dropped: int = 0

    def write_line(self, line: bytes) -> None:
        """Write a line, or drop it when the pipe is full.

        :param line: without its end.
        """
        if self.dropped:
            note = b'{"event": "log_lines_dropped", "lines": %d}'
            if self._write(note % self.dropped):
                self.dropped = 0
        if not self._write(line[: _LONGEST_LINE - 1]):
            self.dropped += 1

    def _write(self, line: bytes) -> bool:
        try:
            os.write(self.descriptor, b'%s\n' % line)
        except (BlockingIOError, BrokenPipeError):
            return False
        return True


class LineLogger:
    """Logger of structlog over a ``LineWriter``."""

    def __init__(self, writer: LineWriter) -> None:
        """Write to a writer.

        :param writer: shared by all loggers.
        """
        self._writer = writer

    def msg(self, line: bytes) -> None:
        """Write a rendered line.

        :param line: without its end.
        """
        self._writer.write_line(line)

    debug = msg
    info = msg
    warning = msg
    error = msg
    critical = msg
    exception = msg


def _render(line: Any, **_options: Any) -> bytes:
    return msgspec.json.encode(line, enc_hook=repr)


def configure_logs(level: str = 'info', stream: TextIO = sys.stdout) -> None:
    """Write log lines as JSON; never wait for their reader.

    :param level: name of the lowest level that is written.
    :param stream: where to write.
    """
    os.set_blocking(stream.fileno(), False)
    writer = LineWriter(stream.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.ExceptionRenderer(
                # Local variables may hold a caller's key.
                ExceptionDictTransformer(show_locals=False),
            ),
            structlog.processors.JSONRenderer(serializer=_render),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()],
        ),
        logger_factory=lambda *_: LineLogger(writer),
        cache_logger_on_first_use=True,
    )


def log_decision(
    decision: str,
    choice: object,
    reason: str,
    **inputs: object,
) -> None:
    """Write the one log line of a routing or placement decision.

    :param decision: ``routing``, ``placement``, ``admission`` or ``retry``.
    :param choice: what was chosen.
    :param reason: why, as a short stable phrase.
    :param inputs: the inputs that decided.
    """
    decision_log.info(
        'decision',
        decision=decision,
        choice=choice,
        reason=reason,
        **inputs,
    )
