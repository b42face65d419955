"""Rate limits of organisations over all instances of a region.

A limit admits ``rate * window + burst`` tokens in any window. It is kept as a
bucket whose cap is a part of the burst and whose refill spreads the rest of
the burst over the window, so that bursts that follow each other are admitted.

A part of each limit is divided evenly between the instances and needs no
message; the leader grants the rest on demand. What an instance may spend on
its own stays within the limit however it is cut off, and what the leader has
is granted only under its lease, so the sum never exceeds the limit.
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


@dataclass(slots=True)
class TokenLevel:
    """Tokens that refill at a rate up to a cap.

    :param level: tokens; below zero after a limit was lowered.
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
    :param granted: tokens of the leader.
    :param denied_until: the leader has said that there is nothing before.
    """

    share: TokenLevel
    granted: float = 0
    denied_until: float = 0


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

    def missing(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        now: float,
    ) -> float:
        """Return the tokens to ask the leader for.

        :param organisation: whom they are for.
        :param tokens: of one request.
        :param now: seconds.
        """
        account = self._account(organisation, now)
        return max(tokens - account.share.level - account.granted, 0)

    def denied_for(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        now: float,
    ) -> float:
        """Return after how many seconds a request may come back.

        :param organisation: whom it is charged to.
        :param tokens: of the request.
        :param now: seconds.
        """
        account = self._account(organisation, now)
        own = account.share.seconds_until(tokens)
        denied = account.denied_until - now
        return denied if 0 < denied < own else own

    def is_denied(self, organisation: OrganisationLimits, now: float) -> bool:
        """Return whether the leader lately had nothing to grant.

        :param organisation: whom tokens are wanted for.
        :param now: seconds.
        """
        return now < self._account(organisation, now).denied_until

    def on_answer(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        retry_after: float,
        now: float,
    ) -> None:
        """Take the answer of the leader.

        :param organisation: whom tokens were asked for.
        :param tokens: granted.
        :param retry_after: seconds, where nothing was granted.
        :param now: seconds.
        """
        account = self._account(organisation, now)
        account.granted += tokens
        if not tokens:
            account.denied_until = now + min(retry_after, _LONGEST_DENIAL)

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
            account = _Account(TokenLevel(rate, cap, start))
            self._accounts_by_name[organisation.name] = account
        account.share.limit(rate, cap, now)
        return account


@dataclass(slots=True)
class TokenBank:
    """What the leader may grant; starts empty, since it may follow another.

    :param window: in which limits hold, seconds.
    """

    window: float
    _levels_by_name: dict[str, TokenLevel] = field(default_factory=dict)

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
                TokenLevel(rate, cap),
            )
            level.limit(rate, cap, now)

    def grant(
        self,
        name: str,
        tokens: float,
        now: float,
    ) -> tuple[float, float]:
        """Return the tokens granted and else when to ask again, in seconds.

        :param name: of the organisation.
        :param tokens: wanted; all or nothing is granted.
        :param now: seconds.
        """
        level = self._levels_by_name.get(name)
        if level is None:
            return 0, 1
        level.refill(now)
        if level.level < tokens:
            return 0, level.seconds_until(tokens)
        level.level -= tokens
        return tokens, 0
