"""Order journal of a zone in the platform store.

One object holds the intents that the leader writes ahead of its orders. Every
write is conditional on the version that this leader wrote last, so after a
write by a successor all further writes of this leader fail.
"""

import msgspec

from cowsliprack.exceptions import StoreConflictError, StoreUnavailableError
from cowsliprack.protocol.store import (
    ObjectStore,
    StoredObject,
    new_attempt_id,
)
from cowsliprack.protocol.target import Order


class JournalLostError(Exception):
    """Another leader has written the journal.

    :param fencing: fencing number of that leader.
    """

    def __init__(self, fencing: int) -> None:
        """Store the fencing number."""
        super().__init__(f'journal was written by fencing number {fencing}')
        self.fencing = fencing


class Journal:
    """Journal of one leadership term; only one task may use it at a time.

    :param store: platform store.
    :param zone: zone of the leader.
    :param fencing: fencing number of the lease.
    """

    def __init__(self, store: ObjectStore, zone: str, fencing: int) -> None:
        """Start without reading the stored object."""
        self.intents_by_id: dict[str, Order] = {}
        self._store = store
        self._key = f'orders/{zone}'
        self._fencing = fencing
        self._version: int | None = None
        self._is_claimed = False
        # Before the first read, and after a write without an answer.
        self._is_version_unknown = True

    async def claim(self) -> list[Order]:
        """Write the journal with the own fencing number.

        :returns: intents that earlier leaders left.
        :raises StoreUnavailableError: not claimed yet; call again.
        :raises StoreConflictError: not claimed yet; call again.
        :raises JournalLostError: a later leader has claimed it.
        """
        await self._refresh()
        await self._write()
        self._is_claimed = True
        return list(self.intents_by_id.values())

    async def save(self) -> None:
        """Write the current intents.

        :raises StoreUnavailableError: the write may have taken effect.
        :raises JournalLostError: a later leader has claimed it.
        """
        if self._is_version_unknown:
            await self._refresh()
        try:
            await self._write()
        except StoreConflictError:
            # An own write without an answer may have taken effect.
            await self._refresh()
            await self._write()

    async def _refresh(self) -> None:
        stored = await self._store.read(self._key)
        fencing = _fencing_of(stored)
        # Each term has a unique number, so an object with the own number was
        # written by this term.
        if fencing > self._fencing:
            raise JournalLostError(fencing)
        if not self._is_claimed:
            self.intents_by_id = _intents_of(stored)
        self._version = stored.version if stored else None
        self._is_version_unknown = False

    async def _write(self) -> None:
        intents = [
            msgspec.to_builtins(order) for order in self.intents_by_id.values()
        ]
        body: dict[str, object] = {
            'fencing': self._fencing,
            'intents': intents,
            'attempt': new_attempt_id(),
        }
        try:
            stored = await self._put(body)
        except StoreUnavailableError:
            self._is_version_unknown = True
            raise
        self._version = stored.version

    async def _put(self, body: dict[str, object]) -> StoredObject:
        if self._version is None:
            return await self._store.create(self._key, body)
        return await self._store.update(self._key, body, self._version)


def _fencing_of(stored: StoredObject | None) -> int:
    return int(str(stored.body.get('fencing', 0))) if stored else 0


def _intents_of(stored: StoredObject | None) -> dict[str, Order]:
    if stored is None:
        return {}
    orders = msgspec.convert(stored.body.get('intents', []), list[Order])
    return {order.order_id: order for order in orders}
