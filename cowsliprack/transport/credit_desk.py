"""Grants credit for the zone while its leader holds the lease."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import msgspec

from cowsliprack.coordination.lease import Lease, Role
from cowsliprack.coordination.ledger import GRANT_EXPIRY_SECONDS, Ledger
from cowsliprack.coordination.loans import LoanTracker
from cowsliprack.coordination.shares import ShareRecord, ShareTracker
from cowsliprack.exceptions import (
    StoreConflictError,
    StoreError,
)
from cowsliprack.protocol.peer import (
    AnyPeerMessage,
    CreditRequest,
    CreditReturn,
    LoanGrant,
    LoanRequest,
)
from cowsliprack.protocol.store import (
    ObjectStore,
    StoredObject,
    new_attempt_id,
)
from cowsliprack.state.configuration import Configuration

SHARES_PREFIX = 'shares/'
# Without a change of zones the records change only with leaders, so a slow
# look at them is enough to see what other zones gave.
_READ_SECONDS = 30.0
_WRITE_SECONDS = 0.5


class _ShareBody(msgspec.Struct, frozen=True):
    fractions_by_zone: dict[str, float] = {}
    fencing_by_zone: dict[str, int] = {}
    attempt: str = ''


@dataclass(frozen=True, slots=True)
class DeskNeeds:
    """What the desk needs of the leader task.

    :param send: to an instance of the zone; never waits.
    :param send_to_zone: to another zone's leader; never waits.
    :param clock: seconds, running during suspension.
    """

    zone: str
    store: ObjectStore
    send: Callable[[str, AnyPeerMessage], None]
    send_to_zone: Callable[[str, AnyPeerMessage], None]
    clock: Callable[[], float]


class CreditDesk:
    """Ledger of one term of leadership, its shares and its loans.

    :param needs: of the leader task.
    :param lease: held by this instance.
    """

    def __init__(self, needs: DeskNeeds, lease: Lease) -> None:
        """Start with an empty ledger and no share."""
        now = needs.clock()
        self._needs = needs
        self._lease = lease
        self._lease_until = lease.held_until()
        self._configuration = Configuration()
        self._predecessor_until = lease.predecessor_until
        self._shares = ShareTracker(needs.zone, lease.fencing)
        self._ledger = Ledger(
            lease.fencing,
            now,
            predecessor_stopped=lease.predecessor_until <= now,
            lease_until=self._lease_until,
            loans=LoanTracker(
                needs.zone, str(lease.fencing), GRANT_EXPIRY_SECONDS
            ),
        )
        self._read_at = float('-inf')

    def set_configuration(
        self,
        configuration: Configuration,
        now: float,
    ) -> None:
        """Bring the limits of a configuration into force.

        :param configuration: in force.
        :param now: seconds.
        """
        known = set(self._configuration.organisations_by_id)
        for gone in known - set(configuration.organisations_by_id):
            self._ledger.drop_share(gone)
        is_new_zone_list = configuration.zones != self._configuration.zones
        self._configuration = configuration
        if is_new_zone_list or known != set(configuration.organisations_by_id):
            self._read_at = float('-inf')
        self._apply_shares(now)

    def step(self, now: float) -> None:
        """Follow the lease and ask other zones for loans.

        :param now: seconds.
        """
        self._renew(now)
        if self._lease.role(now) is not Role.leader:
            return
        others = [
            zone
            for zone in self._configuration.zones
            if zone != self._needs.zone
        ]
        for zone, request in self._ledger.loan_requests_due(others, now):
            self._needs.send_to_zone(zone, request)

    def take(
        self,
        sender: str,
        zone: str | None,
        message: AnyPeerMessage,
        now: float,
    ) -> None:
        """Take a message about credit; others are ignored.

        :param sender: id of the instance.
        :param zone: that the sender leads, if it is another one.
        :param message: what it sent.
        :param now: seconds.
        """
        self._renew(now)
        if self._lease.role(now) is Role.follower:
            return
        match message:
            case CreditRequest():
                grant = self._ledger.grant(message, sender, now)
                grant = msgspec.structs.replace(grant, zone=self._needs.zone)
                self._needs.send(sender, grant)
            case CreditReturn():
                self._ledger.accept_return(message, sender, now)
            case LoanRequest() if zone is not None:
                loan = self._ledger.lend(message, now)
                self._needs.send_to_zone(zone, loan)
            case LoanGrant() if zone is not None:
                self._ledger.accept_loan(message, now)

    def predecessor_stopped(self, now: float) -> None:
        """Note that every earlier holder of the zone is known to have stopped.

        :param now: seconds.
        """
        self._predecessor_until = min(self._predecessor_until, now)
        self._ledger.predecessor_stopped(now)

    def stop(self) -> None:
        """Grant nothing any more."""
        self._ledger.step_down()

    async def run(self) -> None:
        """Keep the records of shares in the store until cancelled."""
        while True:
            try:
                await self._keep_records()
            except StoreError:
                # Shares that are held stay in use without the store.
                self._read_at = self._needs.clock() - _READ_SECONDS / 2
            await anyio.sleep(_WRITE_SECONDS)

    async def _keep_records(self) -> None:
        now = self._needs.clock()
        if now >= self._read_at + _READ_SECONDS:
            records_by_key = {
                stored.key: stored
                for stored in await self._needs.store.list(SHARES_PREFIX)
            }
            self._read_at = now
            for name in self._configuration.organisations_by_id:
                stored = records_by_key.get(f'{SHARES_PREFIX}{name}')
                self._shares.observe(name, _as_record(stored))
        for name in tuple(self._configuration.organisations_by_id):
            await self._write_if_due(name)
        self._apply_shares(self._needs.clock())

    async def _write_if_due(self, organisation: str) -> None:
        now = self._needs.clock()
        record = self._shares.write_due(
            organisation,
            self._configuration.zones,
            now,
            may_transfer=self._predecessor_until <= now,
        )
        if record is None:
            return
        key = f'{SHARES_PREFIX}{organisation}'
        try:
            await self._write(key, record)
        finally:
            # Whatever came of the write, the record says what holds.
            stored = await self._needs.store.read(key)
            self._shares.observe(organisation, _as_record(stored))

    async def _write(self, key: str, record: ShareRecord) -> None:
        body = msgspec.to_builtins(
            _ShareBody(
                dict(record.fractions_by_zone),
                dict(record.fencing_by_zone),
                new_attempt_id(),
            ),
        )
        store = self._needs.store
        try:
            if record.version:
                await store.update(key, body, record.version)
            else:
                await store.create(key, body)
        except StoreConflictError:
            return

    def _apply_shares(self, now: float) -> None:
        for organisation in self._configuration.organisations_by_id.values():
            name = organisation.organisation_id
            fraction = self._shares.fraction(name)
            self._ledger.set_share(
                name,
                organisation.rate * fraction,
                organisation.burst * fraction,
                now,
            )

    def _renew(self, now: float) -> None:
        until = self._lease.held_until()
        is_leader = self._lease.role(now) is Role.leader
        if is_leader and until != self._lease_until:
            self._lease_until = until
            self._ledger.renew(until, now)


def _as_record(stored: StoredObject | None) -> ShareRecord:
    if stored is None:
        return ShareRecord()
    body = msgspec.convert(stored.body, _ShareBody)
    return ShareRecord(
        stored.version,
        body.fractions_by_zone,
        body.fencing_by_zone,
    )
