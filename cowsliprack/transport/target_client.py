"""HTTP client for targets: orders, reports and callers' requests."""

import functools
import socket
import ssl
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
from cowsliprack.transport.bounded_body import MAX_REPORT_BYTES, read_body
from cowsliprack.transport.final_status import is_final_status
from cowsliprack.transport.probe import is_connection_refused

# A dead host is detected by the short connect timeout; a target that was
# reached may take long to answer.
_CONNECT_TIMEOUT_SECONDS = 1.0
_REPORT_TIMEOUT_SECONDS = 2.0
# Maximum pause within an answer before the connection counts as dead.
_READ_TIMEOUT_SECONDS = 30.0
_ORDER_TIMEOUT_SECONDS = 120.0
# Concurrent requests of one instance; requests above it wait for a connection
# and time out as not sent.
_MAX_CONNECTIONS = 2048
_HTTP_PORT = 80
# A dead host sends no reset, so the kernel closes connections with data
# unacknowledged for this time and probes idle ones.
_TCP_USER_TIMEOUT_MS = 5000
_KEEPALIVE_PROBE_SECONDS = 5
_SOCKET_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _TCP_USER_TIMEOUT_MS),
)
_REQUEST_START_EVENTS = frozenset(
    (
        'http11.send_request_headers.started',
        'http2.send_request_headers.started',
    )
)
_CONNECT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout)
_REPORT_DECODER = msgspec.json.Decoder(TargetReport)


class _OrderAnswer(msgspec.Struct):
    outcome: OrderOutcome


@dataclass(slots=True)
class SendTrace:
    """Records whether the first byte of a request may have been sent."""

    sent: bool = False

    async def __call__(self, event: str, _details: dict[str, Any]) -> None:
        """Handle a trace event of the HTTP library.

        :param event: name of the event.
        """
        if event in _REQUEST_START_EVENTS:
            self.sent = True

    def ran(self) -> Ran:
        """Return whether a request that failed may have run."""
        return Ran.may_have_run if self.sent else Ran.not_run


@dataclass(frozen=True, slots=True)
class TargetRequest:
    """A caller's request as it is sent to a target.

    :param headers: without the caller's key.
    :param reuse: whether a pooled connection may be used. A pooled connection
        can be silent or half closed, and then it is unknown whether the
        request ran; requests that may not be repeated use a new one.
    :param header_timeout_seconds: until the answer's status has arrived.
    :param read_timeout_seconds: maximum pause within the answer.
    """

    method: str
    url: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    reuse: bool = True
    header_timeout_seconds: float = _READ_TIMEOUT_SECONDS
    read_timeout_seconds: float = _READ_TIMEOUT_SECONDS


@dataclass(slots=True)
class TargetResponse:
    """Status, headers and body chunks of a target's answer."""

    status: int
    headers: list[tuple[str, str]]
    chunks: AsyncIterator[bytes] = field(repr=False)


class TargetClient:
    """Connection pool for the targets of one instance."""

    def __init__(self) -> None:
        """Create an empty pool."""
        self._pooled = _new_client(_MAX_CONNECTIONS)

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pooled.aclose()

    async def send_order(self, url: str, order: Order) -> OrderOutcome:
        """Send an order and wait until the target has executed it.

        :param url: base URL of the target.
        :param order: to execute.
        :returns: ``unknown`` when the order may still take effect.
        """
        trace = SendTrace()
        try:
            body = await self._read_answer(
                'POST',
                f'{url}/v1/orders',
                content=msgspec.json.encode(order),
                headers={'content-type': 'application/json'},
                timeout=httpx.Timeout(
                    _ORDER_TIMEOUT_SECONDS,
                    connect=_CONNECT_TIMEOUT_SECONDS,
                    # The lease was checked just before; an order must not be
                    # sent long after that.
                    pool=_CONNECT_TIMEOUT_SECONDS,
                ),
                extensions={'trace': trace},
            )
        except httpx.HTTPError:
            return OrderOutcome.unknown if trace.sent else OrderOutcome.refused
        return _parse_outcome(body)

    async def is_down(self, url: str) -> bool:
        """Return whether the connection to a target is refused.

        :param url: base URL of the target.
        """
        parts = httpx.URL(url)
        return await is_connection_refused(parts.host, parts.port or _HTTP_PORT)

    async def read_report(self, url: str) -> TargetReport:
        """Return the target's current report.

        :param url: base URL of the target.
        :raises TargetError: without a valid report; ``ran`` is ``not_run`` when
            the connection was refused, so no target process runs.
        """
        try:
            body = await self._read_answer(
                'GET',
                f'{url}/v1/report',
                timeout=httpx.Timeout(
                    _REPORT_TIMEOUT_SECONDS,
                    connect=_CONNECT_TIMEOUT_SECONDS,
                ),
            )
        except httpx.ConnectError as failure:
            # An unreachable network raises the same error as a refusal.
            is_down = await self.is_down(url)
            ran = Ran.not_run if is_down else Ran.may_have_run
            raise TargetError(str(failure), ran) from failure
        except httpx.HTTPError as failure:
            raise TargetError(repr(failure), Ran.may_have_run) from failure
        try:
            return _REPORT_DECODER.decode(body)
        except msgspec.DecodeError as invalid:
            raise TargetError(str(invalid), Ran.may_have_run) from invalid

    async def _read_answer(
        self, method: str, url: str, **options: Any
    ) -> bytes:
        async with self._pooled.stream(method, url, **options) as answer:
            return await read_body(answer, MAX_REPORT_BYTES)

    @asynccontextmanager
    async def request(
        self, target_request: TargetRequest
    ) -> AsyncIterator[TargetResponse]:
        """Send a caller's request and yield the answer as it arrives.

        :param target_request: to send.
        :raises TargetError: states whether the request may have run.
        """
        trace = SendTrace()
        client = self._pooled if target_request.reuse else _new_client(1)
        try:
            request = _build_request(client, target_request, trace)
        except (httpx.InvalidURL, ValueError) as invalid:
            raise TargetError(str(invalid), Ran.not_run) from invalid
        try:
            async with _open_response(
                client, request, target_request
            ) as answer:
                yield TargetResponse(
                    status=answer.status_code,
                    headers=answer.headers.multi_items(),
                    chunks=answer.aiter_raw(),
                )
        except (httpx.HTTPError, TimeoutError) as failure:
            raise TargetError(
                _describe_failure(failure),
                trace.ran(),
                timed_out=isinstance(
                    failure, (httpx.ReadTimeout, TimeoutError)
                ),
                unreachable=isinstance(failure, _CONNECT_ERRORS),
            ) from failure
        finally:
            if not target_request.reuse:
                await client.aclose()


def _build_request(
    client: httpx.AsyncClient,
    target_request: TargetRequest,
    trace: SendTrace,
) -> httpx.Request:
    return client.build_request(
        target_request.method,
        target_request.url,
        headers=list(target_request.headers),
        content=target_request.body,
        timeout=httpx.Timeout(
            target_request.read_timeout_seconds,
            connect=_CONNECT_TIMEOUT_SECONDS,
            pool=_CONNECT_TIMEOUT_SECONDS,
        ),
        extensions={'trace': trace},
    )


@asynccontextmanager
async def _open_response(
    client: httpx.AsyncClient,
    request: httpx.Request,
    target_request: TargetRequest,
) -> AsyncIterator[httpx.Response]:
    with anyio.fail_after(target_request.header_timeout_seconds):
        answer = await client.send(request, stream=True)
    try:
        yield answer
    finally:
        await answer.aclose()


@functools.cache
def _tls_context() -> ssl.SSLContext:
    """Return the context of all connections; each takes almost a megabyte."""
    return httpx.create_ssl_context(trust_env=False)


def _new_client(connections: int) -> httpx.AsyncClient:
    return httpx.AsyncClient(
        trust_env=False,
        follow_redirects=False,
        # The answer is relayed unchanged, so it must not be compressed.
        headers={'accept-encoding': 'identity'},
        # All callers share the client: a cookie that a target sets for one of
        # them must not be sent with the requests of another.
        cookies=CookieJar(DefaultCookiePolicy(allowed_domains=())),
        event_hooks={'response': [_require_final_status]},
        transport=httpx.AsyncHTTPTransport(
            verify=_tls_context(),
            trust_env=False,
            socket_options=_SOCKET_OPTIONS,
            limits=httpx.Limits(
                max_connections=connections,
                max_keepalive_connections=connections,
                keepalive_expiry=15,
            ),
        ),
    )


async def _require_final_status(answer: httpx.Response) -> None:
    if not is_final_status(answer.status_code):
        raise httpx.RemoteProtocolError(
            f'the answer has the status {answer.status_code}'
        )


def _parse_outcome(body: bytes) -> OrderOutcome:
    try:
        return msgspec.json.decode(body, type=_OrderAnswer).outcome
    except msgspec.DecodeError:
        # A proxy's error page or a malformed answer proves nothing.
        return OrderOutcome.unknown


def _describe_failure(failure: Exception) -> str:
    kind = type(failure).__name__
    return f'connection to the target failed ({kind})'
