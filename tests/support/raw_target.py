"""Target with scripted faults that records the bytes it receives."""

import contextlib
import json
import socket
import struct
import threading
import time

# SO_LINGER value (on, 0 seconds) that makes close() send a TCP reset.
_RESET = struct.pack('ii', 1, 0)
_HEADERS_END = b'\r\n\r\n'
_STREAM_HEADERS = (
    b'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n'
    b'transfer-encoding: chunked\r\n\r\n'
)


def encode_chunk(payload):
    """Return one chunk of a chunked body."""
    return b'%x\r\n%s\r\n' % (len(payload), payload)


def http_response(payload, status=200, declared=None):
    """Return an HTTP response whose declared length may be wrong."""
    return (
        b'HTTP/1.1 %d X\r\ncontent-type: application/json\r\n'
        b'content-length: %d\r\n\r\n%s'
    ) % (status, len(payload) if declared is None else declared, payload)


class RawTarget:
    """Target that serves each connection in a thread of the test process.

    :param script: behaviours for callers' requests, one for each request to
        any of the targets that share the list; the last one is repeated.
        ``_run_behaviour`` defines them.
    :param deployments: reported as loaded.
    """

    def __init__(self, target_id, script, deployments=()):
        self.target_id = target_id
        self.deployments = deployments
        self.script = script
        # Bytes of callers' requests, one entry for each request, extended as
        # they arrive.
        self.received = []
        self.connections = 0
        self._open = True
        self._sockets = []
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=64)
        self.url = f'http://127.0.0.1:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        """Stop listening; further connections are refused."""
        self._open = False
        # close() alone leaves the port open while a thread is in accept().
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in self._sockets:
            connection.close()

    def _accept(self):
        while self._open:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._sockets.append(connection)
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        self.connections += 1
        if self.script[0] == 'reset on accept':
            self._next_behaviour()
            _reset(connection)
            return
        try:
            while self._open:
                if not self._serve_request(connection):
                    return
        except (OSError, ValueError):
            return

    def _serve_request(self, connection):
        head = b''
        record = None
        while _HEADERS_END not in head:
            chunk = connection.recv(65536)
            if not chunk:
                connection.close()
                return False
            head += chunk
            # Management calls, recognised by their path, are not recorded.
            if record is None and not _is_management(head):
                record = len(self.received)
                self.received.append(b'')
            if record is not None:
                self.received[record] += chunk
        if record is not None and self.script[0] == 'reset after headers':
            self._next_behaviour()
            return _reset(connection)
        body = head.split(_HEADERS_END, 1)[1]
        length = _content_length(head)
        while len(body) < length:
            chunk = connection.recv(65536)
            body += chunk
            if record is not None:
                self.received[record] += chunk
        if record is None:
            connection.sendall(
                http_response(self._handle_management(head, body))
            )
            return True
        return self._run_behaviour(connection, head, body)

    def _handle_management(self, head, body):
        if head.startswith(b'GET'):
            report = {
                'target_id': self.target_id,
                'boot_id': 'raw-1',
                'running': 0,
                'queued': 0,
                'memory_used': 0,
                'memory_total': 80_000,
                'replicas': [
                    {'deployment': name, 'state': 'loaded', 'memory': 0}
                    for name in self.deployments
                ],
            }
            return json.dumps(report).encode()
        order = json.loads(body)
        return json.dumps(
            {'order_id': order['order_id'], 'outcome': 'done'}
        ).encode()

    def _next_behaviour(self):
        return self.script.pop(0) if len(self.script) > 1 else self.script[0]

    def _run_behaviour(self, connection, head, body):
        request_id = _header(head, b'x-request-id').decode()
        behaviour = self._next_behaviour()
        if behaviour == 'crash':
            self.close()
            return False
        if behaviour == 'reset after body':
            return _reset(connection)
        if behaviour == 'reset after first byte':
            connection.sendall(b'HTTP/1.1 200 OK\r\ncont')
            return _reset(connection)
        if behaviour == 'truncated body':
            connection.sendall(http_response(b'{"part', declared=500))
            connection.close()
            return False
        if behaviour == 'silent' or (
            behaviour == 'silent when reused' and self._is_reused(connection)
        ):
            time.sleep(60)
            return False
        if behaviour.startswith('stream '):
            last_number = int(_header(head, b'last-event-id') or -1)
            status, script = '200', behaviour.removeprefix('stream ')
            if script.startswith('with status '):
                status, _, script = script[12:].partition(' ')
            return self._stream(
                connection, script, request_id, last_number, status
            )
        answer = {'id': request_id, 'target': self.target_id}
        if behaviour == 'wrong id':
            answer['id'] = 'another-request'
        if behaviour == 'own id':
            answer['id'] = 'order-17'
        if behaviour == 'without id':
            answer.pop('id')
        if behaviour == 'without length':
            connection.sendall(b'HTTP/1.1 200 OK\r\n\r\n{"part": 1}')
            connection.close()
            return False
        if behaviour == 'slow':
            time.sleep(0.5)
        if behaviour == 'refuse':
            refusal = b'{"error": "busy", "ran": false}'
            connection.sendall(http_response(refusal, status=503))
            return True
        raw_answer = http_response(json.dumps(answer).encode())
        if behaviour.startswith('status '):
            raw_answer = _with_status(raw_answer, behaviour[7:])
        if behaviour == 'set cookie':
            raw_answer = raw_answer.replace(
                b'\r\n', b'\r\nset-cookie: sid=1; path=/\r\n', 1
            )
        connection.sendall(raw_answer)
        if behaviour == 'duplicated':
            connection.sendall(http_response(json.dumps(answer).encode()))
        return True

    def _is_reused(self, connection):
        is_reused = getattr(self, '_reused', None) is connection
        self._reused = connection
        return is_reused

    def _stream(
        self, connection, script, request_id, last_number, status='200'
    ):
        """Send an event stream and return whether the connection stays open.

        :param script: N for event N, xN for event N of another request, END
            for the end marker, or RESET, CLOSE or SILENT.
        :param last_number: number of the last event that the client has.
        :param status: of the response.
        """
        connection.sendall(_with_status(_STREAM_HEADERS, status))
        for word in script.split():
            if word == 'RESET':
                return _reset(connection)
            if word == 'CLOSE':
                connection.close()
                return False
            if word == 'SILENT':
                time.sleep(60)
                return False
            if word.isdigit() and int(word) <= last_number:
                continue
            connection.sendall(encode_chunk(_stream_event(word, request_id)))
        connection.sendall(b'0\r\n\r\n')
        return True


def _with_status(response, status):
    return response.replace(b'200', status.encode(), 1)


def _stream_event(word, request_id):
    if word == 'END':
        return b'data: [DONE]\n\n'
    event_id = 'another-request' if word.startswith('x') else request_id
    index = int(word.removeprefix('x'))
    event = {
        'id': event_id,
        'object': 'chat.completion.chunk',
        'choices': [{'index': 0, 'delta': {'content': f'w{index} '}}],
        'token': index,
    }
    return f'id: {index}\ndata: {json.dumps(event)}\n\n'.encode()


def _reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    connection.close()
    return False


def _is_management(head):
    words = head.split(b' ')
    path = words[1] if len(words) > 1 else b''
    return path in {b'/v1/report', b'/v1/orders', b'/healthz'}


def _header(head, name):
    for line in head.split(b'\r\n')[1:]:
        found, _, text = line.partition(b':')
        if found.strip().lower() == name:
            return text.strip()
    return b''


def _content_length(head):
    return int(_header(head, b'content-length') or 0)
