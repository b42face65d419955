"""Reads and revises the records of allowances in the platform store."""

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
class _OpenWrite:
    expected_version: int | None
    record: AllowanceRecord


class AllowanceStore:
    """Allowances of one term of leadership.

    :param state: of this term.
    """

    def __init__(self, store: ObjectStore, state: ZoneState) -> None:
        """Expect every write to be answered until one is not."""
        self._store = store
        self._state = state
        # Writes without an answer. Each may still take effect as long as the
        # object has the version that it replaces.
        self._open_writes_by_shard: dict[int, list[_OpenWrite]] = {}

    async def read_all(self) -> None:
        """Take all records.

        :raises StoreUnavailableError: nothing was taken.
        """
        for stored in await self._store.list(ALLOWANCE_PREFIX):
            suffix = stored.key.removeprefix(ALLOWANCE_PREFIX)
            record = parse_record(stored.body)
            self._state.allowances.apply_record(int(suffix), record)

    async def revise(self, shard: int) -> None:
        """Read a record, change what this zone may change and write it.

        :param shard: number of the record.
        :raises StoreUnavailableError: the write may have taken effect.
        :raises StoreConflictError: another zone wrote it; try again.
        """
        state = self._state
        stored = await self._store.read(shard_key(shard))
        record = parse_record(stored.body if stored else None)
        state.allowances.apply_record(shard, record)
        version = _version_of(stored)
        open_writes = [
            write
            for write in self._open_writes_by_shard.get(shard, ())
            if write.expected_version == version
        ]
        self._open_writes_by_shard[shard] = open_writes
        for write in open_writes:
            state.allowances.lower_own_rows(shard, write.record)
        revised = state.allowances.revise(
            shard,
            record,
            state.occupied_by_deployment(),
        )
        if revised is None and not open_writes:
            return
        # Any further write makes one without an answer ineffective.
        await self._write(shard, stored, revised or record)

    async def _write(
        self,
        shard: int,
        stored: StoredObject | None,
        record: AllowanceRecord,
    ) -> None:
        # A lowered row binds from before the write is sent, because another
        # zone may raise its own as soon as the write takes effect.
        self._state.allowances.lower_own_rows(shard, record)
        try:
            await self._put(shard, stored, record)
        except StoreUnavailableError:
            write = _OpenWrite(_version_of(stored), record)
            self._open_writes_by_shard.setdefault(shard, []).append(write)
            raise
        self._open_writes_by_shard.pop(shard, None)
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
