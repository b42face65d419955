"""Cuts the connections of single processes to the ports of stand-ins."""

import os
import socket
import struct
from pathlib import Path

from anyio.abc import SocketAttribute

# Linger option that resets a connection when it is closed.
_RESET = struct.pack('ii', 1, 0)


class Cut:
    """Which process is cut off from the targets, and how it shows.

    :ivar pids: returns the processes that may be cut off.
    :ivar pid: of the process; 0 for none.
    :ivar mode: ``hang`` (nothing gets through any more), ``reset``, or ``live
        on`` (only new connections are reset).
    """

    def __init__(self, pids):
        self.pids = pids
        self.pid = 0
        self.mode = ''
        self._streams = {}

    def begin(self, pid, mode):
        """Cut a process off."""
        self.pid, self.mode = pid, mode
        if mode == 'reset':
            for stream in [
                stream
                for stream, owner in self._streams.items()
                if owner == pid
            ]:
                reset(stream)

    def heal(self):
        """Let all processes connect again."""
        self.pid = 0

    def refuses(self, stream):
        """Return whether to reset a new connection."""
        owner = self._owner(stream)
        self._streams[stream] = owner
        return owner == self.pid and self.mode != 'hang'

    def hangs(self, stream):
        """Return whether bytes of a connection are dropped."""
        is_cut = bool(self.pid) and self._streams.get(stream) == self.pid
        return is_cut and self.mode == 'hang'

    def forget(self, stream):
        """Forget a closed connection."""
        self._streams.pop(stream, None)

    def _owner(self, stream):
        """Return the process that opened a connection."""
        port = stream.extra(SocketAttribute.remote_port)  # noqa: S610
        return owner_of(port, self.pids())


def reset(stream):
    """Close a stream with a reset."""
    raw = stream.extra(SocketAttribute.raw_socket)  # noqa: S610
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    raw.shutdown(socket.SHUT_RD)


def owner_of(port, pids):
    """Return which of some processes has a local TCP port open; 0 for none."""
    inode = _inode(port)
    for pid in pids:
        for link in _links(pid):
            if link == f'socket:[{inode}]':
                return pid
    return 0


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
    for name in os.listdir(folder):
        try:
            yield os.readlink(f'{folder}/{name}')
        except FileNotFoundError:
            continue
