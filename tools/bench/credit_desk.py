"""Ledgers of a run: one for each zone, or static shares by instance."""

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

_ZONE = ''
# A first holder has no predecessor whose grants could be outstanding.
_STARTED_AT = -GRANT_EXPIRY_SECONDS - 60.0


class CreditDesk:
    """Ledgers of one zone.

    :param per_instance: each instance has an equal part of each rate.
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
        self._parts = instances if per_instance else len(configuration.zones)
        self._ledgers_by_holder: dict[str, Ledger] = {}

    def grant(
        self,
        request: CreditRequest,
        instance_id: str,
        now: float,
    ) -> CreditGrant:
        """Answer a request for credit.

        :param request: of an instance.
        :param instance_id: who asks.
        :param now: seconds.
        """
        return self._ledger(instance_id).grant(request, instance_id, now)

    def accept_return(
        self,
        returned: CreditReturn,
        instance_id: str,
        now: float,
    ) -> None:
        """Take unused credit back.

        :param returned: of an instance.
        :param instance_id: who returns it.
        :param now: seconds.
        """
        self._ledger(instance_id).accept_return(returned, instance_id, now)

    def loan_requests_due(self, now: float) -> list[tuple[str, LoanRequest]]:
        """Return the requests to the leaders of other zones.

        :param now: seconds.
        """
        if self._per_instance:
            return []
        others = [
            zone for zone in self._configuration.zones if zone != self._zone
        ]
        return self._ledger(_ZONE).loan_requests_due(others, now)

    def lend(self, request: LoanRequest, now: float) -> LoanGrant:
        """Answer another leader.

        :param request: of the other leader.
        :param now: seconds.
        """
        return self._ledger(_ZONE).lend(request, now)

    def accept_loan(self, grant: LoanGrant, now: float) -> None:
        """Use a loan.

        :param grant: of another leader.
        :param now: seconds.
        """
        self._ledger(_ZONE).accept_loan(grant, now)

    def _ledger(self, instance_id: str) -> Ledger:
        holder = instance_id if self._per_instance else _ZONE
        ledger = self._ledgers_by_holder.get(holder)
        if ledger is None:
            ledger = Ledger(
                1,
                _STARTED_AT,
                predecessor_stopped=True,
                loans=LoanTracker(self._zone, holder, GRANT_EXPIRY_SECONDS),
            )
            self._ledgers_by_holder[holder] = ledger
            for (
                organisation
            ) in self._configuration.organisations_by_id.values():
                ledger.set_share(
                    organisation.organisation_id,
                    organisation.rate / self._parts,
                    organisation.burst / self._parts,
                    _STARTED_AT,
                )
        return ledger
