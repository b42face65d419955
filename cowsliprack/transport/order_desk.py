"""Carries out orders to engines and finds out what became of them."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from cowsliprack.coordination.region_state import (
    RegionState,
    finish_order,
    take_survey,
)
from cowsliprack.logs import log_decision
from cowsliprack.protocol.engine import Authority, EngineOrders, OrderAnswer
from cowsliprack.protocol.target import OrderKind
from cowsliprack.state.engine_state import EngineOrder, EngineState

# Seconds between two tries of an order that the engine did not take yet.
_AGAIN_SECONDS = 0.02
# Seconds between two questions whether an order has ended.
_POLL_SECONDS = 0.08
# Seconds that an adapter takes to arrive while few are on their way, with
# the time by which an engine's answer comes back.
_ADAPTER_SECONDS = 0.008
_UNLOAD_SECONDS = 0.05
# Seconds by which a load may end later than its stated time.
_LOAD_MARGIN_SECONDS = 0.01
# Tries of an order that the engine refuses because it is busy or has
# accepted others; then it is planned again from what the engine says.
_MOST_BUSY_ANSWERS = 80
# Such answers after which the engine is asked what it has accepted.
_BUSY_ANSWERS_BEFORE_SURVEY = 6


@dataclass(slots=True)
class OrderDesk:
    """Sends the orders of one term, one at a time to each engine.

    :param may_order: whether the lease is held at this moment; read right
        before each order.
    :param changed: called when an engine's state has changed.
    :param clock: seconds; goes on during suspension.
    """

    state: RegionState
    engines: EngineOrders
    may_order: Callable[[], bool]
    changed: Callable[[], None]
    clock: Callable[[], float]

    async def survey(self, engine: EngineState) -> None:
        """Ask an engine what it holds, until it answers.

        :param engine: not yet surveyed.
        """
        engine.surveying = True
        while not engine.surveyed and self.is_current(engine):
            survey = await self.engines.survey(engine.record)
            if survey is None or survey.busy:
                await anyio.sleep(_POLL_SECONDS * 3)
                continue
            take_survey(engine, survey)
            log_decision(
                'survey',
                engine.target_id,
                'engine is known',
                models=sorted(engine.adapters_by_model),
                orders=engine.order_count,
                in_memory=len(survey.in_memory),
                on_disk=len(survey.on_disk),
            )
        engine.surveying = False
        self.changed()

    async def carry_out(self, engine: EngineState, order: EngineOrder) -> None:
        """Have an engine carry out an order.

        :param engine: whose order this is.
        :param order: what to do.
        """
        began_at = self.clock()
        engine.tries = 0
        answer = await self._send_until_answered(engine, order)
        log_decision(
            'placement',
            f'{order.kind.value} {order.model} {order.adapter}'.strip(),
            answer.value,
            target=engine.target_id,
            fencing=self.state.fencing,
            orders=engine.order_count,
            running=dict(engine.running),
            tries=engine.tries,
            took_ms=round((self.clock() - began_at) * 1000),
        )
        if answer is OrderAnswer.accepted:
            engine.order_count += 1
            await self._wait_for_end(engine, order)
        if answer in {OrderAnswer.accepted, OrderAnswer.holds}:
            finish_order(engine, order, self.clock())
        else:
            engine.order = None
            engine.assigned = ''
            engine.closing.clear()
            engine.surveyed = False
            await self.survey(engine)
        self.changed()

    def is_current(self, engine: EngineState) -> bool:
        """Return whether an engine is still registered.

        :param engine: state of the engine.
        """
        return any(
            rotation.engines_by_id.get(engine.target_id) is engine
            for rotation in self.state.rotations_by_service.values()
        )

    async def _send_until_answered(
        self,
        engine: EngineState,
        order: EngineOrder,
    ) -> OrderAnswer:
        """Send an order until its fate is known.

        The same order is sent again, so that one that is carried out late
        does nothing that was not decided.
        """
        busy_answers = 0
        while self.is_current(engine) and self.may_order():
            authority = Authority(
                self.state.instance_id,
                self.state.fencing,
                engine.order_count,
            )
            engine.tries += 1
            answer = await self.engines.send_order(
                engine.record,
                order,
                authority,
            )
            if answer is OrderAnswer.busy:
                busy_answers += 1
                if busy_answers > _MOST_BUSY_ANSWERS:
                    return answer
                await anyio.sleep(_AGAIN_SECONDS)
                if busy_answers % _BUSY_ANSWERS_BEFORE_SURVEY:
                    continue
                if await self._was_carried_out(engine, order):
                    return OrderAnswer.holds
                continue
            if answer is not OrderAnswer.unknown:
                return answer
            await anyio.sleep(_AGAIN_SECONDS)
        return OrderAnswer.refused

    async def _was_carried_out(
        self,
        engine: EngineState,
        order: EngineOrder,
    ) -> bool:
        """Ask an engine that refused an order; return whether it had it."""
        survey = await self.engines.survey(engine.record)
        if survey is None or survey.busy:
            return False
        if survey.order_count == engine.order_count:
            return False
        take_survey(engine, survey)
        held = engine.adapters_by_model.get(order.model)
        if order.adapter:
            has = held is not None and order.adapter in held
        else:
            has = held is not None
        return has == (order.kind is OrderKind.load)

    async def _wait_for_end(
        self,
        engine: EngineState,
        order: EngineOrder,
    ) -> None:
        if order.adapter:
            await anyio.sleep(_ADAPTER_SECONDS)
            return
        if order.kind is OrderKind.load:
            seconds = self._load_seconds(engine, order.model)
            engine.busy_until = self.clock() + seconds
            self.changed()
            await anyio.sleep(seconds + _LOAD_MARGIN_SECONDS)
            return
        if not engine.running[order.model]:
            await anyio.sleep(_UNLOAD_SECONDS)
            return
        while self.is_current(engine):
            await anyio.sleep(_POLL_SECONDS)
            survey = await self.engines.survey(engine.record)
            if survey is not None and survey.order_count >= engine.order_count:
                if not survey.busy:
                    return

    def _load_seconds(self, engine: EngineState, name: str) -> float:
        for rotation in self.state.rotations_by_service.values():
            if rotation.engines_by_id.get(engine.target_id) is engine:
                model = rotation.spec.models_by_name.get(name)
                if model is not None:
                    return rotation.load_seconds(engine, model)
        return 0
