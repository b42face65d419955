"""Grants credit of a zone while its leader holds the lease."""

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
# The records change only with the list of zones and with the leaders, so rare
# reads are enough to see the shares that other zones transferred.
_READ_INTERVAL_SECONDS = 30.0
_WRITE_INTERVAL_SECONDS = 0.5


class _ShareBody(msgspec.Struct, frozen=True):
    fractions_by_zone: dict[str, float] = {}
    fencing_by_zone: dict[str, int] = {}
    attempt: str = ''


@dataclass(frozen=True, slots=True)
class CreditServiceDependencies:
    """Dependencies of the credit service.

    :param zone: zone that the leader leads.
    :param store: platform store.
    :param send: sends to an instance of the zone; does not block.
    :param send_to_zone: sends to another zone's leader; does not block.
    :param clock: returns seconds; keeps running during suspension.
    """

    zone: str
    store: ObjectStore
    send: Callable[[str, AnyPeerMessage], None]
    send_to_zone: Callable[[str, AnyPeerMessage], None]
    clock: Callable[[], float]


class CreditService:
    """Manages the ledger, shares and loans of one leadership term.

    :param dependencies: store, clock and ways to send messages.
    :param lease: lease that this instance holds.
    """

    def __init__(
        self, dependencies: CreditServiceDependencies, lease: Lease
    ) -> None:
        """Start with an empty ledger and without shares."""
        now = dependencies.clock()
        self._dependencies = dependencies
        self._lease = lease
        self._lease_until = lease.held_until()
        self._configuration = Configuration()
        self._predecessor_until = lease.predecessor_until
        self._shares = ShareTracker(dependencies.zone, lease.fencing)
        self._ledger = Ledger(
            lease.fencing,
            now,
            predecessor_stopped=lease.predecessor_until <= now,
            lease_until=self._lease_until,
            loans=LoanTracker(
                dependencies.zone, str(lease.fencing), GRANT_EXPIRY_SECONDS
            ),
        )
        self._records_read_at = float('-inf')

    def set_configuration(
        self,
        configuration: Configuration,
        now: float,
    ) -> None:
        """Apply the limits of a configuration.

        :param configuration: configuration in force.
        :param now: current time in seconds.
        """
        old_ids = set(self._configuration.organisations_by_id)
        for removed_id in old_ids - set(configuration.organisations_by_id):
            self._ledger.drop_share(removed_id)
        is_new_zone_list = configuration.zones != self._configuration.zones
        self._configuration = configuration
        if is_new_zone_list or old_ids != set(
            configuration.organisations_by_id
        ):
            self._records_read_at = float('-inf')
        self._apply_shares(now)

    def tick(self, now: float) -> None:
        """Apply a renewed lease and ask other zones for loans.

        :param now: current time in seconds.
        """
        self._renew_ledger(now)
        if self._lease.role(now) is not Role.leader:
            return
        other_zones = [
            zone
            for zone in self._configuration.zones
            if zone != self._dependencies.zone
        ]
        for zone, request in self._ledger.loan_requests_due(other_zones, now):
            self._dependencies.send_to_zone(zone, request)

    def on_message(
        self,
        sender: str,
        zone: str | None,
        message: AnyPeerMessage,
        now: float,
    ) -> None:
        """Handle a message about credit; ignore other messages.

        :param sender: id of the sending instance.
        :param zone: zone that the sender leads, if it is another zone.
        :param message: received message.
        :param now: current time in seconds.
        """
        self._renew_ledger(now)
        if self._lease.role(now) is Role.follower:
            return
        match message:
            case CreditRequest():
                grant = self._ledger.grant(message, sender, now)
                grant = msgspec.structs.replace(
                    grant, zone=self._dependencies.zone
                )
                self._dependencies.send(sender, grant)
            case CreditReturn():
                self._ledger.accept_return(message, sender, now)
            case LoanRequest() if zone is not None:
                loan = self._ledger.lend(message, now)
                self._dependencies.send_to_zone(zone, loan)
            case LoanGrant() if zone is not None:
                self._ledger.accept_loan(message, now)

    def on_predecessor_stopped(self, now: float) -> None:
        """Record that all earlier leaders of the zone have stopped.

        :param now: current time in seconds.
        """
        self._predecessor_until = min(self._predecessor_until, now)
        self._ledger.predecessor_stopped(now)

    def stop(self) -> None:
        """Stop granting credit."""
        self._ledger.step_down()

    async def run(self) -> None:
        """Synchronise the share records with the store until cancelled."""
        while True:
            try:
                await self._sync_records()
            except StoreError:
                # Without the store the current shares stay in use.
                self._records_read_at = (
                    self._dependencies.clock() - _READ_INTERVAL_SECONDS / 2
                )
            await anyio.sleep(_WRITE_INTERVAL_SECONDS)

    async def _sync_records(self) -> None:
        now = self._dependencies.clock()
        if now >= self._records_read_at + _READ_INTERVAL_SECONDS:
            records_by_key = {
                stored.key: stored
                for stored in await self._dependencies.store.list(SHARES_PREFIX)
            }
            self._records_read_at = now
            for organisation_id in self._configuration.organisations_by_id:
                stored = records_by_key.get(f'{SHARES_PREFIX}{organisation_id}')
                self._shares.observe(organisation_id, _parse_record(stored))
        for organisation_id in tuple(self._configuration.organisations_by_id):
            await self._write_if_due(organisation_id)
        self._apply_shares(self._dependencies.clock())

    async def _write_if_due(self, organisation: str) -> None:
        now = self._dependencies.clock()
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
            # The result of the write may be unknown, so read the record.
            stored = await self._dependencies.store.read(key)
            self._shares.observe(organisation, _parse_record(stored))

    async def _write(self, key: str, record: ShareRecord) -> None:
        body = msgspec.to_builtins(
            _ShareBody(
                dict(record.fractions_by_zone),
                dict(record.fencing_by_zone),
                new_attempt_id(),
            ),
        )
        store = self._dependencies.store
        try:
            if record.version:
                await store.update(key, body, record.version)
            else:
                await store.create(key, body)
        except StoreConflictError:
            return

    def _apply_shares(self, now: float) -> None:
        for organisation in self._configuration.organisations_by_id.values():
            organisation_id = organisation.organisation_id
            fraction = self._shares.fraction(organisation_id)
            self._ledger.set_share(
                organisation_id,
                organisation.rate * fraction,
                organisation.burst * fraction,
                now,
            )

    def _renew_ledger(self, now: float) -> None:
        lease_until = self._lease.held_until()
        is_leader = self._lease.role(now) is Role.leader
        if is_leader and lease_until != self._lease_until:
            self._lease_until = lease_until
            self._ledger.renew(lease_until, now)


def _parse_record(stored: StoredObject | None) -> ShareRecord:
    if stored is None:
        return ShareRecord()
    body = msgspec.convert(stored.body, _ShareBody)
    return ShareRecord(
        stored.version,
        body.fractions_by_zone,
        body.fencing_by_zone,
    )
