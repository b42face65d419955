"""Engine on a real socket that can stop reading and has a worst order."""

import json
import socket
import time

import anyio

_HEADERS_END = b'\r\n\r\n'
# A caller may send its next request before the engine reads another one.
_STEP_SECONDS = 0.02
_HOLDS = 200


class HeldEngine:
    """Reads one request at a time, the newest connection first.

    It holds each model that it is ordered to load, so that its orders end with
    their answers. While it is held, it neither accepts nor reads; the kernel
    keeps what arrives, as for a stopped process.

    :param models: names of the models that it holds.
    :param answer_seconds: time between reading an order and its answer.
    :param room: bytes that the kernel keeps for a connection.
    """

    def __init__(self, models, answer_seconds=0, room=None):
        self.answer_seconds = answer_seconds
        # Time of reading, holder and model of each order.
        self.orders = []
        self.answered_at = []
        self.held_until = 0
        self._models = models
        self._bytes_by_socket = {}
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=64)
        self._listener.setblocking(False)
        if room is not None:
            self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, room)
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'

    async def run(self):
        """Serve until cancelled."""
        try:
            while True:
                await anyio.sleep(_STEP_SECONDS)
                if time.monotonic() >= self.held_until:
                    await self._step()
        finally:
            for opened in (self._listener, *self._bytes_by_socket):
                opened.close()

    async def _step(self):
        self._accept()
        for connection in reversed(list(self._bytes_by_socket)):
            request = self._read(connection)
            if request is not None:
                await self._serve(connection, *request)
                return

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except BlockingIOError:
                return
            connection.setblocking(False)
            self._bytes_by_socket[connection] = b''

    def _read(self, connection):
        """Return head and body of a whole request, if there is one."""
        try:
            received = connection.recv(65536)
        except BlockingIOError:
            return None
        except OSError:
            received = b''
        if not received:
            self._drop(connection)
            return None
        text = self._bytes_by_socket[connection] + received
        self._bytes_by_socket[connection] = text
        head, end, body = text.partition(_HEADERS_END)
        if not end or len(body) < _content_length(head):
            return None
        self._bytes_by_socket[connection] = b''
        return head, body

    async def _serve(self, connection, head, body):
        if head.startswith(b'POST /-/order'):
            order = json.loads(body)
            self.orders.append(
                (time.monotonic(), order['holder'], order['model'])
            )
            await anyio.sleep(self.answer_seconds)
            self.answered_at.append(time.monotonic())
            answer = {}
        else:
            models = [{'name': name, 'version': 1} for name in self._models]
            answer = {'seq': 0, 'busy': False, 'born': 1, 'models': models}
        payload = json.dumps(answer).encode()
        line = b'HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n'
        try:
            connection.sendall(line % (_HOLDS, len(payload)) + payload)
        except OSError:
            self._drop(connection)

    def _drop(self, connection):
        self._bytes_by_socket.pop(connection)
        connection.close()


def _content_length(head):
    for line in head.lower().split(b'\r\n'):
        name, _, text = line.partition(b':')
        if name == b'content-length':
            return int(text)
    return 0
