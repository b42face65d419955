"""HTTP API of the instance: models, services, health and metrics."""

import functools
import uuid
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import unquote

import msgspec
import structlog

from cowsliprack.coordination.admission import find_organisation
from cowsliprack.coordination.poison import request_digest
from cowsliprack.coordination.serving import ServingRequest
from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.metrics import Metrics
from cowsliprack.protocol import caller
from cowsliprack.protocol.credentials import (
    SanitisedRequest,
    extract_key,
    reject_key_in_body,
)
from cowsliprack.settings import Settings
from cowsliprack.state.configuration import (
    Configuration,
    Organisation,
    Service,
    key_digest,
)
from cowsliprack.transport.caller_watch import CallerWatch
from cowsliprack.transport.exchange import (
    Exchange,
    Receive,
    Send,
    exchange_from_scope,
)
from cowsliprack.transport.forward import Forwarder, ForwardJob

_CHAT_PATH = '/v1/chat/completions'
_SERVICE_PREFIX = '/services/'
_log = structlog.get_logger('cowsliprack.http')

Handler = Callable[[Exchange], Awaitable[None]]


@dataclass(slots=True)
class HttpApi:
    """ASGI application that handles callers' requests.

    :param configuration: returns the configuration in force.
    :param is_ready: whether the load balancer should send requests here.
    :param closing: whether to close connections after their answers.
    :param clock: monotonic, seconds.
    :param callers: account of what is held for callers; ``None`` for no bounds.
    """

    settings: Settings
    metrics: Metrics
    forwarder: Forwarder
    configuration: Callable[[], Configuration]
    is_ready: Callable[[], bool]
    closing: Callable[[], bool]
    clock: Callable[[], float]
    callers: CallerWatch | None = None

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request.

        :param scope: of the ASGI protocol.
        :param receive: ASGI callable.
        :param send: ASGI callable.
        """
        exchange = exchange_from_scope(scope, receive, send, self.closing)
        memory = self.callers.memory if self.callers else None
        with exchange.counted(memory):
            await self._handle(exchange)

    async def _handle(self, exchange: Exchange) -> None:
        try:
            await self._find_handler(exchange)(exchange)
        except ServingError as error:
            self.metrics.requests.inc({'kind': error.kind.value})
            if not exchange.started:
                await exchange.answer_error(error)
        except Exception:
            _log.exception('request_handler_failed', path=exchange.path)
            self.metrics.requests.inc({'kind': ErrorKind.internal.value})
            if not exchange.started:
                await exchange.answer_error(
                    ServingError(ErrorKind.internal, 'internal error'),
                )

    def _find_handler(self, exchange: Exchange) -> Handler:
        handlers_by_path: dict[str, tuple[str, Handler]] = {
            _CHAT_PATH: ('POST', self._forward_chat),
            '/v1/models': ('GET', self._list_models),
            '/healthz': ('GET', self._show_health),
            '/readyz': ('GET', self._show_readiness),
            '/metrics': ('GET', self._show_metrics),
        }
        if exchange.path.startswith(_SERVICE_PREFIX):
            return self._forward_to_service
        method, handler = handlers_by_path.get(
            exchange.path,
            ('', _reject_unknown_path),
        )
        if method and exchange.method != method:
            return functools.partial(_reject_method, method)
        return handler

    async def _forward_chat(self, exchange: Exchange) -> None:
        received_at = self.clock()
        sanitised = extract_key(exchange.headers, exchange.query)
        organisation = self._identify_caller(sanitised)
        body = await exchange.read_body(self.settings.max_body_bytes)
        chat = caller.parse_chat(body)
        reject_key_in_body(body, sanitised.key)
        deployment = self.configuration().deployments_by_name.get(
            chat.deployment,
        )
        request = ServingRequest(
            request_id=_new_request_id(),
            organisation=organisation.organisation_id,
            key_digest=key_digest(sanitised.key or ''),
            resource=chat.deployment,
            is_model=True,
            tokens=chat.reserved_tokens,
            deadline=received_at + self._request_timeout(exchange),
            received_at=received_at,
            priority=caller.parse_priority(
                exchange.headers,
                deployment.priority if deployment else 0,
            ),
            digest=request_digest(organisation.organisation_id, body),
            prefix_digest=chat.prefix_digest,
        )
        job = ForwardJob(
            exchange=exchange,
            request=request,
            method='POST',
            path=_CHAT_PATH,
            headers=sanitised.headers,
            body=chat.body,
            streams=chat.stream,
            prompt_tokens=chat.prompt_tokens,
        )
        await self.forwarder.forward(job)

    async def _forward_to_service(self, exchange: Exchange) -> None:
        received_at = self.clock()
        route, path = _split_service_path(exchange.raw_path)
        service = self.configuration().services_by_route.get(route)
        sanitised = extract_key(exchange.headers, exchange.query)
        organisation_id, digest = self._identify_service_caller(
            service,
            sanitised,
        )
        body = await exchange.read_body(self.settings.max_body_bytes)
        reject_key_in_body(body, sanitised.key)
        reject_key_in_body(unquote(path).encode(), sanitised.key)
        repeatable = service is not None and (
            exchange.method in service.repeatable
        )
        request = ServingRequest(
            request_id=_new_request_id(),
            organisation=organisation_id,
            key_digest=digest,
            resource=route,
            is_model=False,
            tokens=service.tokens if service else 0,
            deadline=received_at + self._request_timeout(exchange),
            received_at=received_at,
            repeatable=repeatable,
            priority=caller.parse_priority(exchange.headers),
            digest=request_digest(
                organisation_id,
                b'\n'.join((exchange.method.encode(), path.encode(), body)),
            ),
        )
        query = sanitised.query.decode('latin-1')
        job = ForwardJob(
            exchange=exchange,
            request=request,
            method=exchange.method,
            path=f'{path}?{query}' if query else path,
            headers=sanitised.headers,
            body=body,
            idempotency_key=caller.parse_idempotency_key(exchange.headers),
        )
        await self.forwarder.forward(job)

    async def _list_models(self, exchange: Exchange) -> None:
        sanitised = extract_key(exchange.headers, exchange.query)
        organisation_id = self._identify_caller(sanitised).organisation_id
        models = [
            {'id': deployment.name, 'object': 'model'}
            for deployment in self.configuration().deployments_by_name.values()
            if not deployment.organisations
            or organisation_id in deployment.organisations
        ]
        listing = {'object': 'list', 'data': models}
        await exchange.answer(msgspec.json.encode(listing))

    async def _show_health(self, exchange: Exchange) -> None:
        await exchange.answer(b'{"live": true}')

    async def _show_readiness(self, exchange: Exchange) -> None:
        ready = self.is_ready()
        await exchange.answer(
            msgspec.json.encode(
                {
                    'ready': ready,
                    'generation': self.configuration().generation,
                }
            ),
            status=200 if ready else 503,
        )

    async def _show_metrics(self, exchange: Exchange) -> None:
        if self.callers is not None:
            self.callers.update_metrics()
        accepted = caller.single_header(exchange.headers, 'accept') or '*/*'
        text, headers = self.metrics.render([accepted])
        content_type = headers.get('Content-Type', 'text/plain')
        await exchange.answer(text, content_type)

    def _identify_caller(self, sanitised: SanitisedRequest) -> Organisation:
        if not sanitised.key:
            raise ServingError(
                ErrorKind.key_missing,
                'send a key in the Authorization or X-Api-Key header',
            )
        return find_organisation(
            self.configuration(),
            key_digest(sanitised.key),
        )

    def _identify_service_caller(
        self,
        service: Service | None,
        sanitised: SanitisedRequest,
    ) -> tuple[str, str]:
        if service is not None and service.open_to_all:
            return '', ''
        organisation = self._identify_caller(sanitised)
        return organisation.organisation_id, key_digest(sanitised.key or '')

    def _request_timeout(self, exchange: Exchange) -> float:
        return caller.parse_deadline(
            exchange.headers,
            self.settings.default_deadline_seconds,
        )


def _split_service_path(raw_path: str) -> tuple[str, str]:
    """Return the route and the path to request at the service."""
    route, slash, rest = raw_path.removeprefix(_SERVICE_PREFIX).partition('/')
    return route, f'/{rest}' if slash else '/'


async def _reject_unknown_path(exchange: Exchange) -> None:
    raise ServingError(
        ErrorKind.unknown_route,
        f'no endpoint exists at {exchange.path!r}',
    )


async def _reject_method(method: str, exchange: Exchange) -> None:
    raise ServingError(
        ErrorKind.bad_request,
        f'{exchange.path} takes {method}, not {exchange.method}',
    )


def _new_request_id() -> str:
    return uuid.uuid4().hex
