"""Limits how many replicas of a deployment each zone may load.

A stored record ``allowances/{shard}`` holds, for each deployment, one row per
zone: the number of replicas that the zone may load. A zone loads at most the
smaller of its row and its part of the current configuration. Only the zone
itself lowers its row, after it has unloaded; a row is raised only while the
rows sum to no more than the configured replicas. The sum over the zones
therefore never exceeds the configured replicas, whatever generation of the
configuration each zone has reached.
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
# values leave headroom and keep each write near 100 KB.
SHARD_COUNT = 32
ALLOWANCE_PREFIX = 'allowances/'

ReplicasByZone = dict[str, int]


@dataclass(frozen=True, slots=True)
class AllowanceRecord:
    """Allowances of the deployments of one shard.

    :param generation: highest configuration generation of its writers.
    :param rows_by_deployment: replicas by zone for each deployment.
    """

    generation: int
    rows_by_deployment: dict[str, ReplicasByZone]


def shard_of(deployment: str) -> int:
    """Return the shard whose record holds a deployment.

    :param deployment: name of the deployment.
    """
    digest = hashlib.sha256(deployment.encode()).digest()
    return int.from_bytes(digest[:4], 'big') % SHARD_COUNT


def shard_key(shard: int) -> str:
    """Return the store key of a shard's record.

    :param shard: number of the shard.
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
) -> ReplicasByZone:
    """Divide a number of replicas among zones by rendezvous hashing.

    :param deployment: name of the deployment.
    :param replicas: configured number over all zones.
    :param zones: zones that can load it.
    :returns: replicas by zone; they sum to ``replicas``.
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
    """Decode a stored record.

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
    rows: ReplicasByZone | None,
    split: ReplicasByZone,
    zone: str,
    occupied: int,
) -> ReplicasByZone:
    """Return the rows of one deployment after the changes this zone may make.

    The zone lowers only its own row, down to the replicas that it still
    needs, and raises rows while the sum stays within the split.

    :param rows: recorded replicas by zone; ``None`` when not yet recorded.
    :param split: replicas by zone by the current configuration.
    :param zone: the zone that writes.
    :param occupied: replicas that are or may be loaded in this zone.
    """
    if rows is None:
        return _without_zeros(split)
    revised = dict(rows)
    needed = max(split.get(zone, 0), occupied)
    revised[zone] = min(revised.get(zone, 0), needed)
    spare = sum(split.values()) - sum(revised.values())
    # The writer raises its own row before those of other zones.
    others = sorted(set(split) - {zone})
    for name in (zone, *others):
        missing = split.get(name, 0) - revised.get(name, 0)
        raised = max(0, min(missing, spare))
        revised[name] = revised.get(name, 0) + raised
        spare -= raised
    return _without_zeros(revised)


class AllowanceTracker:
    """Computes how many replicas this zone may load.

    :param zone: the leader's zone.
    """

    def __init__(self, zone: str) -> None:
        """Start without rows, so that nothing may be loaded."""
        self._zone = zone
        self._configuration = Configuration()
        self._zones_by_pool: dict[str, set[str]] = {}
        self._rows_by_deployment: dict[str, ReplicasByZone] = {}
        self._index = ShardIndex(shard_of)
        # Cached replicas of this zone by the configuration: ranking the zones
        # computes a digest for each of them.
        self._configured_by_name: dict[str, int] = {}

    def set_configuration(self, configuration: Configuration) -> None:
        """Use another generation of the configuration.

        :param configuration: the configuration in force.
        """
        before = self._configuration.deployments_by_name
        current = configuration.deployments_by_name
        zones = zones_by_pool(configuration)
        # A change of the zones of a pool may change every split.
        all_differ = zones != self._zones_by_pool
        self._configuration = configuration
        self._zones_by_pool = zones
        changed = {
            name
            for name, deployment in current.items()
            if all_differ or before.get(name) != deployment
        }
        changed.update(name for name in before if name not in current)
        self._update_index(changed)

    def apply_record(self, shard: int, record: AllowanceRecord) -> None:
        """Apply a record that was read from or written to the store.

        :param shard: number of the shard.
        :param record: its record.
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
        self._update_index(changed)

    def lower_own_rows(self, shard: int, record: AllowanceRecord) -> None:
        """Lower this zone's rows to those of a record that is being written.

        :param shard: number of the shard.
        :param record: record that is being written.
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
        self._update_index(lowered)

    def split_for(self, deployment: Deployment) -> ReplicasByZone:
        """Return the replicas by zone that the configuration assigns.

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
        wanted = self._configured_replicas(deployment.name)
        return min(rows.get(self._zone, 0), wanted)

    def limit(self, deployment: Deployment) -> int:
        """Return the replicas above which this zone must unload.

        :param deployment: the deployment.
        """
        rows = self._rows_by_deployment.get(deployment.name)
        wanted = self._configured_replicas(deployment.name)
        return wanted if rows is None else min(wanted, rows.get(self._zone, 0))

    def is_pending(self, deployment: Deployment) -> bool:
        """Return whether the rows have not been written or read yet.

        :param deployment: the deployment.
        """
        wanted = self._configured_replicas(deployment.name)
        return bool(wanted) and deployment.name not in self._rows_by_deployment

    def other_zones(self, deployment: Deployment) -> list[str]:
        """Return the other zones that may load a deployment, best first.

        :param deployment: the deployment.
        """
        rows = self._rows_by_deployment.get(deployment.name)
        if rows is None:
            rows = self.split_for(deployment)
        zones = [name for name, count in rows.items() if count]
        ranked = rank_zones(_ranking_name(deployment), zones)
        return [name for name in ranked if name != self._zone]

    def revise(
        self,
        shard: int,
        record: AllowanceRecord,
        occupied_by_deployment: Mapping[str, int],
    ) -> AllowanceRecord | None:
        """Return the record after the changes that this zone may make.

        :param shard: number of the shard.
        :param record: record read from the store.
        :param occupied_by_deployment: replicas that are or may be loaded in
            this zone.
        :returns: ``None`` when there is nothing to write.
        """
        generation = self._configuration.generation
        if record.generation > generation:
            return None
        names = {*self._index.names(shard), *record.rows_by_deployment}
        revised: dict[str, ReplicasByZone] = {}
        for name in names:
            rows = revise_rows(
                record.rows_by_deployment.get(name),
                self._configured_split(name),
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
        """Return the shards whose record this zone needs to change.

        :param occupied_by_deployment: replicas that are or may be loaded in
            this zone.
        """
        due: set[int] = set()
        for shard, names in self._index.pending_names():
            if any(
                self._is_due(name, occupied_by_deployment.get(name, 0))
                for name in names
            ):
                due.add(shard)
        return sorted(due)

    def _update_index(self, names: Iterable[str]) -> None:
        """Update the index for deployments whose rows or split changed.

        Names are indexed as if no replica were occupied: occupied replicas
        can only make a change unnecessary, never necessary.
        """
        deployments_by_name = self._configuration.deployments_by_name
        for name in names:
            self._configured_by_name.pop(name, None)
            is_known = (
                name in deployments_by_name or name in self._rows_by_deployment
            )
            may_need_change = is_known and self._is_due(name, 0)
            self._index.update(
                name, is_known=is_known, may_need_change=may_need_change
            )

    def _configured_replicas(self, name: str) -> int:
        wanted = self._configured_by_name.get(name)
        if wanted is None:
            wanted = self._configured_split(name).get(self._zone, 0)
            self._configured_by_name[name] = wanted
        return wanted

    def _is_due(self, name: str, occupied: int) -> bool:
        rows = self._rows_by_deployment.get(name)
        if rows is None:
            deployment = self._configuration.deployments_by_name.get(name)
            return bool(deployment and self._zones_by_pool.get(deployment.pool))
        own = rows.get(self._zone, 0)
        wanted = self._configured_replicas(name)
        return own < wanted or own > max(wanted, occupied)

    def _configured_split(self, name: str) -> ReplicasByZone:
        deployment = self._configuration.deployments_by_name.get(name)
        return self.split_for(deployment) if deployment else {}


def record_body(record: AllowanceRecord, attempt: str) -> dict[str, object]:
    """Encode a record for the store.

    :param record: the record.
    :param attempt: id of the write attempt.
    """
    return {
        'generation': record.generation,
        'rows': record.rows_by_deployment,
        'attempt': attempt,
    }


def _ranking_name(deployment: Deployment) -> str:
    # An adapter can be loaded only where its base model may be loaded, so
    # both must rank the zones in the same order.
    return deployment.base or deployment.name


def _without_zeros(rows: ReplicasByZone) -> ReplicasByZone:
    return {zone: count for zone, count in rows.items() if count}


def _score(deployment: str, zone: str) -> bytes:
    return hashlib.sha256(f'{deployment}\0{zone}'.encode()).digest()
