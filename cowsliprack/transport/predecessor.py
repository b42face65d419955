"""Detects that the previous leader of a zone has stopped.

Until that is known the new leader uses only half of the zone's shares and
refuses some requests that are within the rate, so both ways of detection
shorten that time.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cowsliprack.coordination.lease_record import LeaseBody
from cowsliprack.protocol.peer import Heartbeat
from cowsliprack.transport.probe import is_connection_refused

_PROBE_INTERVAL_SECONDS = 1.0
# Consecutive heartbeats in which the instance is not leader. A single one may
# be delayed and from the time before the instance became leader.
_REQUIRED_HEARTBEATS = 3


@dataclass(slots=True)
class PredecessorWatch:
    """Watches the heartbeats and the address of the previous leader.

    :param record: lease record of the previous leader.
    :param on_stopped: called once when it has stopped.
    """

    record: LeaseBody
    on_stopped: Callable[[], None]
    _follower_heartbeats: int = 0
    _stopped: anyio.Event = field(default_factory=anyio.Event)

    def on_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Handle a heartbeat.

        :param heartbeat: ignored if another instance sent it.
        """
        if heartbeat.instance_id != self.record.holder:
            return
        if heartbeat.leader:
            self._follower_heartbeats = 0
            return
        self._follower_heartbeats += 1
        if self._follower_heartbeats >= _REQUIRED_HEARTBEATS:
            self._report_stopped()

    async def run(self) -> None:
        """Connect to its address until the connection is refused."""
        while not self._stopped.is_set():
            if await self._is_refused():
                self._report_stopped()
                return
            with anyio.move_on_after(_PROBE_INTERVAL_SECONDS):
                await self._stopped.wait()

    async def _is_refused(self) -> bool:
        host, _, port = self.record.address.rpartition(':')
        return port.isdecimal() and await is_connection_refused(host, int(port))

    def _report_stopped(self) -> None:
        if not self._stopped.is_set():
            self._stopped.set()
            self.on_stopped()
