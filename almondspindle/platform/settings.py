"""Read the settings file that the platform writes for a process."""

import os
from typing import Annotated

import msgspec
from expression import Error, Ok, Result
from msgspec import Meta, Struct

from almondspindle.core.identifiers import HostName, ZoneName
from almondspindle.core.node import Bounds, NodeCfg

SETTINGS_VARIABLE = "ALMONDSPINDLE_CONFIG"
MS_PER_S = 1000.0
PEER_PORT_OFFSET = 0
METRICS_PORT_OFFSET = 1
ROLLOUT_CONTRACT = "rollout"
PRESSURE_CONTRACT = "pressure"

Address = Annotated[str, Meta(pattern=r"^[0-9.]+:[0-9]{1,5}$")]
Duration = Annotated[float, Meta(ge=0)]


class _Listen(Struct):
    front: Address
    ready: Address


class _Limits(Struct):
    max_fds: int = 1024
    link_mbps: Annotated[float, Meta(ge=0)] = 0.0


class _Bounds(Struct):
    drain_ms: Duration = 2000
    grace_s: Duration = 8
    config_apply_ms: Duration = 2000
    evac_ms: Duration = 5000
    retry_ratio: Duration = 0.2
    retry_window_s: Duration = 10
    retry_slack: Duration = 50
    cold_over: Duration = 1.5
    cold_slack: Duration = 5
    cap_x: Duration = 2
    expose_share: Duration = 0.1
    expose_slack: Duration = 50
    rollback_ms: Duration = 5000


class _Platform(Struct):
    addr: Address


class _Settings(Struct):
    node: str
    zone: str
    ip: str
    listen: _Listen
    internal_ports: tuple[int, int]
    platform: _Platform
    seeds: tuple[str, ...] = ()
    contracts: tuple[str, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)


def settings_path() -> str | None:
    """Return the path of the settings file, or None if the environment names none."""
    return os.environ.get(SETTINGS_VARIABLE) or None


def read_settings() -> Result[NodeCfg, str]:
    """Return the settings of this process, or a one-line message if they can't be read."""
    path = settings_path()
    if not path:
        return Error(f"{SETTINGS_VARIABLE} must be set to the path of the settings file")
    try:
        with open(path, "rb") as file:
            data = file.read()
    except OSError as exc:
        return Error(f"cannot read {path}: {exc.strerror}")
    return parse_settings(data).map_error(lambda reason: f"{path}: {reason}")


def parse_settings(data: bytes) -> Result[NodeCfg, str]:
    """Return the settings in `data`, or a one-line message that names the invalid field."""
    try:
        settings = msgspec.json.decode(data, type=_Settings)
    except msgspec.DecodeError as exc:
        return Error(str(exc))
    first, last = settings.internal_ports
    if not 0 < first + METRICS_PORT_OFFSET <= last <= 0xFFFF:
        return Error(
            f"Expected a range of at least two ports - at `$.internal_ports` ({first} to {last})"
        )
    return Ok(
        NodeCfg(
            host=HostName(settings.node),
            zone=ZoneName(settings.zone),
            ip=settings.ip,
            listen_address=settings.listen.front,
            readiness_address=settings.listen.ready,
            store_address=settings.platform.addr,
            peer_port=first + PEER_PORT_OFFSET,
            metrics_port=first + METRICS_PORT_OFFSET,
            max_descriptors=settings.limits.max_fds,
            bounds=_to_bounds(settings.bounds),
            other_hosts=tuple(seed.rpartition(":")[0] for seed in settings.seeds),
            link_mbps=settings.limits.link_mbps,
            serves_rollouts=ROLLOUT_CONTRACT in settings.contracts,
            serves_under_pressure=PRESSURE_CONTRACT in settings.contracts,
        )
    )


def _to_bounds(bounds: _Bounds) -> Bounds:
    return Bounds(
        drain_s=bounds.drain_ms / MS_PER_S,
        grace_s=bounds.grace_s,
        config_apply_s=bounds.config_apply_ms / MS_PER_S,
        evacuation_s=bounds.evac_ms / MS_PER_S,
        retry_ratio=bounds.retry_ratio,
        retry_window_s=bounds.retry_window_s,
        retry_slack=bounds.retry_slack,
        cold_rate_multiple=bounds.cold_over,
        cold_slack=bounds.cold_slack,
        load_cap_multiple=bounds.cap_x,
        exposure_share=bounds.expose_share,
        exposure_slack=bounds.expose_slack,
        rollback_s=bounds.rollback_ms / MS_PER_S,
    )
