"""Credit that one instance may spend without asking the ledger.

Each grant has its own balance until it expires, because unused credit must be
attributed to its grant. Unused credit is always returned to the ledger: if it
were spent here, the ledger might have refilled it already.
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

# Time constant of the smoothed spend rate.
_SMOOTHING_SECONDS = 1.0
# Credit for this time of spending is requested in advance, once what is left
# lasts for less than the second time.
_PREFETCH_SECONDS = 0.6
_LOW_CREDIT_SECONDS = 0.3
# Credit beyond this time of spending is returned early.
_SURPLUS_SECONDS = 1.5
# An unanswered request is sent again under the same id after this time.
_RESEND_AFTER_SECONDS = 0.3
# A request is abandoned after this time: little of the grant's lifetime would
# be left.
_REQUEST_TIMEOUT_SECONDS = 1.0
# Minimum time between two requests, after a full and after a partial grant.
_MIN_INTERVAL_SECONDS = 0.02
_SHORT_GRANT_INTERVAL_SECONDS = 0.1
# Maximum wait before the next request: other instances may return credit
# earlier than the ledger's estimate.
_MAX_INTERVAL_SECONDS = 0.25
# Returns the whole of a grant of unknown size: no grant is this large.
_WHOLE_GRANT_TOKENS = 1e15
# An estimate expires when no refusal has followed for this time.
_ESTIMATE_VALID_SECONDS = 1.0
_EPSILON = 1e-6


@dataclass(frozen=True, slots=True)
class WaitingTokens:
    """Tokens that waiting requests of one organisation need.

    :param needed: tokens of the next request.
    :param total: tokens of all requests that could start.
    """

    needed: float
    total: float


@dataclass(slots=True)
class _PendingRequest:
    """Request that the ledger has not answered yet."""

    request: CreditRequest
    asked_at: float
    sent_at: float


@dataclass(frozen=True, slots=True)
class _Refusal:
    """Last answer of the ledger, if it granted nothing.

    :param ends_at: when ``needed`` may be granted, seconds.
    :param rate: tokens a second that can be expected beyond that.
    """

    ends_at: float
    needed: float
    rate: float


@dataclass(slots=True)
class _Account:
    """Credit of one organisation."""

    balances: GrantBalances = field(default_factory=GrantBalances)
    pending: _PendingRequest | None = None
    abandoned: list[str] = field(default_factory=list)
    spend_rate: float = 0
    spend_updated_at: float = 0
    # Tokens spent beyond a reservation; deducted from later credit.
    debt: float = 0
    ask_after: float = -math.inf
    last_needed: float = 0
    refusal: _Refusal | None = None


_NO_WAITING: Mapping[str, WaitingTokens] = MappingProxyType({})


class CreditAccount:
    """Credit of one instance for every organisation.

    :param epoch: unique for each start of the process; request ids contain
        it, so that a restarted instance never gets the grants of its
        predecessor a second time.
    """

    def __init__(self, epoch: str) -> None:
        """Start without credit."""
        self._epoch = epoch
        self._request_count = 0
        self._fencing_by_zone: dict[str, int] = {}
        self._accounts_by_organisation: dict[str, _Account] = {}

    def available(self, organisation: str, now: float) -> float:
        """Return how many tokens may be reserved now.

        :param now: seconds, on a clock that runs during suspension.
        :returns: tokens, negative while there is debt.
        """
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return 0
        account.balances.drop_expired(now)
        return account.balances.unspent() - account.debt

    def reserve(
        self,
        organisation: str,
        tokens: float,
        now: float,
    ) -> Reservation | None:
        """Reserve tokens for a request, without waiting.

        :param tokens: prompt plus maximum output.
        :param now: seconds.
        :returns: the reservation, ``None`` when the credit is too low.
        """
        if self.available(organisation, now) + _EPSILON < tokens:
            return None
        account = self._account(organisation)
        _record_spending(account, tokens, now)
        account.balances.draw(account.debt)
        account.debt = 0
        parts = account.balances.draw(tokens)
        return Reservation(organisation, tokens, parts)

    def settle(
        self,
        reservation: Reservation,
        used: float,
        now: float,
    ) -> None:
        """End a reservation; what it did not use is returned to the ledger.

        :param used: tokens, 0 when the request did not run; use beyond the
            reservation is deducted from later credit.
        :param now: seconds.
        """
        if reservation.settled:
            return
        reservation.settled = True
        account = self._account(reservation.organisation)
        account.debt += max(0, used - reservation.tokens)
        unused = max(0, reservation.tokens - used)
        # Newest grants first: the ledger may refund them when it no longer
        # refunds older ones.
        for balance, part in reversed(reservation.parts):
            returned = min(part, unused)
            unused -= returned
            account.balances.return_tokens(balance, returned)
        account.balances.drop_expired(now)

    def accept(self, grant: CreditGrant, now: float) -> None:
        """Add a grant; stale, late, repeated and unknown ones are ignored.

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
        account.ask_after = now + _request_interval(pending.request, grant)
        expires_at = pending.asked_at + grant.lifetime
        if grant.tokens > 0:
            balance = GrantBalance(grant.request_id, expires_at, grant.tokens)
            account.balances.add(balance)
            account.balances.drop_expired(now)

    def requests_due(
        self,
        now: float,
        waiting_by_organisation: Mapping[str, WaitingTokens] = _NO_WAITING,
    ) -> list[CreditRequest]:
        """Return the requests to send to the zone leader now.

        :param now: seconds.
        :param waiting_by_organisation: tokens that waiting requests need.
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
        """Return the messages that return unused credit to the ledger.

        :param now: seconds.
        """
        returns = []
        for name, account in self._accounts_by_organisation.items():
            account.balances.drop_expired(now)
            _return_surplus(account, now)
            for request_id in account.abandoned:
                returns.append(
                    CreditReturn(request_id, name, _WHOLE_GRANT_TOKENS)
                )
            account.abandoned.clear()
            for balance in account.balances.take_returned():
                returns.append(
                    CreditReturn(
                        balance.request_id,
                        name,
                        balance.unused,
                        balance.unspent,
                    )
                )
        return returns

    def retry_after(
        self,
        organisation: str,
        tokens: float,
        now: float,
    ) -> float:
        """Estimate when a request could be admitted.

        :param tokens: tokens of the request and of those before it.
        :returns: seconds; infinite while nothing is known, because only a
            refusal shows that the ledger's bucket is too low.
        """
        account = self._account(organisation)
        missing = tokens - self.available(organisation, now)
        if missing <= 0:
            return 0
        refusal = account.refusal
        if refusal is None or now > refusal.ends_at + _ESTIMATE_VALID_SECONDS:
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
            return _resend_or_abandon(account, account.pending, now)
        rate = _spend_rate(account, now)
        needed = max(0, waiting.needed - available) if waiting else 0
        total = waiting.total if waiting else 0
        unexpiring = available - account.balances.expiring_before(
            now + _LOW_CREDIT_SECONDS
        )
        wanted = max(needed, total + rate * _PREFETCH_SECONDS - unexpiring)
        is_low = unexpiring < rate * _LOW_CREDIT_SECONDS
        if wanted <= _EPSILON or not (is_low or needed > 0):
            return None
        if now < account.ask_after and needed >= account.last_needed:
            return None
        self._request_count += 1
        account.last_needed = needed
        request = CreditRequest(
            f'{self._epoch}-{self._request_count}',
            organisation,
            needed,
            wanted,
            account.balances.unspent_by_grant(),
        )
        account.pending = _PendingRequest(request, now, now)
        return request


def _resend_or_abandon(
    account: _Account,
    pending: _PendingRequest,
    now: float,
) -> CreditRequest | None:
    if now >= pending.asked_at + _REQUEST_TIMEOUT_SECONDS:
        account.abandoned.append(pending.request.request_id)
        account.pending = None
        return None
    if now < pending.sent_at + _RESEND_AFTER_SECONDS:
        return None
    pending.sent_at = now
    return pending.request


def _request_interval(request: CreditRequest, grant: CreditGrant) -> float:
    if grant.tokens + _EPSILON >= request.wanted:
        return _MIN_INTERVAL_SECONDS
    if grant.tokens > 0:
        return _SHORT_GRANT_INTERVAL_SECONDS
    return max(
        _MIN_INTERVAL_SECONDS, min(grant.retry_after, _MAX_INTERVAL_SECONDS)
    )


def _return_surplus(account: _Account, now: float) -> None:
    surplus = account.balances.unspent() - account.debt
    surplus -= _spend_rate(account, now) * _SURPLUS_SECONDS
    for balance in reversed(account.balances.spendable):
        is_near_expiry = now >= balance.expires_at - _SURPLUS_SECONDS
        if surplus > _EPSILON and is_near_expiry:
            returned = min(surplus, balance.unspent)
            account.balances.return_unspent(balance, returned)
            surplus -= returned


def _record_spending(account: _Account, tokens: float, now: float) -> None:
    rate = _spend_rate(account, now) + tokens / _SMOOTHING_SECONDS
    account.spend_rate = max(0, rate)
    account.spend_updated_at = now


def _spend_rate(account: _Account, now: float) -> float:
    elapsed = max(0, now - account.spend_updated_at)
    return account.spend_rate * math.exp(-elapsed / _SMOOTHING_SECONDS)
