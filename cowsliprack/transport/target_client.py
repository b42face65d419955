"""Speaks to targets over HTTP: orders, reports and callers' requests."""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from http.cookiejar import CookieJar, DefaultCookiePolicy
from typing import Any

import anyio
import httpx
import msgspec

from cowsliprack.exceptions import Ran, TargetError
from cowsliprack.protocol.target import Order, OrderOutcome, TargetReport
from cowsliprack.transport.probe import is_refused

# A refused or dead host is found by the connect timeout; a target that was
# reached may take long to answer.
_CONNECT_SECONDS = 1.0
_REPORT_SECONDS = 2.0
# Longest silence within an answer before the connection counts as dead.
_SILENCE_SECONDS = 30.0
_ORDER_SECONDS = 120.0
# Concurrent requests of one instance; above it a request waits for a
# connection and then counts as not sent.
_CONNECTIONS = 2048
_HTTP_PORT = 80
# The kernel gives up a connection whose peer acknowledges nothing for this
# time, milliseconds, and probes idle ones, seconds: a host that vanished
# sends no reset.
_UNACKNOWLEDGED_MS = 5000
_PROBE_SECONDS = 5
_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
)
_SENDING_EVENTS = frozenset(
    (
        'http11.send_request_headers.started',
        'http2.send_request_headers.started',
    )
)
_UNREACHABLE = (httpx.ConnectError, httpx.ConnectTimeout)
_REPORT_DECODER = msgspec.json.Decoder(TargetReport)


@dataclass(slots=True)
class SendTrace:
    """Records whether the first byte of a request may have gone out."""

    sent: bool = False

    async def __call__(self, event: str, _details: dict[str, Any]) -> None:
        """Take a trace event of the HTTP library.

        :param event: name of the event.
        """
        if event in _SENDING_EVENTS:
            self.sent = True

    def ran(self) -> Ran:
        """Return what a failure says about execution."""
        return Ran.may_have_run if self.sent else Ran.not_run


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A caller's request as it goes to a target.

    :param headers: without the caller's key.
    :param reuse: whether a pooled connection may be used. A pooled connection
        can have gone silent or half closed, which leaves open whether the
        request ran; requests that may not be repeated use a new one.
    :param answer_seconds: until the status of the answer must have come.
    :param silence_seconds: longest pause within the answer.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    reuse: bool = True
    answer_seconds: float = _SILENCE_SECONDS
    silence_seconds: float = _SILENCE_SECONDS


@dataclass(slots=True)
class Incoming:
    """Status and headers of a target's answer and its body as chunks."""

    status: int
    headers: list[tuple[str, str]]
    chunks: AsyncIterator[bytes] = field(repr=False)


class TargetClient:
    """Connections to targets; owned by the instance."""

    def __init__(self) -> None:
        """Open no connection yet."""
        self._pooled = _new_client(_CONNECTIONS)

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pooled.aclose()

    async def send_order(self, url: str, order: Order) -> OrderOutcome:
        """Send an order and wait until the target has carried it out.

        :param url: base URL of the target.
        :param order: what to do.
        :returns: ``unknown`` when the order may still take effect.
        """
        trace = SendTrace()
        try:
            answer = await self._pooled.post(
                f'{url}/v1/orders',
                content=msgspec.json.encode(order),
                headers={'content-type': 'application/json'},
                timeout=httpx.Timeout(
                    _ORDER_SECONDS,
                    connect=_CONNECT_SECONDS,
                    # The lease was checked a moment ago; an order must not
                    # leave long after.
                    pool=_CONNECT_SECONDS,
                ),
                extensions={'trace': trace},
            )
        except httpx.HTTPError:
            return OrderOutcome.unknown if trace.sent else OrderOutcome.refused
        return _outcome(answer)

    async def is_down(self, url: str) -> bool:
        """Return whether the connection to a target is refused.

        :param url: base URL of the target.
        """
        parts = httpx.URL(url)
        return await is_refused(parts.host, parts.port or _HTTP_PORT)

    async def read_report(self, url: str) -> TargetReport:
        """Return the target's current report.

        :param url: base URL of the target.
        :raises TargetError: no valid report; ``ran`` is ``not_run`` when the
            connection was refused, so no process runs there.
        """
        try:
            answer = await self._pooled.get(
                f'{url}/v1/report',
                timeout=httpx.Timeout(
                    _REPORT_SECONDS,
                    connect=_CONNECT_SECONDS,
                ),
            )
        except httpx.ConnectError as failure:
            # An unreachable network ends in the same error as a refusal.
            is_down = await self.is_down(url)
            ran = Ran.not_run if is_down else Ran.may_have_run
            raise TargetError(str(failure), ran) from failure
        except httpx.HTTPError as failure:
            raise TargetError(repr(failure), Ran.may_have_run) from failure
        try:
            return _REPORT_DECODER.decode(answer.content)
        except msgspec.DecodeError as invalid:
            raise TargetError(str(invalid), Ran.may_have_run) from invalid

    @asynccontextmanager
    async def request(self, outgoing: Outgoing) -> AsyncIterator[Incoming]:
        """Send a caller's request; yields the answer while it arrives.

        :param outgoing: what to send.
        :raises TargetError: with whether the request may have run.
        """
        trace = SendTrace()
        client = self._pooled if outgoing.reuse else _new_client(1)
        try:
            request = _build_request(client, outgoing, trace)
        except (httpx.InvalidURL, ValueError) as invalid:
            raise TargetError(str(invalid), Ran.not_run) from invalid
        try:
            async with _opened(client, request, outgoing) as answer:
                yield Incoming(
                    status=answer.status_code,
                    headers=answer.headers.multi_items(),
                    chunks=answer.aiter_raw(),
                )
        except (httpx.HTTPError, TimeoutError) as failure:
            raise TargetError(
                _describe(failure),
                trace.ran(),
                timed_out=isinstance(
                    failure, (httpx.ReadTimeout, TimeoutError)
                ),
                unreachable=isinstance(failure, _UNREACHABLE),
            ) from failure
        finally:
            if not outgoing.reuse:
                await client.aclose()


def _build_request(
    client: httpx.AsyncClient,
    outgoing: Outgoing,
    trace: SendTrace,
) -> httpx.Request:
    return client.build_request(
        outgoing.method,
        outgoing.url,
        headers=list(outgoing.headers),
        content=outgoing.body,
        timeout=httpx.Timeout(
            outgoing.silence_seconds,
            connect=_CONNECT_SECONDS,
            pool=_CONNECT_SECONDS,
        ),
        extensions={'trace': trace},
    )


@asynccontextmanager
async def _opened(
    client: httpx.AsyncClient,
    request: httpx.Request,
    outgoing: Outgoing,
) -> AsyncIterator[httpx.Response]:
    with anyio.fail_after(outgoing.answer_seconds):
        answer = await client.send(request, stream=True)
    try:
        yield answer
    finally:
        await answer.aclose()


def _new_client(connections: int) -> httpx.AsyncClient:
    return httpx.AsyncClient(
        trust_env=False,
        follow_redirects=False,
        # Without a coding the answer is passed on as the target wrote it.
        headers={'accept-encoding': 'identity'},
        # The client is shared by all callers: a cookie that a target sets for
        # one of them must not be sent with the requests of another.
        cookies=CookieJar(DefaultCookiePolicy(allowed_domains=())),
        transport=httpx.AsyncHTTPTransport(
            trust_env=False,
            socket_options=_SOCKET_OPTIONS,
            limits=httpx.Limits(
                max_connections=connections,
                max_keepalive_connections=connections,
                keepalive_expiry=15,
            ),
        ),
    )


def _outcome(answer: httpx.Response) -> OrderOutcome:
    try:
        return OrderOutcome(answer.json()['outcome'])
    except (ValueError, KeyError, TypeError):
        # A gateway's error page or a broken answer settles nothing.
        return OrderOutcome.unknown


def _describe(failure: Exception) -> str:
    kind = type(failure).__name__
    return f'connection to the target failed ({kind})'
