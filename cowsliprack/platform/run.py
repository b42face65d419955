"""Entry point of a gateway instance on the platform."""

import os
import random
import secrets

import anyio
import httpx
import structlog

from cowsliprack.coordination.freshness import REWRITE_SECONDS
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
from cowsliprack.protocol.platform_bindings import PlatformBindings
from cowsliprack.protocol.store import ObjectStore
from cowsliprack.state.gateway_settings import GatewaySettings
from cowsliprack.transport.clock import read_clock
from cowsliprack.transport.gateway_run import run_gateway
from cowsliprack.transport.running_time import RunningTime

# Object that holds the secret with which instances authenticate each other.
_SECRET_KEY = 'cowsliprack-fleet/secret'  # noqa: S105
_SECRET_FIELD = 'secret'  # noqa: S105
_SECRET_BYTES = 24
_SECRET_RETRY_SECONDS = 0.2
# Timeout of a configuration watch, as a fraction of the maximum age of a
# relayed reading. A watch proves freshness only as of its request, so the proof
# gets up to twice as old as the timeout; the round trip of a report is added.
_CONFIGURATION_WATCH_FRACTION = 0.3
# Timeout of a watch of the targets.
_TARGETS_WATCH_SECONDS = 2.5
# Timeout of a watch of the evacuated zones, as a fraction of the time within
# which an evacuation must be in force. A watch that hangs is repeated, and the
# zones are relayed, within the rest.
_EVACUATIONS_WATCH_FRACTION = 0.3

_log = structlog.get_logger('cowsliprack.platform')


def serve(log_level: str = 'info', metrics_port: int = 0) -> None:
    """Run one instance on the platform until it receives SIGTERM.

    :param log_level: minimum level of log lines.
    :param metrics_port: port of the metrics; 0 for the last internal port.
    """
    configure_logs(log_level)
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH)
    settings = load_platform_settings(path, metrics_port)
    anyio.run(run_gateway, settings, make_bindings)


def make_bindings(
    settings: GatewaySettings,
    client: httpx.AsyncClient,
    running_time: RunningTime,
) -> PlatformBindings:
    """Return the implementations of the platform's protocols.

    :param settings: settings of the instance.
    :param client: HTTP client for the store and the engines.
    :param running_time: extends timeouts of calls to engines.
    """
    return PlatformBindings(
        dialect=PLATFORM_DIALECT,
        store=PlatformStore(settings.store_url, client, read_clock),
        engines=EngineClient(client, running_time),
        decode_table=decode_configuration,
        decode_target=decode_target,
        configuration_kind='config',
        configuration_name='main',
        targets_kind='servers',
        configuration_watch_seconds=settings.max_relay_age_seconds
        * _CONFIGURATION_WATCH_FRACTION,
        targets_watch_seconds=_TARGETS_WATCH_SECONDS,
        evacuations_kind='evacuations' if settings.evacuation_seconds else '',
        evacuations_watch_seconds=settings.evacuation_seconds
        * _EVACUATIONS_WATCH_FRACTION,
        ready_path='/-/readyz',
        read_fleet_secret=read_fleet_secret,
        restore_fleet_secret=restore_fleet_secret,
    )


async def read_fleet_secret(store: ObjectStore, first_start: bool) -> str:
    """Return the fleet's secret; the first instance creates it.

    :param store: store that holds the secret.
    :param first_start: whether no process of the system ran before.
    """
    if not first_start:
        # If the store lost it, an instance that knows it writes it again.
        await _wait_for_secret(store)
    while True:
        try:
            return await _read_or_create_secret(store)
        except StoreConflictError:
            continue
        except StoreError:
            await _pause()


async def restore_fleet_secret(store: ObjectStore, secret: str) -> None:
    """Write the fleet's secret again if the store has lost it.

    :param store: store that has come back from an older copy.
    :param secret: the secret that this instance uses.
    """
    is_restored = await _try_restore(store, secret)
    while not is_restored:
        await _pause()
        is_restored = await _try_restore(store, secret)


async def _pause() -> None:
    await anyio.sleep(_SECRET_RETRY_SECONDS * (1 + random.random()))


async def _try_restore(store: ObjectStore, secret: str) -> bool:
    """Return whether the store holds a secret; write it if there is none."""
    try:
        stored = await store.read(_SECRET_KEY)
        if stored is None:
            await store.create(_SECRET_KEY, {_SECRET_FIELD: secret})
    except StoreError as error:
        _log.info('fleet_secret_not_restored', reason=str(error))
        return False
    if stored is None:
        _log.warning('fleet_secret_written_again')
    elif stored.body.get(_SECRET_FIELD) != secret:
        _log.error('fleet_secret_differs', version=stored.version)
    return True


async def _wait_for_secret(store: ObjectStore) -> None:
    """Wait until the secret exists, at most for ``REWRITE_SECONDS``."""
    with anyio.move_on_after(REWRITE_SECONDS):
        while True:
            try:
                if await store.read(_SECRET_KEY) is not None:
                    return
            except StoreError as error:
                _log.info('fleet_secret_not_read', reason=str(error))
            await anyio.sleep(_SECRET_RETRY_SECONDS)


async def _read_or_create_secret(store: ObjectStore) -> str:
    stored = await store.read(_SECRET_KEY)
    if stored is None:
        secret = secrets.token_hex(_SECRET_BYTES)
        stored = await store.create(_SECRET_KEY, {_SECRET_FIELD: secret})
    return str(stored.body[_SECRET_FIELD])
