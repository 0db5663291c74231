"""Poll hosts until a version is in force on each of them and its entries."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from almondspindle.core.clock import Clock
from almondspindle.core.config_messages import HostStatus
from almondspindle.core.roster import Host, HostState

MAX_CONCURRENT_CALLS = 64
POLL_INTERVAL_S = 0.1
# A rollout does not wait for hosts in other states.
EXPECTED_STATES = frozenset({HostState.LIVE, HostState.SUSPECT, HostState.DAMPED})


class StatusClient(Protocol):
    """Client for the status of hosts."""

    async def status(self, address: str) -> HostStatus | None:
        """Return the versions in force on a host and its entries, or None without a response."""
        ...


@dataclass(frozen=True, slots=True)
class HostLag:
    """A host where the version is not in force everywhere yet, and the reason."""

    host: Host
    reason: str


@dataclass(frozen=True, slots=True)
class Rollout:
    """The progress of a version's rollout.

    `took_s` is the length of the wait in seconds. If no host lags, that is the time until the
    last host reported the version.
    """

    version: int
    completed: tuple[HostStatus, ...]
    lagging: tuple[HostLag, ...]
    took_s: float

    @property
    def is_complete(self) -> bool:
        """Return whether the version is in force on every host that was queried."""
        return not self.lagging


class RolloutWaiter:
    """Poll the status of hosts until all have a version in force, or until the time-out."""

    def __init__(
        self, client: StatusClient, clock: Clock, poll_interval_s: float = POLL_INTERVAL_S
    ) -> None:
        self._client = client
        self._clock = clock
        self._poll_interval_s = poll_interval_s

    async def survey(self, hosts: Iterable[Host]) -> list[tuple[Host, HostStatus | None]]:
        """Return each host with its status, or None if it did not respond."""
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def query(host: Host) -> tuple[Host, HostStatus | None]:
            async with semaphore:
                return host, await self._client.status(host.address)

        return list(await asyncio.gather(*(query(host) for host in hosts)))

    async def wait(self, version: int, hosts: Iterable[Host], timeout_s: float) -> Rollout:
        """Return once `version` is in force on all `hosts`, or after `timeout_s` seconds.

        Hosts that are leaving or dead are ignored. The time-out is checked after each poll, so a
        poll that is in flight is not cut short.
        """
        started_at = self._clock.monotonic()
        pending = [host for host in hosts if host.state in EXPECTED_STATES]
        completed: list[HostStatus] = []
        lagging: tuple[HostLag, ...] = ()
        while True:
            lagging = ()
            for host, status in await self.survey(pending):
                if status is not None and status.lowest_version >= version:
                    completed.append(status)
                else:
                    lagging += (HostLag(host, lag_reason(status, version)),)
            took_s = self._clock.monotonic() - started_at
            if not lagging or took_s >= timeout_s:
                return Rollout(version, tuple(completed), lagging, took_s)
            pending = [lag.host for lag in lagging]
            await asyncio.sleep(self._poll_interval_s)


def lag_reason(status: HostStatus | None, version: int) -> str:
    """Return why `version` is not considered in force on a host."""
    if status is None:
        return "no response"
    if status.version < version:
        return f"has version {status.version}"
    late = sorted(name for name, has in status.entries.items() if has < version)
    return f"entries without it: {', '.join(late)}"


def highest_version(statuses: Iterable[tuple[Host, HostStatus | None]]) -> int:
    """Return the highest version in force on any host, or 0 if no host responded."""
    return max((status.version for _, status in statuses if status is not None), default=0)
