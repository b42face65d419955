"""Charges tokens to organisations, with credit of the leader if needed."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio

from cowsliprack.coordination.token_credit import TokenCredit
from cowsliprack.protocol.gateway_messages import CreditAnswer, CreditAsk
from cowsliprack.state.routing_table import OrganisationLimits

# Longest time that a request waits for credit from a leader that is heard. A
# refusal would bring its caller back no sooner.
_ANSWER_SECONDS = 1.0
# The same while nothing is heard from the leader, and the interval at which a
# waiting request asks a new one.
_SILENT_ANSWER_SECONDS = 0.15
# A leader is heard if its last view is younger than this; it answers reports,
# which are at most 0.4 s apart.
_HEARD_SECONDS = 1.0


async def _charge_nothing(_organisation: OrganisationLimits, _: float) -> bool:
    return False


@dataclass(slots=True)
class _PendingAsk:
    answered: anyio.Event = field(default_factory=anyio.Event)
    answer: CreditAnswer | None = None


@dataclass(slots=True)
class CreditAsks:
    """Credit of one instance and its open requests to the leader for more.

    :param credit: credit that the instance holds.
    :param leader_id: returns the id of the leader, empty if none is known.
    :param send_to_leader: sends a message to it.
    :param heard_at: returns the time of the leader's last view, seconds.
    :param clock: seconds; must keep running during suspension.
    :param charge_alone: charges tokens without the leader (organisation,
        tokens); returns whether it has.
    :param is_led_anew: returns whether the leader has begun its term lately, so
        that it grants little.
    """

    instance_id: str
    credit: TokenCredit
    leader_id: Callable[[], str]
    send_to_leader: Callable[[CreditAsk], None]
    heard_at: Callable[[], float]
    clock: Callable[[], float]
    charge_alone: Callable[[OrganisationLimits, float], Awaitable[bool]] = (
        _charge_nothing
    )
    is_led_anew: Callable[[], bool] = bool
    _count: int = 0
    _pending_by_number: dict[int, _PendingAsk] = field(default_factory=dict)

    async def reserve(
        self,
        organisation: OrganisationLimits,
        tokens: float,
    ) -> float | None:
        """Charge the tokens of one request to an organisation.

        :param organisation: organisation to charge.
        :param tokens: number of tokens.
        :returns: ``None`` if the tokens were charged, else the seconds after
            which to retry.
        """
        credit = self.credit
        if not organisation.rate:
            return None
        credit.wanted.add(organisation.name, round(tokens), self.clock())
        if credit.spend(organisation, tokens, self.clock()):
            return None
        if not self._is_heard() and await self.charge_alone(
            organisation, tokens
        ):
            return None
        wait = await self._reserve_future_tokens(organisation, tokens)
        if wait is None:
            may_grant = self._is_heard() and not self.is_led_anew()
            if not may_grant and await self.charge_alone(organisation, tokens):
                return None
            return credit.refuse(organisation, tokens, self.clock())
        await anyio.sleep(wait)
        return None

    def apply_answer(
        self, answer: CreditAnswer, organisation: OrganisationLimits
    ) -> None:
        """Apply an answer of the leader.

        :param answer: to a request that may have been given up meanwhile.
        :param organisation: that the request was for.
        """
        pending = self._pending_by_number.get(answer.number)
        if pending is not None:
            pending.answer = answer
            pending.answered.set()
        if pending is None or not answer.tokens:
            self.credit.apply_leader_answer(
                organisation,
                answer.tokens,
                answer.seconds,
                self.clock(),
            )

    async def _reserve_future_tokens(
        self,
        organisation: OrganisationLimits,
        tokens: float,
    ) -> float | None:
        """Reserve tokens that become available shortly.

        :param organisation: organisation to charge.
        :param tokens: number of tokens.
        :returns: seconds until they are available; ``None`` if there
            will be none in time.
        """
        credit = self.credit
        if not credit.is_denied(organisation, self.clock()):
            rest = credit.take_all(organisation, self.clock())
            answer = await self._ask(organisation, tokens - rest)
            if answer is not None and answer.tokens:
                return answer.seconds
            credit.give_back(organisation, rest, self.clock())
        return credit.spend_ahead(organisation, tokens, self.clock())

    def _is_heard(self) -> bool:
        return self.clock() - self.heard_at() < _HEARD_SECONDS

    async def _ask(
        self,
        organisation: OrganisationLimits,
        tokens: float,
    ) -> CreditAnswer | None:
        """Ask the leader for tokens; return ``None`` after a timeout."""
        if not self.leader_id():
            return None
        self._count += 1
        ask = CreditAsk(
            self.instance_id, organisation.name, tokens, self._count
        )
        pending = _PendingAsk()
        self._pending_by_number[ask.number] = pending
        try:
            await self._wait_for_answer(ask, pending)
        finally:
            self._pending_by_number.pop(ask.number)
        return pending.answer

    async def _wait_for_answer(
        self, ask: CreditAsk, pending: _PendingAsk
    ) -> None:
        """Wait for the answer to an ask; a new leader is asked as well."""
        now = self.clock()
        is_heard = self._is_heard()
        seconds = _ANSWER_SECONDS if is_heard else _SILENT_ANSWER_SECONDS
        ends_at = now + seconds
        asked_id = ''
        while pending.answer is None and self.clock() < ends_at:
            if self.leader_id() != asked_id:
                asked_id = self.leader_id()
                self.send_to_leader(ask)
            left = ends_at - self.clock()
            with anyio.move_on_after(min(left, _SILENT_ANSWER_SECONDS)):
                await pending.answered.wait()
