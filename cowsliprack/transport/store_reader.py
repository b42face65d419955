"""Task that follows the store objects of one kind by list and watch."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

import anyio
import structlog

from cowsliprack.exceptions import StoreError, StoreUnavailableError
from cowsliprack.transport.message_guard import MessageGuard

# Delay before a failed read is repeated; the store client adds its own
# backoff.
_RETRY_SECONDS = 0.1
_log = structlog.get_logger('cowsliprack.reader')


class KindReading(Protocol):
    """All objects of one kind, or the changes since an earlier revision."""

    specs_by_name: dict[str, Any]
    revision: int
    asked_at: float


class KindStore(Protocol):
    """Store whose objects are read by kind."""

    async def list_kind(self, kind: str) -> KindReading:
        """Return all objects of a kind."""

    async def watch_kind(
        self,
        kind: str,
        since: int,
        wait_seconds: float,
    ) -> KindReading:
        """Wait for changes after a revision and return them."""


@dataclass(slots=True)
class KindReader:
    """Reads the objects of one kind while reading is enabled.

    :param wait_seconds: time after which a watch without changes returns.
    :param on_reading: called with each result and whether it is a full list.
    :param pause_seconds: pause between calls, in which changes accumulate.
    :param is_enabled: whether to read; false while another instance sends the
        changes.
    """

    store: KindStore
    kind: str
    wait_seconds: float
    on_reading: Callable[[KindReading, bool], None]
    is_enabled: Callable[[], bool]
    pause_seconds: float = 0
    _revision: int | None = None
    _reachable: bool = True
    _guard: MessageGuard = field(default_factory=MessageGuard)

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if not self.is_enabled():
                # Changes are missed while reading is disabled, so list again.
                self._revision = None
                await anyio.sleep(_RETRY_SECONDS)
                continue
            await self._read_or_log(self._read_once)
            await anyio.sleep(self.pause_seconds)

    async def _read_or_log(self, read: Callable[[], Awaitable[None]]) -> None:
        try:
            await read()
        except StoreUnavailableError as error:
            self._set_reachable(reachable=False, reason=str(error))
            await anyio.sleep(_RETRY_SECONDS)
        except StoreError as error:
            _log.info('listing_again', kind=self.kind, reason=str(error))
            self._revision = None
        else:
            self._set_reachable(reachable=True)

    async def _read_once(self) -> None:
        if self._revision is None:
            reading = await self.store.list_kind(self.kind)
            self._revision = reading.revision
            self._guard.handle(self.on_reading, self.kind, reading, True)
            return
        reading = await self.store.watch_kind(
            self.kind,
            self._revision,
            self.wait_seconds,
        )
        self._revision = max(self._revision, reading.revision)
        self._guard.handle(self.on_reading, self.kind, reading, False)

    def _set_reachable(self, *, reachable: bool, reason: str = '') -> None:
        if reachable != self._reachable:
            event = 'store_regained' if reachable else 'store_lost'
            _log.warning(event, kind=self.kind, reason=reason)
        self._reachable = reachable
