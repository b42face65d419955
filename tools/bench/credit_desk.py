"""Ledgers of a simulated zone: one shared, or one for each instance."""

from cowsliprack.coordination.ledger import GRANT_EXPIRY_SECONDS, Ledger
from cowsliprack.coordination.loans import LoanTracker
from cowsliprack.protocol.peer import (
    CreditGrant,
    CreditRequest,
    CreditReturn,
    LoanGrant,
    LoanRequest,
)
from cowsliprack.state.configuration import Configuration

# Holder ID of the ledger that all instances of a zone share.
_SHARED_HOLDER_ID = ''
# The holders have no predecessor: early enough that no grant of an earlier
# holder could still be outstanding at time 0.
_STARTED_AT_SECONDS = -GRANT_EXPIRY_SECONDS - 60.0


class ZoneLedgers:
    """Ledgers of one zone, created on first use.

    :param configuration: names the zones, and the organisations with their
        limits.
    :param zone: name of the zone.
    :param per_instance: each instance has its own ledger with an equal share
        of each limit, without loans between zones.
    :param instances: number of instances in the fleet.
    """

    def __init__(
        self,
        configuration: Configuration,
        zone: str,
        *,
        per_instance: bool,
        instances: int,
    ) -> None:
        """Start without ledgers."""
        self._configuration = configuration
        self._zone = zone
        self._per_instance = per_instance
        self._share_count = (
            instances if per_instance else len(configuration.zones)
        )
        self._ledgers_by_holder: dict[str, Ledger] = {}

    def grant(
        self,
        request: CreditRequest,
        instance_id: str,
        now: float,
    ) -> CreditGrant:
        """Return the grant that answers a credit request.

        :param request: sent by an instance.
        :param instance_id: sender of the request.
        :param now: current time, seconds.
        """
        return self._ledger(instance_id).grant(request, instance_id, now)

    def accept_return(
        self,
        returned: CreditReturn,
        instance_id: str,
        now: float,
    ) -> None:
        """Add returned credit to the ledger.

        :param returned: sent by an instance.
        :param instance_id: sender of the message.
        :param now: current time, seconds.
        """
        self._ledger(instance_id).accept_return(returned, instance_id, now)

    def loan_requests_due(self, now: float) -> list[tuple[str, LoanRequest]]:
        """Return the due loan requests with the zones that they go to.

        :param now: current time, seconds.
        """
        if self._per_instance:
            return []
        others = [
            zone for zone in self._configuration.zones if zone != self._zone
        ]
        return self._ledger(_SHARED_HOLDER_ID).loan_requests_due(others, now)

    def lend(self, request: LoanRequest, now: float) -> LoanGrant:
        """Return the loan granted to the leader of another zone.

        :param request: sent by the other leader.
        :param now: current time, seconds.
        """
        return self._ledger(_SHARED_HOLDER_ID).lend(request, now)

    def accept_loan(self, grant: LoanGrant, now: float) -> None:
        """Add a loan to the ledger of the zone.

        :param grant: sent by the leader of another zone.
        :param now: current time, seconds.
        """
        self._ledger(_SHARED_HOLDER_ID).accept_loan(grant, now)

    def _ledger(self, instance_id: str) -> Ledger:
        holder_id = instance_id if self._per_instance else _SHARED_HOLDER_ID
        ledger = self._ledgers_by_holder.get(holder_id)
        if ledger is None:
            ledger = Ledger(
                1,
                _STARTED_AT_SECONDS,
                predecessor_stopped=True,
                loans=LoanTracker(self._zone, holder_id, GRANT_EXPIRY_SECONDS),
            )
            self._ledgers_by_holder[holder_id] = ledger
            for (
                organisation
            ) in self._configuration.organisations_by_id.values():
                ledger.set_share(
                    organisation.organisation_id,
                    organisation.rate / self._share_count,
                    organisation.burst / self._share_count,
                    _STARTED_AT_SECONDS,
                )
        return ledger
