"""Organisations' limits in a region over time, without a network."""

import random
from types import SimpleNamespace

from cowsliprack.coordination.credit_reserve import Borrowing, choose_lenders
from cowsliprack.coordination.credit_shares import (
    SHARE_LIFETIME_SECONDS,
    CreditShares,
    unheard_fraction,
)
from cowsliprack.coordination.token_credit import LeaderTokenCredit, TokenCredit
from cowsliprack.protocol.gateway_messages import PeerView
from cowsliprack.protocol.message_level import new_process_id
from cowsliprack.state.routing_table import OrganisationLimits

WINDOW_SECONDS = 8.0
OVERRUN = 0.1
SLACK_TOKENS = 7400.0
# Without faults, instances report each 0.4 s and get a view in return.
_REPORT_SECONDS = 0.4
_STEP_SECONDS = 0.01
_HEARD_SECONDS = 1.0
_ZONES = 3


def charge_alone(credit, lenders, organisation, tokens, now):
    """Charge a request without the leader; return whether it is admitted.

    :param lenders: instances to ask, and their credits by id.
    """
    peers, credits_by_id = lenders
    missing = credit.spend_alone(organisation, tokens, now)
    borrowing = Borrowing(missing, peers)
    while asks := borrowing.next_asks():
        for peer, wanted in asks:
            lender = credits_by_id.get(peer.instance_id)
            if lender is not None:
                borrowing.add(peer, lender.lend(organisation, wanted, now))
    if borrowing.missing <= 0:
        return True
    for peer, lent in borrowing.loans:
        credits_by_id[peer.instance_id].take_back(organisation, lent, now)
    credit.take_back(organisation, tokens - missing, now)
    return False


class CreditWorld:
    """Instances in three zones whose callers use one organisation.

    :ivar admitted: time and tokens of each admitted request.
    :ivar refused: times of the refused requests.
    """

    def __init__(self, count, rate, seed=5):
        self.count = count
        self.organisation = OrganisationLimits(
            name='o',
            priority=None,
            rate=rate,
            burst=rate,
            counts_tokens=True,
            default_tokens=200,
        )
        self.now = 0.0
        self.admitted = []
        self.refused = []
        self.cut_off = set()
        self.stopped = set()
        self.source = random.Random(seed)
        self.instances = [self._instance(number) for number in range(count)]
        self.term = None
        self.fencing = 0
        self.begin_term(peers=())

    def _instance(self, number):
        credit = TokenCredit(
            SLACK_TOKENS,
            WINDOW_SECONDS,
            overrun=OVERRUN,
            started_at=self.now,
        )
        if self.now:
            # The lease object names the instances.
            credit.observe_instances(self.count, self.now, is_view=False)
        return SimpleNamespace(
            number=number,
            view=PeerView(
                f'i{number}', '', str(number % _ZONES), new_process_id()
            ),
            credit=credit,
            heard_at=float('-inf'),
            fencing=0,
            led_since=self.now,
            report_at=self.now + self.source.uniform(0, _REPORT_SECONDS),
        )

    def limit(self):
        """Return the tokens that all may admit in a window."""
        whole = self.organisation.rate * WINDOW_SECONDS
        whole += self.organisation.burst
        return whole * (1 + OVERRUN) + SLACK_TOKENS

    def restart_all(self):
        """Replace each process; the leader is lost as well."""
        self.term = None
        self.instances = [
            self._instance(number) for number in range(self.count)
        ]

    def restart(self, number):
        """Replace the process of one instance."""
        self.instances[number] = self._instance(number)

    def begin_term(self, peers):
        """Let a new leader begin its term.

        :param peers: numbers of the instances that it knows.
        """
        self.fencing += 1
        known = [
            instance for instance in self.instances if instance.number in peers
        ]
        self.term = SimpleNamespace(
            credit=LeaderTokenCredit(WINDOW_SECONDS),
            shares=CreditShares(
                WINDOW_SECONDS,
                self.now + SHARE_LIFETIME_SECONDS,
                self.now + WINDOW_SECONDS if self.fencing > 1 else self.now,
            ),
            peers=[instance.view for instance in known],
            heard=set(),
            instances=len(known),
        )

    def run(self, seconds, factor):
        """Send requests for some time at a multiple of the rate."""
        ends_at = self.now + seconds
        due = self.now
        while self.now < ends_at:
            self.now += _STEP_SECONDS
            self._exchange()
            while factor and due <= self.now:
                tokens = self.source.randint(700, 1100)
                due += self.source.expovariate(
                    self.organisation.rate * factor / 900
                )
                running = [
                    one
                    for one in self.instances
                    if one.number not in self.stopped
                ]
                self._send(self.source.choice(running), tokens)

    def _exchange(self):
        for instance in self.instances:
            if instance.report_at <= self.now:
                instance.report_at += _REPORT_SECONDS
                if self._reaches_leader(instance):
                    self._report(instance)
        term = self.term
        if term is None or not term.heard:
            return
        term.instances = max(term.instances, len(term.heard))
        members = term.instances
        term.shares.unheard = (
            0 if self.fencing == 1 else unheard_fraction(term.peers, term.heard)
        )
        organisations = [self.organisation]
        term.shares.divide(
            organisations, members, term.credit.granted, self.now
        )
        term.credit.limit(
            organisations, members, self.now, term.shares.divided_by_name
        )

    def _report(self, instance):
        term = self.term
        instance.heard_at = self.now
        if instance.fencing != self.fencing:
            instance.fencing = self.fencing
            instance.led_since = self.now
        name = instance.view.instance_id
        term.heard.add(name)
        credit = instance.credit
        uses = credit.uses(self.now)
        term.shares.apply_report(name, instance.view.boot, uses, self.now)
        credit.observe_instances(len(term.heard), self.now)
        news = term.shares.news_for(name, uses)
        if news is not None:
            credit.apply_shares(news, {'o': self.organisation}, self.now)

    def _reaches_leader(self, instance):
        is_away = instance.number in self.cut_off | self.stopped
        return self.term is not None and not is_away

    def _send(self, instance, tokens):
        credit = instance.credit
        organisation = self.organisation
        now = self.now
        credit.wanted.add('o', tokens, now)
        if now - instance.heard_at > SHARE_LIFETIME_SECONDS:
            credit.apply_shares((), {'o': organisation}, now)
        if credit.spend(organisation, tokens, now):
            self.admitted.append((now, tokens))
            return
        is_new = now - instance.led_since < WINDOW_SECONDS
        wait = None
        if not self._reaches_leader(instance):
            wait = self._charge_alone(instance, tokens)
        elif not credit.is_denied(organisation, now):
            wait = self._ask_leader(credit, tokens)
        if wait is None:
            wait = credit.spend_ahead(organisation, tokens, now)
        if wait is None and is_new:
            wait = self._charge_alone(instance, tokens)
        if wait is None:
            credit.refuse(organisation, tokens, now)
            self.refused.append(now)
        else:
            self.admitted.append((now + wait, tokens))

    def _ask_leader(self, credit, tokens):
        organisation = self.organisation
        rest = credit.take_all(organisation, self.now)
        granted, seconds = self.term.credit.grant('o', tokens - rest, self.now)
        if granted:
            return seconds
        credit.give_back(organisation, rest, self.now)
        credit.apply_leader_answer(organisation, 0, seconds, self.now)
        return None

    def _charge_alone(self, instance, tokens):
        """Charge a request to the instances on this side of a partition."""
        is_cut_off = instance.number in self.cut_off
        reached = {
            one.view.instance_id: one.credit
            for one in self.instances
            if (one.number in self.cut_off) == is_cut_off
            and one.number not in self.stopped
        }
        peers = choose_lenders(
            [one.view for one in self.instances],
            instance.view.instance_id,
            instance.view.zone,
            self.source,
        )
        is_charged = charge_alone(
            instance.credit,
            (peers, reached),
            self.organisation,
            tokens,
            self.now,
        )
        return 0 if is_charged else None
