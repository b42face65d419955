"""Sends load and unload orders to engines and tracks their results."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from cowsliprack.coordination.cold_loads import count_cold_loads
from cowsliprack.coordination.lease_terms import LeaseTerms
from cowsliprack.coordination.model_scheduler import ModelScheduler
from cowsliprack.coordination.region_state import (
    RegionState,
    apply_survey,
    finish_order,
)
from cowsliprack.logs import log_decision
from cowsliprack.protocol.engine import (
    EngineControl,
    EngineSurvey,
    OrderAnswer,
    OrderPreconditions,
)
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState

# Delay before an order that the engine did not accept is sent again.
_RETRY_SECONDS = 0.02
# The same for an engine that does not answer.
_SILENT_RETRY_SECONDS = 0.2
# Interval at which an engine is asked whether an order has finished.
_POLL_INTERVAL_SECONDS = 0.08
# Interval of surveys of an engine that is silent or not surveyed yet.
_SURVEY_RETRY_SECONDS = 0.24
# Time that an adapter takes to load while few others are loading, plus the time
# in which the engine's answer arrives.
_ADAPTER_CHANGE_SECONDS = 0.008
_UNLOAD_SECONDS = 0.05
# Time by which a load may exceed its configured duration.
_LOAD_MARGIN_SECONDS = 0.01
# An order is dropped after more refusals than this, given because the engine is
# busy or has accepted other orders. The engine is then surveyed and its orders
# are planned again.
_MAX_BUSY_ANSWERS = 80
# The engine is surveyed each time that the refusals reach a multiple of this.
_BUSY_ANSWERS_PER_SURVEY = 6


@dataclass(slots=True)
class _OrderAttempts:
    """Results of the attempts to send one order.

    :param in_doubt: an attempt got no answer and may have been accepted.
    :param busy_answers: number of answers that the engine is busy.
    """

    in_doubt: bool = False
    busy_answers: int = 0


@dataclass(slots=True)
class _Attempt:
    """One attempt to send an order.

    :param lease_left: as of ``OrderExecutor``.
    :param written_at: when the order was written to a connection, seconds.
    """

    lease_left: Callable[[], float]
    clock: Callable[[], float]
    written_at: float = -math.inf

    def may_send(self) -> bool:
        """Return whether the lease is held, and record that it is written."""
        if self.lease_left() <= 0:
            return False
        self.written_at = self.clock()
        return True


@dataclass(slots=True)
class OrderExecutor:
    """Sends the orders of one term, one at a time to each engine.

    :param lease_left: returns the seconds in which orders may be sent; 0 once
        the term has ended.
    :param changed: called when an engine's state has changed.
    :param clock: seconds; must keep running during suspension.
    :param terms: remembers orders without an answer from term to term.
    :ivar unanswered: number of orders that are sent and not answered yet.
    """

    state: RegionState
    engines: EngineControl
    lease_left: Callable[[], float]
    changed: Callable[[], None]
    clock: Callable[[], float]
    terms: LeaseTerms
    unanswered: int = field(default=0, init=False)

    async def survey(self, engine: EngineState) -> None:
        """Ask an engine what it holds, until it answers and is idle.

        While an engine executes an order of an earlier leader, which may take
        seconds, the models that it holds are usable, but it gets no order.

        :param engine: engine that has not been surveyed yet.
        """
        engine.surveying = True
        is_busy = True
        while is_busy and self.is_current(engine):
            survey = await self.engines.survey(engine.record)
            if survey is None:
                await anyio.sleep(_SURVEY_RETRY_SECONDS)
                continue
            engine.silent = False
            is_first = not engine.surveyed
            is_busy = survey.busy
            apply_survey(engine, survey)
            engine.order = _unknown_order(engine) if is_busy else None
            if is_first or not is_busy:
                _log_survey(engine, survey)
                self.changed()
            if is_busy:
                await anyio.sleep(_SURVEY_RETRY_SECONDS)
        engine.surveying = False
        self.changed()

    async def check_silent(self, engine: EngineState) -> None:
        """Survey an engine until it answers; its models are unusable meanwhile.

        The leader decides from its own surveys whether an engine is silent,
        since a single instance may be cut off from engines that all others
        reach.

        :param engine: engine from which instances got no answer.
        """
        engine.probing = True
        is_silent = True
        while is_silent and engine.order is None and self.is_current(engine):
            engine.probed_at = self.clock()
            is_silent = await self.engines.survey(engine.record) is None
            if is_silent != engine.silent:
                engine.silent = is_silent
                log_decision(
                    'engine_silent' if is_silent else 'engine_answers',
                    engine.target_id,
                    'surveyed after instances got no answer',
                )
                self.changed()
            if is_silent:
                await anyio.sleep(_SURVEY_RETRY_SECONDS)
        engine.probing = False

    async def execute(self, engine: EngineState, order: EngineOrder) -> None:
        """Send an order and wait until the engine has executed it.

        :param engine: engine that gets the order.
        :param order: order to send.
        """
        began_at = self.clock()
        is_cold = not order.adapter and engine.is_cold(order.model)
        engine.order_attempts = 0
        answer = await self._send_until_answered(engine, order)
        log_decision(
            'placement',
            f'{order.kind.value} {order.model} {order.adapter}'.strip(),
            answer.value,
            target=engine.target_id,
            fencing=self.state.fencing,
            orders=engine.order_count,
            running=dict(engine.running),
            tries=engine.order_attempts,
            is_cold=is_cold and order.kind is OrderKind.load,
            took_ms=round((self.clock() - began_at) * 1000),
        )
        if answer is OrderAnswer.accepted:
            engine.order_count += 1
            engine.order_accepted_at = self.clock()
            await self._wait_for_end(engine, order)
        if answer in {OrderAnswer.accepted, OrderAnswer.holds}:
            finish_order(engine, order, self.clock())
        else:
            engine.assigned_model = ''
            engine.draining_models.clear()
            engine.surveyed = False
            await self.survey(engine)
        self.changed()

    def has_settled(self) -> bool:
        """Return whether no order is on its way to an engine."""
        in_doubt = self.terms.seconds_in_doubt(self.clock())
        return not self.unanswered and in_doubt <= 0

    def is_current(self, engine: EngineState) -> bool:
        """Return whether an engine is still registered.

        :param engine: engine to look up.
        """
        return self._scheduler_of(engine) is not None

    async def _send_until_answered(
        self,
        engine: EngineState,
        order: EngineOrder,
    ) -> OrderAnswer:
        """Send an order until its result is known.

        A retry repeats the same order, so that an earlier attempt that is
        executed late has no unplanned effect. A silent engine gets none before
        it answers a survey, since it may read every copy later.
        """
        attempts = _OrderAttempts()
        while self.is_current(engine) and self.lease_left() > 0:
            if engine.silent:
                resolved = await self._check_result(engine, order)
            else:
                answer = await self._send_once(engine, order)
                resolved = await self._resolve_answer(
                    engine, order, answer, attempts
                )
            if resolved is not None:
                return resolved
            await anyio.sleep(
                _SILENT_RETRY_SECONDS if engine.silent else _RETRY_SECONDS
            )
        return OrderAnswer.refused

    async def _resolve_answer(
        self,
        engine: EngineState,
        order: EngineOrder,
        answer: OrderAnswer,
        attempts: _OrderAttempts,
    ) -> OrderAnswer | None:
        """Return the result of an order, or ``None`` to send it again."""
        if answer in {OrderAnswer.unknown, OrderAnswer.unclear}:
            attempts.in_doubt = True
            return await self._check_result(engine, order)
        engine.silent = False
        if answer is OrderAnswer.holds and _drops_adapter(order):
            # An adapter is unloaded at once: the engine answers ``holds``, but
            # counts the order as accepted.
            return OrderAnswer.accepted
        if answer is not OrderAnswer.busy:
            return answer
        attempts.busy_answers += 1
        if attempts.busy_answers > _MAX_BUSY_ANSWERS:
            return OrderAnswer.busy
        if (
            attempts.in_doubt
            or not attempts.busy_answers % _BUSY_ANSWERS_PER_SURVEY
        ):
            return await self._check_result(engine, order)
        return None

    async def _send_once(
        self,
        engine: EngineState,
        order: EngineOrder,
    ) -> OrderAnswer:
        engine.order_attempts += 1
        preconditions = OrderPreconditions(
            self.state.instance_id,
            self.state.fencing,
            engine.order_count,
        )
        attempt = _Attempt(self.lease_left, self.clock)
        answer = OrderAnswer.unknown
        self.unanswered += 1
        try:
            with anyio.move_on_after(self.lease_left()):
                answer = await self.engines.send_order(
                    engine.record, order, preconditions, attempt.may_send
                )
        finally:
            self.unanswered -= 1
            if answer is OrderAnswer.unknown:
                self.terms.leave_in_doubt(attempt.written_at)
        return answer

    async def _check_result(
        self,
        engine: EngineState,
        order: EngineOrder,
    ) -> OrderAnswer | None:
        """Survey an engine to find out whether it has executed an order.

        :returns: ``None`` if the engine has accepted no order since, is busy
            or does not answer; ``holds`` if it has executed the order;
            ``busy`` if it has executed others, so that the order may be
            outdated.
        """
        survey = await self.engines.survey(engine.record)
        # The models of a silent engine are loaded on other engines.
        engine.silent = survey is None
        self.changed()
        if survey is None:
            return None
        if survey.busy:
            engine.order_seen_at = self.clock()
            return None
        if survey.order_count == engine.order_count:
            return None
        apply_survey(engine, survey)
        held = engine.adapters_by_model.get(order.model)
        is_held = held is not None
        if order.adapter:
            is_held = held is not None and order.adapter in held
        is_done = is_held == (order.kind is OrderKind.load)
        return OrderAnswer.holds if is_done else OrderAnswer.busy

    async def _wait_for_end(
        self,
        engine: EngineState,
        order: EngineOrder,
    ) -> None:
        if order.adapter:
            await anyio.sleep(_ADAPTER_CHANGE_SECONDS)
            return
        if order.kind is OrderKind.load:
            await self._wait_for_load(engine, order.model)
        elif engine.running[order.model]:
            await self._wait_until_idle(engine)
        else:
            await anyio.sleep(_UNLOAD_SECONDS)

    async def _wait_for_load(self, engine: EngineState, name: str) -> None:
        scheduler = self._scheduler_of(engine)
        model = scheduler and scheduler.spec.models_by_name.get(name)
        if not scheduler or not model:
            return
        began_at = self.clock()
        is_cold = engine.is_cold(name)
        seconds = scheduler.load_seconds(engine, model)
        await anyio.sleep(seconds + _LOAD_MARGIN_SECONDS)
        if is_cold:
            # The weight store is slower while it serves many loads.
            await self._wait_until_idle(engine)
            if not self.is_current(engine):
                return
            now = self.clock()
            took = now - began_at
            log_decision(
                'cold_load_ended',
                name,
                'loaded from the weight store',
                target=engine.target_id,
                took_ms=round(took * 1000),
                stated_ms=round(seconds * 1000),
                cold_loads=count_cold_loads(scheduler.engines_by_id.values()),
                cold_loads_at_start=engine.cold_loads_at_start,
                limit=scheduler.cold_loads.store_limit,
            )
            scheduler.end_cold_load(engine, model, took, now)

    async def _wait_until_idle(self, engine: EngineState) -> None:
        while self.is_current(engine):
            await anyio.sleep(_POLL_INTERVAL_SECONDS)
            survey = await self.engines.survey(engine.record)
            if survey is None or survey.order_count < engine.order_count:
                continue
            if not survey.busy:
                return
            engine.order_seen_at = self.clock()

    def _scheduler_of(self, engine: EngineState) -> ModelScheduler | None:
        for scheduler in self.state.schedulers_by_service.values():
            if scheduler.engines_by_id.get(engine.target_id) is engine:
                return scheduler
        return None


def _drops_adapter(order: EngineOrder) -> bool:
    return bool(order.adapter) and order.kind is OrderKind.unload


def _unknown_order(engine: EngineState) -> EngineOrder:
    """Return a placeholder for the order of an earlier leader."""
    return EngineOrder(engine.target_id, OrderKind.unload, '')


def _log_survey(engine: EngineState, survey: EngineSurvey) -> None:
    log_decision(
        'survey',
        engine.target_id,
        'engine surveyed',
        models=sorted(engine.adapters_by_model),
        orders=engine.order_count,
        busy=survey.busy,
        in_memory=len(survey.in_memory),
        on_disk=len(survey.on_disk),
    )
