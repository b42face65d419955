"""Calls to engines of the platform: orders and reports."""

from dataclasses import dataclass
from types import MappingProxyType

import anyio
import httpx
import msgspec
import structlog

from cowsliprack.platform.wire import EngineReport, decode_reported_models
from cowsliprack.protocol.engine import (
    Authority,
    EngineSurvey,
    OrderAnswer,
)
from cowsliprack.state.engine_state import EngineOrder
from cowsliprack.state.target_registry import TargetRecord

# An engine accepts or refuses an order in milliseconds; without an answer
# by then the order is in doubt, seconds.
_ORDER_SECONDS = 0.3
_REPORT_SECONDS = 0.8
_OK = 200
_ANSWER_BY_STATUS = MappingProxyType(
    {
        202: OrderAnswer.accepted,
        200: OrderAnswer.holds,
        409: OrderAnswer.busy,
        412: OrderAnswer.stale_fencing,
        421: OrderAnswer.other_engine,
        400: OrderAnswer.refused,
    }
)

_log = structlog.get_logger('cowsliprack.engines')


class _Order(msgspec.Struct, omit_defaults=True):
    op: str
    model: str
    holder: str
    # Number of the holder's lease; engines refuse one below any seen before.
    fence: int
    # Expected number of orders accepted so far.
    precondition: int
    adapter: str = ''


@dataclass(slots=True)
class EngineClient:
    """Speaks to engines.

    :param client: HTTP client whose transport checks its connections.
    """

    client: httpx.AsyncClient

    async def send_order(
        self,
        record: TargetRecord,
        order: EngineOrder,
        authority: Authority,
    ) -> OrderAnswer:
        """Send an order; never repeated here.

        :param record: of the engine.
        :param order: what to do.
        :param authority: by what right.
        """
        body = _Order(
            op=order.kind.value,
            model=order.model,
            adapter=order.adapter,
            holder=authority.holder,
            fence=authority.fencing,
            precondition=authority.expected_count,
        )
        try:
            with anyio.fail_after(_ORDER_SECONDS):
                answer = await self.client.post(
                    f'http://{record.address}/-/order',
                    content=msgspec.json.encode(body),
                    headers={
                        'content-type': 'application/json',
                        'x-expect-instance': record.target_id,
                    },
                )
        except (httpx.HTTPError, TimeoutError) as failure:
            _log.warning(
                'order_unanswered',
                target=record.target_id,
                failure=repr(failure),
            )
            return OrderAnswer.unknown
        return _ANSWER_BY_STATUS.get(answer.status_code, OrderAnswer.unknown)

    async def survey(self, record: TargetRecord) -> EngineSurvey | None:
        """Return what an engine says of itself, ``None`` without an answer.

        :param record: of the engine.
        """
        try:
            with anyio.fail_after(_REPORT_SECONDS):
                answer = await self.client.get(
                    f'http://{record.address}/-/report',
                    headers={'x-expect-instance': record.target_id},
                )
        except (httpx.HTTPError, TimeoutError) as failure:
            _log.warning(
                'report_unanswered',
                target=record.target_id,
                failure=repr(failure),
            )
            return None
        if answer.status_code != _OK:
            return None
        try:
            report = msgspec.json.decode(answer.content, type=EngineReport)
        except msgspec.DecodeError as error:
            _log.warning(
                'report_malformed',
                target=record.target_id,
                error=str(error),
            )
            return None
        return EngineSurvey(
            order_count=report.seq,
            busy=report.busy,
            born=report.born,
            loaded_models_by_name=decode_reported_models(report),
            in_memory=frozenset(report.at_hand.in_memory),
            on_disk=frozenset(report.at_hand.on_disk),
        )
