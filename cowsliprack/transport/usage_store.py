"""Keeps the record of usage of a zone in the platform store."""

import anyio

from cowsliprack.coordination.idle import UsageHistory
from cowsliprack.exceptions import StoreConflictError, StoreUnavailableError
from cowsliprack.protocol.store import (
    ObjectStore,
    StoredObject,
    new_attempt_id,
)

# Seconds between writes: the record only changes by the hour.
_WRITE_SECONDS = 600.0
_RETRY_SECONDS = 5.0


class UsageStore:
    """Reads the record once and writes it now and then.

    The record only guides decisions, so a lost write does no harm.

    :param usage: of this term.
    """

    def __init__(
        self, store: ObjectStore, zone: str, usage: UsageHistory
    ) -> None:
        """Know nothing of the stored record yet."""
        self._store = store
        self._key = f'demand/{zone}'
        self._usage = usage

    async def run(self) -> None:
        """Read the record and write it until cancelled."""
        stored = await self._read()
        if stored is not None:
            self._usage.load(stored.body)
        while True:
            await anyio.sleep(_WRITE_SECONDS)
            stored = await self._read()
            await self._write(stored)

    async def _read(self) -> StoredObject | None:
        while True:
            try:
                return await self._store.read(self._key)
            except StoreUnavailableError:
                await anyio.sleep(_RETRY_SECONDS)

    async def _write(self, stored: StoredObject | None) -> None:
        body = {**self._usage.dump(), 'attempt': new_attempt_id()}
        try:
            await self._put(body, stored)
        except (StoreUnavailableError, StoreConflictError):
            # The next write contains what this one had.
            return

    async def _put(
        self,
        body: dict[str, object],
        stored: StoredObject | None,
    ) -> None:
        if stored is None:
            await self._store.create(self._key, body)
            return
        await self._store.update(self._key, body, stored.version)
