"""Extraction and removal of the caller's key from a request.

A target must never see a caller's key. Everything that may hold a credential
by its name is removed, and so is everything else that contains the key.
"""

import base64
import binascii
import re
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from urllib.parse import unquote, unquote_plus

from cowsliprack.exceptions import ErrorKind, ServingError

# Headers that hold a credential; removed whatever they contain.
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
# Query parameters and cookies that hold a credential.
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
# RFC 9110, section 7.6.1, and the headers that the client library sets.
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
# A shorter key is only compared as a whole value: as a part of other values
# it would also be found in unrelated text.
_SHORTEST_SEARCHED = 8
# Values may be percent-encoded twice, as in a URL within a query parameter.
_ENCODING_DEPTH = 2
_SCHEMES = frozenset(('bearer', 'token', 'basic', 'apikey', 'key'))
_SEPARATOR = re.compile('([&;])')

HeaderList = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class SanitisedRequest:
    """A request without the caller's key, and the key.

    :param key: ``None`` when the request holds none.
    :param headers: end-to-end headers that a target may see.
    :param query: query string without the question mark.
    """

    key: str | None
    headers: tuple[tuple[bytes, bytes], ...]
    query: bytes


def extract_key(headers: HeaderList, query: bytes = b'') -> SanitisedRequest:
    """Take the caller's key out of a request.

    :param headers: names and values as received, in any case, repeated or
        not.
    :param query: query string without the question mark.
    :raises ServingError: ``bad_request`` when the request holds two
        different keys.
    """
    keys = _keys_in_headers(headers) | _keys_in_query(query)
    if len(keys) > 1:
        raise ServingError(
            ErrorKind.bad_request,
            'the request holds more than one key; send exactly one',
        )
    key = next(iter(keys), None)
    return SanitisedRequest(
        key,
        tuple(_clean_headers(headers, key)),
        _clean_query(query, key),
    )


def reject_key_in_body(body: bytes, key: str | None) -> None:
    """Refuse a body or a path that contains the caller's key.

    It cannot be removed from there without changing what the caller means.

    :param body: bytes that would be sent to a target.
    :param key: the caller's key.
    :raises ServingError: ``bad_request``.
    """
    if key is None or len(key) < _SHORTEST_SEARCHED:
        return
    if _contains_key(_as_text(body), key) or _escaped_in_json(body, key):
        raise ServingError(
            ErrorKind.bad_request,
            'the body or path contains the key of the request',
        )


def _as_text(raw: bytes) -> str:
    return raw.decode('utf-8', 'replace')


def _escaped_in_json(body: bytes, key: str) -> bool:
    # JSON may write any character as \uXXXX and a slash as \/.
    if b'\\' not in body:
        return False
    unescaped = re.sub(
        r'\\(?:u([0-9a-fA-F]{4})|(.))',
        _unescape,
        _as_text(body),
    )
    return key in unescaped


def _unescape(match: re.Match[str]) -> str:
    if match[1]:
        return chr(int(match[1], 16))
    return match[2]


def _keys_in_headers(headers: HeaderList) -> set[str]:
    keys: set[str] = set()
    for raw_name, raw_value in headers:
        name = _as_text(raw_name).lower()
        text = _as_text(raw_value)
        if name in CREDENTIAL_HEADERS:
            keys.update(_keys_in_value(text))
        elif name == 'cookie':
            keys.update(_keys_in_pairs(text.split(';')))
    return keys


def _keys_in_query(query: bytes) -> set[str]:
    return _keys_in_pairs(_SEPARATOR.split(_as_text(query)))


def _keys_in_pairs(pairs: Iterable[str]) -> set[str]:
    keys: set[str] = set()
    for pair in pairs:
        name, _, text = pair.partition('=')
        if _is_credential_name(name):
            keys.update(_keys_in_value(unquote_plus(text)))
    return keys


def _is_credential_name(name: str) -> bool:
    plain = unquote_plus(name).strip().lower()
    return plain.removesuffix('[]') in CREDENTIAL_NAMES


def _keys_in_value(text: str) -> set[str]:
    # A proxy may have joined repeated headers with commas.
    parts = (_key_in_part(part) for part in text.split(','))
    return {part for part in parts if part}


def _key_in_part(part: str) -> str:
    words = part.strip().strip('"').split(maxsplit=1)
    if not words:
        return ''
    scheme = words[0].lower()
    if len(words) == 1:
        return '' if scheme in _SCHEMES else words[0]
    if scheme not in _SCHEMES:
        return ' '.join(words)
    key = words[1].strip().strip('"')
    return _key_in_basic(key) if scheme == 'basic' else key


def _key_in_basic(encoded: str) -> str:
    try:
        decoded = base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError):
        return encoded
    user, _, password = _as_text(decoded).partition(':')
    return password or user


def _clean_headers(
    headers: HeaderList,
    key: str | None,
) -> Iterable[tuple[bytes, bytes]]:
    removed = HOP_BY_HOP_HEADERS | CREDENTIAL_HEADERS | _named_hops(headers)
    for raw_name, raw_value in headers:
        name = _as_text(raw_name).lower()
        if name in removed or _contains_key(_as_text(raw_name), key):
            continue
        cleaned = _clean_value(name, raw_value, key)
        if cleaned is not None:
            yield raw_name, cleaned


def _clean_value(name: str, raw_value: bytes, key: str | None) -> bytes | None:
    text = _as_text(raw_value)
    if name == 'cookie':
        return _clean_cookie(text, key).encode() or None
    return None if _contains_key(text, key) else raw_value


def _named_hops(headers: HeaderList) -> frozenset[str]:
    return frozenset(
        option.strip().lower()
        for raw_name, raw_value in headers
        if _as_text(raw_name).lower() == 'connection'
        for option in _as_text(raw_value).split(',')
    )


def _clean_cookie(text: str, key: str | None) -> str:
    pairs = (pair.strip() for pair in text.split(';'))
    return '; '.join(
        pair for pair in pairs if pair and not _holds_key(pair, key)
    )


def _clean_query(query: bytes, key: str | None) -> bytes:
    # Some targets separate parameters by semicolons, so both separators
    # count; what is kept stays as it was sent.
    tokens = _SEPARATOR.split(query.decode('latin-1'))
    kept: list[str] = []
    for position in range(0, len(tokens), 2):
        pair = tokens[position]
        decoded_pair = _as_text(pair.encode('latin-1'))
        if _holds_key(decoded_pair, key):
            continue
        if kept and position:
            kept.append(tokens[position - 1])
        kept.append(pair)
    return ''.join(kept).encode('latin-1')


def _holds_key(pair: str, key: str | None) -> bool:
    name, _, text = pair.partition('=')
    if _is_credential_name(name):
        return True
    return _contains_key(name, key) or _contains_key(text, key)


def _contains_key(text: str, key: str | None) -> bool:
    if key is None:
        return False
    variants = {text}
    for _ in range(_ENCODING_DEPTH + 1):
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
    return len(key) >= _SHORTEST_SEARCHED and key in text
