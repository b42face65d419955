"""Persists the usage history of a zone in the platform store."""

import anyio

from cowsliprack.coordination.idle import UsageHistory
from cowsliprack.exceptions import StoreConflictError, StoreUnavailableError
from cowsliprack.protocol.store import (
    ObjectStore,
    StoredObject,
    new_attempt_id,
)

# The history changes only hourly, so frequent writes would add nothing.
_WRITE_INTERVAL_SECONDS = 600.0
_RETRY_INTERVAL_SECONDS = 5.0


class UsageStore:
    """Loads the usage history once and saves it periodically.

    The history only guides decisions, so a lost write is harmless.
    """

    def __init__(
        self, store: ObjectStore, zone: str, usage: UsageHistory
    ) -> None:
        """Start without the stored history.

        :param store: platform store.
        :param zone: whose history is stored.
        :param usage: history of the current term.
        """
        self._store = store
        self._key = f'demand/{zone}'
        self._usage = usage

    async def run(self) -> None:
        """Load the history, then save it until cancelled."""
        stored = await self._read()
        if stored is not None:
            self._usage.load(stored.body)
        while True:
            await anyio.sleep(_WRITE_INTERVAL_SECONDS)
            stored = await self._read()
            await self._write(stored)

    async def _read(self) -> StoredObject | None:
        while True:
            try:
                return await self._store.read(self._key)
            except StoreUnavailableError:
                await anyio.sleep(_RETRY_INTERVAL_SECONDS)

    async def _write(self, stored: StoredObject | None) -> None:
        body = {**self._usage.dump(), 'attempt': new_attempt_id()}
        try:
            await self._create_or_update(body, stored)
        except (StoreUnavailableError, StoreConflictError):
            # The next write includes the values of this one.
            return

    async def _create_or_update(
        self,
        body: dict[str, object],
        stored: StoredObject | None,
    ) -> None:
        if stored is None:
            await self._store.create(self._key, body)
            return
        await self._store.update(self._key, body, stored.version)
