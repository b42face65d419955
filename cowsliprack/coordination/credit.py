"""Credit of one instance: what it may spend without asking anyone.

Every grant is kept apart until it expires, because what comes back unused
must be attributed to its grant. Unused credit always goes back to the ledger:
put back here, it could be credit that the ledger has refilled already.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import MappingProxyType

from cowsliprack.coordination.grant_balances import (
    GrantBalance,
    GrantBalances,
    Reservation,
)
from cowsliprack.protocol.peer import CreditGrant, CreditRequest, CreditReturn

# Time constant of the smoothed spend rate, seconds.
_SMOOTHING = 1.0
# Spending for which credit is asked ahead, and the level that asks, seconds.
_AHEAD = 0.6
_LOW = 0.3
# Credit beyond this much spending goes back early, seconds.
_SURPLUS = 1.5
# A request without an answer is repeated under the same id after this time.
_ANSWER_TIMEOUT = 0.3
# After this time the request is given up: little of the lifetime is left.
_ABANDON_AFTER = 1.0
# Shortest time between two requests, after a full and after a short grant.
_MIN_INTERVAL = 0.02
_SHORT_INTERVAL = 0.1
# Longest wait before asking again: credit may be given back earlier.
_MAX_INTERVAL = 0.25
# Claims "all of the grant": no instance is granted this much, tokens.
_EVERYTHING = 1e15
# An estimate says nothing when no refusal has followed for this time, seconds.
_ESTIMATE_HOLDS = 1.0
_EPSILON = 1e-6


@dataclass(frozen=True, slots=True)
class WaitingTokens:
    """Tokens of waiting requests of one organisation.

    :param needed: of the request that is next.
    :param total: of all requests that could start.
    """

    needed: float
    total: float


@dataclass(slots=True)
class _Pending:
    request: CreditRequest
    asked_at: float
    sent_at: float


@dataclass(frozen=True, slots=True)
class _Refusal:
    """Last answer of the ledger, if it granted nothing.

    :param ends_at: when ``needed`` may be granted, seconds.
    :param rate: tokens a second that may be expected beyond that.
    """

    ends_at: float
    needed: float
    rate: float


@dataclass(slots=True)
class _Account:
    """State of one organisation."""

    lots: GrantBalances = field(default_factory=GrantBalances)
    pending: _Pending | None = None
    abandoned: list[str] = field(default_factory=list)
    spend_rate: float = 0
    spend_updated_at: float = 0
    # Spent beyond a reservation; taken from later credit.
    debt: float = 0
    ask_after: float = -math.inf
    last_needed: float = 0
    refusal: _Refusal | None = None


_NOTHING_WAITS: Mapping[str, WaitingTokens] = MappingProxyType({})


class CreditAccount:
    """Credit of one instance for every organisation.

    :param epoch: unique for each start of the process; request ids contain
        it, so that a restarted instance never gets the grants of its
        predecessor a second time.
    """

    def __init__(self, epoch: str) -> None:
        """Start without credit."""
        self._epoch = epoch
        self._asked = 0
        self._fencing_by_zone: dict[str, int] = {}
        self._accounts_by_organisation: dict[str, _Account] = {}

    def available(self, organisation: str, now: float) -> float:
        """Return what may be reserved at once.

        :param now: seconds, on a clock that runs during suspension.
        :returns: tokens, negative while spending is to be made up for.
        """
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return 0
        account.lots.drop_expired(now)
        return account.lots.unspent() - account.debt

    def reserve(
        self,
        organisation: str,
        tokens: float,
        now: float,
    ) -> Reservation | None:
        """Set tokens aside for a request, without waiting.

        :param tokens: prompt plus maximum output.
        :param now: seconds.
        :returns: the reservation, or nothing when the credit is too low.
        """
        if self.available(organisation, now) + _EPSILON < tokens:
            return None
        account = self._account(organisation)
        _note_spending(account, tokens, now)
        account.lots.draw(account.debt)
        account.debt = 0
        parts = account.lots.draw(tokens)
        return Reservation(organisation, tokens, parts)

    def settle(
        self,
        reservation: Reservation,
        used: float,
        now: float,
    ) -> None:
        """End a reservation; what it did not use goes back to the ledger.

        :param used: tokens, 0 when the request did not run; more than was
            reserved is taken from later credit.
        :param now: seconds.
        """
        if reservation.settled:
            return
        reservation.settled = True
        account = self._account(reservation.organisation)
        account.debt += max(0, used - reservation.tokens)
        unused = max(0, reservation.tokens - used)
        # Younger grants can still come back when older ones cannot.
        for lot, part in reversed(reservation.parts):
            back = min(part, unused)
            unused -= back
            account.lots.give_back(lot, back)
        account.lots.drop_expired(now)

    def accept(self, grant: CreditGrant, now: float) -> None:
        """Take a grant; stale, late, repeated and unknown ones are ignored.

        :param grant: answer to a request of this account.
        :param now: seconds.
        """
        account = self._accounts_by_organisation.get(grant.organisation)
        highest = self._fencing_by_zone.get(grant.zone, 0)
        if account is None or grant.fencing < highest:
            return
        self._fencing_by_zone[grant.zone] = grant.fencing
        pending = account.pending
        if pending is None or pending.request.request_id != grant.request_id:
            return
        account.pending = None
        account.refusal = None
        if grant.tokens <= 0 < pending.request.needed:
            account.refusal = _Refusal(
                now + grant.retry_after,
                pending.request.needed,
                grant.rate,
            )
        account.ask_after = now + _pause(pending.request, grant)
        expires_at = pending.asked_at + grant.lifetime
        if grant.tokens > 0:
            lot = GrantBalance(grant.request_id, expires_at, grant.tokens)
            account.lots.add(lot)
            account.lots.drop_expired(now)

    def requests_due(
        self,
        now: float,
        waiting_by_organisation: Mapping[str, WaitingTokens] = _NOTHING_WAITS,
    ) -> list[CreditRequest]:
        """Return the requests to send to the ledger holder now.

        :param now: seconds.
        :param waiting_by_organisation: what waits for credit.
        """
        for organisation in waiting_by_organisation:
            self._account(organisation)
        requests = []
        for name, account in self._accounts_by_organisation.items():
            waiting = waiting_by_organisation.get(name)
            request = self._request_due(name, account, waiting, now)
            if request is not None:
                requests.append(request)
        return requests

    def returns_due(self, now: float) -> list[CreditReturn]:
        """Return the messages that give unused credit back.

        :param now: seconds.
        """
        returns = []
        for name, account in self._accounts_by_organisation.items():
            account.lots.drop_expired(now)
            _give_surplus_back(account, now)
            for request_id in account.abandoned:
                returns.append(CreditReturn(request_id, name, _EVERYTHING))
            account.abandoned.clear()
            for lot in account.lots.take_changed():
                returns.append(
                    CreditReturn(lot.request_id, name, lot.unused, lot.unspent)
                )
        return returns

    def retry_after(
        self,
        organisation: str,
        tokens: float,
        now: float,
    ) -> float:
        """Estimate when a request could be admitted.

        :param tokens: of the request and of those before it.
        :returns: seconds; infinite while nothing is known: only a refusal of
            the ledger shows that its bucket is short.
        """
        account = self._account(organisation)
        missing = tokens - self.available(organisation, now)
        if missing <= 0:
            return 0
        refusal = account.refusal
        if refusal is None or now > refusal.ends_at + _ESTIMATE_HOLDS:
            return math.inf
        wait = max(0, refusal.ends_at - now)
        beyond = max(0, missing - refusal.needed)
        if beyond <= 0:
            return wait
        if refusal.rate <= 0:
            return math.inf
        return wait + beyond / refusal.rate

    def _account(self, organisation: str) -> _Account:
        return self._accounts_by_organisation.setdefault(
            organisation,
            _Account(),
        )

    def _request_due(
        self,
        organisation: str,
        account: _Account,
        waiting: WaitingTokens | None,
        now: float,
    ) -> CreditRequest | None:
        available = self.available(organisation, now)
        if account.pending is not None:
            return _repeat(account, account.pending, now)
        rate = _spend_rate(account, now)
        needed = max(0, waiting.needed - available) if waiting else 0
        total = waiting.total if waiting else 0
        lasting = available - account.lots.expiring_before(now + _LOW)
        wanted = max(needed, total + rate * _AHEAD - lasting)
        is_low = lasting < rate * _LOW
        if wanted <= _EPSILON or not (is_low or needed > 0):
            return None
        if now < account.ask_after and needed >= account.last_needed:
            return None
        self._asked += 1
        account.last_needed = needed
        request = CreditRequest(
            f'{self._epoch}-{self._asked}',
            organisation,
            needed,
            wanted,
            account.lots.unspent_by_grant(),
        )
        account.pending = _Pending(request, now, now)
        return request


def _repeat(
    account: _Account,
    pending: _Pending,
    now: float,
) -> CreditRequest | None:
    if now >= pending.asked_at + _ABANDON_AFTER:
        account.abandoned.append(pending.request.request_id)
        account.pending = None
        return None
    if now < pending.sent_at + _ANSWER_TIMEOUT:
        return None
    pending.sent_at = now
    return pending.request


def _pause(request: CreditRequest, grant: CreditGrant) -> float:
    if grant.tokens + _EPSILON >= request.wanted:
        return _MIN_INTERVAL
    if grant.tokens > 0:
        return _SHORT_INTERVAL
    return max(_MIN_INTERVAL, min(grant.retry_after, _MAX_INTERVAL))


def _give_surplus_back(account: _Account, now: float) -> None:
    surplus = account.lots.unspent() - account.debt
    surplus -= _spend_rate(account, now) * _SURPLUS
    for lot in reversed(account.lots.spendable):
        is_aged = now >= lot.expires_at - _SURPLUS
        if surplus > _EPSILON and is_aged:
            back = min(surplus, lot.unspent)
            account.lots.give_unspent_back(lot, back)
            surplus -= back


def _note_spending(account: _Account, tokens: float, now: float) -> None:
    rate = _spend_rate(account, now) + tokens / _SMOOTHING
    account.spend_rate = max(0, rate)
    account.spend_updated_at = now


def _spend_rate(account: _Account, now: float) -> float:
    elapsed = max(0, now - account.spend_updated_at)
    return account.spend_rate * math.exp(-elapsed / _SMOOTHING)
