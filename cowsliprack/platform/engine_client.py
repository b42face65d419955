"""HTTP client for model engines of the platform: orders and reports."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from types import MappingProxyType
from typing import Any

import anyio
import httpx
import msgspec
import structlog

from cowsliprack.platform.wire import EngineReport, decode_reported_models
from cowsliprack.protocol.engine import (
    EngineSurvey,
    OrderAnswer,
    OrderPreconditions,
)
from cowsliprack.state.engine_state import EngineOrder
from cowsliprack.state.target_registry import TargetRecord
from cowsliprack.transport.bounded_body import MAX_REPORT_BYTES, read_body
from cowsliprack.transport.checked_transport import SEND_STARTED_EVENT
from cowsliprack.transport.running_time import RunningTime

# Seconds. An engine accepts or refuses an order in milliseconds; without a
# response within this time the outcome of the order is unknown.
_ORDER_TIMEOUT_SECONDS = 0.3
_REPORT_TIMEOUT_SECONDS = 0.8
_HTTP_OK = 200
# The connection is reset: what the engine had not read of it is gone.
_BROKEN_OFF = (httpx.ReadError, httpx.WriteError)
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
    # Fencing number of the holder's lease; an engine refuses an order whose
    # number is lower than the highest it has seen.
    fence: int
    # Number of orders that the engine must have accepted so far.
    precondition: int
    adapter: str = ''


@dataclass(slots=True)
class EngineClient:
    """Sends orders to engines and reads their reports.

    :param client: HTTP client that inspects connections before reuse.
    :param running_time: extends the timeouts.
    """

    client: httpx.AsyncClient
    running_time: RunningTime = field(default_factory=RunningTime)

    async def send_order(
        self,
        record: TargetRecord,
        order: EngineOrder,
        preconditions: OrderPreconditions,
        may_send: Callable[[], bool],
    ) -> OrderAnswer:
        """Send an order once; a failed order is never retried here.

        :param record: registered data of the engine.
        :param order: the order to carry out.
        :param preconditions: the engine refuses the order unless they hold.
        :param may_send: see ``EngineControl``.
        """
        body = _Order(
            op=order.kind.value,
            model=order.model,
            adapter=order.adapter,
            holder=preconditions.holder,
            fence=preconditions.fencing,
            precondition=preconditions.expected_count,
        )
        content = msgspec.json.encode(body)
        try:
            with self.running_time.fail_after(_ORDER_TIMEOUT_SECONDS):
                status, _ = await self._exchange(
                    'POST',
                    '/-/order',
                    record,
                    content,
                    {
                        'trace': partial(_check_lease, may_send),
                        'discards': True,
                    },
                )
        except (httpx.HTTPError, TimeoutError) as failure:
            _log.warning(
                'order_unanswered',
                target=record.target_id,
                failure=repr(failure),
            )
            return (
                OrderAnswer.unclear
                if isinstance(failure, _BROKEN_OFF)
                else OrderAnswer.unknown
            )
        return _ANSWER_BY_STATUS.get(status, OrderAnswer.unclear)

    async def survey(self, record: TargetRecord) -> EngineSurvey | None:
        """Return the report of an engine, or ``None`` if it cannot be read.

        :param record: registered data of the engine.
        """
        try:
            with self.running_time.fail_after(_REPORT_TIMEOUT_SECONDS):
                status, body = await self._exchange('GET', '/-/report', record)
        except (httpx.HTTPError, TimeoutError) as failure:
            _log.warning(
                'report_unanswered',
                target=record.target_id,
                failure=repr(failure),
            )
            return None
        if status != _HTTP_OK:
            return None
        try:
            report = msgspec.json.decode(body, type=EngineReport)
        except msgspec.DecodeError as error:
            _log.warning(
                'report_malformed',
                target=record.target_id,
                error=str(error),
            )
            return None
        if record.born and report.born and report.born != record.born:
            # The target is gone, and another process has its address.
            _log.warning(
                'report_of_another_process',
                target=record.target_id,
                born=report.born,
                expected=record.born,
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

    async def _exchange(
        self,
        method: str,
        path: str,
        record: TargetRecord,
        content: bytes | None = None,
        extensions: dict[str, Any] | None = None,
    ) -> tuple[int, bytes]:
        """Return the status and the body of an engine's response."""
        headers = {'x-expect-instance': record.target_id}
        if content is not None:
            headers['content-type'] = 'application/json'
        try:
            request = self.client.build_request(
                method,
                f'http://{record.address}{path}',
                content=content,
                headers=headers,
                extensions=extensions,
            )
        except (httpx.InvalidURL, ValueError) as error:
            raise httpx.LocalProtocolError(repr(error)) from error
        response = await self.client.send(request, stream=True)
        try:
            body = await read_body(response, MAX_REPORT_BYTES)
        finally:
            with anyio.CancelScope(shield=True):
                await response.aclose()
        return response.status_code, body


async def _check_lease(
    may_send: Callable[[], bool], event: str, _: object
) -> None:
    """Stop an order whose connection stands once the lease has ended."""
    if event == SEND_STARTED_EVENT and not may_send():
        raise httpx.RequestError('the lease has ended')
