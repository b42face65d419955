"""Token ledger of one zone, held by the zone leader.

The ledger never grants more than its part of an organisation's limit, however
many earlier holders may still run: see ``Degraded leader`` and ``Takeover`` in
the design. Limits change at known moments (old grants expire, a lease lapses,
a loan ends); a bucket is brought forward from one moment to the next, so a
holder that was suspended refills nothing that it was not entitled to.
"""

import math
from collections.abc import Iterable

from cowsliprack.coordination.bucket import Bucket
from cowsliprack.coordination.grants import (
    NO_ESTIMATE,
    Holding,
    decide_grant,
    find_spare,
    find_wanted,
    is_beyond_share,
    note_asked,
    note_granted,
)
from cowsliprack.coordination.loans import (
    CLOCK_MARGIN_SECONDS,
    MAX_CLOCK_DRIFT,
    NOTHING,
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

# Seconds for which an instance may spend a grant, from when it asked.
GRANT_LIFETIME_SECONDS = 2.0
# Seconds until a grant has certainly expired, on the ledger's clock.
GRANT_EXPIRY_SECONDS = (
    GRANT_LIFETIME_SECONDS * (1 + 2 * MAX_CLOCK_DRIFT) + CLOCK_MARGIN_SECONDS
)
_RESOURCE_PREFIX = 'rate:'


class Ledger:
    """Buckets of one zone for all organisations.

    :param fencing: of the lease under which this holder acts.
    :param now: seconds, on a clock that runs during suspension.
    :param predecessor_stopped: whether every earlier holder of the zone is
        known to have stopped, not only the last one.
    :param lease_until: deadline of the lease; from then on the holder is
        degraded unless :meth:`renew` moves it.
    :param loans: what this leader lends and borrows.
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
        self._holdings_by_organisation: dict[str, Holding] = {}
        self._tenure = UsableShare(
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
        holding = self._holdings_by_organisation.get(organisation)
        if holding is None:
            holding = Holding(f'{_RESOURCE_PREFIX}{organisation}', Bucket(now))
            self._holdings_by_organisation[organisation] = holding
        self._advance(holding, now)
        holding.share = Portion(rate, burst)
        self._apply_limit(holding, now)

    def drop_share(self, organisation: str) -> None:
        """Grant nothing more to an organisation that is not configured.

        Its bucket is kept: credit that is still out counts if it comes back.

        :param organisation: id.
        """
        holding = self._holdings_by_organisation.get(organisation)
        if holding is not None:
            holding.share = NOTHING
            self._apply_limit(holding, holding.bucket.updated_at)

    def grant(
        self,
        request: CreditRequest,
        instance_id: str,
        now: float,
    ) -> CreditGrant:
        """Answer a request for credit.

        :param request: a repeated one gets the same grant again.
        :param instance_id: who asks.
        :param now: seconds.
        """
        holding = self._holdings_by_organisation.get(request.organisation)
        if holding is None:
            return _answer(self.fencing, request, 0, NO_ESTIMATE)
        self._advance(holding, now)
        bucket = holding.bucket
        for earlier_id, unspent in request.unspent_by_grant.items():
            bucket.report_unspent(_grant_id(instance_id, earlier_id), unspent)
        asked = note_asked(holding, instance_id, now)
        rate = bucket.rate / len(holding.asked_by_instance)
        grant_id = _grant_id(instance_id, request.request_id)
        repeated = bucket.find(grant_id)
        if repeated is not None:
            return _answer(self.fencing, request, repeated.tokens, 0, rate)
        tokens, retry_after = decide_grant(holding, request, asked, now)
        if tokens <= 0 and request.needed > bucket.cap:
            retry_after = self._expect(holding, request, retry_after, now)
        if tokens > 0:
            note_granted(holding, tokens, now)
            bucket.grant(grant_id, tokens, now + GRANT_EXPIRY_SECONDS)
        return _answer(self.fencing, request, tokens, retry_after, rate)

    def accept_return(
        self,
        credit_return: CreditReturn,
        instance_id: str,
        now: float,
    ) -> None:
        """Put unused credit back; what was refilled meanwhile is ignored.

        :param credit_return: totals, so it may be lost or repeated.
        :param instance_id: to whom the credit was granted.
        :param now: seconds.
        """
        organisation = credit_return.organisation
        holding = self._holdings_by_organisation.get(organisation)
        if holding is None:
            return
        self._advance(holding, now)
        grant_id = _grant_id(instance_id, credit_return.request_id)
        holding.bucket.report_unspent(grant_id, credit_return.unspent)
        holding.bucket.claim(grant_id, credit_return.tokens)

    def lend(self, request: LoanRequest, now: float) -> LoanGrant:
        """Answer another zone's request; the bucket is reduced at once.

        :param request: for ``rate:{organisation}``.
        :param now: seconds.
        """
        self.advance(now)
        organisation = request.resource.removeprefix(_RESOURCE_PREFIX)
        holding = self._holdings_by_organisation.get(organisation)
        before = self._loans.lent(request.resource, now)
        spare = NOTHING
        if holding is not None:
            lendable = holding.share.scaled(self._tenure.lendable_part(now))
            spare = find_spare(holding, lendable.minus(before), now)
        loan = self._loans.lend(request, spare, now)
        lent = self._loans.lent(request.resource, now).minus(before)
        if holding and not lent.is_empty():
            # The tokens move to the borrower, together with the room for them.
            holding.bucket.take(lent.burst)
            self._apply_limit(holding, now)
        return loan

    def accept_loan(self, grant: LoanGrant, now: float) -> None:
        """Use a loan of another zone.

        :param grant: answer to a request of :meth:`loan_requests_due`.
        :param now: seconds.
        """
        self.advance(now)
        organisation = grant.resource.removeprefix(_RESOURCE_PREFIX)
        holding = self._holdings_by_organisation.get(organisation)
        if holding is None:
            return
        gained = self._loans.accept(grant, now)
        self._apply_limit(holding, now)
        holding.bucket.add(gained.burst)

    def loan_requests_due(
        self,
        lenders: Iterable[str],
        now: float,
    ) -> list[tuple[str, LoanRequest]]:
        """Return the requests to send to leaders of other zones now.

        :param lenders: zones whose leader is known.
        :param now: seconds.
        :returns: zone and request.
        """
        self.advance(now)
        lenders = tuple(lenders)
        due = []
        for holding in self._holdings_by_organisation.values():
            wanted = NOTHING
            if self._tenure.part(now) > 0:
                wanted = find_wanted(holding, now)
            for lender in lenders:
                request = self._loans.ask(
                    holding.resource,
                    lender,
                    wanted.scaled(1 / len(lenders)),
                    now,
                    keeps=is_beyond_share(holding, now),
                )
                if request is not None:
                    due.append((lender, request))
        return due

    def renew(self, lease_until: float, now: float) -> None:
        """Note that the lease was renewed, which ends a degraded period.

        :param lease_until: new deadline. Only a conditional update of the
            holder's own lease version shows that nobody else held it.
        :param now: seconds.
        """
        self.advance(now)
        self._tenure.renew(lease_until)
        self.advance(now)

    def degrade(self, now: float) -> None:
        """Continue without a lease, at half of the share.

        :param now: seconds.
        """
        self.advance(now)
        self._tenure.degrade(now)
        self.advance(now)

    def predecessor_stopped(self, now: float) -> None:
        """Note that every earlier holder of the zone is known to have stopped.

        :param now: seconds.
        """
        self.advance(now)
        self._tenure.predecessor_stopped(now)

    def step_down(self) -> None:
        """Grant and lend nothing any more."""
        self._tenure.step_down()

    def limit(self, organisation: str, now: float) -> Portion:
        """Return rate and burst that this holder may grant from.

        :param organisation: id.
        :param now: seconds.
        """
        holding = self._holdings_by_organisation.get(organisation)
        return self._limit(holding, now) if holding else NOTHING

    def advance(self, now: float) -> None:
        """Bring every bucket forward and forget the loans that have ended.

        :param now: seconds.
        """
        for holding in self._holdings_by_organisation.values():
            self._advance(holding, now)
        self._loans.expire(now)

    def _limit(self, holding: Holding, now: float) -> Portion:
        part = self._tenure.part(now)
        if part == 0:
            return NOTHING
        own = holding.share.scaled(part)
        own = own.minus(self._loans.lent(holding.resource, now))
        return own.plus(self._loans.borrowed(holding.resource, now))

    def _expect(
        self,
        holding: Holding,
        request: CreditRequest,
        retry_after: float,
        now: float,
    ) -> float:
        """Estimate when a larger part of the share will meet a request."""
        lent = self._loans.lent(holding.resource, now)
        for moment, part in self._tenure.expected_parts(now):
            limit = holding.share.scaled(part).minus(lent)
            if limit.burst >= request.needed and limit.amount > 0:
                wait = moment - now + request.needed / limit.amount
                return wait if wait < NO_ESTIMATE else retry_after
        return retry_after

    def _advance(self, holding: Holding, now: float) -> None:
        bucket = holding.bucket
        changes = (*self._tenure.changes(), *self._loans.ends(holding.resource))
        moments = {
            moment for moment in changes if bucket.updated_at < moment < now
        }
        for moment in (*sorted(moments), now):
            bucket.advance(moment)
            self._apply_limit(holding, moment)

    def _apply_limit(self, holding: Holding, now: float) -> None:
        limit = self._limit(holding, now)
        holding.bucket.set_limits(limit.amount, limit.burst, now)


def _grant_id(instance_id: str, request_id: str) -> str:
    return f'{instance_id}/{request_id}'


def _answer(
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
