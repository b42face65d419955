"""Counts of recent answers by the digest of a request or prompt part."""

import math
from dataclasses import dataclass, field

# Time after the last answer for which the answers count as recent. Innocent
# requests come again within it; what is in force on targets rarely changes.
_LIFETIME_SECONDS = 60


@dataclass(slots=True)
class _Answers:
    count: int = 0
    expires_at: float = -math.inf


@dataclass(slots=True)
class RecentAnswers:
    """Number of recent answers by digest; the oldest ones are dropped.

    :param max_digests: number of digests that are stored.
    """

    max_digests: int
    _by_digest: dict[str, _Answers] = field(default_factory=dict)

    def count(self, digest: str, now: float) -> int:
        """Return the number of recent answers.

        :param digest: of a request or a prompt part.
        :param now: seconds.
        """
        answers = self._by_digest.get(digest)
        if answers is None or answers.expires_at <= now:
            return 0
        return answers.count

    def record(self, digest: str, now: float) -> None:
        """Count an answer.

        :param digest: of a request or a prompt part.
        :param now: seconds.
        """
        count = self.count(digest, now)
        # The newest is the last, so that the oldest is dropped at the bound.
        self._by_digest.pop(digest, None)
        self._by_digest[digest] = _Answers(count + 1, now + _LIFETIME_SECONDS)
        if len(self._by_digest) > self.max_digests:
            self._by_digest.pop(next(iter(self._by_digest)))
