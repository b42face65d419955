"""Credit of an instance by the grant from which it came."""

from dataclasses import dataclass, field

_EPSILON = 1e-6


@dataclass(slots=True)
class GrantBalance:
    """What is left of one grant.

    :param unspent: may be reserved until the grant expires, tokens.
    :param unused: given back in all, tokens.
    """

    request_id: str
    expires_at: float
    unspent: float
    unused: float = 0


@dataclass(slots=True)
class Reservation:
    """Tokens set aside for one request.

    :param parts: grants from which they came, with the tokens of each.
    """

    organisation: str
    tokens: float
    parts: tuple[tuple[GrantBalance, float], ...] = ()
    settled: bool = False


@dataclass(slots=True)
class GrantBalances:
    """Grants of one organisation.

    :param spendable: in the order of their expiry. A grant that is reserved
        in full is kept only by its reservations.
    :param drained: grants reserved in full that have not expired.
    :param changed_by_id: grants of which something came back.
    """

    spendable: list[GrantBalance] = field(default_factory=list)
    drained: list[GrantBalance] = field(default_factory=list)
    changed_by_id: dict[str, GrantBalance] = field(default_factory=dict)

    def unspent(self) -> float:
        """Return what may be reserved, tokens."""
        return sum(lot.unspent for lot in self.spendable)

    def expiring_before(self, moment: float) -> float:
        """Return what can be reserved only before a time.

        :param moment: seconds.
        :returns: tokens.
        """
        return sum(
            lot.unspent for lot in self.spendable if lot.expires_at < moment
        )

    def unspent_by_grant(self) -> dict[str, float]:
        """Return what may be reserved of each unexpired grant, tokens."""
        unexpired = (*self.drained, *self.spendable)
        return {lot.request_id: lot.unspent for lot in unexpired}

    def add(self, lot: GrantBalance) -> None:
        """Add a grant.

        :param lot: expires after those that were added before it.
        """
        self.spendable.append(lot)

    def draw(self, tokens: float) -> tuple[tuple[GrantBalance, float], ...]:
        """Take tokens, earliest expiry first.

        :param tokens: not more than is unspent.
        :returns: grants with the tokens taken from each.
        """
        parts = []
        while tokens > 0 and self.spendable:
            lot = self.spendable[0]
            part = min(lot.unspent, tokens)
            lot.unspent -= part
            tokens -= part
            parts.append((lot, part))
            if lot.unspent <= 0:
                self.drained.append(self.spendable.pop(0))
        return tuple(parts)

    def give_back(self, lot: GrantBalance, tokens: float) -> None:
        """Note tokens of a grant that will not be used.

        :param tokens: never reserved again.
        """
        if tokens > _EPSILON:
            lot.unused += tokens
            self.changed_by_id[lot.request_id] = lot

    def give_unspent_back(self, lot: GrantBalance, tokens: float) -> None:
        """Give back tokens that are not reserved.

        :param tokens: not more than is unspent.
        """
        lot.unspent -= tokens
        self.give_back(lot, tokens)

    def drop_expired(self, now: float) -> None:
        """Give back what can no longer be spent.

        :param now: seconds.
        """
        while self.spendable and self.spendable[0].expires_at <= now:
            lot = self.spendable.pop(0)
            self.give_unspent_back(lot, lot.unspent)
        while self.drained and self.drained[0].expires_at <= now:
            self.drained.pop(0)

    def take_changed(self) -> list[GrantBalance]:
        """Return the grants to report, once."""
        changed = list(self.changed_by_id.values())
        self.changed_by_id.clear()
        return changed
