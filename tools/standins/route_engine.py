"""Stand-in for an engine or plain service of the platform.

It registers itself in the store's stand-in, carries out orders, and records
every request that it runs, so that a second run of one request shows.
"""

import itertools
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup

from tools.standins.objects import ObjectStoreServer
from tools.standins.web import Request

_ORDER_PATH = '/-/order'
_REPORT_PATH = '/-/report'
_ACCEPTED = 202
_HOLDS = 200
_BUSY = 409
_STALE = 412
_MISDIRECTED = 421
_REFUSED = 503
# Looks of an unload whether the requests of its model have ended.
_MOST_WAITS = 1000


@dataclass(slots=True)
class EngineFaults:
    """Switches for failures of an engine.

    :param lost_orders: orders that are carried out without an answer.
    :param late_orders: orders that get no answer and are carried out after
        this many seconds each.
    :param refuse_requests: requests that are refused without running.
    :param break_streams: streams that are cut after this many events each.
    :param failed_answers: answers with status 500.
    :param wrong_ids: answers that carry the id of another request.
    :param silent_runs: requests that run without an answer.
    """

    lost_order_responses: int = 0
    order_delays: list[float] = field(default_factory=list)
    refused_requests: int = 0
    stream_cuts: list[int] = field(default_factory=list)
    wrong_request_ids: int = 0
    failed_responses: int = 0
    unanswered_requests: int = 0


@dataclass(slots=True)
class RouteEngine:
    """One engine, or a plain service when it has no places for models.

    :param tasks: runs loads while other calls are answered.
    :param places: models that fit; 0 for a plain service.
    :param born: start of the process, milliseconds since the epoch.
    :param runs: ids of the requests that it ran.
    """

    target_id: str
    service: str
    address: str
    zone: str
    store: ObjectStoreServer
    tasks: TaskGroup
    max_models: int = 0
    load_seconds: float = 0.1
    event_seconds: float = 0.01
    events: int = 5
    born: int = 1
    models: dict[str, set[str]] = field(default_factory=dict)
    on_disk: set[str] = field(default_factory=set)
    state: str = 'ready'
    busy: bool = False
    accepted: int = 0
    highest_fence: int = 0
    faults: EngineFaults = field(default_factory=EngineFaults)
    executed_ids: list[str] = field(default_factory=list)
    received_headers: list[dict[str, str]] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    max_models_held: int = 0
    running: Counter[str] = field(default_factory=Counter)

    def register(self) -> None:
        """Write the engine's entry into the store."""
        entry = {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'cold_left_ms': 0,
            'born': self.born,
            'seq': self.accepted,
        }
        if self.max_models:
            entry['models'] = self._listed_models()
            entry['at_hand'] = self._at_hand()
        self.store.put('servers', self.target_id, entry)

    def restart(self) -> None:
        """Start again under the same id, empty, as after a crash."""
        self.born += 1000
        self.models.clear()
        self.accepted = 0
        self.highest_fence = 0
        self.busy = False
        self.register()

    async def handle(self, request: Request) -> None:
        """Answer one request.

        :param request: with its whole body.
        """
        expected = request.header('x-expect-instance')
        if expected is not None and expected != self.target_id:
            await request.start(_MISDIRECTED)
            await request.write(b'', more=False)
        elif request.path == _ORDER_PATH:
            await self._take_order(request)
        elif request.path == _REPORT_PATH:
            await request.answer(self._report())
        else:
            await self._run(request)

    def _report(self) -> dict[str, Any]:
        return {
            'stage': 'both',
            'models': self._listed_models(),
            'busy': self.busy,
            'seq': self.accepted,
            'born': self.born,
            'queued': 0,
            'active': sum(self.running.values()),
            'kv_used': 0,
            'kv_total': 1000,
            'handles': 0,
            'at_hand': self._at_hand(),
        }

    def _listed_models(self) -> list[dict[str, Any]]:
        return [
            {'name': name, 'version': 1, 'adapters': sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    def _at_hand(self) -> dict[str, list[str]]:
        return {'in_memory': [], 'on_disk': sorted(self.on_disk)}

    async def _take_order(self, request: Request) -> None:
        order = request.json()
        self.orders.append(order)
        if self.faults.order_delays:
            await anyio.sleep(self.faults.order_delays.pop(0))
            await self._carry_out(order)
            await request.hang()
            return
        status = await self._carry_out(order)
        if self.faults.lost_order_responses:
            self.faults.lost_order_responses -= 1
            await request.hang()
            return
        await request.answer({}, status)

    async def _carry_out(self, order: dict[str, Any]) -> int:
        if order['fence'] < self.highest_fence:
            return _STALE
        self.highest_fence = order['fence']
        if self.busy or order.get('precondition') != self.accepted:
            return _BUSY
        if self._holds(order):
            return _HOLDS
        self.accepted += 1
        if order.get('adapter'):
            self._change_adapter(order)
            # An adapter is dropped at once, so that the order holds already.
            return _ACCEPTED if order['op'] == 'load' else _HOLDS
        self.busy = True
        self.tasks.start_soon(self._change_model, order)
        return _ACCEPTED

    def _holds(self, order: dict[str, Any]) -> bool:
        held = self.models.get(order['model'])
        has = held is not None
        if order.get('adapter'):
            has = held is not None and order['adapter'] in held
        return bool(has == (order['op'] == 'load'))

    def _change_adapter(self, order: dict[str, Any]) -> None:
        held = self.models.setdefault(order['model'], set())
        if order['op'] == 'load':
            held.add(order['adapter'])
        else:
            held.discard(order['adapter'])

    async def _change_model(self, order: dict[str, Any]) -> None:
        born = self.born
        if order['op'] == 'load':
            self.max_models_held = max(
                self.max_models_held, len(self.models) + 1
            )
            await anyio.sleep(self.load_seconds)
        else:
            await self._wait_for_runs(order['model'])
        if born != self.born:
            return
        if order['op'] == 'load':
            self.models[order['model']] = set()
            self.on_disk.add(order['model'])
        else:
            self.models.pop(order['model'], None)
        self.busy = False
        self.register()

    async def _wait_for_runs(self, model: str) -> None:
        for _ in range(_MOST_WAITS):
            if not self.running[model]:
                return
            await anyio.sleep(self.event_seconds)

    async def _run(self, request: Request) -> None:
        request_id = request.header('x-attempt-id') or ''
        model, _, adapter = (request.header('x-model') or '').partition('/')
        if self.faults.refused_requests:
            self.faults.refused_requests -= 1
            await self._refuse(request, _REFUSED, request_id)
        elif model and not self._can_run(model, adapter):
            await self._refuse(request, _MISDIRECTED, request_id)
        else:
            self.executed_ids.append(request_id)
            self.received_headers.append(dict(request.headers))
            self.running[model] += 1
            try:
                await self._answer_while_wanted(request, request_id)
            finally:
                self.running[model] -= 1

    async def _answer_while_wanted(
        self,
        request: Request,
        request_id: str,
    ) -> None:
        """Answer; a run ends when its connection closes."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_when_left, request, tasks.cancel_scope)
            await self._answer(request, request_id)
            tasks.cancel_scope.cancel()

    def _can_run(self, model: str, adapter: str) -> bool:
        held = self.models.get(model)
        return held is not None and (not adapter or adapter in held)

    async def _refuse(
        self,
        request: Request,
        status: int,
        request_id: str,
    ) -> None:
        headers = {'x-not-run': '1', 'x-attempt-id': request_id}
        await request.start(status, headers=headers)
        await request.write(b'', more=False)

    async def _answer(self, request: Request, request_id: str) -> None:
        if self.faults.unanswered_requests:
            self.faults.unanswered_requests -= 1
            await request.hang()
            return
        if self.faults.wrong_request_ids:
            self.faults.wrong_request_ids -= 1
            request_id = 'of-another-request'
        headers = {
            'x-attempt-id': request_id,
            'x-server-seal': f'seal-{self.target_id}',
        }
        if not self.max_models:
            status = 200
            if self.faults.failed_responses:
                self.faults.failed_responses -= 1
                status = 500
            await request.start(status, headers=headers)
            await request.write(request.body or b'looked up', more=False)
            return
        await request.start(
            content_type='text/event-stream',
            headers=headers,
        )
        first = int(request.header('last-event-id') or 0) + 1
        broken = self.faults.stream_cuts
        last = first + broken.pop(0) - 1 if broken else None
        for number in itertools.count(first):
            if last is not None and number > last:
                # Ends without the mark of a complete answer.
                return
            await anyio.sleep(self.event_seconds)
            await request.write(
                b'id: %d\ndata: piece %d\n\n' % (number, number),
                more=number < self.events,
            )
            if number >= self.events:
                return


async def _cancel_when_left(
    request: Request,
    scope: anyio.CancelScope,
) -> None:
    await request.hang()
    scope.cancel()
