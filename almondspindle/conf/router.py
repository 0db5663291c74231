"""Settings of almondspindle-router."""

from pydantic import Field

from almondspindle.conf.base import Address, DaemonCfg


class RouterCfg(DaemonCfg):
    """Settings of a router, which owns targets."""

    listen: Address = Field(
        "127.0.0.1:9080", description="Address for peers, both TCP and UDP, ip:port."
    )
    platform: str = Field(
        pattern=r"^http://[^/]+/?$", description="Base URL of the platform's HTTP API."
    )
    roster_interval_s: float = Field(
        1.0, gt=0, description="Interval between reads of the platform's host list, seconds."
    )
    probe_period_s: float = Field(
        1.0, gt=0, description="Interval between probes of other routers, seconds."
    )
    watch_wait_s: float = Field(
        5.0,
        gt=0,
        description="Longest wait of one watch request for configuration changes, seconds.",
    )
    seeds: list[Address] = Field(
        [], description="Peer addresses to contact while no host is known, as a JSON list."
    )
    load_poll_s: float = Field(
        8.0, gt=0, description="Interval between polls of a target's load, seconds."
    )
    takeover_s: float = Field(
        5.0, ge=0, description="Time until all hosts know a target's new owner, seconds."
    )
    stop_bound_s: float = Field(
        600.0, ge=0, description="Longest wait for requests in flight at shutdown, seconds."
    )
    first_byte_bound_s: float = Field(
        30.0, gt=0, description="Longest wait for the first byte of a target's response, seconds."
    )
    between_bytes_bound_s: float = Field(
        10.0, gt=0, description="Longest pause between bytes of a target's response, seconds."
    )
    heartbeat_interval_s: float = Field(
        1.0,
        gt=0,
        description="Interval between heartbeats on an idle stream to a peer, seconds.",
    )
