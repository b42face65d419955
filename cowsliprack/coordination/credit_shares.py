"""Parts of the organisations' limits that instances hold by their demand.

Pattern of load: callers of an organisation use a few of hundreds of instances,
so that an even part of its limit is smaller than one request. An instance that
holds a part as large as its demand admits requests while the leader is late,
changes or is lost.

What an instance may still use counts until its report shows that it uses less,
and then for one window more, so the parts never sum up to more than is divided.
"""

import math
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass, field

from cowsliprack.coordination.token_credit import (
    bucket_limits,
    demand_share,
    even_share,
)
from cowsliprack.protocol.credit_messages import CreditShare, CreditUse
from cowsliprack.protocol.gateway_messages import PeerView
from cowsliprack.protocol.message_level import OVERLOAD_LEVEL, message_level
from cowsliprack.state.routing_table import OrganisationLimits

# Time for which an instance keeps its parts without a view of a leader. A
# leader counts those of silent instances for longer.
SHARE_LIFETIME_SECONDS = 30.0
_COUNTED_SECONDS = 60.0
# Tokens that a part may save up: about one large request.
_SAVED_TOKENS = 2000.0
# A limit that admits fewer tokens in a window is not divided: its requests come
# too unevenly for parts of it, and the rest would serve few of them at a time.
_MIN_LIMIT = 400_000.0
# Parts in multiples of the demand: at most, since requests come unevenly, and
# at least. Hysteresis keeps a limit from being divided again and again.
_MAX_COVER = 1.5
_MIN_COVER = 0.7
_MIN_KEPT_COVER = 0.45
# An instance with less demand, in tokens a second, asks the leader each time.
_MIN_WANTED = 50.0
# Demand is averaged over this time; parts do not follow single requests.
_AVERAGING_SECONDS = 15.0
# A part changes if the wanted rate differs by more than these factors.
_RAISE_FACTOR = 1.3
_LOWER_FACTOR = 0.5
_INTERVAL_SECONDS = 0.4
# A part is at most this fraction of what is divided. A new leader allows for
# twice that per instance that it has not heard of: one that follows a leader
# of another build may lower larger parts only to half.
_MAX_PART = 1 / 16
_UNHEARD_PART = 1 / 8


def unheard_fraction(
    peers: Iterable[PeerView], heard: Collection[str]
) -> float:
    """Return the fraction of the divided limits that others may still hold.

    :param peers: all instances that the last leader knew; none if unknown.
    :param heard: ids of those that have reported to this leader.
    """
    known = tuple(peers)
    levels = [message_level(peer.boot) for peer in known]
    if min(levels, default=0) < OVERLOAD_LEVEL:
        # Parts of earlier builds may be of any size.
        is_heard = {peer.instance_id for peer in known}.issubset(heard)
        return 0 if known and is_heard else 1
    missing = sum(peer.instance_id not in heard for peer in known)
    return min(missing * _UNHEARD_PART, 1)


@dataclass(slots=True)
class _Holder:
    """What one instance holds of the limit of one organisation.

    :param told: rate that it was last told, tokens a second.
    :param held: rate that it last reported.
    :param wanted: its average demand, tokens a second.
    :param seen_at: time of that report, seconds.
    :param boot: id of its process.
    """

    told: float = 0
    held: float = 0
    wanted: float = 0
    seen_at: float = 0
    boot: str = ''

    def cost(self, window: float) -> float:
        """Return the tokens that it may use in a window."""
        rate = max(self.told, self.held)
        return rate * window + _SAVED_TOKENS if rate else 0


@dataclass(slots=True)
class CreditShares:
    """Division of the organisations' limits by the leader of a region.

    :param window: in which limits hold, seconds.
    :param known_at: until then, parts that earlier leaders have told may be
        unknown, seconds.
    :param raised_from: no part is raised before, seconds. An earlier leader may
        have granted tokens in the last window.
    :param unheard: until ``known_at``, the fraction of what is divided that
        instances may hold of which this leader has not heard.
    :param divided_by_name: tokens a window that instances may use of their
        parts, by organisation, as of the last division.
    """

    window: float
    known_at: float
    raised_from: float
    unheard: float = 1
    divided_by_name: dict[str, float] = field(default_factory=dict)
    _holders_by_name: defaultdict[str, dict[str, _Holder]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    # Tokens of parts that were lowered, with the time until which they count.
    _lowered_by_name: defaultdict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _limit_by_name: dict[str, float] = field(default_factory=dict)
    _budget_by_name: dict[str, float] = field(default_factory=dict)
    _divided_at: float = float('-inf')

    def apply_report(
        self,
        instance_id: str,
        boot: str,
        uses: Iterable[CreditUse],
        now: float,
    ) -> None:
        """Apply what an instance reports of its parts and its demand.

        :param instance_id: its id.
        :param boot: id of its process.
        :param uses: of the organisations that it has demand for or parts of.
        :param now: seconds.
        """
        by_name = {use.organisation: use for use in uses}
        known = [
            name
            for name, holders in self._holders_by_name.items()
            if instance_id in holders
        ]
        names = {*known, *by_name}
        for name in names:
            holder = self._holder(name, instance_id, boot, now)
            use = by_name.get(name) or CreditUse(name)
            self._apply_use(name, holder, use, now)

    def divide(
        self,
        organisations: Iterable[OrganisationLimits],
        instances: int,
        granted: Callable[[str, float], float],
        now: float,
    ) -> None:
        """Divide the limits anew, a few times a second.

        :param organisations: every organisation.
        :param instances: that share the limits.
        :param granted: returns the tokens that the leader has granted to
            requests of an organisation in the last window (name, time).
        :param now: seconds.
        """
        if now - self._divided_at < _INTERVAL_SECONDS:
            return
        self._divided_at = now
        limited_by_name = {
            one.name: one for one in organisations if one.rate > 0
        }
        for name in set(self._holders_by_name) - set(limited_by_name):
            self._holders_by_name.pop(name)
            self._lowered_by_name.pop(name, None)
            self.divided_by_name.pop(name, None)
        for name, organisation in limited_by_name.items():
            rate, cap = bucket_limits(organisation, self.window)
            limit = rate * self.window + cap
            self._limit_by_name[name] = limit
            share = demand_share(instances) if limit >= _MIN_LIMIT else 0
            self._budget_by_name[name] = limit * share
            most = limit * (1 - even_share(instances)) - granted(name, now)
            self._divide_one(name, most, now)
            self.divided_by_name[name] = self._divided_tokens(name, now)

    def _divided_tokens(self, name: str, now: float) -> float:
        counted = self._counted_tokens(name, now)
        budget = self._budget_by_name[name]
        unknown = self._unknown_tokens(budget, now)
        return min(counted + unknown, max(counted, budget))

    def _unknown_tokens(self, budget: float, now: float) -> float:
        return 0 if now >= self.known_at else self.unheard * budget

    def news_for(
        self, instance_id: str, uses: Iterable[CreditUse]
    ) -> tuple[CreditShare, ...] | None:
        """Return the parts of an instance if it does not hold them yet.

        :param instance_id: its id.
        :param uses: from its last report.
        :returns: all its parts; ``None`` if it holds these.
        """
        told = {
            name: holders[instance_id].told
            for name, holders in self._holders_by_name.items()
            if instance_id in holders and holders[instance_id].told
        }
        held = {use.organisation: use.rate for use in uses if use.rate}
        if told == held:
            return None
        return tuple(
            CreditShare(name, rate, _SAVED_TOKENS, self._limit_by_name[name])
            for name, rate in told.items()
            if name in self._limit_by_name
        )

    def _holder(
        self, name: str, instance_id: str, boot: str, now: float
    ) -> _Holder:
        """Return the holder; a restarted instance has to be told its part."""
        holders = self._holders_by_name[name]
        holder = holders.get(instance_id)
        if holder is None or holder.boot != boot:
            # What the last process has used counts for one window more.
            lost = holder.cost(self.window) if holder else 0
            self._count_lowered(name, lost, now)
            holder = _Holder(boot=boot, seen_at=-math.inf)
            holders[instance_id] = holder
        return holder

    def _apply_use(
        self, name: str, holder: _Holder, use: CreditUse, now: float
    ) -> None:
        before = holder.cost(self.window)
        if math.isinf(holder.seen_at):
            # It may hold what an earlier leader has told.
            holder.told = use.rate
            holder.wanted = use.wanted
        else:
            weight = min((now - holder.seen_at) / _AVERAGING_SECONDS, 1)
            holder.wanted += (use.wanted - holder.wanted) * weight
        holder.held = use.rate
        holder.seen_at = now
        self._count_lowered(name, before - holder.cost(self.window), now)

    def _count_lowered(self, name: str, tokens: float, now: float) -> None:
        if tokens > 0:
            self._lowered_by_name[name].append((now + self.window, tokens))

    def _divide_one(self, name: str, most: float, now: float) -> None:
        """Lower and raise the parts of one organisation.

        :param most: tokens that parts may use in a window.
        """
        holders = {
            instance_id: holder
            for instance_id, holder in self._holders_by_name[name].items()
            if now - holder.seen_at <= _COUNTED_SECONDS
        }
        self._holders_by_name[name] = holders
        budget = self._budget_by_name[name]
        counted = self._counted_tokens(name, now)
        if not budget and not counted:
            return
        free = min(budget, most) - counted - self._unknown_tokens(budget, now)
        is_over = budget < counted
        rate_by_id = self._wanted_rates(holders, budget)
        for lowered_id, lower_rate in rate_by_id.items():
            told = holders[lowered_id].told
            if lower_rate < told * _LOWER_FACTOR or is_over:
                # Its cost falls when its report shows the lower rate.
                holders[lowered_id].told = min(lower_rate, told)
        if now < self.raised_from:
            return
        for instance_id, rate in rate_by_id.items():
            free -= self._raise(holders[instance_id], rate, free)

    def _counted_tokens(self, name: str, now: float) -> float:
        """Return the tokens that instances may use in a window."""
        lowered = [
            entry for entry in self._lowered_by_name[name] if entry[0] > now
        ]
        self._lowered_by_name[name] = lowered
        holders = self._holders_by_name[name].values()
        return sum(tokens for _, tokens in lowered) + sum(
            holder.cost(self.window) for holder in holders
        )

    def _raise(self, holder: _Holder, rate: float, free: float) -> float:
        """Raise a part if there are tokens for it; return how many it takes."""
        if rate <= holder.told * _RAISE_FACTOR or holder.held > holder.told:
            return 0
        before = holder.cost(self.window)
        wanted = rate * self.window + _SAVED_TOKENS
        if wanted - before > free:
            return 0
        holder.told = rate
        return holder.cost(self.window) - before

    def _wanted_rates(
        self, holders: Mapping[str, _Holder], budget: float
    ) -> dict[str, int]:
        """Return the rates by instance that suit the demand and the budget.

        A limit is divided only if all instances with demand get a part: with a
        smaller one, the leader serves more requests from the whole of it.
        """
        wanted_by_id = {
            instance_id: holder.wanted
            for instance_id, holder in holders.items()
            if holder.wanted >= _MIN_WANTED
        }
        rate_by_id = dict.fromkeys(holders, 0)
        if not wanted_by_id:
            return rate_by_id
        left = budget - len(wanted_by_id) * _SAVED_TOKENS
        cover = left / self.window / sum(wanted_by_id.values())
        is_divided = any(holder.told for holder in holders.values())
        least = _MIN_KEPT_COVER if is_divided else _MIN_COVER
        if cover < least:
            return rate_by_id
        most = (budget * _MAX_PART - _SAVED_TOKENS) / self.window
        for instance_id, wanted in wanted_by_id.items():
            rate = min(wanted * min(cover, _MAX_COVER), most)
            rate_by_id[instance_id] = max(int(rate), 0)
        return rate_by_id
