"""Task that competes for the lease of a zone and leads the zone with it."""

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
from cowsliprack.transport.lease_calls import execute_lease_action
from cowsliprack.transport.message_guard import MessageGuard
from cowsliprack.transport.term import LeaderDependencies, Term

# Interval at which the lease and due actions are checked.
_TICK_SECONDS = 0.1


class Leader:
    """Leader task of one instance.

    Heartbeats of this instance set ``leader`` and ``fencing`` only while
    ``role`` returns ``Role.leader`` or ``Role.degraded``.

    :param dependencies: parts of the instance that the task uses.
    """

    def __init__(self, dependencies: LeaderDependencies) -> None:
        """Start as a follower."""
        self._dependencies = dependencies
        self._lease = Lease(
            dependencies.zone,
            dependencies.instance_id,
            dependencies.address,
            dependencies.lease_seconds,
            dependencies.rng,
            started_at=dependencies.clock(),
        )
        self._term: Term | None = None

    @property
    def fencing(self) -> int:
        """Fencing number of the current or last term; 0 before the first."""
        return self._lease.fencing

    def role(self) -> Role:
        """Return the current role of this instance."""
        return self._lease.role(self._dependencies.clock())

    def holder(self) -> tuple[str, str]:
        """Return id and peer address of the lease holder as last read."""
        record = self._lease.observation.record
        return (record.holder, record.address) if record else ('', '')

    def controller(self) -> ZoneController | None:
        """Return the controller of the current term, if there is one."""
        return self._term.controller if self._term else None

    async def run(self) -> None:
        """Compete for the lease and lead until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._keep_lease)
            tasks.start_soon(self._receive)
            await self._run_terms()

    async def release(self) -> None:
        """Stop leading and release the lease, for a planned stop."""
        self._end_term()
        action = self._lease.release(self._dependencies.clock())
        if action is not None:
            await self._execute(action)

    async def _keep_lease(self) -> None:
        while True:
            action = self._lease.tick(self._dependencies.clock())
            if action is not None:
                await self._execute(action)
            self._end_lost_term()
            await anyio.sleep(_TICK_SECONDS)

    async def _execute(self, action: LeaseAction) -> None:
        dependencies = self._dependencies
        await execute_lease_action(
            self._lease, action, dependencies.store, dependencies.clock
        )

    async def _run_terms(self) -> None:
        while True:
            if self._lease.is_leader(self._dependencies.clock()):
                async with anyio.create_task_group() as tasks:
                    await self._run_term(tasks)
            await anyio.sleep(_TICK_SECONDS)

    async def _run_term(self, tasks: TaskGroup) -> None:
        term = Term(self._dependencies, self._lease, tasks)
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
        is_lost = self._lease.role(self._dependencies.clock()) is Role.follower
        if is_lost or term.fencing != self._lease.fencing:
            self._end_term()

    def _end_term(self) -> None:
        if self._term is not None:
            self._term.end()

    async def _receive(self) -> None:
        guard = MessageGuard()
        with contextlib.suppress(anyio.EndOfStream):
            while True:
                sender, message = await self._dependencies.inbound.receive()
                guard.handle(self._on_message, sender, sender, message)

    def _on_message(self, sender: str, message: AnyPeerMessage) -> None:
        zone = self._dependencies.zone
        now = self._dependencies.clock()
        if isinstance(message, Heartbeat) and message.zone == zone:
            if message.leader:
                self._lease.observe_heartbeat(message.fencing, now)
        elif isinstance(message, HeartbeatAck) and message.leader:
            if self._dependencies.zone_of(sender) is None:
                self._lease.observe_heartbeat(message.fencing, now)
        if self._term is not None:
            self._term.on_message(sender, message)
