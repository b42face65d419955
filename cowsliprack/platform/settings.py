"""The platform's settings file, as settings of a gateway instance."""

from collections.abc import Mapping
from pathlib import Path

import msgspec

from cowsliprack.exceptions import ConfigurationError
from cowsliprack.state.gateway_settings import GatewaySettings

SETTINGS_VARIABLE = 'COWSLIPRACK_SETTINGS'
DEFAULT_PATH = '/etc/cowsliprack/boot.conf'
_MS = 1000
# Kept of the time in which a configuration must be in force, for an instance
# to notice that its leader's reading is old and to read the store itself.
_READING_SECONDS = 0.4


class _PlatformFields(msgspec.Struct, kw_only=True):
    """Fields of the file that the program uses; all others are ignored.

    Names with a dot are renamed, since they are no identifiers.
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
    # Within which a confirmed configuration must be in force everywhere.
    config_ms: int = msgspec.field(name='bounds.config_ms', default=2000)
    revoke_ms: int = msgspec.field(name='bounds.revoke_ms', default=5000)
    lease_ms: int = msgspec.field(name='bounds.lease_ms', default=3000)
    # Share of a service's requests that may be repeats, over all instances.
    budget_ratio: float = msgspec.field(
        name='bounds.budget_ratio',
        default=0.2,
    )
    budget_window_s: float = msgspec.field(
        name='bounds.budget_window_s',
        default=10,
    )
    budget_slack: float = msgspec.field(name='bounds.budget_slack', default=0)
    # Part of one core, which is ``cores`` times as fast as usual.
    cpu_share: float = msgspec.field(name='limits.cpu_share', default=1)
    cores: float = msgspec.field(name='limits.cores', default=1)
    quota_slack: float = msgspec.field(name='bounds.quota_slack', default=0)
    quota_window_s: float = msgspec.field(
        name='bounds.quota_window_s',
        default=8,
    )


def load_platform_settings(
    path: str | Path,
    metrics_port: int = 0,
) -> GatewaySettings:
    """Return the settings in a file of the platform.

    :param path: of the file: lines of the form ``a.b=value``.
    :param metrics_port: 0 for the last internal port.
    :raises ConfigurationError: the file cannot be read, or a needed field is
        missing or malformed; one line for each problem.
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
    """Return the settings in the text of a settings file.

    :param text: lines of the form ``a.b=value``; others are ignored.
    :param metrics_port: 0 for the last internal port.
    :raises ConfigurationError: a needed field is missing or malformed.
    """
    fields = _read_lines(text)
    try:
        known = msgspec.convert(fields, _PlatformFields, strict=False)
        first_port, _, last_port = known.internal_ports.partition(',')
        return GatewaySettings(
            instance_id=known.node,
            zone=known.zone,
            region=known.region or 'default',
            front_address=known.front_address,
            ready_address=known.ready_address,
            peer_host=known.ip,
            peer_port=int(first_port),
            metrics_address=f'{known.ip}:{metrics_port or int(last_port)}',
            store_url=f'http://{known.store_address}',
            grace_seconds=known.grace_s,
            freshness_seconds=known.revoke_ms / _MS,
            lease_seconds=known.lease_ms / _MS,
            retry_ratio=known.budget_ratio,
            retry_slack=known.budget_slack,
            retry_window_seconds=known.budget_window_s,
            quota_window_seconds=known.quota_window_s,
            quota_slack=known.quota_slack,
            cores=known.cpu_share * known.cores,
            max_relay_age_seconds=known.config_ms / _MS - _READING_SECONDS,
        )
    except (msgspec.ValidationError, ValueError) as error:
        raise ConfigurationError([f'settings file: {error}']) from error


def _read_lines(text: str) -> Mapping[str, str]:
    fields = {}
    for line in text.splitlines():
        name, equals, field_text = line.partition('=')
        if equals:
            fields[name.strip()] = field_text.strip()
    return fields
