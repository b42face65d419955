"""Passes requests to other instances while targets are not reached from here.

A request follows an offer that was accepted, over the connections between the
instances. The other instance serves it as one of its own, except that the
organisation is charged here and that it passes the request to nobody else.
"""

import math
import random
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import count

import anyio
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

from cowsliprack.exceptions import ErrorKind, Ran, ServingError
from cowsliprack.logs import log_decision
from cowsliprack.protocol.gateway_messages import (
    PassCancelled,
    PassedPart,
    PassedRequest,
    PassOffer,
    PassReply,
    PeerView,
)
from cowsliprack.protocol.peer import AnyPeerMessage
from cowsliprack.transport.exchange import AsgiMessage, Exchange
from cowsliprack.transport.routed_request import RoutedRequest

# Longest wait for the answer to an offer; a round trip takes milliseconds.
_OFFER_SECONDS = 0.15
# Instances that are asked for one request.
_MAX_OFFERS = 3
# Time for which an instance that has declined or not answered is not asked if
# there are others.
_DECLINED_SECONDS = 0.5
# Reserve of the other instance's answer for its way back.
_RETURN_SECONDS = 0.03
# Largest request and part of an answer; a message is at most 512 KB.
_MAX_BODY_BYTES = 262_144
# Pause and attempts while the queue to the other instance is full.
_QUEUE_PAUSE_SECONDS = 0.01
_QUEUE_ATTEMPTS = 200
# Time without a part after which an instance that does not belong to the region
# any more is taken as gone; one that stops leaves it while it still answers.
_PEER_CHECK_SECONDS = 2.0
_NUMBER_BITS = 48

Deliver = Callable[[str, str, AnyPeerMessage], bool]
ServePassed = Callable[[Exchange, PassedRequest, float], Awaitable[bool]]


PassMessage = PassOffer | PassReply | PassedRequest | PassedPart | PassCancelled


@dataclass(slots=True)
class _Answer:
    """Parts of the answer to a request that was passed on."""

    peer: PeerView
    parts: MemoryObjectSendStream[PassedPart]


@dataclass(slots=True)
class RequestPassing:
    """Passes requests on, and serves those of other instances.

    :param instance_id: id of this instance.
    :param address: address at which other instances reach this one.
    :param deliver: sends a message to an instance (id, address, message);
        returns whether it was queued.
    :param peers: returns the instances of the region.
    :param accepts: returns whether this instance can serve a service.
    :param clock: seconds; must keep running during suspension.
    :param serve: serves a request of another instance (exchange, request, time
        of its arrival there); returns whether it may have run.
    """

    instance_id: str
    address: str
    deliver: Deliver
    peers: Callable[[], tuple[PeerView, ...]]
    accepts: Callable[[str], bool]
    clock: Callable[[], float]
    serve: ServePassed = field(init=False)
    rng: random.Random = field(default_factory=random.Random)
    # Random, so that late answers to an earlier process match no request.
    _last_number: int = field(
        default_factory=lambda: random.getrandbits(_NUMBER_BITS)
    )
    _replies_by_number: dict[int, MemoryObjectSendStream[PassReply]] = field(
        default_factory=dict
    )
    _answers_by_number: dict[int, _Answer] = field(default_factory=dict)
    _scopes_by_request: dict[tuple[str, int], anyio.CancelScope] = field(
        default_factory=dict
    )
    _asked_again_at_by_id: dict[str, float] = field(default_factory=dict)
    _new_requests: list[PassedRequest] = field(default_factory=list)
    _wake: anyio.Event = field(default_factory=anyio.Event)
    _ended: anyio.Event = field(default_factory=anyio.Event)

    async def run(self) -> None:
        """Serve the requests of other instances until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._wake.wait()
                self._wake = anyio.Event()
                for message in self._new_requests:
                    tasks.start_soon(self._serve, message)
                self._new_requests.clear()

    async def wait_idle(self) -> None:
        """Wait until the requests of other instances are answered."""
        while self._scopes_by_request:
            await self._ended.wait()

    async def pass_on(self, request: RoutedRequest) -> bool:
        """Have another instance serve a request, and relay its answer.

        :param request: of which the caller has received nothing.
        :returns: whether an instance took it over.
        :raises ServingError: the other instance has failed.
        """
        if len(request.body) > _MAX_BODY_BYTES:
            return False
        self._last_number += 1
        number = self._last_number
        peer = await self._find_peer(number, request)
        log_decision(
            'pass_on',
            peer.instance_id if peer else None,
            'no target of the service is reached from here',
            request_id=request.metadata.request_id,
            service=request.service,
            waited_ms=round((self.clock() - request.arrived_at) * 1000),
        )
        if peer is None:
            return False
        await self._relay(number, request, peer)
        return True

    def handle(
        self,
        message: PassMessage,
    ) -> None:
        """Handle a message of another instance.

        :param message: late ones are ignored.
        """
        match message:
            case PassOffer():
                self._answer_offer(message)
            case PassReply():
                replies = self._replies_by_number.get(message.number)
                if replies is not None:
                    replies.send_nowait(message)
            case PassedRequest():
                # A cancellation may follow before the task has begun.
                key = (message.instance_id, message.number)
                self._scopes_by_request[key] = anyio.CancelScope()
                self._new_requests.append(message)
                self._wake.set()
            case PassedPart():
                self._apply_part(message)
            case PassCancelled():
                key = (message.instance_id, message.number)
                scope = self._scopes_by_request.get(key)
                if scope is not None:
                    scope.cancel()

    def _answer_offer(self, offer: PassOffer) -> None:
        reply = PassReply(
            self.instance_id, offer.number, self.accepts(offer.service)
        )
        self.deliver(offer.instance_id, offer.address, reply)

    def _apply_part(self, part: PassedPart) -> None:
        answer = self._answers_by_number.get(part.number)
        if answer is not None and answer.peer.instance_id == part.instance_id:
            answer.parts.send_nowait(part)

    async def _find_peer(
        self, number: int, request: RoutedRequest
    ) -> PeerView | None:
        now = self.clock()
        others = [
            peer
            for peer in self.peers()
            if peer.instance_id != self.instance_id
        ]
        rested = [
            peer
            for peer in others
            if self._asked_again_at_by_id.get(peer.instance_id, now) <= now
        ]
        possible = rested or others
        asked = self.rng.sample(possible, min(len(possible), _MAX_OFFERS))
        for peer in asked:
            if await self._offer(number, request.service, peer):
                return peer
            self._asked_again_at_by_id[peer.instance_id] = (
                self.clock() + _DECLINED_SECONDS
            )
        return None

    async def _offer(self, number: int, service: str, peer: PeerView) -> bool:
        send, receive = anyio.create_memory_object_stream[PassReply](
            _MAX_OFFERS
        )
        self._replies_by_number[number] = send
        offer = PassOffer(self.instance_id, self.address, number, service)
        try:
            self.deliver(peer.instance_id, peer.address, offer)
            with send, receive, anyio.move_on_after(_OFFER_SECONDS):
                reply = await receive.receive()
                while reply.instance_id != peer.instance_id:
                    reply = await receive.receive()
                return reply.is_accepted
        finally:
            self._replies_by_number.pop(number)
        return False

    async def _relay(
        self, number: int, request: RoutedRequest, peer: PeerView
    ) -> None:
        # No limit: parts are bounded by the queue between the instances.
        send, receive = anyio.create_memory_object_stream[PassedPart](math.inf)
        with send, receive, self._answering(number, peer, send):
            request.may_have_run = True
            message = self._passed_request(number, request)
            if not self.deliver(peer.instance_id, peer.address, message):
                request.may_have_run = bool(request.runs)
                raise _lost(request, 'the queue to the other instance is full')
            is_complete = False
            try:
                await self._relay_parts(receive, peer, request)
                is_complete = True
            finally:
                if not is_complete:
                    cancelled = PassCancelled(self.instance_id, number)
                    self.deliver(peer.instance_id, peer.address, cancelled)

    def _passed_request(
        self, number: int, request: RoutedRequest
    ) -> PassedRequest:
        exchange = request.exchange
        return PassedRequest(
            self.instance_id,
            self.address,
            number,
            exchange.method,
            exchange.raw_path,
            exchange.query,
            tuple((name, text) for name, text in exchange.headers),
            request.body,
            self.clock() - request.arrived_at + _RETURN_SECONDS,
            tuple(request.ran_on),
            request.runs,
        )

    async def _relay_parts(
        self,
        receive: MemoryObjectReceiveStream[PassedPart],
        peer: PeerView,
        request: RoutedRequest,
    ) -> None:
        """Write the answer to the caller, part by part."""
        for expected in count():
            part = await self._next_part(receive, peer, request)
            if part.is_broken or part.sequence != expected:
                raise _lost(request, 'the passed answer broke off')
            await _write(request, part, self.clock())
            if part.is_last:
                return

    async def _next_part(
        self,
        receive: MemoryObjectReceiveStream[PassedPart],
        peer: PeerView,
        request: RoutedRequest,
    ) -> PassedPart:
        while True:
            with anyio.move_on_after(_PEER_CHECK_SECONDS):
                return await receive.receive()
            boots = {known.boot for known in self.peers()}
            if peer.boot not in boots:
                raise _lost(request, 'the other instance has ended')

    @contextmanager
    def _answering(
        self,
        number: int,
        peer: PeerView,
        parts: MemoryObjectSendStream[PassedPart],
    ) -> Iterator[None]:
        self._answers_by_number[number] = _Answer(peer, parts)
        try:
            yield
        finally:
            self._answers_by_number.pop(number)

    def _end(self, key: tuple[str, int]) -> None:
        self._scopes_by_request.pop(key, None)
        self._ended.set()
        self._ended = anyio.Event()

    async def _serve(self, message: PassedRequest) -> None:
        """Serve a request of another instance."""
        key = (message.instance_id, message.number)
        sender = _PartSender(self, message)
        scope = self._scopes_by_request[key]
        exchange = Exchange(
            method=message.method,
            path=message.path,
            raw_path=message.path,
            query=message.query,
            headers=list(message.headers),
            receive=_receiver(message.body),
            send=sender.send,
        )
        try:
            with scope:
                may_have_run = await self.serve(
                    exchange, message, self.clock() - message.waited
                )
                await sender.finish(may_have_run)
        finally:
            self._end(key)


@dataclass(slots=True)
class _PartSender:
    """Sends the answer to a passed request in numbered parts.

    :param head: status and headers, sent with the first bytes.
    :param last: last bytes, kept until it is known whether the request ran.
    """

    passing: RequestPassing
    request: PassedRequest
    sequence: int = 0
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    last: bytes | None = None

    async def send(self, message: AsgiMessage) -> None:
        """Handle an ASGI message of the application."""
        if message['type'] == 'http.response.start':
            self.status = message['status']
            self.headers = tuple(message['headers'])
            return
        body = message.get('body', b'')
        while len(body) > _MAX_BODY_BYTES:
            await self._deliver(body=body[:_MAX_BODY_BYTES])
            body = body[_MAX_BODY_BYTES:]
        if message.get('more_body', False):
            await self._deliver(body=body)
        else:
            self.last = body

    async def finish(self, may_have_run: bool) -> None:
        """Send the last part, or that the answer ends early."""
        is_broken = self.last is None
        await self._deliver(
            body=self.last or b'',
            is_last=not is_broken,
            is_broken=is_broken,
            may_have_run=may_have_run,
        )

    async def _deliver(
        self,
        body: bytes,
        *,
        is_last: bool = False,
        is_broken: bool = False,
        may_have_run: bool = True,
    ) -> None:
        is_first = not self.sequence
        part = PassedPart(
            self.passing.instance_id,
            self.request.number,
            self.sequence,
            self.status if is_first else 0,
            self.headers if is_first else (),
            body,
            is_last,
            is_broken,
            may_have_run,
        )
        self.sequence += 1
        receiver = self.request
        for _ in range(_QUEUE_ATTEMPTS):
            if self.passing.deliver(
                receiver.instance_id, receiver.address, part
            ):
                return
            await anyio.sleep(_QUEUE_PAUSE_SECONDS)


def _receiver(body: bytes) -> Callable[[], Awaitable[AsgiMessage]]:
    """Return the receive function of a request whose body is known."""
    parts = [body]

    async def receive() -> AsgiMessage:  # noqa: WPS430
        if parts:
            return {'type': 'http.request', 'body': parts.pop()}
        # The caller leaves by a message that cancels the whole request.
        await anyio.sleep_forever()
        return {'type': 'http.disconnect'}

    return receive


async def _write(request: RoutedRequest, part: PassedPart, now: float) -> None:
    exchange = request.exchange
    if not part.sequence:
        await exchange.start_raw(part.status, list(part.headers))
        request.first_byte_at = now
    if part.is_last:
        request.may_have_run = part.may_have_run or bool(request.runs)
    await exchange.write(part.body, more=not part.is_last)


def _lost(request: RoutedRequest, detail: str) -> ServingError:
    if request.exchange.started:
        return ServingError(ErrorKind.stream_broken, detail)
    if request.may_have_run:
        return ServingError(ErrorKind.target_failed, detail)
    return ServingError(ErrorKind.target_refused, detail, ran=Ran.not_run)
