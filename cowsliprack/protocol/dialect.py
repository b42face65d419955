"""Interface of the headers that callers and targets of routes speak.

One module speaks each dialect behind it; the request path sees only what the
headers say.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

HeaderPairs = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """What the headers of a caller's request say.

    :param request_id: of this attempt of the caller; empty when missing.
    :param key: of the caller; empty when missing.
    :param seconds_left: for which the caller waits; ``None`` if not said.
    :param model: empty for a plain service.
    :param adapter: empty for the model itself.
    :param prompt_tokens: 0 if not said.
    :param output_tokens: the largest number; 0 if not said.
    :param has_token_counts: whether the caller said how many tokens.
    :param prompt_parts: id and tokens of each part, in order.
    :param resume_after: id of the last event that the caller has.
    """

    request_id: str
    key: str
    seconds_left: float | None
    model: str = ''
    adapter: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    has_token_counts: bool = False
    prompt_parts: tuple[tuple[str, int], ...] = ()
    resume_after: str = ''


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """What a request tells the target beside what the caller sent.

    :param seconds_left: until the target shall stop.
    :param organisation: of the caller's key; empty for an open route.
    :param resume_after: id of the last event that arrived, or empty.
    :param priority: from 0, the most urgent, to 9; ``None`` for the default.
    """

    target_id: str
    seconds_left: float
    organisation: str = ''
    resume_after: str = ''
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class Dialect:
    """Functions that read and write the headers.

    :param read_request: returns what a caller's headers say.
    :param forwarded_headers: returns the headers with which a request goes to
        a target.
    :param returned_headers: returns the headers with which a target's answer
        goes to the caller.
    :param is_response_to: whether an answer belongs to a request id.
    :param is_not_run_response: whether a target's answer (status, headers)
        states that it has not run the request.
    :param is_misdirected: whether a target's answer states that it is not the
        expected one or lacks the model.
    """

    read_request: Callable[[HeaderPairs], RequestMetadata]
    forwarded_headers: Callable[
        [HeaderPairs, ForwardingMetadata],
        list[tuple[bytes, bytes]],
    ]
    returned_headers: Callable[[HeaderPairs], list[tuple[bytes, bytes]]]
    is_response_to: Callable[[HeaderPairs, str], bool]
    is_not_run_response: Callable[[int, HeaderPairs], bool]
    is_misdirected: Callable[[int], bool]
