"""Which models make room for another one on an engine."""

import math
from collections.abc import Callable, Collection, Mapping


def cheapest_victims(
    cost_by_name: Mapping[str, float],
    has_room: Callable[[Collection[str]], bool],
) -> tuple[str, ...]:
    """Return the models whose eviction makes room at the lowest cost.

    One victim is enough where models have about the same size; a large model
    may need the room of several small ones.

    :param cost_by_name: cost by loaded model; ``inf`` if it can't be evicted.
    :param has_room: returns whether there is room without some models.
    :returns: empty if there is no room even without all of them.
    """
    evictable = sorted(
        (name for name, cost in cost_by_name.items() if math.isfinite(cost)),
        key=cost_by_name.__getitem__,
    )
    if not has_room(evictable):
        return ()
    several = _several_victims(evictable, has_room)
    single = next((name for name in evictable if has_room((name,))), None)
    cost = sum(cost_by_name[name] for name in several)
    if single is None or cost < cost_by_name[single]:
        return several
    return (single,)


def _several_victims(
    by_cost: list[str], has_room: Callable[[Collection[str]], bool]
) -> tuple[str, ...]:
    """Return the cheapest models that make room, without needless ones."""
    victims: list[str] = []
    for name in by_cost:
        victims.append(name)
        if has_room(victims):
            break
    for name in reversed(victims[:-1]):
        others = [victim for victim in victims if victim != name]
        if has_room(others):
            victims = others
    return tuple(victims)
