"""Log configuration and the log line of routing and placement decisions."""

import logging
import os
import sys
from dataclasses import dataclass
from typing import Any, TextIO

import msgspec
import structlog
from structlog.tracebacks import ExceptionDictTransformer

decision_log = structlog.get_logger('cowsliprack.decision')


# PIPE_BUF: writes to a pipe up to this size are atomic; longer lines are
# truncated.
_MAX_LINE_BYTES = 4096


@dataclass(slots=True)
class LineWriter:
    """Writes lines without blocking on the reader of a pipe.

    :param descriptor: file descriptor of the pipe or file.
    :param dropped: number of dropped lines that are not reported yet.
    """

    descriptor: int
    dropped: int = 0

    def write_line(self, line: bytes) -> None:
        """Write a line, or drop it if the pipe is full or closed.

        :param line: line without a line break.
        """
        if self.dropped:
            notice = b'{"event": "log_lines_dropped", "lines": %d}'
            if self._write(notice % self.dropped):
                self.dropped = 0
        if not self._write(line[: _MAX_LINE_BYTES - 1]):
            self.dropped += 1

    def _write(self, line: bytes) -> bool:
        try:
            os.write(self.descriptor, b'%s\n' % line)
        except (BlockingIOError, BrokenPipeError):
            return False
        return True


class LineLogger:
    """structlog logger that writes to a ``LineWriter``."""

    def __init__(self, writer: LineWriter) -> None:
        """Store the writer.

        :param writer: writer shared by all loggers.
        """
        self._writer = writer

    def msg(self, line: bytes) -> None:
        """Write a rendered line.

        :param line: line without a line break.
        """
        self._writer.write_line(line)

    debug = msg
    info = msg
    warning = msg
    error = msg
    critical = msg
    exception = msg


def _render_json(entry: Any, **_options: Any) -> bytes:
    return msgspec.json.encode(entry, enc_hook=repr)


def configure_logs(level: str = 'info', stream: TextIO = sys.stdout) -> None:
    """Configure structlog to write JSON lines without blocking.

    :param level: minimum level of log lines.
    :param stream: stream to write to.
    """
    os.set_blocking(stream.fileno(), False)
    writer = LineWriter(stream.fileno())
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', utc=True),
            structlog.processors.ExceptionRenderer(
                # Local variables may contain a caller's key.
                ExceptionDictTransformer(show_locals=False),
            ),
            structlog.processors.JSONRenderer(serializer=_render_json),
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
    """Write the log line of a decision.

    :param decision: ``routing``, ``placement``, ``admission`` or ``retry``.
    :param choice: selected option.
    :param reason: short stable phrase that explains the choice.
    :param inputs: inputs of the decision.
    """
    decision_log.info(
        'decision',
        decision=decision,
        choice=choice,
        reason=reason,
        **inputs,
    )
