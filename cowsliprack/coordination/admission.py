"""Admission checks of a request against the current configuration."""

from cowsliprack.coordination.serving import ServingRequest
from cowsliprack.exceptions import ErrorKind, Ran, ServingError
from cowsliprack.state.configuration import (
    Configuration,
    OnIsolation,
    Organisation,
)

# Time without any source of configuration after which an instance counts as
# isolated.
ISOLATION_GRACE_SECONDS = 10.0


def find_organisation(
    configuration: Configuration,
    key_digest: str,
) -> Organisation:
    """Return the organisation that a key belongs to.

    :param configuration: current one.
    :param key_digest: of the caller's key.
    :raises ServingError: ``key_unknown``.
    """
    organisation_id = configuration.organisation_id_by_key_digest.get(
        key_digest,
    )
    organisation = configuration.organisations_by_id.get(organisation_id or '')
    if organisation is None:
        raise ServingError(
            ErrorKind.key_unknown,
            'the key is unknown or has been withdrawn',
        )
    return organisation


def check_request(
    request: ServingRequest,
    configuration: Configuration,
    isolated_for: float,
) -> ServingError | None:
    """Return the error of a request that may not be served, or ``None``.

    Called at admission, after a failed attempt and after each change of the
    configuration, so a withdrawn key stops queued and running requests.

    :param request: of a caller.
    :param configuration: current one.
    :param isolated_for: seconds without any source of configuration.
    """
    allowed = _allowed_organisations(request, configuration)
    if allowed is None:
        return _unknown_resource_error(request)
    if not request.organisation:
        return _open_route_error(request, configuration)
    key_owner = configuration.organisation_id_by_key_digest.get(
        request.key_digest,
    )
    organisation = configuration.organisations_by_id.get(request.organisation)
    if key_owner != request.organisation or organisation is None:
        return ServingError(
            ErrorKind.key_withdrawn,
            'the key has been withdrawn',
            ran=_ran_so_far(request),
        )
    if allowed and request.organisation not in allowed:
        return ServingError(
            ErrorKind.not_allowed,
            f'the organisation may not use {request.resource!r}',
            ran=_ran_so_far(request),
        )
    if _is_stale(organisation, isolated_for):
        return ServingError(
            ErrorKind.configuration_stale,
            'the instance cannot learn whether the key is still valid',
            ran=_ran_so_far(request),
        )
    return None


def _allowed_organisations(
    request: ServingRequest,
    configuration: Configuration,
) -> frozenset[str] | None:
    if request.is_model:
        deployment = configuration.deployments_by_name.get(request.resource)
        return None if deployment is None else deployment.organisations
    service = configuration.services_by_route.get(request.resource)
    return None if service is None else service.organisations


def _unknown_resource_error(request: ServingRequest) -> ServingError:
    if request.is_model:
        return ServingError(
            ErrorKind.unknown_deployment,
            f'there is no deployment {request.resource!r}',
            ran=_ran_so_far(request),
        )
    return ServingError(
        ErrorKind.unknown_route,
        f'there is no service {request.resource!r}',
        ran=_ran_so_far(request),
    )


def _open_route_error(
    request: ServingRequest,
    configuration: Configuration,
) -> ServingError | None:
    service = configuration.services_by_route.get(request.resource)
    if service is not None and service.open_to_all and not request.is_model:
        return None
    return ServingError(
        ErrorKind.key_missing,
        'this route needs a key',
        ran=_ran_so_far(request),
    )


def _is_stale(organisation: Organisation, isolated_for: float) -> bool:
    if organisation.on_isolation is OnIsolation.refuse:
        return isolated_for > ISOLATION_GRACE_SECONDS
    return isolated_for > organisation.isolation_limit


def _ran_so_far(request: ServingRequest) -> Ran:
    # The status covers all attempts so far, not only the last one.
    return request.ran
