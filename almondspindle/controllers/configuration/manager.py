"""Operations on the configuration for operators' commands: change, await a version, restore.

A command language needs no other interface to the configuration. This module neither parses
commands nor formats their output.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from almondspindle.adapters.platform.base import Platform
from almondspindle.adapters.platform.stored_config import validate_config
from almondspindle.controllers.configuration.rollout import (
    Rollout,
    RolloutWaiter,
    highest_version,
)
from almondspindle.controllers.configuration.writer import (
    ConfigWriter,
    WriteResult,
    store_unavailable,
)
from almondspindle.core.changes import (
    Change,
    ChangeError,
    ChangeErrorCode,
    HistoryEntry,
    ObjectKind,
    TakeOut,
)
from almondspindle.core.clock import Clock
from almondspindle.core.config import ConfigSet
from almondspindle.core.config_messages import ConfigResponse, GetConfigRequest, HostStatus
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.core.roster import Host, Roster
from almondspindle.core.stored_config import StoredConfig
from almondspindle.decisions.configuration.apply import apply_changes
from almondspindle.decisions.configuration.delta import describe_delta, diff
from almondspindle.decisions.configuration.references import check_references
from almondspindle.decisions.configuration.writing import invalid_values_error

SURVEYED_HOSTS = 16  # hosts queried for the version in force before a write
# -1 is below every version. No host has a delta from it, so the response is the full configuration.
FULL_CONFIG_REQUEST = GetConfigRequest(have=-1)


class ConfigManagerClient(Protocol):
    """Client for hosts. Calls return None without a response in time."""

    async def status(self, address: str) -> HostStatus | None:
        """Return the versions in force on a host and its entries."""
        ...

    async def get_config(self, address: str, req: GetConfigRequest) -> ConfigResponse | None:
        """Return the configuration in force on a host."""
        ...


@dataclass(frozen=True, slots=True)
class DryRun:
    """The effect that changes would have on the stored version.

    `lines` describes the effect with one line per changed object. `config` is the result.
    """

    version: int
    lines: tuple[str, ...]
    config: ConfigSet


class ConfigManager:
    """Read and change the stored configuration, and compare it with the hosts' versions."""

    def __init__(
        self, platform: Platform, client: ConfigManagerClient, clock: Clock, seed: int | None = None
    ) -> None:
        self._platform = platform
        self._client = client
        self._writer = ConfigWriter(platform, clock)
        self._waiter = RolloutWaiter(client, clock)
        self._random = Random(seed)

    async def read(self) -> Result[StoredConfig, ChangeError]:
        """Return the stored configuration with its recent changes."""
        return await self._writer.read()

    async def history(self, count: int) -> Result[tuple[HistoryEntry, ...], ChangeError]:
        """Return the latest `count` accepted changes, newest first."""
        return await self._writer.history(count)

    async def submit(
        self, changes: Sequence[Change], operator: str, expected_version: int | None = None
    ) -> WriteResult:
        """Write `changes` as one update; return the version that contains them, or an error."""
        roster = await self._roster()
        if roster.is_error():
            return Error(roster.error)
        error = _unknown_target(changes, roster.ok)
        if error is not None:
            return Error(error)
        in_force = await self._sample_highest_version(list(roster.ok.hosts.values()))
        return await self._writer.submit(tuple(changes), operator, expected_version, in_force)

    async def dry_run(self, changes: Sequence[Change]) -> Result[DryRun, ChangeError]:
        """Return the effect of `changes` on the stored configuration without writing them."""
        stored = await self.read()
        return stored.bind(lambda found: _dry_run(found.config, changes))

    async def wait(self, version: int, timeout_s: float) -> Result[Rollout, ChangeError]:
        """Wait until `version` is in force on all hosts and their entries, or for `timeout_s`.

        Hosts that are leaving or dead are ignored. After `timeout_s` seconds, return the hosts that
        lag.
        """
        roster = await self._roster()
        if roster.is_error():
            return Error(roster.error)
        return Ok(await self._waiter.wait(version, roster.ok.hosts.values(), timeout_s))

    async def restore(self, operator: str) -> WriteResult:
        """Write the configuration with the highest version that the hosts report to the store."""
        roster = await self._roster()
        if roster.is_error():
            return Error(roster.error)
        found = await self._fetch_highest_config(list(roster.ok.hosts.values()))
        if found is None:
            text = "no host returned a configuration"
            hint = "start the hosts' routers, then repeat the command"
            return Error(ChangeError(ChangeErrorCode.UNKNOWN_OBJECT, text, hint))
        return await self._writer.restore(found, operator)

    async def _roster(self) -> Result[Roster, ChangeError]:
        return (await self._platform.roster()).map_error(store_unavailable)

    async def _sample_highest_version(self, hosts: list[Host]) -> int:
        sample = self._random.sample(hosts, min(SURVEYED_HOSTS, len(hosts)))
        return highest_version(await self._waiter.survey(sample))

    async def _fetch_highest_config(self, hosts: list[Host]) -> ConfigSet | None:
        found = [(status, host) for host, status in await self._waiter.survey(hosts) if status]
        for _, host in sorted(found, key=lambda pair: pair[0].version, reverse=True):
            response = await self._client.get_config(host.address, FULL_CONFIG_REQUEST)
            if isinstance(response, ConfigSet):
                return response
        return None


def _dry_run(config: ConfigSet, changes: Sequence[Change]) -> Result[DryRun, ChangeError]:
    return (
        apply_changes(config, changes)
        .bind(check_references)
        .bind(lambda new: validate_config(new).map_error(invalid_values_error))
        .map(
            lambda new: DryRun(
                config.version, tuple(describe_delta(config, diff(config, new))), new
            )
        )
    )


def _unknown_target(changes: Sequence[Change], roster: Roster) -> ChangeError | None:
    for change in changes:
        if isinstance(change, TakeOut) and change.kind is ObjectKind.TARGET:
            if change.name in roster.targets:
                continue
            text = f"the platform lists no target called {change.name!r}"
            hint = "list the targets with `almondspindle status`"
            return ChangeError(ChangeErrorCode.UNKNOWN_OBJECT, text, hint)
    return None
