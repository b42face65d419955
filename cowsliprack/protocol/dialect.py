"""Interface for the headers that callers and targets of routes use.

Each dialect is implemented by one module; the request path depends only on
the parsed headers.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

HeaderPairs = Sequence[tuple[bytes, bytes]]


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Parsed headers of a caller's request.

    :param request_id: id of this attempt of the caller; empty when missing.
    :param key: API key of the caller; empty when missing.
    :param seconds_left: time until the caller gives up; ``None`` when missing.
    :param model: empty for a plain service.
    :param adapter: empty for the model itself.
    :param prompt_tokens: 0 when missing.
    :param output_tokens: maximum number of output tokens; 0 when missing.
    :param has_token_counts: whether the headers state token counts.
    :param prompt_parts: id and token count of each part, in order.
    :param resume_after: id of the last event that the caller received; empty
        for a new stream.
    :param continued_id: id of the caller's attempt that brought the first event
        of the stream; empty for a new stream.
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
    continued_id: str = ''


@dataclass(frozen=True, slots=True)
class ForwardingMetadata:
    """Values that the gateway adds to a request to a target.

    :param target_id: id of the target that the request is meant for.
    :param seconds_left: time until the target must stop.
    :param organisation: owner of the caller's key; empty for an open route.
    :param resume_after: id of the last event received; empty for a new stream.
    :param priority: from 0, the most urgent, to 9; ``None`` for the default.
    """

    target_id: str
    seconds_left: float
    organisation: str = ''
    resume_after: str = ''
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class TargetNotice:
    """What a target says of itself in the headers of a response.

    :param is_leaving: whether it is about to end.
    :param retry_after: seconds for which it wants no request of this instance;
        0 for none.
    :param brittle_rate: requests per second that it can turn away for want of
        room before it fails; ``None`` if it is not brittle.
    :param cold_seconds: time for which it stays cold; 0 if it does not say.
    """

    is_leaving: bool = False
    retry_after: float = 0
    brittle_rate: float | None = None
    cold_seconds: float = 0


@dataclass(frozen=True, slots=True)
class Dialect:
    """Functions that read and write the headers.

    :param read_request: parses the headers of a caller's request.
    :param forwarded_headers: returns the headers of the request to a target.
    :param returned_headers: returns the headers of the response to the caller.
    :param is_response_to: whether the headers of a response carry a request
        id.
    :param is_not_run_response: whether a target's response (status, headers)
        states that it has not run the request.
    :param stated_limit: returns the requests per second that a target says it
        takes from all instances together; ``None`` for no limit.
    :param read_notice: returns what a target's response (status, headers) says
        of the target.
    :param is_misdirected: whether the status states that the target is not
        the expected one or lacks the model.
    """

    read_request: Callable[[HeaderPairs], RequestMetadata]
    forwarded_headers: Callable[
        [HeaderPairs, ForwardingMetadata],
        list[tuple[bytes, bytes]],
    ]
    returned_headers: Callable[[HeaderPairs], list[tuple[bytes, bytes]]]
    is_response_to: Callable[[HeaderPairs, str], bool]
    is_not_run_response: Callable[[int, HeaderPairs], bool]
    stated_limit: Callable[[HeaderPairs], float | None]
    read_notice: Callable[[int, HeaderPairs], TargetNotice]
    is_misdirected: Callable[[int], bool]
