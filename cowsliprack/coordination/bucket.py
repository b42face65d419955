"""Token bucket of one organisation in one zone, and the grants made from it.

At all times ``level + unspent + held <= cap``, where ``unspent`` is credit
that an instance may still spend and ``held`` is credit that was reserved and
may be returned unused. Spending over a window is therefore at most the cap
plus the refill of the window. Refill beyond the cap displaces the oldest held
credit, which then cannot be refunded any more.
"""

import math
from collections import deque
from dataclasses import dataclass

# Rounding errors of float sums stay far below this number of tokens.
TOKEN_EPSILON = 1e-6


@dataclass(slots=True)
class GrantRecord:
    """State of one grant, in tokens.

    :param expires_at: when the instance can spend no more of it, seconds.
    :param unspent: may still be spent.
    :param held: reserved, or expired unspent, and may be returned.
    :param claimed: reported as unused, in total.
    :param displaced: replaced by refill, so that it cannot be refunded.
    :param refunded: put back into the bucket.
    """

    grant_id: str
    tokens: float
    expires_at: float
    unspent: float
    held: float = 0
    claimed: float = 0
    displaced: float = 0
    refunded: float = 0

    def is_closed(self) -> bool:
        """Return whether nothing of the grant can be spent or refunded."""
        return self.unspent <= 0 and self.held <= TOKEN_EPSILON


class Bucket:
    """Token bucket that also bounds the grants made from it."""

    def __init__(self, now: float) -> None:
        """Start empty, with rate and cap 0.

        :param now: seconds.
        """
        self.level: float = 0
        self.rate: float = 0
        self.cap: float = 0
        self.updated_at = now
        self.unspent: float = 0
        self._held: float = 0
        self._grants_by_id: dict[str, GrantRecord] = {}
        # In order of expiry, which is the order of granting.
        self._expiring: deque[GrantRecord] = deque()

    def set_limits(self, rate: float, cap: float, now: float) -> None:
        """Change rate and cap; what exceeds the new cap is dropped.

        :param rate: tokens a second.
        :param cap: tokens.
        :param now: seconds.
        """
        self.advance(now)
        self.rate = rate
        self.cap = cap
        self._trim()

    def advance(self, now: float) -> None:
        """Refill up to now; the rest of grants that expire becomes held.

        :param now: seconds; times before the last one are ignored.
        """
        while self._expiring and self._expiring[0].expires_at <= now:
            record = self._expiring.popleft()
            # Until its expiry the unspent credit limits the refill.
            self._refill(record.expires_at)
            self._reduce_unspent(record, 0)
            self._remove_if_closed(record)
        self._refill(now)

    def add(self, tokens: float) -> None:
        """Add tokens that were taken from another zone's bucket.

        :param tokens: dropped where they exceed the cap.
        """
        self.level += tokens
        self._trim()

    def take(self, tokens: float) -> float:
        """Remove tokens that are lent to another zone.

        :param tokens: requested number.
        :returns: number removed.
        """
        taken = max(0, min(tokens, self.level))
        self.level -= taken
        return taken

    def grant(self, grant_id: str, tokens: float, expires_at: float) -> None:
        """Move tokens from the bucket into a grant.

        :param tokens: not more than the level.
        :param expires_at: not before that of earlier grants, seconds.
        """
        self.level = max(0, self.level - tokens)
        self.unspent += tokens
        record = GrantRecord(grant_id, tokens, expires_at, tokens)
        self._grants_by_id[grant_id] = record
        self._expiring.append(record)

    def find(self, grant_id: str) -> GrantRecord | None:
        """Return a grant of which something can be spent or refunded.

        :param grant_id: as given to :meth:`grant`.
        """
        return self._grants_by_id.get(grant_id)

    def report_unspent(self, grant_id: str, unspent: float) -> None:
        """Record that the rest of a grant has been reserved or returned.

        :param unspent: tokens of it that may still be spent.
        """
        record = self._grants_by_id.get(grant_id)
        if record is not None:
            self._reduce_unspent(record, max(0, unspent))

    def claim(self, grant_id: str, claimed: float) -> None:
        """Refund unused credit, except what refill has displaced.

        Displaced credit counts as the credit that was claimed first, because
        the bucket does not know which part of a grant was used.

        :param claimed: unused tokens of the grant, in total.
        """
        record = self._grants_by_id.get(grant_id)
        if record is None:
            return
        limit = record.tokens - record.unspent
        record.claimed = max(record.claimed, min(claimed, limit))
        refund = record.claimed - record.displaced - record.refunded
        refund = max(0, min(refund, record.held))
        record.refunded += refund
        record.held -= refund
        self._held -= refund
        self.level += refund
        self._remove_if_closed(record)

    def seconds_until(self, target_level: float) -> float:
        """Return how long until refill alone brings the level to a target.

        :param target_level: tokens.
        :returns: seconds from the last update; infinite when the cap is
            below the target.
        """
        if self.level >= target_level:
            return 0
        if self.rate <= 0 or target_level > self.cap:
            return math.inf
        level = self.level
        moment = self.updated_at
        limit = self.cap - self.unspent
        for record in self._expiring:
            if target_level <= limit:
                break
            gained = self.rate * (record.expires_at - moment)
            level = max(level, min(limit, level + gained))
            moment = record.expires_at
            limit += record.unspent
        return (
            moment - self.updated_at + max(0, target_level - level) / self.rate
        )

    def _refill(self, now: float) -> None:
        if now > self.updated_at:
            self.level += self.rate * (now - self.updated_at)
            self.updated_at = now
            self._trim()

    def _trim(self) -> None:
        excess = self.level + self.unspent + self._held - self.cap
        if excess <= 0:
            return
        excess -= self._displace_held(excess)
        self.level = max(0, self.level - excess)

    def _displace_held(self, excess: float) -> float:
        """Displace the oldest held credit and return how much it was."""
        remaining = min(excess, self._held)
        displaced = remaining
        closed = []
        for record in self._grants_by_id.values():
            if remaining <= 0:
                break
            displaced_part = min(remaining, record.held)
            record.held -= displaced_part
            record.displaced += displaced_part
            remaining -= displaced_part
            if record.is_closed():
                closed.append(record)
        for closed_record in closed:
            self._remove_if_closed(closed_record)
        self._held = max(0, self._held - displaced)
        return displaced

    def _reduce_unspent(self, record: GrantRecord, unspent: float) -> None:
        spent = max(0, record.unspent - unspent)
        record.unspent -= spent
        record.held += spent
        self.unspent = max(0, self.unspent - spent)
        self._held += spent

    def _remove_if_closed(self, record: GrantRecord) -> None:
        if self._grants_by_id.get(record.grant_id) is not record:
            return
        if record.is_closed():
            # Remainders of rounding must not accumulate in the sum.
            self._held = max(0, self._held - record.held)
            self._grants_by_id.pop(record.grant_id)
        if not self._grants_by_id:
            self.unspent = 0
            self._held = 0
