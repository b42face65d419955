"""Balances of the grants that an instance holds."""

from dataclasses import dataclass, field

_EPSILON = 1e-6


@dataclass(slots=True)
class GrantBalance:
    """Remainder of one grant.

    :param unspent: tokens that may be reserved until the grant expires.
    :param unused: tokens returned, in total.
    """

    request_id: str
    expires_at: float
    unspent: float
    unused: float = 0


@dataclass(slots=True)
class Reservation:
    """Tokens reserved for one request.

    :param parts: grants that they were drawn from, with the tokens of each.
    """

    organisation: str
    tokens: float
    parts: tuple[tuple[GrantBalance, float], ...] = ()
    settled: bool = False


@dataclass(slots=True)
class GrantBalances:
    """Balances of the grants of one organisation.

    :param spendable: grants with unspent tokens, in order of expiry.
    :param fully_reserved: grants reserved in full that have not expired; after
        that only their reservations refer to them.
    :param returned_by_id: grants of which tokens were returned.
    """

    spendable: list[GrantBalance] = field(default_factory=list)
    fully_reserved: list[GrantBalance] = field(default_factory=list)
    returned_by_id: dict[str, GrantBalance] = field(default_factory=dict)

    def unspent(self) -> float:
        """Return the tokens that may be reserved."""
        return sum(balance.unspent for balance in self.spendable)

    def expiring_before(self, moment: float) -> float:
        """Return the tokens that can be reserved only before a time.

        :param moment: seconds.
        :returns: tokens.
        """
        return sum(
            balance.unspent
            for balance in self.spendable
            if balance.expires_at < moment
        )

    def unspent_by_grant(self) -> dict[str, float]:
        """Return the unspent tokens of each unexpired grant."""
        unexpired = (*self.fully_reserved, *self.spendable)
        return {balance.request_id: balance.unspent for balance in unexpired}

    def add(self, balance: GrantBalance) -> None:
        """Add a grant.

        :param balance: expires after those that were added before it.
        """
        self.spendable.append(balance)

    def draw(self, tokens: float) -> tuple[tuple[GrantBalance, float], ...]:
        """Draw tokens, earliest expiry first.

        :param tokens: not more than is unspent.
        :returns: grants with the tokens drawn from each.
        """
        parts = []
        while tokens > 0 and self.spendable:
            balance = self.spendable[0]
            part = min(balance.unspent, tokens)
            balance.unspent -= part
            tokens -= part
            parts.append((balance, part))
            if balance.unspent <= 0:
                self.fully_reserved.append(self.spendable.pop(0))
        return tuple(parts)

    def return_tokens(self, balance: GrantBalance, tokens: float) -> None:
        """Record tokens of a grant that are returned to the ledger.

        :param tokens: never reserved again.
        """
        if tokens > _EPSILON:
            balance.unused += tokens
            self.returned_by_id[balance.request_id] = balance

    def return_unspent(self, balance: GrantBalance, tokens: float) -> None:
        """Return tokens that are not reserved.

        :param tokens: not more than is unspent.
        """
        balance.unspent -= tokens
        self.return_tokens(balance, tokens)

    def drop_expired(self, now: float) -> None:
        """Return the unspent tokens of expired grants.

        :param now: seconds.
        """
        while self.spendable and self.spendable[0].expires_at <= now:
            balance = self.spendable.pop(0)
            self.return_unspent(balance, balance.unspent)
        while self.fully_reserved and self.fully_reserved[0].expires_at <= now:
            self.fully_reserved.pop(0)

    def take_returned(self) -> list[GrantBalance]:
        """Return and clear the grants whose returns are to be reported."""
        changed = list(self.returned_by_id.values())
        self.returned_by_id.clear()
        return changed
