"""Charges requests without the leader, with tokens of other instances."""

import math
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import anyio
import structlog

from cowsliprack.coordination.credit_reserve import Borrowing, choose_lenders
from cowsliprack.coordination.token_credit import TokenCredit
from cowsliprack.protocol.credit_messages import (
    TokenLoan,
    TokenLoanAsk,
    TokenLoanReturn,
)
from cowsliprack.protocol.gateway_messages import PeerView
from cowsliprack.state.routing_table import OrganisationLimits

# Longest wait for the answers to one round of asks; they mostly take some
# milliseconds, and instances behind a partition do not answer.
_ROUND_SECONDS = 0.04
# Time after a failure for which an organisation's requests ask nobody, so that
# one far above its rate does not cause 32 asks with each request.
_DENIED_SECONDS = 0.3
_LOG_INTERVAL_SECONDS = 1.0

_log = structlog.get_logger('cowsliprack.credit')


@dataclass(slots=True)
class _Round:
    """Answers that one request waits for.

    :param peer_by_number: instances that have not answered.
    """

    borrowing: Borrowing
    peer_by_number: dict[int, PeerView] = field(default_factory=dict)
    answered: anyio.Event = field(default_factory=anyio.Event)


@dataclass(slots=True)
class CreditLoans:
    """Tokens that instances lend each other while the leader is silent or new.

    :param address: address at which other instances reach this one.
    :param credit: credit that the instance holds.
    :param peers: returns the instances of the region, as far as known.
    :param send: sends a message to an instance (id, address, message).
    :param organisation: returns the limits of an organisation by its name;
        ``None`` if there are none.
    :param clock: seconds; must keep running during suspension.
    :ivar counts: requests that were admitted and refused without the leader,
        and tokens lent.
    """

    instance_id: str
    address: str
    zone: str
    credit: TokenCredit
    peers: Callable[[], Iterable[PeerView]]
    send: Callable[[str, str, TokenLoanAsk | TokenLoan | TokenLoanReturn], None]
    organisation: Callable[[str], OrganisationLimits | None]
    clock: Callable[[], float]
    rng: random.Random = field(default_factory=random.Random)
    counts: Counter[str] = field(default_factory=Counter)
    _number: int = 0
    _round_by_number: dict[int, _Round] = field(default_factory=dict)
    _denied_until_by_name: defaultdict[str, float] = field(
        default_factory=lambda: defaultdict(float)
    )
    _logged_at: float = -math.inf

    async def charge(
        self, organisation: OrganisationLimits, tokens: float
    ) -> bool:
        """Charge the tokens of one request without the leader.

        :param organisation: organisation to charge.
        :param tokens: number of tokens.
        :returns: whether they were charged; all or none are.
        """
        name = organisation.name
        if not self.credit.overrun:
            return False
        if self.clock() < self._denied_until_by_name[name]:
            return False
        missing = self.credit.spend_alone(organisation, tokens, self.clock())
        borrowing = Borrowing(
            missing,
            choose_lenders(self.peers(), self.instance_id, self.zone, self.rng),
        )
        is_charged = False
        try:
            while asks := borrowing.next_asks():
                await self._ask(organisation, borrowing, asks)
            is_charged = borrowing.missing <= 0
        finally:
            if not is_charged:
                self._return(organisation, borrowing, tokens - missing)
        self._record(name, tokens, borrowing, is_charged=is_charged)
        return is_charged

    def handle(
        self, message: TokenLoanAsk | TokenLoan | TokenLoanReturn
    ) -> None:
        """Apply a message of another instance.

        :param message: request for a loan, its answer or its return.
        """
        organisation = self.organisation(message.organisation)
        match message:
            case TokenLoanAsk():
                self._lend(message, organisation)
            case TokenLoan():
                self._apply_loan(message)
            case TokenLoanReturn() if organisation is not None:
                self.credit.take_back(
                    organisation, message.tokens, self.clock()
                )

    async def _ask(
        self,
        organisation: OrganisationLimits,
        borrowing: Borrowing,
        asks: list[tuple[PeerView, int]],
    ) -> None:
        """Ask some instances and wait for their answers."""
        pending = _Round(borrowing)
        first_number = self._number + 1
        self._number += len(asks)
        for number, (peer, _) in enumerate(asks, first_number):
            pending.peer_by_number[number] = peer
            self._round_by_number[number] = pending
        try:
            for number, (peer, tokens) in enumerate(asks, first_number):
                ask = TokenLoanAsk(
                    self.instance_id,
                    self.address,
                    organisation.name,
                    tokens,
                    number,
                )
                self.send(peer.instance_id, peer.address, ask)
            with anyio.move_on_after(_ROUND_SECONDS):
                await pending.answered.wait()
        finally:
            for number in pending.peer_by_number:
                self._round_by_number.pop(number)

    def _lend(
        self, ask: TokenLoanAsk, organisation: OrganisationLimits | None
    ) -> None:
        tokens = 0
        if organisation is not None:
            tokens = self.credit.lend(organisation, ask.tokens, self.clock())
        self.counts['lent_tokens'] += tokens
        loan = TokenLoan(self.instance_id, ask.organisation, tokens, ask.number)
        self.send(ask.instance_id, ask.address, loan)

    def _apply_loan(self, loan: TokenLoan) -> None:
        pending = self._round_by_number.pop(loan.number, None)
        if pending is None:
            # The request has given up.
            if loan.tokens:
                self._send_back(
                    loan.instance_id, '', loan.organisation, loan.tokens
                )
            return
        peer = pending.peer_by_number.pop(loan.number)
        pending.borrowing.add(peer, loan.tokens)
        if not pending.peer_by_number:
            pending.answered.set()

    def _return(
        self,
        organisation: OrganisationLimits,
        borrowing: Borrowing,
        own_tokens: float,
    ) -> None:
        for peer, tokens in borrowing.loans:
            self._send_back(
                peer.instance_id, peer.address, organisation.name, tokens
            )
        self.credit.take_back(organisation, own_tokens, self.clock())

    def _send_back(
        self, instance_id: str, address: str, name: str, tokens: int
    ) -> None:
        self.send(instance_id, address, TokenLoanReturn(name, tokens))

    def _record(
        self,
        name: str,
        tokens: float,
        borrowing: Borrowing,
        *,
        is_charged: bool,
    ) -> None:
        now = self.clock()
        self.counts['admitted' if is_charged else 'refused'] += 1
        if not is_charged:
            self._denied_until_by_name[name] = now + _DENIED_SECONDS
        if now - self._logged_at < _LOG_INTERVAL_SECONDS:
            return
        self._logged_at = now
        _log.info(
            'charged_without_leader',
            organisation=name,
            tokens=tokens,
            admitted=is_charged,
            lenders=len(borrowing.loans),
            missing=max(borrowing.missing, 0),
            instances=self.credit.instances,
            counts=dict(self.counts),
        )
