"""Tasks that keep the configuration and the list of targets up to date."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

import anyio
import structlog

from cowsliprack.exceptions import StoreError, StoreUnavailableError

# Seconds until a failed reading is tried again; the store's client adds its
# own backoff.
_RETRY_SECONDS = 0.1
_log = structlog.get_logger('cowsliprack.reader')


class KindReading(Protocol):
    """A list of one kind of objects, or the changes since an earlier one."""

    specs_by_name: dict[str, Any]
    revision: int
    asked_at: float


class KindStore(Protocol):
    """Store whose objects are read by kind."""

    async def list_kind(self, kind: str) -> KindReading:
        """Return every object of a kind."""

    async def watch_kind(
        self,
        kind: str,
        since: int,
        wait_seconds: float,
    ) -> KindReading:
        """Return what changed after a revision, as soon as anything did."""


@dataclass(slots=True)
class KindReader:
    """Reads one kind of objects for as long as it is wanted.

    :param wait_seconds: after which a watch without changes comes back.
    :param on_reading: called with each reading and whether it is a whole list.
    :param pause_seconds: between two calls, for which changes are gathered.
    :param is_wanted: whether to read now; other instances may tell instead.
    """

    store: KindStore
    kind: str
    wait_seconds: float
    on_reading: Callable[[KindReading, bool], None]
    is_wanted: Callable[[], bool]
    pause_seconds: float = 0
    _revision: int | None = None
    _reachable: bool = True

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self.is_wanted():
                # What has changed meanwhile is not known from here.
                self._revision = None
                await anyio.sleep(_RETRY_SECONDS)
                continue
            await self._guard(self._read_once)
            await anyio.sleep(self.pause_seconds)

    async def _guard(self, read: Callable[[], Awaitable[None]]) -> None:
        try:
            await read()
        except StoreUnavailableError as error:
            self._note(reachable=False, reason=str(error))
            await anyio.sleep(_RETRY_SECONDS)
        except StoreError as error:
            _log.info('listing_again', kind=self.kind, reason=str(error))
            self._revision = None
        else:
            self._note(reachable=True)

    async def _read_once(self) -> None:
        if self._revision is None:
            reading = await self.store.list_kind(self.kind)
            self._revision = reading.revision
            self.on_reading(reading, True)
            return
        reading = await self.store.watch_kind(
            self.kind,
            self._revision,
            self.wait_seconds,
        )
        self._revision = max(self._revision, reading.revision)
        self.on_reading(reading, False)

    def _note(self, *, reachable: bool, reason: str = '') -> None:
        if reachable != self._reachable:
            event = 'store_regained' if reachable else 'store_lost'
            _log.warning(event, kind=self.kind, reason=reason)
        self._reachable = reachable
