"""HTTP server of a platform store with scripted faults."""

import asyncio
import json
import logging
from urllib.parse import parse_qs, unquote, urlsplit

# The HTTP client logs each request, which obscures the report of a failure.
logging.getLogger('httpx').setLevel(logging.WARNING)


class FakeStore:
    """HTTP server that applies a scripted fault to each request.

    ``faults`` holds the faults of the next requests in order: ``ok``,
    ``unavailable``, ``lost answer`` (executed, then closed without an answer),
    ``silent`` (never answered), ``malformed``, ``expired``, ``silent watch``,
    ``broken watch`` (one progress event, then closed) and ``repeating watch``
    (sends all events from the first version). Connections up to number
    ``frozen_connections`` are not answered any more. With ``silent_watches``
    all watches stay silent, and ``stale_list`` is the version and the objects
    that lists return instead of the current ones.
    """

    def __init__(self):
        self.objects = {}
        self.version = 0
        self.faults = []
        self.requests = []
        self.connections = 0
        self.stale_list = None
        self.frozen_connections = 0
        self.silent_watches = False
        self.changed = asyncio.Event()

    async def __aenter__(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = f'http://127.0.0.1:{port}'
        return self

    async def __aexit__(self, *_):
        self.server.close()
        await asyncio.sleep(0)

    def put(self, key, body):
        self.version += 1
        self.objects[key] = {'key': key, 'version': self.version, 'body': body}
        self.changed.set()

    async def serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        try:
            while await self.serve_one(reader, writer, number):
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            asyncio.CancelledError,
        ):
            writer.transport.abort()
        finally:
            writer.close()

    async def serve_one(self, reader, writer, number):
        head = (await reader.readuntil(b'\r\n\r\n')).decode()
        lines = head.split('\r\n')
        method, target, _ = lines[0].split(' ')
        headers = dict(
            line.lower().split(': ', 1) for line in lines[1:] if line
        )
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        fault = self.faults.pop(0) if self.faults else 'ok'
        self.requests.append((method, unquote(url.path), query, fault))
        if fault == 'silent' or number <= self.frozen_connections:
            await asyncio.sleep(3600)
        if fault == 'unavailable':
            return _respond(writer, 503, {})
        if fault == 'expired':
            return _respond(writer, 410, {})
        if query.get('watch'):
            return await self.watch(writer, query, fault)
        status, answer = self.answer(method, url.path, query, headers, body)
        if fault == 'lost answer':
            return False
        if fault == 'malformed':
            return _respond(writer, status, None)
        return _respond(writer, status, answer)

    def answer(self, method, path, query, headers, body):
        if path == '/instances':
            entry = {'id': 'a1', 'zone': 'a', 'kind': 'entry'}
            return 200, {
                'instances': [{**entry, 'state': 'live', 'address': 'x:1'}]
            }
        if path == '/objects':
            version, objects = self.stale_list or (self.version, self.objects)
            return 200, {'version': version, 'items': _select(objects, query)}
        key = unquote(path.removeprefix('/objects/'))
        stored = self.objects.get(key)
        if method == 'GET':
            return (200, stored) if stored else (404, {})
        expected = headers.get('if-match', '').strip('"')
        matches = stored and expected == str(stored['version'])
        if headers.get('if-none-match') == '*':
            matches = stored is None
        if not matches:
            return 412, {}
        if method == 'PUT':
            self.put(key, json.loads(body))
        else:
            del self.objects[key]
        return 200, {'key': key, 'version': self.version}

    async def watch(self, writer, query, fault):
        writer.write(b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n')
        since = 0 if fault == 'repeating watch' else int(query['since'])
        if fault == 'silent watch' or self.silent_watches:
            await writer.drain()
            await asyncio.sleep(3600)
        while True:
            self.changed.clear()
            for entry in _select(self.objects, query):
                if entry['version'] > since:
                    _write_chunk(writer, entry)
            since = self.version
            _write_chunk(writer, {'progress': since})
            await writer.drain()
            if fault == 'broken watch':
                return False
            await self.changed.wait()


def _select(objects, query):
    prefix = query.get('prefix', '')
    return [entry for key, entry in objects.items() if key.startswith(prefix)]


def _respond(writer, status, answer):
    body = b'{' if answer is None else json.dumps(answer).encode()
    head = f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n'
    writer.write(head.encode() + body)
    return True


def _write_chunk(writer, entry):
    line = json.dumps(entry).encode() + b'\n'
    writer.write(f'{len(line):x}\r\n'.encode() + line + b'\r\n')
