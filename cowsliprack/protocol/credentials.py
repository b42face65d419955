"""Extraction and removal of the caller's API key from a request.

A target must never see a caller's key. Every header, cookie and query
parameter with the name of a credential is removed, and so is every other one
that contains the key.
"""

import base64
import binascii
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from urllib.parse import unquote, unquote_plus

from cowsliprack.exceptions import ErrorKind, ServingError

# Headers for credentials; always removed.
CREDENTIAL_HEADERS = frozenset(
    (
        'authorization',
        'proxy-authorization',
        'x-authorization',
        'x-api-key',
        'api-key',
        'apikey',
        'x-access-token',
        'x-auth-token',
        'x-goog-api-key',
    ),
)
# Query parameters and cookies for credentials; always removed.
CREDENTIAL_NAMES = frozenset(
    (
        'key',
        'api_key',
        'api-key',
        'apikey',
        'x-api-key',
        'access_token',
        'access-token',
        'authorization',
    ),
)
# Headers of RFC 9110, section 7.6.1, and those that the HTTP client sets.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'http2-settings',
        'keep-alive',
        'proxy-authenticate',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    ),
)
# A shorter key is only compared with whole values, because as a substring it
# would also match unrelated text.
_MIN_SEARCHED_KEY_CHARS = 8
# A value can be percent-encoded twice, such as a URL in a query parameter.
_MAX_PERCENT_ENCODINGS = 2
_AUTH_SCHEMES = frozenset(('bearer', 'token', 'basic', 'apikey', 'key'))
_QUERY_SEPARATOR = re.compile('([&;])')

HeaderList = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class SanitisedRequest:
    """The caller's key and the request without it.

    :param key: ``None`` when the request has no key.
    :param headers: end-to-end headers that a target may see.
    :param query: query string without the question mark.
    """

    key: str | None
    headers: tuple[tuple[bytes, bytes], ...]
    query: bytes


def extract_key(headers: HeaderList, query: bytes = b'') -> SanitisedRequest:
    """Extract the caller's key from a request and remove it.

    :param headers: names and values as received; names may be in any case and
        may be repeated.
    :param query: query string without the question mark.
    :raises ServingError: ``bad_request`` when the request has two different
        keys.
    """
    keys = _extract_keys_from_headers(headers) | _extract_keys_from_query(query)
    if len(keys) > 1:
        raise ServingError(
            ErrorKind.bad_request,
            'the request contains more than one key; send exactly one',
        )
    key = next(iter(keys), None)
    return SanitisedRequest(
        key,
        tuple(_sanitise_headers(headers, key)),
        _sanitise_query(query, key),
    )


def reject_key_in_body(body: bytes, key: str | None) -> None:
    """Reject a body or path that contains the caller's key.

    Removing the key there would change the meaning of the request.

    :param body: body or path for the target.
    :param key: the caller's key.
    :raises ServingError: ``bad_request``.
    """
    if key is None or len(key) < _MIN_SEARCHED_KEY_CHARS:
        return
    if _contains_key(_decode_utf8(body), key) or _has_escaped_key(body, key):
        raise ServingError(
            ErrorKind.bad_request,
            'the body or path contains the key of the request',
        )


def _decode_utf8(raw: bytes) -> str:
    return raw.decode('utf-8', 'replace')


def _has_escaped_key(body: bytes, key: str) -> bool:
    # JSON can escape any character as \uXXXX and a slash as \/.
    if b'\\' not in body:
        return False
    unescaped = re.sub(
        r'\\(?:u([0-9a-fA-F]{4})|(.))',
        _unescape_json,
        _decode_utf8(body),
    )
    return key in unescaped


def _unescape_json(match: re.Match[str]) -> str:
    if match[1]:
        return chr(int(match[1], 16))
    return match[2]


def _extract_keys_from_headers(headers: HeaderList) -> set[str]:
    keys: set[str] = set()
    for raw_name, raw_value in headers:
        name = _decode_utf8(raw_name).lower()
        text = _decode_utf8(raw_value)
        if name in CREDENTIAL_HEADERS:
            keys.update(_parse_keys(text))
        elif name == 'cookie':
            keys.update(_extract_keys_from_pairs(text.split(';')))
    return keys


def _extract_keys_from_query(query: bytes) -> set[str]:
    return _extract_keys_from_pairs(_QUERY_SEPARATOR.split(_decode_utf8(query)))


def _extract_keys_from_pairs(pairs: Iterable[str]) -> set[str]:
    keys: set[str] = set()
    for pair in pairs:
        name, _, text = pair.partition('=')
        if _is_credential_name(name):
            keys.update(_parse_keys(unquote_plus(text)))
    return keys


def _is_credential_name(name: str) -> bool:
    normalised = unquote_plus(name).strip().lower()
    return normalised.removesuffix('[]') in CREDENTIAL_NAMES


def _parse_keys(text: str) -> set[str]:
    # A proxy may have joined repeated headers with commas.
    keys = (_parse_key(part) for part in text.split(','))
    return {key for key in keys if key}


def _parse_key(part: str) -> str:
    words = part.strip().strip('"').split(maxsplit=1)
    if not words:
        return ''
    scheme = words[0].lower()
    if len(words) == 1:
        return '' if scheme in _AUTH_SCHEMES else words[0]
    if scheme not in _AUTH_SCHEMES:
        return ' '.join(words)
    key = words[1].strip().strip('"')
    return _parse_basic_key(key) if scheme == 'basic' else key


def _parse_basic_key(encoded: str) -> str:
    try:
        decoded = base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError):
        return encoded
    user, _, password = _decode_utf8(decoded).partition(':')
    return password or user


def _sanitise_headers(
    headers: HeaderList,
    key: str | None,
) -> Iterable[tuple[bytes, bytes]]:
    removed = (
        HOP_BY_HOP_HEADERS | CREDENTIAL_HEADERS | _connection_options(headers)
    )
    for raw_name, raw_value in headers:
        name = _decode_utf8(raw_name).lower()
        if name in removed or _contains_key(_decode_utf8(raw_name), key):
            continue
        sanitised = _sanitise_value(name, raw_value, key)
        if sanitised is not None:
            yield raw_name, sanitised


def _sanitise_value(
    name: str, raw_value: bytes, key: str | None
) -> bytes | None:
    text = _decode_utf8(raw_value)
    if name == 'cookie':
        return _sanitise_cookie(text, key).encode() or None
    return None if _contains_key(text, key) else raw_value


def _connection_options(headers: HeaderList) -> frozenset[str]:
    return frozenset(
        option.strip().lower()
        for raw_name, raw_value in headers
        if _decode_utf8(raw_name).lower() == 'connection'
        for option in _decode_utf8(raw_value).split(',')
    )


def _sanitise_cookie(text: str, key: str | None) -> str:
    pairs = (pair.strip() for pair in text.split(';'))
    return '; '.join(
        pair for pair in pairs if pair and not _pair_contains_key(pair, key)
    )


def _sanitise_query(query: bytes, key: str | None) -> bytes:
    # Some targets separate parameters by semicolons, so both separators are
    # recognised. The remaining parameters and separators are unchanged.
    tokens = _QUERY_SEPARATOR.split(query.decode('latin-1'))
    kept: list[str] = []
    for position in range(0, len(tokens), 2):
        pair = tokens[position]
        decoded_pair = _decode_utf8(pair.encode('latin-1'))
        if _pair_contains_key(decoded_pair, key):
            continue
        if kept and position:
            kept.append(tokens[position - 1])
        kept.append(pair)
    return ''.join(kept).encode('latin-1')


def _pair_contains_key(pair: str, key: str | None) -> bool:
    name, _, text = pair.partition('=')
    if _is_credential_name(name):
        return True
    return _contains_key(name, key) or _contains_key(text, key)


def _contains_key(text: str, key: str | None) -> bool:
    if key is None:
        return False
    variants = {text}
    for _ in range(_MAX_PERCENT_ENCODINGS + 1):
        if any(_matches_key(variant, key) for variant in variants):
            return True
        variants = {
            decoded
            for variant in variants
            for decoded in (unquote(variant), unquote_plus(variant))
        }
    return False


def _matches_key(text: str, key: str) -> bool:
    if text.strip().strip('"') == key:
        return True
    return len(key) >= _MIN_SEARCHED_KEY_CHARS and key in text
