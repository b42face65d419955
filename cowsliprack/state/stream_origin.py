"""What began a stream that a caller may take up again."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """Service and software version of the target that began a stream.

    :param software_version: empty if any version may go on.
    """

    service: str
    software_version: str


@dataclass(frozen=True, slots=True)
class FoundOrigin:
    """Result of a search for the origin of a stream.

    :param origin: ``None`` if it is unknown.
    :param source: what the result rests on, for the log.
    """

    origin: StreamOrigin | None
    source: str
