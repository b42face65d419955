"""Finds out whether the earlier leader of a zone has stopped.

Until that is known its successor uses half of the zone's shares, so each kind
of proof shortens the time in which requests are refused although they are
within the rate.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cowsliprack.coordination.lease_record import LeaseBody
from cowsliprack.protocol.peer import Heartbeat
from cowsliprack.transport.probe import is_connection_refused

_PAUSE_SECONDS = 1.0
# Heartbeats in a row in which it does not claim to lead. A single one could
# have been sent before it became leader and been delayed.
_HEARTBEATS = 3


@dataclass(slots=True)
class PredecessorWatch:
    """Collects what shows that an earlier leader has stopped.

    :param record: lease record of the earlier leader.
    :param on_stopped: called once when it is known to have stopped.
    """

    record: LeaseBody
    on_stopped: Callable[[], None]
    _quiet_heartbeats: int = 0
    _stopped: anyio.Event = field(default_factory=anyio.Event)

    def hear(self, heartbeat: Heartbeat) -> None:
        """Take a heartbeat of any instance.

        :param heartbeat: those of others are ignored.
        """
        if heartbeat.instance_id != self.record.holder:
            return
        if heartbeat.leader:
            self._quiet_heartbeats = 0
            return
        self._quiet_heartbeats += 1
        if self._quiet_heartbeats >= _HEARTBEATS:
            self._note_stopped()

    async def run(self) -> None:
        """Try to reach its address until that is refused."""
        while not self._stopped.is_set():
            if await self._is_refused():
                self._note_stopped()
                return
            with anyio.move_on_after(_PAUSE_SECONDS):
                await self._stopped.wait()

    async def _is_refused(self) -> bool:
        host, _, port = self.record.address.rpartition(':')
        return port.isdecimal() and await is_connection_refused(host, int(port))

    def _note_stopped(self) -> None:
        if not self._stopped.is_set():
            self._stopped.set()
            self.on_stopped()
