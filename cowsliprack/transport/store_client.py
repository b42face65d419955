"""HTTP client of the platform store."""

import functools
import json
import random
import ssl
import time
from collections.abc import AsyncIterator, Callable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

import anyio
import httpx
import structlog

from cowsliprack.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from cowsliprack.protocol.store import (
    MAX_VALUE_BYTES,
    StoredObject,
    StoreEvent,
)
from cowsliprack.transport.call_limits import Backoff, CallBudget

# The store answers in milliseconds, so a call that exceeds these limits is
# treated as an outage.
CONNECT_TIMEOUT_SECONDS = 1.0
CALL_TIMEOUT_SECONDS = 2.0
# A watch without an event or a progress event for this long is resumed.
WATCH_SILENCE_TIMEOUT_SECONDS = 5.0
# A call that would wait longer for the call budget or the backoff is refused.
MAX_ADMISSION_WAIT_SECONDS = 1.0
# Limit for one client; the platform's own limits are shared by all clients.
MAX_CALLS_PER_SECOND = 50.0
# A watch that ended is resumed after a random delay up to this limit, so that
# the clients of a restarted store do not reconnect at the same moment.
MAX_WATCH_RESUME_DELAY_SECONDS = 1.0

_NOT_FOUND = 404
_GONE = 410
_CONFLICT = 412
_OK = 200

# ``list`` is a method of the client, so the class body needs other names.
_Objects = list[StoredObject]
_Events = list[StoreEvent]

_log = structlog.get_logger('cowsliprack.store')


@dataclass(frozen=True, slots=True)
class PlatformInstance:
    """Entry of the platform's list of instances, which may be out of date.

    :param kind: ``entry`` or ``target``.
    :param state: ``live`` or ``leaving``.
    """

    instance_id: str
    zone: str
    kind: str
    state: str
    address: str


@functools.lru_cache(maxsize=1)
def _tls_context() -> ssl.SSLContext:
    # Building a context takes tens of milliseconds, so all pools share one.
    return httpx.create_ssl_context(trust_env=False)


class _ConnectionPool:
    """HTTP connections that are closed together when no call uses them."""

    def __init__(self, base_url: str, read_seconds: float) -> None:
        self.client = httpx.AsyncClient(
            base_url=base_url,
            timeout=httpx.Timeout(
                read_seconds, connect=CONNECT_TIMEOUT_SECONDS
            ),
            verify=_tls_context(),
            trust_env=False,
        )
        self.active_calls = 0
        self.retired = False

    async def release(self) -> None:
        """End one call; the last call of a retired pool closes the pool."""
        self.active_calls -= 1
        if self.retired and self.active_calls == 0:
            await self.close()

    async def close(self) -> None:
        """Close all connections."""
        with anyio.CancelScope(shield=True):
            await self.client.aclose()


class HttpObjectStore:
    """``ObjectStore`` over the platform's HTTP interface.

    The client never repeats a write, because a write without an answer may
    have taken effect. A watch is resumed until its consumer closes it.

    :param base_url: base URL of the platform.
    :param rng: source of the jitter of retries.
    :param calls_per_second: call budget of this client.
    :param call_seconds: timeout of a call.
    :param progress_seconds: time after which a silent watch is resumed.
    :param clock: returns monotonic time in seconds.
    """

    def __init__(
        self,
        base_url: str,
        *,
        rng: random.Random | None = None,
        calls_per_second: float = MAX_CALLS_PER_SECOND,
        call_seconds: float = CALL_TIMEOUT_SECONDS,
        progress_seconds: float = WATCH_SILENCE_TIMEOUT_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Open no connection yet."""
        # This protocol states no era: the store never loses a write.
        self.era = 0
        # Only instances of a region count the time from an outage.
        self.regained_at = float('-inf')
        self._base_url = base_url
        self._clock = clock
        self._call_seconds = call_seconds
        self._progress_seconds = progress_seconds
        self._budget = CallBudget(calls_per_second, calls_per_second)
        self._rng = rng or random.Random()
        self._backoff = Backoff(self._rng)
        self._pool = _ConnectionPool(base_url, call_seconds)
        self._keys_by_prefix: dict[str, set[str]] = {}

    async def read(self, key: str) -> StoredObject | None:
        """Return an object or ``None``."""
        response = await self._call('GET', _object_url(key))
        if response.status_code == _NOT_FOUND:
            return None
        return _parse_object(_parse_json(response))

    async def create(self, key: str, body: dict[str, object]) -> StoredObject:
        """Write an object that must not exist yet."""
        return await self._write(key, body, {'If-None-Match': '*'})

    async def update(
        self,
        key: str,
        body: dict[str, object],
        expected_version: int,
    ) -> StoredObject:
        """Replace an object that must have the expected version."""
        return await self._write(key, body, _if_match_header(expected_version))

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete an object that must have the expected version."""
        await self._call(
            'DELETE',
            _object_url(key),
            headers=_if_match_header(expected_version),
        )

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects whose key starts with a prefix."""
        _, objects = await self._list(prefix)
        return objects

    async def list_instances(self) -> tuple[PlatformInstance, ...]:
        """Return the platform's list of instances, which may be out of date."""
        listed = _parse_json(await self._call('GET', '/instances'))
        try:
            entries = listed['instances']
            return tuple(_parse_instance(entry) for entry in entries)
        except (KeyError, TypeError) as error:
            raise StoreUnavailableError('malformed instance list') from error

    async def watch(self, prefix: str, since: int) -> AsyncIterator[StoreEvent]:
        """Yield the changes after a version, and progress events.

        Before a silent or broken watch is resumed, the objects are listed, so
        that changes arrive even while every watch is silent.

        :param prefix: prefix of the keys to watch.
        :param since: version after which changes are yielded.
        """
        while True:
            async for event in self._watch_or_list(prefix, since):
                # A resumed watch may repeat earlier events.
                if event.progress or event.version > since:
                    yield event
                since = max(since, event.version)
            await anyio.sleep(
                self._rng.uniform(0, MAX_WATCH_RESUME_DELAY_SECONDS)
            )

    async def aclose(self) -> None:
        """Close all connections; open watches end."""
        await self._pool.close()

    async def _write(
        self,
        key: str,
        body: dict[str, object],
        condition: Mapping[str, str],
    ) -> StoredObject:
        encoded = json.dumps(body).encode()
        if len(encoded) > MAX_VALUE_BYTES:
            raise StoreError(f'value of {key} exceeds {MAX_VALUE_BYTES} bytes')
        response = await self._call(
            'PUT',
            _object_url(key),
            content=encoded,
            headers={'Content-Type': 'application/json', **condition},
        )
        if response.status_code == _NOT_FOUND:
            raise StoreConflictError(f'{key} does not exist')
        written = _parse_json(response)
        if not isinstance(written.get('version'), int):
            raise StoreUnavailableError(f'write of {key}: malformed answer')
        return StoredObject(key, written['version'], body)

    async def _list(self, prefix: str) -> tuple[int, _Objects]:
        response = await self._call(
            'GET',
            '/objects',
            params={'prefix': prefix},
        )
        listed = _parse_json(response)
        try:
            objects = [_parse_object(entry) for entry in listed['items']]
        except (KeyError, TypeError) as error:
            raise StoreUnavailableError('malformed list') from error
        self._keys_by_prefix[prefix] = {stored.key for stored in objects}
        return int(listed.get('version', 0)), objects

    async def _relist(self, prefix: str, since: int) -> _Events:
        known_keys = set(self._keys_by_prefix.get(prefix, ()))
        try:
            version, objects = await self._list(prefix)
        except StoreUnavailableError:
            return []
        # A stale list is older than the events of the watch; a key that is
        # missing from it has not necessarily been deleted.
        if version < since:
            self._keys_by_prefix[prefix] = known_keys
            return []
        events = [
            StoreEvent(stored.key, stored.version, stored.body)
            for stored in sorted(objects, key=_version_of)
            if stored.version > since
        ]
        removed = known_keys - self._keys_by_prefix[prefix]
        events.extend(StoreEvent(key, version, None) for key in sorted(removed))
        events.append(StoreEvent(prefix, version, None, progress=True))
        return events

    async def _watch_or_list(
        self,
        prefix: str,
        since: int,
    ) -> AsyncIterator[StoreEvent]:
        try:
            async for event in self._watch_once(prefix, since):
                since = max(since, event.version)
                yield event
        except _HistoryExpiredError:
            _log.info('watch_restarts', prefix=prefix, since=since)
        except StoreUnavailableError as error:
            _log.warning('watch_resumes', prefix=prefix, reason=str(error))
        # Reads may be answered while watches stay silent.
        for listed in await self._relist(prefix, since):
            yield listed

    async def _watch_once(
        self,
        prefix: str,
        since: int,
    ) -> AsyncIterator[StoreEvent]:
        failures = await self._admit()
        # A watch has its own pool, so that a silent watch does not retire the
        # connections of other calls.
        pool = _ConnectionPool(self._base_url, self._progress_seconds)
        query = {'prefix': prefix, 'watch': '1', 'since': str(since)}
        try:
            async with pool.client.stream(
                'GET', '/objects', params=query
            ) as response:
                _check_watch_status(response)
                self._backoff.record_success()
                async for line in response.aiter_lines():
                    yield self._parse_event(prefix, line)
        except (httpx.HTTPError, StoreUnavailableError) as error:
            self._backoff.record_failure(self._clock(), failures)
            raise StoreUnavailableError(f'watch: {error!r}') from error
        finally:
            await pool.close()

    def _parse_event(self, prefix: str, line: str) -> StoreEvent:
        change = _parse_line(prefix, line)
        if change.progress:
            return change
        keys = self._keys_by_prefix.setdefault(prefix, set())
        if change.body is None:
            keys.discard(change.key)
        else:
            keys.add(change.key)
        return change

    async def _admit(self) -> int:
        """Wait for the call budget and the backoff.

        :returns: number of failures so far.
        """
        now = self._clock()
        backoff_wait = self._backoff.wait(now)
        if backoff_wait > MAX_ADMISSION_WAIT_SECONDS:
            raise StoreUnavailableError('backing off after failures')
        budget_wait = self._budget.reserve(now, MAX_ADMISSION_WAIT_SECONDS)
        if budget_wait is None:
            raise StoreUnavailableError('call budget of this client is spent')
        await anyio.sleep(max(backoff_wait, budget_wait))
        return self._backoff.failures

    async def _call(
        self,
        method: str,
        url: str,
        **options: Any,
    ) -> httpx.Response:
        failures = await self._admit()
        pool = self._pool
        pool.active_calls += 1
        try:
            with anyio.fail_after(self._call_seconds):
                response = await pool.client.request(method, url, **options)
        except (httpx.HTTPError, TimeoutError) as error:
            self._retire(pool)
            self._backoff.record_failure(self._clock(), failures)
            raise StoreUnavailableError(f'{method} {url}: {error!r}') from error
        finally:
            await pool.release()
        if response.status_code == _CONFLICT:
            self._backoff.record_success()
            raise StoreConflictError(f'{method} {url}: version differs')
        if response.status_code not in {_OK, _NOT_FOUND}:
            self._backoff.record_failure(self._clock(), failures)
            raise StoreUnavailableError(
                f'{method} {url}: status {response.status_code}',
            )
        self._backoff.record_success()
        return response

    def _retire(self, pool: _ConnectionPool) -> None:
        """Replace the connection pool after a failure.

        The other pooled connections may be dead as well, and each would cost
        a further timeout.
        """
        pool.retired = True
        if pool is self._pool:
            self._pool = _ConnectionPool(self._base_url, self._call_seconds)


class _HistoryExpiredError(StoreError):
    """The store no longer has the changes since a version."""


def _check_watch_status(response: httpx.Response) -> None:
    if response.status_code == _GONE:
        raise _HistoryExpiredError(
            'the store no longer has the changes since this version'
        )
    if response.status_code != _OK:
        raise StoreUnavailableError(f'watch: status {response.status_code}')


def _object_url(key: str) -> str:
    return f'/objects/{quote(key)}'


def _if_match_header(version: int) -> dict[str, str]:
    return {'If-Match': f'"{version}"'}


def _version_of(stored: StoredObject) -> int:
    return stored.version


def _parse_json(response: httpx.Response) -> dict[str, Any]:
    try:
        parsed = response.json()
    except ValueError as error:
        raise StoreUnavailableError('malformed answer') from error
    if not isinstance(parsed, dict):
        raise StoreUnavailableError('malformed answer')
    return parsed


def _parse_object(entry: dict[str, Any]) -> StoredObject:
    try:
        return StoredObject(entry['key'], entry['version'], entry['body'])
    except (KeyError, TypeError) as error:
        raise StoreUnavailableError('malformed object') from error


def _parse_line(prefix: str, line: str) -> StoreEvent:
    try:
        event = dict(json.loads(line))
        progress = event.get('progress')
        if progress is not None:
            return StoreEvent(prefix, progress, None, progress=True)
        return StoreEvent(event['key'], event['version'], event['body'])
    except (ValueError, KeyError, TypeError) as error:
        raise StoreUnavailableError('watch: malformed line') from error


def _parse_instance(entry: dict[str, Any]) -> PlatformInstance:
    return PlatformInstance(
        instance_id=entry['id'],
        zone=entry['zone'],
        kind=entry['kind'],
        state=entry['state'],
        address=entry['address'],
    )
