"""Stand-in for a model engine, run as a separate process.

Loads and unloads deployments, streams responses, schedules requests by
priority, resumes and cancels streams and publishes load reports with a lag.
Fencing numbers are checked or ignored. A request that contains
:data:`CRASH_MARKER` crashes the process.
"""

import functools
import hashlib
import json
import os
import time
import uuid
from dataclasses import dataclass, field
from typing import Any

import anyio
import fire
import httpx

from tools.standins.web import Request, run_server

CRASH_MARKER = 'crash-the-engine'
_CRASH_EXIT_CODE = 13
_ADAPTER_LOAD_SECONDS = 0.006
_MAX_PARALLEL_ADAPTER_LOADS = 32


@dataclass(slots=True)
class Behaviour:
    """Settings and injected faults; ``POST /control`` changes them.

    :param checks_fencing: reject orders with an outdated fencing number.
    :param lag: seconds between updates of the load report.
    :param token_seconds: time to generate one token.
    :param load_seconds: time to fetch the weights of a deployment.
    :param lost_answers: number of orders to execute without responding.
    :param cut_after: number of tokens after which a stream is cut off; 0
        disables this.
    :param silent: accept completion requests and never respond.
    """

    checks_fencing: bool = True
    lag: float = 0.5
    token_seconds: float = 0.002
    load_seconds: float = 0.3
    lost_answers: int = 0
    cut_after: int = 0
    silent: bool = False


@dataclass(slots=True)
class Engine:
    """State of one engine, kept in memory only.

    :param memory: capacity for weights, in megabytes.
    :param slots: number of requests that run at the same time.
    :param boot_id: changes with each start of the process.
    :param highest_fencing: highest fencing number of an order so far.
    :param load_ended_by_deployment: set when the latest load has ended.
    :param overcommitted: an order exceeded the memory.
    :param waiters: queued requests: negated priority, arrival time, event.
    """

    target_id: str
    memory: int
    slots: int
    weights_url: str
    behaviour: Behaviour
    boot_id: str = field(default_factory=lambda: uuid.uuid4().hex)
    highest_fencing: int = 0
    replicas_by_deployment: dict[str, dict[str, Any]] = field(
        default_factory=dict,
    )
    load_ended_by_deployment: dict[str, anyio.Event] = field(
        default_factory=dict
    )
    done_orders: list[str] = field(default_factory=list)
    running: int = 0
    queued: int = 0
    adapters_loading: int = 0
    overcommitted: bool = False
    requests: list[dict[str, Any]] = field(default_factory=list)
    cancelled_ids: set[str] = field(default_factory=set)
    last_report: dict[str, Any] = field(default_factory=dict)
    last_report_at: float = -1
    waiters: list[tuple[int, float, anyio.Event]] = field(
        default_factory=list,
    )

    async def handle(self, request: Request) -> None:
        """Handle one HTTP request.

        :param request: with its body fully read.
        """
        handler_by_path = {
            '/control': self._handle_control,
            '/v1/report': self._handle_report,
            '/v1/orders': self._handle_order,
            '/v1/cancel': self._handle_cancel,
            '/v1/chat/completions': self._handle_completion,
        }
        handler = handler_by_path.get(request.path)
        if handler is None:
            await request.send_json({'error': 'no such path'}, 404)
            return
        await handler(request)

    def current_report(self) -> dict[str, Any]:
        """Return the load report, which is updated once per lag."""
        now = time.monotonic()
        if now - self.last_report_at >= self.behaviour.lag:
            self.last_report_at = now
            self.last_report = {
                'target_id': self.target_id,
                'boot_id': self.boot_id,
                'running': self.running,
                'queued': self.queued,
                'memory_used': self._memory_used(),
                'memory_total': self.memory,
                'highest_fencing': self.highest_fencing,
                'replicas': list(self.replicas_by_deployment.values()),
                'done_orders': self.done_orders[-64:],
            }
        return {**self.last_report, 'age': now - self.last_report_at}

    def _memory_used(self) -> int:
        return sum(
            replica['memory']
            for replica in self.replicas_by_deployment.values()
        )

    async def _handle_report(self, request: Request) -> None:
        await request.send_json(self.current_report())

    async def _handle_cancel(self, request: Request) -> None:
        self.cancelled_ids.add(request.json()['request_id'])
        await request.send_json({'cancelled': True})

    async def _handle_control(self, request: Request) -> None:
        if request.method == 'POST':
            for name, setting in request.json().items():
                setattr(self.behaviour, name, setting)
        await request.send_json(
            {
                'requests': self.requests,
                'overcommitted': self.overcommitted,
                'replicas': list(self.replicas_by_deployment.values()),
                'fencing': self.highest_fencing,
                'cancelled': sorted(self.cancelled_ids),
            }
        )

    async def _handle_order(self, request: Request) -> None:
        order = request.json()
        outcome = await self._execute_order(order)
        if outcome == 'done':
            self.done_orders.append(order['order_id'])
        if self.behaviour.lost_answers:
            self.behaviour.lost_answers -= 1
            await request.wait_for_disconnect()
            return
        await request.send_json(
            {
                'order_id': order['order_id'],
                'outcome': outcome,
            }
        )

    async def _execute_order(self, order: dict[str, Any]) -> str:
        is_stale = order['fencing'] < self.highest_fencing
        if is_stale and self.behaviour.checks_fencing:
            return 'stale_fencing'
        self.highest_fencing = max(self.highest_fencing, order['fencing'])
        deployment = order['deployment']
        if order['kind'] == 'load':
            return await self._load(order)
        if order['kind'] == 'unload':
            self.replicas_by_deployment.pop(deployment, None)
        return 'done'

    async def _load(self, order: dict[str, Any]) -> str:
        deployment = order['deployment']
        if deployment in self.replicas_by_deployment:
            # A repeated load waits for the one in progress.
            await self.load_ended_by_deployment[deployment].wait()
            is_loaded = deployment in self.replicas_by_deployment
            return 'done' if is_loaded else 'refused'
        memory = order.get('memory', 0)
        if self._memory_used() + memory > self.memory:
            self.overcommitted = True
            return 'no_memory'
        replica = {
            'deployment': deployment,
            'state': 'loading',
            'memory': memory,
        }
        self.replicas_by_deployment[deployment] = replica
        ended = anyio.Event()
        self.load_ended_by_deployment[deployment] = ended
        try:
            return await self._load_replica(order, replica)
        finally:
            ended.set()

    async def _load_replica(
        self,
        order: dict[str, Any],
        replica: dict[str, Any],
    ) -> str:
        if order.get('adapter'):
            await self._load_adapter()
        elif not await self._fetch_weights(order):
            self.replicas_by_deployment.pop(order['deployment'], None)
            return 'refused'
        replica['state'] = 'loaded'
        return 'done'

    async def _load_adapter(self) -> None:
        self.adapters_loading += 1
        slowdown = max(1, self.adapters_loading / _MAX_PARALLEL_ADAPTER_LOADS)
        await anyio.sleep(_ADAPTER_LOAD_SECONDS * slowdown)
        self.adapters_loading -= 1

    async def _fetch_weights(self, order: dict[str, Any]) -> bool:
        seconds = self.behaviour.load_seconds
        if not self.weights_url:
            await anyio.sleep(seconds)
            return True
        async with httpx.AsyncClient(timeout=60, trust_env=False) as client:
            response = await client.get(
                f'{self.weights_url}/weights/{order["model"]}',
                params={'seconds': seconds},
            )
        return response.is_success

    async def _handle_completion(self, request: Request) -> None:
        body = request.json()
        self.requests.append(
            {
                'headers': request.headers,
                'query': request.query,
                'body': body,
            }
        )
        if CRASH_MARKER in request.body.decode():
            os._exit(_CRASH_EXIT_CODE)
        if self.behaviour.silent:
            await request.wait_for_disconnect()
            return
        replica = self.replicas_by_deployment.get(body.get('model', ''))
        if replica is None or replica['state'] != 'loaded':
            await request.send_json({'error': 'not loaded', 'ran': False}, 409)
            return
        await self._acquire_slot(int(request.header('x-priority') or 0))
        try:
            await self._stream(request, body)
        finally:
            self._release_slot()

    async def _acquire_slot(self, priority: int) -> None:
        if self.running < self.slots:
            self.running += 1
            return
        ready = anyio.Event()
        self.waiters.append((-priority, time.monotonic(), ready))
        self.waiters.sort(key=_queue_position)
        self.queued += 1
        await ready.wait()
        self.queued -= 1

    def _release_slot(self) -> None:
        if self.waiters:
            self.waiters.pop(0)[2].set()
        else:
            self.running -= 1

    async def _stream(self, request: Request, body: dict[str, Any]) -> None:
        request_id = request.header('x-request-id') or uuid.uuid4().hex
        tokens = generate_tokens(body)
        if not body.get('stream'):
            await anyio.sleep(self.behaviour.token_seconds * len(tokens))
            await request.send_json(_build_completion(request_id, body, tokens))
            return
        last_event = int(request.header('last-event-id') or -1)
        await request.start(content_type='text/event-stream')
        for index, token in enumerate(tokens):
            if index <= last_event:
                continue
            if request_id in self.cancelled_ids:
                return
            if self.behaviour.cut_after and index >= self.behaviour.cut_after:
                # End the body without the ``[DONE]`` marker.
                await request.write(b'', more=False)
                return
            await anyio.sleep(self.behaviour.token_seconds)
            event = _build_chunk(request_id, body, index, token)
            encoded_event = f'id: {index}\ndata: {json.dumps(event)}\n\n'
            await request.write(encoded_event.encode())
        await request.write(b'data: [DONE]\n\n', more=False)


def _queue_position(
    waiter: tuple[int, float, anyio.Event],
) -> tuple[int, float]:
    return waiter[0], waiter[1]


def generate_tokens(body: dict[str, Any]) -> list[str]:
    """Return the tokens of a response, derived from the request alone.

    :param body: of the chat completion request; the text depends on the
        messages, the number of tokens on ``max_tokens``.
    """
    digest = hashlib.sha256(
        json.dumps(body.get('messages'), sort_keys=True).encode(),
    ).hexdigest()
    count = int(body.get('max_tokens', 16))
    return [f'{digest[:8]}-{index} ' for index in range(count)]


def _build_chunk(
    request_id: str,
    body: dict[str, Any],
    index: int,
    token: str,
) -> dict[str, Any]:
    return {
        'id': request_id,
        'object': 'chat.completion.chunk',
        'model': body.get('model'),
        'choices': [{'index': 0, 'delta': {'content': token}}],
        'token': index,
    }


def _build_completion(
    request_id: str,
    body: dict[str, Any],
    tokens: list[str],
) -> dict[str, Any]:
    message = {'role': 'assistant', 'content': ''.join(tokens)}
    return {
        'id': request_id,
        'object': 'chat.completion',
        'model': body.get('model'),
        'choices': [
            {'index': 0, 'message': message, 'finish_reason': 'stop'},
        ],
        'usage': {'completion_tokens': len(tokens)},
    }


def main(
    target_id: str,
    host: str = '127.0.0.1',
    port: int = 0,
    memory: int = 80_000,
    slots: int = 8,
    weights_url: str = '',
    **behaviour: Any,
) -> None:
    """Run the engine stand-in.

    :param target_id: target ID as in the questionnaire.
    :param host: IP address to listen on.
    :param port: 0 selects a free port; the address is printed.
    :param memory: capacity for weights, in megabytes.
    :param slots: number of requests that run at the same time.
    :param weights_url: base URL of the platform stand-in; without it loads
        only sleep.
    :param behaviour: fields of :class:`Behaviour`.
    """
    anyio.run(
        functools.partial(
            _serve,
            (str(target_id), memory, slots, weights_url),
            Behaviour(**behaviour),
            host,
            port,
        ),
    )


async def _serve(
    engine_settings: tuple[str, int, int, str],
    behaviour: Behaviour,
    host: str,
    port: int,
) -> None:
    engine = Engine(*engine_settings, behaviour)
    await run_server(engine.handle, host, port)


if __name__ == '__main__':
    fire.Fire(main)
