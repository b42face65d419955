"""Loans of parts of a share between zones, with an expiry.

The lender reduces its own use before it answers and resumes late; the borrower
counts the lifetime from before it asked and stops early. The sum over both
therefore never exceeds what the lender had, with clocks that drift by up to
``MAX_CLOCK_DRIFT`` and answers that are lost: a loan whose answer was lost
counts as lent.
"""

from dataclasses import dataclass

from cowsliprack.protocol.peer import LoanGrant, LoanRequest

# A clock gains or loses at most this part of an interval.
MAX_CLOCK_DRIFT = 0.01
# Added to every wait for something that another clock measures, seconds.
CLOCK_MARGIN_SECONDS = 0.1
# Life of a loan, seconds. It bounds for how long a zone whose borrower was
# lost, or whose leader was replaced, goes without the part that was lent.
LOAN_LIFETIME_SECONDS = 10.0
# Seconds until a loan given by an earlier leader has certainly ended.
LOAN_EXPIRY_SECONDS = (
    LOAN_LIFETIME_SECONDS * (1 + 2 * MAX_CLOCK_DRIFT) + CLOCK_MARGIN_SECONDS
)
# A request without an answer is repeated under the same id after this time,
# and given up after this time, seconds.
_ANSWER_TIMEOUT = 0.5
_GIVE_UP_AFTER = 3.0
# The same zone is asked again after this time: a loan takes time to show its
# effect, and what was refused is hardly free sooner, seconds.
_PAUSE = 1.0
# A loan that is still needed is renewed this long before it ends, seconds.
_RENEW_BEFORE = 3.0


@dataclass(frozen=True, slots=True)
class Portion:
    """Part of a limit: a rate or number, and what may be used at once."""

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
        """Return the smaller of each figure.

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
        """Return whether both figures are zero."""
        return self.amount <= 0 and self.burst <= 0


NOTHING = Portion()


@dataclass(slots=True)
class Loan:
    """A loan on either side.

    :param zone: the other zone.
    :param starts_at: seconds; the giver reduces, the borrower may use it.
    :param ends_at: seconds; the giver resumes, the borrower has stopped.
    """

    loan_id: str
    resource: str
    zone: str
    portion: Portion
    starts_at: float
    ends_at: float
    lifetime: float = LOAN_LIFETIME_SECONDS


@dataclass(slots=True)
class _Ask:
    request: LoanRequest
    lender: str
    asked_at: float
    sent_at: float


def giver_resumes_at(answered_at: float, lifetime: float) -> float:
    """Return when a giver may use its part again.

    :param answered_at: seconds, on the giver's clock.
    :param lifetime: of the loan, seconds.
    """
    return answered_at + lifetime * (1 + MAX_CLOCK_DRIFT) + CLOCK_MARGIN_SECONDS


def borrower_stops_at(asked_at: float, lifetime: float, drain: float) -> float:
    """Return when a borrower uses its loan for the last time.

    :param asked_at: seconds, on the borrower's clock, before it asked.
    :param lifetime: of the loan, seconds.
    :param drain: seconds for which what was started under the loan goes on.
    """
    return (
        asked_at
        + lifetime * (1 - MAX_CLOCK_DRIFT)
        - CLOCK_MARGIN_SECONDS
        - drain
    )


class LoanTracker:
    """Loans given and taken by one zone leader.

    :param zone: of this leader.
    :param epoch: unique for each start of the leader.
    :param drain: seconds for which what was started under a loan goes on.
    """

    def __init__(self, zone: str, epoch: str, drain: float = 0) -> None:
        """Start without loans."""
        self._zone = zone
        self._epoch = epoch
        self._drain = drain
        self._asked = 0
        self._given_by_id: dict[str, Loan] = {}
        self._taken_by_id: dict[str, Loan] = {}
        self._asks: dict[tuple[str, str], _Ask] = {}
        self._pause_until: dict[tuple[str, str], float] = {}

    def ask(
        self,
        resource: str,
        lender: str,
        wanted: Portion,
        now: float,
        *,
        keeps: bool = False,
    ) -> LoanRequest | None:
        """Return the request to send to a zone now, if any.

        :param resource: what is to be lent.
        :param lender: zone that is asked.
        :param wanted: to be borrowed beyond earlier loans.
        :param now: seconds.
        :param keeps: whether a loan that ends soon is to be renewed.
        """
        key = (resource, lender)
        pending = self._asks.get(key)
        if pending is not None and now < pending.asked_at + _GIVE_UP_AFTER:
            if now < pending.sent_at + _ANSWER_TIMEOUT:
                return None
            pending.sent_at = now
            return pending.request
        self._asks.pop(key, None)
        held = self._to_renew(resource, lender, now) if keeps else None
        portion = held.portion if held else wanted
        if portion.is_empty() or now < self._pause_until.get(key, now):
            return None
        self._asked += 1
        request = LoanRequest(
            f'{self._zone}-{self._epoch}-{self._asked}',
            resource,
            self._zone,
            portion.amount,
            portion.burst,
            held.loan_id if held else '',
        )
        self._asks[key] = _Ask(request, lender, now, now)
        return request

    def lend(
        self,
        request: LoanRequest,
        spare: Portion,
        now: float,
    ) -> LoanGrant:
        """Answer a request; the part lent counts from now on.

        :param request: a repeated one gets the same answer again.
        :param spare: what can be lent, already in nobody's use.
        :param now: seconds.
        """
        given = self._given_by_id.get(request.loan_id)
        if given is None:
            given = self._give(request, spare, now)
        return LoanGrant(
            given.loan_id,
            given.resource,
            given.portion.amount,
            given.lifetime,
            given.portion.burst,
        )

    def accept(self, grant: LoanGrant, now: float) -> Portion:
        """Take a loan; late, repeated and unknown answers are ignored.

        :param grant: answer to a request of this book.
        :param now: seconds.
        :returns: what is new; nothing for a renewed loan.
        """
        ask = self._find_ask(grant.loan_id)
        if ask is None:
            return NOTHING
        key = (ask.request.resource, ask.lender)
        self._asks.pop(key)
        self._pause_until[key] = now + _PAUSE
        portion = Portion(grant.amount, grant.burst)
        stops_at = borrower_stops_at(ask.asked_at, grant.lifetime, self._drain)
        if portion.is_empty() or now >= stops_at:
            return NOTHING
        renewed = self._taken_by_id.get(ask.request.renews)
        if renewed is not None and now < renewed.ends_at:
            renewed.loan_id = grant.loan_id
            renewed.ends_at = stops_at
            self._taken_by_id.pop(ask.request.renews)
            self._taken_by_id[grant.loan_id] = renewed
            return NOTHING
        self._taken_by_id[grant.loan_id] = Loan(
            grant.loan_id,
            ask.request.resource,
            ask.lender,
            portion,
            now,
            stops_at,
        )
        return portion

    def lent(self, resource: str, now: float) -> Portion:
        """Return what this zone must not use because it is lent.

        :param resource: as in the requests.
        :param now: seconds; also a time that has passed since :meth:`expire`.
        """
        return _total(list(self._given_by_id.values()), resource, now)

    def borrowed(self, resource: str, now: float) -> Portion:
        """Return what this zone may use beyond its share.

        :param resource: as in the requests.
        :param now: seconds; also a time that has passed since :meth:`expire`.
        """
        return _total(list(self._taken_by_id.values()), resource, now)

    def ends(self, resource: str) -> tuple[float, ...]:
        """Return the times at which a loan of a resource ends.

        :param resource: as in the requests.
        """
        return tuple(
            loan.ends_at
            for loans_by_id in (self._given_by_id, self._taken_by_id)
            for loan in loans_by_id.values()
            if loan.resource == resource
        )

    def expire(self, now: float) -> list[Loan]:
        """Forget and return the loans that have ended.

        :param now: seconds.
        """
        ended = []
        for loans_by_id in (self._given_by_id, self._taken_by_id):
            over = [
                loan for loan in loans_by_id.values() if loan.ends_at <= now
            ]
            for loan in over:
                loans_by_id.pop(loan.loan_id)
            ended.extend(over)
        return ended

    def _give(self, request: LoanRequest, spare: Portion, now: float) -> Loan:
        resumes_at = giver_resumes_at(now, LOAN_LIFETIME_SECONDS)
        earlier = self._given_by_id.get(request.renews)
        if earlier is not None and now < earlier.ends_at:
            # One loan goes on; the part is never counted free in between.
            earlier.loan_id = request.loan_id
            earlier.ends_at = resumes_at
            self._given_by_id.pop(request.renews)
            self._given_by_id[request.loan_id] = earlier
            return earlier
        wanted = Portion(request.amount, request.burst)
        portion = NOTHING
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
            self._given_by_id[request.loan_id] = loan
        return loan

    def _find_ask(self, loan_id: str) -> _Ask | None:
        for ask in self._asks.values():
            if ask.request.loan_id == loan_id:
                return ask
        return None

    def _to_renew(self, resource: str, lender: str, now: float) -> Loan | None:
        for loan in self._taken_by_id.values():
            is_same = loan.resource == resource and loan.zone == lender
            if is_same and now < loan.ends_at <= now + _RENEW_BEFORE:
                return loan
        return None


def _total(loans: list[Loan], resource: str, now: float) -> Portion:
    total = NOTHING
    for loan in loans:
        if loan.resource == resource and loan.starts_at <= now < loan.ends_at:
            total = total.plus(loan.portion)
    return total
