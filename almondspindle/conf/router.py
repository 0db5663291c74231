"""Settings of almondspindle-router."""

from pydantic import Field

from almondspindle.conf.base import Address, DaemonCfg


class RouterCfg(DaemonCfg):
    """Settings of a router."""

    listen: Address = Field(
        "127.0.0.1:9080", description="Address for peers, TCP and UDP, ip:port."
    )
    platform: str = Field(
        pattern=r"^http://[^/]+/?$", description="Base URL of the platform's service."
    )
    roster_interval_s: float = Field(
        1.0, gt=0, description="Time between readings of the platform's host list, seconds."
    )
    probe_period_s: float = Field(
        1.0, gt=0, description="Time between probes of other routers, seconds."
    )
    watch_wait_s: float = Field(5.0, gt=0, description="Longest wait of one watch, seconds.")
    seeds: list[Address] = Field(
        [], description="Peer addresses to ask while no host is known, as a JSON list."
    )
    load_poll_s: float = Field(
        8.0, gt=0, description="Time between two polls of a target's load, seconds."
    )
    takeover_s: float = Field(
        5.0, ge=0, description="Time for all hosts to learn of a new owner, seconds."
    )
    stop_bound_s: float = Field(
        600.0, ge=0, description="Longest wait for requests in flight at a stop, seconds."
    )
    first_byte_bound_s: float = Field(
        30.0, gt=0, description="Longest wait for a target's first byte, seconds."
    )
    between_bytes_bound_s: float = Field(
        10.0, gt=0, description="Longest silence of a target within an answer, seconds."
    )
    heartbeat_interval_s: float = Field(
        1.0,
        gt=0,
        description="Time between heartbeats on an idle stream to a peer, seconds.",
    )
