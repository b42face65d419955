"""Cuts the connections of single processes to the ports of stand-ins."""

import contextlib
import errno
import os
import socket
import struct
from pathlib import Path

from anyio.abc import SocketAttribute

# Linger option that resets a connection when it is closed.
_RESET = struct.pack('ii', 1, 0)
# Constants and layout of linux/inet_diag.h and linux/netlink.h.
_SOCK_DIAG = 4
_BY_FAMILY = 20
_REQUEST = 1
_ALL = 0xFFFFFFFF
_NO_COOKIE = 0xFFFFFFFF
_HEADER = '=IHHII'
_HEADER_SIZE = struct.calcsize(_HEADER)
# The inode is the last field of struct inet_diag_msg.
_INODE_OFFSET = _HEADER_SIZE + 68


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
        # A connection that has ended has no port.
        port = stream.extra(SocketAttribute.remote_port, 0)  # noqa: S610
        server_port = stream.extra(SocketAttribute.local_port, 0)  # noqa: S610
        return owns(self.pid, port, server_port)


def reset(stream):
    """Close a stream with a reset."""
    raw = stream.extra(SocketAttribute.raw_socket)  # noqa: S610
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    # The other side may have closed the connection.
    with contextlib.suppress(OSError):
        raw.shutdown(socket.SHUT_RD)


def owns(pid, port, server_port):
    """Return whether a process has a connection on the loopback open.

    :param port: local port of the connection.
    :param server_port: port to which it is connected.
    """
    return f'socket:[{_inode(port, server_port)}]' in _links(pid)


def _inode(port, server_port):
    """Return the inode of a connection; 0 if it is not open.

    The kernel finds one connection by its ports at once. Where it does not
    offer that, /proc/net/tcp lists all, which takes milliseconds with thousands
    of closed ones.
    """
    try:
        return _diagnosed_inode(port, server_port)
    except OSError:
        return _listed_inode(port)


def _diagnosed_inode(port, server_port):
    loopback = socket.inet_aton('127.0.0.1') + bytes(12)
    request = (
        struct.pack('=BBBBI', socket.AF_INET, socket.IPPROTO_TCP, 0, 0, _ALL)
        + struct.pack('>HH', port, server_port)
        + 2 * loopback
        + struct.pack('=III', 0, _NO_COOKIE, _NO_COOKIE)
    )
    header = struct.pack(
        _HEADER, _HEADER_SIZE + len(request), _BY_FAMILY, _REQUEST, 0, 0
    )
    with socket.socket(
        socket.AF_NETLINK, socket.SOCK_RAW, _SOCK_DIAG
    ) as diagnosis:
        diagnosis.send(header + request)
        answer = diagnosis.recv(4096)
    if struct.unpack_from(_HEADER, answer)[1] == _BY_FAMILY:
        return struct.unpack_from('=I', answer, _INODE_OFFSET)[0]
    error = -struct.unpack_from('=i', answer, _HEADER_SIZE)[0]
    if error == errno.ENOENT:
        return 0
    raise OSError(error, 'no socket diagnosis')


def _listed_inode(port):
    needle = f'0100007F:{port:04X}'
    for line in Path('/proc/net/tcp').read_text().splitlines()[1:]:
        columns = line.split()
        # Closed connections in TIME_WAIT have no inode.
        if columns[1] == needle and columns[9] != '0':
            return int(columns[9])
    return 0


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
