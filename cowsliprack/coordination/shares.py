"""Shares of each organisation's limit, by zone.

Shares are fractions of the limit, so a new rate or burst moves no share: while
zones run different generations, each uses its fraction of an accepted limit.
A change of zones moves fractions through the record in the platform store. The
source zone first reduces its own use, then waits until its earlier grants and
loans have expired, and only then writes the record; a receiving zone uses its
new share once it has read the record.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from cowsliprack.coordination.ledger import GRANT_EXPIRY_SECONDS
from cowsliprack.coordination.loans import LOAN_EXPIRY_SECONDS

# Time from the reduction until nothing of the old share is in use.
SHARE_DRAIN_SECONDS = GRANT_EXPIRY_SECONDS + LOAN_EXPIRY_SECONDS
# Differences of fractions below this are rounding errors.
_EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class ShareRecord:
    """Stored shares of one organisation.

    :param version: of the stored object; 0 where there is none.
    :param fractions_by_zone: fractions of the limit; their sum is at most 1.
    :param fencing_by_zone: fencing number of the leader that uses a zone's
        share. The write with which a new leader registers itself makes every
        write of its predecessor fail.
    """

    version: int = 0
    fractions_by_zone: Mapping[str, float] = field(default_factory=dict)
    fencing_by_zone: Mapping[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _PendingTransfer:
    """Reduction of this zone's share that is not yet in the record.

    :param fraction: share that remains.
    :param writable_at: when the record may be written, seconds.
    :param written_version: version on which a write may still take effect.
    """

    fraction: float
    writable_at: float
    written_version: int | None = None


@dataclass(slots=True)
class _ShareState:
    """Share of one organisation in this zone.

    :param in_use: fraction that this zone may use now.
    """

    record: ShareRecord
    in_use: float = 0
    transfer: _PendingTransfer | None = None


def equal_shares(zones: Sequence[str]) -> dict[str, float]:
    """Return equal fractions for all zones.

    :param zones: of the configuration.
    """
    return {zone: 1 / len(zones) for zone in zones}


class ShareTracker:
    """Tracks the shares that one zone leader may use.

    :param zone: of the leader.
    :param fencing: fencing number of its lease.
    """

    def __init__(self, zone: str, fencing: int) -> None:
        """Start without shares until the records have been read."""
        self._zone = zone
        self._fencing = fencing
        self._states_by_organisation: dict[str, _ShareState] = {}

    def fraction(self, organisation: str) -> float:
        """Return the fraction of the limit that this zone may use now.

        :param organisation: id.
        """
        state = self._states_by_organisation.get(organisation)
        return state.in_use if state else 0

    def is_superseded(self, organisation: str) -> bool:
        """Return whether a newer leader of the zone has registered itself.

        :param organisation: id.
        """
        state = self._states_by_organisation.get(organisation)
        return (
            state is not None
            and self._registered_fencing(state.record) > self._fencing
        )

    def observe(self, organisation: str, record: ShareRecord) -> None:
        """Apply a record that was read; older versions are ignored.

        :param organisation: id.
        :param record: with version 0 when there is none.
        """
        state = self._states_by_organisation.setdefault(
            organisation,
            _ShareState(record),
        )
        if record.version < state.record.version:
            return
        state.record = record
        if self._registered_fencing(record) != self._fencing:
            state.in_use = 0
            return
        own = record.fractions_by_zone.get(self._zone, 0)
        transfer = state.transfer
        if transfer is None:
            state.in_use = own
            return
        written_version = transfer.written_version
        if written_version is not None and record.version > written_version:
            # Writes are conditional on the version, so no earlier write can
            # take effect any more.
            transfer.written_version = None
        if own <= transfer.fraction + _EPSILON:
            state.transfer = None
        state.in_use = min(own, transfer.fraction)

    def write_due(
        self,
        organisation: str,
        zones: Sequence[str],
        now: float,
        *,
        may_transfer: bool,
    ) -> ShareRecord | None:
        """Return the record to write now, on condition of its version.

        After every write, whatever its outcome, the caller reads the record
        and passes it to :meth:`observe`.

        :param zones: of the configuration.
        :param now: seconds.
        :param may_transfer: whether no earlier leader of the zone may still use
            its share.
        """
        state = self._states_by_organisation.get(organisation)
        if (
            state is None
            or self._registered_fencing(state.record) > self._fencing
        ):
            return None
        record = state.record
        if self._registered_fencing(record) < self._fencing:
            fractions = record.fractions_by_zone or equal_shares(zones)
            return self._register(replace(record, fractions_by_zone=fractions))
        if state.transfer is None and may_transfer:
            self._start_transfer(state, zones, now)
        transfer = state.transfer
        if transfer is None or now < transfer.writable_at:
            return None
        moved = _move_surplus(record, self._zone, transfer.fraction, zones)
        if moved == record and transfer.written_version is None:
            # No zone lacks a share any more, and no write is in flight.
            state.transfer = None
            state.in_use = record.fractions_by_zone.get(self._zone, 0)
            return None
        transfer.written_version = record.version
        return moved

    def _start_transfer(
        self,
        state: _ShareState,
        zones: Sequence[str],
        now: float,
    ) -> None:
        target = equal_shares(zones).get(self._zone, 0)
        moved = _move_surplus(state.record, self._zone, target, zones)
        remaining = moved.fractions_by_zone.get(self._zone, 0)
        if remaining < state.in_use - _EPSILON:
            state.in_use = remaining
            state.transfer = _PendingTransfer(
                remaining, now + SHARE_DRAIN_SECONDS
            )

    def _registered_fencing(self, record: ShareRecord) -> int:
        return record.fencing_by_zone.get(self._zone, 0)

    def _register(self, record: ShareRecord) -> ShareRecord:
        fencing_by_zone = {**record.fencing_by_zone, self._zone: self._fencing}
        return replace(record, fencing_by_zone=fencing_by_zone)


def _move_surplus(
    record: ShareRecord,
    source_zone: str,
    remaining: float,
    zones: Sequence[str],
) -> ShareRecord:
    """Return the record with a zone's surplus moved to zones that lack it."""
    fractions = dict(record.fractions_by_zone)
    surplus = fractions.get(source_zone, 0) - remaining
    missing_by_zone = {
        zone: target - fractions.get(zone, 0)
        for zone, target in equal_shares(zones).items()
        if zone != source_zone and target - fractions.get(zone, 0) > _EPSILON
    }
    missing = sum(missing_by_zone.values())
    if surplus <= _EPSILON or not missing_by_zone:
        return record
    moved = min(surplus, missing)
    fractions[source_zone] -= moved
    for zone, part in missing_by_zone.items():
        fractions[zone] = fractions.get(zone, 0) + moved * part / missing
    return replace(record, fractions_by_zone=fractions)
