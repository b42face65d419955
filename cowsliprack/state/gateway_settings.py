"""Settings of a gateway instance."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Addresses and limits of an instance.

    :param peer_host: IP address for messages between instances.
    :param freshness_seconds: requests with a key are refused if the
        configuration was last known to be the latest longer ago than this.
    :param grace_seconds: time between SIGTERM and SIGKILL.
    :param lease_seconds: minimum time between the orders of two holders of the
        lease.
    :param first_start: whether no process of the system ran before, so that
        nothing can be lost from the store.
    :param max_relay_age_seconds: age of the last reading relayed by the leader
        above which an instance reads the configuration from the store itself.
    :param cores: processor time that the instance may use, in cores.
    :param link_megabits: bandwidth of the instance's link a second.
    :param quota_slack: tokens by which an organisation may exceed its limit in
        one window.
    :param quota_overrun: fraction by which an organisation may exceed its
        limit in one window, beside the slack.
    :param retry_ratio: retries allowed per request, over all instances.
    :param retry_slack: additional retries allowed in one window, over all
        instances.
    :param evacuation_seconds: time within which no instance may send to the
        targets of an evacuated zone any more; 0 where zones are never
        evacuated.
    :param memory_megabytes: memory of the machine.
    :param max_descriptors: file descriptors that the process may open.
    """

    instance_id: str
    zone: str
    region: str
    front_address: str
    ready_address: str
    peer_host: str
    peer_port: int
    metrics_address: str
    store_url: str
    grace_seconds: float
    freshness_seconds: float
    lease_seconds: float
    first_start: bool
    retry_ratio: float
    retry_slack: float
    retry_window_seconds: float
    quota_window_seconds: float
    quota_slack: float
    cores: float
    link_megabits: float
    max_relay_age_seconds: float
    evacuation_seconds: float = 0
    memory_megabytes: float = 200
    max_descriptors: int = 1024
    quota_overrun: float = 0
