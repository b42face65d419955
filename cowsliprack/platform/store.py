"""The platform's store of objects: lists, watches and conditional writes."""

import random
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar
from urllib.parse import quote

import anyio
import httpx
import msgspec
import structlog

from cowsliprack.exceptions import (
    StoreConflictError,
    StoreError,
    StoreUnavailableError,
)
from cowsliprack.protocol.store import StoredObject
from cowsliprack.transport.call_limits import Backoff, CallBudget

# Seconds. The store answers in milliseconds; a longer silence is an outage.
CALL_SECONDS = 1.0
# Seconds that a watch may stay silent beyond the time it was told to wait.
_WATCH_GRACE_SECONDS = 0.6
_LONGEST_WAIT_SECONDS = 0.5
# Calls a second of one instance; the store's rates are shared by all.
_CALLS_PER_SECOND = 40.0
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_CONFLICT = 409
_GONE = 410
_MS = 1000

_Wire = TypeVar('_Wire')

_log = structlog.get_logger('cowsliprack.store')


class HistoryGoneError(StoreError):
    """The store no longer holds the changes since a revision."""


class _Metadata(msgspec.Struct):
    name: str
    # Revision of the object's last change.
    rev: int


class _Object(msgspec.Struct):
    metadata: _Metadata
    # What the writer put there; never ``status``, which others may write.
    spec: Any = None


class _Page(msgspec.Struct):
    as_of: int
    items: list[msgspec.Raw] = []
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    removed: bool = False


class _Events(msgspec.Struct):
    as_of: int
    events: list[msgspec.Raw] = []


@dataclass(frozen=True, slots=True)
class Reading:
    """A list of one kind of objects, or the changes since an earlier one.

    :param specs_by_name: of objects that exist; ``None`` for removed ones.
    :param revision: of the store when it answered.
    :param asked_at: time before the call was sent, on the client's clock. The
        reading shows everything that the store confirmed before.
    """

    specs_by_name: Mapping[str, Any]
    revision: int
    asked_at: float


class PlatformStore:
    """Client of the store; also an ``ObjectStore`` for the lease.

    A write is never repeated here: one without an answer may take effect.

    :param base_url: of the store.
    :param client: HTTP client whose transport checks its connections.
    :param clock: seconds; goes on during suspension.
    :param rng: source of jitter.
    """

    def __init__(
        self,
        base_url: str,
        client: httpx.AsyncClient,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        """Open no connection yet."""
        self._base_url = base_url
        self._client = client
        self._clock = clock
        self._budget = CallBudget(_CALLS_PER_SECOND, _CALLS_PER_SECOND)
        self._backoff = Backoff(rng or random.Random())
        self.calls = 0

    async def list_kind(self, kind: str) -> Reading:
        """Return every object of a kind.

        :param kind: of the objects.
        :raises StoreUnavailableError: no usable answer.
        """
        asked_at = self._clock()
        specs_by_name: dict[str, Any] = {}
        after = ''
        revision = -1
        while True:
            query = f'?after={quote(after)}' if after else ''
            answer = await self._call('GET', f'/-/objects/{kind}{query}')
            page = _decode(answer, _Page)
            listed = _decode_objects(page.items)
            specs_by_name.update(
                (found.metadata.name, found.spec) for found in listed
            )
            # Changes between two pages are told by a watch that starts at the
            # revision of the first.
            revision = page.as_of if revision < 0 else revision
            if not (page.has_more and listed):
                return Reading(specs_by_name, revision, asked_at)
            after = listed[-1].metadata.name

    async def watch_kind(
        self,
        kind: str,
        since: int,
        wait_seconds: float,
    ) -> Reading:
        """Return what changed after a revision, as soon as anything did.

        :param kind: of the objects.
        :param since: revision of the last reading.
        :param wait_seconds: after which an empty reading comes back.
        :raises HistoryGoneError: the objects must be listed again.
        :raises StoreUnavailableError: no usable answer.
        """
        asked_at = self._clock()
        wait_ms = int(wait_seconds * _MS)
        answer = await self._call(
            'GET',
            f'/-/objects/{kind}?watch={since}&wait_ms={wait_ms}',
            seconds=wait_seconds + _WATCH_GRACE_SECONDS,
        )
        if answer.status_code == _GONE:
            raise HistoryGoneError(f'changes of {kind} since {since} are gone')
        changes = _decode(answer, _Events)
        if not changes.events:
            # While the store drops its history, watches hear nothing of
            # changes; only what was told counts as seen.
            return Reading({}, since, asked_at)
        specs_by_name = {}
        for raw in changes.events:
            event = msgspec.json.decode(raw, type=_Event)
            specs_by_name[event.object.metadata.name] = (
                None if event.removed else event.object.spec
            )
        return Reading(specs_by_name, changes.as_of, asked_at)

    async def read(self, key: str) -> StoredObject | None:
        """Return an object or ``None``."""
        answer = await self._call('GET', _path(key))
        if answer.status_code == _NOT_FOUND:
            return None
        return _stored(key, answer)

    async def create(self, key: str, body: dict[str, object]) -> StoredObject:
        """Write an object that must not exist yet."""
        kind, _, name = key.partition('/')
        content = {'metadata': {'name': name}, 'spec': body}
        return await self._write('POST', f'/-/objects/{kind}', key, content)

    async def update(
        self,
        key: str,
        body: dict[str, object],
        expected_version: int,
    ) -> StoredObject:
        """Replace an object that must have the expected version."""
        metadata = {'name': key.partition('/')[2], 'rev': expected_version}
        content = {'metadata': metadata, 'spec': body}
        return await self._write('PUT', _path(key), key, content)

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete an object that must have the expected version."""
        answer = await self._call(
            'DELETE',
            f'{_path(key)}?rev={expected_version}',
        )
        if answer.status_code == _CONFLICT:
            raise StoreConflictError(f'delete of {key}: version differs')

    async def _write(
        self,
        method: str,
        path: str,
        key: str,
        content: dict[str, object],
    ) -> StoredObject:
        answer = await self._call(
            method,
            path,
            content=msgspec.json.encode(content),
        )
        if answer.status_code in {_CONFLICT, _NOT_FOUND}:
            raise StoreConflictError(f'{method} {key}: version differs')
        return _stored(key, answer)

    async def _call(
        self,
        method: str,
        path: str,
        *,
        content: bytes | None = None,
        seconds: float = CALL_SECONDS,
    ) -> httpx.Response:
        failures = await self._admit()
        self.calls += 1
        headers = {'content-type': 'application/json'} if content else {}
        try:
            with anyio.fail_after(seconds):
                answer = await self._client.request(
                    method,
                    f'{self._base_url}{path}',
                    content=content,
                    headers=headers,
                )
        except (httpx.HTTPError, TimeoutError) as error:
            self._backoff.record_failure(self._clock(), failures)
            raise StoreUnavailableError(
                f'{method} {path}: {error!r}'
            ) from error
        expected = {_OK, _CREATED, _NOT_FOUND, _CONFLICT, _GONE}
        if answer.status_code not in expected:
            self._backoff.record_failure(self._clock(), failures)
            raise StoreUnavailableError(
                f'{method} {path}: status {answer.status_code}',
            )
        self._backoff.record_success()
        return answer

    async def _admit(self) -> int:
        """Wait for budget and backoff; return the failures so far."""
        now = self._clock()
        wait = self._budget.reserve(now, _LONGEST_WAIT_SECONDS)
        if wait is None:
            raise StoreUnavailableError('call budget of this client is spent')
        pause = min(self._backoff.wait(now), _LONGEST_WAIT_SECONDS)
        await anyio.sleep(max(pause, wait))
        return self._backoff.failures


def _path(key: str) -> str:
    kind, _, name = key.partition('/')
    return f'/-/objects/{quote(kind)}/{quote(name)}'


def _decode(answer: httpx.Response, wire: type[_Wire]) -> _Wire:
    # An object of another writer may hold bytes that are no text; it must not
    # hide the others.
    text = answer.content.decode(errors='replace')
    try:
        return msgspec.json.decode(text, type=wire)
    except msgspec.DecodeError as error:
        raise StoreUnavailableError(f'malformed answer: {error}') from error


def _decode_objects(items: list[msgspec.Raw]) -> list[_Object]:
    listed = []
    for raw in items:
        try:
            listed.append(msgspec.json.decode(raw, type=_Object))
        except msgspec.DecodeError as error:
            _log.warning('store_object_malformed', error=str(error))
    return listed


def _stored(key: str, answer: httpx.Response) -> StoredObject:
    found = _decode(answer, _Object)
    spec = found.spec if isinstance(found.spec, dict) else {}
    return StoredObject(key, found.metadata.rev, spec)
