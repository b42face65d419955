"""Crowds of callers that stall or do not read, on raw sockets."""

import contextlib
import re
import selectors
import socket
import time
from dataclasses import dataclass
from pathlib import Path

from tests.support.gateway_cluster import HOST, KEY, request

# A crowd has sent what it can if no socket takes bytes for this time.
_BLOCKED_SECONDS = 3.0
# Limit for a process that reads on very slowly.
_SENDING_SECONDS = 40.0
_ANSWER_SECONDS = 30.0
# A process has settled if it sleeps in so many samples in a row.
_SLEEPING_SAMPLES = 10
_SAMPLE_SECONDS = 0.05
_SETTLING_SECONDS = 60.0
_PAUSE_SECONDS = 0.2


@dataclass(eq=False)
class _Caller:
    connection: socket.socket
    payload: memoryview
    sent: int = 0


def head(path, number, *lines):
    """Return the head of a request.

    :param path: of a route.
    :param number: makes the id of the request unique.
    :param lines: further header lines.
    """
    fixed = (
        f'POST {path} HTTP/1.1',
        f'Host: {HOST}',
        f'X-Key: {KEY}',
        f'X-Attempt-Id: crowd-{number}',
        'X-Deadline-Ms: 7000',
        'X-Token-Count: 20,30',
    )
    return '\r\n'.join((*fixed, *lines, '', '')).encode()


@dataclass(frozen=True)
class Routes:
    """Requests that a process under test takes.

    :param ordinary: path that a target answers at once.
    :param waiting: path that is answered after the callers have given up.
    :param waiting_lines: header lines of those requests.
    """

    ordinary: str = '/order/1'
    waiting: str = '/report/1'
    waiting_lines: tuple[str, ...] = ('X-Model: m3',)

    def lengthy(self, number, size, sent):
        """Return a request with a body of a length, of which a part is sent."""
        body = b'x' * sent
        return head(self.ordinary, number, f'Content-Length: {size}') + body

    def whole(self, number, size, *further_lines):
        """Return a whole request that waits."""
        lines = (
            *self.waiting_lines,
            *further_lines,
            f'Content-Length: {size}',
        )
        return head(self.waiting, number, *lines) + b'x' * size

    def chunked(self, number, count, size):
        """Return a request with chunks of a size, without the last chunk."""
        chunk = b'%x\r\n%s\r\n' % (size, b'x' * size)
        lines = ('Transfer-Encoding: chunked',)
        return head(self.ordinary, number, *lines) + chunk * count

    def ahead(self, number, count, padding):
        """Return requests that are sent ahead, with a large header each.

        The first one waits, so that the others stay unread.
        """
        first = self.whole(number, 0)
        lines = (f'X-Padding: {"x" * padding}', 'Content-Length: 0')
        return first + head(self.ordinary, number, *lines) * count


class Crowd:
    """Connections to a gateway that stay open until ``leave``.

    :param port: of the gateway.
    """

    def __init__(self, port):
        self.port = port
        self.callers = []
        # Connections that were refused or closed by the gateway.
        self.closed = 0

    def send(self, payloads, piece=0):
        """Connect a caller for each payload and send as much as is taken.

        :param piece: bytes sent at a time, 0 for all.
        """
        selector = selectors.DefaultSelector()
        for payload in payloads:
            connection = socket.create_connection(
                ('127.0.0.1', self.port), _ANSWER_SECONDS
            )
            connection.setblocking(False)
            caller = _Caller(connection, memoryview(payload))
            self.callers.append(caller)
            if payload:
                selector.register(connection, selectors.EVENT_WRITE, caller)
        now = time.monotonic()
        end = now + _SENDING_SECONDS
        blocked_at = now + _BLOCKED_SECONDS
        while selector.get_map() and now < min(end, blocked_at):
            for key, _ in selector.select(_PAUSE_SECONDS):
                if self._send_some(key.data, piece):
                    blocked_at = time.monotonic() + _BLOCKED_SECONDS
                else:
                    selector.unregister(key.fileobj)
            now = time.monotonic()
        selector.close()

    def _send_some(self, caller, piece):
        """Return whether more is to be sent."""
        end = caller.sent + piece if piece else len(caller.payload)
        try:
            caller.sent += caller.connection.send(
                caller.payload[caller.sent : end]
            )
        except BlockingIOError:
            return True
        except OSError:
            self.closed += 1
            return False
        return caller.sent < len(caller.payload)

    def leave(self):
        """Close all connections."""
        for caller in self.callers:
            with contextlib.suppress(OSError):
                caller.connection.close()
        self.callers.clear()


def peak_mb(process):
    """Return the largest resident memory that a process has had, MB."""
    return _status(process, 'VmHWM')


def resident_mb(process):
    """Return the resident memory of a process, MB."""
    return _status(process, 'VmRSS')


def _status(process, name):
    assert process.poll() is None, f'the process has ended: {process.poll()}'
    text = Path(f'/proc/{process.pid}/status').read_text()
    return int(re.search(rf'{name}:\s+(\d+) kB', text)[1]) * 1024 / 1e6


def wait_settled(process):
    """Wait until a process has handled what has arrived.

    A process that still has work is running or runnable whenever it is looked
    at, however loaded the machine is.
    """
    end = time.monotonic() + _SETTLING_SECONDS
    sleeping = 0
    while sleeping < _SLEEPING_SAMPLES and time.monotonic() < end:
        assert process.poll() is None, f'it has ended: {process.poll()}'
        text = Path(f'/proc/{process.pid}/stat').read_text()
        state = text.rpartition(')')[2].split()[0]
        sleeping = sleeping + 1 if state == 'S' else 0
        time.sleep(_SAMPLE_SECONDS)


def open_descriptors(process):
    """Return the number of open descriptors of a process."""
    return len(list(Path(f'/proc/{process.pid}/fd').iterdir()))


def is_served(port, path):
    """Return whether an ordinary request is answered.

    Its caller comes back while it is refused or its connection is closed.
    """
    headers = {
        'X-Key': KEY,
        'X-Deadline-Ms': '7000',
        'X-Token-Count': '20,30',
    }
    end = time.monotonic() + _ANSWER_SECONDS
    number = 0
    while time.monotonic() < end:
        number += 1
        headers['X-Attempt-Id'] = f'ordinary-{time.monotonic()}-{number}'
        with contextlib.suppress(OSError):
            status, _, _ = request(port, 'POST', path, headers.items(), b'pay')
            if status == 200:
                return True
            assert status in {429, 503}, status
        time.sleep(_PAUSE_SECONDS)
    return False
