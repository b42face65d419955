"""Client of the platform's object store: lists, watches, conditional writes."""

import random
import re
import time
from collections.abc import Callable, Mapping, Sequence
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
from cowsliprack.state.store_version import (
    MAX_ERA,
    era_of,
    join_version,
    revision_of,
)
from cowsliprack.transport.call_limits import Backoff, CallBudget

# Seconds. The store responds in milliseconds; a call without a response within
# this time is treated as an outage.
CALL_TIMEOUT_SECONDS = 1.0
# Time allowed for the response of a watch after its wait time has passed.
_WATCH_GRACE_SECONDS = 0.6
# Longest delay of a call by the call budget or the backoff.
_MAX_DELAY_SECONDS = 0.5
# Time without an answer from which calls that fail are taken as an outage, in
# seconds: one call may hang for so long, and single ones fail sooner.
_MIN_OUTAGE_SECONDS = CALL_TIMEOUT_SECONDS
# Limit for one instance; all instances share the rate limits of the store.
_CALLS_PER_SECOND = 40.0
_HTTP_OK = 200
_HTTP_CREATED = 201
_HTTP_NOT_FOUND = 404
_HTTP_CONFLICT = 409
_HTTP_GONE = 410
_MS = 1000
# States the era of the store's history; rises each time the store comes back
# from an older copy.
_ERA_HEADER = 'store-era'

# Entries of targets are nested about five deep.
_MAX_DEPTH = 64
_JSON_TOKEN = re.compile(r'"(?:[^"\\]|\\.)*"|[\[\]{}]')
# An escape in a JSON text; a surrogate that is not one of a pair is the group.
_JSON_ESCAPE = re.compile(
    r'\\(?:u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2}'
    r'|(u[dD][89a-fA-F][0-9a-fA-F]{2})|.)'
)
_REPLACEMENT = r'\ufffd'
_OPENING = frozenset('[{')
_CLOSING = frozenset(']}')

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
    # Written by the owner of the object; ``status``, which others may write,
    # is not decoded.
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
class ReadResult:
    """Objects of one kind, or their changes since an earlier read.

    :param specs_by_name: spec of each object; ``None`` if it was removed.
    :param revision: version of the store that the result reflects.
    :param asked_at: time on the client's clock just before the call was sent.
        The result includes every write that the store confirmed before it.
    """

    specs_by_name: Mapping[str, Any]
    revision: int
    asked_at: float


class PlatformStore:
    """Client of the store; also the ``ObjectStore`` of the lease.

    Writes are never retried here, since a write whose response is lost may
    still take effect. An answer of an earlier era changes nothing.

    :param base_url: URL of the store.
    :param client: HTTP client that inspects connections before reuse.
    :param clock: returns seconds; goes on during suspension.
    :param rng: source of jitter.
    """

    def __init__(
        self,
        base_url: str,
        client: httpx.AsyncClient,
        clock: Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        """Create a client; connections are opened by the first call."""
        self._base_url = base_url
        self._client = client
        self._clock = clock
        self._budget = CallBudget(_CALLS_PER_SECOND, _CALLS_PER_SECOND)
        self._backoff = Backoff(rng or random.Random())
        self._has_era = False
        self.era = 0
        self.regained_at = float('-inf')
        self._answered_at = float('-inf')
        # When the first call without an answer since the last one was sent.
        self._failing_since: float | None = None
        self._watch_scopes: set[anyio.CancelScope] = set()
        self.calls = 0

    async def list_kind(self, kind: str) -> ReadResult:
        """Return all objects of a kind.

        :param kind: kind of the objects.
        :raises HistoryGoneError: the store came back from an older copy
            between two pages.
        :raises StoreUnavailableError: no usable response.
        """
        asked_at = self._clock()
        objects, revision = await self._list_objects(kind)
        specs_by_name = {entry.metadata.name: entry.spec for entry in objects}
        return ReadResult(specs_by_name, revision, asked_at)

    async def list(self, prefix: str) -> list[StoredObject]:
        """Return the objects of a kind; content of another form is empty.

        :param prefix: kind of the objects, with a slash.
        :raises HistoryGoneError: as in ``list_kind``.
        :raises StoreUnavailableError: no usable response.
        """
        objects, _ = await self._list_objects(prefix.rstrip('/'))
        return [
            self._stored_object(f'{prefix}{entry.metadata.name}', entry)
            for entry in objects
        ]

    async def _list_objects(self, kind: str) -> tuple[Sequence[_Object], int]:
        """Return the objects of a kind, and the version of the first page."""
        found: dict[str, _Object] = {}
        after = ''
        revision = -1
        while True:
            query = f'?after={quote(after)}' if after else ''
            response = await self._call('GET', f'/-/objects/{kind}{query}')
            page = _decode(response, _Page)
            if after:
                self._require_era_of(revision)
            objects = _decode_objects(page.items, _Object)
            found.update((entry.metadata.name, entry) for entry in objects)
            # A watch that starts at the revision of the first page reports
            # changes made while later pages were read.
            revision = self._version(page.as_of) if revision < 0 else revision
            if not (page.has_more and objects):
                return list(found.values()), revision
            after = objects[-1].metadata.name

    async def watch_kind(
        self,
        kind: str,
        since: int,
        wait_seconds: float,
    ) -> ReadResult:
        """Wait for changes of a kind after a revision and return them.

        :param kind: kind of the objects.
        :param since: revision of the last read.
        :param wait_seconds: time after which an empty result is returned.
        :raises HistoryGoneError: the objects must be listed again.
        :raises StoreUnavailableError: no usable response.
        """
        asked_at = self._clock()
        self._require_era_of(since)
        revision = revision_of(since)
        wait_ms = int(wait_seconds * _MS)
        response = await self._call_until_return(
            f'/-/objects/{kind}?watch={revision}&wait_ms={wait_ms}',
            wait_seconds + _WATCH_GRACE_SECONDS,
        )
        self._require_era_of(since)
        if response is None or response.status_code == _HTTP_GONE:
            raise HistoryGoneError(
                f'history of {kind} since revision {revision} is gone'
            )
        batch = _decode(response, _Events)
        if not batch.events:
            # While the store compacts its history, watches may report a newer
            # revision without its changes, so the revision does not advance
            # with an empty result.
            return ReadResult({}, since, asked_at)
        specs_by_name = {}
        for event in _decode_objects(batch.events, _Event):
            specs_by_name[event.object.metadata.name] = (
                None if event.removed else event.object.spec
            )
        return ReadResult(specs_by_name, self._version(batch.as_of), asked_at)

    async def read(self, key: str) -> StoredObject | None:
        """Return an object, or ``None`` if it does not exist."""
        response = await self._call('GET', _path(key))
        if response.status_code == _HTTP_NOT_FOUND:
            return None
        return self._to_stored_object(key, response)

    async def create(self, key: str, body: dict[str, object]) -> StoredObject:
        """Create an object; raise a conflict if it exists."""
        kind, _, name = key.partition('/')
        content = {'metadata': {'name': name}, 'spec': body}
        return await self._write('POST', f'/-/objects/{kind}', key, content)

    async def update(
        self,
        key: str,
        body: dict[str, object],
        expected_version: int,
    ) -> StoredObject:
        """Replace an object if it has the expected version."""
        revision = self._expected_revision(key, expected_version)
        metadata = {'name': key.partition('/')[2], 'rev': revision}
        content = {'metadata': metadata, 'spec': body}
        return await self._write('PUT', _path(key), key, content)

    async def delete(self, key: str, expected_version: int) -> None:
        """Delete an object if it has the expected version."""
        revision = self._expected_revision(key, expected_version)
        response = await self._call('DELETE', f'{_path(key)}?rev={revision}')
        if response.status_code == _HTTP_CONFLICT:
            raise StoreConflictError(f'DELETE {key}: version does not match')

    async def _write(
        self,
        method: str,
        path: str,
        key: str,
        content: dict[str, object],
    ) -> StoredObject:
        response = await self._call(
            method,
            path,
            content=msgspec.json.encode(content),
        )
        if response.status_code in {_HTTP_CONFLICT, _HTTP_NOT_FOUND}:
            raise StoreConflictError(f'{method} {key}: version does not match')
        return self._to_stored_object(key, response)

    def _to_stored_object(
        self, key: str, response: httpx.Response
    ) -> StoredObject:
        return self._stored_object(key, _decode(response, _Object))

    def _stored_object(self, key: str, decoded: _Object) -> StoredObject:
        spec = decoded.spec if isinstance(decoded.spec, dict) else {}
        return StoredObject(key, self._version(decoded.metadata.rev), spec)

    def _version(self, revision: int) -> int:
        """Return the version of a revision in the answer just received."""
        return join_version(self.era, revision)

    def _expected_revision(self, key: str, version: int) -> int:
        """Return the revision to expect; the store compares no eras."""
        if era_of(version) != self.era:
            raise StoreConflictError(f'{key}: version of an earlier era')
        return revision_of(version)

    def _require_era_of(self, version: int) -> None:
        if era_of(version) != self.era:
            raise HistoryGoneError(
                f'the store has come back from an older copy in era {self.era}'
            )

    def _apply_era(self, response: httpx.Response, call: str) -> None:
        """Apply the era that an answer states.

        :raises StoreUnavailableError: the answer is of an earlier era, or its
            era is not a number.
        """
        stated = response.headers.get(_ERA_HEADER)
        if stated is None:
            return
        era = int(stated) if stated.isdecimal() else -1
        if not self.era <= era <= MAX_ERA:
            _log.warning(
                'store_answer_refused', call=call, stated=stated, era=self.era
            )
            raise StoreUnavailableError(f'{call}: answer of era {stated}')
        if self._has_era and era > self.era:
            _log.warning(
                'store_returned', call=call, era=era, previous=self.era
            )
        if era > self.era:
            # What they wait for may be lost, or have another revision.
            for scope in self._watch_scopes:
                scope.cancel()
        self._has_era = True
        self.era = era

    async def _call_until_return(
        self, path: str, seconds: float
    ) -> httpx.Response | None:
        """Return the answer; ``None`` if the store came back meanwhile."""
        with anyio.CancelScope() as scope:
            self._watch_scopes.add(scope)
            try:
                return await self._call('GET', path, seconds=seconds)
            finally:
                self._watch_scopes.discard(scope)
        return None

    async def _call(
        self,
        method: str,
        path: str,
        *,
        content: bytes | None = None,
        seconds: float = CALL_TIMEOUT_SECONDS,
    ) -> httpx.Response:
        failures = await self._wait_for_permit()
        self.calls += 1
        asked_at = self._clock()
        headers = {'content-type': 'application/json'} if content else {}
        try:
            with anyio.fail_after(seconds):
                response = await self._client.request(
                    method,
                    f'{self._base_url}{path}',
                    content=content,
                    headers=headers,
                )
        except (httpx.HTTPError, TimeoutError) as error:
            self._record_failure(asked_at, failures)
            raise StoreUnavailableError(
                f'{method} {path}: {error!r}'
            ) from error
        self._apply_era(response, f'{method} {path}')
        expected = {
            _HTTP_OK,
            _HTTP_CREATED,
            _HTTP_NOT_FOUND,
            _HTTP_CONFLICT,
            _HTTP_GONE,
        }
        if response.status_code not in expected:
            self._record_failure(asked_at, failures)
            raise StoreUnavailableError(
                f'{method} {path}: unexpected status {response.status_code}',
            )
        self._record_answer()
        return response

    def _record_failure(self, asked_at: float, failures: int) -> None:
        """Count a failed call; one sent before the last answer says nothing.

        :param asked_at: when it was sent, seconds.
        :param failures: consecutive failures at that time.
        """
        self._backoff.record_failure(self._clock(), failures)
        if asked_at > self._answered_at and self._failing_since is None:
            self._failing_since = asked_at

    def _record_answer(self) -> None:
        self._backoff.record_success()
        now = self._clock()
        since = self._failing_since
        if since is not None and now - since >= _MIN_OUTAGE_SECONDS:
            self.regained_at = now
        self._answered_at = now
        self._failing_since = None

    async def _wait_for_permit(self) -> int:
        """Wait for budget and backoff; return the count of recent failures."""
        now = self._clock()
        budget_delay = self._budget.reserve(now, _MAX_DELAY_SECONDS)
        if budget_delay is None:
            raise StoreUnavailableError('call budget of this client is spent')
        backoff_delay = min(self._backoff.wait(now), _MAX_DELAY_SECONDS)
        await anyio.sleep(max(backoff_delay, budget_delay))
        return self._backoff.failures


def _path(key: str) -> str:
    kind, _, name = key.partition('/')
    return f'/-/objects/{quote(kind)}/{quote(name)}'


def _decode(response: httpx.Response, wire: type[_Wire]) -> _Wire:
    # An object of another writer may contain invalid UTF-8 or, as an escape, an
    # unpaired surrogate, which must not make the other objects unreadable.
    text = response.content.decode(errors='replace')
    try:
        return _decode_text(text, wire)
    except msgspec.DecodeError as error:
        _log.warning('store_response_malformed', error=str(error))
    try:
        return _decode_text(_without_unpaired_surrogates(text), wire)
    except msgspec.DecodeError as error:
        raise StoreUnavailableError(f'malformed response: {error}') from error


def _without_unpaired_surrogates(text: str) -> str:
    """Return JSON in which unpaired surrogates are replaced.

    The grammar allows them as escapes, but no text can hold them.
    """
    return _JSON_ESCAPE.sub(
        lambda escape: _REPLACEMENT if escape[1] else escape[0], text
    )


def _decode_text(text: str, wire: type[_Wire]) -> _Wire:
    try:
        return msgspec.json.decode(text, type=wire)
    except RecursionError:
        _log.warning('store_response_too_deep', bytes=len(text))
    return msgspec.json.decode(_without_deep_values(text), type=wire)


def _without_deep_values(text: str) -> str:
    """Return JSON in which values that are nested too deeply are null.

    They end every recursive decoder, also one that skips them.
    """
    kept = []
    depth = 0
    kept_until = 0
    for token in _JSON_TOKEN.finditer(text):
        if token[0] in _OPENING:
            depth += 1
            if depth == _MAX_DEPTH:
                kept.append(text[kept_until : token.start()])
        elif token[0] in _CLOSING:
            if depth == _MAX_DEPTH:
                kept.append('null')
                kept_until = token.end()
            depth -= 1
    kept.append(text[kept_until:])
    return ''.join(kept)


def _decode_objects(items: list[msgspec.Raw], wire: type[_Wire]) -> list[_Wire]:
    """Decode objects or events; malformed ones are left out."""
    decoded = []
    for raw in items:
        try:
            decoded.append(msgspec.json.decode(raw, type=wire))
        except msgspec.DecodeError as error:
            _log.warning('store_object_malformed', error=str(error))
    return decoded
