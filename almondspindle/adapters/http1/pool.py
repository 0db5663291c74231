"""A pool of idle connections to targets."""

import asyncio
from collections import deque
from dataclasses import dataclass

from almondspindle.adapters.http1.target_connection import TargetConnection
from almondspindle.core.calls import Headers
from almondspindle.core.clock import Clock
from almondspindle.core.identifiers import TargetName
from almondspindle.core.metrics import CONNECTIONS, MetricSender
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.decisions.read_pacing import PacedReads
from almondspindle.utils.addresses import split_address
from almondspindle.utils.numbers import parse_digits

CONNECT_TIMEOUT_S = 0.5  # a round trip takes some ms; a lost SYN packet costs seconds
IDLE_MARGIN_S = 0.6  # a request must arrive before the target closes the connection
DEFAULT_IDLE_LIMIT_S = 1.0  # if the target states no limit
SWEEP_INTERVAL_S = 1.0


@dataclass(frozen=True, slots=True)
class Lease:
    """A connection for one request. `is_reused` is set if it has carried requests before."""

    connection: TargetConnection
    is_reused: bool


class ConnectionPool:
    """Keep idle connections by target and address. The one released last is reused first."""

    def __init__(self, clock: Clock, metrics: MetricSender) -> None:
        self._clock = clock
        self._metrics = metrics
        self._idle: dict[tuple[TargetName, str], deque[TargetConnection]] = {}
        self._paced_reads = PacedReads()

    async def lease(self, target: TargetName, address: str) -> Result[Lease, str]:
        """Return an idle connection or a new one, or why none could be opened."""
        idle = self._idle.get((target, address))
        now = self._clock.monotonic()
        while idle:
            connection = idle.pop()
            if not connection.is_unusable and now - connection.idle_since < connection.idle_limit_s:
                return Ok(Lease(connection, is_reused=True))
            connection.close()
        opened = await self._open(address)
        return opened.map(lambda connection: Lease(connection, is_reused=False)).map_error(
            lambda exc: f"cannot connect to {address}: {exc!r}"
        )

    async def refuses_connections(self, target: TargetName, address: str) -> bool:
        """Return whether `target` refuses a new connection, since it is down.

        A connection that it accepts is kept for the next request.
        """
        opened = await self._open(address)
        if opened.is_error():
            return isinstance(opened.error, ConnectionRefusedError)
        self.release(target, address, opened.ok, ())
        return False

    async def _open(self, address: str) -> Result[TargetConnection, Exception]:
        loop = asyncio.get_running_loop()
        self._metrics.count(CONNECTIONS)
        try:
            host, port = split_address(address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: TargetConnection(self._paced_reads), host, port
                )
        except (OSError, OverflowError, ValueError) as exc:  # the latter for odd addresses
            return Error(exc)
        return Ok(connection)

    def release(
        self, target: TargetName, address: str, connection: TargetConnection, headers: Headers
    ) -> None:
        """Keep `connection` for the next request; `headers` are those of its last response."""
        connection.idle_since = self._clock.monotonic()
        connection.idle_limit_s = idle_limit_s(headers)
        self._idle.setdefault((target, address), deque()).append(connection)

    async def run(self) -> None:
        """Close connections that exceed their idle limit, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = self._clock.monotonic()
            for key in list(self._idle):
                self._close_expired(key, now)

    def _close_expired(self, key: tuple[TargetName, str], now: float) -> None:
        idle = self._idle[key]
        kept = deque[TargetConnection]()
        for connection in idle:
            if connection.is_unusable or now - connection.idle_since >= connection.idle_limit_s:
                connection.close()
            else:
                kept.append(connection)
        if kept:
            self._idle[key] = kept
        else:
            del self._idle[key]


def idle_limit_s(headers: Headers) -> float:
    """Return how long a connection may stay idle, in seconds.

    This is the time-out in the Keep-Alive header less `IDLE_MARGIN_S`, or a default.
    """
    for name, value in headers:
        if name.lower() != "keep-alive":
            continue
        for part in value.split(","):
            key, _, number = part.strip().partition("=")
            limit_s = parse_digits(number) if key.lower() == "timeout" else None
            if limit_s is not None:
                return max(0.0, limit_s - IDLE_MARGIN_S)
    return DEFAULT_IDLE_LIMIT_S
