"""Token ledger of one zone, kept by the zone leader.

The ledger never grants more than its part of an organisation's limit, however
many earlier leaders may still run: see ``Degraded leader`` and ``Takeover`` in
the design. Limits change at known times (old grants expire, a lease lapses, a
loan ends); a bucket is advanced from one such time to the next, so that a
leader that was suspended refills nothing that it was not entitled to.
"""

import math
from collections.abc import Iterable

from cowsliprack.coordination.bucket import Bucket
from cowsliprack.coordination.grants import (
    NO_ESTIMATE_SECONDS,
    LedgerAccount,
    decide_grant,
    find_lendable,
    find_shortfall,
    record_grant,
    record_request,
    uses_most_of_share,
)
from cowsliprack.coordination.loans import (
    CLOCK_MARGIN_SECONDS,
    EMPTY_PORTION,
    MAX_CLOCK_DRIFT,
    LoanTracker,
    Portion,
)
from cowsliprack.coordination.usable_share import UsableShare
from cowsliprack.protocol.peer import (
    CreditGrant,
    CreditRequest,
    CreditReturn,
    LoanGrant,
    LoanRequest,
)

# Time for which an instance may spend a grant, counted from its request.
GRANT_LIFETIME_SECONDS = 2.0
# Time until a grant has certainly expired, on the ledger's clock.
GRANT_EXPIRY_SECONDS = (
    GRANT_LIFETIME_SECONDS * (1 + 2 * MAX_CLOCK_DRIFT) + CLOCK_MARGIN_SECONDS
)
_RESOURCE_PREFIX = 'rate:'


class Ledger:
    """Grants credit to the instances of one zone, for all organisations.

    :param fencing: fencing number of the lease of this leader.
    :param now: seconds, on a clock that runs during suspension.
    :param predecessor_stopped: whether every earlier leader of the zone is
        known to have stopped, not only the last one.
    :param lease_until: deadline of the lease; from then on the leader is
        degraded unless :meth:`renew` moves it.
    :param loans: loans that this leader lends and borrows.
    """

    def __init__(
        self,
        fencing: int,
        now: float,
        *,
        predecessor_stopped: bool = False,
        lease_until: float = math.inf,
        loans: LoanTracker | None = None,
    ) -> None:
        """Start with empty buckets and no shares."""
        self.fencing = fencing
        self._loans = loans or LoanTracker(
            '', str(fencing), GRANT_EXPIRY_SECONDS
        )
        self._accounts_by_organisation: dict[str, LedgerAccount] = {}
        self._usable_share = UsableShare(
            now,
            GRANT_EXPIRY_SECONDS,
            predecessor_stopped=predecessor_stopped,
            lease_until=lease_until,
        )

    def set_share(
        self,
        organisation: str,
        rate: float,
        burst: float,
        now: float,
    ) -> None:
        """Set the zone's share of an organisation's limit.

        :param rate: tokens a second.
        :param burst: tokens.
        :param now: seconds.
        """
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            account = LedgerAccount(
                f'{_RESOURCE_PREFIX}{organisation}', Bucket(now)
            )
            self._accounts_by_organisation[organisation] = account
        self._advance(account, now)
        account.share = Portion(rate, burst)
        self._apply_limit(account, now)

    def drop_share(self, organisation: str) -> None:
        """Grant nothing more to an organisation that is not configured.

        Its bucket is kept, so that unexpired grants still count if the
        organisation is configured again.

        :param organisation: id.
        """
        account = self._accounts_by_organisation.get(organisation)
        if account is not None:
            account.share = EMPTY_PORTION
            self._apply_limit(account, account.bucket.updated_at)

    def grant(
        self,
        request: CreditRequest,
        instance_id: str,
        now: float,
    ) -> CreditGrant:
        """Answer a request for credit.

        :param request: a repeated request gets the same grant again.
        :param instance_id: instance that asks.
        :param now: seconds.
        """
        account = self._accounts_by_organisation.get(request.organisation)
        if account is None:
            return _build_grant(self.fencing, request, 0, NO_ESTIMATE_SECONDS)
        self._advance(account, now)
        bucket = account.bucket
        for earlier_id, unspent in request.unspent_by_grant.items():
            bucket.report_unspent(_grant_id(instance_id, earlier_id), unspent)
        demand = record_request(account, instance_id, now)
        rate = bucket.rate / len(account.demand_by_instance)
        grant_id = _grant_id(instance_id, request.request_id)
        repeated = bucket.find(grant_id)
        if repeated is not None:
            return _build_grant(self.fencing, request, repeated.tokens, 0, rate)
        tokens, retry_after = decide_grant(account, request, demand, now)
        if tokens <= 0 and request.needed > bucket.cap:
            retry_after = self._estimate_wait_for_growth(
                account, request, retry_after, now
            )
        if tokens > 0:
            record_grant(account, tokens, now)
            bucket.grant(grant_id, tokens, now + GRANT_EXPIRY_SECONDS)
        return _build_grant(self.fencing, request, tokens, retry_after, rate)

    def accept_return(
        self,
        credit_return: CreditReturn,
        instance_id: str,
        now: float,
    ) -> None:
        """Refund unused credit, except what refill has replaced meanwhile.

        :param credit_return: totals of the grant, so that the message may be
            lost or repeated.
        :param instance_id: instance to which the credit was granted.
        :param now: seconds.
        """
        organisation = credit_return.organisation
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return
        self._advance(account, now)
        grant_id = _grant_id(instance_id, credit_return.request_id)
        account.bucket.report_unspent(grant_id, credit_return.unspent)
        account.bucket.claim(grant_id, credit_return.tokens)

    def lend(self, request: LoanRequest, now: float) -> LoanGrant:
        """Answer another zone's loan request; reduces the bucket at once.

        :param request: for ``rate:{organisation}``.
        :param now: seconds.
        """
        self.advance(now)
        organisation = request.resource.removeprefix(_RESOURCE_PREFIX)
        account = self._accounts_by_organisation.get(organisation)
        before = self._loans.lent(request.resource, now)
        spare = EMPTY_PORTION
        if account is not None:
            lendable = account.share.scaled(
                self._usable_share.lendable_fraction(now)
            )
            spare = find_lendable(account, lendable.minus(before), now)
        loan = self._loans.lend(request, spare, now)
        lent = self._loans.lent(request.resource, now).minus(before)
        if account and not lent.is_empty():
            # Both the tokens and the part of the cap move to the borrower.
            account.bucket.take(lent.burst)
            self._apply_limit(account, now)
        return loan

    def accept_loan(self, grant: LoanGrant, now: float) -> None:
        """Add a loan of another zone to the bucket.

        :param grant: answer to a request of :meth:`loan_requests_due`.
        :param now: seconds.
        """
        self.advance(now)
        organisation = grant.resource.removeprefix(_RESOURCE_PREFIX)
        account = self._accounts_by_organisation.get(organisation)
        if account is None:
            return
        gained = self._loans.accept(grant, now)
        self._apply_limit(account, now)
        account.bucket.add(gained.burst)

    def loan_requests_due(
        self,
        lenders: Iterable[str],
        now: float,
    ) -> list[tuple[str, LoanRequest]]:
        """Return the loan requests to send to leaders of other zones now.

        :param lenders: zones whose leader is known.
        :param now: seconds.
        :returns: pairs of zone and request.
        """
        self.advance(now)
        lenders = tuple(lenders)
        due = []
        for account in self._accounts_by_organisation.values():
            wanted = EMPTY_PORTION
            if self._usable_share.fraction(now) > 0:
                wanted = find_shortfall(account, now)
            for lender in lenders:
                request = self._loans.request_due(
                    account.resource,
                    lender,
                    wanted.scaled(1 / len(lenders)),
                    now,
                    may_renew=uses_most_of_share(account, now),
                )
                if request is not None:
                    due.append((lender, request))
        return due

    def renew(self, lease_until: float, now: float) -> None:
        """Record a renewed lease, which ends a degraded period.

        :param lease_until: new deadline. Only a conditional update of the
            leader's own lease version shows that nobody else held it.
        :param now: seconds.
        """
        self.advance(now)
        self._usable_share.renew(lease_until)
        self.advance(now)

    def degrade(self, now: float) -> None:
        """Record that the lease has lapsed; grants from half of the share.

        :param now: seconds.
        """
        self.advance(now)
        self._usable_share.degrade(now)
        self.advance(now)

    def predecessor_stopped(self, now: float) -> None:
        """Record that every earlier leader of the zone has stopped.

        :param now: seconds.
        """
        self.advance(now)
        self._usable_share.predecessor_stopped(now)

    def step_down(self) -> None:
        """Stop granting and lending."""
        self._usable_share.step_down()

    def limit(self, organisation: str, now: float) -> Portion:
        """Return the rate and burst that this leader may grant from.

        :param organisation: id.
        :param now: seconds.
        """
        account = self._accounts_by_organisation.get(organisation)
        return self._limit(account, now) if account else EMPTY_PORTION

    def advance(self, now: float) -> None:
        """Refill every bucket up to now and drop the loans that have ended.

        :param now: seconds.
        """
        for account in self._accounts_by_organisation.values():
            self._advance(account, now)
        self._loans.expire(now)

    def _limit(self, account: LedgerAccount, now: float) -> Portion:
        fraction = self._usable_share.fraction(now)
        if fraction == 0:
            return EMPTY_PORTION
        own = account.share.scaled(fraction)
        own = own.minus(self._loans.lent(account.resource, now))
        return own.plus(self._loans.borrowed(account.resource, now))

    def _estimate_wait_for_growth(
        self,
        account: LedgerAccount,
        request: CreditRequest,
        retry_after: float,
        now: float,
    ) -> float:
        """Estimate when growth of the usable share will cover a request."""
        lent = self._loans.lent(account.resource, now)
        for moment, fraction in self._usable_share.expected_fractions(now):
            limit = account.share.scaled(fraction).minus(lent)
            if limit.burst >= request.needed and limit.amount > 0:
                wait = moment - now + request.needed / limit.amount
                return wait if wait < NO_ESTIMATE_SECONDS else retry_after
        return retry_after

    def _advance(self, account: LedgerAccount, now: float) -> None:
        bucket = account.bucket
        change_times = (
            *self._usable_share.change_times(),
            *self._loans.end_times(account.resource),
        )
        moments = {
            moment
            for moment in change_times
            if bucket.updated_at < moment < now
        }
        for moment in (*sorted(moments), now):
            bucket.advance(moment)
            self._apply_limit(account, moment)

    def _apply_limit(self, account: LedgerAccount, now: float) -> None:
        limit = self._limit(account, now)
        account.bucket.set_limits(limit.amount, limit.burst, now)


def _grant_id(instance_id: str, request_id: str) -> str:
    return f'{instance_id}/{request_id}'


def _build_grant(
    fencing: int,
    request: CreditRequest,
    tokens: float,
    retry_after: float,
    rate: float = 0,
) -> CreditGrant:
    return CreditGrant(
        request.request_id,
        request.organisation,
        tokens,
        GRANT_LIFETIME_SECONDS,
        retry_after,
        fencing,
        rate,
    )
