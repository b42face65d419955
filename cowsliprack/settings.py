"""Settings from flags and environment variables."""

import resource
from typing import Any

from pydantic import Field, SecretStr, ValidationError, field_validator
from pydantic_settings import BaseSettings, SettingsConfigDict

from cowsliprack.exceptions import ConfigurationError

_PREFIX = 'COWSLIPRACK_'
# Descriptors of a process without a limit.
_MANY_DESCRIPTORS = 1_048_576


def _descriptor_limit() -> int:
    """Return how many descriptors the system lets this process open."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return _MANY_DESCRIPTORS if soft_limit < 0 else soft_limit


class Settings(BaseSettings):
    """Settings of an instance, each a flag and ``COWSLIPRACK_<NAME>``."""

    model_config = SettingsConfigDict(env_prefix=_PREFIX, extra='forbid')

    instance_id: str = Field(min_length=1, max_length=64)
    zone: str = Field(min_length=1, max_length=64)
    host: str = '127.0.0.1'
    port: int = Field(default=8080, ge=0, le=65535)
    peer_port: int = Field(default=0, ge=0, le=65535)
    store_url: str = Field(pattern='^https?://')
    # Peers to get the configuration from if the store is unavailable at start.
    seed_peers: tuple[str, ...] = ()
    fleet_secret: SecretStr = Field(min_length=16)
    log_level: str = Field(
        default='info',
        pattern='^(debug|info|warning|error)$',
    )
    max_body_bytes: int = Field(default=1_000_000, ge=1)
    max_queue: int = Field(default=1000, ge=1)
    default_deadline_seconds: float = Field(default=60, gt=0)
    drain_seconds: float = Field(default=30, ge=0)
    lease_seconds: float = Field(default=6, gt=0)
    # Memory of the machine that the process may use.
    memory_mb: float = Field(default=2000, gt=0)
    max_descriptors: int = Field(default_factory=_descriptor_limit, ge=1)

    @field_validator('seed_peers', mode='before')
    @classmethod
    def split_peers(cls, peers: Any) -> Any:
        """Accept a comma-separated string.

        :param peers: value of the flag or variable.
        """
        if isinstance(peers, str):
            return tuple(part for part in peers.split(',') if part)
        return peers


def load_settings(**flags: object) -> Settings:
    """Return validated settings; flags override environment variables.

    :param flags: settings by name; ``None`` means not given.
    :raises ConfigurationError: lists every invalid setting.
    """
    given = {
        name: setting for name, setting in flags.items() if setting is not None
    }
    try:
        return Settings(**given)  # type: ignore[arg-type]
    except ValidationError as failure:
        raise ConfigurationError(_describe_problems(failure)) from None


def _describe_problems(failure: ValidationError) -> list[str]:
    lines = []
    for entry in failure.errors(include_input=False, include_url=False):
        name = str(entry['loc'][0]) if entry['loc'] else 'settings'
        flag = name.removeprefix(_PREFIX.lower()).replace('_', '-')
        variable = f'{_PREFIX}{flag.upper().replace("-", "_")}'
        lines.append(f'--{flag} ({variable}): {entry["msg"]}')
    return lines
