"""Headers of callers' requests and targets' answers on the platform."""

from collections.abc import Iterable

from cowsliprack.protocol.credentials import HOP_BY_HOP_HEADERS
from cowsliprack.protocol.dialect import (
    Dialect,
    ForwardingMetadata,
    HeaderPairs,
    RequestMetadata,
)

_ATTEMPT_ID = b'x-attempt-id'
_KEY = b'x-key'
# Names the organisation of the caller's key to the target.
_ORGANISATION = b'x-tenant'
_TIME_LEFT = b'x-deadline-ms'
# The target that the request is meant for; any other refuses it.
_EXPECTED_TARGET = b'x-expect-instance'
_MODEL = b'x-model'
# Prompt tokens and the largest number of output tokens.
_TOKENS = b'x-token-count'
_PROMPT_PARTS = b'x-prompt-prefix'
_RESUME_AFTER = b'last-event-id'
_PRIORITY = b'x-request-priority'
_NOT_RUN = b'x-not-run'
_MISDIRECTED = 421
_MS = 1000
# A target stops at the time that it is given; what it sends then must still
# reach the caller before the caller gives up, seconds.
_TRAVEL_SECONDS = 0.02
# Set by the system or meant for one connection; never passed on as the caller
# sent them.
_OWN_HEADERS = frozenset(
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
_PER_CONNECTION = frozenset(
    name.encode() for name in HOP_BY_HOP_HEADERS - {'host'}
)
_MULTIPLE_CONNECTION_NAMES = b','


def read_request(headers: HeaderPairs) -> RequestMetadata:
    """Return what the headers of a request say.

    :param headers: names in lower case.
    """
    texts_by_name = {name: text.decode('latin-1') for name, text in headers}
    model, _, adapter = texts_by_name.get(_MODEL, '').partition('/')
    prompt, _, output = texts_by_name.get(_TOKENS, '').partition(',')
    seconds_left = _number(texts_by_name.get(_TIME_LEFT, ''))
    return RequestMetadata(
        request_id=texts_by_name.get(_ATTEMPT_ID, ''),
        key=texts_by_name.get(_KEY, ''),
        seconds_left=None if seconds_left is None else seconds_left / _MS,
        model=model.strip(),
        adapter=adapter.strip(),
        prompt_tokens=int(_number(prompt) or 0),
        output_tokens=int(_number(output) or 0),
        has_token_counts=bool(prompt),
        prompt_parts=_read_parts(texts_by_name.get(_PROMPT_PARTS, '')),
        resume_after=texts_by_name.get(_RESUME_AFTER, ''),
    )


def forwarded_headers(
    headers: HeaderPairs,
    metadata: ForwardingMetadata,
) -> list[tuple[bytes, bytes]]:
    """Return the headers with which a request goes to a target.

    :param headers: of the caller, names in lower case.
    :param metadata: of this send.
    """
    dropped = _OWN_HEADERS | _PER_CONNECTION | _named_by_connection(headers)
    kept = [pair for pair in headers if pair[0] not in dropped]
    left = max(metadata.seconds_left - _TRAVEL_SECONDS, 0)
    kept.extend(
        (
            (_EXPECTED_TARGET, metadata.target_id.encode()),
            (_TIME_LEFT, str(int(left * _MS)).encode()),
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
    """Return the headers of a target's answer as the caller gets them.

    :param headers: of the target.
    """
    dropped = _PER_CONNECTION | _named_by_connection(headers) | {b'date'}
    return [
        (name.lower(), text)
        for name, text in headers
        if name.lower() not in dropped
    ]


def is_response_to(headers: HeaderPairs, request_id: str) -> bool:
    """Return whether an answer belongs to a request.

    :param headers: of the target's answer.
    :param request_id: of the caller's attempt.
    """
    return _find(headers, _ATTEMPT_ID) == request_id.encode('latin-1')


def is_not_run_response(status: int, headers: HeaderPairs) -> bool:
    """Return whether a target states that it did not run the request.

    :param status: of the answer.
    :param headers: of the answer.
    """
    return status == _MISDIRECTED or _find(headers, _NOT_RUN) is not None


def is_misdirected(status: int) -> bool:
    """Return whether a target says that the request is not for it.

    :param status: of the answer.
    """
    return status == _MISDIRECTED


def _find(headers: HeaderPairs, wanted: bytes) -> bytes | None:
    for name, text in headers:
        if name.lower() == wanted:
            return text
    return None


def _named_by_connection(headers: HeaderPairs) -> set[bytes]:
    named: set[bytes] = set()
    for name, text in headers:
        if name.lower() == b'connection':
            parts = text.lower().split(_MULTIPLE_CONNECTION_NAMES)
            named.update(part.strip() for part in parts)
    return named


def _number(text: str) -> float | None:
    try:
        return max(float(text), 0)
    except ValueError:
        return None


def _read_parts(text: str) -> tuple[tuple[str, int], ...]:
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
    is_misdirected=is_misdirected,
)
