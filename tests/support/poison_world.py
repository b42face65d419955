"""Instances, engines and callers' load around poison trackers, without I/O."""

import heapq
import itertools
import random
from collections import Counter

from cowsliprack.coordination.poison import (
    PoisonTracker,
    crash_id,
    part_digest,
)
from cowsliprack.protocol.peer import PoisonNotice, TrialNotice

_POISON_PART = 'poison'
EARLIER_PARTS = ('draft', 'ask')
_SUBJECTS = 60
# Seconds until a notice of one instance has reached all others.
_NOTICE_SECONDS = 0.03
_RESTART_SECONDS = 8.0
_ANSWER_SECONDS = 2.0
# Seconds between the beginning of an answer and the crash.
_CRASH_SECONDS = 0.09
# Seconds of an answer that disprove the crashes of its prompt parts.
_BEGINNING_SECONDS = 0.55
# Share of the broken requests that are sent once more.
_RETRY_SHARE = 0.5


class PoisonWorld:
    """Plays requests on engines of which some crash.

    :param seed: of the random load.
    """

    def __init__(self, instances, engines, rate, seed):
        self.rng = random.Random(seed)
        self.trackers = [PoisonTracker() for _ in range(instances)]
        self.boots = dict.fromkeys(range(engines), 0)
        self.up_at = dict.fromkeys(range(engines), 0.0)
        self.rate = rate
        # Time from which requests with the part crash engines, seconds.
        self.crashes_from = 0
        self.crashed_at = []
        self.poison_sent_at = []
        # Sound requests by earlier part or subject.
        self.asked = Counter()
        self.begun = Counter()
        self._running = {}
        self._events = []
        self._numbers = itertools.count()

    def play(self, poison_rate, is_earlier, seconds):
        """Play the load; ``is_earlier``: the part stands before another one."""
        for rate, is_poison in ((self.rate, False), (poison_rate, True)):
            for _ in range(round(rate * seconds)):
                request = (
                    next(self._numbers),
                    self._parts(is_poison, is_earlier),
                )
                self._at(
                    self.rng.uniform(0, seconds), self._send, request, True
                )
        while self._events:
            now, _, function, arguments = heapq.heappop(self._events)
            function(now, *arguments)

    def late_poison_sends(self, seconds):
        """Return the sends with the part that came too late.

        :param seconds: time after the fifth crash.
        """
        if len(self.crashed_at) < 5:
            return 0
        allowed_until = self.crashed_at[4] + seconds
        return sum(sent_at > allowed_until for sent_at in self.poison_sent_at)

    def starved_parts(self):
        """Return the parts that were asked for often and never served."""
        return [
            part
            for part, asked in self.asked.items()
            if asked >= 4 and not self.begun[part]
        ]

    def _parts(self, is_poison, is_earlier):
        earlier = self.rng.choice(EARLIER_PARTS)
        subject = f'subject{int(self.rng.paretovariate(0.7)) % _SUBJECTS}'
        if not is_poison:
            return (earlier, subject)
        if is_earlier:
            return (_POISON_PART, subject)
        return (earlier, _POISON_PART)

    def _at(self, at, function, *arguments):
        event = (at, next(self._numbers), function, arguments)
        heapq.heappush(self._events, event)

    def _send(self, now, request, is_first):
        number, parts = request
        tracker = self.rng.choice(self.trackers)
        digests = (str(number), *map(part_digest, parts))
        is_sound = _POISON_PART not in parts
        if is_sound and is_first:
            self.asked.update(parts)
        if tracker.seconds_refused(digests, now):
            return
        engines = [name for name, up_at in self.up_at.items() if up_at <= now]
        if not engines:
            return
        if tracker.is_any_suspect(digests, now):
            avoided = tracker.suspect_targets(now)
            engines = [
                name for name in engines if str(name) not in avoided
            ] or engines
        engine = self.rng.choice(engines)
        if not is_sound:
            self.poison_sent_at.append(now)
        for notice in tracker.begin_trials(digests, now):
            self._at(now + _NOTICE_SECONDS, self._spread, tracker, notice)
        in_flight = tracker.add_in_flight(digests[0], str(engine), digests[1:])
        self._running[in_flight, id(tracker)] = (request, engine, is_first)
        begins_at = now + self.rng.uniform(0.05, 0.4)
        answer = (digests, now)
        self._at(begins_at, self._begin, tracker, in_flight, answer)

    def _begin(self, now, tracker, in_flight, answer):
        run = self._running.get((in_flight, id(tracker)))
        if run is None:
            return
        if _POISON_PART in run[0][1] and now >= self.crashes_from:
            self._at(
                now + _CRASH_SECONDS, self._crash, run[1], self.boots[run[1]]
            )
            return
        self._at(now, self._record, tracker, in_flight)
        self._at(now + _BEGINNING_SECONDS, self._record, tracker, in_flight)
        if run[2]:
            self.begun.update(run[0][1])
        self._at(now + _ANSWER_SECONDS, self._end, tracker, in_flight, answer)

    def _record(self, now, tracker, in_flight):
        if (in_flight, id(tracker)) not in self._running:
            return
        for notice in tracker.record_answer(in_flight, now):
            self._at(now + _NOTICE_SECONDS, self._spread, tracker, notice)

    def _end(self, now, tracker, in_flight, answer):
        if self._running.pop((in_flight, id(tracker)), None) is None:
            return
        tracker.remove_in_flight(in_flight)
        for notice in tracker.on_answered(*answer, now):
            self._at(now + _NOTICE_SECONDS, self._spread, tracker, notice)

    def _crash(self, now, engine, boot):
        if self.boots[engine] != boot:
            return
        self.crashed_at.append(now)
        self.boots[engine] += 1
        self.up_at[engine] = now + _RESTART_SECONDS
        crash = crash_id(str(engine), str(boot))
        for tracker in self.trackers:
            for notice in tracker.on_crash(str(engine), crash, now):
                self._at(now + _NOTICE_SECONDS, self._spread, tracker, notice)
        lost = [key for key, run in self._running.items() if run[1] == engine]
        for key in lost:
            request, _, is_first = self._running.pop(key)
            if is_first and self.rng.random() < _RETRY_SHARE:
                self._at(now + 0.01, self._send, request, False)

    def _spread(self, now, origin, notice):
        for tracker in self.trackers:
            if tracker is origin:
                continue
            reply = tracker.reply(notice, now)
            if reply is not None:
                self._at(now + _NOTICE_SECONDS, self._spread, tracker, reply)
            if isinstance(notice, PoisonNotice):
                tracker.on_notice(notice, now)
            elif isinstance(notice, TrialNotice):
                tracker.on_trial_notice(notice, now)
            else:
                tracker.on_sound_notice(notice, now)
