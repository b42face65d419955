"""Weekly usage pattern of deployments, by hour of the week."""

from collections.abc import Mapping

_HOUR_SECONDS = 3600
_WEEK_HOURS = 168
# Weight of the last week in the smoothed fraction of weeks with a use.
_SMOOTHING = 0.4
# Hours with a smaller fraction are removed.
_MIN_KEPT_FRACTION = 0.05
# At about 100 bytes per deployment the stored history stays below 1 MB.
_MAX_STORED_DEPLOYMENTS = 4000


def hour_of_week(wall_time: float) -> int:
    """Return the hour of the week, 0 to 167, counted in UTC.

    :param wall_time: seconds since the epoch.
    """
    return int(wall_time // _HOUR_SECONDS) % _WEEK_HOURS


class WeeklyUsage:
    """Fraction of recent weeks with a use, for each hour of the week."""

    def __init__(self) -> None:
        """Start with an empty history."""
        self._fractions_by_deployment: dict[str, dict[int, float]] = {}
        self._used: set[str] = set()
        self._hour: int | None = None

    def record_use(self, deployment: str) -> None:
        """Record a use in the present hour.

        :param deployment: name of the deployment.
        """
        self._used.add(deployment)

    def advance(self, wall_time: float) -> bool:
        """Update the fractions when the hour has ended; return whether it has.

        :param wall_time: seconds since the epoch.
        """
        hour = hour_of_week(wall_time)
        previous = self._hour
        self._hour = hour
        if previous is None or previous == hour:
            return False
        for name in set(self._fractions_by_deployment) | self._used:
            self._close_hour(name, previous)
        self._used.clear()
        return True

    def probability(self, deployment: str) -> float:
        """Return the fraction of weeks with a use in the present hour.

        :param deployment: name of the deployment.
        """
        if self._hour is None:
            return 0
        fractions = self._fractions_by_deployment.get(deployment, {})
        return fractions.get(self._hour, 0)

    def usage_probabilities(self, wall_time: float) -> dict[str, float]:
        """Return the usage probabilities for the hour of the week of a time.

        :param wall_time: seconds since the epoch.
        :returns: fraction of weeks with a use, by deployment.
        """
        hour = hour_of_week(wall_time)
        return {
            name: fractions[hour]
            for name, fractions in self._fractions_by_deployment.items()
            if hour in fractions
        }

    def most_used(self) -> set[str]:
        """Return the most used deployments, up to the limit of the store."""
        ranked = sorted(
            self._fractions_by_deployment,
            key=lambda name: sum(self._fractions_by_deployment[name].values()),
            reverse=True,
        )
        return set(ranked[:_MAX_STORED_DEPLOYMENTS])

    def dump(self, names: set[str]) -> dict[str, dict[str, float]]:
        """Return the fractions of some deployments, to be stored.

        :param names: deployments to keep.
        """
        return {
            name: {
                str(hour): round(fraction, 2)
                for hour, fraction in self._fractions_by_deployment[
                    name
                ].items()
            }
            for name in names
        }

    def load(self, fractions: Mapping[str, Mapping[str, float]]) -> None:
        """Add stored fractions for deployments without a history.

        :param fractions: as returned by ``dump``.
        """
        for name, by_hour in fractions.items():
            record = {
                int(hour): float(fraction) for hour, fraction in by_hour.items()
            }
            self._fractions_by_deployment.setdefault(name, record)

    def _close_hour(self, name: str, hour: int) -> None:
        fractions = self._fractions_by_deployment.setdefault(name, {})
        used = float(name in self._used)
        fraction = fractions.get(hour, 0)
        fraction += _SMOOTHING * (used - fraction)
        fractions[hour] = fraction
        if fraction < _MIN_KEPT_FRACTION:
            fractions.pop(hour)
        if not fractions:
            self._fractions_by_deployment.pop(name)
