"""Event loop that owns the dispatcher of one instance.

HTTP handlers post events and await the dispatcher's decisions; no other task
accesses queue, credit or fleet state.
"""

from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
from anyio.streams.memory import (
    MemoryObjectReceiveStream,
    MemoryObjectSendStream,
)

from cowsliprack.coordination.dispatcher import Dispatcher
from cowsliprack.coordination.serving import (
    AttemptFailure,
    Dispatch,
    LogDecision,
    Refuse,
    ServingAction,
    ServingRequest,
    ToLeader,
)
from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.logs import log_decision
from cowsliprack.metrics import Metrics
from cowsliprack.protocol.peer import AnyPeerMessage
from cowsliprack.state.configuration import Configuration

_TICK_INTERVAL_SECONDS = 0.05
_INBOX_CAPACITY = 4096
_REPLY_BUFFER_SIZE = 8


@dataclass(frozen=True, slots=True)
class RequestSubmitted:
    """A caller submitted a request."""

    request: ServingRequest


@dataclass(frozen=True, slots=True)
class RequestFinished:
    """A request completed, failed or was cancelled by its caller.

    :param used_tokens: prompt plus generated tokens.
    """

    request_id: str
    used_tokens: float


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """A message from another instance or the local leader task arrived."""

    message: AnyPeerMessage


@dataclass(frozen=True, slots=True)
class NewConfiguration:
    """A new configuration came into force."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class Drain:
    """Stops the admission of new requests."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Triggers the dispatcher's time-dependent work."""


@dataclass(frozen=True, slots=True)
class Isolated:
    """No configuration source has answered for some time."""

    seconds: float


DispatchEvent = (
    RequestSubmitted
    | RequestFinished
    | AttemptFailure
    | PeerMessageReceived
    | NewConfiguration
    | Drain
    | Tick
    | Isolated
)
Reply = Dispatch | Refuse


@dataclass(slots=True)
class DispatchLoop:
    """Runs the dispatcher on events from an inbox.

    :param send_to_leader: queues a message to the zone leader.
    :param clock: monotonic, seconds.
    :param drained: set when a drain was requested and no request is left.
    """

    dispatcher: Dispatcher
    metrics: Metrics
    send_to_leader: Callable[[AnyPeerMessage], None]
    clock: Callable[[], float]
    drained: anyio.Event = field(default_factory=anyio.Event)
    _inbox: MemoryObjectSendStream[DispatchEvent] = field(init=False)
    _events: MemoryObjectReceiveStream[DispatchEvent] = field(init=False)
    _urgent: deque[DispatchEvent] = field(default_factory=deque)
    _replies_by_id: dict[str, MemoryObjectSendStream[Reply]] = field(
        default_factory=dict,
    )

    def __post_init__(self) -> None:
        """Create the inbox."""
        inbox, events = anyio.create_memory_object_stream[DispatchEvent](
            _INBOX_CAPACITY
        )
        self._inbox = inbox
        self._events = events

    def post(self, event: DispatchEvent) -> None:
        """Put an event into the inbox.

        :param event: periodic events (ticks, peer messages, isolation times)
            are dropped when the inbox is full. A configuration or drain is
            sent only once, so it bypasses the inbox and is handled next.
        :raises ServingError: ``queue_full`` for a submitted request.
        """
        if isinstance(event, NewConfiguration | Drain):
            self._urgent.append(event)
            return
        try:
            self._inbox.send_nowait(event)
        except anyio.WouldBlock:
            if isinstance(event, RequestSubmitted):
                raise ServingError(
                    ErrorKind.queue_full,
                    'The instance has too many requests waiting.',
                ) from None

    @asynccontextmanager
    async def submit(
        self,
        request: ServingRequest,
    ) -> AsyncIterator[MemoryObjectReceiveStream[Reply]]:
        """Submit a request and yield the stream of decisions on it.

        :param request: of a caller.
        """
        sender, receiver = anyio.create_memory_object_stream[Reply](
            _REPLY_BUFFER_SIZE
        )
        self._replies_by_id[request.request_id] = sender
        try:
            with sender, receiver:
                self.post(RequestSubmitted(request))
                yield receiver
        finally:
            self._replies_by_id.pop(request.request_id, None)

    async def report_finished(
        self, request_id: str, used_tokens: float
    ) -> None:
        """Report the end of a request; waits while the inbox is full.

        :param request_id: of the request.
        :param used_tokens: prompt plus generated tokens.
        """
        with anyio.CancelScope(shield=True):
            await self._inbox.send(RequestFinished(request_id, used_tokens))

    async def report_failure(self, failure: AttemptFailure) -> None:
        """Report a failed attempt; waits while the inbox is full.

        :param failure: of the attempt.
        """
        with anyio.CancelScope(shield=True):
            await self._inbox.send(failure)

    async def run(self) -> None:
        """Handle events until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._post_ticks)
            async for event in self._events:
                # Ticks bound the delay of urgent events on an idle instance.
                while self._urgent:
                    urgent = self._urgent.popleft()
                    self._execute(self._handle(urgent, self.clock()))
                self._execute(self._handle(event, self.clock()))

    async def _post_ticks(self) -> None:
        while True:
            await anyio.sleep(_TICK_INTERVAL_SECONDS)
            self.post(Tick())

    def _handle(self, event: DispatchEvent, now: float) -> list[ServingAction]:
        match event:
            case RequestSubmitted(request):
                return self.dispatcher.submit(request, now)
            case RequestFinished(request_id, used_tokens):
                return self.dispatcher.on_finished(
                    request_id,
                    used_tokens,
                    now,
                )
            case AttemptFailure():
                return self.dispatcher.on_attempt_failed(event, now)
            case PeerMessageReceived(message):
                return self.dispatcher.on_message(message, now)
            case NewConfiguration(configuration):
                return self.dispatcher.on_configuration(configuration, now)
            case Tick():
                self._update_metrics()
                return self.dispatcher.tick(now)
            case Isolated(seconds):
                self.dispatcher.on_isolation(seconds)
            case Drain():
                self.dispatcher.drain()
        return []

    def _execute(self, actions: list[ServingAction]) -> None:
        for action in actions:
            match action:
                case Dispatch() | Refuse():
                    self._reply(action)
                case ToLeader(message):
                    self.send_to_leader(message)
                case LogDecision():
                    log_decision(
                        action.decision,
                        action.choice,
                        action.reason,
                        **action.inputs,
                    )

    def _reply(self, reply: Reply) -> None:
        stream = self._replies_by_id.get(reply.request_id)
        if stream is None:
            return
        if isinstance(reply, Dispatch) and reply.attempt > 1:
            self.metrics.retries.inc({})
        try:
            stream.send_nowait(reply)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            # The caller disconnected; its handler reports the end.
            return

    def _update_metrics(self) -> None:
        if self.dispatcher.is_drained():
            self.drained.set()
        self.metrics.queue.waiting.set({}, self.dispatcher.queued_count())
        self.metrics.running.set({}, self.dispatcher.running_count())
