"""Executes the store operations that a lease requests."""

from collections.abc import Callable

from cowsliprack.coordination.lease import Lease
from cowsliprack.coordination.lease_record import (
    LeaseAction,
    ReadLease,
    WriteLease,
)
from cowsliprack.exceptions import StoreConflictError, StoreUnavailableError
from cowsliprack.protocol.store import ObjectStore, StoredObject


async def execute_lease_action(
    lease: Lease,
    action: LeaseAction,
    store: ObjectStore,
    clock: Callable[[], float],
) -> None:
    """Execute an action of a lease and report its result to the lease.

    :param lease: lease that requested the action.
    :param action: read or write of the lease record.
    :param store: platform store.
    :param clock: returns seconds; must keep running during suspension.
    """
    try:
        if isinstance(action, ReadLease):
            stored = await store.read(action.key)
            lease.on_read(stored, clock(), store.era)
        else:
            lease.on_written(await _write(store, action), clock())
    except StoreConflictError:
        lease.on_conflict(clock())
    except StoreUnavailableError:
        lease.on_no_answer(clock())


async def _write(store: ObjectStore, action: WriteLease) -> StoredObject:
    if action.expected_version is None:
        return await store.create(action.key, action.body)
    return await store.update(action.key, action.body, action.expected_version)
