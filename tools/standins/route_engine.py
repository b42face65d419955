"""Stand-in for an engine or plain service behind a route.

Registers itself in the stand-in of the object store, executes orders and
records every request that it runs, so that tests detect a request that is run
twice.
"""

import itertools
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

import anyio
from anyio.abc import TaskGroup

from tools.standins.objects import ObjectStoreServer
from tools.standins.web import Request

_ORDER_PATH = '/-/order'
_HEALTH_PATH = '/healthz'
_REPORT_PATH = '/-/report'
_ACCEPTED = 202
_ALREADY_APPLIED = 200
_BUSY = 409
_STALE_FENCE = 412
_MISDIRECTED = 421
_OK = 200
_FAILED = 500
_UNAVAILABLE = 503
# Limits the wait of an unload for running requests of its model; one poll
# takes ``event_seconds``.
_MAX_UNLOAD_POLLS = 1000


@dataclass(slots=True)
class EngineFaults:
    """Faults to inject into an engine.

    :param lost_order_responses: number of orders to execute without
        responding.
    :param order_delays: one entry for each order that gets no response:
        seconds until it is executed.
    :param refused_requests: number of requests to refuse without running.
    :param stream_cuts: one entry for each stream to cut: number of events
        after which it is cut.
    :param wrong_request_ids: number of responses with the ID of another
        request.
    :param failed_responses: number of responses with status 500; only plain
        services send them.
    :param statuses: one entry for each response with another status; only
        plain services send them.
    :param unanswered_requests: number of requests to run without responding.
    :param crashing_parts: prompt parts on which the engine crashes as soon as
        it runs a request with one of them.
    :param crashing_paths: paths of requests on which the target crashes.
    :param stated_limit: requests per second that answers name as a limit;
        ``None`` for none.
    """

    lost_order_responses: int = 0
    order_delays: list[float] = field(default_factory=list)
    refused_requests: int = 0
    stream_cuts: list[int] = field(default_factory=list)
    wrong_request_ids: int = 0
    failed_responses: int = 0
    statuses: list[int] = field(default_factory=list)
    unanswered_requests: int = 0
    crashing_parts: set[str] = field(default_factory=set)
    crashing_paths: set[str] = field(default_factory=set)
    stated_limit: float | None = None

    def next_status(self) -> int:
        """Return the status of the next response of a plain service."""
        if self.statuses:
            return self.statuses.pop(0)
        if not self.failed_responses:
            return _OK
        self.failed_responses -= 1
        return _FAILED


@dataclass(slots=True)
class ReceivedOrder:
    """One order as it arrived.

    :param arrived_at: seconds of the monotonic clock.
    :param holder: instance that sent it.
    :param fencing: its fencing number.
    :param kind: ``load`` or ``unload``.
    :param status: of the answer; 0 before the order is executed.
    """

    arrived_at: float
    holder: str
    fencing: int
    kind: str
    status: int = 0


@dataclass(slots=True)
class RouteEngine:
    """One engine, or a plain service if ``max_models`` is 0.

    :param tasks: task group that runs loads and unloads in the background.
    :param max_models: number of models that fit in memory.
    :param event_seconds: time between two events of a stream.
    :param events: number of events in a complete stream.
    :param started_ms: start time, in milliseconds since the epoch.
    :param software_version: version in the registered entry.
    :param models: adapters of each loaded model.
    :param on_disk: models with a copy of the weights on the local disk.
    :param busy: a model is being loaded or unloaded.
    :param accepted_orders: number of orders accepted since the start.
    :param executed_ids: IDs of the requests that were run, with repetitions.
    :param received_orders: every order in the order of arrival.
    :param max_models_held: highest number of models loaded or being loaded.
    :param running_by_model: number of running requests.
    :param arrived_at: time at which each request arrived, seconds of the
        monotonic clock.
    :param resumed: set when the engine resumes; ``None`` while it runs.
    :param crashed: set while the engine has no process.
    :param crashed_at: time of each crash, seconds of the monotonic clock.
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
    started_ms: int = 1
    software_version: str = 'v1'
    models: dict[str, set[str]] = field(default_factory=dict)
    on_disk: set[str] = field(default_factory=set)
    state: str = 'ready'
    busy: bool = False
    accepted_orders: int = 0
    highest_fence: int = 0
    faults: EngineFaults = field(default_factory=EngineFaults)
    executed_ids: list[str] = field(default_factory=list)
    received_headers: list[dict[str, str]] = field(default_factory=list)
    orders: list[dict[str, Any]] = field(default_factory=list)
    received_orders: list[ReceivedOrder] = field(default_factory=list)
    max_models_held: int = 0
    running_by_model: Counter[str] = field(default_factory=Counter)
    arrived_at: list[float] = field(default_factory=list)
    resumed: anyio.Event | None = None
    crashed: anyio.Event = field(default_factory=anyio.Event)
    crashed_at: list[float] = field(default_factory=list)

    def register(self) -> None:
        """Write the engine's record to the store."""
        entry = {
            'service': self.service,
            'addr': self.address,
            'zone': self.zone,
            'version': self.software_version,
            'slots': 8,
            'state': self.state,
            'cold_left_ms': 0,
            'born': self.started_ms,
            'seq': self.accepted_orders,
        }
        if self.max_models:
            entry['models'] = self._describe_models()
            entry['at_hand'] = self._describe_local_models()
        self.store.put('servers', self.target_id, entry)

    def restart(self) -> None:
        """Simulate a crash: restart under the same ID, no models loaded."""
        self.started_ms += 1000
        self.models.clear()
        self.accepted_orders = 0
        self.highest_fence = 0
        self.busy = False
        self.crashed = anyio.Event()
        self.register()

    def crash(self) -> None:
        """End the process; its connections are closed by the server."""
        self.crashed_at.append(time.monotonic())
        self.crashed.set()

    def suspend(self) -> None:
        """Leave all further requests until the engine resumes."""
        self.resumed = anyio.Event()

    def resume(self) -> None:
        """Handle the requests that came meanwhile, also of callers gone."""
        if self.resumed is not None:
            self.resumed.set()
            self.resumed = None

    async def handle(self, request: Request) -> None:
        """Handle one HTTP request.

        :param request: with its body fully read.
        """
        if self.resumed is not None:
            await self.resumed.wait()
        expected = request.header('x-expect-instance')
        if request.path == _REPORT_PATH:
            # Engines of the platform report to callers that expect another one.
            await request.send_json(self._report())
        elif expected is not None and expected != self.target_id:
            await request.start(_MISDIRECTED)
            await request.write(b'', more=False)
        elif request.path == _ORDER_PATH:
            await self._handle_order(request)
        elif request.path == _HEALTH_PATH:
            await request.send_json(
                {}, headers={'x-instance-id': self.target_id}
            )
        else:
            await self._handle_run(request)

    def _report(self) -> dict[str, Any]:
        return {
            'stage': 'both',
            'models': self._describe_models(),
            'busy': self.busy,
            'seq': self.accepted_orders,
            'born': self.started_ms,
            'queued': 0,
            'active': sum(self.running_by_model.values()),
            'kv_used': 0,
            'kv_total': 1000,
            'handles': 0,
            'at_hand': self._describe_local_models(),
        }

    def _describe_models(self) -> list[dict[str, Any]]:
        return [
            {'name': name, 'version': 1, 'adapters': sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    def _describe_local_models(self) -> dict[str, list[str]]:
        return {'in_memory': [], 'on_disk': sorted(self.on_disk)}

    async def _handle_order(self, request: Request) -> None:
        order = request.json()
        self.orders.append(order)
        received = ReceivedOrder(
            time.monotonic(), order['holder'], order['fence'], order['op']
        )
        self.received_orders.append(received)
        if self.faults.order_delays:
            await anyio.sleep(self.faults.order_delays.pop(0))
            received.status = await self._execute_order(order)
            await request.wait_for_disconnect()
            return
        status = await self._execute_order(order)
        received.status = status
        if self.faults.lost_order_responses:
            self.faults.lost_order_responses -= 1
            await request.wait_for_disconnect()
            return
        await request.send_json({}, status)

    async def _execute_order(self, order: dict[str, Any]) -> int:
        if order['fence'] < self.highest_fence:
            return _STALE_FENCE
        self.highest_fence = order['fence']
        if self.busy or order.get('precondition') != self.accepted_orders:
            return _BUSY
        if self._is_applied(order):
            return _ALREADY_APPLIED
        self.accepted_orders += 1
        if order.get('adapter'):
            self._change_adapter(order)
            # Unloading an adapter takes effect at once.
            return _ACCEPTED if order['op'] == 'load' else _ALREADY_APPLIED
        self.busy = True
        self.tasks.start_soon(self._change_model, order)
        return _ACCEPTED

    def _is_applied(self, order: dict[str, Any]) -> bool:
        adapters = self.models.get(order['model'])
        is_loaded = adapters is not None
        if order.get('adapter'):
            is_loaded = adapters is not None and order['adapter'] in adapters
        return bool(is_loaded == (order['op'] == 'load'))

    def _change_adapter(self, order: dict[str, Any]) -> None:
        adapters = self.models.setdefault(order['model'], set())
        if order['op'] == 'load':
            adapters.add(order['adapter'])
        else:
            adapters.discard(order['adapter'])

    async def _change_model(self, order: dict[str, Any]) -> None:
        started_ms = self.started_ms
        if order['op'] == 'load':
            self.max_models_held = max(
                self.max_models_held, len(self.models) + 1
            )
            await anyio.sleep(self.load_seconds)
        else:
            await self._wait_for_requests(order['model'])
        if started_ms != self.started_ms:
            return
        if order['op'] == 'load':
            self.models[order['model']] = set()
            self.on_disk.add(order['model'])
        else:
            self.models.pop(order['model'], None)
        self.busy = False
        self.register()

    async def _wait_for_requests(self, model: str) -> None:
        for _ in range(_MAX_UNLOAD_POLLS):
            if not self.running_by_model[model]:
                return
            await anyio.sleep(self.event_seconds)

    async def _handle_run(self, request: Request) -> None:
        request_id = request.header('x-attempt-id') or ''
        model, _, adapter = (request.header('x-model') or '').partition('/')
        self.arrived_at.append(time.monotonic())
        if self.faults.refused_requests:
            self.faults.refused_requests -= 1
            await self._refuse(request, _UNAVAILABLE, request_id)
        elif model and not self._is_available(model, adapter):
            await self._refuse(request, _MISDIRECTED, request_id)
        else:
            self.executed_ids.append(request_id)
            self.received_headers.append(dict(request.headers))
            self.running_by_model[model] += 1
            try:
                await self._respond_until_disconnect(request, request_id)
            finally:
                self.running_by_model[model] -= 1

    async def _respond_until_disconnect(
        self,
        request: Request,
        request_id: str,
    ) -> None:
        """Respond; cancel the request if the caller disconnects."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_cancel_on_disconnect, request, tasks.cancel_scope)
            if self._crashes_on(request):
                self.crash()
                await request.wait_for_disconnect()
            await self._respond(request, request_id)
            tasks.cancel_scope.cancel()

    def _crashes_on(self, request: Request) -> bool:
        if request.path in self.faults.crashing_paths:
            return True
        return bool(self.faults.crashing_parts & _prompt_parts(request))

    def _is_available(self, model: str, adapter: str) -> bool:
        adapters = self.models.get(model)
        return adapters is not None and (not adapter or adapter in adapters)

    async def _refuse(
        self,
        request: Request,
        status: int,
        request_id: str,
    ) -> None:
        headers = {'x-not-run': '1', 'x-attempt-id': request_id}
        await request.start(status, headers=headers)
        await request.write(b'', more=False)

    def _response_headers(self, request_id: str) -> dict[str, str]:
        if self.faults.wrong_request_ids:
            self.faults.wrong_request_ids -= 1
            request_id = 'of-another-request'
        headers = {
            'x-attempt-id': request_id,
            'x-server-seal': f'seal-{self.target_id}',
        }
        if self.faults.stated_limit is not None:
            headers['server-limit'] = str(self.faults.stated_limit)
        return headers

    async def _respond(self, request: Request, request_id: str) -> None:
        if self.faults.unanswered_requests:
            self.faults.unanswered_requests -= 1
            await request.wait_for_disconnect()
            return
        headers = self._response_headers(request_id)
        if not self.max_models:
            await request.start(self.faults.next_status(), headers=headers)
            await request.write(request.body or b'looked up', more=False)
            return
        await request.start(
            content_type='text/event-stream',
            headers=headers,
        )
        first_event = int(request.header('last-event-id') or 0) + 1
        cuts = self.faults.stream_cuts
        last_event = first_event + cuts.pop(0) - 1 if cuts else None
        for number in itertools.count(first_event):
            if last_event is not None and number > last_event:
                # End the stream before its last event.
                return
            await anyio.sleep(self.event_seconds)
            await request.write(
                b'id: %d\ndata: piece %d\n\n' % (number, number),
                more=number < self.events,
            )
            if number >= self.events:
                return


def _prompt_parts(request: Request) -> set[str]:
    header = request.header('x-prompt-prefix') or ''
    return {part.partition(':')[0] for part in header.split(',')}


async def _cancel_on_disconnect(
    request: Request,
    scope: anyio.CancelScope,
) -> None:
    await request.wait_for_disconnect()
    scope.cancel()
