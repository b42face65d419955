"""Headers of requests and responses in the protocol of the platform."""

import math
from collections.abc import Iterable

from cowsliprack.protocol.credentials import HOP_BY_HOP_HEADERS
from cowsliprack.protocol.dialect import (
    Dialect,
    ForwardingMetadata,
    HeaderPairs,
    RequestMetadata,
    TargetNotice,
)

_ATTEMPT_ID = b'x-attempt-id'
_KEY = b'x-key'
# Tells the target the organisation that the caller's key belongs to.
_ORGANISATION = b'x-tenant'
_TIME_LEFT = b'x-deadline-ms'
# Id of the intended target; any other target refuses the request.
_EXPECTED_TARGET = b'x-expect-instance'
_MODEL = b'x-model'
# Number of prompt tokens and maximum number of output tokens.
_TOKENS = b'x-token-count'
_PROMPT_PARTS = b'x-prompt-prefix'
_RESUME_AFTER = b'last-event-id'
# Id of the caller's attempt that brought the first event of the stream.
_CONTINUED = b'resumes'
_PRIORITY = b'x-request-priority'
_NOT_RUN = b'x-not-run'
# Requests per second that a target in need takes from all instances together.
_LIMIT = b'server-limit'
_LEAVING = b'server-leaving'
_LEAVING_TEXT = b'1'
# Rejections per second after which a target fails.
_BRITTLE = b'server-brittle'
_RETRY_AFTER = b'retry-after'
# How much longer the target stays cold, milliseconds.
_COLD = b'x-cold-ms'
_UNAVAILABLE_STATUS = 503
_MISDIRECTED_STATUS = 421
_MS = 1000
# Seconds by which the deadline sent to a target is earlier than the caller's,
# so that a response sent at that deadline still reaches the caller in time.
_RESPONSE_MARGIN_SECONDS = 0.02
# Set by the gateway or reserved for the platform; the caller's values of these
# headers are never forwarded.
_RESERVED_HEADERS = frozenset(
    (
        _KEY,
        _ORGANISATION,
        _TIME_LEFT,
        _EXPECTED_TARGET,
        _PRIORITY,
        _RESUME_AFTER,
        b'x-expect-version',
        b'x-hold',
        b'x-pin-ms',
        b'x-kv-backup',
        b'kv-from',
        b'kv-fetch',
    ),
)
_HOP_BY_HOP_HEADERS = frozenset(
    name.encode() for name in HOP_BY_HOP_HEADERS - {'host'}
)
_CONNECTION_SEPARATOR = b','


def read_request(headers: HeaderPairs) -> RequestMetadata:
    """Parse the headers of a caller's request.

    :param headers: header pairs; names in lower case.
    """
    values_by_name = {name: value.decode('latin-1') for name, value in headers}
    model, _, adapter = values_by_name.get(_MODEL, '').partition('/')
    prompt, _, output = values_by_name.get(_TOKENS, '').partition(',')
    seconds_left = _parse_non_negative(values_by_name.get(_TIME_LEFT, ''))
    return RequestMetadata(
        request_id=values_by_name.get(_ATTEMPT_ID, ''),
        key=values_by_name.get(_KEY, ''),
        seconds_left=None if seconds_left is None else seconds_left / _MS,
        model=model.strip(),
        adapter=adapter.strip(),
        prompt_tokens=int(_parse_non_negative(prompt) or 0),
        output_tokens=int(_parse_non_negative(output) or 0),
        has_token_counts=bool(prompt),
        prompt_parts=_parse_prompt_parts(values_by_name.get(_PROMPT_PARTS, '')),
        resume_after=values_by_name.get(_RESUME_AFTER, ''),
        continued_id=values_by_name.get(_CONTINUED, ''),
    )


def forwarded_headers(
    headers: HeaderPairs,
    metadata: ForwardingMetadata,
) -> list[tuple[bytes, bytes]]:
    """Return the headers of a request that is forwarded to a target.

    :param headers: headers of the caller; names in lower case.
    :param metadata: values of the headers that the gateway sets.
    """
    dropped = (
        _RESERVED_HEADERS | _HOP_BY_HOP_HEADERS | _connection_headers(headers)
    )
    kept = [pair for pair in headers if pair[0] not in dropped]
    seconds_left = max(metadata.seconds_left - _RESPONSE_MARGIN_SECONDS, 0)
    kept.extend(
        (
            (_EXPECTED_TARGET, metadata.target_id.encode()),
            (_TIME_LEFT, str(int(seconds_left * _MS)).encode()),
        ),
    )
    if metadata.organisation:
        kept.append((_ORGANISATION, metadata.organisation.encode()))
    if metadata.resume_after:
        kept.append((_RESUME_AFTER, metadata.resume_after.encode('latin-1')))
    if metadata.priority is not None:
        kept.append((_PRIORITY, str(metadata.priority).encode()))
    return kept


def returned_headers(headers: HeaderPairs) -> list[tuple[bytes, bytes]]:
    """Return the headers of a target's response for the caller.

    :param headers: headers that the target sent.
    """
    dropped = _HOP_BY_HOP_HEADERS | _connection_headers(headers) | {b'date'}
    return [
        (name.lower(), value)
        for name, value in headers
        if name.lower() not in dropped
    ]


def is_response_to(headers: HeaderPairs, request_id: str) -> bool:
    """Return whether a response belongs to a request.

    :param headers: headers of the target's response.
    :param request_id: id of the caller's attempt.
    """
    return _find_header(headers, _ATTEMPT_ID) == request_id.encode('latin-1')


def is_not_run_response(status: int, headers: HeaderPairs) -> bool:
    """Return whether a target states that it did not run the request.

    :param status: status code of the response.
    :param headers: headers of the response.
    """
    return (
        status == _MISDIRECTED_STATUS
        or _find_header(headers, _NOT_RUN) is not None
    )


def is_misdirected(status: int) -> bool:
    """Return whether a target refused a request intended for another one.

    :param status: status code of the response.
    """
    return status == _MISDIRECTED_STATUS


def stated_limit(headers: HeaderPairs) -> float | None:
    """Return the limit that a target names, requests per second.

    :param headers: headers of the response.
    :returns: ``None`` if it names none or one that is not a number.
    """
    return _find_number(headers, _LIMIT)


def read_notice(status: int, headers: HeaderPairs) -> TargetNotice:
    """Return what a target says of itself.

    :param status: of the response.
    :param headers: headers of the response.
    """
    leaving = _find_header(headers, _LEAVING)
    retry_after = None
    if status == _UNAVAILABLE_STATUS:
        retry_after = _find_number(headers, _RETRY_AFTER)
    return TargetNotice(
        leaving is not None and leaving.strip() == _LEAVING_TEXT,
        retry_after or 0,
        _find_number(headers, _BRITTLE),
        (_find_number(headers, _COLD) or 0) / _MS,
    )


def _find_number(headers: HeaderPairs, wanted: bytes) -> float | None:
    text = _find_header(headers, wanted)
    if text is None:
        return None
    number = _parse_non_negative(text.decode('latin-1'))
    return number if number is not None and math.isfinite(number) else None


def _find_header(headers: HeaderPairs, wanted: bytes) -> bytes | None:
    for name, value in headers:
        if name.lower() == wanted:
            return value
    return None


def _connection_headers(headers: HeaderPairs) -> set[bytes]:
    names: set[bytes] = set()
    for name, value in headers:
        if name.lower() == b'connection':
            parts = value.lower().split(_CONNECTION_SEPARATOR)
            names.update(part.strip() for part in parts)
    return names


def _parse_non_negative(text: str) -> float | None:
    try:
        return max(float(text), 0)
    except ValueError:
        return None


def _parse_prompt_parts(text: str) -> tuple[tuple[str, int], ...]:
    parts: Iterable[tuple[str, str, str]] = (
        part.strip().partition(':') for part in text.split(',')
    )
    return tuple(
        (part_id, int(tokens))
        for part_id, _, tokens in parts
        if part_id and tokens.isdigit()
    )


PLATFORM_DIALECT = Dialect(
    read_request=read_request,
    forwarded_headers=forwarded_headers,
    returned_headers=returned_headers,
    is_response_to=is_response_to,
    is_not_run_response=is_not_run_response,
    stated_limit=stated_limit,
    read_notice=read_notice,
    is_misdirected=is_misdirected,
)
