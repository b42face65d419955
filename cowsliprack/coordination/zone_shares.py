"""Division of a number of replicas among availability zones."""

from collections.abc import Mapping


def divide_by_zone(
    count: int,
    demand_by_zone: Mapping[str, float],
    engines_by_zone: Mapping[str, int],
) -> dict[str, int]:
    """Divide replicas in proportion to demand, by largest remainder.

    :param count: replicas in all zones.
    :param demand_by_zone: requests per second that arrive in each zone.
    :param engines_by_zone: usable engines in each zone; demand in a zone
        without any is left to the others.
    :returns: replicas by zone, none of more than its engines; empty without
        demand.
    """
    demand = {
        zone: demand_by_zone.get(zone, 0)
        for zone, engines in engines_by_zone.items()
        if engines and demand_by_zone.get(zone, 0) > 0
    }
    total = sum(demand.values())
    if not total:
        return {}
    quotas = {zone: count * part / total for zone, part in demand.items()}
    replicas = {
        zone: min(int(quota), engines_by_zone[zone])
        for zone, quota in quotas.items()
    }
    by_remainder = sorted(
        demand, key=lambda zone: (replicas[zone] - quotas[zone], zone)
    )
    for zone in by_remainder:
        if sum(replicas.values()) >= count:
            break
        if replicas[zone] < engines_by_zone[zone]:
            replicas[zone] += 1
    return replicas
