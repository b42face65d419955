"""Parser of the platform's settings file."""

from collections.abc import Mapping
from pathlib import Path
from typing import Annotated

import msgspec

from cowsliprack.exceptions import ConfigurationError
from cowsliprack.state.gateway_settings import GatewaySettings

SETTINGS_VARIABLE = 'COWSLIPRACK_SETTINGS'
DEFAULT_PATH = '/etc/cowsliprack/boot.conf'
_MS = 1000
# Part of the time limit for configuration changes that is reserved for an
# instance to detect an outdated reading of its leader and to read the store.
_STORE_READ_RESERVE_SECONDS = 0.4
# Memory of the smallest machine, MB, and the usual limit of descriptors.
_DEFAULT_MEMORY_MB = 200
_DEFAULT_MAX_FDS = 1024
# Larger values are errors of the file; infinity is one of them.
_MAX_LIMIT = 1_000_000_000


class _PlatformFields(msgspec.Struct, kw_only=True):
    """Fields of the file that are used; all others are ignored.

    Names with a dot are not valid identifiers and are mapped to other names.
    """

    node: str
    zone: str
    ip: str
    region: str = ''
    front_address: str = msgspec.field(name='listen.front')
    ready_address: str = msgspec.field(name='listen.ready')
    internal_ports: str
    store_address: str = msgspec.field(name='platform.addr')
    grace_s: float = msgspec.field(name='bounds.grace_s', default=8)
    # Time within which every instance must apply a confirmed configuration.
    config_ms: int = msgspec.field(name='bounds.config_ms', default=2000)
    revoke_ms: int = msgspec.field(name='bounds.revoke_ms', default=5000)
    lease_ms: int = msgspec.field(name='bounds.lease_ms', default=3000)
    # Retries per request of a service that are allowed over all instances.
    budget_ratio: float = msgspec.field(
        name='bounds.budget_ratio',
        default=0.2,
    )
    budget_window_s: float = msgspec.field(
        name='bounds.budget_window_s',
        default=10,
    )
    budget_slack: float = msgspec.field(name='bounds.budget_slack', default=0)
    # "true" only when the whole system starts for the first time.
    bootstrap: str = ''
    # Share of one core that the instance may use; the core is ``cores`` times
    # as fast as a standard one.
    cpu_share: float = msgspec.field(name='limits.cpu_share', default=1)
    cores: float = msgspec.field(name='limits.cores', default=1)
    link_mbps: float = msgspec.field(name='limits.link_mbps', default=1000)
    quota_slack: float = msgspec.field(name='bounds.quota_slack', default=0)
    quota_overrun: Annotated[float, msgspec.Meta(ge=0, le=1)] = msgspec.field(
        name='bounds.quota_overrun',
        default=0,
    )
    quota_window_s: float = msgspec.field(
        name='bounds.quota_window_s',
        default=8,
    )
    # Time within which requests to an evacuated zone must end; 0 where zones
    # are never evacuated.
    evac_ms: float = msgspec.field(name='bounds.evac_ms', default=0)
    memory_mb: float = msgspec.field(
        name='limits.memory_mb',
        default=_DEFAULT_MEMORY_MB,
    )
    max_fds: int = msgspec.field(
        name='limits.max_fds',
        default=_DEFAULT_MAX_FDS,
    )


def load_platform_settings(
    path: str | Path,
    metrics_port: int = 0,
) -> GatewaySettings:
    """Load the settings of an instance from the platform's settings file.

    :param path: file with lines of the form ``a.b=value``.
    :param metrics_port: port of the metrics; 0 for the last internal port.
    :raises ConfigurationError: the file cannot be read, or a required field is
        missing or malformed.
    """
    try:
        text = Path(path).read_text(encoding='utf-8', errors='replace')
    except OSError as error:
        raise ConfigurationError([f'{path}: {error.strerror}']) from error
    return parse_platform_settings(text, metrics_port)


def parse_platform_settings(
    text: str,
    metrics_port: int = 0,
) -> GatewaySettings:
    """Parse the text of a settings file.

    :param text: lines of the form ``a.b=value``; others are ignored.
    :param metrics_port: port of the metrics; 0 for the last internal port.
    :raises ConfigurationError: a required field is missing or malformed.
    """
    raw_fields = _parse_lines(text)
    try:
        fields = _convert(raw_fields)
        first_port, _, last_port = fields.internal_ports.partition(',')
        return GatewaySettings(
            instance_id=fields.node,
            zone=fields.zone,
            region=fields.region or 'default',
            front_address=fields.front_address,
            ready_address=fields.ready_address,
            peer_host=fields.ip,
            peer_port=int(first_port),
            metrics_address=f'{fields.ip}:{metrics_port or int(last_port)}',
            store_url=f'http://{fields.store_address}',
            grace_seconds=fields.grace_s,
            freshness_seconds=fields.revoke_ms / _MS,
            lease_seconds=fields.lease_ms / _MS,
            first_start=fields.bootstrap == 'true',
            retry_ratio=fields.budget_ratio,
            retry_slack=fields.budget_slack,
            retry_window_seconds=fields.budget_window_s,
            quota_window_seconds=fields.quota_window_s,
            quota_slack=fields.quota_slack,
            quota_overrun=fields.quota_overrun,
            cores=fields.cpu_share * fields.cores,
            link_megabits=fields.link_mbps,
            max_relay_age_seconds=fields.config_ms / _MS
            - _STORE_READ_RESERVE_SECONDS,
            evacuation_seconds=fields.evac_ms / _MS,
            memory_megabytes=fields.memory_mb,
            max_descriptors=fields.max_fds,
        )
    except (msgspec.ValidationError, ValueError) as error:
        raise ConfigurationError([f'settings file: {error}']) from error


def _convert(raw_fields: Mapping[str, str]) -> _PlatformFields:
    fields = msgspec.convert(raw_fields, _PlatformFields, strict=False)
    _check_limit('limits.memory_mb', fields.memory_mb)
    _check_limit('limits.max_fds', fields.max_fds)
    return fields


def _check_limit(name: str, limit: float) -> None:
    # Also false for a value that is not a number.
    if not 0 < limit <= _MAX_LIMIT:
        raise ValueError(f'{name}: must be between 0 and {_MAX_LIMIT}')


def _parse_lines(text: str) -> Mapping[str, str]:
    fields = {}
    for line in text.splitlines():
        name, equals, field_value = line.partition('=')
        if equals:
            fields[name.strip()] = field_value.strip()
    return fields
