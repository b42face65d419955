"""Entry point of an instance on the platform."""

import os
import random
import secrets

import anyio
import httpx

from cowsliprack.exceptions import StoreConflictError, StoreError
from cowsliprack.logs import configure_logs
from cowsliprack.platform.engine_client import EngineClient
from cowsliprack.platform.headers import PLATFORM_DIALECT
from cowsliprack.platform.settings import (
    DEFAULT_PATH,
    SETTINGS_VARIABLE,
    load_platform_settings,
)
from cowsliprack.platform.store import PlatformStore
from cowsliprack.platform.wire import decode_configuration, decode_target
from cowsliprack.protocol.platform_parts import PlatformParts
from cowsliprack.protocol.store import ObjectStore
from cowsliprack.state.gateway_settings import GatewaySettings
from cowsliprack.transport.clock import read_clock
from cowsliprack.transport.gateway_run import run_gateway

# Object that holds the secret by which instances know each other.
_SECRET_KEY = 'cowsliprack-fleet/secret'  # noqa: S105
_SECRET_FIELD = 'secret'  # noqa: S105
_SECRET_BYTES = 24
_RETRY_SECONDS = 0.2
# Part of the time for which a leader's reading counts after which a watch of
# the configuration comes back. A watch proves the moment at which it was asked,
# so the proof is up to twice as old; a report and its answer come on top.
_CONFIGURATION_WAIT_SHARE = 0.3
# Seconds after which a watch of the targets comes back.
_TARGETS_WAIT = 2.5


def serve(log_level: str = 'info', metrics_port: int = 0) -> None:
    """Run one instance on the platform until it is told to stop.

    :param log_level: lowest level that is written.
    :param metrics_port: 0 for the last internal port.
    """
    configure_logs(log_level)
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
    settings = load_platform_settings(path, metrics_port)
    anyio.run(run_gateway, settings, make_parts)


def make_parts(
    settings: GatewaySettings,
    client: httpx.AsyncClient,
) -> PlatformParts:
    """Return what speaks the platform's protocols.

    :param settings: of the instance.
    :param client: HTTP client for the store and for engines.
    """
    return PlatformParts(
        dialect=PLATFORM_DIALECT,
        store=PlatformStore(settings.store_url, client, read_clock),
        engines=EngineClient(client),
        decode_table=decode_configuration,
        decode_target=decode_target,
        configuration_kind='config',
        configuration_name='main',
        targets_kind='servers',
        configuration_wait=settings.max_relay_age_seconds
        * _CONFIGURATION_WAIT_SHARE,
        targets_wait=_TARGETS_WAIT,
        ready_path='/-/readyz',
        fleet_secret=read_fleet_secret,
    )


async def read_fleet_secret(store: ObjectStore) -> str:
    """Return the fleet's secret; the first instance creates it.

    :param store: where it lies.
    """
    while True:
        try:
            return await _find_secret(store)
        except StoreConflictError:
            continue
        except StoreError:
            await anyio.sleep(_RETRY_SECONDS * (1 + random.random()))


async def _find_secret(store: ObjectStore) -> str:
    found = await store.read(_SECRET_KEY)
    if found is None:
        created = secrets.token_hex(_SECRET_BYTES)
        found = await store.create(_SECRET_KEY, {_SECRET_FIELD: created})
    return str(found.body[_SECRET_FIELD])
