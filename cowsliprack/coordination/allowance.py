"""Replicas that each zone may load, and how the number moves between zones.

A record ``allowances/{shard}`` holds, for each deployment, the replicas that
each zone may load. A zone loads at most the smaller of its row and its part
of the current configuration. Only the zone itself lowers its row, after it
has unloaded; a row is raised only while the rows sum to no more than the
decided number. So the sum over the zones never exceeds the decided number,
whatever generation of the configuration each zone has reached.
"""

import hashlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cowsliprack.coordination.allowance_index import ShardIndex
from cowsliprack.state.configuration import (
    Configuration,
    Deployment,
    TargetKind,
)

# 54,000 deployments of about 60 bytes need at least 4 values of 1 MB; 32
# leave room and keep each write near 100 KB.
SHARDS = 32
ALLOWANCE_PREFIX = 'allowances/'

ZoneRows = dict[str, int]


@dataclass(frozen=True, slots=True)
class AllowanceRecord:
    """Content of one record.

    :param generation: highest configuration generation of its writers.
    :param rows_by_deployment: replicas by zone for each deployment.
    """

    generation: int
    rows_by_deployment: dict[str, ZoneRows]


def shard_of(deployment: str) -> int:
    """Return the number of the record that holds a deployment.

    :param deployment: name of the deployment.
    """
    digest = hashlib.sha256(deployment.encode()).digest()
    return int.from_bytes(digest[:4], 'big') % SHARDS


def shard_key(shard: int) -> str:
    """Return the store key of a record.

    :param shard: number of the record.
    """
    return f'{ALLOWANCE_PREFIX}{shard}'


def rank_zones(deployment: str, zones: Iterable[str]) -> list[str]:
    """Return the zones in the deployment's order of preference.

    :param deployment: name of the deployment.
    :param zones: names of zones in any order.
    """
    return sorted(zones, key=lambda zone: _score(deployment, zone))


def split_replicas(
    deployment: str,
    replicas: int,
    zones: Iterable[str],
) -> ZoneRows:
    """Divide a number of replicas among zones by rendezvous hashing.

    :param deployment: name of the deployment.
    :param replicas: decided number over all zones.
    :param zones: zones that can load it.
    :returns: replicas by zone; they sum to the decided number.
    """
    ranked = rank_zones(deployment, zones)
    if not ranked:
        return {}
    base, extra = divmod(replicas, len(ranked))
    return {
        zone: base + int(place < extra) for place, zone in enumerate(ranked)
    }


def zones_by_pool(configuration: Configuration) -> dict[str, set[str]]:
    """Return the zones that have an engine of each pool.

    :param configuration: the configuration in force.
    """
    zones: dict[str, set[str]] = {}
    for target in configuration.targets_by_id.values():
        if target.kind is TargetKind.engine:
            zones.setdefault(target.pool, set()).add(target.zone)
    return zones


def parse_record(body: Mapping[str, object] | None) -> AllowanceRecord:
    """Return the content of a record.

    :param body: body of the stored object, ``None`` when there is none.
    """
    if body is None:
        return AllowanceRecord(0, {})
    rows = body.get('rows', {})
    assert isinstance(rows, dict)
    return AllowanceRecord(
        int(str(body.get('generation', 0))),
        {name: dict(by_zone) for name, by_zone in rows.items()},
    )


def revise_rows(
    rows: ZoneRows | None,
    split: ZoneRows,
    zone: str,
    occupied: int,
) -> ZoneRows:
    """Return the rows of one deployment as this zone may change them.

    :param rows: recorded replicas by zone; ``None`` when not yet recorded.
    :param split: replicas by zone by the current configuration.
    :param zone: the zone that writes.
    :param occupied: replicas that are or may be loaded in this zone.
    """
    if rows is None:
        return _without_zeros(split)
    revised = dict(rows)
    kept = max(split.get(zone, 0), occupied)
    revised[zone] = min(revised.get(zone, 0), kept)
    spare = sum(split.values()) - sum(revised.values())
    # The writer's own row comes first.
    others = sorted(set(split) - {zone})
    for name in (zone, *others):
        lacking = split.get(name, 0) - revised.get(name, 0)
        raised = max(0, min(lacking, spare))
        revised[name] = revised.get(name, 0) + raised
        spare -= raised
    return _without_zeros(revised)


class AllowanceTracker:
    """What this zone may load, by its rows and the configuration.

    :param zone: the leader's zone.
    """

    def __init__(self, zone: str) -> None:
        """Start without rows, which allows nothing."""
        self._zone = zone
        self._configuration = Configuration()
        self._zones_by_pool: dict[str, set[str]] = {}
        self._rows_by_deployment: dict[str, ZoneRows] = {}
        self._index = ShardIndex(shard_of)
        # Replicas of this zone by the configuration; ranking the zones takes
        # a digest for each of them.
        self._wanted_by_name: dict[str, int] = {}

    def set_configuration(self, configuration: Configuration) -> None:
        """Use another generation.

        :param configuration: the configuration in force.
        """
        before = self._configuration.deployments_by_name
        current = configuration.deployments_by_name
        zones = zones_by_pool(configuration)
        # The split of every deployment may differ.
        all_differ = zones != self._zones_by_pool
        self._configuration = configuration
        self._zones_by_pool = zones
        changed = {
            name
            for name, deployment in current.items()
            if all_differ or before.get(name) != deployment
        }
        changed.update(name for name in before if name not in current)
        self._look_again(changed)

    def apply_record(self, shard: int, record: AllowanceRecord) -> None:
        """Take a record as read from or written to the store.

        :param shard: number of the record.
        :param record: its content.
        """
        rows_by_deployment = record.rows_by_deployment
        changed = {
            name
            for name in self._index.names(shard)
            if name in self._rows_by_deployment
            and name not in rows_by_deployment
        }
        for name in changed:
            self._rows_by_deployment.pop(name)
        for row_name, rows in rows_by_deployment.items():
            if self._rows_by_deployment.get(row_name) != rows:
                self._rows_by_deployment[row_name] = rows
                changed.add(row_name)
        self._look_again(changed)

    def lower_own_rows(self, shard: int, record: AllowanceRecord) -> None:
        """Lower the own rows to those of a record that is being written.

        :param shard: number of the record.
        :param record: what is being written.
        """
        lowered: set[str] = set()
        for name in self._index.names(shard):
            rows = self._rows_by_deployment.get(name)
            if rows is None:
                continue
            written = record.rows_by_deployment.get(name, {})
            own = rows.get(self._zone, 0)
            row = min(own, written.get(self._zone, 0))
            if row != own:
                self._rows_by_deployment[name] = {**rows, self._zone: row}
                lowered.add(name)
        self._look_again(lowered)

    def split_of(self, deployment: Deployment) -> ZoneRows:
        """Return the replicas by zone by the configuration.

        :param deployment: the deployment.
        """
        zones = self._zones_by_pool.get(deployment.pool, set())
        ranked_by = _ranking_name(deployment)
        return split_replicas(ranked_by, deployment.replicas, zones)

    def allowed(self, deployment: Deployment) -> int:
        """Return the replicas that this zone may load now.

        :param deployment: the deployment.
        """
        rows = self._rows_by_deployment.get(deployment.name, {})
        wanted = self._wanted(deployment.name)
        return min(rows.get(self._zone, 0), wanted)

    def limit(self, deployment: Deployment) -> int:
        """Return the replicas above which this zone must unload.

        :param deployment: the deployment.
        """
        rows = self._rows_by_deployment.get(deployment.name)
        wanted = self._wanted(deployment.name)
        return wanted if rows is None else min(wanted, rows.get(self._zone, 0))

    def is_pending(self, deployment: Deployment) -> bool:
        """Return whether the rows are still to be written or read.

        :param deployment: the deployment.
        """
        wanted = self._wanted(deployment.name)
        return bool(wanted) and deployment.name not in self._rows_by_deployment

    def other_zones(self, deployment: Deployment) -> list[str]:
        """Return other zones that may load it, in order of preference.

        :param deployment: the deployment.
        """
        rows = self._rows_by_deployment.get(deployment.name)
        if rows is None:
            rows = self.split_of(deployment)
        zones = [name for name, count in rows.items() if count]
        ranked = rank_zones(_ranking_name(deployment), zones)
        return [name for name in ranked if name != self._zone]

    def revise(
        self,
        shard: int,
        record: AllowanceRecord,
        occupied_by_deployment: Mapping[str, int],
    ) -> AllowanceRecord | None:
        """Return the record as this zone may change it.

        :param shard: number of the record.
        :param record: content read from the store.
        :param occupied_by_deployment: replicas that are or may be loaded in
            this zone.
        :returns: ``None`` when there is nothing to write.
        """
        generation = self._configuration.generation
        if record.generation > generation:
            return None
        names = {*self._index.names(shard), *record.rows_by_deployment}
        revised: dict[str, ZoneRows] = {}
        for name in names:
            rows = revise_rows(
                record.rows_by_deployment.get(name),
                self._split_by_name(name),
                self._zone,
                occupied_by_deployment.get(name, 0),
            )
            if rows:
                revised[name] = rows
        if revised == record.rows_by_deployment:
            return None
        return AllowanceRecord(generation, revised)

    def due_shards(
        self,
        occupied_by_deployment: Mapping[str, int],
    ) -> list[int]:
        """Return the records that this zone wants to change.

        :param occupied_by_deployment: replicas that are or may be loaded in
            this zone.
        """
        due: set[int] = set()
        for shard, names in self._index.open_names():
            if any(
                self._is_due(name, occupied_by_deployment.get(name, 0))
                for name in names
            ):
                due.add(shard)
        return sorted(due)

    def _look_again(self, names: Iterable[str]) -> None:
        """Note what changed; occupied replicas only ever make less due."""
        deployments_by_name = self._configuration.deployments_by_name
        for name in names:
            self._wanted_by_name.pop(name, None)
            is_known = (
                name in deployments_by_name or name in self._rows_by_deployment
            )
            is_open = is_known and self._is_due(name, 0)
            self._index.note(name, is_known=is_known, is_open=is_open)

    def _wanted(self, name: str) -> int:
        wanted = self._wanted_by_name.get(name)
        if wanted is None:
            wanted = self._split_by_name(name).get(self._zone, 0)
            self._wanted_by_name[name] = wanted
        return wanted

    def _is_due(self, name: str, occupied: int) -> bool:
        rows = self._rows_by_deployment.get(name)
        if rows is None:
            deployment = self._configuration.deployments_by_name.get(name)
            return bool(deployment and self._zones_by_pool.get(deployment.pool))
        own = rows.get(self._zone, 0)
        wanted = self._wanted(name)
        return own < wanted or own > max(wanted, occupied)

    def _split_by_name(self, name: str) -> ZoneRows:
        deployment = self._configuration.deployments_by_name.get(name)
        return self.split_of(deployment) if deployment else {}


def record_body(record: AllowanceRecord, attempt: str) -> dict[str, object]:
    """Return the body to store for a record.

    :param record: its content.
    :param attempt: id of the write attempt.
    """
    return {
        'generation': record.generation,
        'rows': record.rows_by_deployment,
        'attempt': attempt,
    }


def _ranking_name(deployment: Deployment) -> str:
    # An adapter can only be loaded where its base model may be.
    return deployment.base or deployment.name


def _without_zeros(rows: ZoneRows) -> ZoneRows:
    return {zone: count for zone, count in rows.items() if count}


def _score(deployment: str, zone: str) -> bytes:
    return hashlib.sha256(f'{deployment}\0{zone}'.encode()).digest()
