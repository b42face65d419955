"""Task that competes for the lease of the zone and leads it while held."""

import contextlib

import anyio
from anyio.abc import TaskGroup

from cowsliprack.coordination.lease import Lease, Role
from cowsliprack.coordination.lease_record import LeaseAction
from cowsliprack.coordination.zone import ZoneController
from cowsliprack.protocol.peer import (
    AnyPeerMessage,
    Heartbeat,
    HeartbeatAck,
)
from cowsliprack.transport.lease_calls import carry_out
from cowsliprack.transport.term import LeaderDependencies, Term

# Seconds between looks at the lease and at what is due.
_TICK_SECONDS = 0.1


class Leader:
    """Leader task of one instance.

    Heartbeats of this instance say ``leader`` only while ``role`` returns
    ``Role.leader`` or ``Role.degraded``, with ``fencing``.

    :param needs: what it needs of the instance.
    """

    def __init__(self, needs: LeaderDependencies) -> None:
        """Start as a follower."""
        self._needs = needs
        self._lease = Lease(
            needs.zone,
            needs.instance_id,
            needs.address,
            needs.lease_seconds,
            needs.source,
        )
        self._term: Term | None = None

    @property
    def fencing(self) -> int:
        """Fencing number of the current or last term; 0 before the first."""
        return self._lease.fencing

    def role(self) -> Role:
        """Return what this instance may do at this moment."""
        return self._lease.role(self._needs.clock())

    def holder(self) -> tuple[str, str]:
        """Return id and peer address of the holder as last read."""
        record = self._lease.observation.record
        return (record.holder, record.address) if record else ('', '')

    def controller(self) -> ZoneController | None:
        """Return the decisions of the current term, if there is one."""
        return self._term.controller if self._term else None

    async def run(self) -> None:
        """Compete and lead until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_lease)
            tasks.start_soon(self._receive)
            await self._lead()

    async def release(self) -> None:
        """Stop leading and free the lease; for a planned stop."""
        self._end_term()
        action = self._lease.release(self._needs.clock())
        if action is not None:
            await self._carry_out(action)

    async def _keep_lease(self) -> None:
        while True:
            action = self._lease.tick(self._needs.clock())
            if action is not None:
                await self._carry_out(action)
            self._end_lost_term()
            await anyio.sleep(_TICK_SECONDS)

    async def _carry_out(self, action: LeaseAction) -> None:
        needs = self._needs
        await carry_out(self._lease, action, needs.store, needs.clock)

    async def _lead(self) -> None:
        while True:
            if self._lease.is_leader(self._needs.clock()):
                async with anyio.create_task_group() as tasks:
                    await self._run_term(tasks)
            await anyio.sleep(_TICK_SECONDS)

    async def _run_term(self, tasks: TaskGroup) -> None:
        term = Term(self._needs, self._lease, tasks)
        self._term = term
        try:
            await term.run()
        finally:
            self._term = None
            tasks.cancel_scope.cancel()

    def _end_lost_term(self) -> None:
        term = self._term
        if term is None:
            return
        lost = self._lease.role(self._needs.clock()) is Role.follower
        if lost or term.fencing != self._lease.fencing:
            self._end_term()

    def _end_term(self) -> None:
        if self._term is not None:
            self._term.end()

    async def _receive(self) -> None:
        with contextlib.suppress(anyio.EndOfStream):
            while True:
                sender, message = await self._needs.inbound.receive()
                self._take(sender, message)

    def _take(self, sender: str, message: AnyPeerMessage) -> None:
        zone = self._needs.zone
        now = self._needs.clock()
        if isinstance(message, Heartbeat) and message.zone == zone:
            if message.leader:
                self._lease.observe_heartbeat(message.fencing, now)
        elif isinstance(message, HeartbeatAck) and message.leader:
            if self._needs.zone_of(sender) is None:
                self._lease.observe_heartbeat(message.fencing, now)
        if self._term is not None:
            self._term.take(sender, message)
