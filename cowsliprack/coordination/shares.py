"""Which part of each organisation's limit belongs to which zone.

Shares are fractions of the limit, so a new rate or burst moves no share: while
zones run different generations, each uses its fraction of an accepted limit.
A change of zones moves fractions through the record in the platform store. The
giver reduces its own use first, waits until what it granted and lent before
has expired, and only then writes; the receiver uses its part once it reads it.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from cowsliprack.coordination.ledger import GRANT_EXPIRY_SECONDS
from cowsliprack.coordination.loans import LOAN_EXPIRY_SECONDS

# Seconds from the giver's reduction until nothing of the old share is in use.
SHARE_DRAIN_SECONDS = GRANT_EXPIRY_SECONDS + LOAN_EXPIRY_SECONDS
# Differences of fractions below this are rounding errors.
_EPSILON = 1e-9


@dataclass(frozen=True, slots=True)
class ShareRecord:
    """Record of one organisation in the store.

    :param version: of the stored object; 0 where there is none.
    :param fractions_by_zone: parts of the limit; their sum is at most 1.
    :param fencing_by_zone: leader that uses the part of a zone. The write
        with which a new leader enters itself makes every write of its
        predecessor fail.
    """

    version: int = 0
    fractions_by_zone: Mapping[str, float] = field(default_factory=dict)
    fencing_by_zone: Mapping[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class _Giving:
    """A part that is being given away.

    :param fraction: that remains.
    :param ready_at: when the record may be written, seconds.
    :param written_on: version on which a write may still take effect.
    """

    fraction: float
    ready_at: float
    written_on: int | None = None


@dataclass(slots=True)
class _Held:
    record: ShareRecord
    in_use: float = 0
    giving: _Giving | None = None


def equal_shares(zones: Sequence[str]) -> dict[str, float]:
    """Return the default split.

    :param zones: of the configuration.
    """
    return {zone: 1 / len(zones) for zone in zones}


class ShareTracker:
    """Shares that one zone leader may use, for all organisations.

    :param zone: of the leader.
    :param fencing: of its lease.
    """

    def __init__(self, zone: str, fencing: int) -> None:
        """Start without shares until the records have been read."""
        self._zone = zone
        self._fencing = fencing
        self._held_by_organisation: dict[str, _Held] = {}

    def fraction(self, organisation: str) -> float:
        """Return the part of the limit that this zone may use now.

        :param organisation: id.
        """
        held = self._held_by_organisation.get(organisation)
        return held.in_use if held else 0

    def is_superseded(self, organisation: str) -> bool:
        """Return whether another leader of the zone has taken its place.

        :param organisation: id.
        """
        held = self._held_by_organisation.get(organisation)
        return held is not None and self._entered(held.record) > self._fencing

    def observe(self, organisation: str, record: ShareRecord) -> None:
        """Take what was read from the store; older versions are ignored.

        :param organisation: id.
        :param record: with version 0 when there is none.
        """
        held = self._held_by_organisation.setdefault(
            organisation,
            _Held(record),
        )
        if record.version < held.record.version:
            return
        held.record = record
        if self._entered(record) != self._fencing:
            held.in_use = 0
            return
        own = record.fractions_by_zone.get(self._zone, 0)
        giving = held.giving
        if giving is None:
            held.in_use = own
            return
        written_on = giving.written_on
        if written_on is not None and record.version > written_on:
            # No earlier write can take effect any more.
            giving.written_on = None
        if own <= giving.fraction + _EPSILON:
            held.giving = None
        held.in_use = min(own, giving.fraction)

    def write_due(
        self,
        organisation: str,
        zones: Sequence[str],
        now: float,
        *,
        may_transfer: bool,
    ) -> ShareRecord | None:
        """Return the record to write now, on the version that it carries.

        After every write, whatever its outcome, the record is read and given
        to :meth:`observe`.

        :param zones: of the configuration.
        :param now: seconds.
        :param may_transfer: whether no earlier leader of the zone may still use
            its share.
        """
        held = self._held_by_organisation.get(organisation)
        if held is None or self._entered(held.record) > self._fencing:
            return None
        record = held.record
        if self._entered(record) < self._fencing:
            fractions = record.fractions_by_zone or equal_shares(zones)
            return self._enter(replace(record, fractions_by_zone=fractions))
        if held.giving is None and may_transfer:
            self._start_giving(held, zones, now)
        giving = held.giving
        if giving is None or now < giving.ready_at:
            return None
        moved = _move(record, self._zone, giving.fraction, zones)
        if moved == record and giving.written_on is None:
            # Nobody needs it any more, and no write is on its way.
            held.giving = None
            held.in_use = record.fractions_by_zone.get(self._zone, 0)
            return None
        giving.written_on = record.version
        return moved

    def _start_giving(
        self,
        held: _Held,
        zones: Sequence[str],
        now: float,
    ) -> None:
        target = equal_shares(zones).get(self._zone, 0)
        moved = _move(held.record, self._zone, target, zones)
        remaining = moved.fractions_by_zone.get(self._zone, 0)
        if remaining < held.in_use - _EPSILON:
            held.in_use = remaining
            held.giving = _Giving(remaining, now + SHARE_DRAIN_SECONDS)

    def _entered(self, record: ShareRecord) -> int:
        return record.fencing_by_zone.get(self._zone, 0)

    def _enter(self, record: ShareRecord) -> ShareRecord:
        fencing_by_zone = {**record.fencing_by_zone, self._zone: self._fencing}
        return replace(record, fencing_by_zone=fencing_by_zone)


def _move(
    record: ShareRecord,
    giver: str,
    remaining: float,
    zones: Sequence[str],
) -> ShareRecord:
    """Return the record with a part moved to the zones that need it."""
    fractions = dict(record.fractions_by_zone)
    surplus = fractions.get(giver, 0) - remaining
    missing_by_zone = {
        zone: target - fractions.get(zone, 0)
        for zone, target in equal_shares(zones).items()
        if zone != giver and target - fractions.get(zone, 0) > _EPSILON
    }
    missing = sum(missing_by_zone.values())
    if surplus <= _EPSILON or not missing_by_zone:
        return record
    moved = min(surplus, missing)
    fractions[giver] -= moved
    for zone, part in missing_by_zone.items():
        fractions[zone] = fractions.get(zone, 0) + moved * part / missing
    return replace(record, fractions_by_zone=fractions)
