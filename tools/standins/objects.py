"""Stand-in for the platform's store of objects, by its published protocol.

Objects lie by kind and name, each with a revision; lists come in pages, and a
watch waits for changes after a revision. Faults are set on ``faults``.
"""

import json
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio

from tools.standins.web import Request

_PREFIX = '/-/objects/'
_PAGE = 3
_MS = 1000
_CONFLICT = 409
_GONE = 410
_UNAVAILABLE = 503


@dataclass(slots=True)
class StoreFaults:
    """Switches for failures of the store.

    :param outage: every call is answered with 503.
    :param silent: calls and watches get no answer.
    :param lost_answers: writes that take effect without an answer.
    :param late_writes: writes that get no answer and are carried out after
        this many seconds each.
    :param refused: calls that are answered with 429.
    :param refused_kinds: kinds of which every call is answered with 503.
    """

    outage: bool = False
    silent: bool = False
    lost_responses: int = 0
    write_delays: list[float] = field(default_factory=list)
    throttled_calls: int = 0
    unavailable_kinds: set[str] = field(default_factory=set)


@dataclass(slots=True)
class StoredEntry:
    """One object, or the trace of a removed one."""

    name: str
    rev: int
    spec: Any
    removed: bool = False

    def document(self) -> dict[str, Any]:
        """Return the object as the store answers it."""
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


@dataclass(slots=True)
class ObjectStoreServer:
    """State of the stand-in, kept in memory only.

    :param history_from: changes before this revision have been dropped.
    """

    rev: int = 7
    history_from: int = 0
    faults: StoreFaults = field(default_factory=StoreFaults)
    calls: Counter[str] = field(default_factory=Counter)
    entries_by_kind: dict[str, dict[str, StoredEntry]] = field(
        default_factory=dict,
    )
    changed: anyio.Event = field(default_factory=anyio.Event)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator or a target does.

        :param kind: of the object.
        :param name: of the object.
        :param spec: its content; ``None`` removes it.
        :returns: its revision.
        """
        self.rev += 1
        entries = self.entries_by_kind.setdefault(kind, {})
        entries[name] = StoredEntry(name, self.rev, spec, spec is None)
        self.changed.set()
        self.changed = anyio.Event()
        return self.rev

    def compact(self) -> None:
        """Drop the history of all changes so far."""
        self.rev += 1
        self.history_from = self.rev

    def find(self, kind: str, name: str) -> StoredEntry | None:
        """Return an object that exists.

        :param kind: of the object.
        :param name: of the object.
        """
        entry = self.entries_by_kind.get(kind, {}).get(name)
        return None if entry is None or entry.removed else entry

    async def handle(self, request: Request) -> None:
        """Answer one request.

        :param request: with its whole body.
        """
        self.calls[request.method] += 1
        if self.faults.silent:
            await request.hang()
        elif self.faults.outage:
            await request.answer({}, _UNAVAILABLE)
        elif self.faults.throttled_calls:
            self.faults.throttled_calls -= 1
            await request.answer({}, 429)
        else:
            kind, _, name = request.path.removeprefix(_PREFIX).partition('/')
            if kind in self.faults.unavailable_kinds:
                await request.answer({}, _UNAVAILABLE)
                return
            await self._dispatch(request, kind, name)

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
            entry = self.find(kind, name)
            document = entry.document() if entry else {}
            await request.answer(document, 200 if entry else 404)
        elif request.argument('watch'):
            await self._watch(request, kind)
        else:
            await self._list(request, kind)

    async def _list(self, request: Request, kind: str) -> None:
        entries = self.entries_by_kind.get(kind, {})
        after = request.argument('after')
        found = [
            entry.document()
            for name, entry in sorted(entries.items())
            if not entry.removed and name > after
        ]
        await request.answer(
            {
                'items': found[:_PAGE],
                'has_more': len(found) > _PAGE,
                'as_of': self.rev,
            }
        )

    async def _watch(self, request: Request, kind: str) -> None:
        since = int(request.argument('watch'))
        if since < self.history_from:
            await request.answer({}, _GONE)
            return
        with anyio.move_on_after(int(request.argument('wait_ms')) / _MS):
            while not self._events(kind, since):
                await self.changed.wait()
        if self.faults.silent:
            await request.hang()
            return
        events = self._events(kind, since)
        await request.answer({'events': events, 'as_of': self.rev})

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        entries = self.entries_by_kind.get(kind, {}).values()
        changed = sorted(
            (entry for entry in entries if entry.rev > since),
            key=_revision,
        )
        return [
            {'object': entry.document(), 'removed': entry.removed}
            for entry in changed
        ]

    async def _write(self, request: Request, kind: str, name: str) -> None:
        document = request.json()
        metadata = document.get('metadata', {})
        if self.faults.write_delays:
            await anyio.sleep(self.faults.write_delays.pop(0))
            self._apply(request, kind, name or metadata['name'], document)
            await request.hang()
            return
        status, entry = self._apply(
            request,
            kind,
            name or metadata['name'],
            document,
        )
        if self.faults.lost_responses:
            self.faults.lost_responses -= 1
            await request.hang()
            return
        await request.answer(entry.document() if entry else {}, status)

    def _apply(
        self,
        request: Request,
        kind: str,
        name: str,
        document: dict[str, Any],
    ) -> tuple[int, StoredEntry | None]:
        known = self.find(kind, name)
        if request.method == 'POST':
            if known is not None:
                return _CONFLICT, known
        elif known is None:
            return 404, None
        rev = document.get('metadata', {}).get('rev')
        if rev is None and request.argument('rev'):
            rev = json.loads(request.argument('rev'))
        if request.method != 'POST' and rev is not None and rev != known.rev:
            return _CONFLICT, known
        removed = request.method == 'DELETE'
        self.put(kind, name, None if removed else document.get('spec'))
        return 200, self.entries_by_kind[kind][name]


def _revision(entry: StoredEntry) -> int:
    return entry.rev
