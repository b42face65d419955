"""Reads and updates the allowance records in the platform store."""

from dataclasses import dataclass

from cowsliprack.coordination.allowance import (
    ALLOWANCE_PREFIX,
    AllowanceRecord,
    parse_record,
    record_body,
    shard_key,
)
from cowsliprack.coordination.zone_state import ZoneState
from cowsliprack.exceptions import StoreUnavailableError
from cowsliprack.protocol.store import (
    ObjectStore,
    StoredObject,
    new_attempt_id,
)


@dataclass(frozen=True, slots=True)
class _UnconfirmedWrite:
    expected_version: int | None
    record: AllowanceRecord


class AllowanceStore:
    """Allowance records as read and written during one leadership term.

    :param store: platform store.
    :param state: zone state of this term.
    """

    def __init__(self, store: ObjectStore, state: ZoneState) -> None:
        """Start without unconfirmed writes."""
        self._store = store
        self._state = state
        # Writes without an answer. Each may still take effect while the
        # object has the version that the write replaces.
        self._unconfirmed_writes_by_shard: dict[
            int, list[_UnconfirmedWrite]
        ] = {}

    async def read_all(self) -> None:
        """Read all records and apply them to the zone state.

        :raises StoreUnavailableError: no record was applied.
        """
        for stored in await self._store.list(ALLOWANCE_PREFIX):
            suffix = stored.key.removeprefix(ALLOWANCE_PREFIX)
            record = parse_record(stored.body)
            self._state.allowances.apply_record(int(suffix), record)

    async def revise(self, shard: int) -> None:
        """Read a record, update the rows of this zone and write it back.

        :param shard: shard number of the record.
        :raises StoreUnavailableError: the write may have taken effect.
        :raises StoreConflictError: another zone changed the record; try again.
        """
        state = self._state
        stored = await self._store.read(shard_key(shard))
        record = parse_record(stored.body if stored else None)
        state.allowances.apply_record(shard, record)
        version = _version_of(stored)
        unconfirmed_writes = [
            write
            for write in self._unconfirmed_writes_by_shard.get(shard, ())
            if write.expected_version == version
        ]
        self._unconfirmed_writes_by_shard[shard] = unconfirmed_writes
        for write in unconfirmed_writes:
            state.allowances.lower_own_rows(shard, write.record)
        revised = state.allowances.revise(
            shard,
            record,
            state.occupied_by_deployment(),
        )
        if revised is None and not unconfirmed_writes:
            return
        # A further write makes the unconfirmed ones fail on their version.
        await self._write(shard, stored, revised or record)

    async def _write(
        self,
        shard: int,
        stored: StoredObject | None,
        record: AllowanceRecord,
    ) -> None:
        # A lower allowance applies before the write is sent, because another
        # zone may raise its own as soon as the write takes effect.
        self._state.allowances.lower_own_rows(shard, record)
        try:
            await self._put(shard, stored, record)
        except StoreUnavailableError:
            write = _UnconfirmedWrite(_version_of(stored), record)
            self._unconfirmed_writes_by_shard.setdefault(shard, []).append(
                write
            )
            raise
        self._unconfirmed_writes_by_shard.pop(shard, None)
        self._state.allowances.apply_record(shard, record)

    async def _put(
        self,
        shard: int,
        stored: StoredObject | None,
        record: AllowanceRecord,
    ) -> None:
        body = record_body(record, new_attempt_id())
        if stored is None:
            await self._store.create(shard_key(shard), body)
            return
        await self._store.update(shard_key(shard), body, stored.version)


def _version_of(stored: StoredObject | None) -> int | None:
    return stored.version if stored else None
