"""Loans of parts of a share between zones, with an expiry.

The lender reduces its own use before it answers and resumes late; the borrower
counts the lifetime from before it asked and stops early. The sum over both
therefore never exceeds what the lender had, with clocks that drift by up to
``MAX_CLOCK_DRIFT`` and answers that are lost: a loan whose answer was lost
counts as lent.
"""

from dataclasses import dataclass

from cowsliprack.protocol.peer import LoanGrant, LoanRequest

# A clock gains or loses at most this fraction of an interval.
MAX_CLOCK_DRIFT = 0.01
# Added to every wait for an interval that another clock measures.
CLOCK_MARGIN_SECONDS = 0.1
# Bounds how long a zone whose borrower was lost, or whose leader was replaced,
# goes without the part that was lent.
LOAN_LIFETIME_SECONDS = 10.0
# Time until a loan given by an earlier leader has certainly ended.
LOAN_EXPIRY_SECONDS = (
    LOAN_LIFETIME_SECONDS * (1 + 2 * MAX_CLOCK_DRIFT) + CLOCK_MARGIN_SECONDS
)
# An unanswered request is sent again under the same id, and later given up.
_RESEND_AFTER_SECONDS = 0.5
_REQUEST_TIMEOUT_SECONDS = 3.0
# Minimum interval between answered requests to one zone: a loan takes time to
# have an effect, and what was refused is unlikely to be free sooner.
_REQUEST_INTERVAL_SECONDS = 1.0
# A loan that is still needed is renewed this long before it ends.
_RENEW_BEFORE_END_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Portion:
    """Part of a limit.

    :param amount: rate, units a second, or a number of units.
    :param burst: units that may be used at once.
    """

    amount: float = 0
    burst: float = 0

    def plus(self, other: 'Portion') -> 'Portion':
        """Return the sum.

        :param other: what is added.
        """
        return Portion(self.amount + other.amount, self.burst + other.burst)

    def minus(self, other: 'Portion') -> 'Portion':
        """Return the difference, not below zero.

        :param other: what is taken off.
        """
        return Portion(
            max(0, self.amount - other.amount),
            max(0, self.burst - other.burst),
        )

    def at_most(self, bound: 'Portion') -> 'Portion':
        """Return the smaller amount and the smaller burst.

        :param bound: upper bound.
        """
        return Portion(
            min(self.amount, bound.amount),
            min(self.burst, bound.burst),
        )

    def scaled(self, factor: float) -> 'Portion':
        """Return a part of the portion.

        :param factor: from 0 to 1.
        """
        return Portion(self.amount * factor, self.burst * factor)

    def is_empty(self) -> bool:
        """Return whether amount and burst are zero."""
        return self.amount <= 0 and self.burst <= 0


EMPTY_PORTION = Portion()


@dataclass(slots=True)
class Loan:
    """A loan as the lender or the borrower records it.

    :param zone: the other zone.
    :param starts_at: when the lender has reduced its use and the borrower may
        begin, seconds.
    :param ends_at: when the lender resumes or the borrower stops, seconds.
    """

    loan_id: str
    resource: str
    zone: str
    portion: Portion
    starts_at: float
    ends_at: float
    lifetime: float = LOAN_LIFETIME_SECONDS


@dataclass(slots=True)
class _PendingRequest:
    request: LoanRequest
    lender: str
    asked_at: float
    sent_at: float


def lender_resumes_at(answered_at: float, lifetime: float) -> float:
    """Return when a lender may use the lent part again.

    :param answered_at: seconds, on the lender's clock.
    :param lifetime: of the loan, seconds.
    """
    return answered_at + lifetime * (1 + MAX_CLOCK_DRIFT) + CLOCK_MARGIN_SECONDS


def borrower_stops_at(asked_at: float, lifetime: float, drain: float) -> float:
    """Return when a borrower stops using its loan.

    :param asked_at: seconds, on the borrower's clock, before it asked.
    :param lifetime: of the loan, seconds.
    :param drain: seconds for which work started under the loan continues.
    """
    return (
        asked_at
        + lifetime * (1 - MAX_CLOCK_DRIFT)
        - CLOCK_MARGIN_SECONDS
        - drain
    )


class LoanTracker:
    """Tracks the loans that one zone leader lends and borrows.

    :param zone: of this leader.
    :param epoch: unique for each start of the leader.
    :param drain: seconds for which work started under a loan continues.
    """

    def __init__(self, zone: str, epoch: str, drain: float = 0) -> None:
        """Start without loans."""
        self._zone = zone
        self._epoch = epoch
        self._drain = drain
        self._request_count = 0
        self._lent_by_id: dict[str, Loan] = {}
        self._borrowed_by_id: dict[str, Loan] = {}
        self._pending_by_key: dict[tuple[str, str], _PendingRequest] = {}
        self._next_request_at: dict[tuple[str, str], float] = {}

    def request_due(
        self,
        resource: str,
        lender: str,
        wanted: Portion,
        now: float,
        *,
        may_renew: bool = False,
    ) -> LoanRequest | None:
        """Return the request to send to a lender now, if any.

        :param resource: name of the limit to borrow from.
        :param lender: zone that is asked.
        :param wanted: to be borrowed beyond earlier loans.
        :param now: seconds.
        :param may_renew: whether a loan that ends soon is to be renewed.
        """
        key = (resource, lender)
        pending = self._pending_by_key.get(key)
        if (
            pending is not None
            and now < pending.asked_at + _REQUEST_TIMEOUT_SECONDS
        ):
            if now < pending.sent_at + _RESEND_AFTER_SECONDS:
                return None
            pending.sent_at = now
            return pending.request
        self._pending_by_key.pop(key, None)
        renewable = (
            self._loan_to_renew(resource, lender, now) if may_renew else None
        )
        portion = renewable.portion if renewable else wanted
        if portion.is_empty() or now < self._next_request_at.get(key, now):
            return None
        self._request_count += 1
        request = LoanRequest(
            f'{self._zone}-{self._epoch}-{self._request_count}',
            resource,
            self._zone,
            portion.amount,
            portion.burst,
            renewable.loan_id if renewable else '',
        )
        self._pending_by_key[key] = _PendingRequest(request, lender, now, now)
        return request

    def lend(
        self,
        request: LoanRequest,
        spare: Portion,
        now: float,
    ) -> LoanGrant:
        """Answer a request; the lent part counts as lent from now on.

        :param request: a repeated request gets the same answer again.
        :param spare: what can be lent because nobody uses it.
        :param now: seconds.
        """
        loan = self._lent_by_id.get(request.loan_id)
        if loan is None:
            loan = self._create_or_renew(request, spare, now)
        return LoanGrant(
            loan.loan_id,
            loan.resource,
            loan.portion.amount,
            loan.lifetime,
            loan.portion.burst,
        )

    def accept(self, grant: LoanGrant, now: float) -> Portion:
        """Record a loan; late, repeated and unknown answers are ignored.

        :param grant: answer to a request of this tracker.
        :param now: seconds.
        :returns: newly borrowed portion; empty for a renewed loan.
        """
        pending = self._find_pending(grant.loan_id)
        if pending is None:
            return EMPTY_PORTION
        key = (pending.request.resource, pending.lender)
        self._pending_by_key.pop(key)
        self._next_request_at[key] = now + _REQUEST_INTERVAL_SECONDS
        portion = Portion(grant.amount, grant.burst)
        stops_at = borrower_stops_at(
            pending.asked_at, grant.lifetime, self._drain
        )
        if portion.is_empty() or now >= stops_at:
            return EMPTY_PORTION
        renewed = self._borrowed_by_id.get(pending.request.renews)
        if renewed is not None and now < renewed.ends_at:
            renewed.loan_id = grant.loan_id
            renewed.ends_at = stops_at
            self._borrowed_by_id.pop(pending.request.renews)
            self._borrowed_by_id[grant.loan_id] = renewed
            return EMPTY_PORTION
        self._borrowed_by_id[grant.loan_id] = Loan(
            grant.loan_id,
            pending.request.resource,
            pending.lender,
            portion,
            now,
            stops_at,
        )
        return portion

    def lent(self, resource: str, now: float) -> Portion:
        """Return what this zone must not use because it is lent.

        :param resource: as in the requests.
        :param now: seconds; may be any time since the last :meth:`expire`.
        """
        return _total(list(self._lent_by_id.values()), resource, now)

    def borrowed(self, resource: str, now: float) -> Portion:
        """Return what this zone may use beyond its share.

        :param resource: as in the requests.
        :param now: seconds; may be any time since the last :meth:`expire`.
        """
        return _total(list(self._borrowed_by_id.values()), resource, now)

    def end_times(self, resource: str) -> tuple[float, ...]:
        """Return the times at which loans of a resource end.

        :param resource: as in the requests.
        """
        return tuple(
            loan.ends_at
            for loans_by_id in (self._lent_by_id, self._borrowed_by_id)
            for loan in loans_by_id.values()
            if loan.resource == resource
        )

    def expire(self, now: float) -> list[Loan]:
        """Remove and return the loans that have ended.

        :param now: seconds.
        """
        ended = []
        for loans_by_id in (self._lent_by_id, self._borrowed_by_id):
            expired = [
                loan for loan in loans_by_id.values() if loan.ends_at <= now
            ]
            for loan in expired:
                loans_by_id.pop(loan.loan_id)
            ended.extend(expired)
        return ended

    def _create_or_renew(
        self, request: LoanRequest, spare: Portion, now: float
    ) -> Loan:
        resumes_at = lender_resumes_at(now, LOAN_LIFETIME_SECONDS)
        earlier = self._lent_by_id.get(request.renews)
        if earlier is not None and now < earlier.ends_at:
            # The same loan is extended, so that its part never counts as free
            # in between.
            earlier.loan_id = request.loan_id
            earlier.ends_at = resumes_at
            self._lent_by_id.pop(request.renews)
            self._lent_by_id[request.loan_id] = earlier
            return earlier
        wanted = Portion(request.amount, request.burst)
        portion = EMPTY_PORTION
        if not request.renews:
            portion = wanted.at_most(spare)
        loan = Loan(
            request.loan_id,
            request.resource,
            request.zone,
            portion,
            now,
            resumes_at,
        )
        if not portion.is_empty():
            self._lent_by_id[request.loan_id] = loan
        return loan

    def _find_pending(self, loan_id: str) -> _PendingRequest | None:
        for pending in self._pending_by_key.values():
            if pending.request.loan_id == loan_id:
                return pending
        return None

    def _loan_to_renew(
        self, resource: str, lender: str, now: float
    ) -> Loan | None:
        for loan in self._borrowed_by_id.values():
            is_same = loan.resource == resource and loan.zone == lender
            if (
                is_same
                and now < loan.ends_at <= now + _RENEW_BEFORE_END_SECONDS
            ):
                return loan
        return None


def _total(loans: list[Loan], resource: str, now: float) -> Portion:
    total = EMPTY_PORTION
    for loan in loans:
        if loan.resource == resource and loan.starts_at <= now < loan.ends_at:
            total = total.plus(loan.portion)
    return total
