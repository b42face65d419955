"""Validation of callers' chat completion requests and their headers."""

import hashlib
import math
from dataclasses import dataclass
from typing import Any

import msgspec
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from cowsliprack.exceptions import ErrorKind, ServingError
from cowsliprack.protocol.credentials import HeaderList

# Limit of output tokens for requests that state none. Without a limit, the
# response could exceed the reserved tokens.
DEFAULT_OUTPUT_TOKENS = 1024
MAX_OUTPUT_TOKENS = 131_072
# Bytes of text per prompt token. English text has more, so the estimate errs
# on the high side.
_BYTES_PER_TOKEN = 3
# Tokens that a model's chat template adds to each message.
_TOKENS_PER_MESSAGE = 4
# Tokens of a content part that is not text, such as an image.
_TOKENS_PER_PART = 1024
# Leading bytes of the prompt that the prefix digest covers.
_PREFIX_BYTES = 1024
_PREFIX_DIGEST_CHARS = 16
# Longest deadline that a caller may request, milliseconds (one hour).
MAX_DEADLINE_MS = 3_600_000
_MS_PER_SECOND = 1000
MAX_PRIORITY = 9
MAX_IDEMPOTENCY_KEY_CHARS = 255
_MAX_CHOICES = 128

_TokenLimit = Field(default=None, ge=1, le=MAX_OUTPUT_TOKENS)


class ChatMessage(BaseModel):
    """Message of a prompt; unknown fields are kept."""

    model_config = ConfigDict(extra='allow', strict=True)

    role: str = Field(min_length=1, max_length=64)
    content: str | list[dict[str, Any]] | None = None


class ChatBody(BaseModel):
    """Body of ``POST /v1/chat/completions``; unknown fields are kept."""

    model_config = ConfigDict(extra='allow', strict=True)

    model: str = Field(min_length=1, max_length=256)
    messages: list[ChatMessage] = Field(min_length=1, max_length=10_000)
    stream: bool = False
    max_tokens: int | None = _TokenLimit
    max_completion_tokens: int | None = _TokenLimit
    n: int | None = Field(default=None, ge=1, le=_MAX_CHOICES)


@dataclass(frozen=True, slots=True)
class ChatRequest:
    """A validated chat completion request.

    :param deployment: name in the field ``model``.
    :param body: body for the target; always limits the output tokens.
    :param prompt_tokens: estimate that errs on the high side.
    :param output_tokens: maximum number of tokens that the target generates.
    :param prefix_digest: equal for prompts with the same prefix.
    """

    deployment: str
    stream: bool
    body: bytes
    prompt_tokens: int
    output_tokens: int
    prefix_digest: str

    @property
    def reserved_tokens(self) -> int:
        """Return the tokens to reserve at admission."""
        return self.prompt_tokens + self.output_tokens


def parse_chat(body: bytes) -> ChatRequest:
    """Parse and validate the body of a chat completion request.

    :param body: JSON from the caller.
    :raises ServingError: ``bad_request``; the message names the invalid
        field.
    """
    try:
        fields = msgspec.json.decode(body, type=dict[str, Any])
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise _bad_request('body: must be a JSON object') from None
    try:
        chat = ChatBody.model_validate(fields)
    except ValidationError as error:
        raise _bad_request(_format_first_error(error)) from None
    limit = max(chat.max_tokens or 0, chat.max_completion_tokens or 0)
    if not limit:
        limit = DEFAULT_OUTPUT_TOKENS
        body = msgspec.json.encode({**fields, 'max_tokens': limit})
    return ChatRequest(
        deployment=chat.model,
        stream=chat.stream,
        body=body,
        prompt_tokens=_prompt_tokens(chat),
        output_tokens=limit * (chat.n or 1),
        prefix_digest=prefix_digest(chat),
    )


def prefix_digest(chat: ChatBody) -> str:
    """Return a digest of the model and the prefix of the prompt.

    :param chat: validated body.
    :returns: 16 hexadecimal digits.
    """
    content = chat.messages[0].content
    prefix = msgspec.json.encode(content)[:_PREFIX_BYTES]
    hashed = b'\n'.join((chat.model.encode(), prefix))
    return hashlib.sha256(hashed).hexdigest()[:_PREFIX_DIGEST_CHARS]


def parse_deadline(headers: HeaderList, default_seconds: float) -> float:
    """Return the time limit that a caller sets for a request.

    ``X-Request-Deadline-Ms`` counts from the arrival of the request, so the
    clocks of caller and instance need not be synchronised.

    :param headers: names and values as received.
    :param default_seconds: used when the header is missing.
    :returns: seconds from the arrival.
    :raises ServingError: ``bad_request``.
    """
    text = single_header(headers, 'x-request-deadline-ms')
    if text is None:
        return default_seconds
    limit = _parse_integer(text, 'X-Request-Deadline-Ms', 1, MAX_DEADLINE_MS)
    return limit / _MS_PER_SECOND


def parse_priority(headers: HeaderList, default: int = 0) -> int:
    """Return the priority of a request; higher priorities are served first.

    :param headers: names and values as received.
    :param default: used when the header is missing.
    :raises ServingError: ``bad_request``.
    """
    text = single_header(headers, 'x-priority')
    if text is None:
        return default
    return _parse_integer(text, 'X-Priority', 0, MAX_PRIORITY)


def parse_idempotency_key(headers: HeaderList) -> str | None:
    """Return the caller's idempotency key, ``None`` when it is missing.

    :param headers: names and values as received.
    :raises ServingError: ``bad_request``.
    """
    text = single_header(headers, 'idempotency-key')
    if text is None:
        return None
    is_visible = text.isascii() and text.isprintable()
    if not text or len(text) > MAX_IDEMPOTENCY_KEY_CHARS or not is_visible:
        raise _bad_request(
            'Idempotency-Key: must have 1 to 255 visible ASCII characters',
        )
    return text


def single_header(headers: HeaderList, name: str) -> str | None:
    """Return the value of a header, ``None`` when it is missing.

    :param headers: names and values as received.
    :param name: name of the header, in lower case.
    :raises ServingError: ``bad_request`` when the header is repeated with
        different values.
    """
    wanted = name.encode()
    distinct = {
        raw_value.decode('latin-1').strip()
        for raw_name, raw_value in headers
        if raw_name.lower() == wanted
    }
    if len(distinct) > 1:
        raise _bad_request(f'{name}: repeated with different values')
    return next(iter(distinct), None)


def _parse_integer(text: str, name: str, minimum: int, maximum: int) -> int:
    is_number = text.isascii() and text.isdigit()
    # int() of a very long number is slow; callers must not exploit that.
    if is_number and len(text) <= len(str(MAX_DEADLINE_MS)):
        number = int(text)
        if minimum <= number <= maximum:
            return number
    raise _bad_request(
        f'{name}: must be an integer from {minimum} to {maximum}',
    )


def _prompt_tokens(chat: ChatBody) -> int:
    tokens = sum(_message_tokens(message) for message in chat.messages)
    # Tool definitions and schemas become part of the prompt.
    return tokens + _text_tokens(msgspec.json.encode(chat.model_extra or {}))


def _message_tokens(message: ChatMessage) -> int:
    tokens = _TOKENS_PER_MESSAGE
    if message.model_extra:
        tokens += _text_tokens(msgspec.json.encode(message.model_extra))
    if isinstance(message.content, str):
        return tokens + _text_tokens(message.content.encode())
    return tokens + sum(_part_tokens(part) for part in message.content or ())


def _part_tokens(part: dict[str, Any]) -> int:
    text = part.get('text')
    if isinstance(text, str):
        return _text_tokens(text.encode())
    return _TOKENS_PER_PART


def _text_tokens(text: bytes) -> int:
    return math.ceil(len(text) / _BYTES_PER_TOKEN)


def _format_first_error(error: ValidationError) -> str:
    details = error.errors(
        include_input=False,
        include_url=False,
        include_context=False,
    )[0]
    field = '.'.join(str(part) for part in details['loc']) or 'body'
    return f'{field}: {details["msg"]}'


def _bad_request(detail: str) -> ServingError:
    return ServingError(ErrorKind.bad_request, detail)
