"""Wait until a version is in force on every live host and its entries."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from almondspindle.core.clock import Clock
from almondspindle.core.roster import Host, HostState
from almondspindle.core.spread import HostStatus

ASKED_AT_ONCE = 64  # hosts
POLL_PAUSE_S = 0.1
ASKED_STATES = frozenset({HostState.LIVE, HostState.SUSPECT, HostState.DAMPED})


class StatusLink(Protocol):
    """The way to the status of hosts. None stands for no answer in time."""

    async def status(self, address: str) -> HostStatus | None:
        """Return the versions in force on a host and its entries."""
        ...


@dataclass(frozen=True, slots=True)
class Lag:
    """A host that doesn't have the version yet, and why."""

    host: Host
    reason: str


@dataclass(frozen=True, slots=True)
class Rollout:
    """How far a version has got. `took_s` is the time until the last host had it, in seconds."""

    version: int
    done: tuple[HostStatus, ...]
    lagging: tuple[Lag, ...]
    took_s: float

    @property
    def everywhere(self) -> bool:
        """Return whether every host that was asked has the version."""
        return not self.lagging


class RolloutWaiter:
    """Ask hosts for their status until all have a version, or a bound on the wait is over."""

    def __init__(self, link: StatusLink, clock: Clock, pause_s: float = POLL_PAUSE_S) -> None:
        self._link = link
        self._clock = clock
        self._pause_s = pause_s

    async def survey(self, hosts: Iterable[Host]) -> list[tuple[Host, HostStatus | None]]:
        """Return each host with its status, or None where it did not answer."""
        gate = asyncio.Semaphore(ASKED_AT_ONCE)

        async def ask(host: Host) -> tuple[Host, HostStatus | None]:
            async with gate:
                return host, await self._link.status(host.address)

        return list(await asyncio.gather(*(ask(host) for host in hosts)))

    async def wait(self, version: int, hosts: Iterable[Host], bound_s: float) -> Rollout:
        """Return once `version` is in force on all live `hosts`, or after `bound_s` seconds."""
        started_at = self._clock.monotonic()
        left = [host for host in hosts if host.state in ASKED_STATES]
        done: list[HostStatus] = []
        lagging: tuple[Lag, ...] = ()
        while True:
            lagging = ()
            for host, status in await self.survey(left):
                if status is not None and status.lowest_version >= version:
                    done.append(status)
                else:
                    lagging += (Lag(host, lag_reason(status, version)),)
            took_s = self._clock.monotonic() - started_at
            if not lagging or took_s >= bound_s:
                return Rollout(version, tuple(done), lagging, took_s)
            left = [lag.host for lag in lagging]
            await asyncio.sleep(self._pause_s)


def lag_reason(status: HostStatus | None, version: int) -> str:
    """Return why a host does not count as having `version`."""
    if status is None:
        return "no answer"
    if status.version < version:
        return f"has version {status.version}"
    late = sorted(name for name, has in status.entries.items() if has < version)
    return f"entries without it: {', '.join(late)}"


def highest_version(statuses: Iterable[tuple[Host, HostStatus | None]]) -> int:
    """Return the highest version in force on a host that answered, 0 when none did."""
    return max((status.version for _, status in statuses if status is not None), default=0)
