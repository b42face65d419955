"""Cuts the connections of single processes to the ports of stand-ins."""

import contextlib
import os
import socket
import struct
from pathlib import Path

from anyio.abc import SocketAttribute

# Linger option that resets a connection when it is closed.
_RESET = struct.pack('ii', 1, 0)


class Cut:
    """Which process is cut off from the targets, and how it shows.

    :ivar pid: of the process; 0 for none.
    :ivar mode: ``hang`` (nothing gets through any more), ``reset``, or ``live
        on`` (only new connections are reset).
    """

    def __init__(self):
        self.pid = 0
        self.mode = ''
        self._open = set()
        self._cut = set()

    def begin(self, pid, mode):
        """Cut a process off."""
        self.pid, self.mode = pid, mode
        self._cut = set(filter(self._is_of_process, self._open))
        if mode == 'reset':
            for stream in self._cut:
                reset(stream)

    def end(self):
        """Let new connections through; those that were cut still hang."""
        self.pid = 0

    def refuses(self, stream):
        """Return whether to reset a new connection."""
        self._open.add(stream)
        if not self.pid or not self._is_of_process(stream):
            return False
        self._cut.add(stream)
        return self.mode != 'hang'

    def hangs(self, stream):
        """Return whether bytes of a connection are dropped."""
        return self.mode == 'hang' and stream in self._cut

    def forget(self, stream):
        """Forget a closed connection."""
        self._open.discard(stream)
        self._cut.discard(stream)

    def _is_of_process(self, stream):
        port = stream.extra(SocketAttribute.remote_port)  # noqa: S610
        return owns(self.pid, port)


def reset(stream):
    """Close a stream with a reset."""
    raw = stream.extra(SocketAttribute.raw_socket)  # noqa: S610
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    # The other side may have closed the connection.
    with contextlib.suppress(OSError):
        raw.shutdown(socket.SHUT_RD)


def owns(pid, port):
    """Return whether a process has a local TCP port open."""
    return f'socket:[{_inode(port)}]' in _links(pid)


def _inode(port):
    needle = f'0100007F:{port:04X}'
    for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        columns = line.split()
        # Closed connections in TIME_WAIT have no inode.
        if columns[1] == needle and columns[9] != '0':
            return columns[9]
    return ''


def _links(pid):
    folder = f'/proc/{pid}/fd'
    try:
        names = os.listdir(folder)
    except FileNotFoundError:
        # The process has ended, and with it its connections.
        return
    for name in names:
        try:
            yield os.readlink(f'{folder}/{name}')
        except FileNotFoundError:
            continue
