"""Line-by-line description of the changes between two configurations."""

from collections.abc import Iterator, Mapping
from typing import Any

import msgspec

from cowsliprack.state.configuration import Configuration

_SECTIONS = (
    ('organisations', 'organisations_by_id'),
    ('keys', 'organisation_id_by_key_digest'),
    ('deployments', 'deployments_by_name'),
    ('services', 'services_by_route'),
    ('targets', 'targets_by_id'),
)


def describe_difference(
    old: Configuration,
    new: Configuration,
) -> list[str]:
    """Return one line for each difference, except for the generation.

    A line starts with ``+`` for an added entry, ``-`` for a removed entry or
    ``~`` for a changed field.

    :param old: configuration in force.
    :param new: configuration to apply.
    """
    lines = list(_compare('zones', list(old.zones), list(new.zones)))
    for section, attribute in _SECTIONS:
        lines.extend(
            _compare_entries(
                section,
                _to_builtins(getattr(old, attribute)),
                _to_builtins(getattr(new, attribute)),
            )
        )
    lines.extend(
        _compare('policy', _to_builtins(old.policy), _to_builtins(new.policy))
    )
    return lines


def _compare_entries(
    section: str,
    old: Mapping[str, Any],
    new: Mapping[str, Any],
) -> Iterator[str]:
    for name in sorted(old.keys() | new.keys()):
        path = f'{section}.{name}'
        if name not in old:
            yield f'+ {path}'
        elif name not in new:
            yield f'- {path}'
        else:
            yield from _compare(path, old[name], new[name])


def _compare(path: str, old: Any, new: Any) -> Iterator[str]:
    if old == new:
        return
    if isinstance(old, dict) and isinstance(new, dict):
        for name in sorted(old.keys() | new.keys()):
            yield from _compare(f'{path}.{name}', old.get(name), new.get(name))
        return
    yield f'~ {path}: {_to_json(old)} -> {_to_json(new)}'


def _to_builtins(entries: object) -> dict[str, Any]:
    encoded = msgspec.json.encode(entries, order='deterministic')
    return msgspec.json.decode(encoded)


def _to_json(field: object) -> str:
    return msgspec.json.encode(field).decode()
