"""The settings of a host, and the bounds on the system's behaviour."""

from dataclasses import dataclass

from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.inventory import Topic


@dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds on the system's behaviour. Durations are in seconds.

    `drain_s` is how long a leaving target still serves, and `grace_s` how long a host may take to
    stop. Within `retry_window_s`, a service may get retries for `retry_ratio` of its requests and
    `retry_slack` more. A cold target may get `cold_rate_multiple` times its rate and `cold_slack`
    more requests per second. A target's load is capped at `load_cap_multiple` times the average.
    Until its roll-out ends, a version may get `exposure_share` of its service's requests and
    `exposure_slack` more. A bad one gets none `rollback_s` after it has shown itself.
    """

    drain_s: float = 2.0
    grace_s: float = 8.0
    config_apply_s: float = 2.0
    evacuation_s: float = 5.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_slack: float = 50.0
    cold_rate_multiple: float = 1.5
    cold_slack: float = 5.0
    load_cap_multiple: float = 2.0
    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    rollback_s: float = 5.0


@dataclass(frozen=True, slots=True)
class NodeCfg:
    """Settings of one host. Addresses have the form "ip:port".

    Callers connect to `listen_address`, and readiness is served at `readiness_address`.
    `other_hosts` are peer addresses. `link_mbps` is the bandwidth of the host's own link in Mbit/s,
    0 if it is unknown. `serves_rollouts` is set if operators may order roll-outs, and
    `serves_under_pressure` if callers compete for too little room at times.
    """

    host: HostName
    zone: ZoneName
    ip: str
    listen_address: str
    readiness_address: str
    store_address: str
    peer_port: int
    metrics_port: int
    max_descriptors: int
    bounds: Bounds
    other_hosts: tuple[str, ...] = ()
    link_mbps: float = 0.0
    serves_rollouts: bool = False
    serves_under_pressure: bool = False

    @property
    def topics(self) -> tuple[Topic, ...]:
        """Return the topics that this host watches."""
        return tuple(t for t in Topic if t is not Topic.ROLLOUTS or self.serves_rollouts)
