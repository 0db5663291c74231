"""Settings of almondspindle-entry."""

from typing import Annotated

from pydantic import Field

from almondspindle.conf.base import Address, DaemonCfg


class EntryCfg(DaemonCfg):
    """Settings of an entry, which accepts requests of callers."""

    listen: Address = Field("127.0.0.1:8080", description="Address for callers, ip:port.")
    routers: Annotated[list[Address], Field(min_length=1)] = Field(
        description="Peer addresses of routers, this host's own first, as a JSON list."
    )
    max_body_bytes: int = Field(
        2 * 1024 * 1024, ge=1, description="Maximum size of a request body, bytes."
    )
    max_header_bytes: int = Field(
        64 * 1024, ge=1024, description="Maximum size of the request headers, bytes."
    )
    default_deadline_s: float = Field(
        60.0, gt=0, description="Deadline of requests without a deadline header, seconds."
    )
    max_deadline_s: float = Field(
        600.0, gt=0, description="Longest deadline that a request may set, seconds."
    )
    balancer_lag_s: float = Field(
        2.0, ge=0, description="Time for the load balancer to notice a shutdown, seconds."
    )
    stop_bound_s: float = Field(
        600.0, ge=0, description="Longest wait for requests in flight at shutdown, seconds."
    )
    peer_silence_bound_s: float = Field(
        4.0,
        gt=0,
        description="Idle time-out of a connection to a router, which sends heartbeats, seconds.",
    )
    resume_window_s: float = Field(
        10.0, ge=0, description="Longest time for attempts to resume a broken stream, seconds."
    )
