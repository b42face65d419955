"""Says where a request would be sent now and why, without sending it.

The decision is made by the code that routes, on copies of the state that it
changes, so that asking has no effect on other requests.
"""

import copy
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import anyio
import msgspec

from cowsliprack.coordination.fleet_view import FleetView
from cowsliprack.coordination.target_selector import TargetSelector
from cowsliprack.coordination.token_credit import TokenCredit
from cowsliprack.coordination.waiting_requests import WaitingRequests
from cowsliprack.exceptions import (
    ErrorKind,
    ServingError,
    TargetsUnreachableError,
)
from cowsliprack.protocol.dialect import RequestMetadata
from cowsliprack.protocol.sse import error_body
from cowsliprack.state.routing_table import OrganisationLimits, Route
from cowsliprack.state.target_registry import TargetRecord, TargetState
from cowsliprack.transport.exchange import Exchange
from cowsliprack.transport.route_server import RouteServer, first_event_seconds
from cowsliprack.transport.routed_request import RoutedRequest
from cowsliprack.transport.target_finder import TargetFinder

# Path of the operators' questions on the metrics address.
EXPLAIN_PATH = '/explain'


class Question(msgspec.Struct, forbid_unknown_fields=True):
    """A request that might be sent.

    :param path: raw path without the query.
    :param model: empty for a plain service.
    :param adapter: empty for the model itself.
    :param key: of the caller; empty for none.
    :param seconds_left: time until the caller gives up; ``None`` for the time
        limit of the route.
    """

    host: str
    path: str
    model: str = ''
    adapter: str = ''
    key: str = ''
    seconds_left: float | None = None


@dataclass(frozen=True, slots=True)
class RouteExplainer:
    """Explains the routing decisions of one instance.

    :param server: admits requests.
    :param finder: chooses their targets.
    :param credit: of the organisations.
    :param clock: seconds; must keep running during suspension.
    """

    server: RouteServer
    finder: TargetFinder
    credit: TokenCredit
    clock: Callable[[], float]

    async def explain(self, question: Question) -> dict[str, Any]:
        """Return route, organisation and the decision for each service.

        :param question: the request.
        :raises ServingError: the request would not be admitted, or its model is
            unknown.
        """
        now = self.clock()
        metadata = RequestMetadata(
            'explain',
            question.key,
            question.seconds_left,
            question.model,
            question.adapter,
        )
        route, organisation = self.server.identify(
            question.host, question.path, metadata, now
        )
        services = []
        for service, share in route.services:
            self._check_model(service, question.model)
            request = _request(
                question, metadata, route, service, organisation, now
            )
            outcome = await self._outcome(request)
            services.append(
                {
                    'service': service,
                    'share': share,
                    'targets': [
                        self._describe(record, request, now)
                        for record in self._registered(service)
                    ],
                    **outcome,
                }
            )
        return {
            'route': route.name,
            'organisation': organisation.name if organisation else None,
            'tokens': self._describe_credit(organisation, now),
            'configuration': self.server.table().generation,
            'services': services,
        }

    def _registered(self, service: str) -> list[TargetRecord]:
        return self.finder.fleet.registry.service_targets(service)

    def _check_model(self, service: str, model: str) -> None:
        spec = self.server.table().services_by_name.get(service)
        engine = spec.engine if spec else None
        if model and (engine is None or model not in engine.models_by_name):
            raise ServingError(
                ErrorKind.unknown_deployment,
                f'service {service} has no model {model}',
            )
        if engine is not None and not model:
            raise ServingError(
                ErrorKind.bad_request, f'service {service} needs a model'
            )

    async def _outcome(self, request: RoutedRequest) -> dict[str, Any]:
        """Let a copy of the finder decide, up to the point where it waits."""
        finder = _detached(self.finder)
        try:
            with anyio.move_on_after(0):
                target = await finder.find(request)
                return {
                    'choice': target.target_id,
                    'reason': 'the lowest load per slot of the usable targets',
                }
        except ServingError as error:
            return {
                'choice': None,
                'reason': error.detail,
                'rejection': error.kind.value,
                'status': error.status,
                'retry_after': error.retry_after,
            }
        except TargetsUnreachableError:
            return {
                'choice': None,
                'reason': 'no target of the service is reached from here; '
                'another instance would get the request',
            }
        return {
            'choice': None,
            'reason': 'the request would wait',
            'waits_at_most': round(
                min(request.first_event_deadline, request.deadline)
                - request.arrived_at,
                3,
            ),
        }

    def _describe(
        self, record: TargetRecord, request: RoutedRequest, now: float
    ) -> dict[str, Any]:
        selector = _detached_selector(self.finder.target_selector)
        reasons = [
            *_reasons_of_fleet(self.finder.fleet, record, request, now),
            *_reasons_of_selector(selector, record, now),
        ]
        return {
            'target': record.target_id,
            'zone': record.zone,
            'running': selector.running(record.target_id),
            'slots': record.slots,
            'eligible': not reasons,
            'reasons': reasons,
        }

    def _describe_credit(
        self, organisation: OrganisationLimits | None, now: float
    ) -> str:
        if organisation is None or not organisation.rate:
            return 'not limited'
        credit = copy.deepcopy(self.credit)
        tokens = (
            organisation.default_tokens if organisation.counts_tokens else 1
        )
        if credit.spend(organisation, tokens, now):
            return f'{tokens:g} are available here'
        return f'{tokens:g} would have to be granted by the leader or lent'


async def answer_question(
    explainer: RouteExplainer, body: bytes
) -> tuple[int, bytes]:
    """Return the status and the JSON body that answer a question.

    :param explainer: of the instance.
    :param body: the question as JSON.
    """
    try:
        question = msgspec.json.decode(body, type=Question)
        return 200, msgspec.json.encode(await explainer.explain(question))
    except msgspec.DecodeError as error:
        # The message names fields, never what they contain.
        problem = ServingError(ErrorKind.bad_request, f'question: {error}')
    except ServingError as error:
        problem = error
    return problem.status, msgspec.json.encode(error_body(problem))


def _reasons_of_fleet(
    fleet: FleetView, record: TargetRecord, request: RoutedRequest, now: float
) -> list[str]:
    registry = fleet.registry
    reasons = []
    if record.zone in registry.evacuations.zones:
        reasons.append('evacuated')
    if record.state is TargetState.draining:
        reasons.append('draining')
    ready = registry.ready_targets(record.service)
    if not reasons and record not in ready:
        reasons.append('leaving')
    model, adapter = request.metadata.model, request.metadata.adapter
    holders = fleet.candidates(record.service, model, adapter, now)
    if record in ready and record not in holders:
        reasons.append('lacks model')
    return reasons


def _reasons_of_selector(
    selector: TargetSelector, record: TargetRecord, now: float
) -> list[str]:
    target_id = record.target_id
    limits = selector.limits
    reasons = []
    if limits.limited([target_id], now) and (
        limits.waiting_by_id[target_id] > 0
        or limits.seconds_until_free(target_id, now) > 0
    ):
        cold_rate = limits.cold.rate(target_id, now)
        is_cold = cold_rate <= limits.rate(target_id, now)
        reasons.append('cold limit' if is_cold else 'stated limit')
    running = selector.running(target_id)
    if not selector.pauses.may_send(record, running, now):
        reasons.append('pause')
    if selector.choose([record], now) is None:
        reasons.append('unreachable')
    return reasons


def _detached(finder: TargetFinder) -> TargetFinder:
    """Return a finder whose decisions change no state of others.

    Its queue is empty: what waits at the instance is not considered.
    """
    detached = replace(
        finder,
        target_selector=_detached_selector(finder.target_selector),
        waiting_requests=WaitingRequests(closed=finder.waiting_requests.closed),
        demand_changed=_ignore,
        rng=random.Random(),
        stated_times=copy.deepcopy(finder.stated_times),
        counts=_ignore_decision,
    )
    run_seconds = finder.turns.places.run_seconds_by_service
    detached.turns.places.run_seconds_by_service.update(run_seconds)
    return detached


def _detached_selector(selector: TargetSelector) -> TargetSelector:
    """Return a selector whose choices count nowhere.

    Its choices change the limits alone, as requests without a prompt are not
    remembered.
    """
    return replace(
        selector, limits=copy.deepcopy(selector.limits), rng=random.Random()
    )


def _ignore_decision(_decision: str) -> None:
    """Count no decision of an explanation."""


def _ignore() -> None:
    """Do nothing, as nobody has to plan for a request that is not sent."""


def _request(
    question: Question,
    metadata: RequestMetadata,
    route: Route,
    service: str,
    organisation: OrganisationLimits | None,
    now: float,
) -> RoutedRequest:
    seconds = route.time_limit
    if question.seconds_left is not None:
        seconds = min(seconds, question.seconds_left)
    return RoutedRequest(
        exchange=Exchange(
            'POST',
            question.path,
            question.path,
            b'',
            [],
            _receive_nothing,
            _send_nothing,
        ),
        metadata=metadata,
        host=question.host,
        path=question.path,
        route=route,
        service=service,
        organisation=organisation,
        tokens=0,
        arrived_at=now,
        deadline=now + seconds,
        first_event_deadline=now + first_event_seconds(route, seconds),
    )


async def _receive_nothing() -> dict[str, Any]:
    return {'type': 'http.disconnect'}


async def _send_nothing(_message: dict[str, Any]) -> None:
    """Do nothing, as the question is answered elsewhere."""
