"""Polls the platform's list of instances while this instance leads a zone."""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import structlog

from cowsliprack.exceptions import StoreError
from cowsliprack.protocol.peer import TargetLeaving
from cowsliprack.transport.store_client import HttpObjectStore

# A leaving target gets no new work after the lag of the list plus this time.
# Only the leader polls, so each zone makes one call per interval.
_POLL_INTERVAL_SECONDS = 2.0
_TARGET_KIND = 'target'
_LEAVING_STATE = 'leaving'

_log = structlog.get_logger('cowsliprack.instance_list')


@dataclass(slots=True)
class InstanceListPoller:
    """Announces the targets of a zone that the platform is about to remove.

    The list may be out of date, so a target that is missing from it is not
    assumed to be removed.

    :param zone: zone of this instance.
    :param store: platform store.
    :param is_leading: returns whether this instance leads its zone.
    :param announce: sends a message to the leader task and all instances.
    """

    zone: str
    store: HttpObjectStore
    is_leading: Callable[[], bool]
    announce: Callable[[TargetLeaving], None]
    _announced_target_ids: set[str] = field(default_factory=set)

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            if self.is_leading():
                await self._poll()
            else:
                # A later term has a new leader task, which needs all leaving
                # targets again.
                self._announced_target_ids.clear()
            await anyio.sleep(_POLL_INTERVAL_SECONDS)

    async def _poll(self) -> None:
        try:
            entries = await self.store.list_instances()
        except StoreError as error:
            _log.warning('instance_list_not_read', error=str(error))
            return
        leaving_target_ids = {
            entry.instance_id
            for entry in entries
            if entry.kind == _TARGET_KIND
            and entry.state == _LEAVING_STATE
            and entry.zone == self.zone
        }
        for target_id in sorted(
            leaving_target_ids - self._announced_target_ids
        ):
            _log.info('target_leaving', target_id=target_id)
            self.announce(TargetLeaving(target_id))
        self._announced_target_ids = leaving_target_ids
