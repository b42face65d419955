"""Rate limits of organisations over all instances of a region.

A limit admits ``rate * window + burst`` tokens in any window. It is kept as a
bucket whose cap is a part of the burst and whose refill spreads the rest of
the burst over the window, so that bursts that follow each other are admitted.

A part of each limit is divided evenly between the instances and needs no
message; the leader grants the rest on demand. What an instance may spend on
its own stays within the limit however it is cut off, and what the leader has
is granted only under its lease, so the sum never exceeds the limit.

A request for which there will be tokens in a moment gets them in advance and
begins when they are there, in the order of arrival: a refusal would bring its
caller back later, beside new requests that are charged first.
"""

from dataclasses import dataclass, field

from cowsliprack.state.routing_table import OrganisationLimits

# Largest part of each limit that is divided evenly between the instances.
_LARGEST_EVEN_SHARE = 0.5
# Instances above which the even part shrinks: a caller uses only a few of
# many instances, so what is divided between all of them stays unused.
_FEW_INSTANCES = 8
# Least part of the burst that may be spent at once; what lies above one second
# of the rate refills over a window instead.
_CAP_SHARE = 0.3
# Part of the tolerated overrun that instances may save up, so that a small
# limit divided by many instances still admits a request.
_SLACK_SHARE = 0.6
# Instances assumed until the leader has told their number.
_ASSUMED_INSTANCES = 10
# Seconds for which a refusal of the leader answers further requests.
_LONGEST_DENIAL = 0.5
# Seconds that a request waits for tokens at most; less than the shortest
# latency target of a stream, 0.4 s.
LONGEST_WAIT = 0.25


@dataclass(slots=True)
class TokenBucket:
    """Tokens that refill at a rate up to a cap.

    :param level: tokens; below zero while requests wait for them, and after a
        limit was lowered.
    """

    rate: float
    cap: float
    level: float = 0
    updated_at: float | None = None

    def refill(self, now: float) -> None:
        """Add what has come since the last call.

        :param now: seconds.
        """
        last = now if self.updated_at is None else self.updated_at
        gained = max(now - last, 0) * self.rate
        self.level = min(self.cap, self.level + gained)
        self.updated_at = now

    def limit(self, rate: float, cap: float, now: float) -> None:
        """Change rate and cap.

        :param rate: tokens a second.
        :param cap: tokens.
        :param now: seconds.
        """
        self.refill(now)
        self.rate = rate
        self.cap = cap
        self.level = min(self.level, cap)

    def seconds_until(self, tokens: float) -> float:
        """Return how long until a number of tokens is there.

        :param tokens: wanted.
        """
        missing = min(tokens, self.cap) - self.level
        if missing <= 0:
            return 0
        return missing / self.rate if self.rate else 60

    def take(self, tokens: float, now: float) -> float | None:
        """Take tokens that are there or will be there in a moment.

        :param tokens: wanted.
        :param now: seconds.
        :returns: seconds until they may be used, ``None`` if that is too long
            and nothing was taken.
        """
        self.refill(now)
        wait = self.seconds_until(tokens)
        if wait > LONGEST_WAIT:
            return None
        self.level -= tokens
        return wait


def bucket_limits(
    organisation: OrganisationLimits,
    window: float,
) -> tuple[float, float]:
    """Return refill and cap of the bucket that keeps a limit.

    :param organisation: with its rate and burst.
    :param window: in which the limit holds, seconds.
    :returns: tokens a second, and tokens.
    """
    least = organisation.burst * _CAP_SHARE
    cap = min(organisation.burst, max(organisation.rate, least))
    return organisation.rate + (organisation.burst - cap) / window, cap


def even_share(instances: int) -> float:
    """Return the part of each limit that is divided between the instances.

    :param instances: that share the limits.
    """
    share = _LARGEST_EVEN_SHARE * _FEW_INSTANCES / max(instances, 1)
    return min(_LARGEST_EVEN_SHARE, share)


@dataclass(slots=True)
class _Account:
    """What an instance may spend for one organisation.

    :param share: the even share.
    :param granted: tokens of the leader whose request did not wait for them.
    :param denied_until: the leader has said that there is nothing before.
    :param room_at: when there is room for one more refused request.
    """

    share: TokenBucket
    granted: float = 0
    denied_until: float = 0
    room_at: float = 0


@dataclass(slots=True)
class TokenCredit:
    """What one instance may spend.

    :param slack: tokens by which all instances together may exceed a limit
        in a window.
    :param window: in which limits hold, seconds.
    :param instances: that share the limits.
    """

    slack: float
    window: float
    instances: int = _ASSUMED_INSTANCES
    _accounts_by_name: dict[str, _Account] = field(default_factory=dict)

    def spend(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        now: float,
    ) -> bool:
        """Take tokens, if there are as many; else take nothing.

        :param organisation: whom they are charged to.
        :param tokens: of one request.
        :param now: seconds.
        """
        if not organisation.rate:
            return True
        account = self._account(organisation, now)
        if account.share.level + account.granted < tokens:
            return False
        granted = min(account.granted, tokens)
        account.granted -= granted
        account.share.level -= tokens - granted
        return True

    def give_back(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        now: float,
    ) -> None:
        """Return the tokens of a request that has not run.

        :param organisation: whom they were charged to.
        :param tokens: of the request.
        :param now: seconds.
        """
        if organisation.rate:
            share = self._account(organisation, now).share
            share.level = min(share.cap, share.level + tokens)

    def take_all(
        self,
        organisation: OrganisationLimits,
        now: float,
    ) -> float:
        """Take and return the tokens that are there.

        :param organisation: whom they are for.
        :param now: seconds.
        """
        account = self._account(organisation, now)
        rest = max(account.share.level, 0)
        account.share.level -= rest
        granted = account.granted
        account.granted = 0
        return rest + granted

    def spend_ahead(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        now: float,
    ) -> float | None:
        """Take tokens of the even share that will be there in a moment.

        :param organisation: whom they are charged to.
        :param tokens: of one request.
        :param now: seconds.
        :returns: seconds until they may be used, ``None`` if there are none.
        """
        return self._account(organisation, now).share.take(tokens, now)

    def refuse(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        now: float,
    ) -> float:
        """Return after how many seconds a refused request may come back.

        Each refusal takes the room of one request, so that not all come back
        at the same time.

        :param organisation: whom it is charged to.
        :param tokens: of the request.
        :param now: seconds.
        """
        account = self._account(organisation, now)
        rate, _ = bucket_limits(organisation, self.window)
        own = min(account.share.seconds_until(tokens), _LONGEST_DENIAL)
        next_room_at = max(account.room_at, now) + tokens / rate
        account.room_at = max(next_room_at, now + own)
        return account.room_at - now

    def is_denied(self, organisation: OrganisationLimits, now: float) -> bool:
        """Return whether the leader lately had nothing to grant.

        :param organisation: whom tokens are wanted for.
        :param now: seconds.
        """
        return now < self._account(organisation, now).denied_until

    def apply_leader_answer(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        retry_after: float,
        now: float,
    ) -> None:
        """Take an answer of the leader that no request waits for.

        :param organisation: whom tokens were asked for.
        :param tokens: granted.
        :param retry_after: seconds, where nothing was granted.
        :param now: seconds.
        """
        account = self._account(organisation, now)
        account.granted += tokens
        if not tokens:
            account.denied_until = now + min(retry_after, _LONGEST_DENIAL)
            account.room_at = max(account.room_at, now + retry_after)

    def _account(
        self, organisation: OrganisationLimits, now: float
    ) -> _Account:
        whole_rate, whole_cap = bucket_limits(organisation, self.window)
        even = even_share(self.instances)
        rate = whole_rate * even / self.instances
        saved = whole_cap * even + self.slack * _SLACK_SHARE
        cap = saved / self.instances
        account = self._accounts_by_name.get(organisation.name)
        if account is None:
            # What is saved of the slack builds up only while it is unused.
            start = whole_cap * even / self.instances
            account = _Account(TokenBucket(rate, cap, start))
            self._accounts_by_name[organisation.name] = account
        account.share.limit(rate, cap, now)
        return account


@dataclass(slots=True)
class LeaderTokenCredit:
    """What the leader may grant; starts empty, since it may follow another.

    :param window: in which limits hold, seconds.
    """

    window: float
    _levels_by_name: dict[str, TokenBucket] = field(default_factory=dict)
    # When there is room for one more refused request.
    _room_at_by_name: dict[str, float] = field(default_factory=dict)

    def limit(
        self,
        organisations: list[OrganisationLimits],
        instances: int,
        now: float,
    ) -> None:
        """Take the limits in force.

        :param organisations: every organisation.
        :param instances: that share the limits.
        :param now: seconds.
        """
        central = 1 - even_share(instances)
        known = {organisation.name for organisation in organisations}
        for name in set(self._levels_by_name) - known:
            self._levels_by_name.pop(name)
        for organisation in organisations:
            whole_rate, whole_cap = bucket_limits(organisation, self.window)
            rate = whole_rate * central
            cap = whole_cap * central
            level = self._levels_by_name.setdefault(
                organisation.name,
                TokenBucket(rate, cap),
            )
            level.limit(rate, cap, now)

    def grant(
        self,
        name: str,
        tokens: float,
        now: float,
    ) -> tuple[float, float]:
        """Return the tokens granted, and seconds.

        :param name: of the organisation.
        :param tokens: wanted; all or nothing is granted.
        :param now: seconds.
        :returns: the tokens and after how long they may be used, or 0 and
            after how long to ask again.
        """
        level = self._levels_by_name.get(name)
        if level is None:
            return 0, 1
        wait = level.take(tokens, now)
        if wait is not None:
            return tokens, wait
        room_at = max(
            self._room_at_by_name.get(name, 0),
            now + level.seconds_until(tokens) - LONGEST_WAIT,
        )
        self._room_at_by_name[name] = room_at + tokens / level.rate
        return 0, room_at - now
