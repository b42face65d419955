"""Stand-in for the platform's object store with its published protocol.

Objects are identified by kind and name, and each has a revision. Lists are
paginated, and a watch is a long poll for changes after a revision. Faults are
injected through :class:`StoreFaults`. The store can come back from an older
copy of itself.
"""

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio

from tools.standins.web import Request

_PREFIX = '/-/objects/'
_PAGE_SIZE = 3
_MS_PER_SECOND = 1000
_CONFLICT = 409
_GONE = 410
_UNAVAILABLE = 503


@dataclass(slots=True)
class StoreFaults:
    """Faults to inject into the store.

    :param outage: respond to every call with 503.
    :param silent: never respond to calls and watches.
    :param lost_responses: number of writes to apply without responding.
    :param write_delays: one entry for each write that gets no response:
        seconds until it is applied.
    :param throttled_calls: number of calls to reject with 429.
    :param unavailable_kinds: kinds whose calls are rejected with 503.
    :param stated_eras: eras that the next answers state instead of the true
        one.
    """

    outage: bool = False
    silent: bool = False
    lost_responses: int = 0
    write_delays: list[float] = field(default_factory=list)
    throttled_calls: int = 0
    unavailable_kinds: set[str] = field(default_factory=set)
    stated_eras: list[str] = field(default_factory=list)


@dataclass(slots=True)
class StoredObject:
    """One object, or the tombstone of a removed one."""

    name: str
    rev: int
    spec: Any
    removed: bool = False

    def document(self) -> dict[str, Any]:
        """Return the object in the format of the protocol."""
        return {
            'metadata': {
                'name': self.name,
                'rev': self.rev,
                'created_rev': self.rev,
                'finalizers': [],
                'deleting': False,
            },
            'spec': self.spec,
            'status': None,
        }


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Copy of a store from which it may come back."""

    rev: int
    objects_by_kind: dict[str, dict[str, StoredObject]]


@dataclass(slots=True)
class ObjectStoreServer:
    """Object store, kept in memory only.

    :param rev: revision of the latest change.
    :param era: rises with each return from a copy; stated in all answers.
    :param oldest_revision: watches from an earlier revision fail with 410.
    :param calls: number of calls by HTTP method.
    :param changed: set and replaced at each change.
    """

    rev: int = 7
    era: int = 3
    oldest_revision: int = 0
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: Counter[str] = field(default_factory=Counter)
    objects_by_kind: dict[str, dict[str, StoredObject]] = field(
        default_factory=dict,
    )
    changed: anyio.Event = field(default_factory=anyio.Event)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object, bypassing revision checks and faults.

        :param kind: of the object.
        :param name: of the object.
        :param spec: content; ``None`` removes the object.
        :returns: the new revision.
        """
        self.rev += 1
        objects = self.objects_by_kind.setdefault(kind, {})
        objects[name] = StoredObject(name, self.rev, spec, spec is None)
        self.changed.set()
        self.changed = anyio.Event()
        return self.rev

    def compact(self) -> None:
        """Discard the history: watches from earlier revisions fail."""
        self.rev += 1
        self.oldest_revision = self.rev

    def copy(self) -> StoreCopy:
        """Return a copy from which the store can come back."""
        return StoreCopy(
            self.rev,
            {kind: dict(found) for kind, found in self.objects_by_kind.items()},
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy: later writes are lost, revisions go back.

        :param copy: an earlier copy of this store.
        """
        self.rev = copy.rev
        self.objects_by_kind = {
            kind: dict(found) for kind, found in copy.objects_by_kind.items()
        }
        self.era += 1

    def find(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or ``None`` if it is missing or removed.

        :param kind: of the object.
        :param name: of the object.
        """
        stored = self.objects_by_kind.get(kind, {}).get(name)
        return None if stored is None or stored.removed else stored

    async def handle(self, request: Request) -> None:
        """Handle one HTTP request.

        :param request: with its body fully read.
        """
        self.calls[request.method] += 1
        if self.faults.silent:
            await request.wait_for_disconnect()
        elif self.faults.outage:
            await self._answer(request, {}, _UNAVAILABLE)
        elif self.faults.throttled_calls:
            self.faults.throttled_calls -= 1
            await self._answer(request, {}, 429)
        else:
            kind, _, name = request.path.removeprefix(_PREFIX).partition('/')
            if kind in self.faults.unavailable_kinds:
                await self._answer(request, {}, _UNAVAILABLE)
                return
            await self._dispatch(request, kind, name)

    async def _answer(
        self, request: Request, document: object, status: int = 200
    ) -> None:
        stated = self.faults.stated_eras
        era = stated.pop(0) if stated else str(self.era)
        await request.send_json(document, status, {'Store-Era': era})

    async def _dispatch(
        self,
        request: Request,
        kind: str,
        name: str,
    ) -> None:
        if request.method == 'GET':
            await self._read(request, kind, name)
        else:
            await self._write(request, kind, name)

    async def _read(self, request: Request, kind: str, name: str) -> None:
        if name:
            stored = self.find(kind, name)
            document = stored.document() if stored else {}
            await self._answer(request, document, 200 if stored else 404)
        elif request.query_parameter('watch'):
            await self._watch(request, kind)
        else:
            await self._list(request, kind)

    async def _list(self, request: Request, kind: str) -> None:
        objects = self.objects_by_kind.get(kind, {})
        after = request.query_parameter('after')
        matching = [
            stored.document()
            for name, stored in sorted(objects.items())
            if not stored.removed and name > after
        ]
        await self._answer(
            request,
            {
                'items': matching[:_PAGE_SIZE],
                'has_more': len(matching) > _PAGE_SIZE,
                'as_of': self.rev,
            },
        )

    async def _watch(self, request: Request, kind: str) -> None:
        since = int(request.query_parameter('watch'))
        if not self.oldest_revision <= since <= self.rev:
            await self._answer(request, {}, _GONE)
            return
        with anyio.move_on_after(
            int(request.query_parameter('wait_ms')) / _MS_PER_SECOND
        ):
            while not self._events(kind, since):
                await self.changed.wait()
        if self.faults.silent:
            await request.wait_for_disconnect()
            return
        events = self._events(kind, since)
        await self._answer(request, {'events': events, 'as_of': self.rev})

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        objects = self.objects_by_kind.get(kind, {}).values()
        changed = sorted(
            (stored for stored in objects if stored.rev > since),
            key=_revision,
        )
        return [
            {'object': stored.document(), 'removed': stored.removed}
            for stored in changed
        ]

    async def _write(self, request: Request, kind: str, name: str) -> None:
        document = request.json()
        metadata = document.get('metadata', {})
        if self.faults.write_delays:
            await anyio.sleep(self.faults.write_delays.pop(0))
            self._apply_write(request, kind, name or metadata['name'], document)
            await request.wait_for_disconnect()
            return
        status, stored = self._apply_write(
            request,
            kind,
            name or metadata['name'],
            document,
        )
        if self.faults.lost_responses:
            self.faults.lost_responses -= 1
            await request.wait_for_disconnect()
            return
        await self._answer(request, stored.document() if stored else {}, status)

    def _apply_write(
        self,
        request: Request,
        kind: str,
        name: str,
        document: dict[str, Any],
    ) -> tuple[int, StoredObject | None]:
        existing = self.find(kind, name)
        if request.method == 'POST':
            if existing is not None:
                return _CONFLICT, existing
        elif existing is None:
            return 404, None
        rev = document.get('metadata', {}).get('rev')
        if rev is None and request.query_parameter('rev'):
            rev = json.loads(request.query_parameter('rev'))
        if request.method != 'POST' and rev is not None and rev != existing.rev:
            return _CONFLICT, existing
        removed = request.method == 'DELETE'
        self.put(kind, name, None if removed else document.get('spec'))
        return 200, self.objects_by_kind[kind][name]


def _revision(stored: StoredObject) -> int:
    return stored.rev
