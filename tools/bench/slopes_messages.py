"""Processor time and bytes of the messages between instances."""

import functools
import itertools

from cowsliprack.coordination.credit import CreditAccount
from cowsliprack.coordination.fair_queue import WaitingTokens
from cowsliprack.coordination.ledger import GRANT_EXPIRY_SECONDS, Ledger
from cowsliprack.coordination.view_tracker import ViewTracker
from cowsliprack.protocol.peer import (
    AnyPeerMessage,
    CreditReturn,
    Heartbeat,
    HeartbeatAck,
    decode_message,
    encode_message,
)
from cowsliprack.state.fleet import Fleet
from tools.bench import samples
from tools.bench.measure import Row, processor_microseconds

_ORGANISATION_COUNTS = (5, 50, 200)
_PEER_COUNTS = (8, 32, 128)
_TARGET_COUNTS = (23, 230, 690)
_CHANGE_COUNTS = (1, 10, 100)
_INSTANCE_COUNTS = (8, 32, 128)
_TICK_SECONDS = 0.05
_ORGANISATION_SHARE = 1_000_000


def message_rows() -> list[Row]:
    """Return the cost of each periodic message at three sizes."""
    rows = [_heartbeat_row(count) for count in _ORGANISATION_COUNTS]
    rows.extend(_ack_row(count) for count in _PEER_COUNTS)
    rows.extend(
        _view_row(count, 'full replica view', full=True)
        for count in _TARGET_COUNTS
    )
    rows.extend(
        _view_row(count, 'replica view of changes', full=False)
        for count in _CHANGE_COUNTS
    )
    rows.extend(_apply_row(count, full=True) for count in _TARGET_COUNTS)
    rows.extend(_apply_row(count, full=False) for count in _CHANGE_COUNTS)
    rows.extend(_ledger_row(count) for count in _INSTANCE_COUNTS)
    rows.extend(_account_row(count) for count in _ORGANISATION_COUNTS)
    return rows


def _transfer_row(
    subject: str,
    against: str,
    size: int,
    message: AnyPeerMessage,
) -> Row:
    frame = encode_message(message)
    microseconds = processor_microseconds(
        functools.partial(_encode_and_decode, message)
    )
    return Row(subject, against, size, microseconds, len(frame))


def _encode_and_decode(message: AnyPeerMessage) -> AnyPeerMessage:
    return decode_message(encode_message(message))


def _heartbeat_row(count: int) -> Row:
    credit = {f'organisation-{index}': 1000.5 for index in range(count)}
    heartbeat = Heartbeat(
        'instance-17',
        'pl-south-1a',
        '10.0.0.17:7070',
        4711,
        815,
        credit_by_organisation=credit,
    )
    return _transfer_row(
        'heartbeat: encode and decode',
        'organisations with credit',
        count,
        heartbeat,
    )


def _ack_row(count: int) -> Row:
    ack = HeartbeatAck(
        'instance-1',
        4711,
        815,
        leader=True,
        fencing=12,
        addresses_by_id={
            f'instance-{index}': f'10.0.0.{index}:7070'
            for index in range(count)
        },
    )
    return _transfer_row(
        'heartbeat answer: encode and decode',
        'instances of the zone',
        count,
        ack,
    )


def _view_row(count: int, subject: str, *, full: bool) -> Row:
    view = samples.make_view(count, 1, full=full)
    return _transfer_row(
        f'{subject}: encode and decode',
        'targets in it',
        count,
        view,
    )


def _apply_row(count: int, *, full: bool) -> Row:
    fleet_size = count if full else max(_TARGET_COUNTS)
    applier = _ViewApplier(fleet_size, count, full=full)
    kind = 'full replica view' if full else 'replica view of changes'
    return Row(
        f'{kind}: apply at an instance',
        'targets in it',
        count,
        processor_microseconds(applier.apply),
    )


class _ViewApplier:
    """Applies the same replica view again and again."""

    def __init__(self, fleet_size: int, count: int, *, full: bool) -> None:
        self._fleet: Fleet = samples.make_fleet(fleet_size)
        self._tracker = ViewTracker()
        self._views = (
            samples.make_view(count, sequence, full=full)
            for sequence in itertools.count(1)
        )
        # Built in advance, so that only applying the view is measured.
        self._view = next(self._views)
        self._count = 0

    def apply(self) -> None:
        self._count += 1
        self._tracker.last_version_by_zone.clear()
        self._tracker.apply(self._fleet, self._view, float(self._count))


def _ledger_row(count: int) -> Row:
    holder = _LedgerHolder(count)
    return Row(
        'credit: one grant and its return at the ledger holder',
        'instances that ask',
        count,
        processor_microseconds(holder.serve_one),
    )


class _LedgerHolder:
    """Serves the instances in turn, each every 50 ms of virtual time."""

    def __init__(self, count: int) -> None:
        self._ledger = Ledger(1, 0, predecessor_stopped=True)
        self._ledger.set_share('a', _ORGANISATION_SHARE, _ORGANISATION_SHARE, 0)
        self._accounts = [
            CreditAccount(f'epoch-{index}') for index in range(count)
        ]
        self._now = GRANT_EXPIRY_SECONDS + 1
        self._served = 0

    def serve_one(self) -> None:
        index = self._served % len(self._accounts)
        self._served += 1
        self._now += _TICK_SECONDS / len(self._accounts)
        account = self._accounts[index]
        name = f'instance-{index}'
        waiting = {'a': WaitingTokens(400, 400)}
        for request in account.requests_due(self._now, waiting):
            grant = self._ledger.grant(request, name, self._now)
            account.accept(grant, self._now)
        reservation = account.reserve('a', 400, self._now)
        if reservation is not None:
            account.settle(reservation, 300, self._now)
        for credit_return in account.returns_due(self._now):
            self._accept_return(credit_return, name)

    def _accept_return(self, credit_return: CreditReturn, name: str) -> None:
        self._ledger.accept_return(credit_return, name, self._now)


def _account_row(count: int) -> Row:
    ticker = _AccountTicker(count)
    return Row(
        'credit: one tick of an instance',
        'organisations that spent before',
        count,
        processor_microseconds(ticker.tick),
    )


class _AccountTicker:
    """Ticks an account that has requested credit for all organisations."""

    def __init__(self, count: int) -> None:
        self._account = CreditAccount('epoch')
        self._now = float(0)
        waiting = {
            f'organisation-{index}': WaitingTokens(400, 400)
            for index in range(count)
        }
        self._account.requests_due(0, waiting)

    def tick(self) -> None:
        self._now += _TICK_SECONDS
        self._account.requests_due(self._now)
        self._account.returns_due(self._now)
