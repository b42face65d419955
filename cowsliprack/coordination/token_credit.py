"""Rate limits of organisations over all instances of a region.

A limit admits ``rate * window + burst`` tokens in any window. It is enforced
by a bucket whose cap is a part of the burst and whose refill spreads the rest
of the burst over the window, so that successive bursts are admitted.

A part of each limit is divided evenly between the instances and needs no
message; the leader grants the rest on demand. What an instance may spend on
its own stays within the limit even when it is partitioned, and the leader
grants its part only under its lease, so the sum never exceeds the limit.

A request whose tokens will be refilled shortly takes them in advance and
starts once they are refilled, in order of arrival. If it were refused, its
caller would retry later and compete with new requests that are charged first.
"""

import math
from collections import defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cowsliprack.coordination.credit_reserve import (
    EVEN_SHARE_SECONDS,
    InstanceCount,
    ReserveLog,
    reserve_tokens,
)
from cowsliprack.coordination.demand_rates import DemandRates
from cowsliprack.protocol.credit_messages import CreditShare, CreditUse
from cowsliprack.state.routing_table import OrganisationLimits

# Maximum fraction of each limit that is divided between the instances.
_MAX_EVEN_SHARE = 0.5
# Above this number of instances the even share shrinks: a caller uses only a
# few of many instances, so the shares of the others stay unused. A part of the
# limit is then divided by demand.
_FULL_SHARE_INSTANCES = 8
# Fraction of each limit that is divided evenly or by demand in such regions, at
# most; the leader grants the rest to single requests.
_MAX_DIVIDED_SHARE = 0.75
# Minimum fraction of the burst that may be spent at once; burst above one
# second of the rate is refilled over a window instead.
_MIN_CAP_FRACTION = 0.3
# Fraction of the tolerated overrun that instances may accumulate, so that a
# small limit divided by many instances still admits a request.
_SLACK_FRACTION = 0.6
# Number of instances assumed until a leader or its lease object states it. Only
# instances of a system that starts for the first time know of neither. With 10,
# 84 of them exceeded a limit by 6% in the first seconds of a simulation.
_DEFAULT_INSTANCES = 20
# Maximum time for which a refusal of the leader applies to further requests.
_MAX_DENIAL_SECONDS = 0.5
# Maximum time that a request waits for tokens; less than the shortest latency
# target of a stream, 0.4 s.
MAX_WAIT_SECONDS = 0.25


@dataclass(slots=True)
class TokenBucket:
    """Token bucket whose tokens may be taken shortly before their refill.

    :param level: tokens; below zero while requests wait for their refill, and
        after a limit was lowered.
    """

    rate: float
    cap: float
    level: float = 0
    updated_at: float | None = None

    def refill(self, now: float) -> None:
        """Add the tokens refilled since the last call.

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
        """Return how long until a number of tokens is available.

        :param tokens: wanted.
        """
        missing = min(tokens, self.cap) - self.level
        if missing <= 0:
            return 0
        return missing / self.rate if self.rate else 60

    def take(self, tokens: float, now: float) -> float | None:
        """Take tokens that are available or will be refilled shortly.

        :param tokens: wanted.
        :param now: seconds.
        :returns: seconds until they may be used; ``None``, with nothing taken,
            if that exceeds the maximum wait.
        """
        self.refill(now)
        wait = self.seconds_until(tokens)
        if wait > MAX_WAIT_SECONDS:
            return None
        self.level -= tokens
        return wait


def bucket_limits(
    organisation: OrganisationLimits,
    window: float,
) -> tuple[float, float]:
    """Return the refill rate and cap of the bucket that enforces a limit.

    :param organisation: with its rate and burst.
    :param window: in which the limit holds, seconds.
    :returns: tokens a second, and tokens.
    """
    min_cap = organisation.burst * _MIN_CAP_FRACTION
    cap = min(organisation.burst, max(organisation.rate, min_cap))
    return organisation.rate + (organisation.burst - cap) / window, cap


def demand_share(instances: int) -> float:
    """Return the fraction of each limit divided by demand.

    Few instances hold even parts that are large enough.

    :param instances: that share the limits.
    """
    if instances <= _FULL_SHARE_INSTANCES:
        return 0
    return _MAX_DIVIDED_SHARE - even_share(instances)


def even_share(instances: int) -> float:
    """Return the fraction of each limit divided between the instances.

    :param instances: that share the limits.
    """
    share = _MAX_EVEN_SHARE * _FULL_SHARE_INSTANCES / max(instances, 1)
    return min(_MAX_EVEN_SHARE, share)


@dataclass(slots=True)
class _Account:
    """Credit of one organisation on this instance.

    :param share: bucket of this instance's even share.
    :param reserve: what it has used of its part of the tolerance.
    :param held: bucket of the part that the leader has divided by demand.
    :param held_limit: tokens that the whole limit admitted in a window when it
        was divided.
    :param granted: tokens granted by the leader after their request gave up.
    :param reserve_tokens: its part of the tolerance, in a window.
    :param denied_until: until when the leader has nothing to grant, seconds.
    :param next_slot_at: when one more refused request may retry, seconds.
    """

    share: TokenBucket
    reserve: ReserveLog
    held: TokenBucket = field(default_factory=lambda: TokenBucket(0, 0))
    held_limit: float = 0
    granted: float = 0
    reserve_tokens: float = 0
    denied_until: float = 0
    next_slot_at: float = 0


@dataclass(slots=True)
class TokenCredit:
    """Credit of one instance for all organisations.

    :param slack: tokens by which all instances together may exceed a limit
        in a window.
    :param window: in which limits hold, seconds.
    :param instances: that share the limits.
    :param wanted: tokens a second of all requests, by organisation.
    :param overrun: tolerated fraction by which all instances together may
        exceed a limit in a window, beside the slack.
    :param started_at: when the process started, seconds.
    """

    slack: float
    window: float
    instances: int = _DEFAULT_INSTANCES
    wanted: DemandRates = field(default_factory=DemandRates)
    overrun: float = 0
    started_at: float = -math.inf
    _accounts_by_name: dict[str, _Account] = field(default_factory=dict)
    _count: InstanceCount = field(default_factory=InstanceCount)
    # Time of the last view of a leader, seconds; ``None`` before the first.
    _heard_at: float | None = None

    def observe_instances(
        self, count: int, now: float, *, is_view: bool = True
    ) -> None:
        """Record the number of instances that share the limits.

        A leader counts few instances in the first moments of its term, and
        those that it has lost may still run, so the highest number counts.

        :param count: as a leader reports it.
        :param now: seconds.
        :param is_view: whether a view states it, not the lease object.
        """
        self.instances = self._count.observe(count, now)
        if is_view:
            self._heard_at = now

    def known_instances(self) -> int:
        """Return the number of instances; 0 if none was observed."""
        return self.instances if self._count.most else 0

    def spend(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        now: float,
    ) -> bool:
        """Take the tokens of a request if all are available.

        :param organisation: organisation that is charged.
        :param tokens: tokens of the request.
        :param now: seconds.
        :returns: whether they were taken.
        """
        if not organisation.rate:
            return True
        account = self._account(organisation, now)
        held = max(account.held.level, 0)
        if held + account.share.level + account.granted < tokens:
            return False
        of_held = min(held, tokens)
        account.held.level -= of_held
        granted = min(account.granted, tokens - of_held)
        account.granted -= granted
        account.share.level -= tokens - of_held - granted
        return True

    def spend_alone(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        now: float,
    ) -> float:
        """Take tokens that need no leader, with those of the reserve.

        :param organisation: organisation that is charged.
        :param tokens: wanted.
        :param now: seconds.
        :returns: number of tokens that are still missing. The others have been
            taken and are returned by ``take_back`` if the request is refused.
        """
        if not organisation.rate:
            return 0
        account = self._account(organisation, now)
        of_held = min(max(account.held.level, 0), tokens)
        account.held.level -= of_held
        granted = min(account.granted, tokens - of_held)
        account.granted -= granted
        missing = tokens - of_held - granted
        return missing - self._take_own(account, missing, now)

    def lend(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        now: float,
    ) -> int:
        """Take tokens of the even share and the reserve for another instance.

        :param organisation: organisation that the other instance charges.
        :param tokens: wanted.
        :param now: seconds.
        :returns: number of tokens, at most the wanted one.
        """
        if not organisation.rate:
            return 0
        account = self._account(organisation, now)
        available = max(account.share.level, 0) + self._reserve_left(
            account, now
        )
        lent = int(min(available, tokens))
        self._take_own(account, lent, now)
        return lent

    def take_back(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        now: float,
    ) -> None:
        """Return tokens that ``lend`` or ``spend_alone`` has just taken.

        :param organisation: organisation that they are of.
        :param tokens: number of tokens that have not been used.
        :param now: seconds.
        """
        account = self._account(organisation, now)
        rest = tokens - account.reserve.undo(tokens)
        self.give_back(organisation, rest, now)

    def _take_own(self, account: _Account, tokens: float, now: float) -> float:
        of_share = min(max(account.share.level, 0), tokens)
        account.share.level -= of_share
        of_reserve = min(self._reserve_left(account, now), tokens - of_share)
        account.reserve.use(of_reserve, now)
        return of_share + of_reserve

    def _reserve_left(self, account: _Account, now: float) -> float:
        return account.reserve.left(
            account.reserve_tokens, self.started_at, now
        )

    def give_back(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        now: float,
    ) -> None:
        """Return the tokens of a request that has not run.

        :param organisation: organisation that was charged.
        :param tokens: tokens of the request.
        :param now: seconds.
        """
        if not organisation.rate:
            return
        account = self._account(organisation, now)
        of_held = min(tokens, max(account.held.cap - account.held.level, 0))
        account.held.level += of_held
        share = account.share
        share.level = min(share.cap, share.level + tokens - of_held)

    def take_all(
        self,
        organisation: OrganisationLimits,
        now: float,
    ) -> float:
        """Take and return all available tokens.

        :param organisation: organisation that is charged.
        :param now: seconds.
        """
        account = self._account(organisation, now)
        of_held = max(account.held.level, 0)
        account.held.level -= of_held
        of_share = max(account.share.level, 0)
        account.share.level -= of_share
        granted = account.granted
        account.granted = 0
        return of_held + of_share + granted

    def spend_ahead(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        now: float,
    ) -> float | None:
        """Take tokens of an own part that will be refilled shortly.

        :param organisation: organisation that is charged.
        :param tokens: tokens of one request.
        :param now: seconds.
        :returns: seconds until they may be used, ``None`` if none were taken.
        """
        account = self._account(organisation, now)
        if tokens <= account.held.cap:
            wait = account.held.take(tokens, now)
            if wait is not None:
                return wait
        if tokens > account.share.cap:
            # Debts of all instances at once exceed small limits.
            return None
        return account.share.take(tokens, now)

    def refuse(
        self,
        organisation: OrganisationLimits,
        tokens: float,
        now: float,
    ) -> float:
        """Return the seconds after which a refused request may retry.

        Each refusal reserves the time that the refill needs for its request,
        so that refused requests do not all retry at the same time.

        :param organisation: organisation that is charged.
        :param tokens: tokens of the request.
        :param now: seconds.
        """
        account = self._account(organisation, now)
        rate, _ = bucket_limits(organisation, self.window)
        own = min(account.share.seconds_until(tokens), _MAX_DENIAL_SECONDS)
        if tokens <= account.held.cap:
            own = min(own, account.held.seconds_until(tokens))
        following_slot_at = max(account.next_slot_at, now) + tokens / rate
        account.next_slot_at = max(following_slot_at, now + own)
        return account.next_slot_at - now

    def apply_shares(
        self,
        shares: Iterable[CreditShare],
        organisations_by_name: Mapping[str, OrganisationLimits],
        now: float,
    ) -> None:
        """Apply the leader's division of the limits by demand.

        :param shares: all parts of this instance.
        :param organisations_by_name: the configured ones.
        :param now: seconds.
        """
        by_name = {share.organisation: share for share in shares}
        for name, organisation in organisations_by_name.items():
            if name not in by_name and name not in self._accounts_by_name:
                continue
            account = self._account(organisation, now)
            share = by_name.get(name) or CreditShare(name, 0, 0, 0)
            self._apply_share(account, share, now)

    def _apply_share(
        self, account: _Account, share: CreditShare, now: float
    ) -> None:
        held = account.held
        if share.rate and not held.rate:
            # The leader has counted the saved tokens of a new part.
            account.held = TokenBucket(share.rate, share.cap, share.cap, now)
        elif share.rate != held.rate:
            held.limit(share.rate, share.cap, now)
        account.held_limit = share.limit

    def uses(self, now: float) -> tuple[CreditUse, ...]:
        """Return the demand and the parts by organisation, for the leader.

        :param now: seconds.
        """
        found = (
            CreditUse(name, self.wanted.rate(name, now), account.held.rate)
            for name, account in self._accounts_by_name.items()
        )
        return tuple(use for use in found if use.wanted >= 1 or use.rate)

    def is_denied(self, organisation: OrganisationLimits, now: float) -> bool:
        """Return whether the leader recently had nothing to grant.

        :param organisation: organisation that needs tokens.
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
        """Apply an answer of the leader that no request waits for.

        :param organisation: organisation whose tokens were requested.
        :param tokens: tokens granted.
        :param retry_after: seconds, where nothing was granted.
        :param now: seconds.
        """
        account = self._account(organisation, now)
        account.granted += tokens
        if not tokens:
            account.denied_until = now + min(retry_after, _MAX_DENIAL_SECONDS)
            account.next_slot_at = max(account.next_slot_at, now + retry_after)

    def _account(
        self, organisation: OrganisationLimits, now: float
    ) -> _Account:
        whole_rate, whole_cap = bucket_limits(organisation, self.window)
        even = even_share(self.instances)
        heard_at = self.started_at if self._heard_at is None else self._heard_at
        if now - heard_at > EVEN_SHARE_SECONDS and self._count.most:
            # The leader may have divided it among the others.
            even = 0
        rate = whole_rate * even / self.instances
        even_cap = whole_cap * even + self.slack * _SLACK_FRACTION
        cap = even_cap / self.instances
        account = self._accounts_by_name.get(organisation.name)
        if account is None:
            # The accumulated part of the slack starts at 0 and builds up only
            # while the share is unused.
            initial_level = whole_cap * even / self.instances
            if math.isfinite(self.started_at):
                # An account is opened with its first request, but its share
                # belongs to the instance since the process started.
                gained = rate * (now - self.started_at)
                initial_level = min(cap, initial_level + gained)
            account = _Account(
                TokenBucket(rate, cap, initial_level), ReserveLog(self.window)
            )
            self._accounts_by_name[organisation.name] = account
        account.share.limit(rate, cap, now)
        if self._count.most:
            # Without the number of instances, all together would use more.
            reserve = reserve_tokens(
                whole_rate * self.window + whole_cap,
                whole_cap * even_share(self.instances),
                self.overrun,
                self.slack,
            )
            account.reserve_tokens = reserve / self._count.most
        self._limit_held(account, whole_rate * self.window + whole_cap, now)
        return account

    def _limit_held(self, account: _Account, limit: float, now: float) -> None:
        """Scale a part down with a limit that has been lowered since."""
        held = account.held
        if held.rate and limit < account.held_limit:
            factor = limit / account.held_limit
            held.limit(held.rate * factor, held.cap * factor, now)
            account.held_limit = limit
        held.refill(now)


@dataclass(slots=True)
class LeaderTokenCredit:
    """Credit that the leader may grant to instances.

    Buckets start empty, because the previous leader may have granted as much.

    :param window: in which limits hold, seconds.
    """

    window: float
    _buckets_by_name: dict[str, TokenBucket] = field(default_factory=dict)
    # Tokens that may be granted in a window.
    _most_by_name: dict[str, float] = field(default_factory=dict)
    # Grants of the last window: time and tokens.
    _grants_by_name: defaultdict[str, deque[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(deque)
    )
    # When one more refused request may retry, seconds.
    _next_slot_at_by_name: dict[str, float] = field(default_factory=dict)

    def limit(
        self,
        organisations: list[OrganisationLimits],
        instances: int,
        now: float,
        divided_by_name: Mapping[str, float] | None = None,
    ) -> None:
        """Apply the limits of the current configuration.

        :param organisations: every organisation.
        :param instances: that share the limits.
        :param now: seconds.
        :param divided_by_name: tokens a window that instances hold by demand.
        """
        divided = divided_by_name or {}
        known = {organisation.name for organisation in organisations}
        for removed in set(self._buckets_by_name) - known:
            self._buckets_by_name.pop(removed)
        for organisation in organisations:
            name = organisation.name
            whole_rate, whole_cap = bucket_limits(organisation, self.window)
            limit = whole_rate * self.window + whole_cap
            most = limit * (1 - even_share(instances)) - divided.get(name, 0)
            self._most_by_name[name] = most
            central = max(most / limit, 0) if limit else 0
            rate = whole_rate * central
            cap = whole_cap * central
            bucket = self._buckets_by_name.setdefault(
                name,
                TokenBucket(rate, cap),
            )
            bucket.limit(rate, cap, now)

    def granted(self, name: str, now: float) -> float:
        """Return the tokens that were granted in the last window.

        :param name: of the organisation.
        :param now: seconds.
        """
        grants = self._grants_by_name[name]
        # A grant may be used some tenths of a second later.
        oldest = now - self.window - MAX_WAIT_SECONDS
        while grants and grants[0][0] < oldest:
            grants.popleft()
        return sum(tokens for _, tokens in grants)

    def grant(
        self,
        name: str,
        tokens: float,
        now: float,
    ) -> tuple[float, float]:
        """Grant tokens to an instance, all or none.

        :param name: of the organisation.
        :param tokens: requested number.
        :param now: seconds.
        :returns: the tokens and the seconds until they may be used, or 0 and
            the seconds after which to ask again.
        """
        bucket = self._buckets_by_name.get(name)
        if bucket is None:
            return 0, 1
        wait = None
        if self.granted(name, now) + tokens <= self._most_by_name[name]:
            wait = bucket.take(tokens, now)
        if wait is not None:
            self._grants_by_name[name].append((now, tokens))
            return tokens, wait
        next_slot_at = max(
            self._next_slot_at_by_name.get(name, 0),
            now + bucket.seconds_until(tokens) - MAX_WAIT_SECONDS,
        )
        seconds = tokens / bucket.rate if bucket.rate else 1
        self._next_slot_at_by_name[name] = next_slot_at + seconds
        return 0, max(next_slot_at - now, MAX_WAIT_SECONDS)
