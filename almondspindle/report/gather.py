"""Ask all live hosts for their telemetry."""

import asyncio
from collections.abc import Sequence

from almondspindle.adapters.peer.client import Channels
from almondspindle.adapters.peer.telemetry_client import GET_TELEMETRY
from almondspindle.adapters.peer.telemetry_messages import GetTelemetry, HostTelemetry
from almondspindle.adapters.peer.unary import call_unary
from almondspindle.adapters.platform.base import Platform
from almondspindle.adapters.platform.stored_config import parse_config
from almondspindle.controllers.configuration.watcher import CONFIG_OBJECT
from almondspindle.core.config import ConfigSet
from almondspindle.core.identifiers import HostName
from almondspindle.core.outcomes import Error, Ok, Result
from almondspindle.core.roster import Host
from almondspindle.report.merge import make_report
from almondspindle.report.models import BurnReport

ASKED_AT_ONCE = 50  # hosts


async def gather_report(platform: Platform, channels: Channels) -> Result[BurnReport, str]:
    """Return the report over all listed hosts, or why there can be none."""
    config = await _read_config(platform)
    if config.is_error():
        return Error(config.error)
    roster = await platform.roster()
    if roster.is_error():
        return Error(f"the platform's host list: {roster.error.message}")
    answers, silent = await _ask_hosts(channels, list(roster.ok.hosts.values()))
    return Ok(make_report(config.ok, answers, silent))


async def _read_config(platform: Platform) -> Result[ConfigSet, str]:
    stored = await platform.read(CONFIG_OBJECT)
    if stored.is_error():
        return Error(f"the configuration: {stored.error.message}")
    return parse_config(stored.ok.value or b"{}", stored.ok.version)


async def _ask_hosts(
    channels: Channels, hosts: Sequence[Host]
) -> tuple[list[HostTelemetry], dict[HostName, str]]:
    limit = asyncio.Semaphore(ASKED_AT_ONCE)
    found = await asyncio.gather(*(_ask(channels, host, limit) for host in hosts))
    answers = [answer for answer in found if isinstance(answer, HostTelemetry)]
    silent = {
        host.name: str(answer)
        for host, answer in zip(hosts, found, strict=True)
        if not isinstance(answer, HostTelemetry)
    }
    return answers, silent


async def _ask(channels: Channels, host: Host, limit: asyncio.Semaphore) -> object:
    async with limit:
        answer = await call_unary(channels, host.address, GET_TELEMETRY, GetTelemetry())
    return answer.ok if answer.is_ok() else answer.error
