"""Metrics of one instance, in the Prometheus format."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

# 0.64 s is the target latency of the first token.
_LATENCY_BUCKETS_SECONDS = (
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.64, 1, 2.5, 5, 10, 30, 60,
)  # fmt: skip


class TargetMetrics:
    """Targets and models that get fewer requests than others."""

    def __init__(self, registry: Registry) -> None:
        """Register the gauges.

        :param registry: of the instance.
        """
        self._evacuated_zones = Gauge(
            'cowsliprack_evacuated_zones',
            'Availability zones whose targets get no requests.',
            registry=registry,
        )
        self._cold_targets = Gauge(
            'cowsliprack_cold_targets',
            'Targets whose requests are limited because they are cold.',
            registry=registry,
        )
        self._paced_targets = Gauge(
            'cowsliprack_paced_targets',
            'Targets that start, recover or are full, and get fewer requests.',
            registry=registry,
        )
        self._absent_models = Gauge(
            'cowsliprack_absent_models',
            'Models that lie on no engine, as the leader has told.',
            registry=registry,
        )

    def update(
        self,
        evacuated_zones: int,
        cold_targets: int,
        paced_targets: int,
        absent_models: int,
    ) -> None:
        """Set the gauges.

        :param evacuated_zones: zones whose targets get no requests.
        :param cold_targets: targets with a limit because they are cold.
        :param paced_targets: targets that start, recover or are full.
        :param absent_models: models that lie on no engine.
        """
        self._evacuated_zones.set({}, evacuated_zones)
        self._cold_targets.set({}, cold_targets)
        self._paced_targets.set({}, paced_targets)
        self._absent_models.set({}, absent_models)


class PlacementMetrics:
    """What the placement of busy models is decided by, and its result."""

    def __init__(self, registry: Registry) -> None:
        """Register the gauges.

        :param registry: of the instance.
        """
        self._late = Gauge(
            'cowsliprack_late_first_events',
            'Requests without a first event by their latency target.',
            registry=registry,
        )
        self._paused = Gauge(
            'cowsliprack_paused_streams',
            'Streams with a pause above the limit of their route.',
            registry=registry,
        )
        self._further_replicas = Gauge(
            'cowsliprack_further_replicas',
            'Replicas that the leader wants of busy models, beyond one each.',
            registry=registry,
        )

    def update(self, late: int, paused: int, further_replicas: int) -> None:
        """Set the gauges.

        :param late: late requests since the process started.
        :param paused: paused streams since the process started.
        :param further_replicas: 0 unless this instance leads.
        """
        self._late.set({}, late)
        self._paused.set({}, paused)
        self._further_replicas.set({}, further_replicas)


class CallerMetrics:
    """Collectors of what a gateway holds for its callers."""

    def __init__(self, registry: Registry) -> None:
        """Register the collectors.

        :param registry: of the instance.
        """
        self.held_bytes = Gauge(
            'cowsliprack_caller_bytes',
            'Bytes that are held for callers.',
            registry=registry,
        )
        self.connections = Gauge(
            'cowsliprack_caller_connections',
            'Open connections of callers.',
            registry=registry,
        )
        self.dropped = Counter(
            'cowsliprack_callers_dropped_total',
            'Requests and connections dropped to bound what is held.',
            registry=registry,
        )


class QueueMetrics:
    """Requests that wait for a place at a target."""

    def __init__(self, registry: Registry) -> None:
        """Register the collectors.

        :param registry: of the instance.
        """
        self.waiting = Gauge(
            'cowsliprack_queued_requests',
            'Requests waiting in the queue.',
            registry=registry,
        )
        self.decisions = Counter(
            'cowsliprack_queue_decisions_total',
            'Requests that waited for a place at a target, by decision.',
            registry=registry,
        )


class Metrics:
    """Collectors of one instance, in a separate registry."""

    def __init__(self) -> None:
        """Register the collectors."""
        self.registry = Registry()
        self.requests = self._counter(
            'cowsliprack_requests_total',
            'Requests by answer kind.',
        )
        self.tokens = self._counter(
            'cowsliprack_tokens_total',
            'Tokens charged, by organisation.',
        )
        self.retries = self._counter(
            'cowsliprack_retries_total',
            'Requests sent again to another target.',
        )
        self.charged_alone = self._gauge(
            'cowsliprack_charged_without_leader',
            'Requests admitted or refused without the leader; tokens lent.',
        )
        self.store_returns = self._counter(
            'cowsliprack_store_returns_total',
            'Times that the store was seen to come back from an older copy.',
        )
        self.queue = QueueMetrics(self.registry)
        self.running = self._gauge(
            'cowsliprack_running_requests',
            'Requests in flight to targets.',
        )
        self.generation = self._gauge(
            'cowsliprack_configuration_generation',
            'Generation of the configuration in force.',
        )
        self.leader = self._gauge(
            'cowsliprack_zone_leader',
            '1 while this instance leads its zone.',
        )
        self.targets = TargetMetrics(self.registry)
        self.placement = PlacementMetrics(self.registry)
        self.loop_late = self._gauge(
            'cowsliprack_loop_late_seconds',
            'Time for which the event loop was held up during deadlines.',
        )
        self.first_byte = Histogram(
            'cowsliprack_first_byte_seconds',
            'Time from a request to the first byte of its answer.',
            buckets=list(_LATENCY_BUCKETS_SECONDS),
            registry=self.registry,
        )

    def render(self, accepted: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the rendered metrics and the headers of the response.

        :param accepted: values of the ``Accept`` header.
        """
        return render(self.registry, accepted)

    def _counter(self, name: str, documentation: str) -> Counter:
        return Counter(name, documentation, registry=self.registry)

    def _gauge(self, name: str, documentation: str) -> Gauge:
        return Gauge(name, documentation, registry=self.registry)
